package circulation

import (
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"madderwing/internal/accession"
	"madderwing/internal/catalogue"
	"madderwing/internal/errata"
)

// Stats are a front's counters.
type Stats struct {
	Requests, Ordinary, Exception, Served, Refused, Failed, Late atomic.Uint64
	Tries, Repeats, Dials, Broken                                atomic.Uint64
}

// Front serves clients.
type Front struct {
	floor *Floor
	table atomic.Pointer[catalogue.Table]
	shard atomic.Int64
	drain atomic.Bool
	log   *log.Logger
	chain Handler
	Stats Stats
}

// NewFront makes a front over a floor.
func NewFront(floor *Floor, logger *log.Logger) *Front {
	f := &Front{floor: floor, log: logger}
	f.shard.Store(-1)
	f.table.Store((&catalogue.Builder{}).Build(nil))
	f.chain = Chain(f.balance, f.limits, f.route, f.deadline, f.admit)
	return f
}

// SetTable puts another table in force.
func (f *Front) SetTable(t *catalogue.Table) { f.table.Store(t) }

// Table is the table in force.
func (f *Front) Table() *catalogue.Table { return f.table.Load() }

// SetShard says which shard this desk belongs to.
func (f *Front) SetShard(n int) { f.shard.Store(int64(n)) }

// Drain makes the front close connections after their next answer.
func (f *Front) Drain() { f.drain.Store(true) }

// Exchange is one request on its way through the chain.
type Exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	aim      time.Duration
	table    *catalogue.Table
	route    *catalogue.Route
	service  string
	attempt  string
	body     io.Reader // what the limits let through
	hasBody  bool
	chunked  bool
	held     []byte // the whole body, if it is small
	begun    []byte // the beginning of a body that is not
}

// Handler deals with a request; an error is answered from the table of errors.
type Handler func(x *Exchange) error

// Filter is a step before a handler.
type Filter func(next Handler) Handler

// Chain puts filters before a handler, the first one outermost.
func Chain(h Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.Stats.Requests.Add(1)
	if f.drain.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &Exchange{w: w, r: r, arrived: time.Now(), table: f.table.Load(), attempt: r.Header.Get(hAttempt)}
	if err := f.chain(x); err != nil {
		switch a := errata.AnswerFor(errata.KindOf(err)); {
		case a.Status == http.StatusServiceUnavailable:
			f.Stats.Refused.Add(1)
		case a.Status == http.StatusGatewayTimeout:
			f.Stats.Late.Add(1)
		default:
			f.Stats.Failed.Add(1)
		}
		if x.attempt != "" {
			w.Header().Set(hAttempt, x.attempt)
		}
		errata.Write(w, err)
	}
}

// limits holds the body to what the operator allows.
func (f *Front) limits(next Handler) Handler {
	return func(x *Exchange) error {
		most := x.table.Limits.MaxBodyBytes
		x.chunked = x.r.ContentLength < 0
		x.hasBody = x.r.ContentLength != 0
		if x.r.ContentLength > most {
			return errata.New(errata.BodyTooLarge, "more than %d bytes", most)
		}
		x.body = http.MaxBytesReader(x.w, x.r.Body, most)
		return next(x)
	}
}

// route finds the request's route and service.
func (f *Front) route(next Handler) Handler {
	return func(x *Exchange) error {
		if !x.table.Known {
			return errata.Later(errata.NoConfiguration, f.floor.patience, "this node knows no items yet")
		}
		path := x.target()
		for i := 0; i < len(path); i++ {
			if path[i] == '?' {
				path = path[:i]
				break
			}
		}
		x.route = x.table.Lookup(x.r.Host, path)
		if x.route == nil {
			return errata.New(errata.UnknownRoute, "%s%s", x.r.Host, path)
		}
		x.service = x.route.Choose(rand.Float64())
		if s := x.route.Status; s.Phase == catalogue.PhaseScheduled && int64(s.Shard) == f.shard.Load() {
			f.Stats.Ordinary.Add(1)
		} else {
			f.Stats.Exception.Add(1)
		}
		return next(x)
	}
}

// deadline works out how long the request may take.
func (f *Front) deadline(next Handler) Handler {
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
func (f *Front) admit(next Handler) Handler {
	return func(x *Exchange) error {
		f.floor.Do(func(_ time.Duration, s *accession.Stock) { s.Request(x.service) })
		if x.hasBody {
			held := make([]byte, 0, max(0, min(x.r.ContentLength, bodyHeld))+512)
			buf, err := readUpTo(held, x.body, bodyHeld)
			switch {
			case err == io.EOF:
				x.held = buf
			case err != nil:
				if large := errata.TooLarge(err); large != nil {
					return large
				}
				return errata.New(errata.BadRequest, "body not read: %v", err)
			default:
				x.begun = buf
			}
		}
		if time.Until(x.deadline) <= 0 {
			return f.later(x, errata.Expired)
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
func (f *Front) later(x *Exchange, kind errata.Kind) error {
	after := x.aim/8 + time.Duration(rand.Float64()*float64(x.aim/4))
	return errata.Later(kind, after, "%s", x.service)
}

// balance sends the request to an upstream, and to others where that is
// allowed and of use.
func (f *Front) balance(x *Exchange) error {
	tries := max(1, x.route.MaxTries)
	sent, dialled := 0, 0
	var avoid []string
	var last error
	for {
		patience := min(x.aim/5, time.Until(x.deadline)/2)
		claim := &accession.Claim{Service: x.service, Priority: x.route.Priority, Avoid: avoid, Retry: sent > 0}
		if x.route.Repeatable() && x.begun == nil {
			claim.Hold = &accession.Hold{}
		}
		g := f.floor.claim(claim, patience)
		if g.Refused != accession.Granted {
			if last != nil {
				return last
			}
			if g.Refused == accession.NoneLeft {
				return f.later(x, errata.NoUpstream)
			}
			return f.later(x, errata.Overloaded)
		}
		res := f.send(x, g)
		f.Stats.Tries.Add(1)
		if sent > 0 {
			f.Stats.Repeats.Add(1)
		}
		avoid = append(avoid, g.ID)
		if res.untried {
			how := accession.Failing
			if res.late {
				how = accession.Served // no fault of the upstream's
			}
			f.finish(g, res, how)
			last = f.later(x, errata.NoUpstream)
			if dialled++; dialled > 4 || res.late || time.Until(x.deadline) <= 0 {
				return last
			}
			continue
		}
		sent++
		again, err := f.judge(x, g, res)
		if err == nil {
			return nil
		}
		last = err
		if !again || sent >= tries || x.begun != nil || time.Until(x.deadline) < x.aim/16 {
			return last
		}
	}
}

// judge passes an answer on, or says what became of the request and whether
// another upstream may be asked.
func (f *Front) judge(x *Exchange, g accession.Grant, res result) (again bool, err error) {
	repeatable := x.route.Repeatable()
	if res.broke != nil {
		f.Stats.Broken.Add(1)
		if res.late {
			f.finish(g, res, accession.Served)
			return false, errata.New(errata.DeadlinePassed, "%s", x.service)
		}
		if large := errata.TooLarge(res.client); large != nil {
			f.finish(g, res, accession.Served)
			return false, large
		}
		how := accession.Failing
		if silent(res.broke) {
			how = accession.Silent
		}
		f.finish(g, res, how)
		return repeatable, errata.New(errata.Broken, "%s: %v", x.service, res.broke)
	}
	r := res.response
	notRun := r.Header.Get(hNotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		f.finish(g, res, accession.Other)
		return true, f.later(x, errata.NoUpstream)
	case notRun:
		f.finish(g, res, accession.Full)
		return true, f.later(x, errata.Overloaded)
	case r.StatusCode < 300 && r.Header.Get(hSeal) == "":
		f.finish(g, res, accession.Failing)
		return repeatable, errata.New(errata.Unsealed, "%s", x.service)
	case promises(r.StatusCode):
		// These would promise that the request has not run, which is not known.
		f.finish(g, res, accession.Served)
		return false, errata.New(errata.Broken, "%s answered %d", x.service, r.StatusCode)
	}
	if res.whole {
		f.finish(g, res, accession.Served)
	}
	f.pass(x, g, res)
	return false, nil
}

func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// pass hands an answer to the client. An answer that is cut short ends the
// client's connection, so that it does not look complete.
func (f *Front) pass(x *Exchange, g accession.Grant, res result) {
	r := res.response
	h := x.w.Header()
	named := connectionNamed(r.Header)
	for name, values := range r.Header {
		if !hopByHop[name] && !named[name] && name != "Content-Length" {
			h[name] = values
		}
	}
	if _, ok := r.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if r.ContentLength >= 0 && r.StatusCode != http.StatusNoContent {
		h.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	x.w.WriteHeader(r.StatusCode)
	_, err := x.w.Write(res.start)
	if !res.whole {
		buf := make([]byte, 16<<10)
		var cut error
		for err == nil && cut == nil {
			var n int
			n, cut = r.Body.Read(buf)
			if n > 0 {
				_, err = x.w.Write(buf[:n])
			}
		}
		res.whole = cut == io.EOF
		if !res.whole {
			res.broke = cut
			if res.broke == nil {
				res.broke = err
			}
			how := accession.Served
			if cut != nil && !isTimeout(cut) {
				how = accession.Failing
			}
			f.finish(g, res, how)
			f.Stats.Broken.Add(1)
			panic(http.ErrAbortHandler)
		}
		f.finish(g, res, accession.Served)
	}
	f.Stats.Served.Add(1)
}

// Counters are the front's counters by name.
func (f *Front) Counters() map[string]uint64 {
	s := &f.Stats
	return map[string]uint64{
		"requests": s.Requests.Load(), "ordinary": s.Ordinary.Load(), "exception": s.Exception.Load(), "served": s.Served.Load(),
		"refused": s.Refused.Load(), "failed": s.Failed.Load(), "late": s.Late.Load(), "tries": s.Tries.Load(),
		"repeats": s.Repeats.Load(), "dials": s.Dials.Load(), "broken": s.Broken.Load(),
	}
}
