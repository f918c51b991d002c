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
	part   float64
	answer uint64 // answers of the candidate to be seen
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
	room       = 0.75 // of a candidate's warm slots may be filled
	roomOf     = 0.8  // a candidate with so much of the slots of what stands may be full whatever the load
	hasEnded   = 0.5  // of the candidate's requests must have ended before it is promoted
	heardPart  = 0.8  // of the nodes must have told
	quietTimes = 4    // a step lasts no longer than so many times its part for want of answers
	longest    = 60 * time.Second
)

// Step is the number of the step that a plan has reached.
func (p *Plan) step() int {
	for i, s := range steps {
		if s.stage == p.Stage && s.weight == p.Weight {
			return i
		}
	}
	return 0
}

// Next is the gate: it gives the next record of a plan, or nil as long as the present
// one stays.
func Next(p *Plan, v View) *Plan {
	if p.Final() {
		return nil
	}
	if why := verdict(v); why != "" {
		return p.reverse(why, v.Age)
	}
	s := steps[p.step()]
	// A step of a rollout that may take days is not kept for a part of days: the
	// paper's hours are for people to look, and people look at the status.
	least := min(time.Duration(s.part*float64(p.Within)), longest)
	if v.Stage < least || v.Live == 0 || float64(v.Heard) < heardPart*float64(v.Live) {
		return nil
	}
	cand := v.Sums.All()[Candidate]
	if s.weight > 0 && v.Stage < quietTimes*least {
		if cand.Ended < s.answer || float64(cand.Ended) < hasEnded*float64(cand.Begun) {
			return nil
		}
	}
	next := *p
	next.Age = v.Age
	if s.stage == Full {
		// Nothing may be on its way to the prior version any more: it stops at once.
		if v.Heard < v.Live || v.Busy > 0 {
			if v.Braked > 0 && v.Stage > 2*least {
				return &next // the record again: a single brake that nothing bears out is let go
			}
			return nil
		}
		next.Stage = Complete
		return &next
	}
	to := steps[p.step()+1]
	if !fits(to, v) {
		return nil
	}
	next.Stage, next.Weight = to.stage, to.weight
	return &next
}

// fits says whether the candidate can bear a weight.
func fits(to step, v View) bool {
	switch {
	case v.Slots <= 0:
		return false
	case to.stage == Canary:
		return true // cold upstreams are paced; what they cannot take goes to the prior version
	case to.weight*v.Load > room*v.Warm:
		return false
	}
	return v.Load > 0 || v.Warm >= roomOf*to.weight*v.Standing
}

// verdict says why a rollout is to be reversed; empty: it is not.
func verdict(v View) string {
	if why := Overall.Judge(v.Sums, v.Base); why != "" {
		return why
	}
	// One node may be wrong about a candidate, two are not.
	if v.Braked >= min(2, v.Live) && v.Braked > 0 {
		return fmt.Sprintf("%d nodes have stopped it: %s", v.Braked, v.Brake)
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
	g := Gathered{Report: Report{Service: service, Gen: gen, Sums: Sums{}}, Nodes: map[string]int{}}
	for node, r := range reports {
		if r.Gen != gen {
			continue
		}
		g.Sums.Add(r.Sums)
		g.Nodes[node] = r.Busy
		if r.Brake != "" {
			g.Brake = r.Brake
			g.Braked++
		}
	}
	return g
}

// Add adds what another has gathered of other nodes.
func (g *Gathered) Add(o Gathered) {
	g.Sums.Add(o.Sums)
	g.Braked += o.Braked
	if g.Brake == "" {
		g.Brake = o.Brake
	}
	maps.Copy(g.Nodes, o.Nodes)
}
