package upstream

import (
	"testing"
	"time"
)

func TestConcurrencyLimitOfSaturatedUpstreams(t *testing.T) {
	cases := []struct {
		name     string
		slowdown float64 // ratio of the latency when saturated to that with room
		slots    int
		limit    int
	}{
		{"no slowdown", 1, 6, 6},
		{"small slowdown", 1.2, 6, 6},
		{"large slowdown", 2.2, 6, 4},
		{"large slowdown, three slots", 2.2, 3, 2},
		{"large slowdown, one slot", 2.2, 1, 1},
	}
	for _, c := range cases {
		nodes, shards := makeGateways("z")
		instances := makeInstances(4, "z", 0)
		for i := range instances {
			instances[i].Capacity = c.slots
		}
		balancer := newReadyBalancer("z-gateway-0", "z", instances, nodes[:1], shards, nil)
		now := time.Duration(0)
		for range 40 {
			now += time.Second
			var inFlight []SlotLease
			for {
				lease, ok := acquire(balancer, now, &AcquireRequest{LatencyTarget: time.Second})
				if !ok {
					balancer.Cancel(balancer.stablePool("a").queue[0])
					break
				}
				inFlight = append(inFlight, lease)
			}
			// Different latencies of the upstreams are no sign of saturation: each is compared with itself.
			for i, lease := range inFlight {
				latency := time.Duration(50+i%4*25) * ms
				if float64(lease.InFlight) > 0.8*float64(c.slots) {
					latency = time.Duration(c.slowdown * float64(latency))
				}
				balancer.Release(now+latency, lease, &Conn{Expires: time.Hour}, Served)
			}
		}
		u := balancer.stablePool("a").primaries[0]
		if got := balancer.concurrencyLimit(now, balancer.stablePool("a"), u); got != c.limit {
			t.Errorf("%s: limit is %d of %d slots, want %d", c.name, got, c.slots, c.limit)
		}
		if got := balancer.concurrencyLimit(now+10*saturationDecay, balancer.stablePool("a"), u); got != c.slots {
			t.Errorf("%s: limit is still %d of %d slots long after the last measurement", c.name, got, c.slots)
		}
	}
}
