package proxy

// This file holds the tries of a request at upstreams, and what is made of their answers.

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// balance sends the request to an upstream, and to others where that is
// allowed and of use. If all that came of it is an upstream's own error, that is
// the answer.
func (f *Handler) balance(x *Exchange) error {
	err := f.try(x)
	if err != nil && x.fallback != nil {
		f.pass(x, upstream.SlotLease{}, *x.fallback)
		return nil
	}
	return err
}

func (f *Handler) try(x *Exchange) error {
	tries := max(1, x.route.MaxTries)
	sent, dialled := 0, 0
	var avoid []string
	var last error
	prior := false // the candidate of a rollout has had its try
	for {
		arm := f.arms.Begin(x.service, x.stratum, x.aim, prior)
		prior = prior || arm.Candidate()
		patience := min(x.aim/5, time.Until(x.deadline)/2)
		if dialled > 0 {
			patience /= 2
		}
		claim := &upstream.AcquireRequest{Service: x.service, Version: arm.Version(), Priority: x.priority(), Avoid: avoid, Retry: sent > 0,
			Regions: x.regions, Bound: x.bound, Aim: x.aim}
		if x.route.Repeatable() && x.bodyPrefix == nil && sent+1 < tries { // or else its wait is not to be cut short
			claim.Hold = &upstream.WaitHandle{}
		}
		x.stage = stageQueue
		g := f.dispatcher.claim(claim, patience, x.r.Context().Done())
		if g.Refused != upstream.Granted {
			arm.End(rollout.Unscored)
			if arm.Candidate() && !x.clientLeft() && time.Until(x.deadline) > 0 && g.Refused != upstream.NoBudget && !f.arms.Whole(x.service) {
				continue // it has no room; the prior version is still there
			}
			if x.clientLeft() {
				return keepWorse(last, f.leftUnsent(x))
			}
			if last != nil {
				return last
			}
			if g.Refused == upstream.Unlisted {
				return apierror.Later(apierror.NoConfiguration, f.soon(), "this node knows no upstreams yet")
			}
			if g.Refused == upstream.NoneLeft {
				return f.later(x, apierror.NoUpstream)
			}
			return f.later(x, apierror.Overloaded)
		}
		if !f.Confirmed() { // its key may have been taken away while it waited
			f.dispatcher.untouched(g)
			arm.End(rollout.Unscored)
			if last != nil {
				return last
			}
			return f.later(x, apierror.KeysUnconfirmed)
		}
		arm.Sent(g.Cold)
		res := f.send(x, g)
		f.Stats.Tries.Add(1)
		if g.Abroad {
			f.Stats.Abroad.Add(1)
		}
		if sent > 0 {
			f.Stats.Repeats.Add(1)
		}
		avoid = append(avoid, g.ID)
		arm.Score(scored(res))
		if res.untried {
			arm.End(rollout.Unscored)
			how := upstream.Failing
			switch {
			case res.left:
				how = upstream.Unused
			case res.late:
				how = upstream.Served // no fault of the upstream's
			}
			f.finish(g, res, how)
			if res.left {
				return keepWorse(last, f.leftUnsent(x))
			}
			last = keepWorse(last, f.later(x, apierror.NoUpstream))
			dialled++
			if res.late || time.Until(x.deadline) <= 0 || !dialAgain(dialled, time.Since(x.arrived), x.aim) {
				return last
			}
			continue
		}
		sent++
		again, err := f.judge(x, g, res, arm)
		if err == nil {
			return nil
		}
		last = keepWorse(last, err)
		if !again || sent >= tries || x.bodyPrefix != nil || time.Until(x.deadline) < x.aim/16 {
			return last
		}
	}
}

// keepWorse is the error of two tries, one after the other: once a request may have run,
// no later refusal can promise that it has not.
func keepWorse(before, now error) error {
	if before != nil && !apierror.AnswerFor(apierror.KindOf(before)).NotRun {
		return before
	}
	return now
}

// scored is how a sending counts for the version that it went to.
func scored(res result) rollout.Outcome {
	switch r := res.response; {
	case res.untried, res.left, res.client != nil, res.broke == errNameless:
		return rollout.Unscored
	case res.late:
		return rollout.TooLate
	case res.broke != nil:
		return rollout.Broke
	case refused(r):
		return rollout.Unscored
	case r.StatusCode >= http.StatusInternalServerError || promises(r.StatusCode):
		return rollout.Errored
	case r.StatusCode < 300 && !sealed(r):
		return rollout.Broke
	}
	return rollout.Passed
}

// judge passes an answer on, or says what became of the request and whether
// another upstream may be asked. An error of a candidate's own is no last word: the
// prior version may do better.
func (f *Handler) judge(x *Exchange, g upstream.SlotLease, res result, arm *rollout.Sample) (again bool, err error) {
	defer arm.End(rollout.Unscored) // only now has all of the answer left the upstream
	repeatable := x.route.Repeatable()
	if res.left {
		f.finish(g, res, upstream.Abandoned)
		return false, leftSent(x)
	}
	if res.broke != nil {
		f.Stats.Broken.Add(1)
		if res.late {
			f.finish(g, res, upstream.Served)
			return false, apierror.New(apierror.DeadlinePassed, "%s", x.service)
		}
		if large := apierror.TooLarge(res.client); large != nil {
			f.finish(g, res, upstream.Served)
			return false, large
		}
		how := upstream.Failing
		switch {
		case res.broke == errNameless:
			how = upstream.Full
		case silent(res.broke):
			how = upstream.Silent
		case errors.Is(res.broke, syscall.ECONNRESET):
			how = upstream.Reset
		}
		f.finish(g, res, how)
		return repeatable, apierror.New(apierror.Broken, "%s: %v", x.service, res.broke)
	}
	r := res.response
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		f.finish(g, res, upstream.Other)
		return true, f.later(x, apierror.NoUpstream)
	case refused(r):
		f.finish(g, res, upstream.Full)
		return true, f.later(x, apierror.Overloaded)
	case r.StatusCode < 300 && !sealed(r):
		f.finish(g, res, upstream.Failing)
		return repeatable, apierror.New(apierror.Unsealed, "%s", x.service)
	case promises(r.StatusCode):
		// These would promise that the request has not run, which is not known.
		f.finish(g, res, upstream.Served)
		return false, apierror.New(apierror.Broken, "%s answered %d", x.service, r.StatusCode)
	}
	fits := r.StatusCode >= 300 || x.reservation.Begin(f.now(), res.size())
	if !fits && repeatable && !f.drain.Load() {
		f.Stats.LinkFull.Add(1)
		f.finish(g, res, upstream.Served)
		return false, f.elsewhere(x)
	}
	if res.whole {
		how := upstream.Served
		if r.StatusCode >= http.StatusInternalServerError {
			how = upstream.Poor
		}
		if odd := f.finish(g, res, how); (odd || arm.Candidate() && how == upstream.Poor) && repeatable && x.fallback == nil {
			x.fallback = &res // passed on if no other upstream does better
			return true, apierror.New(apierror.Broken, "%s answered %d", x.service, r.StatusCode)
		}
	}
	f.pass(x, g, res)
	return false, nil
}

// refused says whether an answer tells that its request has not run. Not-Executed on any
// other status contradicts it: the request may have run.
func refused(r *http.Response) bool {
	switch r.StatusCode {
	case http.StatusMisdirectedRequest:
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return r.Header.Get(hNotRun) != ""
	}
	return false
}

// sealed says whether a success is an upstream's own.
func sealed(r *http.Response) bool { return r.Header.Get(hSeal) != "" && r.Header.Get(hNotRun) == "" }

func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
