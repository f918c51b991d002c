package soak

import (
	"fmt"
	"strings"
	"time"
)

// tally counts requests, and those of them that were served.
type tally struct{ asked, served int }

func (t *tally) add(r *request) {
	t.asked++
	t.served += served(r)
}

// share is the part that was served.
func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.asked)) }

// maxTries is that of all routes.
const maxTries = 2

// findTries: "More than three requests of clients run, in one try, on more upstreams than their route's maxTries".
func findTries(h *history) []string {
	var beyond []string
	for attempt, runs := range h.runsOf() {
		upstreams := map[string]bool{}
		for _, a := range runs {
			upstreams[a.id] = true
		}
		if len(upstreams) > maxTries {
			beyond = append(beyond, attempt)
		}
	}
	if len(beyond) <= 3 {
		return nil
	}
	return []string{fmt.Sprintf("%d requests ran on more than %d upstreams: %v", len(beyond), maxTries, beyond)}
}

// findUnanswered: "Some requests last longer than their route's deadlineS. Eight or more of them, and over a quarter, have no
// final answer from machines in touch 0.5 s after it."
func findUnanswered(h *history) []string {
	long, late := 0, 0
	for _, r := range h.requests {
		if r.left || r.ended.IsZero() || r.ended.Sub(r.sent) <= routeDeadline || !h.inTouch(r.machine, r.ended) {
			continue
		}
		long++
		if r.ended.Sub(r.sent) > routeDeadline+time.Second/2 {
			late++
		}
	}
	if late < 8 || 4*late <= long {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests that lasted longer than their deadline had no answer half a second later", late, long)}
}

// kind is what a request asks for, by its route.
func (r *request) kind() string {
	prefix, _, _ := strings.Cut(strings.TrimPrefix(r.path, "/"), "/")
	return prefix
}

// byKind counts the requests of each kind and all that the caller picks.
func (h *history) byKind(pick func(r *request) bool) (kinds map[string]*tally, all tally) {
	kinds = map[string]*tally{}
	for _, r := range h.requests {
		if r.left || r.ended.IsZero() || !pick(r) {
			continue
		}
		if kinds[r.kind()] == nil {
			kinds[r.kind()] = &tally{}
		}
		kinds[r.kind()].add(r)
		all.add(r)
	}
	return kinds, all
}

// findNeglected: "In calm times, machines in touch get 20 or more requests on routes that were added later, and serve them
// less than a quarter as often as those on the first routes." The changed route is asked for from the beginning: those
// count that were sent when its first version had been acknowledged for configApplyS.
func findNeglected(h *history) []string {
	calm := func(r *request) bool {
		return h.newestAcked(r.sent.Add(-configApplyS)) != nil && h.inTouch(r.machine, r.sent) && h.calm(r.sent.Add(-contactS), r.ended)
	}
	kinds, all := h.byKind(calm)
	later := kinds[changedRoute]
	if later == nil || later.asked < 20 {
		return nil
	}
	first := tally{all.asked - later.asked, all.served - later.served}
	if 4*later.share() >= first.share() {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests on the route that was added later were served, %d of %d on the first ones", later.served, later.asked, first.served, first.asked)}
}

// findStarved: "It also fails if a kind of request is served less than a quarter as often as all requests."
func findStarved(h *history) (found []string) {
	kinds, all := h.byKind(func(r *request) bool { return r.kind() != changedRoute })
	for kind, t := range kinds {
		if 4*t.share() < all.share() {
			found = append(found, fmt.Sprintf("%d of %d requests of %s were served, %d of %d in all", t.served, t.asked, kind, all.served, all.asked))
		}
	}
	return found
}

// findCutByConfiguration: LOST "a configuration that may be in force, from its sending until configApplyS + 1 s after its
// acknowledgement ... counts only if the machine cuts requests over three times as often then as at other times, and
// not for a request that has used seven tenths of its time."
func findCutByConfiguration(h *history) (found []string) {
	runs := h.runsOf()
	for _, m := range h.machines {
		var during, otherwise struct{ asked, cut int }
		for attempt, r := range h.requests {
			if r.machine != m.index || r.left || r.ended.IsZero() || r.ended.Sub(r.sent) >= routeDeadline*7/10 || !h.calm(r.sent.Add(-contactS), r.ended) {
				continue
			}
			count := &otherwise
			if h.besideConfiguration(r) {
				count = &during
			}
			count.asked++
			if r.status == 0 && len(runs[attempt]) > 0 && !anyFailed(runs[attempt]) {
				count.cut++
			}
		}
		if during.cut > 0 && during.cut*max(1, otherwise.asked) > 3*otherwise.cut*during.asked {
			found = append(found, fmt.Sprintf("machine %d cut %d of %d requests beside configurations, %d of %d else", m.index, during.cut, during.asked, otherwise.cut, otherwise.asked))
		}
	}
	return found
}

func (h *history) besideConfiguration(r *request) bool {
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
