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
			p := newPlay(t, int64(k)+1, 4, 1, 4)
			p.calm, p.large = true, true
			propose := func(change func(have map[string]Record) []Record) {
				done := false
				for ; !done; p.run(p.now + 100*time.Millisecond) {
					if o := p.holder(testKey); o != nil {
						p.on(o.id, o.life, func() {
							o.m.Propose(p.clock(o), testKey, func(have map[string]Record) ([]Record, error) { return change(have), nil },
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
			who := slices.IndexFunc(p.sound(), func(n *node) bool { return n.m.keys[testKey].role != owns && n.m.keys[RosterKey].role != owns })
			p.strike(trouble{kind: k, who: who, count: 1, hold: 12 * time.Second})
			p.run(p.now + 100*time.Millisecond)
			comeAndGo(steps, 2*steps)
			p.run(p.now + 15*time.Second)
			want := p.truthOf(testKey)
			if len(want) != 2*namesAStep {
				t.Fatalf("%s: the owner holds %d records", kindNames[k], len(want))
			}
			for _, id := range p.ids {
				have, _, ok := p.nodes[id].m.Committed(testKey)
				if !ok || len(have) != len(want) {
					t.Errorf("%s, %d steps: %s holds %d records, %v, not %d", kindNames[k], steps, id, len(have), ok, len(want))
				}
				p.world.holds(id, testKey, have, want)
			}
		}
	}
}
