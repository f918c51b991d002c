package config

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Render returns the existing items in the form of the upsert part of a configuration request.
func Render(records map[string]Record) []byte {
	names := make([]string, 0, len(records))
	for name, record := range records {
		if !record.Dropped {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var services, tenants []json.RawMessage
	var limits json.RawMessage
	hosts := map[string][]json.RawMessage{}
	var hostOrder []string
	for _, name := range names {
		item := decodeItem(records[name])
		switch {
		case strings.HasPrefix(name, servicePrefix):
			services = append(services, item.Raw)
		case strings.HasPrefix(name, tenantPrefix):
			tenants = append(tenants, item.Raw)
		case name == limitsName:
			limits = item.Raw
		case strings.HasPrefix(name, routePrefix):
			if _, ok := hosts[item.Host]; !ok {
				hostOrder = append(hostOrder, item.Host)
			}
			hosts[item.Host] = append(hosts[item.Host], item.Raw)
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
	for _, host := range hostOrder {
		out.Domains = append(out.Domains, domain{host, hosts[host]})
	}
	body, err := json.Marshal(out)
	if err != nil {
		return []byte(fmt.Sprintf("{%q:%q}", "error", err))
	}
	return body
}
