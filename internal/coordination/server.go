package coordination

import (
	"log/slog"
	"sync/atomic"
	"time"

	"madderwing/internal/replication"
)

// Replica is the part of a replica of the control state that coordination uses.
type Replica interface {
	Propose(now time.Duration, partition string, fn func(map[string]Record) ([]Record, error), done func(error))
	OwnershipTerm(now time.Duration, partition string) (replication.OwnershipTerm, bool)
	Owner(now time.Duration, partition string) string
	Committed(partition string) (map[string]Record, replication.Position, bool)
	FreshAsOf(partition string) (time.Duration, bool)
}

// ServerConfig is the configuration of a Server.
type ServerConfig struct {
	Self      string               // the address of the replica
	RunID     uint64               // identifies this run of the process
	Clock     func() time.Duration // monotonic
	Limits    Limits
	Sweep     time.Duration // interval between sweeps of a partition
	Freshness time.Duration // age up to which the copy of a partition may serve watches
	Log       *slog.Logger
}

// Server is a node's part in coordination: the partitions that its replica owns, the feeds of
// all partitions, and the open watches of the node's clients. Its methods may be called only
// from the loop that drives the replica; Execution.Abandon may be called from any goroutine.
type Server struct {
	config  ServerConfig
	replica Replica
	owned   map[string]*ownedPartition
	feeds   map[string]*Feed
	watches map[string]map[*Watch]bool // by group
}

// ownedPartition is a partition during one term in which the replica owns it.
type ownedPartition struct {
	epoch   replication.Epoch
	state   *Partition // nil: its records cannot be loaded
	sweepAt time.Duration
}

// NewServer creates the server of a replica.
func NewServer(config ServerConfig, replica Replica) *Server {
	return &Server{config: config, replica: replica, owned: map[string]*ownedPartition{},
		feeds: map[string]*Feed{}, watches: map[string]map[*Watch]bool{}}
}

// Effect says whether a call has taken effect.
type Effect uint8

// The effects. Their numbers are part of the messages between nodes.
const (
	Answered      Effect = iota + 1
	NotExecuted          // it has not taken effect and never will
	MaybeExecuted        // it may have taken effect, or may still do so
)

// Result is the result of a call. Answer is valid only if Effect is Answered.
type Result struct {
	Effect Effect
	Answer Answer
}

// Execution is a call that a replica executes as the owner of the call's partition.
type Execution struct {
	call            Call
	deadline        ClockReading
	done            func(Result)
	stage           atomic.Int32
	answer          Answer
	hasChanges      bool
	partitionUsable bool // the partition could be loaded
}

// The stages of an execution.
const (
	queued int32 = iota
	started
	cancelled // it will never start
)

// NewExecution prepares a call that must not start after a deadline on the owner's clock.
// done is called once with the result, on the loop of the replica.
func NewExecution(call Call, deadline ClockReading, done func(Result)) *Execution {
	return &Execution{call: call, deadline: deadline, done: done}
}

// Abandon cancels a call that took too long, unless it has started, and returns the call's effect.
// It may be called from any goroutine.
func (e *Execution) Abandon() Effect {
	if e.stage.CompareAndSwap(queued, cancelled) {
		return NotExecuted
	}
	return MaybeExecuted
}

// Execute executes a call if the replica owns the partition. The result is delivered only
// once the changes are committed and a majority has confirmed that the replica was still the
// owner after the execution.
func (s *Server) Execute(now time.Duration, e *Execution) {
	if !s.beforeDeadline(e.deadline) {
		e.done(Result{Effect: NotExecuted})
		return
	}
	partition := e.call.Partition()
	s.replica.Propose(now, partition, func(records map[string]Record) ([]Record, error) {
		if !s.beforeDeadline(e.deadline) || !e.stage.CompareAndSwap(queued, started) {
			return nil, nil
		}
		state := s.ownedState(partition, records)
		if e.partitionUsable = state != nil; !e.partitionUsable {
			return nil, nil
		}
		answer, changes := state.Execute(s.config.Clock(), e.call)
		e.answer, e.hasChanges = answer, len(changes) > 0
		return changes, nil
	}, func(err error) { e.done(e.result(err)) })
}

// Clock reads the clock of this process.
func (s *Server) Clock() ClockReading {
	return ClockReading{RunID: s.config.RunID, Time: s.config.Clock()}
}

// beforeDeadline reports whether a call with this deadline may start.
func (s *Server) beforeDeadline(deadline ClockReading) bool {
	return deadline.RunID == s.config.RunID && s.config.Clock() <= deadline.Time
}

// result returns the result of a call whose proposal has ended with err.
func (e *Execution) result(err error) Result {
	hasStarted := e.stage.Load() == started
	switch {
	case err == nil && hasStarted && e.partitionUsable:
		return Result{Effect: Answered, Answer: e.answer}
	case hasStarted && e.hasChanges:
		return Result{Effect: MaybeExecuted}
	}
	return Result{Effect: NotExecuted}
}

// ownedState returns the state of a partition that the replica owns; nil if it cannot be
// loaded. It is called with the records of a proposal that is about to run, so the replica
// owns the partition, and the state includes all changes of this term.
func (s *Server) ownedState(partition string, records map[string]Record) *Partition {
	now := s.config.Clock()
	term, _ := s.replica.OwnershipTerm(now, partition)
	if known := s.owned[partition]; known != nil && known.epoch == term.Epoch {
		return known.state
	}
	state, err := Load(records, term.Since, s.config.Limits)
	if err != nil {
		s.config.Log.Error("cannot load coordination partition", "partition", partition, "error", err)
	} else {
		counts := state.Counts()
		s.config.Log.Info("coordination partition taken over", "partition", partition,
			"locks", counts.Locks, "counters", counts.Counters, "cells", counts.Cells)
	}
	s.owned[partition] = &ownedPartition{epoch: term.Epoch, state: state, sweepAt: now + s.config.Sweep}
	return state
}

// Tick drops the partitions that the replica no longer owns and sweeps the others when due.
func (s *Server) Tick(now time.Duration) {
	for partition, owned := range s.owned {
		term, _ := s.replica.OwnershipTerm(now, partition)
		if term.Epoch != owned.epoch || !s.Owns(now, partition) {
			delete(s.owned, partition)
		} else if now >= owned.sweepAt && owned.state != nil {
			owned.sweepAt = now + s.config.Sweep
			s.sweep(now, partition, owned.state)
		}
	}
}

// sweep erases ended leases and old events of a partition.
func (s *Server) sweep(now time.Duration, partition string, state *Partition) {
	if !state.SweepDue(now) {
		return
	}
	s.replica.Propose(now, partition, func(records map[string]Record) ([]Record, error) {
		if state := s.ownedState(partition, records); state != nil {
			return state.Sweep(s.config.Clock()), nil
		}
		return nil, nil
	}, func(error) {})
}

// Owns reports whether the replica owns a partition.
func (s *Server) Owns(now time.Duration, partition string) bool {
	return s.replica.Owner(now, partition) == s.config.Self
}

// Partition returns the state of a partition; nil if the replica does not own it, has not
// executed a call in it yet, or cannot load it.
func (s *Server) Partition(now time.Duration, name string) *Partition {
	if owned := s.owned[name]; owned != nil && s.Owns(now, name) {
		return owned.state
	}
	return nil
}
