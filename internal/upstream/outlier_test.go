package upstream

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"madderwing/internal/membership"
)

// sendOne sends one request to the upstream that the balancer picks, and releases it with the outcome and
// latency that outcomeOf returns for it. It returns the upstream's ID.
func sendOne(t *testing.T, balancer *Balancer, now time.Duration, outcomeOf func(id string) (Outcome, time.Duration)) string {
	t.Helper()
	lease, ok := acquire(balancer, now, &AcquireRequest{LatencyTarget: 400 * ms})
	if !ok || lease.Refusal != Granted {
		t.Fatalf("at %v: no upstream granted", now)
	}
	outcome, latency := outcomeOf(lease.ID)
	balancer.Release(now+latency, lease, &Conn{Expires: time.Hour}, outcome)
	return lease.ID
}

func TestUpstreamWithHighErrorRateIsEjected(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(12, "z", 0), nodes[:1], shards, nil)
	failing := ""
	afterDetection := 0
	for i := 0; i < 600; i++ {
		now := time.Duration(i) * 10 * ms
		id := sendOne(t, balancer, now, func(id string) (Outcome, time.Duration) {
			if failing == "" {
				failing = id
			}
			if id == failing && i%2 == 0 {
				return ServerError, 5 * ms
			}
			return Served, 5 * ms
		})
		if i > 100 && id == failing {
			afterDetection++
		}
	}
	if afterDetection > 30 {
		t.Errorf("%d of 500 requests still went to the upstream that fails half of its requests", afterDetection)
	}
}

func TestServiceWideErrorsEjectFewUpstreams(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(6, "z", 0), nodes[:1], shards, nil)
	for i := 0; i < 200; i++ {
		sendOne(t, balancer, time.Duration(i)*10*ms, func(string) (Outcome, time.Duration) { return ServerError, 5 * ms })
	}
	ejected := 0
	for _, u := range balancer.upstreams {
		if u.ejectedUntil > 2*time.Second || u.probation {
			ejected++
		}
	}
	if ejected > 2 {
		t.Errorf("%d of 6 upstreams are ejected", ejected)
	}
}

func TestSlowUpstreamGetsFewerRequests(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(6, "z", 0), nodes[:1], shards, nil)
	slow, slowRequests := "", 0
	for i := 0; i < 100; i++ {
		now := time.Duration(i) * 40 * ms
		var inFlight []SlotLease
		for range 4 {
			lease, ok := acquire(balancer, now, &AcquireRequest{LatencyTarget: 400 * ms})
			if !ok {
				t.Fatal("no upstream granted")
			}
			if slow == "" {
				slow = lease.ID
			}
			if lease.ID == slow {
				slowRequests++
			}
			inFlight = append(inFlight, lease)
		}
		for _, lease := range inFlight {
			latency := 50 * ms
			if lease.ID == slow {
				latency = 500 * ms
			}
			balancer.Release(now+latency, lease, &Conn{Expires: time.Hour}, Served)
		}
	}
	if slowRequests > 30 {
		t.Errorf("%d of 400 requests went to the upstream that takes ten times as long", slowRequests)
	}
}

func TestStalledRequestsEjectUpstream(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		wait     time.Duration
		ejected  bool
	}{
		{"one stalled request", 1, 3 * time.Second, false},
		{"two requests, not long enough", 2, 100 * ms, false},
		{"two stalled requests", 2, 600 * ms, true},
	}
	for _, c := range cases {
		nodes, shards := makeGateways("z")
		balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(6, "z", 0), nodes[:1], shards, nil)
		for i := 0; i < 100; i++ {
			sendOne(t, balancer, time.Duration(i)*ms, func(string) (Outcome, time.Duration) { return Served, 60 * ms })
		}
		now := 200 * ms
		var u *Upstream
		for n := 0; n < c.requests; {
			lease, ok := acquire(balancer, now, &AcquireRequest{LatencyTarget: 400 * ms, WaitHandle: &WaitHandle{}})
			if !ok {
				t.Fatal("no upstream granted")
			}
			if u == nil || lease.Upstream == u {
				u = lease.Upstream
				n++
			}
		}
		balancer.Tick(now + c.wait)
		if got := u.ejectedUntil > now+c.wait; got != c.ejected {
			t.Errorf("%s: ejected is %v", c.name, got)
		}
	}
}

func TestRegionRestrictionAndLocalRegionPreference(t *testing.T) {
	region := func(zone string) string { return zone[:1] }
	nodes := []membership.Node{{Address: "d", Name: "d", Zone: "n1"}, {Address: "e", Name: "e", Zone: "s1"}}
	balancer := NewBalancer(testConfig("d", "n1"))
	balancer.cfg.RegionOf = region
	balancer.SetGateways(0, nodes, nil)
	balancer.SetServices(0, map[string]ServiceInfo{"a": {MaxConns: 200}}, nil)
	balancer.SetList(0, append(makeInstances(4, "n1", 0), makeInstances(4, "s1", 0)...))
	completeTrials(balancer, 0)
	cases := []struct {
		name    string
		req     AcquireRequest
		zone    string
		refused Refusal
	}{
		{"any region", AcquireRequest{}, "n1", Granted},
		{"own region", AcquireRequest{RegionRestricted: true, Regions: []string{"n"}}, "n1", Granted},
		{"another region", AcquireRequest{RegionRestricted: true, Regions: []string{"s"}}, "s1", Granted},
		{"region without upstreams", AcquireRequest{RegionRestricted: true, Regions: []string{"w"}}, "", NoEligibleUpstream},
		{"no region at all", AcquireRequest{RegionRestricted: true}, "", NoEligibleUpstream},
	}
	for _, c := range cases {
		for i := 0; i < 8; i++ {
			lease, ok := acquire(balancer, 0, &c.req)
			if !ok {
				break // the in-flight limit is reached
			}
			if lease.Refusal != c.refused || lease.Refusal == Granted && lease.Upstream.Zone != c.zone {
				t.Errorf("%s: refusal %v, upstream %v", c.name, lease.Refusal, lease.Upstream)
			}
			if lease.Refusal == Granted {
				balancer.Release(ms, lease, nil, Served)
			}
		}
	}
	// A queued request that is restricted to one region does not block the others.
	for {
		if _, ok := acquire(balancer, ms, &AcquireRequest{RegionRestricted: true, Regions: []string{"s"}}); !ok {
			break
		}
	}
	if lease, ok := acquire(balancer, ms, &AcquireRequest{}); !ok || lease.Upstream.Zone != "n1" {
		t.Errorf("blocked by a request for another region: decided is %v", ok)
	}
}

// A gateway that is shutting down waits for all requests that it has forwarded. Otherwise it
// interrupts requests at an unresponsive upstream, and as many stalled requests as the retry
// budget allows: any more would fail although the upstream may still respond to them.
func TestShuttingDownGatewayInterruptsNoRequest(t *testing.T) {
	for _, c := range []struct {
		name                       string
		shuttingDown, unresponsive bool
		requests                   int // each earns a fifth of a retry token
		interrupted                int // interrupted requests
	}{
		{"requests stall", false, false, 30, 3},
		{"requests stall, budget for one retry", false, false, 6, 1},
		{"requests stall, no retry budget", false, false, 0, 0},
		{"upstream is unresponsive", false, true, 0, 2},
		{"shutting down, requests stall", true, false, 30, 0},
		{"shutting down, upstream is unresponsive", true, true, 30, 0},
	} {
		nodes, shards := makeGateways("z")
		balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(1, "z", 0), nodes[:1], shards, nil)
		for i := 0; i < 100; i++ {
			sendOne(t, balancer, time.Duration(i)*ms, func(string) (Outcome, time.Duration) { return Served, 60 * ms })
		}
		var handles []*WaitHandle
		remoteEnds := map[*WaitHandle]net.Conn{}
		var leases []SlotLease
		for range 3 {
			handle := &WaitHandle{}
			local, remote := net.Pipe()
			remoteEnds[handle] = remote
			handle.SetConn(&Conn{Conn: local})
			lease, ok := acquire(balancer, 200*ms, &AcquireRequest{LatencyTarget: 400 * ms, WaitHandle: handle})
			if !ok {
				t.Fatal("no upstream granted")
			}
			handles, leases = append(handles, handle), append(leases, lease)
		}
		for range c.requests {
			balancer.RecordRequest("a")
		}
		if c.shuttingDown {
			balancer.BeginShutdown()
		}
		interrupted := 0
		if c.unresponsive {
			balancer.Release(300*ms, leases[0], nil, Unresponsive)
			handles = handles[1:]
		} else {
			balancer.Tick(3 * time.Second)
		}
		for _, handle := range handles {
			// Reads from a pipe fail once its deadline has passed.
			conn := handle.conn.Load()
			go func() { _, _ = remoteEnds[handle].Write([]byte{1}) }()
			_, err := conn.Read(make([]byte, 1))
			if errors.Is(err, os.ErrDeadlineExceeded) {
				interrupted++
			}
			remoteEnds[handle].Close()
		}
		if interrupted != c.interrupted {
			t.Errorf("%s: %d requests interrupted, want %d", c.name, interrupted, c.interrupted)
		}
	}
}
