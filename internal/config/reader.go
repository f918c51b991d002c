package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"sort"
	"strings"
)

// ReadRoute parses the route of a record.
func ReadRoute(record Record) (*Route, error) {
	item := decodeItem(record)
	route := &Route{}
	if err := json.Unmarshal(item.Raw, route); err != nil {
		return nil, err
	}
	route.Host, route.Status, route.Rev = item.Host, item.Status, record.Rev
	return route, nil
}

// Decoder parses routes and tenants and caches the result for the latest version of each. It is not safe for
// concurrent use.
type Decoder struct {
	routes  map[string]cachedRoute
	tenants map[string]cachedTenant
	pruneAt int // number of cached items at which prune next has an effect
}

type cachedTenant struct {
	data   []byte
	tenant *Tenant
}

// Tenant returns the tenant of a record.
func (reader *Decoder) Tenant(record Record) (*Tenant, error) {
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

// Route returns the route of a record.
func (reader *Decoder) Route(record Record) (*Route, error) {
	// Comparing generations is not enough: a refused version may have had the same one.
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

// prune evicts items that don't exist, each time that the number of cached items has doubled and grown by
// pruneThreshold.
func (reader *Decoder) prune(records map[string]Record) {
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

// pruneThreshold is the number of items that a Decoder may cache before prune looks for those to evict.
const pruneThreshold = 1 << 10

// Routes returns the existing routes, sorted by name, and evicts removed ones from the cache.
func (reader *Decoder) Routes(records map[string]Record) (routes []*Route) {
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
