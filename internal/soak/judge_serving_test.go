package soak

import (
	"fmt"
	"strings"
	"time"
)

// tally counts requests, and those of them that were served.
type tally struct{ total, served int }

func (t *tally) add(r *request) {
	t.total++
	t.served += servedCount(r)
}

// servedShare is the part that was served.
func (t tally) servedShare() float64 { return float64(t.served) / float64(max(1, t.total)) }

// maxTries is that of all routes.
const maxTries = 2

// findExcessAttempts: "More than three requests of clients run, in one try, on more upstreams than their route's maxTries".
func findExcessAttempts(h *history) []string {
	var exceeding []string
	for attempt, runs := range h.runsByAttempt() {
		upstreams := map[string]bool{}
		for _, a := range runs {
			upstreams[a.upstreamID] = true
		}
		if len(upstreams) > maxTries {
			exceeding = append(exceeding, attempt)
		}
	}
	if len(exceeding) <= 3 {
		return nil
	}
	return []string{fmt.Sprintf("%d requests ran on more than %d upstreams: %v", len(exceeding), maxTries, exceeding)}
}

// findMissedDeadlines: "Some requests last longer than their route's deadlineS. Eight or more of them, and over a quarter, have no
// final answer from machines in touch 0.5 s after it."
func findMissedDeadlines(h *history) []string {
	overdue, late := 0, 0
	for _, r := range h.requests {
		if r.abandoned || r.ended.IsZero() || r.ended.Sub(r.sent) <= routeDeadline || !h.inContact(r.machine, r.ended) {
			continue
		}
		overdue++
		if r.ended.Sub(r.sent) > routeDeadline+time.Second/2 {
			late++
		}
	}
	if late < 8 || 4*late <= overdue {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests that lasted longer than their deadline had no answer half a second later", late, overdue)}
}

// routePrefix is what a request asks for, by its route.
func (r *request) routePrefix() string {
	prefix, _, _ := strings.Cut(strings.TrimPrefix(r.path, "/"), "/")
	return prefix
}

// tallyByRoute counts the requests of each kind and all that the caller picks.
func (h *history) tallyByRoute(include func(r *request) bool) (byRoute map[string]*tally, all tally) {
	byRoute = map[string]*tally{}
	for _, r := range h.requests {
		if r.abandoned || r.ended.IsZero() || !include(r) {
			continue
		}
		if byRoute[r.routePrefix()] == nil {
			byRoute[r.routePrefix()] = &tally{}
		}
		byRoute[r.routePrefix()].add(r)
		all.add(r)
	}
	return byRoute, all
}

// findUnservedLaterRoutes: "In calm times, machines in touch get 20 or more requests on routes that were added later, and serve them
// less than a quarter as often as those on the first routes." The changed route is asked for from the beginning: those
// count that were sent when its first version had been acknowledged for configApplyS.
func findUnservedLaterRoutes(h *history) []string {
	include := func(r *request) bool {
		return h.newestAcked(r.sent.Add(-configApplyS)) != nil && h.inContact(r.machine, r.sent) && h.noUnplannedFaults(r.sent.Add(-contactS), r.ended)
	}
	byRoute, all := h.tallyByRoute(include)
	later := byRoute[changedRoute]
	if later == nil || later.total < 20 {
		return nil
	}
	first := tally{all.total - later.total, all.served - later.served}
	if 4*later.servedShare() >= first.servedShare() {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests on the route that was added later were served, %d of %d on the first ones", later.served, later.total, first.served, first.total)}
}

// findStarvedRoutes: "It also fails if a kind of request is served less than a quarter as often as all requests."
func findStarvedRoutes(h *history) (found []string) {
	byRoute, all := h.tallyByRoute(func(r *request) bool { return r.routePrefix() != changedRoute })
	for route, routeTally := range byRoute {
		if 4*routeTally.servedShare() < all.servedShare() {
			found = append(found, fmt.Sprintf("%d of %d requests of %s were served, %d of %d in all", routeTally.served, routeTally.total, route, all.served, all.total))
		}
	}
	return found
}

// findRequestsCutByChanges: LOST "a configuration that may be in force, from its sending until configApplyS + 1 s after its
// acknowledgement ... counts only if the machine cuts requests over three times as often then as at other times, and
// not for a request that has used seven tenths of its time."
func findRequestsCutByChanges(h *history) (found []string) {
	runs := h.runsByAttempt()
	for _, m := range h.machines {
		var during, elsewhere struct{ asked, cut int }
		for attempt, r := range h.requests {
			if r.machine != m.index || r.abandoned || r.ended.IsZero() || r.ended.Sub(r.sent) >= routeDeadline*7/10 || !h.noUnplannedFaults(r.sent.Add(-contactS), r.ended) {
				continue
			}
			count := &elsewhere
			if h.duringConfigChange(r) {
				count = &during
			}
			count.asked++
			if r.status == 0 && len(runs[attempt]) > 0 && !anyFailed(runs[attempt]) {
				count.cut++
			}
		}
		if during.cut > 0 && during.cut*max(1, elsewhere.asked) > 3*elsewhere.cut*during.asked {
			found = append(found, fmt.Sprintf("machine %d cut %d of %d requests beside configurations, %d of %d else", m.index, during.cut, during.asked, elsewhere.cut, elsewhere.asked))
		}
	}
	return found
}

func (h *history) duringConfigChange(r *request) bool {
	for _, v := range h.versions {
		if r.ended.After(v.sent) && (v.acked.IsZero() || r.ended.Before(v.acked.Add(configApplyS+time.Second))) {
			return true
		}
	}
	return false
}

func anyFailed(runs []arrival) bool {
	for _, a := range runs {
		if a.failed {
			return true
		}
	}
	return false
}
