// Package shelving places routes on shards of desks, after "Router Sharding
// (OpenShift Origin design proposal)": a scheduler watches for routes that are
// not scheduled and relists them, hands each to a strategy, and creates a
// binding; the binding's create path is the only writer of a route's status.
package shelving

import (
	"errors"
	"sort"
	"time"

	"madderwing/internal/catalogue"
	"madderwing/internal/errata"
)

// Shard is a label on desks.
type Shard struct {
	Label int
	Desks int // how many desks that carry it are working
	Zones int
}

// Strategy picks a shard for a route. Any error is taken to be transient.
type Strategy interface {
	Schedule(route *catalogue.Route, shards []Shard) (Shard, error)
}

// ErrNoShard says that no shard has a working desk.
var ErrNoShard = errors.New("no shard with a working desk")

// RoundRobin gives the shards their turn.
type RoundRobin struct{ next int }

// Schedule picks the next shard that has working desks.
func (s *RoundRobin) Schedule(_ *catalogue.Route, shards []Shard) (Shard, error) {
	for range shards {
		shard := shards[s.next%len(shards)]
		s.next++
		if shard.Desks > 0 {
			return shard, nil
		}
	}
	return Shard{}, ErrNoShard
}

// Create carries a binding to the owner of the catalogue.
type Create func(b catalogue.RouteBinding, sawRev uint64, done func(error))

// Scheduler is the reconciler. One goroutine owns it.
type Scheduler struct {
	Strategy Strategy
	Relist   time.Duration // between full lists
	Pause    time.Duration // before a route is tried again
	Create   Create

	relistAt time.Duration
	seen     map[string]uint64        // route -> revision that was dealt with
	trying   map[string]bool          // a binding is on its way
	notUntil map[string]time.Duration // a pause after an error
	Bound    uint64
	Errors   uint64
}

// Unscheduled says whether a route needs a binding: it is new, or its shard
// has lost its desks while another has some.
func Unscheduled(r *catalogue.Route, shards []Shard) bool {
	if r.Status.Phase != catalogue.PhaseScheduled {
		return true
	}
	others := false
	for _, s := range shards {
		if s.Label == r.Status.Shard {
			if s.Desks > 0 {
				return false
			}
		} else if s.Desks > 0 {
			others = true
		}
	}
	return others
}

// Reconcile looks at the routes after a change, or at all of them when a
// relist is due.
func (s *Scheduler) Reconcile(now time.Duration, routes []*catalogue.Route, shards []Shard, again func()) {
	if s.trying == nil {
		s.trying, s.notUntil, s.seen = map[string]bool{}, map[string]time.Duration{}, map[string]uint64{}
	}
	if now >= s.relistAt {
		s.relistAt = now + s.Relist
		s.seen = map[string]uint64{}
	}
	standing := map[string]bool{}
	for _, r := range routes {
		standing[r.Name] = true
		if !Unscheduled(r, shards) {
			delete(s.notUntil, r.Name)
			continue
		}
		if s.trying[r.Name] || now < s.notUntil[r.Name] {
			continue
		}
		if rev, ok := s.seen[r.Name]; ok && rev == r.Rev+1 {
			continue // bound; the copy here has yet to show it
		}
		shard, err := s.Strategy.Schedule(r, shards)
		if err != nil {
			s.Errors++
			s.notUntil[r.Name] = now + s.Pause
			continue
		}
		name, rev := r.Name, r.Rev
		s.trying[name] = true
		s.Create(catalogue.RouteBinding{Route: name, Shard: shard.Label}, rev, func(err error) {
			delete(s.trying, name)
			if err != nil {
				s.Errors++
				if errata.KindOf(err) != errata.Conflict {
					s.notUntil[name] = now + s.Pause
				}
				return
			}
			s.Bound++
			s.seen[name] = rev + 1
			again()
		})
	}
	for name := range s.notUntil {
		if !standing[name] {
			delete(s.notUntil, name)
		}
	}
}

// Reset forgets what was under way, as when the duty changes hands.
func (s *Scheduler) Reset() { s.trying, s.notUntil, s.seen, s.relistAt = nil, nil, nil, 0 }

// Shards counts the working desks of each label. desks maps a desk's label to
// the zones of those that work.
func Shards(count int, zones map[int][]string) []Shard {
	out := make([]Shard, count)
	for i := range out {
		distinct := map[string]bool{}
		for _, z := range zones[i] {
			distinct[z] = true
		}
		out[i] = Shard{Label: i, Desks: len(zones[i]), Zones: len(distinct)}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Label < out[j].Label })
	return out
}
