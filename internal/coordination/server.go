package coordination

import (
	"log/slog"
	"sync/atomic"
	"time"

	"madderwing/internal/replication"
)

// Replica is what coordination needs of a replica of the control state.
type Replica interface {
	Propose(now time.Duration, key string, fn func(map[string]Record) ([]Record, error), done func(error))
	Tenure(now time.Duration, key string) (replication.Tenure, bool)
	Owner(now time.Duration, key string) string
	Committed(key string) (map[string]Record, replication.Position, bool)
	Current(key string) (time.Duration, bool)
}

// ServerConfig is what a server is told.
type ServerConfig struct {
	Self      string // the address of the replica
	Life      uint64 // differs between any two processes
	Clock     func() time.Duration
	Limits    Limits
	Sweep     time.Duration // between two sweeps of a partition
	Freshness time.Duration // age up to which a copy is good enough for watches
	Log       *slog.Logger
}

// Server is one node's part in coordination: the partitions that its replica owns, the
// committed feeds of all, and the watches that wait here. It belongs to the loop that
// drives the replica; only Execution.Abandon may be called from elsewhere.
type Server struct {
	config  ServerConfig
	replica Replica
	owned   map[string]*ownedPartition
	feeds   map[string]*Feed
	watches map[string]map[*Watch]bool // by group
}

// ownedPartition is a partition during one term of ownership of the replica.
type ownedPartition struct {
	epoch   replication.Epoch
	state   *Partition // nil: it cannot be used
	sweepAt time.Duration
}

// NewServer makes the server of a replica.
func NewServer(config ServerConfig, replica Replica) *Server {
	return &Server{config: config, replica: replica, owned: map[string]*ownedPartition{},
		feeds: map[string]*Feed{}, watches: map[string]map[*Watch]bool{}}
}

// Effect says what may have become of a call.
type Effect uint8

// The effects. Their numbers are part of the messages between nodes.
const (
	Answered  Effect = iota + 1
	NotDone          // it has not taken effect and never will
	MaybeDone        // it may have taken effect, or may yet
)

// Result is what came of a call; Answer counts only if it was answered.
type Result struct {
	Effect Effect
	Answer Answer
}

// Execution is a call that a replica carries out as the owner of its partition.
type Execution struct {
	call     Call
	deadline ClockReading
	done     func(Result)
	stage    atomic.Int32
	answer   Answer
	hasChanges  bool
	partitionUsable   bool // the partition can be used
}

// The stages of an execution.
const (
	queued int32 = iota
	started
	cancelled // it will never begin
)

// NewExecution prepares a call that does not begin after a deadline on the clock of the
// owner; done is told once what came of it, on the loop of the replica.
func NewExecution(call Call, deadline ClockReading, done func(Result)) *Execution {
	return &Execution{call: call, deadline: deadline, done: done}
}

// Abandon gives a call up that has no result in time, and says what that means. Any
// goroutine may call it.
func (e *Execution) Abandon() Effect {
	if e.stage.CompareAndSwap(queued, cancelled) {
		return NotDone
	}
	return MaybeDone
}

// Execute carries a call out if the replica owns the partition. The result is given only
// once the changes are committed and a majority has confirmed that the replica was still
// the owner after the execution.
func (s *Server) Execute(now time.Duration, e *Execution) {
	if !s.beforeDeadline(e.deadline) {
		e.done(Result{Effect: NotDone})
		return
	}
	key := e.call.Key()
	s.replica.Propose(now, key, func(records map[string]Record) ([]Record, error) {
		if !s.beforeDeadline(e.deadline) || !e.stage.CompareAndSwap(queued, started) {
			return nil, nil
		}
		state := s.ownedState(key, records)
		if e.partitionUsable = state != nil; !e.partitionUsable {
			return nil, nil
		}
		answer, changes := state.Execute(s.config.Clock(), e.call)
		e.answer, e.hasChanges = answer, len(changes) > 0
		return changes, nil
	}, func(err error) { e.done(e.result(err)) })
}

// Clock is the clock of this process.
func (s *Server) Clock() ClockReading {
	return ClockReading{Life: s.config.Life, Time: s.config.Clock()}
}

// beforeDeadline says whether a call with this deadline may begin.
func (s *Server) beforeDeadline(deadline ClockReading) bool {
	return deadline.Life == s.config.Life && s.config.Clock() <= deadline.Time
}

// result is what has become of a call whose proposal has ended.
func (e *Execution) result(err error) Result {
	hasStarted := e.stage.Load() == started
	switch {
	case err == nil && hasStarted && e.partitionUsable:
		return Result{Effect: Answered, Answer: e.answer}
	case hasStarted && e.hasChanges:
		return Result{Effect: MaybeDone}
	}
	return Result{Effect: NotDone}
}

// ownedState gives the state of a ownedState that the replica owns; nil if it cannot be used.
// It is called with the records of a proposal that is about to run, so the replica owns
// the ownedState, and all changes of this term have gone through the state.
func (s *Server) ownedState(key string, records map[string]Record) *Partition {
	now := s.config.Clock()
	tenure, _ := s.replica.Tenure(now, key)
	if known := s.owned[key]; known != nil && known.epoch == tenure.Epoch {
		return known.state
	}
	state, err := Load(records, tenure.Since, s.config.Limits)
	if err != nil {
		s.config.Log.Error("partition cannot be used", "partition", key, "error", err)
	} else {
		counts := state.Counts()
		s.config.Log.Info("partition taken over", "partition", key,
			"locks", counts.Locks, "counters", counts.Counters, "cells", counts.Cells)
	}
	s.owned[key] = &ownedPartition{epoch: tenure.Epoch, state: state, sweepAt: now + s.config.Sweep}
	return state
}

// Tick lets time pass for the partitions that the replica owns.
func (s *Server) Tick(now time.Duration) {
	for key, owned := range s.owned {
		tenure, _ := s.replica.Tenure(now, key)
		if tenure.Epoch != owned.epoch || !s.Owns(now, key) {
			delete(s.owned, key)
		} else if now >= owned.sweepAt && owned.state != nil {
			owned.sweepAt = now + s.config.Sweep
			s.sweep(now, key, owned.state)
		}
	}
}

// sweep erases what a partition needs no longer.
func (s *Server) sweep(now time.Duration, key string, state *Partition) {
	if !state.SweepDue(now) {
		return
	}
	s.replica.Propose(now, key, func(records map[string]Record) ([]Record, error) {
		if state := s.ownedState(key, records); state != nil {
			return state.Sweep(s.config.Clock()), nil
		}
		return nil, nil
	}, func(error) {})
}

// Owns says whether the replica owns a partition.
func (s *Server) Owns(now time.Duration, key string) bool {
	return s.replica.Owner(now, key) == s.config.Self
}

// Partition is the state of a partition that the replica owns; nil if it doesn't, or has not
// carried out a call in it yet.
func (s *Server) Partition(now time.Duration, key string) *Partition {
	if owned := s.owned[key]; owned != nil && s.Owns(now, key) {
		return owned.state
	}
	return nil
}
