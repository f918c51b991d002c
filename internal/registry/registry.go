// Package registry tells clients which gateways to connect to. Resolve is a pure function of the
// known gateways and the client's query; Directory caches its answers and serves them over HTTP.
package registry

import (
	"sort"

	"madderwing/internal/rendezvous"
)

// Gateway describes one gateway.
type Gateway struct {
	Address   string // on which it serves clients
	Zone      string
	Region    string
	Available bool // ready, not shutting down and not suspected to have failed
}

// Query is a client's query: where the client is, and where the host that it wants is served.
type Query struct {
	Zone, Region string
	Residency    []string // regions in which the host is served; empty: all
}

// MaxAddresses is the maximum number of addresses in an answer.
const MaxAddresses = 64

// minAvailableFraction is the fraction of a zone's gateways that must be available for its clients to get
// addresses of that zone only.
const minAvailableFraction = 0.5

// Resolve returns the addresses that a client should use: the available gateways of its zone; if
// too few of these are available, those of its region; if there are none, those of any region. Only if the
// regions in which the host is served have no available gateway are gateways of other regions returned. If
// no gateway is available, all are returned, so the answer is empty only if no gateway is known.
func Resolve(gateways []Gateway, client Query) []string {
	region := client.Region
	zoneKnown := false
	for _, g := range gateways {
		if g.Zone == client.Zone {
			zoneKnown, region = true, g.Region // overrides the region that the client named
		}
	}
	allowed := func(g Gateway) bool {
		if len(client.Residency) == 0 {
			return true
		}
		for _, r := range client.Residency {
			if r == g.Region {
				return true
			}
		}
		return false
	}
	pick := func(matches func(Gateway) bool) (available []string, known int) {
		for _, g := range gateways {
			if matches(g) {
				known++
				if g.Available {
					available = append(available, g.Address)
				}
			}
		}
		return available, known
	}
	if zoneKnown {
		available, known := pick(func(g Gateway) bool { return g.Zone == client.Zone && allowed(g) })
		if known > 0 && float64(len(available)) >= minAvailableFraction*float64(known) {
			return truncate(client, available)
		}
	}
	for _, matches := range []func(Gateway) bool{
		func(g Gateway) bool { return g.Region == region && allowed(g) },
		allowed,
		func(Gateway) bool { return true },
	} {
		if available, _ := pick(matches); len(available) > 0 {
			return truncate(client, available)
		}
	}
	all := make([]string, 0, len(gateways))
	for _, g := range gateways {
		all = append(all, g.Address)
	}
	return truncate(client, all)
}

// truncate limits an answer to MaxAddresses addresses and sorts it. Which gateways it leaves out depends
// on the client's zone and region.
func truncate(client Query, list []string) []string {
	if len(list) > MaxAddresses {
		list = rendezvous.Pick(client.Zone+"/"+client.Region, list, MaxAddresses)
	}
	sort.Strings(list)
	return list
}
