package upstream

// This file shares upstreams out among the gateways: which of them a gateway uses first, which it uses at all, and how much it may send to each.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"madderwing/internal/rendezvous"
)

// ColdSenders is how many gateways may send to an upstream while it is cold.
const ColdSenders = 2

// assign works out which upstreams this gateway uses first.
func (s *Balancer) assign(now time.Duration) {
	s.plan++
	s.zones, s.nearOf = map[string][]string{}, map[[2]string][]string{}
	for _, d := range s.gateways {
		s.zones[d.Zone] = append(s.zones[d.Zone], d.Address)
	}
	for _, v := range s.services {
		v.ups, v.slots = v.ups[:0], 0
	}
	s.pools()
	for _, u := range s.ups {
		u.home = false
		if v := s.poolFor(u); v == nil {
			s.drop(u)
		} else if u.pool = v; !u.gone && !s.evacuated[u.Zone] {
			v.ups = append(v.ups, u)
		}
	}
	gateways := s.zones[s.cfg.Zone]
	if len(gateways) == 0 {
		gateways = []string{s.cfg.Self}
	}
	for _, v := range s.services {
		slices.SortFunc(v.ups, byOrder)
		s.nameHomes(v, gateways)
		s.setLimits(v, len(s.gateways))
		s.nameReach(v, len(gateways))
	}
	s.prove(now)
}

// byOrder puts upstreams into the order of weight for their service.
func byOrder(a, b *Upstream) int {
	if c := cmp.Compare(b.order, a.order); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// sends says whether this gateway is one of the few that may send to an upstream while
// it is cold. That is worked out when it is asked for: few upstreams are cold.
func (s *Balancer) sends(u *Upstream) bool {
	if u.few != s.plan {
		few := rendezvous.Pick(u.ID, s.near(u.Zone, u.Service), ColdSenders)
		u.few, u.senders = s.plan, max(1, len(few))
		u.sender = slices.Contains(few, s.cfg.Self)
	}
	return u.sender
}

// near lists the gateways of which a few may send to cold upstreams of a service in a
// zone: those of the zone, or all where it has none, and of these the ones of the
// shard that has the service, if there are any.
func (s *Balancer) near(zone, service string) []string {
	at := [2]string{zone, service}
	if near, ok := s.nearOf[at]; ok {
		return near
	}
	near := s.zones[zone]
	if len(near) == 0 {
		for _, d := range s.gateways {
			near = append(near, d.Address)
		}
	}
	if shard, ok := s.bound[service]; ok {
		var of []string
		for _, d := range near {
			if s.shards[d] == shard {
				of = append(of, d)
			}
		}
		if len(of) > 0 {
			near = of
		}
	}
	s.nearOf[at] = near
	return near
}

// nameHomes shares the upstreams that the zone uses as its own out among its
// gateways: each goes to the gateway of highest weight that has not yet got its even
// share.
func (s *Balancer) nameHomes(v *service, gateways []string) {
	var local []*Upstream
	v.lent = s.lend(v)
	for _, u := range v.ups {
		u.zone = u.Zone
		if z, ok := v.lent[u.ID]; ok {
			u.zone = z
		}
		if u.zone == s.cfg.Zone {
			local = append(local, u)
		}
	}
	v.homes = v.homes[:0]
	most := (len(local) + len(gateways) - 1) / len(gateways)
	have := map[string]int{}
	for _, u := range local { // in the order of weight, as v.ups are
		for _, d := range rendezvous.Order(u.ID, gateways) {
			if have[d] == most {
				continue
			}
			have[d]++
			if d == s.cfg.Self {
				u.home = true
				v.homes = append(v.homes, u)
				v.slots += u.Capacity
			}
			break
		}
	}
}

// Each upstream is in reach of so many gateways of the zone that uses it, beside the one
// that uses it first, and of so many of all other zones; and each gateway reaches so many
// of its zone at least.
const (
	reachedNear = 4
	reachedFar  = 4
	reachMin    = 8
)

// nameReach names the upstreams that this gateway uses at all. With few gateways that is
// all of them. With hundreds, each with little to send elsewhere, an upstream would
// get a request from many at once and be full without any of them knowing.
func (s *Balancer) nameReach(v *service, near int) {
	local := 0
	for _, u := range v.ups {
		if u.zone == s.cfg.Zone {
			local++
		}
	}
	shareNear := max(reachedNear/float64(near), reachMin/float64(max(1, local)))
	shareFar := max(reachedFar/float64(max(1, len(s.gateways)-near)), reachMin/float64(max(1, len(v.ups)-local)))
	v.reach = v.reach[:0]
	for _, u := range v.ups {
		share := shareFar
		if u.zone == s.cfg.Zone {
			share = shareNear
		}
		if u.home || float64(u.rank)/math.MaxUint64 < share {
			v.reach = append(v.reach, u)
		}
	}
}

// setLimits bounds what this gateway may have under way at each upstream. The gateway
// that uses one first may fill its slots; the others together may make it queue
// a little. Connections are shared out evenly, with room for two gateways that are
// not known here.
func (s *Balancer) setLimits(v *service, gateways int) {
	conns := v.info.MaxConns
	if conns == 0 {
		conns = 64
	}
	for _, u := range v.ups {
		u.limit = max(1, u.Capacity/6)
		if u.home {
			u.limit = u.Capacity
		}
		u.limit = max(1, min(u.limit, conns/(gateways+2)))
	}
}

// lend plans among the zones of this gateway's region only.
func (s *Balancer) lend(v *service) map[string]string {
	zones := map[string]bool{s.cfg.Zone: true}
	for _, d := range s.gateways {
		if s.region(d.Zone) == s.region(s.cfg.Zone) {
			zones[d.Zone] = true
		}
	}
	ups := v.ups
	if s.cfg.Region != nil {
		ups = nil
		for _, u := range v.ups {
			if u.near {
				ups = append(ups, u)
			}
		}
	}
	return lend(v.name, ups, s.loads, zones)
}
