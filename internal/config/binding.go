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
func Bind(have map[string]Record, b RouteBinding, sawRev uint64) ([]Record, error) {
	rec, ok := have[routePrefix+b.Route]
	if !ok || rec.Dropped {
		return nil, apierror.New(apierror.Conflict, "route %s is gone", b.Route)
	}
	it := decodeItem(rec)
	bound := Status{PhaseScheduled, b.Shard}
	if rec.Rev == sawRev+1 && it.Status == bound {
		return nil, nil
	}
	if rec.Rev != sawRev {
		return nil, apierror.New(apierror.Conflict, "route %s is at revision %d, not %d", b.Route, rec.Rev, sawRev)
	}
	it.Status = bound
	rec.Rev++
	rec.Data = encode(it)
	binding := Record{Name: bindingPrefix + b.Route, Gen: have[bindingPrefix+b.Route].Gen + 1, Data: encode(b)}
	return []Record{binding, rec}, nil
}
