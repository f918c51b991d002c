package accession

import (
	"fmt"
	"testing"
	"time"

	"madderwing/internal/register"
)

// fleet is a deployment of hundreds of desks and about a thousand upstreams.
func fleet() (desks []register.Node, shards map[string]int, ups []Instance) {
	shards = map[string]int{}
	for i := range 300 {
		n := register.Node{Address: fmt.Sprintf("10.%d.0.%d:7660", i%6, i), Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%6)}
		desks = append(desks, n)
		shards[n.Address] = i / 6 % 2
	}
	for i := range 990 {
		ups = append(ups, Instance{ID: fmt.Sprintf("i-%08x", i*2654435761), Service: fmt.Sprintf("s%d", i%8/7), Address: fmt.Sprintf("10.128.%d.%d:80", i/200, i%200), Zone: fmt.Sprintf("z%d", i%6), Capacity: 3})
	}
	return desks, shards, ups
}

func largeStock() (*Stock, []register.Node, map[string]int, []Instance) {
	d, sh, ups := fleet()
	s := NewStock(cfg(d[0].Address, "z0"))
	s.SetServices(0, map[string]ServiceInfo{"s0": {MaxConns: 1900}, "s1": {MaxConns: 1900}}, map[string]int{"s0": 0, "s1": 1})
	s.SetList(0, ups)
	s.SetDesks(0, d, sh)
	return s, d, sh, ups
}

func BenchmarkDesksChange(b *testing.B) {
	s, d, sh, _ := largeStock()
	for i := range b.N {
		s.SetDesks(time.Second, d[:len(d)-1-i%2], sh)
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
	var held []Grant
	for range 40 {
		s.Claim(0, &Claim{Service: "s0", Give: func(g Grant) { held = append(held, g) }})
	}
	b.ResetTimer()
	for range b.N {
		s.Claim(time.Second, &Claim{Service: "s0", Give: func(g Grant) { s.Release(time.Second, g, nil, Unused) }})
	}
}
