package upstream

import (
	"math"
	"time"
)

// Some upstreams slow down so much near their capacity that their throughput falls. A gateway
// measures that at its primary upstreams, whose load it knows: it compares their latency when saturated
// with that when they have room. If their throughput is higher at saturatedFraction of the capacity, it
// sends no more than that.

const (
	unloadedFraction       = 0.5  // up to this fraction of its capacity, an upstream has room
	saturatedFraction      = 0.75 // above this fraction it is saturated; also the reduced limit
	saturationWeight       = 0.05 // weight of one response in the moving average of the slowdown
	saturationMinResponses = 20   // responses of saturated upstreams from which on the slowdown counts
	saturationDecay        = 15 * time.Second
)

// saturation records how much longer the upstreams of a pool take when they are saturated.
type saturation struct {
	slowdown  float64
	responses int
	lastAt    time.Duration // time of the last response of a saturated upstream
}

// record records a response. Each upstream is compared with itself, since slower
// upstreams are saturated more often.
func (s *saturation) record(now time.Duration, u *Upstream, inFlight int, latency time.Duration) {
	if !u.primary || latency <= 0 {
		return
	}
	usedFraction := float64(inFlight) / float64(u.Capacity)
	switch {
	case usedFraction <= unloadedFraction:
		if u.unloadedLatencyS == 0 {
			u.unloadedLatencyS = latency.Seconds()
		}
		u.unloadedLatencyS += (latency.Seconds() - u.unloadedLatencyS) * latencyWeight
	case usedFraction > saturatedFraction && u.unloadedLatencyS > 0:
		if s.responses++; s.responses == 1 {
			s.slowdown = 1
		}
		s.slowdown += (latency.Seconds()/u.unloadedLatencyS - s.slowdown) * max(saturationWeight, 1/float64(s.responses+1))
		s.lastAt = now
	}
}

// concurrencyLimit returns how many requests this gateway may have in flight at an upstream.
func (b *Balancer) concurrencyLimit(now time.Duration, pool *servicePool, u *Upstream) int {
	if !u.primary || pool.saturation.responses < saturationMinResponses {
		return u.maxInFlight
	}
	// The observed slowdown decays, so that the limit is lifted and the slowdown measured again.
	ratio := 1 + (pool.saturation.slowdown-1)*math.Exp(-float64(now-pool.saturation.lastAt)/float64(saturationDecay))
	reduced := max(1, int(saturatedFraction*float64(u.Capacity)))
	if ratio*float64(reduced) <= float64(u.Capacity) {
		return u.maxInFlight
	}
	return min(u.maxInFlight, reduced)
}
