package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// A follower that was cut off, frozen or lost its disk while records were erased ends up without
// them, whether it catches up by log entries or by a snapshot.
func TestErasedRecordsStayErased(t *testing.T) {
	const namesPerStep, size = 20, 4 << 10
	for _, steps := range []int{5, 100} { // fewer and more than the log entries kept for lagging members
		for _, kind := range []failureKind{cutOff, wipe, freeze} {
			sim := newClusterWithVoters(t, int64(kind)+1, 4, 1, 4)
			sim.lossless, sim.skipContents = true, true
			propose := func(change func(have map[string]Record) []Record) {
				done := false
				for ; !done; sim.runUntil(sim.now + 100*time.Millisecond) {
					if o := sim.ownerOf(testPartition); o != nil {
						sim.runOn(o.address, o.runID, func() {
							o.replica.Propose(sim.clock(o), testPartition, func(have map[string]Record) ([]Record, error) { return change(have), nil },
								func(err error) { done = done || err == nil })
						})
					}
				}
			}
			filler := []byte(strings.Repeat("f", size))
			addAndErase := func(from, to int) {
				for i := from; i < to; i++ {
					propose(func(have map[string]Record) (out []Record) {
						for n := range namesPerStep {
							out = append(out, Record{Name: fmt.Sprintf("n%d-%d", i, n), Gen: 1, Data: filler})
							if old := fmt.Sprintf("n%d-%d", i-2, n); have[old].Gen > 0 {
								out = append(out, Record{Name: old, Erased: true})
							}
						}
						return out
					})
				}
			}
			addAndErase(0, steps)
			index := slices.IndexFunc(sim.healthy(), func(n *node) bool {
				return n.replica.partitions[testPartition].role != roleOwner && n.replica.partitions[VoterSetPartition].role != roleOwner
			})
			sim.injectFailure(failure{kind: kind, index: index, count: 1, duration: 12 * time.Second})
			sim.runUntil(sim.now + 100*time.Millisecond)
			addAndErase(steps, 2*steps)
			sim.runUntil(sim.now + 15*time.Second)
			want := sim.ownersRecords(testPartition)
			if len(want) != 2*namesPerStep {
				t.Fatalf("%s: the owner holds %d records", kindNames[kind], len(want))
			}
			for _, address := range sim.addresses {
				have, _, ok := sim.nodes[address].replica.Committed(testPartition)
				if !ok || len(have) != len(want) {
					t.Errorf("%s, %d steps: %s holds %d records, %v, not %d", kindNames[kind], steps, address, len(have), ok, len(want))
				}
				sim.checkHolds(address, testPartition, have, want)
			}
		}
	}
}
