package controlplane

// Operators' views and metrics of coordination.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"madderwing/internal/coordination"
	"madderwing/internal/metrics"
)

// coordinationStats counts the calls by operation and status of the answer.
type coordinationStats struct {
	mu    sync.Mutex
	calls map[callLabels]*callCount
}

type callLabels struct {
	operation string
	status    int
}

type callCount struct {
	count uint64
	wait  time.Duration // total
}

func newCoordinationStats() coordinationStats {
	return coordinationStats{calls: map[callLabels]*callCount{}}
}

func (s *coordinationStats) count(operation string, status int, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	labels := callLabels{operation, status}
	if s.calls[labels] == nil {
		s.calls[labels] = &callCount{}
	}
	s.calls[labels].count++
	s.calls[labels].wait += wait
}

// CallState is the number of calls with the same operation and status, and how long they took on
// average.
type CallState struct {
	Operation string  `json:"operation"`
	Status    int     `json:"status"`
	Calls     uint64  `json:"calls"`
	MeanMs    float64 `json:"meanMs"`
}

func (s *coordinationStats) states() []CallState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []CallState{}
	for labels, c := range s.calls {
		mean := c.wait.Seconds() * 1000 / float64(c.count)
		out = append(out, CallState{labels.operation, labels.status, c.count, mean})
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return a.Operation < b.Operation || a.Operation == b.Operation && a.Status < b.Status
	})
	return out
}

// LockState is a lock as the administration API shows it.
type LockState struct {
	Name  string  `json:"name"`
	Owner string  `json:"owner"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"holdS"`
	LeftS float64 `json:"leftS"` // of the lease; negative: it has expired, and nobody has acquired the lock since
}

// PartitionState is a partition as the administration API shows it. Only its owner knows its locks
// and sizes.
type PartitionState struct {
	Partition string       `json:"partition"`
	Owner     string       `json:"owner"`
	Here      bool         `json:"here"` // this node owns it
	Counts    *CountsState `json:"counts,omitempty"`
	Locks     []LockState  `json:"locks,omitempty"`
}

// CountsState is how many entries and bytes a partition holds.
type CountsState struct {
	Locks    int `json:"locks"`
	Counters int `json:"counters"`
	Cells    int `json:"cells"`
	Groups   int `json:"groups"`
	Events   int `json:"events"`
	Bytes    int `json:"bytes"`
}

// CoordinationState is what this node knows of coordination.
type CoordinationState struct {
	Partitions []PartitionState `json:"partitions"`
	Watches    int64            `json:"watches"`
	Waiting    int64            `json:"waiting"`
	Calls      []CallState      `json:"calls"`
}

// state describes the given partitions. It runs on the event loop.
func (c *coordinator) state(now time.Duration, partitions []string) CoordinationState {
	out := CoordinationState{Partitions: []PartitionState{}, Watches: c.activeWatches.Load(), Waiting: c.activeCalls.Load(), Calls: c.statistics.states()}
	for _, partition := range partitions {
		p := PartitionState{Partition: partition, Owner: c.owners.Owner(now, partition), Here: c.server.Owns(now, partition)}
		if stored := c.server.Partition(now, partition); stored != nil {
			counts := CountsState(stored.Counts())
			p.Counts, p.Locks = &counts, lockStates(stored.Locks(now))
		}
		out.Partitions = append(out.Partitions, p)
	}
	return out
}

func lockStates(locks []coordination.Lock) []LockState {
	out := make([]LockState, 0, len(locks))
	for _, l := range locks {
		out = append(out, LockState{l.Name, l.Owner, l.FencingToken, l.Lease.Seconds(), l.Remaining.Round(time.Millisecond).Seconds()})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// page returns the state as JSON for the administration API.
func (s CoordinationState) page() ([]byte, error) {
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}

// writeMetrics appends the metrics of coordination.
func (s CoordinationState) writeMetrics(b *bytes.Buffer) {
	calls := map[string]uint64{}
	waits := map[string]uint64{}
	for _, call := range s.Calls {
		name := fmt.Sprintf("%s%d", call.Operation, call.Status)
		calls[name] = call.Calls
		waits[name+"Ms"] = uint64(call.MeanMs * float64(call.Calls))
	}
	metrics.WriteCounters(b, "coordination_calls", calls)
	metrics.WriteCounters(b, "coordination_wait", waits)
	metrics.WriteGauge(b, "coordination", "watches", uint64(s.Watches))
	owned, locks := uint64(0), uint64(0)
	for _, p := range s.Partitions {
		if p.Here {
			owned++
		}
		locks += uint64(len(p.Locks))
	}
	metrics.WriteGauge(b, "coordination", "partitionsOwned", owned)
	metrics.WriteGauge(b, "coordination", "locksHeld", locks)
}
