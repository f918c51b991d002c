package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestDiskLossAfterReplacements replaces three machines one by one, with a planned replacement in
// between, each as soon as the fault budget allows. Then as many disks as it allows are lost right
// after an acknowledgement, and all other machines lose power.
func TestDiskLossAfterReplacements(t *testing.T) {
	for _, tc := range []struct {
		members, faults, zones int
		target                 failureTarget
	}{
		{5, 2, 3, anyMachine}, {5, 2, 5, owner}, {5, 2, 4, newest},
		{8, 2, 4, anyMachine}, {8, 2, 4, owner}, {8, 2, 4, newest},
		{6, 2, 3, voterSetOwner}, {4, 1, 3, anyMachine}, {4, 1, 4, owner}, {4, 1, 4, newest},
	} {
		t.Run(fmt.Sprintf("%d of %d in %d zones, %s", tc.faults, tc.members, tc.zones, targetNames[tc.target]), func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 8; seed++ {
				schedule := schedule{seed: seed, members: tc.members, faults: tc.faults, zones: tc.zones}
				for i, kind := range []failureKind{replace, replace, plannedReplacement, replace} {
					schedule.failures = append(schedule.failures, failure{kind: kind, target: failureTarget((int(seed) + i) % int(failureTargetCount)), index: int(seed) + i, count: 1, replaceAfter: time.Duration(seed) * 300 * time.Millisecond})
				}
				schedule.lastFailure = &failure{kind: wipeAndPowerLoss, target: tc.target, index: int(seed), count: tc.faults, duration: time.Second, replaceAfter: 12 * time.Second}
				if violation, _ := runSchedule(schedule); violation != "" {
					t.Fatalf("%s\n%v", violation, schedule)
				}
			}
		})
	}
}

// TestFrozenOwnerServesNoStaleReads sends a read to an owner at the moment it resumes, after another
// member has taken over.
func TestFrozenOwnerServesNoStaleReads(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		sim := newClusterWithVoters(t, seed, 4, 1, 4)
		sim.mustPut(t, "x", 1)
		frozen := sim.waitForOwner(t)
		sim.injectFailure(failure{kind: cutOff, index: slices.IndexFunc(sim.healthy(), func(n *node) bool { return n == frozen }), count: 1, duration: 30 * time.Second})
		frozen.frozenUntil = sim.now + 10*time.Second
		sim.runUntil(sim.now + 5*time.Second)
		if n := sim.mustPut(t, "x", 2); n == frozen {
			t.Fatalf("seed %d: the frozen owner answered", seed)
		}
		sim.minVersions[testPartition+"/x"] = 2
		sim.runUntil(frozen.frozenUntil - time.Millisecond)
		sim.readPartition(frozen.address, testPartition, func(err error) {
			if err == nil {
				t.Fatalf("seed %d: the stale read was answered", seed)
			}
		})
		sim.runUntil(sim.now + 2*time.Second)
	}
}

// TestWipedVotersLoseNoAcknowledgedChange has a change on only three of five disks. Two of them are
// lost, all machines lose power, and the one with the third disk starts last.
func TestWipedVotersLoseNoAcknowledgedChange(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		sim, owner := newLosslessCluster(t, seed, 5, 2, 5, time.Second)
		others := sim.machinesExcept(owner)
		sim.drop = func(from string, e Envelope) bool {
			return from == owner.address && (e.To == others[2].address || e.To == others[3].address) && bodyAs[*Append](e.Msg) != nil && bodyAs[*Append](e.Msg).Partition == testPartition
		}
		if err := sim.put(owner, "x", 2); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got := sim.machinesWithCopy("x", 2); len(got) != 3 {
			t.Fatalf("seed %d: copies at %v", seed, got)
		}
		sim.drop = nil
		for i, n := range append(others, owner) {
			sim.crash(n.address, i < 2)
		}
		for _, n := range others {
			sim.start(n.address)
		}
		for end := sim.now + 4*time.Second; sim.now < end; sim.runUntil(sim.now + 50*time.Millisecond) {
			if n := sim.ownerOf(testPartition); n != nil {
				t.Fatalf("seed %d: %s owns the partition although two of the disks are new", seed, n.address)
			}
		}
		sim.start(owner.address)
		sim.waitFor("all members hold everything", 12*time.Second, sim.voterSetProblem)
		if n := sim.waitForOwner(t); n.replica.partitions[testPartition].Records["x"].Gen != 2 {
			t.Fatalf("seed %d: lost", seed)
		}
	}
}

// TestFrozenOwnerWhileVoterIsReplaced freezes an owner with a change in progress. Meanwhile another
// member loses its disk and becomes a voter again with a new identity.
func TestFrozenOwnerWhileVoterIsReplaced(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		sim := newClusterWithVoters(t, seed, 5, 2, 5)
		sim.duplicates = true
		sim.mustPut(t, "x", 1)
		sim.runUntil(sim.now + time.Second)
		owner := sim.waitForOwner(t)
		acknowledged := false
		sim.runOn(owner.address, owner.runID, func() {
			owner.replica.Propose(sim.clock(owner), testPartition, func(map[string]Record) ([]Record, error) {
				return []Record{{Name: "x", Gen: 2, Data: []byte("old")}}, nil
			}, func(err error) { acknowledged = err == nil })
		})
		sim.freeze(owner, 12*time.Second)
		sim.runUntil(sim.now + time.Duration(seed)*100*time.Millisecond)
		var wiped *node
		for _, address := range sim.addresses {
			if n := sim.nodes[address]; n != owner && n.replica.partitions[VoterSetPartition].role != roleOwner {
				wiped = n
				break
			}
		}
		sim.crash(wiped.address, true)
		sim.runUntil(sim.now + 500*time.Millisecond)
		sim.start(wiped.address)
		sim.runUntil(sim.now + 6*time.Second)
		if !wiped.replica.IsVoter() {
			t.Fatalf("seed %d: the member that lost its disk is not a voter", seed)
		}
		n := sim.mustPut(t, "x", 3)
		if n == owner {
			t.Fatalf("seed %d: the frozen owner answered", seed)
		}
		sim.runUntil(sim.now + 15*time.Second)
		if acknowledged && sim.contents[testPartition+"/x/2"] != "old" {
			t.Fatalf("seed %d: a change was acknowledged but never committed", seed)
		}
		sim.waitFor("all members hold everything", 10*time.Second, sim.voterSetProblem)
		if got := sim.waitForOwner(t).replica.partitions[testPartition].Records["x"].Gen; got != 3 {
			t.Fatalf("seed %d: x=%d", seed, got)
		}
	}
}

// TestNewMemberBecomesVoterSoon adds a member to an idle cluster, and under a stream of changes.
func TestNewMemberBecomesVoterSoon(t *testing.T) {
	for _, underLoad := range []bool{false, true} {
		for _, members := range []int{4, 5, 8} {
			for seed := int64(1); seed <= 8; seed++ {
				sim := newClusterWithVoters(t, seed, members, 1+members/5, 4)
				sim.mustPut(t, "x", 1)
				if underLoad {
					sim.injectFailure(failure{kind: changeStream, duration: 20 * time.Second})
				}
				sim.runUntil(sim.now + 3*time.Second)
				added := sim.startReplacement()
				sim.waitFor(fmt.Sprintf("the member added to %d (seed %d, under load: %v) is a voter", members, seed, underLoad), 3*time.Second, func() string {
					if added.replica.mayOwn() && !added.replica.voterSet().joint && added.replica.partitions[VoterSetPartition].commit == added.replica.partitions[VoterSetPartition].position {
						return ""
					}
					return fmt.Sprint(*added.replica.voterSet())
				})
			}
		}
	}
}

// TestOneWayCutDoesNotDeposeHealthyOwner cuts one member off in one direction for 20 s.
func TestOneWayCutDoesNotDeposeHealthyOwner(t *testing.T) {
	for _, kind := range []failureKind{cutOutgoing, cutIncoming} {
		for index := 0; index < 4; index++ {
			t.Run(fmt.Sprint(kindNames[kind], index), func(t *testing.T) {
				sim, _ := newLosslessCluster(t, int64(index+1), 4, 1, 4, 3*time.Second)
				partitions := append([]string{VoterSetPartition}, sim.partitions...)
				before := map[string]Epoch{}
				for _, partition := range partitions {
					before[partition] = sim.ownerOf(partition).replica.partitions[partition].ownEpoch
				}
				cut := sim.nodes[sim.addresses[index]]
				sim.injectFailure(failure{kind: kind, index: index, count: 1, duration: 20 * time.Second})
				unservedFor := map[string]time.Duration{}
				for begin := sim.now; sim.now < begin+22*time.Second; sim.runUntil(sim.now + 50*time.Millisecond) {
					for _, partition := range partitions {
						served := false
						for _, address := range sim.addresses {
							n := sim.nodes[address]
							part := n.replica.partitions[partition]
							served = served || part.role == roleOwner && sim.clock(n)-part.quorumAt <= testElectionTimeout && part.commit.Epoch == part.ownEpoch
						}
						if !served {
							if unservedFor[partition] += 50 * time.Millisecond; unservedFor[partition] > 2*testElectionTimeout {
								t.Fatalf("%s had no owner for %v", partition, unservedFor[partition])
							}
						}
						if owner := sim.ownerOf(partition); before[partition].Owner != cut.address && owner != nil && owner.replica.partitions[partition].ownEpoch != before[partition] && sim.now < begin+20*time.Second {
							t.Fatalf("%v of %s was deposed by %v", before[partition], partition, owner.replica.partitions[partition].ownEpoch)
						}
					}
				}
			})
		}
	}
}

// TestLeavingMemberWaitsForReplication blocks all copies of what a leaving member holds: it must not
// report that it can be shut down until enough others have it.
func TestLeavingMemberWaitsForReplication(t *testing.T) {
	for _, tc := range []struct{ members, faults int }{{4, 1}, {5, 2}, {8, 2}} {
		for seed := int64(1); seed <= 5; seed++ {
			sim := newClusterWithVoters(t, seed, tc.members, tc.faults, 4)
			sim.lossless = true
			sim.mustPut(t, "x", 1)
			leaving := sim.waitForOwner(t)
			sim.runUntil(sim.now + time.Second)
			sim.drop = func(from string, e Envelope) bool {
				return bodyAs[*Append](e.Msg) != nil && bodyAs[*Append](e.Msg).Partition == testPartition || bodyAs[*SnapshotChunk](e.Msg) != nil || bodyAs[*AppendAck](e.Msg) != nil && bodyAs[*AppendAck](e.Msg).Partition == testPartition
			}
			_ = sim.put(leaving, "x", 2) // only the leaving member may hold it
			sim.runOn(leaving.address, leaving.runID, func() { leaving.replica.Leave(sim.clock(leaving)) })
			for end := sim.now + 3*time.Second; sim.now < end; sim.runUntil(sim.now + 50*time.Millisecond) {
				if leaving.replica.SafeToLeave(sim.clock(leaving)) && leaving.replica.isVoter() {
					t.Fatalf("%d members, seed %d: the member may leave with x=2 at %v", tc.members, seed, sim.machinesWithCopy("x", 2))
				}
			}
			sim.drop = nil
			begin := sim.now
			sim.waitFor("the member may leave", 5*time.Second, func() string {
				if leaving.replica.SafeToLeave(sim.clock(leaving)) {
					return ""
				}
				return fmt.Sprint(*leaving.replica.voterSet())
			})
			if took := sim.now - begin; took > 4*time.Second {
				t.Fatalf("%d members, seed %d: the member waited for %v", tc.members, seed, took)
			}
			if setOwner := sim.ownerOf(VoterSetPartition); setOwner != nil && len(setOwner.replica.voterSet().newVoters) > setOwner.replica.minVoters() && slices.Contains(setOwner.replica.voterSet().newVoters, leaving.replica.self) {
				t.Fatalf("%d members, seed %d: the member may leave as a voter, although the others have enough voters", tc.members, seed)
			}
		}
	}
}

// TestMemberLeavesSoonWithoutFailures drains a member in a healthy cluster. If there are more than
// minVoters voters, it is removed from the voter set first.
func TestMemberLeavesSoonWithoutFailures(t *testing.T) {
	for _, tc := range []struct{ members, faults int }{{4, 1}, {5, 1}, {5, 2}, {6, 2}, {8, 2}} {
		for seed := int64(1); seed <= 8; seed++ {
			sim := newClusterWithVoters(t, seed, tc.members, tc.faults, 4)
			sim.lossless = true
			sim.mustPut(t, "x", 1)
			sim.runUntil(sim.now + time.Second)
			leaving := sim.nodes[sim.addresses[int(seed)%tc.members]]
			sim.runOn(leaving.address, leaving.runID, func() { leaving.replica.Leave(sim.clock(leaving)) })
			begin := sim.now
			sim.waitFor("the member may leave", 2*time.Second, func() string {
				if leaving.replica.SafeToLeave(sim.clock(leaving)) {
					return ""
				}
				return fmt.Sprint(tc, seed, *leaving.replica.voterSet())
			})
			t.Logf("%+v seed %d: after %v", tc, seed, sim.now-begin)
		}
	}
}
