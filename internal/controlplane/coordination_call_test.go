package controlplane

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/coordination"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
)

// Invalid calls are refused with a message that names the fault.
func TestCoordinationCallsAreChecked(t *testing.T) {
	large := strings.Repeat("x", maxValueBytes+1)
	for _, test := range []struct {
		method, path, body string
		status             int
		wantText           string
	}{
		{"POST", "/v1/locks/l", `{"owner":"a","holdS":3}`, 0, ""},
		{"POST", "/v1/locks/l", `{"owner":"a","holdS":3`, 400, "body"},
		{"POST", "/v1/locks/l", `[]`, 400, "body"},
		{"POST", "/v1/locks/l", ``, 400, "owner"},
		{"POST", "/v1/locks/l", `{"owner":"","holdS":3}`, 400, "owner: empty"},
		{"POST", "/v1/locks/l", `{"owner":"a"}`, 400, "holdS: missing"},
		{"POST", "/v1/locks/l", `{"owner":"a","holdS":0}`, 400, "holdS: not positive"},
		{"POST", "/v1/locks/l", `{"owner":"a","holdS":-1}`, 400, "holdS: not positive"},
		{"POST", "/v1/locks/l", `{"owner":"a","holdS":1e9}`, 400, "holdS: more"},
		{"POST", "/v1/locks/", `{"owner":"a","holdS":3}`, 400, "name: empty"},
		{"POST", "/v1/locks/a/b", `{"owner":"a","holdS":3}`, 400, "name"},
		{"POST", "/v1/locks/l", `{"owner":"` + strings.Repeat("x", maxCoordinationBodyBytes) + `"}`, 413, "more than"},
		{"GET", "/v1/locks/l", ``, 405, "GET"},
		{"PUT", "/v1/locks/l", `{"owner":"a","fence":1,"holdS":3}`, 0, ""},
		{"PUT", "/v1/locks/l", `{"owner":"a","holdS":3}`, 400, "fence: missing"},
		{"PUT", "/v1/locks/l", `{"owner":"a","fence":-1,"holdS":3}`, 400, "body"},
		{"DELETE", "/v1/locks/l", `{"owner":"a","fence":1}`, 0, ""},
		{"DELETE", "/v1/locks/l", `{"owner":"a"}`, 400, "fence: missing"},
		{"POST", "/v1/numbers/n", `{}`, 0, ""},
		{"POST", "/v1/numbers/n", ``, 0, ""},
		{"PUT", "/v1/numbers/n", `{}`, 405, "PUT"},
		{"PUT", "/v1/cells/g.a", `{"value":"x","enabled":0}`, 0, ""},
		{"PUT", "/v1/cells/g.a", `{"value":""}`, 0, ""},
		{"PUT", "/v1/cells/g.a", `{"enabled":3}`, 400, "value: missing"},
		{"PUT", "/v1/cells/g.a", `{"value":"x","enabled":-3}`, 400, "body"},
		{"PUT", "/v1/cells/g.a", `{"value":"` + large + `"}`, 413, "value"},
		{"GET", "/v1/cells/g.a", ``, 0, ""},
		{"DELETE", "/v1/cells/g.a", ``, 405, "DELETE"},
	} {
		_, err := readCoordinationCall(httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
		checkRefusal(t, test.method+" "+test.path+" "+test.body[:min(40, len(test.body))], err, test.status, test.wantText)
	}
	for _, test := range []struct {
		method, path string
		status       int
		wantText     string
	}{
		{"GET", "/v1/watch/g.?after=3&waitMs=20", 0, ""},
		{"GET", "/v1/watch/g.", 0, ""},
		{"GET", "/v1/watch/g.?after=-1", 400, "after"},
		{"GET", "/v1/watch/g.?after=1&waitMs=-1", 400, "waitMs"},
		{"GET", "/v1/watch/g.?after=x", 400, "after"},
		{"GET", "/v1/watch/g", 400, "group"},
		{"GET", "/v1/watch/g.a", 400, "group"},
		{"PUT", "/v1/watch/g.", 405, "PUT"},
	} {
		r := httptest.NewRequest(test.method, test.path, nil)
		_, _, err := readWatch(r, strings.TrimPrefix(r.URL.Path, watchPathPrefix))
		checkRefusal(t, test.method+" "+test.path, err, test.status, test.wantText)
	}
}

func checkRefusal(t *testing.T, call string, err error, status int, wantText string) {
	t.Helper()
	switch {
	case err == nil && status != 0:
		t.Errorf("%s is accepted, want %d", call, status)
	case err != nil && (apierror.ResponseFor(apierror.KindOf(err)).Status != status || !strings.Contains(err.Error(), wantText)):
		t.Errorf("%s: %v, want %d and %q", call, err, status, wantText)
	}
}

// A relay derives the partition of a call from its path as a control node does, so that it
// redirects the call to the owner.
func TestRelayPartitionOfACall(t *testing.T) {
	for path, call := range map[string]coordination.Call{
		"/v1/locks/l1f":  {Operation: coordination.Release, Name: "l1f"},
		"/v1/numbers/n2": {Operation: coordination.Increment, Name: "n2"},
		"/v1/cells/g1.2": {Operation: coordination.Put, Name: "g1.2"},
		"/v1/watch/g1.":  {Operation: coordination.Get, Name: "g1.2"},
	} {
		if got := partitionOf("GET", path); got != call.Partition() {
			t.Errorf("%s: %s, want %s", path, got, call.Partition())
		}
	}
	if got := partitionOf("GET", "/v1/rollouts/a"); got != rollout.Prefix+"a" {
		t.Errorf("a rollout: %s", got)
	}
}

// Calls that arrived during a stall of the process are refused, since their callers may have tried
// another node meanwhile.
func TestStallDetectorNoticesStalls(t *testing.T) {
	now := time.Minute
	detector := &stallDetector{clock: func() time.Duration { return now }}
	tick := func() { detector.recordTick(now) }
	tick()
	now += stallLimit / 2
	if detector.stalled() {
		t.Error("a slightly late tick counts as a stall")
	}
	tick()
	now += 2 * stallLimit
	if !detector.stalled() {
		t.Error("no stall before the next tick")
	}
	tick()
	now += resumeWindow / 2
	if !detector.stalled() {
		t.Error("no stall shortly after the next tick")
	}
	now += resumeWindow
	if detector.stalled() {
		t.Error("the stall does not end")
	}
}

// soleOwnerReplica owns every partition, always with a confirmed ownership term.
type soleOwnerReplica struct{}

func (soleOwnerReplica) Propose(_ time.Duration, _ string, fn func(map[string]replication.Record) ([]replication.Record, error), done func(error)) {
	_, err := fn(nil)
	done(err)
}
func (soleOwnerReplica) OwnershipTerm(time.Duration, string) (t replication.OwnershipTerm, confirmed bool) {
	return t, true
}
func (soleOwnerReplica) Owner(time.Duration, string) string { return "self" }
func (soleOwnerReplica) Committed(string) (r map[string]replication.Record, p replication.Position, known bool) {
	return r, p, true
}
func (soleOwnerReplica) FreshAsOf(string) (time.Duration, bool) { return time.Minute, true }

// noOwners reports no owner for any partition.
type noOwners struct{}

func (noOwners) Owner(time.Duration, string) string        { return "" }
func (noOwners) InitialOwner(time.Duration, string) string { return "" }

// A call is not tried again after its caller's context ended.
func TestCallIsNotRetriedWithoutItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		attempts := 0
		coordinator := &coordinator{owners: noOwners{}, pause: time.Millisecond, clock: func() time.Duration { return time.Since(begin) },
			enqueue: func(fn func(time.Duration)) { attempts++; fn(time.Since(begin)) }}
		caller, cancel := context.WithTimeout(t.Context(), coordinationLimit/4)
		defer cancel()
		result := coordinator.submit(caller, coordination.Call{Operation: coordination.Increment, Name: "n"})
		if took := time.Since(begin); result.Effect != coordination.NotExecuted || took != coordinationLimit/4 {
			t.Errorf("%v after %v", result.Effect, took)
		}
		attempts = 0
		coordinator.submit(caller, coordination.Call{Operation: coordination.Increment, Name: "n"})
		if attempts != 1 {
			t.Errorf("%d attempts for a caller that had already left, want 1", attempts)
		}
	})
}

// A queued call is not executed if its caller leaves before its turn.
func TestCallDoesNotStartWithoutItsCaller(t *testing.T) {
	var queue []func(time.Duration)
	coordinator := &coordinator{clock: func() time.Duration { return time.Minute }, enqueue: func(fn func(time.Duration)) { queue = append(queue, fn) },
		server: coordination.NewServer(coordination.ServerConfig{Self: "self", RunID: 1, Clock: func() time.Duration { return time.Minute },
			Log: slog.New(slog.DiscardHandler), Limits: coordination.Limits{Bytes: 1 << 20, HistoryBytes: 1 << 20, History: time.Minute}}, soleOwnerReplica{})}
	increment := coordination.Call{Operation: coordination.Increment, Name: "n"}
	deadline := coordination.ClockReading{RunID: 1, Time: 2 * time.Minute}
	caller, cancel := context.WithCancel(t.Context())
	cancel()
	if got := coordinator.execute(caller, increment, deadline); got.Effect != coordination.NotExecuted {
		t.Errorf("%+v", got)
	}
	results := make(chan coordination.Result, 1)
	coordinator.enqueue(func(now time.Duration) {
		coordinator.server.Execute(now, coordination.NewExecution(increment, deadline, func(r coordination.Result) { results <- r }))
	})
	for _, fn := range queue {
		fn(time.Minute)
	}
	if got := <-results; got.Effect != coordination.Answered || got.Answer.Number != 1 {
		t.Errorf("the next caller gets %+v, want the number 1", got)
	}
}

func TestWatchesEndWhenTheNodeShutsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		coordinator := &coordinator{enqueue: func(fn func(time.Duration)) { fn(time.Minute) }, shutdown: make(chan struct{}), statistics: newCoordinationStats(), retryAfter: time.Second,
			server: coordination.NewServer(coordination.ServerConfig{Self: "self"}, soleOwnerReplica{})}
		answers := make(chan *httptest.ResponseRecorder, 1)
		watch := func() {
			w := httptest.NewRecorder()
			coordinator.ServeHTTP(w, httptest.NewRequest("GET", "/v1/watch/g.?after=7&waitMs=30000", nil))
			answers <- w
		}
		begin := time.Now()
		go watch()
		time.Sleep(time.Second)
		coordinator.close()
		if w := <-answers; w.Code != 200 || w.Body.String() != `{"events":[],"revision":7}` || time.Since(begin) > time.Second {
			t.Errorf("a waiting watch: %d %s after %v", w.Code, w.Body, time.Since(begin))
		}
		watch()
		if w := <-answers; w.Code != 503 || w.Header().Get("Retry-After") == "" {
			t.Errorf("a watch after the shutdown began: %d", w.Code)
		}
	})
}
