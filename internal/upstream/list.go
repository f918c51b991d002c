// Package upstream holds the list of upstreams (the servers that requests are forwarded to),
// which one control node reads from the platform that runs them and distributes, and the
// load balancer of each gateway, with what the gateway has observed of each upstream.
package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"time"
)

// Instance is one running instance of a server as the platform lists it. After a restart it has another ID.
type Instance struct {
	ID       string `cbor:"1,keyasint" json:"id"`
	Service  string `cbor:"2,keyasint" json:"target"`
	Address  string `cbor:"3,keyasint" json:"address"`
	Zone     string `cbor:"4,keyasint" json:"zone"`
	Capacity int    `cbor:"5,keyasint" json:"capacity"` // requests that it can process at once (its slots)
	Draining bool   `cbor:"6,keyasint,omitempty" json:"draining"`
	WarmupMs int64  `cbor:"7,keyasint,omitempty" json:"warmupMs"`
	Version  string `cbor:"8,keyasint,omitempty" json:"version"` // of the software that it runs
}

// ListVersion orders lists by age. The control node that reads the list (its owner) is elected for
// a term; Seq counts its lists. RunID identifies the owner's process and tells apart two
// owners in one term, which is possible after all control nodes have lost their state.
type ListVersion struct {
	Term  uint64 `cbor:"1,keyasint,omitempty" json:"term"`
	Seq   uint64 `cbor:"2,keyasint,omitempty" json:"seq"`
	RunID uint64 `cbor:"3,keyasint,omitempty" json:"life"`
}

// Less reports whether v is older than other.
func (v ListVersion) Less(other ListVersion) bool {
	if v.Term != other.Term {
		return v.Term < other.Term
	}
	if v.RunID != other.RunID {
		return v.RunID < other.RunID
	}
	return v.Seq < other.Seq
}

// SupersededBy reports whether other comes from another owner, unknown to the owner of v, whose lists
// would supersede any list that the owner of v issues.
func (v ListVersion) SupersededBy(other ListVersion) bool {
	return other.Term > v.Term || other.Term == v.Term && other.RunID > v.RunID
}

// List is the platform's list at one version, either complete or as a difference from an
// older version.
type List struct {
	Version ListVersion `cbor:"1,keyasint"`
	Base    ListVersion `cbor:"2,keyasint"` // the older version; zero: the list is complete
	Set     []Instance  `cbor:"3,keyasint,omitempty"`
	Removed []string    `cbor:"4,keyasint,omitempty"`
}

// page is one page of the platform's list.
type page struct {
	Instances []struct {
		ID          string  `json:"id"`
		Target      string  `json:"target"`
		Address     string  `json:"address"`
		Zone        string  `json:"zone"`
		Capacity    int     `json:"capacity"`
		State       string  `json:"state"`
		Generation  string  `json:"generation"`
		WarmupLeftS float64 `json:"warmupLeftS"`
	} `json:"instances"`
	NextToken *string `json:"nextToken"`
}

// ErrThrottled is returned when the platform rejects a call because of its rate limit.
var ErrThrottled = errors.New("platform rejected the call: rate limit exceeded")

// maxPages limits the calls of one ReadAll, in case the platform's pages never end.
const maxPages = 1000

// CallPace is the pace at which the pages of a list are read.
type CallPace struct {
	burst      float64       // calls at the start without a pause
	burstPause time.Duration // pause before the first call after the burst
	pause      time.Duration // pause before each further call
}

// PollingPace is the pace for a node that reads the list regularly: after a burst of perSecond/8 calls,
// half of the platform's rate limit. perSecond is that limit, for all callers together; 0: no limit.
func PollingPace(perSecond float64) CallPace {
	if perSecond <= 0 {
		return CallPace{burst: math.Inf(1)}
	}
	pause := time.Duration(2 * float64(time.Second) / perSecond)
	return CallPace{burst: perSecond / 8, burstPause: pause, pause: pause}
}

// TakeoverPace is the pace for a node that takes over reading the list from another. It is half of the
// rate limit too, but the calls of the first second are made at once.
func TakeoverPace(perSecond float64) CallPace {
	pace := PollingPace(perSecond)
	if perSecond > 0 {
		pace.burst, pace.burstPause = perSecond/2, time.Second
	}
	return pace
}

// pauseBefore returns the pause before the next call, after the given number of calls.
func (p CallPace) pauseBefore(calls int) time.Duration {
	switch done := float64(calls); {
	case done < p.burst:
		return 0
	case done < p.burst+1:
		return p.burstPause
	}
	return p.pause
}

// TotalPause returns the sum of the pauses of a ReadAll that takes the given number of calls.
func (p CallPace) TotalPause(calls int) (sum time.Duration) {
	for n := range calls {
		sum += p.pauseBefore(n)
	}
	return sum
}

// ReadAll reads the platform's complete list, sorted by ID, and returns it with the number of
// calls made. If any page cannot be read, it returns an error and no list.
func ReadAll(ctx context.Context, client *http.Client, address string, pace CallPace) (list []Instance, calls int, err error) {
	instances := []Instance{}
	token := ""
	for call := 0; call < maxPages; call++ {
		calls = call + 1
		if pause := pace.pauseBefore(call); pause > 0 {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return nil, calls, ctx.Err()
			}
		}
		pageURL := "http://" + address + "/instances"
		if token != "" {
			pageURL += "?pageToken=" + url.QueryEscape(token)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, pageURL, nil)
		if err != nil {
			return nil, calls, err
		}
		res, err := client.Do(req)
		if err != nil {
			return nil, calls, err
		}
		var decoded page
		err = json.NewDecoder(res.Body).Decode(&decoded)
		res.Body.Close()
		switch {
		case res.StatusCode == http.StatusTooManyRequests:
			return nil, calls, ErrThrottled
		case res.StatusCode != http.StatusOK:
			return nil, calls, fmt.Errorf("platform answered with status %d", res.StatusCode)
		case err != nil:
			return nil, calls, err
		}
		for _, item := range decoded.Instances {
			instances = append(instances, Instance{ID: item.ID, Service: item.Target, Address: item.Address, Zone: item.Zone,
				Capacity: max(1, item.Capacity), Draining: item.State != "ready", Version: item.Generation, WarmupMs: int64(item.WarmupLeftS * 1000)})
		}
		if decoded.NextToken == nil || *decoded.NextToken == "" {
			sort.Slice(instances, func(a, b int) bool { return instances[a].ID < instances[b].ID })
			return instances, calls, nil
		}
		token = *decoded.NextToken
	}
	return nil, calls, errors.New("platform's list has too many pages")
}

// warmupTolerance is the shift of the end of a warm-up up to which an instance counts as unchanged.
const warmupTolerance = 500 * time.Millisecond

// ListSnapshot is one node's copy of the list, which it sends to others completely or as a difference.
type ListSnapshot struct {
	Version ListVersion
	items   map[string]snapshotItem
	diffs   []List // the last maxDiffs differences, oldest first
}

type snapshotItem struct {
	Instance
	warmAt time.Duration
}

const maxDiffs = 8

// Update takes a list newly read from the platform by the owner with the given term and run ID.
// It returns false, and keeps the version, if that is the owner of the present version too
// and nothing has changed.
func (s *ListSnapshot) Update(now time.Duration, term, runID uint64, listing []Instance) bool {
	diff := List{Base: s.Version}
	seen := map[string]bool{}
	for _, instance := range listing {
		seen[instance.ID] = true
		warmAt := now + time.Duration(instance.WarmupMs)*time.Millisecond
		old, ok := s.items[instance.ID]
		same := ok && old.Address == instance.Address && old.Draining == instance.Draining && old.Capacity == instance.Capacity && old.Service == instance.Service && old.Version == instance.Version
		shift := warmAt - max(old.warmAt, now)
		if !same || shift > warmupTolerance || shift < -warmupTolerance {
			diff.Set = append(diff.Set, instance)
		}
	}
	for id := range s.items {
		if !seen[id] {
			diff.Removed = append(diff.Removed, id)
		}
	}
	sort.Strings(diff.Removed)
	if s.Version.Term == term && s.Version.RunID == runID && len(diff.Set)+len(diff.Removed) == 0 {
		return false
	}
	diff.Version = ListVersion{term, s.Version.Seq + 1, runID}
	s.applyList(now, diff)
	return true
}

// Apply applies a list from another node. It returns false if the list is not newer or is a
// difference from another version than the present one.
func (s *ListSnapshot) Apply(now time.Duration, update List) bool {
	if !s.Version.Less(update.Version) || update.Base != (ListVersion{}) && update.Base != s.Version {
		return false
	}
	s.applyList(now, update)
	return true
}

func (s *ListSnapshot) applyList(now time.Duration, update List) {
	if update.Base == (ListVersion{}) || s.items == nil {
		s.items, s.diffs = map[string]snapshotItem{}, nil
	} else {
		s.diffs = append(s.diffs, update)
		if len(s.diffs) > maxDiffs {
			s.diffs = s.diffs[1:]
		}
	}
	for _, instance := range update.Set {
		s.items[instance.ID] = snapshotItem{instance, now + time.Duration(instance.WarmupMs)*time.Millisecond}
	}
	for _, id := range update.Removed {
		delete(s.items, id)
	}
	s.Version = update.Version
}

// UpdateFor returns the list that updates a node from version have to the current one, nil if have is not
// older.
func (s *ListSnapshot) UpdateFor(now time.Duration, have ListVersion) *List {
	if s.items == nil || !have.Less(s.Version) {
		return nil
	}
	for i := len(s.diffs) - 1; i >= 0; i-- {
		if s.diffs[i].Base == have {
			return s.mergeDiffs(now, s.diffs[i:])
		}
	}
	return &List{Version: s.Version, Set: s.All(now)}
}

// mergeDiffs merges the given last differences into one.
func (s *ListSnapshot) mergeDiffs(now time.Duration, diffs []List) *List {
	out := &List{Version: s.Version, Base: diffs[0].Base}
	touched := map[string]bool{}
	for _, diff := range diffs {
		for _, instance := range diff.Set {
			touched[instance.ID] = true
		}
		for _, id := range diff.Removed {
			touched[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		if item, ok := s.items[id]; ok {
			item.WarmupMs = s.warmupLeftMs(now, id)
			out.Set = append(out.Set, item.Instance)
		} else {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

func (s *ListSnapshot) warmupLeftMs(now time.Duration, id string) int64 {
	return max(0, int64((s.items[id].warmAt-now)/time.Millisecond))
}

// All lists the instances, by ID, with the warm-up time that they have left.
func (s *ListSnapshot) All(now time.Duration) []Instance {
	out := make([]Instance, 0, len(s.items))
	for id, item := range s.items {
		instance := item.Instance
		instance.WarmupMs = s.warmupLeftMs(now, id)
		out = append(out, instance)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Each calls fn for every instance, in no particular order, with the time that it stays cold.
func (s *ListSnapshot) Each(now time.Duration, fn func(instance Instance, left time.Duration)) {
	for _, item := range s.items {
		fn(item.Instance, item.warmAt-now)
	}
}

// HasList reports whether the snapshot holds any list yet.
func (s *ListSnapshot) HasList() bool { return s.items != nil }
