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
	// emptyGroupInterval is how often a watch checks whether an empty group has had its first put.
	emptyGroupInterval = 500 * time.Millisecond
	// earlyResponseDelay is the pause after a node responds without waiting for events, so that
	// the watch does not poll in a tight loop.
	earlyResponseDelay = 50 * time.Millisecond
)

// Event is one put seen by a watch. Name is the key. An event without a name stands for the
// first put of a group that was empty when the watch started: its content is not known, and
// callers that need it must read the keys.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// watchResponse holds all puts of a group after the requested revision, up to Revision.
type watchResponse struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

// check returns an error unless the revisions in the response increase, starting after the
// given one.
func (r *watchResponse) check(after uint64) error {
	last := after
	for _, event := range r.Events {
		if event.Revision <= last {
			return fmt.Errorf("event at revision %d follows revision %d", event.Revision, last)
		}
		last = event.Revision
	}
	if r.Revision < last {
		return fmt.Errorf("response is at revision %d, behind revision %d", r.Revision, last)
	}
	return nil
}

// Revision returns a group's current revision, 0 if it has had no put. To read the keys and
// then miss no change, read the revision, then the keys, and watch from that revision.
func (c *Client) Revision(ctx context.Context, group string) (uint64, error) {
	response, err := c.fetchEvents(ctx, group, 0, 0)
	return response.Revision, err
}

// group returns the part of a key before its first dot.
func group(key string) string {
	name, _, _ := strings.Cut(key, ".")
	return name
}

// Watch returns the puts to a group's keys after a revision, in increasing order and without
// gaps, also when nodes fail or the watch switches nodes. If after is 0, it starts at the
// current revision. The group is the part of its keys before the first dot.
//
// The sequence ends with an error: that of the context, ErrCompacted if the events after the
// last revision are no longer kept, or a *StatusError. A caller that processes events so
// slowly that the next ones are no longer kept gets ErrCompacted.
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

// watch is the position of one watch.
type watch struct {
	client       *Client
	group        string
	seenRevision uint64 // all events up to this revision have been seen; 0 before the start
	wasEmpty     bool   // the group had no put at the last request
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
		// The node responded too early; it may be shutting down.
		w.client.preferNext(endpointIndex)
		return nil, sleep(ctx, earlyResponseDelay)
	}
	return response.Events, nil
}

// start sets seenRevision to the current revision of the group. A watch can't request the
// first put of a group, because revision 0 in a request means the current revision.
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

// fetchEvents makes one request for the events after a revision.
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
		retryWindow: unlimitedRetryWindow,
		decodeBody: func(body []byte) error {
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
