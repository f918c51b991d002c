package rollout

import (
	"fmt"
	"maps"
	"time"
)

// View is the state of a rollout when its controller evaluates it.
type View struct {
	Age         time.Duration // of the order
	SinceRecord time.Duration // time since the current record was first seen here
	// Sums are of the gateways that have the current record in force; Baseline are of an
	// earlier record.
	Sums, Baseline Sums
	// LiveGateways is the number of gateways that carry traffic, ReportingGateways the number of these that
	// have reported the current record as in force, OtherInFlight the number of requests in flight
	// there to other versions, and StoppedGateways the number of gateways that have stopped the
	// candidate by themselves. StopReason is the reason that one of the latter gave.
	LiveGateways, ReportingGateways, OtherInFlight, StoppedGateways int
	StopReason                                                      string
	// WarmSlots is the number of slots of the candidate's warm upstreams, Slots that of all its
	// upstreams, and StandingSlots that of the standing version's upstreams. Load is
	// the number of requests that the service has in flight.
	WarmSlots, Slots, StandingSlots float64
	Load                            float64
	// ExposureShare is the share of the requests during the order's time that a bad version
	// may get.
	ExposureShare float64
}

// A step is a weight with the conditions for leaving it. The weights are those of the
// published design. The sum of weight times duration has to stay well below the setting
// exposureShare until the weight is full, so that a candidate that becomes bad at any step has
// had less than that share of the requests when it is stopped.
type step struct {
	stage            Stage
	weight           float64
	minDurationShare float64 // of the order's time that the step lasts at least
	minResponses     uint64  // scored responses of the candidate
}

var steps = []step{
	{Shadow, 0, 0.02, 0},
	{Canary, 0.03, 0.17, 30},
	{Percentage, 0.10, 0.06, 30},
	{Percentage, 0.25, 0.045, 40},
	{Percentage, 0.50, 0.03, 40},
	{Full, 1, 0.05, 40},
}

const (
	maxWarmUtilization = 0.75             // of the candidate's warm slots, for the requests that it would get
	minWarmShare       = 0.8              // of the other version's slots, times the weight, that must be warm where the load is 0
	minEndedShare      = 0.5              // of the candidate's requests must have ended before the next step
	minReportingShare  = 0.8              // of the gateways must have reported
	maxWaitFactor      = 4                // multiple of its minimum duration that a step waits at most for responses
	maxMinDuration     = 60 * time.Second // upper bound of the minimum duration of a step
)

// stepIndex returns the index in steps of a plan's stage and weight.
func (p *Plan) stepIndex() int {
	for i, s := range steps {
		if s.stage == p.Stage && s.weight == p.Weight {
			return i
		}
	}
	return 0
}

// Next returns the next state of a plan, or nil while the conditions for leaving the current
// one are not met.
func Next(plan *Plan, view View) *Plan {
	if plan.Final() {
		return nil
	}
	if reason := reversalReason(view); reason != "" {
		return plan.reverse(reason, view.Age)
	}
	current := steps[plan.stepIndex()]
	// The minimum has an upper bound, since an order may allow days. The published design
	// has steps of hours, in which people inspect the candidate; here they inspect the status.
	minDuration := min(time.Duration(current.minDurationShare*float64(plan.Within)), maxMinDuration)
	if view.SinceRecord < minDuration || view.LiveGateways == 0 || float64(view.ReportingGateways) < minReportingShare*float64(view.LiveGateways) {
		return nil
	}
	candidate := view.Sums.All()[Candidate]
	if current.weight > 0 && view.SinceRecord < maxWaitFactor*minDuration {
		if candidate.Ended < current.minResponses || float64(candidate.Ended) < minEndedShare*float64(candidate.Begun) {
			return nil
		}
	}
	next := *plan
	next.Age = view.Age
	if current.stage == Full {
		// The prior version may be stopped once the rollout is complete, so no request to it may be in flight.
		if view.ReportingGateways < view.LiveGateways || view.OtherInFlight > 0 {
			if view.StoppedGateways > 0 && view.SinceRecord > 2*minDuration {
				return &next // a new generation of the same step clears a stop by one gateway that the sums do not confirm
			}
			return nil
		}
		next.Stage = Complete
		return &next
	}
	target := steps[plan.stepIndex()+1]
	if !hasCapacity(target, view) {
		return nil
	}
	next.Stage, next.Weight = target.stage, target.weight
	return &next
}

// hasCapacity reports whether the candidate's upstreams can serve the weight of a step.
func hasCapacity(target step, view View) bool {
	switch {
	case view.Slots <= 0:
		return false
	case target.stage == Canary:
		return true // cold upstreams are rate-limited; requests beyond that go to the prior version
	case target.weight*view.Load > maxWarmUtilization*view.WarmSlots:
		return false
	}
	return view.Load > 0 || view.WarmSlots >= minWarmShare*target.weight*view.StandingSlots
}

// reversalReason returns the reason to reverse a rollout; empty: there is none.
func reversalReason(view View) string {
	if reason := Overall.Judge(view.Sums, view.Baseline); reason != "" {
		return reason
	}
	// A single gateway may misjudge a candidate, so two must have stopped it, or one if it is the only one.
	if view.StoppedGateways >= min(2, view.LiveGateways) && view.StoppedGateways > 0 {
		return fmt.Sprintf("%d nodes have stopped it: %s", view.StoppedGateways, view.StopReason)
	}
	return ""
}

// Gathered is the sum of the reports of several gateways on one rollout.
type Gathered struct {
	Report
	OtherInFlightByGateway map[string]int `cbor:"6,keyasint,omitempty"` // by gateway: requests in flight to other versions
	StoppedGateways        int            `cbor:"7,keyasint,omitempty"` // gateways that have stopped the candidate by themselves
}

// Gather adds up the reports, by gateway, on one generation of a plan.
func Gather(service string, gen uint64, reports map[string]Report) Gathered {
	gathered := Gathered{Report: Report{Service: service, Gen: gen, Sums: Sums{}}, OtherInFlightByGateway: map[string]int{}}
	for node, r := range reports {
		if r.Gen != gen {
			continue
		}
		gathered.Sums.Add(r.Sums)
		gathered.OtherInFlightByGateway[node] = r.OtherInFlight
		if r.StopReason != "" {
			gathered.StopReason = r.StopReason
			gathered.StoppedGateways++
		}
	}
	return gathered
}

// Add adds the reports of other gateways that another control node has gathered.
func (g *Gathered) Add(other Gathered) {
	g.Sums.Add(other.Sums)
	g.StoppedGateways += other.StoppedGateways
	if g.StopReason == "" {
		g.StopReason = other.StopReason
	}
	maps.Copy(g.OtherInFlightByGateway, other.OtherInFlightByGateway)
}
