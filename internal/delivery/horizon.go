package delivery

import (
	"madderwing/internal/antientropy"
	"madderwing/internal/config"
)

// This file keeps copies of the records consistent when the tombstones of removed items are purged (see
// config.Horizon). A copy applies a range from a sender as follows: with a higher horizon the sender's
// range replaces the copy's, with the same horizon newer records are merged, and with a lower one
// only records that are never purged are merged.

// Horizons holds, for each range of a copy, the horizon at which the range was last replaced.
type Horizons [antientropy.Ranges]uint64

func (w Watch) sameHorizons(other Watch) bool {
	if w.Horizons == nil || other.Horizons == nil {
		return w.Horizons == other.Horizons
	}
	return *w.Horizons == *other.Horizons
}

// Sender adds the ranges that a watcher lacks, from the records that a control node serves, to
// updates.
type Sender struct {
	// Log holds the newest changes of the records. If it is nil, ranges are always sent whole.
	Log       *ChangeLog
	packs     PackCache
	nextStart int // counter that rotates the first range for watchers without horizons
}

// AddMissing adds ranges that a watcher lacks to an update until they take about maxBytes, and returns
// what the watcher holds once it has applied the update.
func (s *Sender) AddMissing(set *antientropy.Set, watch Watch, maxBytes int, out *Update) Watch {
	horizon := config.Horizon(set.Records)
	missing := watch.missingRanges(set.Sums, horizon)
	if len(missing) == 0 {
		return watch
	}
	if watch.Horizons == nil && horizon > 0 {
		// Such a watcher keeps purged records, so its ranges may never become equal. Rotating the
		// first range keeps a range that always differs from starving the others.
		s.nextStart++
		start := s.nextStart % len(missing)
		missing = append(missing[start:len(missing):len(missing)], missing[:start]...)
	}
	missing = pendingFirst(missing, watch.Pending)
	out.Horizon = &horizon
	sums := *watch.Sums
	var horizons Horizons
	if watch.Horizons != nil {
		horizons = *watch.Horizons
	}
	bytes, sentRanges := 0, 0
	for _, rangeIndex := range missing {
		if bytes >= maxBytes {
			break
		}
		sentRanges++
		if horizons[rangeIndex] > horizon {
			// This control node lags behind the watcher. Records that are never purged may still be newer.
			for _, r := range set.Pick([]int{rangeIndex}) {
				if !config.CoveredByHorizon(r.Name) {
					out.Records = append(out.Records, r)
				}
			}
			continue
		}
		if size, ok := s.addChanges(set, watch, rangeIndex, horizon, out); ok {
			bytes += size
			sums[rangeIndex] = set.Sums[rangeIndex]
			continue
		}
		bytes += s.packs.AddRange(set, rangeIndex, watch.AcceptsPacks, out)
		sums[rangeIndex], horizons[rangeIndex] = set.Sums[rangeIndex], horizon
		if horizon > 0 {
			out.Ranges = append(out.Ranges, rangeIndex)
		}
	}
	out.More = sentRanges < len(missing)
	watch.Sums = &sums
	if watch.Horizons != nil {
		watch.Horizons = &horizons
	}
	return watch
}

// addChanges adds the records of a range that have changed since the watcher's copy of it to an update.
// ok is false if they aren't known or the watcher has the range at another horizon. size is
// approximate, in bytes.
func (s *Sender) addChanges(set *antientropy.Set, watch Watch, rangeIndex int, horizon uint64, out *Update) (size int, ok bool) {
	if s.Log == nil || watch.Horizons != nil && watch.Horizons[rangeIndex] != horizon {
		return 0, false
	}
	records, ok := s.Log.changesSince(set, rangeIndex, watch.Sums[rangeIndex])
	if ok {
		out.Records = append(out.Records, records...)
	}
	return approxSize(records), ok
}

// missingRanges returns the ranges whose digests differ or whose horizon is lower at the watcher.
func (w Watch) missingRanges(sums antientropy.Sums, horizon uint64) (ranges []int) {
	for i := range sums {
		if w.Sums[i] != sums[i] || w.Horizons != nil && w.Horizons[i] < horizon {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// pendingFirst moves the pending ranges to the front. Otherwise a range that changes often would be sent
// again and again before those that the watcher has never had.
func pendingFirst(ranges []int, pending rangeSet) []int {
	if pending == 0 {
		return ranges
	}
	var first, rest []int
	for _, i := range ranges {
		if pending.contains(i) {
			first = append(first, i)
		} else {
			rest = append(rest, i)
		}
	}
	return append(first, rest...)
}

// Copy is a gateway's copy of the records.
type Copy struct {
	*antientropy.Set
	horizons Horizons
}

// NewCopy returns an empty copy.
func NewCopy() *Copy { return &Copy{Set: antientropy.NewSet()} }

// FillWatch sets the digests and horizons of the copy in w.
func (c *Copy) FillWatch(w *Watch) {
	sums, horizons := c.Sums, c.horizons
	w.Sums, w.Horizons = &sums, &horizons
}

// Apply applies an update and reports whether that changed anything. An update with a damaged pack
// is rejected as a whole, since a range without the pack's records would seem empty.
func (c *Copy) Apply(update Update) (changed bool, err error) {
	records, err := update.allRecords()
	if err != nil {
		return false, err
	}
	return c.apply(update, records), nil
}

// allRecords returns the records of an update, with those in packs.
func (u *Update) allRecords() ([]antientropy.Record, error) {
	records := u.Records
	for _, pack := range u.Packs {
		unpacked, err := Unpack(pack)
		if err != nil {
			return nil, err
		}
		records = append(records, unpacked...)
	}
	return records, nil
}

// apply applies an update whose records are given, with those in packs.
func (c *Copy) apply(update Update, records []antientropy.Record) (changed bool) {
	if update.Horizon == nil {
		return c.applyWithoutHorizon(records)
	}
	changed = c.replaceRanges(*update.Horizon, update.Ranges, records)
	for _, r := range records {
		if config.CoveredByHorizon(r.Name) && c.horizons[antientropy.RangeOf(r.Name)] != *update.Horizon {
			continue // the sender's horizon is lower than the copy's
		}
		changed = c.Merge([]antientropy.Record{r}) || changed
	}
	return changed
}

// replaceRanges replaces those of the given ranges that the copy has at a lower horizon.
func (c *Copy) replaceRanges(horizon uint64, ranges []int, records []antientropy.Record) (changed bool) {
	var isReplaced [antientropy.Ranges]bool
	var replaced []int
	for _, i := range ranges {
		if i >= 0 && i < antientropy.Ranges && c.horizons[i] < horizon {
			isReplaced[i] = true
			replaced = append(replaced, i)
			c.horizons[i] = horizon
		}
	}
	if len(replaced) == 0 {
		return false
	}
	var replacements []antientropy.Record
	for _, r := range records {
		if config.CoveredByHorizon(r.Name) && isReplaced[antientropy.RangeOf(r.Name)] {
			replacements = append(replacements, r)
		}
	}
	return config.ReplaceRecords(c.Set, replaced, replacements)
}

// applyWithoutHorizon merges records from a control node of a version without horizons. They may have
// been purged elsewhere, so the horizons of their ranges are reset: the next update with a horizon
// replaces these ranges.
func (c *Copy) applyWithoutHorizon(records []antientropy.Record) (changed bool) {
	for _, r := range records {
		if c.Merge([]antientropy.Record{r}) {
			c.horizons[antientropy.RangeOf(r.Name)] = 0
			changed = true
		}
	}
	return changed
}
