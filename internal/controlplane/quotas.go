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

// quotaController lends tenants' quotas while this control node owns the configuration, and draws on
// what was lent to it for gateways. It exists only where tenants have quotas.
type quotaController struct {
	*environment
	configuration *configuration

	lender   *quota.Allocator
	purse    *quota.LocalQuota
	quotas   map[string]quota.Quota // of the tenants, as configured
	reportAt time.Duration          // when the next report to the allocator is due
	recallAt time.Duration          // when silent branches may be called again
	lentBy   string                 // the allocator that was last reported to
	// reportWhole says that the next report names all shares.
	reportWhole bool
	seated      map[string]time.Duration // when a branch was last seen to have a seat
}

func newQuotaController(env *environment, shown *configuration) *quotaController {
	c := &quotaController{environment: env, configuration: shown, seated: map[string]time.Duration{}}
	b := env.set.Bounds
	c.lender = quota.NewAllocator(quota.AllocatorConfig{Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack,
		Window: settings.Seconds(b.QuotaWindowS), Life: settings.Seconds(b.ContactS * 0.7), Sure: settings.Seconds(b.ContactS * vacantPart),
		Branches: c.branches})
	c.purse = quota.NewLocalQuota(env.life, rand.Uint64(), settings.Seconds(b.ContactS/20))
	return c
}

// handle takes the messages of allocators, branches and gateways.
func (c *quotaController) handle() {
	transport.On(c.post, delivery.ReportKind, func(from string, r quota.Report) {
		c.offer(func(now time.Duration) { c.lendTo(now, from, r) })
	})
	transport.On(c.post, delivery.RecallKind, func(from string, r quota.Recall) {
		c.offer(func(now time.Duration) { c.recalled(now, from, r) })
	})
	transport.On(c.post, delivery.AllocationKind, func(_ string, l quota.Allocation) {
		c.offer(func(now time.Duration) { c.lent(now, l) })
	})
	transport.On(c.post, delivery.AcquireKind, func(from string, d quota.AcquireRequest) {
		c.offer(func(now time.Duration) { c.drawFor(now, from, d) })
	})
	transport.On(c.post, delivery.ReturnKind, func(_ string, r quota.Return) {
		c.offer(func(now time.Duration) { c.purse.GiveBack(now, r.Life, r.Tenant) })
	})
}

// tick is due at every tick of the pump.
func (c *quotaController) tick(now time.Duration) {
	c.lend(now)
	c.branch(now)
}

// branches are the control nodes that may hold shares: the members, and those whose seats have
// gone so lately that their shares may not have lapsed.
func (c *quotaController) branches() []string {
	out := c.member.Roster()
	now := c.now()
	for id, at := range c.seated {
		switch {
		case slices.Contains(out, id):
			c.seated[id] = now
		case now-at <= settings.Seconds(c.set.Bounds.ContactS):
			out = append(out, id)
		default:
			delete(c.seated, id)
		}
	}
	for _, id := range out {
		if _, ok := c.seated[id]; !ok {
			c.seated[id] = now
		}
	}
	slices.Sort(out)
	return out
}

// setConfiguration takes over the tenants' quotas.
func (c *quotaController) setConfiguration() {
	c.quotas = config.Quotas(c.configuration.shown.Records, &c.configuration.reader)
	c.purse.SetLimits(c.quotas)
}

// lend begins or ends lending with the ownership of the configuration.
func (c *quotaController) lend(now time.Duration) {
	t, ok := c.member.Tenure(now, config.Key)
	if !ok {
		c.lender.End()
		return
	}
	if last, lending := c.lender.Lending(); !lending || last != t.Epoch {
		c.lender.Begin(now, t.Epoch, t.Free, t.Heir)
		c.recallAt = 0
		c.reportTo(now, c.post.Self()) // its own branch is the first to be heard
	}
	c.lender.Tick(now)
	if silent := c.lender.Silent(); len(silent) > 0 && now >= c.recallAt {
		c.recallAt = now + c.set.Beat()/5
		for _, id := range silent {
			c.post.Send(id, delivery.RecallKind, quota.Recall{Term: t.Epoch})
		}
	}
}

// lendTo answers a branch's report.
func (c *quotaController) lendTo(now time.Duration, from string, r quota.Report) {
	c.lend(now)
	t, ok := c.member.Tenure(now, config.Key)
	if !ok {
		return
	}
	loan, ok := c.lender.Report(now, t.Sure, from, r, c.quotas)
	switch {
	case !ok:
	case from == c.post.Self():
		c.lent(now, loan)
	default:
		c.post.Send(from, delivery.AllocationKind, loan)
	}
}

// recalled takes an allocator's call for a report.
func (c *quotaController) recalled(now time.Duration, from string, r quota.Recall) {
	if c.purse.Heeds(c.post.Self(), from, r.Term) {
		c.lender.End()
		c.reportTo(now, from)
	}
}

// reportTo makes the next report one of all shares to an allocator, due at once.
func (c *quotaController) reportTo(now time.Duration, lender string) {
	c.lentBy, c.reportWhole, c.reportAt = lender, true, now
}

// branch reports to the allocator at every beat, and at once to a new one.
func (c *quotaController) branch(now time.Duration) {
	c.purse.Expire(now)
	// A control node that has lost its memory knows no owner; the allocator calls it.
	if owner := c.member.Owner(now, config.Key); owner != "" && owner != c.lentBy {
		c.reportTo(now, owner)
	}
	if now >= c.reportAt {
		c.reportAt, c.reportWhole = now+c.set.Beat(), true
		c.report(now)
	}
}

// report reports to the allocator, unless its last answer is still awaited.
func (c *quotaController) report(now time.Duration) {
	if c.lentBy == "" || c.purse.Awaits(now) {
		return
	}
	r := c.purse.Report(now, c.reportWhole)
	c.reportWhole = false
	if c.lentBy == c.post.Self() {
		c.lendTo(now, c.lentBy, r)
	} else {
		c.post.Send(c.lentBy, delivery.ReportKind, r)
	}
}

// lent takes the allocator's answer.
func (c *quotaController) lent(now time.Duration, l quota.Allocation) {
	c.purse.Lent(now, l)
	if c.reportWhole || c.purse.Waiting() {
		c.report(now)
	}
}

// drawFor draws on a tenant's quota for a gateway.
func (c *quotaController) drawFor(now time.Duration, from string, d quota.AcquireRequest) {
	// Lent shares lapse by themselves; that a tenant has no limit may be no longer so.
	if c.purse.Unlimited(d.Tenant) && !c.lately(now) {
		c.post.Send(from, delivery.AcquireReplyKind, quota.AcquireReply{Seq: d.Seq, Away: true})
		return
	}
	ask := c.purse.Take(now, d.Tenant, func(g quota.Grant) {
		c.post.Send(from, delivery.AcquireReplyKind, quota.AcquireReply{Seq: d.Seq, OK: g == quota.Granted, Away: g == quota.Unknown, Life: c.purse.Life})
	})
	if ask {
		c.report(now)
	}
}

// states shows the tenants, without their keys, and who lends their quotas.
func (c *quotaController) states() (tenants []TenantState, quotas *Quotas) {
	for _, t := range config.Tenants(c.configuration.shown.Records, &c.configuration.reader) {
		tenants = append(tenants, TenantState{t.Name, len(t.APIKeys), t.Priority, t.RatePerS, t.Burst, t.Residency, t.Generation})
	}
	quotas = &Quotas{Lender: c.lentBy}
	if _, lending := c.lender.Lending(); lending {
		quotas.Silent = c.lender.Silent()
		for _, t := range tenants {
			if t.RatePerS > 0 {
				quotas.Loans = append(quotas.Loans, c.lender.State(t.Name, quota.Quota{Rate: t.RatePerS, Burst: t.Burst}))
			}
		}
	}
	return tenants, quotas
}
