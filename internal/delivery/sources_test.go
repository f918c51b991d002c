package delivery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"madderwing/internal/membership"
)

// sourceWorld plays a gateway that asks once a beat, is cut off from all for a while, and is then
// joined again to control nodes of which some are silent or out of contact.
type sourceWorld struct {
	rng   *rand.Rand
	nodes []membership.Node
	state []int // of each node after the cut: good, stale or silent
	seeds []string
}

// The states of a control node.
const (
	good = iota
	stale
	silent
)

func newSourceWorld(seed uint64) *sourceWorld {
	w := &sourceWorld{rng: rand.New(rand.NewPCG(seed, 1))}
	zones := 1 + w.rng.IntN(5)
	n := 3 + w.rng.IntN(10)
	for i := range n {
		w.nodes = append(w.nodes, membership.Node{Address: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%zones)})
		w.state = append(w.state, good)
	}
	for _, i := range w.rng.Perm(n)[:w.rng.IntN((n+1)/2)] { // fewer than half
		w.state[i] = stale + w.rng.IntN(2)
	}
	for _, i := range w.rng.Perm(n)[:3] {
		w.seeds = append(w.seeds, w.nodes[i].Address)
	}
	return w
}

// live is the list that the gateway has of control nodes that seem alive: all before the cut, none
// once it has lasted, and after it those that answer come back one by one.
func (w *sourceWorld) live(beat, cut, joined, back int) (out []membership.Node) {
	switch {
	case beat < cut+4:
		return w.nodes
	case beat < joined+back:
		return nil
	}
	for i, n := range w.nodes {
		if w.state[i] != silent && (i+beat)%2 == 0 {
			out = append(out, n)
		}
	}
	return out
}

// play says how many beats after the cut the gateway has a fresh word.
func (w *sourceWorld) play() int {
	const beat = time.Second
	cut := 2 + w.rng.IntN(8)
	joined := cut + 5 + w.rng.IntN(30)
	back := w.rng.IntN(8)
	s := Sources{Self: "gateway", Zone: "z0", Patience: 3 * beat, Seeds: w.seeds}
	for b := 1; ; b++ {
		now := time.Duration(b) * beat
		live := w.live(b, cut, joined, back)
		fresh := false
		for _, id := range slices.Concat(s.Choose(now, live), s.AlsoAsk(now)) {
			i := slices.IndexFunc(w.nodes, func(n membership.Node) bool { return n.Address == id })
			state := w.state[i]
			if b < cut {
				state = good
			} else if b < joined {
				state = silent
			}
			if state != silent {
				s.Heard(now+beat/20, id, state == good)
				fresh = fresh || state == good
			}
		}
		if b >= joined && fresh || b > joined+100 {
			return b - joined + 1
		}
	}
}

// Whatever a gateway tried in vain while it was cut off, it has a fresh word within three beats, half
// of contactS, after it can reach control nodes most of which are in contact.
func TestAFreshWordSoonAfterACut(t *testing.T) {
	worst, late := 0, 0
	for seed := range uint64(3000) {
		took := newSourceWorld(seed).play()
		if worst = max(worst, took); took > 3 {
			late++
		}
	}
	if worst > 3 {
		t.Errorf("a fresh word after %d beats, later than three in %d of 3000 worlds", worst, late)
	}
}
