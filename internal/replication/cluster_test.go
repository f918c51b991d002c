package replication

import (
	"math/rand"
	"testing"
	"time"

	"madderwing/internal/replication/replicationtest"
)

// cluster is a simulated cluster: a network that delays, reorders, drops and duplicates messages
// and that can be cut, disks with a latency, and processes that crash, freeze, lose their disks or
// are replaced.
type cluster struct {
	fatal      func(format string, args ...any)
	rng        *rand.Rand
	now        time.Duration
	queue      replicationtest.Queue
	nodes      map[string]*node
	addresses  []string          // addresses of the machines, also of those that are down and will start again
	cutLinks   map[[2]string]int // by sender and receiver: how many failures cut the link
	lastRunID  uint64
	partitions []string
	seeds      []string
	duplicates bool          // some messages are delivered again, up to 5 s later
	noisyUntil time.Duration // until then many messages are lost or delayed
	lossless   bool          // no messages are lost at random
	noDelays   bool          // no messages are delayed by more than 2 ms

	faults     int
	olderEvery int // every olderEvery-th machine runs a version without heartbeats; 0: none does
	zones      map[string]string

	minVersions map[string]uint64            // by partition/record: the newest version returned to a client
	contents    map[string]string            // by partition/record/version
	committed   map[string]map[string]Record // by partition: the newest records that a member reported as committed
	committedAt map[string]Position
	// initialRecords are, by partition and owner's epoch, the records when the ownership began.
	initialRecords  map[string]map[Epoch]map[string]Record
	shown           map[string]map[Position]string // by partition and position: the committed records
	changesSent     uint64
	answeredChanges int
	answeredReads   int

	acks             []ack
	confirmedAt      map[Epoch]time.Duration // by owner's epoch: when the ownership was last confirmed
	predecessorUntil map[Epoch]time.Duration // by owner's epoch: until when it takes earlier owners to have been confirmed
	freshnessClaims  int

	skipContents  bool    // the records are too large to be compared at every step
	linkRate      float64 // bytes per second of each link; 0: no limit
	linkBusyUntil map[[2]string]time.Duration
	bytesSentTo   map[string]int
	drop          func(from string, e Envelope) bool
	onAck         []func()
	history       history

	schedule         schedule
	nextFailure      int  // index in the schedule
	pendingFailures  int  // failures that have not begun yet, and machines that are still to be shut down or drained
	operatorsStopped bool // the simulated operators send no more changes
	newestMachine    int  // number of the newest machine, part of its address
}

const testPartition = "catalogue"

// Times of the tests, as derived from the bounds in the settings.
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

func newCluster(t *testing.T, seed int64, members int) *cluster {
	return newClusterInZones(t, seed, members, 1, 0)
}

// newClusterInZones bootstraps a cluster of n members that tolerates the given number of faults.
func newClusterInZones(t *testing.T, seed int64, members, faults, zones int) *cluster {
	sim := newEmptyCluster(seed, faults)
	sim.fatal = t.Fatalf
	sim.bootstrap(members, zones)
	return sim
}

// newClusterWithVoters returns a cluster, without operators, whose members are all voters.
func newClusterWithVoters(t *testing.T, seed int64, members, faults, zones int) *cluster {
	t.Helper()
	sim := newClusterInZones(t, seed, members, faults, zones)
	sim.schedule, sim.newestMachine = schedule{seed: seed, members: members, faults: faults, zones: zones}, members
	sim.waitFor("all members are voters", 8*time.Second, sim.voterSetProblem)
	return sim
}

// newLosslessCluster returns such a cluster with a network that loses nothing, and the owner of the
// test partition. Record x has been written, and the given time has passed since.
func newLosslessCluster(t *testing.T, seed int64, members, faults, zones int, after time.Duration) (*cluster, *node) {
	t.Helper()
	sim := newClusterWithVoters(t, seed, members, faults, zones)
	sim.lossless = true
	sim.mustPut(t, "x", 1)
	sim.runUntil(sim.now + after)
	return sim, sim.waitForOwner(t)
}

func (sim *cluster) bootstrap(members, zones int) {
	for i := 0; i < members; i++ {
		sim.addMachine(i+1, zones, true)
	}
	sim.seeds = append([]string(nil), sim.addresses[:min(3, members)]...)
	for _, address := range sim.addresses {
		sim.start(address)
	}
}

func (sim *cluster) after(delay time.Duration, run func()) {
	sim.queue.Add(sim.now+delay, run)
}

func (sim *cluster) runUntil(until time.Duration) {
	sim.queue.Run(&sim.now, until)
}

// waitFor runs the simulation until problem returns an empty string.
func (sim *cluster) waitFor(condition string, limit time.Duration, problem func() string) {
	start := sim.now
	for sim.now < start+limit {
		if problem() == "" {
			return
		}
		sim.runUntil(sim.now + 50*time.Millisecond)
	}
	if unmet := problem(); unmet != "" {
		sim.fatal("at %v: after %v the condition %q is not met: %s", sim.now, limit, condition, unmet)
	}
}
