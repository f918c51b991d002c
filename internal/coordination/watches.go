package coordination

// This file holds watches: each node answers them from its own committed copy.

import (
	"errors"
	"time"
)

// Watch is a call that waits for puts in a group.
type Watch struct {
	Group string
	After uint64
	// Least is a revision that had certainly been given before the call came: the copy here
	// must have it before the call is answered.
	Least uint64
	// Done is told the result once, on the loop of the replica.
	Done func(WatchResult)
}

// WatchResult ends a watch: Events are all puts above its After and up to Revision.
type WatchResult struct {
	Events   []Event
	Revision uint64
	Err      error
}

// ErrStale says that the copy of this node may be far behind.
var ErrStale = errors.New("this node is out of contact with a majority")

// Committed takes over what was committed in a partition; records is nil if any may have
// changed.
func (s *Server) Committed(key string, records []Record) {
	feed := s.feeds[key]
	if feed != nil && records != nil {
		for _, group := range feed.Apply(records) {
			s.notifyWatches(group)
		}
		return
	}
	all, _, ok := s.replica.Committed(key)
	if !ok {
		return
	}
	s.feeds[key] = NewFeed(all)
	for group := range s.watches {
		if groupKey(group) == key {
			s.notifyWatches(group)
		}
	}
}

// notifyWatches answers the watches of a group that have something to be told.
func (s *Server) notifyWatches(group string) {
	for w := range s.watches[group] {
		s.answerWatch(w)
	}
}

// Watch answers a watch at once if there is something to be told, and keeps it otherwise.
func (s *Server) Watch(w *Watch) {
	if s.answerWatch(w) {
		return
	}
	if s.watches[w.Group] == nil {
		s.watches[w.Group] = map[*Watch]bool{}
	}
	s.watches[w.Group][w] = true
}

// answerWatch ends a watch if there is an answer to it.
func (s *Server) answerWatch(w *Watch) bool {
	feed := s.feeds[groupKey(w.Group)]
	if feed == nil || feed.Revision(w.Group) < w.Least {
		return false
	}
	events, revision, err := feed.Since(w.Group, w.After)
	if len(events) == 0 && err == nil {
		return false
	}
	s.removeWatch(w)
	w.Done(WatchResult{Events: events, Revision: revision, Err: err})
	return true
}

// EndWatch ends a watch, if it has not ended, whose time is over.
func (s *Server) EndWatch(watch *Watch) {
	switch {
	case !s.removeWatch(watch):
	case watch.After < watch.Least:
		watch.Done(WatchResult{Err: ErrStale}) // the copy here lacks what is to be told
	default:
		watch.Done(WatchResult{Revision: watch.After})
	}
}

// removeWatch takes a watch off the list; false: it is not on it.
func (s *Server) removeWatch(w *Watch) bool {
	list := s.watches[w.Group]
	if !list[w] {
		return false
	}
	delete(list, w)
	if len(list) == 0 {
		delete(s.watches, w.Group)
	}
	return true
}

// Fresh says whether the copy of a group here is recent.
func (s *Server) Fresh(now time.Duration, group string) bool {
	at, ok := s.replica.Current(groupKey(group))
	return ok && now-at <= s.config.Freshness
}

// EndStaleWatches ends the watches whose groups have no recent copy here. It is for a node
// that has lost contact with a majority: an owner that is being replaced is waited for.
func (s *Server) EndStaleWatches(now time.Duration) {
	for group, list := range s.watches {
		if s.Fresh(now, group) {
			continue
		}
		for w := range list {
			s.removeWatch(w)
			w.Done(WatchResult{Err: ErrStale})
		}
	}
}
