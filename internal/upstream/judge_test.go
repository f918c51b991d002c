package upstream

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"madderwing/internal/membership"
)

// answer sends one request to whichever upstream the balancer picks and ends it.
func answer(t *testing.T, s *Balancer, now time.Duration, how func(id string) (Outcome, time.Duration)) string {
	t.Helper()
	g, ok := claim(s, now, &AcquireRequest{Aim: 400 * ms})
	if !ok || g.Refused != Granted {
		t.Fatalf("at %v: no upstream", now)
	}
	out, took := how(g.ID)
	s.Release(now+took, g, &Conn{Expires: time.Hour}, out)
	return g.ID
}

func TestAnUpstreamThatFailsItsShareIsLeftAlone(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(12, "z", 0), ds[:1], sh, nil)
	bad := ""
	after := 0
	for i := 0; i < 600; i++ {
		now := time.Duration(i) * 10 * ms
		id := answer(t, s, now, func(id string) (Outcome, time.Duration) {
			if bad == "" {
				bad = id
			}
			if id == bad && i%2 == 0 {
				return Poor, 5 * ms
			}
			return Served, 5 * ms
		})
		if i > 100 && id == bad {
			after++
		}
	}
	if after > 30 {
		t.Errorf("%d of 500 requests still went to the one that fails half of its own", after)
	}
}

func TestWhatFailsEverywhereIsHeldAgainstNobody(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(6, "z", 0), ds[:1], sh, nil)
	for i := 0; i < 200; i++ {
		answer(t, s, time.Duration(i)*10*ms, func(string) (Outcome, time.Duration) { return Poor, 5 * ms })
	}
	out := 0
	for _, u := range s.ups {
		if u.until > 2*time.Second || u.trial {
			out++
		}
	}
	if out > 2 {
		t.Errorf("%d of 6 are left alone", out)
	}
}

func TestSlowOnesGetLess(t *testing.T) {
	ds, sh := gateways("z")
	s := fresh("z-gateway-0", "z", list(6, "z", 0), ds[:1], sh, nil)
	slow, got := "", 0
	for i := 0; i < 100; i++ {
		now := time.Duration(i) * 40 * ms
		var under []SlotLease
		for range 4 {
			g, ok := claim(s, now, &AcquireRequest{Aim: 400 * ms})
			if !ok {
				t.Fatal("no upstream")
			}
			if slow == "" {
				slow = g.ID
			}
			if g.ID == slow {
				got++
			}
			under = append(under, g)
		}
		for _, g := range under {
			took := 50 * ms
			if g.ID == slow {
				took = 500 * ms
			}
			s.Release(now+took, g, &Conn{Expires: time.Hour}, Served)
		}
	}
	if got > 30 {
		t.Errorf("%d of 400 requests went to the one that takes ten times as long", got)
	}
}

func TestRequestsThatAnUpstreamSitsOn(t *testing.T) {
	cases := []struct {
		name  string
		stuck int
		wait  time.Duration
		out   bool
	}{
		{"one long request", 1, 3 * time.Second, false},
		{"two, but not for long", 2, 100 * ms, false},
		{"two that wait", 2, 600 * ms, true},
	}
	for _, c := range cases {
		ds, sh := gateways("z")
		s := fresh("z-gateway-0", "z", list(6, "z", 0), ds[:1], sh, nil)
		for i := 0; i < 100; i++ {
			answer(t, s, time.Duration(i)*ms, func(string) (Outcome, time.Duration) { return Served, 60 * ms })
		}
		now := 200 * ms
		var u *Upstream
		for n := 0; n < c.stuck; {
			g, ok := claim(s, now, &AcquireRequest{Aim: 400 * ms, Hold: &WaitHandle{}})
			if !ok {
				t.Fatal("no upstream")
			}
			if u == nil || g.Upstream == u {
				u = g.Upstream
				n++
			}
		}
		s.Tick(now + c.wait)
		if got := u.until > now+c.wait; got != c.out {
			t.Errorf("%s: left alone is %v", c.name, got)
		}
	}
}

func TestRegionsBindAndTheOwnGoesFirst(t *testing.T) {
	region := func(zone string) string { return zone[:1] }
	ds := []membership.Node{{Address: "d", Name: "d", Zone: "n1"}, {Address: "e", Name: "e", Zone: "s1"}}
	s := NewBalancer(cfg("d", "n1"))
	s.cfg.Region = region
	s.SetGateways(0, ds, nil)
	s.SetServices(0, map[string]ServiceInfo{"a": {MaxConns: 200}}, nil)
	s.SetList(0, append(list(4, "n1", 0), list(4, "s1", 0)...))
	prove(s, 0)
	cases := []struct {
		name    string
		claim   AcquireRequest
		zone    string
		refused Refusal
	}{
		{"anywhere", AcquireRequest{}, "n1", Granted},
		{"its own region", AcquireRequest{Bound: true, Regions: []string{"n"}}, "n1", Granted},
		{"another region", AcquireRequest{Bound: true, Regions: []string{"s"}}, "s1", Granted},
		{"one where nothing is", AcquireRequest{Bound: true, Regions: []string{"w"}}, "", NoneLeft},
		{"none at all", AcquireRequest{Bound: true}, "", NoneLeft},
	}
	for _, c := range cases {
		for i := 0; i < 8; i++ {
			g, ok := claim(s, 0, &c.claim)
			if !ok {
				break // as many as may be under way
			}
			if g.Refused != c.refused || g.Refused == Granted && g.Upstream.Zone != c.zone {
				t.Errorf("%s: %v in %v", c.name, g.Refused, g.Upstream)
			}
			if g.Refused == Granted {
				s.Release(ms, g, nil, Served)
			}
		}
	}
	// A claim that waits for one region does not hold up those that need not.
	for {
		if _, ok := claim(s, ms, &AcquireRequest{Bound: true, Regions: []string{"s"}}); !ok {
			break
		}
	}
	if g, ok := claim(s, ms, &AcquireRequest{}); !ok || g.Upstream.Zone != "n1" {
		t.Errorf("held up by a claim for another region: %v", ok)
	}
}

// A gateway that leaves waits for what it has sent on; one that stays cuts a wait short
// where an upstream falls silent, or sits on requests that the budget allows to be sent
// elsewhere: a wait that is cut short for nothing ends a request that may yet be answered.
func TestALeavingGatewayCutsNoWaitShort(t *testing.T) {
	for _, c := range []struct {
		name            string
		leaving, silent bool
		requests        int // that have earned a fifth of a further try each
		cut             int // of the waits
	}{
		{"stays, upstream sits", false, false, 30, 3},
		{"stays, upstream sits, budget for one", false, false, 6, 1},
		{"stays, upstream sits, no budget", false, false, 0, 0},
		{"stays, upstream falls silent", false, true, 0, 2},
		{"leaves, upstream sits", true, false, 30, 0},
		{"leaves, upstream falls silent", true, true, 30, 0},
	} {
		ds, sh := gateways("z")
		s := fresh("z-gateway-0", "z", list(1, "z", 0), ds[:1], sh, nil)
		for i := 0; i < 100; i++ {
			answer(t, s, time.Duration(i)*ms, func(string) (Outcome, time.Duration) { return Served, 60 * ms })
		}
		var held []*WaitHandle
		theirs := map[*WaitHandle]net.Conn{}
		var grants []SlotLease
		for range 3 {
			h := &WaitHandle{}
			ours, other := net.Pipe()
			theirs[h] = other
			h.On(&Conn{Conn: ours})
			g, ok := claim(s, 200*ms, &AcquireRequest{Aim: 400 * ms, Hold: h})
			if !ok {
				t.Fatal("no upstream")
			}
			held, grants = append(held, h), append(grants, g)
		}
		for range c.requests {
			s.Request("a")
		}
		if c.leaving {
			s.Leave()
		}
		cut := 0
		if c.silent {
			s.Release(300*ms, grants[0], nil, Silent)
			held = held[1:]
		} else {
			s.Tick(3 * time.Second)
		}
		for _, h := range held {
			// A pipe whose deadline has passed reads nothing more.
			conn := h.conn.Load()
			go func() { _, _ = theirs[h].Write([]byte{1}) }()
			_, err := conn.Read(make([]byte, 1))
			if errors.Is(err, os.ErrDeadlineExceeded) {
				cut++
			}
			theirs[h].Close()
		}
		if cut != c.cut {
			t.Errorf("%s: %d waits cut short, want %d", c.name, cut, c.cut)
		}
	}
}
