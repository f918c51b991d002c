package gateway

import (
	"sync/atomic"
	"time"

	"madderwing/internal/delivery"
)

// readiness decides whether the platform may send new connections to this gateway: it has configuration
// items and a list of upstreams, a majority has confirmed all the items once since the start, API keys
// may be used, and the gateway is not shutting down. If it loses contact to all control nodes, it goes on
// serving with what it has, and stays ready as long as API keys may be used.
type readiness struct {
	hasItems, hasList, itemsConfirmed, shuttingDown atomic.Bool
	keysConfirmed                                   func() bool

	probesDuringShutdown atomic.Int32 // readiness probes received during the shutdown
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
	return r.hasData() && r.itemsConfirmed.Load() && !r.shuttingDown.Load() && r.keysConfirmed()
}

// confirmItems handles an update whose records have been applied. It confirms the items if the control
// node is in contact with a majority and the update, with everything that the control node holds,
// replies to a request that this gateway sent at most maxAge ago: a reply that was delayed while the
// gateway's process was suspended may be out of date.
func (r *readiness) confirmItems(now time.Duration, update delivery.Update, maxAge time.Duration) {
	if update.Fresh && update.Freshness != nil && now-update.Freshness.AskedAt <= maxAge {
		r.itemsConfirmed.Store(true)
	}
}

// answerProbe returns the result of a readiness probe by the platform, and counts probes during a shutdown.
func (r *readiness) answerProbe() bool {
	if r.shuttingDown.Load() {
		r.probesDuringShutdown.Add(1)
	}
	return r.isReady()
}

// shutdownRecognized reports whether the platform has recognized that the gateway is shutting down.
func (r *readiness) shutdownRecognized() bool {
	return r.probesDuringShutdown.Load() >= unhealthyThreshold
}
