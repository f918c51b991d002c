package delivery

// This file implements how a gateway selects the control nodes that it watches.

import (
	"slices"
	"time"

	"madderwing/internal/membership"
	"madderwing/internal/rendezvous"
)

// Sources selects the two control nodes (sources) that a gateway watches. They are in different
// zones, the gateway's own zone comes first, and a control node that recently timed out is avoided
// while there are others; afterwards it has to be the second source before it may be the first again.
// A source is fresh while it sends updates with Update.Fresh set, and stale while it sends others.
type Sources struct {
	Self   string
	Zone   string
	Region func(zone string) string // nil: there is only one region
	Seeds  []string
	// Timeout is how long a source may send no fresh update before it is replaced. A source that
	// replies but is stale is replaced sooner: see staleFraction.
	Timeout         time.Duration
	lastFresh       map[string]time.Duration // time of the last fresh update
	stale           map[string]bool          // whether the last update was not fresh
	chosenAt        map[string]time.Duration // when a chosen source was chosen
	avoidUntil      map[string]time.Duration // avoided until then; later only second source until it sends a fresh update
	chosen          []string
	candidates      []string      // control nodes that were last seen alive, and the seeds
	anyFreshAt      time.Duration // time of the last fresh update from any control node
	fallbackAskedAt time.Duration // when control nodes other than the chosen ones were last asked
	fallbackIndex   int           // number of candidates passed so far; the index of the next one
}

const (
	// fallbackFraction is the fraction of Timeout without a fresh update from any control node after
	// which others are asked too, and maxFallbacks how many of them at a time.
	fallbackFraction = 0.5
	maxFallbacks     = 4
	// watchIntervalsPerTimeout is the number of intervals between watch messages in Timeout.
	watchIntervalsPerTimeout = 3

	staleFraction     = 0.35 // of Timeout, for a source that is stale
	bothStaleFraction = 0.85 // if the other source is stale too: the ownership of the configuration may be moving
	avoidTimeouts     = 4    // multiples of Timeout for which a replaced source is avoided
)

// Received records an update from a control node, and whether it was fresh.
func (s *Sources) Received(now time.Duration, from string, fresh bool) {
	s.init()
	s.stale[from] = !fresh
	if fresh {
		s.lastFresh[from], s.anyFreshAt = now, now
		delete(s.avoidUntil, from)
	}
}

func (s *Sources) init() {
	if s.lastFresh == nil {
		s.lastFresh, s.chosenAt, s.avoidUntil = map[string]time.Duration{}, map[string]time.Duration{}, map[string]time.Duration{}
		s.stale = map[string]bool{}
	}
}

// First returns the control node that the gateway watches first, or an empty string.
func (s *Sources) First() string {
	if len(s.chosen) == 0 {
		return ""
	}
	return s.chosen[0]
}

// timeWithoutFresh returns for how long a chosen source has sent no fresh update.
func (s *Sources) timeWithoutFresh(now time.Duration, id string) time.Duration {
	return now - max(s.lastFresh[id], s.chosenAt[id])
}

// timeout returns how long a source may go without a fresh update.
func (s *Sources) timeout(now time.Duration, id string) time.Duration {
	fraction := 1.0
	if s.stale[id] {
		fraction = bothStaleFraction
		for _, other := range s.chosen {
			if other != id && !s.stale[other] {
				fraction = staleFraction
			}
		}
	}
	return time.Duration(fraction * float64(s.Timeout))
}

// Choose returns the control nodes to watch now.
func (s *Sources) Choose(now time.Duration, controlNodes []membership.Node) []string {
	s.init()
	var abandoned []string
	freshUnwatched := s.freshUnwatched(now)
	for _, id := range s.chosen {
		if silence := s.timeWithoutFresh(now, id); silence > s.timeout(now, id) || freshUnwatched && silence > s.freshDuration() {
			abandoned = append(abandoned, id)
		}
	}
	for _, id := range abandoned {
		s.avoidUntil[id] = now + avoidTimeouts*s.Timeout
	}
	zones := map[string]string{}
	var ids []string
	for _, n := range controlNodes {
		ids = append(ids, n.Address)
		zones[n.Address] = n.Zone
	}
	s.updateCandidates(ids)
	if len(ids) == 0 {
		ids = append(ids, s.Seeds...)
		for _, id := range ids {
			zones[id] = id // the zones of seeds are unknown: each counts as one of its own
		}
	}
	ordered := rendezvous.Order(s.Self, ids)
	pickBest := func(rank func(id string) int, eligible func(id string) bool) (best string) {
		for _, id := range ordered {
			if eligible(id) && (best == "" || rank(id) < rank(best)) {
				best = id
			}
		}
		return best
	}
	const avoidPenalty, trialPenalty = 8, 4 // added to the distance; higher than any distance
	var selected []string
	first := pickBest(func(id string) int {
		rank := s.distance(zones[id])
		if until, avoided := s.avoidUntil[id]; avoided && until > now {
			rank += avoidPenalty
		} else if avoided {
			rank += trialPenalty
		}
		return rank
	}, func(string) bool { return true })
	if first != "" {
		selected = append(selected, first)
	}
	second := pickBest(func(id string) int {
		rank := s.distance(zones[id])
		if s.avoidUntil[id] > now {
			rank += avoidPenalty
		}
		return rank
	}, func(id string) bool { return zones[id] != zones[first] })
	if second != "" {
		selected = append(selected, second)
	}
	isSelected := map[string]bool{}
	for _, id := range selected {
		isSelected[id] = true
		if _, ok := s.chosenAt[id]; !ok {
			s.chosenAt[id] = now
			delete(s.stale, id)
		}
	}
	for id := range s.chosenAt {
		if !isSelected[id] {
			delete(s.chosenAt, id)
		}
	}
	s.chosen = selected
	return selected
}

// distance is 0 for the gateway's own zone, 1 for its own region, and 2 for others.
func (s *Sources) distance(zone string) int {
	switch {
	case zone == s.Zone:
		return 0
	case s.Region == nil || s.Region(zone) == s.Region(s.Zone):
		return 1
	}
	return 2
}

// updateCandidates remembers the control nodes that are alive, and the seeds. If none is alive, the
// previous candidates stay: a gateway that was partitioned asks them when the partition ends, although
// they are still shown as failed then.
func (s *Sources) updateCandidates(alive []string) {
	if len(alive) > 0 {
		s.candidates = alive
	}
	for _, seed := range s.Seeds {
		if !slices.Contains(s.candidates, seed) {
			s.candidates = append(slices.Clip(s.candidates), seed)
		}
	}
}

// Fallbacks returns further control nodes to ask while none has sent a fresh update recently: a few in
// each watch interval, all in turn. Waiting for one watched control node after the other to time out could
// take longer than the setting contactS.
func (s *Sources) Fallbacks(now time.Duration) (out []string) {
	if now-s.anyFreshAt < s.freshDuration() || now-s.fallbackAskedAt < s.Timeout/watchIntervalsPerTimeout || len(s.candidates) == 0 {
		return nil
	}
	s.fallbackAskedAt = now
	order := rendezvous.Order(s.Self, s.candidates)
	for range order {
		if len(out) == maxFallbacks {
			break
		}
		id := order[s.fallbackIndex%len(order)]
		s.fallbackIndex++
		if !slices.Contains(s.chosen, id) {
			out = append(out, id)
		}
	}
	return out
}

// freshDuration is how long a fresh update counts as recent.
func (s *Sources) freshDuration() time.Duration {
	return time.Duration(fallbackFraction * float64(s.Timeout))
}

// freshUnwatched reports whether a control node that is not watched has recently sent a fresh update.
func (s *Sources) freshUnwatched(now time.Duration) bool {
	for id, at := range s.lastFresh {
		if now-at < s.freshDuration() && !slices.Contains(s.chosen, id) {
			return true
		}
	}
	return false
}
