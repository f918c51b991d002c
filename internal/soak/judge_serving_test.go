package soak

import (
	"fmt"
	"strings"
	"time"
)

// tally counts requests, and how many of them were served.
type tally struct{ total, served int }

func (t *tally) add(r *request) {
	t.total++
	t.served += servedCount(r)
}

// servedShare is the share of requests that was served.
func (t tally) servedShare() float64 { return float64(t.served) / float64(max(1, t.total)) }

// maxTries is the setting of every route: on how many upstreams a request may be tried.
const maxTries = 2

// findExcessAttempts reports a violation if more than three requests each ran on more upstreams than their route's
// maxTries.
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

// findMissedDeadlines reports a violation if, of the requests to machines in contact that lasted longer than their
// route's deadlineS, eight or more and over a quarter had no final response 0.5 s after the deadline.
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
	return []string{fmt.Sprintf("%d of %d requests that lasted longer than their deadline had no response half a second later", late, overdue)}
}

// routePrefix is the first segment of the path, which tells the route.
func (r *request) routePrefix() string {
	prefix, _, _ := strings.Cut(strings.TrimPrefix(r.path, "/"), "/")
	return prefix
}

// tallyByRoute counts the finished requests that include selects, by route prefix and in all.
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

// findUnservedLaterRoutes reports a violation if, without unplanned faults, machines in contact get 20 or more
// requests on a route that was added later and serve them less than a quarter as often as those on the first
// routes. Clients send requests on the changed route from the beginning, so only requests sent later than
// configApplyS after the acknowledgement of its first version count.
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

// findStarvedRoutes finds routes whose requests are served less than a quarter as often as all requests. The
// changed route is left out.
func findStarvedRoutes(h *history) (found []string) {
	byRoute, all := h.tallyByRoute(func(r *request) bool { return r.routePrefix() != changedRoute })
	for route, routeTally := range byRoute {
		if 4*routeTally.servedShare() < all.servedShare() {
			found = append(found, fmt.Sprintf("%d of %d requests on %s were served, %d of %d in all", routeTally.served, routeTally.total, route, all.served, all.total))
		}
	}
	return found
}

// findRequestsCutByChanges finds machines that cut requests over three times as often during configuration changes
// as at other times. A request is cut if it reached an upstream but got no complete response. Requests that have
// used seven tenths of their deadline don't count, nor those that an upstream failed.
func findRequestsCutByChanges(h *history) (found []string) {
	runs := h.runsByAttempt()
	for _, m := range h.machines {
		var during, atOtherTimes struct{ total, cut int }
		for attempt, r := range h.requests {
			if r.machine != m.index || r.abandoned || r.ended.IsZero() || r.ended.Sub(r.sent) >= routeDeadline*7/10 || !h.noUnplannedFaults(r.sent.Add(-contactS), r.ended) {
				continue
			}
			count := &atOtherTimes
			if h.duringConfigChange(r) {
				count = &during
			}
			count.total++
			if r.status == 0 && len(runs[attempt]) > 0 && !anyFailed(runs[attempt]) {
				count.cut++
			}
		}
		if during.cut > 0 && during.cut*max(1, atOtherTimes.total) > 3*atOtherTimes.cut*during.total {
			found = append(found, fmt.Sprintf("machine %d cut %d of %d requests during configuration changes, %d of %d at other times", m.index, during.cut, during.total, atOtherTimes.cut, atOtherTimes.total))
		}
	}
	return found
}

// duringConfigChange reports whether a request ended while a version was being applied: from its sending until 1 s
// after configApplyS from its acknowledgement, or without limit if it was not acknowledged.
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
