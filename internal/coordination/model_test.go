package coordination

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"madderwing/internal/replication"
)

// history records the calls and answers of all callers of a run.
type history struct {
	*simulation
	leases     map[string][]*heldLease // by lock
	numbers    []drawnNumber
	puts       []*putCall
	reads      []readCall
	mismatches []mismatch
	watched    []watchAnswer
	answers    int
}

// heldLease is the time in which a caller regards itself as the holder of a lock.
type heldLease struct {
	owner      string
	fence      uint64
	sentAt     time.Duration // when the acquiring call was sent
	begin, end time.Duration
}

type drawnNumber struct {
	name               string
	value              uint64
	sentAt, answeredAt time.Duration
}

// putCall is a put with all its repeats.
type putCall struct {
	name, value        string
	expected           *uint64
	sentAt, answeredAt time.Duration // of the first try; of the first successful answer
	revision           uint64        // 0: none was returned
	maybeDone          bool          // a try without an answer may have taken effect
	refused            bool
}

type readCall struct {
	name   string
	sentAt time.Duration
	value  string
	// revision is 0 if the cell did not exist.
	revision uint64
}

type mismatch struct {
	name     string
	revision uint64
}

type watchAnswer struct {
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

// caller makes one call after the other. It retries a put until its outcome is known or its
// tries are used up.
type caller struct {
	h             *history
	owner         string
	random        *rand.Rand
	until         time.Duration
	calls         int
	lastRevisions map[string]uint64 // by cell: the last revision that it saw
}

// send sends a call to a random node. done is called with ok false if there is no answer
// within testCallerTimeout.
func (c *caller) send(call Call, done func(r Result, ok bool)) {
	finished := false
	end := func(r Result, ok bool) {
		if !finished {
			finished = true
			done(r, ok)
		}
	}
	n := c.h.nodes[c.random.Intn(len(c.h.nodes))]
	if n.up {
		c.h.call(n, call, func(r Result) { end(r, true) })
	}
	c.h.schedule(testCallerTimeout, func() { end(Result{Effect: MaybeDone}, false) })
}

func (c *caller) scheduleCall() {
	if c.h.now > c.until {
		return
	}
	c.h.schedule(time.Duration(10+c.random.Intn(150))*time.Millisecond, func() {
		c.calls++
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

// pickName returns a random name.
func (c *caller) pickName(names []string) string { return names[c.random.Intn(len(names))] }

// lock acquires a lock and then uses it.
func (c *caller) lock() {
	name, sent := c.pickName(testLocks), c.h.now
	lease := time.Duration(500+c.random.Intn(2500)) * time.Millisecond
	c.send(Call{Operation: Acquire, Name: name, Owner: c.owner, Hold: lease}, func(r Result, ok bool) {
		if !ok || r.Effect != Answered || r.Answer.Status != OK {
			c.scheduleCall()
			return
		}
		c.h.answers++
		h := &heldLease{owner: c.owner, fence: r.Answer.Fence, sentAt: sent, begin: c.h.now, end: sent + lease}
		c.h.leases[name] = append(c.h.leases[name], h)
		c.useLock(name, h, lease)
	})
}

// useLock renews, releases or abandons a lock that the caller holds.
func (c *caller) useLock(name string, lease *heldLease, leaseTime time.Duration) {
	c.h.schedule(time.Duration(c.random.Intn(int(leaseTime))), func() {
		switch c.random.Intn(4) {
		case 0: // the caller is lost or sleeps past the end of the lease
			c.scheduleCall()
		case 1, 2:
			sent := c.h.now
			c.send(Call{Operation: Renew, Name: name, Owner: c.owner, Fence: lease.fence, Hold: leaseTime}, func(r Result, ok bool) {
				switch {
				case c.h.now >= lease.end: // too late: the renewal does not count
				case ok && r.Effect == Answered && r.Answer.Status == OK:
					lease.end = sent + leaseTime
					c.useLock(name, lease, leaseTime)
					return
				}
				c.scheduleCall()
			})
		default:
			for _, own := range c.h.leases[name] {
				if own.owner == c.owner { // including those that it abandoned
					own.end = min(own.end, c.h.now)
				}
			}
			c.send(Call{Operation: Release, Name: name, Owner: c.owner, Fence: lease.fence}, func(Result, bool) { c.scheduleCall() })
		}
	})
}

func (c *caller) draw() {
	name, sent := c.pickName(testCounters), c.h.now
	c.send(Call{Operation: Draw, Name: name}, func(r Result, ok bool) {
		if ok && r.Effect == Answered && r.Answer.Status == OK {
			c.h.answers++
			c.h.numbers = append(c.h.numbers, drawnNumber{name, r.Answer.Number, sent, c.h.now})
		}
		c.scheduleCall()
	})
}

func (c *caller) put() {
	p := &putCall{name: c.pickName(testCells), value: fmt.Sprintf("%s-%d", c.owner, c.calls), sentAt: c.h.now}
	if c.random.Intn(2) == 0 {
		expected := c.lastRevisions[p.name]
		p.expected = &expected
	}
	c.h.puts = append(c.h.puts, p)
	c.sendPut(p, 6)
}

// sendPut sends a put until its outcome is known, and sometimes once more after that.
func (c *caller) sendPut(p *putCall, tries int) {
	c.send(Call{Operation: Put, Name: p.name, Value: p.value, Expected: p.expected}, func(r Result, ok bool) {
		answered := ok && r.Effect == Answered
		switch {
		case answered && r.Answer.Status == OK:
			c.h.answers++
			if p.revision != 0 && p.revision != r.Answer.Revision {
				c.h.t.Fatalf("at %v: put of %s to %s got revision %d, then %d", c.h.now, p.value, p.name, p.revision, r.Answer.Revision)
			}
			first := p.revision == 0
			if first {
				p.revision, p.answeredAt = r.Answer.Revision, c.h.now
			}
			c.lastRevisions[p.name] = p.revision
			if first && c.random.Intn(3) == 0 {
				c.sendPut(p, 1)
				return
			}
		case answered && r.Answer.Status == Mismatch:
			if p.revision != 0 {
				c.h.t.Fatalf("at %v: put of %s to %s got revision %d, then a mismatch", c.h.now, p.value, p.name, p.revision)
			}
			p.refused = true
			c.lastRevisions[p.name] = r.Answer.Revision
			c.h.mismatches = append(c.h.mismatches, mismatch{p.name, r.Answer.Revision})
		default:
			p.maybeDone = p.maybeDone || !ok || r.Effect != NotDone
			if tries > 1 {
				c.sendPut(p, tries-1)
				return
			}
		}
		c.scheduleCall()
	})
}

func (c *caller) read() {
	name, sent := c.pickName(testCells), c.h.now
	c.send(Call{Operation: Get, Name: name}, func(r Result, ok bool) {
		if ok && r.Effect == Answered {
			c.h.answers++
			c.h.reads = append(c.h.reads, readCall{name, sent, r.Answer.Value, r.Answer.Revision})
			c.lastRevisions[name] = r.Answer.Revision
		}
		c.scheduleCall()
	})
}

// watchGroup keeps a watch on a group, each time at a random node.
func (h *history) watchGroup(group string, after uint64, until time.Duration) {
	if h.now > until {
		return
	}
	n := h.nodes[h.random.Intn(len(h.nodes))]
	life := n.life
	finished := false
	watchAgain := func(after uint64) {
		if !finished {
			finished = true
			h.schedule(5*time.Millisecond, func() { h.watchGroup(group, after, until) })
		}
	}
	w := &Watch{Group: group, After: after, Done: func(r WatchResult) {
		if r.Err != nil {
			watchAgain(after)
			return
		}
		h.watched = append(h.watched, watchAnswer{group, after, r.Revision, r.Events})
		watchAgain(r.Revision)
	}}
	h.runStep(n, life, func() { n.server.Watch(w) })
	h.schedule(time.Second, func() { h.runStep(n, life, func() { n.server.EndWatch(w) }) })
	h.schedule(2*time.Second, func() { watchAgain(after) }) // the node has crashed or is frozen
}

// runScenario runs callers and failures, and then some time without either.
func runScenario(t *testing.T, seed int64) *history {
	h := &history{simulation: newSimulation(t, seed, 5), leases: map[string][]*heldLease{}}
	const length = 45 * time.Second
	h.run(3 * time.Second)
	for i := range 6 {
		c := &caller{h: h, owner: fmt.Sprintf("a%d", i), random: rand.New(rand.NewSource(seed*100 + int64(i))),
			until: length, lastRevisions: map[string]uint64{}}
		c.scheduleCall()
	}
	for _, group := range testGroups {
		h.watchGroup(group, 0, length+8*time.Second)
	}
	h.injectFailures(length)
	h.run(length + 10*time.Second)
	return h
}

// injectFailures injects random failures: mostly of one node, sometimes of all.
func (h *history) injectFailures(until time.Duration) {
	for at := 4 * time.Second; at < until-4*time.Second; at += time.Duration(1500+h.random.Intn(4000)) * time.Millisecond {
		kind, who, span := h.random.Intn(6), h.random.Intn(len(h.nodes)), time.Duration(300+h.random.Intn(4500))*time.Millisecond
		h.schedule(at-h.now, func() { h.injectFailure(kind, h.nodes[who], span) })
	}
}

func (h *history) injectFailure(kind int, n *node, span time.Duration) {
	switch kind {
	case 0:
		h.crash(n)
		h.schedule(span, func() {
			if !n.up {
				h.start(n)
			}
		})
	case 1, 2:
		n.frozenUntil = max(n.frozenUntil, h.now+span)
	case 3:
		sends, hears := h.random.Intn(3) > 0, h.random.Intn(3) > 0
		h.adjustBlocked(n, sends, hears, 1)
		h.schedule(span, func() { h.adjustBlocked(n, sends, hears, -1) })
	case 4:
		h.slowUntil = h.now + span/2
	default:
		for _, o := range h.nodes {
			h.crash(o)
			h.schedule(span/4, func() {
				if !o.up {
					h.start(o)
				}
			})
		}
	}
}

// committedEvents returns all puts into a group, by revision, from the newest committed copy.
func (h *history) committedEvents(group string) map[uint64]Event {
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

func TestRandomFailures(t *testing.T) {
	const seeds = 20
	for seed := int64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := runScenario(t, seed)
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

// checkLocks checks mutual exclusion: no two owners regard themselves as holders of a lock at
// the same time, and fencing tokens increase from holder to holder.
func (h *history) checkLocks() {
	for name, holds := range h.leases {
		for _, a := range holds {
			for _, b := range holds {
				if a.owner == b.owner {
					continue
				}
				if a.fence == b.fence {
					h.t.Fatalf("%s: %s and %s both have token %d", name, a.owner, b.owner, a.fence)
				}
				if a.begin < b.end && b.begin < a.end {
					h.t.Fatalf("%s: held at the same time: %+v and %+v", name, *a, *b)
				}
				if a.begin < b.sentAt && a.fence > b.fence {
					h.t.Fatalf("%s: %+v has a lower token than %+v, which was granted before", name, *b, *a)
				}
			}
		}
	}
}

// checkCounters checks that numbers are unique and increase.
func (h *history) checkCounters() {
	for i, a := range h.numbers {
		for _, b := range h.numbers[i+1:] {
			if a.name != b.name {
				continue
			}
			if a.value == b.value || a.answeredAt < b.sentAt && a.value > b.value || b.answeredAt < a.sentAt && b.value > a.value {
				h.t.Fatalf("numbers not unique or not increasing: %+v and %+v", a, b)
			}
		}
	}
}

// checkCells checks puts, reads and mismatches against the history of each group.
func (h *history) checkCells() {
	logs := map[string]map[uint64]Event{}
	values := map[string]uint64{}
	for _, group := range testGroups {
		logs[group] = h.committedEvents(group)
		for revision, e := range logs[group] {
			if values[e.Value] != 0 {
				h.t.Fatalf("%s was put at revisions %d and %d", e.Value, values[e.Value], revision)
			}
			values[e.Value] = revision
		}
	}
	of := func(name string, revision uint64) Event { return logs[GroupOf(name)][revision] }
	for _, p := range h.puts {
		h.checkPut(p, of, values, logs[GroupOf(p.name)])
	}
	for _, m := range h.mismatches {
		if m.revision > 0 && of(m.name, m.revision).Name != m.name {
			h.t.Fatalf("a mismatch returned revision %d of %s, the history has %+v", m.revision, m.name, of(m.name, m.revision))
		}
	}
	for _, r := range h.reads {
		if e := of(r.name, r.revision); r.revision > 0 && (e.Name != r.name || e.Value != r.value) {
			h.t.Fatalf("read %+v, the history has %+v", r, e)
		}
		for _, p := range h.puts {
			if p.name == r.name && p.revision > r.revision && p.answeredAt < r.sentAt {
				h.t.Fatalf("stale read %+v after %+v", r, *p)
			}
		}
	}
}

func (h *history) checkPut(p *putCall, of func(string, uint64) Event, values map[string]uint64, log map[uint64]Event) {
	switch {
	case p.revision == 0 && !p.maybeDone && values[p.value] != 0:
		h.t.Fatalf("%+v has not taken effect by its answers, but is in the history", *p)
	case p.revision == 0:
		return
	case of(p.name, p.revision).Value != p.value:
		h.t.Fatalf("%+v was acknowledged, the history has %+v", *p, of(p.name, p.revision))
	}
	if p.expected != nil {
		for revision := *p.expected + 1; revision < p.revision; revision++ {
			if log[revision].Name == p.name {
				h.t.Fatalf("%+v succeeded although the cell had revision %d", *p, revision)
			}
		}
	}
	for _, o := range h.puts {
		if GroupOf(o.name) == GroupOf(p.name) && o.revision > 0 && o.answeredAt < p.sentAt && o.revision > p.revision {
			h.t.Fatalf("%+v has a lower revision than the earlier %+v", *p, *o)
		}
	}
}

// checkWatches checks that each watch returned all puts of its range of revisions, in order.
func (h *history) checkWatches() {
	shown := 0
	for _, s := range h.watched {
		log := h.committedEvents(s.group)
		revisions := []uint64{}
		for _, e := range s.events {
			shown++
			revisions = append(revisions, e.Revision)
			if log[e.Revision] != e {
				h.t.Fatalf("a watch returned %+v, the history has %+v", e, log[e.Revision])
			}
		}
		want := []uint64{}
		for revision := s.after + 1; revision <= s.revision; revision++ {
			want = append(want, revision)
		}
		if !slices.Equal(revisions, want) {
			h.t.Fatalf("a watch of %s after %d up to %d returned revisions %v", s.group, s.after, s.revision, revisions)
		}
	}
	if shown == 0 {
		h.t.Fatal("no watch returned any event")
	}
}
