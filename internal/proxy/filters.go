package proxy

// This file holds the filters that prepare a request before it is forwarded.

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/upstream"
)

// limitBody enforces the configured limit on the size of the request body.
func (h *Handler) limitBody(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		maxBytes := x.table.Limits.MaxBodyBytes
		x.chunked = x.r.ContentLength < 0
		x.hasBody = x.r.ContentLength != 0
		if x.r.ContentLength > maxBytes {
			return apierror.New(apierror.BodyTooLarge, "more than %d bytes", maxBytes)
		}
		// No ResponseWriter is given: a body that is still being read may exceed the limit while the
		// response is written, and MaxBytesReader would then modify its headers concurrently.
		x.body = http.MaxBytesReader(nil, x.r.Body, maxBytes)
		return next(x)
	}
}

// chooseService chooses the request's service and allowed regions by its route and tenant. Requests of
// routes that are scheduled on this gateway's shard count as ordinary, others as exceptions.
func (h *Handler) chooseService(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		var tenantResidency []string
		if x.tenant != nil {
			tenantResidency = x.tenant.Residency
		}
		x.regions, x.regionBound = config.Regions(x.route.Residency, tenantResidency)
		x.service = x.route.Choose(rand.Float64())
		if status := x.route.Status; status.Phase == config.PhaseScheduled && int64(status.Shard) == h.shard.Load() {
			h.Stats.Ordinary.Add(1)
		} else {
			h.Stats.Exception.Add(1)
		}
		return next(x)
	}
}

// setDeadline sets the request's deadline, which its Deadline-Left header may shorten, and its target
// latency.
func (h *Handler) setDeadline(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		limit := time.Duration(x.route.DeadlineS * float64(time.Second))
		if ms, err := strconv.ParseFloat(x.r.Header.Get(headerDeadlineLeft), 64); err == nil && ms >= 0 {
			limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
		}
		x.deadline = x.arrived.Add(limit)
		x.latencyTarget = time.Duration(x.route.TargetLatencyS * float64(time.Second))
		if x.latencyTarget <= 0 || x.latencyTarget > limit {
			x.latencyTarget = limit
		}
		return next(x)
	}
}

// bufferBody counts the request towards the retry budget of its service, reads as much of the body as is
// kept for retries, and refuses the request if its deadline has passed.
func (h *Handler) bufferBody(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		h.dispatcher.Do(func(_ time.Duration, b *upstream.Balancer) { b.RecordRequest(x.service) })
		if x.hasBody {
			if err := h.readBody(x); err != nil {
				return err
			}
		}
		if time.Until(x.deadline) <= 0 {
			return h.retryLater(x, apierror.DeadlineBeforeSend)
		}
		return next(x)
	}
}

// readBody reads up to maxBufferedBody bytes of the body, until the request's deadline.
func (h *Handler) readBody(x *Exchange) error {
	x.stage = stageBody
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	space := make([]byte, 0, max(0, min(x.r.ContentLength, maxBufferedBody))+512)
	body, err := readUpTo(space, x.body, maxBufferedBody)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err == io.EOF:
		x.bufferedBody = body
		return nil
	case err == nil:
		x.bodyPrefix = body
		return nil
	}
	x.bodyIncomplete = true
	switch tooLarge := apierror.BodyTooLargeError(err); {
	case tooLarge != nil:
		return tooLarge
	case isTimeout(err):
		return h.retryLater(x, apierror.DeadlineBeforeSend)
	case connectionBroken(err):
		return h.disconnectedBeforeSend(x)
	}
	return apierror.New(apierror.BadRequest, "body not read: %v", err)
}

// setStratum sets the request's stratum for rollouts: each arm of a rollout gets its share of the requests
// in every stratum. A stratum is a route with its kind, and for requests of tenants also their priority.
func (h *Handler) setStratum(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		x.stratum = x.route.Name + " " + x.route.RouteKind
		if x.tenant != nil {
			x.stratum += " " + strconv.Itoa(x.priority())
		}
		return next(x)
	}
}

// connectionBroken reports whether reading a body failed because the client's connection ended.
func connectionBroken(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opErr)
}

// readUpTo appends to buf until it holds limit bytes (nil error) or the reader ends (io.EOF).
func readUpTo(buf []byte, r io.Reader, limit int) ([]byte, error) {
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):min(cap(buf), limit)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}
