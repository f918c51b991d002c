package delivery

// This file holds how a gateway chooses the control nodes that it watches.

import (
	"slices"
	"time"

	"madderwing/internal/membership"
	"madderwing/internal/rendezvous"
)

// Sources picks the two control nodes that a gateway watches: in different zones, its
// own zone first, and none that has lately been found wanting if others are
// left. One that was is first tried again in the second place.
type Sources struct {
	Self   string
	Zone   string
	Region func(zone string) string // nil: there is but one
	Seeds  []string
	// Patience is how long a source may be silent. One that answers, but out of contact
	// with a majority, is left sooner: see stalePart.
	Patience time.Duration
	heard    map[string]time.Duration // last fresh word
	stale    map[string]bool          // the last word was not fresh
	since    map[string]time.Duration // chosen since
	bad      map[string]time.Duration // not before, and then on trial until it is heard fresh
	current  []string
	known    []string      // those that were alive when any were, and the seeds
	freshAt  time.Duration // when any has last given a fresh word
	alsoAt   time.Duration // when others than those that are watched were last asked
	asked    int           // how many of known have been asked so
}

const (
	// alsoPart is the part of Patience without a fresh word from any source after which others
	// are asked too, and alsoMost how many at a time.
	alsoPart = 0.5
	alsoMost = 4
	// beatsOfPatience is how many beats Patience has.
	beatsOfPatience = 3

	stalePart     = 0.35 // of Patience, for a source that says that it is stale
	bothStalePart = 0.85 // if the other is not fresh either: an owner may be being replaced
	badFor        = 4    // patiences for which a source that was left is not tried
)

// Heard notes an issue.
func (s *Sources) Heard(now time.Duration, from string, fresh bool) {
	s.init()
	s.stale[from] = !fresh
	if fresh {
		s.heard[from], s.freshAt = now, now
		delete(s.bad, from)
	}
}

func (s *Sources) init() {
	if s.heard == nil {
		s.heard, s.since, s.bad = map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}
		s.stale = map[string]bool{}
	}
}

// First is the control node that the gateway watches first.
func (s *Sources) First() string {
	if len(s.current) == 0 {
		return ""
	}
	return s.current[0]
}

// without is how long a source has given no fresh word while it was chosen.
func (s *Sources) without(now time.Duration, id string) time.Duration {
	return now - max(s.heard[id], s.since[id])
}

// patience is how long a source may go without a fresh word.
func (s *Sources) patience(now time.Duration, id string) time.Duration {
	part := 1.0
	if s.stale[id] {
		part = bothStalePart
		for _, other := range s.current {
			if other != id && !s.stale[other] {
				part = stalePart
			}
		}
	}
	return time.Duration(part * float64(s.Patience))
}

// Choose names the control nodes to watch now.
func (s *Sources) Choose(now time.Duration, controlNodes []membership.Node) []string {
	s.init()
	var left []string
	elsewhere := s.freshElsewhere(now)
	for _, a := range s.current {
		if without := s.without(now, a); without > s.patience(now, a) || elsewhere && without > s.lately() {
			left = append(left, a)
		}
	}
	for _, a := range left {
		s.bad[a] = now + badFor*s.Patience
	}
	zones := map[string]string{}
	var ids []string
	for _, n := range controlNodes {
		ids = append(ids, n.Address)
		zones[n.Address] = n.Zone
	}
	s.know(ids)
	if len(ids) == 0 {
		ids = append(ids, s.Seeds...)
		for _, id := range ids {
			zones[id] = id
		}
	}
	order := rendezvous.Order(s.Self, ids)
	pick := func(rank func(id string) int, fit func(id string) bool) (best string) {
		for _, id := range order {
			if fit(id) && (best == "" || rank(id) < rank(best)) {
				best = id
			}
		}
		return best
	}
	const bad, trial = 8, 4 // above any distance
	var out []string
	first := pick(func(id string) int {
		rank := s.far(zones[id])
		if until, was := s.bad[id]; was && until > now {
			rank += bad
		} else if was {
			rank += trial
		}
		return rank
	}, func(string) bool { return true })
	if first != "" {
		out = append(out, first)
	}
	second := pick(func(id string) int {
		rank := s.far(zones[id])
		if s.bad[id] > now {
			rank += bad
		}
		return rank
	}, func(id string) bool { return zones[id] != zones[first] })
	if second != "" {
		out = append(out, second)
	}
	chosen := map[string]bool{}
	for _, id := range out {
		chosen[id] = true
		if _, ok := s.since[id]; !ok {
			s.since[id] = now
			delete(s.stale, id)
		}
	}
	for id := range s.since {
		if !chosen[id] {
			delete(s.since, id)
		}
	}
	s.current = out
	return out
}

// far is 0 for the own zone, 1 for the own region, and 2 for others.
func (s *Sources) far(zone string) int {
	switch {
	case zone == s.Zone:
		return 0
	case s.Region == nil || s.Region(zone) == s.Region(s.Zone):
		return 1
	}
	return 2
}

// know remembers the control nodes that are alive, and the seeds: those who were alive when this
// gateway was cut off are asked when it is joined again, though they seem dead by then.
func (s *Sources) know(alive []string) {
	if len(alive) > 0 {
		s.known = alive
	}
	for _, seed := range s.Seeds {
		if !slices.Contains(s.known, seed) {
			s.known = append(slices.Clip(s.known), seed)
		}
	}
}

// AlsoAsk names further control nodes to ask, a few once a beat and all in turn, while no control node
// has given a fresh word lately. To wait until each that is watched is found wanting, one after the
// other, could take longer than contactS.
func (s *Sources) AlsoAsk(now time.Duration) (out []string) {
	if now-s.freshAt < s.lately() || now-s.alsoAt < s.Patience/beatsOfPatience || len(s.known) == 0 {
		return nil
	}
	s.alsoAt = now
	order := rendezvous.Order(s.Self, s.known)
	for range order {
		if len(out) == alsoMost {
			break
		}
		id := order[s.asked%len(order)]
		s.asked++
		if !slices.Contains(s.current, id) {
			out = append(out, id)
		}
	}
	return out
}

// lately is for how long a fresh word counts as one.
func (s *Sources) lately() time.Duration { return time.Duration(alsoPart * float64(s.Patience)) }

// freshElsewhere says whether a control node that is not watched has lately given a fresh word.
func (s *Sources) freshElsewhere(now time.Duration) bool {
	for id, at := range s.heard {
		if now-at < s.lately() && !slices.Contains(s.current, id) {
			return true
		}
	}
	return false
}
