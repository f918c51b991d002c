package client

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

// Without randomness: the expected times in the tests assume that each pause is in the middle
// of its random range.
func init() {
	randomBelow = func(limit time.Duration) time.Duration { return limit / 2 }
}

// Jitter shortens a pause by at most half of its length.
func TestJitter(t *testing.T) {
	original := randomBelow
	defer func() { randomBelow = original }()
	for _, c := range []struct{ pause, drawn, want time.Duration }{{100, 0, 100}, {100, 50, 50}, {1, 0, 1}} {
		randomBelow = func(limit time.Duration) time.Duration {
			if c.drawn >= limit {
				t.Errorf("drawn duration %d is not below the limit %d", c.drawn, limit)
			}
			return c.drawn
		}
		if got := jitter(c.pause); got != c.want {
			t.Errorf("got a pause of %d from %d with %d drawn", got, c.pause, c.drawn)
		}
	}
}

// A call is retried on another node after failures that allow a retry, and only after these.
func TestCallFailover(t *testing.T) {
	increment := func(c *Client, ctx context.Context) error { _, err := c.Counter("n").Next(ctx); return err }
	put := func(c *Client, ctx context.Context) error { _, err := c.Put(ctx, "g.k", "v"); return err }
	putIf := func(c *Client, ctx context.Context) error { _, err := c.PutIf(ctx, "g.k", "v", 7); return err }
	get := func(c *Client, ctx context.Context) error { _, err := c.Get(ctx, "g.k"); return err }
	acquire := func(c *Client, ctx context.Context) error {
		_, err := c.RequestGrant(ctx, "l", "me", 3*time.Second)
		return err
	}
	always := func(f fault) []fault {
		return []fault{f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f, f}
	}
	noResponse := fault{responseDelay: time.Hour}
	for name, c := range map[string]struct {
		call   func(*Client, context.Context) error
		faults []fault
		hosts  string        // hosts of all attempts, in order; "*": not checked
		ends   string        // expected error kind
		after  time.Duration // expected duration of the call
	}{
		"success":               {increment, nil, "n0", "<nil>", 0},
		"503, 429":              {increment, []fault{{status: 503}, {status: 429}}, "n0 n1 n2", "<nil>", 45 * time.Millisecond},
		"connection refused":    {increment, []fault{{refuseConnection: true}}, "n0 n1", "<nil>", 15 * time.Millisecond},
		"no response":           {increment, []fault{noResponse}, "n0 n1", "<nil>", 1015 * time.Millisecond},
		"counter is retried":    {increment, []fault{{responseStatus: 502}, {responseStatus: 504}, {resetConnection: true}}, "n0 n1 n2 n0", "<nil>", 100 * time.Millisecond},
		"acquire is retried":    {acquire, []fault{{responseStatus: 500}, {resetConnection: true}}, "n0 n1 n2", "<nil>", 45 * time.Millisecond},
		"put is retried":        {put, []fault{{resetConnection: true}, noResponse}, "n0 n1 n2", "<nil>", 1045 * time.Millisecond},
		"invalid response body": {increment, []fault{{responseBody: `{"value":`}}, "n0 n1", "<nil>", 15 * time.Millisecond},
		"redirected twice":      {increment, []fault{{location: "http://n7:1/v1/numbers/n"}, {location: "http://n8:1/v1/numbers/n"}}, "n0 n7 n8", "<nil>", 0},
		"redirected too often": {increment, []fault{{location: "http://n7:1/a"}, {location: "http://n8:1/a"}, {location: "http://n9:1/a"}},
			"n0 n7 n8 n1", "<nil>", 15 * time.Millisecond},
		"put is retried for 5 s only": {put, always(fault{responseStatus: 502}), "*", "unclear", 4600 * time.Millisecond},
		"put with connection resets":  {put, always(fault{resetConnection: true}), "*", "unclear", 4600 * time.Millisecond},
		"put that was never sent is retried for longer": {put, append(always(fault{refuseConnection: true})[:10], fault{status: 503}), "*", "<nil>",
			4695 * time.Millisecond},
		"all nodes unavailable":             {increment, always(fault{status: 503}), "*", "unavailable", 8 * time.Second},
		"result unclear":                    {increment, always(fault{responseStatus: 504}), "*", "unclear", 8 * time.Second},
		"result of a read is never unclear": {get, always(fault{responseStatus: 504}), "*", "unavailable", 8 * time.Second},
		"not found":                         {get, nil, "n0", "not found", 0},
		"conflicting revision":              {putIf, nil, "n0", "conflict", 0},
		"bad request":                       {increment, []fault{{status: 400}}, "n0", "400", 0},
		"value too large":                   {put, []fault{{status: 413}}, "n0", "413", 0},
		"conflict is not retried":           {acquire, []fault{{status: 409}}, "n0", "held", 0},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, func(t *testing.T, s *fakeServer) {
				s.failNext(c.faults...)
				err := c.call(newTestClient(t, s), withTimeout(t, 8*time.Second))
				took := time.Since(s.startedAt)
				if got := errorKind(err); got != c.ends {
					t.Errorf("%s (%v), want %s", got, err, c.ends)
				}
				if got := s.hosts(); c.hosts != "*" && got != c.hosts {
					t.Errorf("tried hosts %s, want %s", got, c.hosts)
				}
				if slack := 5*time.Millisecond + c.after/50; took < c.after-slack || took > c.after+slack {
					t.Errorf("took %v, want about %v", took, c.after)
				}
				if isDeadline := c.after == 8*time.Second; isDeadline != errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("%v: is a deadline error: %v", err, !isDeadline)
				}
			})
		})
	}
}

// A put is retried with the same value and condition, and returns the revision of its first
// execution.
func TestPutRetrySendsSameBody(t *testing.T) {
	runSimulated(t, func(t *testing.T, s *fakeServer) {
		c := newTestClient(t, s)
		s.failNext(fault{responseStatus: 502}, fault{responseDelay: time.Hour})
		revision, err := c.PutIf(t.Context(), "g.k", "v1", 0)
		if err != nil || revision != 1 || len(s.attempts) != 3 {
			t.Fatal(revision, err, s.attempts)
		}
		for _, a := range s.attempts {
			if a.body != `{"value":"v1","enabled":0}` {
				t.Errorf("sent %s", a.body)
			}
		}
		_, err = c.PutIf(t.Context(), "g.k", "v2", 0)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Revision != 1 || conflict.Key != "g.k" {
			t.Error(err)
		}
		entry, err := c.Get(t.Context(), "g.k")
		if err != nil || entry != (Entry{"g.k", "v1", 1}) {
			t.Error(entry, err)
		}
	})
}

func TestRetryAfterAppliesAfterAllEndpoints(t *testing.T) {
	retries := backoff{endpoints: 2}
	if first := retries.next(time.Second); first > initialBackoff {
		t.Errorf("paused %v before the other endpoint was tried", first)
	}
	if second := retries.next(time.Second); second != time.Second {
		t.Errorf("paused %v, want the time in Retry-After", second)
	}
}

func TestEndpoints(t *testing.T) {
	for text, valid := range map[string]bool{"h:1": true, "http://h:1": true, "https://h:1/": true, "": false, "h:1/path": false, "http://": false} {
		if _, err := New([]string{text}, Options{}); (err == nil) != valid {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := New(nil, Options{}); err == nil {
		t.Error("a client without endpoints was created")
	}
	if name := ownerPrefix("a b/c" + strings.Repeat("x", 99)); len(name) > 60 || strings.ContainsAny(name, "/ ") {
		t.Error(name)
	}
}
