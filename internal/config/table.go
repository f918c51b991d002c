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

// Table is what requests are looked up in. It is built anew for each change
// and never altered.
type Table struct {
	hosts     map[string][]*Route // longest prefix first
	Services  map[string]*Service
	Limits    Limits
	Evacuated map[string]uint64  // zone -> generation of its evacuation
	Known     bool               // any item is known
	Tenants   bool               // there are tenants, or were: requests need a key
	Readers   map[string]*Tenant // by key
	Versions  map[string]rollout.Service
}

// Builder builds tables and reads each version of an item once.
type Builder struct {
	reader   Reader
	services map[string]builtService
}

type builtService struct {
	gen     uint64
	service *Service
}

// defaults of the limits until the operator has set them.
var defaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeoutS: 3, IdleTimeoutS: 15}

// Build builds the table of a set of records.
func (b *Builder) Build(have map[string]Record) *Table {
	if b.services == nil {
		b.services = map[string]builtService{}
	}
	t := &Table{hosts: map[string][]*Route{}, Services: map[string]*Service{}, Limits: defaultLimits,
		Evacuated: map[string]uint64{}, Readers: map[string]*Tenant{}, Versions: rollout.Services(have)}
	for n, rec := range have {
		if strings.HasPrefix(n, EvacuationPrefix) {
			zone := n[len(EvacuationPrefix):]
			if !rec.Dropped {
				t.Evacuated[zone] = rec.Gen
			}
			continue
		}
		if rollout.Names(n) {
			continue
		}
		t.Known = true
		t.Tenants = t.Tenants || strings.HasPrefix(n, tenantPrefix)
		if rec.Dropped {
			delete(b.reader.routes, n)
			delete(b.reader.tenants, n)
			delete(b.services, n)
			continue
		}
		switch {
		case strings.HasPrefix(n, routePrefix):
			r, err := b.reader.Route(rec)
			if err != nil {
				continue
			}
			t.hosts[r.Host] = append(t.hosts[r.Host], r)
		case strings.HasPrefix(n, servicePrefix):
			built, ok := b.services[n]
			if !ok || built.gen != rec.Gen {
				s := &Service{}
				if json.Unmarshal(decodeItem(rec).Raw, s) != nil {
					continue
				}
				built = builtService{rec.Gen, s}
				b.services[n] = built
			}
			t.Services[built.service.Name] = built.service
		case strings.HasPrefix(n, tenantPrefix):
			if tenant, err := b.reader.Tenant(rec); err == nil {
				for _, k := range tenant.APIKeys {
					t.Readers[k] = tenant
				}
			}
		case n == limitsName:
			l := defaultLimits
			if json.Unmarshal(decodeItem(rec).Raw, &l) == nil {
				t.Limits = l
			}
		}
	}
	b.reader.prune(have)
	maps.DeleteFunc(b.services, func(name string, _ builtService) bool {
		_, ok := have[name]
		return !ok
	})
	for _, routes := range t.hosts {
		sort.Slice(routes, func(i, j int) bool {
			a, b := routes[i].PathPrefix, routes[j].PathPrefix
			return len(a) > len(b) || len(a) == len(b) && a < b
		})
	}
	return t
}

// Lookup finds the route of a request, by host and path.
func (t *Table) Lookup(host, path string) *Route {
	routes := t.hosts[host]
	if routes == nil {
		if i := strings.LastIndexByte(host, ':'); i >= 0 {
			routes = t.hosts[host[:i]]
		}
		if routes == nil {
			if low := strings.ToLower(host); low != host {
				return t.Lookup(low, path)
			}
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Placements maps each service to the shard whose gateways hold its slack and its
// cold pace: the shard of the first of its routes, by name, that is scheduled.
func (t *Table) Placements() map[string]int {
	first := map[string]*Route{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.Status.Phase != PhaseScheduled {
				continue
			}
			for _, s := range r.Targets() {
				if f := first[s]; f == nil || r.Name < f.Name {
					first[s] = r
				}
			}
		}
	}
	out := map[string]int{}
	for s, r := range first {
		out[s] = r.Status.Shard
	}
	return out
}

// Tenants lists the tenants that stand, by name.
func Tenants(have map[string]Record, x *Reader) (out []*Tenant) {
	for n, rec := range have {
		if rec.Dropped || !strings.HasPrefix(n, tenantPrefix) {
			continue
		}
		if t, err := x.Tenant(rec); err == nil {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Quotas are the limits of all tenants; a rate of 0 is none.
func Quotas(have map[string]Record, x *Reader) map[string]quota.Quota {
	out := map[string]quota.Quota{}
	for _, t := range Tenants(have, x) {
		out[t.Name] = quota.Quota{Rate: t.RatePerS, Burst: t.Burst}
	}
	return out
}

// Residency lists the regions that every route of a host allows, nil if any of
// them may be served everywhere or the host is unknown.
func (t *Table) Residency(host string) []string {
	routes := t.hosts[strings.ToLower(host)]
	if len(routes) == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, r := range routes {
		if len(r.Residency) == 0 {
			return nil
		}
		for _, region := range r.Residency {
			counts[region]++
		}
	}
	var out []string
	for region, n := range counts {
		if n == len(routes) {
			out = append(out, region)
		}
	}
	sort.Strings(out)
	return out
}

// Regions are those in which both lists allow a request to be served; bound is
// false if that is everywhere.
func Regions(route, tenant []string) (allowed []string, bound bool) {
	switch {
	case len(route) == 0:
		return tenant, len(tenant) > 0
	case len(tenant) == 0:
		return route, true
	}
	for _, r := range route {
		if slices.Contains(tenant, r) {
			allowed = append(allowed, r)
		}
	}
	return allowed, true
}
