package replication

// This file holds the simulated network.

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func (w *world) deliver(from string, e Envelope) {
	if w.drop != nil && w.drop(from, e) {
		return
	}
	noisy := w.now < w.noisy
	if w.rng.Intn(50) == 0 && !w.calm || noisy && w.rng.Intn(4) == 0 {
		return
	}
	d := time.Duration(200+w.rng.Intn(1500)) * time.Microsecond
	if w.rng.Intn(40) == 0 && !w.prompt {
		d += time.Duration(w.rng.Intn(600)) * time.Millisecond
	}
	if noisy && w.rng.Intn(4) == 0 {
		d += time.Duration(w.rng.Intn(4000)) * time.Millisecond
	}
	if w.rate > 0 {
		b, err := cbor.Marshal(e.Msg)
		if err != nil {
			w.fatal("%v", err)
		}
		link := [2]string{from, e.To}
		w.bytesTo[e.To] += len(b)
		w.linkAt[link] = max(w.linkAt[link], w.now) + time.Duration(float64(len(b))/w.rate*float64(time.Second))
		d += w.linkAt[link] - w.now
	}
	if sender, to := w.nodes[from], w.nodes[e.To]; sender != nil && to != nil && (sender.older || to.older) {
		// One of them knows neither heartbeats nor the field that offers them.
		if e.Msg.Protocol = 0; to.older && (as[*Heartbeat](e.Msg) != nil || as[*HeartbeatAck](e.Msg) != nil) {
			e.Msg.Body = nil
		}
	}
	arrive := func() {
		if to := w.nodes[e.To]; to != nil && w.cut[[2]string{from, e.To}] == 0 && to.up {
			w.on(e.To, to.life, func() { to.m.Handle(w.clock(to), from, e.Msg) })
		}
	}
	w.at(d, arrive)
	if w.extra && w.rng.Intn(40) == 0 {
		w.at(d+time.Duration(w.rng.Intn(5000))*time.Millisecond, arrive)
	}
}

// sever cuts the ways from some machines to all others, the ways back, or both.
func (w *world) sever(from []*node, out, in bool, by int) {
	w.severFrom(slices.Collect(maps.Keys(w.nodes)), from, out, in, by)
}

// severFrom does the same with some of the others only.
func (w *world) severFrom(others []string, from []*node, out, in bool, by int) {
	for _, n := range from {
		for _, id := range others {
			if slices.Contains(from, w.nodes[id]) {
				continue
			}
			if out {
				w.cut[[2]string{n.id, id}] += by
			}
			if in {
				w.cut[[2]string{id, n.id}] += by
			}
		}
	}
}

// apart says that a message goes from one side to the other.
func apart(a []*node, from, to string) bool {
	in := func(id string) bool { return slices.ContainsFunc(a, func(n *node) bool { return n.id == id }) }
	return in(from) != in(to)
}

// as is the body of a message, if it is of that type; else nil.
func as[B Body](m Message) B {
	b, _ := m.Body.(B)
	return b
}
