// Package quota enforces the tenants' request quotas. One control node, the allocator, allocates shares
// of each quota to all control nodes, itself included; in this package a node is one of these. Gateways
// acquire a token at such a node for each request.
//
// A share is a rate and a capacity of a token bucket at the node. The shares of a tenant together never
// exceed its quota by more than a part of the permitted overshoot. Each share expires by itself, so
// that no node has to be reached to revoke its share. Allocator and LocalQuota are plain state
// machines that do no I/O and read no clock: the caller passes the time in.
package quota

import (
	"math"
	"sort"
	"time"

	"madderwing/internal/replication"
)

// Term identifies an allocator: it is the epoch under which the node owns the configuration. It is the
// same type, since nodes must order allocators exactly as replication orders owners.
type Term = replication.Epoch

// Share is the share of one tenant's quota that a node holds or is given.
type Share struct {
	Tenant   string  `cbor:"1,keyasint"`
	Rate     float64 `cbor:"2,keyasint,omitempty"` // requests per second
	Capacity float64 `cbor:"3,keyasint,omitempty"` // bucket capacity in requests
	Demand   float64 `cbor:"4,keyasint,omitempty"` // in a report: requests per second that arrived
	Tokens   int     `cbor:"5,keyasint,omitempty"` // in a report: needed now; in an allocation: granted now, beside the share
}

// Report tells the allocator what a node holds and needs.
type Report struct {
	RunID    uint64  `cbor:"1,keyasint"` // identifies one run of the node's process
	Seq      uint64  `cbor:"2,keyasint"`
	Complete bool    `cbor:"3,keyasint,omitempty"` // it lists all shares of the node
	Shares   []Share `cbor:"4,keyasint,omitempty"`
}

// Allocation is the reply to a report.
type Allocation struct {
	Term     Term          `cbor:"1,keyasint"`
	Seq      uint64        `cbor:"2,keyasint"`
	Lifetime time.Duration `cbor:"3,keyasint"` // lifetime of the shares, counted from when the report was made
	Shares   []Share       `cbor:"4,keyasint,omitempty"`
}

// Quota is the limit of a tenant: requests per second, and requests at once. A rate of 0 means
// unlimited.
type Quota struct{ Rate, Burst float64 }

// Grant is a node's reply to a request for a token.
type Grant int

const (
	Unknown Grant = iota // the limit is unknown here or the allocator did not reply; another node may know
	Granted
	OverQuota // the quota is used up
)

// bucket is the token bucket of a node's share of one tenant's quota.
type bucket struct {
	rate, capacity, tokens float64
	refilledAt             time.Duration
	arrived                float64       // requests since the last report
	demand                 float64       // smoothed, in requests per second
	waiting                []func(Grant) // callbacks of requests that wait for the allocator's reply
	reportedWaiting        int           // length of waiting at the last report
	idleReports            int           // complete reports in a row without requests
}

// LocalQuota holds a node's shares of all tenants' quotas. NewLocalQuota returns one.
type LocalQuota struct {
	RunID            uint64
	ReplyTimeout     time.Duration // how long a request waits for the allocator's reply
	term             Term
	sharesExpireAt   time.Duration // 0: there are none, or they have expired
	seq              uint64        // of the last report
	reportedAt       time.Duration // time of the last report
	awaitingReply    bool          // for the last report
	demandReportedAt time.Duration // time of the last complete report
	buckets          map[string]*bucket
	limits           map[string]Quota
}

// NewLocalQuota returns the local quota of one run of a node's process. Its reports are numbered from lastSeq
// on, which must be random for each run: an allocation names its report by number only, so one for an
// earlier run could otherwise be taken for one of this run.
func NewLocalQuota(runID, lastSeq uint64, replyTimeout time.Duration) *LocalQuota {
	const maxReportsPerRun = 1 << 32 // kept free so that report numbers don't overflow
	return &LocalQuota{RunID: runID, ReplyTimeout: replyTimeout, seq: min(lastSeq, math.MaxUint64-maxReportsPerRun)}
}

// SetLimits sets the quotas of all tenants. A rate of 0 means unlimited.
func (lq *LocalQuota) SetLimits(limits map[string]Quota) {
	lq.limits = limits
	for name, b := range lq.buckets {
		if q, ok := limits[name]; !ok || q.Rate == 0 {
			b.completeWaiting(grantWithoutLimit(ok))
			delete(lq.buckets, name)
		}
	}
}

// grantWithoutLimit returns the grant for a tenant without a limit at this node: a known tenant is unlimited,
// while the limit of an unknown tenant may be known at other nodes.
func grantWithoutLimit(tenantKnown bool) Grant {
	if tenantKnown {
		return Granted
	}
	return Unknown
}

func (lq *LocalQuota) bucket(name string) *bucket {
	b := lq.buckets[name]
	if b == nil {
		if lq.buckets == nil {
			lq.buckets = map[string]*bucket{}
		}
		b = &bucket{}
		lq.buckets[name] = b
	}
	return b
}

func (b *bucket) refill(now time.Duration) {
	if now > b.refilledAt {
		if b.tokens < b.capacity {
			b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.refilledAt).Seconds())
		}
		b.refilledAt = now
	}
}

// completeWaiting ends the wait of all waiting requests with the same result.
func (b *bucket) completeWaiting(grant Grant) {
	for _, done := range b.waiting {
		done(grant)
	}
	b.waiting = nil
}

func (lq *LocalQuota) expireShares(now time.Duration) {
	if lq.sharesExpireAt > 0 && now >= lq.sharesExpireAt {
		lq.sharesExpireAt = 0
		for _, b := range lq.buckets {
			b.rate, b.capacity, b.tokens = 0, 0, 0
		}
	}
}

// Unlimited reports whether this node knows the tenant and the tenant has no limit.
func (lq *LocalQuota) Unlimited(tenant string) bool {
	q, ok := lq.limits[tenant]
	return ok && q.Rate == 0
}

// ObeysRecall reports whether the node self obeys an allocator's recall, that is, replies with a complete
// report. A recall from the node itself is ignored: the caller ends its own allocator on a recall, and
// would lose its record of all allocated shares.
func (lq *LocalQuota) ObeysRecall(self, from string, term Term) bool {
	return from != self && !term.Less(lq.term)
}

// Acquire acquires a token of a tenant's quota for one request. done is called with the result, either
// immediately or when the allocator has replied. reportDue says that a report to the allocator is due now.
func (lq *LocalQuota) Acquire(now time.Duration, tenant string, done func(Grant)) (reportDue bool) {
	if q, ok := lq.limits[tenant]; !ok || q.Rate == 0 {
		done(grantWithoutLimit(ok))
		return false
	}
	lq.expireShares(now)
	tenantBucket := lq.bucket(tenant)
	tenantBucket.arrived++
	tenantBucket.refill(now)
	if tenantBucket.tokens >= 1 && len(tenantBucket.waiting) == 0 {
		tenantBucket.tokens--
		done(Granted)
		return false
	}
	tenantBucket.waiting = append(tenantBucket.waiting, done)
	return !lq.AwaitsReply(now)
}

// ReturnToken returns a token whose request was not sent to any upstream. Tokens granted by earlier
// runs of this process are ignored. A token may be returned at any time, since its request could
// have been sent at any time: the bucket's capacity limits bursts as it does for requests in flight.
func (lq *LocalQuota) ReturnToken(now time.Duration, runID uint64, tenant string) {
	b := lq.buckets[tenant]
	if b == nil || runID != lq.RunID {
		return
	}
	lq.expireShares(now)
	b.refill(now)
	b.tokens = min(b.capacity, b.tokens+1)
}

// TimeOut ends the wait of all requests if the allocator hasn't replied in time. They get Unknown, since a
// missing reply says nothing about the quota.
func (lq *LocalQuota) TimeOut(now time.Duration) {
	if now-lq.reportedAt <= lq.ReplyTimeout {
		return
	}
	lq.awaitingReply = false
	for _, b := range lq.buckets {
		b.completeWaiting(Unknown)
		b.reportedWaiting = 0
	}
}

// maxIdleReports is the number of complete reports in a row that still list a tenant without requests.
const maxIdleReports = 3

// Report returns the next report. A complete one lists all tenants, any other only those for which
// requests wait.
func (lq *LocalQuota) Report(now time.Duration, complete bool) Report {
	lq.expireShares(now)
	lq.seq++
	lq.reportedAt, lq.awaitingReply = now, true
	report := Report{RunID: lq.RunID, Seq: lq.seq, Complete: complete}
	seconds := (now - lq.demandReportedAt).Seconds()
	names := make([]string, 0, len(lq.buckets))
	for name := range lq.buckets {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		tenantBucket := lq.buckets[name]
		if complete {
			if rate := tenantBucket.arrived / max(seconds, 0.1); rate > tenantBucket.demand {
				tenantBucket.demand = (tenantBucket.demand + rate) / 2
			} else {
				tenantBucket.demand += (rate - tenantBucket.demand) * 0.35
			}
			if tenantBucket.arrived == 0 && len(tenantBucket.waiting) == 0 {
				tenantBucket.idleReports++
			} else {
				tenantBucket.idleReports = 0
			}
			tenantBucket.arrived = 0
			if tenantBucket.idleReports > maxIdleReports {
				delete(lq.buckets, name) // not listed in the report, so the allocator removes the share
				continue
			}
			if tenantBucket.capacity == 0 && tenantBucket.demand < minSteadyRate/2 && len(tenantBucket.waiting) == 0 {
				continue // holds no share, and its demand is far from getting one
			}
		} else if len(tenantBucket.waiting) == 0 {
			continue
		}
		tenantBucket.reportedWaiting = len(tenantBucket.waiting)
		report.Shares = append(report.Shares, Share{name, tenantBucket.rate, tenantBucket.capacity, math.Round(tenantBucket.demand*100) / 100, len(tenantBucket.waiting)})
	}
	if complete {
		lq.demandReportedAt = now
	}
	return report
}

// Apply applies an allocation. Only the reply to the last report counts, and none from an allocator that
// has been replaced.
func (lq *LocalQuota) Apply(now time.Duration, allocation Allocation) {
	if allocation.Seq != lq.seq || !lq.awaitingReply || allocation.Term.Less(lq.term) {
		return
	}
	lq.awaitingReply, lq.term = false, allocation.Term
	expiresAt := lq.reportedAt + allocation.Lifetime
	if now >= expiresAt {
		return
	}
	lq.expireShares(now)
	lq.sharesExpireAt = expiresAt
	for _, share := range allocation.Shares {
		tenantBucket := lq.buckets[share.Tenant]
		if tenantBucket == nil {
			continue
		}
		tenantBucket.refill(now)
		tenantBucket.rate, tenantBucket.capacity = share.Rate, share.Capacity
		// Granted tokens serve the waiting requests first; the rest goes into the bucket.
		available := min(tenantBucket.tokens, tenantBucket.capacity) + float64(share.Tokens)
		for len(tenantBucket.waiting) > 0 && available >= 1 {
			available--
			done := tenantBucket.waiting[0]
			tenantBucket.waiting = tenantBucket.waiting[1:]
			done(Granted)
		}
		tenantBucket.tokens = min(available, tenantBucket.capacity)
		if share.Tokens < tenantBucket.reportedWaiting {
			// The quota is used up, also for requests that arrived after the report.
			tenantBucket.completeWaiting(OverQuota)
		}
		tenantBucket.reportedWaiting = 0
	}
}

// AwaitsReply reports whether the allocator's reply is still awaited.
func (lq *LocalQuota) AwaitsReply(now time.Duration) bool {
	return lq.awaitingReply && now-lq.reportedAt <= lq.ReplyTimeout
}

// HasWaiting reports whether any request waits for the allocator's reply.
func (lq *LocalQuota) HasWaiting() bool {
	for _, b := range lq.buckets {
		if len(b.waiting) > 0 {
			return true
		}
	}
	return false
}

// AcquireRequest asks a node for one token of a tenant's quota. The reply is an AcquireReply.
type AcquireRequest struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
}

// AcquireReply is the reply to the AcquireRequest with the same Seq. Granted: the token is granted. Unknown:
// the node doesn't know the limit, another one may. Neither: the quota is used up.
type AcquireReply struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	Unknown bool   `cbor:"3,keyasint,omitempty"`
	// RunID identifies the run of the node's process to which the token can be returned (see Return).
	// Nodes of versions that take no tokens back send 0.
	RunID uint64 `cbor:"4,keyasint,omitempty"`
}

// Return returns an unused token. RunID is that of the AcquireReply that granted it.
type Return struct {
	Tenant string `cbor:"1,keyasint"`
	RunID  uint64 `cbor:"2,keyasint"`
}

// Recall asks a node to report to a new allocator immediately.
type Recall struct {
	Term Term `cbor:"1,keyasint"`
}
