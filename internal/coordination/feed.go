package coordination

import (
	"errors"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Event is a put as watches report it.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Feed is the history of the groups of one partition, as far as this replica knows it to be
// committed. Every replica has a Feed for each partition.
type Feed struct {
	groups map[string]*feedGroup
}

type feedGroup struct {
	revision uint64                 // newest
	oldest   uint64                 // the history below this revision is erased
	events   map[uint64]eventRecord // by revision
}

// ErrCompacted is returned if a part of the requested history was erased.
var ErrCompacted = errors.New("the history after that revision is no longer kept")

// maxEvents and maxEventBytes limit the events in one answer.
const (
	maxEvents     = 1024
	maxEventBytes = 256 << 10
)

// NewFeed creates the feed of a partition from its committed records.
func NewFeed(records map[string]Record) *Feed {
	f := &Feed{groups: map[string]*feedGroup{}}
	for _, r := range records {
		f.applyRecord(r)
	}
	return f
}

// Apply applies newly committed records of the partition and returns the groups with new
// puts.
func (f *Feed) Apply(records []Record) (groups []string) {
	changed := map[string]bool{}
	for _, r := range records {
		if group := f.applyRecord(r); group != "" {
			changed[group] = true
		}
	}
	for group := range changed {
		groups = append(groups, group)
	}
	return groups
}

// applyRecord applies one record. If it is that of a cell, the result is the cell's group.
func (f *Feed) applyRecord(r Record) string {
	switch {
	case r.Erased:
	case strings.HasPrefix(r.Name, cellPrefix):
		var record cellRecord
		if cbor.Unmarshal(r.Data, &record) == nil {
			name := GroupOf(strings.TrimPrefix(r.Name, cellPrefix))
			g := f.group(name)
			g.revision = max(g.revision, record.Revision)
			return name
		}
	case strings.HasPrefix(r.Name, eventPrefix):
		name, revision, err := parseEventName(r.Name)
		var record eventRecord
		if err == nil && cbor.Unmarshal(r.Data, &record) == nil {
			f.group(name).events[revision] = record
		}
	case strings.HasPrefix(r.Name, groupPrefix):
		var record groupRecord
		if cbor.Unmarshal(r.Data, &record) == nil {
			f.group(strings.TrimPrefix(r.Name, groupPrefix)).compact(record.Oldest)
		}
	}
	return ""
}

func (f *Feed) group(name string) *feedGroup {
	g := f.groups[name]
	if g == nil {
		g = &feedGroup{oldest: 1, events: map[uint64]eventRecord{}}
		f.groups[name] = g
	}
	return g
}

// compact drops the events below a revision. Their records were erased in the same commit that
// changed the group's record.
func (g *feedGroup) compact(oldest uint64) {
	for ; g.oldest < oldest && len(g.events) > 0; g.oldest++ {
		delete(g.events, g.oldest)
	}
	g.oldest = max(g.oldest, oldest)
}

// Revision returns the newest revision of a group.
func (f *Feed) Revision(group string) uint64 {
	if g := f.groups[group]; g != nil {
		return g.revision
	}
	return 0
}

// Since returns the puts of a group after a revision, in order, and the revision up to which
// they are complete, which is never below after.
func (f *Feed) Since(group string, after uint64) ([]Event, uint64, error) {
	history := f.groups[group]
	if history == nil || after >= history.revision {
		return nil, after, nil
	}
	if after+1 < history.oldest {
		return nil, 0, ErrCompacted
	}
	var events []Event
	size := 0
	for revision := after + 1; revision <= history.revision && len(events) < maxEvents && size < maxEventBytes; revision++ {
		e, ok := history.events[revision]
		if !ok {
			return nil, 0, ErrCompacted
		}
		events = append(events, Event{Name: e.Name, Value: e.Value, Revision: revision})
		size += len(e.Value)
	}
	return events, events[len(events)-1].Revision, nil
}
