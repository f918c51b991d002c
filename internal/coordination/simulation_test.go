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
	testCallerTimeout   = time.Second            // after which a caller gives a call up
	testAnswerLimit     = 800 * time.Millisecond // for the answer of a node to a caller
	testStartLimit      = 720 * time.Millisecond // for the start of a call at the owner
	testFreezeDetection = 250 * time.Millisecond // gap after which a process detects that it was frozen
)

// simulation is a simulated set of control nodes with real replicas: a network with delays and
// partitions, slow disks, and processes that crash and freeze.
type simulation struct {
	t               testing.TB
	random          *rand.Rand
	now             time.Duration
	queue           replicationtest.Queue
	nodes           []*node
	blocked         map[[2]string]int
	lastLife        uint64
	partitionLimits Limits
	slowUntil       time.Duration // many messages are delayed until then

	// latency and sync are the duration of each message and each write; 0: random.
	latency, sync time.Duration
}

// node is a control node. The clock of each process counts from its start.
type node struct {
	address     string
	up          bool
	life        uint64
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
	w := &simulation{t: t, random: rand.New(rand.NewSource(seed)), blocked: map[[2]string]int{},
		partitionLimits: Limits{History: time.Hour, Bytes: 1 << 20, HistoryBytes: 1 << 19}}
	for i := range size {
		w.nodes = append(w.nodes, &node{address: fmt.Sprintf("10.0.0.%d:7661", i+1), disk: replicationtest.Disk{}, bootstrap: true})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.queue.Add(w.now+d, run)
}

func (w *simulation) run(until time.Duration) {
	w.queue.Run(&w.now, until)
}

func (w *simulation) clock(n *node) time.Duration { return w.now - n.startedAt }

func (w *simulation) start(n *node) {
	w.lastLife++
	n.up, n.life, n.startedAt, n.diskIdleAt, n.pending = true, w.lastLife, w.now, 0, nil
	var seeds []string
	for _, o := range w.nodes[:3] {
		seeds = append(seeds, o.address)
	}
	config := replication.Config{Self: n.address, Life: n.life, Identity: w.random.Uint64() | 1, Seeds: seeds, Faults: 1,
		Bootstrap: n.bootstrap, Empty: len(n.disk) == 0, SurePrefix: KeyPrefix,
		Beat: testHeartbeat, Vacant: testVacancyTimeout, Patience: 900 * time.Millisecond, HandBack: 4 * time.Second,
		Alive: func(address string) bool { o := w.node(address); return o.up && o.frozenUntil <= w.now },
		Peers: func() (out []string) {
			for _, o := range w.nodes {
				out = append(out, o.address)
			}
			return out
		}}
	n.bootstrap = false
	replica, err := replication.NewReplica(config, n.disk)
	if err != nil {
		w.t.Fatal(err)
	}
	n.replica, n.clocks = replica, NewPeerClocks()
	n.server = NewServer(ServerConfig{Self: n.address, Life: n.life, Clock: func() time.Duration { return w.clock(n) },
		Limits: w.partitionLimits, Sweep: 2 * time.Second, Freshness: 3 * testHeartbeat, Log: slog.New(slog.DiscardHandler)}, replica)
	for _, key := range replica.Keys() {
		n.server.Committed(key, nil)
	}
	w.tick(n, n.life)
}

func (w *simulation) node(address string) *node {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

func (w *simulation) tick(n *node, life uint64) {
	if n.life != life || !n.up {
		return
	}
	if n.frozenUntil <= w.now {
		w.runStep(n, life, func() {
			n.replica.Tick(w.clock(n))
			n.server.Tick(w.clock(n))
		})
	}
	w.schedule(100*time.Millisecond, func() { w.tick(n, life) })
}

// runStep runs a step of a process and executes its effects. A frozen process does so when it
// runs again.
func (w *simulation) runStep(n *node, life uint64, step func()) {
	if !n.up || n.life != life {
		return
	}
	if n.frozenUntil > w.now {
		w.schedule(n.frozenUntil-w.now+time.Duration(w.random.Intn(50))*time.Microsecond, func() { w.runStep(n, life, step) })
		return
	}
	step()
	effects := n.replica.Take()
	for _, e := range effects.Send {
		w.send(n, e.To, func(to *node) { to.replica.Handle(w.clock(to), n.address, e.Msg) })
	}
	for _, write := range effects.Writes {
		w.startWrite(n, write)
	}
	if effects.Rewrite {
		w.t.Fatal("unexpected rewrite: no simulated disk refuses writes")
	}
	for _, key := range effects.Committed {
		n.server.Committed(key, effects.Changed[key])
	}
}

// send delivers a message after a delay, unless the connection is blocked by then.
func (w *simulation) send(from *node, address string, deliver func(to *node)) {
	to, life := w.node(address), w.node(address).life
	w.schedule(w.delay(), func() {
		if w.blocked[[2]string{from.address, address}] == 0 {
			w.runStep(to, life, func() { deliver(to) })
		}
	})
}

// delay is the transfer time of a message.
func (w *simulation) delay() time.Duration {
	if w.latency > 0 {
		return w.latency
	}
	d := time.Duration(200+w.random.Intn(1500)) * time.Microsecond
	if w.random.Intn(40) == 0 || w.now < w.slowUntil && w.random.Intn(4) == 0 {
		d += time.Duration(w.random.Intn(2500)) * time.Millisecond
	}
	return d
}

func (w *simulation) startWrite(n *node, write replication.Write) {
	took := w.sync
	if took == 0 {
		took = time.Duration(1+w.random.Intn(3)) * time.Millisecond
	}
	n.diskIdleAt = max(n.diskIdleAt, w.now) + took
	n.pending = append(n.pending, write)
	life := n.life
	w.schedule(n.diskIdleAt-w.now, func() {
		if !n.up || n.life != life {
			return
		}
		n.pending = n.pending[1:]
		n.disk.Apply(write.Entries)
		w.runStep(n, life, func() { n.replica.Durable(w.clock(n), write.ID) })
	})
}

// crash ends a process. Some of its pending writes reach the disk nevertheless.
func (w *simulation) crash(n *node) {
	if !n.up {
		return
	}
	n.up, n.frozenUntil = false, min(n.frozenUntil, w.now)
	for _, write := range n.pending[:w.random.Intn(len(n.pending)+1)] {
		n.disk.Apply(write.Entries)
	}
}

// adjustBlocked adds delta to the number of failures that block a node's outgoing or incoming
// messages, or both.
func (w *simulation) adjustBlocked(n *node, outgoing, incoming bool, delta int) {
	for _, o := range w.nodes {
		if o != n && outgoing {
			w.blocked[[2]string{n.address, o.address}] += delta
		}
		if o != n && incoming {
			w.blocked[[2]string{o.address, n.address}] += delta
		}
	}
}

// call simulates a call at a node, as the node's driver handles it: it looks up the owner of
// the partition and forwards the call once that is known. done is called at most once; a
// caller without an answer gives up after testCallerTimeout. Callers have short delays, so
// a call is late only at a frozen process, which refuses the calls that arrived meanwhile.
func (w *simulation) call(n *node, c Call, done func(Result)) {
	life := n.life
	callerDelay := func() time.Duration { return time.Duration(500+w.random.Intn(4000)) * time.Microsecond }
	answer := func(r Result) { w.schedule(callerDelay(), func() { done(r) }) }
	w.schedule(callerDelay(), func() {
		arrivedAt := w.now
		w.runStep(n, life, func() {
			if w.now-arrivedAt > testFreezeDetection {
				answer(Result{Effect: NotDone})
				return
			}
			w.attempt(n, c, w.clock(n), answer)
		})
	})
}

func (w *simulation) attempt(n *node, c Call, startedAt time.Duration, answer func(Result)) {
	key, life := c.Key(), n.life
	owner := n.replica.Owner(w.clock(n), key)
	if owner == "" {
		owner = n.replica.Founder(w.clock(n), key)
	}
	retry := func() {
		w.schedule(20*time.Millisecond, func() {
			w.runStep(n, life, func() {
				if w.clock(n) > startedAt+testAnswerLimit {
					answer(Result{Effect: NotDone})
				} else {
					w.attempt(n, c, startedAt, answer)
				}
			})
		})
	}
	switch owner {
	case "":
		retry()
	case n.address:
		w.execute(n, c, ClockReading{Life: n.life, Time: startedAt + testStartLimit}, func(r Result) {
			if r.Effect == NotDone {
				retry()
			} else {
				answer(r)
			}
		})
	default:
		w.forward(n, owner, c, startedAt, answer, retry)
	}
}

func (w *simulation) forward(n *node, owner string, c Call, startedAt time.Duration, answer func(Result), retry func()) {
	deadline, _ := n.clocks.At(owner, startedAt+testStartLimit)
	finished := false
	life := n.life
	w.schedule(startedAt+testAnswerLimit-w.clock(n), func() {
		w.runStep(n, life, func() {
			if !finished {
				finished = true
				answer(Result{Effect: MaybeDone})
			}
		})
	})
	w.send(n, owner, func(to *node) {
		w.execute(to, c, deadline, func(r Result) {
			clock := to.server.Clock()
			w.send(to, n.address, func(*node) {
				if finished || n.life != life {
					return
				}
				finished = true
				n.clocks.Heard(owner, clock, w.clock(n))
				if r.Effect == NotDone {
					retry()
				} else {
					answer(r)
				}
			})
		})
	})
}

// execute executes a call at its owner. It must run in a step of the owner.
func (w *simulation) execute(n *node, c Call, deadline ClockReading, done func(Result)) {
	finished, life := false, n.life
	e := NewExecution(c, deadline, func(r Result) {
		if !finished {
			finished = true
			done(r)
		}
	})
	n.server.Execute(w.clock(n), e)
	w.schedule(testAnswerLimit, func() {
		w.runStep(n, life, func() {
			if !finished {
				finished = true
				done(Result{Effect: e.Abandon()})
			}
		})
	})
}
