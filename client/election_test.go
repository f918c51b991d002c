package client

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"
)

// A leader that resigns is succeeded at once, one that is cut off after the hold time, and an
// observer sees all announcements.
func TestElection(t *testing.T) {
	runSimulated(t, func(t *testing.T, s *fakeServer) {
		c := newTestClient(t, s)
		ctx, cancel := context.WithCancel(t.Context())
		election := c.Election("e", testHold)
		if _, err := election.Leader(ctx); !errors.Is(err, ErrNotFound) {
			t.Error(err)
		}
		var seen []Leader
		observed := make(chan error, 1)
		go func() {
			for leader, err := range election.Observe(ctx) {
				if err != nil {
					observed <- err
					return
				}
				seen = append(seen, leader)
			}
		}()
		time.Sleep(time.Second)
		first, err := election.Campaign(ctx, "a")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if first.Context().Err() != nil {
			t.Fatal("the leader did not keep its lease")
		}
		if leader, err := election.Leader(ctx); err != nil || leader != (Leader{Candidate: "a", Token: 1}) {
			t.Error(leader, err)
		}
		resigned := time.Now()
		if err := first.Resign(ctx); err != nil || first.Context().Err() == nil {
			t.Error(err)
		}
		took := time.Since(resigned)
		time.Sleep(time.Second)
		second, err := election.Campaign(ctx, "b")
		if err != nil || took > time.Second {
			t.Fatal(err, took)
		}
		time.Sleep(time.Second)
		// The second leader is cut off: its renewals do not arrive.
		s.setFault(func(_ int, r *http.Request) fault {
			return fault{refuseConnection: r.Method == http.MethodPut && r.URL.Path == "/v1/locks/election-e"}
		})
		third, err := election.Campaign(ctx, "c")
		if err != nil || second.lease.Remaining() > 0 || second.Token() >= third.Token() {
			t.Fatal(err, second.lease.Remaining())
		}
		time.Sleep(time.Nanosecond) // timers due at the same moment fire in any order
		if second.Context().Err() == nil {
			t.Fatal("the lease has expired but its context has not ended")
		}
		time.Sleep(time.Second)
		if err := second.Resign(ctx); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		cancel()
		if err := <-observed; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		want := []Leader{{"a", 1, false}, {"a", 1, true}, {"b", 2, false}, {"c", 3, false}}
		if !slices.Equal(seen, want) {
			t.Errorf("saw %v, want %v", seen, want)
		}
		if err := third.Resign(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
