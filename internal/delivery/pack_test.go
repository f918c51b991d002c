package delivery

import (
	"fmt"
	"maps"
	"testing"

	"madderwing/internal/antientropy"
)

func routes(n int) *antientropy.Set {
	set := antientropy.NewSet()
	for i := range n {
		set.Put(antientropy.Record{Name: fmt.Sprint("route/r", i), Gen: uint64(i + 1),
			Data: fmt.Appendf(nil, `{"name":"r%d","pathPrefix":"/p%d/","routeKind":"idempotent","deadlineS":1.5,"targetLatencyS":0.6,"priority":2,"target":"askrift","maxTries":2,"generation":%d}`, i, i*7919, i+1)})
	}
	return set
}

// A watcher ends up with the control node's records, packed or not, before and after a change.
func TestPacksMatchRanges(t *testing.T) {
	for _, c := range []struct {
		routes   int
		packs    bool
		maxBytes int // for all ranges together
	}{
		{3, true, 1 << 10},
		{2000, true, 120 << 10},
		{2000, false, 500 << 10},
	} {
		set, copied := routes(c.routes), antientropy.NewSet()
		var cache PackCache
		for round := range 2 {
			var update Update
			size := 0
			for _, i := range antientropy.Diff(copied.Sums, set.Sums) {
				size += cache.AddRange(set, i, c.packs, &update)
			}
			if size > c.maxBytes || round > 0 && size > c.maxBytes/4 {
				t.Errorf("%d routes, packs %v, round %d: %d bytes", c.routes, c.packs, round, size)
			}
			copied.Merge(update.Records)
			for _, pack := range update.Packs {
				records, err := Unpack(pack)
				if err != nil {
					t.Fatal(err)
				}
				copied.Merge(records)
			}
			if copied.Sums != set.Sums || !maps.EqualFunc(copied.Records, set.Records, func(a, b antientropy.Record) bool { return a.Sum() == b.Sum() }) {
				t.Fatalf("%d routes, packs %v, round %d: copy differs from the set", c.routes, c.packs, round)
			}
			set.Put(antientropy.Record{Name: "route/r1", Gen: 9, Data: []byte(`{"name":"r1"}`)})
		}
	}
}

func TestDamagedPacksAreRejected(t *testing.T) {
	pack, err := Pack(antientropy.Pick(routes(50).Records, []int{0, 1, 2}))
	if err != nil {
		t.Fatal(err)
	}
	for n := range pack {
		if _, err := Unpack(pack[:n]); err == nil {
			t.Fatalf("truncated pack of %d of %d bytes was unpacked", n, len(pack))
		}
	}
}
