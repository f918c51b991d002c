package upstream

// This file averages this gateway's load of each pool, and sets the loads of all zones.

import (
	"maps"
	"math"
	"time"
)

// SetLoads sets the loads of all zones, and assigns upstreams anew if that changes which zones they serve.
func (b *Balancer) SetLoads(now time.Duration, loads Loads) {
	b.zoneLoads = loads
	for _, pool := range b.pools {
		if !maps.Equal(b.planZones(pool), pool.reassigned) {
			b.assign(now)
			b.dispatchAll(now)
			return
		}
	}
}

// Loads returns this gateway's own load, by pool.
func (b *Balancer) Loads() map[string]float64 {
	loads := map[string]float64{}
	for key, pool := range b.pools {
		if pool.load > 0.05 {
			loads[key] = math.Round(pool.load*10) / 10
		}
	}
	return loads
}

// updateLoads brings the moving averages of the pools' loads up to date.
func (b *Balancer) updateLoads(now time.Duration) {
	weight := 1 - math.Exp(-(now-b.loadsUpdatedAt).Seconds()/loadAveragingTime.Seconds())
	b.loadsUpdatedAt = now
	for _, pool := range b.pools {
		requests := len(pool.queue)
		for _, u := range pool.upstreams {
			requests += u.InFlight
		}
		pool.load += (float64(requests) - pool.load) * weight
	}
}

// loadAveragingTime is the time constant of the averages, a few times the duration of a request.
const loadAveragingTime = 1500 * time.Millisecond
