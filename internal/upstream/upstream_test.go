package upstream

import (
	"fmt"
	"math/rand"
	"net"
	"testing"
	"time"

	"madderwing/internal/membership"
)

const ms = time.Millisecond

func testConfig(self, zone string) Config {
	return Config{Self: self, Zone: zone, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second,
		EjectTime: 100 * ms, MaxEjectTime: time.Second, MaxListAge: 500 * ms}
}

func makeInstances(n int, zone string, warmupMs int64) (out []Instance) {
	for i := 0; i < n; i++ {
		id := fmt.Sprintf("%s-%02d", zone, i)
		out = append(out, Instance{ID: id, Service: "a", Address: "10.0.0.1:" + fmt.Sprint(1000+i), Zone: zone, Capacity: 3, WarmupMs: warmupMs})
	}
	return out
}

func makeGateways(zones ...string) (nodes []membership.Node, shards map[string]int) {
	shards = map[string]int{}
	for _, zone := range zones {
		for i := 0; i < 3; i++ {
			node := membership.Node{Address: fmt.Sprintf("%s-gateway-%d", zone, i), Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone}
			nodes = append(nodes, node)
			shards[node.Address] = i % 2
		}
	}
	return nodes, shards
}

// newReadyBalancer returns a balancer with gateways, services and a list whose first connections have
// succeeded.
func newReadyBalancer(self, zone string, instances []Instance, nodes []membership.Node, shards map[string]int, serviceShard map[string]int) *Balancer {
	balancer := NewBalancer(testConfig(self, zone))
	balancer.SetGateways(0, nodes, shards)
	balancer.SetServices(0, map[string]ServiceInfo{"a": {MaxConns: 200, WarmupS: 3, WarmupPerS: 8}}, serviceShard)
	balancer.SetList(0, instances)
	completeTrials(balancer, 0)
	return balancer
}

func completeTrials(balancer *Balancer, now time.Duration) {
	trials := balancer.PendingTrials
	balancer.PendingTrials = nil
	for _, u := range trials {
		balancer.TrialDone(now, u, &Conn{Expires: now + time.Hour})
	}
}

// acquire asks for an upstream and returns the result; decided is false if the request is queued.
func acquire(balancer *Balancer, now time.Duration, req *AcquireRequest) (lease SlotLease, decided bool) {
	req.Service = "a"
	req.OnResult = func(result SlotLease) { lease, decided = result, true }
	balancer.Acquire(now, req)
	return lease, decided
}

func TestLocalZonePreferenceAndInFlightLimits(t *testing.T) {
	nodes, shards := makeGateways("z", "y")
	balancer := newReadyBalancer("z-gateway-0", "z", append(makeInstances(6, "z", 0), makeInstances(6, "y", 0)...), nodes, shards, nil)
	primaries := 0
	for _, state := range balancer.Statuses(0) {
		if state.Primary {
			primaries++
			if state.Zone != "z" {
				t.Fatalf("%s of another zone is a primary", state.ID)
			}
		}
	}
	if primaries != 2 {
		t.Fatalf("%d of 6 upstreams of a zone with 3 gateways are primaries of this gateway", primaries)
	}
	counts := map[string]int{}
	for i := 0; ; i++ {
		lease, ok := acquire(balancer, 0, &AcquireRequest{})
		if !ok {
			break
		}
		counts[lease.ID]++
		if i < primaries*3-1 && lease.Upstream.Zone != "z" {
			t.Fatalf("request %d was sent to another zone", i)
		}
	}
	for id, n := range counts {
		if n > 3 || n > 1 && !balancer.upstreams[id].primary {
			t.Errorf("%s has %d requests in flight", id, n)
		}
	}
}

func TestZoneReassignmentByLoad(t *testing.T) {
	zones := map[string]bool{"n": true, "s": true, "e": true}
	cases := []struct {
		name      string
		upstreams map[string]int // zone -> upstreams of 3 slots
		loads     map[string]float64
		want      map[string]int // zone -> upstreams that serve it
	}{
		{"low load: none is reassigned", map[string]int{"n": 4, "s": 4, "e": 2}, map[string]float64{"n": 3, "s": 3, "e": 3}, map[string]int{"n": 4, "s": 4, "e": 2}},
		{"a loaded zone gets upstreams of the least loaded", map[string]int{"n": 6, "s": 6, "e": 2}, map[string]float64{"n": 9, "s": 3, "e": 6}, map[string]int{"n": 6, "s": 4, "e": 4}},
		{"a zone without upstreams gets some", map[string]int{"n": 6, "s": 6}, map[string]float64{"n": 6, "s": 6, "e": 6}, map[string]int{"n": 4, "s": 4, "e": 4}},
		{"all zones equally loaded", map[string]int{"n": 2, "s": 2, "e": 2}, map[string]float64{"n": 6, "s": 6, "e": 6}, map[string]int{"n": 2, "s": 2, "e": 2}},
		{"loads unknown", map[string]int{"n": 2, "s": 5}, nil, map[string]int{"n": 2, "s": 5}},
		{"the last upstream of a zone stays", map[string]int{"n": 1, "s": 1}, map[string]float64{"n": 0.1, "s": 9}, map[string]int{"n": 1, "s": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var upstreams []*Upstream
			for zone, n := range c.upstreams {
				for _, instance := range makeInstances(n, zone, 0) {
					upstreams = append(upstreams, &Upstream{Instance: instance})
				}
			}
			loads := Loads{}
			for zone, n := range c.loads {
				loads[zone] = map[string]float64{"a": n}
			}
			plan := reassignZones("a", upstreams, loads, zones)
			got := map[string]int{}
			for _, u := range upstreams {
				if zone, ok := plan[u.ID]; ok {
					got[zone]++
				} else {
					got[u.Zone]++
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Fatalf("upstreams that serve each zone: %v, want %v", got, c.want)
			}
			for instance := 0; instance < 5; instance++ { // the plan does not depend on the order of the upstreams
				rand.New(rand.NewSource(int64(instance))).Shuffle(len(upstreams), func(a, b int) { upstreams[a], upstreams[b] = upstreams[b], upstreams[a] })
				if again := reassignZones("a", upstreams, loads, zones); fmt.Sprint(again) != fmt.Sprint(plan) {
					t.Fatalf("plans differ: %v and %v", again, plan)
				}
			}
		})
	}
}

func TestEachUpstreamIsPrimaryOfOneGateway(t *testing.T) {
	nodes, shards := makeGateways("z")
	owners := map[string]int{}
	for _, node := range nodes {
		balancer := newReadyBalancer(node.Address, "z", makeInstances(7, "z", 0), nodes, shards, nil)
		for _, state := range balancer.Statuses(0) {
			if state.Primary {
				owners[state.ID]++
			}
		}
	}
	for _, instance := range makeInstances(7, "z", 0) {
		if owners[instance.ID] != 1 {
			t.Errorf("%s is the primary of %d gateways", instance.ID, owners[instance.ID])
		}
	}
}

func TestRemovedUpstreamsGetNoRequests(t *testing.T) {
	nodes, shards := makeGateways("z")
	cases := map[string]func(balancer *Balancer){
		"draining":  func(balancer *Balancer) { l := makeInstances(1, "z", 0); l[0].Draining = true; balancer.SetList(ms, l) },
		"gone":      func(balancer *Balancer) { balancer.SetList(ms, nil) },
		"evacuated": func(balancer *Balancer) { balancer.SetEvacuated(ms, map[string]bool{"z": true}) },
	}
	for name, remove := range cases {
		t.Run(name, func(t *testing.T) {
			balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(1, "z", 0), nodes[:1], shards, nil)
			lease, ok := acquire(balancer, 0, &AcquireRequest{})
			if !ok || lease.Refusal != Granted {
				t.Fatal("no upstream granted")
			}
			remove(balancer)
			balancer.Release(2*ms, lease, &Conn{Expires: time.Hour}, Served)
			if lease, ok := acquire(balancer, 3*ms, &AcquireRequest{}); !ok || lease.Refusal != NoEligibleUpstream {
				t.Fatalf("got %+v", lease)
			}
		})
	}
}

func TestNewInstanceAtSameAddressIsAnotherUpstream(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(1, "z", 0), nodes[:1], shards, nil)
	lease, _ := acquire(balancer, 0, &AcquireRequest{})
	balancer.Release(ms, lease, &Conn{Expires: time.Hour}, Served)
	next := makeInstances(1, "z", 0)
	next[0].ID = "other-instance"
	balancer.SetList(2*ms, next)
	if len(balancer.ConnsToClose) == 0 {
		t.Error("connections to the former instance are kept")
	}
	completeTrials(balancer, 2*ms)
	if lease, _ := acquire(balancer, 3*ms, &AcquireRequest{}); lease.ID != "other-instance" || lease.Upstream.Served != 0 {
		t.Fatalf("got %+v", lease)
	}
}

func TestFailingUpstreamIsEjectedUntilTrialSucceeds(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(1, "z", 0), nodes[:1], shards, nil)
	lease, _ := acquire(balancer, 0, &AcquireRequest{})
	balancer.Release(0, lease, nil, ConnectionFailed)
	var queuedLease SlotLease
	balancer.Acquire(ms, &AcquireRequest{Service: "a", OnResult: func(lease SlotLease) { queuedLease = lease }})
	if queuedLease.Upstream != nil {
		t.Fatal("a request was sent to a failing upstream")
	}
	last := time.Duration(0)
	for try, now := 0, time.Duration(0); try < 4; now += 10 * ms {
		balancer.Tick(now)
		if len(balancer.PendingTrials) == 1 {
			if gap := now - last; try > 0 && gap < testConfig("", "").EjectTime<<try {
				t.Fatalf("trial %d only %v after the one before", try, gap)
			}
			u := balancer.PendingTrials[0]
			balancer.PendingTrials = nil
			try++
			last = now
			if try == 4 {
				balancer.TrialDone(now, u, &Conn{Expires: time.Hour})
			} else {
				balancer.TrialDone(now, u, nil)
			}
		}
	}
	if queuedLease.Upstream == nil {
		t.Fatal("not used after a successful trial")
	}
	if !queuedLease.Upstream.Cold(last) {
		t.Error("not cold after a failure")
	}
}

// The retries of all gateways together stay within the budget in every window, also when
// gateways restart and when each knows only some of the others.
func TestRetryBudgetHoldsAcrossGateways(t *testing.T) {
	nodes, shards := makeGateways("z", "y")
	rng := rand.New(rand.NewSource(3))
	newBalancer := func(i int) *Balancer {
		view := append(append([]membership.Node{}, nodes[:i/2]...), nodes[i/2+1:]...)
		return newReadyBalancer(nodes[i].Address, nodes[i].Zone, makeInstances(40, "z", 0), view, shards, map[string]int{"a": 0})
	}
	var balancers []*Balancer
	for i := range nodes {
		balancers = append(balancers, newBalancer(i))
	}
	type attempt struct {
		at    time.Duration
		retry bool
	}
	var attempts []attempt
	for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
		i := rng.Intn(len(balancers))
		balancer := balancers[i]
		if rng.Intn(1000) == 0 {
			balancers[i] = newBalancer(i) // the gateway restarts
		}
		// 15 s without failures alternate with 15 s in which every request fails
		// and there are few requests.
		failing := now/(15*time.Second)%2 == 1
		if !failing || rng.Intn(20) == 0 {
			balancer.RecordRequest("a")
			attempts = append(attempts, attempt{now, false})
		}
		for k := 0; failing && k < 3; k++ { // three retries are tried for every request
			lease, ok := acquire(balancer, now, &AcquireRequest{Retry: true})
			if ok && lease.Refusal == Granted {
				attempts = append(attempts, attempt{now, true})
				balancer.Release(now, lease, nil, Served)
			}
		}
	}
	for i := range attempts {
		retries, requests := 0, 0
		for j := i; j < len(attempts) && attempts[j].at-attempts[i].at < 10*time.Second; j++ {
			if attempts[j].retry {
				retries++
			} else {
				requests++
			}
		}
		if float64(retries) > 0.2*float64(requests)+60 {
			t.Fatalf("%d retries for %d requests in the window from %v", retries, requests, attempts[i].at)
		}
	}
}

func TestFullQueueRefusesLowestPriority(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(1, "z", 0), nodes[:1], shards, nil)
	for {
		if _, ok := acquire(balancer, 0, &AcquireRequest{}); !ok {
			break
		}
	}
	var refused []int
	enqueue := func(priority int) {
		req := &AcquireRequest{Service: "a", Priority: priority}
		req.OnResult = func(lease SlotLease) {
			if lease.Refusal == QueueFull {
				refused = append(refused, priority)
			}
		}
		balancer.Acquire(0, req)
	}
	for i := 0; i < 12; i++ {
		enqueue(2)
	}
	before := len(refused)
	if before == 0 {
		t.Fatal("no request is refused however many wait")
	}
	enqueue(0)
	if len(refused) != before+1 || refused[before] != 2 {
		t.Fatalf("priorities of the refused requests: %v", refused)
	}
}

// When an upstream is unresponsive to one request, the others in flight there are interrupted
// if they may be retried.
func TestUnresponsiveUpstreamInterruptsRetryableRequests(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(1, "z", 0), nodes[:1], shards, nil)
	start := func(handle *WaitHandle) (SlotLease, *deadlineRecorder) {
		lease, ok := acquire(balancer, 0, &AcquireRequest{WaitHandle: handle})
		if !ok || lease.Refusal != Granted {
			t.Fatal("no upstream granted")
		}
		recorder := &deadlineRecorder{}
		lease.WaitHandle.SetConn(&Conn{Conn: recorder})
		return lease, recorder
	}
	_, retryable := start(&WaitHandle{})
	_, notRetryable := start(nil)
	ended, _ := start(&WaitHandle{})
	balancer.Release(ms, ended, nil, ConnectionFailed)
	if retryable.set {
		t.Error("interrupted though only a connection failed")
	}
	balancer.TrialDone(2*ms, ended.Upstream, &Conn{Expires: time.Hour})
	balancer.Release(3*ms, SlotLease{Upstream: ended.Upstream}, nil, Unresponsive)
	if !retryable.set || notRetryable.set {
		t.Errorf("interrupted: retryable request %v, other request %v", retryable.set, notRetryable.set)
	}
}

type deadlineRecorder struct {
	net.Conn
	set bool
}

func (r *deadlineRecorder) SetReadDeadline(time.Time) error { r.set = true; return nil }

// A retry that was never sent takes nothing from the retry budget.
func TestUnsentRetryIsRefunded(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(3, "z", 0), nodes, shards, nil)
	balancer.RecordRequest("a")
	budget := &balancer.stablePool("a").budget
	budget.tokens = 1
	for _, c := range []struct {
		outcome Outcome
		want    Refusal
	}{{NotSent, Granted}, {NotSent, Granted}, {Served, Granted}, {Served, RetryBudgetExhausted}} {
		lease, decided := acquire(balancer, 0, &AcquireRequest{Retry: true})
		if !decided || lease.Refusal != c.want {
			t.Fatalf("refusal is %v, want %v", lease.Refusal, c.want)
		}
		if lease.Refusal == Granted {
			balancer.Release(0, lease, nil, c.outcome)
		}
	}
}
