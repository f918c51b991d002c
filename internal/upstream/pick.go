package upstream

// This file picks the upstream for a request.

import (
	"math"
	"slices"
	"time"
)

// nonPrimaryPenalty is added to the score of an upstream that serves this zone but is the
// primary of another gateway. It is the smallest penalty of any upstream that is not a primary
// of this gateway.
const nonPrimaryPenalty = 0.84

// score rates an upstream: its load relative to its capacity, plus penalties; the lowest is
// the best. It is infinite if nothing may be sent to the upstream at present.
func (b *Balancer) score(now time.Duration, pool *servicePool, u *Upstream) float64 {
	if u.retired || now < u.ejectedUntil || now < u.pausedUntil || u.trialPending || u.InFlight >= b.concurrencyLimit(now, pool, u) || u.probation && u.InFlight > 0 {
		return math.Inf(1)
	}
	slots := float64(u.Capacity)
	load := (float64(u.InFlight) + b.otherGatewaysLoad(now, pool, u) + 0.5) * b.relativeLatency(now, pool, u)
	switch {
	case u.primary:
	case u.servingZone == b.cfg.Zone:
		load += slots * nonPrimaryPenalty
	case !u.sameRegion:
		load += slots * 1.3 // traffic to another region is slow and expensive
	default:
		load += slots * 0.93
	}
	if u.Cold(now) {
		if !b.isColdSender(u) || pool.info.WarmupPerS > 0 && !u.warmupLimiter.Ready(now) {
			return math.Inf(1)
		}
		load += slots * 0.75
	}
	if u.failures > 0 || !u.verified {
		load += 0.3 * slots
	}
	if len(u.idle) == 0 {
		load += 0.1 * slots // a connection has to be opened first
	}
	return load / slots
}

// pick finds the upstream to send to, nil if there is none now. eligible reports whether any
// could take the request later.
func (b *Balancer) pick(now time.Duration, pool *servicePool, req *AcquireRequest) (best *Upstream, eligible bool) {
	// Nearly always a primary upstream has a score below nonPrimaryPenalty, and then no other
	// upstream can be better.
	best, score, eligible := b.pickFrom(now, pool, req, pool.primaries)
	if score < nonPrimaryPenalty {
		return best, eligible
	}
	best, _, eligible = b.pickFrom(now, pool, req, pool.subset)
	if best == nil && len(pool.subset) < len(pool.upstreams) && (!eligible || b.subsetUnavailable(now, pool)) {
		best, _, eligible = b.pickFrom(now, pool, req, pool.upstreams)
	}
	return best, eligible
}

// subsetUnavailable reports whether half or more of the subset cannot be used whatever their
// load, for example after the loss of a zone.
func (b *Balancer) subsetUnavailable(now time.Duration, pool *servicePool) bool {
	unavailable := 0
	for _, u := range pool.subset {
		if u.retired || now < u.ejectedUntil || u.trialPending || u.Cold(now) && !b.isColdSender(u) {
			unavailable++
		}
	}
	return unavailable*2 >= len(pool.subset)
}

// pickFrom finds the best of the given upstreams and its score.
func (b *Balancer) pickFrom(now time.Duration, pool *servicePool, req *AcquireRequest, upstreams []*Upstream) (best *Upstream, bestScore float64, eligible bool) {
	bestScore = math.Inf(1)
next:
	for _, u := range upstreams {
		if u.retired || req.RegionRestricted && !slices.Contains(req.Regions, u.region) {
			continue
		}
		for _, id := range req.ExcludeIDs {
			if id == u.ID {
				continue next
			}
		}
		eligible = true
		score := b.score(now, pool, u)
		if score < bestScore || score == bestScore && best != nil && u.gatewayWeight > best.gatewayWeight {
			best, bestScore = u, score
		}
	}
	return best, bestScore, eligible
}
