package proxy

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// Stats holds the counters of a Handler. Handler.Counters maps them to the names of the metrics.
type Stats struct {
	// Requests counts all requests. Ordinary and Exception count them by route; see chooseService. The
	// others count them by result: Served if a response was passed on, Refused for status 503 or 429,
	// DeadlinePassed for status 504, Failed for other errors.
	Requests, Ordinary, Exception, Served, Refused, Failed, DeadlinePassed atomic.Uint64
	// Attempts counts attempts at upstreams, Retries the retries among them, Dials new connections,
	// BrokenResponses invalid or truncated responses, CrossRegion attempts in another region.
	Attempts, Retries, Dials, BrokenResponses, CrossRegion atomic.Uint64
	// LinkFull counts requests refused because the link had no capacity left for a long response.
	LinkFull    atomic.Uint64
	disconnects disconnectStats
}

// Handler serves the clients' requests: it runs each through the filter chain and forwards it to an
// upstream.
type Handler struct {
	dispatcher    *Dispatcher
	table         atomic.Pointer[config.Table]
	shard         atomic.Int64
	draining      atomic.Bool
	tableComplete atomic.Bool // see SetTableComplete
	chain         HandlerFunc
	Stats         Stats
	// arms splits the requests of a service under rollout between its prior and its candidate version.
	arms *rollout.Splitter
	// Pacer limits the rate of large responses; nil means no limit.
	Pacer *Pacer
	// Link limits the bytes of long responses that are accepted at a time; nil means no limit.
	Link *LinkBudget
	// keysValidUntil is the time on the dispatcher's clock, in nanoseconds, until which the API keys
	// in the table may be trusted; nil if their revocation needs no confirmation by every gateway.
	keysValidUntil *atomic.Int64
	// chargeTenant charges a tenant's quota; nil if quotas are not in use.
	chargeTenant ChargeQuota
}

// NewHandler returns a handler that gets its upstreams from dispatcher. Its table is empty until
// SetTable is called.
func NewHandler(dispatcher *Dispatcher, arms *rollout.Splitter) *Handler {
	h := &Handler{dispatcher: dispatcher, arms: arms}
	h.shard.Store(-1)
	h.table.Store((&config.Builder{}).Build(nil))
	h.chain = Chain(h.forward, h.limitBody, h.authenticate, h.chooseService, h.setDeadline, h.reserveLink, h.chargeQuota, h.bufferBody, h.setStratum)
	return h
}

// SetTable replaces the configuration table. Requests that have begun keep the table they started with.
func (h *Handler) SetTable(table *config.Table) { h.table.Store(table) }

// Table returns the current configuration table.
func (h *Handler) Table() *config.Table { return h.table.Load() }

// SetShard sets the shard that this gateway belongs to.
func (h *Handler) SetShard(n int) { h.shard.Store(int64(n)) }

// SetTableComplete records that the table has been complete once. Until then a missing route or key may
// still arrive, so requests for it get a temporary error instead of a permanent one.
func (h *Handler) SetTableComplete() { h.tableComplete.Store(true) }

// Drain prepares for the shutdown of the gateway: connections are closed after their next response,
// and every request that was sent to an upstream is waited for.
func (h *Handler) Drain() {
	h.draining.Store(true)
	h.Link.BeginShutdown(h.now())
	h.dispatcher.Do(func(_ time.Duration, b *upstream.Balancer) { b.BeginShutdown() })
}

// closeAfterResponse makes net/http close the client's connection after the response if this gateway
// is draining or has not read the whole request. In the latter case net/http would otherwise read the
// rest of the body first and hold back the response while the client waits for it.
func (h *Handler) closeAfterResponse(x *Exchange) {
	if h.draining.Load() || x.bodyIncomplete || x.bodyPrefix != nil && !x.bodySent.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Stats.Requests.Add(1)
	if conn := connOf(r); conn != nil {
		conn.beginRequest()
		defer conn.endRequest()
	}
	x := &Exchange{w: w, r: r, arrived: time.Now(), table: h.table.Load(), attemptID: r.Header.Get(headerAttemptID)}
	if err := h.chain(x); err != nil {
		switch response := apierror.ResponseFor(apierror.KindOf(err)); {
		case x.clientDisconnected() || apierror.KindOf(err) == apierror.ClientLeftBeforeSend:
			h.countDisconnect(x)
		case response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests:
			h.Stats.Refused.Add(1)
		case response.Status == http.StatusGatewayTimeout:
			h.Stats.DeadlinePassed.Add(1)
		default:
			h.Stats.Failed.Add(1)
		}
		if x.attemptID != "" {
			w.Header().Set(headerAttemptID, x.attemptID)
		}
		h.closeAfterResponse(x)
		if apierror.KindOf(err) == apierror.BodyTooLarge {
			w.Header().Set("Connection", "close")
		}
		apierror.Write(w, err)
	}
}

// startupRetryAfter is the time in which a starting node has received its configuration and upstreams.
// Clients that retried sooner would only use up their retries.
func (h *Handler) startupRetryAfter() time.Duration { return 2 * h.dispatcher.peerTimeout }

// now returns the time on the dispatcher's clock.
func (h *Handler) now() time.Duration { return time.Since(h.dispatcher.epoch) }

// retryLater returns an error of the given kind with a Retry-After of 1/8 to 3/8 of the target latency.
// It is randomized so that requests refused together do not return together.
func (h *Handler) retryLater(x *Exchange, kind apierror.Kind) error {
	after := x.latencyTarget/8 + time.Duration(rand.Float64()*float64(x.latencyTarget/4))
	return apierror.NewRetryAfter(kind, after, "%s", x.service)
}

// Counters returns the counters by the names under which the metrics report them.
func (h *Handler) Counters() map[string]uint64 {
	stats := &h.Stats
	counters := map[string]uint64{
		"requests": stats.Requests.Load(), "ordinary": stats.Ordinary.Load(), "exception": stats.Exception.Load(), "served": stats.Served.Load(),
		"refused": stats.Refused.Load(), "failed": stats.Failed.Load(), "late": stats.DeadlinePassed.Load(), "tries": stats.Attempts.Load(),
		"repeats": stats.Retries.Load(), "dials": stats.Dials.Load(), "broken": stats.BrokenResponses.Load(),
		"abroad": stats.CrossRegion.Load(), "linkFull": stats.LinkFull.Load(),
	}
	stats.disconnects.addTo(counters)
	return counters
}
