package config

import (
	"madderwing/internal/apierror"
)

// This file assigns routes to shards.

// RouteBinding assigns a route to the shard that serves it.
type RouteBinding struct {
	Route string `cbor:"1,keyasint" json:"route"`
	Shard int    `cbor:"2,keyasint" json:"shard"`
}

// Bind creates a RouteBinding and returns the records to change. It is the only writer of a route's
// status. It fails with a Conflict unless the route is at the revision that the caller saw, so that two
// schedulers cannot both bind a route. A repeated call for the current binding succeeds without changes.
func Bind(records map[string]Record, binding RouteBinding, expectedRev uint64) ([]Record, error) {
	routeRecord, ok := records[routePrefix+binding.Route]
	if !ok || routeRecord.Dropped {
		return nil, apierror.New(apierror.Conflict, "route %s is gone", binding.Route)
	}
	item := decodeItem(routeRecord)
	scheduled := Status{PhaseScheduled, binding.Shard}
	if routeRecord.Rev == expectedRev+1 && item.Status == scheduled {
		return nil, nil
	}
	if routeRecord.Rev != expectedRev {
		return nil, apierror.New(apierror.Conflict, "route %s is at revision %d, not %d", binding.Route, routeRecord.Rev, expectedRev)
	}
	item.Status = scheduled
	routeRecord.Rev++
	routeRecord.Data = encode(item)
	bindingRecord := Record{Name: bindingPrefix + binding.Route, Gen: records[bindingPrefix+binding.Route].Gen + 1, Data: encode(binding)}
	return []Record{bindingRecord, routeRecord}, nil
}
