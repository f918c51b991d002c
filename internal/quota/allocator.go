package quota

import (
	"math"
	"time"
)

// AllocatorConfig holds the figures that an allocator works by.
type AllocatorConfig struct {
	Overshoot float64       // quotaOvershoot
	Slack     float64       // quotaSlack
	Window    time.Duration // quotaWindowS
	Life      time.Duration // of a share, counted from when the allocator's word was sure
	Sure      time.Duration // how old that may be when an allocator gives anything
	// Branches names all that may borrow.
	Branches func() []string
}

const (
	use      = 0.25 // of overshoot and slack, at any time
	useFirst = 0.4  // of them, once, by an allocator that follows another
	// The rest is for requests on their way.

	steady    = 0.4 // requests a second from which on a branch gets a share
	lentRate  = 0.9 // at most this part of a tenant's rate is lent out ...
	lentCap   = 0.8 // ... and of its cap; the rest serves branches that ask at once
	generous  = 3.0 // a share is at most this many times a branch's demand
	breath    = 1.5 // seconds of its rate that a share's cap holds
	askedSpan = 2.0 // seconds over which what is asked for one by one is averaged
)

// most is the part of a quota that one of n branches may have.
func most(n int) float64 { return min(1, 2/float64(n)+0.1) }

type held struct {
	force, offer Share // what the gateway said that it has, and what it was last offered
}

func (h *held) rate() float64 { return max(h.force.Rate, h.offer.Rate) }
func (h *held) cap() float64  { return max(h.force.Cap, h.offer.Cap) }

type borrower struct {
	life, seq uint64
	until     time.Duration
	shares    map[string]*held
}

type account struct {
	quota             Quota
	rate, cap, demand float64 // of all shares that are out
	fill              float64
	first             float64 // may be given though another lender's gifts still count
	asked             float64 // requests a second that are asked for one by one
	at                time.Duration
}

// Allocator hands out shares of all tenants' quotas to the branches. It does so only
// while it owns the catalogue. One that follows another learns from the branches
// what they have and goes on from there; for each that is silent it keeps back the
// most that it can have, until that has lapsed.
type Allocator struct {
	cfg       AllocatorConfig
	term      Term
	lending   bool
	heard     map[string]bool // branches that have told this lender what they have
	began     time.Duration
	askFrom   time.Duration // from then on no other can give anything
	openFrom  time.Duration // from then on nothing that another has lent is in use
	borrowers map[string]*borrower
	accounts  map[string]*account
	Lent      uint64
	Refused   uint64
}

// NewAllocator makes an allocator that does not lend.
func NewAllocator(cfg AllocatorConfig) *Allocator { return &Allocator{cfg: cfg} }

// Begin begins a tenure. heir says that there may have been another lender, and
// free that its word was sure until then at the latest.
func (l *Allocator) Begin(now time.Duration, term Term, free time.Duration, heir bool) {
	if l.term == term && l.borrowers != nil {
		l.lending = true // it was unsure for a while; nobody else can have lent since
		return
	}
	l.term, l.lending, l.openFrom, l.askFrom, l.began = term, true, now, now, now
	if heir {
		l.askFrom, l.openFrom = free+l.cfg.Sure, free+l.cfg.Life
	}
	l.borrowers, l.accounts, l.heard = map[string]*borrower{}, map[string]*account{}, map[string]bool{}
}

// End ends the tenure.
func (l *Allocator) End() { l.lending = false }

// Silent names the branches that have not told this lender what they have, while
// that matters.
func (l *Allocator) Silent() (out []string) {
	if !l.lending || l.openFrom == l.began {
		return nil
	}
	for _, id := range l.cfg.Branches() {
		if !l.heard[id] {
			out = append(out, id)
		}
	}
	return out
}

// Lending says whether this lender lends, and under which term.
func (l *Allocator) Lending() (Term, bool) { return l.term, l.lending }

func (l *Allocator) whole(q Quota) Share {
	return Share{Rate: q.Rate * (1 + use*l.cfg.Overshoot), Cap: q.Burst*(1+use*l.cfg.Overshoot) + use*l.cfg.Slack}
}

// free says that no other lender can be giving anything: all branches, each of
// which may have been the allocator, follow this one, or what made another sure of
// itself is too old.
func (l *Allocator) free(now time.Duration) bool {
	if now >= l.askFrom {
		return true
	}
	for _, id := range l.cfg.Branches() {
		if !l.heard[id] {
			return false
		}
	}
	return true
}

// unheard is the part of every quota that branches may have which have not yet
// told this lender what they have.
func (l *Allocator) unheard(now time.Duration) float64 {
	if now >= l.openFrom {
		return 0
	}
	all, silent := l.cfg.Branches(), 0
	for _, id := range all {
		if !l.heard[id] {
			silent++
		}
	}
	return min(1, float64(silent)*most(max(1, len(all))))
}

// ceiling is what may be out at most, beside what silent branches may have.
func (l *Allocator) ceiling(now time.Duration, a *account) Share {
	w := l.whole(a.quota)
	part := 1 - l.unheard(now)
	return Share{Rate: w.Rate * part, Cap: w.Cap * part}
}

func (l *Allocator) account(now time.Duration, tenant string, q Quota) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{quota: q, at: now}
		if l.openFrom == l.began {
			a.fill = l.whole(q).Cap // nobody else has given anything
		} else {
			a.first = useFirst * (l.cfg.Overshoot*(q.Rate*l.cfg.Window.Seconds()+q.Burst) + l.cfg.Slack)
		}
		l.accounts[tenant] = a
	}
	a.quota = q
	return a
}

// refill fills the bucket from which those are served who ask at once.
func (l *Allocator) refill(now time.Duration, a *account) {
	top := l.ceiling(now, a)
	if now > a.at {
		if l.free(now) {
			a.fill += max(0, top.Rate-a.rate) * (now - a.at).Seconds()
		}
		a.asked *= math.Exp(-(now - a.at).Seconds() / askedSpan)
		a.at = now
	}
	a.fill = max(0, min(a.fill, top.Cap-a.cap))
}

// drop takes a share off the account.
func (a *account) drop(h *held) {
	a.rate -= h.rate()
	a.cap -= h.cap()
	a.demand -= h.force.Demand
}

func (a *account) add(h *held) {
	a.rate += h.rate()
	a.cap += h.cap()
	a.demand += h.force.Demand
}

// forget ends what a gateway has.
func (l *Allocator) forget(now time.Duration, id string) {
	for t, h := range l.borrowers[id].shares {
		if a := l.accounts[t]; a != nil {
			l.refill(now, a)
			a.drop(h)
		}
	}
	delete(l.borrowers, id)
}

// Tick lets shares lapse.
func (l *Allocator) Tick(now time.Duration) {
	for id, b := range l.borrowers {
		if now >= b.until {
			l.forget(now, id)
		}
	}
}

// Report takes a gateway's report and answers it. sure is when it was last certain
// that there was no other lender. quotas gives the tenants' limits.
func (l *Allocator) Report(now, sure time.Duration, from string, r Report, quotas map[string]Quota) (Allocation, bool) {
	l.Tick(now)
	life := l.cfg.Life - (now - sure)
	if !l.lending || life <= 0 {
		return Allocation{}, false
	}
	b := l.borrowers[from]
	if b != nil && b.life != r.Life {
		l.forget(now, from) // a process that has ended has nothing any more
		b = nil
	}
	if b != nil && r.Seq <= b.seq {
		return Allocation{}, false
	}
	if b == nil {
		if !r.Whole {
			return Allocation{}, false
		}
		b = &borrower{life: r.Life, shares: map[string]*held{}}
		l.borrowers[from] = b
		l.heard[from] = true
	}
	b.seq, b.until = r.Seq, now+l.cfg.Life
	named := map[string]bool{}
	out := Allocation{Term: l.term, Seq: r.Seq, Life: life}
	for _, s := range r.Shares {
		q := quotas[s.Tenant]
		if q.Rate <= 0 || named[s.Tenant] {
			continue
		}
		named[s.Tenant] = true
		a := l.account(now, s.Tenant, q)
		l.refill(now, a)
		h := b.shares[s.Tenant]
		if h == nil {
			h = &held{}
			b.shares[s.Tenant] = h
		} else {
			a.drop(h)
		}
		if !r.Whole && s.Demand < h.force.Demand {
			s.Demand = h.force.Demand
		}
		h.force = s
		h.offer = l.offer(now, a, s)
		a.add(h)
		l.refill(now, a)
		h.offer.Tokens = 0
		given := h.offer
		given.Tenant, given.Demand = s.Tenant, 0
		given.Tokens = min(s.Tokens, int(a.fill))
		a.fill -= float64(given.Tokens)
		if now < l.openFrom+l.cfg.Window {
			more := min(s.Tokens-given.Tokens, int(a.first))
			a.first -= float64(more)
			given.Tokens += more
		}
		a.asked += float64(s.Tokens) / askedSpan
		l.Lent += uint64(given.Tokens)
		l.Refused += uint64(s.Tokens - given.Tokens)
		out.Shares = append(out.Shares, given)
	}
	if r.Whole {
		for t, h := range b.shares {
			if !named[t] {
				if a := l.accounts[t]; a != nil {
					l.refill(now, a)
					a.drop(h)
				}
				delete(b.shares, t)
			}
		}
	}
	return out, true
}

// offer works out a gateway's share, given what the others have.
func (l *Allocator) offer(now time.Duration, a *account, s Share) Share {
	top := l.ceiling(now, a)
	demand := a.demand + s.Demand + a.asked
	if s.Demand < steady || top.Rate <= 0 {
		// A share would lie idle there and be missing elsewhere. The branch asks
		// for each request.
		return Share{}
	}
	whole, part := l.whole(a.quota), most(max(1, len(l.cfg.Branches())))
	factor := min(generous, lentRate*top.Rate/demand)
	rate := max(0, min(s.Demand*factor, lentRate*top.Rate-a.rate, part*whole.Rate))
	cap := max(0, min(rate*breath, lentCap*top.Cap-a.cap, part*whole.Cap))
	if l.unheard(now) > 0 {
		// What may be out at most is too little as long as some are silent: what the
		// branch has it may keep in any case.
		rate, cap = max(rate, s.Rate), max(cap, s.Cap)
	}
	if cap < 1 {
		return Share{} // it could never fill up to a whole request
	}
	return Share{Rate: math.Floor(rate*100) / 100, Cap: math.Floor(cap*100) / 100}
}

// AllocationState is what is lent of one tenant's quota, as status shows it.
type AllocationState struct {
	Tenant   string  `json:"tenant"`
	Rate     float64 `json:"ratePerS"`
	Burst    float64 `json:"burst"`
	Lent     float64 `json:"lentPerS"`
	Demand   float64 `json:"demandPerS"`
	Branches int     `json:"branches"`
}

// States shows what is lent of a tenant's quota.
func (l *Allocator) State(tenant string, q Quota) AllocationState {
	s := AllocationState{Tenant: tenant, Rate: q.Rate, Burst: q.Burst}
	if a := l.accounts[tenant]; a != nil && l.lending {
		s.Lent, s.Demand = math.Round(a.rate*100)/100, math.Round(a.demand*100)/100
		for _, b := range l.borrowers {
			if b.shares[tenant] != nil {
				s.Branches++
			}
		}
	}
	return s
}
