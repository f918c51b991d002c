package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// world plays a rollout on the real state machines: nodes that split and score, and
// controllers of which one at a time owns the key.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	nodes   []*node
	ctrls   []*Controller
	has     [][]Record // what each controller's control node shows
	owner   int        // -1: none
	frozen  int        // a controller that does not run; -1: none
	rec     map[string]Record
	ups     View // slots, and what the version's upstreams are
	kind    string
	share   float64
	common  float64 // share of errors of both versions
	events  map[time.Duration][]func()
	seen    map[string]int // requests by version
	bad     []time.Duration
	sentBad []sent // requests to the candidate
	stages  []Plan
	steal   bool
	stolen  *Move
}

type sent struct {
	at   time.Duration
	node int
}

type node struct {
	id   string
	arms *Arms
	cut  bool
	gen  uint64
	acc  float64
	// prior is how many requests it has under way at the prior version.
	prior int
}

const (
	tickEvery = 20 * time.Millisecond
	testNodes = 24
	nodeRate  = 60.0 // requests a second
	within    = 16 * time.Second
	rollbackS = 5 * time.Second
	vacant    = 2 * time.Second
	testShare = 0.1
	testSlack = 50
)

var classes = []string{"lookup idempotent", "confirm mutating", "summary idempotent"}

func newWorld(t *testing.T, seed uint64, kind string, share float64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), kind: kind, share: share, owner: 0, frozen: -1,
		rec: map[string]Record{}, seen: map[string]int{}, events: map[time.Duration][]func(){}}
	for i := 0; i < testNodes; i++ {
		n := &node{id: fmt.Sprintf("n%02d", i)}
		n.arms = NewArms(n.id, rollbackS/2, func() time.Duration { return w.now })
		w.nodes = append(w.nodes, n)
	}
	for i := 0; i < 3; i++ {
		w.ctrls = append(w.ctrls, NewController())
		w.has = append(w.has, nil)
	}
	w.ups = View{Slots: 300, Warm: 0, Standing: 300, Load: 120}
	w.at(4*time.Second, func() { w.ups.Warm = 300 })
	return w
}

func (w *world) at(when time.Duration, fn func()) {
	tick := max(w.now, (when+tickEvery-1)/tickEvery*tickEvery)
	w.events[tick] = append(w.events[tick], fn)
}

func (w *world) put(changes []Record) {
	for _, r := range changes {
		w.rec[r.Name] = r
		p, _ := Read(r)
		w.stages = append(w.stages, *p)
		for _, n := range w.nodes {
			if p.Stage == Complete && !n.cut && n.prior > 0 {
				w.t.Errorf("complete at %v, while %s has %d requests at the prior version", w.now, n.id, n.prior)
			}
		}
		for i := range w.ctrls {
			w.at(w.now+tickEvery, func() { w.show(i, r) })
		}
		for _, n := range w.nodes {
			w.at(w.now+tickEvery+time.Duration(w.rng.IntN(100))*time.Millisecond, func() { w.deliver(n, r) })
		}
	}
}

func (w *world) show(i int, r Record) {
	if i == w.frozen {
		w.at(w.now+tickEvery, func() { w.show(i, r) })
		return
	}
	w.has[i] = append(w.has[i], r)
	w.ctrls[i].Saw(w.now, r)
}

func (w *world) deliver(n *node, r Record) {
	if n.cut || r.Gen <= n.gen {
		return
	}
	n.gen = r.Gen
	n.arms.Set(Services(map[string]Record{r.Name: r}))
}

func (w *world) order(version string) {
	changes, err := Begin(w.rec, Ask{"s", version, within.Seconds()}, "v1", Call{})
	if err != nil {
		w.t.Fatal(err)
	}
	w.put(changes)
}

func (w *world) plan() *Plan {
	p, _ := Read(w.rec[Key("s")])
	return p
}

// serve plays one request of a node.
func (w *world) serve(i int) {
	n := w.nodes[i]
	class := classes[w.rng.IntN(len(classes))]
	x := n.arms.Begin("s", class, 800*time.Millisecond, false)
	took := time.Duration(80+w.rng.IntN(240)) * time.Millisecond
	if w.rng.IntN(100) == 0 {
		took *= 3
	}
	if w.rng.IntN(400) == 0 {
		took = 2400 * time.Millisecond
	}
	how := Passed
	if w.rng.Float64() < 0.004+w.common {
		how = Errored
	}
	old := x.Version() == "" && (w.plan() == nil || !w.plan().Final())
	if old {
		n.prior++
	}
	version := "v1"
	if x.Version() != "" {
		version = x.Version()
		w.sentBad = append(w.sentBad, sent{w.now, i})
		p := w.plan()
		turned := w.rng.Float64() < w.share
		switch w.kind {
		case "errors":
		case "late":
			turned = turned && w.now > 3*time.Second
		case "one class":
			turned = turned && class == classes[1]
		case "under load":
			turned = turned && p.Weight >= 0.5
		case "slow":
			took, turned = 8*took, false
		default:
			turned = false
		}
		if turned {
			how = Errored
		}
		if how == Errored || w.kind == "slow" {
			w.at(w.now+took, func() { w.bad = append(w.bad, w.now) })
		}
	} else if p := w.plan(); p != nil && p.Stage == Complete && !n.cut && w.now > w.completeAt()+200*time.Millisecond {
		version = "v2" // the version that stands now
	}
	w.seen[version]++
	x.Sent(w.now < 4*time.Second && version != "v1")
	if took > 2500*time.Millisecond {
		took, how = 2500*time.Millisecond, TooLate
	}
	w.at(w.now+took, func() {
		x.End(how)
		if old {
			n.prior--
		}
	})
}

func (w *world) completeAt() time.Duration {
	for _, p := range w.stages {
		if p.Stage == Complete {
			return p.Age
		}
	}
	return math.MaxInt64
}

func (w *world) look(i int) {
	owner := func(string) string {
		if w.owner < 0 {
			return ""
		}
		return fmt.Sprint(w.owner)
	}
	have := map[string]Record{}
	for _, r := range w.has[i] {
		if r.Gen > have[r.Name].Gen {
			have[r.Name] = r
		}
	}
	moves, tell := w.ctrls[i].Look(w.now, Services(have), Surroundings{Self: fmt.Sprint(i), Owner: owner, Fresh: 1600 * time.Millisecond,
		Fill: func(v *View, _ *Plan, told map[string]int) {
			v.Slots, v.Warm, v.Standing, v.Load = w.ups.Slots, w.ups.Warm, w.ups.Standing, w.ups.Load
			for _, n := range w.nodes {
				if n.cut {
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
		w.at(w.now+2*time.Millisecond, func() {
			if j != w.frozen {
				w.ctrls[j].Take(w.now, fmt.Sprint(i), all)
			}
		})
	}
	for _, m := range moves {
		if w.steal {
			w.stolen, w.steal = &m, false // the owner freezes with the step in its hands
			w.lose(i, false)
			continue
		}
		changes, err := Advance(w.rec, m.From.Gen, m.To)
		if err == nil {
			w.put(changes)
		}
		w.ctrls[i].Moved(m)
	}
}

// lose takes the key from its owner; another has it after the vacancy.
func (w *world) lose(i int, wiped bool) {
	w.owner, w.frozen = -1, i
	w.at(w.now+vacant+400*time.Millisecond, func() { w.owner = (i + 1) % 3 })
	w.at(w.now+3*vacant, func() {
		w.frozen = -1
		if m := w.stolen; m != nil {
			w.stolen = nil
			if changes, err := Advance(w.rec, m.From.Gen, m.To); err == nil {
				w.put(changes) // nothing had changed meanwhile: as good as a step taken now
			}
		}
		if wiped {
			w.ctrls[i], w.has[i] = NewController(), nil
			if r, ok := w.rec[Key("s")]; ok {
				w.show(i, r)
			}
		}
	})
}

func (w *world) run(until time.Duration) {
	for ; w.now < until; w.now += tickEvery {
		for i := 0; i < len(w.events[w.now]); i++ { // some add more
			w.events[w.now][i]()
		}
		delete(w.events, w.now)
		for i, n := range w.nodes {
			for n.acc += nodeRate * tickEvery.Seconds(); n.acc >= 1; n.acc-- {
				w.serve(i)
			}
		}
		if w.now%(160*time.Millisecond) == 0 {
			for i := range w.ctrls {
				if i != w.frozen {
					w.look(i)
				}
			}
		}
		if w.now%(200*time.Millisecond) == 0 {
			for i, n := range w.nodes {
				if n.cut {
					continue
				}
				to := i % 3
				if to == w.frozen {
					to = (to + 1) % 3
				}
				if reports := n.arms.Reports(); len(reports) > 0 {
					w.ctrls[to].Heard(w.now, n.id, reports)
				}
				if w.owner >= 0 {
					n.arms.Heard()
				}
			}
		}
	}
}

// check holds what was seen against the rules.
func (w *world) check(good bool, exposed bool) {
	t := w.t
	t.Helper()
	last := Plan{}
	for _, p := range w.stages {
		if p.Order == last.Order && (p.Stage < last.Stage || p.Age < last.Age || last.Final() || p.Weight < last.Weight && p.Stage != Reverted) {
			t.Errorf("%s: from %v %.2f at %v to %v %.2f at %v", w.kind, last.Stage, last.Weight, last.Age, p.Stage, p.Weight, p.Age)
		}
		last = p
	}
	if good {
		if last.Stage != Complete || last.Age > within {
			t.Errorf("a good version is %v (%s) after %v", last.Stage, last.Reason, last.Age)
		}
		return
	}
	if last.Stage != Reverted {
		t.Errorf("%s: a bad version is %v %.2f", w.kind, last.Stage, last.Weight)
	}
	got, all := 0, 0
	for v, n := range w.seen {
		all += n
		if v != "v1" {
			got += n
		}
	}
	if most := testShare*float64(all) + testSlack; exposed && float64(got) > most {
		t.Errorf("%s: the bad version got %d of %d, %.0f allowed", w.kind, got, all, most)
	}
	if len(w.bad) >= 50 {
		sort.Slice(w.bad, func(i, j int) bool { return w.bad[i] < w.bad[j] })
		for _, s := range w.sentBad {
			if !w.nodes[s.node].cut && s.at > w.bad[49]+rollbackS {
				t.Errorf("%s: node %d still sends at %v, the 50th bad answer was at %v", w.kind, s.node, s.at, w.bad[49])
				break
			}
		}
	}
}

var badKinds = []struct {
	kind  string
	share float64
}{{"errors", 0.5}, {"errors", 0.36}, {"late", 0.5}, {"one class", 0.5}, {"slow", 1}, {"under load", 0.5}}

// eachKind plays each kind of version with each number from 1 to n.
func eachKind(t *testing.T, n uint64, play func(t *testing.T, n uint64, kind string, share float64)) {
	kinds := append(badKinds[:len(badKinds):len(badKinds)], badKinds[0])
	kinds[len(badKinds)].kind = "good"
	for _, k := range kinds {
		t.Run(fmt.Sprintf("%s %v", k.kind, k.share), func(t *testing.T) {
			t.Parallel()
			for i := uint64(1); i <= n; i++ {
				play(t, i, k.kind, k.share)
			}
		})
	}
}

func TestAGoodVersionComesInAndABadOneGoes(t *testing.T) {
	eachKind(t, 6, func(t *testing.T, seed uint64, kind string, share float64) {
		w := newWorld(t, seed, kind, share)
		w.order("v2")
		w.run(within)
		w.check(kind == "good", true)
	})
}

// What goes wrong everywhere must neither condemn a candidate nor excuse it.
func TestFaultsThatBothArmsHave(t *testing.T) {
	eachKind(t, 6, func(t *testing.T, seed uint64, kind string, share float64) {
		w := newWorld(t, seed, kind, share)
		w.at(3*time.Second, func() { w.common = 0.08 })
		w.at(9*time.Second, func() { w.common = 0 })
		w.order("v2")
		w.run(within)
		w.check(kind == "good", true)
	})
}

// The controller is lost at every moment of a rollout, in each way.
func TestTheControllerIsLost(t *testing.T) {
	eachKind(t, 11, func(t *testing.T, n uint64, kind string, share float64) {
		at := time.Duration(n) * 1100 * time.Millisecond
		for _, how := range []string{"killed", "wiped", "frozen in a step"} {
			w := newWorld(t, n, kind, share)
			w.order("v2")
			w.at(at, func() {
				if how == "frozen in a step" {
					w.steal = true
				} else {
					w.lose(0, how == "wiped")
				}
			})
			w.run(within + 12*time.Second)
			if kind != "good" {
				w.check(false, true)
			} else if p := w.plan(); p.Stage != Complete {
				// A takeover may cost the term, but not the rollout.
				t.Errorf("%s at %v: a good version is %v %.2f (%s)", how, at, p.Stage, p.Weight, p.Reason)
			}
		}
	})
}

// A node that hears no controller gives the candidate nothing after a time, and when it
// comes back with old weights it takes the new ones before it sends on.
func TestANodeCutOff(t *testing.T) {
	w := newWorld(t, 3, "good", 0)
	n := w.nodes[5]
	w.order("v2")
	w.at(4*time.Second, func() { n.cut = true })
	w.run(12 * time.Second)
	sentAt := func() (last time.Duration) {
		for _, s := range w.sentBad {
			if s.node == 5 {
				last = s.at
			}
		}
		return last
	}
	if got, most := sentAt(), 4*time.Second+rollbackS/2+200*time.Millisecond; got > most {
		t.Errorf("a node cut off at 4 s still gives the candidate requests at %v", got)
	}
	w.run(14 * time.Second)
	if p := w.plan(); p.Stage != Complete {
		t.Fatalf("the rollout waits for a node that is gone: %v %.2f", p.Stage, p.Weight)
	}
}

// A node stops a bad candidate by itself, with no word from the controller but that there
// is one, and keeps it stopped until the plan changes.
func TestTheBrake(t *testing.T) {
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
		a := NewArms("n", time.Hour, func() time.Duration { return now })
		plan := Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Stage: Percentage, Weight: 0.25, Gen: 5}
		a.Set(map[string]Service{"s": {Plan: &plan}})
		given := 0
		for i := range 4000 {
			x := a.Begin("s", "r idempotent", time.Second, false)
			x.Sent(false)
			how, took := Passed, 100*time.Millisecond
			if x.Candidate() {
				if given++; c.fails(given) {
					how = Errored
				}
				took = c.took
			} else if i%200 == 0 {
				how = Errored
			}
			now += took
			x.End(how)
			if i%20 == 0 {
				a.Reports()
			}
		}
		if stopped := a.Reports()[0].Brake != ""; stopped != c.stops || stopped && given > 60 {
			t.Errorf("%s: stopped %v, after %d requests", c.name, stopped, given)
		}
		next := plan
		next.Gen, next.Stage, next.Weight = 6, Reverted, 0
		a.Set(map[string]Service{"s": {Plan: &next}})
		if x := a.Begin("s", "r idempotent", time.Second, false); x.Version() != "" {
			t.Errorf("%s: a reversed candidate gets a request", c.name)
		}
	}
}

// A large answer is scored when it begins, and its upstream is in use until it ends.
func TestALargeAnswerIsUnderWayToItsEnd(t *testing.T) {
	a := NewArms("n", time.Hour, func() time.Duration { return time.Second })
	a.Set(map[string]Service{"s": {Plan: &Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Gen: 1, Stage: Canary}}})
	x := a.Begin("s", "r download", time.Second, false)
	x.Sent(false)
	x.Score(Passed)
	if r := a.Reports()[0]; r.Busy != 1 || r.Sums.All()[Prior].Ended != 1 {
		t.Errorf("begun: %+v", r)
	}
	x.End(Broke)
	r := a.Reports()[0]
	if all := r.Sums.All(); r.Busy != 0 || all[Prior].Ended != 1 || all[Prior].Failed() != 0 {
		t.Errorf("ended: %+v", r)
	}
}

// Every stratum gives the candidate its share on every node, none all of it.
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
					t.Errorf("weight %.2f: a stratum gave %d of 200", weight, got)
				}
				total += got
			}
		}
		if want := 80000 * weight; math.Abs(float64(total)-want) > want/20+20 {
			t.Errorf("weight %.2f: %d of 80000 in all", weight, total)
		}
	}
}
