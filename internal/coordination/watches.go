package coordination

// This file holds watches. Each node answers them from its own committed copy.

import (
	"errors"
	"time"
)

// Watch is a long poll for puts in a group after the revision After.
type Watch struct {
	Group string
	After uint64
	// MinRevision is a revision that the group is known to have reached before the call. Events
	// are returned only once the local copy has reached it.
	MinRevision uint64
	// Done is called once with the result, on the loop of the replica.
	Done func(WatchResult)
}

// WatchResult is the result of a watch. Events holds all puts with a revision above After, up to
// and including Revision.
type WatchResult struct {
	Events   []Event
	Revision uint64
	Err      error
}

// ErrStale is returned if the copy of this node may be out of date.
var ErrStale = errors.New("this node is out of contact with a majority")

// Committed applies newly committed records of a partition. If records is nil, any record may
// have changed, and the whole partition is read again.
func (s *Server) Committed(partition string, records []Record) {
	feed := s.feeds[partition]
	if feed != nil && records != nil {
		for _, group := range feed.Apply(records) {
			s.notifyWatches(group)
		}
		return
	}
	all, _, ok := s.replica.Committed(partition)
	if !ok {
		return
	}
	s.feeds[partition] = NewFeed(all)
	for group := range s.watches {
		if groupPartition(group) == partition {
			s.notifyWatches(group)
		}
	}
}

// notifyWatches answers the watches of a group for which there are events.
func (s *Server) notifyWatches(group string) {
	for w := range s.watches[group] {
		s.answerWatch(w)
	}
}

// Watch answers a watch immediately if there are events for it, and keeps it open otherwise.
func (s *Server) Watch(w *Watch) {
	if s.answerWatch(w) {
		return
	}
	if s.watches[w.Group] == nil {
		s.watches[w.Group] = map[*Watch]bool{}
	}
	s.watches[w.Group][w] = true
}

// answerWatch ends a watch if there are events for it or their history was erased.
func (s *Server) answerWatch(w *Watch) bool {
	feed := s.feeds[groupPartition(w.Group)]
	if feed == nil || feed.Revision(w.Group) < w.MinRevision {
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

// TimeOutWatch ends a watch at its timeout, unless it has ended before.
func (s *Server) TimeOutWatch(watch *Watch) {
	switch {
	case !s.removeWatch(watch):
	case watch.After < watch.MinRevision:
		watch.Done(WatchResult{Err: ErrStale}) // the local copy lacks events that exist
	default:
		watch.Done(WatchResult{Revision: watch.After})
	}
}

// removeWatch removes a watch from the list; false: it is not on the list.
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

// Fresh reports whether the local copy of a group is recent.
func (s *Server) Fresh(now time.Duration, group string) bool {
	at, ok := s.replica.FreshAsOf(groupPartition(group))
	return ok && now-at <= s.config.Freshness
}

// EndStaleWatches ends the watches on groups without a recent local copy. It must be called only
// while the node is out of contact with a majority, so that watches stay open while the owner of a
// partition is being replaced.
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
