package upstream

// This file averages the load of each service, which gateways tell each other by zone.

import (
	"maps"
	"math"
	"time"
)

// SetLoads takes the loads of all zones.
func (s *Balancer) SetLoads(now time.Duration, loads Loads) {
	s.loads = loads
	for _, v := range s.services {
		if !maps.Equal(s.lend(v), v.lent) {
			s.assign(now)
			s.serveAll(now)
			return
		}
	}
}

// Loads are this gateway's own.
func (s *Balancer) Loads() map[string]float64 {
	out := map[string]float64{}
	for name, v := range s.services {
		if v.load > 0.05 {
			out[name] = math.Round(v.load*10) / 10
		}
	}
	return out
}

// average brings the services' loads up to date.
func (s *Balancer) average(now time.Duration) {
	part := 1 - math.Exp(-(now-s.loadAt).Seconds()/loadSpan.Seconds())
	s.loadAt = now
	for _, v := range s.services {
		busy := len(v.waiting)
		for _, u := range v.ups {
			busy += u.Busy
		}
		v.load += (float64(busy) - v.load) * part
	}
}

// loadSpan is the time over which loads are averaged: some requests long.
const loadSpan = 1500 * time.Millisecond
