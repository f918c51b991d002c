package upstream

import (
	"math"
	"time"
)

// This file detects outliers. A gateway rates upstreams by their responses to its own requests, since
// what they report of their own health may be wrong. It measures error rate, latency and stalled
// requests, each relative to the whole service, so that a fault of the whole service does not count
// against single upstreams.

const (
	errorRateWeight    = 0.25 // weight of one response in the moving average of an upstream's error rate
	errorRateEject     = 0.42 // error rate above which an outlier is ejected
	errorRateCommon    = 0.2  // error rate of a service from which on none of its upstreams is an outlier
	latencyWeight      = 0.2  // weight of one response in the moving average of an upstream's latency
	latencyDecayS      = 4.0  // time constant in seconds by which a latency without new responses decays
	maxRelativeLatency = 6.0
	minRelativeLatency = 0.6
	stallLatencies     = 2.5 // a request is stalled after this multiple of the usual latency
	stallMinRequests   = 2   // simultaneous stalled requests from which on an upstream is ejected
	stallMinTime       = 150 * time.Millisecond
	stallAimFraction   = 0.5  // fraction of its latency target that a stalled request must have waited in any case
	minResponses       = 30   // responses of a service from which on its usual latency is known
	maxEjectedFraction = 0.34 // fraction of a pool's upstreams in one serving zone that may be ejected as outliers
)

// outlierStats holds what this gateway has observed of an upstream's responses.
type outlierStats struct {
	errorRate        float64 // moving average
	latencyS         float64 // moving average of the latency in seconds; 0: not known
	latencyAt        time.Duration
	pending          []pendingRequest // requests without a response yet
	otherLoad        float64          // requests of other gateways, according to the upstream's last report
	loadReportedAt   time.Duration
	reportsLoad      bool
	unloadedLatencyS float64 // moving average of the latency in seconds while the upstream has room; 0: not known
	probation        bool    // it was ejected as an outlier: after its return it gets one request at a time
}

type pendingRequest struct {
	startedAt, latencyTarget time.Duration
	handle                   *WaitHandle
}

// stalled reports whether the request has waited longer than limit and than stallAimFraction of its latency
// target.
func (r pendingRequest) stalled(now, limit time.Duration) bool {
	return now-r.startedAt > max(limit, time.Duration(stallAimFraction*float64(r.latencyTarget)))
}

// requestStarted records a request that was granted this upstream.
func (stats *outlierStats) requestStarted(now time.Duration, req *AcquireRequest) {
	stats.pending = append(stats.pending, pendingRequest{now, req.LatencyTarget, req.WaitHandle})
}

// removePending records that the response to the request that began at the given time has started, or
// that the request has ended. It returns false if that had been recorded before.
func (stats *outlierStats) removePending(began time.Duration) (pending bool) {
	for i, r := range stats.pending {
		if r.startedAt == began {
			stats.pending = append(stats.pending[:i], stats.pending[i+1:]...)
			return true
		}
	}
	return false
}

// countStalled counts the stalled requests.
func (stats *outlierStats) countStalled(now, limit time.Duration) (stalled int) {
	for _, r := range stats.pending {
		if r.stalled(now, limit) {
			stalled++
		}
	}
	return stalled
}

// relativeLatency returns the latency of an upstream relative to that of its pool: 1 is average.
func (b *Balancer) relativeLatency(now time.Duration, pool *servicePool, u *Upstream) float64 {
	ratio := 1.0
	if u.latencyS > 0 && pool.latencyS > 0 {
		ratio += (u.latencyS/pool.latencyS - 1) * math.Exp(-(now-u.latencyAt).Seconds()/latencyDecayS)
	}
	return min(max(ratio, minRelativeLatency), maxRelativeLatency)
}

// recordResponse records a response: its latency (0: not known), and whether it was a server error.
// outlier reports whether the upstream's error rate is above errorRateCommon and that of its pool below
// it.
func (b *Balancer) recordResponse(now time.Duration, pool *servicePool, u *Upstream, latency time.Duration, serverError bool) (outlier bool) {
	sample := 0.0
	if serverError {
		sample = 1
	}
	u.errorRate += (sample - u.errorRate) * errorRateWeight
	pool.responses++
	pool.errorRate += (sample - pool.errorRate) * errorRateWeight / float64(max(4, len(pool.upstreams)/4))
	if !serverError && latency > 0 {
		if u.latencyS == 0 {
			u.latencyS = latency.Seconds()
		}
		u.latencyS += (latency.Seconds() - u.latencyS) * latencyWeight
		u.latencyAt = now
		if pool.latencyS == 0 {
			pool.latencyS = latency.Seconds()
		}
		pool.latencyS += (latency.Seconds() - pool.latencyS) * latencyWeight / float64(max(2, len(pool.upstreams)/8))
		if u.probation && latency < pool.stallLimit(stallLatencies) {
			u.probation = false
		}
	}
	outlier = u.errorRate > errorRateCommon && pool.errorRate < errorRateCommon
	if outlier && u.errorRate > errorRateEject {
		b.ejectOutlier(now, pool, u)
	}
	return outlier
}

// ResponseStarted records that the response has begun to arrive: from then on the request cannot be
// stalled, however long the transfer of the rest takes.
func (b *Balancer) ResponseStarted(now time.Duration, lease SlotLease) {
	lease.Upstream.removePending(lease.GrantedAt)
}

// ReportedLoad is the load that an upstream reports in a response.
type ReportedLoad struct {
	Known            bool
	Running, Waiting int
}

// reportDecayLatencies is the time constant by which a reported load decays, in multiples of the pool's
// latency: by then most of the requests that it counted have ended.
const reportDecayLatencies = 1.5

// ReportLoad records the load that an upstream reports. The part of it that exceeds this gateway's own
// requests comes from other gateways.
func (b *Balancer) ReportLoad(now time.Duration, u *Upstream, load ReportedLoad) {
	if !load.Known {
		return
	}
	u.otherLoad, u.loadReportedAt, u.reportsLoad = max(0, float64(load.Running+load.Waiting-u.InFlight)), now, true
}

// otherGatewaysLoad estimates how many requests of other gateways an upstream has.
func (b *Balancer) otherGatewaysLoad(now time.Duration, pool *servicePool, u *Upstream) float64 {
	if !u.reportsLoad {
		return 0
	}
	return u.otherLoad * math.Exp(-(now-u.loadReportedAt).Seconds()/max(0.05, pool.latencyS*reportDecayLatencies))
}

// stallLimit returns the given multiple of the pool's latency, at least stallMinTime.
func (pool *servicePool) stallLimit(factor float64) time.Duration {
	return max(stallMinTime, time.Duration(pool.latencyS*factor*float64(time.Second)))
}

// ejectOutlier ejects an upstream, unless too many of its serving zone are ejected already;
// one may always be, and one that is on probation may be ejected again.
func (b *Balancer) ejectOutlier(now time.Duration, pool *servicePool, u *Upstream) bool {
	ejected, total := 0, 0
	for _, other := range pool.upstreams {
		if other.servingZone == u.servingZone {
			total++
			if now < other.ejectedUntil || other.trialPending || other.probation {
				ejected++
			}
		}
	}
	if !u.probation && float64(ejected+1) > max(1, maxEjectedFraction*float64(total)) {
		return false
	}
	u.probation = true
	b.eject(now, u)
	return true
}

// detectStalls ejects an upstream that has stallMinRequests stalled requests, or a single one
// while on probation. In the first case it also interrupts those that may be retried, so that
// they are sent elsewhere.
func (b *Balancer) detectStalls(now time.Duration, pool *servicePool, u *Upstream) {
	if len(u.pending) == 0 || pool.responses < minResponses || u.retired || now < u.ejectedUntil {
		return
	}
	// A slow upstream gets fewer requests (see score), but is not ejected for being slow.
	limit := time.Duration(max(1, u.latencyS/pool.latencyS) * float64(pool.stallLimit(stallLatencies)))
	stalled := u.countStalled(now, limit)
	if stalled < stallMinRequests && !(stalled > 0 && u.probation) {
		return
	}
	// A single stalled request may just be an expensive one, which would take as long elsewhere.
	if b.ejectOutlier(now, pool, u) && stalled >= stallMinRequests {
		// Interrupts only as many as the retry budget allows to be sent elsewhere: any other would
		// fail although the upstream may still respond to it.
		tokens := b.refillBudget(now, b.stablePool(u.Service)).tokens
		for _, r := range u.pending {
			if r.handle != nil && r.stalled(now, limit) && tokens >= 1 {
				tokens--
				b.interrupt(r.handle)
			}
		}
	}
}
