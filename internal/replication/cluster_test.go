package replication

import (
	"math/rand"
	"testing"
	"time"

	"madderwing/internal/replication/replicationtest"
)

// cluster is a simulated set of members: a network that delays, reorders, drops,
// repeats and cuts, disks that take time, and processes that crash, freeze, lose
// their disks or are replaced.
type cluster struct {
	fatal      func(format string, args ...any)
	rng        *rand.Rand
	now        time.Duration
	queue      replicationtest.Queue
	nodes      map[string]*node
	ids        []string // the machines that are there, and those that are to come back
	cutLinks   map[[2]string]int
	lastRunID  uint64
	partitions []string
	seeds      []string
	duplicates bool          // messages are also repeated, seconds later at times
	noisyUntil time.Duration // messages are lost and late until then
	lossless   bool          // none is lost
	noDelays   bool          // none is late

	faults     int
	olderEvery int // every so manieth machine runs a version without heartbeats; 0: none
	zones      map[string]string

	minVersions     map[string]uint64            // key/name -> the highest version that anybody was told of
	contents        map[string]string            // key/name/version -> what it is
	committed       map[string]map[string]Record // key -> the newest records that were shown as committed
	committedAt     map[string]Position
	initialRecords  map[string]map[Epoch]map[string]Record // key -> owner -> what it began with
	shown           map[string]map[Position]string         // key -> position -> contents
	changesSent     uint64
	answeredChanges int
	answeredReads   int

	acks             []ack
	confirmedAt      map[Epoch]time.Duration // until when each owner was sure of itself
	predecessorUntil map[Epoch]time.Duration // and until when it took others to have been
	freshnessClaims  int

	skipContents  bool    // too much to compare at every step
	linkRate      float64 // bytes a second of each link; 0: no limit
	linkBusyUntil map[[2]string]time.Duration
	bytesSentTo   map[string]int
	drop          func(from string, e Envelope) bool
	onAck         []func()
	history       history

	schedule         schedule
	nextFailure      int  // of the schedule
	pendingFailures  int  // failures that are to begin, and machines to be switched off or to leave
	operatorsStopped bool // operators ask for no more changes
	newestMachine    int  // number of the machine that was added last
}

const testPartition = "catalogue"

// Times of the tests, as the settings' bounds have them.
const (
	testHeartbeat       = 500 * time.Millisecond
	testElectionTimeout = 1200 * time.Millisecond
	testCatchUp         = 6 * time.Second
)

func newEmptyCluster(seed int64, faults int) *cluster {
	return &cluster{rng: rand.New(rand.NewSource(seed)), faults: faults, zones: map[string]string{}, partitions: []string{testPartition},
		nodes: map[string]*node{}, cutLinks: map[[2]string]int{}, minVersions: map[string]uint64{}, contents: map[string]string{},
		committed: map[string]map[string]Record{}, committedAt: map[string]Position{}, initialRecords: map[string]map[Epoch]map[string]Record{},
		shown: map[string]map[Position]string{}, confirmedAt: map[Epoch]time.Duration{}, predecessorUntil: map[Epoch]time.Duration{},
		linkBusyUntil: map[[2]string]time.Duration{}, bytesSentTo: map[string]int{}}
}

func newCluster(t *testing.T, seed int64, n int) *cluster {
	return newClusterInZones(t, seed, n, 1, 0)
}

// newClusterInZones makes a world of n members in some zones that bears some losses.
func newClusterInZones(t *testing.T, seed int64, n, faults, zones int) *cluster {
	sim := newEmptyCluster(seed, faults)
	sim.fatal = t.Fatalf
	sim.bootstrap(n, zones)
	return sim
}

// newClusterWithVoters is a world whose members have their seats, without operators.
func newClusterWithVoters(t *testing.T, seed int64, members, faults, zones int) *cluster {
	t.Helper()
	sim := newClusterInZones(t, seed, members, faults, zones)
	sim.schedule, sim.newestMachine = schedule{seed: seed, members: members, faults: faults, zones: zones}, members
	sim.waitFor("all members have their seats", 8*time.Second, sim.voterSetProblem)
	return sim
}

// newLosslessCluster is such a world without troubles of its own, in which x has been put, a while after that, and the owner
// of the key.
func newLosslessCluster(t *testing.T, seed int64, members, faults, zones int, after time.Duration) (*cluster, *node) {
	t.Helper()
	sim := newClusterWithVoters(t, seed, members, faults, zones)
	sim.lossless = true
	sim.mustPut(t, "x", 1)
	sim.runUntil(sim.now + after)
	return sim, sim.waitForOwner(t)
}

func (sim *cluster) bootstrap(n, zones int) {
	for i := 0; i < n; i++ {
		sim.addMachine(i+1, zones, true)
	}
	sim.seeds = append([]string(nil), sim.ids[:min(3, n)]...)
	for _, id := range sim.ids {
		sim.start(id)
	}
}

func (sim *cluster) after(d time.Duration, fn func()) {
	sim.queue.Add(sim.now+d, fn)
}

func (sim *cluster) runUntil(until time.Duration) {
	sim.queue.Run(&sim.now, until)
}

// waitFor runs waitFor a state is reached that why finds nothing amiss with.
func (sim *cluster) waitFor(what string, limit time.Duration, problem func() string) {
	begin := sim.now
	for sim.now < begin+limit {
		if problem() == "" {
			return
		}
		sim.runUntil(sim.now + 50*time.Millisecond)
	}
	if last := problem(); last != "" {
		sim.fatal("at %v, after %v, it doesn't hold that %s: %s", sim.now, limit, what, last)
	}
}
