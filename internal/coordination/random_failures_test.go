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
	numbers    []issuedNumber
	puts       []*putCall
	reads      []readCall
	mismatches []mismatch
	watched    []watchAnswer
	answers    int
}

// heldLease is the period in which a caller regards itself as the holder of a lock.
type heldLease struct {
	owner        string
	fencingToken uint64
	sentAt       time.Duration // when the acquiring call was sent
	begin, end   time.Duration
}

type issuedNumber struct {
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
	maybeExecuted      bool          // a try without a definite answer may have been executed
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

// caller makes one call after another. It retries a put until its outcome is known or its
// tries are used up.
type caller struct {
	history       *history
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
	n := c.history.nodes[c.random.Intn(len(c.history.nodes))]
	if n.up {
		c.history.call(n, call, func(r Result) { end(r, true) })
	}
	c.history.schedule(testCallerTimeout, func() { end(Result{Effect: MaybeExecuted}, false) })
}

func (c *caller) scheduleCall() {
	if c.history.now > c.until {
		return
	}
	c.history.schedule(time.Duration(10+c.random.Intn(150))*time.Millisecond, func() {
		c.calls++
		switch c.random.Intn(5) {
		case 0, 1:
			c.lock()
		case 2:
			c.increment()
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
	name, sent := c.pickName(testLocks), c.history.now
	lease := time.Duration(500+c.random.Intn(2500)) * time.Millisecond
	c.send(Call{Operation: Acquire, Name: name, Owner: c.owner, Lease: lease}, func(r Result, ok bool) {
		if !ok || r.Effect != Answered || r.Answer.Status != OK {
			c.scheduleCall()
			return
		}
		c.history.answers++
		held := &heldLease{owner: c.owner, fencingToken: r.Answer.FencingToken, sentAt: sent, begin: c.history.now, end: sent + lease}
		c.history.leases[name] = append(c.history.leases[name], held)
		c.useLock(name, held, lease)
	})
}

// useLock renews, releases or abandons a lock that the caller holds.
func (c *caller) useLock(name string, lease *heldLease, leaseTime time.Duration) {
	c.history.schedule(time.Duration(c.random.Intn(int(leaseTime))), func() {
		switch c.random.Intn(4) {
		case 0: // the caller crashes, or sleeps until after the end of the lease
			c.scheduleCall()
		case 1, 2:
			sent := c.history.now
			c.send(Call{Operation: Renew, Name: name, Owner: c.owner, FencingToken: lease.fencingToken, Lease: leaseTime}, func(r Result, ok bool) {
				switch {
				case c.history.now >= lease.end: // too late: the renewal does not count
				case ok && r.Effect == Answered && r.Answer.Status == OK:
					lease.end = sent + leaseTime
					c.useLock(name, lease, leaseTime)
					return
				}
				c.scheduleCall()
			})
		default:
			for _, own := range c.history.leases[name] {
				if own.owner == c.owner { // including leases that it neither renewed nor released
					own.end = min(own.end, c.history.now)
				}
			}
			c.send(Call{Operation: Release, Name: name, Owner: c.owner, FencingToken: lease.fencingToken}, func(Result, bool) { c.scheduleCall() })
		}
	})
}

func (c *caller) increment() {
	name, sent := c.pickName(testCounters), c.history.now
	c.send(Call{Operation: Increment, Name: name}, func(r Result, ok bool) {
		if ok && r.Effect == Answered && r.Answer.Status == OK {
			c.history.answers++
			c.history.numbers = append(c.history.numbers, issuedNumber{name, r.Answer.Number, sent, c.history.now})
		}
		c.scheduleCall()
	})
}

func (c *caller) put() {
	put := &putCall{name: c.pickName(testCells), value: fmt.Sprintf("%s-%d", c.owner, c.calls), sentAt: c.history.now}
	if c.random.Intn(2) == 0 {
		expected := c.lastRevisions[put.name]
		put.expected = &expected
	}
	c.history.puts = append(c.history.puts, put)
	c.sendPut(put, 6)
}

// sendPut sends a put until its outcome is known, and sometimes once more after that.
func (c *caller) sendPut(put *putCall, tries int) {
	c.send(Call{Operation: Put, Name: put.name, Value: put.value, Expected: put.expected}, func(r Result, ok bool) {
		answered := ok && r.Effect == Answered
		switch {
		case answered && r.Answer.Status == OK:
			c.history.answers++
			if put.revision != 0 && put.revision != r.Answer.Revision {
				c.history.t.Fatalf("at %v: put of %s to %s got revision %d, then %d", c.history.now, put.value, put.name, put.revision, r.Answer.Revision)
			}
			first := put.revision == 0
			if first {
				put.revision, put.answeredAt = r.Answer.Revision, c.history.now
			}
			c.lastRevisions[put.name] = put.revision
			if first && c.random.Intn(3) == 0 {
				c.sendPut(put, 1)
				return
			}
		case answered && r.Answer.Status == Mismatch:
			if put.revision != 0 {
				c.history.t.Fatalf("at %v: put of %s to %s got revision %d, then a mismatch", c.history.now, put.value, put.name, put.revision)
			}
			put.refused = true
			c.lastRevisions[put.name] = r.Answer.Revision
			c.history.mismatches = append(c.history.mismatches, mismatch{put.name, r.Answer.Revision})
		default:
			put.maybeExecuted = put.maybeExecuted || !ok || r.Effect != NotExecuted
			if tries > 1 {
				c.sendPut(put, tries-1)
				return
			}
		}
		c.scheduleCall()
	})
}

func (c *caller) read() {
	name, sent := c.pickName(testCells), c.history.now
	c.send(Call{Operation: Get, Name: name}, func(r Result, ok bool) {
		if ok && r.Effect == Answered {
			c.history.answers++
			c.history.reads = append(c.history.reads, readCall{name, sent, r.Answer.Value, r.Answer.Revision})
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
	runID := n.runID
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
	h.runStep(n, runID, func() { n.server.Watch(w) })
	h.schedule(time.Second, func() { h.runStep(n, runID, func() { n.server.TimeOutWatch(w) }) })
	h.schedule(2*time.Second, func() { watchAgain(after) }) // the node has crashed or is frozen
}

// runScenario runs callers and failures, and then some time without either.
func runScenario(t *testing.T, seed int64) *history {
	h := &history{simulation: newSimulation(t, seed, 5), leases: map[string][]*heldLease{}}
	const length = 45 * time.Second
	h.run(3 * time.Second)
	for i := range 6 {
		c := &caller{history: h, owner: fmt.Sprintf("a%d", i), random: rand.New(rand.NewSource(seed*100 + int64(i))),
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
	for failureAt := 4 * time.Second; failureAt < until-4*time.Second; failureAt += time.Duration(1500+h.random.Intn(4000)) * time.Millisecond {
		kind, target, duration := h.random.Intn(6), h.random.Intn(len(h.nodes)), time.Duration(300+h.random.Intn(4500))*time.Millisecond
		h.schedule(failureAt-h.now, func() { h.injectFailure(kind, h.nodes[target], duration) })
	}
}

func (h *history) injectFailure(kind int, target *node, duration time.Duration) {
	switch kind {
	case 0:
		h.crash(target)
		h.schedule(duration, func() {
			if !target.up {
				h.start(target)
			}
		})
	case 1, 2:
		target.frozenUntil = max(target.frozenUntil, h.now+duration)
	case 3:
		outgoing, incoming := h.random.Intn(3) > 0, h.random.Intn(3) > 0
		h.adjustBlocked(target, outgoing, incoming, 1)
		h.schedule(duration, func() { h.adjustBlocked(target, outgoing, incoming, -1) })
	case 4:
		h.slowUntil = h.now + duration/2
	default:
		for _, o := range h.nodes {
			h.crash(o)
			h.schedule(duration/4, func() {
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
		if all, at, ok := n.replica.Committed(GroupPartition(group)); ok && !at.Less(newest) {
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
	for name, leases := range h.leases {
		for _, a := range leases {
			for _, b := range leases {
				if a.owner == b.owner {
					continue
				}
				if a.fencingToken == b.fencingToken {
					h.t.Fatalf("%s: %s and %s both have token %d", name, a.owner, b.owner, a.fencingToken)
				}
				if a.begin < b.end && b.begin < a.end {
					h.t.Fatalf("%s: held at the same time: %+v and %+v", name, *a, *b)
				}
				if a.begin < b.sentAt && a.fencingToken > b.fencingToken {
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
	histories := map[string]map[uint64]Event{}
	values := map[string]uint64{}
	for _, group := range testGroups {
		histories[group] = h.committedEvents(group)
		for revision, e := range histories[group] {
			if values[e.Value] != 0 {
				h.t.Fatalf("%s was put at revisions %d and %d", e.Value, values[e.Value], revision)
			}
			values[e.Value] = revision
		}
	}
	eventAt := func(name string, revision uint64) Event { return histories[GroupOf(name)][revision] }
	for _, p := range h.puts {
		h.checkPut(p, eventAt, values, histories[GroupOf(p.name)])
	}
	for _, m := range h.mismatches {
		if m.revision > 0 && eventAt(m.name, m.revision).Name != m.name {
			h.t.Fatalf("a mismatch returned revision %d of %s, the history has %+v", m.revision, m.name, eventAt(m.name, m.revision))
		}
	}
	for _, r := range h.reads {
		if e := eventAt(r.name, r.revision); r.revision > 0 && (e.Name != r.name || e.Value != r.value) {
			h.t.Fatalf("read %+v, the history has %+v", r, e)
		}
		for _, p := range h.puts {
			if p.name == r.name && p.revision > r.revision && p.answeredAt < r.sentAt {
				h.t.Fatalf("stale read %+v after %+v", r, *p)
			}
		}
	}
}

func (h *history) checkPut(put *putCall, eventAt func(string, uint64) Event, values map[string]uint64, events map[uint64]Event) {
	switch {
	case put.revision == 0 && !put.maybeExecuted && values[put.value] != 0:
		h.t.Fatalf("%+v was not executed according to its answers, but is in the history", *put)
	case put.revision == 0:
		return
	case eventAt(put.name, put.revision).Value != put.value:
		h.t.Fatalf("%+v was acknowledged, the history has %+v", *put, eventAt(put.name, put.revision))
	}
	if put.expected != nil {
		for revision := *put.expected + 1; revision < put.revision; revision++ {
			if events[revision].Name == put.name {
				h.t.Fatalf("%+v succeeded although the cell had revision %d", *put, revision)
			}
		}
	}
	for _, other := range h.puts {
		if GroupOf(other.name) == GroupOf(put.name) && other.revision > 0 && other.answeredAt < put.sentAt && other.revision > put.revision {
			h.t.Fatalf("%+v has a lower revision than the earlier %+v", *put, *other)
		}
	}
}

// checkWatches checks that each watch returned all puts of its range of revisions, in order.
func (h *history) checkWatches() {
	eventCount := 0
	for _, s := range h.watched {
		events := h.committedEvents(s.group)
		revisions := []uint64{}
		for _, e := range s.events {
			eventCount++
			revisions = append(revisions, e.Revision)
			if events[e.Revision] != e {
				h.t.Fatalf("a watch returned %+v, the history has %+v", e, events[e.Revision])
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
	if eventCount == 0 {
		h.t.Fatal("no watch returned any event")
	}
}
