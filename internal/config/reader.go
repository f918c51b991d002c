package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"sort"
	"strings"
)

// This file holds how items are read from their records, each version once.

// ReadRoute reads a route from its record.
func ReadRoute(rec Record) (*Route, error) {
	it := decodeItem(rec)
	r := &Route{}
	if err := json.Unmarshal(it.Raw, r); err != nil {
		return nil, err
	}
	r.Host, r.Status, r.Rev = it.Host, it.Status, rec.Rev
	return r, nil
}

// Reader reads each version of a route or a tenant once. One goroutine owns it.
type Reader struct {
	routes  map[string]read
	tenants map[string]readTenant
	pruneAt int // versions held at which prune looks again
}

type readTenant struct {
	data   []byte
	tenant *Tenant
}

// Tenant gives the tenant of a record.
func (x *Reader) Tenant(rec Record) (*Tenant, error) {
	if r, ok := x.tenants[rec.Name]; ok && bytes.Equal(r.data, rec.Data) {
		return r.tenant, nil
	}
	t := &Tenant{}
	if err := json.Unmarshal(decodeItem(rec).Raw, t); err != nil {
		return nil, err
	}
	if x.tenants == nil {
		x.tenants = map[string]readTenant{}
	}
	x.tenants[rec.Name] = readTenant{rec.Data, t}
	return t, nil
}

type read struct {
	data  []byte
	route *Route
}

// Route gives the route of a record.
func (x *Reader) Route(rec Record) (*Route, error) {
	// Generations do not do as a mark: what was refused may have carried the
	// same one.
	if r, ok := x.routes[rec.Name]; ok && bytes.Equal(r.data, rec.Data) && r.route.Rev == rec.Rev {
		return r.route, nil
	}
	r, err := ReadRoute(rec)
	if err != nil {
		return nil, err
	}
	if x.routes == nil {
		x.routes = map[string]read{}
	}
	x.routes[rec.Name] = read{rec.Data, r}
	return r, nil
}

// prune forgets versions of items that don't stand, each time that as many have been read
// again as there were.
func (x *Reader) prune(have map[string]Record) {
	if len(x.routes)+len(x.tenants) < x.pruneAt {
		return
	}
	gone := func(name string) bool {
		r, ok := have[name]
		return !ok || r.Dropped
	}
	maps.DeleteFunc(x.routes, func(name string, _ read) bool { return gone(name) })
	maps.DeleteFunc(x.tenants, func(name string, _ readTenant) bool { return gone(name) })
	x.pruneAt = 2*(len(x.routes)+len(x.tenants)) + pruneFrom
}

// pruneFrom is how many versions of items a Reader holds before it looks for those that
// don't stand.
const pruneFrom = 1 << 10

// List lists the routes that stand, by name, and forgets the others.
func (x *Reader) List(have map[string]Record) (out []*Route) {
	for n, rec := range have {
		if rec.Dropped {
			delete(x.routes, n)
		} else if strings.HasPrefix(n, routePrefix) {
			if r, err := x.Route(rec); err == nil {
				out = append(out, r)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
