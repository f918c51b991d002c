package upstream

import (
	"math"
	"slices"
	"sort"
)

// Loads is the number of requests that the gateways of each zone have in flight or queued,
// as a moving average: zone -> pool (the service's name, with "@version" for a candidate) -> requests.
type Loads map[string]map[string]float64

// Add adds the loads in other.
func (loads Loads) Add(other Loads) {
	for zone, pools := range other {
		if loads[zone] == nil {
			loads[zone] = map[string]float64{}
		}
		for key, n := range pools {
			loads[zone][key] += n
		}
	}
}

const (
	reassignAboveLoad = 0.55 // load per slot above which a zone gets upstreams of other zones
	reassignMaxRatio  = 0.95 // the higher load of the two zones must fall below this fraction of what it was
)

// reassignZones returns the upstreams that serve another zone than their own, with that zone:
// the most loaded zone with gateways gets upstreams of the least loaded zone, one at a time,
// as long as that lowers the load enough. A zone keeps at least one of its own upstreams.
// All gateways compute the same plan from the same loads. While their views differ, an
// upstream may be the primary of two gateways or of none, which does no harm.
func reassignZones(poolKey string, upstreams []*Upstream, loads Loads, gatewayZones map[string]bool) map[string]string {
	slots := map[string]float64{}
	for _, u := range upstreams {
		slots[u.Zone] += float64(u.Capacity)
	}
	plan := map[string]string{}
	needed := false
	for zone := range gatewayZones {
		needed = needed || loads[zone][poolKey] > reassignAboveLoad*slots[zone]
	}
	if !needed {
		return plan
	}
	remaining := map[string][]*Upstream{}
	for _, u := range upstreams {
		remaining[u.Zone] = append(remaining[u.Zone], u)
	}
	var zones []string
	for zone := range gatewayZones {
		zones = append(zones, zone)
	}
	for zone := range slots {
		if !gatewayZones[zone] {
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones)
	for _, upstreams := range remaining {
		slices.SortFunc(upstreams, byServiceWeight)
	}
	loadFactor := func(zone string, slots float64) float64 {
		load := loads[zone][poolKey]
		switch {
		case load == 0:
			return 0
		case slots <= 0:
			return math.Inf(1)
		}
		return load / slots
	}
	for range upstreams {
		mostLoaded, leastLoaded := "", ""
		for _, zone := range zones {
			if gatewayZones[zone] && (mostLoaded == "" || loadFactor(zone, slots[zone]) > loadFactor(mostLoaded, slots[mostLoaded])) {
				mostLoaded = zone
			}
			if len(remaining[zone]) > 1 && (leastLoaded == "" || loadFactor(zone, slots[zone]) < loadFactor(leastLoaded, slots[leastLoaded])) {
				leastLoaded = zone
			}
		}
		if mostLoaded == "" || leastLoaded == "" || mostLoaded == leastLoaded {
			break
		}
		u := remaining[leastLoaded][len(remaining[leastLoaded])-1]
		capacity := float64(u.Capacity)
		current := loadFactor(mostLoaded, slots[mostLoaded])
		if current <= reassignAboveLoad || max(loadFactor(leastLoaded, slots[leastLoaded]-capacity), loadFactor(mostLoaded, slots[mostLoaded]+capacity)) >= current*reassignMaxRatio {
			break
		}
		remaining[leastLoaded] = remaining[leastLoaded][:len(remaining[leastLoaded])-1]
		slots[leastLoaded] -= capacity
		slots[mostLoaded] += capacity
		plan[u.ID] = mostLoaded
	}
	return plan
}
