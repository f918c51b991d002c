package upstream

import (
	"testing"
	"time"
)

func TestUpstreamsThatSlowDownWhenPackedAreKeptBelow(t *testing.T) {
	cases := []struct {
		name  string
		knee  float64 // times as long when packed
		slots int
		most  int
	}{
		{"not at all", 1, 6, 6},
		{"a little", 1.2, 6, 6},
		{"much", 2.2, 6, 4},
		{"much, three slots", 2.2, 3, 2},
		{"one slot", 2.2, 1, 1},
	}
	for _, c := range cases {
		ds, sh := gateways("z")
		ups := list(4, "z", 0)
		for i := range ups {
			ups[i].Capacity = c.slots
		}
		s := fresh("z-gateway-0", "z", ups, ds[:1], sh, nil)
		now := time.Duration(0)
		for range 40 {
			now += time.Second
			var under []SlotLease
			for {
				g, ok := claim(s, now, &AcquireRequest{Aim: time.Second})
				if !ok {
					s.Withdraw(s.service("a").waiting[0])
					break
				}
				under = append(under, g)
			}
			// The slower ones are no sign of it: each is compared with itself.
			for i, g := range under {
				took := time.Duration(50+i%4*25) * ms
				if float64(g.Busy) > 0.8*float64(c.slots) {
					took = time.Duration(c.knee * float64(took))
				}
				s.Release(now+took, g, &Conn{Expires: time.Hour}, Served)
			}
		}
		u := s.service("a").homes[0]
		if got := s.most(now, s.service("a"), u); got != c.most {
			t.Errorf("%s: up to %d of %d, not %d", c.name, got, c.slots, c.most)
		}
		if got := s.most(now+10*packedSpan, s.service("a"), u); got != c.slots {
			t.Errorf("%s: still %d of %d long after", c.name, got, c.slots)
		}
	}
}
