package rollout

import (
	"maps"
	"slices"
	"time"

	"madderwing/internal/callage"
)

// Controller holds a control node's state of rollouts, apart from their records. It decides
// on the transitions of the rollouts whose partition the node owns, and collects the gateways'
// reports on the others for their owners.
type Controller struct {
	rollouts      map[string]*rolloutState
	calls         callage.Tracker // by service
	allControlled bool
}

// rolloutState is a control node's state of the rollout of one service.
type rolloutState struct {
	generation   uint64        // of the newest record seen here
	recordSeenAt time.Duration // when that record was first seen
	ageWhenSeen  time.Duration // age of the order at that time
	order        uint64

	gatewayReports map[string]received[Report]   // by gateway that reports to this control node
	peerReports    map[string]received[Gathered] // by control node: what it has gathered
	gathered       Gathered                      // of the current record, as last computed
	baseline       Sums                          // of an earlier record under which the prior arm had responses
	lastView       View                          // of the last evaluation by the controller
	pendingFrom    uint64                        // the generation whose transition is being committed; 0: none
}

// received is a message with the time at which it arrived.
type received[T any] struct {
	at    time.Duration
	value T
}

// NewController creates a controller without any rollouts.
func NewController() *Controller {
	return &Controller{rollouts: map[string]*rolloutState{}, allControlled: true}
}

func (c *Controller) stateOf(service string) *rolloutState {
	state := c.rollouts[service]
	if state == nil {
		state = &rolloutState{gatewayReports: map[string]received[Report]{}, peerReports: map[string]received[Gathered]{}}
		c.rollouts[service] = state
	}
	return state
}

// RecordCommitted records a committed record as it reaches this node.
func (c *Controller) RecordCommitted(now time.Duration, rec Record) {
	plan, ok := DecodePlan(rec)
	if !ok {
		return
	}
	state := c.stateOf(plan.Service)
	if plan.Generation <= state.generation {
		return
	}
	c.calls.Observe(now, plan.Service, plan.callIDs())
	age := plan.Age
	switch {
	case plan.Order != state.order:
		state.baseline = nil
	default:
		age = max(age, state.age(now)) // the age of an order never falls
		if state.gathered.Gen == state.generation && state.gathered.Sums.All()[Prior].Ended > 0 {
			state.baseline = state.gathered.Sums
		}
	}
	state.generation, state.recordSeenAt, state.ageWhenSeen = plan.Generation, now, age
	if !plan.Final() || plan.Order != state.order {
		state.gathered = Gathered{} // the sums that decided a rollout are kept for the administration API
	}
	state.order = plan.Order
}

// Recent reports whether a call that a service's plan records was executed within the given time, as
// far as this node knows. A call that was not seen yet counts as recent: its record was only just written.
func (c *Controller) Recent(now time.Duration, service string, id uint64, within time.Duration) bool {
	return c.calls.Age(now, service, id) <= within
}

// RestoreCallAges sets the ages of executed calls that an earlier process saved.
func (c *Controller) RestoreCallAges(now time.Duration, ages map[uint64]time.Duration) {
	c.calls.Restore(now, ages)
}

// AnyCallWithin reports whether any executed call of a plan was at most age old at a time.
func (c *Controller) AnyCallWithin(at, age time.Duration) bool { return c.calls.AnyWithin(at, age) }

// CallAges returns the ages of the executed calls that the plans record, by ID.
func (c *Controller) CallAges(now time.Duration) map[uint64]time.Duration { return c.calls.Ages(now) }

func (s *rolloutState) age(now time.Duration) time.Duration {
	return s.ageWhenSeen + now - s.recordSeenAt
}

// Age returns the age of a service's newest order.
func (c *Controller) Age(now time.Duration, service string) time.Duration {
	return c.stateOf(service).age(now)
}

// Gathered returns the sum of the reports on a service's rollout as last computed here.
func (c *Controller) Gathered(service string) Gathered { return c.stateOf(service).gathered }

// View returns the view of the last evaluation of a service's rollout.
func (c *Controller) View(service string) View { return c.stateOf(service).lastView }

// AllControlled reports whether every active rollout had a known controller at the last call of Evaluate.
func (c *Controller) AllControlled() bool { return c.allControlled }

// ReceiveReports stores the reports of a gateway.
func (c *Controller) ReceiveReports(now time.Duration, from string, reports []Report) {
	for _, report := range reports {
		c.stateOf(report.Service).gatewayReports[from] = received[Report]{now, report}
	}
}

// ReceiveGathered stores what another control node has gathered.
func (c *Controller) ReceiveGathered(now time.Duration, from string, all []Gathered) {
	for _, gathered := range all {
		c.stateOf(gathered.Service).peerReports[from] = received[Gathered]{now, gathered}
	}
}

// Transition is a transition from one plan to the next that a controller has decided on.
type Transition struct {
	From, To *Plan
}

// Environment gives a controller access to the state of its node.
type Environment struct {
	Self         string
	Owner        func(partition string) string // the node that owns a partition; empty: none known
	MaxReportAge time.Duration                 // age up to which a report counts
	// Fill adds to a view the figures on the gateways and on the service's upstreams.
	// otherInFlight holds the requests in flight to other versions, by gateway that has reported.
	Fill func(view *View, plan *Plan, otherInFlight map[string]int)
}

// Evaluate evaluates the active rollouts. It returns the transitions to commit, and the gathered
// reports to forward, by the control node that is the controller of their rollouts.
func (c *Controller) Evaluate(now time.Duration, services map[string]Service, environment Environment) (transitions []Transition, forwards map[string][]Gathered) {
	c.allControlled, forwards = true, map[string][]Gathered{}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		service := services[name]
		plan := service.Active()
		if plan == nil {
			continue
		}
		state := c.stateOf(name)
		gathered := Gather(name, state.generation, pruneExpired(state.gatewayReports, now, environment.MaxReportAge))
		switch owner := environment.Owner(PartitionOf(name)); owner {
		case environment.Self:
		case "":
			c.allControlled = false
			continue
		default:
			if len(gathered.OtherInFlightByGateway) > 0 {
				forwards[owner] = append(forwards[owner], gathered)
			}
			continue
		}
		for _, g := range pruneExpired(state.peerReports, now, environment.MaxReportAge) {
			if g.Gen == state.generation {
				gathered.Add(g)
			}
		}
		state.gathered = gathered
		if state.generation != plan.Generation || state.pendingFrom == plan.Generation {
			continue
		}
		view := View{Age: state.age(now), SinceRecord: now - state.recordSeenAt, Sums: gathered.Sums, Baseline: state.baseline, StoppedGateways: gathered.StoppedGateways, StopReason: gathered.StopReason}
		environment.Fill(&view, plan, gathered.OtherInFlightByGateway)
		state.lastView = view
		if next := Next(plan, view); next != nil {
			state.pendingFrom = plan.Generation
			transitions = append(transitions, Transition{plan, next})
		}
	}
	return transitions, forwards
}

// TransitionEnded records that the commit of a transition has ended, with success or without.
func (c *Controller) TransitionEnded(transition Transition) {
	c.stateOf(transition.From.Service).pendingFrom = 0
}

// pruneExpired deletes the entries that are older than within and returns the others.
func pruneExpired[T any](entries map[string]received[T], now, within time.Duration) map[string]T {
	out := map[string]T{}
	for id, entry := range entries {
		if now-entry.at > within {
			delete(entries, id)
		} else {
			out[id] = entry.value
		}
	}
	return out
}
