package config

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// This file holds how the items that stand are laid out for operators.

// Render lays out the items that stand as the operator's first call did.
func Render(have map[string]Record) []byte {
	names := make([]string, 0, len(have))
	for n, r := range have {
		if !r.Dropped {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	var services, tenants []json.RawMessage
	var limits json.RawMessage
	hosts := map[string][]json.RawMessage{}
	var order []string
	for _, n := range names {
		it := decodeItem(have[n])
		switch {
		case strings.HasPrefix(n, servicePrefix):
			services = append(services, it.Raw)
		case strings.HasPrefix(n, tenantPrefix):
			tenants = append(tenants, it.Raw)
		case n == limitsName:
			limits = it.Raw
		case strings.HasPrefix(n, routePrefix):
			if _, ok := hosts[it.Host]; !ok {
				order = append(order, it.Host)
			}
			hosts[it.Host] = append(hosts[it.Host], it.Raw)
		}
	}
	type domain struct {
		Authority  string            `json:"authority"`
		HostRoutes []json.RawMessage `json:"hostRoutes"`
	}
	out := struct {
		Tenants  []json.RawMessage `json:"tenants,omitempty"`
		Services []json.RawMessage `json:"services"`
		Limits   json.RawMessage   `json:"limits,omitempty"`
		Domains  []domain          `json:"domains"`
	}{Tenants: tenants, Services: services, Limits: limits, Domains: []domain{}}
	if services == nil {
		out.Services = []json.RawMessage{}
	}
	for _, h := range order {
		out.Domains = append(out.Domains, domain{h, hosts[h]})
	}
	b, err := json.Marshal(out)
	if err != nil {
		return []byte(fmt.Sprintf("{%q:%q}", "error", err))
	}
	return b
}
