package upstream

// This file finds out which upstreams are there and how warm they are: first connections, trials after a failure, probes.

import (
	"time"
)

// Probe is a question for an upstream's warmth.
type Probe struct {
	Upstream    *Upstream
	ID, Address string
	Path        string
}

// doubt treats an upstream whose warmth is not known as cold, until the
// platform's word on it must have arrived or the upstream itself has been asked.
func (s *Balancer) doubt(now time.Duration, u *Upstream) {
	info := s.infos[u.Service]
	u.coldTill = max(u.coldTill, now+time.Duration(info.WarmupS*float64(time.Second))+s.cfg.Lag)
	s.ask(u)
}

// ask asks an upstream how long it stays cold, if that is this gateway's to do.
func (s *Balancer) ask(u *Upstream) {
	path := s.infos[u.Service].HealthPath
	u.outdated = u.asking
	if (u.home || s.sends(u)) && !u.asking && s.poolFor(u) != nil && path != "" {
		u.asking = true
		s.Probes = append(s.Probes, Probe{u, u.ID, u.Address, path})
	}
}

// Probed takes the answer to a probe: how much longer the upstream stays cold.
// Without one (ok is false) it goes on counting as cold. One to a question asked before
// its warmth came into doubt again tells nothing, and it is asked anew.
func (s *Balancer) Probed(now time.Duration, u *Upstream, left time.Duration, ok bool) {
	u.asking = false
	if u.outdated {
		u.outdated = false
		if !u.gone && !s.evacuated[u.Zone] {
			s.ask(u)
		}
		return
	}
	if ok && !s.evacuated[u.Zone] {
		u.coldTill = now + left
		s.serve(now, u.pool)
	}
}

// prove opens a first connection to upstreams that this gateway uses first: the
// warm pools of the services whose routes are bound to its shard, and, whatever
// the shard, to those that have newly appeared, so that no request has to find
// out whether they are there yet. While gateways come and go, who uses what first
// changes too often: it waits for a calm.
func (s *Balancer) prove(now time.Duration) {
	s.unproven = now < s.calmAt || len(s.gateways) == 0
	if s.unproven {
		return
	}
	for _, v := range s.services {
		for _, u := range v.homes {
			if !u.fresh && !s.holds(u.Service) {
				continue
			}
			if !u.proven && !u.trying && u.until == 0 {
				u.trying = true
				s.Trials = append(s.Trials, u)
			}
		}
	}
}

// holds says whether this gateway is of the shard that has a service's routes, or
// no shard has them yet.
func (s *Balancer) holds(service string) bool {
	shard, bound := s.bound[service]
	return !bound || s.shards[s.cfg.Self] == shard
}

// eject keeps requests from an upstream for a while that grows.
func (s *Balancer) eject(now time.Duration, u *Upstream) {
	if now < u.until || u.trying {
		return
	}
	pause := s.cfg.Eject << min(u.failures, 6)
	u.failures++
	u.until = now + min(pause, s.cfg.EjectMax)
	s.drop(u)
}

// Tried tells how a trial connection went.
func (s *Balancer) Tried(now time.Duration, u *Upstream, conn *Conn) {
	u.trying = false
	if conn == nil {
		u.until = 0
		s.eject(now, u)
		return
	}
	if u.gone || s.evacuated[u.Zone] || s.poolFor(u) == nil {
		s.Closed = append(s.Closed, conn)
		return
	}
	if u.failures > 0 && u.proven {
		s.doubt(now, u) // it was silent; it may have gone cold meanwhile
	}
	u.proven = true
	u.idle = append(u.idle, conn)
	s.serve(now, u.pool)
}
