// Package delivery brings the newest items and the list of upstreams from the
// control nodes to the gateways. A gateway tells a control node again and again what it has;
// the control node sends what is missing, at once when something changes. Nothing
// has to be remembered for the two to agree in the end.
package delivery

import (
	"sort"
	"time"

	"madderwing/internal/antientropy"
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
	// Listed says as of when the list holds. Only control nodes are told.
	Listed *Listed `cbor:"11,keyasint,omitempty"`
}

// Listed says that the platform's list of a version was whole and the newest Since after the watcher's
// clock showed Asked, or, if Since is negative, before. Durations only: the two need no common clock.
type Listed struct {
	Version upstream.Version `cbor:"1,keyasint"`
	Asked   time.Duration    `cbor:"2,keyasint"`
	Since   time.Duration    `cbor:"3,keyasint"`
	Calls   int              `cbor:"4,keyasint,omitempty"` // of the reading, to the platform
	Took    time.Duration    `cbor:"5,keyasint,omitempty"` // the reading
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

// Has says what a watcher is believed to have.
func (w *Watchers) Has(id string) (Watch, bool) {
	x, ok := w.all[id]
	if !ok {
		return Watch{}, false
	}
	return x.watch, true
}
