package client

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// collectWatch starts a watch in the background. The returned function waits until it ends and
// returns its events as "revision=value", followed by the kind of the error that ended it.
func collectWatch(ctx context.Context, c *Client, after uint64) func() string {
	var seen []string
	done := make(chan struct{})
	go func() {
		defer close(done)
		for event, err := range c.Watch(ctx, "g", after) {
			if err != nil {
				seen = append(seen, errorKind(err))
				return
			}
			seen = append(seen, fmt.Sprintf("%d=%s", event.Revision, event.Value))
		}
	}()
	return func() string {
		<-done
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
		"from a revision":           {3, 1, nil, "2=v2 3=v3 4=v4 5=v5"},
		"from the current revision": {3, 0, nil, "4=v4 5=v5"},
		"empty group":               {0, 0, nil, "1= 2=v2"},
		"with failures": {3, 1, []fault{{status: 503}, {}, {resetConnection: true}, {responseDelay: time.Hour}, {}, {status: 502}, {refuseConnection: true}, {location: "http://n9:1/v1/watch/g."}},
			"2=v2 3=v3 4=v4 5=v5"},
		"response behind the requested revision":   {3, 3, []fault{{responseBody: `{"events":[],"revision":2}`}}, "4=v4 5=v5"},
		"events in decreasing order":               {3, 1, []fault{{responseBody: `{"events":[{"revision":3},{"revision":2}],"revision":3}`}}, "2=v2 3=v3 4=v4 5=v5"},
		"event already seen":                       {3, 1, []fault{{responseBody: `{"events":[{"revision":1}],"revision":3}`}}, "2=v2 3=v3 4=v4 5=v5"},
		"event above the revision of the response": {3, 1, []fault{{responseBody: `{"events":[{"revision":4}],"revision":3}`}}, "2=v2 3=v3 4=v4 5=v5"},
		"invalid response body":                    {3, 1, []fault{{responseBody: `null x`}}, "2=v2 3=v3 4=v4 5=v5"},
		"bad request":                              {3, 1, []fault{{status: 400}}, "400"},
		"compacted":                                {3, 1, []fault{{status: 410}}, "compacted"},
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

// A watch returns a put at once, sends a request only every two seconds while there are no
// events, and moves to another node if a node responds without waiting.
func TestWatchPolling(t *testing.T) {
	runSimulated(t, func(t *testing.T, s *fakeServer) {
		c := newTestClient(t, s)
		s.put("g.k", putRequest{Value: "v1"})
		s.setFault(func(_ int, r *http.Request) fault {
			if r.URL.Host == "n0:1" {
				return fault{status: http.StatusOK, responseBody: `{"events":[],"revision":1}`}
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
			t.Errorf("%d requests, want at most 12", n)
		}
	})
}
