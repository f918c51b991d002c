package proxy

// This file holds the filters of the chain that come before the balancer.

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

// limits holds the body to what the operator allows.
func (f *Handler) limits(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		most := x.table.Limits.MaxBodyBytes
		x.chunked = x.r.ContentLength < 0
		x.hasBody = x.r.ContentLength != 0
		if x.r.ContentLength > most {
			return apierror.New(apierror.BodyTooLarge, "more than %d bytes", most)
		}
		// Without the writer: a body that is still being read when its answer is given
		// may go beyond the limit just then, and would touch the answer's headers.
		x.body = http.MaxBytesReader(nil, x.r.Body, most)
		return next(x)
	}
}

// route acts on the request's route.
func (f *Handler) route(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		var homes []string
		if x.tenant != nil {
			homes = x.tenant.Residency
		}
		x.regions, x.bound = config.Regions(x.route.Residency, homes)
		x.service = x.route.Choose(rand.Float64())
		if s := x.route.Status; s.Phase == config.PhaseScheduled && int64(s.Shard) == f.shard.Load() {
			f.Stats.Ordinary.Add(1)
		} else {
			f.Stats.Exception.Add(1)
		}
		return next(x)
	}
}

// deadline works out how long the request may take.
func (f *Handler) deadline(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		limit := time.Duration(x.route.DeadlineS * float64(time.Second))
		if ms, err := strconv.ParseFloat(x.r.Header.Get(hDeadline), 64); err == nil && ms >= 0 {
			limit = min(limit, time.Duration(ms*float64(time.Millisecond)))
		}
		x.deadline = x.arrived.Add(limit)
		x.aim = time.Duration(x.route.TargetLatencyS * float64(time.Second))
		if x.aim <= 0 || x.aim > limit {
			x.aim = limit
		}
		return next(x)
	}
}

// admit takes in the body, as far as it may be needed twice, and refuses what
// has no time left.
func (f *Handler) admit(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		f.dispatcher.Do(func(_ time.Duration, s *upstream.Balancer) { s.Request(x.service) })
		if x.hasBody {
			if err := f.readBody(x); err != nil {
				return err
			}
		}
		if time.Until(x.deadline) <= 0 {
			return f.later(x, apierror.Expired)
		}
		return next(x)
	}
}

// readBody reads the body, or as much of it as is held, until the deadline.
func (f *Handler) readBody(x *Exchange) error {
	x.stage = stageBody
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	held := make([]byte, 0, max(0, min(x.r.ContentLength, bodyBuffered))+512)
	buf, err := readUpTo(held, x.body, bodyBuffered)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err == io.EOF:
		x.bufferedBody = buf
		return nil
	case err == nil:
		x.bodyPrefix = buf
		return nil
	}
	x.bodyCut = true
	switch large := apierror.TooLarge(err); {
	case large != nil:
		return large
	case isTimeout(err):
		return f.later(x, apierror.Expired)
	case brokenOff(err):
		return f.leftUnsent(x)
	}
	return apierror.New(apierror.BadRequest, "body not read: %v", err)
}

// stratify names the request's stratum: within each, the arms of a rollout get their
// shares. Where there are tenants that is their tier, or else the route; requests of
// different kinds are never of one stratum.
func (f *Handler) stratify(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		x.stratum = x.route.Name + " " + x.route.RouteKind
		if x.tenant != nil {
			x.stratum += " " + strconv.Itoa(x.priority())
		}
		return next(x)
	}
}

// brokenOff says whether a body could not be read because its client ended the connection.
func brokenOff(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// readUpTo reads into buf until it holds most bytes (no error) or the reader
// ends (io.EOF).
func readUpTo(buf []byte, r io.Reader, most int) ([]byte, error) {
	for len(buf) < most {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):min(cap(buf), most)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}
