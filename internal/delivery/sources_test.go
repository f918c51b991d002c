package delivery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"madderwing/internal/membership"
)

// partitionSimulation simulates a gateway that watches once per interval, is partitioned from all control nodes
// for a while, and then reconnects to control nodes of which some are silent or out of contact with the
// majority.
type partitionSimulation struct {
	rng        *rand.Rand
	nodes      []membership.Node
	nodeStates []int // by node, after the partition: fresh, stale or silent
	seeds      []string
}

// States of a control node.
const (
	fresh = iota
	stale
	silent
)

func newPartitionSimulation(seed uint64) *partitionSimulation {
	w := &partitionSimulation{rng: rand.New(rand.NewPCG(seed, 1))}
	zones := 1 + w.rng.IntN(5)
	count := 3 + w.rng.IntN(10)
	for i := range count {
		w.nodes = append(w.nodes, membership.Node{Address: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%zones)})
		w.nodeStates = append(w.nodeStates, fresh)
	}
	for _, i := range w.rng.Perm(count)[:w.rng.IntN((count+1)/2)] { // fewer than half
		w.nodeStates[i] = stale + w.rng.IntN(2)
	}
	for _, i := range w.rng.Perm(count)[:3] {
		w.seeds = append(w.seeds, w.nodes[i].Address)
	}
	return w
}

// alive returns the control nodes that the gateway's membership shows as alive: all before the
// partition, none when it has lasted a while, and after it those that reply, one by one.
func (w *partitionSimulation) alive(index, partitionedAt, healedAt, rejoinDelay int) (out []membership.Node) {
	switch {
	case index < partitionedAt+4:
		return w.nodes
	case index < healedAt+rejoinDelay:
		return nil
	}
	for i, n := range w.nodes {
		if w.nodeStates[i] != silent && (i+index)%2 == 0 {
			out = append(out, n)
		}
	}
	return out
}

// run returns the number of intervals after the partition until the gateway gets a fresh update.
func (w *partitionSimulation) run() int {
	const interval = time.Second
	partitionedAt := 2 + w.rng.IntN(8)
	healedAt := partitionedAt + 5 + w.rng.IntN(30)
	rejoinDelay := w.rng.IntN(8)
	sources := Sources{Self: "gateway", Zone: "z0", Timeout: 3 * interval, Seeds: w.seeds}
	for index := 1; ; index++ {
		now := time.Duration(index) * interval
		alive := w.alive(index, partitionedAt, healedAt, rejoinDelay)
		gotFresh := false
		for _, id := range slices.Concat(sources.Choose(now, alive), sources.Fallbacks(now)) {
			i := slices.IndexFunc(w.nodes, func(n membership.Node) bool { return n.Address == id })
			state := w.nodeStates[i]
			if index < partitionedAt {
				state = fresh
			} else if index < healedAt {
				state = silent
			}
			if state != silent {
				sources.Received(now+interval/20, id, state == fresh)
				gotFresh = gotFresh || state == fresh
			}
		}
		if index >= healedAt && gotFresh || index > healedAt+100 {
			return index - healedAt + 1
		}
	}
}

// Whichever control nodes a gateway tried during a partition, it gets a fresh update within three
// intervals (half of contactS) after it reconnects to control nodes most of which are in contact with the
// majority.
func TestFreshUpdateSoonAfterPartition(t *testing.T) {
	worst, late := 0, 0
	for seed := range uint64(3000) {
		took := newPartitionSimulation(seed).run()
		if worst = max(worst, took); took > 3 {
			late++
		}
	}
	if worst > 3 {
		t.Errorf("first fresh update after %d intervals, want at most 3; later in %d of 3000 simulations", worst, late)
	}
}
