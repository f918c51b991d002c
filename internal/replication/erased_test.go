package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// A follower that was cut off or lost its disk while names were dropped and their records
// erased ends without them, whether it gets the steps since or a snapshot.
func TestErasedRecordsDoNotComeBack(t *testing.T) {
	const namesAStep, size = 20, 4 << 10
	for _, steps := range []int{5, 100} { // fewer and more than the steps kept for those who lag
		for _, k := range []kind{cutOff, wipe, freeze} {
			w := newWorldWithVoters(t, int64(k)+1, 4, 1, 4)
			w.calm, w.large = true, true
			propose := func(change func(have map[string]Record) []Record) {
				done := false
				for ; !done; w.run(w.now + 100*time.Millisecond) {
					if o := w.holder(testKey); o != nil {
						w.on(o.id, o.life, func() {
							o.m.Propose(w.clock(o), testKey, func(have map[string]Record) ([]Record, error) { return change(have), nil },
								func(err error) { done = done || err == nil })
						})
					}
				}
			}
			filler := []byte(strings.Repeat("f", size))
			comeAndGo := func(from, to int) {
				for i := from; i < to; i++ {
					propose(func(have map[string]Record) (out []Record) {
						for n := range namesAStep {
							out = append(out, Record{Name: fmt.Sprintf("n%d-%d", i, n), Gen: 1, Data: filler})
							if old := fmt.Sprintf("n%d-%d", i-2, n); have[old].Gen > 0 {
								out = append(out, Record{Name: old, Erased: true})
							}
						}
						return out
					})
				}
			}
			comeAndGo(0, steps)
			who := slices.IndexFunc(w.sound(), func(n *node) bool {
				return n.m.keys[testKey].role != roleOwner && n.m.keys[RosterKey].role != roleOwner
			})
			w.inject(failure{kind: k, who: who, count: 1, hold: 12 * time.Second})
			w.run(w.now + 100*time.Millisecond)
			comeAndGo(steps, 2*steps)
			w.run(w.now + 15*time.Second)
			want := w.truthOf(testKey)
			if len(want) != 2*namesAStep {
				t.Fatalf("%s: the owner holds %d records", kindNames[k], len(want))
			}
			for _, id := range w.ids {
				have, _, ok := w.nodes[id].m.Committed(testKey)
				if !ok || len(have) != len(want) {
					t.Errorf("%s, %d steps: %s holds %d records, %v, not %d", kindNames[k], steps, id, len(have), ok, len(want))
				}
				w.holds(id, testKey, have, want)
			}
		}
	}
}
