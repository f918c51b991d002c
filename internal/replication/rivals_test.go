package replication

import (
	"fmt"
	"time"
)

// This file holds operators that get into each other's way: two contents under one
// generation, also over a takeover and a loss of disks, and reads while changes come.

// Figures of the rivals.
const (
	rivalTries = 8
	rivalPause = 150 * time.Millisecond
)

// rivalryLeast is how many refusals of another content, and how many reads, a schedule with
// rivals has at least; with fewer it would show nothing.
const rivalryLeast = 40

// rivalry says whether the rivals met; empty: they did.
func (w *world) rivalry() string {
	refusals, reads := 0, 0
	for _, op := range w.calls.calls[testKey] {
		c := op.Input.(*call)
		switch {
		case op.Return == open:
		case c.read:
			reads++
		case c.outcome == refused && c.stood.gen == c.wanted.gen:
			refusals++
		}
	}
	if refusals < rivalryLeast || reads < rivalryLeast {
		return fmt.Sprintf("only %d contents were refused, and %d reads answered", refusals, reads)
	}
	return ""
}

// rival is one content that an operator insists on.
type rival struct {
	name    string
	version uint64
	data    string
}

// rivals lets two operators race each other all the time, and a third one read.
func (w *world) rivals() {
	var again func()
	again = func() {
		if w.operatorsStopped {
			return
		}
		w.race()
		w.readBesideChange()
		w.at(time.Duration(100+w.rng.Intn(700))*time.Millisecond, again)
	}
	again()
}

// race sends two contents under one generation, to two nodes: the next generation, or the
// one that stands.
func (w *world) race() {
	name := []string{"x", "y", "z"}[w.rng.Intn(3)]
	version := max(1, w.floors[testKey+"/"+name]+uint64(w.rng.Intn(2)))
	for range 2 {
		w.sent++
		r := rival{name, version, fmt.Sprint("rival", w.sent)}
		w.at(time.Duration(w.rng.Intn(40))*time.Millisecond, func() { w.insist(r, rivalTries) })
	}
}

// raceLastAck sends what was acknowledged last once more, and another content under its
// generation, over the next seconds.
func (w *world) raceLastAck() {
	if len(w.ackedAt) == 0 {
		return
	}
	last := w.ackedAt[len(w.ackedAt)-1]
	w.sent++
	same := rival{last.name, last.value, w.content[fmt.Sprintf("%s/%s/%d", testKey, last.name, last.value)]}
	other := rival{last.name, last.value, fmt.Sprint("rival", w.sent)}
	for _, r := range []rival{other, same} {
		w.at(time.Duration(w.rng.Intn(3000))*time.Millisecond, func() { w.insist(r, rivalTries) })
	}
}

// insist sends a content, to any node, until there is a clear answer or it has been tried
// often enough.
func (w *world) insist(r rival, tries int) {
	if w.operatorsStopped || tries == 0 {
		return
	}
	clear := false
	if to := w.ownerByAnyNode(); to != "" {
		lost := w.rng.Intn(5) == 0
		w.ask(to, testKey, r.name, r.version, r.data, func(_ uint64, err error) {
			clear = clear || !lost && (err == nil || err == errConflict)
		})
	}
	w.at(rivalPause+time.Duration(w.rng.Intn(300))*time.Millisecond, func() {
		if !clear {
			w.insist(r, tries-1)
		}
	})
}

// readBesideChange reads all records as control nodes do for operators, has a change come
// while the round that confirms the read is under way, and reads once more.
func (w *world) readBesideChange() {
	to := w.ownerByAnyNode()
	if to == "" {
		return
	}
	w.readAll(to)
	w.at(time.Duration(w.rng.Intn(3000))*time.Microsecond, func() {
		name := []string{"x", "y", "z"}[w.rng.Intn(3)]
		w.sent++
		w.ask(to, testKey, name, w.floors[testKey+"/"+name]+1, fmt.Sprint("beside", w.sent), func(uint64, error) {})
		w.at(time.Duration(w.rng.Intn(3000))*time.Microsecond, func() { w.readAll(to) })
	})
}

// readAll reads a key's records as they stand when the owner takes the question; the answer
// counts once a majority has confirmed the owner after that.
func (w *world) readAll(id string) {
	n := w.nodes[id]
	if n == nil {
		return
	}
	read := w.calls.reads(testKey)
	var got map[string]Record
	w.on(id, n.life, func() {
		n.m.Propose(w.clock(n), testKey, func(have map[string]Record) ([]Record, error) {
			got = map[string]Record{}
			for _, name := range names {
				got[name] = have[name]
			}
			return nil, nil
		}, func(err error) {
			if err == nil {
				w.reads++
				read(got)
			}
		})
	})
}

// ownerByAnyNode is who owns the test key as a random node believes; empty: it knows nobody.
func (w *world) ownerByAnyNode() string {
	n := w.nodes[w.ids[w.rng.Intn(len(w.ids))]]
	if !n.up || n.frozen > w.now {
		return ""
	}
	to := n.m.Owner(w.clock(n), testKey)
	if w.nodes[to] == nil {
		return ""
	}
	return to
}
