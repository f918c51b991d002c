package replication

// This file holds tests of changes of the voter set and of members removed from it.

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestOwnerThatMissedTwoVoterSetsCannotAcknowledge has an owner miss two changes of the voter set.
// Together with the two members that these removed it is a majority of the voter set that it knows.
func TestOwnerThatMissedTwoVoterSetsCannotAcknowledge(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		sim := newClusterWithVoters(t, seed, 5, 2, 5)
		sim.lossless = true
		sim.mustPut(t, "x", 1)
		owner, voterSetOwner := sim.separateOwners()
		others := sim.machinesExcept(owner, voterSetOwner)
		// The owner receives nothing about the voter set.
		noVoterSet := true
		sim.drop = func(_ string, e Envelope) bool {
			m := e.Msg
			return noVoterSet && e.To == owner.address && (bodyAs[*Append](m) != nil && bodyAs[*Append](m).Partition == VoterSetPartition || bodyAs[*AppendAck](m) != nil && bodyAs[*AppendAck](m).Outdated != nil ||
				bodyAs[*HeartbeatAck](m) != nil && bodyAs[*HeartbeatAck](m).Outdated != nil ||
				bodyAs[*Vote](m) != nil && bodyAs[*Vote](m).Outdated != nil || bodyAs[*StateReport](m) != nil && bodyAs[*StateReport](m).Outdated != nil || bodyAs[*SnapshotChunk](m) != nil && bodyAs[*SnapshotChunk](m).Partition == VoterSetPartition)
		}
		removed := others[:2]
		for _, n := range removed {
			sim.freeze(n, time.Hour)
			sim.remove(n, time.Second)
			n.failures++ // remove decrements the count later
			sim.runUntil(sim.now + 9*time.Second)
		}
		newer := sim.committedAt[VoterSetPartition]
		if got := owner.replica.partitions[VoterSetPartition].position; !got.Less(newer) || len(owner.replica.voterSet().newVoters) != 5 || !slices.Contains(owner.replica.voterSet().newVoters, removed[0].replica.self) {
			t.Fatalf("seed %d: the owner has learned of the voter set %v", seed, *owner.replica.voterSet())
		}
		// It can reach only those two.
		sim.changeCuts([]*node{owner, removed[0], removed[1]}, true, true, 1)
		for _, n := range removed {
			sim.unfreeze(n)
		}
		sim.addresses = append(sim.addresses, removed[0].address, removed[1].address)
		for end := sim.now + 6*time.Second; sim.now < end; {
			for _, n := range append(removed, owner) {
				if err := sim.put(n, "x", 100); err == nil {
					t.Fatalf("seed %d: %s acknowledged with removed members", seed, n.address)
				}
			}
			sim.runUntil(sim.now + 50*time.Millisecond)
		}
		for _, n := range append(removed, owner) {
			if n.replica.partitions[testPartition].role == roleOwner || n.replica.partitions[VoterSetPartition].role == roleOwner {
				t.Fatalf("seed %d: %s owns a partition among removed members", seed, n.address)
			}
		}
	}
}

// TestRemovedMembersFormNoQuorum resumes three members that were removed from the voter set one by
// one while they were frozen: a majority of the first voter set.
func TestRemovedMembersFormNoQuorum(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		sim := newClusterWithVoters(t, seed, 5, 2, 5)
		sim.mustPut(t, "x", 1)
		sim.runUntil(sim.now + 2*time.Second)
		var removed []*node
		for i := 0; i < 3; i++ {
			n := sim.nodes[sim.addresses[(int(seed)+i)%(5-i)]]
			sim.freeze(n, time.Hour)
			sim.remove(n, time.Second)
			n.failures++
			removed = append(removed, n)
			sim.runUntil(sim.now + 6*time.Second)
			sim.waitFor("the voter is removed", 3*time.Second, sim.voterSetProblem)
		}
		sim.changeCuts(removed, true, true, 1)
		for _, n := range removed {
			sim.unfreeze(n)
		}
		begin := sim.now
		for sim.now < begin+10*time.Second {
			for _, n := range removed {
				if err := sim.put(n, "x", 50); err == nil {
					t.Fatalf("seed %d: %s acknowledged", seed, n.address)
				}
				for _, partition := range []string{testPartition, VoterSetPartition} {
					if n.replica.partitions[partition].role == roleOwner && n.replica.partitions[partition].ownerSince >= begin-n.startedAt {
						t.Fatalf("seed %d: %s owns %s", seed, n.address, partition)
					}
				}
			}
			sim.runUntil(sim.now + 100*time.Millisecond)
		}
		sim.mustPut(t, "x", 60)
		sim.changeCuts(removed, true, true, -1)
		for _, n := range removed {
			sim.addresses = append(sim.addresses, n.address)
		}
		sim.runUntil(sim.now + 10*time.Second)
		sim.mustPut(t, "x", 61)
	}
}

// voterSetChange is a change of the voter set in progress: failed1 and failed2, which are frozen, are
// to be replaced by two new members at once. owner owns the test partition, setOwner the voter set.
type voterSetChange struct {
	*cluster
	owner, remaining, setOwner, failed1, failed2 *node
	replacements                                 []*node
	joint                                        bool                               // setOwner has the joint voter set
	drops                                        func(from string, e Envelope) bool // further messages to drop
}

func newVoterSetChange(t *testing.T, seed int64) *voterSetChange {
	t.Helper()
	sim := newClusterWithVoters(t, seed, 5, 2, 5)
	sim.lossless = true
	sim.mustPut(t, "x", 1)
	change := &voterSetChange{cluster: sim}
	change.owner, change.setOwner = sim.separateOwners()
	others := sim.machinesExcept(change.owner, change.setOwner)
	change.remaining, change.failed1, change.failed2 = others[0], others[1], others[2]
	for _, n := range others[1:] {
		sim.freeze(n, time.Hour)
	}
	joinAfter := sim.now + 4*time.Second
	sim.drop = func(from string, e Envelope) bool {
		change.joint = change.joint || change.setOwner.replica.voterSet().joint
		// Both new members are known to hold everything before the change begins.
		tooEarly := sim.now < joinAfter && bodyAs[*Join](e.Msg) != nil || sim.now < joinAfter+3*testHeartbeat && bodyAs[*StateReport](e.Msg) != nil && (from == change.owner.address || from == change.remaining.address)
		return tooEarly || change.drops != nil && change.drops(from, e)
	}
	change.replacements = []*node{sim.startReplacement(), sim.startReplacement()}
	return change
}

// untilJoint runs until setOwner has the joint voter set.
func (c *voterSetChange) untilJoint() {
	c.waitFor("the voter set is joint", 10*time.Second, func() string {
		if c.joint {
			return ""
		}
		return fmt.Sprint(*c.setOwner.replica.voterSet())
	})
}

// TestJointVoterSetNeedsBothMajorities cuts the owner of the voter set and two new members, a
// majority of the new voters, off from the majority of the old voters.
func TestJointVoterSetNeedsBothMajorities(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		c := newVoterSetChange(t, seed)
		before := []*node{c.owner, c.remaining, c.failed1, c.failed2}
		c.drops = func(from string, e Envelope) bool {
			if c.joint && c.failed1.frozenUntil > c.now {
				for _, n := range []*node{c.failed1, c.failed2} {
					c.unfreeze(n)
				}
			}
			return c.joint && crossesCut(before, from, e.To)
		}
		c.untilJoint()
		if s := c.setOwner.replica.voterSet(); len(s.newVoters) != 5 || slices.Contains(s.newVoters, c.failed1.replica.self) || slices.Contains(s.newVoters, c.failed2.replica.self) {
			t.Fatalf("seed %d: not the intended change: %v", seed, *s)
		}
		if err := c.put(c.owner, "x", 2); err != nil {
			t.Fatalf("seed %d: a majority of the old voters does not acknowledge: %v", seed, err)
		}
		for end := c.now + 8*time.Second; c.now < end; c.runUntil(c.now + 50*time.Millisecond) {
			for _, n := range append(c.replacements, c.setOwner) {
				if n.replica.partitions[testPartition].role == roleOwner || !n.replica.voterSet().joint && len(n.replica.voterSet().newVoters) > 0 && !slices.Contains(n.replica.voterSet().newVoters, c.failed1.replica.self) {
					t.Fatalf("seed %d: %s decides without the old voters: %v", seed, n.address, *n.replica.voterSet())
				}
			}
		}
	}
}

// TestJointVoterSetEndsOnlyWhenNewVotersHoldEverything has a change acknowledged under the old voter
// set while the joint one is being replicated. A majority of the new voters lacks that change and
// must not get to decide alone.
func TestJointVoterSetEndsOnlyWhenNewVotersHoldEverything(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		c := newVoterSetChange(t, seed)
		var jointSince time.Duration
		lacking := append([]*node{c.setOwner}, c.replacements...)
		c.drops = func(from string, e Envelope) bool {
			m := e.Msg
			switch {
			case !c.joint:
				return false
			case jointSince == 0:
				jointSince = c.now
				c.unfreeze(c.failed1)
			}
			switch {
			case crossesCut([]*node{c.owner, c.remaining, c.failed1}, from, e.To) && (from == c.failed1.address || e.To == c.failed1.address):
				return true
			case c.now < jointSince+time.Second && crossesCut(lacking, from, e.To):
				return true // the joint voter set is delayed
			}
			return slices.ContainsFunc(lacking, func(n *node) bool { return n.address == e.To }) && (bodyAs[*Append](m) != nil && bodyAs[*Append](m).Partition == testPartition || bodyAs[*SnapshotChunk](m) != nil)
		}
		c.untilJoint()
		if err := c.put(c.owner, "x", 2); err != nil {
			t.Fatalf("seed %d: a majority of the old voters does not acknowledge: %v", seed, err)
		}
		c.runUntil(c.now + 5*time.Second)
		if s := c.setOwner.replica.voterSet(); !s.joint && !slices.Contains(s.newVoters, c.failed1.replica.self) {
			t.Errorf("seed %d: the joint voter set ended with x=2 at %v", seed, c.machinesWithCopy("x", 2))
		}
		c.drops = func(from string, e Envelope) bool { return crossesCut(lacking, from, e.To) }
		// A member that became owner now would lack an acknowledged change.
		c.runUntil(c.now + 8*time.Second)
		c.drops = nil
		c.unfreeze(c.failed2)
		c.runUntil(c.now + 5*time.Second)
		if n := c.waitForOwner(t); n.replica.partitions[testPartition].Records["x"].Gen != 2 {
			t.Fatalf("seed %d: lost", seed)
		}
	}
}

// TestRemovedVoterLosesOwnership removes an owner from the voter set. The owner learns of that from
// the ordinary replication of the voter set; afterwards nothing is replicated to it any more.
func TestRemovedVoterLosesOwnership(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		sim, _ := newLosslessCluster(t, seed, 6, 2, 5, time.Second)
		owner, voterSetOwner := sim.separateOwners()
		voterSetOwner.replica.leavers[owner.replica.self] = sim.clock(voterSetOwner) // as if it had announced that it leaves
		sim.drop = func(from string, e Envelope) bool { return bodyAs[*Join](e.Msg) != nil }
		begin := sim.now
		sim.waitFor("the voter is removed and the partition has another owner", 2*time.Second, func() string {
			if n := sim.ownerOf(testPartition); n == nil || n == owner || slices.Contains(voterSetOwner.replica.voterSet().all(), owner.replica.self) && !voterSetOwner.replica.voterSet().joint {
				return fmt.Sprint(*voterSetOwner.replica.voterSet())
			}
			return ""
		})
		if took := sim.now - begin; took > testElectionTimeout {
			t.Fatalf("seed %d: another owner after %v", seed, took)
		}
	}
}

// TestVotesForRemovedVoterElectNoOwner has a candidate removed from the voter set between its vote
// request and the votes.
func TestVotesForRemovedVoterElectNoOwner(t *testing.T) {
	for _, removed := range []bool{false, true} {
		sim := newClusterWithVoters(t, 5, 5, 2, 5)
		sim.mustPut(t, "x", 1)
		sim.runUntil(sim.now + 2*time.Second)
		owner, voterSetOwner := sim.waitForOwner(t), sim.ownerOf(VoterSetPartition)
		candidate := sim.lastMachineExcept(owner, voterSetOwner)
		m, part, voterSet := candidate.replica, candidate.replica.partitions[testPartition], candidate.replica.partitions[VoterSetPartition]
		m.startElection(part, true)
		m.Durable(sim.clock(candidate), m.lastWrite)
		if removed {
			next := map[string]voterState{}
			for _, voter := range m.voterSet().newVoters {
				if next[voter] = voterStable; voter == m.self {
					next[voter] = voterLeaving
				}
			}
			m.Handle(sim.clock(candidate), voterSetOwner.address, Message{Identity: voterSetOwner.replica.identity, Body: &Append{Partition: VoterSetPartition, Epoch: voterSet.promised,
				Base: voterSet.position, Seq: voterSet.position.Seq + 1, VoterSet: Position{voterSet.promised, voterSet.position.Seq + 1}, Changes: voterSetRecords(voterSet.Records, next)}})
		}
		for _, address := range sim.addresses {
			m.Handle(sim.clock(candidate), address, Message{Identity: sim.nodes[address].replica.identity, Body: &Vote{Partition: testPartition, Epoch: part.ownEpoch, Granted: true, Promised: part.ownEpoch, At: part.position}})
		}
		if (part.role == roleOwner) == removed {
			t.Errorf("removed: %v, owns the partition: %v", removed, part.role == roleOwner)
		}
	}
}

// TestDelayedMessagesDoNotKeepFailedVoterAlive delivers the last messages of a machine again long
// after it has failed, as a network that delays messages may do.
func TestDelayedMessagesDoNotKeepFailedVoterAlive(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		sim, _ := newLosslessCluster(t, seed, 6, 2, 5, 3*time.Second)
		voterSetOwner := sim.ownerOf(VoterSetPartition)
		failed := sim.lastMachineExcept(voterSetOwner)
		var lastMessages []Envelope
		sim.drop = func(from string, e Envelope) bool {
			if from == failed.address && e.To == voterSetOwner.address {
				lastMessages = append(lastMessages, e)
			}
			return false
		}
		sim.runUntil(sim.now + time.Second)
		sim.beginFailure(failed)
		sim.crash(failed.address, true)
		for i := 0; i < 100; i++ {
			e := lastMessages[i%len(lastMessages)]
			sim.after(time.Duration(i)*50*time.Millisecond, func() {
				sim.runOn(voterSetOwner.address, voterSetOwner.runID, func() { voterSetOwner.replica.Handle(sim.clock(voterSetOwner), failed.address, e.Msg) })
			})
		}
		sim.waitFor("the voter is removed", 2*testElectionTimeout+2*testHeartbeat, func() string {
			if s := voterSetOwner.replica.voterSet(); !s.joint && !slices.Contains(s.newVoters, failed.replica.self) {
				return ""
			}
			return fmt.Sprint(*voterSetOwner.replica.voterSet())
		})
	}
}
