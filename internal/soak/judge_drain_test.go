package soak

import (
	"fmt"
	"time"
)

// drainingPeriod is the time for which the platform's list shows an upstream as draining.
type drainingPeriod struct {
	upstreamID   string
	began, ended time.Time // zero ended: it still does
}

// findDrainViolations finds requests that reached draining upstreams too late, see findArrivalsAfterDrain. drainS
// also runs while the core has faults, and the rule binds each machine as soon as it is in contact.
func findDrainViolations(h *history) []string {
	return findArrivalsAfterDrain(h.arrivals, h.drainingPeriods, h.inContact)
}

// findArrivalsAfterDrain finds draining upstreams that requests reached later than drainS after the platform's
// list showed them as draining. applies reports whether the rule binds the machine that forwarded a request, at
// the time of arrival.
func findArrivalsAfterDrain(arrivals []arrival, periods []*drainingPeriod, applies func(machine int, at time.Time) bool) (found []string) {
	for _, period := range periods {
		count, latest := 0, time.Duration(0)
		for _, a := range arrivals {
			if a.upstreamID != period.upstreamID || a.at.Before(period.began.Add(drainS)) || !period.ended.IsZero() && a.at.After(period.ended) || !applies(a.machine, a.at) {
				continue
			}
			count++
			latest = max(latest, a.at.Sub(period.began))
		}
		if count > 0 {
			found = append(found, fmt.Sprintf("%d requests reached %s later than drainS after the list showed it as draining, the last one %v after", count, period.upstreamID, latest))
		}
	}
	return found
}
