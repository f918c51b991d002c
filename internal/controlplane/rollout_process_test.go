package controlplane_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakePlatform serves the platform's list and runs the upstreams on it, two for each version that
// the test adds.
type fakePlatform struct {
	mu        sync.Mutex
	instances []string
	failing   atomic.Bool     // v2 answers with errors
	requests  [3]atomic.Int64 // by version
}

func (p *fakePlatform) addUpstreams(t *testing.T, version int) {
	for i := range 2 {
		id := fmt.Sprintf("v%d-%d", version, i)
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				w.Header().Set("Instance-Id", id)
				return
			}
			p.requests[version].Add(1)
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			w.Header().Set("Server-Seal", "s")
			if version == 2 && p.failing.Load() {
				w.WriteHeader(http.StatusInternalServerError)
			}
			fmt.Fprint(w, id)
		}))
		t.Cleanup(upstream.Close)
		p.mu.Lock()
		p.instances = append(p.instances, fmt.Sprintf(`{"id":%q,"target":"a","address":%q,"zone":"north","generation":"v%d","capacity":8,"state":"ready","warmupLeftS":0}`,
			id, strings.TrimPrefix(upstream.URL, "http://"), version))
		p.mu.Unlock()
	}
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(p.instances, ","))
}

// sendLoad has four clients send requests in the background until the test ends.
func (s *system) sendLoad(t *testing.T, body string) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				s.call(t, "POST", s.front+"/p/x", body, "Attempt-Id", fmt.Sprint(i, "-", n))
				time.Sleep(3 * time.Millisecond)
			}
		}()
	}
	t.Cleanup(func() { close(done); clients.Wait() })
}

// callControl calls the operators' API, again while it answers 503 because a partition has no
// owner.
func (s *system) callControl(t *testing.T, method, path, body string) (status int, text string) {
	for range 200 {
		if status, text = s.call(t, method, s.control+path, body); status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, text
}

// A rollout ordered over HTTP completes if the new version works, and is reverted if it fails.
func TestRolloutOverHTTP(t *testing.T) {
	for _, failing := range []bool{false, true} {
		t.Run(fmt.Sprintf("failing %v", failing), func(t *testing.T) {
			platform := &fakePlatform{}
			platform.failing.Store(failing)
			platform.addUpstreams(t, 1)
			system := newSystemWith(t, platform, "vip")
			system.callUntil(t, 200, "PATCH", system.control+"/v1/config", items)
			system.callUntil(t, 200, "GET", system.ready+"/v1/readiness", "")
			system.sendLoad(t, "b")
			platform.addUpstreams(t, 2)
			const order = `{"target":"a","targetVersion":"v2","withinS":6}`
			for _, call := range []struct {
				want               int
				method, path, body string
			}{
				{404, "GET", "/v1/rollouts/a", ""},
				{404, "GET", "/v1/rollouts/nobody", ""},
				{404, "POST", "/v1/rollouts", `{"target":"nobody","targetVersion":"v2","withinS":6}`},
				{400, "POST", "/v1/rollouts", `{"target":"a","withinS":6}`},
				{400, "POST", "/v1/rollouts", `{"target":"a"`},
				{405, "PUT", "/v1/rollouts", order},
				{405, "PUT", "/v1/rollouts/a", order},
				{200, "POST", "/v1/rollouts", order},
				{200, "POST", "/v1/rollouts", order},
				{409, "POST", "/v1/rollouts", strings.Replace(order, "v2", "v3", 1)},
			} {
				got, text := system.callControl(t, call.method, call.path, call.body)
				if got != call.want {
					t.Errorf("%s %s %s: %d %s, want %d", call.method, call.path, call.body, got, text, call.want)
				}
			}
			if got := system.callUntil(t, 200, "GET", system.control+"/v1/rollouts/a", ""); got != `{"state":"serving","targetVersion":"v2"}` {
				t.Errorf("in progress: %s", got)
			}
			want := "complete"
			if failing {
				want = "reverted"
			}
			text := ""
			for i := 0; i < 600 && !strings.Contains(text, want); i++ {
				text = system.callUntil(t, 200, "GET", system.control+"/v1/rollouts/a", "")
				time.Sleep(50 * time.Millisecond)
			}
			if !strings.Contains(text, want) {
				t.Fatalf("the rollout did not end: %s", text)
			}
			time.Sleep(300 * time.Millisecond)
			drained := 3 - 1 // the version that gets no more requests
			if !failing {
				drained = 1
			}
			before := platform.requests[drained].Load()
			time.Sleep(300 * time.Millisecond)
			if after := platform.requests[drained].Load(); after != before {
				t.Errorf("v%d got %d requests after the end", drained, after-before)
			}
			if failing && platform.requests[2].Load() > platform.requests[1].Load()/5 {
				t.Errorf("the failing version got %d requests, the other %d", platform.requests[2].Load(), platform.requests[1].Load())
			}
			ended := 409 // nothing is left to reverse
			if failing {
				ended = 200 // already reversed
			}
			for path, want := range map[string]int{"a": ended, "a?targetVersion=v2": ended, "a?targetVersion=v9": 409, "nobody": 404} {
				if got, text := system.callControl(t, "DELETE", "/v1/rollouts/"+path, ""); got != want {
					t.Errorf("DELETE %s: %d %s, want %d", path, got, text, want)
				}
			}
			if shown := system.callUntil(t, 200, "GET", system.control+"/v1/admin/rollouts/a", ""); !strings.Contains(shown, `"stage": "`+want+`"`) {
				t.Errorf("the administration API shows %s", shown)
			}
		})
	}
}
