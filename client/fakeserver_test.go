package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fault describes what goes wrong with one attempt. The zero value is no fault.
type fault struct {
	refuseConnection bool
	location         string        // redirect to this URL
	status           int           // respond with this status without executing the request
	delay            time.Duration // before the request is executed
	responseStatus   int           // execute the request, but respond with this status
	responseDelay    time.Duration // execute the request, and respond after this delay
	resetConnection  bool          // execute the request, and reset the connection
	responseBody     string        // respond with this body
}

// recordedAttempt is one attempt, including those whose connection was refused.
type recordedAttempt struct {
	host, method, path string
	body               string
	sinceStart         time.Duration
}

type fakeLock struct {
	owner string
	token uint64
	hold  time.Duration
	until time.Time
}

// fakeServer simulates the control nodes' API in memory, with one state for all nodes. It is an
// http.RoundTripper, because synctest's fake clock does not work with real sockets.
type fakeServer struct {
	mu            sync.Mutex
	startedAt     time.Time
	locks         map[string]fakeLock
	lastToken     uint64
	numbers       map[string]uint64
	cells         map[string]entryResponse
	groups        map[string][]Event
	puts          map[string]uint64 // revision of each put, by "key=value"
	compactedUpTo uint64            // events after this revision are kept
	changed       chan struct{}     // closed by the next put
	attempts      []recordedAttempt
	// chooseFault returns the fault of the attempt with the given number, from 0.
	chooseFault func(number int, r *http.Request) fault
}

func newFakeServer() *fakeServer {
	return &fakeServer{startedAt: time.Now(), locks: map[string]fakeLock{}, numbers: map[string]uint64{},
		cells: map[string]entryResponse{}, groups: map[string][]Event{}, puts: map[string]uint64{},
		changed: make(chan struct{}), chooseFault: func(int, *http.Request) fault { return fault{} }}
}

// failNext assigns the given faults to the next attempts; later attempts have no fault.
func (s *fakeServer) failNext(faults ...fault) {
	s.mu.Lock()
	first := len(s.attempts)
	s.mu.Unlock()
	s.setFault(func(number int, _ *http.Request) fault {
		if number -= first; number < len(faults) {
			return faults[number]
		}
		return fault{}
	})
}

func (s *fakeServer) setFault(choose func(number int, r *http.Request) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = choose
}

var errReset = errors.New("connection reset")

func (s *fakeServer) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		body, _ = io.ReadAll(r.Body)
	}
	s.mu.Lock()
	f := s.chooseFault(len(s.attempts), r)
	s.attempts = append(s.attempts, recordedAttempt{r.URL.Host, r.Method, r.URL.Path, string(body), time.Since(s.startedAt)})
	s.mu.Unlock()
	if f.refuseConnection {
		return nil, errors.New("connection refused")
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	outcome := make(chan *http.Response, 1)
	go func() { outcome <- s.serve(r, body, f) }()
	select {
	case response := <-outcome:
		if response == nil {
			return nil, errReset
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// serve applies the fault and executes the request. It continues after the caller's context has
// ended, like a request that arrives late.
func (s *fakeServer) serve(r *http.Request, body []byte, f fault) *http.Response {
	switch {
	case f.location != "":
		response := respond(r, http.StatusTemporaryRedirect, "")
		response.Header.Set("Location", f.location+"?"+r.URL.RawQuery)
		return response
	case f.status != 0:
		return respond(r, f.status, f.responseBody)
	}
	time.Sleep(f.delay)
	status, result := s.execute(r, body)
	time.Sleep(f.responseDelay)
	text, _ := json.Marshal(result)
	switch {
	case f.resetConnection:
		return nil
	case f.responseStatus != 0:
		return respond(r, f.responseStatus, "")
	case f.responseBody != "":
		text = []byte(f.responseBody)
	}
	return respond(r, status, string(text))
}

func respond(r *http.Request, status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Request: r,
		Body: io.NopCloser(bytes.NewReader([]byte(body)))}
}

// execute handles a request and returns the status and the body of the response.
func (s *fakeServer) execute(r *http.Request, body []byte) (int, any) {
	resource, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	if resource == "watch" {
		return s.watch(r, name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch resource {
	case "locks":
		var request struct {
			Owner string
			Fence uint64
			HoldS float64
		}
		_ = json.Unmarshal(body, &request)
		return s.lock(r.Method, name, request.Owner, request.Fence, time.Duration(request.HoldS*float64(time.Second)))
	case "numbers":
		s.numbers[name]++
		return http.StatusOK, counterResponse{s.numbers[name]}
	case "cells":
		if r.Method == http.MethodGet {
			if cell, ok := s.cells[name]; ok {
				return http.StatusOK, cell
			}
			return http.StatusNotFound, nil
		}
		var request putRequest
		_ = json.Unmarshal(body, &request)
		return s.put(name, request)
	}
	return http.StatusBadRequest, nil
}

func (s *fakeServer) lock(method, name, owner string, token uint64, hold time.Duration) (int, any) {
	held, ok := s.locks[name]
	ok = ok && time.Now().Before(held.until)
	switch {
	case method == http.MethodDelete:
		if ok && held.owner == owner && held.token == token {
			delete(s.locks, name)
		}
		return http.StatusOK, nil
	case ok && held.owner != owner, method == http.MethodPut && (!ok || held.token != token):
		return http.StatusConflict, nil
	case !ok:
		s.lastToken++
		held = fakeLock{owner: owner, token: s.lastToken}
	}
	held.hold = hold
	if until := time.Now().Add(hold); until.After(held.until) {
		held.until = until
	}
	s.locks[name] = held
	return http.StatusOK, acquireResponse{held.token}
}

// restartLeases restarts the hold time of every held lock, as a control node does when it takes
// over the locks.
func (s *fakeServer) restartLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, held := range s.locks {
		if time.Now().Before(held.until) {
			held.until = time.Now().Add(held.hold)
			s.locks[name] = held
		}
	}
}

func (s *fakeServer) put(name string, request putRequest) (int, any) {
	put := name + "=" + request.Value
	if revision, repeated := s.puts[put]; repeated {
		return http.StatusOK, revisionResponse{revision}
	}
	if current := s.cells[name].Revision; request.ExpectedRevision != nil && *request.ExpectedRevision != current {
		return http.StatusPreconditionFailed, revisionResponse{current}
	}
	groupName := group(name)
	revision := uint64(len(s.groups[groupName]) + 1)
	s.puts[put] = revision
	s.cells[name] = entryResponse{request.Value, revision}
	s.groups[groupName] = append(s.groups[groupName], Event{name, request.Value, revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, revisionResponse{revision}
}

func (s *fakeServer) watch(r *http.Request, name string) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events, changed, compactedUpTo := s.groups[strings.TrimSuffix(name, ".")], s.changed, s.compactedUpTo
		s.mu.Unlock()
		revision := uint64(len(events))
		switch {
		case !strings.HasSuffix(name, "."):
			return http.StatusBadRequest, nil
		case after == 0:
			return http.StatusOK, watchResponse{Revision: revision}
		case after < compactedUpTo:
			return http.StatusGone, nil
		case after < revision:
			return http.StatusOK, watchResponse{events[after:], revision}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, watchResponse{Revision: revision}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

// newTestClient returns a client of the fake server with three endpoints; n0 is tried first.
func newTestClient(t *testing.T, s *fakeServer) *Client {
	t.Helper()
	c, err := New([]string{"n0:1", "n1:1", "n2:1"}, Options{Name: "test", Transport: s})
	if err != nil {
		t.Fatal(err)
	}
	c.preferred.Store(0)
	return c
}

// hosts returns the hosts of all attempts, in order.
func (s *fakeServer) hosts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for _, a := range s.attempts {
		hosts = append(hosts, strings.TrimSuffix(a.host, ":1"))
	}
	return strings.Join(hosts, " ")
}

func withTimeout(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// roughly reports whether two times are equal apart from jitter.
func roughly(got, want time.Duration) bool {
	return got > want-300*time.Millisecond && got < want+300*time.Millisecond
}

func errorKind(err error) string {
	for name, target := range map[string]error{"unclear": ErrUnclear, "unavailable": ErrUnavailable, "held": ErrHeld,
		"lost": ErrLeaseLost, "expired": ErrLeaseExpired, "conflict": ErrConflict, "not found": ErrNotFound, "compacted": ErrCompacted} {
		if errors.Is(err, target) {
			return name
		}
	}
	var refused *StatusError
	if errors.As(err, &refused) {
		return fmt.Sprint(refused.Status)
	}
	return fmt.Sprint(err)
}

// runSimulated runs a test with synctest's fake clock. After the test every request gets a 409,
// so that leases are lost, and two hours pass, so that delayed responses arrive.
func runSimulated(t *testing.T, test func(t *testing.T, s *fakeServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newFakeServer()
		defer time.Sleep(2 * time.Hour)
		defer s.setFault(func(int, *http.Request) fault { return fault{status: http.StatusConflict} })
		test(t, s)
	})
}
