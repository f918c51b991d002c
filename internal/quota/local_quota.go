// Package quota knows the tenants: the keys they come with, and the shares of
// their quotas that one control node lends to the others, its branches, at which gateways
// draw for each request.
//
// A share is a rate and a cap, used up by a bucket at the branch. All shares of a
// tenant together never exceed what the tenant may have, and each lapses by
// itself, so that no branch has to be reached for that. Lender and Purse are plain
// state machines that do no input or output and read no clock.
package quota

import (
	"math"
	"sort"
	"time"

	"madderwing/internal/replication"
)

// Term names one lender: the epoch under which it owns the catalogue. It is that
// very type, since branches must order allocators as the owners order themselves.
type Term = replication.Epoch

// Share is what a branch has or gets of one tenant's quota.
type Share struct {
	Tenant string  `cbor:"1,keyasint"`
	Rate   float64 `cbor:"2,keyasint,omitempty"` // requests a second
	Cap    float64 `cbor:"3,keyasint,omitempty"` // requests at once
	Demand float64 `cbor:"4,keyasint,omitempty"` // in a report: requests a second that came
	Tokens int     `cbor:"5,keyasint,omitempty"` // in a report: wanted now; in an allocation: given now
}

// Report is what a branch tells the allocator.
type Report struct {
	Life   uint64  `cbor:"1,keyasint"` // of the branch's process
	Seq    uint64  `cbor:"2,keyasint"`
	Whole  bool    `cbor:"3,keyasint,omitempty"` // it names all that the branch has
	Shares []Share `cbor:"4,keyasint,omitempty"`
}

// Allocation answers a report.
type Allocation struct {
	Term   Term          `cbor:"1,keyasint"`
	Seq    uint64        `cbor:"2,keyasint"`
	Life   time.Duration `cbor:"3,keyasint"` // counted from when the report was made
	Shares []Share       `cbor:"4,keyasint,omitempty"`
}

// Quota is what a tenant may have.
type Quota struct{ Rate, Burst float64 }

// Grant is what a branch can say to a request that draws on a quota.
type Grant int

// The grants.
const (
	Unknown Grant = iota // the limit is not known here, or the allocator is silent: another may tell
	Granted
	Over // the quota is used up
)

type bucket struct {
	rate, cap, fill float64
	at              time.Duration
	came            float64 // requests since the last report
	demand          float64
	waiting         []func(Grant)
	wanted          int // of those who wait, as last reported
	idle            int
}

// LocalQuota is a branch's part of the quotas. NewPurse makes one.
type LocalQuota struct {
	Life     uint64
	Patience time.Duration // how long a request waits for the allocator
	term     Term
	until    time.Duration // when the shares lapse
	seq      uint64
	asked    time.Duration // when the last report was made
	waits    bool          // its answer is awaited
	told     time.Duration // when demand was last told
	buckets  map[string]*bucket
	limits   map[string]Quota
}

// NewLocalQuota makes the local quota of one life of a branch. The numbers of its reports go on
// from lastSeq, which is to be drawn at random for each life: an allocation names its report by
// number only, so one for a former life would else be taken for this one's.
func NewLocalQuota(life, lastSeq uint64, patience time.Duration) *LocalQuota {
	const room = 1 << 32 // for the reports of one life
	return &LocalQuota{Life: life, Patience: patience, seq: min(lastSeq, math.MaxUint64-room)}
}

// SetLimits takes the limits of all tenants; a rate of 0 is none.
func (p *LocalQuota) SetLimits(limits map[string]Quota) {
	p.limits = limits
	for name, b := range p.buckets {
		if q, ok := limits[name]; !ok || q.Rate == 0 {
			b.end(known(ok))
			delete(p.buckets, name)
		}
	}
}

// known is what is said to those for whom there is no limit, if that is known.
func known(ok bool) Grant {
	if ok {
		return Granted
	}
	return Unknown
}

func (p *LocalQuota) bucket(name string) *bucket {
	b := p.buckets[name]
	if b == nil {
		if p.buckets == nil {
			p.buckets = map[string]*bucket{}
		}
		b = &bucket{}
		p.buckets[name] = b
	}
	return b
}

func (b *bucket) refill(now time.Duration) {
	if now > b.at {
		if b.fill < b.cap {
			b.fill = min(b.cap, b.fill+b.rate*(now-b.at).Seconds())
		}
		b.at = now
	}
}

// end ends the wait of whoever waits.
func (b *bucket) end(g Grant) {
	for _, give := range b.waiting {
		give(g)
	}
	b.waiting = nil
}

func (p *LocalQuota) lapse(now time.Duration) {
	if p.until > 0 && now >= p.until {
		p.until = 0
		for _, b := range p.buckets {
			b.rate, b.cap, b.fill = 0, 0, 0
		}
	}
}

// Unlimited says whether a tenant is known here to have no limit.
func (p *LocalQuota) Unlimited(tenant string) bool {
	q, ok := p.limits[tenant]
	return ok && q.Rate == 0
}

// Heeds says whether a branch at self answers an allocator's call with all that it has.
// An allocator's call to itself is none: taking it for another's would end its tenure,
// and with it all that it knows of what is lent.
func (p *LocalQuota) Heeds(self, from string, t Term) bool { return from != self && !t.Less(p.term) }

// Take takes one request's worth of a tenant's quota. give is called with the
// outcome, at once or when the allocator has answered; ask says that the allocator is
// to be asked now.
func (p *LocalQuota) Take(now time.Duration, tenant string, give func(Grant)) (ask bool) {
	if q, ok := p.limits[tenant]; !ok || q.Rate == 0 {
		give(known(ok)) // of a tenant that is not known here the limit is not either
		return false
	}
	p.lapse(now)
	b := p.bucket(tenant)
	b.came++
	b.refill(now)
	if b.fill >= 1 && len(b.waiting) == 0 {
		b.fill--
		give(Granted)
		return false
	}
	b.waiting = append(b.waiting, give)
	return !p.Awaits(now)
}

// GiveBack takes a token back whose request was not sent to any upstream. Tokens of a former life
// of this process are not this one's. It may come at any time, since the request could have been
// sent at any time: bucket and cap bound what is used at once, as they do for requests on their way.
func (p *LocalQuota) GiveBack(now time.Duration, life uint64, tenant string) {
	b := p.buckets[tenant]
	if b == nil || life != p.Life {
		return
	}
	p.lapse(now)
	b.refill(now)
	b.fill = min(b.cap, b.fill+1)
}

// Expire ends the wait of whoever has waited too long for the allocator. That is no word on
// the quota.
func (p *LocalQuota) Expire(now time.Duration) {
	if now-p.asked <= p.Patience {
		return
	}
	p.waits = false
	for _, b := range p.buckets {
		b.end(Unknown)
		b.wanted = 0
	}
}

// idleMax is how many whole reports a tenant that nobody asks for stays named.
const idleMax = 3

// Report says what the branch has and needs. whole makes it name everything;
// otherwise it names those whom requests wait for.
func (p *LocalQuota) Report(now time.Duration, whole bool) Report {
	p.lapse(now)
	p.seq++
	p.asked, p.waits = now, true
	r := Report{Life: p.Life, Seq: p.seq, Whole: whole}
	span := (now - p.told).Seconds()
	names := make([]string, 0, len(p.buckets))
	for n := range p.buckets {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		b := p.buckets[n]
		if whole {
			if rate := b.came / max(span, 0.1); rate > b.demand {
				b.demand = (b.demand + rate) / 2
			} else {
				b.demand += (rate - b.demand) * 0.35
			}
			if b.came == 0 && len(b.waiting) == 0 {
				b.idle++
			} else {
				b.idle = 0
			}
			b.came = 0
			if b.idle > idleMax {
				delete(p.buckets, n) // not named: given back
				continue
			}
			if b.cap == 0 && b.demand < steady/2 && len(b.waiting) == 0 {
				continue // nothing to tell, and far from getting a share
			}
		} else if len(b.waiting) == 0 {
			continue
		}
		b.wanted = len(b.waiting)
		r.Shares = append(r.Shares, Share{n, b.rate, b.cap, math.Round(b.demand*100) / 100, len(b.waiting)})
	}
	if whole {
		p.told = now
	}
	return r
}

// Take over what the allocator has answered; only the answer to the last report
// counts, and none of an allocator that has been replaced.
func (p *LocalQuota) Lent(now time.Duration, l Allocation) {
	if l.Seq != p.seq || !p.waits || l.Term.Less(p.term) {
		return
	}
	p.waits, p.term = false, l.Term
	until := p.asked + l.Life
	if now >= until {
		return
	}
	p.lapse(now)
	p.until = until
	for _, s := range l.Shares {
		b := p.buckets[s.Tenant]
		if b == nil {
			continue
		}
		b.refill(now)
		b.rate, b.cap = s.Rate, s.Cap
		// What was given for those who wait is theirs; the rest fills the bucket.
		have := min(b.fill, b.cap) + float64(s.Tokens)
		for len(b.waiting) > 0 && have >= 1 {
			have--
			give := b.waiting[0]
			b.waiting = b.waiting[1:]
			give(Granted)
		}
		b.fill = min(have, b.cap)
		if s.Tokens < b.wanted {
			// The quota is used up; whoever came since is told as well.
			b.end(Over)
		}
		b.wanted = 0
	}
}

// Awaits says whether the allocator's answer is still awaited.
func (p *LocalQuota) Awaits(now time.Duration) bool { return p.waits && now-p.asked <= p.Patience }

// Waiting says whether any request waits for a report to be made.
func (p *LocalQuota) Waiting() bool {
	for _, b := range p.buckets {
		if len(b.waiting) > 0 {
			return true
		}
	}
	return false
}

// AcquireRequest asks a branch for one request's worth of a tenant's quota; Drawn answers.
type AcquireRequest struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
}

// AcquireReply answers Draw. Away: the branch cannot tell; another may.
type AcquireReply struct {
	Seq  uint64 `cbor:"1,keyasint"`
	OK   bool   `cbor:"2,keyasint,omitempty"`
	Away bool   `cbor:"3,keyasint,omitempty"`
	// Life is that of the branch, for the token to be given back to; 0: it takes none back.
	Life uint64 `cbor:"4,keyasint,omitempty"`
}

// Return gives a token back that was got with an AcquireReply of the same Life and was not used.
type Return struct {
	Tenant string `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
}

// Recall is a new lender's word to the branches to report to it at once.
type Recall struct {
	Term Term `cbor:"1,keyasint"`
}
