package upstream

// This file lets requests acquire an upstream, wait in the queue for one, and release it.

import (
	"sync/atomic"
	"time"
)

// WaitHandle refers to the connection on which a retryable request waits for its response.
// When the upstream becomes unresponsive to other requests, the balancer expires the read
// deadline of that connection, so that the request can be retried elsewhere in time.
type WaitHandle struct{ conn atomic.Pointer[Conn] }

// SetConn sets the connection that the request waits on.
func (handle *WaitHandle) SetConn(c *Conn) {
	if handle != nil {
		handle.conn.Store(c)
	}
}

func (handle *WaitHandle) interrupt() {
	if c := handle.conn.Load(); c != nil {
		_ = c.SetReadDeadline(time.Now())
	}
}

// AcquireRequest asks for an upstream on behalf of one request (or one retry of it).
type AcquireRequest struct {
	Service          string
	Version          string      // the candidate version; empty: the stable version
	Priority         int         // lower is more urgent
	ExcludeIDs       []string    // IDs of upstreams that have been tried
	Retry            bool        // takes a token from the retry budget
	WaitHandle       *WaitHandle // nil if the request must not be retried
	RegionRestricted bool        // only upstreams in Regions are eligible
	Regions          []string
	LatencyTarget    time.Duration   // latency target of the request
	OnResult         func(SlotLease) // receives the result

	arrived time.Duration
	seq     uint64
}

// SlotLease is the result of an AcquireRequest: an upstream to use, or the reason for a refusal.
type SlotLease struct {
	Upstream    *Upstream
	ID          string
	Address     string
	Conn        *Conn
	WaitHandle  *WaitHandle // as in the request
	Refusal     Refusal
	CrossRegion bool          // the upstream is in another region than this gateway
	GrantedAt   time.Duration // when the upstream was granted
	Cold        bool
	Retry       bool // it took a token from the retry budget
	InFlight    int  // requests of this gateway at the upstream when this one was granted, including it
}

// Refusal is the reason why no upstream was granted.
type Refusal int

// Reasons for a refusal.
const (
	Granted              Refusal = iota
	NoEligibleUpstream           // no upstream is eligible
	QueueFull                    // the queue is full, or the request was cancelled
	RetryBudgetExhausted         // the retry budget is used up
	ListNotReceived              // no list of upstreams has been received yet
)

// BeginShutdown tells the balancer that this gateway is shutting down. From then on it interrupts no
// request that has been forwarded: the client could get an error from this gateway while
// the upstream is still processing the request.
func (b *Balancer) BeginShutdown() { b.shuttingDown = true }

// interrupt ends a request's wait for its response early, unless the gateway is shutting down.
func (b *Balancer) interrupt(handle *WaitHandle) {
	if !b.shuttingDown {
		handle.interrupt()
	}
}

// RecordRequest records a request for a service, which adds its share to the retry budget.
func (b *Balancer) RecordRequest(serviceName string) {
	pool := b.stablePool(serviceName)
	pool.budget.Earn(b.cfg.RetryRatio, b.retryTokenCap(pool))
}

// retryTokenCap returns the number of retry tokens that this gateway may accumulate: half of the slack is
// divided evenly among the gateways of the service's shard, or among all if it has none. The gateways of
// other shards get one token each, which is deducted first. The other half of the slack covers gateways
// that this one does not know of.
func (b *Balancer) retryTokenCap(pool *servicePool) float64 {
	total := len(b.gateways)
	if shard, ok := b.serviceShard[pool.serviceName]; ok {
		inShard, shardGateways := false, 0
		for _, gateway := range b.gateways {
			if b.gatewayShards[gateway.Address] == shard {
				shardGateways++
				inShard = inShard || gateway.Address == b.cfg.Self
			}
		}
		otherGateways := float64(total - shardGateways)
		if !inShard || shardGateways == 0 {
			return 1
		}
		return max(1, (b.cfg.RetrySlack/2-otherGateways)/float64(shardGateways))
	}
	return max(1, b.cfg.RetrySlack/2/float64(max(total, 1)))
}

// Acquire asks for an upstream. It calls req.OnResult at once, or later if the request has to queue.
func (b *Balancer) Acquire(now time.Duration, req *AcquireRequest) {
	pool := b.poolForRequest(req)
	b.requestSeq++
	req.arrived, req.seq = now, b.requestSeq
	if req.Retry {
		if !b.refillBudget(now, b.stablePool(req.Service)).Spend() { // all versions of the service share one budget
			req.OnResult(SlotLease{Refusal: RetryBudgetExhausted})
			return
		}
	}
	if !b.grant(now, pool, req) {
		if len(pool.queue) >= max(4, pool.primarySlots*2) && !b.displaceQueued(pool, req) {
			b.refuse(pool, req, QueueFull)
			return
		}
		pool.queue = append(pool.queue, req)
	}
}

// refillBudget brings the retry budget of a service up to date.
func (b *Balancer) refillBudget(now time.Duration, pool *servicePool) *RetryBudget {
	pool.budget.Refill(now, b.retryTokenCap(pool)/2/max(b.cfg.RetryWindow.Seconds(), 1), b.retryTokenCap(pool))
	return &pool.budget
}

// displaceQueued makes room for req by refusing the newest of the queued requests of lowest
// priority, if that priority is lower than that of req.
func (b *Balancer) displaceQueued(pool *servicePool, req *AcquireRequest) bool {
	victim := -1
	for i, queued := range pool.queue {
		if queued.Priority > req.Priority && (victim < 0 || queued.Priority > pool.queue[victim].Priority ||
			queued.Priority == pool.queue[victim].Priority && queued.seq > pool.queue[victim].seq) {
			victim = i
		}
	}
	if victim < 0 {
		return false
	}
	queued := pool.queue[victim]
	pool.queue = append(pool.queue[:victim], pool.queue[victim+1:]...)
	b.refuse(pool, queued, QueueFull)
	return true
}

// refuse reports a refusal to the request, and refunds its retry token.
func (b *Balancer) refuse(pool *servicePool, req *AcquireRequest, reason Refusal) {
	if req.Retry {
		b.stablePool(req.Service).budget.Refund()
	}
	req.OnResult(SlotLease{Refusal: reason})
}

// grant gives req an upstream or a refusal. It returns false if the request has to wait.
func (b *Balancer) grant(now time.Duration, pool *servicePool, req *AcquireRequest) bool {
	u, eligible := b.pick(now, pool, req)
	if u == nil {
		if !eligible && !b.hasList {
			b.refuse(pool, req, ListNotReceived)
			return true
		}
		if !eligible {
			b.refuse(pool, req, NoEligibleUpstream)
			return true
		}
		return false
	}
	u.InFlight++
	if u.Cold(now) {
		b.isColdSender(u)
		u.warmupLimiter.Record(now, pool.info.WarmupPerS/float64(u.senderCount))
	}
	lease := SlotLease{Upstream: u, ID: u.ID, Address: u.Address, WaitHandle: req.WaitHandle, Cold: u.Cold(now), Retry: req.Retry, CrossRegion: !u.sameRegion, GrantedAt: now, InFlight: u.InFlight}
	u.requestStarted(now, req)
	if req.WaitHandle != nil {
		if u.waitHandles == nil {
			u.waitHandles = map[*WaitHandle]struct{}{}
		}
		u.waitHandles[req.WaitHandle] = struct{}{}
	}
	for n := len(u.idle); n > 0 && lease.Conn == nil; n-- {
		conn := u.idle[n-1]
		u.idle = u.idle[:n-1]
		if conn.Expires > now {
			lease.Conn = conn
		} else {
			b.ConnsToClose = append(b.ConnsToClose, conn)
		}
	}
	req.OnResult(lease)
	return true
}

// Cancel removes a request from the queue if it still waits there, and refuses it.
func (b *Balancer) Cancel(req *AcquireRequest) {
	pool := b.poolForRequest(req)
	for i, queued := range pool.queue {
		if queued == req {
			pool.queue = append(pool.queue[:i], pool.queue[i+1:]...)
			b.refuse(pool, req, QueueFull)
			return
		}
	}
}

// Outcome is the result of a request at its upstream.
type Outcome int

// Results of a request.
const (
	Served           Outcome = iota // the upstream responded
	Overloaded                      // the upstream rejected the request as overloaded
	ConnectionFailed                // the upstream could not be reached or closed the connection early
	WrongInstance                   // the address now belongs to another upstream
	Unresponsive                    // the upstream no longer acknowledges what it is sent
	ServerError                     // the upstream responded with a server error
	NotSent                         // nothing was sent to the upstream
	ConnectionReset                 // the upstream reset the connection, as some do under overload
	Cancelled                       // the client disconnected; says nothing about the upstream's health
)

// Release returns an upstream after a request; conn is its connection if that can be used
// again, otherwise nil. outlier reports whether the upstream's error rate is above errorRateCommon and
// that of its pool below it.
func (b *Balancer) Release(now time.Duration, lease SlotLease, conn *Conn, outcome Outcome) (outlier bool) {
	u := lease.Upstream
	u.InFlight--
	latency := now - lease.GrantedAt
	if !u.removePending(lease.GrantedAt) {
		latency = 0 // ResponseStarted was called before; the transfer of the body is no part of the latency
	}
	delete(u.waitHandles, lease.WaitHandle)
	pool := u.pool
	switch outcome {
	case Served, ServerError:
		u.verified = true
		u.Served++
		outlier = b.recordResponse(now, pool, u, latency, outcome == ServerError)
		if outcome == Served {
			pool.saturation.record(now, u, lease.InFlight, latency)
		}
		if u.errorRate < errorRateCommon {
			u.failures = 0
		}
	case NotSent:
		if lease.Retry {
			b.stablePool(u.Service).budget.Refund()
		}
	case Overloaded:
		u.Served++
	case ConnectionReset:
		u.Failed++
		if u.failures > 0 {
			b.eject(now, u)
			break
		}
		u.failures++
		u.pausedUntil = now + b.cfg.EjectTime/3
	case ConnectionFailed, Unresponsive:
		u.Failed++
		b.eject(now, u)
		if outcome == Unresponsive {
			for handle := range u.waitHandles {
				b.interrupt(handle)
			}
		}
	case WrongInstance:
		u.retired = true
		b.closeIdle(u)
		b.assign(now)
	}
	if conn != nil {
		if u.retired || b.evacuated[u.Zone] || now < u.ejectedUntil || conn.Expires <= now || b.poolOf(u) == nil {
			b.ConnsToClose = append(b.ConnsToClose, conn)
		} else {
			u.idle = append(u.idle, conn)
		}
	}
	b.dispatch(now, pool)
	return outlier
}

// dispatch grants upstreams to queued requests, by priority and then by arrival, until none is free.
func (b *Balancer) dispatch(now time.Duration, pool *servicePool) {
	var blocked []*AcquireRequest // requests restricted to regions that have no free upstream now
	defer func() { pool.queue = append(pool.queue, blocked...) }()
	for len(pool.queue) > 0 {
		best := 0
		for i, queued := range pool.queue {
			current := pool.queue[best]
			if queued.Priority < current.Priority || queued.Priority == current.Priority && queued.seq < current.seq {
				best = i
			}
		}
		req := pool.queue[best]
		pool.queue = append(pool.queue[:best], pool.queue[best+1:]...)
		if !b.grant(now, pool, req) {
			if req.RegionRestricted {
				blocked = append(blocked, req)
				continue
			}
			pool.queue = append(pool.queue, req)
			return
		}
	}
}

func (b *Balancer) dispatchAll(now time.Duration) {
	for _, pool := range b.pools {
		b.dispatch(now, pool)
	}
}
