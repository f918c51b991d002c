package rollout

import (
	"math"
	"strings"
	"testing"
	"time"

	"madderwing/internal/apierror"
)

// The tests of significance against values worked out by hand.
func TestStatisticsAgainstWorkedValues(t *testing.T) {
	// 10 of 20 against 2 of 20: pooled 0.3, standard error 0.1449, z 2.7603.
	if p := proportionsPValue(10, 20, 2, 20); math.Abs(p-0.002887) > 1e-5 {
		t.Errorf("two proportions: p %v", p)
	}
	// {0, 1} against {2, 3}: t = -2 / sqrt(0.5) with 2 degrees of freedom, whose
	// distribution is 1/2 + t / (2 sqrt(2 + t t)).
	a, b := Cell{N: 2, Sum: 1, Sq: 1}, Cell{N: 2, Sum: 5, Sq: 13}
	tt := -2 / math.Sqrt(0.5)
	if p, want := welchPValue(a, b), 0.5+tt/(2*math.Sqrt(2+tt*tt)); math.Abs(p-want) > 1e-9 {
		t.Errorf("Welch: p %v, want %v", p, want)
	}
	if p := welchPValue(b, a); p < 0.9 {
		t.Errorf("Welch the other way: p %v", p)
	}
	if proportionsPValue(0, 0, 1, 2) != 1 || welchPValue(Cell{N: 1}, b) != 1 {
		t.Error("too few for a test is no sign")
	}
}

func cell(passed, failed int, took time.Duration) (c Cell) {
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
		name        string
		prior, cand Cell
		base        Cell
		why         string // in the verdict; empty: none
	}{
		{"the same", cell(1000, 10, 100*ms), cell(50, 1, 100*ms), Cell{}, ""},
		{"errors", cell(1000, 10, 100*ms), cell(10, 10, 100*ms), Cell{}, "failed"},
		{"too few to tell", cell(1000, 10, 100*ms), cell(2, 3, 100*ms), Cell{}, ""},
		{"both bad", cell(500, 500, 100*ms), cell(25, 25, 100*ms), Cell{}, ""},
		{"significant but small", cell(100000, 0, 100*ms), cell(2000, 60, 100*ms), Cell{}, ""},
		{"slow", cell(1000, 0, 100*ms), cell(40, 0, 800*ms), Cell{}, "take"},
		{"a little slower", cell(1000, 0, 100*ms), cell(400, 0, 130*ms), Cell{}, ""},
		{"a tail", cell(1000, 0, 100*ms), func() Cell { c := cell(160, 0, 100*ms); c.Add(cell(20, 0, 250*ms)); return c }(), Cell{}, "p99"},
		{"alone, good", Cell{}, cell(100, 1, 100*ms), Cell{}, ""},
		{"alone, bad", Cell{}, cell(50, 50, 100*ms), Cell{}, "failed"},
		{"full, bad, against the stage before", Cell{}, cell(60, 30, 100*ms), cell(500, 2, 100*ms), "failed"},
		{"full, a fault of a few per cent", Cell{}, cell(100, 12, 100*ms), cell(500, 2, 100*ms), ""},
		{"full, slow", Cell{}, cell(100, 0, 900*ms), cell(500, 2, 100*ms), "p99"},
	} {
		s, base := Sums{3: {c.prior, c.cand}}, Sums{3: {c.base, Cell{}}}
		why := Overall.Judge(s, base)
		if (why == "") != (c.why == "") || !strings.Contains(why, c.why) {
			t.Errorf("%s: %q, want %q", c.name, why, c.why)
		}
	}
	// One stratum of many.
	s := Sums{}
	for b := uint8(0); b < 15; b++ {
		s[b] = Pair{cell(1000, 5, 100*ms), cell(40, 0, 100*ms)}
	}
	s[15] = Pair{cell(1000, 5, 100*ms), cell(8, 10, 100*ms)}
	if why := Overall.Judge(s, Sums{}); !strings.Contains(why, "failed") {
		t.Errorf("a stratum that fails: %q", why)
	}
}

func TestSumsAddUpInAnyOrder(t *testing.T) {
	a := Sums{1: {cell(3, 1, time.Second), cell(2, 0, time.Millisecond)}}
	b := Sums{1: {cell(5, 0, time.Minute), Cell{}}, 2: {Cell{}, cell(1, 1, time.Second)}}
	ab, ba := Sums{}, Sums{}
	ab.Add(a)
	ab.Add(b)
	ba.Add(b)
	ba.Add(a)
	x, y := ab.All(), ba.All()
	for arm := range x {
		if x[arm].Ended != y[arm].Ended || x[arm].Failed() != y[arm].Failed() || math.Abs(x[arm].Sum-y[arm].Sum) > 1e-9 || x[arm].N != y[arm].N {
			t.Errorf("arm %d: %+v and %+v", arm, x[arm], y[arm])
		}
	}
	if a.All()[Prior].Ended != 4 {
		t.Error("adding changed what was added")
	}
}

func TestOrders(t *testing.T) {
	kind := func(err error) apierror.Kind {
		if err == nil {
			return -1
		}
		return apierror.KindOf(err)
	}
	have := map[string]Record{}
	put := func(changes []Record) {
		for _, r := range changes {
			have[r.Name] = r
		}
	}
	stage := func(s Stage) {
		p, _ := Read(have[Key("s")])
		next := *p
		next.Stage = s
		changes, err := Advance(have, p.Gen, &next)
		if err != nil {
			t.Fatal(err)
		}
		put(changes)
	}
	for i, c := range []struct {
		before  func()
		ask     Ask
		kind    apierror.Kind
		changes bool
	}{
		{nil, Ask{"s", "v2", 12}, -1, true},
		{nil, Ask{"s", "v2", 12}, -1, false},
		{nil, Ask{"s", "v3", 12}, apierror.UnderWay, false},
		{nil, Ask{"s", "v2", 13}, apierror.UnderWay, false},
		{func() { stage(Reverted) }, Ask{"s", "v2", 12}, -1, false},
		{nil, Ask{"s", "v3", 12}, -1, true},
		{func() { stage(Complete) }, Ask{"s", "v3", 12}, -1, false},
		{nil, Ask{"s", "v1", 12}, -1, true},
	} {
		if c.before != nil {
			c.before()
		}
		changes, err := Begin(have, c.ask, Services(have)["s"].Serves(), Call{})
		if kind(err) != c.kind || (len(changes) > 0) != c.changes {
			t.Errorf("%d: %v, %d changes", i, err, len(changes))
		}
		put(changes)
	}
	if p, _ := Read(have[Key("s")]); p.Prior != "v3" || p.Order != 3 {
		t.Errorf("the last order moves from %q as order %d", p.Prior, p.Order)
	}
	// An order for the version that stands is carried out already.
	changes, _ := Begin(map[string]Record{}, Ask{"s", "v1", 3}, "v1", Call{})
	if p, _ := Read(changes[0]); p.Stage != Complete {
		t.Errorf("moving to what stands is %v", p.Stage)
	}
}

func TestAStepThatComesTooLateIsRefused(t *testing.T) {
	first, _ := Begin(map[string]Record{}, Ask{"s", "v2", 12}, "v1", Call{})
	have := map[string]Record{first[0].Name: first[0]}
	p, _ := Read(first[0])
	canary := *p
	canary.Stage, canary.Weight = Canary, 0.03
	taken, err := Advance(have, p.Gen, &canary)
	if err != nil {
		t.Fatal(err)
	}
	have[taken[0].Name] = taken[0]
	if _, err := Advance(have, p.Gen, &canary); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("a step taken twice: %v", err)
	}
	gone, err := Abort(have, "s", Reversal{}, time.Second, Call{})
	if err != nil {
		t.Fatal(err)
	}
	have[gone[0].Name] = gone[0]
	if _, err := Advance(have, p.Gen, &canary); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("a step raced a reversal: %v", err)
	}
	if _, err := Advance(have, gone[0].Gen, &canary); apierror.KindOf(err) != apierror.Conflict {
		t.Errorf("a step after a reversal: %v", err)
	}
	if again, err := Abort(have, "s", Reversal{}, 2*time.Second, Call{}); err != nil || again != nil {
		t.Errorf("a second reversal: %v", err)
	}
}

func TestReadAsk(t *testing.T) {
	for body, why := range map[string]string{
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
		_, err := ReadAsk([]byte(body))
		if why == "" && err != nil || why != "" && (apierror.KindOf(err) != apierror.BadOrder || !strings.Contains(err.Error(), why)) {
			t.Errorf("%s: %v", body, err)
		}
	}
}

func TestStandingVersions(t *testing.T) {
	have := map[string]Record{}
	for _, r := range Adopt(have, map[string]Standing{"s": {Version: "v1"}}, map[string]uint64{}) {
		have[r.Name] = r
	}
	if got := Services(have)["s"].Serves(); got != "v1" {
		t.Errorf("stands %q", got)
	}
	if again := Adopt(have, map[string]Standing{"s": {Version: "v9"}}, map[string]uint64{}); again != nil {
		t.Error("a standing version was replaced by one who had not seen it")
	}
	first, _ := Begin(have, Ask{"s", "v2", 12}, "v1", Call{})
	have[first[0].Name] = first[0]
	if s := Services(have)["s"]; s.Serves() != "v1" || s.Active() == nil {
		t.Errorf("under way: stands %q", s.Serves())
	}
	p, _ := Read(first[0])
	next := *p
	next.Stage, next.Weight = Complete, 1
	done, _ := Advance(have, p.Gen, &next)
	have[done[0].Name] = done[0]
	if s := Services(have)["s"]; s.Serves() != "v2" || s.Active() != nil {
		t.Errorf("complete: stands %q", s.Serves())
	}
	for _, r := range Adopt(have, map[string]Standing{"s": {Version: "v5", After: done[0].Gen}}, map[string]uint64{"s": 1}) {
		have[r.Name] = r
	}
	if got := Services(have)["s"].Serves(); got != "v5" {
		t.Errorf("replaced without an order: stands %q", got)
	}
}
