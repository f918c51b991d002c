package upstream

import (
	"math"
	"time"
)

// Some upstreams slow down so much when they are nearly full that they get less
// done than with a few requests fewer. A gateway sees that at the upstreams that it uses
// first, whose load it knows: how much longer they take when packed than when they
// have room. Where keeping to keepPart of the slots would get more done, it does.

const (
	roomPart   = 0.5  // of its slots busy at most: an upstream has room
	keepPart   = 0.75 // more than that: it is packed
	packedPart = 0.05 // weight of one more answer in how much longer packed ones take
	packedFrom = 20   // answers of packed ones from which on that counts
	packedSpan = 15 * time.Second
)

// saturation is how much longer a service's upstreams take when they are packed.
type saturation struct {
	ratio float64
	known int
	at    time.Duration // of the last answer of a packed one
}

// note takes an answer into account. Each upstream is compared with itself, since
// the slower ones are the ones more often packed.
func (p *saturation) note(now time.Duration, u *Upstream, busy int, took time.Duration) {
	if !u.home || took <= 0 {
		return
	}
	full := float64(busy) / float64(u.Capacity)
	switch {
	case full <= roomPart:
		if u.roomy == 0 {
			u.roomy = took.Seconds()
		}
		u.roomy += (took.Seconds() - u.roomy) * slowPart
	case full > keepPart && u.roomy > 0:
		if p.known++; p.known == 1 {
			p.ratio = 1
		}
		p.ratio += (took.Seconds()/u.roomy - p.ratio) * max(packedPart, 1/float64(p.known+1))
		p.at = now
	}
}

// most is how many requests this gateway may have under way at an upstream.
func (s *Balancer) most(now time.Duration, v *service, u *Upstream) int {
	if !u.home || v.packed.known < packedFrom {
		return u.limit
	}
	// What is known fades, so that it is found out again.
	ratio := 1 + (v.packed.ratio-1)*math.Exp(-float64(now-v.packed.at)/float64(packedSpan))
	keep := max(1, int(keepPart*float64(u.Capacity)))
	if ratio*float64(keep) <= float64(u.Capacity) {
		return u.limit
	}
	return min(u.limit, keep)
}
