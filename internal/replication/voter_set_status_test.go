package replication

import (
	"slices"
	"testing"
	"time"
)

// A machine that has started again with an empty disk is not a voter. Until it becomes one, all
// members report that one loss fewer is tolerated.
func TestLostDiskCountsUntilNewDiskIsVoter(t *testing.T) {
	sim := newClusterInZones(t, 5, 5, 2, 5)
	sim.lossless = true
	sim.runUntil(3 * time.Second)
	tolerates := func(address string) int {
		return sim.nodes[address].replica.VoterSetStatus(sim.clock(sim.nodes[address])).Tolerates
	}
	for _, address := range sim.addresses {
		if got := tolerates(address); got != 2 {
			t.Fatalf("%s tolerates the loss of %d of 5", address, got)
		}
	}
	lost := sim.nodes[sim.addresses[4]]
	formerIdentity := lost.replica.self
	sim.crash(lost.address, true)
	sim.runUntil(sim.now + 50*time.Millisecond)
	sim.start(lost.address)
	// The change of the voter set is delayed for a while.
	delayedUntil := sim.now + 2*time.Second
	sim.drop = func(_ string, e Envelope) bool { return bodyAs[*StateReport](e.Msg) != nil && sim.now < delayedUntil }
	sim.runUntil(sim.now + 300*time.Millisecond) // it has asked to become a voter
	checked := 0
	for ; sim.now < delayedUntil; sim.runUntil(sim.now + 20*time.Millisecond) {
		for _, address := range sim.addresses {
			if len(sim.nodes[address].replica.voterSet().all()) == 0 {
				continue // the new disk is still empty
			}
			if checked++; tolerates(address) != 1 {
				t.Fatalf("at %v %s tolerates the loss of %d more, besides the disk of %s", sim.now, address, tolerates(address), formerIdentity)
			}
		}
	}
	sim.runUntil(delayedUntil + 3*time.Second)
	isVoter := slices.Contains(sim.nodes[sim.addresses[0]].replica.voterSet().newVoters, lost.replica.self)
	if !isVoter || checked == 0 {
		t.Fatalf("the member with the new disk is a voter: %v, after %d checks", isVoter, checked)
	}
	for _, address := range sim.addresses {
		if got := tolerates(address); got != 2 {
			t.Errorf("%s tolerates the loss of %d of 5 at the end", address, got)
		}
	}
}
