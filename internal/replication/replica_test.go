package replication

import (
	"errors"
	"slices"
	"testing"
	"time"

	"madderwing/internal/antientropy"
)

func TestAcknowledgedChangeIsOnThreeDisks(t *testing.T) {
	sim := newCluster(t, 5, 4)
	for version := uint64(1); version <= 40; version++ {
		n := sim.mustPut(t, "x", version)
		if got := sim.machinesWithCopy("x", version); len(got) < 3 {
			t.Fatalf("x=%d was acknowledged by %s with copies at %v", version, n.address, got)
		}
	}
}

// The owner loses power, or its disk, right after it has answered.
func TestOwnerLostRightAfterAcknowledgement(t *testing.T) {
	for _, wipe := range []bool{false, true} {
		for seed := int64(1); seed <= 25; seed++ {
			sim := newCluster(t, seed, 4)
			lost := sim.mustPut(t, "x", 1)
			sim.crash(lost.address, wipe)
			sim.after(3*time.Second, func() { sim.start(lost.address) })
			next := sim.waitForOwner(t)
			if got := next.replica.partitions[testPartition].Records["x"].Gen; got != 1 {
				t.Fatalf("seed %d wipe %v: %s holds x=%d", seed, wipe, next.address, got)
			}
			sim.runUntil(sim.now + 8*time.Second)
			if len(sim.machinesWithCopy("x", 1)) != 4 || !sim.nodes[lost.address].replica.IsVoter() {
				t.Fatalf("seed %d: the lost member did not catch up", seed)
			}
		}
	}
}

// A member that has lost its disk is another member: until the voter set includes it, neither its
// replies nor those of its former identity count.
func TestMemberWithNewDiskDoesNotCountUntilItIsVoter(t *testing.T) {
	sim := newCluster(t, 2, 4)
	sim.runUntil(6 * time.Second)
	sim.mustPut(t, "x", 7)
	address, down := sim.addresses[3], sim.addresses[2]
	formerIdentity := sim.nodes[address].replica.self
	sim.crash(address, true)
	sim.crash(down, false)
	sim.runUntil(sim.now + 2*time.Second)
	sim.start(address)
	sim.runUntil(sim.now + 5*time.Second)
	n := sim.nodes[address]
	if n.replica.self == formerIdentity || n.replica.IsVoter() {
		t.Fatalf("the member still is %s, or votes", formerIdentity)
	}
	for _, m := range []Message{
		{Body: &VoteRequest{Partition: testPartition, Epoch: Epoch{99, sim.addresses[0], 1}, VoterSet: Position{Epoch: Epoch{Number: 99}}, At: Position{Epoch: Epoch{Number: 99}}}},
		{Body: &Append{Partition: testPartition, Epoch: Epoch{99, sim.addresses[0], 1}, Base: Position{Epoch{99, sim.addresses[0], 1}, 5}, Seq: 6, VoterSet: Position{Epoch: Epoch{Number: 99}}}},
		{Body: &StateQuery{Round: 1}},
	} {
		n.replica.Take()
		n.replica.Handle(sim.clock(n), sim.addresses[0], m)
		for _, e := range n.replica.Take().Send {
			if sender := idOf(address, e.Msg.Identity); sender == formerIdentity {
				t.Fatalf("it answered %+v as %s", m, sender)
			}
		}
	}
	for i, o := range sim.addresses[:2] { // two of four voters, and the wiped member
		if err := sim.put(sim.nodes[o], "x", uint64(8+i)); err == nil {
			t.Fatalf("%s acknowledged without a majority of the voters", o)
		}
		if s := sim.nodes[o].replica.voterSet(); slices.Contains(s.all(), n.replica.self) || !slices.Contains(s.newVoters, formerIdentity) {
			t.Fatalf("%s has the voter set %+v", o, s)
		}
	}
	sim.start(down)
	sim.runUntil(sim.now + 6*time.Second)
	if !n.replica.IsVoter() || n.replica.partitions[testPartition].Records["x"].Gen < 7 || slices.Contains(n.replica.voterSet().all(), formerIdentity) {
		t.Fatalf("the member did not become a voter again: %s %+v %+v", n.replica.self, n.replica.voterSet(), n.replica.partitions[testPartition].Records)
	}
}

func TestFrozenOwnerIsFenced(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		sim := newCluster(t, seed, 4)
		frozen := sim.mustPut(t, "x", 1)
		frozen.frozenUntil = sim.now + 8*time.Second // longer than any election takes
		sim.runUntil(sim.now + 500*time.Millisecond)
		sim.mustPut(t, "x", 2)
		sim.runUntil(frozen.frozenUntil - time.Millisecond)
		// The first message that it processes when it resumes is a proposal.
		if err := sim.put(frozen, "x", 1); err == nil {
			t.Fatalf("seed %d: the old owner acknowledged", seed)
		}
		sim.runUntil(sim.now + 3*time.Second)
		if got := sim.waitForOwner(t).replica.partitions[testPartition].Records["x"].Gen; got != 2 {
			t.Fatalf("seed %d: x=%d", seed, got)
		}
	}
}

func TestStalledDiskTransfersPartitions(t *testing.T) {
	sim := newCluster(t, 9, 4)
	stalled := sim.mustPut(t, "x", 1)
	stalled.stalledUntil = sim.now + 10*time.Second
	begin := sim.now
	_ = sim.put(stalled, "x", 2)
	n := sim.mustPut(t, "x", 3)
	if n == stalled || sim.now-begin > 3*time.Second {
		t.Fatalf("%s acknowledged after %v", n.address, sim.now-begin)
	}
}

func TestRefusedWritesAreRetried(t *testing.T) {
	sim := newCluster(t, 4, 4)
	n := sim.mustPut(t, "x", 1)
	for _, address := range sim.addresses {
		sim.nodes[address].writesToRefuse = 2
	}
	_ = sim.put(n, "x", 2)
	sim.mustPut(t, "x", 3)
	sim.runUntil(sim.now + 2*time.Second)
	if got := sim.machinesWithCopy("x", 3); len(got) != 4 {
		t.Fatalf("copies at %v", got)
	}
}

// A silently corrupted copy is detected by its digests and repaired.
func TestDigestsRepairCorruptCopy(t *testing.T) {
	sim := newCluster(t, 6, 4)
	sim.mustPut(t, "x", 5)
	sim.mustPut(t, "y", 6)
	sim.runUntil(sim.now + time.Second)
	owner := sim.waitForOwner(t)
	for _, address := range sim.addresses {
		if address == owner.address {
			continue
		}
		part := sim.nodes[address].replica.partitions[testPartition]
		part.Records["x"] = Record{Name: "x", Gen: 4, Data: []byte("rotten")}
		part.Sums = antientropy.Digest(part.Records)
		break
	}
	sim.runUntil(sim.now + 2*time.Second)
	for _, address := range sim.addresses {
		if r := sim.nodes[address].replica.partitions[testPartition].Records["x"]; r.Gen != 5 || len(r.Data) > 0 {
			t.Fatalf("%s holds %+v", address, r)
		}
	}
}

func TestOnlyFirstStartBootstraps(t *testing.T) {
	sim := newCluster(t, 3, 4)
	sim.runUntil(5 * time.Second)
	for _, address := range sim.addresses { // all disks are lost, which exceeds any fault budget
		sim.crash(address, true)
	}
	sim.runUntil(sim.now + time.Second)
	for _, address := range sim.addresses {
		sim.start(address)
	}
	sim.runUntil(sim.now + 10*time.Second)
	for _, address := range sim.addresses {
		if sim.nodes[address].replica.IsVoter() || len(sim.nodes[address].replica.Voters()) > 0 {
			t.Fatalf("%s bootstrapped again although the system had existed before", address)
		}
	}
}

func TestLeavingTransfersPartitionsAtOnce(t *testing.T) {
	sim := newCluster(t, 8, 4)
	leaving := sim.mustPut(t, "x", 1)
	sim.runOn(leaving.address, leaving.runID, func() { leaving.replica.Leave(sim.now) })
	begin := sim.now
	n := sim.waitForOwner(t)
	if n == leaving || sim.now-begin > 600*time.Millisecond {
		t.Fatalf("%s owns the partition after %v", n.address, sim.now-begin)
	}
	if n.replica.partitions[testPartition].Records["x"].Gen != 1 {
		t.Fatal("x=1 was lost in the transfer")
	}
}

func TestQuorums(t *testing.T) {
	voters := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, tc := range []struct{ members, forVote, forAck int }{
		{1, 1, 1}, {2, 2, 2}, {3, 2, 3}, {4, 3, 3}, {5, 3, 3}, {6, 4, 4}, {7, 4, 4},
	} {
		for n := 0; n <= tc.members; n++ {
			has := func(address string) bool { return int(address[0]-'a') < n }
			if got := hasQuorumOf(voters[:tc.members], false, has); got != (n >= tc.forVote) {
				t.Errorf("quorum for a vote by %d of %d: %v", n, tc.members, got)
			}
			if got := hasQuorumOf(voters[:tc.members], true, has); got != (n >= tc.forAck) {
				t.Errorf("quorum for an acknowledgement by %d of %d: %v", n, tc.members, got)
			}
		}
	}
}

// A member that has failed for good is retired and replaced by another voter; then the system again
// tolerates the loss of any one member.
func TestRetireLostMember(t *testing.T) {
	sim := newCluster(t, 12, 4)
	sim.runUntil(6 * time.Second)
	sim.mustPut(t, "x", 1)
	lost := sim.addresses[2]
	retire := func(address string) (err error) {
		for i := 0; i < 10; i++ {
			var owner *node
			for sim.runUntil(sim.now + 200*time.Millisecond); owner == nil && sim.now < time.Minute; sim.runUntil(sim.now + 100*time.Millisecond) {
				owner = sim.ownerOf(VoterSetPartition)
			}
			if owner == nil {
				t.Fatal("the voter set has no owner")
			}
			err = ErrNoQuorum
			sim.runOn(owner.address, owner.runID, func() { owner.replica.Retire(sim.now, address, func(e error) { err = e }) })
			sim.runUntil(sim.now + 1500*time.Millisecond)
			if !errors.Is(err, ErrNoQuorum) && !errors.Is(err, ErrNotOwner) {
				return err
			}
		}
		return err
	}
	if err := retire(lost); !errors.Is(err, ErrAlive) {
		t.Fatalf("retiring a running member: %v", err)
	}
	if err := retire("10.9.9.9:1"); !errors.Is(err, ErrUnknown) {
		t.Fatalf("retiring an unknown member: %v", err)
	}
	sim.crash(lost, true)
	sim.runUntil(sim.now + 4*testHeartbeat) // before the failure is detected, the member counts as running
	if err := retire(lost); err != nil {
		t.Fatal(err)
	}
	sim.runUntil(sim.now + time.Second)
	for _, address := range sim.addresses {
		if address != lost && len(sim.nodes[address].replica.Voters()) != 3 {
			t.Fatalf("%s has the voter set %v", address, sim.nodes[address].replica.Voters())
		}
	}
	other := sim.addresses[3]
	sim.crash(other, false)
	if err := retire(other); !errors.Is(err, ErrTooFew) {
		t.Fatalf("retiring a member of three: %v", err)
	}
	sim.start(other)
	replacement := "10.0.0.9:7661"
	sim.addresses = append(sim.addresses, replacement)
	sim.nodes[replacement] = &node{address: replacement, disk: map[string][]byte{}}
	sim.start(replacement)
	sim.runUntil(sim.now + 6*time.Second)
	if !sim.nodes[replacement].replica.IsVoter() {
		t.Fatal("the replacement is not a voter")
	}
	sim.crash(sim.addresses[0], false)
	sim.mustPut(t, "x", 2)
	if got := sim.machinesWithCopy("x", 2); len(got) < 3 {
		t.Fatalf("copies at %v", got)
	}
	// The retired machine starts again after all, without its old disk.
	sim.start(sim.addresses[0])
	sim.start(lost)
	sim.runUntil(sim.now + 8*time.Second)
	if n := sim.nodes[lost]; !n.replica.IsVoter() || n.replica.partitions[testPartition].Records["x"].Gen != 2 {
		t.Fatal("the retired machine did not rejoin as a new member")
	}
}

// A retired member whose disk is intact starts with an outdated voter set.
func TestRetiredMemberRejoinsAsNewMember(t *testing.T) {
	sim := newCluster(t, 13, 4)
	sim.runUntil(6 * time.Second) // all four are voters
	sim.mustPut(t, "x", 1)
	retired := sim.addresses[1]
	sim.crash(retired, false)
	done := false
	for ; !done; sim.runUntil(sim.now + 500*time.Millisecond) {
		if sim.now > time.Minute {
			t.Fatal("the member was not retired within a minute")
		}
		for _, address := range sim.addresses {
			if n := sim.nodes[address]; n.up && n.replica.partitions[VoterSetPartition].role == roleOwner {
				sim.runOn(address, n.runID, func() { n.replica.Retire(sim.now, retired, func(e error) { done = done || e == nil }) })
			}
		}
	}
	sim.mustPut(t, "x", 2)
	sim.start(retired)
	sim.runUntil(sim.now + 10*time.Second)
	n := sim.nodes[retired]
	if !n.replica.IsVoter() || n.replica.partitions[testPartition].Records["x"].Gen != 2 || len(sim.waitForOwner(t).replica.Voters()) != 4 {
		t.Fatalf("voting %v, x=%d, voter set %v", n.replica.IsVoter(), n.replica.partitions[testPartition].Records["x"].Gen, n.replica.Voters())
	}
}

// Partitions that a failure has concentrated at one member return to their first successor, but only
// after a long stable period, and without losing anything.
func TestPartitionsReturnToFirstSuccessor(t *testing.T) {
	sim := newCluster(t, 21, 4)
	sim.runUntil(6 * time.Second)
	successor := sim.waitForOwner(t).replica.Successors(testPartition)[0]
	sim.crash(successor, false)
	sim.mustPut(t, "x", 1)
	sim.start(successor)
	returnedAfter := time.Duration(0)
	for begin := sim.now; returnedAfter == 0 && sim.now < begin+30*time.Second; sim.runUntil(sim.now + 100*time.Millisecond) {
		if sim.nodes[successor].replica.partitions[testPartition].role == roleOwner {
			returnedAfter = sim.now - begin
		}
	}
	if returnedAfter < 4*time.Second {
		t.Fatalf("the partition returned after %v (0: never)", returnedAfter)
	}
	sim.mustPut(t, "x", 2)
	if n := sim.waitForOwner(t); n.address != successor || n.replica.partitions[testPartition].Records["x"].Gen != 2 {
		t.Fatalf("%s owns x=%d", n.address, n.replica.partitions[testPartition].Records["x"].Gen)
	}
}

// With the disks of a version without identities, voters are addresses. They go on working and are
// renewed automatically.
func TestVotersWithoutIdentitiesAreRenewed(t *testing.T) {
	sim := newCluster(t, 31, 4)
	sim.runUntil(6 * time.Second)
	sim.mustPut(t, "x", 1)
	sim.runUntil(sim.now + time.Second)
	for _, address := range sim.addresses {
		sim.crash(address, false)
	}
	for _, address := range sim.addresses {
		disk := sim.nodes[address].disk
		disk[nodeEntryKey] = marshal(nodeValue{Voting: true, Bootstrapped: true})
		for name, b := range disk {
			var r storedRecord
			if len(name) > len(recordPrefix) && name[:len(recordPrefix)] == recordPrefix && unmarshal(b, &r) && r.Partition == VoterSetPartition {
				delete(disk, name)
				if !r.Record.Dropped {
					r.Record.Name = addressOf(r.Record.Name)
					disk[recordPrefix+VoterSetPartition+"/"+r.Record.Name] = marshal(r)
				}
			}
		}
		sim.start(address)
	}
	sim.mustPut(t, "x", 2)
	sim.runUntil(sim.now + 8*time.Second)
	for _, address := range sim.addresses {
		s := sim.nodes[address].replica.voterSet()
		if len(s.newVoters) != 4 || s.joint || !slices.Contains(s.newVoters, sim.nodes[address].replica.self) {
			t.Fatalf("%s has the voter set %+v", address, s)
		}
	}
	sim.crash(sim.addresses[1], true) // a wiped member must not count here either
	sim.mustPut(t, "x", 3)
}

// After all members have stopped at once, those with their disks don't wait for a first successor
// that has restarted without its own: it must not own anything yet.
func TestElectionDoesNotWaitForWipedFirstSuccessor(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		sim := newCluster(t, seed, 5)
		sim.runUntil(6 * time.Second)
		successor := sim.mustPut(t, "x", 1).replica.Successors(testPartition)[0]
		for _, address := range sim.addresses {
			sim.crash(address, address == successor)
		}
		sim.runUntil(sim.now + time.Second)
		for _, address := range sim.addresses {
			sim.start(address)
		}
		begin := sim.now
		n := sim.waitForOwner(t)
		if took := sim.now - begin; n.address == successor || took > testHeartbeat {
			t.Errorf("seed %d: %s owns the partition after %v", seed, n.address, took)
		}
	}
}
