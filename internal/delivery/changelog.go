package delivery

import "madderwing/internal/antientropy"

// maxLoggedChanges is the number of newest changes that a ChangeLog keeps for each range.
const maxLoggedChanges = 128

// ChangeLog keeps the newest changes of a set of records, so that a watcher that lacks only these
// is sent the changed records instead of whole ranges.
type ChangeLog struct {
	ranges [antientropy.Ranges]rangeLog
}

type rangeLog struct {
	changes    []rangeChange // oldest first
	lastDigest uint64        // digest of the range after the last change
}

// rangeChange is a change of one record. The digest of its range was digestBefore until then.
type rangeChange struct {
	digestBefore uint64
	recordName   string
}

// Put puts a record into a set and logs the change.
func (l *ChangeLog) Put(set *antientropy.Set, r antientropy.Record) {
	rangeIndex := antientropy.RangeOf(r.Name)
	log, digestBefore := &l.ranges[rangeIndex], set.Sums[rangeIndex]
	if log.lastDigest != digestBefore {
		log.changes = nil
	}
	set.Put(r)
	log.changes = append(log.changes, rangeChange{digestBefore, r.Name})
	log.changes = log.changes[max(0, len(log.changes)-maxLoggedChanges):]
	log.lastDigest = set.Sums[rangeIndex]
}

// changesSince returns the records of a range that have changed since it had the given digest. ok is
// false if the log doesn't go back that far or the range was changed without the log.
func (l *ChangeLog) changesSince(set *antientropy.Set, rangeIndex int, digest uint64) (records []antientropy.Record, ok bool) {
	log := &l.ranges[rangeIndex]
	if log.lastDigest != set.Sums[rangeIndex] {
		return nil, false
	}
	seen := map[string]bool{}
	for n := len(log.changes) - 1; n >= 0; n-- {
		change := log.changes[n]
		if !seen[change.recordName] {
			r, exists := set.Records[change.recordName]
			if !exists {
				return nil, false
			}
			seen[change.recordName] = true
			records = append(records, r)
		}
		if change.digestBefore == digest {
			return records, true
		}
	}
	return nil, false
}
