package controlplane

// Routes calls for locks, counters and cells to the owners of their partitions.

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/coordination"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
)

// coordinationKind is the kind of message that forwards a call to the owner of its partition.
const coordinationKind = "coordination"

// A caller gives up after callerTimeout, a second of silence. Within coordinationLimit it has an
// answer, forwarding included. A call begins at the owner within startLimit, and the owner answers
// within executionLimit after that.
const (
	coordinationLimit = callerTimeout * 4 / 5
	startLimit        = coordinationLimit * 9 / 10
	executionLimit    = (coordinationLimit - startLimit) / 2
)

// Fractions of contactS: the pause before a call is retried, and the time between two sweeps of a
// partition.
const (
	coordinationPauseFraction = 1.0 / 100
	sweepFraction             = 1.0
)

// historyRetentionFactor is how long history is kept, in multiples of the retention, so that
// watches that received a revision late, and repeated puts, find it for longer than retentionS.
const historyRetentionFactor = 1.5

// Fractions of the disk that all partitions together may fill, and of that for history. diskRoom
// bounds what they and the configuration fill together.
const (
	coordinationDiskFraction = 0.3
	historyFraction          = 0.4
	defaultDiskMb            = 64
)

// ownerFinder finds the member that a call is sent to. It is used on the event loop.
type ownerFinder interface {
	Owner(now time.Duration, partition string) string
	InitialOwner(now time.Duration, partition string) string
}

// coordinator serves applications' calls for locks, counters and cells at a control node.
type coordinator struct {
	owners     ownerFinder
	partitions func() []string // of the control state; called on the event loop
	endpoint   *transport.Endpoint
	enqueue    func(func(now time.Duration)) // queues a function for the event loop
	inContact  func(now time.Duration) bool
	pause      time.Duration // before a call is retried
	retryAfter time.Duration // sent in Retry-After to refused callers

	clock func() time.Duration // of the event loop

	server *coordination.Server // owned by the event loop

	stalls *stallDetector

	clocksMutex sync.Mutex
	clocks      *coordination.PeerClocks

	activeCalls, activeWatches atomic.Int64  // in progress here
	shutdown                   chan struct{} // closed when the node begins to shut down
	statistics                 coordinationStats
}

// serverConfig is the configuration of a node's coordination server.
func serverConfig(cfg *settings.Settings, self string, runID uint64, clock func() time.Duration, logger *slog.Logger) coordination.ServerConfig {
	diskMb := cmp.Or(cfg.Limits.DiskMb, defaultDiskMb)
	bytes := int(diskMb * (1 << 20) * coordinationDiskFraction / coordination.Partitions)
	return coordination.ServerConfig{
		Self: self, RunID: runID, Clock: clock, Log: logger,
		Limits: coordination.Limits{
			History:      time.Duration(historyRetentionFactor * float64(cfg.Retention())),
			Bytes:        bytes,
			HistoryBytes: int(float64(bytes) * historyFraction),
		},
		Sweep:     settings.Seconds(cfg.Bounds.ContactS * sweepFraction),
		Freshness: settings.Seconds(cfg.Bounds.ContactS * contactFraction),
	}
}

// forwardedCall is a call that is forwarded to the owner of its partition. The owner doesn't begin it
// after the deadline, which is on the owner's clock.
type forwardedCall struct {
	Call     coordination.Call         `cbor:"1,keyasint"`
	Deadline coordination.ClockReading `cbor:"2,keyasint"`
}

// forwardedAnswer is the owner's answer to a forwarded call.
type forwardedAnswer struct {
	Effect coordination.Effect       `cbor:"1,keyasint"`
	Answer coordination.Answer       `cbor:"2,keyasint"`
	Clock  coordination.ClockReading `cbor:"3,keyasint"` // of the owner
}

// registerHandlers registers the handler for calls that other nodes forward.
func (c *coordinator) registerHandlers() {
	c.endpoint.HandleAsync(coordinationKind, func(_ string, body []byte) (any, error) {
		var forwarded forwardedCall
		if err := cbor.Unmarshal(body, &forwarded); err != nil {
			c.endpoint.Undecoded.Add(1)
			return nil, err
		}
		result := coordination.Result{Effect: coordination.NotExecuted}
		if forwarded.Call.Operation.Known() {
			result = c.execute(context.Background(), forwarded.Call, forwarded.Deadline)
		}
		return forwardedAnswer{Effect: result.Effect, Answer: result.Answer, Clock: c.server.Clock()}, nil
	})
}

// submit sends a call to the current owner of its partition and returns the result. A call that may
// have been carried out is not sent again, unless it only reads. Once the context of the caller has
// ended, no further attempt starts or is awaited. A call whose execution has started takes effect.
func (c *coordinator) submit(caller context.Context, call coordination.Call) coordination.Result {
	begin := c.clock()
	partition := call.Partition()
	for pause := c.pause; ; pause *= 2 {
		result := c.attempt(caller, partition, call, begin)
		final := result.Effect == coordination.Answered || result.Effect == coordination.MaybeExecuted && !call.Operation.ReadOnly()
		if final || c.clock()+pause > begin+coordinationLimit || !pauseFor(caller, pause) {
			return result
		}
	}
}

// pauseFor waits for a pause or until ctx ends, and reports whether ctx is still active.
func pauseFor(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// attempt tries once a call that arrived at the time begin.
func (c *coordinator) attempt(caller context.Context, partition string, call coordination.Call, begin time.Duration) coordination.Result {
	owners := make(chan string, 1)
	c.enqueue(func(now time.Duration) {
		owners <- cmp.Or(c.owners.Owner(now, partition), c.owners.InitialOwner(now, partition))
	})
	owner := <-owners
	if owner == "" || caller.Err() != nil {
		return coordination.Result{Effect: coordination.NotExecuted}
	}
	deadline := begin + startLimit
	if owner == c.endpoint.Address() {
		return c.execute(caller, call, coordination.ClockReading{RunID: c.server.Clock().RunID, Time: deadline})
	}
	return c.forward(caller, owner, call, deadline)
}

// forward sends a call to the owner of its partition, which must begin it before a deadline on this
// node's clock.
func (c *coordinator) forward(caller context.Context, owner string, call coordination.Call, deadline time.Duration) coordination.Result {
	c.clocksMutex.Lock()
	ownerDeadline, _ := c.clocks.Estimate(owner, deadline)
	c.clocksMutex.Unlock()
	ctx, cancel := context.WithTimeout(caller, deadline+2*executionLimit-c.clock())
	defer cancel()
	var answer forwardedAnswer
	err := c.endpoint.Call(ctx, owner, coordinationKind, forwardedCall{Call: call, Deadline: ownerDeadline}, &answer)
	if err != nil {
		return coordination.Result{Effect: coordination.MaybeExecuted}
	}
	c.clocksMutex.Lock()
	c.clocks.Observe(owner, answer.Clock, c.clock())
	c.clocksMutex.Unlock()
	if answer.Clock.RunID != ownerDeadline.RunID && c.clock() < deadline {
		return c.forward(caller, owner, call, deadline) // the owner did not accept the deadline; its clock is known now
	}
	return coordination.Result{Effect: answer.Effect, Answer: answer.Answer}
}

// execute carries out a call at this node, if it owns the partition and the caller is still there
// when the call begins.
func (c *coordinator) execute(caller context.Context, call coordination.Call, deadline coordination.ClockReading) coordination.Result {
	results := make(chan coordination.Result, 1)
	execution := coordination.NewExecution(call, deadline, func(r coordination.Result) { results <- r })
	c.enqueue(func(now time.Duration) { c.server.Execute(now, execution) })
	timer := time.NewTimer(max(0, deadline.Time-c.clock()) + executionLimit)
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-timer.C:
	case <-caller.Done():
	}
	return coordination.Result{Effect: execution.Abandon()}
}

// tick advances the server's timers. It runs on the event loop.
func (c *coordinator) tick(now time.Duration) {
	c.server.Tick(now)
	if !c.inContact(now) {
		c.server.EndStaleWatches(now)
	}
}

// errShutdown reports that this node is about to shut down. The text goes to clients.
var errShutdown = errors.New("this node is about to leave")

// close ends the watches; later ones are refused.
func (c *coordinator) close() { close(c.shutdown) }
