package controlplane

// This file holds how calls for locks, counters and cells reach the owner of their
// partition.

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

// coordinationKind is the message that forwards a call to the owner of its partition.
const coordinationKind = "coordination"

// A caller gives up after a second of silence (callerPatience). Within coordinationLimit it
// has an answer, forwarding included. A call begins at the owner within startLimit, and the
// owner answers within executionLimit after that.
const (
	coordinationLimit = callerTimeout * 4 / 5
	startLimit        = coordinationLimit * 9 / 10
	executionLimit    = (coordinationLimit - startLimit) / 2
)

// Parts of contactS: the pause before a call is tried again, and the time between two
// sweeps of a partition.
const (
	coordinationPauseFraction = 1.0 / 100
	sweepFraction             = 1.0
)

// historyRetentionFactor is for how long history is kept, in retentions. Watches that were
// given a revision late, and puts that come again, find it for longer than retentionS.
const historyRetentionFactor = 1.5

// Shares of the disk that all partitions together may fill, and of that for history.
// diskRoom bounds what they and the catalogue fill together.
const (
	coordinationDiskShare = 0.3
	historyShare          = 0.4
	defaultDiskMb         = 64
)

// ownerFinder tells to whom a call goes. It is used on the loop of the replica.
type ownerFinder interface {
	Owner(now time.Duration, key string) string
	Founder(now time.Duration, key string) string
}

// coordinator serves the calls of applications at a control node.
type coordinator struct {
	owners    ownerFinder
	keys      func() []string // of the control state; on the loop of the replica
	transport *transport.Endpoint
	enqueue   func(func(now time.Duration)) // on the loop of the replica
	inContact func(now time.Duration) bool
	pause     time.Duration // before a call is tried again
	retry     time.Duration // after which a refused caller may come again

	clock func() time.Duration // of the loop of the replica

	server *coordination.Server // owned by the loop of the replica

	stalls *stallDetector

	clocksMutex sync.Mutex
	clocks      *coordination.PeerClocks

	activeCalls, activeWatches atomic.Int64  // that wait here
	leaving                    chan struct{} // when the node begins to leave
	statistics                 coordinationStats
}

// serverConfig is the configuration of a node's coordination server.
func serverConfig(cfg *settings.Settings, self string, life uint64, clock func() time.Duration, logger *slog.Logger) coordination.ServerConfig {
	diskMb := cmp.Or(cfg.Limits.DiskMb, defaultDiskMb)
	bytes := int(diskMb * (1 << 20) * coordinationDiskShare / coordination.Partitions)
	return coordination.ServerConfig{
		Self: self, Life: life, Clock: clock, Log: logger,
		Limits: coordination.Limits{
			History:      time.Duration(historyRetentionFactor * float64(cfg.Retention())),
			Bytes:        bytes,
			HistoryBytes: int(float64(bytes) * historyShare),
		},
		Sweep:     settings.Seconds(cfg.Bounds.ContactS * sweepFraction),
		Freshness: settings.Seconds(cfg.Bounds.ContactS * contactFraction),
	}
}

// forwardedCall is a call on its way to the owner of its partition. It does not begin after
// the deadline, on the clock of the owner.
type forwardedCall struct {
	Call     coordination.Call         `cbor:"1,keyasint"`
	Deadline coordination.ClockReading `cbor:"2,keyasint"`
}

// forwardedAnswer is what the owner answers.
type forwardedAnswer struct {
	Effect coordination.Effect       `cbor:"1,keyasint"`
	Answer coordination.Answer       `cbor:"2,keyasint"`
	Clock  coordination.ClockReading `cbor:"3,keyasint"` // of the owner
}

// handle answers calls that other nodes forward.
func (c *coordinator) handle() {
	c.transport.HandleSlow(coordinationKind, func(_ string, body []byte) (any, error) {
		var forwarded forwardedCall
		if err := cbor.Unmarshal(body, &forwarded); err != nil {
			c.transport.Undecoded.Add(1)
			return nil, err
		}
		result := coordination.Result{Effect: coordination.NotDone}
		if forwarded.Call.Operation.Known() {
			result = c.execute(context.Background(), forwarded.Call, forwarded.Deadline)
		}
		return forwardedAnswer{Effect: result.Effect, Answer: result.Answer, Clock: c.server.Clock()}, nil
	})
}

// submit brings a call to the owner of its partition, wherever that is, and gives its
// result. A call that may have been carried out is not sent again, unless it only reads. Once
// the caller has left, which caller says, nothing is begun or waited for any more; what has been
// begun takes effect.
func (c *coordinator) submit(caller context.Context, call coordination.Call) coordination.Result {
	begin := c.clock()
	key := call.Key()
	for pause := c.pause; ; pause *= 2 {
		result := c.attempt(caller, key, call, begin)
		final := result.Effect == coordination.Answered || result.Effect == coordination.MaybeDone && !call.Operation.Reads()
		if final || c.clock()+pause > begin+coordinationLimit || !pauseFor(caller, pause) {
			return result
		}
	}
}

// pauseFor waits, and says whether ctx still stands then; it waits no longer than that.
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

// attempt tries a call once that came at the time begin.
func (c *coordinator) attempt(caller context.Context, key string, call coordination.Call, begin time.Duration) coordination.Result {
	found := make(chan string, 1)
	c.enqueue(func(now time.Duration) {
		found <- cmp.Or(c.owners.Owner(now, key), c.owners.Founder(now, key))
	})
	owner := <-found
	if owner == "" || caller.Err() != nil {
		return coordination.Result{Effect: coordination.NotDone}
	}
	deadline := begin + startLimit
	if owner == c.transport.Self() {
		return c.execute(caller, call, coordination.ClockReading{Life: c.server.Clock().Life, Time: deadline})
	}
	return c.forward(caller, owner, call, deadline)
}

// forward sends a call to its owner, to be begun before a deadline on the clock here.
func (c *coordinator) forward(caller context.Context, owner string, call coordination.Call, deadline time.Duration) coordination.Result {
	c.clocksMutex.Lock()
	theirs, _ := c.clocks.At(owner, deadline)
	c.clocksMutex.Unlock()
	ctx, cancel := context.WithTimeout(caller, deadline+2*executionLimit-c.clock())
	defer cancel()
	var answer forwardedAnswer
	err := c.transport.Call(ctx, owner, coordinationKind, forwardedCall{Call: call, Deadline: theirs}, &answer)
	if err != nil {
		return coordination.Result{Effect: coordination.MaybeDone}
	}
	c.clocksMutex.Lock()
	c.clocks.Heard(owner, answer.Clock, c.clock())
	c.clocksMutex.Unlock()
	if answer.Clock.Life != theirs.Life && c.clock() < deadline {
		return c.forward(caller, owner, call, deadline) // it was refused for a clock that is known now
	}
	return coordination.Result{Effect: answer.Effect, Answer: answer.Answer}
}

// execute carries a call out at this node, if it is the owner of the partition and the caller is
// still there when it begins.
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

// tick lets time pass. It runs on the loop of the replica.
func (c *coordinator) tick(now time.Duration) {
	c.server.Tick(now)
	if !c.inContact(now) {
		c.server.EndStaleWatches(now)
	}
}

// errShutdown says that this node is about to leave.
var errShutdown = errors.New("this node is about to leave")

// close ends the watches; further ones are refused.
func (c *coordinator) close() { close(c.leaving) }
