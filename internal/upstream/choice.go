package upstream

// This file chooses the upstream of a request.

import (
	"math"
	"slices"
	"time"
)

// othersFrom is the start, in slots, that an upstream has over one of the zone that
// another gateway uses first.
const othersFrom = 0.84

// score is how far an upstream is from being the one to send to: its load in
// units of its slots, with a start for the upstreams that other gateways use
// first. Infinite: not at present.
func (s *Balancer) score(now time.Duration, v *service, u *Upstream) float64 {
	if u.gone || now < u.until || now < u.rest || u.trying || u.Busy >= s.most(now, v, u) || u.trial && u.Busy > 0 {
		return math.Inf(1)
	}
	slots := float64(u.Capacity)
	load := (float64(u.Busy) + s.crowd(now, v, u) + 0.5) * s.slowness(now, v, u)
	switch {
	case u.home:
	case u.zone == s.cfg.Zone:
		load += slots * othersFrom
	case !u.near:
		load += slots * 1.3 // the way there is long and dear
	default:
		load += slots * 0.93
	}
	if u.Cold(now) {
		if !s.sends(u) || v.info.WarmupPerS > 0 && !u.pace.Ready(now) {
			return math.Inf(1)
		}
		load += slots * 0.75
	}
	if u.failures > 0 || !u.proven {
		load += 0.3 * slots
	}
	if len(u.idle) == 0 {
		load += 0.1 * slots // a connection would have to be opened
	}
	return load / slots
}

// pick finds the upstream to send to.
func (s *Balancer) pick(now time.Duration, v *service, c *AcquireRequest) (best *Upstream, any bool) {
	// Nearly always one of the few that this gateway uses first will do, and then no
	// other can be better.
	best, score, any := s.pickFrom(now, v, c, v.homes)
	if score < othersFrom {
		return best, any
	}
	best, _, any = s.pickFrom(now, v, c, v.reach)
	if best == nil && len(v.reach) < len(v.ups) && (!any || s.reachFails(now, v)) {
		best, _, any = s.pickFrom(now, v, c, v.ups)
	}
	return best, any
}

// reachFails says whether half or more of the upstreams in reach cannot be sent to
// whatever their load, as when a zone is lost.
func (s *Balancer) reachFails(now time.Duration, v *service) bool {
	out := 0
	for _, u := range v.reach {
		if u.gone || now < u.until || u.trying || u.Cold(now) && !s.sends(u) {
			out++
		}
	}
	return out*2 >= len(v.reach)
}

// pickFrom finds the best of some upstreams and its score.
func (s *Balancer) pickFrom(now time.Duration, v *service, c *AcquireRequest, ups []*Upstream) (best *Upstream, bestScore float64, any bool) {
	bestScore = math.Inf(1)
next:
	for _, u := range ups {
		if u.gone || c.Bound && !slices.Contains(c.Regions, u.region) {
			continue
		}
		for _, id := range c.Avoid {
			if id == u.ID {
				continue next
			}
		}
		any = true
		sc := s.score(now, v, u)
		if sc < bestScore || sc == bestScore && best != nil && u.rank > best.rank {
			best, bestScore = u, sc
		}
	}
	return best, bestScore, any
}
