package upstream

// This file holds the queue: how a request asks for an upstream, waits for one, and gives it back.

import (
	"sync/atomic"
	"time"
)

// WaitHandle is a request's hold on the connection that it waits on. If the upstream
// falls silent for others, the wait is cut short, so that a request that may run
// again goes elsewhere while there is time.
type WaitHandle struct{ conn atomic.Pointer[Conn] }

// On says which connection the request waits on.
func (h *WaitHandle) On(c *Conn) {
	if h != nil {
		h.conn.Store(c)
	}
}

func (h *WaitHandle) cut() {
	if c := h.conn.Load(); c != nil {
		_ = c.SetReadDeadline(time.Now())
	}
}

// AcquireRequest is a request's wish for an upstream.
type AcquireRequest struct {
	Service  string
	Version  string // a candidate; empty: the version that stands
	Priority int
	Avoid    []string    // ids that have been tried
	Retry    bool        // takes from the budget
	Hold     *WaitHandle // nil if the request must not run again
	Bound    bool        // it may run in Regions only
	Regions  []string
	Aim      time.Duration
	Give     func(SlotLease)

	arrived time.Duration
	seq     uint64
}

// SlotLease answers a claim.
type SlotLease struct {
	Upstream *Upstream
	ID       string
	Address  string
	Conn     *Conn
	Hold     *WaitHandle
	Refused  Refusal
	Abroad   bool // the upstream is in another region
	Began    time.Duration
	Cold     bool
	Retry    bool // it took from the budget
	Busy     int  // how many requests of this gateway the upstream had then, with this one
}

// Refusal says why a claim was not granted.
type Refusal int

// The refusals.
const (
	Granted  Refusal = iota
	NoneLeft         // no upstream may be sent to
	Crowded          // too many wait already, or have waited too long
	NoBudget         // the budget for further tries is spent
	Unlisted         // no list of upstreams has been taken yet
)

// Leave says that this gateway goes. From now on every request that has been sent on
// is waited for: to cut its wait short could end it with an error of our own while
// its upstream is at work.
func (s *Balancer) Leave() { s.leaving = true }

// cut cuts a request's wait short.
func (s *Balancer) cut(h *WaitHandle) {
	if !s.leaving {
		h.cut()
	}
}

// Request notes a request for a service: it earns its share of the budget.
func (s *Balancer) Request(name string) {
	v := s.service(name)
	v.budget.Earn(s.cfg.RetryRatio, s.ceiling(v))
}

// ceiling is how many tokens this gateway may save up: an even share of half the
// slack for the gateways of the shard that has the service, a token for the rest.
// The other half covers gateways that are not known here.
func (s *Balancer) ceiling(v *service) float64 {
	n := len(s.gateways)
	if shard, ok := s.bound[v.of]; ok {
		mine, of := false, 0
		for _, d := range s.gateways {
			if s.shards[d.Address] == shard {
				of++
				mine = mine || d.Address == s.cfg.Self
			}
		}
		rest := float64(n - of)
		if !mine || of == 0 {
			return 1
		}
		return max(1, (s.cfg.RetrySlack/2-rest)/float64(of))
	}
	return max(1, s.cfg.RetrySlack/2/float64(max(n, 1)))
}

// Acquire asks for an upstream; the answer may come later.
func (s *Balancer) Acquire(now time.Duration, c *AcquireRequest) {
	v := s.claimed(c)
	s.seq++
	c.arrived, c.seq = now, s.seq
	if c.Retry {
		if !s.refill(now, s.service(c.Service)).Spend() { // the service's, whatever the version
			c.Give(SlotLease{Refused: NoBudget})
			return
		}
	}
	if !s.grant(now, v, c) {
		if len(v.waiting) >= max(4, v.slots*2) && !s.displace(v, c) {
			s.refuse(v, c, Crowded)
			return
		}
		v.waiting = append(v.waiting, c)
	}
}

// refill brings a service's budget up to date.
func (s *Balancer) refill(now time.Duration, v *service) *Budget {
	v.budget.Refill(now, s.ceiling(v)/2/max(s.cfg.Window.Seconds(), 1), s.ceiling(v))
	return &v.budget
}

// displace makes room for a claim by refusing the newest of lowest priority.
func (s *Balancer) displace(v *service, c *AcquireRequest) bool {
	worst := -1
	for i, w := range v.waiting {
		if w.Priority > c.Priority && (worst < 0 || w.Priority > v.waiting[worst].Priority ||
			w.Priority == v.waiting[worst].Priority && w.seq > v.waiting[worst].seq) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	w := v.waiting[worst]
	v.waiting = append(v.waiting[:worst], v.waiting[worst+1:]...)
	s.refuse(v, w, Crowded)
	return true
}

func (s *Balancer) refuse(v *service, c *AcquireRequest, why Refusal) {
	if c.Retry {
		s.service(c.Service).budget.Back()
	}
	c.Give(SlotLease{Refused: why})
}

// grant gives a claim an upstream; false: it has to wait.
func (s *Balancer) grant(now time.Duration, v *service, c *AcquireRequest) bool {
	u, any := s.pick(now, v, c)
	if u == nil {
		if !any && !s.known {
			s.refuse(v, c, Unlisted)
			return true
		}
		if !any {
			s.refuse(v, c, NoneLeft)
			return true
		}
		return false
	}
	u.Busy++
	if u.Cold(now) {
		s.sends(u)
		u.pace.Pass(now, v.info.WarmupPerS/float64(u.senders))
	}
	g := SlotLease{Upstream: u, ID: u.ID, Address: u.Address, Hold: c.Hold, Cold: u.Cold(now), Retry: c.Retry, Abroad: !u.near, Began: now, Busy: u.Busy}
	u.began(now, c)
	if c.Hold != nil {
		if u.holds == nil {
			u.holds = map[*WaitHandle]struct{}{}
		}
		u.holds[c.Hold] = struct{}{}
	}
	for n := len(u.idle); n > 0 && g.Conn == nil; n-- {
		conn := u.idle[n-1]
		u.idle = u.idle[:n-1]
		if conn.Expires > now {
			g.Conn = conn
		} else {
			s.Closed = append(s.Closed, conn)
		}
	}
	c.Give(g)
	return true
}

// Withdraw takes back a claim that still waits.
func (s *Balancer) Withdraw(c *AcquireRequest) {
	v := s.claimed(c)
	for i, w := range v.waiting {
		if w == c {
			v.waiting = append(v.waiting[:i], v.waiting[i+1:]...)
			s.refuse(v, c, Crowded)
			return
		}
	}
}

// Outcome tells how a request went at its upstream.
type Outcome int

// The outcomes.
const (
	Served    Outcome = iota // it answered
	Full                     // it turned the request away
	Failing                  // it broke off or could not be reached
	Other                    // another upstream has the address
	Silent                   // it no longer so much as acknowledges what it is sent
	Poor                     // it answered with an error of its own
	Unused                   // it was not sent anything
	Reset                    // it reset the connection, as some do when they are full
	Abandoned                // its work was ended as nobody waits for it; that tells nothing of it
)

// Release returns an upstream after a request, with the connection if that can
// be used again.
// It says whether the upstream stands out by bad answers.
func (s *Balancer) Release(now time.Duration, g SlotLease, conn *Conn, how Outcome) (odd bool) {
	u := g.Upstream
	u.Busy--
	took := now - g.Began
	if !u.ended(g.Began) {
		took = 0 // how long a large answer was on its way says nothing of the upstream
	}
	delete(u.holds, g.Hold)
	v := u.pool
	switch how {
	case Served, Poor:
		u.proven = true
		u.Served++
		odd = s.answered(now, v, u, took, how == Poor)
		if how == Served {
			v.packed.note(now, u, g.Busy, took)
		}
		if u.bad < badUsual {
			u.failures = 0
		}
	case Unused:
		if g.Retry {
			s.service(u.Service).budget.Back()
		}
	case Full:
		u.Served++
	case Reset:
		u.Failed++
		if u.failures > 0 {
			s.eject(now, u)
			break
		}
		u.failures++
		u.rest = now + s.cfg.Eject/3
	case Failing, Silent:
		u.Failed++
		s.eject(now, u)
		if how == Silent {
			for h := range u.holds {
				s.cut(h)
			}
		}
	case Other:
		u.gone = true
		s.drop(u)
		s.assign(now)
	}
	if conn != nil {
		if u.gone || s.evacuated[u.Zone] || now < u.until || conn.Expires <= now || s.poolFor(u) == nil {
			s.Closed = append(s.Closed, conn)
		} else {
			u.idle = append(u.idle, conn)
		}
	}
	s.serve(now, v)
	return odd
}

func (s *Balancer) serve(now time.Duration, v *service) {
	var stuck []*AcquireRequest // what waits for the upstreams of some regions only
	defer func() { v.waiting = append(v.waiting, stuck...) }()
	for len(v.waiting) > 0 {
		best := 0
		for i, w := range v.waiting {
			b := v.waiting[best]
			if w.Priority < b.Priority || w.Priority == b.Priority && w.seq < b.seq {
				best = i
			}
		}
		c := v.waiting[best]
		v.waiting = append(v.waiting[:best], v.waiting[best+1:]...)
		if !s.grant(now, v, c) {
			if c.Bound {
				stuck = append(stuck, c)
				continue
			}
			v.waiting = append(v.waiting, c)
			return
		}
	}
}

func (s *Balancer) serveAll(now time.Duration) {
	for _, v := range s.services {
		s.serve(now, v)
	}
}
