package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/replication/replicationtest"
)

// mayFoundFrom says whether a disk tells of a system's first start, or of its roster.
func mayFoundFrom(disk replicationtest.Disk) bool {
	var v nodeValue
	return cbor.Unmarshal(disk[nodeEntryKey], &v) == nil && (len(v.FirstSeeds) > 0 || disk[metaPrefix+RosterKey] != nil)
}

// foundingRun starts four machines, three of which are seeds, and kills some of them at
// one step of the founding. They start again with the settings of that moment.
type foundingRun struct {
	step      int // messages that have been sent before
	killed    int // which machines, as bits
	bootstrap bool
	seed      int64
}

func (r foundingRun) String() string {
	return fmt.Sprintf("machines %03b killed at step %d, started again with bootstrap %v, seed %d", r.killed, r.step, r.bootstrap, r.seed)
}

// play returns what is broken, and whether the founding had that many steps.
func (r foundingRun) play(t *testing.T) (broken string, reached bool) {
	w := emptyWorld(r.seed, 1)
	w.fatal = t.Fatalf
	steps, foundings := 0, map[Epoch]bool{}
	hopeless := false
	w.drop = func(from string, e Envelope) bool {
		if f := as[*Found](e.Msg); f != nil && len(f.Records) > 0 {
			foundings[f.At.Epoch] = true
		}
		if steps == r.step {
			reached = true
			w.at(0, func() { hopeless = r.kill(w) })
		}
		steps++
		return false
	}
	w.found(4, 4)
	end := 15 * time.Second
	for w.now < end && w.holder(testKey) == nil && !hopeless {
		w.run(w.now + 100*time.Millisecond)
	}
	switch {
	case hopeless || !reached:
	case w.holder(testKey) == nil:
		return "the system isn't founded", reached
	case len(foundings) > 1:
		return fmt.Sprintf("%d founding rosters were proposed", len(foundings)), reached
	default:
		w.run(w.now + 6*time.Second)
		if at := w.seated(); at != "" {
			return "founded, but " + at, reached
		}
	}
	return "", reached
}

// kill kills the machines of a run. It is hopeless if no disk of a seed tells that the system
// starts for the first time, and no setting does.
func (r foundingRun) kill(w *world) (hopeless bool) {
	hopeless = !r.bootstrap
	for i, id := range w.ids {
		if r.killed>>i&1 == 1 {
			w.crash(id, false)
			w.nodes[id].boot = r.bootstrap
			w.at(time.Duration(50+w.rng.Intn(400))*time.Millisecond, func() { w.back(w.nodes[id]) })
		}
		if n := w.nodes[id]; slices.Contains(w.seeds, id) && (n.up || mayFoundFrom(n.disk)) {
			hopeless = false
		}
	}
	return hopeless
}

func TestAFoundingGoesOnAfterKillsAtAnyStep(t *testing.T) {
	for killed := 1; killed < 16; killed++ {
		for _, bootstrap := range []bool{false, true} {
			t.Run(fmt.Sprintf("%04b, %v", killed, bootstrap), func(t *testing.T) {
				t.Parallel()
				for step, reached := 0, true; reached && step < 60; step++ {
					for seed := int64(1); seed <= 3; seed++ {
						r := foundingRun{step, killed, bootstrap, seed}
						var broken string
						if broken, reached = r.play(t); broken != "" {
							t.Fatalf("%s: %s", r, broken)
						}
					}
				}
			})
		}
	}
}

// A seed that has lost its disk, or was killed before its first write, takes part in the founding
// that another seed proposes, and proposes none.
func TestAPassiveSeedDoesNotFound(t *testing.T) {
	for passive := range 3 {
		w := emptyWorld(int64(passive)+1, 1)
		w.fatal = t.Fatalf
		for i := range 4 {
			w.add(i+1, 4, i != passive)
		}
		w.seeds = append([]string(nil), w.ids[:3]...)
		proposers := map[string]bool{}
		w.drop = func(from string, e Envelope) bool {
			if f := as[*Found](e.Msg); f != nil && len(f.Records) > 0 {
				proposers[from] = true
			}
			return false
		}
		for _, id := range w.ids {
			w.start(id)
		}
		w.settle(t)
		if proposers[w.ids[passive]] || len(proposers) != 1 {
			t.Errorf("seed %d is passive, %v propose", passive, proposers)
		}
	}
}

// TestFoundingWithSeedsThatAreRelays has some or all seeds be processes without a disk.
// The first of them appoints whoever asks it first, if all are such.
func TestFoundingWithSeedsThatAreRelays(t *testing.T) {
	for _, relays := range [][]int{{0}, {1}, {2}, {0, 1}, {0, 2}, {1, 2}, {0, 1, 2}} {
		for seed := int64(1); seed <= 5; seed++ {
			w := emptyWorld(seed, 1)
			w.fatal = t.Fatalf
			appointed := map[string]string{}
			for i := 0; i < 6; i++ {
				w.add(i+1, 3, true)
			}
			w.seeds = slices.Clone(w.ids[:3])
			for _, i := range relays {
				appointed[w.seeds[i]] = ""
				delete(w.nodes, w.seeds[i])
			}
			w.ids = slices.DeleteFunc(w.ids, func(id string) bool { _, ok := appointed[id]; return ok })
			w.drop = func(from string, e Envelope) bool {
				if _, ok := appointed[e.To]; !ok {
					return false
				}
				if as[*Found](e.Msg) != nil {
					if appointed[e.To] == "" && e.To == w.seeds[0] {
						appointed[e.To] = from
					}
					w.at(time.Millisecond, func() {
						if n := w.nodes[from]; n.up {
							w.on(from, n.life, func() {
								n.m.Handle(w.clock(n), e.To, Message{Body: &Founded{Relay: true, Appointed: appointed[e.To]}})
							})
						}
					})
				}
				return true
			}
			for _, id := range w.ids {
				// All start within 0.3 s of each other.
				w.at(time.Duration(w.rng.Intn(300))*time.Millisecond, func() { w.start(id) })
			}
			w.run(400 * time.Millisecond)
			w.until(fmt.Sprintf("relays %v, seed %d: all have their seats", relays, seed), 8*time.Second, w.seated)
			w.mustPut(t, "x", 1)
			w.run(w.now + 2*time.Second)
			if got := w.holders("x", 1); len(got) != len(w.ids) {
				t.Fatalf("copies at %v", got)
			}
		}
	}
}
