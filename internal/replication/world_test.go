package replication

import (
	"math/rand"
	"testing"
	"time"

	"madderwing/internal/replication/replicationtest"
)

// world is a simulated set of members: a network that delays, reorders, drops,
// repeats and cuts, disks that take time, and processes that crash, freeze, lose
// their disks or are replaced.
type world struct {
	fatal  func(format string, args ...any)
	rng    *rand.Rand
	now    time.Duration
	queue  replicationtest.Queue
	nodes  map[string]*node
	ids    []string // the machines that are there, and those that are to come back
	cut    map[[2]string]int
	lives  uint64
	keys   []string
	seeds  []string
	extra  bool          // messages are also repeated, seconds later at times
	noisy  time.Duration // messages are lost and late until then
	calm   bool          // none is lost
	prompt bool          // none is late

	faults int
	older  int // every so manieth machine runs a version without heartbeats; 0: none
	zones  map[string]string

	floors  map[string]uint64            // key/name -> the highest version that anybody was told of
	content map[string]string            // key/name/version -> what it is
	truth   map[string]map[string]Record // key -> the newest records that were shown as committed
	truthAt map[string]Position
	begun   map[string]map[Epoch]map[string]Record // key -> owner -> what it began with
	shown   map[string]map[Position]string         // key -> position -> contents
	sent    uint64
	answer  int
	reads   int

	ackedAt []ack
	sures   map[Epoch]time.Duration // until when each owner was sure of itself
	frees   map[Epoch]time.Duration // and until when it took others to have been
	claims  int

	large   bool    // too much to compare at every step
	rate    float64 // bytes a second of each link; 0: no limit
	linkAt  map[[2]string]time.Duration
	bytesTo map[string]int
	drop    func(from string, e Envelope) bool
	onAck   []func()
	calls   history

	schedule         schedule
	nextFailure      int  // of the schedule
	pendingFailures  int  // failures that are to begin, and machines to be switched off or to leave
	operatorsStopped bool // operators ask for no more changes
	newest           int  // number of the machine that was added last
}

const testKey = "catalogue"

// Times of the tests, as the settings' bounds have them.
const (
	testBeat    = 500 * time.Millisecond
	testVacant  = 1200 * time.Millisecond
	testCatchUp = 6 * time.Second
)

func emptyWorld(seed int64, faults int) *world {
	return &world{rng: rand.New(rand.NewSource(seed)), faults: faults, zones: map[string]string{}, keys: []string{testKey},
		nodes: map[string]*node{}, cut: map[[2]string]int{}, floors: map[string]uint64{}, content: map[string]string{},
		truth: map[string]map[string]Record{}, truthAt: map[string]Position{}, begun: map[string]map[Epoch]map[string]Record{},
		shown: map[string]map[Position]string{}, sures: map[Epoch]time.Duration{}, frees: map[Epoch]time.Duration{},
		linkAt: map[[2]string]time.Duration{}, bytesTo: map[string]int{}}
}

func newWorld(t *testing.T, seed int64, n int) *world {
	return newWorldOf(t, seed, n, 1, 0)
}

// newWorldOf makes a world of n members in some zones that bears some losses.
func newWorldOf(t *testing.T, seed int64, n, faults, zones int) *world {
	w := emptyWorld(seed, faults)
	w.fatal = t.Fatalf
	w.found(n, zones)
	return w
}

// newWorldWithVoters is a world whose members have their seats, without operators.
func newWorldWithVoters(t *testing.T, seed int64, members, faults, zones int) *world {
	t.Helper()
	w := newWorldOf(t, seed, members, faults, zones)
	w.schedule, w.newest = schedule{seed: seed, members: members, faults: faults, zones: zones}, members
	w.until("all members have their seats", 8*time.Second, w.seated)
	return w
}

// newCalmWorld is such a world without troubles of its own, in which x has been put, a while after that, and the owner
// of the key.
func newCalmWorld(t *testing.T, seed int64, members, faults, zones int, after time.Duration) (*world, *node) {
	t.Helper()
	w := newWorldWithVoters(t, seed, members, faults, zones)
	w.calm = true
	w.mustPut(t, "x", 1)
	w.run(w.now + after)
	return w, w.settle(t)
}

func (w *world) found(n, zones int) {
	for i := 0; i < n; i++ {
		w.add(i+1, zones, true)
	}
	w.seeds = append([]string(nil), w.ids[:min(3, n)]...)
	for _, id := range w.ids {
		w.start(id)
	}
}

func (w *world) at(d time.Duration, fn func()) {
	w.queue.Add(w.now+d, fn)
}

func (w *world) run(until time.Duration) {
	w.queue.Run(&w.now, until)
}

// until runs until a state is reached that why finds nothing amiss with.
func (w *world) until(what string, limit time.Duration, why func() string) {
	begin := w.now
	for w.now < begin+limit {
		if why() == "" {
			return
		}
		w.run(w.now + 50*time.Millisecond)
	}
	if last := why(); last != "" {
		w.fatal("at %v, after %v, it doesn't hold that %s: %s", w.now, limit, what, last)
	}
}
