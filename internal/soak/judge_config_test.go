package soak

import (
	"fmt"
	"strings"
	"time"
)

// findOutdatedRouting finds requests on the changed route that ran at the service of an older version although
// they were sent later than configApplyS after a newer version was acknowledged. Where the machine is not in
// contact, the bound is longer by stretchMaxS and binds only under the conditions of extendedBoundApplies.
func findOutdatedRouting(h *history) (found []string) {
	for _, a := range h.arrivals {
		r := h.requests[a.attempt]
		if r == nil || !strings.HasPrefix(r.path, changedPrefix) {
			continue
		}
		bound := configApplyS
		if !h.inContact(r.machine, a.at) {
			bound += stretchMaxS
			if !h.extendedBoundApplies(r.machine, r.sent.Add(-bound), a.at) {
				continue
			}
		}
		if newest := h.newestAcked(r.sent.Add(-bound)); newest != nil && !h.allowsService(a.service, newest.generation, a.at) {
			found = append(found, fmt.Sprintf("%s, sent to machine %d %.0f ms after version %d was acknowledged, ran at %s",
				a.attempt, r.machine, milliseconds(r.sent.Sub(newest.acked)), newest.generation, a.upstreamID))
		}
	}
	return found
}

// newestAcked returns the newest version that was acknowledged before a time, nil if there is none.
func (h *history) newestAcked(before time.Time) (newest *routeVersion) {
	for _, v := range h.versions {
		if !v.acked.IsZero() && v.acked.Before(before) && (newest == nil || v.generation > newest.generation) {
			newest = v
		}
	}
	return newest
}

// allowsService reports whether the version of a generation, or a later one sent before a time, has the service as
// target.
func (h *history) allowsService(service string, generation int, at time.Time) bool {
	for _, v := range h.versions {
		if v.generation >= generation && v.service == service && v.sent.Before(at) {
			return true
		}
	}
	return false
}

// findOutdatedReads finds reads that returned an older version although they were sent later than configApplyS
// after a newer version was acknowledged. This binds every node, in contact or not, but a 5xx or no response is no
// violation.
func findOutdatedReads(h *history) (found []string) {
	for _, r := range h.reads {
		if newest := h.newestAcked(r.sent.Add(-configApplyS)); newest != nil && r.generation < newest.generation {
			found = append(found, fmt.Sprintf("%s answered with version %d, %.0f ms after version %d was acknowledged",
				r.address, r.generation, milliseconds(r.sent.Sub(newest.acked)), newest.generation))
		}
	}
	return found
}
