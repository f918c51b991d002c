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
	// earlyAnswerPause keeps a watch from asking without pause a node that doesn't wait.
	earlyAnswerPause = 50 * time.Millisecond
)

// Event is one put that a watch has seen. Name is the key. An event without a name is the
// first put of a group that was empty when the watch began: its content isn't told, and
// whoever needs it reads the keys.
type Event struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// watchAnswer is every put of a group above the revision that was asked for, up to Revision.
type watchAnswer struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

// check tells whether the answer goes on from a revision without a step back.
func (a *watchAnswer) check(after uint64) error {
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
	present, err := c.askWatch(ctx, group, 0, 0)
	return present.Revision, err
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
		w := watch{client: c, group: group, position: after}
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
	client   *Client
	group    string
	position uint64 // all events up to here have been seen
	sawEmpty bool   // the group had no put when it was last asked for
}

// next waits for events. It may return none.
func (w *watch) next(ctx context.Context) ([]Event, error) {
	if w.position == 0 {
		return w.begin(ctx)
	}
	begun := time.Now()
	asked := w.client.preferred.Load()
	page, err := w.client.askWatch(ctx, w.group, w.position, w.client.watchWait)
	if err != nil {
		return nil, err
	}
	w.position = page.Revision
	if len(page.Events) == 0 && time.Since(begun) < w.client.watchWait/2 {
		// The node didn't wait. It may be leaving.
		w.client.moveOn(asked)
		return nil, sleep(ctx, earlyAnswerPause)
	}
	return page.Events, nil
}

// begin finds the present revision of the group. A watch can't ask for the first put of a
// group, since 0 stands for the present.
func (w *watch) begin(ctx context.Context) ([]Event, error) {
	present, err := w.client.Revision(ctx, w.group)
	switch {
	case err != nil:
		return nil, err
	case present == 0:
		w.sawEmpty = true
		return nil, sleep(ctx, emptyGroupInterval)
	case w.sawEmpty:
		w.position = 1
		return []Event{{Revision: 1}}, nil
	}
	w.position = present
	return nil, nil
}

// askWatch asks once for the events after a revision.
func (c *Client) askWatch(ctx context.Context, group string, after uint64, wait time.Duration) (watchAnswer, error) {
	var page watchAnswer
	reply, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   "/v1/watch/" + url.PathEscape(strings.TrimSuffix(group, ".")) + ".",
		query: url.Values{
			"after":  {strconv.FormatUint(after, 10)},
			"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
		timeout:      wait + answerTimeout,
		repeatWindow: noLimit,
		accept: func(body []byte) error {
			page = watchAnswer{}
			if err := json.Unmarshal(body, &page); err != nil {
				return err
			}
			return page.check(after)
		},
	})
	switch {
	case err != nil:
		return watchAnswer{}, err
	case reply.status == http.StatusGone:
		return watchAnswer{}, fmt.Errorf("group %s after revision %d: %w", group, after, ErrCompacted)
	case !reply.succeeded():
		return watchAnswer{}, refusal(reply)
	}
	return page, nil
}
