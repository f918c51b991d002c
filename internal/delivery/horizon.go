package delivery

import (
	"madderwing/internal/antientropy"
	"madderwing/internal/config"
)

// This file holds how a copy of the items follows what the control nodes have forgotten
// (see config.Horizon): ranges are taken whole from a sender with a higher horizon, by
// name from one with the same, and not at all from one with a lower.

// Horizons are those up to which each range of a copy has been taken whole.
type Horizons [antientropy.Ranges]uint64

func (w Watch) sameHorizons(o Watch) bool {
	if w.Horizons == nil || o.Horizons == nil {
		return w.Horizons == o.Horizons
	}
	return *w.Horizons == *o.Horizons
}

// Sender brings watchers the ranges that they lack, out of the records that a control
// node shows.
type Sender struct {
	// Log holds the newest changes of the records; nil: ranges are always sent whole.
	Log   *ChangeLog
	packs Packs
	next  int // the range to begin with for watchers that have no horizons
}

// Bring puts ranges that a watcher lacks into an issue, until they take about most bytes, and
// returns what the watcher has then.
func (s *Sender) Bring(set *antientropy.Set, has Watch, most int, out *Issue) Watch {
	horizon := config.Horizon(set.Records)
	lacks := has.lacks(set.Sums, horizon)
	if len(lacks) == 0 {
		return has
	}
	if has.Horizons == nil && horizon > 0 {
		// It keeps what was forgotten, so these ranges may never become the same: each is
		// to have its turn.
		s.next++
		begin := s.next % len(lacks)
		lacks = append(lacks[begin:len(lacks):len(lacks)], lacks[:begin]...)
	}
	out.Horizon = &horizon
	sums := *has.Sums
	var horizons Horizons
	if has.Horizons != nil {
		horizons = *has.Horizons
	}
	bytes, sent := 0, 0
	for _, i := range lacks {
		if bytes >= most {
			break
		}
		sent++
		if horizons[i] > horizon {
			// This control node lags. What is not the configuration's may be news all the same.
			for _, r := range set.Pick([]int{i}) {
				if !config.IsForgettable(r.Name) {
					out.Records = append(out.Records, r)
				}
			}
			continue
		}
		if size, ok := s.bringChanges(set, has, i, horizon, out); ok {
			bytes += size
			sums[i] = set.Sums[i]
			continue
		}
		bytes += s.packs.Range(set, i, has.Packs, out)
		sums[i], horizons[i] = set.Sums[i], horizon
		if horizon > 0 {
			out.Ranges = append(out.Ranges, i)
		}
	}
	out.More = sent < len(lacks)
	has.Sums = &sums
	if has.Horizons != nil {
		has.Horizons = &horizons
	}
	return has
}

// bringChanges puts what has changed in a range since the watcher's copy of it into an issue, if that
// is known and the watcher holds the range up to the same horizon, and says about how many bytes that takes.
func (s *Sender) bringChanges(set *antientropy.Set, has Watch, i int, horizon uint64, out *Issue) (size int, ok bool) {
	if s.Log == nil || has.Horizons != nil && has.Horizons[i] != horizon {
		return 0, false
	}
	records, ok := s.Log.since(set, i, has.Sums[i])
	if ok {
		out.Records = append(out.Records, records...)
	}
	return weight(records), ok
}

// lacks names the ranges that a watcher holds otherwise, or not up to a horizon.
func (w Watch) lacks(sums antientropy.Sums, horizon uint64) (ranges []int) {
	for i := range sums {
		if w.Sums[i] != sums[i] || w.Horizons != nil && w.Horizons[i] < horizon {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// Copy is a gateway's copy of the items.
type Copy struct {
	*antientropy.Set
	horizons Horizons
}

// NewCopy makes an empty copy.
func NewCopy() *Copy { return &Copy{Set: antientropy.NewSet()} }

// Tell puts what the copy holds into a question.
func (c *Copy) Tell(w *Watch) {
	sums, horizons := c.Sums, c.horizons
	w.Sums, w.Horizons = &sums, &horizons
}

// Take takes over what an issue brings, and says whether that changed anything. One with a
// damaged pack is not taken at all: a range could seem empty.
func (c *Copy) Take(i Issue) (changed bool, err error) {
	records := i.Records
	for _, pack := range i.Packs {
		unpacked, err := Unpack(pack)
		if err != nil {
			return false, err
		}
		records = append(records, unpacked...)
	}
	if i.Horizon == nil {
		return c.takeOlder(records), nil
	}
	changed = c.replace(*i.Horizon, i.Ranges, records)
	for _, r := range records {
		if config.IsForgettable(r.Name) && c.horizons[antientropy.RangeOf(r.Name)] != *i.Horizon {
			continue // the sender lags
		}
		changed = c.Merge([]antientropy.Record{r}) || changed
	}
	return changed, nil
}

// replace takes the ranges whole that the copy holds up to a lower horizon only.
func (c *Copy) replace(horizon uint64, ranges []int, records []antientropy.Record) (changed bool) {
	var whole [antientropy.Ranges]bool
	var lower []int
	for _, i := range ranges {
		if i >= 0 && i < antientropy.Ranges && c.horizons[i] < horizon {
			whole[i] = true
			lower = append(lower, i)
			c.horizons[i] = horizon
		}
	}
	if len(lower) == 0 {
		return false
	}
	var with []antientropy.Record
	for _, r := range records {
		if config.IsForgettable(r.Name) && whole[antientropy.RangeOf(r.Name)] {
			with = append(with, r)
		}
	}
	return config.Replace(c.Set, lower, with)
}

// takeOlder takes over what a control node of a version without horizons sends, by name.
// What it brings may have been forgotten, so the next one with a horizon brings these
// ranges whole.
func (c *Copy) takeOlder(records []antientropy.Record) (changed bool) {
	for _, r := range records {
		if c.Merge([]antientropy.Record{r}) {
			c.horizons[antientropy.RangeOf(r.Name)] = 0
			changed = true
		}
	}
	return changed
}
