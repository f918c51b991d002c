package replication

import (
	"errors"
	"slices"
	"testing"
	"time"

	"madderwing/internal/antientropy"
)

func TestAnAnswerMeansThreeDisks(t *testing.T) {
	w := newWorld(t, 5, 4)
	for v := uint64(1); v <= 40; v++ {
		n := w.mustPut(t, "x", v)
		if got := w.holders("x", v); len(got) < 3 {
			t.Fatalf("x=%d was acknowledged by %s with copies at %v", v, n.id, got)
		}
	}
}

// The owner loses its power, or its disk, the moment it has answered.
func TestTheAnswererIsLostAtOnce(t *testing.T) {
	for _, wipe := range []bool{false, true} {
		for seed := int64(1); seed <= 25; seed++ {
			w := newWorld(t, seed, 4)
			n := w.mustPut(t, "x", 1)
			w.crash(n.id, wipe)
			w.at(3*time.Second, func() { w.start(n.id) })
			next := w.settle(t)
			if got := next.m.keys[testKey].Records["x"].Gen; got != 1 {
				t.Fatalf("seed %d wipe %v: %s holds x=%d", seed, wipe, next.id, got)
			}
			w.run(w.now + 8*time.Second)
			if len(w.holders("x", 1)) != 4 || !w.nodes[n.id].m.Voting() {
				t.Fatalf("seed %d: the lost member did not catch up", seed)
			}
		}
	}
}

// A member that has lost its disk is another member: its word counts for nothing, and
// so does all that its former life said, until the roster gives it a seat.
func TestAWipedMemberCountsForNothingUntilItHasASeat(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.run(6 * time.Second)
	w.mustPut(t, "x", 7)
	id, down := w.ids[3], w.ids[2]
	former := w.nodes[id].m.self
	w.crash(id, true)
	w.crash(down, false)
	w.run(w.now + 2*time.Second)
	w.start(id)
	w.run(w.now + 5*time.Second)
	n := w.nodes[id]
	if n.m.self == former || n.m.Voting() {
		t.Fatalf("it is still %s, or votes", former)
	}
	for _, m := range []Message{
		{Body: &VoteRequest{Key: testKey, Epoch: Epoch{99, w.ids[0], 1}, Roster: Position{Epoch: Epoch{N: 99}}, At: Position{Epoch: Epoch{N: 99}}}},
		{Body: &Append{Key: testKey, Epoch: Epoch{99, w.ids[0], 1}, Base: Position{Epoch{99, w.ids[0], 1}, 5}, Seq: 6, Roster: Position{Epoch: Epoch{N: 99}}}},
		{Body: &StateQuery{Round: 1}},
	} {
		n.m.Take()
		n.m.Handle(w.clock(n), w.ids[0], m)
		for _, e := range n.m.Take().Send {
			if said := idOf(id, e.Msg.Identity); said == former {
				t.Fatalf("it answered %+v as %s", m, said)
			}
		}
	}
	for i, o := range w.ids[:2] { // two of four seats, and the wiped member's word
		if err := w.put(w.nodes[o], "x", uint64(8+i)); err == nil {
			t.Fatalf("%s acknowledged without a majority of the seats", o)
		}
		if s := w.nodes[o].m.seats(); slices.Contains(s.all(), n.m.self) || !slices.Contains(s.newSeats, former) {
			t.Fatalf("%s has the roster %+v", o, s)
		}
	}
	w.start(down)
	w.run(w.now + 6*time.Second)
	if !n.m.Voting() || n.m.keys[testKey].Records["x"].Gen < 7 || slices.Contains(n.m.seats().all(), former) {
		t.Fatalf("it did not get its seat back: %s %+v %+v", n.m.self, n.m.seats(), n.m.keys[testKey].Records)
	}
}

func TestAFrozenOwnerIsFenced(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorld(t, seed, 4)
		old := w.mustPut(t, "x", 1)
		old.frozen = w.now + 8*time.Second // longer than any election takes
		w.run(w.now + 500*time.Millisecond)
		w.mustPut(t, "x", 2)
		w.run(old.frozen - time.Millisecond)
		// The first thing it hears when it wakes is an order.
		if err := w.put(old, "x", 1); err == nil {
			t.Fatalf("seed %d: the old owner acknowledged", seed)
		}
		w.run(w.now + 3*time.Second)
		if got := w.settle(t).m.keys[testKey].Records["x"].Gen; got != 2 {
			t.Fatalf("seed %d: x=%d", seed, got)
		}
	}
}

func TestAStalledDiskHandsItsKeysOver(t *testing.T) {
	w := newWorld(t, 9, 4)
	old := w.mustPut(t, "x", 1)
	old.stall = w.now + 10*time.Second
	begin := w.now
	_ = w.put(old, "x", 2)
	n := w.mustPut(t, "x", 3)
	if n == old || w.now-begin > 3*time.Second {
		t.Fatalf("%s acknowledged after %v", n.id, w.now-begin)
	}
}

func TestRefusedWritesAreWrittenAgain(t *testing.T) {
	w := newWorld(t, 4, 4)
	n := w.mustPut(t, "x", 1)
	for _, id := range w.ids {
		w.nodes[id].refuse = 2
	}
	_ = w.put(n, "x", 2)
	w.mustPut(t, "x", 3)
	w.run(w.now + 2*time.Second)
	if got := w.holders("x", 3); len(got) != 4 {
		t.Fatalf("copies at %v", got)
	}
}

// A copy that has silently gone bad is found by its digests and mended.
func TestDigestsFindAndMendABadCopy(t *testing.T) {
	w := newWorld(t, 6, 4)
	w.mustPut(t, "x", 5)
	w.mustPut(t, "y", 6)
	w.run(w.now + time.Second)
	owner := w.settle(t)
	for _, id := range w.ids {
		if id == owner.id {
			continue
		}
		k := w.nodes[id].m.keys[testKey]
		k.Records["x"] = Record{Name: "x", Gen: 4, Data: []byte("rotten")}
		k.Sums = antientropy.Digest(k.Records)
		break
	}
	w.run(w.now + 2*time.Second)
	for _, id := range w.ids {
		if r := w.nodes[id].m.keys[testKey].Records["x"]; r.Gen != 5 || len(r.Data) > 0 {
			t.Fatalf("%s holds %+v", id, r)
		}
	}
}

func TestOnlyTheFirstStartFounds(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.run(5 * time.Second)
	for _, id := range w.ids { // all disks are lost, which is beyond any budget
		w.crash(id, true)
	}
	w.run(w.now + time.Second)
	for _, id := range w.ids {
		w.start(id)
	}
	w.run(w.now + 10*time.Second)
	for _, id := range w.ids {
		if w.nodes[id].m.Voting() || len(w.nodes[id].m.Roster()) > 0 {
			t.Fatalf("%s founded anew over a system that had a past", id)
		}
	}
}

func TestLeavingHandsOverAtOnce(t *testing.T) {
	w := newWorld(t, 8, 4)
	old := w.mustPut(t, "x", 1)
	w.on(old.id, old.life, func() { old.m.Leave(w.now) })
	begin := w.now
	n := w.settle(t)
	if n == old || w.now-begin > 600*time.Millisecond {
		t.Fatalf("%s owns the key after %v", n.id, w.now-begin)
	}
	if n.m.keys[testKey].Records["x"].Gen != 1 {
		t.Fatal("lost on the way")
	}
}

func TestQuorums(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, c := range []struct{ members, promise, durable int }{
		{1, 1, 1}, {2, 2, 2}, {3, 2, 3}, {4, 3, 3}, {5, 3, 3}, {6, 4, 4}, {7, 4, 4},
	} {
		for n := 0; n <= c.members; n++ {
			has := func(id string) bool { return int(id[0]-'a') < n }
			if got := hasQuorumOf(ids[:c.members], false, has); got != (n >= c.promise) {
				t.Errorf("%d of %d promise: %v", n, c.members, got)
			}
			if got := hasQuorumOf(ids[:c.members], true, has); got != (n >= c.durable) {
				t.Errorf("%d of %d durable: %v", n, c.members, got)
			}
		}
	}
}

// A member that is gone for good is retired; another takes its seat, and the
// system again bears the loss of any one.
func TestRetiringALostMember(t *testing.T) {
	w := newWorld(t, 12, 4)
	w.run(6 * time.Second)
	w.mustPut(t, "x", 1)
	gone := w.ids[2]
	retire := func(id string) (err error) {
		for i := 0; i < 10; i++ {
			var owner *node
			for w.run(w.now + 200*time.Millisecond); owner == nil && w.now < time.Minute; w.run(w.now + 100*time.Millisecond) {
				owner = w.holder(RosterKey)
			}
			if owner == nil {
				t.Fatal("the roster has no owner")
			}
			err = ErrNoQuorum
			w.on(owner.id, owner.life, func() { owner.m.Retire(w.now, id, func(e error) { err = e }) })
			w.run(w.now + 1500*time.Millisecond)
			if !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrNotOwner) {
				return err
			}
		}
		return err
	}
	if err := retire(gone); !errors.Is(err, ErrAlive) {
		t.Fatalf("a member at work: %v", err)
	}
	if err := retire("10.9.9.9:1"); !errors.Is(err, ErrUnknown) {
		t.Fatalf("an unknown member: %v", err)
	}
	w.crash(gone, true)
	w.run(w.now + 4*testBeat) // before others know, it counts as being at work
	if err := retire(gone); err != nil {
		t.Fatal(err)
	}
	w.run(w.now + time.Second)
	for _, id := range w.ids {
		if id != gone && len(w.nodes[id].m.Roster()) != 3 {
			t.Fatalf("%s holds the roster %v", id, w.nodes[id].m.Roster())
		}
	}
	other := w.ids[3]
	w.crash(other, false)
	if err := retire(other); !errors.Is(err, ErrTooFew) {
		t.Fatalf("a third member: %v", err)
	}
	w.start(other)
	fresh := "10.0.0.9:7661"
	w.ids = append(w.ids, fresh)
	w.nodes[fresh] = &node{id: fresh, disk: map[string][]byte{}}
	w.start(fresh)
	w.run(w.now + 6*time.Second)
	if !w.nodes[fresh].m.Voting() {
		t.Fatal("the newcomer has no seat")
	}
	w.crash(w.ids[0], false)
	w.mustPut(t, "x", 2)
	if got := w.holders("x", 2); len(got) < 3 {
		t.Fatalf("copies at %v", got)
	}
	// The retired one comes back after all, with its old disk or without.
	w.start(w.ids[0])
	w.start(gone)
	w.run(w.now + 8*time.Second)
	if n := w.nodes[gone]; !n.m.Voting() || n.m.keys[testKey].Records["x"].Gen != 2 {
		t.Fatal("it did not come back as a new member")
	}
}

// A retired member whose disk is whole believes in a roster of its own past.
func TestARetiredMemberWithItsDiskStartsOver(t *testing.T) {
	w := newWorld(t, 13, 4)
	w.run(6 * time.Second) // all four have their seats
	w.mustPut(t, "x", 1)
	gone := w.ids[1]
	w.crash(gone, false)
	ok := false
	for ; !ok; w.run(w.now + 500*time.Millisecond) {
		if w.now > time.Minute {
			t.Fatal("never retired")
		}
		for _, id := range w.ids {
			if n := w.nodes[id]; n.up && n.m.keys[RosterKey].role == roleOwner {
				w.on(id, n.life, func() { n.m.Retire(w.now, gone, func(e error) { ok = ok || e == nil }) })
			}
		}
	}
	w.mustPut(t, "x", 2)
	w.start(gone)
	w.run(w.now + 10*time.Second)
	n := w.nodes[gone]
	if !n.m.Voting() || n.m.keys[testKey].Records["x"].Gen != 2 || len(w.settle(t).m.Roster()) != 4 {
		t.Fatalf("voting %v, x=%d, roster %v", n.m.Voting(), n.m.keys[testKey].Records["x"].Gen, n.m.Roster())
	}
}

// Keys that a failure has gathered go back to their first heir, but only after
// a long calm, and nothing is lost on the way.
func TestKeysGoBackToTheirFirstHeir(t *testing.T) {
	w := newWorld(t, 21, 4)
	w.run(6 * time.Second)
	heir := w.settle(t).m.Heirs(testKey)[0]
	w.crash(heir, false)
	w.mustPut(t, "x", 1)
	w.start(heir)
	back := time.Duration(0)
	for begin := w.now; back == 0 && w.now < begin+30*time.Second; w.run(w.now + 100*time.Millisecond) {
		if w.nodes[heir].m.keys[testKey].role == roleOwner {
			back = w.now - begin
		}
	}
	if back < 4*time.Second {
		t.Fatalf("the key went back after %v (0: never)", back)
	}
	w.mustPut(t, "x", 2)
	if n := w.settle(t); n.id != heir || n.m.keys[testKey].Records["x"].Gen != 2 {
		t.Fatalf("%s owns x=%d", n.id, n.m.keys[testKey].Records["x"].Gen)
	}
}

// The disks of a version that knew no identities: seats are addresses. They go on
// working, and are renewed without a person's hand.
func TestSeatsWithoutIdentitiesAreRenewed(t *testing.T) {
	w := newWorld(t, 31, 4)
	w.run(6 * time.Second)
	w.mustPut(t, "x", 1)
	w.run(w.now + time.Second)
	for _, id := range w.ids {
		w.crash(id, false)
	}
	for _, id := range w.ids {
		disk := w.nodes[id].disk
		disk[nodeEntryKey] = marshal(nodeValue{Voting: true, Bootstrapped: true})
		for name, b := range disk {
			var r storedRecord
			if len(name) > len(recordPrefix) && name[:len(recordPrefix)] == recordPrefix && unmarshal(b, &r) && r.Key == RosterKey {
				delete(disk, name)
				if !r.Record.Dropped {
					r.Record.Name = addressOf(r.Record.Name)
					disk[recordPrefix+RosterKey+"/"+r.Record.Name] = marshal(r)
				}
			}
		}
		w.start(id)
	}
	w.mustPut(t, "x", 2)
	w.run(w.now + 8*time.Second)
	for _, id := range w.ids {
		s := w.nodes[id].m.seats()
		if len(s.newSeats) != 4 || s.joint || !slices.Contains(s.newSeats, w.nodes[id].m.self) {
			t.Fatalf("%s has the roster %+v", id, s)
		}
	}
	w.crash(w.ids[1], true) // a wiped one counts for nothing, as ever
	w.mustPut(t, "x", 3)
}

// After everything has stopped at once, those who kept their disks do not wait for a first
// heir that has come back without its own: it may own nothing yet.
func TestAWipedFirstHeirIsNotWaitedFor(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		w := newWorld(t, seed, 5)
		w.run(6 * time.Second)
		heir := w.mustPut(t, "x", 1).m.Heirs(testKey)[0]
		for _, id := range w.ids {
			w.crash(id, id == heir)
		}
		w.run(w.now + time.Second)
		for _, id := range w.ids {
			w.start(id)
		}
		begin := w.now
		n := w.settle(t)
		if took := w.now - begin; n.id == heir || took > testBeat {
			t.Errorf("seed %d: %s owns the key after %v", seed, n.id, took)
		}
	}
}
