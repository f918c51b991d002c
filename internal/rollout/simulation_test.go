package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// simulation runs a rollout with the real state machines: the Arms of many gateways, and the
// controllers of three control nodes, of which one at a time owns the key.
type simulation struct {
	t                  *testing.T
	rng                *rand.Rand
	now                time.Duration
	gateways           []*simGateway
	controllers        []*Controller
	shownRecords       [][]Record // by controller: the records that its control node has seen
	owner              int        // index of the controller that owns the key; -1: none
	frozen             int        // index of the controller whose process is frozen; -1: none
	records            map[string]Record
	capacity           View // slots and load of the upstreams
	candidateKind      string
	errorShare         float64 // of the candidate's requests
	commonErrorShare   float64 // of the requests of both versions
	events             map[time.Duration][]func()
	requestsByVersion  map[string]int
	badAnswersAt       []time.Duration
	candidateRequests  []candidateRequest
	plans              []Plan
	freezeInTransition bool
	heldTransition     *Move // decided on by the frozen owner, not committed yet
}

type candidateRequest struct {
	at      time.Duration
	gateway int
}

type simGateway struct {
	id           string
	arms         *Arms
	disconnected bool
	generation   uint64
	requestsDue  float64
	// priorInFlight is the number of its requests in flight to the prior version.
	priorInFlight int
}

const (
	tickInterval      = 20 * time.Millisecond
	testGateways      = 24
	gatewayRate       = 60.0 // requests per second of each gateway
	testOrderTime     = 16 * time.Second
	rollbackTime      = 5 * time.Second
	vacancyTimeout    = 2 * time.Second
	testExposureShare = 0.1
	testExposureSlack = 50
)

var testStrata = []string{"lookup idempotent", "confirm mutating", "summary idempotent"}

func newSimulation(t *testing.T, seed uint64, kind string, share float64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), candidateKind: kind, errorShare: share, owner: 0, frozen: -1,
		records: map[string]Record{}, requestsByVersion: map[string]int{}, events: map[time.Duration][]func(){}}
	for i := 0; i < testGateways; i++ {
		n := &simGateway{id: fmt.Sprintf("n%02d", i)}
		n.arms = NewArms(n.id, rollbackTime/2, func() time.Duration { return w.now })
		w.gateways = append(w.gateways, n)
	}
	for i := 0; i < 3; i++ {
		w.controllers = append(w.controllers, NewController())
		w.shownRecords = append(w.shownRecords, nil)
	}
	w.capacity = View{Slots: 300, Warm: 0, Standing: 300, Load: 120}
	w.schedule(4*time.Second, func() { w.capacity.Warm = 300 })
	return w
}

func (w *simulation) schedule(when time.Duration, fn func()) {
	tick := max(w.now, (when+tickInterval-1)/tickInterval*tickInterval)
	w.events[tick] = append(w.events[tick], fn)
}

func (w *simulation) commit(changes []Record) {
	for _, r := range changes {
		w.records[r.Name] = r
		p, _ := Read(r)
		w.plans = append(w.plans, *p)
		for _, n := range w.gateways {
			if p.Stage == Complete && !n.disconnected && n.priorInFlight > 0 {
				w.t.Errorf("complete at %v while %s has %d requests in flight to the prior version", w.now, n.id, n.priorInFlight)
			}
		}
		for i := range w.controllers {
			w.schedule(w.now+tickInterval, func() { w.showRecord(i, r) })
		}
		for _, n := range w.gateways {
			w.schedule(w.now+tickInterval+time.Duration(w.rng.IntN(100))*time.Millisecond, func() { w.deliver(n, r) })
		}
	}
}

func (w *simulation) showRecord(i int, r Record) {
	if i == w.frozen {
		w.schedule(w.now+tickInterval, func() { w.showRecord(i, r) })
		return
	}
	w.shownRecords[i] = append(w.shownRecords[i], r)
	w.controllers[i].Saw(w.now, r)
}

func (w *simulation) deliver(n *simGateway, r Record) {
	if n.disconnected || r.Gen <= n.generation {
		return
	}
	n.generation = r.Gen
	n.arms.Set(Services(map[string]Record{r.Name: r}))
}

func (w *simulation) order(version string) {
	changes, err := Begin(w.records, Ask{"s", version, testOrderTime.Seconds()}, "v1", Call{})
	if err != nil {
		w.t.Fatal(err)
	}
	w.commit(changes)
}

func (w *simulation) plan() *Plan {
	p, _ := Read(w.records[Key("s")])
	return p
}

// serveRequest simulates one request at a gateway.
func (w *simulation) serveRequest(index int) {
	gateway := w.gateways[index]
	class := testStrata[w.rng.IntN(len(testStrata))]
	sample := gateway.arms.Begin("s", class, 800*time.Millisecond, false)
	took := time.Duration(80+w.rng.IntN(240)) * time.Millisecond
	if w.rng.IntN(100) == 0 {
		took *= 3
	}
	if w.rng.IntN(400) == 0 {
		took = 2400 * time.Millisecond
	}
	outcome := Passed
	if w.rng.Float64() < 0.004+w.commonErrorShare {
		outcome = Errored
	}
	toPrior := sample.Version() == "" && (w.plan() == nil || !w.plan().Final())
	if toPrior {
		gateway.priorInFlight++
	}
	version := "v1"
	if sample.Version() != "" {
		version = sample.Version()
		w.candidateRequests = append(w.candidateRequests, candidateRequest{w.now, index})
		p := w.plan()
		fails := w.rng.Float64() < w.errorShare
		switch w.candidateKind {
		case "errors":
		case "late":
			fails = fails && w.now > 3*time.Second
		case "one stratum":
			fails = fails && class == testStrata[1]
		case "under load":
			fails = fails && p.Weight >= 0.5
		case "slow":
			took, fails = 8*took, false
		default:
			fails = false
		}
		if fails {
			outcome = Errored
		}
		if outcome == Errored || w.candidateKind == "slow" {
			w.schedule(w.now+took, func() { w.badAnswersAt = append(w.badAnswersAt, w.now) })
		}
	} else if p := w.plan(); p != nil && p.Stage == Complete && !gateway.disconnected && w.now > w.completeAt()+200*time.Millisecond {
		version = "v2" // the version that serves now
	}
	w.requestsByVersion[version]++
	sample.Sent(w.now < 4*time.Second && version != "v1")
	if took > 2500*time.Millisecond {
		took, outcome = 2500*time.Millisecond, TooLate
	}
	w.schedule(w.now+took, func() {
		sample.End(outcome)
		if toPrior {
			gateway.priorInFlight--
		}
	})
}

func (w *simulation) completeAt() time.Duration {
	for _, p := range w.plans {
		if p.Stage == Complete {
			return p.Age
		}
	}
	return math.MaxInt64
}

func (w *simulation) runController(i int) {
	owner := func(string) string {
		if w.owner < 0 {
			return ""
		}
		return fmt.Sprint(w.owner)
	}
	have := map[string]Record{}
	for _, r := range w.shownRecords[i] {
		if r.Gen > have[r.Name].Gen {
			have[r.Name] = r
		}
	}
	moves, tell := w.controllers[i].Look(w.now, Services(have), Surroundings{Self: fmt.Sprint(i), Owner: owner, Fresh: 1600 * time.Millisecond,
		Fill: func(v *View, _ *Plan, told map[string]int) {
			v.Slots, v.Warm, v.Standing, v.Load = w.capacity.Slots, w.capacity.Warm, w.capacity.Standing, w.capacity.Load
			for _, n := range w.gateways {
				if n.disconnected {
					continue
				}
				v.Live++
				if busy, ok := told[n.id]; ok {
					v.Heard++
					v.Busy += busy
				}
			}
		}})
	for to, all := range tell {
		var j int
		fmt.Sscan(to, &j)
		w.schedule(w.now+2*time.Millisecond, func() {
			if j != w.frozen {
				w.controllers[j].Take(w.now, fmt.Sprint(i), all)
			}
		})
	}
	for _, m := range moves {
		if w.freezeInTransition {
			w.heldTransition, w.freezeInTransition = &m, false // the owner freezes between deciding on a transition and committing it
			w.loseOwner(i, false)
			continue
		}
		changes, err := Advance(w.records, m.From.Gen, m.To)
		if err == nil {
			w.commit(changes)
		}
		w.controllers[i].Moved(m)
	}
}

// loseOwner freezes the key's owner. Another node owns the key after the vacancy timeout. The
// old owner runs again later; if wiped, it starts without its state.
func (w *simulation) loseOwner(i int, wiped bool) {
	w.owner, w.frozen = -1, i
	w.schedule(w.now+vacancyTimeout+400*time.Millisecond, func() { w.owner = (i + 1) % 3 })
	w.schedule(w.now+3*vacancyTimeout, func() {
		w.frozen = -1
		if m := w.heldTransition; m != nil {
			w.heldTransition = nil
			if changes, err := Advance(w.records, m.From.Gen, m.To); err == nil {
				w.commit(changes) // valid: the record has not changed in the meantime
			}
		}
		if wiped {
			w.controllers[i], w.shownRecords[i] = NewController(), nil
			if r, ok := w.records[Key("s")]; ok {
				w.showRecord(i, r)
			}
		}
	})
}

func (w *simulation) run(until time.Duration) {
	for ; w.now < until; w.now += tickInterval {
		for i := 0; i < len(w.events[w.now]); i++ { // an event may add others to the same tick
			w.events[w.now][i]()
		}
		delete(w.events, w.now)
		for i, n := range w.gateways {
			for n.requestsDue += gatewayRate * tickInterval.Seconds(); n.requestsDue >= 1; n.requestsDue-- {
				w.serveRequest(i)
			}
		}
		if w.now%(160*time.Millisecond) == 0 {
			for i := range w.controllers {
				if i != w.frozen {
					w.runController(i)
				}
			}
		}
		if w.now%(200*time.Millisecond) == 0 {
			for i, n := range w.gateways {
				if n.disconnected {
					continue
				}
				to := i % 3
				if to == w.frozen {
					to = (to + 1) % 3
				}
				if reports := n.arms.Reports(); len(reports) > 0 {
					w.controllers[to].Heard(w.now, n.id, reports)
				}
				if w.owner >= 0 {
					n.arms.Heard()
				}
			}
		}
	}
}

// checkRules checks the plans and requests of a run: stages only advance; a good version is
// complete in time; a bad one is reversed, gets no more than its share of the requests if
// limitExposure is set, and none from a connected gateway later than rollbackTime after its
// 50th bad answer.
func (w *simulation) checkRules(good bool, limitExposure bool) {
	t := w.t
	t.Helper()
	last := Plan{}
	for _, p := range w.plans {
		if p.Order == last.Order && (p.Stage < last.Stage || p.Age < last.Age || last.Final() || p.Weight < last.Weight && p.Stage != Reverted) {
			t.Errorf("%s: invalid transition from %v %.2f at %v to %v %.2f at %v", w.candidateKind, last.Stage, last.Weight, last.Age, p.Stage, p.Weight, p.Age)
		}
		last = p
	}
	if good {
		if last.Stage != Complete || last.Age > testOrderTime {
			t.Errorf("a good version is %v (%s) at %v, want complete in time", last.Stage, last.Reason, last.Age)
		}
		return
	}
	if last.Stage != Reverted {
		t.Errorf("%s: a bad version is %v %.2f, want reverted", w.candidateKind, last.Stage, last.Weight)
	}
	candidateTotal, total := 0, 0
	for v, n := range w.requestsByVersion {
		total += n
		if v != "v1" {
			candidateTotal += n
		}
	}
	if allowed := testExposureShare*float64(total) + testExposureSlack; limitExposure && float64(candidateTotal) > allowed {
		t.Errorf("%s: the bad version got %d of %d requests, %.0f allowed", w.candidateKind, candidateTotal, total, allowed)
	}
	if len(w.badAnswersAt) >= 50 {
		sort.Slice(w.badAnswersAt, func(i, j int) bool { return w.badAnswersAt[i] < w.badAnswersAt[j] })
		for _, s := range w.candidateRequests {
			if !w.gateways[s.gateway].disconnected && s.at > w.badAnswersAt[49]+rollbackTime {
				t.Errorf("%s: gateway %d still sends requests to the bad version at %v, its 50th bad answer was at %v", w.candidateKind, s.gateway, s.at, w.badAnswersAt[49])
				break
			}
		}
	}
}

var badKinds = []struct {
	kind  string
	share float64
}{{"errors", 0.5}, {"errors", 0.36}, {"late", 0.5}, {"one stratum", 0.5}, {"slow", 1}, {"under load", 0.5}}

// forEachKind calls run for each kind of candidate with each number from 1 to n.
func forEachKind(t *testing.T, n uint64, run func(t *testing.T, n uint64, kind string, share float64)) {
	kinds := append(badKinds[:len(badKinds):len(badKinds)], badKinds[0])
	kinds[len(badKinds)].kind = "good"
	for _, k := range kinds {
		t.Run(fmt.Sprintf("%s %v", k.kind, k.share), func(t *testing.T) {
			t.Parallel()
			for i := uint64(1); i <= n; i++ {
				run(t, i, k.kind, k.share)
			}
		})
	}
}

func TestGoodVersionCompletesAndBadVersionIsReversed(t *testing.T) {
	forEachKind(t, 6, func(t *testing.T, seed uint64, kind string, share float64) {
		w := newSimulation(t, seed, kind, share)
		w.order("v2")
		w.run(testOrderTime)
		w.checkRules(kind == "good", true)
	})
}

// Errors that both versions have must neither reverse a good candidate nor hide a bad one.
func TestErrorsOfBothArms(t *testing.T) {
	forEachKind(t, 6, func(t *testing.T, seed uint64, kind string, share float64) {
		w := newSimulation(t, seed, kind, share)
		w.schedule(3*time.Second, func() { w.commonErrorShare = 0.08 })
		w.schedule(9*time.Second, func() { w.commonErrorShare = 0 })
		w.order("v2")
		w.run(testOrderTime)
		w.checkRules(kind == "good", true)
	})
}

// The controller is lost at different times of a rollout: killed, restarted without state, or
// frozen before it commits a transition.
func TestControllerLost(t *testing.T) {
	forEachKind(t, 11, func(t *testing.T, n uint64, kind string, share float64) {
		at := time.Duration(n) * 1100 * time.Millisecond
		for _, how := range []string{"killed", "wiped", "frozen in a transition"} {
			w := newSimulation(t, n, kind, share)
			w.order("v2")
			w.schedule(at, func() {
				if how == "frozen in a transition" {
					w.freezeInTransition = true
				} else {
					w.loseOwner(0, how == "wiped")
				}
			})
			w.run(testOrderTime + 12*time.Second)
			if kind != "good" {
				w.checkRules(false, true)
			} else if p := w.plan(); p.Stage != Complete {
				// A takeover may delay the rollout beyond its time, but not prevent it.
				t.Errorf("%s at %v: a good version is %v %.2f (%s)", how, at, p.Stage, p.Weight, p.Reason)
			}
		}
	})
}

// A gateway that receives no notice of a controller stops sending requests to the candidate
// after a timeout, and the rollout completes without that gateway.
func TestDisconnectedGateway(t *testing.T) {
	w := newSimulation(t, 3, "good", 0)
	n := w.gateways[5]
	w.order("v2")
	w.schedule(4*time.Second, func() { n.disconnected = true })
	w.run(12 * time.Second)
	sentAt := func() (last time.Duration) {
		for _, s := range w.candidateRequests {
			if s.gateway == 5 {
				last = s.at
			}
		}
		return last
	}
	if got, most := sentAt(), 4*time.Second+rollbackTime/2+200*time.Millisecond; got > most {
		t.Errorf("a gateway disconnected at 4 s still sends requests to the candidate at %v", got)
	}
	w.run(14 * time.Second)
	if p := w.plan(); p.Stage != Complete {
		t.Fatalf("the rollout waits for a disconnected gateway: %v %.2f", p.Stage, p.Weight)
	}
}

// A gateway stops a bad candidate by itself, without any other message from the controller
// than that it exists, and keeps it stopped until the plan changes.
func TestGatewayStopsBadCandidate(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails func(n int) bool
		took  time.Duration
		stops bool
	}{
		{"good", func(int) bool { return false }, 100 * time.Millisecond, false},
		{"one in fifty", func(n int) bool { return n%50 == 0 }, 100 * time.Millisecond, false},
		{"every other", func(n int) bool { return n%2 == 0 }, 100 * time.Millisecond, true},
		{"slow", func(int) bool { return false }, 1900 * time.Millisecond, true},
	} {
		now := time.Duration(0)
		arms := NewArms("n", time.Hour, func() time.Duration { return now })
		plan := Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Stage: Percentage, Weight: 0.25, Gen: 5}
		arms.Set(map[string]Service{"s": {Plan: &plan}})
		candidateRequests := 0
		for i := range 4000 {
			sample := arms.Begin("s", "r idempotent", time.Second, false)
			sample.Sent(false)
			outcome, took := Passed, 100*time.Millisecond
			if sample.Candidate() {
				if candidateRequests++; c.fails(candidateRequests) {
					outcome = Errored
				}
				took = c.took
			} else if i%200 == 0 {
				outcome = Errored
			}
			now += took
			sample.End(outcome)
			if i%20 == 0 {
				arms.Reports()
			}
		}
		if stopped := arms.Reports()[0].Brake != ""; stopped != c.stops || stopped && candidateRequests > 60 {
			t.Errorf("%s: stopped = %v, after %d requests to the candidate", c.name, stopped, candidateRequests)
		}
		next := plan
		next.Gen, next.Stage, next.Weight = 6, Reverted, 0
		arms.Set(map[string]Service{"s": {Plan: &next}})
		if x := arms.Begin("s", "r idempotent", time.Second, false); x.Version() != "" {
			t.Errorf("%s: a reversed candidate gets a request", c.name)
		}
	}
}

// A large answer is scored when it begins, and its request is in flight until it ends.
func TestScoredRequestIsInFlightUntilItEnds(t *testing.T) {
	arms := NewArms("n", time.Hour, func() time.Duration { return time.Second })
	arms.Set(map[string]Service{"s": {Plan: &Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Gen: 1, Stage: Canary}}})
	sample := arms.Begin("s", "r download", time.Second, false)
	sample.Sent(false)
	sample.Score(Passed)
	if report := arms.Reports()[0]; report.Busy != 1 || report.Sums.All()[Prior].Ended != 1 {
		t.Errorf("after Score: %+v", report)
	}
	sample.End(Broke)
	r := arms.Reports()[0]
	if all := r.Sums.All(); r.Busy != 0 || all[Prior].Ended != 1 || all[Prior].Failed() != 0 {
		t.Errorf("after End: %+v", r)
	}
}

// On every gateway, every stratum gives the candidate its share of the requests.
func TestStrataAreSplitEvenly(t *testing.T) {
	now := time.Duration(0)
	plan := &Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Stage: Canary, Weight: 0.03, Gen: 2}
	for _, weight := range []float64{0.03, 0.1, 0.25, 0.5} {
		plan.Weight = weight
		total := 0
		for n := 0; n < 40; n++ {
			a := NewArms(fmt.Sprint("node", n), time.Hour, func() time.Duration { return now })
			a.Set(map[string]Service{"s": {Plan: plan}})
			for s := 0; s < 10; s++ {
				got := 0
				for range 200 {
					x := a.Begin("s", fmt.Sprint("route", s), time.Second, false)
					if x.Version() == "v2" {
						got++
					}
					x.End(Unscored)
				}
				if want := 200 * weight; math.Abs(float64(got)-want) > 1.01 {
					t.Errorf("weight %.2f: the candidate got %d of the 200 requests of a stratum", weight, got)
				}
				total += got
			}
		}
		if want := 80000 * weight; math.Abs(float64(total)-want) > want/20+20 {
			t.Errorf("weight %.2f: the candidate got %d of all 80000 requests", weight, total)
		}
	}
}
