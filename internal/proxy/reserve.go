package proxy

import (
	"math/rand/v2"
	"time"

	"madderwing/internal/apierror"
)

// routeDownload is the kind of routes with long answers.
const routeDownload = "download"

// reserve refuses a request whose long answer the link could not carry in time.
func (f *Handler) reserve(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		class := AnswerClass{Service: x.service, Download: x.route.RouteKind == routeDownload}
		r, ok := f.Link.Admit(f.now(), class, x.deadline.Sub(f.dispatcher.start))
		if !ok {
			f.Stats.LinkFull.Add(1)
			return f.elsewhere(x)
		}
		x.reservation = r
		defer r.Release()
		return next(x)
	}
}

// elsewhere is the error for a request that this gateway's link has no room for, and another's may.
func (f *Handler) elsewhere(x *Exchange) error {
	if !f.drain.Load() {
		return f.later(x, apierror.Overloaded)
	}
	after := time.Duration((1 + rand.Float64()) / 16 * float64(x.aim)) // the others are there at once
	return apierror.Later(apierror.Overloaded, after, "%s", x.service)
}
