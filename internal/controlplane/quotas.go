package controlplane

import (
	"math/rand/v2"
	"slices"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/delivery"
	"madderwing/internal/quota"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
)

// quotaController allocates shares of tenants' quotas to control nodes while this one owns the
// configuration, and grants gateways' requests from the share of this node. Package quota calls the
// former the allocator and the latter a local quota. It exists only where tenants have quotas.
type quotaController struct {
	*environment
	configuration *configuration

	allocator    *quota.Allocator
	local        *quota.LocalQuota
	configured   map[string]quota.Quota   // of the tenants, as configured
	nextReportAt time.Duration            // when the next report to the allocator is due
	nextRecallAt time.Duration            // when control nodes that have not reported may be recalled again
	allocatorID  string                   // the allocator that was last reported to
	fullReport   bool                     // the next report names all shares
	lastVoterAt  map[string]time.Duration // when a holder of allocations was last a voter
}

func newQuotaController(env *environment, configuration *configuration) *quotaController {
	c := &quotaController{environment: env, configuration: configuration, lastVoterAt: map[string]time.Duration{}}
	bounds := env.settings.Bounds
	c.allocator = quota.NewAllocator(quota.AllocatorConfig{Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack,
		Window: settings.Seconds(bounds.QuotaWindowS), ShareLifetime: settings.Seconds(bounds.ContactS * 0.7), MaxConfirmationAge: settings.Seconds(bounds.ContactS * ownerTimeoutFraction),
		Nodes: c.allocationHolders})
	c.local = quota.NewLocalQuota(env.runID, rand.Uint64(), settings.Seconds(bounds.ContactS/20))
	return c
}

// registerHandlers registers the handlers for messages of allocators, local quotas and gateways.
func (c *quotaController) registerHandlers() {
	transport.HandleMessage(c.endpoint, delivery.ReportKind, func(from string, r quota.Report) {
		c.tryEnqueue(func(now time.Duration) { c.handleReport(now, from, r) })
	})
	transport.HandleMessage(c.endpoint, delivery.RecallKind, func(from string, r quota.Recall) {
		c.tryEnqueue(func(now time.Duration) { c.handleRecall(now, from, r) })
	})
	transport.HandleMessage(c.endpoint, delivery.AllocationKind, func(_ string, allocation quota.Allocation) {
		c.tryEnqueue(func(now time.Duration) { c.handleAllocation(now, allocation) })
	})
	transport.HandleMessage(c.endpoint, delivery.AcquireKind, func(from string, request quota.AcquireRequest) {
		c.tryEnqueue(func(now time.Duration) { c.acquireFor(now, from, request) })
	})
	transport.HandleMessage(c.endpoint, delivery.ReturnKind, func(_ string, r quota.Return) {
		c.tryEnqueue(func(now time.Duration) { c.local.ReturnToken(now, r.RunID, r.Tenant) })
	})
}

// tick advances the allocator and the local quota. It runs at every tick of the event loop.
func (c *quotaController) tick(now time.Duration) {
	c.updateAllocator(now)
	c.updateLocalQuota(now)
}

// allocationHolders lists the control nodes that may hold allocations: the voters, and those that
// were voters within contactS, so that their allocations may not have expired.
func (c *quotaController) allocationHolders() []string {
	holders := c.replica.Voters()
	now := c.now()
	for id, at := range c.lastVoterAt {
		switch {
		case slices.Contains(holders, id):
			c.lastVoterAt[id] = now
		case now-at <= settings.Seconds(c.settings.Bounds.ContactS):
			holders = append(holders, id)
		default:
			delete(c.lastVoterAt, id)
		}
	}
	for _, id := range holders {
		if _, ok := c.lastVoterAt[id]; !ok {
			c.lastVoterAt[id] = now
		}
	}
	slices.Sort(holders)
	return holders
}

// setConfiguration updates the tenants' quotas.
func (c *quotaController) setConfiguration() {
	c.configured = config.Quotas(c.configuration.published.Records, &c.configuration.decoder)
	c.local.SetLimits(c.configured)
}

// updateAllocator starts and stops allocating as this node gains and loses the ownership of the
// configuration, and asks control nodes that have not reported to do so.
func (c *quotaController) updateAllocator(now time.Duration) {
	term, ok := c.replica.OwnershipTerm(now, config.Partition)
	if !ok {
		c.allocator.Deactivate()
		return
	}
	if last, allocating := c.allocator.Active(); !allocating || last != term.Epoch {
		c.allocator.Activate(now, term.Epoch, term.PredecessorUntil, term.Inherited)
		c.nextRecallAt = 0
		c.switchAllocator(now, c.endpoint.Address()) // its own local quota reports first
	}
	c.allocator.Tick(now)
	if silent := c.allocator.UnreportedNodes(); len(silent) > 0 && now >= c.nextRecallAt {
		c.nextRecallAt = now + c.settings.HeartbeatInterval()/5
		for _, id := range silent {
			c.endpoint.Send(id, delivery.RecallKind, quota.Recall{Term: term.Epoch})
		}
	}
}

// handleReport answers the report of a control node's local quota.
func (c *quotaController) handleReport(now time.Duration, from string, r quota.Report) {
	c.updateAllocator(now)
	term, ok := c.replica.OwnershipTerm(now, config.Partition)
	if !ok {
		return
	}
	allocation, ok := c.allocator.Report(now, term.ConfirmedAt, from, r, c.configured)
	switch {
	case !ok:
	case from == c.endpoint.Address():
		c.handleAllocation(now, allocation)
	default:
		c.endpoint.Send(from, delivery.AllocationKind, allocation)
	}
}

// handleRecall answers an allocator's request for a report.
func (c *quotaController) handleRecall(now time.Duration, from string, r quota.Recall) {
	if c.local.ObeysRecall(c.endpoint.Address(), from, r.Term) {
		c.allocator.Deactivate()
		c.switchAllocator(now, from)
	}
}

// switchAllocator makes the next report a full one to the given allocator, due at once.
func (c *quotaController) switchAllocator(now time.Duration, allocatorID string) {
	c.allocatorID, c.fullReport, c.nextReportAt = allocatorID, true, now
}

// updateLocalQuota reports to the allocator once per heartbeat interval, and at once to a new one.
func (c *quotaController) updateLocalQuota(now time.Duration) {
	c.local.TimeOut(now)
	// A control node that lost its state knows no owner; it reports when the allocator recalls it.
	if owner := c.replica.Owner(now, config.Partition); owner != "" && owner != c.allocatorID {
		c.switchAllocator(now, owner)
	}
	if now >= c.nextReportAt {
		c.nextReportAt, c.fullReport = now+c.settings.HeartbeatInterval(), true
		c.sendReport(now)
	}
}

// sendReport reports to the allocator, unless its last answer is still awaited.
func (c *quotaController) sendReport(now time.Duration) {
	if c.allocatorID == "" || c.local.AwaitsReply(now) {
		return
	}
	r := c.local.Report(now, c.fullReport)
	c.fullReport = false
	if c.allocatorID == c.endpoint.Address() {
		c.handleReport(now, c.allocatorID, r)
	} else {
		c.endpoint.Send(c.allocatorID, delivery.ReportKind, r)
	}
}

// handleAllocation processes the allocator's answer.
func (c *quotaController) handleAllocation(now time.Duration, allocation quota.Allocation) {
	c.local.Apply(now, allocation)
	if c.fullReport || c.local.HasWaiting() {
		c.sendReport(now)
	}
}

// acquireFor takes from a tenant's quota for a request of a gateway.
func (c *quotaController) acquireFor(now time.Duration, from string, request quota.AcquireRequest) {
	// Allocated shares expire by themselves, but a node out of contact can't tell whether a tenant
	// without a limit has one by now.
	if c.local.Unlimited(request.Tenant) && !c.recentlyInContact(now) {
		c.endpoint.Send(from, delivery.AcquireReplyKind, quota.AcquireReply{Seq: request.Seq, Unknown: true})
		return
	}
	needsReport := c.local.Acquire(now, request.Tenant, func(g quota.Grant) {
		c.endpoint.Send(from, delivery.AcquireReplyKind, quota.AcquireReply{Seq: request.Seq, Granted: g == quota.Granted, Unknown: g == quota.Unknown, RunID: c.local.RunID})
	})
	if needsReport {
		c.sendReport(now)
	}
}

// states describes the tenants, without their keys, and the allocator of their quotas.
func (c *quotaController) states() (tenants []TenantState, quotas *Quotas) {
	for _, t := range config.Tenants(c.configuration.published.Records, &c.configuration.decoder) {
		tenants = append(tenants, TenantState{t.Name, len(t.APIKeys), t.Priority, t.RatePerS, t.Burst, t.Residency, t.Generation})
	}
	quotas = &Quotas{Allocator: c.allocatorID}
	if _, allocating := c.allocator.Active(); allocating {
		quotas.Silent = c.allocator.UnreportedNodes()
		for _, t := range tenants {
			if t.RatePerS > 0 {
				quotas.Allocations = append(quotas.Allocations, c.allocator.State(t.Name, quota.Quota{Rate: t.RatePerS, Burst: t.Burst}))
			}
		}
	}
	return tenants, quotas
}
