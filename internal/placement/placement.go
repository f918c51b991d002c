// Package placement places routes on shards of gateways, after "Router Sharding
// (OpenShift Origin design proposal)": a scheduler watches for routes that are
// not scheduled and relists them, hands each to a strategy, and creates a
// binding; the binding's create path is the only writer of a route's status.
package placement

import (
	"errors"
	"slices"
	"sort"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
)

// Shard is a label on gateways.
type Shard struct {
	Label    int
	Gateways int // how many gateways that carry it are working
	Zones    int
}

// Strategy picks a shard for a route. Any error is taken to be transient.
type Strategy interface {
	Schedule(route *config.Route, shards []Shard) (Shard, error)
}

// ErrNoShard says that no shard has a working gateway.
var ErrNoShard = errors.New("no shard with a working gateway")

// RoundRobin gives the shards their turn.
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

// Order is a binding that is to be created, on the condition that the route is
// still at the revision that the scheduler saw.
type Order struct {
	Binding config.RouteBinding `cbor:"1,keyasint"`
	SawRev  uint64              `cbor:"2,keyasint"`
}

// Create carries orders to the owner of the catalogue. done gets an error for
// each of them, on the scheduler's goroutine.
type Create func(orders []Order, done func(errs []error))

// Batch is how many bindings are created in one step.
const Batch = 256

// Scheduler is the reconciler. One goroutine owns it.
type Scheduler struct {
	Strategy Strategy
	Relist   time.Duration // between full lists
	Pause    time.Duration // before a route is tried again
	Create   Create

	relistAt time.Duration
	seen     map[string]uint64 // route -> revision that a binding has given it
	trying   bool              // a batch is on its way
	more     bool              // routes were left over for the next batch
	tenure   int               // counts how often the duty changed hands
	notUntil map[string]time.Duration
	Bound    uint64
	Errors   uint64
}

// Unscheduled says whether a route needs a binding: it is new, or its shard
// has lost its gateways while another has some.
func Unscheduled(r *config.Route, shards []Shard) bool {
	if r.Status.Phase != config.PhaseScheduled {
		return true
	}
	others := false
	for _, s := range shards {
		if s.Label == r.Status.Shard {
			if s.Gateways > 0 {
				return false
			}
		} else if s.Gateways > 0 {
			others = true
		}
	}
	return others
}

// Waiting says whether any route needs a binding and there is a shard for it.
func Waiting(routes []*config.Route, shards []Shard) bool {
	if !slices.ContainsFunc(shards, func(s Shard) bool { return s.Gateways > 0 }) {
		return false
	}
	return slices.ContainsFunc(routes, func(r *config.Route) bool { return Unscheduled(r, shards) })
}

// Reconcile looks at the routes after a change, or at all of them when a
// relist is due. again is called when it should be called once more.
func (s *Scheduler) Reconcile(now time.Duration, routes []*config.Route, shards []Shard, again func()) {
	if s.notUntil == nil {
		s.notUntil, s.seen = map[string]time.Duration{}, map[string]uint64{}
	}
	if now >= s.relistAt {
		s.relistAt = now + s.Relist
		s.seen = map[string]uint64{}
	}
	if s.trying {
		s.more = true
		return
	}
	s.more = false
	standing := map[string]bool{}
	var batch []Order
	for _, r := range routes {
		standing[r.Name] = true
		if !Unscheduled(r, shards) {
			delete(s.notUntil, r.Name)
			delete(s.seen, r.Name)
			continue
		}
		if now < s.notUntil[r.Name] {
			continue
		}
		if rev, ok := s.seen[r.Name]; ok && rev > r.Rev {
			continue // bound; the copy here has yet to show it
		}
		if len(batch) == Batch {
			s.more = true
			break
		}
		shard, err := s.Strategy.Schedule(r, shards)
		if err != nil {
			s.Errors++
			s.notUntil[r.Name] = now + s.Pause
			continue
		}
		batch = append(batch, Order{config.RouteBinding{Route: r.Name, Shard: shard.Label}, r.Rev})
	}
	if !s.more {
		for name := range s.notUntil {
			if !standing[name] {
				delete(s.notUntil, name)
			}
		}
	}
	if len(batch) == 0 {
		return
	}
	s.trying = true
	tenure := s.tenure
	s.Create(batch, func(errs []error) {
		if tenure != s.tenure {
			return // the duty was lost, and maybe won again, in between
		}
		s.trying = false
		for i, o := range batch {
			switch name := o.Binding.Route; {
			case errs[i] == nil:
				s.Bound++
				s.seen[name] = o.SawRev + 1
			case apierror.KindOf(errs[i]) == apierror.Conflict:
				s.Errors++ // another has bound or changed it; the watch will tell
			default:
				s.Errors++
				s.notUntil[name] = now + s.Pause
			}
		}
		if s.more {
			again()
		}
	})
}

// Due says whether something is to be looked at again though nothing changed: a
// relist, or a route whose pause is over.
func (s *Scheduler) Due(now time.Duration) bool {
	if now >= s.relistAt {
		return true
	}
	for _, t := range s.notUntil {
		if now >= t {
			return true
		}
	}
	return false
}

// Reset forgets what was under way, as when the duty changes hands.
func (s *Scheduler) Reset() {
	s.notUntil, s.seen, s.relistAt, s.trying, s.more = nil, nil, 0, false, false
	s.tenure++
}

// Shards counts the working gateways of each label. gateways maps a gateway's label to
// the zones of those that work.
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
