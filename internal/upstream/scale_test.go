package upstream

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"madderwing/internal/membership"
)

// fleet is a deployment of hundreds of gateways and about a thousand upstreams.
func fleet() (gateways []membership.Node, shards map[string]int, ups []Instance) {
	shards = map[string]int{}
	for i := range 300 {
		n := membership.Node{Address: fmt.Sprintf("10.%d.0.%d:7660", i%6, i), Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%6)}
		gateways = append(gateways, n)
		shards[n.Address] = i / 6 % 2
	}
	for i := range 990 {
		ups = append(ups, Instance{ID: fmt.Sprintf("i-%08x", i*2654435761), Service: fmt.Sprintf("s%d", i%8/7), Address: fmt.Sprintf("10.128.%d.%d:80", i/200, i%200), Zone: fmt.Sprintf("z%d", i%6), Capacity: 3})
	}
	return gateways, shards, ups
}

func largeStock() (*Balancer, []membership.Node, map[string]int, []Instance) {
	d, sh, ups := fleet()
	s := NewBalancer(cfg(d[0].Address, "z0"))
	s.SetServices(0, map[string]ServiceInfo{"s0": {MaxConns: 1900}, "s1": {MaxConns: 1900}}, map[string]int{"s0": 0, "s1": 1})
	s.SetList(0, ups)
	s.SetGateways(0, d, sh)
	return s, d, sh, ups
}

func BenchmarkGatewaysChange(b *testing.B) {
	s, d, sh, _ := largeStock()
	for i := range b.N {
		s.SetGateways(time.Second, d[:len(d)-1-i%2], sh)
	}
}

func BenchmarkListChange(b *testing.B) {
	s, _, _, ups := largeStock()
	for i := range b.N {
		s.SetList(time.Second, ups[:len(ups)-1-i%2])
	}
}

func BenchmarkLoads(b *testing.B) {
	s, _, _, _ := largeStock()
	l := Loads{}
	for z := range 6 {
		l[fmt.Sprintf("z%d", z)] = map[string]float64{"s0": 200 + float64(z), "s1": 30}
	}
	for range b.N {
		s.SetLoads(time.Second, l)
	}
}

func BenchmarkTick(b *testing.B) {
	s, _, _, _ := largeStock()
	for i := range b.N {
		s.Tick(time.Duration(i) * 100 * time.Millisecond)
		s.Trials = nil
	}
}

func BenchmarkClaimHomesBusy(b *testing.B) {
	s, _, _, _ := largeStock()
	prove(s, 0)
	var held []SlotLease
	for range 40 {
		s.Acquire(0, &AcquireRequest{Service: "s0", Give: func(g SlotLease) { held = append(held, g) }})
	}
	b.ResetTimer()
	for range b.N {
		s.Acquire(time.Second, &AcquireRequest{Service: "s0", Give: func(g SlotLease) { s.Release(time.Second, g, nil, Unused) }})
	}
}

// While gateways come up, each of them is for a moment the only one that it knows;
// it must not open a connection to every upstream of its zone then.
func TestPoolsAreOpenedOnceGatewaysAreCalm(t *testing.T) {
	d, sh, ups := fleet()
	c := cfg(d[0].Address, "z0")
	c.Calm = time.Second
	s := NewBalancer(c)
	s.SetServices(0, map[string]ServiceInfo{"s0": {MaxConns: 1900}, "s1": {MaxConns: 1900}}, map[string]int{"s0": 0, "s1": 0})
	opened := 0
	steps := []struct {
		at   time.Duration
		do   func(now time.Duration)
		most int // trials up to here
	}{
		{100 * ms, func(now time.Duration) { s.SetList(now, ups) }, 0},
		{200 * ms, func(now time.Duration) { s.SetGateways(now, d[:1], sh) }, 0},
		{900 * ms, func(now time.Duration) { s.SetGateways(now, d[:40], sh) }, 0},
		{1500 * ms, s.Tick, 0},
		{1800 * ms, func(now time.Duration) { s.SetGateways(now, d, sh) }, 0},
		{2700 * ms, s.Tick, 0},
		{2900 * ms, s.Tick, 5}, // 165 upstreams of its zone for 50 gateways
	}
	for _, st := range steps {
		st.do(st.at)
		opened += len(s.Trials)
		s.Trials = nil
		if opened > st.most {
			t.Fatalf("at %v: %d connections", st.at, opened)
		}
	}
	if opened == 0 {
		t.Error("none was opened in the end")
	}
}

// One more gateway or upstream must cost each gateway little: with hundreds of them that
// happens all the time.
func TestWhoIsColdDecidesNothingUntilAsked(t *testing.T) {
	s, _, _, ups := largeStock()
	asked := 0
	for _, u := range s.ups {
		if u.few == s.plan {
			asked++
		}
	}
	if asked > 0 {
		t.Errorf("senders of %d upstreams were worked out though none is cold", asked)
	}
	ups[0].WarmupMs = 3000
	d, sh, _ := fleet()
	senders := 0
	for _, self := range d {
		o := NewBalancer(cfg(self.Address, self.Zone))
		o.SetGateways(0, d, sh)
		o.SetList(0, ups[:1])
		if o.sends(o.ups[ups[0].ID]) {
			senders++
		}
	}
	if senders != ColdSenders {
		t.Errorf("%d gateways may send to a cold upstream", senders)
	}
}

// A gateway that has missed some differences gets them as one, not the whole list.
func TestMissedDifferencesComeAsOne(t *testing.T) {
	_, _, ups := fleet()
	var s ListSnapshot
	s.Update(0, 1, 1, ups)
	versions := []Version{s.Version}
	behind := []*ListSnapshot{{}}
	behind[0].Take(0, *s.Since(0, Version{}))
	for i := range pastMax + 2 { // each reading: one goes, one comes back, one drains
		next := append([]Instance(nil), ups[1:]...)
		next[i].Draining = true
		ups = append(next, Instance{ID: fmt.Sprintf("new-%d", i), Service: "s0", Zone: "z0", Capacity: 3})
		now := time.Duration(i+1) * time.Second
		s.Update(now, 1, 1, ups)
		b := &ListSnapshot{}
		b.Take(now, *s.Since(now, Version{}))
		behind, versions = append(behind, b), append(versions, s.Version)
	}
	now := time.Minute
	for i, v := range versions[:len(versions)-1] {
		l := s.Since(now, v)
		missed := len(versions) - 1 - i
		if whole := l.Base == (Version{}); whole != (missed > pastMax) || !whole && len(l.Set)+len(l.Gone) > 4*missed {
			t.Errorf("%d missed: whole is %v, %d entries", missed, whole, len(l.Set)+len(l.Gone))
		}
		if !behind[i].Take(now, *l) || !reflect.DeepEqual(behind[i].All(now), s.All(now)) {
			t.Errorf("%d missed: the lists differ", missed)
		}
	}
}

// BenchmarkSizes is what a change of the list, a change of gateways, a tick and a request cost
// as the deployment grows; docs/CAPACITY.md takes its slopes from it.
func BenchmarkSizes(b *testing.B) {
	for _, size := range []struct{ gateways, ups, services, zones int }{
		{300, 1000, 8, 6}, {900, 5000, 120, 12}, {1400, 13000, 300, 25}, {2800, 26000, 590, 25},
	} {
		var ds []membership.Node
		shards := map[string]int{}
		for i := range size.gateways {
			n := membership.Node{Address: fmt.Sprintf("10.%d.%d.%d:7660", i%size.zones, i/200, i%200), Zone: fmt.Sprintf("z%d", i%size.zones)}
			ds = append(ds, n)
			shards[n.Address] = i / size.zones % 2
		}
		infos := map[string]ServiceInfo{}
		for i := range size.services {
			infos[fmt.Sprintf("s%d", i)] = ServiceInfo{MaxConns: 1900}
		}
		var ups []Instance
		for i := range size.ups {
			ups = append(ups, Instance{ID: fmt.Sprintf("i-%08x", i*2654435761), Service: fmt.Sprintf("s%d", i%size.services),
				Address: fmt.Sprintf("10.128.%d.%d:80", i/200, i%200), Zone: fmt.Sprintf("z%d", i/size.services%size.zones), Capacity: 3, Version: "v1"})
		}
		s := NewBalancer(cfg(ds[0].Address, "z0"))
		s.SetServices(0, infos, nil)
		s.SetGateways(0, ds, shards)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s.SetList(0, ups)
		runtime.GC()
		runtime.ReadMemStats(&after)
		name := fmt.Sprintf("gateways=%d/upstreams=%d/", size.gateways, size.ups)
		b.Run(name+"list", func(b *testing.B) {
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			for i := range b.N {
				s.SetList(time.Second, ups[:len(ups)-1-i%2])
			}
		})
		b.Run(name+"gateways", func(b *testing.B) {
			for i := range b.N {
				s.SetGateways(time.Second, ds[:len(ds)-1-i%2], shards)
			}
		})
		b.Run(name+"tick", func(b *testing.B) {
			for i := range b.N {
				s.Tick(time.Duration(i) * 100 * time.Millisecond)
				s.Trials = nil
			}
		})
		b.Run(name+"request", func(b *testing.B) {
			for range b.N {
				s.Acquire(time.Second, &AcquireRequest{Service: "s1", Give: func(g SlotLease) {
					if g.Refused == Granted {
						s.Release(time.Second, g, nil, Unused)
					}
				}})
			}
		})
	}
}
