// Package placement assigns routes to shards of gateways, after "Router Sharding
// (OpenShift Origin design proposal)": a scheduler watches for unscheduled routes,
// and lists all routes at intervals. For each it asks a strategy for a shard and
// creates a binding. Only the creation of a binding writes a route's status.
package placement

import (
	"errors"
	"slices"
	"sort"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
)

// Shard is a set of gateways that carry the same label.
type Shard struct {
	Label    int
	Gateways int // number of working gateways
	Zones    int
}

// Strategy picks a shard for a route. Every error counts as transient.
type Strategy interface {
	Schedule(route *config.Route, shards []Shard) (Shard, error)
}

// ErrNoShard is returned when no shard has a working gateway.
var ErrNoShard = errors.New("no shard with a working gateway")

// RoundRobin is a Strategy that picks the shards in turn.
type RoundRobin struct{ next int }

// Schedule picks the next shard that has working gateways.
func (s *RoundRobin) Schedule(_ *config.Route, shards []Shard) (Shard, error) {
	for range shards {
		shard := shards[s.next%len(shards)]
		s.next++
		if shard.Gateways > 0 {
			return shard, nil
		}
	}
	return Shard{}, ErrNoShard
}

// BindRequest asks for a binding to be created, on the condition that the route is still at
// the revision that the scheduler saw.
type BindRequest struct {
	Binding     config.RouteBinding `cbor:"1,keyasint"`
	ExpectedRev uint64              `cbor:"2,keyasint"`
}

// Create sends bind requests to the control node that owns the routes. It calls done on the scheduler's
// goroutine, with an error (nil for success) for each request.
type Create func(requests []BindRequest, done func(errs []error))

// MaxBatch is the maximum of bindings that are created in one call of Create.
const MaxBatch = 256

// Scheduler binds unscheduled routes to shards by reconciliation. It is not safe for
// concurrent use: one goroutine owns it.
type Scheduler struct {
	Strategy       Strategy
	RelistInterval time.Duration // interval between full lists
	RetryDelay     time.Duration // delay before a failed route is tried again
	Create         Create

	nextRelist     time.Duration
	boundRev       map[string]uint64 // route -> revision after its binding was created
	inFlight       bool              // a batch has been passed to Create, and done has not been called yet
	batchRemaining bool              // routes are left for another batch
	resets         int               // counts the calls of Reset
	retryAt        map[string]time.Duration
	Bound          uint64
	Errors         uint64
}

// Unscheduled reports whether a route needs a binding: it has none yet, or its shard has no
// working gateways while another shard has some.
func Unscheduled(route *config.Route, shards []Shard) bool {
	if route.Status.Phase != config.PhaseScheduled {
		return true
	}
	otherServed := false
	for _, shard := range shards {
		if shard.Label == route.Status.Shard {
			if shard.Gateways > 0 {
				return false
			}
		} else if shard.Gateways > 0 {
			otherServed = true
		}
	}
	return otherServed
}

// AnyUnscheduled reports whether any route needs a binding and any shard has a working gateway.
func AnyUnscheduled(routes []*config.Route, shards []Shard) bool {
	if !slices.ContainsFunc(shards, func(s Shard) bool { return s.Gateways > 0 }) {
		return false
	}
	return slices.ContainsFunc(routes, func(r *config.Route) bool { return Unscheduled(r, shards) })
}

// Reconcile sends a batch of bindings for unscheduled routes to Create, unless a batch is in
// flight. Once a relist is due, it also binds again those routes whose bindings it has created but
// which do not show them. reconcileAgain is called when Reconcile should be called for another batch.
func (s *Scheduler) Reconcile(now time.Duration, routes []*config.Route, shards []Shard, reconcileAgain func()) {
	if s.retryAt == nil {
		s.retryAt, s.boundRev = map[string]time.Duration{}, map[string]uint64{}
	}
	if now >= s.nextRelist {
		s.nextRelist = now + s.RelistInterval
		s.boundRev = map[string]uint64{}
	}
	if s.inFlight {
		s.batchRemaining = true
		return
	}
	s.batchRemaining = false
	current := map[string]bool{}
	var batch []BindRequest
	for _, route := range routes {
		current[route.Name] = true
		if !Unscheduled(route, shards) {
			delete(s.retryAt, route.Name)
			delete(s.boundRev, route.Name)
			continue
		}
		if now < s.retryAt[route.Name] {
			continue
		}
		if rev, ok := s.boundRev[route.Name]; ok && rev > route.Rev {
			continue // the binding was created, but the route given here is older
		}
		if len(batch) == MaxBatch {
			s.batchRemaining = true
			break
		}
		shard, err := s.Strategy.Schedule(route, shards)
		if err != nil {
			s.Errors++
			s.retryAt[route.Name] = now + s.RetryDelay
			continue
		}
		batch = append(batch, BindRequest{config.RouteBinding{Route: route.Name, Shard: shard.Label}, route.Rev})
	}
	if !s.batchRemaining {
		for name := range s.retryAt {
			if !current[name] {
				delete(s.retryAt, name)
			}
		}
	}
	if len(batch) == 0 {
		return
	}
	s.inFlight = true
	resets := s.resets
	s.Create(batch, func(errs []error) {
		if resets != s.resets {
			return // the scheduler was reset after the batch was sent
		}
		s.inFlight = false
		for i, request := range batch {
			switch name := request.Binding.Route; {
			case errs[i] == nil:
				s.Bound++
				s.boundRev[name] = request.ExpectedRev + 1
			case apierror.KindOf(errs[i]) == apierror.Conflict:
				s.Errors++ // the route was bound or changed by others; a later Reconcile handles it
			default:
				s.Errors++
				s.retryAt[name] = now + s.RetryDelay
			}
		}
		if s.batchRemaining {
			reconcileAgain()
		}
	})
}

// Due reports whether Reconcile should be called though nothing has changed: a relist is due,
// or a failed route is to be tried again.
func (s *Scheduler) Due(now time.Duration) bool {
	if now >= s.nextRelist {
		return true
	}
	for _, t := range s.retryAt {
		if now >= t {
			return true
		}
	}
	return false
}

// Reset drops all state; the results of a batch in flight will be ignored. It is called when this
// control node gains or loses the role of scheduler.
func (s *Scheduler) Reset() {
	s.retryAt, s.boundRev, s.nextRelist, s.inFlight, s.batchRemaining = nil, nil, 0, false, false
	s.resets++
}

// Shards returns the shards with labels 0 to count-1. zones maps a label to the zones of the
// working gateways that carry it, one entry for each gateway.
func Shards(count int, zones map[int][]string) []Shard {
	out := make([]Shard, count)
	for i := range out {
		distinct := map[string]bool{}
		for _, z := range zones[i] {
			distinct[z] = true
		}
		out[i] = Shard{Label: i, Gateways: len(zones[i]), Zones: len(distinct)}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Label < out[j].Label })
	return out
}
