package upstream

// This file shows upstreams to operators.

import (
	"sort"
	"time"
)

// State is an upstream as status shows it.
type State struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version,omitempty"`
	Home    bool   `json:"home"`
	Cold    bool   `json:"cold"`
	Ejected bool   `json:"ejected"`
	Busy    int    `json:"busy"`
	Idle    int    `json:"idle"`
	Served  uint64 `json:"served"`
	Failed  uint64 `json:"failed"`
}

// States shows the upstreams.
func (s *Balancer) States(now time.Duration) (out []State) {
	for _, u := range s.ups {
		out = append(out, State{u.ID, u.Service, u.Address, u.Zone, u.Version, u.home, u.Cold(now), now < u.until || u.trying,
			u.Busy, len(u.idle), u.Served, u.Failed})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
