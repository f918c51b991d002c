package rollout

import (
	"maps"
	"slices"
	"time"
)

// Controller is what a control node knows of rollouts beside their records. Of those whose
// key it owns it takes the steps; for the others it passes on what it has heard.
type Controller struct {
	rollouts  map[string]*rolloutState
	allControlled bool
}

type rolloutState struct {
	generation   uint64        // of the record that was last shown here
	recordSeenAt    time.Duration // and when that was
	ageWhenSeen  time.Duration // the order's age then
	order uint64
	callsSeenAt map[uint64]time.Duration // calls that the record names, and when each was first seen

	gatewayReports   map[string]received[Report]   // gateways that tell this control node
	peerReports  map[string]received[Gathered] // what other control nodes have gathered
	gathered    Gathered                   // of the present record, as last put together
	baseline    Sums                       // of a record before
	lastView    View                       // as last looked at, by the controller
	pendingFrom uint64                     // the generation from which a step is under way
}

type received[T any] struct {
	at   time.Duration
	value T
}

// NewController makes a controller that knows nothing.
func NewController() *Controller { return &Controller{rollouts: map[string]*rolloutState{}, allControlled: true} }

func (c *Controller) stateOf(service string) *rolloutState {
	state := c.rollouts[service]
	if state == nil {
		state = &rolloutState{gatewayReports: map[string]received[Report]{}, peerReports: map[string]received[Gathered]{}}
		c.rollouts[service] = state
	}
	return state
}

// Saw notes a record as it was committed here.
func (c *Controller) Saw(now time.Duration, rec Record) {
	plan, ok := Read(rec)
	if !ok {
		return
	}
	state := c.stateOf(plan.Service)
	if plan.Gen <= state.generation {
		return
	}
	state.recordCalls(now, plan)
	age := plan.Age
	switch {
	case plan.Order != state.order:
		state.baseline = nil
	default:
		age = max(age, state.age(now)) // never younger than it was here
		if state.gathered.Gen == state.generation && state.gathered.Sums.All()[Prior].Ended > 0 {
			state.baseline = state.gathered.Sums
		}
	}
	state.generation, state.recordSeenAt, state.ageWhenSeen = plan.Gen, now, age
	if !plan.Final() || plan.Order != state.order {
		state.gathered = Gathered{} // what decided an order is kept to be shown
	}
	state.order = plan.Order
}

// recordCalls notes when each call that a plan names was first seen here.
func (x *rolloutState) recordCalls(now time.Duration, p *Plan) {
	calls := map[uint64]time.Duration{}
	for _, t := range p.Taken {
		calls[t.ID] = now
		if at, ok := x.callsSeenAt[t.ID]; ok {
			calls[t.ID] = at
		}
	}
	x.callsSeenAt = calls
}

// Recent says whether a call that a service's plan names was first seen here less than a
// time ago. One that was not seen yet was carried out here a moment ago.
func (c *Controller) Recent(now time.Duration, service string, id uint64, within time.Duration) bool {
	at, ok := c.stateOf(service).callsSeenAt[id]
	return !ok || now-at <= within
}

func (x *rolloutState) age(now time.Duration) time.Duration { return x.ageWhenSeen + now - x.recordSeenAt }

// Age is the age of a service's newest order.
func (c *Controller) Age(now time.Duration, service string) time.Duration {
	return c.stateOf(service).age(now)
}

// Gathered is what was last put together of a service's rollout.
func (c *Controller) Gathered(service string) Gathered { return c.stateOf(service).gathered }

// View is what the controller of a service's rollout last saw.
func (c *Controller) View(service string) View { return c.stateOf(service).lastView }

// Led says that every rollout under way has a controller that is heard here.
func (c *Controller) Led() bool { return c.allControlled }

// Heard takes what a gateway has seen.
func (c *Controller) Heard(now time.Duration, from string, reports []Report) {
	for _, r := range reports {
		c.stateOf(r.Service).gatewayReports[from] = received[Report]{now, r}
	}
}

// Take takes what another control node has gathered.
func (c *Controller) Take(now time.Duration, from string, all []Gathered) {
	for _, g := range all {
		c.stateOf(g.Service).peerReports[from] = received[Gathered]{now, g}
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
func (c *Controller) Look(now time.Duration, services map[string]Service, surroundings Surroundings) (moves []Move, tell map[string][]Gathered) {
	c.allControlled, tell = true, map[string][]Gathered{}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		v := services[name]
		plan := v.Active()
		if plan == nil {
			continue
		}
		state := c.stateOf(name)
		gathered := Gather(name, state.generation, pruneExpired(state.gatewayReports, now, surroundings.Fresh))
		switch owner := surroundings.Owner(Key(name)); owner {
		case surroundings.Self:
		case "":
			c.allControlled = false
			continue
		default:
			if len(gathered.Nodes) > 0 {
				tell[owner] = append(tell[owner], gathered)
			}
			continue
		}
		for _, g := range pruneExpired(state.peerReports, now, surroundings.Fresh) {
			if g.Gen == state.generation {
				gathered.Add(g)
			}
		}
		state.gathered = gathered
		if state.generation != plan.Gen || state.pendingFrom == plan.Gen {
			continue
		}
		view := View{Age: state.age(now), Stage: now - state.recordSeenAt, Sums: gathered.Sums, Base: state.baseline, Braked: gathered.Braked, Brake: gathered.Brake}
		surroundings.Fill(&view, plan, gathered.Nodes)
		state.lastView = view
		if next := Next(plan, view); next != nil {
			state.pendingFrom = plan.Gen
			moves = append(moves, Move{plan, next})
		}
	}
	return moves, tell
}

// Moved notes that a step has been taken, or was lost.
func (c *Controller) Moved(m Move) { c.stateOf(m.From.Service).pendingFrom = 0 }

// pruneExpired forgets what was heard too long ago and gives the rest.
func pruneExpired[T any](entries map[string]received[T], now, within time.Duration) map[string]T {
	out := map[string]T{}
	for id, h := range entries {
		if now-h.at > within {
			delete(entries, id)
		} else {
			out[id] = h.value
		}
	}
	return out
}
