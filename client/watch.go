package client

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// emptyGroupInterval is how often a watch looks whether a group has had its first put.
	emptyGroupInterval = 500 * time.Millisecond
	// earlyResponseDelay keeps a watch from asking without pause a node that doesn't wait.
	earlyResponseDelay = 50 * time.Millisecond
)

// Event is one put that a watch has seen. Name is the key. An event without a name is the
// first put of a group that was empty when the watch began: its content isn't told, and
// whoever needs it reads the keys.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// watchResponse is every put of a group above the revision that was asked for, up to Revision.
type watchResponse struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

// check tells whether the answer goes on from a revision without a step back.
func (a *watchResponse) check(after uint64) error {
	last := after
	for _, event := range a.Events {
		if event.Revision <= last {
			return fmt.Errorf("event at revision %d after %d", event.Revision, last)
		}
		last = event.Revision
	}
	if a.Revision < last {
		return fmt.Errorf("at revision %d, behind %d", a.Revision, last)
	}
	return nil
}

// Revision is a group's present revision, 0 if it has had no put. To know the keys and miss
// nothing, read the revision, then the keys, and watch from that revision.
func (c *Client) Revision(ctx context.Context, group string) (uint64, error) {
	response, err := c.fetchEvents(ctx, group, 0, 0)
	return response.Revision, err
}

// group is what a key has before its first dot.
func group(key string) string {
	name, _, _ := strings.Cut(key, ".")
	return name
}

// Watch follows the puts to a group's keys above a revision, in rising order and without
// gaps, over failures and changes of nodes. With after 0 it begins at the present revision.
// The group is what its keys have before their first dot.
//
// The sequence ends with an error: that of the context, ErrCompacted if the events after the
// last revision are no longer kept, or a refusal. A caller that takes longer over events
// than they are kept gets ErrCompacted.
func (c *Client) Watch(ctx context.Context, group string, after uint64) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		w := watch{client: c, group: group, seenRevision: after}
		for {
			events, err := w.next(ctx)
			if err != nil {
				yield(Event{}, err)
				return
			}
			for _, event := range events {
				if !yield(event, nil) {
					return
				}
			}
		}
	}
}

// watch is how far one watch has come.
type watch struct {
	client       *Client
	group        string
	seenRevision uint64 // all events up to here have been seen
	wasEmpty     bool   // the group had no put when it was last asked for
}

// next waits for events. It may return none.
func (w *watch) next(ctx context.Context) ([]Event, error) {
	if w.seenRevision == 0 {
		return w.start(ctx)
	}
	started := time.Now()
	endpointIndex := w.client.preferred.Load()
	response, err := w.client.fetchEvents(ctx, w.group, w.seenRevision, w.client.watchWait)
	if err != nil {
		return nil, err
	}
	w.seenRevision = response.Revision
	if len(response.Events) == 0 && time.Since(started) < w.client.watchWait/2 {
		// The node didn't wait. It may be leaving.
		w.client.preferNext(endpointIndex)
		return nil, sleep(ctx, earlyResponseDelay)
	}
	return response.Events, nil
}

// start finds the present revision of the group. A watch can't ask for the first put of a
// group, since 0 stands for the present.
func (w *watch) start(ctx context.Context) ([]Event, error) {
	current, err := w.client.Revision(ctx, w.group)
	switch {
	case err != nil:
		return nil, err
	case current == 0:
		w.wasEmpty = true
		return nil, sleep(ctx, emptyGroupInterval)
	case w.wasEmpty:
		w.seenRevision = 1
		return []Event{{Revision: 1}}, nil
	}
	w.seenRevision = current
	return nil, nil
}

// fetchEvents asks once for the events after a revision.
func (c *Client) fetchEvents(ctx context.Context, group string, after uint64, wait time.Duration) (watchResponse, error) {
	var response watchResponse
	result, err := c.do(ctx, apiRequest{
		method: http.MethodGet,
		path:   "/v1/watch/" + url.PathEscape(strings.TrimSuffix(group, ".")) + ".",
		query: url.Values{
			"after":  {strconv.FormatUint(after, 10)},
			"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
		timeout:     wait + responseTimeout,
		retryWindow: unlimitedRetries,
		accept: func(body []byte) error {
			response = watchResponse{}
			if err := json.Unmarshal(body, &response); err != nil {
				return err
			}
			return response.check(after)
		},
	})
	switch {
	case err != nil:
		return watchResponse{}, err
	case result.status == http.StatusGone:
		return watchResponse{}, fmt.Errorf("group %s after revision %d: %w", group, after, ErrCompacted)
	case !result.succeeded():
		return watchResponse{}, newStatusError(result)
	}
	return response, nil
}
