package upstream

import (
	"math"
	"slices"
	"sort"
)

// Loads is how many requests of each service the gateways of each zone have under
// way or waiting, on average of the last moments: zone -> service -> requests.
type Loads map[string]map[string]float64

// Add adds other loads.
func (l Loads) Add(o Loads) {
	for zone, services := range o {
		if l[zone] == nil {
			l[zone] = map[string]float64{}
		}
		for name, n := range services {
			l[zone][name] += n
		}
	}
}

const (
	lendAbove = 0.55 // a zone whose slots are busier than this borrows
	lendGain  = 0.95 // and only if its lot gets better by this factor
)

// lend works out which upstreams of a service other zones use as their own: a
// zone with more requests than its own upstreams can well bear borrows from the
// zone that has most to spare, one upstream at a time. All gateways come to the
// same plan from the same loads; where their views differ for a moment, an
// upstream is used first by two gateways or by none, which does no harm.
func lend(service string, ups []*Upstream, loads Loads, gatewayZones map[string]bool) map[string]string {
	slots := map[string]float64{}
	for _, u := range ups {
		slots[u.Zone] += float64(u.Capacity)
	}
	plan := map[string]string{}
	needed := false
	for z := range gatewayZones {
		needed = needed || loads[z][service] > lendAbove*slots[z]
	}
	if !needed {
		return plan
	}
	spare := map[string][]*Upstream{}
	for _, u := range ups {
		spare[u.Zone] = append(spare[u.Zone], u)
	}
	var zones []string
	for z := range gatewayZones {
		zones = append(zones, z)
	}
	for z := range slots {
		if !gatewayZones[z] {
			zones = append(zones, z)
		}
	}
	sort.Strings(zones)
	for _, list := range spare {
		slices.SortFunc(list, byOrder)
	}
	factor := func(zone string, slots float64) float64 {
		load := loads[zone][service]
		switch {
		case load == 0:
			return 0
		case slots <= 0:
			return math.Inf(1)
		}
		return load / slots
	}
	for range ups {
		hi, lo := "", ""
		for _, z := range zones {
			if gatewayZones[z] && (hi == "" || factor(z, slots[z]) > factor(hi, slots[hi])) {
				hi = z
			}
			if len(spare[z]) > 1 && (lo == "" || factor(z, slots[z]) < factor(lo, slots[lo])) {
				lo = z
			}
		}
		if hi == "" || lo == "" || hi == lo {
			break
		}
		u := spare[lo][len(spare[lo])-1]
		c := float64(u.Capacity)
		now := factor(hi, slots[hi])
		if now <= lendAbove || max(factor(lo, slots[lo]-c), factor(hi, slots[hi]+c)) >= now*lendGain {
			break
		}
		spare[lo] = spare[lo][:len(spare[lo])-1]
		slots[lo] -= c
		slots[hi] += c
		plan[u.ID] = hi
	}
	return plan
}
