package rollout

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Splitter divides a gateway's requests between the arms of rollouts. It chooses the arm of each
// request, scores the responses, and stops sending requests to a candidate whose responses at this
// gateway are bad.
type Splitter struct {
	nodeID string
	// controllerTimeout is how long a candidate keeps getting requests after the last
	// notice that every rollout has a controller.
	controllerTimeout time.Duration

	mu               sync.Mutex
	clock            func() time.Duration
	controllerSeenAt time.Duration
	splits           map[string]*serviceSplit
}

// serviceSplit divides the requests of one service between the arms.
type serviceSplit struct {
	plan        *Plan              // nil: the service has had no rollout
	order       uint64             // the newest rollout seen, by Plan.Order
	accumulated map[string]float64 // by stratum: weight since the candidate's last request; at 1 it gets the next
	sums        Sums               // of the plan's current generation
	baseline    Sums               // of an earlier generation, for comparison where the prior arm gets no requests
	stopReason  string             // why this gateway sends the candidate no requests; empty: it does send them
	inFlight    map[*Sample]struct{}
}

// NewSplitter creates the state of a gateway without rollouts. clock is a monotonic clock.
func NewSplitter(nodeID string, controllerTimeout time.Duration, clock func() time.Duration) *Splitter {
	return &Splitter{nodeID: nodeID, controllerTimeout: controllerTimeout, clock: clock, splits: map[string]*serviceSplit{}}
}

func (sp *Splitter) splitFor(service string) *serviceSplit {
	split := sp.splits[service]
	if split == nil {
		split = &serviceSplit{accumulated: map[string]float64{}, sums: Sums{}, baseline: Sums{}, inFlight: map[*Sample]struct{}{}}
		sp.splits[service] = split
	}
	return split
}

// SetPlans applies the newest plans. A plan that is no newer than the known one is ignored.
func (sp *Splitter) SetPlans(services map[string]Service) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	for name, service := range services {
		if service.Plan == nil {
			continue
		}
		split := sp.splitFor(name)
		if split.plan != nil && service.Plan.Generation <= split.plan.Generation {
			continue
		}
		if service.Plan.Order != split.order {
			split.order, split.baseline, split.sums, split.stopReason = service.Plan.Order, Sums{}, Sums{}, ""
			split.accumulated = map[string]float64{}
		}
		// Each stage is judged by the candidate's responses in that stage alone. The sums
		// of the prior arm may be older if it no longer gets requests.
		if all := split.sums.All(); all[Prior].Ended > 0 {
			split.baseline = split.sums
		}
		split.sums, split.stopReason = Sums{}, ""
		split.plan = service.Plan
	}
}

// ControllerSeen records a notice that every active rollout has a controller.
func (sp *Splitter) ControllerSeen() {
	sp.mu.Lock()
	sp.controllerSeenAt = sp.clock()
	sp.mu.Unlock()
}

// SingleArm reports whether all requests of a service go to one arm, so that a retry cannot
// use the other: the candidate has full weight, or the service has had no rollout.
func (sp *Splitter) SingleArm(service string) bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	plan := sp.splitFor(service).plan
	return plan == nil || plan.Weight >= 1
}

// Sample is one attempt to send a request to an upstream.
type Sample struct {
	splitter      *Splitter
	split         *serviceSplit
	order         uint64
	generation    uint64
	arm           Arm
	version       string
	bucket        uint8
	latencyTarget time.Duration
	sentAt        time.Duration // 0: not sent yet
	cold          bool
	scored        bool
}

// Begin chooses an arm for a request and counts it as in flight. Within each stratum the
// requests for the candidate are evenly spaced, not a random sample, so that each stratum
// sends its share and no more. With preferPrior, which retries set, the request goes to the
// prior arm unless the candidate has full weight.
func (sp *Splitter) Begin(service, stratum string, latencyTarget time.Duration, preferPrior bool) *Sample {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	split := sp.splitFor(service)
	sample := &Sample{splitter: sp, split: split, latencyTarget: latencyTarget}
	split.inFlight[sample] = struct{}{}
	plan := split.plan
	if plan == nil || plan.Final() {
		return sample
	}
	sample.order, sample.generation, sample.bucket = split.order, plan.Generation, bucketOf(stratum)
	if sp.chooseCandidate(split, stratum, preferPrior) {
		sample.arm, sample.version = Candidate, plan.Candidate
	}
	pair := split.sums[sample.bucket]
	pair[sample.arm].Begun++
	split.sums[sample.bucket] = pair
	return sample
}

func (sp *Splitter) chooseCandidate(split *serviceSplit, stratum string, preferPrior bool) bool {
	weight := split.plan.Weight
	switch {
	case weight <= 0 || split.stopReason != "":
		return false
	case weight >= 1:
		return true
	case preferPrior || sp.clock()-sp.controllerSeenAt > sp.controllerTimeout:
		return false
	}
	accumulated, known := split.accumulated[stratum]
	if !known {
		if len(split.accumulated) >= maxStrata {
			stratum = ""
			accumulated, known = split.accumulated[stratum]
		}
		if !known {
			accumulated = sp.initialAccumulated(stratum) // so that the gateways' first requests do not all go to the same arm
		}
	}
	accumulated += weight
	toCandidate := accumulated >= 1
	if toCandidate {
		accumulated--
	}
	split.accumulated[stratum] = accumulated
	return toCandidate
}

// maxStrata bounds the strata of a service that are split separately; all others are split
// together.
const maxStrata = 4096

// initialAccumulated returns a hash of the node and the stratum, as a number from 0 to below 1.
func (sp *Splitter) initialAccumulated(stratum string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(sp.nodeID + "\x00" + stratum))
	v := h.Sum64() * 0x9e3779b97f4a7c15
	return float64(v>>11) / (1 << 53)
}

// Version returns the version to which the request must be sent; empty: the standing version.
func (s *Sample) Version() string { return s.version }

// Candidate reports whether the request goes to the candidate of an active rollout.
func (s *Sample) Candidate() bool { return s.arm == Candidate }

// Sent records that the request has been assigned to an upstream, and whether that is cold
// (still warming up).
func (s *Sample) Sent(cold bool) {
	s.splitter.mu.Lock()
	s.sentAt, s.cold = max(1, s.splitter.clock()), cold
	s.splitter.mu.Unlock()
}

// Score records the outcome of an attempt whose response may still be in progress. Only the
// first outcome of an attempt counts.
func (s *Sample) Score(outcome Outcome) {
	s.splitter.mu.Lock()
	defer s.splitter.mu.Unlock()
	s.score(outcome)
}

// End records that an attempt is no longer in flight, and its outcome unless Score has
// recorded one.
func (s *Sample) End(outcome Outcome) {
	s.splitter.mu.Lock()
	defer s.splitter.mu.Unlock()
	delete(s.split.inFlight, s)
	s.score(outcome)
}

func (s *Sample) score(outcome Outcome) {
	a, split := s.splitter, s.split
	if s.scored {
		return
	}
	s.scored = true
	plan := split.plan
	if plan == nil || plan.Final() || s.order != split.order || s.order == 0 {
		return
	}
	pair := split.sums[s.bucket]
	cell := &pair[s.arm]
	if s.generation != plan.Generation {
		cell.Begun++ // begun under an older generation; a request counts for the one in which it ends
	}
	if outcome == Unscored || s.sentAt == 0 {
		cell.Begun--
	} else {
		cell.record(outcome, a.clock()-s.sentAt, s.latencyTarget, s.cold)
	}
	split.sums[s.bucket] = pair
	if s.arm == Candidate && outcome != Passed {
		split.judgeCandidate(a.clock())
	}
}

// sumsWithInFlight returns the sums, including the latencies of requests that have been in flight
// for half their latency target or longer, as if they ended now. A version that never responds
// would otherwise not be judged by these requests.
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

// judgeCandidate stops the candidate on this gateway if its responses here are bad.
func (s *serviceSplit) judgeCandidate(now time.Duration) {
	if s.stopReason == "" {
		s.stopReason = Local.Judge(s.sumsWithInFlight(now), s.baseline)
	}
}

// Report is what a gateway has measured of one rollout under one generation of its plan.
type Report struct {
	Service string `cbor:"1,keyasint"`
	Gen     uint64 `cbor:"2,keyasint"`
	Sums    Sums   `cbor:"3,keyasint,omitempty"`
	// OtherInFlight is the number of requests in flight here to any version but the candidate.
	OtherInFlight int    `cbor:"4,keyasint,omitempty"`
	StopReason    string `cbor:"5,keyasint,omitempty"` // why this gateway has stopped the candidate; empty: it has not
}

// Active reports whether any rollout is active.
func (sp *Splitter) Active() bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	for _, split := range sp.splits {
		if split.plan != nil && !split.plan.Final() {
			return true
		}
	}
	return false
}

// Reports returns the reports on all active rollouts, by name of service.
func (sp *Splitter) Reports() (out []Report) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	now := sp.clock()
	for _, name := range slices.Sorted(maps.Keys(sp.splits)) {
		split := sp.splits[name]
		if split.plan == nil || split.plan.Final() {
			continue
		}
		split.judgeCandidate(now)
		report := Report{Service: name, Gen: split.plan.Generation, Sums: split.sumsWithInFlight(now), StopReason: split.stopReason}
		for sample := range split.inFlight {
			if sample.arm != Candidate || sample.order != split.order {
				report.OtherInFlight++
			}
		}
		out = append(out, report)
	}
	return out
}

// Percent returns a share as a percentage with one decimal.
func Percent(share float64) float64 { return math.Round(share*1000) / 10 }
