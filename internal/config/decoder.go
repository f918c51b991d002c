package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"sort"
	"strings"
)

// DecodeRoute parses the route of a record.
func DecodeRoute(record Record) (*Route, error) {
	item := decodeItem(record)
	route := &Route{}
	if err := json.Unmarshal(item.Raw, route); err != nil {
		return nil, err
	}
	route.Host, route.Status, route.Rev = item.Host, item.Status, record.Rev
	return route, nil
}

// Decoder parses routes and tenants and caches the results for the latest version of each. It is not safe
// for concurrent use.
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
func (decoder *Decoder) Tenant(record Record) (*Tenant, error) {
	if cached, ok := decoder.tenants[record.Name]; ok && bytes.Equal(cached.data, record.Data) {
		return cached.tenant, nil
	}
	tenant := &Tenant{}
	if err := json.Unmarshal(decodeItem(record).Raw, tenant); err != nil {
		return nil, err
	}
	if decoder.tenants == nil {
		decoder.tenants = map[string]cachedTenant{}
	}
	decoder.tenants[record.Name] = cachedTenant{record.Data, tenant}
	return tenant, nil
}

type cachedRoute struct {
	data  []byte
	route *Route
}

// Route returns the route of a record.
func (decoder *Decoder) Route(record Record) (*Route, error) {
	// Comparing generations is not enough: a refused version may have had the same generation.
	if cached, ok := decoder.routes[record.Name]; ok && bytes.Equal(cached.data, record.Data) && cached.route.Rev == record.Rev {
		return cached.route, nil
	}
	route, err := DecodeRoute(record)
	if err != nil {
		return nil, err
	}
	if decoder.routes == nil {
		decoder.routes = map[string]cachedRoute{}
	}
	decoder.routes[record.Name] = cachedRoute{record.Data, route}
	return route, nil
}

// prune evicts items that don't exist, each time that the number of cached items reaches twice the number
// after the last eviction plus pruneThreshold.
func (decoder *Decoder) prune(records map[string]Record) {
	if len(decoder.routes)+len(decoder.tenants) < decoder.pruneAt {
		return
	}
	deleted := func(name string) bool {
		record, ok := records[name]
		return !ok || record.Dropped
	}
	maps.DeleteFunc(decoder.routes, func(name string, _ cachedRoute) bool { return deleted(name) })
	maps.DeleteFunc(decoder.tenants, func(name string, _ cachedTenant) bool { return deleted(name) })
	decoder.pruneAt = 2*(len(decoder.routes)+len(decoder.tenants)) + pruneThreshold
}

// pruneThreshold is the number of items that a Decoder may cache before prune looks for those to evict.
const pruneThreshold = 1 << 10

// Routes returns the existing routes, sorted by name, and evicts removed ones from the cache.
func (decoder *Decoder) Routes(records map[string]Record) (routes []*Route) {
	for name, record := range records {
		if record.Dropped {
			delete(decoder.routes, name)
		} else if strings.HasPrefix(name, routePrefix) {
			if route, err := decoder.Route(record); err == nil {
				routes = append(routes, route)
			}
		}
	}
	sort.Slice(routes, func(i, j int) bool { return routes[i].Name < routes[j].Name })
	return routes
}
