package rollout

import (
	"maps"
	"slices"
	"time"
)

// Controller is what a control node knows of rollouts beside their records. Of those whose
// key it owns it takes the steps; for the others it passes on what it has heard.
type Controller struct {
	by  map[string]*watched
	led bool
}

type watched struct {
	gen   uint64        // of the record that was last shown here
	at    time.Duration // and when that was
	aged  time.Duration // the order's age then
	order uint64
	calls map[uint64]time.Duration // calls that the record names, and when each was first seen

	nodes   map[string]heard[Report]   // gateways that tell this control node
	others  map[string]heard[Gathered] // what other control nodes have gathered
	sums    Gathered                   // of the present record, as last put together
	base    Sums                       // of a record before
	view    View                       // as last looked at, by the controller
	stepped uint64                     // the generation from which a step is under way
}

type heard[T any] struct {
	at   time.Duration
	what T
}

// NewController makes a controller that knows nothing.
func NewController() *Controller { return &Controller{by: map[string]*watched{}, led: true} }

func (c *Controller) of(service string) *watched {
	x := c.by[service]
	if x == nil {
		x = &watched{nodes: map[string]heard[Report]{}, others: map[string]heard[Gathered]{}}
		c.by[service] = x
	}
	return x
}

// Saw notes a record as it was committed here.
func (c *Controller) Saw(now time.Duration, rec Record) {
	p, ok := Read(rec)
	if !ok {
		return
	}
	x := c.of(p.Service)
	if p.Gen <= x.gen {
		return
	}
	x.sawCalls(now, p)
	age := p.Age
	switch {
	case p.Order != x.order:
		x.base = nil
	default:
		age = max(age, x.age(now)) // never younger than it was here
		if x.sums.Gen == x.gen && x.sums.Sums.All()[Prior].Ended > 0 {
			x.base = x.sums.Sums
		}
	}
	x.gen, x.at, x.aged = p.Gen, now, age
	if !p.Final() || p.Order != x.order {
		x.sums = Gathered{} // what decided an order is kept to be shown
	}
	x.order = p.Order
}

// sawCalls notes when each call that a plan names was first seen here.
func (x *watched) sawCalls(now time.Duration, p *Plan) {
	calls := map[uint64]time.Duration{}
	for _, t := range p.Taken {
		calls[t.ID] = now
		if at, ok := x.calls[t.ID]; ok {
			calls[t.ID] = at
		}
	}
	x.calls = calls
}

// Recent says whether a call that a service's plan names was first seen here less than a
// time ago. One that was not seen yet was carried out here a moment ago.
func (c *Controller) Recent(now time.Duration, service string, id uint64, within time.Duration) bool {
	at, ok := c.of(service).calls[id]
	return !ok || now-at <= within
}

func (x *watched) age(now time.Duration) time.Duration { return x.aged + now - x.at }

// Age is the age of a service's newest order.
func (c *Controller) Age(now time.Duration, service string) time.Duration {
	return c.of(service).age(now)
}

// Gathered is what was last put together of a service's rollout.
func (c *Controller) Gathered(service string) Gathered { return c.of(service).sums }

// View is what the controller of a service's rollout last saw.
func (c *Controller) View(service string) View { return c.of(service).view }

// Led says that every rollout under way has a controller that is heard here.
func (c *Controller) Led() bool { return c.led }

// Heard takes what a gateway has seen.
func (c *Controller) Heard(now time.Duration, from string, reports []Report) {
	for _, r := range reports {
		c.of(r.Service).nodes[from] = heard[Report]{now, r}
	}
}

// Take takes what another control node has gathered.
func (c *Controller) Take(now time.Duration, from string, all []Gathered) {
	for _, g := range all {
		c.of(g.Service).others[from] = heard[Gathered]{now, g}
	}
}

// Move is a step that a controller has decided on.
type Move struct {
	From, To *Plan
}

// Surroundings are what a controller needs to know of its node.
type Surroundings struct {
	Self  string
	Owner func(key string) string // who owns a key; empty: nobody known
	Fresh time.Duration           // for how long word of a node counts
	// Fill adds to a view what is known of the service's nodes, given what each node
	// that told has under way at another version, and of its upstreams.
	Fill func(v *View, p *Plan, told map[string]int)
}

// Look looks at the rollouts under way. It returns the steps to be taken, and for each
// other controller what it is to be told.
func (c *Controller) Look(now time.Duration, services map[string]Service, s Surroundings) (moves []Move, tell map[string][]Gathered) {
	c.led, tell = true, map[string][]Gathered{}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		v := services[service]
		p := v.Active()
		if p == nil {
			continue
		}
		x := c.of(service)
		all := Gather(service, x.gen, fresh(x.nodes, now, s.Fresh))
		switch owner := s.Owner(Key(service)); owner {
		case s.Self:
		case "":
			c.led = false
			continue
		default:
			if len(all.Nodes) > 0 {
				tell[owner] = append(tell[owner], all)
			}
			continue
		}
		for _, g := range fresh(x.others, now, s.Fresh) {
			if g.Gen == x.gen {
				all.Add(g)
			}
		}
		x.sums = all
		if x.gen != p.Gen || x.stepped == p.Gen {
			continue
		}
		view := View{Age: x.age(now), Stage: now - x.at, Sums: all.Sums, Base: x.base, Braked: all.Braked, Brake: all.Brake}
		s.Fill(&view, p, all.Nodes)
		x.view = view
		if next := Next(p, view); next != nil {
			x.stepped = p.Gen
			moves = append(moves, Move{p, next})
		}
	}
	return moves, tell
}

// Moved notes that a step has been taken, or was lost.
func (c *Controller) Moved(m Move) { c.of(m.From.Service).stepped = 0 }

// fresh forgets what was heard too long ago and gives the rest.
func fresh[T any](all map[string]heard[T], now, within time.Duration) map[string]T {
	out := map[string]T{}
	for id, h := range all {
		if now-h.at > within {
			delete(all, id)
		} else {
			out[id] = h.what
		}
	}
	return out
}
