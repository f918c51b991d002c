package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const beat = 500 * time.Millisecond

// net carries messages between rolls at once, unless one is down or cut off.
type net struct {
	rolls map[string]*Table
	down  map[string]bool
	now   time.Duration
	bytes int // sent
}

func newNet(n int) *net {
	w := &net{rolls: map[string]*Table{}, down: map[string]bool{}}
	for i := 0; i < n; i++ {
		w.start(i)
	}
	return w
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:7660", i) }

func (w *net) start(i int) {
	w.rolls[addr(i)] = NewTable(Config{Self: Node{Address: addr(i), Name: fmt.Sprintf("edge-%02d", i), Zone: fmt.Sprintf("z%d", i%4)},
		Seeds: []string{addr(0), addr(1), addr(2)}, Beat: beat, Forget: 100 * beat})
	w.down[addr(i)] = false
}

func (w *net) flush() {
	for again := true; again; {
		again = false
		for _, from := range slices.Sorted(maps.Keys(w.rolls)) {
			out, _ := w.rolls[from].Take()
			for _, e := range out {
				again = true
				b, _ := cbor.Marshal(e.Msg)
				w.bytes += len(b)
				if to := w.rolls[e.To]; to != nil && !w.down[e.To] && !w.down[from] {
					to.Handle(w.now, from, e.Msg)
				}
			}
		}
	}
}

func (w *net) run(beats int) {
	for i := 0; i < beats; i++ {
		w.now += beat
		for _, a := range slices.Sorted(maps.Keys(w.rolls)) {
			if !w.down[a] {
				w.rolls[a].Tick(w.now)
			}
		}
		w.flush()
	}
}

func (w *net) believe(t *testing.T, about string, want State) {
	t.Helper()
	for a, r := range w.rolls {
		if w.down[a] || a == about {
			continue
		}
		if it := r.items[about]; it == nil || it.node.State != want {
			t.Fatalf("%s holds %s for %+v, want %v", a, about, it, want)
		}
	}
}

func TestEveryoneFindsEveryoneThroughSeeds(t *testing.T) {
	w := newNet(15)
	w.run(8)
	for a, r := range w.rolls {
		if n := len(r.Nodes()); n != 15 {
			t.Fatalf("%s knows %d nodes", a, n)
		}
		if n := len(r.WatchSet()); n != watchSet {
			t.Fatalf("%s watches %d nodes", a, n)
		}
	}
}

func TestSuspicionBeforeDeathAndReturn(t *testing.T) {
	w := newNet(12)
	w.run(8)
	gone := addr(7)
	w.down[gone] = true
	w.run(3)
	suspected := false
	for a, r := range w.rolls {
		if a != gone && r.items[gone].node.State == Dead {
			t.Fatal("dead without having been suspected for two beats")
		}
		suspected = suspected || a != gone && r.items[gone].node.State == Suspect
	}
	if !suspected {
		t.Fatal("nobody suspects a silent node")
	}
	w.run(12)
	w.believe(t, gone, Dead)
	w.start(7) // a new process with no memory
	w.run(10)
	w.believe(t, gone, Alive)
}

func TestFrozenNodeClearsItself(t *testing.T) {
	w := newNet(8)
	w.run(8)
	w.down[addr(3)] = true
	w.run(4)
	w.down[addr(3)] = false
	w.run(8)
	w.believe(t, addr(3), Alive)
}

func TestSeedsAreNotNeededLater(t *testing.T) {
	w := newNet(10)
	w.run(8)
	for i := 0; i < 3; i++ {
		w.down[addr(i)] = true
	}
	w.run(15)
	w.believe(t, addr(0), Dead)
	w.believe(t, addr(9), Alive)
}

func TestShardsSpanZonesAndStay(t *testing.T) {
	w := newNet(11)
	w.run(8)
	list := func() *List { return &List{Nodes: w.rolls[addr(10)].Nodes()} }
	before := list().Shards(2)
	for zone := 0; zone < 4; zone++ {
		seen := map[int]bool{}
		for i := zone; i < 11; i += 4 {
			seen[before[addr(i)]] = true
		}
		if len(seen) != 2 {
			t.Fatalf("zone %d has shards %v", zone, seen)
		}
	}
	w.down[addr(0)] = true
	w.run(12)
	for a, s := range list().Shards(2) {
		if before[a] != s {
			t.Fatalf("%s moved from shard %d to %d when another gateway died", a, before[a], s)
		}
	}
}

// wrong counts what the nodes that are up believe wrongly of all n.
func (w *net) wrong(n int) (out int) {
	for a, r := range w.rolls {
		for i := 0; i < n && !w.down[a]; i++ {
			if it := r.items[addr(i)]; (it != nil && it.node.State < Dead) == w.down[addr(i)] {
				out++
			}
		}
	}
	return out
}

// What the nodes tell each other must stay small beside links of a few Mbit/s when
// there are hundreds of them, also when many come and go at once.
func TestHundredsOfNodes(t *testing.T) {
	const n = 300
	w := newNet(n)
	steps := []struct {
		name   string
		change func()
		beats  int
		most   int // bytes a node and beat
		wrong  int // beliefs that may be wrong at the end, of n*n
	}{
		{"start", func() {}, 8, 12000, n},
		{"calm", func() {}, 5, 2400, 0},
		{"one in ten dies", func() {
			for i := 5; i < n; i += 10 {
				w.down[addr(i)] = true
			}
		}, 12, 8000, n * n / 500},
		{"and is back", func() {
			for i := 5; i < n; i += 10 {
				w.start(i)
			}
		}, 12, 8000, 0},
		{"one list lacks a node", func() {
			delete(w.rolls[addr(7)].items, addr(9))
			w.rolls[addr(7)].touch()
		}, 8, 2400, 0},
	}
	for _, s := range steps {
		s.change()
		w.bytes = 0
		w.run(s.beats)
		t.Logf("%s: %d bytes a node and beat, %d wrong", s.name, w.bytes/n/s.beats, w.wrong(n))
		if got := w.bytes / n / s.beats; got > s.most {
			t.Errorf("%s: %d bytes a node and beat", s.name, got)
		}
		if got := w.wrong(n); got > s.wrong {
			t.Errorf("%s: %d beliefs are wrong", s.name, got)
		}
	}
}
