// Package registry answers clients who ask where to go. Resolve is a pure
// function of what is known of the desks and of who asks; Directory keeps the
// answers ready.
package registry

import (
	"sort"

	"madderwing/internal/rendezvous"
)

// Desk is a desk as the registry sees it.
type Desk struct {
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

// enough is the share of a zone's desks that must be open for the zone to serve
// its clients alone.
const enough = 0.5

// Resolve lists the addresses that an asker is to use. Its own zone comes first;
// where too few of its desks are open, those of the region join in, and where
// the region has none, those of the others. While any desk may be up the answer
// is not empty: if none is known to be open, all are named.
func Resolve(desks []Desk, a Asker) []string {
	region := a.Region
	zoneKnown := false
	for _, d := range desks {
		if d.Zone == a.Zone {
			zoneKnown, region = true, d.Region // the zone's own region counts
		}
	}
	allowed := func(d Desk) bool {
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
	pick := func(fit func(Desk) bool) (open []string, known int) {
		for _, d := range desks {
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
		open, known := pick(func(d Desk) bool { return d.Zone == a.Zone && allowed(d) })
		if known > 0 && float64(len(open)) >= enough*float64(known) {
			return bound(a, open)
		}
	}
	for _, fit := range []func(Desk) bool{
		func(d Desk) bool { return d.Region == region && allowed(d) },
		allowed,
		func(Desk) bool { return true },
	} {
		if open, _ := pick(fit); len(open) > 0 {
			return bound(a, open)
		}
	}
	all := make([]string, 0, len(desks))
	for _, d := range desks {
		all = append(all, d.Address)
	}
	return bound(a, all)
}

// bound keeps an answer to its greatest size; which desks it leaves out differs
// from zone to zone.
func bound(a Asker, list []string) []string {
	if len(list) > MaxAnswer {
		list = rendezvous.Pick(a.Zone+"/"+a.Region, list, MaxAnswer)
	}
	sort.Strings(list)
	return list
}
