package upstream

import (
	"strings"
	"testing"
	"time"
)

func versioned(version string, n int) []Instance {
	out := list(n, "z", 0)
	for i := range out {
		out[i].ID, out[i].Version = version+"-"+out[i].ID, version
	}
	return out
}

// reached says which versions answer claims for a version, over many claims.
func reached(s *Balancer, now time.Duration, version string) (of map[string]int) {
	of = map[string]int{}
	var got []SlotLease
	for range 60 {
		c := &AcquireRequest{Version: version}
		g, answered := claim(s, now, c)
		switch {
		case !answered:
			s.Withdraw(c)
		case g.Refused == Granted:
			of[strings.SplitN(g.ID, "-", 2)[0]]++
			got = append(got, g)
		}
	}
	for _, g := range got {
		s.Release(now, g, nil, Unused)
	}
	return of
}

func TestWhichVersionsGetRequests(t *testing.T) {
	v1, v2, v3 := versioned("v1", 6), versioned("v2", 6), versioned("v3", 9)
	both := append(append([]Instance(nil), v1...), v2...)
	stands := map[string]Versions{"a": {Stands: "v1"}}
	moving := map[string]Versions{"a": {Stands: "v1", Candidate: "v2", Ordered: true}}
	for _, c := range []struct {
		name  string
		steps func(s *Balancer)
		claim string
		only  string // the version that answers; empty: none does
	}{
		{"first start", func(s *Balancer) { s.SetList(0, v1) }, "", "v1"},
		{"another is listed, nobody has said a word", func(s *Balancer) { s.SetList(0, v1); s.SetList(0, append(both, v3...)) }, "", "v1"},
		{"all are replaced, nobody has said a word", func(s *Balancer) { s.SetList(0, v1); s.SetList(0, v2) }, "", "v2"},
		{"a restart with both listed", func(s *Balancer) { s.SetVersions(0, stands); s.SetList(0, append(both, v3...)) }, "", "v1"},
		{"list, then versions", func(s *Balancer) { s.SetList(0, append(both, v3...)); s.SetVersions(0, stands) }, "", "v1"},
		{"a candidate, without weight", func(s *Balancer) { s.SetVersions(0, moving); s.SetList(0, both) }, "", "v1"},
		{"a candidate, with weight", func(s *Balancer) { s.SetVersions(0, moving); s.SetList(0, both) }, "v2", "v2"},
		{"order before list", func(s *Balancer) { s.SetList(0, v1); s.SetVersions(0, moving) }, "v2", ""},
		{"a third, beside the candidate", func(s *Balancer) { s.SetVersions(0, moving); s.SetList(0, append(both, v3...)) }, "", "v1"},
		{"what stood is gone without an order", func(s *Balancer) { s.SetVersions(0, stands); s.SetList(0, v2) }, "", "v2"},
		{"what an order says stands is gone", func(s *Balancer) {
			s.SetVersions(0, map[string]Versions{"a": {Stands: "v1", Ordered: true}})
			s.SetList(0, v2)
		}, "", ""},
		{"reversed", func(s *Balancer) { s.SetVersions(0, moving); s.SetList(0, both); s.SetVersions(0, stands) }, "v2", "v1"},
		{"complete", func(s *Balancer) {
			s.SetVersions(0, moving)
			s.SetList(0, both)
			s.SetVersions(0, map[string]Versions{"a": {Stands: "v2", Ordered: true}})
		}, "", "v2"},
		{"order when nothing was known to stand", func(s *Balancer) {
			s.SetVersions(0, map[string]Versions{"a": {Candidate: "v2"}})
			s.SetList(0, both)
		}, "", "v1"},
		{"no versions at all", func(s *Balancer) { s.SetList(0, versioned("", 4)) }, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			ds, sh := gateways("z")
			s := fresh("z-gateway-0", "z", nil, ds[:1], sh, nil)
			s.known = false
			c.steps(s)
			prove(s, 0)
			of := reached(s, 0, c.claim)
			if c.name == "no versions at all" {
				if of[""] == 0 {
					t.Errorf("got %v", of)
				}
				return
			}
			for v, n := range of {
				if v != c.only {
					t.Errorf("%d requests to %s", n, v)
				}
			}
			if c.only != "" && of[c.only] == 0 {
				t.Errorf("none to %s: %v", c.only, of)
			}
		})
	}
}

// What waits for a candidate is not lost when that is reversed, and connections to
// what gets nothing more are closed.
func TestAReversalLetsGoOfTheCandidate(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", nil, ds[:1], sh, nil)
	s.SetVersions(0, map[string]Versions{"a": {Stands: "v1", Candidate: "v2", Ordered: true}})
	s.SetList(0, append(versioned("v1", 3), versioned("v2", 1)...))
	prove(s, 0)
	var held []SlotLease
	for { // fill the candidate
		c := &AcquireRequest{Version: "v2"}
		g, answered := claim(s, 0, c)
		if !answered {
			s.Withdraw(c)
			break
		}
		held = append(held, g)
	}
	waits := &AcquireRequest{Version: "v2"}
	var got *SlotLease
	waits.Service, waits.Give = "a", func(g SlotLease) { got = &g }
	s.Acquire(0, waits)
	if got != nil {
		t.Fatal("a full candidate takes more")
	}
	s.SetVersions(0, map[string]Versions{"a": {Stands: "v1", Ordered: true}})
	if got == nil || !strings.HasPrefix(got.ID, "v1") {
		t.Fatalf("what waited got %+v", got)
	}
	closed := len(s.Closed)
	s.Release(0, held[0], &Conn{Expires: time.Hour}, Served)
	if len(s.Closed) != closed+1 {
		t.Error("a connection to a reversed version is kept")
	}
	if of := reached(s, 0, "v2"); of["v2"] > 0 {
		t.Errorf("a reversed version gets %v", of)
	}
}

// Further tries draw on one budget, whatever the version.
func TestOneBudgetForBothArms(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", nil, ds[:1], sh, nil)
	s.SetVersions(0, map[string]Versions{"a": {Stands: "v1", Candidate: "v2", Ordered: true}})
	s.SetList(0, append(versioned("v1", 6), versioned("v2", 6)...))
	prove(s, 0)
	for range 11 {
		s.Request("a") // earns a little over 2 in all
	}
	granted := 0
	for i := range 20 {
		version := ""
		if i%2 == 0 {
			version = "v2"
		}
		if g, ok := claim(s, 0, &AcquireRequest{Version: version, Retry: true}); ok && g.Refused == Granted {
			granted++
		}
	}
	if granted != 2 {
		t.Errorf("%d further tries on a budget of 2", granted)
	}
}
