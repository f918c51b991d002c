package replication

// This file holds changes of the roster under way, and members that have lost their seats.

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestAnOwnerThatMissedTwoRostersCantAcknowledge has an owner hear of neither of two
// changes of the roster. With the two members that those took away it is a majority of
// the roster that it knows.
func TestAnOwnerThatMissedTwoRostersCantAcknowledge(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		w := newWorldWithVoters(t, seed, 5, 2, 5)
		w.calm = true
		w.mustPut(t, "x", 1)
		o, keeper := w.separateOwners()
		others := w.others(o, keeper)
		// No word of the roster reaches the owner.
		deaf := true
		w.drop = func(_ string, e Envelope) bool {
			m := e.Msg
			return deaf && e.To == o.id && (as[*Append](m) != nil && as[*Append](m).Key == RosterKey || as[*AppendAck](m) != nil && as[*AppendAck](m).Outdated != nil ||
				as[*HeartbeatAck](m) != nil && as[*HeartbeatAck](m).Outdated != nil ||
				as[*Vote](m) != nil && as[*Vote](m).Outdated != nil || as[*StateReport](m) != nil && as[*StateReport](m).Outdated != nil || as[*SnapshotChunk](m) != nil && as[*SnapshotChunk](m).Key == RosterKey)
		}
		away := others[:2]
		for _, n := range away {
			w.freeze(n, time.Hour)
			w.remove(n, time.Second)
			n.failures++ // so that the count of remove ends at none
			w.run(w.now + 9*time.Second)
		}
		newer := w.truthAt[RosterKey]
		if got := o.m.keys[RosterKey].position; !got.Less(newer) || len(o.m.seats().newSeats) != 5 || !slices.Contains(o.m.seats().newSeats, away[0].m.self) {
			t.Fatalf("seed %d: the owner has heard of the roster %v", seed, *o.m.seats())
		}
		// It meets those two and nobody else.
		w.sever([]*node{o, away[0], away[1]}, true, true, 1)
		for _, n := range away {
			w.wake(n)
		}
		w.ids = append(w.ids, away[0].id, away[1].id)
		for end := w.now + 6*time.Second; w.now < end; {
			for _, n := range append(away, o) {
				if err := w.put(n, "x", 100); err == nil {
					t.Fatalf("seed %d: %s acknowledged with members that were taken away", seed, n.id)
				}
			}
			w.run(w.now + 50*time.Millisecond)
		}
		for _, n := range append(away, o) {
			if n.m.keys[testKey].role == roleOwner || n.m.keys[RosterKey].role == roleOwner {
				t.Fatalf("seed %d: %s owns a key among members that were taken away", seed, n.id)
			}
		}
	}
}

// TestRemovedMembersThatWakeTogetherDecideNothing wakes three members whose seats were
// taken one after the other while they stood still: a majority of the first roster.
func TestRemovedMembersThatWakeTogetherDecideNothing(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		w := newWorldWithVoters(t, seed, 5, 2, 5)
		w.mustPut(t, "x", 1)
		w.run(w.now + 2*time.Second)
		var away []*node
		for i := 0; i < 3; i++ {
			n := w.nodes[w.ids[(int(seed)+i)%(5-i)]]
			w.freeze(n, time.Hour)
			w.remove(n, time.Second)
			n.failures++
			away = append(away, n)
			w.run(w.now + 6*time.Second)
			w.until("its seat is taken", 3*time.Second, w.seated)
		}
		w.sever(away, true, true, 1)
		for _, n := range away {
			w.wake(n)
		}
		begin := w.now
		for w.now < begin+10*time.Second {
			for _, n := range away {
				if err := w.put(n, "x", 50); err == nil {
					t.Fatalf("seed %d: %s acknowledged", seed, n.id)
				}
				for _, key := range []string{testKey, RosterKey} {
					if n.m.keys[key].role == roleOwner && n.m.keys[key].ownerSince >= begin-n.born {
						t.Fatalf("seed %d: %s owns %s", seed, n.id, key)
					}
				}
			}
			w.run(w.now + 100*time.Millisecond)
		}
		w.mustPut(t, "x", 60)
		w.sever(away, true, true, -1)
		for _, n := range away {
			w.ids = append(w.ids, n.id)
		}
		w.run(w.now + 10*time.Second)
		w.mustPut(t, "x", 61)
	}
}

// change is a change of the roster in the making: x and y, which stand still, are to be
// replaced by two newcomers at once. o owns the test key and keeps the roster.
type change struct {
	*world
	o, b, k, x, y *node
	fresh         []*node
	joint         bool                               // the keeper has the joint roster
	loses         func(from string, e Envelope) bool // what is lost beside that
}

func newChange(t *testing.T, seed int64) *change {
	t.Helper()
	w := newWorldWithVoters(t, seed, 5, 2, 5)
	w.calm = true
	w.mustPut(t, "x", 1)
	c := &change{world: w}
	c.o, c.k = w.separateOwners()
	others := w.others(c.o, c.k)
	c.b, c.x, c.y = others[0], others[1], others[2]
	for _, n := range others[1:] {
		w.freeze(n, time.Hour)
	}
	enrol := w.now + 4*time.Second
	w.drop = func(from string, e Envelope) bool {
		c.joint = c.joint || c.k.m.seats().joint
		// Both newcomers are known to hold all before anything is changed.
		early := w.now < enrol && as[*Join](e.Msg) != nil || w.now < enrol+3*testBeat && as[*StateReport](e.Msg) != nil && (from == c.o.id || from == c.b.id)
		return early || c.loses != nil && c.loses(from, e)
	}
	c.fresh = []*node{w.successor(), w.successor()}
	return c
}

// untilJoint runs until the keeper has the joint roster.
func (c *change) untilJoint() {
	c.until("the roster is a joint one", 10*time.Second, func() string {
		if c.joint {
			return ""
		}
		return fmt.Sprint(*c.k.m.seats())
	})
}

// TestAJointRosterNeedsBothMajorities cuts the keeper of the roster and two newcomers,
// a majority of the seats to come, off from the majority of the seats before.
func TestAJointRosterNeedsBothMajorities(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		c := newChange(t, seed)
		before := []*node{c.o, c.b, c.x, c.y}
		c.loses = func(from string, e Envelope) bool {
			if c.joint && c.x.frozen > c.now {
				for _, n := range []*node{c.x, c.y} {
					c.wake(n)
				}
			}
			return c.joint && apart(before, from, e.To)
		}
		c.untilJoint()
		if s := c.k.m.seats(); len(s.newSeats) != 5 || slices.Contains(s.newSeats, c.x.m.self) || slices.Contains(s.newSeats, c.y.m.self) {
			t.Fatalf("seed %d: another change than was meant: %v", seed, *s)
		}
		if err := c.put(c.o, "x", 2); err != nil {
			t.Fatalf("seed %d: a majority of the roster before: %v", seed, err)
		}
		for end := c.now + 8*time.Second; c.now < end; c.run(c.now + 50*time.Millisecond) {
			for _, n := range append(c.fresh, c.k) {
				if n.m.keys[testKey].role == roleOwner || !n.m.seats().joint && len(n.m.seats().newSeats) > 0 && !slices.Contains(n.m.seats().newSeats, c.x.m.self) {
					t.Fatalf("seed %d: %s decides without the seats before: %v", seed, n.id, *n.m.seats())
				}
			}
		}
	}
}

// TestAJointRosterEndsOnlyWhenTheSeatsToComeHoldAll has a change acknowledged under the
// roster before while the joint one is on its way. The majority of the seats to come
// that lacks it must not come to decide.
func TestAJointRosterEndsOnlyWhenTheSeatsToComeHoldAll(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		c := newChange(t, seed)
		var since time.Duration
		lacking := append([]*node{c.k}, c.fresh...)
		c.loses = func(from string, e Envelope) bool {
			m := e.Msg
			switch {
			case !c.joint:
				return false
			case since == 0:
				since = c.now
				c.wake(c.x)
			}
			switch {
			case apart([]*node{c.o, c.b, c.x}, from, e.To) && (from == c.x.id || e.To == c.x.id):
				return true
			case c.now < since+time.Second && apart(lacking, from, e.To):
				return true // the joint roster is late
			}
			return slices.ContainsFunc(lacking, func(n *node) bool { return n.id == e.To }) && (as[*Append](m) != nil && as[*Append](m).Key == testKey || as[*SnapshotChunk](m) != nil)
		}
		c.untilJoint()
		if err := c.put(c.o, "x", 2); err != nil {
			t.Fatalf("seed %d: a majority of the roster before: %v", seed, err)
		}
		c.run(c.now + 5*time.Second)
		if s := c.k.m.seats(); !s.joint && !slices.Contains(s.newSeats, c.x.m.self) {
			t.Errorf("seed %d: the joint roster ended with x=2 at %v", seed, c.holders("x", 2))
		}
		c.loses = func(from string, e Envelope) bool { return apart(lacking, from, e.To) }
		// Whoever becomes owner now lacks a change that was acknowledged.
		c.run(c.now + 8*time.Second)
		c.loses = nil
		c.wake(c.y)
		c.run(c.now + 5*time.Second)
		if n := c.settle(t); n.m.keys[testKey].Records["x"].Gen != 2 {
			t.Fatalf("seed %d: lost", seed)
		}
	}
}

// TestAMemberWithoutASeatOwnsNothing takes the seat of an owner by the ordinary copies
// of the roster, without which nobody copies to it any more.
func TestAMemberWithoutASeatOwnsNothing(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		w, _ := newCalmWorld(t, seed, 6, 2, 5, time.Second)
		o, keeper := w.separateOwners()
		keeper.m.leavers[o.m.self] = w.clock(keeper) // as if it had said that it goes
		w.drop = func(from string, e Envelope) bool { return as[*Join](e.Msg) != nil }
		begin := w.now
		w.until("its seat is taken and the key has another owner", 2*time.Second, func() string {
			if n := w.holder(testKey); n == nil || n == o || slices.Contains(keeper.m.seats().all(), o.m.self) && !keeper.m.seats().joint {
				return fmt.Sprint(*keeper.m.seats())
			}
			return ""
		})
		if took := w.now - begin; took > testVacant {
			t.Fatalf("seed %d: another owner after %v", seed, took)
		}
	}
}

// TestPromisesToAMemberWithoutASeatMakeNoOwner has a member lose its seat between its
// question and the answers.
func TestPromisesToAMemberWithoutASeatMakeNoOwner(t *testing.T) {
	for _, loses := range []bool{false, true} {
		w := newWorldWithVoters(t, 5, 5, 2, 5)
		w.mustPut(t, "x", 1)
		w.run(w.now + 2*time.Second)
		o, keeper := w.settle(t), w.holder(RosterKey)
		n := w.lastOther(o, keeper)
		m, k, r := n.m, n.m.keys[testKey], n.m.keys[RosterKey]
		m.startElection(k, true)
		m.Durable(w.clock(n), m.lastWrite)
		if loses {
			next := map[string]seatState{}
			for _, seat := range m.seats().newSeats {
				if next[seat] = seatStable; seat == m.self {
					next[seat] = seatLeaving
				}
			}
			m.Handle(w.clock(n), keeper.id, Message{Identity: keeper.m.identity, Body: &Append{Key: RosterKey, Epoch: r.promised,
				Base: r.position, Seq: r.position.Seq + 1, Roster: Position{r.promised, r.position.Seq + 1}, Changes: rosterRecords(r.Records, next)}})
		}
		for _, id := range w.ids {
			m.Handle(w.clock(n), id, Message{Identity: w.nodes[id].m.identity, Body: &Vote{Key: testKey, Epoch: k.ownEpoch, OK: true, Promised: k.ownEpoch, At: k.position}})
		}
		if (k.role == roleOwner) == loses {
			t.Errorf("loses its seat: %v, owns the key: %v", loses, k.role == roleOwner)
		}
	}
}

// TestLateWordsProveNothingOfAMemberThatIsGone repeats the last words of a machine long
// after it has gone, as a network may that holds messages back.
func TestLateWordsProveNothingOfAMemberThatIsGone(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		w, _ := newCalmWorld(t, seed, 6, 2, 5, 3*time.Second)
		keeper := w.holder(RosterKey)
		n := w.lastOther(keeper)
		var last []Envelope
		w.drop = func(from string, e Envelope) bool {
			if from == n.id && e.To == keeper.id {
				last = append(last, e)
			}
			return false
		}
		w.run(w.now + time.Second)
		w.begin(n)
		w.crash(n.id, true)
		for i := 0; i < 100; i++ {
			e := last[i%len(last)]
			w.at(time.Duration(i)*50*time.Millisecond, func() {
				w.on(keeper.id, keeper.life, func() { keeper.m.Handle(w.clock(keeper), n.id, e.Msg) })
			})
		}
		w.until("its seat is taken", 2*testVacant+2*testBeat, func() string {
			if s := keeper.m.seats(); !s.joint && !slices.Contains(s.newSeats, n.m.self) {
				return ""
			}
			return fmt.Sprint(*keeper.m.seats())
		})
	}
}
