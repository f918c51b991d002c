// Package delivery replicates the configuration records and the list of upstreams from the control
// nodes to the gateways. A gateway watches a control node by periodically
// reporting what it holds. The control node sends what is missing, and sends changes as soon as they
// happen. Convergence does not depend on what either remembers of the other.
package delivery

import (
	"sort"
	"time"

	"madderwing/internal/antientropy"
	"madderwing/internal/upstream"
)

// Kinds of messages.
const (
	WatcherSummaryKind = "told" // between control nodes: a summary of their watchers

	RolloutReportKind    = "score"  // gateway to the control node that it watches first: what it saw of rollouts
	ForwardedReportsKind = "gather" // control node to the controller of a rollout: these reports

	WatchKind  = "watch"
	UpdateKind = "issue"

	AcquireKind      = "draw"   // gateway to a control node: a request for a quota token
	AcquireReplyKind = "drawn"  // reply to "draw"
	ReturnKind       = "return" // gateway to a control node: a token that was not used
	ReportKind       = "report" // control node to the quota allocator: its shares and its demand
	AllocationKind   = "loan"   // reply to "report"
	RecallKind       = "recall" // new quota allocator to the control nodes: a request for a report
)

// Watch tells a control node what the sender holds, and asks for what it lacks.
type Watch struct {
	Sums        *antientropy.Sums    `cbor:"1,keyasint,omitempty"` // nil: only the list of upstreams is requested
	ListVersion upstream.ListVersion `cbor:"2,keyasint"`
	// Zone and Load are the sender's zone and its requests in flight by service. A
	// gateway sends them to one control node only.
	Zone string             `cbor:"3,keyasint,omitempty"`
	Load map[string]float64 `cbor:"4,keyasint,omitempty"`
	// AskedAt is the time by the sender's clock. The reply repeats it, so that the sender can bound the
	// age of its records.
	AskedAt time.Duration `cbor:"5,keyasint,omitempty"`
	// Secondary says that another control node sends changes to the sender. The receiver only
	// replies to this message and sends no further updates.
	Secondary bool `cbor:"6,keyasint,omitempty"`
	// AcceptsPacks says that the sender accepts packs, see Pack.
	AcceptsPacks bool `cbor:"7,keyasint,omitempty"`
	// Horizons belong to Sums. Gateways of versions before horizons send none.
	Horizons *Horizons `cbor:"8,keyasint,omitempty"`
	// Pending is set while the sender has no whole copy and serves nobody: the ranges, one bit each, that
	// have never been equal to the receiver's. The receiver sends these first and adds its digests to its updates.
	Pending rangeSet `cbor:"9,keyasint,omitempty"`
}

// WatcherSummary is the summary of its watchers that a control node sends to the others: the loads by
// zone, and the digest of the records that each gateway holds.
type WatcherSummary struct {
	Loads   upstream.Loads    `cbor:"1,keyasint,omitempty"`
	Digests map[string]uint64 `cbor:"2,keyasint,omitempty"`
}

// Update is an update that a control node sends to a watcher.
type Update struct {
	Records []antientropy.Record `cbor:"1,keyasint,omitempty"`
	List    *upstream.List       `cbor:"2,keyasint,omitempty"`
	// Fresh says that a majority has recently confirmed all that the control node serves.
	Fresh bool `cbor:"3,keyasint,omitempty"`
	// Loads are the loads of all zones that the control node knows of.
	Loads upstream.Loads `cbor:"4,keyasint,omitempty"`
	// Freshness refers to Watch.AskedAt. It is set if the watcher, given this update, holds all records of
	// the control node, and the control node knows how old these are.
	Freshness *Freshness `cbor:"5,keyasint,omitempty"`
	// RolloutsControlled says that every active rollout has a controller known to the control node. It is
	// set only together with Fresh.
	RolloutsControlled bool `cbor:"6,keyasint,omitempty"`
	// Packs are compressed records, see Pack. More says that further ranges differ; the
	// watcher gets these by asking again.
	Packs [][]byte `cbor:"7,keyasint,omitempty"`
	More  bool     `cbor:"8,keyasint,omitempty"`
	// Horizon is the horizon of the control node's records (see config.Horizon). Of the ranges in
	// Ranges, the update contains all records that config.CoveredByHorizon names. Ranges is empty
	// while the horizon is 0. Control nodes of versions before horizons send neither.
	Horizon *uint64 `cbor:"9,keyasint,omitempty"`
	Ranges  []int   `cbor:"10,keyasint,omitempty"`
	// ListFreshness says how recent the list of upstreams is. It is sent to control nodes only.
	ListFreshness *ListFreshness `cbor:"11,keyasint,omitempty"`
	// Sums are the digests of the control node's records at the time of this update. They are sent to
	// watchers that have no whole copy yet, see Watch.Pending.
	Sums *antientropy.Sums `cbor:"12,keyasint,omitempty"`
}

// ListFreshness says that this version of the list of upstreams was complete and up to date at the time
// AskedAt+Offset of the watcher's clock or later. Offset may be negative. With durations the two nodes need
// no common clock.
type ListFreshness struct {
	Version upstream.ListVersion `cbor:"1,keyasint"`
	AskedAt time.Duration        `cbor:"2,keyasint"`
	Offset  time.Duration        `cbor:"3,keyasint"`
	Calls   int                  `cbor:"4,keyasint,omitempty"` // platform API calls that reading the list took
	Took    time.Duration        `cbor:"5,keyasint,omitempty"` // time that reading the list took
}

// Freshness says that the records which the gateway holds after this update were up to date at the time
// AskedAt-Age of its clock or later. With durations the two nodes need no common clock.
type Freshness struct {
	AskedAt time.Duration `cbor:"1,keyasint"`
	Age     time.Duration `cbor:"2,keyasint"`
}

// Empty reports whether an update contains neither records nor a list.
func (u *Update) Empty() bool {
	return len(u.Records)+len(u.Packs)+len(u.Ranges) == 0 && u.List == nil
}

// Watchers tracks the nodes that watch a control node.
type Watchers struct {
	ExpireAfter time.Duration
	byID        map[string]*watcher
}

type watcher struct {
	assumed  Watch  // what it is assumed to hold, updates in flight included
	reported Watch  // what it last reported
	digest   uint64 // of the records that it reported, see antientropy.Sums.Fold
	lastSeen time.Duration
	lastSent time.Duration // when an update was last sent to it; see everSent
	everSent bool
}

// SetAssumed sets what a watcher is assumed to hold.
func (w *Watchers) SetAssumed(now time.Duration, from string, assumed Watch) {
	if w.byID == nil {
		w.byID = map[string]*watcher{}
	}
	entry := &watcher{assumed: assumed, lastSeen: now}
	if previous := w.byID[from]; previous != nil {
		entry.digest, entry.reported, entry.lastSent, entry.everSent = previous.digest, previous.reported, previous.lastSent, previous.everSent
	}
	w.byID[from] = entry
}

// Sent records that an update was sent to a watcher.
func (w *Watchers) Sent(now time.Duration, to string) {
	if entry := w.byID[to]; entry != nil {
		entry.lastSent, entry.everSent = now, true
	}
}

// Assume returns what a watcher can be assumed to hold. If it reports the same as last time and an
// update was sent to it within the given time, the update is taken to be in flight and needn't be
// sent again. guessed says that the result differs from the report.
func (w *Watchers) Assume(now time.Duration, from string, reported Watch, within time.Duration) (assumed Watch, guessed bool) {
	entry := w.byID[from]
	assumed = reported
	if entry != nil && entry.everSent && now-entry.lastSent < within {
		if reported.Sums != nil && entry.reported.Sums != nil && *reported.Sums == *entry.reported.Sums && reported.sameHorizons(entry.reported) && entry.assumed.Sums != nil {
			assumed.Sums, assumed.Horizons = entry.assumed.Sums, entry.assumed.Horizons
			guessed = *entry.assumed.Sums != *reported.Sums || !reported.sameHorizons(entry.assumed)
		}
		if reported.ListVersion == entry.reported.ListVersion && reported.ListVersion != entry.assumed.ListVersion {
			assumed.ListVersion, guessed = entry.assumed.ListVersion, true
		}
	}
	return assumed, guessed
}

// SetReported records what a watcher reported.
func (w *Watchers) SetReported(from string, reported Watch) {
	if entry := w.byID[from]; entry != nil {
		entry.reported = reported
		if reported.Sums != nil {
			entry.digest = reported.Sums.Fold()
		}
	}
}

// Each calls fn with the assumed state of every watcher that hasn't expired and is sent changes as they
// happen: not one that gets them from another control node (see Watch.Secondary), nor one that still asks
// for its first whole copy (see Watch.Pending), whose link the parts of that copy fill. fn returns the new
// assumed state. Expired watchers are removed.
func (w *Watchers) Each(now time.Duration, fn func(to string, assumed Watch) Watch) {
	ids := make([]string, 0, len(w.byID))
	for id, entry := range w.byID {
		if now-entry.lastSeen > w.ExpireAfter {
			delete(w.byID, id)
		} else if !entry.reported.Secondary && entry.reported.Pending == 0 {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		w.byID[id].assumed = fn(id, w.byID[id].assumed)
	}
}

// Summary summarizes what the watchers reported.
func (w *Watchers) Summary(now time.Duration) WatcherSummary {
	out := WatcherSummary{upstream.Loads{}, map[string]uint64{}}
	for id, entry := range w.byID {
		if now-entry.lastSeen > w.ExpireAfter || entry.assumed.Sums == nil {
			continue
		}
		out.Digests[id] = entry.digest
		if entry.assumed.Zone != "" {
			out.Loads.Add(upstream.Loads{entry.assumed.Zone: entry.assumed.Load})
		}
	}
	return out
}

// Count returns the number of watchers that haven't expired.
func (w *Watchers) Count(now time.Duration) (n int) {
	for _, entry := range w.byID {
		if now-entry.lastSeen <= w.ExpireAfter {
			n++
		}
	}
	return n
}

// Assumed returns what a watcher is assumed to hold.
func (w *Watchers) Assumed(id string) (Watch, bool) {
	entry, ok := w.byID[id]
	if !ok {
		return Watch{}, false
	}
	return entry.assumed, true
}
