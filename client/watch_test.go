package client

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// collectWatch puts what a watch sees into a list of revisions, "end" and why it ended.
func collectWatch(ctx context.Context, c *Client, after uint64) func() string {
	var seen []string
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for event, err := range c.Watch(ctx, "g", after) {
			if err != nil {
				seen = append(seen, errorKind(err))
				return
			}
			seen = append(seen, fmt.Sprintf("%d=%s", event.Revision, event.Value))
		}
	}()
	return func() string {
		<-ended
		return strings.Join(seen, " ")
	}
}

func TestWatch(t *testing.T) {
	for name, c := range map[string]struct {
		before int // puts before the watch
		after  uint64
		faults []fault
		want   string
	}{
		"from a revision":       {3, 1, nil, "2=v2 3=v3 4=v4 5=v5"},
		"from now":              {3, 0, nil, "4=v4 5=v5"},
		"a group that is empty": {0, 0, nil, "1= 2=v2"},
		"over failures": {3, 1, []fault{{status: 503}, {}, {reset: true}, {answerDelay: time.Hour}, {}, {status: 502}, {refuseConnection: true}, {location: "http://n9:1/v1/watch/g."}},
			"2=v2 3=v3 4=v4 5=v5"},
		"a node that is behind":      {3, 3, []fault{{body: `{"events":[],"revision":2}`}}, "4=v4 5=v5"},
		"events that fall":           {3, 1, []fault{{body: `{"events":[{"revision":3},{"revision":2}],"revision":3}`}}, "2=v2 3=v3 4=v4 5=v5"},
		"an event that was seen":     {3, 1, []fault{{body: `{"events":[{"revision":1}],"revision":3}`}}, "2=v2 3=v3 4=v4 5=v5"},
		"events above the revision":  {3, 1, []fault{{body: `{"events":[{"revision":4}],"revision":3}`}}, "2=v2 3=v3 4=v4 5=v5"},
		"an answer that isn't there": {3, 1, []fault{{body: `null x`}}, "2=v2 3=v3 4=v4 5=v5"},
		"refused":                    {3, 1, []fault{{status: 400}}, "400"},
		"compacted":                  {3, 1, []fault{{status: 410}}, "compacted"},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, func(t *testing.T, s *fakeServer) {
				client := newTestClient(t, s)
				put := func(nth int) { s.put("g.k", putRequest{Value: fmt.Sprint("v", nth)}) }
				for nth := range c.before {
					put(nth + 1)
				}
				s.failNext(c.faults...)
				result := collectWatch(withTimeout(t, 30*time.Second), client, c.after)
				for nth := c.before + 1; nth <= max(c.before, 0)+2; nth++ {
					time.Sleep(8 * time.Second)
					s.mu.Lock()
					put(nth)
					s.mu.Unlock()
				}
				got := result()
				if want := c.want; got != want && got != want+" unavailable" && got != want+" context deadline exceeded" {
					t.Errorf("saw %s, want %s", got, want)
				}
			})
		})
	}
}

// A watch sees a put at once, asks once in two seconds, and leaves a node that doesn't wait.
func TestWatchPolling(t *testing.T) {
	runSimulated(t, func(t *testing.T, s *fakeServer) {
		c := newTestClient(t, s)
		s.put("g.k", putRequest{Value: "v1"})
		s.setFault(func(_ int, r *http.Request) fault {
			if r.URL.Host == "n0:1" {
				return fault{status: http.StatusOK, body: `{"events":[],"revision":1}`}
			}
			return fault{}
		})
		time.AfterFunc(20*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.put("g.k", putRequest{Value: "v2"})
		})
		for event, err := range c.Watch(t.Context(), "g.", 1) {
			if err != nil || event.Revision != 2 || time.Since(s.startedAt) != 20*time.Second {
				t.Error(event, err, time.Since(s.startedAt))
			}
			break
		}
		if n := len(s.attempts); n > 12 {
			t.Errorf("asked %d times", n)
		}
	})
}
