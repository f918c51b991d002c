package coordination

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"madderwing/internal/replication"
)

// history is what all callers of a run did and were told.
type history struct {
	*world
	holds   map[string][]*hold // by lock
	numbers []numbered
	puts    []*putCall
	reads   []readCall
	refused []mismatch
	seen    []seenEvents
	answers int
}

// hold is the time in which a caller counts itself holder of a lock, by its own count.
type hold struct {
	owner      string
	fence      uint64
	sent       time.Duration // the call that took it
	begin, end time.Duration
}

type numbered struct {
	name       string
	value      uint64
	sent, came time.Duration
}

// putCall is a put with all its repeats.
type putCall struct {
	name, value string
	expected    *uint64
	sent, came  time.Duration // first sent; answered
	revision    uint64        // 0: it got none
	unclear     bool          // some try of it may have taken effect
	refused     bool
}

type readCall struct {
	name  string
	sent  time.Duration
	value string
	// revision is 0 if there was no cell.
	revision uint64
}

type mismatch struct {
	name     string
	revision uint64
}

type seenEvents struct {
	group           string
	after, revision uint64
	events          []Event
}

// Names that callers use.
var (
	testLocks    = []string{"l1", "l2", "l3"}
	testCounters = []string{"n1"}
	testCells    = []string{"g1.a", "g1.b", "g2.c"}
	testGroups   = []string{"g1.", "g2."}
)

// caller makes one call after the other, each until it is clear or given up.
type caller struct {
	h      *history
	owner  string
	random *rand.Rand
	until  time.Duration
	made   int
	known  map[string]uint64 // revisions that it saw
}

// ask sends a call to any node; told is called with ok false after testPatience.
func (c *caller) ask(call Call, told func(r Result, ok bool)) {
	over := false
	end := func(r Result, ok bool) {
		if !over {
			over = true
			told(r, ok)
		}
	}
	n := c.h.nodes[c.random.Intn(len(c.h.nodes))]
	if n.up {
		c.h.call(n, call, func(r Result) { end(r, true) })
	}
	c.h.after(testPatience, func() { end(Result{Effect: MaybeDone}, false) })
}

func (c *caller) next() {
	if c.h.now > c.until {
		return
	}
	c.h.after(time.Duration(10+c.random.Intn(150))*time.Millisecond, func() {
		c.made++
		switch c.random.Intn(5) {
		case 0, 1:
			c.lock()
		case 2:
			c.draw()
		case 3:
			c.put()
		default:
			c.read()
		}
	})
}

// pick picks a name.
func (c *caller) pick(names []string) string { return names[c.random.Intn(len(names))] }

// lock takes a lock, renews it at times, and gives it back, dies with it or sleeps too long.
func (c *caller) lock() {
	name, sent := c.pick(testLocks), c.h.now
	span := time.Duration(500+c.random.Intn(2500)) * time.Millisecond
	c.ask(Call{Operation: Acquire, Name: name, Owner: c.owner, Hold: span}, func(r Result, ok bool) {
		if !ok || r.Effect != Answered || r.Answer.Status != OK {
			c.next()
			return
		}
		c.h.answers++
		h := &hold{owner: c.owner, fence: r.Answer.Fence, sent: sent, begin: c.h.now, end: sent + span}
		c.h.holds[name] = append(c.h.holds[name], h)
		c.keep(name, h, span)
	})
}

// keep goes on with a lock that the caller holds.
func (c *caller) keep(name string, h *hold, span time.Duration) {
	c.h.after(time.Duration(c.random.Intn(int(span))), func() {
		switch c.random.Intn(4) {
		case 0: // it dies with the lock, or sleeps
			c.next()
		case 1, 2:
			sent := c.h.now
			c.ask(Call{Operation: Renew, Name: name, Owner: c.owner, Fence: h.fence, Hold: span}, func(r Result, ok bool) {
				switch {
				case c.h.now >= h.end: // too late, it counts for nothing
				case ok && r.Effect == Answered && r.Answer.Status == OK:
					h.end = sent + span
					c.keep(name, h, span)
					return
				}
				c.next()
			})
		default:
			for _, own := range c.h.holds[name] {
				if own.owner == c.owner { // also those that it died with
					own.end = min(own.end, c.h.now)
				}
			}
			c.ask(Call{Operation: Release, Name: name, Owner: c.owner, Fence: h.fence}, func(Result, bool) { c.next() })
		}
	})
}

func (c *caller) draw() {
	name, sent := c.pick(testCounters), c.h.now
	c.ask(Call{Operation: Draw, Name: name}, func(r Result, ok bool) {
		if ok && r.Effect == Answered && r.Answer.Status == OK {
			c.h.answers++
			c.h.numbers = append(c.h.numbers, numbered{name, r.Answer.Number, sent, c.h.now})
		}
		c.next()
	})
}

func (c *caller) put() {
	p := &putCall{name: c.pick(testCells), value: fmt.Sprintf("%s-%d", c.owner, c.made), sent: c.h.now}
	if c.random.Intn(2) == 0 {
		expected := c.known[p.name]
		p.expected = &expected
	}
	c.h.puts = append(c.h.puts, p)
	c.try(p, 6)
}

// try sends a put until there is a clear answer, and at times once more after that.
func (c *caller) try(p *putCall, tries int) {
	c.ask(Call{Operation: Put, Name: p.name, Value: p.value, Expected: p.expected}, func(r Result, ok bool) {
		answered := ok && r.Effect == Answered
		switch {
		case answered && r.Answer.Status == OK:
			c.h.answers++
			if p.revision != 0 && p.revision != r.Answer.Revision {
				c.h.t.Fatalf("at %v: put of %s to %s got revision %d, then %d", c.h.now, p.value, p.name, p.revision, r.Answer.Revision)
			}
			first := p.revision == 0
			if first {
				p.revision, p.came = r.Answer.Revision, c.h.now
			}
			c.known[p.name] = p.revision
			if first && c.random.Intn(3) == 0 {
				c.try(p, 1)
				return
			}
		case answered && r.Answer.Status == Mismatch:
			if p.revision != 0 {
				c.h.t.Fatalf("at %v: put of %s to %s got revision %d, then it was refused", c.h.now, p.value, p.name, p.revision)
			}
			p.refused = true
			c.known[p.name] = r.Answer.Revision
			c.h.refused = append(c.h.refused, mismatch{p.name, r.Answer.Revision})
		default:
			p.unclear = p.unclear || !ok || r.Effect != NotDone
			if tries > 1 {
				c.try(p, tries-1)
				return
			}
		}
		c.next()
	})
}

func (c *caller) read() {
	name, sent := c.pick(testCells), c.h.now
	c.ask(Call{Operation: Get, Name: name}, func(r Result, ok bool) {
		if ok && r.Effect == Answered {
			c.h.answers++
			c.h.reads = append(c.h.reads, readCall{name, sent, r.Answer.Value, r.Answer.Revision})
			c.known[name] = r.Answer.Revision
		}
		c.next()
	})
}

// watchGroup follows a group from node to node.
func (h *history) watchGroup(group string, after uint64, until time.Duration) {
	if h.now > until {
		return
	}
	n := h.nodes[h.random.Intn(len(h.nodes))]
	life := n.life
	over := false
	again := func(after uint64) {
		if !over {
			over = true
			h.after(5*time.Millisecond, func() { h.watchGroup(group, after, until) })
		}
	}
	w := &Watch{Group: group, After: after, Done: func(r WatchResult) {
		if r.Err != nil {
			again(after)
			return
		}
		h.seen = append(h.seen, seenEvents{group, after, r.Revision, r.Events})
		again(r.Revision)
	}}
	h.on(n, life, func() { n.server.Watch(w) })
	h.after(time.Second, func() { h.on(n, life, func() { n.server.EndWatch(w) }) })
	h.after(2*time.Second, func() { again(after) }) // the node is gone, or frozen
}

// play runs callers and troubles, then lets the world calm down.
func play(t *testing.T, seed int64) *history {
	h := &history{world: newWorld(t, seed, 5), holds: map[string][]*hold{}}
	const length = 45 * time.Second
	h.run(3 * time.Second)
	for i := range 6 {
		c := &caller{h: h, owner: fmt.Sprintf("a%d", i), random: rand.New(rand.NewSource(seed*100 + int64(i))),
			until: length, known: map[string]uint64{}}
		c.next()
	}
	for _, group := range testGroups {
		h.watchGroup(group, 0, length+8*time.Second)
	}
	h.troubles(length)
	h.run(length + 10*time.Second)
	return h
}

// troubles strikes one or two nodes at a time, and at times all.
func (h *history) troubles(until time.Duration) {
	for at := 4 * time.Second; at < until-4*time.Second; at += time.Duration(1500+h.random.Intn(4000)) * time.Millisecond {
		kind, who, span := h.random.Intn(6), h.random.Intn(len(h.nodes)), time.Duration(300+h.random.Intn(4500))*time.Millisecond
		h.after(at-h.now, func() { h.strike(kind, h.nodes[who], span) })
	}
}

func (h *history) strike(kind int, n *node, span time.Duration) {
	switch kind {
	case 0:
		h.crash(n)
		h.after(span, func() {
			if !n.up {
				h.start(n)
			}
		})
	case 1, 2:
		n.frozen = max(n.frozen, h.now+span)
	case 3:
		sends, hears := h.random.Intn(3) > 0, h.random.Intn(3) > 0
		h.cut(n, sends, hears, 1)
		h.after(span, func() { h.cut(n, sends, hears, -1) })
	case 4:
		h.noisy = h.now + span/2
	default:
		for _, o := range h.nodes {
			h.crash(o)
			h.after(span/4, func() {
				if !o.up {
					h.start(o)
				}
			})
		}
	}
}

// log is all that was put into a group, by revision, as the owner knows it at the end.
func (h *history) log(group string) map[uint64]Event {
	var records map[string]Record
	var newest replication.Position
	for _, n := range h.nodes {
		if all, at, ok := n.replica.Committed(GroupKey(group)); ok && !at.Less(newest) {
			records, newest = all, at
		}
	}
	out := map[uint64]Event{}
	events, _, err := NewFeed(records).Since(group, 0)
	if err != nil {
		h.t.Fatal(err)
	}
	for _, e := range events {
		out[e.Revision] = e
	}
	return out
}

func TestModel(t *testing.T) {
	const seeds = 20
	for seed := int64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := play(t, seed)
			if h.answers < 150 {
				t.Fatalf("only %d calls were answered", h.answers)
			}
			h.checkLocks()
			h.checkCounters()
			h.checkCells()
			h.checkWatches()
		})
	}
}

// checkLocks checks ONE: no two owners hold a lock at once by their own count, and tokens
// rise from holder to holder.
func (h *history) checkLocks() {
	for name, holds := range h.holds {
		for _, a := range holds {
			for _, b := range holds {
				if a.owner == b.owner {
					continue
				}
				if a.fence == b.fence {
					h.t.Fatalf("%s: %s and %s both have token %d", name, a.owner, b.owner, a.fence)
				}
				if a.begin < b.end && b.begin < a.end {
					h.t.Fatalf("%s: %+v and %+v at once", name, *a, *b)
				}
				if a.begin < b.sent && a.fence > b.fence {
					h.t.Fatalf("%s: %+v has a lower token than %+v, which was given before", name, *b, *a)
				}
			}
		}
	}
}

// checkCounters checks that numbers are unique and rise.
func (h *history) checkCounters() {
	for i, a := range h.numbers {
		for _, b := range h.numbers[i+1:] {
			if a.name != b.name {
				continue
			}
			if a.value == b.value || a.came < b.sent && a.value > b.value || b.came < a.sent && b.value > a.value {
				h.t.Fatalf("%+v and %+v", a, b)
			}
		}
	}
}

// checkCells checks puts, reads and refusals against the history of each group.
func (h *history) checkCells() {
	logs := map[string]map[uint64]Event{}
	values := map[string]uint64{}
	for _, group := range testGroups {
		logs[group] = h.log(group)
		for revision, e := range logs[group] {
			if values[e.Value] != 0 {
				h.t.Fatalf("%s stands at revisions %d and %d", e.Value, values[e.Value], revision)
			}
			values[e.Value] = revision
		}
	}
	of := func(name string, revision uint64) Event { return logs[GroupOf(name)][revision] }
	for _, p := range h.puts {
		h.checkPut(p, of, values, logs[GroupOf(p.name)])
	}
	for _, m := range h.refused {
		if m.revision > 0 && of(m.name, m.revision).Name != m.name {
			h.t.Fatalf("a refusal named revision %d of %s, which has %+v", m.revision, m.name, of(m.name, m.revision))
		}
	}
	for _, r := range h.reads {
		if e := of(r.name, r.revision); r.revision > 0 && (e.Name != r.name || e.Value != r.value) {
			h.t.Fatalf("read %+v, but the history has %+v", r, e)
		}
		for _, p := range h.puts {
			if p.name == r.name && p.revision > r.revision && p.came < r.sent {
				h.t.Fatalf("read %+v after %+v", r, *p)
			}
		}
	}
}

func (h *history) checkPut(p *putCall, of func(string, uint64) Event, values map[string]uint64, log map[uint64]Event) {
	switch {
	case p.revision == 0 && !p.unclear && values[p.value] != 0:
		h.t.Fatalf("%+v was turned away but stands", *p)
	case p.revision == 0:
		return
	case of(p.name, p.revision).Value != p.value:
		h.t.Fatalf("%+v is lost: %+v", *p, of(p.name, p.revision))
	}
	if p.expected != nil {
		for revision := *p.expected + 1; revision < p.revision; revision++ {
			if log[revision].Name == p.name {
				h.t.Fatalf("%+v succeeded over revision %d", *p, revision)
			}
		}
	}
	for _, o := range h.puts {
		if GroupOf(o.name) == GroupOf(p.name) && o.revision > 0 && o.came < p.sent && o.revision > p.revision {
			h.t.Fatalf("%+v has a lower revision than %+v", *p, *o)
		}
	}
}

// checkWatches checks that watches showed all puts of their span in order.
func (h *history) checkWatches() {
	shown := 0
	for _, s := range h.seen {
		log := h.log(s.group)
		revisions := []uint64{}
		for _, e := range s.events {
			shown++
			revisions = append(revisions, e.Revision)
			if log[e.Revision] != e {
				h.t.Fatalf("a watch showed %+v, the history has %+v", e, log[e.Revision])
			}
		}
		want := []uint64{}
		for revision := s.after + 1; revision <= s.revision; revision++ {
			want = append(want, revision)
		}
		if !slices.Equal(revisions, want) {
			h.t.Fatalf("a watch of %s from %d to %d showed %v", s.group, s.after, s.revision, revisions)
		}
	}
	if shown == 0 {
		h.t.Fatal("no watch showed anything")
	}
}
