// Package callage tracks how old the operators' calls are that records name as executed. An operator
// sends a call again if its answer was lost, and only for a limited time, so the age of a call decides
// whether an equal one may be its repeat.
//
// Ages are measured on the monotonic clock of the process, which says nothing across restarts. They
// are therefore saved while they matter, and go on from the saved age after a restart: the time
// between the last save and the restart is left out, so that an age is never overestimated.
package callage

import "time"

// Tracker tracks the ages of calls. It does no input or output and reads no clock. The zero value
// tracks nothing yet.
type Tracker struct {
	seenAt   map[string]map[uint64]time.Duration // by record, by ID of the call; negative for calls of an earlier process
	restored map[uint64]time.Duration            // by ID: when calls of an earlier process were seen
	newestAt *time.Duration                      // when the newest call was seen; nil: none was
}

// Restore sets the ages that an earlier process saved. It is called before any record is observed.
func (t *Tracker) Restore(now time.Duration, ages map[uint64]time.Duration) {
	t.restored = map[uint64]time.Duration{}
	for id, age := range ages {
		t.restored[id] = now - max(age, 0)
	}
}

// Observe handles the calls that the newest version of a record names. Calls that the record no longer
// names are forgotten.
func (t *Tracker) Observe(now time.Duration, record string, ids []uint64) {
	if t.seenAt == nil {
		t.seenAt = map[string]map[uint64]time.Duration{}
	}
	calls := map[uint64]time.Duration{}
	for _, id := range ids {
		at := t.firstSeen(now, record, id)
		calls[id] = at
		if t.newestAt == nil || at > *t.newestAt {
			t.newestAt = &at
		}
	}
	t.seenAt[record] = calls
}

// firstSeen returns when a call was first seen, which is now if it is new.
func (t *Tracker) firstSeen(now time.Duration, record string, id uint64) time.Duration {
	if at, ok := t.seenAt[record][id]; ok {
		return at
	}
	if at, ok := t.restored[id]; ok {
		return at
	}
	return now
}

// Age returns the age of a call. A call that a record names and that was not observed yet has only just
// been executed.
func (t *Tracker) Age(now time.Duration, record string, id uint64) time.Duration {
	return now - t.firstSeen(now, record, id)
}

// AnyWithin reports whether any call that was observed was at most age old at a time.
func (t *Tracker) AnyWithin(at, age time.Duration) bool {
	return t.newestAt != nil && at-*t.newestAt <= age
}

// Count returns how many calls of a record are tracked.
func (t *Tracker) Count(record string) int { return len(t.seenAt[record]) }

// Ages returns the ages of all calls, by ID.
func (t *Tracker) Ages(now time.Duration) map[uint64]time.Duration {
	ages := map[uint64]time.Duration{}
	for _, calls := range t.seenAt {
		for id, at := range calls {
			ages[id] = now - at
		}
	}
	return ages
}
