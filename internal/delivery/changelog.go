package delivery

import "madderwing/internal/antientropy"

// loggedChanges is how many of the newest changes of each range a ChangeLog holds.
const loggedChanges = 128

// ChangeLog holds the newest changes of a set of records, so that a watcher that lacks only these is
// sent them and not the ranges that they are in.
type ChangeLog struct {
	ranges [antientropy.Ranges]rangeLog
}

type rangeLog struct {
	changes []rangeChange // the oldest first
	after   uint64        // the digest after the last one
}

// rangeChange is a change of one record of a range whose digest was before.
type rangeChange struct {
	before uint64
	name   string
}

// Put puts a record into a set and notes that.
func (l *ChangeLog) Put(set *antientropy.Set, r antientropy.Record) {
	i := antientropy.RangeOf(r.Name)
	log, before := &l.ranges[i], set.Sums[i]
	if log.after != before {
		log.changes = nil
	}
	set.Put(r)
	log.changes = append(log.changes, rangeChange{before, r.Name})
	log.changes = log.changes[max(0, len(log.changes)-loggedChanges):]
	log.after = set.Sums[i]
}

// since lists the records of a range that have changed since its digest was has; ok is false if that
// isn't known.
func (l *ChangeLog) since(set *antientropy.Set, i int, has uint64) (records []antientropy.Record, ok bool) {
	log := &l.ranges[i]
	if log.after != set.Sums[i] {
		return nil, false
	}
	named := map[string]bool{}
	for n := len(log.changes) - 1; n >= 0; n-- {
		change := log.changes[n]
		if !named[change.name] {
			r, stands := set.Records[change.name]
			if !stands {
				return nil, false
			}
			named[change.name] = true
			records = append(records, r)
		}
		if change.before == has {
			return records, true
		}
	}
	return nil, false
}
