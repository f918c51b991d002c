package controlplane

// This file holds how calls for locks, counters and cells reach the owner of their
// partition, and how the owner carries them out.

import (
	"cmp"
	"context"
	"errors"
	"log"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/coordination"
	"madderwing/internal/replication"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
)

// coordinationKind is the message that forwards a call to the owner of its partition.
const coordinationKind = "coordination"

// A caller gives up after a second of silence (callerPatience). Within coordinationLimit it
// has an answer, forwarding included; the owner has forwardPart of what is left.
const (
	callerPatience    = time.Second
	coordinationLimit = callerPatience * 4 / 5
	forwardPart       = 0.9
)

// Parts of contactS: the pause before a call is tried again, between two sweeps of a
// partition, and the age up to which a copy is good enough for watches.
const (
	coordinationPausePart = 1.0 / 100
	sweepPart             = 1.0
)

// historyRetentions is for how long history is kept, in retentions. Watches that were
// given a revision late, and puts that come again, find it for longer than retentionS.
const historyRetentions = 1.5

// Shares of the disk that all partitions together may fill, and of that for history. The
// storage needs the other half for rewrites.
const (
	coordinationDiskShare = 0.3
	historyShare          = 0.4
	defaultDiskMb         = 64
)

// replicaOfPartitions is what coordination needs of a replica. It is used on the loop that
// owns the replica.
type replicaOfPartitions interface {
	Propose(now time.Duration, key string, fn func(map[string]replication.Record) ([]replication.Record, error), done func(error))
	Tenure(now time.Duration, key string) (replication.Tenure, bool)
	Owner(now time.Duration, key string) string
	Founder(now time.Duration, key string) string
	Committed(key string) (map[string]replication.Record, replication.Position, bool)
	Current(key string) (time.Duration, bool)
}

// coordinator serves the calls of applications at a control node.
type coordinator struct {
	replica   replicaOfPartitions
	transport *transport.Mesh
	run       func(func(now time.Duration)) // on the loop of the replica
	clock     func() time.Duration          // the time of that loop
	inContact func(now time.Duration) bool
	limits    coordination.Limits
	pause     time.Duration // before a call is tried again
	retry     time.Duration // after which a refused caller may come again
	sweep     time.Duration // between two sweeps of a partition
	freshness time.Duration // age up to which a copy is good enough for watches
	log       *log.Logger

	// Owned by the loop of the replica.
	owned   map[string]*ownedPartition
	feeds   map[string]*coordination.Feed
	watches map[string]map[*watch]bool // by group

	calls, watching atomic.Int64 // that wait here
	closed          chan struct{}
	stats           coordinationStats
}

// ownedPartition is a partition during a term of ownership of this node.
type ownedPartition struct {
	epoch   replication.Epoch
	state   *coordination.Partition // nil: it cannot be used
	sweepAt time.Duration
}

// newCoordinator makes the coordinator of a control node; its replica, transport and loop are
// set by the node.
func newCoordinator(set *settings.Settings, logger *log.Logger) *coordinator {
	diskMb := cmp.Or(set.Limits.DiskMb, defaultDiskMb)
	bytes := int(diskMb * (1 << 20) * coordinationDiskShare / coordination.Partitions)
	part := func(part float64) time.Duration { return settings.Seconds(set.Bounds.ContactS * part) }
	return &coordinator{
		limits: coordination.Limits{History: time.Duration(historyRetentions * float64(set.Retention())),
			Bytes: bytes, HistoryBytes: int(float64(bytes) * historyShare)},
		pause: part(coordinationPausePart), retry: set.Beat(), sweep: part(sweepPart), freshness: part(contactPart), log: logger,
		owned: map[string]*ownedPartition{}, feeds: map[string]*coordination.Feed{}, watches: map[string]map[*watch]bool{},
		closed: make(chan struct{}), stats: newCoordinationStats(),
	}
}

// forwardedCall is a call on its way to the owner of its partition.
type forwardedCall struct {
	Call  coordination.Call `cbor:"1,keyasint"`
	Limit time.Duration     `cbor:"2,keyasint"` // for the answer
}

// effect says what may have become of a call.
type effect uint8

// The effects. Their numbers are part of the messages between nodes.
const (
	answered     effect = iota + 1
	notDone             // it has not taken effect and never will
	maybeDone           // it may have taken effect, or may yet
	unknownToOld        // the peer does not know the operation
)

// forwardedAnswer is what the owner answers.
type forwardedAnswer struct {
	Effect effect              `cbor:"1,keyasint"`
	Answer coordination.Answer `cbor:"2,keyasint"`
}

// listen answers calls that other nodes forward.
func (c *coordinator) listen() {
	c.transport.HandleSlow(coordinationKind, func(_ string, body []byte) (any, error) {
		var forwarded forwardedCall
		if err := cbor.Unmarshal(body, &forwarded); err != nil {
			c.transport.Undecoded.Add(1)
			return nil, err
		}
		if !forwarded.Call.Operation.Known() {
			return forwardedAnswer{Effect: unknownToOld}, nil
		}
		return c.execute(forwarded.Call, min(forwarded.Limit, coordinationLimit)), nil
	})
}

// submit brings a call to the owner of its partition, wherever that is, and gives its
// answer. A call that may have been carried out is not sent again, unless it only reads.
func (c *coordinator) submit(call coordination.Call) forwardedAnswer {
	deadline := time.Now().Add(coordinationLimit)
	key := call.Key()
	for pause := c.pause; ; pause *= 2 {
		answer := c.attempt(key, call, deadline)
		final := answer.Effect == answered || answer.Effect == maybeDone && !call.Operation.Reads()
		if final || time.Now().Add(pause).After(deadline) {
			return answer
		}
		time.Sleep(pause)
	}
}

// attempt tries a call once.
func (c *coordinator) attempt(key string, call coordination.Call, deadline time.Time) forwardedAnswer {
	found := make(chan string, 1)
	c.run(func(now time.Duration) {
		found <- cmp.Or(c.replica.Owner(now, key), c.replica.Founder(now, key))
	})
	owner := <-found
	left := time.Until(deadline)
	switch {
	case left <= 0 || owner == "":
		return forwardedAnswer{Effect: notDone}
	case owner == c.transport.Self():
		return c.execute(call, left)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	forwarded := forwardedCall{Call: call, Limit: time.Duration(float64(left) * forwardPart)}
	var answer forwardedAnswer
	if c.transport.Call(ctx, owner, coordinationKind, forwarded, &answer) != nil {
		return forwardedAnswer{Effect: maybeDone}
	}
	if answer.Effect == unknownToOld {
		answer.Effect = notDone
	}
	return answer
}

// stage is how far the execution of a call has come.
type stage int32

const (
	queued stage = iota
	begun
	abandoned // it will never begin
)

// execution is a call that is being carried out by this node as the owner.
type execution struct {
	stage   atomic.Int32
	answer  coordination.Answer
	changes bool
	usable  bool // the partition can be used
	result  chan forwardedAnswer
}

// execute carries a call out at this node, if it is the owner of the partition.
func (c *coordinator) execute(call coordination.Call, limit time.Duration) forwardedAnswer {
	e := &execution{result: make(chan forwardedAnswer, 1)}
	key := call.Key()
	c.run(func(now time.Duration) {
		c.replica.Propose(now, key, func(records map[string]replication.Record) ([]replication.Record, error) {
			if !e.stage.CompareAndSwap(int32(queued), int32(begun)) {
				return nil, nil
			}
			state := c.partition(key, records)
			if e.usable = state != nil; !e.usable {
				return nil, nil
			}
			answer, changes := state.Execute(c.clock(), call)
			e.answer, e.changes = answer, len(changes) > 0
			return changes, nil
		}, func(err error) { e.result <- e.outcome(err) })
	})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-e.result:
		return result
	case <-timer.C:
	}
	if e.stage.CompareAndSwap(int32(queued), int32(abandoned)) {
		return forwardedAnswer{Effect: notDone}
	}
	return forwardedAnswer{Effect: maybeDone}
}

// outcome is what has become of a call whose proposal has ended.
func (e *execution) outcome(err error) forwardedAnswer {
	hasBegun := e.stage.Load() == int32(begun)
	switch {
	case err == nil && hasBegun && e.usable:
		return forwardedAnswer{Effect: answered, Answer: e.answer}
	case hasBegun && e.changes:
		return forwardedAnswer{Effect: maybeDone}
	}
	return forwardedAnswer{Effect: notDone}
}

// partition gives the state of a partition that this node owns; nil if it cannot be used.
// It is called with the records of a proposal that is about to run, so this node owns the
// partition, and all changes of this term have gone through the state.
func (c *coordinator) partition(key string, records map[string]replication.Record) *coordination.Partition {
	now := c.clock()
	tenure, _ := c.replica.Tenure(now, key)
	if had := c.owned[key]; had != nil && had.epoch == tenure.Epoch {
		return had.state
	}
	state, err := coordination.Load(records, tenure.Since, c.limits)
	if err != nil {
		c.log.Printf("partition %s cannot be used: %v.", key, err)
	} else {
		counts := state.Counts()
		c.log.Printf("partition %s taken over: %d locks, %d counters, %d cells.", key, counts.Locks, counts.Counters, counts.Cells)
	}
	c.owned[key] = &ownedPartition{epoch: tenure.Epoch, state: state, sweepAt: now + c.sweep}
	return state
}

// tick lets time pass for the partitions that this node owns, and for the watches here. It
// runs on the loop of the replica.
func (c *coordinator) tick(now time.Duration) {
	for key, owned := range c.owned {
		if tenure, _ := c.replica.Tenure(now, key); tenure.Epoch != owned.epoch || !c.owns(now, key) {
			delete(c.owned, key)
			continue
		}
		if now < owned.sweepAt || owned.state == nil {
			continue
		}
		owned.sweepAt = now + c.sweep
		if !owned.state.SweepDue(now) {
			continue
		}
		c.replica.Propose(now, key, func(records map[string]replication.Record) ([]replication.Record, error) {
			if state := c.partition(key, records); state != nil {
				return state.Sweep(c.clock()), nil
			}
			return nil, nil
		}, func(error) {})
	}
	c.endStaleWatches(now)
}

func (c *coordinator) owns(now time.Duration, key string) bool {
	return c.replica.Owner(now, key) == c.transport.Self()
}

// errShutdown says that this node is about to leave.
var errShutdown = errors.New("this node is about to leave")

// close ends the watches; further ones are refused.
func (c *coordinator) close() { close(c.closed) }
