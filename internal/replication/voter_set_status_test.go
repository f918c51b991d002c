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
	tolerates := func(id string) int { return sim.nodes[id].replica.VoterSetStatus(sim.clock(sim.nodes[id])).Tolerates }
	for _, id := range sim.ids {
		if got := tolerates(id); got != 2 {
			t.Fatalf("%s tolerates the loss of %d of 5", id, got)
		}
	}
	lost := sim.nodes[sim.ids[4]]
	formerIdentity := lost.replica.self
	sim.crash(lost.id, true)
	sim.runUntil(sim.now + 50*time.Millisecond)
	sim.start(lost.id)
	// The change of the voter set is delayed for a while.
	delayedUntil := sim.now + 2*time.Second
	sim.drop = func(_ string, e Envelope) bool { return bodyAs[*StateReport](e.Msg) != nil && sim.now < delayedUntil }
	sim.runUntil(sim.now + 300*time.Millisecond) // it has asked to become a voter
	checked := 0
	for ; sim.now < delayedUntil; sim.runUntil(sim.now + 20*time.Millisecond) {
		for _, id := range sim.ids {
			if len(sim.nodes[id].replica.voterSet().all()) == 0 {
				continue // the new disk is still empty
			}
			if checked++; tolerates(id) != 1 {
				t.Fatalf("at %v %s tolerates the loss of %d more, besides the disk of %s", sim.now, id, tolerates(id), formerIdentity)
			}
		}
	}
	sim.runUntil(delayedUntil + 3*time.Second)
	isVoter := slices.Contains(sim.nodes[sim.ids[0]].replica.voterSet().newVoters, lost.replica.self)
	if !isVoter || checked == 0 {
		t.Fatalf("the member with the new disk is a voter: %v, after %d checks", isVoter, checked)
	}
	for _, id := range sim.ids {
		if got := tolerates(id); got != 2 {
			t.Errorf("%s tolerates the loss of %d of 5 at the end", id, got)
		}
	}
}
