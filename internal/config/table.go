package config

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"

	"madderwing/internal/quota"
	"madderwing/internal/rollout"
)

// Table is the lookup table for client requests. It is immutable; each change builds a new one.
type Table struct {
	routesByHost   map[string][]*Route // longest prefix first
	Services       map[string]*Service
	Limits         Limits
	Evacuated      map[string]uint64          // zone -> generation of its evacuation
	HasItems       bool                       // any item is known
	RequiresAPIKey bool                       // there are or were tenants, so requests need an API key
	TenantByKey    map[string]*Tenant         // by API key
	Versions       map[string]rollout.Service // by service
}

// Builder builds tables. It caches parsed items between builds.
type Builder struct {
	decoder  Decoder
	services map[string]builtService
}

type builtService struct {
	generation uint64
	service    *Service
}

// defaultLimits apply to limits that the operator has not set.
var defaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeoutS: 3, IdleTimeoutS: 15}

// Build returns the table for a set of records.
func (b *Builder) Build(records map[string]Record) *Table {
	if b.services == nil {
		b.services = map[string]builtService{}
	}
	table := &Table{routesByHost: map[string][]*Route{}, Services: map[string]*Service{}, Limits: defaultLimits,
		Evacuated: map[string]uint64{}, TenantByKey: map[string]*Tenant{}, Versions: rollout.DecodeServices(records)}
	for name, record := range records {
		if strings.HasPrefix(name, EvacuationPrefix) {
			zone := name[len(EvacuationPrefix):]
			if !record.Dropped {
				table.Evacuated[zone] = record.Gen
			}
			continue
		}
		if rollout.HoldsVersion(name) {
			continue
		}
		table.HasItems = true
		table.RequiresAPIKey = table.RequiresAPIKey || strings.HasPrefix(name, tenantPrefix)
		if record.Dropped {
			delete(b.decoder.routes, name)
			delete(b.decoder.tenants, name)
			delete(b.services, name)
			continue
		}
		switch {
		case strings.HasPrefix(name, routePrefix):
			route, err := b.decoder.Route(record)
			if err != nil {
				continue
			}
			table.routesByHost[route.Host] = append(table.routesByHost[route.Host], route)
		case strings.HasPrefix(name, servicePrefix):
			built, ok := b.services[name]
			if !ok || built.generation != record.Gen {
				s := &Service{}
				if json.Unmarshal(decodeItem(record).Raw, s) != nil {
					continue
				}
				built = builtService{record.Gen, s}
				b.services[name] = built
			}
			table.Services[built.service.Name] = built.service
		case strings.HasPrefix(name, tenantPrefix):
			if tenant, err := b.decoder.Tenant(record); err == nil {
				for _, key := range tenant.APIKeys {
					table.TenantByKey[key] = tenant
				}
			}
		case name == limitsName:
			limits := defaultLimits
			if json.Unmarshal(decodeItem(record).Raw, &limits) == nil {
				table.Limits = limits
			}
		}
	}
	b.decoder.prune(records)
	maps.DeleteFunc(b.services, func(name string, _ builtService) bool {
		_, ok := records[name]
		return !ok
	})
	for _, routes := range table.routesByHost {
		sort.Slice(routes, func(i, j int) bool {
			a, b := routes[i].PathPrefix, routes[j].PathPrefix
			return len(a) > len(b) || len(a) == len(b) && a < b
		})
	}
	return table
}

// Decode decodes routes and tenants before all records are known, so that Build takes less time.
func (b *Builder) Decode(records []Record) {
	for _, record := range records {
		switch {
		case record.Dropped:
		case strings.HasPrefix(record.Name, routePrefix):
			_, _ = b.decoder.Route(record) // Build handles errors
		case strings.HasPrefix(record.Name, tenantPrefix):
			_, _ = b.decoder.Tenant(record)
		}
	}
}

// Lookup returns the route of a request by host and path, or nil. The host may include a port.
func (t *Table) Lookup(host, path string) *Route {
	routes := t.routesByHost[host]
	if routes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.routesByHost[host[:i]]
		}
		if routes == nil {
			if lower := strings.ToLower(host); lower != host {
				return t.Lookup(lower, path)
			}
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// ServiceShards returns, by service, the shard whose gateways hold its retry slack and send requests to its
// instances during warm-up: the shard of its first scheduled route by name.
func (t *Table) ServiceShards() map[string]int {
	firstRoute := map[string]*Route{}
	for _, routes := range t.routesByHost {
		for _, route := range routes {
			if route.Status.Phase != PhaseScheduled {
				continue
			}
			for _, service := range route.Targets() {
				if current := firstRoute[service]; current == nil || route.Name < current.Name {
					firstRoute[service] = route
				}
			}
		}
	}
	shards := map[string]int{}
	for service, route := range firstRoute {
		shards[service] = route.Status.Shard
	}
	return shards
}

// Tenants returns the existing tenants, sorted by name.
func Tenants(records map[string]Record, decoder *Decoder) (tenants []*Tenant) {
	for name, record := range records {
		if record.Dropped || !strings.HasPrefix(name, tenantPrefix) {
			continue
		}
		if tenant, err := decoder.Tenant(record); err == nil {
			tenants = append(tenants, tenant)
		}
	}
	sort.Slice(tenants, func(i, j int) bool { return tenants[i].Name < tenants[j].Name })
	return tenants
}

// Quotas returns the rate limits of all tenants; a rate of 0 means no limit.
func Quotas(records map[string]Record, decoder *Decoder) map[string]quota.Quota {
	quotas := map[string]quota.Quota{}
	for _, tenant := range Tenants(records, decoder) {
		quotas[tenant.Name] = quota.Quota{Rate: tenant.RatePerS, Burst: tenant.Burst}
	}
	return quotas
}

// Residency returns the regions that all routes of a host allow; nil if any route may be served everywhere
// or the host is unknown.
func (t *Table) Residency(host string) []string {
	routes := t.routesByHost[strings.ToLower(host)]
	if len(routes) == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, route := range routes {
		if len(route.Residency) == 0 {
			return nil
		}
		for _, region := range route.Residency {
			counts[region]++
		}
	}
	var regions []string
	for region, count := range counts {
		if count == len(routes) {
			regions = append(regions, region)
		}
	}
	sort.Strings(regions)
	return regions
}

// Regions returns the regions in which the residency of both route and tenant allows a request to be
// served. restricted is false if that is everywhere.
func Regions(route, tenant []string) (allowed []string, restricted bool) {
	switch {
	case len(route) == 0:
		return tenant, len(tenant) > 0
	case len(tenant) == 0:
		return route, true
	}
	for _, region := range route {
		if slices.Contains(tenant, region) {
			allowed = append(allowed, region)
		}
	}
	return allowed, true
}
