package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// judge finds the violations of one rule in the history of a run.
type judge struct {
	rule string // name of the rule in the output of the test
	find func(h *history) []string
}

// judges covers all rules that can be checked with processes on one machine.
var judges = []judge{
	{"EVAC", findEvacuationViolations}, {"DRAIN", findDrainViolations}, {"CONFIG", findOutdatedRouting}, {"CONFIG, read", findOutdatedReads}, {"DENIED", findWrongRejections},
	{"TWICE", findRepeatedRuns}, {"REFUSED", findRefusedButRun}, {"UNASKED", findUnsentRequests}, {"MIXED", findWrongResponses},
	{"LOST", findLostRequests}, {"LOST, configuration", findRequestsCutByChanges}, {"RECOVER", findFailedRecovery}, {"ONE", findLockConflicts}, {"ORDER", findNumberConflicts},
	{"BUDGET, tries", findExcessAttempts}, {"CONFIG, deadline", findMissedDeadlines}, {"CONFIG, later routes", findUnservedLaterRoutes}, {"Starved", findStarvedRoutes},
}

// runsByAttempt groups the requests that reached upstreams by Attempt-Id.
func (h *history) runsByAttempt() map[string][]arrival {
	runs := map[string][]arrival{}
	for _, a := range h.arrivals {
		runs[a.attempt] = append(runs[a.attempt], a)
	}
	return runs
}

// findRepeatedRuns finds non-idempotent requests that ran more than once.
func findRepeatedRuns(h *history) (found []string) {
	for attempt, runs := range h.runsByAttempt() {
		if r := h.requests[attempt]; r != nil && !r.idempotent() && len(runs) > 1 {
			found = append(found, fmt.Sprintf("%s ran %d times, at %s and %s", attempt, len(runs), runs[0].upstreamID, runs[1].upstreamID))
		}
	}
	return found
}

// findRefusedButRun finds non-idempotent requests that were answered with 429, 503, 408 or 421 and ran, before or
// after.
func findRefusedButRun(h *history) (found []string) {
	runs := h.runsByAttempt()
	for attempt, r := range h.requests {
		if !r.idempotent() && r.promisesNotRun() && len(runs[attempt]) > 0 {
			found = append(found, fmt.Sprintf("%s was answered %d and ran at %s", attempt, r.status, runs[attempt][0].upstreamID))
		}
	}
	return found
}

// findUnsentRequests finds requests at upstreams whose id no client sent, or whose method, path or query was changed.
func findUnsentRequests(h *history) (found []string) {
	for _, a := range h.arrivals {
		if r := h.requests[a.attempt]; r == nil || r.method != a.method || r.path != a.path {
			found = append(found, fmt.Sprintf("%s ran %s %s %q", a.upstreamID, a.method, a.path, a.attempt))
		}
	}
	return found
}

// findWrongResponses finds successes (2xx) without the upstream's Server-Seal, with another body than the
// upstream's whole body, or where no upstream answered with a success; responses to another request; and failures
// with an upstream's Server-Seal but another status than the upstream's.
func findWrongResponses(h *history) (found []string) {
	runs := h.runsByAttempt()
	for attempt, r := range h.requests {
		if r.status == 0 {
			continue
		}
		success := r.status >= 200 && r.status < 300
		ownBody := strings.HasSuffix(r.body, " ran "+r.method+" "+r.path+"\n")
		succeeded := slices.ContainsFunc(runs[attempt], func(a arrival) bool { return !a.failed })
		switch {
		case r.responseAttempt != "" && r.responseAttempt != attempt:
			found = append(found, fmt.Sprintf("%s got the response to %s", attempt, r.responseAttempt))
		case success && (r.seal != "seal."+attempt || !ownBody):
			found = append(found, fmt.Sprintf("%s got %d with seal %q and body %q", attempt, r.status, r.seal, r.body))
		case success && !succeeded:
			found = append(found, fmt.Sprintf("%s got %d, but no upstream answered with a success", attempt, r.status))
		case !success && r.seal != "" && r.status != upstreamFailureStatus:
			found = append(found, fmt.Sprintf("%s got %d with an upstream's seal", attempt, r.status))
		}
	}
	return found
}

// findWrongRejections reports a violation if machines in contact answered more than 5 + 1/500 of all requests with
// a 3xx or 4xx (other than 408, 421, 429), although the requests are valid and every configuration that may be in
// force allows them. Requests on the changed route don't count.
func findWrongRejections(h *history) []string {
	rejections, example := 0, ""
	for attempt, r := range h.requests {
		rejected := r.status >= 300 && r.status < 500 && !r.promisesNotRun()
		if rejected && !strings.HasPrefix(r.path, changedPrefix) && h.inContact(r.machine, r.ended) {
			rejections, example = rejections+1, fmt.Sprintf("%s: %d", attempt, r.status)
		}
	}
	if rejections > 5+len(h.requests)/500 {
		return []string{fmt.Sprintf("%d requests, one of them %s", rejections, example)}
	}
	return nil
}

// findLostRequests finds requests around planned work whose connection ended without a complete response although
// they had reached an upstream, or later than lossSlackS after they were sent. There must be no unplanned fault
// from contactS before the request to its end. Requests that an upstream failed or that reached their deadline
// don't count.
func findLostRequests(h *history) (found []string) {
	runs := h.runsByAttempt()
	for attempt, r := range h.requests {
		if r.abandoned || r.status != 0 || r.ended.IsZero() || r.ended.Sub(r.sent) >= routeDeadline || !h.duringPlannedWork(r) || !h.noUnplannedFaults(r.sent.Add(-contactS), r.ended) {
			continue
		}
		if !anyFailed(runs[attempt]) && (len(runs[attempt]) > 0 || r.ended.Sub(r.sent) > lossSlackS) {
			found = append(found, fmt.Sprintf("%s, sent to machine %d, ended without a response after %v, ran %d times", attempt, r.machine, r.ended.Sub(r.sent), len(runs[attempt])))
		}
	}
	return found
}

// duringPlannedWork reports whether a request ended between a SIGTERM of the gateway that it was sent to and 1 s
// after graceS, or ended after a SIGHUP of that gateway and was sent up to configApplyS after it.
func (h *history) duringPlannedWork(r *request) bool {
	g := h.machines[r.machine].gateway
	for _, at := range g.sigterms {
		if r.ended.After(at) && r.ended.Before(at.Add(graceS+time.Second)) {
			return true
		}
	}
	for _, at := range g.sighups {
		if r.ended.After(at) && r.sent.Before(at.Add(configApplyS)) {
			return true
		}
	}
	return false
}

// noUnplannedFaults reports whether no process or path had an unplanned fault in a period.
func (h *history) noUnplannedFaults(from, to time.Time) bool {
	for _, m := range h.machines {
		if !m.faultFreeExcept(planned, from, to) {
			return false
		}
	}
	return true
}

// findFailedRecovery reports a violation if at least a quarter of the requests before the final kill was served,
// but less than a quarter of those sent later than recoveryS after the restart, or if there were none.
func findFailedRecovery(h *history) []string {
	if h.finalKill.killed.IsZero() {
		return nil
	}
	var before, after, servedBefore, servedAfter int
	for _, r := range h.requests {
		switch {
		case r.abandoned || r.ended.IsZero():
		case r.ended.Before(h.finalKill.killed):
			before++
			servedBefore += servedCount(r)
		case r.sent.After(h.finalKill.restarted.Add(recoveryS)):
			after++
			servedAfter += servedCount(r)
		}
	}
	if 4*servedBefore >= before && (4*servedAfter < after || after == 0) {
		return []string{fmt.Sprintf("%d of %d requests were served after the final kill, %d of %d before", servedAfter, after, servedBefore, before)}
	}
	return nil
}

// servedCount is 1 for a request that was served, else 0.
func servedCount(r *request) int {
	if r.status == 200 {
		return 1
	}
	return 0
}
