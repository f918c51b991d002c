package rollout

import (
	"fmt"
	"maps"
	"time"
)

// View is what a controller knows when it looks at its rollout.
type View struct {
	Age   time.Duration // of the order
	Stage time.Duration // since the present record was written
	// Sums of the nodes that have the present record in force, and of the record
	// before.
	Sums, Base Sums
	// Live nodes carry traffic; Heard of them have told that the present record is in
	// force there, Busy requests under way there go to another version, and Braked
	// have put their own brake on.
	Live, Heard, Busy, Braked int
	Brake                     string
	// Slots of the candidate's upstreams that are warm, of all of them, and of the
	// version that stands; Load is how many requests the service has under way.
	Warm, Slots, Standing float64
	Load                  float64
	// ExposureShare is the part of the requests of the order's time that a bad version
	// may get.
	ExposureShare float64
}

// A step is what the weight is, and the part of the order's time that it is kept at
// least. The weights are the paper's. So that a candidate that turns bad at any step has
// had less than its share of requests when it is stopped, weight x time has to stay
// well below exposureShare until the weight is full.
type step struct {
	stage  Stage
	weight float64
	minDurationShare   float64
	minAnswers uint64 // answers of the candidate to be seen
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
	maxWarmUtilization       = 0.75 // of a candidate's warm slots may be filled
	minWarmShare     = 0.8  // a candidate with so much of the slots of what stands may be full whatever the load
	minEndedShare   = 0.5  // of the candidate's requests must have ended before it is promoted
	minReportingShare  = 0.8  // of the nodes must have told
	maxWaitFactor = 4    // a step lasts no longer than so many times its part for want of answers
	maxMinDuration    = 60 * time.Second
)

// Step is the number of the stepIndex that a plan has reached.
func (p *Plan) stepIndex() int {
	for i, s := range steps {
		if s.stage == p.Stage && s.weight == p.Weight {
			return i
		}
	}
	return 0
}

// Next is the gate: it gives the next record of a plan, or nil as long as the present
// one stays.
func Next(plan *Plan, view View) *Plan {
	if plan.Final() {
		return nil
	}
	if reason := reversalReason(view); reason != "" {
		return plan.reverse(reason, view.Age)
	}
	current := steps[plan.stepIndex()]
	// A step of a rollout that may take days is not kept for a part of days: the
	// paper's hours are for people to look, and people look at the status.
	minDuration := min(time.Duration(current.minDurationShare*float64(plan.Within)), maxMinDuration)
	if view.Stage < minDuration || view.Live == 0 || float64(view.Heard) < minReportingShare*float64(view.Live) {
		return nil
	}
	candidate := view.Sums.All()[Candidate]
	if current.weight > 0 && view.Stage < maxWaitFactor*minDuration {
		if candidate.Ended < current.minAnswers || float64(candidate.Ended) < minEndedShare*float64(candidate.Begun) {
			return nil
		}
	}
	next := *plan
	next.Age = view.Age
	if current.stage == Full {
		// Nothing may be on its way to the prior version any more: it stops at once.
		if view.Heard < view.Live || view.Busy > 0 {
			if view.Braked > 0 && view.Stage > 2*minDuration {
				return &next // the record again: a single brake that nothing bears out is let go
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

// hasCapacity says whether the candidate can bear a weight.
func hasCapacity(target step, view View) bool {
	switch {
	case view.Slots <= 0:
		return false
	case target.stage == Canary:
		return true // cold upstreams are paced; what they cannot take goes to the prior version
	case target.weight*view.Load > maxWarmUtilization*view.Warm:
		return false
	}
	return view.Load > 0 || view.Warm >= minWarmShare*target.weight*view.Standing
}

// reversalReason says why a rollout is to be reversed; empty: it is not.
func reversalReason(view View) string {
	if reason := Overall.Judge(view.Sums, view.Base); reason != "" {
		return reason
	}
	// One node may be wrong about a candidate, two are not.
	if view.Braked >= min(2, view.Live) && view.Braked > 0 {
		return fmt.Sprintf("%d nodes have stopped it: %s", view.Braked, view.Brake)
	}
	return ""
}

// Gathered puts together what has been heard of one rollout.
type Gathered struct {
	Report
	Nodes  map[string]int `cbor:"6,keyasint,omitempty"` // node -> requests at another version
	Braked int            `cbor:"7,keyasint,omitempty"` // nodes with their brake on
}

// Gather adds up reports on one version of a plan.
func Gather(service string, gen uint64, reports map[string]Report) Gathered {
	gathered := Gathered{Report: Report{Service: service, Gen: gen, Sums: Sums{}}, Nodes: map[string]int{}}
	for node, r := range reports {
		if r.Gen != gen {
			continue
		}
		gathered.Sums.Add(r.Sums)
		gathered.Nodes[node] = r.Busy
		if r.Brake != "" {
			gathered.Brake = r.Brake
			gathered.Braked++
		}
	}
	return gathered
}

// Add adds what another has gathered of other nodes.
func (g *Gathered) Add(other Gathered) {
	g.Sums.Add(other.Sums)
	g.Braked += other.Braked
	if g.Brake == "" {
		g.Brake = other.Brake
	}
	maps.Copy(g.Nodes, other.Nodes)
}
