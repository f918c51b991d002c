package upstream

import (
	"math"
	"time"
)

// A gateway judges upstreams by how they answer its own requests, since their word
// on their own health may be wrong. Three signs count: errors of their own, the
// time they take, and requests that they sit on. All are compared with the other
// upstreams of the service, so what goes wrong everywhere is held against nobody.

const (
	badPart   = 0.25 // weight of one more answer in an upstream's share of bad ones
	badMost   = 0.42 // share above which an upstream is left alone
	badUsual  = 0.2  // share of a service above which none of its upstreams is
	slowPart  = 0.2  // weight of one more answer in an upstream's time
	slowSpan  = 4.0  // seconds for which a time that is not renewed counts
	slowMost  = 6.0
	fastMost  = 0.6
	satLong   = 2.5 // times the usual time: an upstream sits on what waits longer
	satMany   = 2   // requests that it sits on at once mean that it hangs
	satMin    = 150 * time.Millisecond
	satAim    = 0.5  // of the request's aim, and more than that in any case
	knownFrom = 30   // answers from which on it is known what is usual
	outMost   = 0.34 // of a service's upstreams that may be left alone for answers
)

// judged is what is known of an upstream by its answers.
type judged struct {
	bad    float64 // share of bad answers lately
	took   float64 // seconds an answer took lately; 0: not known
	at     time.Duration
	since  []wait  // its requests that are under way and not yet answered
	others float64 // requests of other gateways that it has told of
	toldAt time.Duration
	tells  bool
	roomy  float64 // seconds an answer took lately when it had room
	trial  bool    // back after it was left alone: one request at a time
}

type wait struct {
	began, aim time.Duration
	hold       *WaitHandle
}

// sits says whether it has waited longer than limit and a good part of its aim.
func (w wait) sits(now, limit time.Duration) bool {
	return now-w.began > max(limit, time.Duration(satAim*float64(w.aim)))
}

// began notes a request that begins.
func (j *judged) began(now time.Duration, c *AcquireRequest) {
	j.since = append(j.since, wait{now, c.Aim, c.Hold})
}

// ended notes that the request that began then has ended; false: that was known.
func (j *judged) ended(began time.Duration) (open bool) {
	for i, t := range j.since {
		if t.began == began {
			j.since = append(j.since[:i], j.since[i+1:]...)
			return true
		}
	}
	return false
}

// sat counts requests that an upstream sits on.
func (j *judged) sat(now, limit time.Duration) (n int) {
	for _, w := range j.since {
		if w.sits(now, limit) {
			n++
		}
	}
	return n
}

// slowness is how an upstream's time compares with what is usual: 1 is average.
func (s *Balancer) slowness(now time.Duration, v *service, u *Upstream) float64 {
	r := 1.0
	if u.took > 0 && v.took > 0 {
		r += (u.took/v.took - 1) * math.Exp(-(now-u.at).Seconds()/slowSpan)
	}
	return min(max(r, fastMost), slowMost)
}

// answered takes an answer into account: how long it took, and whether it was an
// error of the upstream's own. It says whether the upstream stands out.
func (s *Balancer) answered(now time.Duration, v *service, u *Upstream, took time.Duration, poor bool) (odd bool) {
	sample := 0.0
	if poor {
		sample = 1
	}
	u.bad += (sample - u.bad) * badPart
	v.known++
	v.bad += (sample - v.bad) * badPart / float64(max(4, len(v.ups)/4))
	if !poor && took > 0 {
		if u.took == 0 {
			u.took = took.Seconds()
		}
		u.took += (took.Seconds() - u.took) * slowPart
		u.at = now
		if v.took == 0 {
			v.took = took.Seconds()
		}
		v.took += (took.Seconds() - v.took) * slowPart / float64(max(2, len(v.ups)/8))
		if u.trial && took < v.usual(satLong) {
			u.trial = false
		}
	}
	odd = u.bad > badUsual && v.bad < badUsual
	if odd && u.bad > badMost {
		s.leaveAlone(now, v, u)
	}
	return odd
}

// Answering notes that an upstream answers, though the rest of the answer may take
// as long as the way there needs.
func (s *Balancer) Answering(now time.Duration, g SlotLease) {
	g.Upstream.ended(g.Began)
}

// Told is what an upstream says of its load in an answer.
type Told struct {
	Known            bool
	Running, Waiting int
}

// toldSpan is about how long an upstream's word on its load counts, in times that
// an answer takes: by then the requests that it spoke of have ended.
const toldSpan = 1.5

// Tell takes an upstream's word on its load. What is beyond this gateway's own
// requests is the others'.
func (s *Balancer) Tell(now time.Duration, u *Upstream, t Told) {
	if !t.Known {
		return
	}
	u.others, u.toldAt, u.tells = max(0, float64(t.Running+t.Waiting-u.Busy)), now, true
}

// crowd is how many requests of other gateways an upstream probably has.
func (s *Balancer) crowd(now time.Duration, v *service, u *Upstream) float64 {
	if !u.tells {
		return 0
	}
	return u.others * math.Exp(-(now-u.toldAt).Seconds()/max(0.05, v.took*toldSpan))
}

// usual is some times the time that the service's answers take.
func (v *service) usual(times float64) time.Duration {
	return max(satMin, time.Duration(v.took*times*float64(time.Second)))
}

// leaveAlone ejects an upstream for its answers, unless too many are out already.
func (s *Balancer) leaveAlone(now time.Duration, v *service, u *Upstream) bool {
	out, all := 0, 0
	for _, o := range v.ups {
		if o.zone == u.zone {
			all++
			if now < o.until || o.trying || o.trial {
				out++
			}
		}
	}
	if !u.trial && float64(out+1) > max(1, outMost*float64(all)) {
		return false
	}
	u.trial = true
	s.eject(now, u)
	return true
}

// watch looks for upstreams that sit on requests. Those that may run again are
// sent elsewhere.
func (s *Balancer) watch(now time.Duration, v *service, u *Upstream) {
	if len(u.since) == 0 || v.known < knownFrom || u.gone || now < u.until {
		return
	}
	// A slow upstream gets less, but it is not left alone for being slow.
	limit := time.Duration(max(1, u.took/v.took) * float64(v.usual(satLong)))
	n := u.sat(now, limit)
	if n < satMany && !(n > 0 && u.trial) {
		return
	}
	// One request that takes long may be a long one; it would be so elsewhere.
	if s.leaveAlone(now, v, u) && n >= satMany {
		// Only as many as may be sent elsewhere: the others would be given up while
		// the upstream may still answer them.
		may := s.refill(now, s.service(u.Service)).tokens
		for _, w := range u.since {
			if w.hold != nil && w.sits(now, limit) && may >= 1 {
				may--
				s.cut(w.hold)
			}
		}
	}
}
