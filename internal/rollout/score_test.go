package rollout

import (
	"math"
	"strings"
	"testing"
	"time"

	"madderwing/internal/apierror"
)

// The significance tests agree with values that were computed by hand.
func TestStatisticsAgainstKnownValues(t *testing.T) {
	// 10 of 20 against 2 of 20: pooled 0.3, standard error 0.1449, z 2.7603.
	if p := proportionsPValue(10, 20, 2, 20); math.Abs(p-0.002887) > 1e-5 {
		t.Errorf("two-proportion z-test: p = %v", p)
	}
	// {0, 1} against {2, 3}: t = -2 / sqrt(0.5) with 2 degrees of freedom, whose
	// distribution is 1/2 + t / (2 sqrt(2 + t t)).
	a, b := Cell{LatencyCount: 2, ScoreSum: 1, ScoreSquareSum: 1}, Cell{LatencyCount: 2, ScoreSum: 5, ScoreSquareSum: 13}
	statistic := -2 / math.Sqrt(0.5)
	if p, want := welchPValue(a, b), 0.5+statistic/(2*math.Sqrt(2+statistic*statistic)); math.Abs(p-want) > 1e-9 {
		t.Errorf("Welch's t-test: p = %v, want %v", p, want)
	}
	if p := welchPValue(b, a); p < 0.9 {
		t.Errorf("Welch's t-test with the samples exchanged: p = %v", p)
	}
	if proportionsPValue(0, 0, 1, 2) != 1 || welchPValue(Cell{LatencyCount: 1}, b) != 1 {
		t.Error("samples that are too small for a test must give p = 1")
	}
}

func makeCell(passed, failed int, took time.Duration) (c Cell) {
	for range passed {
		c.record(Passed, took, time.Second, false)
	}
	for range failed {
		c.record(Errored, took, time.Second, false)
	}
	return c
}

func TestCriterion(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		name             string
		prior, candidate Cell
		baseline         Cell
		want             string // expected in the result; empty: not judged bad
	}{
		{"the same", makeCell(1000, 10, 100*ms), makeCell(50, 1, 100*ms), Cell{}, ""},
		{"errors", makeCell(1000, 10, 100*ms), makeCell(10, 10, 100*ms), Cell{}, "failed"},
		{"too few responses", makeCell(1000, 10, 100*ms), makeCell(2, 3, 100*ms), Cell{}, ""},
		{"both bad", makeCell(500, 500, 100*ms), makeCell(25, 25, 100*ms), Cell{}, ""},
		{"significant but small", makeCell(100000, 0, 100*ms), makeCell(2000, 60, 100*ms), Cell{}, ""},
		{"slow", makeCell(1000, 0, 100*ms), makeCell(40, 0, 800*ms), Cell{}, "take"},
		{"a little slower", makeCell(1000, 0, 100*ms), makeCell(400, 0, 130*ms), Cell{}, ""},
		{"a tail", makeCell(1000, 0, 100*ms), func() Cell { c := makeCell(160, 0, 100*ms); c.Add(makeCell(20, 0, 250*ms)); return c }(), Cell{}, "p99"},
		{"no prior responses, good", Cell{}, makeCell(100, 1, 100*ms), Cell{}, ""},
		{"no prior responses, bad", Cell{}, makeCell(50, 50, 100*ms), Cell{}, "failed"},
		{"full weight, bad compared with the baseline", Cell{}, makeCell(60, 30, 100*ms), makeCell(500, 2, 100*ms), "failed"},
		{"full weight, a few per cent of errors", Cell{}, makeCell(100, 12, 100*ms), makeCell(500, 2, 100*ms), ""},
		{"full weight, slow", Cell{}, makeCell(100, 0, 900*ms), makeCell(500, 2, 100*ms), "p99"},
	} {
		sums, baseline := Sums{3: {c.prior, c.candidate}}, Sums{3: {c.baseline, Cell{}}}
		reason := Overall.Judge(sums, baseline)
		if (reason == "") != (c.want == "") || !strings.Contains(reason, c.want) {
			t.Errorf("%s: %q, want %q", c.name, reason, c.want)
		}
	}
	// Only one of many strata is bad.
	s := Sums{}
	for b := uint8(0); b < 15; b++ {
		s[b] = Pair{makeCell(1000, 5, 100*ms), makeCell(40, 0, 100*ms)}
	}
	s[15] = Pair{makeCell(1000, 5, 100*ms), makeCell(8, 10, 100*ms)}
	if reason := Overall.Judge(s, Sums{}); !strings.Contains(reason, "failed") {
		t.Errorf("with one bad stratum: %q", reason)
	}
}

func TestSumsAreOrderIndependent(t *testing.T) {
	a := Sums{1: {makeCell(3, 1, time.Second), makeCell(2, 0, time.Millisecond)}}
	b := Sums{1: {makeCell(5, 0, time.Minute), Cell{}}, 2: {Cell{}, makeCell(1, 1, time.Second)}}
	ab, ba := Sums{}, Sums{}
	ab.Add(a)
	ab.Add(b)
	ba.Add(b)
	ba.Add(a)
	sumAB, sumBA := ab.All(), ba.All()
	for arm := range sumAB {
		if sumAB[arm].Ended != sumBA[arm].Ended || sumAB[arm].Failed() != sumBA[arm].Failed() || math.Abs(sumAB[arm].ScoreSum-sumBA[arm].ScoreSum) > 1e-9 || sumAB[arm].LatencyCount != sumBA[arm].LatencyCount {
			t.Errorf("arm %d: %+v and %+v", arm, sumAB[arm], sumBA[arm])
		}
	}
	if a.All()[Prior].Ended != 4 {
		t.Error("Add changed its argument")
	}
}

func TestOrders(t *testing.T) {
	kind := func(err error) apierror.Kind {
		if err == nil {
			return -1
		}
		return apierror.KindOf(err)
	}
	records := map[string]Record{}
	put := func(changes []Record) {
		for _, r := range changes {
			records[r.Name] = r
		}
	}
	setStage := func(s Stage) {
		p, _ := DecodePlan(records[PartitionOf("s")])
		next := *p
		next.Stage = s
		changes, err := Advance(records, p.Generation, &next)
		if err != nil {
			t.Fatal(err)
		}
		put(changes)
	}
	for i, c := range []struct {
		before  func()
		request OrderRequest
		kind    apierror.Kind
		changes bool
	}{
		{nil, OrderRequest{"s", "v2", 12}, -1, true},
		{nil, OrderRequest{"s", "v2", 12}, -1, false},
		{nil, OrderRequest{"s", "v3", 12}, apierror.RolloutInProgress, false},
		{nil, OrderRequest{"s", "v2", 13}, apierror.RolloutInProgress, false},
		{func() { setStage(Reverted) }, OrderRequest{"s", "v2", 12}, -1, false},
		{nil, OrderRequest{"s", "v3", 12}, -1, true},
		{func() { setStage(Complete) }, OrderRequest{"s", "v3", 12}, -1, false},
		{nil, OrderRequest{"s", "v1", 12}, -1, true},
	} {
		if c.before != nil {
			c.before()
		}
		changes, err := Begin(records, c.request, DecodeServices(records)["s"].StandingVersion(), Call{})
		if kind(err) != c.kind || (len(changes) > 0) != c.changes {
			t.Errorf("%d: %v, %d changes", i, err, len(changes))
		}
		put(changes)
	}
	if p, _ := DecodePlan(records[PartitionOf("s")]); p.Prior != "v3" || p.Order != 3 {
		t.Errorf("the last rollout moves from %q and is number %d", p.Prior, p.Order)
	}
	// An order for the version that serves is complete at once.
	changes, _ := Begin(map[string]Record{}, OrderRequest{"s", "v1", 3}, "v1", Call{})
	if p, _ := DecodePlan(changes[0]); p.Stage != Complete {
		t.Errorf("the rollout to the version that serves is %v", p.Stage)
	}
}

func TestOutdatedTransitionIsRefused(t *testing.T) {
	changes, _ := Begin(map[string]Record{}, OrderRequest{"s", "v2", 12}, "v1", Call{})
	records := map[string]Record{changes[0].Name: changes[0]}
	started, _ := DecodePlan(changes[0])
	canary := *started
	canary.Stage, canary.Weight = Canary, 0.03
	advanced, err := Advance(records, started.Generation, &canary)
	if err != nil {
		t.Fatal(err)
	}
	records[advanced[0].Name] = advanced[0]
	if _, err := Advance(records, started.Generation, &canary); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("a transition committed twice: %v", err)
	}
	reversed, err := Abort(records, "s", Reversal{}, time.Second, Call{})
	if err != nil {
		t.Fatal(err)
	}
	records[reversed[0].Name] = reversed[0]
	if _, err := Advance(records, started.Generation, &canary); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("a transition computed before a reversal: %v", err)
	}
	if _, err := Advance(records, reversed[0].Gen, &canary); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("a transition after a reversal: %v", err)
	}
	if repeated, err := Abort(records, "s", Reversal{}, 2*time.Second, Call{}); err != nil || repeated != nil {
		t.Errorf("a second reversal: %v", err)
	}
}

func TestParseOrderRequest(t *testing.T) {
	for body, wantInError := range map[string]string{
		`{"target":"a","targetVersion":"v2","withinS":12}`:        "",
		`{"target":"a","targetVersion":"v2","withinS":0.5,"x":1}`: "",
		`{"target":"a","withinS":12}`:                             "targetVersion",
		`{"targetVersion":"v2","withinS":12}`:                     "target",
		`{"target":"a","targetVersion":"v2","withinS":0}`:         "withinS",
		`{"target":"a","targetVersion":"v2","withinS":-1}`:        "withinS",
		`{"target":"a","targetVersion":"v2","withinS":"12"}`:      "withinS",
		`{"target":"a","targetVersion":"","withinS":1}`:           "targetVersion",
		`{"target":"a",`: "JSON",
		`[]`:             "top",
	} {
		_, err := ParseOrderRequest([]byte(body))
		if wantInError == "" && err != nil || wantInError != "" && (apierror.KindOf(err) != apierror.BadRolloutOrder || !strings.Contains(err.Error(), wantInError)) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

func TestStandingVersions(t *testing.T) {
	records := map[string]Record{}
	for _, r := range StoreStanding(records, map[string]Standing{"s": {Version: "v1"}}, map[string]uint64{}) {
		records[r.Name] = r
	}
	if got := DecodeServices(records)["s"].StandingVersion(); got != "v1" {
		t.Errorf("serving %q, want v1", got)
	}
	if changes := StoreStanding(records, map[string]Standing{"s": {Version: "v9"}}, map[string]uint64{}); changes != nil {
		t.Error("a standing version was replaced by a caller that did not know its generation")
	}
	started, _ := Begin(records, OrderRequest{"s", "v2", 12}, "v1", Call{})
	records[started[0].Name] = started[0]
	if s := DecodeServices(records)["s"]; s.StandingVersion() != "v1" || s.Active() == nil {
		t.Errorf("active rollout: serving %q", s.StandingVersion())
	}
	p, _ := DecodePlan(started[0])
	next := *p
	next.Stage, next.Weight = Complete, 1
	completed, _ := Advance(records, p.Generation, &next)
	records[completed[0].Name] = completed[0]
	if s := DecodeServices(records)["s"]; s.StandingVersion() != "v2" || s.Active() != nil {
		t.Errorf("complete: serving %q", s.StandingVersion())
	}
	for _, r := range StoreStanding(records, map[string]Standing{"s": {Version: "v5", Supersedes: completed[0].Gen}}, map[string]uint64{"s": 1}) {
		records[r.Name] = r
	}
	if got := DecodeServices(records)["s"].StandingVersion(); got != "v5" {
		t.Errorf("replaced without an order: serving %q, want v5", got)
	}
}
