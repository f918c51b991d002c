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

// Stats are a handler's counters.
type Stats struct {
	Requests, Ordinary, Exception, Served, Refused, Failed, Late atomic.Uint64
	Tries, Repeats, Dials, Broken, Abroad                        atomic.Uint64
	// LinkFull counts the long answers that were refused for want of room on the link.
	LinkFull atomic.Uint64
	left     leftStats
}

// Handler serves clients.
type Handler struct {
	dispatcher *Dispatcher
	table      atomic.Pointer[config.Table]
	shard      atomic.Int64
	drain      atomic.Bool
	complete   atomic.Bool // see SetComplete
	chain      HandlerFunc
	Stats      Stats
	// arms splits the requests of services whose version changes.
	arms *rollout.Arms
	// Pace is that of large answers; nil: none.
	Pace *Pace
	// Link bounds the long answers that are taken on; nil: nothing does.
	Link *LinkBudget
	// lease is until when, on the dispatcher's clock, keys may be relied on; nil where
	// no word on them has to be global.
	lease *atomic.Int64
	// draw draws on a tenant's quota; nil where there are none.
	draw DrawQuota
}

// NewHandler makes a handler over a dispatcher.
func NewHandler(dispatcher *Dispatcher, arms *rollout.Arms) *Handler {
	f := &Handler{dispatcher: dispatcher, arms: arms}
	f.shard.Store(-1)
	f.table.Store((&config.Builder{}).Build(nil))
	f.chain = Chain(f.balance, f.limits, f.reader, f.route, f.deadline, f.reserve, f.quota, f.admit, f.stratify)
	return f
}

// SetTable puts another table in force.
func (f *Handler) SetTable(t *config.Table) { f.table.Store(t) }

// Table is the table in force.
func (f *Handler) Table() *config.Table { return f.table.Load() }

// SetShard says which shard this gateway belongs to.
func (f *Handler) SetShard(n int) { f.shard.Store(int64(n)) }

// SetComplete says that the table has been complete once. Before that, what it lacks may be on its
// way: a route or a key that is not in it is no reason to refuse a request for good.
func (f *Handler) SetComplete() { f.complete.Store(true) }

// Drain makes the handler close connections after their next answer, and wait for
// every request that has been sent on.
func (f *Handler) Drain() {
	f.drain.Store(true)
	f.Link.Leave(f.now())
	f.dispatcher.Do(func(_ time.Duration, s *upstream.Balancer) { s.Leave() })
}

// lastOne has a connection closed after the answer that is about to be given, if this
// gateway leaves or has not read all of the request: net/http would read the rest first, and
// hold the answer back for as long as the client waits for it.
func (f *Handler) lastOne(x *Exchange) {
	if f.drain.Load() || x.bodyCut || x.bodyPrefix != nil && !x.bodySent.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Stats.Requests.Add(1)
	if c := connOf(r); c != nil {
		c.begin()
		defer c.end()
	}
	x := &Exchange{w: w, r: r, arrived: time.Now(), table: f.table.Load(), attempt: r.Header.Get(hAttempt)}
	if err := f.chain(x); err != nil {
		switch a := apierror.AnswerFor(apierror.KindOf(err)); {
		case x.clientLeft() || apierror.KindOf(err) == apierror.ClientGone:
			f.noteLeft(x)
		case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests:
			f.Stats.Refused.Add(1)
		case a.Status == http.StatusGatewayTimeout:
			f.Stats.Late.Add(1)
		default:
			f.Stats.Failed.Add(1)
		}
		if x.attempt != "" {
			w.Header().Set(hAttempt, x.attempt)
		}
		f.lastOne(x)
		if apierror.KindOf(err) == apierror.BodyTooLarge {
			w.Header().Set("Connection", "close")
		}
		apierror.Write(w, err)
	}
}

// soon is the time within which a node that starts knows items and upstreams. Clients that
// came back sooner would only spend their tries.
func (f *Handler) soon() time.Duration { return 2 * f.dispatcher.patience }

// now is the time on the dispatcher's clock.
func (f *Handler) now() time.Duration { return time.Since(f.dispatcher.start) }

// later is an error that tells when to come back: in a part of the aim, spread
// so that those who were turned away together do not return together.
func (f *Handler) later(x *Exchange, kind apierror.Kind) error {
	after := x.aim/8 + time.Duration(rand.Float64()*float64(x.aim/4))
	return apierror.Later(kind, after, "%s", x.service)
}

// Counters are the handler's counters by name.
func (f *Handler) Counters() map[string]uint64 {
	s := &f.Stats
	counters := map[string]uint64{
		"requests": s.Requests.Load(), "ordinary": s.Ordinary.Load(), "exception": s.Exception.Load(), "served": s.Served.Load(),
		"refused": s.Refused.Load(), "failed": s.Failed.Load(), "late": s.Late.Load(), "tries": s.Tries.Load(),
		"repeats": s.Repeats.Load(), "dials": s.Dials.Load(), "broken": s.Broken.Load(),
		"abroad": s.Abroad.Load(), "linkFull": s.LinkFull.Load(),
	}
	s.left.addTo(counters)
	return counters
}
