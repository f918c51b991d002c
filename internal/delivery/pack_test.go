package delivery

import (
	"fmt"
	"maps"
	"testing"

	"madderwing/internal/antientropy"
)

func routes(n int) *antientropy.Set {
	s := antientropy.NewSet()
	for i := range n {
		s.Put(antientropy.Record{Name: fmt.Sprint("route/r", i), Gen: uint64(i + 1),
			Data: fmt.Appendf(nil, `{"name":"r%d","pathPrefix":"/p%d/","routeKind":"idempotent","deadlineS":1.5,"targetLatencyS":0.6,"priority":2,"target":"askrift","maxTries":2,"generation":%d}`, i, i*7919, i+1)})
	}
	return s
}

// What a watcher takes in is what the control node shows, packed or not, before and after a change.
func TestPacksHoldWhatTheRangesHold(t *testing.T) {
	for _, c := range []struct {
		routes int
		packs  bool
		most   int // bytes, of all ranges
	}{
		{3, true, 1 << 10},
		{2000, true, 120 << 10},
		{2000, false, 500 << 10},
	} {
		set, has := routes(c.routes), antientropy.NewSet()
		var p Packs
		for round := range 2 {
			var out Issue
			size := 0
			for _, i := range antientropy.Diff(has.Sums, set.Sums) {
				size += p.Range(set, i, c.packs, &out)
			}
			if size > c.most || round > 0 && size > c.most/4 {
				t.Errorf("%d routes, packs %v, round %d: %d bytes", c.routes, c.packs, round, size)
			}
			has.Merge(out.Records)
			for _, b := range out.Packs {
				records, err := Unpack(b)
				if err != nil {
					t.Fatal(err)
				}
				has.Merge(records)
			}
			if has.Sums != set.Sums || !maps.EqualFunc(has.Records, set.Records, func(a, b antientropy.Record) bool { return a.Sum() == b.Sum() }) {
				t.Fatalf("%d routes, packs %v, round %d: the watcher has something else", c.routes, c.packs, round)
			}
			set.Put(antientropy.Record{Name: "route/r1", Gen: 9, Data: []byte(`{"name":"r1"}`)})
		}
	}
}

func TestDamagedPacksAreRefused(t *testing.T) {
	whole, err := Pack(antientropy.Pick(routes(50).Records, []int{0, 1, 2}))
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		if _, err := Unpack(whole[:n]); err == nil {
			t.Fatalf("%d of %d bytes are taken for the whole", n, len(whole))
		}
	}
}
