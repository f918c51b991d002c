package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// A request whose upstreams accept no connection is refused while its client still has time to try
// another gateway, but not after a single failed dial.
func TestUnresponsiveUpstreamsDoNotDelayRequest(t *testing.T) {
	const peerTimeout = 500 * time.Millisecond
	for _, c := range []struct {
		latencyTarget time.Duration
		refuse        bool // upstreams refuse at once instead of not responding
		dials         int
	}{
		{latencyTarget: 1200 * time.Millisecond, dials: 2},
		{latencyTarget: 600 * time.Millisecond, dials: 2},
		{latencyTarget: 4 * time.Second, dials: maxDials},
		{latencyTarget: 600 * time.Millisecond, refuse: true, dials: maxDials},
	} {
		t.Run(fmt.Sprint(c.latencyTarget, c.refuse), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := NewDispatcher(upstream.NewBalancer(upstream.Config{Self: "d", Zone: "z", RetryRatio: 1, RetrySlack: 60, RetryWindow: 10 * time.Second,
					EjectTime: peerTimeout, MaxEjectTime: 4 * peerTimeout}), peerTimeout, peerTimeout/6)
				dials := 0
				dispatcher.connect = func(_ context.Context, _ string, limit time.Duration) (net.Conn, error) {
					if limit < peerTimeout { // with a longer limit it is a trial connection, not for a request
						dials++
					}
					if !c.refuse {
						time.Sleep(limit)
					}
					return nil, os.ErrDeadlineExceeded
				}
				handler := NewHandler(dispatcher, rollout.NewSplitter("n", time.Hour, func() time.Duration { return 0 }))
				handler.SetTable(buildTable(t, fmt.Sprintf(`{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}],
	 "limits":{"generation":1,"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutS":1,"idleTimeoutS":15},
	 "domains":[{"authority":"h.example","hostRoutes":[{"name":"g","pathPrefix":"/get/","routeKind":"idempotent",
	 "deadlineS":%g,"targetLatencyS":%g,"target":"a","maxTries":2,"generation":1}]}]}}`, 4*c.latencyTarget.Seconds(), c.latencyTarget.Seconds())))
				go dispatcher.Run()
				dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) {
					balancer.SetServices(now, map[string]upstream.ServiceInfo{"a": {MaxConns: 50}}, nil)
					var list []upstream.Instance
					for i := range 10 {
						list = append(list, upstream.Instance{ID: fmt.Sprint(i), Service: "a", Address: fmt.Sprint(i), Zone: "z", Capacity: 4})
					}
					balancer.SetList(now, list)
				})
				began := time.Now()
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest("GET", "http://h.example/get/x", nil))
				took := time.Since(began)
				if w.Code != 503 || w.Header().Get("Retry-After") == "" {
					t.Errorf("status %d, headers %v", w.Code, w.Header())
				}
				if took > c.latencyTarget*6/10 {
					t.Errorf("took %v, with a latency target of %v", took, c.latencyTarget)
				}
				if dials != c.dials {
					t.Errorf("%d dials, want %d", dials, c.dials)
				}
				dispatcher.Close()
				time.Sleep(peerTimeout) // until the trial connections that were started have ended
			})
		})
	}
}
