package config

import (
	"madderwing/internal/apierror"
)

// This file holds the placement of routes onto shards.

// RouteBinding names a route and the shard that serves it.
type RouteBinding struct {
	Route string `cbor:"1,keyasint" json:"route"`
	Shard int    `cbor:"2,keyasint" json:"shard"`
}

// Bind is the create path of a RouteBinding, the only writer of a route's
// status. It is refused if the route's status is not the one that the caller
// saw, so that two schedulers cannot bind one route twice. A binding that comes again
// after it was made is acknowledged, and changes nothing, as long as it stands.
func Bind(records map[string]Record, binding RouteBinding, seenRev uint64) ([]Record, error) {
	route, ok := records[routePrefix+binding.Route]
	if !ok || route.Dropped {
		return nil, apierror.New(apierror.Conflict, "route %s is gone", binding.Route)
	}
	item := decodeItem(route)
	scheduled := Status{PhaseScheduled, binding.Shard}
	if route.Rev == seenRev+1 && item.Status == scheduled {
		return nil, nil
	}
	if route.Rev != seenRev {
		return nil, apierror.New(apierror.Conflict, "route %s is at revision %d, not %d", binding.Route, route.Rev, seenRev)
	}
	item.Status = scheduled
	route.Rev++
	route.Data = encode(item)
	bindingRecord := Record{Name: bindingPrefix + binding.Route, Gen: records[bindingPrefix+binding.Route].Gen + 1, Data: encode(binding)}
	return []Record{bindingRecord, route}, nil
}
