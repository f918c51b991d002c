package upstream

import (
	"math/rand"
	"testing"
	"time"

	"madderwing/internal/membership"
)

// All gateways together may not exceed the warm-up rate of a cold upstream in any second,
// also if their views of the other gateways differ.
func TestWarmupRateHoldsAcrossGateways(t *testing.T) {
	nodes, shards := makeGateways("z", "y")
	rng := rand.New(rand.NewSource(7))
	for name, views := range map[string]func(i int) []membership.Node{
		"same view": func(int) []membership.Node { return nodes },
		"stale views": func(i int) []membership.Node { // each gateway does not know either the first or the last
			if i%2 == 0 {
				return nodes[:len(nodes)-1]
			}
			return nodes[1:]
		},
	} {
		t.Run(name, func(t *testing.T) {
			var balancers []*Balancer
			for i, node := range nodes {
				balancer := newReadyBalancer(node.Address, node.Zone, makeInstances(1, "z", 20000), views(i), shards, map[string]int{"a": 0})
				balancers = append(balancers, balancer)
			}
			var sent []time.Duration
			for now := time.Duration(0); now < 15*time.Second; now += 5 * ms {
				balancer := balancers[rng.Intn(len(balancers))]
				balancer.Tick(now)
				req := &AcquireRequest{Service: "a"}
				req.OnResult = func(lease SlotLease) {
					if lease.Refusal == Granted {
						sent = append(sent, now)
						balancer.Release(now, lease, nil, Served)
					}
				}
				balancer.Acquire(now, req)
			}
			maxPerSecond := 0
			for i := range sent {
				n := 0
				for j := i; j < len(sent) && sent[j]-sent[i] < time.Second; j++ {
					n++
				}
				maxPerSecond = max(maxPerSecond, n)
			}
			if limit := int(8*1.5 + 5); maxPerSecond > limit {
				t.Errorf("%d requests in a second, want at most %d", maxPerSecond, limit)
			}
			if maxPerSecond < 4 {
				t.Errorf("only %d requests in a second: the limit starves the upstream", maxPerSecond)
			}
		})
	}
}

func TestUpstreamsOfRestoredZoneAreColdAtFirst(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(2, "z", 0), nodes, shards, nil)
	balancer.SetEvacuated(ms, map[string]bool{"z": true})
	balancer.SetEvacuated(time.Second, map[string]bool{})
	for _, state := range balancer.Statuses(time.Second + ms) {
		if !state.Cold {
			t.Errorf("%s is not cold", state.ID)
		}
	}
	for _, state := range balancer.Statuses(6 * time.Second) {
		if state.Cold {
			t.Errorf("%s is still cold", state.ID)
		}
	}
}

// Upstreams whose warm-up state is unknown are probed only by the gateways that may send to a
// cold upstream, and by the one whose primary it is.
func TestOnlyColdSendersProbeWarmup(t *testing.T) {
	nodes, shards := makeGateways("z", "y")
	probes := 0
	for _, node := range nodes {
		balancer := newReadyBalancer(node.Address, node.Zone, makeInstances(1, "z", 0), nodes, shards, nil)
		balancer.serviceInfos["a"] = ServiceInfo{MaxConns: 200, HealthPath: "/h", WarmupS: 3, WarmupPerS: 8}
		balancer.SetEvacuated(ms, map[string]bool{"z": true})
		balancer.SetEvacuated(time.Second, map[string]bool{})
		probes += len(balancer.PendingProbes)
		for _, probe := range balancer.PendingProbes {
			balancer.ProbeDone(2*time.Second, probe.Upstream, 500*ms, true)
			if probe.Upstream.Cold(2600*ms) || !probe.Upstream.Cold(2400*ms) {
				t.Error("the result of the probe is not used")
			}
		}
	}
	if probes == 0 || probes > ColdSenders+1 {
		t.Errorf("%d probes of one upstream", probes)
	}
}

// The result of a probe is ignored if the upstream's warm-up state has become unknown again
// since the probe was sent.
func TestStaleProbeResultIsIgnored(t *testing.T) {
	nodes, shards := makeGateways("z")
	balancer := newReadyBalancer("z-gateway-0", "z", makeInstances(1, "z", 0), nodes, shards, nil)
	balancer.serviceInfos["a"] = ServiceInfo{MaxConns: 200, HealthPath: "/h", WarmupS: 3, WarmupPerS: 8}
	evacuateAndRestore := func(now time.Duration) {
		balancer.SetEvacuated(now, map[string]bool{"z": true})
		balancer.SetEvacuated(now, map[string]bool{})
	}
	evacuateAndRestore(time.Second)
	evacuateAndRestore(2 * time.Second)
	if len(balancer.PendingProbes) != 1 {
		t.Fatalf("%d probes in flight, want 1", len(balancer.PendingProbes))
	}
	u := balancer.PendingProbes[0].Upstream
	balancer.ProbeDone(2100*ms, u, 0, true)
	if !u.Cold(2200 * ms) {
		t.Error("the result of a stale probe is used")
	}
	if len(balancer.PendingProbes) != 2 {
		t.Fatalf("%d probes sent, want 2", len(balancer.PendingProbes))
	}
	balancer.ProbeDone(2300*ms, u, 0, true)
	if u.Cold(2400*ms) || len(balancer.PendingProbes) != 2 {
		t.Error("the result of the second probe is not used")
	}
}
