package delivery

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"madderwing/internal/antientropy"
	"madderwing/internal/config"
)

// history is what an owner has committed: configurations in which items are added, removed and
// purged, and evacuations, which are committed independently.
type history struct {
	random      *rand.Rand
	configs     []map[string]antientropy.Record
	evacuations []antientropy.Record
	toPurge     []string             // names of tombstones that are not purged yet, in order of removal
	purged      map[string][2]uint64 // by name: generation and horizon when it was last purged
	gen         uint64
}

func newHistory(seed uint64) *history {
	return &history{random: rand.New(rand.NewPCG(seed, 1)), configs: []map[string]antientropy.Record{{}},
		evacuations: []antientropy.Record{{Name: "evacuation/z"}}, purged: map[string][2]uint64{}}
}

// step commits a random change.
func (h *history) step() {
	const nameCount, maxDropped = 60, 8
	records := maps.Clone(h.configs[len(h.configs)-1])
	h.gen++
	switch h.random.IntN(6) {
	case 0:
		h.evacuations = append(h.evacuations, antientropy.Record{Name: "evacuation/z", Gen: h.gen})
		return
	case 1, 2, 3:
		name := fmt.Sprintf("route/n%d", h.random.IntN(nameCount))
		records[name] = antientropy.Record{Name: name, Gen: h.gen, Data: make([]byte, h.random.IntN(300))}
		h.toPurge = slices.DeleteFunc(h.toPurge, func(n string) bool { return n == name })
	default:
		for name, r := range records {
			if !r.Dropped && name != "horizon" {
				records[name] = antientropy.Record{Name: name, Gen: h.gen, Dropped: true}
				h.toPurge = append(h.toPurge, name)
				break
			}
		}
	}
	if len(h.toPurge) > 2*maxDropped {
		horizon := config.Horizon(records) + 1
		for _, name := range h.toPurge[:maxDropped] {
			h.purged[name] = [2]uint64{records[name].Gen, horizon}
			delete(records, name)
		}
		h.toPurge = h.toPurge[maxDropped:]
		records["horizon"] = antientropy.Record{Name: "horizon", Gen: horizon}
	}
	h.configs = append(h.configs, records)
}

// controlNode serves one version of the configuration and of the evacuations, and logs its changes.
type controlNode struct {
	config, evacuation int
	sender             Sender
	set                *antientropy.Set
}

func (c *controlNode) served(h *history) *antientropy.Set {
	if c.set == nil {
		c.set, c.sender.Log = antientropy.NewSet(), &ChangeLog{}
	}
	want := maps.Clone(h.configs[c.config])
	evacuation := h.evacuations[c.evacuation]
	want[evacuation.Name] = evacuation
	for name := range c.set.Records {
		if _, exists := want[name]; !exists {
			c.set.Remove(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if have, ok := c.set.Records[name]; !ok || have.Sum() != want[name].Sum() {
			c.sender.Log.Put(c.set, want[name])
		}
	}
	return c.set
}

// Gateways are partitioned while the horizon rises several times, and control nodes lag. However
// updates are delayed, lost, duplicated and reordered, no purged name reappears in a copy that knows
// its horizon, and in the end each copy equals the current records.
func TestPurgedNamesDoNotReappear(t *testing.T) {
	const seeds, steps, controlNodes, gateways, maxBytes = 40, 600, 3, 4, 1500
	for seed := range uint64(seeds) {
		h := newHistory(seed)
		var nodes [controlNodes]controlNode
		var copies [gateways]*Copy
		var partitionedUntil [gateways]int
		type delayedUpdate struct {
			to     int
			update Update
		}
		var inFlight []delayedUpdate
		for g := range copies {
			copies[g] = NewCopy()
		}
		request := func(g, c int) Update {
			var update Update
			watch := Watch{AcceptsPacks: h.random.IntN(2) == 0}
			copies[g].FillWatch(&watch)
			nodes[c].sender.AddMissing(nodes[c].served(h), watch, maxBytes, &update)
			return update
		}
		apply := func(g int, update Update) {
			if _, err := copies[g].Apply(update); err != nil {
				t.Fatal(err)
			}
			for name, r := range copies[g].Records {
				purgedAt, purged := h.purged[name]
				if purged && !r.Dropped && r.Gen <= purgedAt[0] && copies[g].horizons[antientropy.RangeOf(name)] >= purgedAt[1] {
					t.Fatalf("seed %d: gateway %d holds %s of generation %d, which was purged at generation %d", seed, g, name, r.Gen, purgedAt[0])
				}
			}
		}
		for step := range steps {
			h.step()
			for c := range nodes {
				// The first one is up to date, the others lag, sometimes for long.
				if c == 0 || h.random.IntN(60) == 0 {
					nodes[c].config = len(h.configs) - 1
				}
				if h.random.IntN(20) == 0 {
					nodes[c].evacuation = len(h.evacuations) - 1
				}
			}
			for g := range copies {
				if partitionedUntil[g] > step {
					continue
				}
				if h.random.IntN(100) == 0 {
					partitionedUntil[g] = step + h.random.IntN(300)
				}
				inFlight = append(inFlight, delayedUpdate{g, request(g, h.random.IntN(controlNodes))})
			}
			for range gateways {
				if len(inFlight) == 0 {
					break
				}
				i := h.random.IntN(min(len(inFlight), 12))
				next := inFlight[i]
				if h.random.IntN(10) > 0 { // otherwise it is duplicated
					inFlight = slices.Delete(inFlight, i, i+1)
				}
				if h.random.IntN(10) > 0 { // otherwise it is lost
					apply(next.to, next.update)
				}
			}
		}
		if config.Horizon(h.configs[len(h.configs)-1]) < 5 {
			t.Fatalf("seed %d: horizon %d", seed, config.Horizon(h.configs[len(h.configs)-1]))
		}
		for c := range nodes {
			nodes[c].config, nodes[c].evacuation = len(h.configs)-1, len(h.evacuations)-1
		}
		want := nodes[0].served(h)
		for g := range copies {
			rounds := 0
			for ; ; rounds++ {
				update := request(g, h.random.IntN(controlNodes))
				if update.Empty() {
					break
				}
				if rounds > 2*antientropy.Ranges {
					t.Fatalf("seed %d: gateway %d still lacks records", seed, g)
				}
				apply(g, update)
			}
			if copies[g].Sums != want.Sums || len(copies[g].Records) != len(want.Records) {
				t.Errorf("seed %d: gateway %d differs: it holds %d records, want %d", seed, g, len(copies[g].Records), len(want.Records))
			}
		}
	}
}

// A control node whose configuration lags immediately sends records that are never purged, and
// nothing else, however many other records it holds.
func TestLaggingSenderSendsEvacuations(t *testing.T) {
	ahead, lagging, copied := antientropy.NewSet(), antientropy.NewSet(), NewCopy()
	for i := range 100 {
		lagging.Put(antientropy.Record{Name: fmt.Sprint("route/n", i), Gen: 1, Data: make([]byte, 100)})
	}
	lagging.Put(antientropy.Record{Name: "evacuation/z", Gen: 1})
	ahead.Put(antientropy.Record{Name: "horizon", Gen: 1})
	for _, from := range []*antientropy.Set{ahead, lagging} {
		var watch Watch
		var update Update
		copied.FillWatch(&watch)
		(&Sender{}).AddMissing(from, watch, 1<<10, &update)
		if len(update.Records) > 1 {
			t.Errorf("%d records were sent, want at most 1", len(update.Records))
		}
		if _, err := copied.Apply(update); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := copied.Records["evacuation/z"]; !ok || len(copied.Records) != 2 {
		t.Errorf("copy holds %v, want the horizon and the evacuation", copied.Records)
	}
}

// Compatibility with versions without horizons: a gateway of such a version gets each change although
// its ranges never become equal. Purged records that a control node of such a version brings back are
// removed by the next update with a horizon.
func TestVersionsWithoutHorizons(t *testing.T) {
	h := newHistory(7)
	node := controlNode{}
	olderGateway := antientropy.NewSet()
	for range 400 {
		h.step()
		node.config = len(h.configs) - 1
		for range antientropy.Ranges {
			var update Update
			sums := olderGateway.Sums
			node.sender.AddMissing(node.served(h), Watch{Sums: &sums}, 1, &update)
			olderGateway.Merge(update.Records)
		}
	}
	want := h.configs[node.config]
	for name, r := range olderGateway.Records {
		if expected, ok := want[name]; !r.Dropped && name != "evacuation/z" && (!ok || expected.Sum() != r.Sum()) {
			t.Errorf("old gateway holds %s of generation %d, which is not current", name, r.Gen)
		}
	}
	for name := range want {
		if _, ok := olderGateway.Records[name]; !ok {
			t.Errorf("old gateway lacks %s", name)
		}
	}

	copied := NewCopy()
	applyUpdate := func() {
		var watch Watch
		var update Update
		copied.FillWatch(&watch)
		node.sender.AddMissing(node.served(h), watch, 1<<20, &update)
		if _, err := copied.Apply(update); err != nil {
			t.Fatal(err)
		}
	}
	applyUpdate()
	if _, err := copied.Apply(Update{Records: []antientropy.Record{{Name: "route/back", Gen: 1}, {Name: "route/new", Gen: 1e6}}}); err != nil {
		t.Fatal(err)
	}
	if len(copied.Records) != len(want)+3 {
		t.Error("records from an old control node were not merged")
	}
	applyUpdate()
	if copied.Sums != node.served(h).Sums {
		t.Errorf("after an update with a horizon the copy holds %d records, want %d", len(copied.Records), len(want)+1)
	}
}

// A damaged pack must not empty a range.
func TestUpdateWithDamagedPackIsRejected(t *testing.T) {
	copied, horizon := NewCopy(), uint64(1)
	copied.Put(antientropy.Record{Name: "route/n", Gen: 1})
	if _, err := copied.Apply(Update{Horizon: &horizon, Ranges: antientropy.AllRanges(), Packs: [][]byte{{1}}}); err == nil {
		t.Error("update with a damaged pack was applied")
	}
	if len(copied.Records) != 1 {
		t.Error("update with a damaged pack emptied a range")
	}
}
