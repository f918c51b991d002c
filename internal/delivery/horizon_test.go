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

// history is what an owner has committed: a configuration in which names come, go and are
// forgotten, and evacuations, which have a history of their own.
type history struct {
	random      *rand.Rand
	configs     []map[string]antientropy.Record
	evacuations []antientropy.Record
	dropped     []string             // in order, not yet forgotten
	forgotten   map[string][2]uint64 // name -> generation and horizon when it was last forgotten
	gen         uint64
}

func newHistory(seed uint64) *history {
	return &history{random: rand.New(rand.NewPCG(seed, 1)), configs: []map[string]antientropy.Record{{}},
		evacuations: []antientropy.Record{{Name: "evacuation/z"}}, forgotten: map[string][2]uint64{}}
}

// step commits a change.
func (h *history) step() {
	const names, remembered = 60, 8
	now := maps.Clone(h.configs[len(h.configs)-1])
	h.gen++
	switch h.random.IntN(6) {
	case 0:
		h.evacuations = append(h.evacuations, antientropy.Record{Name: "evacuation/z", Gen: h.gen})
		return
	case 1, 2, 3:
		name := fmt.Sprintf("route/n%d", h.random.IntN(names))
		now[name] = antientropy.Record{Name: name, Gen: h.gen, Data: make([]byte, h.random.IntN(300))}
		h.dropped = slices.DeleteFunc(h.dropped, func(n string) bool { return n == name })
	default:
		for name, r := range now {
			if !r.Dropped && name != "horizon" {
				now[name] = antientropy.Record{Name: name, Gen: h.gen, Dropped: true}
				h.dropped = append(h.dropped, name)
				break
			}
		}
	}
	if len(h.dropped) > 2*remembered {
		horizon := config.Horizon(now) + 1
		for _, name := range h.dropped[:remembered] {
			h.forgotten[name] = [2]uint64{now[name].Gen, horizon}
			delete(now, name)
		}
		h.dropped = h.dropped[remembered:]
		now["horizon"] = antientropy.Record{Name: "horizon", Gen: horizon}
	}
	h.configs = append(h.configs, now)
}

// controlNode shows some point of both histories, and knows what has changed lately.
type controlNode struct {
	config, evacuation int
	sender             Sender
	set                *antientropy.Set
}

func (c *controlNode) shown(h *history) *antientropy.Set {
	if c.set == nil {
		c.set, c.sender.Log = antientropy.NewSet(), &ChangeLog{}
	}
	want := maps.Clone(h.configs[c.config])
	evacuation := h.evacuations[c.evacuation]
	want[evacuation.Name] = evacuation
	for name := range c.set.Records {
		if _, stands := want[name]; !stands {
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

// Gateways that are cut off over horizons, and control nodes that lag: however issues are
// delayed, lost, doubled and overtaken, no forgotten name comes back to a copy that has
// heard of its horizon, and in the end each copy holds exactly what stands.
func TestForgottenNamesDoNotComeBack(t *testing.T) {
	const seeds, steps, controls, gateways, most = 40, 600, 3, 4, 1500
	for seed := range uint64(seeds) {
		h := newHistory(seed)
		var nodes [controls]controlNode
		var copies [gateways]*Copy
		var cutTill [gateways]int
		type delayed struct {
			to    int
			issue Issue
		}
		var way []delayed
		for g := range copies {
			copies[g] = NewCopy()
		}
		ask := func(g, c int) Issue {
			var out Issue
			w := Watch{Packs: h.random.IntN(2) == 0}
			copies[g].Tell(&w)
			nodes[c].sender.Bring(nodes[c].shown(h), w, most, &out)
			return out
		}
		take := func(g int, i Issue) {
			if _, err := copies[g].Take(i); err != nil {
				t.Fatal(err)
			}
			for name, r := range copies[g].Records {
				f, was := h.forgotten[name]
				if was && !r.Dropped && r.Gen <= f[0] && copies[g].horizons[antientropy.RangeOf(name)] >= f[1] {
					t.Fatalf("seed %d: gateway %d holds %s of generation %d, forgotten at %d", seed, g, name, r.Gen, f[0])
				}
			}
		}
		for n := range steps {
			h.step()
			for c := range nodes {
				// The first one keeps up, the others lag, at times for long.
				if c == 0 || h.random.IntN(60) == 0 {
					nodes[c].config = len(h.configs) - 1
				}
				if h.random.IntN(20) == 0 {
					nodes[c].evacuation = len(h.evacuations) - 1
				}
			}
			for g := range copies {
				if cutTill[g] > n {
					continue
				}
				if h.random.IntN(100) == 0 {
					cutTill[g] = n + h.random.IntN(300)
				}
				way = append(way, delayed{g, ask(g, h.random.IntN(controls))})
			}
			for range gateways {
				if len(way) == 0 {
					break
				}
				i := h.random.IntN(min(len(way), 12))
				d := way[i]
				if h.random.IntN(10) > 0 { // or else it comes once more
					way = slices.Delete(way, i, i+1)
				}
				if h.random.IntN(10) > 0 { // or else it is lost
					take(d.to, d.issue)
				}
			}
		}
		if config.Horizon(h.configs[len(h.configs)-1]) < 5 {
			t.Fatalf("seed %d: horizon %d", seed, config.Horizon(h.configs[len(h.configs)-1]))
		}
		for c := range nodes {
			nodes[c].config, nodes[c].evacuation = len(h.configs)-1, len(h.evacuations)-1
		}
		want := nodes[0].shown(h)
		for g := range copies {
			rounds := 0
			for ; ; rounds++ {
				i := ask(g, h.random.IntN(controls))
				if i.Empty() {
					break
				}
				if rounds > 2*antientropy.Ranges {
					t.Fatalf("seed %d: gateway %d still lacks something", seed, g)
				}
				take(g, i)
			}
			if copies[g].Sums != want.Sums || len(copies[g].Records) != len(want.Records) {
				t.Errorf("seed %d: gateway %d holds %d records, not the %d that stand", seed, g, len(copies[g].Records), len(want.Records))
			}
		}
	}
}

// A control node whose configuration lags brings what is not the configuration's at once, and
// nothing else, however much else it holds.
func TestALaggingSenderBringsEvacuations(t *testing.T) {
	ahead, lagging, copied := antientropy.NewSet(), antientropy.NewSet(), NewCopy()
	for i := range 100 {
		lagging.Put(antientropy.Record{Name: fmt.Sprint("route/n", i), Gen: 1, Data: make([]byte, 100)})
	}
	lagging.Put(antientropy.Record{Name: "evacuation/z", Gen: 1})
	ahead.Put(antientropy.Record{Name: "horizon", Gen: 1})
	for _, from := range []*antientropy.Set{ahead, lagging} {
		var w Watch
		var out Issue
		copied.Tell(&w)
		(&Sender{}).Bring(from, w, 1<<10, &out)
		if len(out.Records) > 1 {
			t.Errorf("%d records are sent", len(out.Records))
		}
		if _, err := copied.Take(out); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := copied.Records["evacuation/z"]; !ok || len(copied.Records) != 2 {
		t.Errorf("it holds %v", copied.Records)
	}
}

// With versions before horizons: a gateway of one gets each change though its ranges never
// become the same; what a control node of one brings back goes with the next newer one.
func TestVersionsWithoutHorizons(t *testing.T) {
	h := newHistory(7)
	node := controlNode{}
	older := antientropy.NewSet()
	for range 400 {
		h.step()
		node.config = len(h.configs) - 1
		for range antientropy.Ranges {
			var out Issue
			sums := older.Sums
			node.sender.Bring(node.shown(h), Watch{Sums: &sums}, 1, &out)
			older.Merge(out.Records)
		}
	}
	want := h.configs[node.config]
	for name, r := range older.Records {
		if stands, ok := want[name]; !r.Dropped && name != "evacuation/z" && (!ok || stands.Sum() != r.Sum()) {
			t.Errorf("an earlier gateway holds %s of generation %d, which does not stand", name, r.Gen)
		}
	}
	for name := range want {
		if _, ok := older.Records[name]; !ok {
			t.Errorf("an earlier gateway lacks %s", name)
		}
	}

	copied := NewCopy()
	bring := func() {
		var w Watch
		var out Issue
		copied.Tell(&w)
		node.sender.Bring(node.shown(h), w, 1<<20, &out)
		if _, err := copied.Take(out); err != nil {
			t.Fatal(err)
		}
	}
	bring()
	if _, err := copied.Take(Issue{Records: []antientropy.Record{{Name: "route/back", Gen: 1}, {Name: "route/new", Gen: 1e6}}}); err != nil {
		t.Fatal(err)
	}
	if len(copied.Records) != len(want)+3 {
		t.Error("what an earlier control node sends is not taken")
	}
	bring()
	if copied.Sums != node.shown(h).Sums {
		t.Errorf("after a newer one's word it holds %d records, not %d", len(copied.Records), len(want)+1)
	}
}

// A damaged pack does not empty a range.
func TestAnIssueWithADamagedPackIsNotTaken(t *testing.T) {
	copied, horizon := NewCopy(), uint64(1)
	copied.Put(antientropy.Record{Name: "route/n", Gen: 1})
	if _, err := copied.Take(Issue{Horizon: &horizon, Ranges: antientropy.AllRanges(), Packs: [][]byte{{1}}}); err == nil {
		t.Error("it is taken")
	}
	if len(copied.Records) != 1 {
		t.Error("a range was emptied")
	}
}
