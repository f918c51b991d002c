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

// A request whose upstreams take no connection is refused while its client still has time to go
// elsewhere, but not after the first of them.
func TestSilentUpstreamsDoNotHoldARequest(t *testing.T) {
	const patience = 500 * time.Millisecond
	for _, c := range []struct {
		aim   time.Duration
		fast  bool // upstreams refuse at once; otherwise they are silent
		dials int
	}{
		{aim: 1200 * time.Millisecond, dials: 2},
		{aim: 600 * time.Millisecond, dials: 2},
		{aim: 4 * time.Second, dials: maxDials},
		{aim: 600 * time.Millisecond, fast: true, dials: maxDials},
	} {
		t.Run(fmt.Sprint(c.aim, c.fast), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := NewDispatcher(upstream.NewBalancer(upstream.Config{Self: "d", Zone: "z", RetryRatio: 1, RetrySlack: 60, Window: 10 * time.Second,
					Eject: patience, EjectMax: 4 * patience}), patience, patience/6)
				dials := 0
				dispatcher.connect = func(_ context.Context, _ string, limit time.Duration) (net.Conn, error) {
					if limit < patience { // or else it is a trial, for no request
						dials++
					}
					if !c.fast {
						time.Sleep(limit)
					}
					return nil, os.ErrDeadlineExceeded
				}
				handler := NewHandler(dispatcher, rollout.NewArms("n", time.Hour, func() time.Duration { return 0 }))
				handler.SetTable(tableOf(t, fmt.Sprintf(`{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}],
	 "limits":{"generation":1,"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutS":1,"idleTimeoutS":15},
	 "domains":[{"authority":"h.example","hostRoutes":[{"name":"g","pathPrefix":"/get/","routeKind":"idempotent",
	 "deadlineS":%g,"targetLatencyS":%g,"target":"a","maxTries":2,"generation":1}]}]}}`, 4*c.aim.Seconds(), c.aim.Seconds())))
				go dispatcher.Run()
				dispatcher.Do(func(now time.Duration, s *upstream.Balancer) {
					s.SetServices(now, map[string]upstream.ServiceInfo{"a": {MaxConns: 50}}, nil)
					var list []upstream.Instance
					for i := range 10 {
						list = append(list, upstream.Instance{ID: fmt.Sprint(i), Service: "a", Address: fmt.Sprint(i), Zone: "z", Capacity: 4})
					}
					s.SetList(now, list)
				})
				began := time.Now()
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, httptest.NewRequest("GET", "http://h.example/get/x", nil))
				held := time.Since(began)
				if w.Code != 503 || w.Header().Get("Retry-After") == "" {
					t.Errorf("answered %d, %v", w.Code, w.Header())
				}
				if held > c.aim*6/10 {
					t.Errorf("held for %v, of an aim of %v", held, c.aim)
				}
				if dials != c.dials {
					t.Errorf("%d dials, want %d", dials, c.dials)
				}
				dispatcher.Close()
				time.Sleep(patience) // until trials that were begun have ended
			})
		})
	}
}
