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
func (p *play) rivalry() string {
	refusals, reads := 0, 0
	for _, op := range p.calls.calls[testKey] {
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
func (p *play) rivals() {
	var again func()
	again = func() {
		if p.stop {
			return
		}
		p.race()
		p.readBesideChange()
		p.at(time.Duration(100+p.rng.Intn(700))*time.Millisecond, again)
	}
	again()
}

// race sends two contents under one generation, to two nodes: the next generation, or the
// one that stands.
func (p *play) race() {
	name := []string{"x", "y", "z"}[p.rng.Intn(3)]
	version := max(1, p.floors[testKey+"/"+name]+uint64(p.rng.Intn(2)))
	for range 2 {
		p.sent++
		r := rival{name, version, fmt.Sprint("rival", p.sent)}
		p.at(time.Duration(p.rng.Intn(40))*time.Millisecond, func() { p.insist(r, rivalTries) })
	}
}

// raceLastAck sends what was acknowledged last once more, and another content under its
// generation, over the next seconds.
func (p *play) raceLastAck() {
	if len(p.ackedAt) == 0 {
		return
	}
	last := p.ackedAt[len(p.ackedAt)-1]
	p.sent++
	same := rival{last.name, last.value, p.content[fmt.Sprintf("%s/%s/%d", testKey, last.name, last.value)]}
	other := rival{last.name, last.value, fmt.Sprint("rival", p.sent)}
	for _, r := range []rival{other, same} {
		p.at(time.Duration(p.rng.Intn(3000))*time.Millisecond, func() { p.insist(r, rivalTries) })
	}
}

// insist sends a content, to any node, until there is a clear answer or it has been tried
// often enough.
func (p *play) insist(r rival, tries int) {
	if p.stop || tries == 0 {
		return
	}
	clear := false
	if to := p.ownerByAnyNode(); to != "" {
		lost := p.rng.Intn(5) == 0
		p.ask(to, testKey, r.name, r.version, r.data, func(_ uint64, err error) {
			clear = clear || !lost && (err == nil || err == errConflict)
		})
	}
	p.at(rivalPause+time.Duration(p.rng.Intn(300))*time.Millisecond, func() {
		if !clear {
			p.insist(r, tries-1)
		}
	})
}

// readBesideChange reads all records as control nodes do for operators, has a change come
// while the round that confirms the read is under way, and reads once more.
func (p *play) readBesideChange() {
	to := p.ownerByAnyNode()
	if to == "" {
		return
	}
	p.readAll(to)
	p.at(time.Duration(p.rng.Intn(3000))*time.Microsecond, func() {
		name := []string{"x", "y", "z"}[p.rng.Intn(3)]
		p.sent++
		p.ask(to, testKey, name, p.floors[testKey+"/"+name]+1, fmt.Sprint("beside", p.sent), func(uint64, error) {})
		p.at(time.Duration(p.rng.Intn(3000))*time.Microsecond, func() { p.readAll(to) })
	})
}

// readAll reads a key's records as they stand when the owner takes the question; the answer
// counts once a majority has confirmed the owner after that.
func (p *play) readAll(id string) {
	n := p.nodes[id]
	if n == nil {
		return
	}
	read := p.calls.reads(testKey)
	var got map[string]Record
	p.on(id, n.life, func() {
		n.m.Propose(p.clock(n), testKey, func(have map[string]Record) ([]Record, error) {
			got = map[string]Record{}
			for _, name := range names {
				got[name] = have[name]
			}
			return nil, nil
		}, func(err error) {
			if err == nil {
				p.reads++
				read(got)
			}
		})
	})
}

// ownerByAnyNode is who owns the test key as a random node believes; empty: it knows nobody.
func (p *play) ownerByAnyNode() string {
	n := p.nodes[p.ids[p.rng.Intn(len(p.ids))]]
	if !n.up || n.frozen > p.now {
		return ""
	}
	to := n.m.Owner(p.clock(n), testKey)
	if p.nodes[to] == nil {
		return ""
	}
	return to
}
