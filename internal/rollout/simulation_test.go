package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// simulation runs a rollout with the real state machines: the Splitters of many gateways, and the
// controllers of three control nodes, of which one at a time owns the partition.
type simulation struct {
	t                 *testing.T
	rng               *rand.Rand
	now               time.Duration
	gateways          []*simGateway
	controllers       []*Controller
	seenRecords       [][]Record // by controller: the records that its control node has seen
	owner             int        // index of the controller that owns the partition; -1: none
	paused            int        // index of the controller whose process is paused; -1: none
	records           map[string]Record
	capacity          View // slots and load of the upstreams
	candidateKind     string
	errorShare        float64 // of the candidate's requests
	commonErrorShare  float64 // of the requests of both versions
	events            map[time.Duration][]func()
	requestsByVersion map[string]int
	badResponsesAt    []time.Duration
	candidateRequests []candidateRequest
	plans             []Plan
	pauseInTransition bool
	heldTransition    *Transition // decided on by the paused owner, not committed yet
}

type candidateRequest struct {
	at      time.Duration
	gateway int
}

type simGateway struct {
	id           string
	splitter     *Splitter
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

func newSimulation(t *testing.T, seed uint64, candidateKind string, errorShare float64) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), candidateKind: candidateKind, errorShare: errorShare, owner: 0, paused: -1,
		records: map[string]Record{}, requestsByVersion: map[string]int{}, events: map[time.Duration][]func(){}}
	for i := 0; i < testGateways; i++ {
		gateway := &simGateway{id: fmt.Sprintf("n%02d", i)}
		gateway.splitter = NewSplitter(gateway.id, rollbackTime/2, func() time.Duration { return s.now })
		s.gateways = append(s.gateways, gateway)
	}
	for i := 0; i < 3; i++ {
		s.controllers = append(s.controllers, NewController())
		s.seenRecords = append(s.seenRecords, nil)
	}
	s.capacity = View{Slots: 300, WarmSlots: 0, StandingSlots: 300, Load: 120}
	s.schedule(4*time.Second, func() { s.capacity.WarmSlots = 300 })
	return s
}

func (s *simulation) schedule(when time.Duration, fn func()) {
	tick := max(s.now, (when+tickInterval-1)/tickInterval*tickInterval)
	s.events[tick] = append(s.events[tick], fn)
}

func (s *simulation) commit(changes []Record) {
	for _, r := range changes {
		s.records[r.Name] = r
		plan, _ := DecodePlan(r)
		s.plans = append(s.plans, *plan)
		for _, gateway := range s.gateways {
			if plan.Stage == Complete && !gateway.disconnected && gateway.priorInFlight > 0 {
				s.t.Errorf("complete at %v while %s has %d requests in flight to the prior version", s.now, gateway.id, gateway.priorInFlight)
			}
		}
		for i := range s.controllers {
			s.schedule(s.now+tickInterval, func() { s.showRecord(i, r) })
		}
		for _, gateway := range s.gateways {
			s.schedule(s.now+tickInterval+time.Duration(s.rng.IntN(100))*time.Millisecond, func() { s.deliver(gateway, r) })
		}
	}
}

func (s *simulation) showRecord(controller int, record Record) {
	if controller == s.paused {
		s.schedule(s.now+tickInterval, func() { s.showRecord(controller, record) })
		return
	}
	s.seenRecords[controller] = append(s.seenRecords[controller], record)
	s.controllers[controller].RecordCommitted(s.now, record)
}

func (s *simulation) deliver(gateway *simGateway, record Record) {
	if gateway.disconnected || record.Gen <= gateway.generation {
		return
	}
	gateway.generation = record.Gen
	gateway.splitter.SetPlans(DecodeServices(map[string]Record{record.Name: record}))
}

func (s *simulation) order(version string) {
	changes, err := Begin(s.records, OrderRequest{"s", version, testOrderTime.Seconds()}, "v1", Call{})
	if err != nil {
		s.t.Fatal(err)
	}
	s.commit(changes)
}

func (s *simulation) plan() *Plan {
	p, _ := DecodePlan(s.records[PartitionOf("s")])
	return p
}

// serveRequest simulates one request at a gateway.
func (s *simulation) serveRequest(index int) {
	gateway := s.gateways[index]
	stratum := testStrata[s.rng.IntN(len(testStrata))]
	sample := gateway.splitter.Begin("s", stratum, 800*time.Millisecond, false)
	elapsed := time.Duration(80+s.rng.IntN(240)) * time.Millisecond
	if s.rng.IntN(100) == 0 {
		elapsed *= 3
	}
	if s.rng.IntN(400) == 0 {
		elapsed = 2400 * time.Millisecond
	}
	outcome := Passed
	if s.rng.Float64() < 0.004+s.commonErrorShare {
		outcome = Errored
	}
	toPrior := sample.Version() == "" && (s.plan() == nil || !s.plan().Final())
	if toPrior {
		gateway.priorInFlight++
	}
	version := "v1"
	if sample.Version() != "" {
		version = sample.Version()
		s.candidateRequests = append(s.candidateRequests, candidateRequest{s.now, index})
		p := s.plan()
		fails := s.rng.Float64() < s.errorShare
		switch s.candidateKind {
		case "errors":
		case "late":
			fails = fails && s.now > 3*time.Second
		case "one stratum":
			fails = fails && stratum == testStrata[1]
		case "under load":
			fails = fails && p.Weight >= 0.5
		case "slow":
			elapsed, fails = 8*elapsed, false
		default:
			fails = false
		}
		if fails {
			outcome = Errored
		}
		if outcome == Errored || s.candidateKind == "slow" {
			s.schedule(s.now+elapsed, func() { s.badResponsesAt = append(s.badResponsesAt, s.now) })
		}
	} else if p := s.plan(); p != nil && p.Stage == Complete && !gateway.disconnected && s.now > s.completeAt()+200*time.Millisecond {
		version = "v2" // the version that serves now
	}
	s.requestsByVersion[version]++
	sample.Sent(s.now < 4*time.Second && version != "v1")
	if elapsed > 2500*time.Millisecond {
		elapsed, outcome = 2500*time.Millisecond, TooLate
	}
	s.schedule(s.now+elapsed, func() {
		sample.End(outcome)
		if toPrior {
			gateway.priorInFlight--
		}
	})
}

func (s *simulation) completeAt() time.Duration {
	for _, p := range s.plans {
		if p.Stage == Complete {
			return p.Age
		}
	}
	return math.MaxInt64
}

func (s *simulation) runController(index int) {
	owner := func(string) string {
		if s.owner < 0 {
			return ""
		}
		return fmt.Sprint(s.owner)
	}
	records := map[string]Record{}
	for _, r := range s.seenRecords[index] {
		if r.Gen > records[r.Name].Gen {
			records[r.Name] = r
		}
	}
	transitions, gatheredFor := s.controllers[index].Evaluate(s.now, DecodeServices(records), Environment{Self: fmt.Sprint(index), Owner: owner, MaxReportAge: 1600 * time.Millisecond,
		Fill: func(v *View, _ *Plan, otherInFlight map[string]int) {
			v.Slots, v.WarmSlots, v.StandingSlots, v.Load = s.capacity.Slots, s.capacity.WarmSlots, s.capacity.StandingSlots, s.capacity.Load
			for _, gateway := range s.gateways {
				if gateway.disconnected {
					continue
				}
				v.LiveGateways++
				if inFlight, ok := otherInFlight[gateway.id]; ok {
					v.ReportingGateways++
					v.OtherInFlight += inFlight
				}
			}
		}})
	for to, all := range gatheredFor {
		var j int
		fmt.Sscan(to, &j)
		s.schedule(s.now+2*time.Millisecond, func() {
			if j != s.paused {
				s.controllers[j].ReceiveGathered(s.now, fmt.Sprint(index), all)
			}
		})
	}
	for _, transition := range transitions {
		if s.pauseInTransition {
			s.heldTransition, s.pauseInTransition = &transition, false // the owner pauses between deciding on a transition and committing it
			s.loseOwner(index, false)
			continue
		}
		changes, err := Advance(s.records, transition.From.Generation, transition.To)
		if err == nil {
			s.commit(changes)
		}
		s.controllers[index].TransitionEnded(transition)
	}
}

// loseOwner pauses the process of the partition's owner. Another node owns the partition after the
// vacancy timeout. The old owner runs again later, without its state if losesState is set.
func (s *simulation) loseOwner(index int, losesState bool) {
	s.owner, s.paused = -1, index
	s.schedule(s.now+vacancyTimeout+400*time.Millisecond, func() { s.owner = (index + 1) % 3 })
	s.schedule(s.now+3*vacancyTimeout, func() {
		s.paused = -1
		if transition := s.heldTransition; transition != nil {
			s.heldTransition = nil
			if changes, err := Advance(s.records, transition.From.Generation, transition.To); err == nil {
				s.commit(changes) // valid: the record has not changed in the meantime
			}
		}
		if losesState {
			s.controllers[index], s.seenRecords[index] = NewController(), nil
			if r, ok := s.records[PartitionOf("s")]; ok {
				s.showRecord(index, r)
			}
		}
	})
}

func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += tickInterval {
		for i := 0; i < len(s.events[s.now]); i++ { // an event may add others to the same tick
			s.events[s.now][i]()
		}
		delete(s.events, s.now)
		for i, gateway := range s.gateways {
			for gateway.requestsDue += gatewayRate * tickInterval.Seconds(); gateway.requestsDue >= 1; gateway.requestsDue-- {
				s.serveRequest(i)
			}
		}
		if s.now%(160*time.Millisecond) == 0 {
			for i := range s.controllers {
				if i != s.paused {
					s.runController(i)
				}
			}
		}
		if s.now%(200*time.Millisecond) == 0 {
			for i, gateway := range s.gateways {
				if gateway.disconnected {
					continue
				}
				to := i % 3
				if to == s.paused {
					to = (to + 1) % 3
				}
				if reports := gateway.splitter.Reports(); len(reports) > 0 {
					s.controllers[to].ReceiveReports(s.now, gateway.id, reports)
				}
				if s.owner >= 0 {
					gateway.splitter.ControllerSeen()
				}
			}
		}
	}
}

// checkRules checks the plans and requests of a run: stages only advance; a good version is
// complete in time; a bad one is reversed, gets no more than its share of the requests if
// limitExposure is set, and none from a connected gateway later than rollbackTime after its
// 50th bad response.
func (s *simulation) checkRules(good bool, limitExposure bool) {
	t := s.t
	t.Helper()
	last := Plan{}
	for _, p := range s.plans {
		if p.Order == last.Order && (p.Stage < last.Stage || p.Age < last.Age || last.Final() || p.Weight < last.Weight && p.Stage != Reverted) {
			t.Errorf("%s: invalid transition from %v %.2f at %v to %v %.2f at %v", s.candidateKind, last.Stage, last.Weight, last.Age, p.Stage, p.Weight, p.Age)
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
		t.Errorf("%s: a bad version is %v %.2f, want reverted", s.candidateKind, last.Stage, last.Weight)
	}
	candidateTotal, total := 0, 0
	for v, count := range s.requestsByVersion {
		total += count
		if v != "v1" {
			candidateTotal += count
		}
	}
	if allowed := testExposureShare*float64(total) + testExposureSlack; limitExposure && float64(candidateTotal) > allowed {
		t.Errorf("%s: the bad version got %d of %d requests, %.0f allowed", s.candidateKind, candidateTotal, total, allowed)
	}
	if len(s.badResponsesAt) >= 50 {
		sort.Slice(s.badResponsesAt, func(i, j int) bool { return s.badResponsesAt[i] < s.badResponsesAt[j] })
		for _, request := range s.candidateRequests {
			if !s.gateways[request.gateway].disconnected && request.at > s.badResponsesAt[49]+rollbackTime {
				t.Errorf("%s: gateway %d still sends requests to the bad version at %v, its 50th bad response was at %v", s.candidateKind, request.gateway, request.at, s.badResponsesAt[49])
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
		s := newSimulation(t, seed, kind, share)
		s.order("v2")
		s.run(testOrderTime)
		s.checkRules(kind == "good", true)
	})
}

// Errors that both versions have must neither reverse a good candidate nor hide a bad one.
func TestErrorsOfBothArms(t *testing.T) {
	forEachKind(t, 6, func(t *testing.T, seed uint64, kind string, share float64) {
		s := newSimulation(t, seed, kind, share)
		s.schedule(3*time.Second, func() { s.commonErrorShare = 0.08 })
		s.schedule(9*time.Second, func() { s.commonErrorShare = 0 })
		s.order("v2")
		s.run(testOrderTime)
		s.checkRules(kind == "good", true)
	})
}

// The controller fails at different times of a rollout: it is killed, restarted without state, or
// paused before it commits a transition.
func TestControllerLost(t *testing.T) {
	forEachKind(t, 11, func(t *testing.T, n uint64, kind string, share float64) {
		at := time.Duration(n) * 1100 * time.Millisecond
		for _, how := range []string{"killed", "restarted without state", "paused in a transition"} {
			s := newSimulation(t, n, kind, share)
			s.order("v2")
			s.schedule(at, func() {
				if how == "paused in a transition" {
					s.pauseInTransition = true
				} else {
					s.loseOwner(0, how == "restarted without state")
				}
			})
			s.run(testOrderTime + 12*time.Second)
			if kind != "good" {
				s.checkRules(false, true)
			} else if p := s.plan(); p.Stage != Complete {
				// A change of the controller may delay the rollout beyond its time, but not prevent it.
				t.Errorf("%s at %v: a good version is %v %.2f (%s)", how, at, p.Stage, p.Weight, p.Reason)
			}
		}
	})
}

// A gateway that receives no notice of a controller stops sending requests to the candidate
// after a timeout, and the rollout completes without that gateway.
func TestDisconnectedGateway(t *testing.T) {
	s := newSimulation(t, 3, "good", 0)
	gateway := s.gateways[5]
	s.order("v2")
	s.schedule(4*time.Second, func() { gateway.disconnected = true })
	s.run(12 * time.Second)
	sentAt := func() (last time.Duration) {
		for _, request := range s.candidateRequests {
			if request.gateway == 5 {
				last = request.at
			}
		}
		return last
	}
	if got, most := sentAt(), 4*time.Second+rollbackTime/2+200*time.Millisecond; got > most {
		t.Errorf("a gateway disconnected at 4 s still sends requests to the candidate at %v", got)
	}
	s.run(14 * time.Second)
	if p := s.plan(); p.Stage != Complete {
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
		splitter := NewSplitter("n", time.Hour, func() time.Duration { return now })
		plan := Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Stage: Percentage, Weight: 0.25, Generation: 5}
		splitter.SetPlans(map[string]Service{"s": {Plan: &plan}})
		candidateRequests := 0
		for i := range 4000 {
			sample := splitter.Begin("s", "r idempotent", time.Second, false)
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
				splitter.Reports()
			}
		}
		if stopped := splitter.Reports()[0].StopReason != ""; stopped != c.stops || stopped && candidateRequests > 60 {
			t.Errorf("%s: stopped = %v, after %d requests to the candidate", c.name, stopped, candidateRequests)
		}
		next := plan
		next.Generation, next.Stage, next.Weight = 6, Reverted, 0
		splitter.SetPlans(map[string]Service{"s": {Plan: &next}})
		if sample := splitter.Begin("s", "r idempotent", time.Second, false); sample.Version() != "" {
			t.Errorf("%s: a reversed candidate gets a request", c.name)
		}
	}
}

// A large response is scored when it begins, and its request is in flight until it ends.
func TestScoredRequestIsInFlightUntilItEnds(t *testing.T) {
	splitter := NewSplitter("n", time.Hour, func() time.Duration { return time.Second })
	splitter.SetPlans(map[string]Service{"s": {Plan: &Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Generation: 1, Stage: Canary}}})
	sample := splitter.Begin("s", "r download", time.Second, false)
	sample.Sent(false)
	sample.Score(Passed)
	if report := splitter.Reports()[0]; report.OtherInFlight != 1 || report.Sums.All()[Prior].Ended != 1 {
		t.Errorf("after Score: %+v", report)
	}
	sample.End(BrokenResponse)
	report := splitter.Reports()[0]
	if all := report.Sums.All(); report.OtherInFlight != 0 || all[Prior].Ended != 1 || all[Prior].Failed() != 0 {
		t.Errorf("after End: %+v", report)
	}
}

// On every gateway, every stratum gives the candidate its share of the requests.
func TestStrataAreSplitEvenly(t *testing.T) {
	now := time.Duration(0)
	plan := &Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Stage: Canary, Weight: 0.03, Generation: 2}
	for _, weight := range []float64{0.03, 0.1, 0.25, 0.5} {
		plan.Weight = weight
		total := 0
		for n := 0; n < 40; n++ {
			splitter := NewSplitter(fmt.Sprint("node", n), time.Hour, func() time.Duration { return now })
			splitter.SetPlans(map[string]Service{"s": {Plan: plan}})
			for s := 0; s < 10; s++ {
				got := 0
				for range 200 {
					sample := splitter.Begin("s", fmt.Sprint("route", s), time.Second, false)
					if sample.Version() == "v2" {
						got++
					}
					sample.End(Unscored)
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
