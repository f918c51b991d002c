package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestClosingFaultAfterReplacements replaces three machines one after the other, with a
// planned replacement that crosses them, each as soon as the budget allows. Then as many
// disks as it allows are lost right after an acknowledgement, and all others lose power.
func TestClosingFaultAfterReplacements(t *testing.T) {
	for _, c := range []struct {
		members, faults, zones int
		aim                    aim
	}{
		{5, 2, 3, any_}, {5, 2, 5, owner}, {5, 2, 4, newcomer},
		{8, 2, 4, any_}, {8, 2, 4, owner}, {8, 2, 4, newcomer},
		{6, 2, 3, keeper}, {4, 1, 3, any_}, {4, 1, 4, owner}, {4, 1, 4, newcomer},
	} {
		t.Run(fmt.Sprintf("%d of %d in %d zones, %s", c.faults, c.members, c.zones, targetNames[c.aim]), func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 8; seed++ {
				s := schedule{seed: seed, members: c.members, faults: c.faults, zones: c.zones}
				for i, k := range []kind{replace, replace, planned, replace} {
					s.failures = append(s.failures, failure{kind: k, aim: aim((int(seed) + i) % int(failureTargets)), who: int(seed) + i, count: 1, more: time.Duration(seed) * 300 * time.Millisecond})
				}
				s.closing = &failure{kind: wipePower, aim: c.aim, who: int(seed), count: c.faults, hold: time.Second, more: 12 * time.Second}
				if broken, _ := perform(s); broken != "" {
					t.Fatalf("%s\n%v", broken, s)
				}
			}
		})
	}
}

// TestAFrozenOwnerTellsNothingOld asks an owner for a read the moment it wakes, after
// another has taken its place.
func TestAFrozenOwnerTellsNothingOld(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorldWithVoters(t, seed, 4, 1, 4)
		w.mustPut(t, "x", 1)
		old := w.settle(t)
		w.inject(failure{kind: cutOff, who: slices.IndexFunc(w.sound(), func(n *node) bool { return n == old }), count: 1, hold: 30 * time.Second})
		old.frozen = w.now + 10*time.Second
		w.run(w.now + 5*time.Second)
		if n := w.mustPut(t, "x", 2); n == old {
			t.Fatalf("seed %d: the frozen owner answered", seed)
		}
		w.floors[testKey+"/x"] = 2
		w.run(old.frozen - time.Millisecond)
		w.read(old.id, testKey, func(err error) {
			if err == nil {
				t.Fatalf("seed %d: it was answered", seed)
			}
		})
		w.run(w.now + 2*time.Second)
	}
}

// TestAWipedVoterForgetsNothingThatCounts has a change on just three of five disks. Two
// of them are lost, everything loses power, and the third comes back last.
func TestAWipedVoterForgetsNothingThatCounts(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		w, o := newCalmWorld(t, seed, 5, 2, 5, time.Second)
		others := w.others(o)
		w.drop = func(from string, e Envelope) bool {
			return from == o.id && (e.To == others[2].id || e.To == others[3].id) && as[*Append](e.Msg) != nil && as[*Append](e.Msg).Key == testKey
		}
		if err := w.put(o, "x", 2); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got := w.holders("x", 2); len(got) != 3 {
			t.Fatalf("seed %d: copies at %v", seed, got)
		}
		w.drop = nil
		for i, n := range append(others, o) {
			w.crash(n.id, i < 2)
		}
		for _, n := range others {
			w.start(n.id)
		}
		for end := w.now + 4*time.Second; w.now < end; w.run(w.now + 50*time.Millisecond) {
			if n := w.holder(testKey); n != nil {
				t.Fatalf("seed %d: %s owns the key, with two disks that are new", seed, n.id)
			}
		}
		w.start(o.id)
		w.until("all hold everything", 12*time.Second, w.seated)
		if n := w.settle(t); n.m.keys[testKey].Records["x"].Gen != 2 {
			t.Fatalf("seed %d: lost", seed)
		}
	}
}

// TestAFrozenOwnerWhileAMemberIsReseated freezes an owner with a change under way. A
// member loses its disk meanwhile and gets its seat anew.
func TestAFrozenOwnerWhileAMemberIsReseated(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newWorldWithVoters(t, seed, 5, 2, 5)
		w.extra = true
		w.mustPut(t, "x", 1)
		w.run(w.now + time.Second)
		o := w.settle(t)
		told := false
		w.on(o.id, o.life, func() {
			o.m.Propose(w.clock(o), testKey, func(map[string]Record) ([]Record, error) {
				return []Record{{Name: "x", Gen: 2, Data: []byte("old")}}, nil
			}, func(err error) { told = err == nil })
		})
		w.freeze(o, 12*time.Second)
		w.run(w.now + time.Duration(seed)*100*time.Millisecond)
		var a *node
		for _, id := range w.ids {
			if n := w.nodes[id]; n != o && n.m.keys[RosterKey].role != roleOwner {
				a = n
				break
			}
		}
		w.crash(a.id, true)
		w.run(w.now + 500*time.Millisecond)
		w.start(a.id)
		w.run(w.now + 6*time.Second)
		if !a.m.Voting() {
			t.Fatalf("seed %d: the member that lost its disk has no seat", seed)
		}
		n := w.mustPut(t, "x", 3)
		if n == o {
			t.Fatalf("seed %d: the frozen owner answered", seed)
		}
		w.run(w.now + 15*time.Second)
		if told && w.content[testKey+"/x/2"] != "old" {
			t.Fatalf("seed %d: told of what was never committed", seed)
		}
		w.until("all hold everything", 10*time.Second, w.seated)
		if got := w.settle(t).m.keys[testKey].Records["x"].Gen; got != 3 {
			t.Fatalf("seed %d: x=%d", seed, got)
		}
	}
}

// TestANewcomerGetsItsSeatSoon starts a member in calm, and under a storm of changes.
func TestANewcomerGetsItsSeatSoon(t *testing.T) {
	for _, stormy := range []bool{false, true} {
		for _, members := range []int{4, 5, 8} {
			for seed := int64(1); seed <= 8; seed++ {
				w := newWorldWithVoters(t, seed, members, 1+members/5, 4)
				w.mustPut(t, "x", 1)
				if stormy {
					w.inject(failure{kind: storm, hold: 20 * time.Second})
				}
				w.run(w.now + 3*time.Second)
				n := w.successor()
				w.until(fmt.Sprintf("the newcomer of %d (seed %d, storm %v) has its seat", members, seed, stormy), 3*time.Second, func() string {
					if n.m.mayOwn() && !n.m.seats().joint && n.m.keys[RosterKey].commit == n.m.keys[RosterKey].position {
						return ""
					}
					return fmt.Sprint(*n.m.seats())
				})
			}
		}
	}
}

// TestACutOneWayDeposesNoSoundOwner cuts one member off one way for 20 s.
func TestACutOneWayDeposesNoSoundOwner(t *testing.T) {
	for _, k := range []kind{mute, deaf} {
		for who := 0; who < 4; who++ {
			t.Run(fmt.Sprint(kindNames[k], who), func(t *testing.T) {
				w, _ := newCalmWorld(t, int64(who+1), 4, 1, 4, 3*time.Second)
				keys := append([]string{RosterKey}, w.keys...)
				before := map[string]Epoch{}
				for _, key := range keys {
					before[key] = w.holder(key).m.keys[key].ownEpoch
				}
				cut := w.nodes[w.ids[who]]
				w.inject(failure{kind: k, who: who, count: 1, hold: 20 * time.Second})
				without := map[string]time.Duration{}
				for begin := w.now; w.now < begin+22*time.Second; w.run(w.now + 50*time.Millisecond) {
					for _, key := range keys {
						served := false
						for _, id := range w.ids {
							n := w.nodes[id]
							kk := n.m.keys[key]
							served = served || kk.role == roleOwner && w.clock(n)-kk.quorumAt <= testVacant && kk.commit.Epoch == kk.ownEpoch
						}
						if !served {
							if without[key] += 50 * time.Millisecond; without[key] > 2*testVacant {
								t.Fatalf("%s had no owner for %v", key, without[key])
							}
						}
						if o := w.holder(key); before[key].Owner != cut.id && o != nil && o.m.keys[key].ownEpoch != before[key] && w.now < begin+20*time.Second {
							t.Fatalf("%v of %s was deposed by %v", before[key], key, o.m.keys[key].ownEpoch)
						}
					}
				}
			})
		}
	}
}

// TestALeavingMemberWaitsForTheOthers lets nobody take what a leaving member holds.
func TestALeavingMemberWaitsForTheOthers(t *testing.T) {
	for _, c := range []struct{ members, faults int }{{4, 1}, {5, 2}, {8, 2}} {
		for seed := int64(1); seed <= 5; seed++ {
			w := newWorldWithVoters(t, seed, c.members, c.faults, 4)
			w.calm = true
			w.mustPut(t, "x", 1)
			n := w.settle(t)
			w.run(w.now + time.Second)
			w.drop = func(from string, e Envelope) bool {
				return as[*Append](e.Msg) != nil && as[*Append](e.Msg).Key == testKey || as[*SnapshotChunk](e.Msg) != nil || as[*AppendAck](e.Msg) != nil && as[*AppendAck](e.Msg).Key == testKey
			}
			_ = w.put(n, "x", 2) // only the leaving member may hold it
			w.on(n.id, n.life, func() { n.m.Leave(w.clock(n)) })
			for end := w.now + 3*time.Second; w.now < end; w.run(w.now + 50*time.Millisecond) {
				if n.m.MayGo(w.clock(n)) && n.m.hasSeat() {
					t.Fatalf("%d members, seed %d: it may go with x=2 at %v", c.members, seed, w.holders("x", 2))
				}
			}
			w.drop = nil
			begin := w.now
			w.until("the member may go", 5*time.Second, func() string {
				if n.m.MayGo(w.clock(n)) {
					return ""
				}
				return fmt.Sprint(*n.m.seats())
			})
			if took := w.now - begin; took > 4*time.Second {
				t.Fatalf("%d members, seed %d: it waits for %v", c.members, seed, took)
			}
			if s := w.holder(RosterKey); s != nil && len(s.m.seats().newSeats) > s.m.minSeats() && slices.Contains(s.m.seats().newSeats, n.m.self) {
				t.Fatalf("%d members, seed %d: it may go with a seat that isn't needed", c.members, seed)
			}
		}
	}
}

// TestAMemberThatLeavesInCalmMayGoSoon also has its seat taken if the others need it
// less than they would mind its silence.
func TestAMemberThatLeavesInCalmMayGoSoon(t *testing.T) {
	for _, c := range []struct{ members, faults int }{{4, 1}, {5, 1}, {5, 2}, {6, 2}, {8, 2}} {
		for seed := int64(1); seed <= 8; seed++ {
			w := newWorldWithVoters(t, seed, c.members, c.faults, 4)
			w.calm = true
			w.mustPut(t, "x", 1)
			w.run(w.now + time.Second)
			n := w.nodes[w.ids[int(seed)%c.members]]
			w.on(n.id, n.life, func() { n.m.Leave(w.clock(n)) })
			begin := w.now
			w.until("the member may go", 2*time.Second, func() string {
				if n.m.MayGo(w.clock(n)) {
					return ""
				}
				return fmt.Sprint(c, seed, *n.m.seats())
			})
			t.Logf("%+v seed %d: after %v", c, seed, w.now-begin)
		}
	}
}
