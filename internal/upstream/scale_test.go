package upstream

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"madderwing/internal/membership"
)

// largeFleet returns a deployment of hundreds of gateways and about a thousand upstreams.
func largeFleet() (gateways []membership.Node, shards map[string]int, instances []Instance) {
	shards = map[string]int{}
	for i := range 300 {
		node := membership.Node{Address: fmt.Sprintf("10.%d.0.%d:7660", i%6, i), Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%6)}
		gateways = append(gateways, node)
		shards[node.Address] = i / 6 % 2
	}
	for i := range 990 {
		instances = append(instances, Instance{ID: fmt.Sprintf("i-%08x", i*2654435761), Service: fmt.Sprintf("s%d", i%8/7), Address: fmt.Sprintf("10.128.%d.%d:80", i/200, i%200), Zone: fmt.Sprintf("z%d", i%6), Capacity: 3})
	}
	return gateways, shards, instances
}

func newLargeBalancer() (*Balancer, []membership.Node, map[string]int, []Instance) {
	nodes, shards, instances := largeFleet()
	balancer := NewBalancer(testConfig(nodes[0].Address, "z0"))
	balancer.SetServices(0, map[string]ServiceInfo{"s0": {MaxConns: 1900}, "s1": {MaxConns: 1900}}, map[string]int{"s0": 0, "s1": 1})
	balancer.SetList(0, instances)
	balancer.SetGateways(0, nodes, shards)
	return balancer, nodes, shards, instances
}

func BenchmarkGatewaysChange(b *testing.B) {
	balancer, nodes, shards, _ := newLargeBalancer()
	for i := range b.N {
		balancer.SetGateways(time.Second, nodes[:len(nodes)-1-i%2], shards)
	}
}

func BenchmarkListChange(b *testing.B) {
	balancer, _, _, instances := newLargeBalancer()
	for i := range b.N {
		balancer.SetList(time.Second, instances[:len(instances)-1-i%2])
	}
}

func BenchmarkLoads(b *testing.B) {
	balancer, _, _, _ := newLargeBalancer()
	loads := Loads{}
	for z := range 6 {
		loads[fmt.Sprintf("z%d", z)] = map[string]float64{"s0": 200 + float64(z), "s1": 30}
	}
	for range b.N {
		balancer.SetLoads(time.Second, loads)
	}
}

func BenchmarkTick(b *testing.B) {
	balancer, _, _, _ := newLargeBalancer()
	for i := range b.N {
		balancer.Tick(time.Duration(i) * 100 * time.Millisecond)
		balancer.PendingTrials = nil
	}
}

func BenchmarkAcquireWithBusyPrimaries(b *testing.B) {
	balancer, _, _, _ := newLargeBalancer()
	completeTrials(balancer, 0)
	var leases []SlotLease
	for range 40 {
		balancer.Acquire(0, &AcquireRequest{Service: "s0", OnResult: func(lease SlotLease) { leases = append(leases, lease) }})
	}
	b.ResetTimer()
	for range b.N {
		balancer.Acquire(time.Second, &AcquireRequest{Service: "s0", OnResult: func(lease SlotLease) { balancer.Release(time.Second, lease, nil, NotSent) }})
	}
}

// When gateways start, each knows only itself at first. It must not open a connection to
// every upstream of its zone then.
func TestConnectionsAreOpenedOnceGatewaysAreStable(t *testing.T) {
	nodes, shards, instances := largeFleet()
	config := testConfig(nodes[0].Address, "z0")
	config.StabilizationDelay = time.Second
	balancer := NewBalancer(config)
	balancer.SetServices(0, map[string]ServiceInfo{"s0": {MaxConns: 1900}, "s1": {MaxConns: 1900}}, map[string]int{"s0": 0, "s1": 0})
	opened := 0
	steps := []struct {
		at        time.Duration
		do        func(now time.Duration)
		maxOpened int // maximum of trials up to this step
	}{
		{100 * ms, func(now time.Duration) { balancer.SetList(now, instances) }, 0},
		{200 * ms, func(now time.Duration) { balancer.SetGateways(now, nodes[:1], shards) }, 0},
		{900 * ms, func(now time.Duration) { balancer.SetGateways(now, nodes[:40], shards) }, 0},
		{1500 * ms, balancer.Tick, 0},
		{1800 * ms, func(now time.Duration) { balancer.SetGateways(now, nodes, shards) }, 0},
		{2700 * ms, balancer.Tick, 0},
		{2900 * ms, balancer.Tick, 5}, // 165 upstreams of its zone for 50 gateways
	}
	for _, step := range steps {
		step.do(step.at)
		opened += len(balancer.PendingTrials)
		balancer.PendingTrials = nil
		if opened > step.maxOpened {
			t.Fatalf("at %v: %d connections opened", step.at, opened)
		}
	}
	if opened == 0 {
		t.Error("no connection was opened in the end")
	}
}

// The senders of an upstream are computed only while it is cold. With hundreds of gateways and
// upstreams, changes are frequent, so each must cost little.
func TestColdSendersAreComputedOnDemand(t *testing.T) {
	balancer, _, _, instances := newLargeBalancer()
	computed := 0
	for _, u := range balancer.upstreams {
		if u.sendersSeq == balancer.assignmentSeq {
			computed++
		}
	}
	if computed > 0 {
		t.Errorf("senders of %d upstreams were computed though none is cold", computed)
	}
	instances[0].WarmupMs = 3000
	nodes, shards, _ := largeFleet()
	senders := 0
	for _, self := range nodes {
		other := NewBalancer(testConfig(self.Address, self.Zone))
		other.SetGateways(0, nodes, shards)
		other.SetList(0, instances[:1])
		if other.isColdSender(other.upstreams[instances[0].ID]) {
			senders++
		}
	}
	if senders != ColdSenders {
		t.Errorf("%d gateways may send to one cold upstream", senders)
	}
}

// A gateway that has missed up to maxDiffs differences gets one merged difference instead of the complete
// list.
func TestMissedDiffsAreMerged(t *testing.T) {
	_, _, instances := largeFleet()
	var owner ListSnapshot
	owner.Update(0, 1, 1, instances)
	versions := []ListVersion{owner.Version}
	followers := []*ListSnapshot{{}}
	followers[0].Apply(0, *owner.UpdateFor(0, ListVersion{}))
	for i := range maxDiffs + 2 { // in each list, one instance is gone, one is new and one is draining
		next := append([]Instance(nil), instances[1:]...)
		next[i].Draining = true
		instances = append(next, Instance{ID: fmt.Sprintf("new-%d", i), Service: "s0", Zone: "z0", Capacity: 3})
		now := time.Duration(i+1) * time.Second
		owner.Update(now, 1, 1, instances)
		follower := &ListSnapshot{}
		follower.Apply(now, *owner.UpdateFor(now, ListVersion{}))
		followers, versions = append(followers, follower), append(versions, owner.Version)
	}
	now := time.Minute
	for i, v := range versions[:len(versions)-1] {
		update := owner.UpdateFor(now, v)
		missed := len(versions) - 1 - i
		if complete := update.Base == (ListVersion{}); complete != (missed > maxDiffs) || !complete && len(update.Set)+len(update.Removed) > 4*missed {
			t.Errorf("%d missed: complete list is %v, %d entries", missed, complete, len(update.Set)+len(update.Removed))
		}
		if !followers[i].Apply(now, *update) || !reflect.DeepEqual(followers[i].All(now), owner.All(now)) {
			t.Errorf("%d missed: the lists differ", missed)
		}
	}
}

// BenchmarkSizes measures the cost of a change of the list, a change of gateways, a tick and a
// request for growing deployments. docs/CAPACITY.md derives its growth rates from it.
func BenchmarkSizes(b *testing.B) {
	for _, size := range []struct{ gateways, upstreams, services, zones int }{
		{300, 1000, 8, 6}, {900, 5000, 120, 12}, {1400, 13000, 300, 25}, {2800, 26000, 590, 25},
	} {
		var nodes []membership.Node
		shards := map[string]int{}
		for i := range size.gateways {
			node := membership.Node{Address: fmt.Sprintf("10.%d.%d.%d:7660", i%size.zones, i/200, i%200), Zone: fmt.Sprintf("z%d", i%size.zones)}
			nodes = append(nodes, node)
			shards[node.Address] = i / size.zones % 2
		}
		infos := map[string]ServiceInfo{}
		for i := range size.services {
			infos[fmt.Sprintf("s%d", i)] = ServiceInfo{MaxConns: 1900}
		}
		var instances []Instance
		for i := range size.upstreams {
			instances = append(instances, Instance{ID: fmt.Sprintf("i-%08x", i*2654435761), Service: fmt.Sprintf("s%d", i%size.services),
				Address: fmt.Sprintf("10.128.%d.%d:80", i/200, i%200), Zone: fmt.Sprintf("z%d", i/size.services%size.zones), Capacity: 3, Version: "v1"})
		}
		balancer := NewBalancer(testConfig(nodes[0].Address, "z0"))
		balancer.SetServices(0, infos, nil)
		balancer.SetGateways(0, nodes, shards)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		balancer.SetList(0, instances)
		runtime.GC()
		runtime.ReadMemStats(&after)
		name := fmt.Sprintf("gateways=%d/upstreams=%d/", size.gateways, size.upstreams)
		b.Run(name+"list", func(b *testing.B) {
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			for i := range b.N {
				balancer.SetList(time.Second, instances[:len(instances)-1-i%2])
			}
		})
		b.Run(name+"gateways", func(b *testing.B) {
			for i := range b.N {
				balancer.SetGateways(time.Second, nodes[:len(nodes)-1-i%2], shards)
			}
		})
		b.Run(name+"tick", func(b *testing.B) {
			for i := range b.N {
				balancer.Tick(time.Duration(i) * 100 * time.Millisecond)
				balancer.PendingTrials = nil
			}
		})
		b.Run(name+"request", func(b *testing.B) {
			for range b.N {
				balancer.Acquire(time.Second, &AcquireRequest{Service: "s1", OnResult: func(lease SlotLease) {
					if lease.Refusal == Granted {
						balancer.Release(time.Second, lease, nil, NotSent)
					}
				}})
			}
		})
	}
}
