package delivery

import (
	"time"

	"madderwing/internal/antientropy"
)

// InitialSync collects the first whole copy of the records for a gateway that has just started. A
// gateway must not serve with a part of the routes: a request whose route is still missing would go
// to the route of a shorter prefix. The records of each control node are collected separately, since
// the records of two control nodes can differ in age, and routes of the same change would be missing
// from a mixture of both.
//
// The copy is whole once every range has been equal to the control node's. The ranges need not be
// equal at the same time, so a control node whose records keep changing does not delay it.
type InitialSync struct {
	// StallTimeout is how long a control node may send nothing new before others are asked too.
	StallTimeout time.Duration
	copies       map[string]*initialCopy // by control node
	source       string                  // the control node whose copy was whole first; empty: none is yet
	completedAt  time.Duration
}

// initialCopy holds the records that one control node has sent so far.
type initialCopy struct {
	records   *Copy
	pending   rangeSet // never equal to the control node's range yet
	changedAt time.Duration
}

// maxInitialCopies limits the control nodes whose records are kept, and thereby the memory that they take.
const maxInitialCopies = 2

// rangeSet is a set of ranges, one bit each.
type rangeSet uint16

const allRanges rangeSet = 1<<antientropy.Ranges - 1

func (s rangeSet) contains(rangeIndex int) bool { return s&(1<<rangeIndex) != 0 }

// NewInitialSync returns an InitialSync that has collected nothing.
func NewInitialSync(stallTimeout time.Duration) *InitialSync {
	return &InitialSync{StallTimeout: stallTimeout, copies: map[string]*initialCopy{}}
}

// Completed reports whether a whole copy has been returned.
func (s *InitialSync) Completed() bool { return s.source != "" }

// FillWatch sets in w what has been collected from a control node, and asks for the rest. While the records
// of another one arrive, it asks for none.
func (s *InitialSync) FillWatch(now time.Duration, to string, w *Watch) {
	collected := s.copies[to]
	if collected == nil {
		if s.progressing(now) {
			return
		}
		collected = newInitialCopy(now)
	}
	collected.records.FillWatch(w)
	w.Pending = collected.pending
}

func newInitialCopy(now time.Duration) *initialCopy {
	return &initialCopy{records: NewCopy(), pending: allRanges, changedAt: now}
}

// InitialUpdate is the effect of an update on an InitialSync.
type InitialUpdate struct {
	Whole    *Copy                // the copy of the control node's records if it is whole now, else nil
	Changed  bool                 // the update added records
	Received []antientropy.Record // all records of the update
}

// Apply applies an update from a control node.
func (s *InitialSync) Apply(now time.Duration, from string, update Update) (effect InitialUpdate, err error) {
	collected := s.copies[from]
	if collected == nil {
		if update.Empty() || !s.makeRoom(now) {
			return effect, nil
		}
		collected = newInitialCopy(now)
		s.copies[from] = collected
	}
	if effect.Received, err = update.allRecords(); err != nil {
		return effect, err
	}
	if effect.Changed = collected.records.apply(update, effect.Received); effect.Changed {
		collected.changedAt = now
	}
	collected.compare(update)
	if collected.pending == 0 {
		effect.Whole = collected.records
		s.source, s.completedAt, s.copies = from, now, nil
	}
	return effect, nil
}

// progressing reports whether the records of any control node arrive.
func (s *InitialSync) progressing(now time.Duration) bool {
	for _, collected := range s.copies {
		if now-collected.changedAt <= s.StallTimeout {
			return true
		}
	}
	return false
}

// makeRoom reports whether a further copy may be collected. If there are too many, it discards the one that
// stalled first.
func (s *InitialSync) makeRoom(now time.Duration) bool {
	if s.progressing(now) {
		return false
	}
	if len(s.copies) < maxInitialCopies {
		return true
	}
	oldest := ""
	for from, collected := range s.copies {
		if oldest == "" || collected.changedAt < s.copies[oldest].changedAt {
			oldest = from
		}
	}
	delete(s.copies, oldest)
	return true
}

// compare removes from pending the ranges that are equal to the control node's after an update.
func (c *initialCopy) compare(update Update) {
	if update.Sums == nil {
		// Control nodes of versions before InitialSync send no digests, but a freshness only to a
		// watcher that holds all of their records.
		if update.Freshness != nil && len(c.records.Records) > 0 {
			c.pending = 0
		}
		return
	}
	if *update.Sums == (antientropy.Sums{}) {
		c.pending = allRanges // the control node has no records, or has lost them
		return
	}
	for i := range antientropy.Ranges {
		if c.records.Sums[i] == update.Sums[i] {
			c.pending &^= 1 << i
		}
	}
}

// Supersedes reports whether an update from a control node is a late reply to a request that was
// based on another copy than the one that was whole first. What it says about the records that the gateway
// holds is wrong then. The times are on the gateway's clock.
func (s *InitialSync) Supersedes(from string, update Update) bool {
	if !s.Completed() || from == s.source {
		return false
	}
	return update.Sums != nil || update.Freshness != nil && update.Freshness.AskedAt <= s.completedAt
}
