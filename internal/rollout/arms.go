package rollout

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Arms is a node's part in rollouts: it chooses an arm for each request, scores the
// answers, and has a brake of its own.
type Arms struct {
	nodeID string
	// controllerTimeout is for how long a candidate may be given more without word that there
	// is a controller.
	controllerTimeout time.Duration

	mu    sync.Mutex
	clock   func() time.Duration
	controllerSeenAt time.Duration
	splits    map[string]*serviceSplit
}

// serviceSplit is the splitting of one service's requests.
type serviceSplit struct {
	plan  *Plan              // nil: none under way
	order uint64             // the newest order seen
	accumulated map[string]float64 // by stratum: how far it is to the candidate's next request
	sums  Sums               // of the plan's present record
	baseline  Sums               // of the record before
	stopReason string             // why this node gives the candidate nothing; empty: it does
	inFlight  map[*Sample]struct{}
}

// NewArms makes the arms of a node; now tells its steady time.
func NewArms(nodeID string, controllerTimeout time.Duration, clock func() time.Duration) *Arms {
	return &Arms{nodeID: nodeID, controllerTimeout: controllerTimeout, clock: clock, splits: map[string]*serviceSplit{}}
}

func (a *Arms) splitFor(service string) *serviceSplit {
	split := a.splits[service]
	if split == nil {
		split = &serviceSplit{accumulated: map[string]float64{}, sums: Sums{}, baseline: Sums{}, inFlight: map[*Sample]struct{}{}}
		a.splits[service] = split
	}
	return split
}

// Set takes the plans that stand.
func (a *Arms) Set(services map[string]Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, service := range services {
		if service.Plan == nil {
			continue
		}
		split := a.splitFor(name)
		if split.plan != nil && service.Plan.Gen <= split.plan.Gen {
			continue
		}
		if service.Plan.Order != split.order {
			split.order, split.baseline, split.sums, split.stopReason = service.Plan.Order, Sums{}, Sums{}, ""
			split.accumulated = map[string]float64{}
		}
		// Each stage asks its own question of answers that it got itself. What it is
		// compared with may be older where the prior version gets nothing any more.
		if all := split.sums.All(); all[Prior].Ended > 0 {
			split.baseline = split.sums
		}
		split.sums, split.stopReason = Sums{}, ""
		split.plan = service.Plan
	}
}

// Heard notes word that every rollout under way has a controller.
func (a *Arms) Heard() {
	a.mu.Lock()
	a.controllerSeenAt = a.clock()
	a.mu.Unlock()
}

// Whole says that a candidate gets all requests of a service, so that there is no
// other arm to turn to.
func (a *Arms) Whole(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.splitFor(service).plan
	return p == nil || p.Weight >= 1
}

// Sample is one sending of a request.
type Sample struct {
	arms       *Arms
	split       *serviceSplit
	order   uint64
	generation     uint64
	arm     Arm
	version string
	bucket  uint8
	latencyTarget     time.Duration
	sentAt    time.Duration // 0: not yet
	cold    bool
	scored  bool
}

// Begin chooses an arm for a request and notes it as under way. The choice is
// systematic within each stratum, so that every stratum gives the candidate its
// share and no more. prior asks for the prior arm whatever the weight, as a further
// try does, as long as that arm has a weight at all.
func (a *Arms) Begin(service, stratum string, latencyTarget time.Duration, preferPrior bool) *Sample {
	a.mu.Lock()
	defer a.mu.Unlock()
	split := a.splitFor(service)
	sample := &Sample{arms: a, split: split, latencyTarget: latencyTarget}
	split.inFlight[sample] = struct{}{}
	plan := split.plan
	if plan == nil || plan.Final() {
		return sample
	}
	sample.order, sample.generation, sample.bucket = split.order, plan.Gen, bucketOf(stratum)
	if a.chooseCandidate(split, stratum, preferPrior) {
		sample.arm, sample.version = Candidate, plan.Candidate
	}
	pair := split.sums[sample.bucket]
	pair[sample.arm].Begun++
	split.sums[sample.bucket] = pair
	return sample
}

func (a *Arms) chooseCandidate(split *serviceSplit, stratum string, preferPrior bool) bool {
	weight := split.plan.Weight
	switch {
	case weight <= 0 || split.stopReason != "":
		return false
	case weight >= 1:
		return true
	case preferPrior || a.clock()-a.controllerSeenAt > a.controllerTimeout:
		return false
	}
	accumulated, known := split.accumulated[stratum]
	if !known {
		if len(split.accumulated) >= maxStrata {
			stratum = ""
			accumulated, known = split.accumulated[stratum]
		}
		if !known {
			accumulated = a.initialAccumulated(stratum) // so that the nodes' first requests do not all go the same way
		}
	}
	accumulated += weight
	candidate := accumulated >= 1
	if candidate {
		accumulated--
	}
	split.accumulated[stratum] = accumulated
	return candidate
}

// maxStrata bounds the strata that a node counts one by one.
const maxStrata = 4096

func (a *Arms) initialAccumulated(stratum string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.nodeID + "\x00" + stratum))
	v := h.Sum64() * 0x9e3779b97f4a7c15
	return float64(v>>11) / (1 << 53)
}

// Version is what the request is to be sent to; empty: the version that stands.
func (x *Sample) Version() string { return x.version }

// Candidate says whether the request goes to a candidate beside which a prior
// version still serves.
func (x *Sample) Candidate() bool { return x.arm == Candidate }

// Sent notes that the request has been given an upstream.
func (x *Sample) Sent(cold bool) {
	x.arms.mu.Lock()
	x.sentAt, x.cold = max(1, x.arms.clock()), cold
	x.arms.mu.Unlock()
}

// Score notes how the sending went, though a large answer may still be on its way. It
// counts once.
func (x *Sample) Score(outcome Outcome) {
	x.arms.mu.Lock()
	defer x.arms.mu.Unlock()
	x.score(outcome)
}

// End notes that nothing of the sending is under way any more, and how it went, if that
// has not been said.
func (x *Sample) End(outcome Outcome) {
	x.arms.mu.Lock()
	defer x.arms.mu.Unlock()
	delete(x.split.inFlight, x)
	x.score(outcome)
}

func (x *Sample) score(outcome Outcome) {
	a, split := x.arms, x.split
	if x.scored {
		return
	}
	x.scored = true
	plan := split.plan
	if plan == nil || plan.Final() || x.order != split.order || x.order == 0 {
		return
	}
	pair := split.sums[x.bucket]
	cell := &pair[x.arm]
	if x.generation != plan.Gen {
		cell.Begun++ // begun at another weight; it counts where it ends
	}
	if outcome == Unscored || x.sentAt == 0 {
		cell.Begun--
	} else {
		cell.record(outcome, a.clock()-x.sentAt, x.latencyTarget, x.cold)
	}
	split.sums[x.bucket] = pair
	if x.arm == Candidate && outcome != Passed {
		split.judgeCandidate(a.clock())
	}
}

// sumsWithInFlight is the sums with the requests that have been under way for long, as if they
// had ended now: a version that sits on requests is not to be excused by that.
func (s *serviceSplit) sumsWithInFlight(now time.Duration) Sums {
	sums := Sums{}
	sums.Add(s.sums)
	for sample := range s.inFlight {
		if sample.scored || sample.order != s.order || sample.order == 0 || sample.sentAt == 0 || sample.cold || now-sample.sentAt < sample.latencyTarget/2 {
			continue
		}
		pair := sums[sample.bucket]
		pair[sample.arm].recordLatency(now-sample.sentAt, sample.latencyTarget)
		sums[sample.bucket] = pair
	}
	return sums
}

// judgeCandidate puts the brake on if the candidate is bad as this node sees it.
func (s *serviceSplit) judgeCandidate(now time.Duration) {
	if s.stopReason == "" {
		s.stopReason = Local.Judge(s.sumsWithInFlight(now), s.baseline)
	}
}

// Report is what a node has seen of one rollout under one version of its plan.
type Report struct {
	Service string `cbor:"1,keyasint"`
	Gen     uint64 `cbor:"2,keyasint"`
	Sums    Sums   `cbor:"3,keyasint,omitempty"`
	// Busy is how many requests this node has at anything but the candidate.
	Busy  int    `cbor:"4,keyasint,omitempty"`
	Brake string `cbor:"5,keyasint,omitempty"`
}

// Active says whether a rollout is under way.
func (a *Arms) Active() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.splits {
		if s.plan != nil && !s.plan.Final() {
			return true
		}
	}
	return false
}

// Reports are those of all rollouts under way.
func (a *Arms) Reports() (out []Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	for _, name := range slices.Sorted(maps.Keys(a.splits)) {
		split := a.splits[name]
		if split.plan == nil || split.plan.Final() {
			continue
		}
		split.judgeCandidate(now)
		report := Report{Service: name, Gen: split.plan.Gen, Sums: split.sumsWithInFlight(now), Brake: split.stopReason}
		for sample := range split.inFlight {
			if sample.arm != Candidate || sample.order != split.order {
				report.Busy++
			}
		}
		out = append(out, report)
	}
	return out
}

// Percent is a share as people read it.
func Percent(share float64) float64 { return math.Round(share*1000) / 10 }
