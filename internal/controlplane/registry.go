package controlplane

import (
	"net"
	"slices"
	"strconv"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/delivery"
	"madderwing/internal/membership"
	"madderwing/internal/quota"
	"madderwing/internal/registry"
	"madderwing/internal/settings"
)

// What a control node does beside where clients ask a registry: it answers them, it
// lends tenants' quotas while it owns the catalogue, and it holds the answer to
// a call that takes a key away until no gateway can rely on that key.

// serveRegistry makes ready for that.
func (a *Node) serveRegistry() {
	b := a.set.Bounds
	// A gateway that leaves is missing from the answers for longer than they hold
	// before it closes its door.
	ttl := settings.Seconds(b.GraceS * 0.4)
	if b.TTLMaxS > 0 {
		ttl = min(ttl, settings.Seconds(b.TTLMaxS))
	}
	a.directory = registry.NewDirectory(ttl, func(host string) []string {
		if t := a.table.Load(); t != nil {
			return t.Residency(host)
		}
		return nil
	})
	// While an owner is replaced, which takes less than contactS, its answers go on: they
	// rest on what nodes say of themselves. So do those of a control node that has just started.
	// The control nodes of a side that was cut off end.
	a.directory.InContact = func() bool { return a.lately(time.Since(a.start)) }
	a.lender = quota.NewLender(quota.LenderConfig{Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack,
		Window: settings.Seconds(b.QuotaWindowS), Life: settings.Seconds(b.ContactS * 0.7), Sure: settings.Seconds(b.ContactS * vacantPart),
		Branches: a.branches})
	a.purse = &quota.Purse{Life: a.life, Patience: settings.Seconds(b.ContactS / 20)}
}

// branches are the control nodes that may hold shares: the members, and those whose seats have
// gone so lately that their shares may not have lapsed.
func (a *Node) branches() []string {
	out := a.member.Roster()
	now := time.Since(a.start)
	for id, at := range a.seated {
		switch {
		case slices.Contains(out, id):
			a.seated[id] = now
		case now-at <= settings.Seconds(a.set.Bounds.ContactS):
			out = append(out, id)
		default:
			delete(a.seated, id)
		}
	}
	for _, id := range out {
		if _, ok := a.seated[id]; !ok {
			a.seated[id] = now
		}
	}
	slices.Sort(out)
	return out
}

// lately says that this control node was in contact with a majority within contactS, or has
// not been up for longer than that.
func (a *Node) lately(now time.Duration) bool {
	contactS := settings.Seconds(a.set.Bounds.ContactS)
	return now < contactS || a.contact.within(now, contactS)
}

// openGateways lists the gateways for the registry.
func (a *Node) openGateways(l *membership.List) (out []registry.Gateway) {
	for _, n := range l.Nodes {
		if n.Plane != membership.Data || n.State > membership.Suspect || n.Front == 0 {
			continue
		}
		host, _, err := net.SplitHostPort(n.Address)
		if err != nil {
			continue
		}
		out = append(out, registry.Gateway{Address: net.JoinHostPort(host, strconv.Itoa(int(n.Front))), Zone: n.Zone,
			Region: a.set.RegionOf(n.Zone), Open: n.State == membership.Alive && !n.Draining})
	}
	return out
}

// newItems takes over what of the items concerns the registry and the lender.
func (a *Node) newItems() {
	if a.lender == nil {
		return
	}
	a.quotas = config.Quotas(a.shown.Records, &a.routes)
	a.purse.SetLimits(a.quotas)
	a.table.Store(a.tables.Build(a.shown.Records))
}

// lend begins or ends lending with the ownership of the catalogue.
func (a *Node) lend(now time.Duration) {
	t, ok := a.member.Tenure(now, config.Key)
	if !ok {
		a.lender.End()
		return
	}
	if last, lending := a.lender.Lending(); !lending || last != t.Epoch {
		a.lender.Begin(now, t.Epoch, t.Free, t.Heir)
		a.recallAt = 0
		a.lentBy, a.lendWhole, a.lendAt = a.post.Self(), true, now // its own branch is the first to be heard
	}
	a.lender.Tick(now)
	if silent := a.lender.Silent(); len(silent) > 0 && now >= a.recallAt {
		a.recallAt = now + a.set.Beat()/5
		for _, id := range silent {
			a.post.Send(id, delivery.RecallKind, quota.Recall{Term: t.Epoch})
		}
	}
}

// lendTo answers a branch's report.
func (a *Node) lendTo(now time.Duration, from string, r quota.Report) {
	a.lend(now)
	t, ok := a.member.Tenure(now, config.Key)
	if !ok {
		return
	}
	loan, ok := a.lender.Report(now, t.Sure, from, r, a.quotas)
	switch {
	case !ok:
	case from == a.post.Self():
		a.lent(now, loan)
	default:
		a.post.Send(from, delivery.LoanKind, loan)
	}
}

// branch reports to the lender at every beat, and at once to a new one.
func (a *Node) branch(now, beat time.Duration) {
	a.purse.Expire(now)
	// A control node that has lost its memory knows no owner; the lender calls it.
	if owner := a.member.Owner(now, config.Key); owner != "" && owner != a.lentBy {
		a.lentBy, a.lendWhole, a.lendAt = owner, true, now
	}
	if now >= a.lendAt {
		a.lendAt, a.lendWhole = now+beat, true
		a.report(now)
	}
}

// report reports to the lender, unless its last answer is still awaited.
func (a *Node) report(now time.Duration) {
	if a.lentBy == "" || a.purse.Awaits(now) {
		return
	}
	r := a.purse.Report(now, a.lendWhole)
	a.lendWhole = false
	if a.lentBy == a.post.Self() {
		a.lendTo(now, a.lentBy, r)
	} else {
		a.post.Send(a.lentBy, delivery.ReportKind, r)
	}
}

// lent takes the lender's answer.
func (a *Node) lent(now time.Duration, l quota.Loan) {
	a.purse.Lent(now, l)
	if a.lendWhole || a.purse.Waiting() {
		a.report(now)
	}
}

// drawFor draws on a tenant's quota for a gateway.
func (a *Node) drawFor(now time.Duration, from string, d quota.Draw) {
	// Lent shares lapse by themselves; that a tenant has no limit may be no longer so.
	if a.purse.Unlimited(d.Tenant) && !a.lately(now) {
		a.post.Send(from, delivery.DrawnKind, quota.Drawn{Seq: d.Seq, Away: true})
		return
	}
	ask := a.purse.Take(now, d.Tenant, func(g quota.Grant) {
		a.post.Send(from, delivery.DrawnKind, quota.Drawn{Seq: d.Seq, OK: g == quota.Granted, Away: g == quota.Unknown})
	})
	if ask {
		a.report(now)
	}
}

// held says how much longer the answer to a call that names tenants is to wait:
// until the leases have lapsed under which a gateway that has not heard of it may go
// on using a key. An owner that follows another does not know when that one last
// took a key away.
func (a *Node) held(now time.Duration) time.Duration {
	hold := a.set.HoldRevocation()
	if hold == 0 {
		return 0
	}
	left := time.Duration(0)
	if t, _ := a.member.Tenure(now, config.Key); t.Heir {
		left = t.Since + hold - now
	}
	if a.revokedAt > 0 {
		left = max(left, a.revokedAt+hold-now)
	}
	return max(left, 0)
}
