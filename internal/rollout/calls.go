package rollout

import (
	"slices"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/settings"
)

// This file executes the operators' calls, which are orders and reversals, and distinguishes a repeated
// call from a new one.

// maxExecutedCalls is how many of the newest calls a plan records: as many as may be in
// progress at once.
const maxExecutedCalls = 8

// ExecutedCall is an operator's call that was executed.
type ExecutedCall struct {
	ID       uint64        `cbor:"1,keyasint"`
	Version  string        `cbor:"2,keyasint"`
	Within   time.Duration `cbor:"3,keyasint,omitempty"`
	Reversal bool          `cbor:"4,keyasint,omitempty"`
	// Settled says that the call is too old to be sent again. Until then it depends on the age that
	// each control node knows.
	Settled bool `cbor:"5,keyasint,omitempty"`
}

// Call identifies an operator's call that is about to be executed. The zero value is for a call
// that is never repeated.
type Call struct {
	// ID is a random number that the control node that receives the call gives it. It stays
	// the same however often that node forwards the call.
	ID uint64
	// MayBeResent reports whether the operator of an executed call may still send it again; the
	// repeat gets another ID.
	MayBeResent func(id uint64) bool
	// BaseOrder is the Order of the newest rollout of the service that the control node knew when
	// it received the call, 0 for none; nil: not given.
	BaseOrder *uint64
}

// checkBasis returns an error if a call is based on an older rollout than the plan, so that
// another call has been executed since the call was received.
func (p *Plan) checkBasis(call Call) *apierror.Error {
	if call.BaseOrder == nil || *call.BaseOrder == p.Order {
		return nil
	}
	return apierror.New(apierror.OutdatedOrder, "the newest rollout is number %d, the order rests on %d", p.Order, *call.BaseOrder)
}

// Reversal is an order to reverse a rollout.
type Reversal struct {
	// Version is the candidate of the rollout to reverse. If it is empty, as from control
	// nodes of earlier releases, the active rollout is reversed, whatever its candidate.
	Version string `cbor:"1,keyasint,omitempty"`
	// Named says that the operator named the version. Otherwise it is that of the rollout
	// that was active when a control node received the call.
	Named bool `cbor:"2,keyasint,omitempty"`
}

// hasExecuted reports whether a plan records a call as executed.
func (p *Plan) hasExecuted(id uint64) bool {
	for _, t := range p.ExecutedCalls {
		if t.ID == id && id != 0 {
			return true
		}
	}
	return false
}

// hasRecentCall reports whether a plan records a call that matches and that its operator may
// still send again.
func (p *Plan) hasRecentCall(call Call, matches func(ExecutedCall) bool) bool {
	for _, t := range p.ExecutedCalls {
		if matches(t) && !t.Settled && call.MayBeResent != nil && call.MayBeResent(t.ID) {
			return true
		}
	}
	return false
}

// appendExecuted returns the newest executed calls with t as the last.
func (p *Plan) appendExecuted(t ExecutedCall) []ExecutedCall {
	all := append(append([]ExecutedCall(nil), p.ExecutedCalls...), t)
	return all[max(0, len(all)-maxExecutedCalls):]
}

// callIDs returns the IDs of the executed calls.
func (p *Plan) callIDs() (ids []uint64) {
	for _, t := range p.ExecutedCalls {
		ids = append(ids, t.ID)
	}
	return ids
}

// canBeSettled reports whether a call is not settled yet and too old to be sent again.
func (t ExecutedCall) canBeSettled(mayBeResent func(id uint64) bool) bool {
	return !t.Settled && !mayBeResent(t.ID)
}

// HasCallsToSettle reports whether SettleCalls would change a plan.
func (p *Plan) HasCallsToSettle(mayBeResent func(id uint64) bool) bool {
	return slices.ContainsFunc(p.ExecutedCalls, func(t ExecutedCall) bool { return t.canBeSettled(mayBeResent) })
}

// SettleCalls returns the change that marks the executed calls of a service that can't be sent again any
// more. Control nodes that start later know it from the record. The record keeps its generation.
func SettleCalls(records map[string]Record, service string, mayBeResent func(id uint64) bool) []Record {
	oldRecord := records[PartitionOf(service)]
	plan, ok := DecodePlan(oldRecord)
	if !ok || !plan.HasCallsToSettle(mayBeResent) {
		return nil
	}
	for i := range plan.ExecutedCalls {
		call := &plan.ExecutedCalls[i]
		call.Settled = call.Settled || call.canBeSettled(mayBeResent)
	}
	record := plan.encode(oldRecord.Gen)
	record.Rev = oldRecord.Rev + 1
	return []Record{record}
}

// Begin returns the changes of an order. Repeating the order of the newest rollout changes
// nothing, even after that rollout was completed or reversed: a reversed version needs a new
// name to be rolled out again. A call that was executed before changes nothing either, nor
// does an order that equals a recent one, whatever was ordered since. standingVersion is the
// version that serves now; it is the prior version of the new rollout.
func Begin(records map[string]Record, request OrderRequest, standingVersion string, call Call) ([]Record, error) {
	oldRecord, known := records[PartitionOf(request.Service)]
	next := &Plan{Service: request.Service, Prior: standingVersion, Candidate: request.Version, Order: 1,
		Within: settings.Seconds(request.WithinS)}
	current := &Plan{}
	if known {
		var ok bool
		if current, ok = DecodePlan(oldRecord); !ok {
			return nil, apierror.New(apierror.Internal, "the record of %s cannot be read", request.Service)
		}
		resent := current.hasRecentCall(call, func(t ExecutedCall) bool {
			return !t.Reversal && t.Version == request.Version && t.Within == next.Within
		})
		switch {
		case current.Candidate == request.Version && (current.Final() || current.Within == next.Within), current.hasExecuted(call.ID), resent:
			return nil, nil
		case !current.Final():
			return nil, apierror.New(apierror.RolloutInProgress, "%s is on its way to %s", request.Service, current.Candidate)
		}
		if err := current.checkBasis(call); err != nil {
			return nil, err
		}
		next.Order = current.Order + 1
	}
	if call.ID != 0 {
		next.ExecutedCalls = current.appendExecuted(ExecutedCall{ID: call.ID, Version: request.Version, Within: next.Within})
	}
	if next.Prior == next.Candidate {
		next.Stage, next.Weight = Complete, 1
	}
	return []Record{next.encode(oldRecord.Gen + 1)}, nil
}

// Abort returns the changes of a reversal that an operator orders. It reverses only a rollout
// to the given version; a repeated reversal changes nothing. If the operator named no version
// and another rollout was reversed so recently that this may be a repeat of that call, the
// result is the error PossibleDuplicate.
func Abort(records map[string]Record, service string, reversal Reversal, age time.Duration, call Call) ([]Record, error) {
	oldRecord, known := records[PartitionOf(service)]
	current, ok := DecodePlan(oldRecord)
	if !known || !ok {
		return nil, apierror.New(apierror.NoRollout, "%s", service)
	}
	earlierReversal := func(t ExecutedCall) bool { return t.Reversal && t.Version != current.Candidate }
	switch {
	case current.hasExecuted(call.ID):
		return nil, nil
	case reversal.Version != "" && reversal.Version != current.Candidate:
		for _, t := range current.ExecutedCalls {
			if t.Reversal && t.Version == reversal.Version {
				return nil, nil
			}
		}
		return nil, apierror.New(apierror.RolloutInProgress, "the newest rollout of %s is to %s, not to %s", service, current.Candidate, reversal.Version)
	case current.Stage == Reverted:
		return nil, nil
	case current.Final():
		return nil, apierror.New(apierror.RolloutInProgress, "the rollout of %s is complete", service)
	case !reversal.Named && current.hasRecentCall(call, earlierReversal):
		return nil, apierror.New(apierror.PossibleDuplicate, "the rollout of %s before this one was reversed a moment ago; name the version that is meant", service)
	}
	if err := current.checkBasis(call); err != nil {
		return nil, err
	}
	next := current.reverse("ordered by the operator", age)
	if call.ID != 0 {
		next.ExecutedCalls = current.appendExecuted(ExecutedCall{ID: call.ID, Version: current.Candidate, Reversal: true})
	}
	return []Record{next.encode(oldRecord.Gen + 1)}, nil
}
