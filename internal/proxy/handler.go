package proxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/quota"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// Stats are a handler's counters.
type Stats struct {
	Requests, Ordinary, Exception, Served, Refused, Failed, Late atomic.Uint64
	Tries, Repeats, Dials, Broken, Abroad, Gone                  atomic.Uint64
	// LinkFull counts the long answers that were refused for want of room on the link.
	LinkFull atomic.Uint64
}

// Handler serves clients.
type Handler struct {
	dispatcher *Dispatcher
	table      atomic.Pointer[config.Table]
	shard      atomic.Int64
	drain      atomic.Bool
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
	// draw draws on a tenant's quota, in the time given; nil where there are none.
	draw func(tenant string, limit time.Duration) apierror.Kind
}

// Tenants makes the handler rely on keys only until the time, in nanoseconds on the
// dispatcher's clock, that lease holds, and draw requests on their tenants' quotas.
// What draw returns is the error to answer with, apierror.Internal for none.
func (f *Handler) Tenants(lease *atomic.Int64, draw func(tenant string, limit time.Duration) apierror.Kind) {
	f.lease, f.draw = lease, draw
}

// Confirmed says whether keys may be relied on now.
func (f *Handler) Confirmed() bool {
	return f.lease == nil || int64(time.Since(f.dispatcher.start)) < f.lease.Load()
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
	if f.drain.Load() || x.begun != nil && !x.read.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// Exchange is one request on its way through the chain.
type Exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	aim      time.Duration
	table    *config.Table
	route    *config.Route
	tenant   *config.Tenant
	regions  []string
	bound    bool // to regions
	service  string
	stratum  string
	attempt  string
	body     io.Reader // what the limits let through
	hasBody  bool
	chunked  bool
	held     []byte      // the whole body, if it is small
	begun    []byte      // the beginning of a body that is not
	read     atomic.Bool // the rest of that has been read and sent on
	poor     *result     // an error of an upstream's own that another may do better than
	// reservation is the answer's place in the budget of the link.
	reservation *Reservation
}

// HandlerFunc deals with a request; an error is answered from the table of errors.
type HandlerFunc func(x *Exchange) error

// Filter is a step before a handler.
type Filter func(next HandlerFunc) HandlerFunc

// Chain puts filters before a handler, the first one outermost.
func Chain(h HandlerFunc, filters ...Filter) HandlerFunc {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Stats.Requests.Add(1)
	x := &Exchange{w: w, r: r, arrived: time.Now(), table: f.table.Load(), attempt: r.Header.Get(hAttempt)}
	if err := f.chain(x); err != nil {
		switch a := apierror.AnswerFor(apierror.KindOf(err)); {
		case apierror.KindOf(err) == apierror.ClientGone:
			f.Stats.Gone.Add(1)
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

// reader finds out who asks. Where there are tenants every request needs a key,
// but on public routes; it is answered for only while the keys are confirmed.
func (f *Handler) reader(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		if !x.table.Known {
			return apierror.Later(apierror.NoConfiguration, f.soon(), "this node knows no items yet")
		}
		path, _, _ := strings.Cut(x.target(), "?")
		x.route = x.table.Lookup(x.r.Host, path)
		if x.table.Tenants || f.lease != nil {
			if !f.Confirmed() {
				return apierror.Later(apierror.KeysUnconfirmed, f.dispatcher.patience, "out of touch")
			}
			x.tenant = x.table.Readers[quota.Key(x.r.Header)]
			if x.tenant == nil && x.table.Tenants && (x.route == nil || !x.route.Public) {
				return apierror.New(apierror.UnknownKey, "a tenant's key is needed")
			}
		}
		return next(x)
	}
}

// route acts on the request's route.
func (f *Handler) route(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		if x.route == nil {
			return apierror.New(apierror.UnknownRoute, "%s%s", x.r.Host, x.r.URL.Path)
		}
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

// now is the time on the dispatcher's clock.
func (f *Handler) now() time.Duration { return time.Since(f.dispatcher.start) }

// quota draws the request on its tenant's quota.
func (f *Handler) quota(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		if x.tenant != nil && x.tenant.RatePerS > 0 && f.draw != nil {
			if kind := f.draw(x.tenant.Name, x.aim/4); kind != apierror.Internal {
				return f.later(x, kind)
			}
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
			held := make([]byte, 0, max(0, min(x.r.ContentLength, bodyHeld))+512)
			buf, err := readUpTo(held, x.body, bodyHeld)
			switch {
			case err == io.EOF:
				x.held = buf
			case err != nil:
				if large := apierror.TooLarge(err); large != nil {
					return large
				}
				return apierror.New(apierror.BadRequest, "body not read: %v", err)
			default:
				x.begun = buf
			}
		}
		if time.Until(x.deadline) <= 0 {
			return f.later(x, apierror.Expired)
		}
		return next(x)
	}
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

// later is an error that tells when to come back: in a part of the aim, spread
// so that those who were turned away together do not return together.
func (f *Handler) later(x *Exchange, kind apierror.Kind) error {
	after := x.aim/8 + time.Duration(rand.Float64()*float64(x.aim/4))
	return apierror.Later(kind, after, "%s", x.service)
}

// balance sends the request to an upstream, and to others where that is
// allowed and of use. If all that came of it is an upstream's own error, that is
// the answer.
func (f *Handler) balance(x *Exchange) error {
	err := f.try(x)
	if err != nil && x.poor != nil {
		f.pass(x, upstream.SlotLease{}, *x.poor)
		return nil
	}
	return err
}

func (f *Handler) try(x *Exchange) error {
	tries := max(1, x.route.MaxTries)
	sent, dialled := 0, 0
	var avoid []string
	var last error
	prior := false // the candidate of a rollout has had its try
	for {
		arm := f.arms.Begin(x.service, x.stratum, x.aim, prior)
		prior = prior || arm.Candidate()
		patience := min(x.aim/5, time.Until(x.deadline)/2)
		if dialled > 0 {
			patience /= 2
		}
		claim := &upstream.AcquireRequest{Service: x.service, Version: arm.Version(), Priority: x.priority(), Avoid: avoid, Retry: sent > 0,
			Regions: x.regions, Bound: x.bound, Aim: x.aim}
		if x.route.Repeatable() && x.begun == nil && sent+1 < tries { // or else its wait is not to be cut short
			claim.Hold = &upstream.WaitHandle{}
		}
		g := f.dispatcher.claim(claim, patience, x.r.Context().Done())
		if g.Refused != upstream.Granted {
			arm.End(rollout.Unscored)
			if arm.Candidate() && x.r.Context().Err() == nil && time.Until(x.deadline) > 0 && g.Refused != upstream.NoBudget && !f.arms.Whole(x.service) {
				continue // it has no room; the prior version is still there
			}
			if last != nil {
				return last
			}
			if x.r.Context().Err() != nil {
				return apierror.New(apierror.ClientGone, "%s", x.service)
			}
			if g.Refused == upstream.Unlisted {
				return apierror.Later(apierror.NoConfiguration, f.soon(), "this node knows no upstreams yet")
			}
			if g.Refused == upstream.NoneLeft {
				return f.later(x, apierror.NoUpstream)
			}
			return f.later(x, apierror.Overloaded)
		}
		if why := f.mayNotGo(x); why != apierror.Internal {
			f.dispatcher.untouched(g)
			arm.End(rollout.Unscored)
			if last != nil {
				return last
			}
			return f.later(x, why)
		}
		arm.Sent(g.Cold)
		res := f.send(x, g)
		f.Stats.Tries.Add(1)
		if g.Abroad {
			f.Stats.Abroad.Add(1)
		}
		if sent > 0 {
			f.Stats.Repeats.Add(1)
		}
		avoid = append(avoid, g.ID)
		arm.Score(scored(res))
		if res.untried {
			arm.End(rollout.Unscored)
			how := upstream.Failing
			if res.late {
				how = upstream.Served // no fault of the upstream's
			}
			f.finish(g, res, how)
			last = keepWorse(last, f.later(x, apierror.NoUpstream))
			dialled++
			if res.late || time.Until(x.deadline) <= 0 || !dialAgain(dialled, time.Since(x.arrived), x.aim) {
				return last
			}
			continue
		}
		sent++
		again, err := f.judge(x, g, res, arm)
		if err == nil {
			return nil
		}
		last = keepWorse(last, err)
		if !again || sent >= tries || x.begun != nil || time.Until(x.deadline) < x.aim/16 {
			return last
		}
	}
}

// keepWorse is the error of two tries, one after the other: once a request may have run,
// no later refusal can promise that it has not.
func keepWorse(before, now error) error {
	if before != nil && !apierror.AnswerFor(apierror.KindOf(before)).NotRun {
		return before
	}
	return now
}

// scored is how a sending counts for the version that it went to.
func scored(res result) rollout.Outcome {
	switch r := res.response; {
	case res.untried, res.client != nil, res.broke == errNameless:
		return rollout.Unscored
	case res.late:
		return rollout.TooLate
	case res.broke != nil:
		return rollout.Broke
	case refused(r):
		return rollout.Unscored
	case r.StatusCode >= http.StatusInternalServerError || promises(r.StatusCode):
		return rollout.Errored
	case r.StatusCode < 300 && !sealed(r):
		return rollout.Broke
	}
	return rollout.Passed
}

// mayNotGo says why a request that has got an upstream is not to be sent on all the
// same, apierror.Internal if it is: its key can no longer be relied on, or its client
// has gone.
func (f *Handler) mayNotGo(x *Exchange) apierror.Kind {
	switch {
	case !f.Confirmed():
		return apierror.KeysUnconfirmed
	case x.r.Context().Err() != nil:
		return apierror.ClientGone
	}
	return apierror.Internal
}

// priority is the tenant's, where it has one, or the route's.
func (x *Exchange) priority() int {
	if x.tenant != nil && x.tenant.Priority != nil {
		return *x.tenant.Priority
	}
	return x.route.Priority
}

// judge passes an answer on, or says what became of the request and whether
// another upstream may be asked. An error of a candidate's own is no last word: the
// prior version may do better.
func (f *Handler) judge(x *Exchange, g upstream.SlotLease, res result, arm *rollout.Sample) (again bool, err error) {
	defer arm.End(rollout.Unscored) // only now has all of the answer left the upstream
	repeatable := x.route.Repeatable()
	if res.broke != nil {
		f.Stats.Broken.Add(1)
		if res.late {
			f.finish(g, res, upstream.Served)
			return false, apierror.New(apierror.DeadlinePassed, "%s", x.service)
		}
		if large := apierror.TooLarge(res.client); large != nil {
			f.finish(g, res, upstream.Served)
			return false, large
		}
		how := upstream.Failing
		switch {
		case res.broke == errNameless:
			how = upstream.Full
		case silent(res.broke):
			how = upstream.Silent
		case errors.Is(res.broke, syscall.ECONNRESET):
			how = upstream.Reset
		}
		f.finish(g, res, how)
		return repeatable, apierror.New(apierror.Broken, "%s: %v", x.service, res.broke)
	}
	r := res.response
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		f.finish(g, res, upstream.Other)
		return true, f.later(x, apierror.NoUpstream)
	case refused(r):
		f.finish(g, res, upstream.Full)
		return true, f.later(x, apierror.Overloaded)
	case r.StatusCode < 300 && !sealed(r):
		f.finish(g, res, upstream.Failing)
		return repeatable, apierror.New(apierror.Unsealed, "%s", x.service)
	case promises(r.StatusCode):
		// These would promise that the request has not run, which is not known.
		f.finish(g, res, upstream.Served)
		return false, apierror.New(apierror.Broken, "%s answered %d", x.service, r.StatusCode)
	}
	fits := r.StatusCode >= 300 || x.reservation.Begin(f.now(), res.size())
	if !fits && repeatable && !f.drain.Load() {
		f.Stats.LinkFull.Add(1)
		f.finish(g, res, upstream.Served)
		return false, f.elsewhere(x)
	}
	if res.whole {
		how := upstream.Served
		if r.StatusCode >= http.StatusInternalServerError {
			how = upstream.Poor
		}
		if odd := f.finish(g, res, how); (odd || arm.Candidate() && how == upstream.Poor) && repeatable && x.poor == nil {
			x.poor = &res // passed on if no other upstream does better
			return true, apierror.New(apierror.Broken, "%s answered %d", x.service, r.StatusCode)
		}
	}
	f.pass(x, g, res)
	return false, nil
}

// refused says whether an answer tells that its request has not run. Not-Executed on any
// other status contradicts it: the request may have run.
func refused(r *http.Response) bool {
	switch r.StatusCode {
	case http.StatusMisdirectedRequest:
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return r.Header.Get(hNotRun) != ""
	}
	return false
}

// sealed says whether a success is an upstream's own.
func sealed(r *http.Response) bool { return r.Header.Get(hSeal) != "" && r.Header.Get(hNotRun) == "" }

func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// pass hands an answer to the client. An answer that is cut short ends the
// client's connection, so that it does not look complete.
func (f *Handler) pass(x *Exchange, g upstream.SlotLease, res result) {
	r := res.response
	h := x.w.Header()
	named := connectionNamed(r.Header)
	for name, values := range r.Header {
		if !hopByHop[name] && !named[name] && name != "Content-Length" {
			h[name] = values
		}
	}
	f.lastOne(x)
	if _, ok := r.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if r.ContentLength >= 0 && r.StatusCode != http.StatusNoContent {
		h.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	x.w.WriteHeader(r.StatusCode)
	write := func(b []byte) error {
		err := f.Pace.write(x.w, b, r.ContentLength)
		x.reservation.Wrote(f.now(), len(b))
		return err
	}
	err := write(res.start)
	if !res.whole {
		buf := make([]byte, 16<<10)
		var cut error
		for err == nil && cut == nil {
			var n int
			n, cut = r.Body.Read(buf)
			if n > 0 {
				err = write(buf[:n])
			}
		}
		res.whole = cut == io.EOF
		if !res.whole {
			res.broke = cut
			if res.broke == nil {
				res.broke = err
			}
			how := upstream.Served
			if cut != nil && !isTimeout(cut) {
				how = upstream.Failing
			}
			f.finish(g, res, how)
			f.Stats.Broken.Add(1)
			panic(http.ErrAbortHandler)
		}
		f.finish(g, res, upstream.Served)
	}
	f.Stats.Served.Add(1)
}

// Counters are the handler's counters by name.
func (f *Handler) Counters() map[string]uint64 {
	s := &f.Stats
	return map[string]uint64{
		"requests": s.Requests.Load(), "ordinary": s.Ordinary.Load(), "exception": s.Exception.Load(), "served": s.Served.Load(),
		"refused": s.Refused.Load(), "failed": s.Failed.Load(), "late": s.Late.Load(), "tries": s.Tries.Load(),
		"repeats": s.Repeats.Load(), "dials": s.Dials.Load(), "broken": s.Broken.Load(),
		"abroad": s.Abroad.Load(), "gone": s.Gone.Load(),
		"linkFull": s.LinkFull.Load(),
	}
}
