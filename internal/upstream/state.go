package upstream

// This file reports the state of the upstreams to operators.

import (
	"sort"
	"time"
)

// Status is the state of an upstream as shown in the gateway's status.
type Status struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version,omitempty"`
	Primary bool   `json:"home"` // a primary upstream of this gateway
	Cold    bool   `json:"cold"`
	Ejected bool   `json:"ejected"`
	Busy    int    `json:"busy"`
	Idle    int    `json:"idle"`
	Served  uint64 `json:"served"`
	Failed  uint64 `json:"failed"`
}

// Statuses returns the state of all upstreams, by ID.
func (b *Balancer) Statuses(now time.Duration) (out []Status) {
	for _, u := range b.upstreams {
		out = append(out, Status{u.ID, u.Service, u.Address, u.Zone, u.Version, u.primary, u.Cold(now), now < u.ejectedUntil || u.trialPending,
			u.InFlight, len(u.idle), u.Served, u.Failed})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
