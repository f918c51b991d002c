package replication

// This file holds the simulated network.

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func (sim *cluster) deliver(from string, envelope Envelope) {
	if sim.drop != nil && sim.drop(from, envelope) {
		return
	}
	noisy := sim.now < sim.noisyUntil
	if sim.rng.Intn(50) == 0 && !sim.lossless || noisy && sim.rng.Intn(4) == 0 {
		return
	}
	delay := time.Duration(200+sim.rng.Intn(1500)) * time.Microsecond
	if sim.rng.Intn(40) == 0 && !sim.noDelays {
		delay += time.Duration(sim.rng.Intn(600)) * time.Millisecond
	}
	if noisy && sim.rng.Intn(4) == 0 {
		delay += time.Duration(sim.rng.Intn(4000)) * time.Millisecond
	}
	if sim.linkRate > 0 {
		encoded, err := cbor.Marshal(envelope.Msg)
		if err != nil {
			sim.fatal("%v", err)
		}
		link := [2]string{from, envelope.To}
		sim.bytesSentTo[envelope.To] += len(encoded)
		sim.linkBusyUntil[link] = max(sim.linkBusyUntil[link], sim.now) + time.Duration(float64(len(encoded))/sim.linkRate*float64(time.Second))
		delay += sim.linkBusyUntil[link] - sim.now
	}
	if sender, to := sim.nodes[from], sim.nodes[envelope.To]; sender != nil && to != nil && (sender.withoutHeartbeats || to.withoutHeartbeats) {
		// One of them knows neither heartbeats nor the protocol field.
		if envelope.Msg.Protocol = 0; to.withoutHeartbeats && (bodyAs[*Heartbeat](envelope.Msg) != nil || bodyAs[*HeartbeatAck](envelope.Msg) != nil) {
			envelope.Msg.Body = nil
		}
	}
	arrive := func() {
		if to := sim.nodes[envelope.To]; to != nil && sim.cutLinks[[2]string{from, envelope.To}] == 0 && to.up {
			sim.runOn(envelope.To, to.runID, func() { to.replica.Handle(sim.clock(to), from, envelope.Msg) })
		}
	}
	sim.after(delay, arrive)
	if sim.duplicates && sim.rng.Intn(40) == 0 {
		sim.after(delay+time.Duration(sim.rng.Intn(5000))*time.Millisecond, arrive)
	}
}

// changeCuts cuts (by 1) or restores (by -1) the links from some machines to all others (out), the
// links from the others to them (in), or both.
func (sim *cluster) changeCuts(machines []*node, out, in bool, delta int) {
	sim.changeCutsTo(slices.Collect(maps.Keys(sim.nodes)), machines, out, in, delta)
}

// changeCutsTo is changeCuts for the given other machines only.
func (sim *cluster) changeCutsTo(others []string, machines []*node, out, in bool, delta int) {
	for _, n := range machines {
		for _, address := range others {
			if slices.Contains(machines, sim.nodes[address]) {
				continue
			}
			if out {
				sim.cutLinks[[2]string{n.address, address}] += delta
			}
			if in {
				sim.cutLinks[[2]string{address, n.address}] += delta
			}
		}
	}
}

// crossesCut reports whether a message goes from one side to the other.
func crossesCut(side []*node, from, to string) bool {
	in := func(address string) bool {
		return slices.ContainsFunc(side, func(n *node) bool { return n.address == address })
	}
	return in(from) != in(to)
}

// bodyAs returns the body of a message if it is of that type, and else nil.
func bodyAs[B Body](m Message) B {
	b, _ := m.Body.(B)
	return b
}
