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
	self string
	// silence is for how long a candidate may be given more without word that there
	// is a controller.
	silence time.Duration

	mu    sync.Mutex
	now   func() time.Duration
	heard time.Duration
	by    map[string]*split
}

// split is the splitting of one service's requests.
type split struct {
	plan  *Plan              // nil: none under way
	order uint64             // the newest order seen
	steps map[string]float64 // by stratum: how far it is to the candidate's next request
	sums  Sums               // of the plan's present record
	base  Sums               // of the record before
	brake string             // why this node gives the candidate nothing; empty: it does
	open  map[*Sample]struct{}
}

// NewArms makes the arms of a node; now tells its steady time.
func NewArms(self string, silence time.Duration, now func() time.Duration) *Arms {
	return &Arms{self: self, silence: silence, now: now, by: map[string]*split{}}
}

func (a *Arms) split(service string) *split {
	s := a.by[service]
	if s == nil {
		s = &split{steps: map[string]float64{}, sums: Sums{}, base: Sums{}, open: map[*Sample]struct{}{}}
		a.by[service] = s
	}
	return s
}

// Set takes the plans that stand.
func (a *Arms) Set(services map[string]Service) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, v := range services {
		if v.Plan == nil {
			continue
		}
		s := a.split(name)
		if s.plan != nil && v.Plan.Gen <= s.plan.Gen {
			continue
		}
		if v.Plan.Order != s.order {
			s.order, s.base, s.sums, s.brake = v.Plan.Order, Sums{}, Sums{}, ""
			s.steps = map[string]float64{}
		}
		// Each stage asks its own question of answers that it got itself. What it is
		// compared with may be older where the prior version gets nothing any more.
		if all := s.sums.All(); all[Prior].Ended > 0 {
			s.base = s.sums
		}
		s.sums, s.brake = Sums{}, ""
		s.plan = v.Plan
	}
}

// Heard notes word that every rollout under way has a controller.
func (a *Arms) Heard() {
	a.mu.Lock()
	a.heard = a.now()
	a.mu.Unlock()
}

// Whole says that a candidate gets all requests of a service, so that there is no
// other arm to turn to.
func (a *Arms) Whole(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.split(service).plan
	return p == nil || p.Weight >= 1
}

// Sample is one sending of a request.
type Sample struct {
	a       *Arms
	s       *split
	order   uint64
	gen     uint64
	arm     Arm
	version string
	bucket  uint8
	aim     time.Duration
	sent    time.Duration // 0: not yet
	cold    bool
	scored  bool
}

// Begin chooses an arm for a request and notes it as under way. The choice is
// systematic within each stratum, so that every stratum gives the candidate its
// share and no more. prior asks for the prior arm whatever the weight, as a further
// try does, as long as that arm has a weight at all.
func (a *Arms) Begin(service, stratum string, aim time.Duration, prior bool) *Sample {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.split(service)
	x := &Sample{a: a, s: s, aim: aim}
	s.open[x] = struct{}{}
	p := s.plan
	if p == nil || p.Final() {
		return x
	}
	x.order, x.gen, x.bucket = s.order, p.Gen, bucket(stratum)
	if a.wants(s, stratum, prior) {
		x.arm, x.version = Candidate, p.Candidate
	}
	pair := s.sums[x.bucket]
	pair[x.arm].Begun++
	s.sums[x.bucket] = pair
	return x
}

func (a *Arms) wants(s *split, stratum string, prior bool) bool {
	w := s.plan.Weight
	switch {
	case w <= 0 || s.brake != "":
		return false
	case w >= 1:
		return true
	case prior || a.now()-a.heard > a.silence:
		return false
	}
	at, known := s.steps[stratum]
	if !known {
		if len(s.steps) >= stratumMost {
			stratum = ""
			at, known = s.steps[stratum]
		}
		if !known {
			at = a.phase(stratum) // so that the nodes' first requests do not all go the same way
		}
	}
	at += w
	yes := at >= 1
	if yes {
		at--
	}
	s.steps[stratum] = at
	return yes
}

// stratumMost bounds the strata that a node counts one by one.
const stratumMost = 4096

func (a *Arms) phase(stratum string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.self + "\x00" + stratum))
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
	x.a.mu.Lock()
	x.sent, x.cold = max(1, x.a.now()), cold
	x.a.mu.Unlock()
}

// Score notes how the sending went, though a large answer may still be on its way. It
// counts once.
func (x *Sample) Score(how Outcome) {
	x.a.mu.Lock()
	defer x.a.mu.Unlock()
	x.score(how)
}

// End notes that nothing of the sending is under way any more, and how it went, if that
// has not been said.
func (x *Sample) End(how Outcome) {
	x.a.mu.Lock()
	defer x.a.mu.Unlock()
	delete(x.s.open, x)
	x.score(how)
}

func (x *Sample) score(how Outcome) {
	a, s := x.a, x.s
	if x.scored {
		return
	}
	x.scored = true
	p := s.plan
	if p == nil || p.Final() || x.order != s.order || x.order == 0 {
		return
	}
	pair := s.sums[x.bucket]
	c := &pair[x.arm]
	if x.gen != p.Gen {
		c.Begun++ // begun at another weight; it counts where it ends
	}
	if how == Unscored || x.sent == 0 {
		c.Begun--
	} else {
		c.note(how, a.now()-x.sent, x.aim, x.cold)
	}
	s.sums[x.bucket] = pair
	if x.arm == Candidate && how != Passed {
		s.look(a.now())
	}
}

// seen is the sums with the requests that have been under way for long, as if they
// had ended now: a version that sits on requests is not to be excused by that.
func (s *split) seen(now time.Duration) Sums {
	out := Sums{}
	out.Add(s.sums)
	for x := range s.open {
		if x.scored || x.order != s.order || x.order == 0 || x.sent == 0 || x.cold || now-x.sent < x.aim/2 {
			continue
		}
		pair := out[x.bucket]
		pair[x.arm].time(now-x.sent, x.aim)
		out[x.bucket] = pair
	}
	return out
}

// look puts the brake on if the candidate is bad as this node sees it.
func (s *split) look(now time.Duration) {
	if s.brake == "" {
		s.brake = Local.Judge(s.seen(now), s.base)
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
	for _, s := range a.by {
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
	now := a.now()
	for _, name := range slices.Sorted(maps.Keys(a.by)) {
		s := a.by[name]
		if s.plan == nil || s.plan.Final() {
			continue
		}
		s.look(now)
		r := Report{Service: name, Gen: s.plan.Gen, Sums: s.seen(now), Brake: s.brake}
		for x := range s.open {
			if x.arm != Candidate || x.order != s.order {
				r.Busy++
			}
		}
		out = append(out, r)
	}
	return out
}

// Percent is a share as people read it.
func Percent(share float64) float64 { return math.Round(share*1000) / 10 }
