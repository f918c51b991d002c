// Package delivery brings the newest items and the list of upstreams from the
// control nodes to the gateways. A gateway tells a control node again and again what it has;
// the control node sends what is missing, at once when something changes. Nothing
// has to be remembered for the two to agree in the end.
package delivery

import (
	"sort"
	"time"

	"madderwing/internal/antientropy"
	"madderwing/internal/membership"
	"madderwing/internal/rendezvous"
	"madderwing/internal/upstream"
)

// Kinds of message.
const (
	ToldKind = "told" // between control nodes

	ScoreKind  = "score"  // a gateway to the control node that it watches first
	GatherKind = "gather" // and a control node to the controller of a rollout

	WatchKind = "watch"
	IssueKind = "issue"

	AcquireKind      = "draw"   // a gateway to a branch that lends quotas
	AcquireReplyKind = "drawn"  // and its answer
	ReturnKind       = "return" // a gateway to a branch: a token that was not used
	ReportKind       = "report" // a branch to the allocator
	AllocationKind   = "loan"   // and its answer
	RecallKind       = "recall" // a new lender to the branches
)

// Watch is what a node says that it has.
type Watch struct {
	Sums    *antientropy.Sums `cbor:"1,keyasint,omitempty"` // nil: only the list is wanted
	Listing upstream.Version  `cbor:"2,keyasint"`
	// Zone and Load are the sender's zone and requests under way by service. A
	// gateway tells them to one control node only.
	Zone string             `cbor:"3,keyasint,omitempty"`
	Load map[string]float64 `cbor:"4,keyasint,omitempty"`
	// Asked is the sender's clock, so that it can tell how old its items are.
	Asked time.Duration `cbor:"5,keyasint,omitempty"`
	// Second says that the sender hears of changes from another control node; this one
	// is to answer what it asks and need not send by itself.
	Second bool `cbor:"6,keyasint,omitempty"`
	// Packs says that the sender reads packs.
	Packs bool `cbor:"7,keyasint,omitempty"`
	// Horizons go with Sums. Gateways of a version before them send none.
	Horizons *Horizons `cbor:"8,keyasint,omitempty"`
}

// Told is what control nodes tell each other of those who watch them: loads by zone,
// and the digest of the items that each gateway has in force.
type Told struct {
	Loads upstream.Loads    `cbor:"1,keyasint,omitempty"`
	Holds map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// Issue is what a control node sends.
type Issue struct {
	Records []antientropy.Record `cbor:"1,keyasint,omitempty"`
	Listing *upstream.List       `cbor:"2,keyasint,omitempty"`
	// Fresh says that a majority has lately stood behind all that the control node shows.
	Fresh bool `cbor:"3,keyasint,omitempty"`
	// Loads are those of all zones, as far as the control node knows.
	Loads upstream.Loads `cbor:"4,keyasint,omitempty"`
	// Sure answers Asked, if the items brought or named by the question's digests
	// are all that the control node holds and it knows how old that is.
	Sure *Sure `cbor:"5,keyasint,omitempty"`
	// Led says that every rollout under way has a controller that the control node hears; it
	// is not said without Fresh.
	Led bool `cbor:"6,keyasint,omitempty"`
	// Packs are records too, folded up; More says that further ranges differ, which the
	// watcher gets by asking again.
	Packs [][]byte `cbor:"7,keyasint,omitempty"`
	More  bool     `cbor:"8,keyasint,omitempty"`
	// Horizon is that of the records, which then are, of the configuration's own, all that
	// the control node holds in Ranges. Ranges are named from the first horizon on; control
	// nodes of a version before them send neither.
	Horizon *uint64 `cbor:"9,keyasint,omitempty"`
	Ranges  []int   `cbor:"10,keyasint,omitempty"`
}

// Sure says that what the gateway has from now on was the newest, at the latest, Age
// before it asked. Durations only: the two need no common clock.
type Sure struct {
	Asked time.Duration `cbor:"1,keyasint"`
	Age   time.Duration `cbor:"2,keyasint"`
}

// Empty says whether an issue brings nothing.
func (i *Issue) Empty() bool {
	return len(i.Records)+len(i.Packs)+len(i.Ranges) == 0 && i.Listing == nil
}

// Watchers is the list of those who watch a control node.
type Watchers struct {
	Forget time.Duration
	all    map[string]*watcher
}

type watcher struct {
	watch Watch // what it is believed to have
	told  Watch // what it has told itself
	holds uint64
	seen  time.Duration
	sent  time.Duration // when it was last sent something
	any   bool
}

// Note notes what a watcher has.
func (w *Watchers) Note(now time.Duration, from string, watch Watch) {
	if w.all == nil {
		w.all = map[string]*watcher{}
	}
	x := &watcher{watch: watch, seen: now}
	if old := w.all[from]; old != nil {
		x.holds, x.told, x.sent, x.any = old.holds, old.told, old.sent, old.any
	}
	w.all[from] = x
}

// Sent notes that a watcher was sent something.
func (w *Watchers) Sent(now time.Duration, to string) {
	if x := w.all[to]; x != nil {
		x.sent, x.any = now, true
	}
}

// Believe is what a watcher may be taken to have: if it tells the same as last
// time and something was sent to it within the time given, that is on its way and
// need not be sent again. guessed says that this goes beyond its own word.
func (w *Watchers) Believe(now time.Duration, from string, tells Watch, within time.Duration) (has Watch, guessed bool) {
	x := w.all[from]
	has = tells
	if x != nil && x.any && now-x.sent < within {
		if tells.Sums != nil && x.told.Sums != nil && *tells.Sums == *x.told.Sums && tells.sameHorizons(x.told) && x.watch.Sums != nil {
			has.Sums, has.Horizons = x.watch.Sums, x.watch.Horizons
			guessed = *x.watch.Sums != *tells.Sums || !tells.sameHorizons(x.watch)
		}
		if tells.Listing == x.told.Listing && tells.Listing != x.watch.Listing {
			has.Listing, guessed = x.watch.Listing, true
		}
	}
	return has, guessed
}

// Holds notes what a watcher has told.
func (w *Watchers) Holds(from string, tells Watch) {
	if x := w.all[from]; x != nil {
		x.told = tells
		if tells.Sums != nil {
			x.holds = tells.Sums.Fold()
		}
	}
}

// Each calls fn for every watcher that is not forgotten, and has not said that
// another control node sends it what changes, with what it is
// believed to have; fn returns what it has from then on.
func (w *Watchers) Each(now time.Duration, fn func(to string, has Watch) Watch) {
	ids := make([]string, 0, len(w.all))
	for id, x := range w.all {
		if now-x.seen > w.Forget {
			delete(w.all, id)
		} else if !x.told.Second {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		w.all[id].watch = fn(id, w.all[id].watch)
	}
}

// Told sums up what the watchers have told.
func (w *Watchers) Told(now time.Duration) Told {
	out := Told{upstream.Loads{}, map[string]uint64{}}
	for id, x := range w.all {
		if now-x.seen > w.Forget || x.watch.Sums == nil {
			continue
		}
		out.Holds[id] = x.holds
		if x.watch.Zone != "" {
			out.Loads.Add(upstream.Loads{x.watch.Zone: x.watch.Load})
		}
	}
	return out
}

// Count is the number of watchers that are not forgotten.
func (w *Watchers) Count(now time.Duration) (n int) {
	for _, x := range w.all {
		if now-x.seen <= w.Forget {
			n++
		}
	}
	return n
}

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
}

const (
	stalePart     = 0.35 // of Patience, for a source that says that it is stale
	bothStalePart = 0.85 // if the other is not fresh either: an owner may be being replaced
	badFor        = 4    // patiences for which a source that was left is not tried
)

// Heard notes an issue.
func (s *Sources) Heard(now time.Duration, from string, fresh bool) {
	s.init()
	s.stale[from] = !fresh
	if fresh {
		s.heard[from] = now
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
	for _, a := range s.current {
		if s.without(now, a) > s.patience(now, a) {
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

// Has says what a watcher is believed to have.
func (w *Watchers) Has(id string) (Watch, bool) {
	x, ok := w.all[id]
	if !ok {
		return Watch{}, false
	}
	return x.watch, true
}
