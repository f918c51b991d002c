package controlplane

import (
	"time"

	"madderwing/internal/config"
)

// asks remembers the evacuations and withdrawals that this control node has carried out
// as owner, to tell an order that is sent again from a new one like it. Operators
// send an order again only if they got no clear answer to it, and within ackS.
type asks struct {
	ackS time.Duration
	last map[string]lastAsk
	seen map[uint64]time.Duration
	// Of the records that are copied here, by name: when the newest order came that
	// another control node carried out, and the newest order of all.
	heard  map[string]time.Duration
	newest map[string]uint64
}

// undo marks the withdrawals of a zone in asks.last.
const undo = "/undo"

type lastAsk struct {
	at    time.Duration
	clear bool // its answer cannot have come too late
}

// clearly is the part of ackS within which an answer is surely waited for.
const clearly = 0.08

func newAsks(ackS time.Duration) asks {
	return asks{ackS: ackS, last: map[string]lastAsk{}, seen: map[uint64]time.Duration{},
		heard: map[string]time.Duration{}, newest: map[string]uint64{}}
}

func (a *asks) key(o order) string {
	if *o.Evacuate {
		return o.Key
	}
	return o.Key + undo
}

// repeats says whether an order may be an earlier one that its operator sends again.
// Where another control node carried out the last one, all that is known of it is when
// word of it came here: an evacuation within ackS of that is taken for a repeat, a
// withdrawal for a new one.
func (a *asks) repeats(now time.Duration, o order) bool {
	if _, ok := a.seen[o.ID]; ok {
		return true
	}
	last, ok := a.last[a.key(o)]
	if !ok {
		at, known := a.heard[o.Key]
		return *o.Evacuate && known && now-at <= a.ackS
	}
	return !last.clear && now-last.at <= a.ackS
}

// saw notes a record of a zone as it was copied here. One whose last order is not
// of this control node's carrying out makes what it remembers of the zone worthless.
func (a *asks) saw(now time.Duration, r config.Record) {
	id := config.LastOrder(r)
	if _, own := a.seen[id]; own || a.newest[r.Name] == id && id != 0 {
		return
	}
	a.heard[r.Name], a.newest[r.Name] = now, id
	delete(a.last, r.Name)
	delete(a.last, r.Name+undo)
}

// begins notes an order that this control node is about to carry out.
func (a *asks) begins(o order) { a.newest[o.Key] = o.ID }

// carriedOut notes an order that came at one time and was safe at another.
func (a *asks) carriedOut(came, now time.Duration, o order) {
	clear := o.Age+now-came < time.Duration(clearly*float64(a.ackS))
	a.last[a.key(o)] = lastAsk{now, clear}
	for id, at := range a.seen {
		if now-at > 2*a.ackS {
			delete(a.seen, id)
		}
	}
	a.seen[o.ID] = now
}
