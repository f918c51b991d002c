package gateway

import (
	"sync/atomic"
	"time"

	"madderwing/internal/delivery"
)

// readiness decides whether the platform may send new connections to this gateway: it has configuration
// items and a list of upstreams, a majority has confirmed all the items once since the start, API keys
// may be used, and the gateway isn't shutting down. A gateway that was ready stays ready without any
// control node and serves with what it has.
type readiness struct {
	hasItems, hasList, itemsConfirmed, leaving atomic.Bool
	keysConfirmed                              func() bool

	leavingProbes atomic.Int32 // readiness probes answered during the shutdown
}

// unhealthyThreshold is the number of failed probes in a row after which the platform treats a node as
// not ready.
const unhealthyThreshold = 2

func newReadiness(keysConfirmed func() bool) *readiness {
	return &readiness{keysConfirmed: keysConfirmed}
}

// hasData reports whether there are items and a list of upstreams to serve with.
func (r *readiness) hasData() bool { return r.hasItems.Load() && r.hasList.Load() }

func (r *readiness) isReady() bool {
	return r.hasData() && r.itemsConfirmed.Load() && !r.leaving.Load() && r.keysConfirmed()
}

// confirmItems handles an update whose records have been applied. It confirms the items if the control
// node is in contact with a majority and the update, with everything that the control node holds,
// answers a request that this gateway sent at most maxAge ago: an answer that was delayed while the
// gateway was frozen says nothing about the present.
func (r *readiness) confirmItems(now time.Duration, update delivery.Update, maxAge time.Duration) {
	if update.Fresh && update.Freshness != nil && now-update.Freshness.AskedAt <= maxAge {
		r.itemsConfirmed.Store(true)
	}
}

// answerProbe answers a readiness probe of the platform and counts those answered during the shutdown.
func (r *readiness) answerProbe() bool {
	if r.leaving.Load() {
		r.leavingProbes.Add(1)
	}
	return r.isReady()
}

// leavingRecognized reports whether the platform has recognized that the gateway is shutting down.
func (r *readiness) leavingRecognized() bool { return r.leavingProbes.Load() >= unhealthyThreshold }
