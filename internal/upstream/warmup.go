package upstream

// This file finds out which upstreams can be reached and whether they have warmed up: first connections,
// trial connections after a failure, and probes.

import (
	"time"
)

// Probe is a health request that asks an upstream for its remaining warm-up time.
type Probe struct {
	Upstream    *Upstream
	ID, Address string
	Path        string
}

// assumeCold treats an upstream whose warm-up state is unknown as cold, until it responds to a probe,
// or until it must have warmed up and any list that shows it as cold must have arrived.
func (b *Balancer) assumeCold(now time.Duration, u *Upstream) {
	info := b.serviceInfos[u.Service]
	u.coldUntil = max(u.coldUntil, now+time.Duration(info.WarmupS*float64(time.Second))+b.cfg.MaxListAge)
	b.probeWarmup(u)
}

// probeWarmup asks an upstream how long it stays cold, if this gateway is one of those that
// send to it. If a probe is already in flight, that one is marked stale instead.
func (b *Balancer) probeWarmup(u *Upstream) {
	healthPath := b.serviceInfos[u.Service].HealthPath
	u.probeStale = u.probing
	if (u.primary || b.isColdSender(u)) && !u.probing && b.poolOf(u) != nil && healthPath != "" {
		u.probing = true
		b.PendingProbes = append(b.PendingProbes, Probe{u, u.ID, u.Address, healthPath})
	}
}

// ProbeDone handles the result of a probe: how much longer the upstream stays cold. Without a valid
// response (ok is false) it still counts as cold. The result of a stale probe is ignored, and the
// upstream is probed again.
func (b *Balancer) ProbeDone(now time.Duration, u *Upstream, warmupLeft time.Duration, ok bool) {
	u.probing = false
	if u.probeStale {
		u.probeStale = false
		if !u.retired && !b.evacuated[u.Zone] {
			b.probeWarmup(u)
		}
		return
	}
	if ok && !b.evacuated[u.Zone] {
		u.coldUntil = now + warmupLeft
		b.dispatch(now, u.pool)
	}
}

// verifyPrimaries opens a first connection to primary upstreams of services whose routes are
// bound to this gateway's shard or to none, and to all newly listed primaries, so that no
// request has to wait for an upstream that cannot be reached yet. It waits until the set of gateways
// is stable, since the primaries change too often while gateways come and go.
func (b *Balancer) verifyPrimaries(now time.Duration) {
	b.verifyPending = now < b.stableAt || len(b.gateways) == 0
	if b.verifyPending {
		return
	}
	for _, pool := range b.pools {
		for _, u := range pool.primaries {
			if !u.newlyListed && !b.shardServes(u.Service) {
				continue
			}
			if !u.verified && !u.trialPending && u.ejectedUntil == 0 {
				u.trialPending = true
				b.PendingTrials = append(b.PendingTrials, u)
			}
		}
	}
}

// shardServes reports whether the routes of a service are bound to this gateway's shard, or to no shard yet.
func (b *Balancer) shardServes(service string) bool {
	shard, bound := b.serviceShard[service]
	return !bound || b.gatewayShards[b.cfg.Self] == shard
}

// eject keeps requests from an upstream, for a time that doubles with each failure up to a maximum.
func (b *Balancer) eject(now time.Duration, u *Upstream) {
	if now < u.ejectedUntil || u.trialPending {
		return
	}
	duration := b.cfg.EjectTime << min(u.failures, 6)
	u.failures++
	u.ejectedUntil = now + min(duration, b.cfg.MaxEjectTime)
	b.closeIdle(u)
}

// TrialDone handles the result of a trial connection; conn is nil if it failed.
func (b *Balancer) TrialDone(now time.Duration, u *Upstream, conn *Conn) {
	u.trialPending = false
	if conn == nil {
		u.ejectedUntil = 0
		b.eject(now, u)
		return
	}
	if u.retired || b.evacuated[u.Zone] || b.poolOf(u) == nil {
		b.ConnsToClose = append(b.ConnsToClose, conn)
		return
	}
	if u.failures > 0 && u.verified {
		b.assumeCold(now, u) // it may have restarted meanwhile and be cold
	}
	u.verified = true
	u.idle = append(u.idle, conn)
	b.dispatch(now, u.pool)
}
