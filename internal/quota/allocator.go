package quota

import (
	"math"
	"time"
)

// AllocatorConfig configures an Allocator.
type AllocatorConfig struct {
	Overshoot          float64       // setting quotaOvershoot: fraction by which a quota may be exceeded
	Slack              float64       // setting quotaSlack: requests by which a quota may be exceeded beyond that
	Window             time.Duration // setting quotaWindowS: time over which quotas are checked
	ShareLifetime      time.Duration // lifetime of a share, counted from when the allocator's ownership was last confirmed
	MaxConfirmationAge time.Duration // age of that confirmation up to which the caller lets an allocator reply to reports
	// Nodes returns the addresses of all nodes that may hold shares.
	Nodes func() []string
}

const (
	usableFraction  = 0.25 // of Overshoot and Slack that may be allocated at any time
	initialFraction = 0.4  // of Overshoot and Slack that an allocator with a predecessor may grant once per tenant
	// The rest of Overshoot and Slack allows for requests in flight.

	minSteadyRate        = 0.4 // requests per second from which on a node gets a share
	maxAllocatedRate     = 0.9 // a tenant's shares are at most this fraction of its rate ...
	maxAllocatedCapacity = 0.8 // ... and of its capacity; the rest serves nodes that ask for single tokens
	maxDemandFactor      = 3.0 // a share is at most this multiple of a node's demand
	capacitySeconds      = 1.5 // a share's capacity is its rate times this
	directDemandSeconds  = 2.0 // time over which the demand for single tokens is averaged
)

// maxNodeFraction is the fraction of a quota that one node of several may hold.
func maxNodeFraction(nodes int) float64 { return min(1, 2/float64(nodes)+0.1) }

// nodeShare is one node's share of one tenant's quota.
type nodeShare struct {
	inUse, offered Share // as last reported by the node, and as last allocated to it
}

// rate and capacity return the higher of the two values, since an allocation may get lost.
func (s *nodeShare) rate() float64     { return max(s.inUse.Rate, s.offered.Rate) }
func (s *nodeShare) capacity() float64 { return max(s.inUse.Capacity, s.offered.Capacity) }

// nodeState is the allocator's state of one node.
type nodeState struct {
	runID, seq uint64
	expiresAt  time.Duration
	shares     map[string]*nodeShare // by tenant
}

// account is the state of one tenant's quota.
type account struct {
	quota                  Quota
	rate, capacity, demand float64 // sums over all shares of the quota
	tokens                 float64 // available to requests of nodes without a sufficient share
	initialTokens          float64 // may be granted once, while grants of the previous allocator are still within the window
	directDemand           float64 // demand for single tokens, per second
	refilledAt             time.Duration
}

// Allocator allocates shares of all tenants' quotas to the nodes. It does so only while its node owns
// the configuration. An allocator that replaces another learns from the nodes' reports which shares
// they hold. For a node that hasn't reported, it reserves the most that the node can hold until all
// shares of the previous allocator have expired.
type Allocator struct {
	cfg             AllocatorConfig
	term            Term
	active          bool
	reported        map[string]bool // nodes that have reported their shares to this allocator
	beganAt         time.Duration
	soleFrom        time.Duration         // time from which on no previous allocator can allocate anything
	othersExpiredAt time.Duration         // time from which on no share of a previous allocator is in use
	nodes           map[string]*nodeState // by address, those with unexpired shares
	accounts        map[string]*account   // by tenant
	TokensGranted   uint64
	TokensRefused   uint64
}

// NewAllocator returns an allocator that isn't active yet.
func NewAllocator(cfg AllocatorConfig) *Allocator { return &Allocator{cfg: cfg} }

// Activate activates the allocator under a term. inherited says that there may have been another
// allocator, whose ownership was confirmed no later than predecessorUntil.
func (alloc *Allocator) Activate(now time.Duration, term Term, predecessorUntil time.Duration, inherited bool) {
	if alloc.term == term && alloc.nodes != nil {
		alloc.active = true // its ownership was unconfirmed for a while; no other node can have allocated anything since
		return
	}
	alloc.term, alloc.active, alloc.othersExpiredAt, alloc.soleFrom, alloc.beganAt = term, true, now, now, now
	if inherited {
		alloc.soleFrom, alloc.othersExpiredAt = predecessorUntil+alloc.cfg.MaxConfirmationAge, predecessorUntil+alloc.cfg.ShareLifetime
	}
	alloc.nodes, alloc.accounts, alloc.reported = map[string]*nodeState{}, map[string]*account{}, map[string]bool{}
}

func (alloc *Allocator) Deactivate() { alloc.active = false }

// UnreportedNodes returns the nodes that haven't reported their shares to this allocator, if there may have
// been another allocator.
func (alloc *Allocator) UnreportedNodes() (out []string) {
	if !alloc.active || alloc.othersExpiredAt == alloc.beganAt {
		return nil
	}
	for _, id := range alloc.cfg.Nodes() {
		if !alloc.reported[id] {
			out = append(out, id)
		}
	}
	return out
}

// Active returns the allocator's term and reports whether it is active.
func (alloc *Allocator) Active() (Term, bool) { return alloc.term, alloc.active }

// budget returns the most that may be allocated of a quota: the quota and the usable part of Overshoot
// and Slack.
func (alloc *Allocator) budget(q Quota) Share {
	return Share{Rate: q.Rate * (1 + usableFraction*alloc.cfg.Overshoot), Capacity: q.Burst*(1+usableFraction*alloc.cfg.Overshoot) + usableFraction*alloc.cfg.Slack}
}

// isSole reports whether no other allocator can be active: either all nodes, each of which may have been
// the allocator, have reported to this one, or the confirmation of any previous allocator is too old.
func (alloc *Allocator) isSole(now time.Duration) bool {
	if now >= alloc.soleFrom {
		return true
	}
	for _, id := range alloc.cfg.Nodes() {
		if !alloc.reported[id] {
			return false
		}
	}
	return true
}

// unreportedFraction is the fraction of every quota that may be held by nodes which haven't reported to
// this allocator.
func (alloc *Allocator) unreportedFraction(now time.Duration) float64 {
	if now >= alloc.othersExpiredAt {
		return 0
	}
	addresses, unreported := alloc.cfg.Nodes(), 0
	for _, id := range addresses {
		if !alloc.reported[id] {
			unreported++
		}
	}
	return min(1, float64(unreported)*maxNodeFraction(max(1, len(addresses))))
}

// limit returns the most that may be allocated of a quota: its budget less what nodes that haven't
// reported may hold.
func (alloc *Allocator) limit(now time.Duration, acct *account) Share {
	budget := alloc.budget(acct.quota)
	fraction := 1 - alloc.unreportedFraction(now)
	return Share{Rate: budget.Rate * fraction, Capacity: budget.Capacity * fraction}
}

// account returns the account of a tenant, which it creates if needed, and updates the quota in it.
func (alloc *Allocator) account(now time.Duration, tenant string, q Quota) *account {
	acct := alloc.accounts[tenant]
	if acct == nil {
		acct = &account{quota: q, refilledAt: now}
		if alloc.othersExpiredAt == alloc.beganAt {
			acct.tokens = alloc.budget(q).Capacity // no other allocator has allocated anything
		} else {
			acct.initialTokens = initialFraction * (alloc.cfg.Overshoot*(q.Rate*alloc.cfg.Window.Seconds()+q.Burst) + alloc.cfg.Slack)
		}
		alloc.accounts[tenant] = acct
	}
	acct.quota = q
	return acct
}

// refill updates the tokens from which requests of nodes without a sufficient share are served.
func (alloc *Allocator) refill(now time.Duration, acct *account) {
	limit := alloc.limit(now, acct)
	if now > acct.refilledAt {
		if alloc.isSole(now) {
			acct.tokens += max(0, limit.Rate-acct.rate) * (now - acct.refilledAt).Seconds()
		}
		acct.directDemand *= math.Exp(-(now - acct.refilledAt).Seconds() / directDemandSeconds)
		acct.refilledAt = now
	}
	acct.tokens = max(0, min(acct.tokens, limit.Capacity-acct.capacity))
}

func (acct *account) subtract(share *nodeShare) {
	acct.rate -= share.rate()
	acct.capacity -= share.capacity()
	acct.demand -= share.inUse.Demand
}

func (acct *account) add(share *nodeShare) {
	acct.rate += share.rate()
	acct.capacity += share.capacity()
	acct.demand += share.inUse.Demand
}

// removeNode removes a node and all its shares.
func (alloc *Allocator) removeNode(now time.Duration, id string) {
	for tenant, share := range alloc.nodes[id].shares {
		if acct := alloc.accounts[tenant]; acct != nil {
			alloc.refill(now, acct)
			acct.subtract(share)
		}
	}
	delete(alloc.nodes, id)
}

// Tick removes the nodes whose shares have expired.
func (alloc *Allocator) Tick(now time.Duration) {
	for id, node := range alloc.nodes {
		if now >= node.expiresAt {
			alloc.removeNode(now, id)
		}
	}
}

// Report handles a node's report and returns the allocation to reply with, if there is one. confirmedAt is
// when the allocator's ownership of the configuration was last confirmed. quotas holds the tenants' quotas.
func (alloc *Allocator) Report(now, confirmedAt time.Duration, from string, report Report, quotas map[string]Quota) (Allocation, bool) {
	alloc.Tick(now)
	lifetime := alloc.cfg.ShareLifetime - (now - confirmedAt)
	if !alloc.active || lifetime <= 0 {
		return Allocation{}, false
	}
	node := alloc.nodes[from]
	if node != nil && node.runID != report.RunID {
		alloc.removeNode(now, from) // the process has restarted and holds nothing any more
		node = nil
	}
	if node != nil && report.Seq <= node.seq {
		return Allocation{}, false
	}
	if node == nil {
		if !report.Complete {
			return Allocation{}, false
		}
		node = &nodeState{runID: report.RunID, shares: map[string]*nodeShare{}}
		alloc.nodes[from] = node
		alloc.reported[from] = true
	}
	node.seq, node.expiresAt = report.Seq, now+alloc.cfg.ShareLifetime
	seen := map[string]bool{}
	allocation := Allocation{Term: alloc.term, Seq: report.Seq, Lifetime: lifetime}
	for _, request := range report.Shares {
		quota := quotas[request.Tenant]
		if quota.Rate <= 0 || seen[request.Tenant] {
			continue
		}
		seen[request.Tenant] = true
		acct := alloc.account(now, request.Tenant, quota)
		alloc.refill(now, acct)
		share := node.shares[request.Tenant]
		if share == nil {
			share = &nodeShare{}
			node.shares[request.Tenant] = share
		} else {
			acct.subtract(share)
		}
		if !report.Complete && request.Demand < share.inUse.Demand {
			request.Demand = share.inUse.Demand
		}
		share.inUse = request
		share.offered = alloc.computeShare(now, acct, request)
		acct.add(share)
		alloc.refill(now, acct)
		share.offered.Tokens = 0
		granted := share.offered
		granted.Tenant, granted.Demand = request.Tenant, 0
		granted.Tokens = min(request.Tokens, int(acct.tokens))
		acct.tokens -= float64(granted.Tokens)
		if now < alloc.othersExpiredAt+alloc.cfg.Window {
			initial := min(request.Tokens-granted.Tokens, int(acct.initialTokens))
			acct.initialTokens -= float64(initial)
			granted.Tokens += initial
		}
		acct.directDemand += float64(request.Tokens) / directDemandSeconds
		alloc.TokensGranted += uint64(granted.Tokens)
		alloc.TokensRefused += uint64(request.Tokens - granted.Tokens)
		allocation.Shares = append(allocation.Shares, granted)
	}
	if report.Complete {
		for tenant, share := range node.shares {
			if !seen[tenant] {
				if acct := alloc.accounts[tenant]; acct != nil {
					alloc.refill(now, acct)
					acct.subtract(share)
				}
				delete(node.shares, tenant)
			}
		}
	}
	return allocation, true
}

// computeShare returns the share to offer to a node, given what the others hold. The caller has
// subtracted the node's present share from the account.
func (alloc *Allocator) computeShare(now time.Duration, acct *account, reported Share) Share {
	limit := alloc.limit(now, acct)
	demand := acct.demand + reported.Demand + acct.directDemand
	if reported.Demand < minSteadyRate || limit.Rate <= 0 {
		// A share would go unused at this node and be missing at others. The node asks for each
		// token instead.
		return Share{}
	}
	budget, fraction := alloc.budget(acct.quota), maxNodeFraction(max(1, len(alloc.cfg.Nodes())))
	factor := min(maxDemandFactor, maxAllocatedRate*limit.Rate/demand)
	rate := max(0, min(reported.Demand*factor, maxAllocatedRate*limit.Rate-acct.rate, fraction*budget.Rate))
	capacity := max(0, min(rate*capacitySeconds, maxAllocatedCapacity*limit.Capacity-acct.capacity, fraction*budget.Capacity))
	if alloc.unreportedFraction(now) > 0 {
		// The limit is too low while some nodes haven't reported. The node keeps at least what
		// it holds.
		rate, capacity = max(rate, reported.Rate), max(capacity, reported.Capacity)
	}
	if capacity < 1 {
		return Share{} // it would never hold a whole token
	}
	return Share{Rate: math.Floor(rate*100) / 100, Capacity: math.Floor(capacity*100) / 100}
}

// AllocationState is the state of one tenant's quota as the status shows it.
type AllocationState struct {
	Tenant    string  `json:"tenant"`
	Rate      float64 `json:"ratePerS"`
	Burst     float64 `json:"burst"`
	Allocated float64 `json:"lentPerS"`
	Demand    float64 `json:"demandPerS"`
	Nodes     int     `json:"branches"`
}

// State returns what is allocated of a tenant's quota.
func (alloc *Allocator) State(tenant string, q Quota) AllocationState {
	state := AllocationState{Tenant: tenant, Rate: q.Rate, Burst: q.Burst}
	if acct := alloc.accounts[tenant]; acct != nil && alloc.active {
		state.Allocated, state.Demand = math.Round(acct.rate*100)/100, math.Round(acct.demand*100)/100
		for _, node := range alloc.nodes {
			if node.shares[tenant] != nil {
				state.Nodes++
			}
		}
	}
	return state
}
