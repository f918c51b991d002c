package client

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"
)

const testHold = 3 * time.Second

// The hold time counts from when the acquire or renewal was sent. The lease expires then unless
// it is renewed.
func TestLeaseEnd(t *testing.T) {
	noResponse := fault{responseDelay: time.Hour}
	for name, c := range map[string]struct {
		acquired  fault               // of the acquire request
		renewals  func(nth int) fault // of the nth renewal request, from 0
		meanwhile func(s *fakeServer) // called half a second after the acquire
		ends      time.Duration       // since the acquire was sent; 0: not within a minute
		cause     error
	}{
		"renewed":                {renewals: func(int) fault { return fault{} }},
		"acquired slowly":        {acquired: fault{responseDelay: 900 * time.Millisecond}, renewals: func(int) fault { return noResponse }, ends: testHold, cause: ErrLeaseExpired},
		"no response":            {renewals: func(int) fault { return noResponse }, ends: testHold, cause: ErrLeaseExpired},
		"nodes without a quorum": {renewals: func(int) fault { return fault{status: 503} }, ends: testHold, cause: ErrLeaseExpired},
		"bad request":            {renewals: func(int) fault { return fault{status: 400} }, ends: testHold, cause: ErrLeaseExpired},
		"every second response lost": {renewals: func(nth int) fault {
			if nth%2 == 0 {
				return fault{resetConnection: true}
			}
			return fault{}
		}},
		"slow responses": {renewals: func(int) fault { return fault{responseDelay: 500 * time.Millisecond} }},
		// The last renewal that succeeds is sent 1 s after the one before it.
		"no response after two renewals": {renewals: func(nth int) fault {
			if nth < 2 {
				return fault{}
			}
			return noResponse
		}, ends: 2*time.Second + testHold, cause: ErrLeaseExpired},
		"lost": {renewals: func(int) fault { return fault{} }, meanwhile: func(s *fakeServer) { s.mu.Lock(); defer s.mu.Unlock(); delete(s.locks, "l") },
			ends: time.Second, cause: ErrLeaseLost},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, func(t *testing.T, s *fakeServer) {
				renewals := 0
				s.setFault(func(_ int, r *http.Request) fault {
					switch r.Method {
					case http.MethodPost:
						return c.acquired
					case http.MethodPut:
						renewals++
						return c.renewals(renewals - 1)
					}
					return fault{}
				})
				lease, err := newTestClient(t, s).TryAcquire(t.Context(), "l", "", testHold)
				if err != nil {
					t.Fatal(err)
				}
				if c.meanwhile != nil {
					time.Sleep(500 * time.Millisecond)
					c.meanwhile(s)
				}
				select {
				case <-lease.Context().Done():
				case <-time.After(time.Minute):
				}
				ended, cause := time.Since(s.startedAt), context.Cause(lease.Context())
				if c.ends == 0 {
					c.ends = time.Minute
				}
				if !errors.Is(cause, c.cause) || ended != c.ends {
					t.Errorf("ended after %v: %v; want %v: %v", ended, cause, c.ends, c.cause)
				}
				if left := lease.Remaining(); (left > 0) != (c.cause == nil) {
					t.Errorf("%v remain", left)
				}
				if err := lease.Release(t.Context()); err != nil || lease.Context().Err() == nil {
					t.Error(err)
				}
			})
		})
	}
}

// A 200 response that arrives after the grant has expired is not used.
func TestLateResponseGrantsNoLease(t *testing.T) {
	const hold = 500 * time.Millisecond
	slowResponse := fault{responseDelay: 700 * time.Millisecond}
	runSimulated(t, func(t *testing.T, s *fakeServer) {
		c := newTestClient(t, s)
		s.failNext(slowResponse)
		grant, err := c.RequestGrant(t.Context(), "l", "me", hold)
		if err != nil || len(s.attempts) != 2 || time.Until(grant.Until) != hold {
			t.Error("acquire:", grant, err, s.hosts())
		}
		s.failNext(slowResponse)
		if _, err := c.RenewGrant(t.Context(), grant); !errors.Is(err, ErrLeaseExpired) {
			t.Error("renewal:", err)
		}
	})
}

// Acquire waits for a held lock, goroutines of one client exclude each other, and tokens
// increase.
func TestAcquireWaitsForHeldLock(t *testing.T) {
	runSimulated(t, func(t *testing.T, s *fakeServer) {
		c := newTestClient(t, s)
		first, err := c.Acquire(t.Context(), "l", "", testHold)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.TryAcquire(t.Context(), "l", "", testHold); !errors.Is(err, ErrHeld) {
			t.Error(err)
		}
		if _, err := c.Acquire(withTimeout(t, 5*time.Second), "l", "", testHold); !errors.Is(err, ErrHeld) || !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
		time.AfterFunc(10*time.Second, func() { _ = first.Release(context.Background()) })
		second, err := c.Acquire(t.Context(), "l", "", testHold)
		if err != nil || second.Token() <= first.Token() || first.Context().Err() == nil || !roughly(time.Since(s.startedAt), 15*time.Second) {
			t.Fatal(second, err, time.Since(s.startedAt))
		}
		if err := first.Release(t.Context()); err != nil || second.Context().Err() != nil {
			t.Error("second release:", err, second.Context().Err())
		}
		if err := second.Release(t.Context()); err != nil || len(s.locks) != 0 {
			t.Error(err, s.locks)
		}
	})
}

// A grant that arrives after the context has ended is released, unless the caller chose the
// owner name.
func TestLateGrantIsReturned(t *testing.T) {
	for owner, want := range map[string]int{"": 0, "mine": 1} {
		runSimulated(t, func(t *testing.T, s *fakeServer) {
			s.failNext(fault{delay: 800 * time.Millisecond})
			_, err := newTestClient(t, s).Acquire(withTimeout(t, 100*time.Millisecond), "l", owner, testHold)
			if !errors.Is(err, ErrUnclear) || time.Since(s.startedAt) != 100*time.Millisecond {
				t.Error(err, time.Since(s.startedAt))
			}
			time.Sleep(time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.locks) != want {
				t.Errorf("owner %q: %v", owner, s.locks)
			}
		})
	}
}
