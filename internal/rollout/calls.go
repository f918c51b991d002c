package rollout

import (
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/settings"
)

// This file holds what operators ask for, orders and reversals, and how a call that comes
// again is told from a new one.

// maxTakenCalls is how many of the newest calls a plan names: as many as may be under way at
// once.
const maxTakenCalls = 8

// TakenCall is a call of an operator's that was carried out.
type TakenCall struct {
	ID       uint64        `cbor:"1,keyasint"`
	Version  string        `cbor:"2,keyasint"`
	Within   time.Duration `cbor:"3,keyasint,omitempty"`
	Reversal bool          `cbor:"4,keyasint,omitempty"`
}

// Call is a call of an operator's that is about to be carried out. The zero value is one
// that never comes again.
type Call struct {
	// ID is drawn by the control node that takes the call, and stays the same however
	// often that passes it on.
	ID uint64
	// Recent says whether a call that was taken may still be sent again by its operator,
	// who gets another ID then.
	Recent func(id uint64) bool
	// Basis is the number of the service's newest rollout, 0: none, on which the call rests; nil: not told.
	Basis *uint64
}

// checkBasis says whether a call rests on an older rollout than a plan's, so that it is older than one that
// was carried out.
func (p *Plan) checkBasis(call Call) *apierror.Error {
	if call.Basis == nil || *call.Basis == p.Order {
		return nil
	}
	return apierror.New(apierror.Outdated, "the newest rollout is number %d, the order rests on %d", p.Order, *call.Basis)
}

// Reversal is an order to reverse a rollout.
type Reversal struct {
	// Version is the candidate of the rollout that is meant. Empty, as control nodes of
	// earlier releases leave it: of whichever is under way.
	Version string `cbor:"1,keyasint,omitempty"`
	// Named says that the operator named it; else it is the one that was under way when
	// a control node took the call.
	Named bool `cbor:"2,keyasint,omitempty"`
}

// hasTaken says whether a plan names a call.
func (p *Plan) hasTaken(id uint64) bool {
	for _, t := range p.Taken {
		if t.ID == id && id != 0 {
			return true
		}
	}
	return false
}

// hasRecent says whether a plan names a recent call of which like holds.
func (p *Plan) hasRecent(call Call, matches func(TakenCall) bool) bool {
	for _, t := range p.Taken {
		if matches(t) && call.Recent != nil && call.Recent(t.ID) {
			return true
		}
	}
	return false
}

// appendTaken is the list of newest calls appendTaken one more.
func (p *Plan) appendTaken(t TakenCall) []TakenCall {
	all := append(append([]TakenCall(nil), p.Taken...), t)
	return all[max(0, len(all)-maxTakenCalls):]
}

// Begin works out what an order changes. The same order again changes nothing, also
// when it has been carried out or reversed: a version that was reversed needs a new
// name to be brought in again. Neither does a call that was taken before, nor an order
// that its operator may still send again, whatever was ordered since. standing is the
// version that serves where no plan says so.
func Begin(records map[string]Record, ask Ask, standingVersion string, call Call) ([]Record, error) {
	oldRecord, known := records[Key(ask.Service)]
	next := &Plan{Service: ask.Service, Prior: standingVersion, Candidate: ask.Version, Order: 1,
		Within: settings.Seconds(ask.WithinS)}
	current := &Plan{}
	if known {
		var ok bool
		if current, ok = Read(oldRecord); !ok {
			return nil, apierror.New(apierror.Internal, "the record of %s cannot be read", ask.Service)
		}
		resent := current.hasRecent(call, func(t TakenCall) bool {
			return !t.Reversal && t.Version == ask.Version && t.Within == next.Within
		})
		switch {
		case current.Candidate == ask.Version && (current.Final() || current.Within == next.Within), current.hasTaken(call.ID), resent:
			return nil, nil
		case !current.Final():
			return nil, apierror.New(apierror.UnderWay, "%s is on its way to %s", ask.Service, current.Candidate)
		}
		if err := current.checkBasis(call); err != nil {
			return nil, err
		}
		next.Order = current.Order + 1
	}
	if call.ID != 0 {
		next.Taken = current.appendTaken(TakenCall{ID: call.ID, Version: ask.Version, Within: next.Within})
	}
	if next.Prior == next.Candidate {
		next.Stage, next.Weight = Complete, 1
	}
	return []Record{next.encode(oldRecord.Gen + 1)}, nil
}

// Abort works out the reversal that an operator orders. It reverses only the rollout of the
// version that it is for. Where the operator named none, and the rollout before this one was
// reversed so lately that the order may be that one sent again, it is left open.
func Abort(records map[string]Record, service string, reversal Reversal, age time.Duration, call Call) ([]Record, error) {
	oldRecord, known := records[Key(service)]
	current, ok := Read(oldRecord)
	if !known || !ok {
		return nil, apierror.New(apierror.NoRollout, "%s", service)
	}
	earlierReversal := func(t TakenCall) bool { return t.Reversal && t.Version != current.Candidate }
	switch {
	case current.hasTaken(call.ID):
		return nil, nil
	case reversal.Version != "" && reversal.Version != current.Candidate:
		for _, t := range current.Taken {
			if t.Reversal && t.Version == reversal.Version {
				return nil, nil
			}
		}
		return nil, apierror.New(apierror.UnderWay, "the newest rollout of %s is to %s, not to %s", service, current.Candidate, reversal.Version)
	case current.Stage == Reverted:
		return nil, nil
	case current.Final():
		return nil, apierror.New(apierror.UnderWay, "the rollout of %s is complete", service)
	case !reversal.Named && current.hasRecent(call, earlierReversal):
		return nil, apierror.New(apierror.MaybeRepeated, "the rollout of %s before this one was reversed a moment ago; name the version that is meant", service)
	}
	if err := current.checkBasis(call); err != nil {
		return nil, err
	}
	next := current.reverse("ordered by the operator", age)
	if call.ID != 0 {
		next.Taken = current.appendTaken(TakenCall{ID: call.ID, Version: current.Candidate, Reversal: true})
	}
	return []Record{next.encode(oldRecord.Gen + 1)}, nil
}
