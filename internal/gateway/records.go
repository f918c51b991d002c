package gateway

import (
	"maps"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/delivery"
	"madderwing/internal/settings"
	"madderwing/internal/upstream"
)

// This file holds how the records that control nodes send are collected and put into force.

// applyRecords applies the records of an update, and what it says about the records that this gateway
// holds.
func (g *Gateway) applyRecords(now time.Duration, from string, update delivery.Update) {
	local := g.toLocalClock(now, update)
	switch {
	case !g.initialSync.Completed():
		g.collectRecords(now, from, local)
	case g.initialSync.Supersedes(from, local):
		return
	default:
		g.mergeRecords(now, from, local)
	}
	if !g.initialSync.Completed() {
		return
	}
	if g.settings.RevocationBounded() {
		g.extendKeyLease(now, update)
	}
	g.readiness.confirmItems(now, local, settings.Seconds(g.settings.Bounds.ContactS))
	if g.readiness.itemsConfirmed.Load() {
		g.handler.SetTableComplete()
	}
}

// collectRecords adds an update to the first whole copy of the records, and puts it into force once it is
// whole.
func (g *Gateway) collectRecords(now time.Duration, from string, update delivery.Update) {
	effect, err := g.initialSync.Apply(now, from, update)
	if err != nil {
		g.logDamagedPack(from, err)
	}
	if effect.Whole != nil {
		g.configCopy = effect.Whole
	}
	if effect.Changed || effect.Whole != nil {
		g.sendWatch(now, from) // for the rest, or for the confirmation of what has arrived
	}
	g.builder.Decode(effect.Received) // while the control node prepares the rest
	if effect.Whole == nil {
		return
	}
	g.log.Info("first whole copy of the configuration", "from", from, "records", len(g.configCopy.Records), "afterMs", now.Milliseconds())
	g.applyConfig()
}

// mergeRecords adds an update to the records. They are put into force once all of the control node's
// records have arrived, or after a heartbeat interval.
func (g *Gateway) mergeRecords(now time.Duration, from string, update delivery.Update) {
	changed, err := g.configCopy.Apply(update)
	if err != nil {
		g.logDamagedPack(from, err)
	}
	if changed && update.More {
		g.sendWatch(now, from)
		g.partial.begin(from, func() { g.commands <- g.applyPartial }, g.settings.HeartbeatInterval())
		return
	}
	switch g.partial.from {
	case "":
		if changed {
			g.applyConfig()
		}
	case from:
		g.partial.end()
		g.applyConfig()
	}
}

// applyPartial puts records into force although the control node that sends them has more.
func (g *Gateway) applyPartial(time.Duration) {
	if g.partial.from != "" {
		g.partial.end()
		g.applyConfig()
	}
}

// partialApply delays putting records into force while the control node that sends them has more, so
// that the routes of a host come into force together.
type partialApply struct {
	from  string // the control node; empty: nothing is delayed
	timer *time.Timer
}

// begin starts the delay unless it has started before; expire is called when it has lasted for limit.
func (p *partialApply) begin(from string, expire func(), limit time.Duration) {
	if p.from == "" {
		p.from, p.timer = from, time.AfterFunc(limit, expire)
	}
}

func (p *partialApply) end() {
	p.timer.Stop()
	p.from = ""
}

func (g *Gateway) logDamagedPack(from string, err error) {
	g.log.Warn("update with a damaged pack of records rejected", "from", from, "error", err)
}

// applyConfig puts the current records into force.
func (g *Gateway) applyConfig() {
	table := g.builder.Build(g.configCopy.Records)
	infos := map[string]upstream.ServiceInfo{}
	for name, service := range table.Services {
		infos[name] = upstream.ServiceInfo{MaxConns: service.MaxConns, HealthPath: service.HealthPath, WarmupS: service.WarmupS, WarmupPerS: service.WarmupPerS}
	}
	evacuated := g.evacuatedZones(table)
	placements := table.ServiceShards()
	versions := map[string]upstream.ServiceVersions{}
	for name, v := range table.Versions {
		serviceVersions := upstream.ServiceVersions{Stable: v.StandingVersion(), SetByRollout: v.Ordered()}
		if active := v.Active(); active != nil {
			serviceVersions.Candidate = active.Candidate
		}
		versions[name] = serviceVersions
	}
	g.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) {
		balancer.SetServices(now, infos, placements)
		balancer.SetVersions(now, versions)
		balancer.SetEvacuated(now, evacuated)
	})
	g.arms.SetPlans(table.Versions)
	g.reportRollouts()
	g.handler.SetTable(table)
	g.listener.SetLimits(table.Limits)
	g.readiness.hasItems.Store(table.HasItems)
}

// evacuatedZones returns the zones that get no requests. It logs changes with the generations of the
// evacuations.
func (g *Gateway) evacuatedZones(table *config.Table) map[string]bool {
	if !maps.Equal(table.Evacuated, g.evacuations) {
		g.log.Info("evacuations in force", "generationByZone", table.Evacuated)
		g.evacuations = table.Evacuated
	}
	zones := map[string]bool{}
	for zone := range table.Evacuated {
		zones[zone] = true
	}
	return zones
}
