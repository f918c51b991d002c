package controlplane

// This file holds watches: each node answers them from its own committed copy.

import (
	"context"
	"errors"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/coordination"
	"madderwing/internal/replication"
)

// watch is a call that waits for puts in a group.
type watch struct {
	group, key string
	after      uint64
	// least is a revision that was certainly given before the call came: the copy here must
	// have it before the call is answered.
	least  uint64
	result chan watchResult // holds one
}

// watchResult ends a watch.
type watchResult struct {
	Events   []coordination.Event `json:"events"`
	Revision uint64               `json:"revision"`
	err      error
}

// errStale says that the copy here may be far behind.
var errStale = errors.New("this node is out of contact with a majority")

// saw takes over what was committed in a partition; records is nil if any may have
// changed. It runs on the loop of the replica.
func (c *coordinator) saw(key string, records []replication.Record) {
	feed := c.feeds[key]
	if feed != nil && records != nil {
		for _, group := range feed.Apply(records) {
			c.wake(group)
		}
		return
	}
	all, _, ok := c.replica.Committed(key)
	if !ok {
		return
	}
	c.feeds[key] = coordination.NewFeed(all)
	for group := range c.watches {
		if coordination.GroupKey(group) == key {
			c.wake(group)
		}
	}
}

// wake answers the watches of a group that have something to be told.
func (c *coordinator) wake(group string) {
	for w := range c.watches[group] {
		c.answerWatch(w)
	}
}

// answerWatch ends a watch if there is an answer to it.
func (c *coordinator) answerWatch(w *watch) bool {
	feed := c.feeds[w.key]
	if feed == nil || feed.Revision(w.group) < w.least {
		return false
	}
	events, revision, err := feed.Since(w.group, w.after)
	if len(events) == 0 && err == nil {
		return false
	}
	c.endWatch(w, watchResult{Events: events, Revision: revision, err: err})
	return true
}

// endWatch takes a watch off the list and gives it its result.
func (c *coordinator) endWatch(w *watch, result watchResult) {
	if list := c.watches[w.group]; list[w] {
		delete(list, w)
		if len(list) == 0 {
			delete(c.watches, w.group)
		}
	}
	select {
	case w.result <- result:
	default: // it has one already
	}
}

// fresh says whether the copy of a partition here is recent.
func (c *coordinator) fresh(now time.Duration, key string) bool {
	at, ok := c.replica.Current(key)
	return ok && now-at <= c.freshness
}

// endStaleWatches ends watches at a node that has lost contact with a majority.
func (c *coordinator) endStaleWatches(now time.Duration) {
	if len(c.watches) == 0 || c.inContact(now) {
		return
	}
	for _, list := range c.watches {
		for w := range list {
			if !c.fresh(now, w.key) {
				c.endWatch(w, watchResult{err: errStale})
			}
		}
	}
}

// watchGroup waits for puts in a group above a revision, for at most wait.
func (c *coordinator) watchGroup(ctx context.Context, group string, after uint64, wait time.Duration) (watchResult, error) {
	begin := time.Now()
	w := &watch{group: group, key: coordination.GroupKey(group), after: after, result: make(chan watchResult, 1)}
	recent := make(chan bool, 1)
	c.run(func(now time.Duration) { recent <- c.fresh(now, w.key) })
	if !<-recent || after == 0 {
		answer := c.submit(coordination.Call{Operation: coordination.Revision, Name: group})
		if answer.Effect != answered || answer.Answer.Status != coordination.OK {
			return watchResult{}, apierror.Later(apierror.NoQuorum, c.retry, "no owner of the group answers")
		}
		if w.least = answer.Answer.Revision; after == 0 {
			return watchResult{Events: []coordination.Event{}, Revision: w.least}, nil
		}
	}
	c.run(func(time.Duration) {
		if c.answerWatch(w) {
			return
		}
		if c.watches[group] == nil {
			c.watches[group] = map[*watch]bool{}
		}
		c.watches[group][w] = true
	})
	result := c.awaitWatch(ctx, w, max(0, wait-time.Since(begin)))
	switch {
	case result.err == nil:
		return result, nil
	case errors.Is(result.err, coordination.ErrCompacted):
		return result, apierror.New(apierror.HistoryGone, "%v", result.err)
	}
	return result, apierror.Later(apierror.NoQuorum, c.retry, "%v", result.err)
}

// awaitWatch waits for the end of a watch.
func (c *coordinator) awaitWatch(ctx context.Context, w *watch, wait time.Duration) watchResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	end := watchResult{Events: []coordination.Event{}, Revision: w.after}
	select {
	case result := <-w.result:
		return result
	case <-timer.C:
	case <-ctx.Done():
	case <-c.closed:
	}
	c.run(func(time.Duration) {
		if w.after < w.least {
			end = watchResult{err: errStale} // the copy here lacks what is to be told
		}
		c.endWatch(w, end)
	})
	return <-w.result
}
