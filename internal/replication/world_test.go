package replication

import (
	"fmt"
	"math/rand"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/ledger"
)

// world is a simulated set of members: a network that delays, drops and cuts,
// disks that take time, and processes that crash, freeze or lose their disks.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	seq   int
	queue []event
	nodes map[string]*node
	ids   []string
	cut   map[[2]string]bool
	lives uint64

	acked  map[string]uint64              // name -> highest acknowledged value
	shown  map[Position]map[string]uint64 // position of the key -> contents
	sent   uint64
	answer int
	reads  int

	ackedAt []ack
	sures   map[Epoch]time.Duration // until when each owner was sure of itself
	frees   map[Epoch]time.Duration // and until when it took others to have been
	claims  int
	faults  int
	zones   map[string]string
}

type ack struct {
	name  string
	value uint64
	at    time.Duration
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type node struct {
	id      string
	m       *Member
	up      bool
	frozen  time.Duration
	disk    map[string][]byte // durable
	life    int
	stall   time.Duration
	diskAt  time.Duration
	lastPos Position
	boot    bool
	left    bool // it has said that it goes
	refuse  int
	born    time.Duration // every process counts time from its own start
}

func (w *world) clock(n *node) time.Duration { return w.now - n.born }

const testKey = "catalogue"

func newWorld(t *testing.T, seed int64, n int) *world {
	w := &world{t: t, faults: 1, zones: map[string]string{}, rng: rand.New(rand.NewSource(seed)), nodes: map[string]*node{}, cut: map[[2]string]bool{},
		acked: map[string]uint64{}, shown: map[Position]map[string]uint64{},
		sures: map[Epoch]time.Duration{}, frees: map[Epoch]time.Duration{}}
	for i := 0; i < n; i++ {
		id := fmt.Sprintf("10.0.0.%d:7661", i+1)
		w.ids = append(w.ids, id)
		w.nodes[id] = &node{id: id, disk: map[string][]byte{}, boot: true}
	}
	for _, id := range w.ids {
		w.start(id)
	}
	return w
}

func (w *world) at(d time.Duration, fn func()) {
	w.seq++
	w.queue = append(w.queue, event{w.now + d, w.seq, fn})
}

func (w *world) start(id string) {
	n := w.nodes[id]
	n.up, n.left = true, false
	n.life++
	n.diskAt, n.born = 0, w.now
	w.lives++
	n.lastPos = Position{}
	cfg := Config{Self: id, Life: w.lives, Identity: w.rng.Uint64() | 1, Seeds: w.ids[:3], Faults: w.faults,
		Left:  func(o string) bool { return w.nodes[o] != nil && w.nodes[o].left },
		Peers: func() []string { return w.ids },
		Zone:  func(o string) string { return w.zones[o] }, Bootstrap: n.boot, Empty: len(n.disk) == 0, Keys: []string{testKey},
		Beat: 500 * time.Millisecond, Vacant: 1200 * time.Millisecond, Patience: 900 * time.Millisecond, HandBack: 4 * time.Second, Sure: []string{testKey},
		Alive: func(o string) bool { return w.nodes[o] == nil || w.nodes[o].up }}
	n.boot = false
	m, err := NewMember(cfg, n.disk)
	if err != nil {
		w.t.Fatal(err)
	}
	n.m = m
	w.tick(id, n.life)
}

func (w *world) tick(id string, life int) {
	n := w.nodes[id]
	if !n.up || n.life != life {
		return
	}
	w.on(id, life, func() { n.m.Tick(w.clock(n)) })
	w.at(100*time.Millisecond, func() { w.tick(id, life) })
}

// on runs a step of a node and carries out its effects.
func (w *world) on(id string, life int, step func()) {
	n := w.nodes[id]
	if !n.up || n.life != life {
		return
	}
	if n.frozen > w.now {
		w.at(n.frozen-w.now+time.Microsecond, func() { w.on(id, life, step) })
		return
	}
	step()
	w.sure(n)
	fx := n.m.Take()
	for _, e := range fx.Send {
		w.deliver(id, life, e)
	}
	for _, wr := range fx.Writes {
		w.write(n, life, wr.Entries, wr.ID)
	}
	if fx.Rewrite {
		entries, upTo := n.m.Snapshot()
		w.write(n, life, entries, upTo)
	}
	for _, key := range fx.Committed {
		if key == testKey {
			w.see(n)
		}
	}
}

// sure checks what a member says of how old its copy is, and that no two owners
// are ever sure of themselves at once.
func (w *world) sure(n *node) {
	if at, ok := n.m.Current(testKey); ok {
		have, _, _ := n.m.Committed(testKey)
		w.claims++
		for i := len(w.ackedAt) - 1; i >= 0 && i > len(w.ackedAt)-40; i-- {
			if a := w.ackedAt[i]; a.at < n.born+at && have[a.name].Gen < a.value {
				w.t.Fatalf("at %v %s takes its copy for current at %v, but lacks %s=%d of %v", w.now, n.id, n.born+at, a.name, a.value, a.at)
			}
		}
	}
	t, ok := n.m.Tenure(w.clock(n), testKey)
	if !ok {
		return
	}
	w.sures[t.Epoch], w.frees[t.Epoch] = max(w.sures[t.Epoch], n.born+t.Sure), n.born+t.Free
	for e, sure := range w.sures {
		for o, free := range w.frees {
			if e.Less(o) && sure > free {
				w.t.Fatalf("at %v: owner %v was sure of itself until %v, but %v took it to be so until %v only", w.now, e, sure, o, free)
			}
		}
	}
}

func (w *world) write(n *node, life int, entries []ledger.Entry, id uint64) {
	took := time.Duration(1+w.rng.Intn(3)) * time.Millisecond
	n.diskAt = max(n.diskAt, w.now, n.stall) + took
	w.at(n.diskAt-w.now, func() {
		if !n.up || n.life != life {
			return
		}
		if n.refuse > 0 {
			n.refuse--
			w.on(n.id, life, func() { n.m.Failed(w.clock(n)) })
			return
		}
		for _, e := range entries {
			if e.Value == nil {
				delete(n.disk, e.Key)
			} else {
				n.disk[e.Key] = e.Value
			}
		}
		w.on(n.id, life, func() { n.m.Durable(w.clock(n), id) })
	})
}

func (w *world) deliver(from string, life int, e Envelope) {
	if w.rng.Intn(50) == 0 {
		return
	}
	d := time.Duration(200+w.rng.Intn(1500)) * time.Microsecond
	if w.rng.Intn(40) == 0 {
		d += time.Duration(w.rng.Intn(600)) * time.Millisecond
	}
	w.at(d, func() {
		if to := w.nodes[e.To]; !w.cut[[2]string{from, e.To}] && to.up {
			w.on(e.To, to.life, func() { to.m.Handle(w.clock(to), from, e.Msg) })
		}
	})
}

func values(records map[string]Record) map[string]uint64 {
	out := map[string]uint64{}
	for _, r := range records {
		out[r.Name] = r.Gen
	}
	return out
}

// see checks what a member shows as committed: it never goes back within a
// life, and no two members show different contents at one position.
func (w *world) see(n *node) {
	records, pos, ok := n.m.Committed(testKey)
	if !ok {
		return
	}
	if pos.Less(n.lastPos) {
		w.t.Fatalf("%s went back from %v to %v", n.id, n.lastPos, pos)
	}
	n.lastPos = pos
	now := values(records)
	if was, ok := w.shown[pos]; !ok {
		w.shown[pos] = now
	} else if fmt.Sprint(was) != fmt.Sprint(now) {
		w.t.Fatalf("two contents at %v: %v and %v", pos, was, now)
	}
}

func (w *world) propose() { w.proposeAt(w.ids[w.rng.Intn(len(w.ids))]) }

// proposeToOwner proposes at the owner that a drawn member believes in.
func (w *world) proposeToOwner() {
	n := w.nodes[w.ids[w.rng.Intn(len(w.ids))]]
	if owner := n.m.Owner(w.clock(n), testKey); owner != "" {
		w.proposeAt(owner)
	}
}

func (w *world) proposeAt(id string) {
	n := w.nodes[id]
	name := "x" + strconv.Itoa(w.rng.Intn(4))
	w.sent++
	v := w.sent
	w.on(id, n.life, func() {
		n.m.Propose(w.clock(n), testKey, func(have map[string]Record) ([]Record, error) {
			if have[name].Gen >= v {
				return nil, nil
			}
			return []Record{{Name: name, Gen: v}}, nil
		}, func(err error) {
			if err == nil {
				w.answer++
				w.acked[name] = max(w.acked[name], v)
				w.ackedAt = append(w.ackedAt, ack{name, v, w.now})
			}
		})
	})
}

func (w *world) read() {
	id := w.ids[w.rng.Intn(len(w.ids))]
	n := w.nodes[id]
	before := map[string]uint64{}
	for k, v := range w.acked {
		before[k] = v
	}
	w.on(id, n.life, func() {
		n.m.Read(w.clock(n), testKey, func(err error) {
			if err != nil {
				return
			}
			w.reads++
			got := values(n.m.keys[testKey].Records)
			for name, v := range before {
				if got[name] < v {
					w.t.Fatalf("at %v %s read %s=%d, acknowledged was %d", w.now, id, name, got[name], v)
				}
			}
		})
	})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 {
		sort.SliceStable(w.queue, func(i, j int) bool {
			a, b := w.queue[i], w.queue[j]
			return a.at < b.at || a.at == b.at && a.seq < b.seq
		})
		e := w.queue[0]
		if e.at > until {
			w.now = until
			return
		}
		w.queue = w.queue[1:]
		w.now = e.at
		e.fn()
	}
}

func (w *world) crash(id string, wipe bool) {
	n := w.nodes[id]
	n.up = false
	if wipe {
		n.disk = map[string][]byte{}
	}
}

// trouble brings about one failure that the fault budget allows, and its end.
func (w *world) trouble() {
	id := w.ids[w.rng.Intn(len(w.ids))]
	n := w.nodes[id]
	hold := time.Duration(500+w.rng.Intn(3000)) * time.Millisecond
	switch w.rng.Intn(8) {
	case 0, 1:
		w.crash(id, false)
		w.at(hold, func() { w.start(id) })
	case 2, 3:
		w.crash(id, true)
		w.at(hold, func() { w.start(id) })
	case 4:
		n.frozen = w.now + hold
	case 5: // cut off, one way or both
		oneWay := w.rng.Intn(2) == 0
		for _, o := range w.ids {
			w.cut[[2]string{id, o}] = true
			w.cut[[2]string{o, id}] = !oneWay
		}
		w.at(hold, func() { w.cut = map[[2]string]bool{} })
	case 6:
		n.stall = w.now + hold
		n.refuse = w.rng.Intn(4)
	case 7: // everything is killed at one moment
		for _, o := range w.ids {
			w.crash(o, false)
			w.at(time.Second, func() { w.start(o) })
		}
	}
}

// TestRandomSchedules runs members through seeded random troubles and checks
// that nothing acknowledged is lost, that nothing goes back and that members
// agree; at the end of calm the cluster has to answer again.
func TestRandomSchedules(t *testing.T) {
	seeds := 60
	if v, err := strconv.Atoi(os.Getenv("REPLICATION_SEEDS")); err == nil {
		seeds = v
	}
	for seed := 1; seed <= seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			w := newWorld(t, int64(seed), 4+seed%2)
			w.run(6 * time.Second)
			if w.nodes[w.ids[0]].m.Roster() == nil || len(w.nodes[w.ids[0]].m.Roster()) != len(w.ids) {
				t.Fatalf("roster %v", w.nodes[w.ids[0]].m.Roster())
			}
			for i := 0; i < 10; i++ {
				for j := 0; j < 40; j++ {
					w.at(time.Duration(w.rng.Intn(9000))*time.Millisecond, w.propose)
					w.at(time.Duration(w.rng.Intn(9000))*time.Millisecond, w.read)
				}
				w.trouble()
				w.run(w.now + 9*time.Second)
			}
			w.run(w.now + 2*time.Second)
			calm := w.answer
			for j := 0; j < 100; j++ {
				w.at(time.Duration(w.rng.Intn(3000))*time.Millisecond, w.proposeToOwner)
				w.at(time.Duration(w.rng.Intn(3000))*time.Millisecond, w.read)
			}
			w.run(w.now + 5*time.Second)
			if w.claims < 1000 {
				t.Fatalf("only %d claims of a current copy were checked", w.claims)
			}
			if w.answer-calm < 90 {
				t.Fatalf("only %d of 100 changes answered after the troubles", w.answer-calm)
			}
		})
	}
}

func unmarshal(b []byte, v any) bool { return cbor.Unmarshal(b, v) == nil }
