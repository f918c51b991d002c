package controlplane

// Long polling for the events of a group.

import (
	"context"
	"errors"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/coordination"
)

// watchGroup waits for puts in a group above a revision, for at most wait. Revision 0 asks only for
// the current revision.
func (c *coordinator) watchGroup(ctx context.Context, group string, after uint64, wait time.Duration) (coordination.WatchResult, error) {
	begin := time.Now()
	results := make(chan coordination.WatchResult, 1)
	watch := &coordination.Watch{Group: group, After: after, Done: func(r coordination.WatchResult) { results <- r }}
	if after == 0 || !c.fresh(group) {
		// Ask the owner, since the copy here may lack puts that were acknowledged.
		result := c.submit(ctx, coordination.Call{Operation: coordination.Revision, Name: group})
		if result.Effect != coordination.Answered {
			return coordination.WatchResult{}, apierror.NewRetryAfter(apierror.NoQuorum, c.retryAfter, "no owner of the group answers")
		}
		if watch.MinRevision = result.Answer.Revision; after == 0 {
			return coordination.WatchResult{Revision: watch.MinRevision}, nil
		}
	}
	c.enqueue(func(time.Duration) { c.server.Watch(watch) })
	result := c.awaitWatch(ctx, watch, results, wait-time.Since(begin))
	switch {
	case result.Err == nil:
		return result, nil
	case errors.Is(result.Err, coordination.ErrCompacted):
		return result, apierror.New(apierror.HistoryCompacted, "%v", result.Err)
	}
	return result, apierror.NewRetryAfter(apierror.NoQuorum, c.retryAfter, "%v", result.Err)
}

// fresh reports whether the copy of a group here is recent.
func (c *coordinator) fresh(group string) bool {
	fresh := make(chan bool, 1)
	c.enqueue(func(now time.Duration) { fresh <- c.server.Fresh(now, group) })
	return <-fresh
}

// awaitWatch waits for the result of a watch. It ends the watch after wait, when ctx ends, or when
// the node begins to shut down.
func (c *coordinator) awaitWatch(ctx context.Context, watch *coordination.Watch, results <-chan coordination.WatchResult, wait time.Duration) coordination.WatchResult {
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-timer.C:
	case <-ctx.Done():
	case <-c.shutdown:
	}
	c.enqueue(func(time.Duration) { c.server.TimeOutWatch(watch) })
	return <-results
}
