package controlplane

import (
	"bytes"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/replication"
)

const (
	testContactS = 3 * time.Second
	testBeat     = testContactS / 6
	testBound    = time.Duration(contactFraction * float64(testContactS))
	testStep     = 10 * time.Millisecond
)

// island is a world of control nodes' members and of what each knows of its contact. Cuts
// work one way.
type island struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	ids   []string
	nodes map[string]*islander
	cut   map[[2]string]bool
	mail  []letter
	acked []time.Duration // when the value of this index was acknowledged
}

type islander struct {
	life   uint64
	m      *replication.Replica
	c      *contact
	disk   map[string][]byte
	frozen bool
	held   []letter
	alone  time.Duration // since then it has not heard a majority
	shown  map[string]replication.Record
}

type letter struct {
	at       time.Duration
	from, to string
	msg      replication.Message
}

func newIsland(t *testing.T, n int) *island {
	w := &island{t: t, rng: rand.New(rand.NewPCG(uint64(n), 5)), nodes: map[string]*islander{}, cut: map[[2]string]bool{}}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprint("n", i))
	}
	for _, id := range w.ids {
		w.nodes[id] = &islander{disk: map[string][]byte{}}
		w.start(id, true)
	}
	return w
}

func (w *island) start(id string, first bool) {
	x := w.nodes[id]
	x.life++
	keys := []string{config.Key, config.EvacuationPrefix + "z"}
	m, err := replication.NewReplica(replication.Config{Self: id, Life: x.life, Seeds: w.ids, Bootstrap: first, Empty: len(x.disk) == 0,
		Keys: keys, Sure: keys, Faults: 2, Identity: w.rng.Uint64() | 1, Beat: testBeat, Vacant: time.Duration(ownerTimeoutFraction * float64(testContactS)), Patience: time.Second,
		Alive: func(string) bool { return true }}, x.disk)
	if err != nil {
		w.t.Fatal(err)
	}
	x.m, x.c, x.held = m, newContact(testBound, keys), nil
}

// split cuts both ways between those named and all others.
func (w *island) split(ids ...string) {
	for _, a := range ids {
		for _, b := range w.ids {
			if !strings.Contains(strings.Join(ids, " "), b) {
				w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = true, true
			}
		}
	}
}

func (w *island) join() { w.cut = map[[2]string]bool{} }

// hears says whether a node hears more than half of all. One that is not heard itself
// still gets what is new.
func (w *island) hears(id string) bool {
	n := 0
	for _, b := range w.ids {
		if !w.cut[[2]string{b, id}] && !w.nodes[b].frozen {
			n++
		}
	}
	return 2*n > len(w.ids) && !w.nodes[id].frozen
}

func (w *island) settle(id string) {
	x := w.nodes[id]
	fx := x.m.Take()
	for len(fx.Send)+len(fx.Writes) > 0 {
		for _, e := range fx.Send {
			if !w.cut[[2]string{id, e.To}] {
				w.mail = append(w.mail, letter{w.now + testStep, id, e.To, e.Msg})
			}
		}
		for _, wr := range fx.Writes {
			for _, e := range wr.Entries {
				if x.disk[e.Key] = e.Value; e.Value == nil {
					delete(x.disk, e.Key)
				}
			}
			x.m.Durable(w.now, wr.ID)
		}
		fx = x.m.Take()
	}
	if records, _, ok := x.m.Committed(config.Key); ok {
		x.shown = maps.Clone(records)
	}
	x.c.update(x.m.Current)
}

// run lets time pass. A change is proposed to whoever owns the configuration ten times a
// second; whoever says that it is fresh must have what was acknowledged long enough ago.
func (w *island) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += testStep {
		var later []letter
		mail := w.mail
		w.mail = nil
		for _, l := range mail {
			x := w.nodes[l.to]
			switch {
			case l.at > w.now:
				later = append(later, l)
			case x.frozen:
				x.held = append(x.held, l)
			default:
				x.m.Handle(w.now, l.from, l.msg)
				w.settle(l.to)
			}
		}
		w.mail = append(later, w.mail...)
		for _, id := range w.ids {
			x := w.nodes[id]
			if x.frozen {
				x.alone = min(x.alone, w.now)
				continue
			}
			for _, l := range x.held {
				x.m.Handle(w.now, l.from, l.msg)
			}
			x.held = nil
			x.m.Tick(w.now)
			if x.m.Owner(w.now, config.Key) == id && w.now%(100*time.Millisecond) == 0 {
				value := len(w.acked)
				w.acked = append(w.acked, -1)
				x.m.Propose(w.now, config.Key, func(map[string]replication.Record) ([]replication.Record, error) {
					return []replication.Record{{Name: "r", Gen: uint64(value + 1)}}, nil
				}, func(err error) {
					if err == nil {
						w.acked[value] = w.now
					}
				})
			}
			w.settle(id)
			w.check(id, x)
		}
	}
}

func (w *island) check(id string, x *islander) {
	if w.hears(id) {
		x.alone = w.now
	}
	if !x.c.fresh(w.now) {
		return
	}
	if w.now-x.alone > testBound {
		w.t.Errorf("%v: %s is fresh, without a majority for %v", w.now, id, w.now-x.alone)
	}
	records := x.shown
	for value, at := range w.acked {
		if at >= 0 && at < w.now-testBound && records["r"].Gen < uint64(value+1) {
			w.t.Errorf("%v: %s is fresh with %d, and %d was acknowledged at %v", w.now, id, records["r"].Gen, value+1, at)
		}
	}
}

func (w *island) fresh() (out []string) {
	for _, id := range w.ids {
		if w.nodes[id].c.fresh(w.now) {
			out = append(out, id)
		}
	}
	return out
}

func TestContactNeedsAMajority(t *testing.T) {
	const long = 20 * time.Second
	// One that is not heard is followed by nobody for long; so that only its hearing
	// counts, it is one that owns no key.
	unheard := func(w *island) {
		for _, id := range w.ids {
			if w.nodes["n0"].m.Owner(w.now, config.Key) == id || w.nodes["n0"].m.Owner(w.now, config.EvacuationPrefix+"z") == id {
				continue
			}
			for _, b := range w.ids {
				if b != id {
					w.cut[[2]string{id, b}] = true
				}
			}
			return
		}
		w.t.Fatal("everybody owns a key")
	}
	deaf := func(w *island) {
		for _, b := range w.ids[1:] {
			w.cut[[2]string{b, "n0"}] = true
		}
	}
	all := "n0 n1 n2 n3 n4"
	for name, c := range map[string]struct {
		trouble func(w *island)
		then    string // who is fresh after a while of that
	}{
		"one alone":        {func(w *island) { w.split("n0") }, "n1 n2 n3 n4"},
		"two alone":        {func(w *island) { w.split("n0", "n1") }, "n2 n3 n4"},
		"nobody has any":   {func(w *island) { w.split("n0", "n1"); w.split("n2", "n3") }, ""},
		"it is not heard":  {unheard, all},
		"it hears nothing": {deaf, "n1 n2 n3 n4"},
		"frozen, and its mail waits": {func(w *island) {
			w.nodes["n0"].frozen = true
			w.run(testContactS)
			w.split("n0")
			w.run(testContactS)
			w.nodes["n0"].frozen = false
		}, "n1 n2 n3 n4"},
		"started again while cut off": {func(w *island) {
			w.split("n0", "n1")
			w.start("n0", false)
			w.start("n1", false)
		}, "n2 n3 n4"},
		"all started again, few come up": {func(w *island) {
			for i, id := range w.ids {
				w.start(id, false)
				w.nodes[id].frozen = i > 1
			}
		}, ""},
		"many in a row": {func(w *island) {
			for range 12 {
				w.split(w.ids[w.rng.IntN(5)])
				w.run(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
				w.join()
				w.run(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
			}
			w.split("n0")
		}, "n1 n2 n3 n4"},
		"one joins as the next is cut": {func(w *island) {
			for i := range 10 {
				w.join()
				w.split(w.ids[i%5], w.ids[(i+1)%5])
				w.run(testContactS)
			}
			w.join()
			w.split("n3", "n4")
		}, "n0 n1 n2"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newIsland(t, 5)
			w.run(6 * time.Second)
			if got := strings.Join(w.fresh(), " "); got != all {
				t.Fatalf("before: %s", got)
			}
			c.trouble(w)
			w.run(long)

			if got := strings.Join(w.fresh(), " "); got != c.then {
				t.Errorf("fresh: %q, want %q", got, c.then)
			}
			w.join()
			for _, id := range w.ids {
				w.nodes[id].frozen = false
			}
			w.run(2 * testContactS)
			if got := strings.Join(w.fresh(), " "); got != all {
				t.Errorf("after the join: %q", got)
			}
		})
	}
}

func TestContactIsToldOnce(t *testing.T) {
	var text bytes.Buffer
	c := newContact(time.Second, []string{"a", "b"})
	to := slog.New(slog.NewTextHandler(&text, nil))
	at := map[string]time.Duration{}
	current := func(key string) (time.Duration, bool) { d, ok := at[key]; return d, ok }
	for _, x := range []struct {
		now, a, b time.Duration
		fresh     bool
		age       time.Duration
		lines     int
	}{
		{2 * time.Second, 0, 0, false, 2 * time.Second, 0},               // as old as the process at least
		{3 * time.Second, 3 * time.Second, 0, false, 3 * time.Second, 0}, // one key only
		{3 * time.Second, 3 * time.Second, 2500 * time.Millisecond, true, time.Second / 2, 1},
		{4 * time.Second, 3900 * time.Millisecond, 3 * time.Second, true, time.Second, 1},
		{5 * time.Second, 4900 * time.Millisecond, 0, false, 2 * time.Second, 2}, // cannot be told now: what was known counts
		{9 * time.Second, 0, 0, false, 6 * time.Second, 2},
		{9 * time.Second, 9 * time.Second, 9 * time.Second, true, 0, 3},
	} {
		at = map[string]time.Duration{}
		if x.a > 0 {
			at["a"] = x.a
		}
		if x.b > 0 {
			at["b"] = x.b
		}
		c.update(current)
		c.logChange(x.now, to)
		age, known := c.age(x.now)
		if lines := strings.Count(text.String(), "\n"); c.fresh(x.now) != x.fresh || known && age != x.age || !known && x.fresh || lines != x.lines {
			t.Errorf("%v: fresh %v, age %v, %d lines; want %+v", x.now, c.fresh(x.now), age, lines, x)
		}
	}
	if !strings.Contains(text.String(), `msg="in contact with a majority" afterS=3`) || !strings.Contains(text.String(), "msg=\"out of contact with a majority\" itemsAgeS=2\n") {
		t.Error(text.String())
	}
}
