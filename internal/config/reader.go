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
func ReadRoute(record Record) (*Route, error) {
	item := decodeItem(record)
	route := &Route{}
	if err := json.Unmarshal(item.Raw, route); err != nil {
		return nil, err
	}
	route.Host, route.Status, route.Rev = item.Host, item.Status, record.Rev
	return route, nil
}

// Reader reads each version of a route or a tenant once. One goroutine owns it.
type Reader struct {
	routes  map[string]cachedRoute
	tenants map[string]cachedTenant
	pruneAt int // versions held at which prune looks again
}

type cachedTenant struct {
	data   []byte
	tenant *Tenant
}

// Tenant gives the tenant of a record.
func (reader *Reader) Tenant(record Record) (*Tenant, error) {
	if cached, ok := reader.tenants[record.Name]; ok && bytes.Equal(cached.data, record.Data) {
		return cached.tenant, nil
	}
	tenant := &Tenant{}
	if err := json.Unmarshal(decodeItem(record).Raw, tenant); err != nil {
		return nil, err
	}
	if reader.tenants == nil {
		reader.tenants = map[string]cachedTenant{}
	}
	reader.tenants[record.Name] = cachedTenant{record.Data, tenant}
	return tenant, nil
}

type cachedRoute struct {
	data  []byte
	route *Route
}

// Route gives the route of a record.
func (reader *Reader) Route(record Record) (*Route, error) {
	// Generations do not do as a mark: what was refused may have carried the
	// same one.
	if cached, ok := reader.routes[record.Name]; ok && bytes.Equal(cached.data, record.Data) && cached.route.Rev == record.Rev {
		return cached.route, nil
	}
	route, err := ReadRoute(record)
	if err != nil {
		return nil, err
	}
	if reader.routes == nil {
		reader.routes = map[string]cachedRoute{}
	}
	reader.routes[record.Name] = cachedRoute{record.Data, route}
	return route, nil
}

// prune forgets versions of items that don't stand, each time that as many have been read
// again as there were.
func (reader *Reader) prune(records map[string]Record) {
	if len(reader.routes)+len(reader.tenants) < reader.pruneAt {
		return
	}
	deleted := func(name string) bool {
		record, ok := records[name]
		return !ok || record.Dropped
	}
	maps.DeleteFunc(reader.routes, func(name string, _ cachedRoute) bool { return deleted(name) })
	maps.DeleteFunc(reader.tenants, func(name string, _ cachedTenant) bool { return deleted(name) })
	reader.pruneAt = 2*(len(reader.routes)+len(reader.tenants)) + pruneThreshold
}

// pruneFrom is how many versions of items a Reader holds before it looks for those that
// don't stand.
const pruneThreshold = 1 << 10

// List lists the routes that stand, by name, and forgets the others.
func (reader *Reader) List(records map[string]Record) (routes []*Route) {
	for name, record := range records {
		if record.Dropped {
			delete(reader.routes, name)
		} else if strings.HasPrefix(name, routePrefix) {
			if route, err := reader.Route(record); err == nil {
				routes = append(routes, route)
			}
		}
	}
	sort.Slice(routes, func(i, j int) bool { return routes[i].Name < routes[j].Name })
	return routes
}
