package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"madderwing/internal/membership"
)

const ms = time.Millisecond

func cfg(self, zone string) Config {
	return Config{Self: self, Zone: zone, RetryRatio: 0.2, RetrySlack: 60, Window: 10 * time.Second,
		Eject: 100 * ms, EjectMax: time.Second, Lag: 500 * ms}
}

func list(n int, zone string, warmMs int64) (out []Instance) {
	for i := 0; i < n; i++ {
		id := fmt.Sprintf("%s-%02d", zone, i)
		out = append(out, Instance{ID: id, Service: "a", Address: "10.0.0.1:" + fmt.Sprint(1000+i), Zone: zone, Capacity: 3, WarmupMs: warmMs})
	}
	return out
}

func gateways(zones ...string) (out []membership.Node, shards map[string]int) {
	shards = map[string]int{}
	for _, z := range zones {
		for i := 0; i < 3; i++ {
			n := membership.Node{Address: fmt.Sprintf("%s-gateway-%d", z, i), Name: fmt.Sprintf("%s-%d", z, i), Zone: z}
			out = append(out, n)
			shards[n.Address] = i % 2
		}
	}
	return out, shards
}

// fresh makes a balancer that knows everything; trials succeed at once.
func fresh(self, zone string, instances []Instance, ds []membership.Node, shards map[string]int, bound map[string]int) *Balancer {
	s := NewBalancer(cfg(self, zone))
	s.SetGateways(0, ds, shards)
	s.SetServices(0, map[string]ServiceInfo{"a": {MaxConns: 200, WarmupS: 3, WarmupPerS: 8}}, bound)
	s.SetList(0, instances)
	prove(s, 0)
	return s
}

func prove(s *Balancer, now time.Duration) {
	trials := s.Trials
	s.Trials = nil
	for _, u := range trials {
		s.Tried(now, u, &Conn{Expires: now + time.Hour})
	}
}

// claim asks for an upstream and returns the answer if there is one at once.
func claim(s *Balancer, now time.Duration, c *AcquireRequest) (g SlotLease, answered bool) {
	c.Service = "a"
	c.Give = func(x SlotLease) { g, answered = x, true }
	s.Acquire(now, c)
	return g, answered
}

func TestOwnZoneFirstAndNoUpstreamBeyondItsLimit(t *testing.T) {
	ds, sh := gateways("z", "y")
	s := fresh("z-gateway-0", "z", append(list(6, "z", 0), list(6, "y", 0)...), ds, sh, nil)
	home := 0
	for _, st := range s.States(0) {
		if st.Home {
			home++
			if st.Zone != "z" {
				t.Fatalf("%s of another zone is used first", st.ID)
			}
		}
	}
	if home != 2 {
		t.Fatalf("this gateway uses %d of 6 upstreams of its zone with 3 gateways first", home)
	}
	counts := map[string]int{}
	for i := 0; ; i++ {
		g, ok := claim(s, 0, &AcquireRequest{})
		if !ok {
			break
		}
		counts[g.ID]++
		if i < home*3-1 && g.Upstream.Zone != "z" {
			t.Fatalf("request %d left the zone", i)
		}
	}
	for id, n := range counts {
		if n > 3 || n > 1 && !s.ups[id].home {
			t.Errorf("%s has %d requests", id, n)
		}
	}
}

func TestZonesBorrowByLoad(t *testing.T) {
	zones := map[string]bool{"n": true, "s": true, "e": true}
	cases := []struct {
		name  string
		ups   map[string]int // zone -> upstreams of 3 slots
		loads map[string]float64
		want  map[string]int // zone -> upstreams it uses as its own
	}{
		{"calm: nobody borrows", map[string]int{"n": 4, "s": 4, "e": 2}, map[string]float64{"n": 3, "s": 3, "e": 3}, map[string]int{"n": 4, "s": 4, "e": 2}},
		{"one pressed zone borrows from the idlest", map[string]int{"n": 6, "s": 6, "e": 2}, map[string]float64{"n": 9, "s": 3, "e": 6}, map[string]int{"n": 6, "s": 4, "e": 4}},
		{"a zone without upstreams", map[string]int{"n": 6, "s": 6}, map[string]float64{"n": 6, "s": 6, "e": 6}, map[string]int{"n": 4, "s": 4, "e": 4}},
		{"all pressed alike", map[string]int{"n": 2, "s": 2, "e": 2}, map[string]float64{"n": 6, "s": 6, "e": 6}, map[string]int{"n": 2, "s": 2, "e": 2}},
		{"no loads known", map[string]int{"n": 2, "s": 5}, nil, map[string]int{"n": 2, "s": 5}},
		{"the last one is not lent", map[string]int{"n": 1, "s": 1}, map[string]float64{"n": 0.1, "s": 9}, map[string]int{"n": 1, "s": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ups []*Upstream
			for zone, n := range c.ups {
				for _, i := range list(n, zone, 0) {
					ups = append(ups, &Upstream{Instance: i})
				}
			}
			loads := Loads{}
			for zone, n := range c.loads {
				loads[zone] = map[string]float64{"a": n}
			}
			plan := lend("a", ups, loads, zones)
			got := map[string]int{}
			for _, u := range ups {
				if z, ok := plan[u.ID]; ok {
					got[z]++
				} else {
					got[u.Zone]++
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Fatalf("used as own: %v, want %v", got, c.want)
			}
			for i := 0; i < 5; i++ { // every gateway comes to the same plan
				rand.New(rand.NewSource(int64(i))).Shuffle(len(ups), func(a, b int) { ups[a], ups[b] = ups[b], ups[a] })
				if again := lend("a", ups, loads, zones); fmt.Sprint(again) != fmt.Sprint(plan) {
					t.Fatalf("plans differ: %v and %v", again, plan)
				}
			}
		})
	}
}

func TestHomesAreSharedOutEvenlyAndOnce(t *testing.T) {
	ds, sh := gateways("z")
	owners := map[string]int{}
	for _, d := range ds {
		s := fresh(d.Address, "z", list(7, "z", 0), ds, sh, nil)
		for _, st := range s.States(0) {
			if st.Home {
				owners[st.ID]++
			}
		}
	}
	for _, i := range list(7, "z", 0) {
		if owners[i.ID] != 1 {
			t.Errorf("%s is used first by %d gateways", i.ID, owners[i.ID])
		}
	}
}

func TestLeavingUpstreamsGetNothingMore(t *testing.T) {
	ds, sh := gateways("z")
	cases := map[string]func(s *Balancer){
		"draining":  func(s *Balancer) { l := list(1, "z", 0); l[0].Draining = true; s.SetList(ms, l) },
		"gone":      func(s *Balancer) { s.SetList(ms, nil) },
		"evacuated": func(s *Balancer) { s.SetEvacuated(ms, map[string]bool{"z": true}) },
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			s := fresh("z-gateway-0", "z", list(1, "z", 0), ds[:1], sh, nil)
			g, ok := claim(s, 0, &AcquireRequest{})
			if !ok || g.Refused != Granted {
				t.Fatal("no upstream")
			}
			leave(s)
			s.Release(2*ms, g, &Conn{Expires: time.Hour}, Served)
			if g, ok := claim(s, 3*ms, &AcquireRequest{}); !ok || g.Refused != NoneLeft {
				t.Fatalf("got %+v", g)
			}
		})
	}
}

func TestANewLifeAtTheSameAddressIsAnotherUpstream(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(1, "z", 0), ds[:1], sh, nil)
	g, _ := claim(s, 0, &AcquireRequest{})
	s.Release(ms, g, &Conn{Expires: time.Hour}, Served)
	next := list(1, "z", 0)
	next[0].ID = "other-life"
	s.SetList(2*ms, next)
	if len(s.Closed) == 0 {
		t.Error("connections to the former life are kept")
	}
	prove(s, 2*ms)
	if g, _ := claim(s, 3*ms, &AcquireRequest{}); g.ID != "other-life" || g.Upstream.Served != 0 {
		t.Fatalf("got %+v", g)
	}
}

func TestFailuresKeepRequestsAwayUntilATrialSucceeds(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(1, "z", 0), ds[:1], sh, nil)
	g, _ := claim(s, 0, &AcquireRequest{})
	s.Release(0, g, nil, Failing)
	var later SlotLease
	s.Acquire(ms, &AcquireRequest{Service: "a", Give: func(g SlotLease) { later = g }})
	if later.Upstream != nil {
		t.Fatal("a request went to a failing upstream")
	}
	last := time.Duration(0)
	for try, now := 0, time.Duration(0); try < 4; now += 10 * ms {
		s.Tick(now)
		if len(s.Trials) == 1 {
			if gap := now - last; try > 0 && gap < cfg("", "").Eject<<try {
				t.Fatalf("trial %d after only %v", try, gap)
			}
			u := s.Trials[0]
			s.Trials = nil
			try++
			last = now
			if try == 4 {
				s.Tried(now, u, &Conn{Expires: time.Hour})
			} else {
				s.Tried(now, u, nil)
			}
		}
	}
	if later.Upstream == nil {
		t.Fatal("not used again after a trial that succeeded")
	}
	if !later.Upstream.Cold(last) {
		t.Error("after a silence it is taken to be warm")
	}
}

// All gateways together, in whatever view of each other they have, may send no
// more to a cold upstream in any second than the rule allows.
func TestColdPaceHoldsOverAllGateways(t *testing.T) {
	ds, sh := gateways("z", "y")
	rng := rand.New(rand.NewSource(7))
	for name, views := range map[string]func(i int) []membership.Node{
		"same view": func(int) []membership.Node { return ds },
		"stale views": func(i int) []membership.Node { // half of the gateways do not know one of them
			if i%2 == 0 {
				return ds[:len(ds)-1]
			}
			return ds[1:]
		},
	} {
		t.Run(name, func(t *testing.T) {
			var stocks []*Balancer
			for i, d := range ds {
				s := fresh(d.Address, d.Zone, list(1, "z", 20000), views(i), sh, map[string]int{"a": 0})
				stocks = append(stocks, s)
			}
			var sent []time.Duration
			for now := time.Duration(0); now < 15*time.Second; now += 5 * ms {
				s := stocks[rng.Intn(len(stocks))]
				s.Tick(now)
				c := &AcquireRequest{Service: "a"}
				c.Give = func(g SlotLease) {
					if g.Refused == Granted {
						sent = append(sent, now)
						s.Release(now, g, nil, Served)
					}
				}
				s.Acquire(now, c)
			}
			most := 0
			for i := range sent {
				n := 0
				for j := i; j < len(sent) && sent[j]-sent[i] < time.Second; j++ {
					n++
				}
				most = max(most, n)
			}
			if limit := int(8*1.5 + 5); most > limit {
				t.Errorf("%d requests in a second, allowed are %d", most, limit)
			}
			if most < 4 {
				t.Errorf("only %d requests in a second: the pace starves the upstream", most)
			}
		})
	}
}

func TestAZoneTakenBackCountsAsColdAtFirst(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(2, "z", 0), ds, sh, nil)
	s.SetEvacuated(ms, map[string]bool{"z": true})
	s.SetEvacuated(time.Second, map[string]bool{})
	for _, st := range s.States(time.Second + ms) {
		if !st.Cold {
			t.Errorf("%s is taken to be warm", st.ID)
		}
	}
	for _, st := range s.States(6 * time.Second) {
		if st.Cold {
			t.Errorf("%s is cold for ever", st.ID)
		}
	}
}

// Warmth that is not known is asked for by the few gateways that may send to a
// cold upstream, and only by them.
func TestUnknownWarmthIsAskedForByFew(t *testing.T) {
	ds, sh := gateways("z", "y")
	asked := 0
	for _, d := range ds {
		s := fresh(d.Address, d.Zone, list(1, "z", 0), ds, sh, nil)
		s.infos["a"] = ServiceInfo{MaxConns: 200, HealthPath: "/h", WarmupS: 3, WarmupPerS: 8}
		s.SetEvacuated(ms, map[string]bool{"z": true})
		s.SetEvacuated(time.Second, map[string]bool{})
		asked += len(s.Probes)
		for _, p := range s.Probes {
			s.Probed(2*time.Second, p.Upstream, 500*ms, true)
			if p.Upstream.Cold(2600*ms) || !p.Upstream.Cold(2400*ms) {
				t.Error("the upstream's own word does not count")
			}
		}
	}
	if asked == 0 || asked > ColdSenders+1 {
		t.Errorf("%d probes", asked)
	}
}

// An answer that was asked for before an upstream was lost sight of once more does not
// tell how warm it is since.
func TestAnAnswerFromBeforeADoubtDoesNotCount(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(1, "z", 0), ds, sh, nil)
	s.infos["a"] = ServiceInfo{MaxConns: 200, HealthPath: "/h", WarmupS: 3, WarmupPerS: 8}
	lost := func(now time.Duration) {
		s.SetEvacuated(now, map[string]bool{"z": true})
		s.SetEvacuated(now, map[string]bool{})
	}
	lost(time.Second)
	lost(2 * time.Second)
	if len(s.Probes) != 1 {
		t.Fatalf("%d probes at once", len(s.Probes))
	}
	u := s.Probes[0].Upstream
	s.Probed(2100*ms, u, 0, true)
	if !u.Cold(2200 * ms) {
		t.Error("taken to be warm by an answer from before")
	}
	if len(s.Probes) != 2 {
		t.Fatalf("asked %d times", len(s.Probes))
	}
	s.Probed(2300*ms, u, 0, true)
	if u.Cold(2400*ms) || len(s.Probes) != 2 {
		t.Error("the answer since does not count")
	}
}

// The budget of all gateways together holds in every window, also when gateways start
// anew and when each knows only some of the others.
func TestRetryBudgetHoldsOverAllGateways(t *testing.T) {
	ds, sh := gateways("z", "y")
	rng := rand.New(rand.NewSource(3))
	newStock := func(i int) *Balancer {
		view := append(append([]membership.Node{}, ds[:i/2]...), ds[i/2+1:]...)
		return fresh(ds[i].Address, ds[i].Zone, list(40, "z", 0), view, sh, map[string]int{"a": 0})
	}
	var stocks []*Balancer
	for i := range ds {
		stocks = append(stocks, newStock(i))
	}
	type mark struct {
		at    time.Duration
		retry bool
	}
	var marks []mark
	for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
		i := rng.Intn(len(stocks))
		s := stocks[i]
		if rng.Intn(1000) == 0 {
			stocks[i] = newStock(i) // its process was killed
		}
		// Spans in which nothing fails are followed by spans in which all does
		// and traffic all but stops.
		failing := now/(15*time.Second)%2 == 1
		if !failing || rng.Intn(20) == 0 {
			s.Request("a")
			marks = append(marks, mark{now, false})
		}
		for k := 0; failing && k < 3; k++ { // every request wants to be repeated three times
			g, ok := claim(s, now, &AcquireRequest{Retry: true})
			if ok && g.Refused == Granted {
				marks = append(marks, mark{now, true})
				s.Release(now, g, nil, Served)
			}
		}
	}
	for i := range marks {
		retries, requests := 0, 0
		for j := i; j < len(marks) && marks[j].at-marks[i].at < 10*time.Second; j++ {
			if marks[j].retry {
				retries++
			} else {
				requests++
			}
		}
		if float64(retries) > 0.2*float64(requests)+60 {
			t.Fatalf("%d further tries on %d requests in the window from %v", retries, requests, marks[i].at)
		}
	}
}

func TestCrowdedStockRefusesTheLeastUrgent(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(1, "z", 0), ds[:1], sh, nil)
	for {
		if _, ok := claim(s, 0, &AcquireRequest{}); !ok {
			break
		}
	}
	var refused []int
	wait := func(priority int) {
		c := &AcquireRequest{Service: "a", Priority: priority}
		c.Give = func(g SlotLease) {
			if g.Refused == Crowded {
				refused = append(refused, priority)
			}
		}
		s.Acquire(0, c)
	}
	for i := 0; i < 12; i++ {
		wait(2)
	}
	before := len(refused)
	if before == 0 {
		t.Fatal("everything waits")
	}
	wait(0)
	if len(refused) != before+1 || refused[before] != 2 {
		t.Fatalf("refused %v", refused)
	}
}

func TestStandPassesOnDifferencesAndWholes(t *testing.T) {
	var a, b, late ListSnapshot
	steps := [][]Instance{list(3, "z", 0), list(4, "z", 0), list(4, "z", 9000), list(2, "z", 0), nil}
	for i, step := range steps {
		now := time.Duration(i) * time.Second
		a.Update(now, 1, 9, step)
		l := a.Since(now, b.Version)
		if l == nil || !b.Take(now, *l) {
			t.Fatalf("step %d: no news", i)
		}
		if got, want := ids(b.All(now)), ids(a.All(now)); got != want {
			t.Fatalf("step %d: %s, want %s", i, got, want)
		}
		if i == 2 {
			if l := a.Since(now, late.Version); l == nil || !late.Take(now, *l) || ids(late.All(now)) != ids(a.All(now)) {
				t.Fatal("a late comer does not get the whole")
			}
		}
	}
	if a.Update(9*time.Second, 1, 9, nil) {
		t.Error("no difference, but a new version")
	}
}

func TestListsOfTwoHoldersUnderOneTerm(t *testing.T) {
	for _, c := range []struct {
		known, shown Version
		foreign      bool
	}{
		{Version{1, 5, 7}, Version{1, 9, 7}, false}, // the same holder, further on
		{Version{1, 1, 7}, Version{1, 9, 8}, true},  // a former holder's list would hide ours
		{Version{1, 1, 8}, Version{1, 9, 7}, false}, // ours wins anyway
		{Version{1, 1, 8}, Version{2, 1, 7}, true},
		{Version{3, 1, 8}, Version{2, 9, 9}, false},
	} {
		if got := c.known.Foreign(c.shown); got != c.foreign {
			t.Errorf("%v shown %v: foreign %v", c.known, c.shown, got)
		}
	}
}

func ids(l []Instance) string {
	var out []string
	for _, i := range l {
		out = append(out, fmt.Sprint(i.ID, i.WarmupMs))
	}
	return strings.Join(out, " ")
}

func TestReadAllTakesWholeListsOnly(t *testing.T) {
	pages := 3
	fail := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := 0
		_, _ = fmt.Sscanf(r.URL.Query().Get("pageToken"), "p-%d", &n)
		if fail > 0 && n+1 == fail {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		p := map[string]any{"instances": []any{map[string]any{"id": fmt.Sprint(n), "target": "a", "address": "h:1", "zone": "z",
			"capacity": 3, "state": map[bool]string{true: "draining", false: "ready"}[n == 1], "warmupLeftS": 0.5}}, "nextToken": nil}
		if n+1 < pages {
			p["nextToken"] = fmt.Sprintf("p-%d", n+1)
		}
		_ = json.NewEncoder(w).Encode(p)
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	got, calls, err := ReadAll(context.Background(), srv.Client(), address, SteadyPace(40))
	if err != nil || calls != 3 || len(got) != 3 || !got[1].Draining || got[0].Draining || got[2].WarmupMs != 500 {
		t.Fatalf("%v %+v", err, got)
	}
	fail = 2
	if got, _, err := ReadAll(context.Background(), srv.Client(), address, SteadyPace(40)); err == nil {
		t.Fatalf("a list that is cut off passed for whole: %+v", got)
	}
}

// When an upstream falls silent for one request, those that wait there and may
// run again are let go; the others wait on.
func TestSilenceLetsGoOfThoseWhoMayRunAgain(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(1, "z", 0), ds[:1], sh, nil)
	wait := func(h *WaitHandle) (SlotLease, *deadlines) {
		g, ok := claim(s, 0, &AcquireRequest{Hold: h})
		if !ok || g.Refused != Granted {
			t.Fatal("no upstream")
		}
		d := &deadlines{}
		g.Hold.On(&Conn{Conn: d})
		return g, d
	}
	_, repeatable := wait(&WaitHandle{})
	_, once := wait(nil)
	done, _ := wait(&WaitHandle{})
	s.Release(ms, done, nil, Failing)
	if repeatable.set {
		t.Error("let go though the upstream only broke off")
	}
	s.Tried(2*ms, done.Upstream, &Conn{Expires: time.Hour})
	s.Release(3*ms, SlotLease{Upstream: done.Upstream}, nil, Silent)
	if !repeatable.set || once.set {
		t.Errorf("let go: %v; one that must not run again: %v", repeatable.set, once.set)
	}
}

type deadlines struct {
	net.Conn
	set bool
}

func (d *deadlines) SetReadDeadline(time.Time) error { d.set = true; return nil }

// A further try that was never sent takes nothing from the budget.
func TestAFurtherTryThatWasNotSentGoesBack(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(3, "z", 0), ds, sh, nil)
	s.Request("a")
	budget := &s.service("a").budget
	budget.tokens = 1
	for _, c := range []struct {
		how  Outcome
		want Refusal
	}{{Unused, Granted}, {Unused, Granted}, {Served, Granted}, {Served, NoBudget}} {
		g, answered := claim(s, 0, &AcquireRequest{Retry: true})
		if !answered || g.Refused != c.want {
			t.Fatalf("%v, not %v", g.Refused, c.want)
		}
		if g.Refused == Granted {
			s.Release(0, g, nil, c.how)
		}
	}
}

// Whoever reads a list again and again makes half of the calls that the platform bears. Who reads in place of another
// makes no more of them in any second, but the first ones at once.
func TestPacesOfReading(t *testing.T) {
	const perS = 44
	for name, c := range map[string]struct {
		pace  CallPace
		calls int
		takes time.Duration
	}{
		"steady, a short list": {SteadyPace(perS), 6, 0},
		"steady, 20 pages":     {SteadyPace(perS), 20, 14 * time.Second / 22},
		"hasty, 20 pages":      {HastyPace(perS), 20, 0},
		"hasty, 22 pages":      {HastyPace(perS), 22, 0},
		"hasty, 44 pages":      {HastyPace(perS), 44, time.Second + 21*time.Second/22},
		"no bound":             {HastyPace(0), 1000, 0},
	} {
		if takes := c.pace.Pauses(c.calls); takes < c.takes-time.Microsecond || takes > c.takes+time.Microsecond {
			t.Errorf("%s: pauses of %v, want %v", name, takes, c.takes)
		}
	}
	for from := range 100 { // calls in the second from one of them on
		calls := 0
		for at, n := HastyPace(perS).before(from), from; at-HastyPace(perS).before(from) < time.Second-time.Microsecond; n++ {
			calls++
			at += HastyPace(perS).before(n + 1)
		}
		if calls > perS/2 {
			t.Errorf("%d calls in the second from the call after %d others on", calls, from)
		}
	}
}
