package proxy

import (
	"math/rand/v2"
	"time"

	"madderwing/internal/apierror"
)

// routeDownload is the kind of routes whose responses are expected to be long.
const routeDownload = "download"

// reserveLink reserves room for the response in the link budget, and refuses a request whose long response
// the link could not transfer in time.
func (h *Handler) reserveLink(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		class := ResponseClass{Service: x.service, Download: x.route.RouteKind == routeDownload}
		reservation, ok := h.Link.Admit(h.now(), class, x.deadline.Sub(h.dispatcher.epoch))
		if !ok {
			h.Stats.LinkFull.Add(1)
			return h.linkOverloaded(x)
		}
		x.reservation = reservation
		defer reservation.Release()
		return next(x)
	}
}

// linkOverloaded returns the error for a request whose response this gateway's link has no capacity for.
// Another gateway's may have.
func (h *Handler) linkOverloaded(x *Exchange) error {
	if !h.draining.Load() {
		return h.retryLater(x, apierror.Overloaded)
	}
	// The delay is short: another gateway can serve the request at once.
	after := time.Duration((1 + rand.Float64()) / 16 * float64(x.latencyTarget))
	return apierror.NewRetryAfter(apierror.Overloaded, after, "%s", x.service)
}
