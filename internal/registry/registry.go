// Package registry answers clients who ask where to go. Resolve is a pure
// function of what is known of the gateways and of who asks; Directory keeps the
// answers ready.
package registry

import (
	"sort"

	"madderwing/internal/rendezvous"
)

// Gateway is a gateway as the registry sees it.
type Gateway struct {
	Address string // where it serves clients
	Zone    string
	Region  string
	Open    bool // ready and neither leaving nor suspected of being down
}

// Asker is who asks, and for what.
type Asker struct {
	Zone, Region string
	Residency    []string // regions in which the host is served; none: all
}

// MaxAnswer is how many addresses an answer may name.
const MaxAnswer = 64

// enough is the share of a zone's gateways that must be open for the zone to serve
// its clients alone.
const enough = 0.5

// Resolve lists the addresses that an asker is to use. Its own zone comes first;
// where too few of its gateways are open, those of the region join in, and where
// the region has none, those of the others. While any gateway may be up the answer
// is not empty: if none is known to be open, all are named.
func Resolve(gateways []Gateway, a Asker) []string {
	region := a.Region
	zoneKnown := false
	for _, d := range gateways {
		if d.Zone == a.Zone {
			zoneKnown, region = true, d.Region // the zone's own region counts
		}
	}
	allowed := func(d Gateway) bool {
		if len(a.Residency) == 0 {
			return true
		}
		for _, r := range a.Residency {
			if r == d.Region {
				return true
			}
		}
		return false
	}
	pick := func(fit func(Gateway) bool) (open []string, known int) {
		for _, d := range gateways {
			if fit(d) {
				known++
				if d.Open {
					open = append(open, d.Address)
				}
			}
		}
		return open, known
	}
	if zoneKnown {
		open, known := pick(func(d Gateway) bool { return d.Zone == a.Zone && allowed(d) })
		if known > 0 && float64(len(open)) >= enough*float64(known) {
			return bound(a, open)
		}
	}
	for _, fit := range []func(Gateway) bool{
		func(d Gateway) bool { return d.Region == region && allowed(d) },
		allowed,
		func(Gateway) bool { return true },
	} {
		if open, _ := pick(fit); len(open) > 0 {
			return bound(a, open)
		}
	}
	all := make([]string, 0, len(gateways))
	for _, d := range gateways {
		all = append(all, d.Address)
	}
	return bound(a, all)
}

// bound keeps an answer to its greatest size; which gateways it leaves out differs
// from zone to zone.
func bound(a Asker, list []string) []string {
	if len(list) > MaxAnswer {
		list = rendezvous.Pick(a.Zone+"/"+a.Region, list, MaxAnswer)
	}
	sort.Strings(list)
	return list
}
