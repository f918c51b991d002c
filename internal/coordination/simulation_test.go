package coordination

import (
	"fmt"
	"log/slog"
	"math/rand"
	"testing"
	"time"

	"madderwing/internal/replication"
	"madderwing/internal/replication/replicationtest"
)

// Times of the simulation, as they follow from the bounds in the settings.
const (
	testHeartbeat       = 500 * time.Millisecond
	testVacancyTimeout  = 1200 * time.Millisecond
	testCallerTimeout   = time.Second            // after which a caller gives up on a call
	testAnswerLimit     = 800 * time.Millisecond // for the answer of a node to a caller
	testStartLimit      = 720 * time.Millisecond // for the start of a call at the owner
	testFreezeDetection = 250 * time.Millisecond // gap after which a process detects that it was frozen
)

// simulation is a simulated cluster of control nodes with real replicas: a network with delays and
// blocked connections, slow disks, and processes that crash and freeze.
type simulation struct {
	t               testing.TB
	random          *rand.Rand
	now             time.Duration
	queue           replicationtest.Queue
	nodes           []*node
	blocked         map[[2]string]int
	lastRunID       uint64
	partitionLimits Limits
	slowUntil       time.Duration // until then more messages are delayed

	// latency and sync are the duration of each message and each write; 0: random.
	latency, sync time.Duration
}

// node is a control node. The clock of each process counts from its start.
type node struct {
	address     string
	up          bool
	runID       uint64
	startedAt   time.Duration
	frozenUntil time.Duration
	replica     *replication.Replica
	server      *Server
	clocks      *PeerClocks
	disk        replicationtest.Disk
	pending     []replication.Write // not durable yet
	diskIdleAt  time.Duration
	bootstrap   bool
}

func newSimulation(t testing.TB, seed int64, size int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewSource(seed)), blocked: map[[2]string]int{},
		partitionLimits: Limits{History: time.Hour, Bytes: 1 << 20, HistoryBytes: 1 << 19}}
	for i := range size {
		s.nodes = append(s.nodes, &node{address: fmt.Sprintf("10.0.0.%d:7661", i+1), disk: replicationtest.Disk{}, bootstrap: true})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.queue.Add(s.now+delay, run)
}

func (s *simulation) run(until time.Duration) {
	s.queue.Run(&s.now, until)
}

func (s *simulation) clock(n *node) time.Duration { return s.now - n.startedAt }

func (s *simulation) start(n *node) {
	s.lastRunID++
	n.up, n.runID, n.startedAt, n.diskIdleAt, n.pending = true, s.lastRunID, s.now, 0, nil
	var seeds []string
	for _, o := range s.nodes[:3] {
		seeds = append(seeds, o.address)
	}
	config := replication.Config{Self: n.address, RunID: n.runID, Identity: s.random.Uint64() | 1, Seeds: seeds, Faults: 1,
		Bootstrap: n.bootstrap, Empty: len(n.disk) == 0, FreshnessPrefix: PartitionPrefix,
		HeartbeatInterval: testHeartbeat, ElectionTimeout: testVacancyTimeout, ProposalTimeout: 900 * time.Millisecond, TransferBackDelay: 4 * time.Second,
		Alive: func(address string) bool { o := s.node(address); return o.up && o.frozenUntil <= s.now },
		Peers: func() (out []string) {
			for _, o := range s.nodes {
				out = append(out, o.address)
			}
			return out
		}}
	n.bootstrap = false
	replica, err := replication.NewReplica(config, n.disk)
	if err != nil {
		s.t.Fatal(err)
	}
	n.replica, n.clocks = replica, NewPeerClocks()
	n.server = NewServer(ServerConfig{Self: n.address, RunID: n.runID, Clock: func() time.Duration { return s.clock(n) },
		Limits: s.partitionLimits, Sweep: 2 * time.Second, Freshness: 3 * testHeartbeat, Log: slog.New(slog.DiscardHandler)}, replica)
	for _, partition := range replica.Partitions() {
		n.server.Committed(partition, nil)
	}
	s.tick(n, n.runID)
}

func (s *simulation) node(address string) *node {
	for _, n := range s.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

func (s *simulation) tick(n *node, runID uint64) {
	if n.runID != runID || !n.up {
		return
	}
	if n.frozenUntil <= s.now {
		s.runStep(n, runID, func() {
			n.replica.Tick(s.clock(n))
			n.server.Tick(s.clock(n))
		})
	}
	s.schedule(100*time.Millisecond, func() { s.tick(n, runID) })
}

// runStep runs a step of a process and executes its effects. A frozen process does so when it
// runs again.
func (s *simulation) runStep(n *node, runID uint64, step func()) {
	if !n.up || n.runID != runID {
		return
	}
	if n.frozenUntil > s.now {
		s.schedule(n.frozenUntil-s.now+time.Duration(s.random.Intn(50))*time.Microsecond, func() { s.runStep(n, runID, step) })
		return
	}
	step()
	effects := n.replica.Take()
	for _, e := range effects.Send {
		s.send(n, e.To, func(to *node) { to.replica.Handle(s.clock(to), n.address, e.Msg) })
	}
	for _, write := range effects.Writes {
		s.startWrite(n, write)
	}
	if effects.Rewrite {
		s.t.Fatal("unexpected rewrite: no simulated disk refuses writes")
	}
	for _, partition := range effects.Committed {
		n.server.Committed(partition, effects.Changed[partition])
	}
}

// send delivers a message after a delay, unless the connection is blocked by then.
func (s *simulation) send(from *node, address string, deliver func(to *node)) {
	to, runID := s.node(address), s.node(address).runID
	s.schedule(s.delay(), func() {
		if s.blocked[[2]string{from.address, address}] == 0 {
			s.runStep(to, runID, func() { deliver(to) })
		}
	})
}

// delay returns how long a message is in transit.
func (s *simulation) delay() time.Duration {
	if s.latency > 0 {
		return s.latency
	}
	delay := time.Duration(200+s.random.Intn(1500)) * time.Microsecond
	if s.random.Intn(40) == 0 || s.now < s.slowUntil && s.random.Intn(4) == 0 {
		delay += time.Duration(s.random.Intn(2500)) * time.Millisecond
	}
	return delay
}

func (s *simulation) startWrite(n *node, write replication.Write) {
	duration := s.sync
	if duration == 0 {
		duration = time.Duration(1+s.random.Intn(3)) * time.Millisecond
	}
	n.diskIdleAt = max(n.diskIdleAt, s.now) + duration
	n.pending = append(n.pending, write)
	runID := n.runID
	s.schedule(n.diskIdleAt-s.now, func() {
		if !n.up || n.runID != runID {
			return
		}
		n.pending = n.pending[1:]
		n.disk.Apply(write.Entries)
		s.runStep(n, runID, func() { n.replica.Durable(s.clock(n), write.ID) })
	})
}

// crash ends a process. Some of its pending writes reach the disk nevertheless.
func (s *simulation) crash(n *node) {
	if !n.up {
		return
	}
	n.up, n.frozenUntil = false, min(n.frozenUntil, s.now)
	for _, write := range n.pending[:s.random.Intn(len(n.pending)+1)] {
		n.disk.Apply(write.Entries)
	}
}

// adjustBlocked adds delta to the number of failures that block a node's outgoing or incoming
// messages, or both.
func (s *simulation) adjustBlocked(n *node, outgoing, incoming bool, delta int) {
	for _, o := range s.nodes {
		if o != n && outgoing {
			s.blocked[[2]string{n.address, o.address}] += delta
		}
		if o != n && incoming {
			s.blocked[[2]string{o.address, n.address}] += delta
		}
	}
}

// call simulates a call at a node, as the node's driver handles it: it looks up the owner of
// the partition and forwards the call once that is known. done is called at most once; a
// caller without an answer gives up after testCallerTimeout. Messages between caller and node
// take less than 5 ms, so a call is handled late only by a process that was frozen; that process
// refuses the calls that arrived meanwhile.
func (s *simulation) call(n *node, call Call, done func(Result)) {
	runID := n.runID
	callerDelay := func() time.Duration { return time.Duration(500+s.random.Intn(4000)) * time.Microsecond }
	answer := func(r Result) { s.schedule(callerDelay(), func() { done(r) }) }
	s.schedule(callerDelay(), func() {
		arrivedAt := s.now
		s.runStep(n, runID, func() {
			if s.now-arrivedAt > testFreezeDetection {
				answer(Result{Effect: NotExecuted})
				return
			}
			s.attempt(n, call, s.clock(n), answer)
		})
	})
}

func (s *simulation) attempt(n *node, call Call, startedAt time.Duration, answer func(Result)) {
	partition, runID := call.Partition(), n.runID
	owner := n.replica.Owner(s.clock(n), partition)
	if owner == "" {
		owner = n.replica.InitialOwner(s.clock(n), partition)
	}
	retry := func() {
		s.schedule(20*time.Millisecond, func() {
			s.runStep(n, runID, func() {
				if s.clock(n) > startedAt+testAnswerLimit {
					answer(Result{Effect: NotExecuted})
				} else {
					s.attempt(n, call, startedAt, answer)
				}
			})
		})
	}
	switch owner {
	case "":
		retry()
	case n.address:
		s.execute(n, call, ClockReading{RunID: n.runID, Time: startedAt + testStartLimit}, func(r Result) {
			if r.Effect == NotExecuted {
				retry()
			} else {
				answer(r)
			}
		})
	default:
		s.forward(n, owner, call, startedAt, answer, retry)
	}
}

func (s *simulation) forward(n *node, owner string, call Call, startedAt time.Duration, answer func(Result), retry func()) {
	deadline, _ := n.clocks.Estimate(owner, startedAt+testStartLimit)
	finished := false
	runID := n.runID
	s.schedule(startedAt+testAnswerLimit-s.clock(n), func() {
		s.runStep(n, runID, func() {
			if !finished {
				finished = true
				answer(Result{Effect: MaybeExecuted})
			}
		})
	})
	s.send(n, owner, func(to *node) {
		s.execute(to, call, deadline, func(r Result) {
			clock := to.server.Clock()
			s.send(to, n.address, func(*node) {
				if finished || n.runID != runID {
					return
				}
				finished = true
				n.clocks.Observe(owner, clock, s.clock(n))
				if r.Effect == NotExecuted {
					retry()
				} else {
					answer(r)
				}
			})
		})
	})
}

// execute executes a call at its owner. It must run in a step of the owner.
func (s *simulation) execute(n *node, call Call, deadline ClockReading, done func(Result)) {
	finished, runID := false, n.runID
	execution := NewExecution(call, deadline, func(r Result) {
		if !finished {
			finished = true
			done(r)
		}
	})
	n.server.Execute(s.clock(n), execution)
	s.schedule(testAnswerLimit, func() {
		s.runStep(n, runID, func() {
			if !finished {
				finished = true
				done(Result{Effect: execution.Abandon()})
			}
		})
	})
}
