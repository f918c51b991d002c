// Package upstream knows the upstreams: the platform's list of them as one
// control node reads it for all, and on each gateway the balancer of upstreams that
// requests are sent to, with what this gateway has learnt of each.
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

// Instance is one life of an upstream as the platform lists it.
type Instance struct {
	ID       string `cbor:"1,keyasint" json:"id"`
	Service  string `cbor:"2,keyasint" json:"target"`
	Address  string `cbor:"3,keyasint" json:"address"`
	Zone     string `cbor:"4,keyasint" json:"zone"`
	Capacity int    `cbor:"5,keyasint" json:"capacity"`
	Draining bool   `cbor:"6,keyasint,omitempty" json:"draining"`
	WarmupMs int64  `cbor:"7,keyasint,omitempty" json:"warmupMs"`
	Version  string `cbor:"8,keyasint,omitempty" json:"version"` // of its software
}

// Version orders listings: the term of the duty, then the number within it.
// Life tells apart two holders under one term, which there may be when all
// control nodes have lost their memory in between.
type Version struct {
	Term uint64 `cbor:"1,keyasint,omitempty" json:"term"`
	Seq  uint64 `cbor:"2,keyasint,omitempty" json:"seq"`
	Life uint64 `cbor:"3,keyasint,omitempty" json:"life"`
}

// Less orders versions.
func (v Version) Less(o Version) bool {
	if v.Term != o.Term {
		return v.Term < o.Term
	}
	if v.Life != o.Life {
		return v.Life < o.Life
	}
	return v.Seq < o.Seq
}

// Foreign says that o comes from a holder that the one of v knows nothing of
// and whose lists would hide its own.
func (v Version) Foreign(o Version) bool {
	return o.Term > v.Term || o.Term == v.Term && o.Life > v.Life
}

// List is the platform's list at one version, whole or as a difference to
// an older version.
type List struct {
	Version Version    `cbor:"1,keyasint"`
	Base    Version    `cbor:"2,keyasint"` // zero: whole
	Set     []Instance `cbor:"3,keyasint,omitempty"`
	Gone    []string   `cbor:"4,keyasint,omitempty"`
}

// Page is one answer of the platform.
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

// ErrThrottled says that the platform takes no more calls at present.
var ErrThrottled = errors.New("platform throttles")

// maxPages bounds one reading of the list.
const maxPages = 1000

// CallPace is how fast a list of many pages is read.
type CallPace struct {
	burst float64       // calls without a pause
	rest  time.Duration // before the call after them
	pause time.Duration // before each further one
}

// SteadyPace is that of one who reads again and again: no more than half of what the platform bears, perS calls a
// second from all together; 0: any number.
func SteadyPace(perS float64) CallPace {
	if perS <= 0 {
		return CallPace{burst: math.Inf(1)}
	}
	pause := time.Duration(2 * float64(time.Second) / perS)
	return CallPace{burst: perS / 8, rest: pause, pause: pause}
}

// HastyPace is that of one who reads in place of another: as many calls as it may make in a second come at once.
func HastyPace(perS float64) CallPace {
	pace := SteadyPace(perS)
	if perS > 0 {
		pace.burst, pace.rest = perS/2, time.Second
	}
	return pace
}

// before is the pause before a call, after so many others.
func (p CallPace) before(calls int) time.Duration {
	switch n := float64(calls); {
	case n < p.burst:
		return 0
	case n < p.burst+1:
		return p.rest
	}
	return p.pause
}

// Pauses is how long the pauses of a reading of so many calls are together.
func (p CallPace) Pauses(calls int) (sum time.Duration) {
	for n := range calls {
		sum += p.before(n)
	}
	return sum
}

// ReadAll reads the platform's whole list and says how many calls that took; a
// list that is cut off in the middle is no list.
func ReadAll(ctx context.Context, client *http.Client, address string, pace CallPace) (list []Instance, calls int, err error) {
	out := []Instance{}
	token := ""
	for n := 0; n < maxPages; n++ {
		calls = n + 1
		if pause := pace.before(n); pause > 0 {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return nil, calls, ctx.Err()
			}
		}
		u := "http://" + address + "/instances"
		if token != "" {
			u += "?pageToken=" + url.QueryEscape(token)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
		if err != nil {
			return nil, calls, err
		}
		res, err := client.Do(req)
		if err != nil {
			return nil, calls, err
		}
		var p page
		err = json.NewDecoder(res.Body).Decode(&p)
		res.Body.Close()
		switch {
		case res.StatusCode == http.StatusTooManyRequests:
			return nil, calls, ErrThrottled
		case res.StatusCode != http.StatusOK:
			return nil, calls, fmt.Errorf("platform answered %d", res.StatusCode)
		case err != nil:
			return nil, calls, err
		}
		for _, i := range p.Instances {
			out = append(out, Instance{ID: i.ID, Service: i.Target, Address: i.Address, Zone: i.Zone,
				Capacity: max(1, i.Capacity), Draining: i.State != "ready", Version: i.Generation, WarmupMs: int64(i.WarmupLeftS * 1000)})
		}
		if p.NextToken == nil || *p.NextToken == "" {
			sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
			return out, calls, nil
		}
		token = *p.NextToken
	}
	return nil, calls, errors.New("platform's list has no end")
}

// warmSlack is the difference in the end of a warm-up that counts as news.
const warmSlack = 500 * time.Millisecond

// ListSnapshot is a listing as it stands at one node, which can be passed on as a
// whole or as a difference.
type ListSnapshot struct {
	Version Version
	items   map[string]standing
	past    []List // the last differences, oldest first
}

type standing struct {
	Instance
	warmAt time.Duration
}

const pastMax = 8

// Update takes a fresh reading of the platform's list, and says whether it
// differs from what stood.
func (s *ListSnapshot) Update(now time.Duration, term, life uint64, fresh []Instance) bool {
	diff := List{Base: s.Version}
	seen := map[string]bool{}
	for _, i := range fresh {
		seen[i.ID] = true
		at := now + time.Duration(i.WarmupMs)*time.Millisecond
		old, ok := s.items[i.ID]
		same := ok && old.Address == i.Address && old.Draining == i.Draining && old.Capacity == i.Capacity && old.Service == i.Service && old.Version == i.Version
		shift := at - max(old.warmAt, now)
		if !same || shift > warmSlack || shift < -warmSlack {
			diff.Set = append(diff.Set, i)
		}
	}
	for id := range s.items {
		if !seen[id] {
			diff.Gone = append(diff.Gone, id)
		}
	}
	sort.Strings(diff.Gone)
	if s.Version.Term == term && s.Version.Life == life && len(diff.Set)+len(diff.Gone) == 0 {
		return false
	}
	diff.Version = Version{term, s.Version.Seq + 1, life}
	s.apply(now, diff)
	return true
}

// Take takes a listing from another node. It says whether it was newer and
// fitted.
func (s *ListSnapshot) Take(now time.Duration, l List) bool {
	if !s.Version.Less(l.Version) || l.Base != (Version{}) && l.Base != s.Version {
		return false
	}
	s.apply(now, l)
	return true
}

func (s *ListSnapshot) apply(now time.Duration, l List) {
	if l.Base == (Version{}) || s.items == nil {
		s.items, s.past = map[string]standing{}, nil
	} else {
		s.past = append(s.past, l)
		if len(s.past) > pastMax {
			s.past = s.past[1:]
		}
	}
	for _, i := range l.Set {
		s.items[i.ID] = standing{i, now + time.Duration(i.WarmupMs)*time.Millisecond}
	}
	for _, id := range l.Gone {
		delete(s.items, id)
	}
	s.Version = l.Version
}

// Since gives what brings a holder of version have up to date, or nil.
func (s *ListSnapshot) Since(now time.Duration, have Version) *List {
	if s.items == nil || !have.Less(s.Version) {
		return nil
	}
	for i := len(s.past) - 1; i >= 0; i-- {
		if s.past[i].Base == have {
			return s.since(now, s.past[i:])
		}
	}
	return &List{Version: s.Version, Set: s.All(now)}
}

// since puts the last differences together into one.
func (s *ListSnapshot) since(now time.Duration, past []List) *List {
	out := &List{Version: s.Version, Base: past[0].Base}
	touched := map[string]bool{}
	for _, l := range past {
		for _, i := range l.Set {
			touched[i.ID] = true
		}
		for _, id := range l.Gone {
			touched[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		if it, ok := s.items[id]; ok {
			it.WarmupMs = s.left(now, id)
			out.Set = append(out.Set, it.Instance)
		} else {
			out.Gone = append(out.Gone, id)
		}
	}
	return out
}

func (s *ListSnapshot) left(now time.Duration, id string) int64 {
	return max(0, int64((s.items[id].warmAt-now)/time.Millisecond))
}

// All lists the instances that stand, by id.
func (s *ListSnapshot) All(now time.Duration) []Instance {
	out := make([]Instance, 0, len(s.items))
	for id, it := range s.items {
		i := it.Instance
		i.WarmupMs = s.left(now, id)
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Each calls fn for every instance, in no order, with how long it stays cold.
func (s *ListSnapshot) Each(now time.Duration, fn func(i Instance, left time.Duration)) {
	for _, it := range s.items {
		fn(it.Instance, it.warmAt-now)
	}
}

// Known says whether any listing has been taken.
func (s *ListSnapshot) Known() bool { return s.items != nil }
