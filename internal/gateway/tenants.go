package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/delivery"
	"madderwing/internal/quota"
)

// tokenRequests holds the requests for quota tokens that wait for a control node's reply.
type tokenRequests struct {
	mu               sync.Mutex
	lastSeq          uint64
	pending          map[uint64]pendingRequest // by sequence number
	controlNodes     [2]string                 // those that the gateway watches, the nearer first
	avoidNearerUntil time.Time                 // the nearer one recently failed to reply
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	to      string // control node that was asked
	replies chan quota.AcquireReply
}

// newTokenRequests starts at a random sequence number: after a restart, a control node may still reply to
// a request of the previous process at the same address.
func newTokenRequests() tokenRequests {
	return tokenRequests{lastSeq: rand.Uint64(), pending: map[uint64]pendingRequest{}}
}

// setUpTenants enables the leases of API keys and the quotas if the settings require them. Their limits
// hold for all gateways together, also for those without contact to control nodes.
func (g *Gateway) setUpTenants() {
	if g.settings.RevocationBounded() {
		g.handler.SetKeyLease(&g.keyLeaseUntil)
	}
	if g.settings.HasQuotas() {
		g.tokenRequests = newTokenRequests()
		g.handler.SetQuota(g.acquireToken)
	}
}

// acquireToken acquires a token of a tenant's quota from the nearer control node, or from the other one if
// the nearer cannot reply or recently failed to. It ends with ctx. kind says why there is no token; if it is
// apierror.Internal there is one, and returnUnused gives it back if it is not used.
func (g *Gateway) acquireToken(ctx context.Context, tenant string, timeout time.Duration) (returnUnused func(), kind apierror.Kind) {
	requests := &g.tokenRequests
	requests.mu.Lock()
	order := requests.controlNodes
	if order[1] != "" && time.Now().Before(requests.avoidNearerUntil) {
		order[0], order[1] = order[1], order[0]
	}
	nearer := requests.controlNodes[0]
	requests.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for _, to := range order {
		if to == "" {
			continue
		}
		replies := make(chan quota.AcquireReply, 1)
		requests.mu.Lock()
		requests.lastSeq++
		seq := requests.lastSeq
		requests.pending[seq] = pendingRequest{to, replies}
		requests.mu.Unlock()
		g.endpoint.Send(to, delivery.AcquireKind, quota.AcquireRequest{Seq: seq, Tenant: tenant})
		var reply quota.AcquireReply
		timedOut, clientDisconnected := false, false
		select {
		case reply = <-replies:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			clientDisconnected = true
		}
		switch {
		case reply.Granted:
			return func() { g.returnToken(to, tenant, reply.RunID) }, apierror.Internal
		case clientDisconnected:
			g.cancelRequest(to, tenant, seq, replies)
			return nil, apierror.ClientLeftBeforeSend
		case !timedOut && !reply.Unknown:
			return nil, apierror.OverQuota
		}
		requests.mu.Lock()
		delete(requests.pending, seq)
		if to == nearer {
			requests.avoidNearerUntil = time.Now().Add(g.settings.HeartbeatInterval())
		}
		requests.mu.Unlock()
		if timedOut {
			break
		}
	}
	return nil, apierror.QuotaUnknown
}

// returnToken returns an unused token to the control node that granted it. runID is 0 if the
// software version of that node takes no tokens back.
func (g *Gateway) returnToken(to, tenant string, runID uint64) {
	if runID != 0 {
		g.endpoint.Send(to, delivery.ReturnKind, quota.Return{Tenant: tenant, RunID: runID})
	}
}

// cancelRequest ends the wait for a token whose client has disconnected. A token that arrived at the
// same moment is returned; a later one is lost.
func (g *Gateway) cancelRequest(to, tenant string, seq uint64, replies <-chan quota.AcquireReply) {
	g.tokenRequests.mu.Lock()
	delete(g.tokenRequests.pending, seq)
	g.tokenRequests.mu.Unlock()
	select {
	case reply := <-replies:
		if reply.Granted {
			g.returnToken(to, tenant, reply.RunID)
		}
	default:
	}
}

// handleAcquireReply passes a reply to the request that waits for it. A reply that is too late or comes
// from another node than the one that was asked is dropped.
func (g *Gateway) handleAcquireReply(from string, reply quota.AcquireReply) {
	g.tokenRequests.mu.Lock()
	defer g.tokenRequests.mu.Unlock()
	if request, ok := g.tokenRequests.pending[reply.Seq]; ok && request.to == from {
		delete(g.tokenRequests.pending, reply.Seq)
		request.replies <- reply
	}
}

// newClockOffset returns a random offset for the times in messages, so that replies to messages of an
// earlier process at this address are recognized (see toLocalClock).
func newClockOffset() time.Duration { return 1 + time.Duration(rand.Int64N(1<<61)) }

// toLocalClock converts the time in Update.Freshness to this process's clock. It drops Freshness if the
// time is in the future: then the update is for an earlier process, whose clock had another offset.
func (g *Gateway) toLocalClock(now time.Duration, update delivery.Update) delivery.Update {
	if update.Freshness == nil {
		return update
	}
	local := *update.Freshness
	local.AskedAt -= g.clockOffset
	update.Freshness = &local
	if local.AskedAt > now { // a time far in the past needs no check, it is too old anyway
		update.Freshness = nil
	}
	return update
}

// extendKeyLease extends the lease of the API keys according to the age of the records in an update.
// The lease counts from before the request was sent, so a delayed reply cannot make it last too long.
func (g *Gateway) extendKeyLease(now time.Duration, update delivery.Update) {
	update = g.toLocalClock(now, update)
	if update.Freshness == nil {
		return
	}
	until := update.Freshness.AskedAt - update.Freshness.Age + g.settings.KeyLeaseDuration()
	if int64(until) > g.keyLeaseUntil.Load() {
		g.keyLeaseUntil.Store(int64(until))
	}
}
