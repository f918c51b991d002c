package proxy

// This file makes the attempts of a request at upstreams and decides what follows from their results.

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// forward sends the request to an upstream, and retries at others where that is allowed and useful.
// If the attempts fail but one upstream gave an error response, that response goes to the client.
func (h *Handler) forward(x *Exchange) error {
	err := h.attemptUpstreams(x)
	if err != nil && x.fallback != nil {
		h.respond(x, upstream.SlotLease{}, *x.fallback)
		return nil
	}
	return err
}

// attemptUpstreams makes attempts until a response can be passed on, the error is final, or no attempts
// or time are left. It returns nil once a response has been passed to the client.
func (h *Handler) attemptUpstreams(x *Exchange) error {
	maxAttempts := max(1, x.route.MaxTries)
	sent, failedDials := 0, 0
	var tried []string
	var lastErr error
	usePrior := false // the request was already assigned to the candidate of a rollout once
	for {
		arm := h.arms.Begin(x.service, x.stratum, x.latencyTarget, usePrior)
		usePrior = usePrior || arm.Candidate()
		queueTimeout := min(x.latencyTarget/5, time.Until(x.deadline)/2)
		if failedDials > 0 {
			queueTimeout /= 2
		}
		request := &upstream.AcquireRequest{Service: x.service, Version: arm.Version(), Priority: x.priority(), ExcludeIDs: tried, Retry: sent > 0,
			Regions: x.regions, RegionRestricted: x.regionBound, LatencyTarget: x.latencyTarget}
		// The balancer may interrupt the wait for a response only if the request can be retried.
		if x.route.Repeatable() && x.bodyPrefix == nil && sent+1 < maxAttempts {
			request.WaitHandle = &upstream.WaitHandle{}
		}
		x.stage = stageQueue
		lease := h.dispatcher.acquire(request, queueTimeout, x.r.Context().Done())
		if lease.Refusal != upstream.Granted {
			arm.End(rollout.Unscored)
			if arm.Candidate() && !x.clientDisconnected() && time.Until(x.deadline) > 0 && lease.Refusal != upstream.RetryBudgetExhausted && !h.arms.SingleArm(x.service) {
				continue // the candidate has no free slot; try the prior version
			}
			if x.clientDisconnected() {
				return mergeErrors(lastErr, h.disconnectedBeforeSend(x))
			}
			if lastErr != nil {
				return lastErr
			}
			if lease.Refusal == upstream.ListNotReceived {
				return apierror.NewRetryAfter(apierror.NoConfiguration, h.startupRetryAfter(), "this node knows no upstreams yet")
			}
			if lease.Refusal == upstream.NoEligibleUpstream {
				return h.retryLater(x, apierror.NoUpstream)
			}
			return h.retryLater(x, apierror.Overloaded)
		}
		if !h.KeysConfirmed() { // the API key may have been revoked while the request was queued
			h.dispatcher.releaseUnused(lease)
			arm.End(rollout.Unscored)
			if lastErr != nil {
				return lastErr
			}
			return h.retryLater(x, apierror.KeysUnconfirmed)
		}
		arm.Sent(lease.Cold)
		res := h.send(x, lease)
		h.Stats.Attempts.Add(1)
		if lease.CrossRegion {
			h.Stats.CrossRegion.Add(1)
		}
		if sent > 0 {
			h.Stats.Retries.Add(1)
		}
		tried = append(tried, lease.ID)
		arm.Score(rolloutOutcome(res))
		if res.unsent {
			arm.End(rollout.Unscored)
			outcome := upstream.ConnectionFailed
			switch {
			case res.disconnected:
				outcome = upstream.NotSent
			case res.deadlinePassed:
				outcome = upstream.Served // not a failure of the upstream
			}
			h.finish(lease, res, outcome)
			if res.disconnected {
				return mergeErrors(lastErr, h.disconnectedBeforeSend(x))
			}
			lastErr = mergeErrors(lastErr, h.retryLater(x, apierror.NoUpstream))
			failedDials++
			if res.deadlinePassed || time.Until(x.deadline) <= 0 || !mayDialAgain(failedDials, time.Since(x.arrived), x.latencyTarget) {
				return lastErr
			}
			continue
		}
		sent++
		retry, err := h.handleResult(x, lease, res, arm)
		if err == nil {
			return nil
		}
		lastErr = mergeErrors(lastErr, err)
		if !retry || sent >= maxAttempts || x.bodyPrefix != nil || time.Until(x.deadline) < x.latencyTarget/16 {
			return lastErr
		}
	}
}

// mergeErrors returns the error to report for two successive attempts. Once a request may have been
// executed, a later error must not promise that it was not, so the earlier one is kept.
func mergeErrors(earlier, latest error) error {
	if earlier != nil && !apierror.ResponseFor(apierror.KindOf(earlier)).NotExecuted {
		return earlier
	}
	return latest
}

// rolloutOutcome returns how an attempt counts for the version that it was sent to.
func rolloutOutcome(res result) rollout.Outcome {
	switch response := res.response; {
	case res.unsent, res.disconnected, res.requestErr != nil, res.err == errNoAttemptID:
		return rollout.Unscored
	case res.deadlinePassed:
		return rollout.TooLate
	case res.err != nil:
		return rollout.BrokenResponse
	case notExecuted(response):
		return rollout.Unscored
	case response.StatusCode >= http.StatusInternalServerError || impliesNotExecuted(response.StatusCode):
		return rollout.Errored
	case response.StatusCode < 300 && !sealed(response):
		return rollout.BrokenResponse
	}
	return rollout.Passed
}

// handleResult passes the response of an attempt to the client, or returns an error and whether the
// request may be retried at another upstream. A server error of a rollout's candidate is retried, since
// the prior version may succeed.
func (h *Handler) handleResult(x *Exchange, lease upstream.SlotLease, res result, arm *rollout.Sample) (retry bool, err error) {
	defer arm.End(rollout.Unscored) // deferred: the response is read to its end by one of the calls below
	repeatable := x.route.Repeatable()
	if res.disconnected {
		h.finish(lease, res, upstream.Cancelled)
		return false, disconnectedAfterSend(x)
	}
	if res.err != nil {
		h.Stats.BrokenResponses.Add(1)
		if res.deadlinePassed {
			h.finish(lease, res, upstream.Served)
			return false, apierror.New(apierror.DeadlineAfterSend, "%s", x.service)
		}
		if tooLarge := apierror.BodyTooLargeError(res.requestErr); tooLarge != nil {
			h.finish(lease, res, upstream.Served)
			return false, tooLarge
		}
		outcome := upstream.ConnectionFailed
		switch {
		case res.err == errNoAttemptID:
			outcome = upstream.Overloaded
		case peerUnresponsive(res.err):
			outcome = upstream.Unresponsive
		case errors.Is(res.err, syscall.ECONNRESET):
			outcome = upstream.ConnectionReset
		}
		h.finish(lease, res, outcome)
		return repeatable, apierror.New(apierror.BadUpstreamResponse, "%s: %v", x.service, res.err)
	}
	response := res.response
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		h.finish(lease, res, upstream.WrongInstance)
		return true, h.retryLater(x, apierror.NoUpstream)
	case notExecuted(response):
		h.finish(lease, res, upstream.Overloaded)
		return true, h.retryLater(x, apierror.Overloaded)
	case response.StatusCode < 300 && !sealed(response):
		h.finish(lease, res, upstream.ConnectionFailed)
		return repeatable, apierror.New(apierror.MissingSeal, "%s", x.service)
	case impliesNotExecuted(response.StatusCode):
		// To the client these statuses would promise that the request was not executed, but without
		// Not-Executed that is unknown.
		h.finish(lease, res, upstream.Served)
		return false, apierror.New(apierror.BadUpstreamResponse, "%s answered %d", x.service, response.StatusCode)
	}
	fitsLink := response.StatusCode >= 300 || x.reservation.Begin(h.now(), res.bodySize())
	if !fitsLink && repeatable && !h.draining.Load() {
		h.Stats.LinkFull.Add(1)
		h.finish(lease, res, upstream.Served)
		return false, h.linkOverloaded(x)
	}
	if res.complete {
		outcome := upstream.Served
		if response.StatusCode >= http.StatusInternalServerError {
			outcome = upstream.ServerError
		}
		if outlier := h.finish(lease, res, outcome); (outlier || arm.Candidate() && outcome == upstream.ServerError) && repeatable && x.fallback == nil {
			x.fallback = &res // sent to the client if no other upstream gives a better response
			return true, apierror.New(apierror.BadUpstreamResponse, "%s answered %d", x.service, response.StatusCode)
		}
	}
	h.respond(x, lease, res)
	return false, nil
}

// notExecuted reports whether a response says that its request was not executed. With any status not
// listed here Not-Executed contradicts the status, and the request may have been executed.
func notExecuted(r *http.Response) bool {
	switch r.StatusCode {
	case http.StatusMisdirectedRequest:
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return r.Header.Get(headerNotExecuted) != ""
	}
	return false
}

// sealed reports whether a successful response carries Server-Seal, the mark that it comes from the
// upstream itself, and does not contradict it by Not-Executed.
func sealed(r *http.Response) bool {
	return r.Header.Get(headerServerSeal) != "" && r.Header.Get(headerNotExecuted) == ""
}

// impliesNotExecuted reports whether clients take a status to mean that the request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
