package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// eventTimeout is longer than any expected wait in these tests and shorter than the deadline of their
// requests: what ends within it has not ended because of the deadline.
const eventTimeout = 15 * time.Second

// longDeadlineTable has a route of each kind, with deadlines of minutes.
const longDeadlineTable = `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}],
	 "limits":{"generation":1,"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutS":5,"idleTimeoutS":60},
	 "domains":[{"authority":"h.example","hostRoutes":[
	 {"name":"g","pathPrefix":"/get/","routeKind":"idempotent","deadlineS":300,"targetLatencyS":200,"target":"a","maxTries":2,"generation":1},
	 {"name":"d","pathPrefix":"/down/","routeKind":"download","deadlineS":300,"targetLatencyS":200,"target":"a","maxTries":2,"generation":1},
	 {"name":"p","pathPrefix":"/put/","routeKind":"mutating","deadlineS":300,"targetLatencyS":200,"target":"a","maxTries":2,"generation":1}]}]}}`

// disconnectHarness is a harness with the routes of longDeadlineTable that gives access to the latest
// request.
type disconnectHarness struct {
	*harness
	lastExchange atomic.Pointer[Exchange]
}

func newDisconnectHarness(t *testing.T, upstreams ...*fakeUpstream) *disconnectHarness {
	t.Helper()
	h := &disconnectHarness{harness: newHarness(t, upstreams...)}
	table := buildTable(t, longDeadlineTable)
	h.handler.SetTable(table)
	h.listener.SetLimits(table.Limits)
	chain := h.handler.chain
	h.handler.chain = func(x *Exchange) error {
		h.lastExchange.Store(x)
		return chain(x)
	}
	return h
}

// sawDisconnect reports whether the handler has noticed that the client of the latest request has
// disconnected.
func (h *disconnectHarness) sawDisconnect() bool {
	x := h.lastExchange.Load()
	return x != nil && x.clientDisconnected()
}

// longRequest returns the text of a request with a deadline of minutes.
func longRequest(method, path, id, body string) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Left: 300000\r\n%s\r\n%s", method, path, id, length, body)
}

// blockingUpstream is a fake upstream that keeps each request in flight until its connection is closed
// or until respond is closed.
type blockingUpstream struct {
	*fakeUpstream
	preamble string        // sent as soon as a request has arrived
	respond  chan struct{} // closed when it is to respond
	started  atomic.Int64
	aborted  atomic.Int64 // requests whose connection was closed while they were in flight
}

func newBlockingUpstream(t *testing.T, id, preamble string) *blockingUpstream {
	u := &blockingUpstream{preamble: preamble, respond: make(chan struct{})}
	u.fakeUpstream = newFakeUpstream(t, id, u.serveRequest)
	return u
}

func (u *blockingUpstream) serveRequest(c net.Conn, r *http.Request, _ int) bool {
	_, _ = io.WriteString(c, u.preamble)
	u.started.Add(1)
	closed := make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}()
	select {
	case <-closed:
		u.aborted.Add(1)
		return false
	case <-u.respond:
	}
	_, _ = io.WriteString(c, okResponse(r, "done"))
	return false
}

// dialGateway connects to the gateway of a harness.
func dialGateway(t *testing.T, h *harness) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp4", h.listener.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

func writeText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// waitFor waits until a condition holds and fails the test after eventTimeout.
func waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen: %s", event)
		}
	}
}

func closeWithReset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// busySlots returns how many slots at the upstreams are taken, according to the balancer.
func (h *harness) busySlots() int {
	got := make(chan int)
	h.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) {
		busy := 0
		for _, u := range balancer.Statuses(now) {
			busy += u.Busy
		}
		got <- busy
	})
	return <-got
}

func TestActionOnDisconnect(t *testing.T) {
	kinds := map[string][stageCount]disconnectAction{
		"idempotent": {dropUnsent, dropUnsent, dropUnsent, dropUnsent, abortSent, abortSent},
		"download":   {dropUnsent, dropUnsent, dropUnsent, dropUnsent, abortSent, abortSent},
		"mutating":   {dropUnsent, dropUnsent, dropUnsent, dropUnsent, runToCompletion, runToCompletion},
	}
	for kind, want := range kinds {
		for reached := range stageCount {
			if got := actionOnDisconnect(&config.Route{RouteKind: kind}, reached); got != want[reached] {
				t.Errorf("%s, stage %s: action %v, want %v", kind, stageNames[reached], got, want[reached])
			}
		}
	}
}

// A repeatable request that was sent is aborted at its upstream when the client disconnects, however the
// connection ends, whatever the request looks like and however far its response has come.
func TestDisconnectAbortsRepeatableRequest(t *testing.T) {
	responseStart := "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n"
	for _, c := range []struct {
		name, request    string
		preamble         string // what the upstream sends as soon as the request has arrived
		pipelined        string // what the client sends once the request is in flight
		disconnect       func(*net.TCPConn)
		beforeDisconnect func(*disconnectHarness) // called once the request is in flight
		incomplete       bool                     // the upstream never receives the whole request
		stage            stage
	}{
		{name: "connection closed", request: longRequest("GET", "/get/x", "one", ""), stage: stageSent},
		{name: "reset", request: longRequest("GET", "/get/x", "one", ""), disconnect: closeWithReset, stage: stageSent},
		{name: "download", request: longRequest("GET", "/down/x", "one", ""), stage: stageSent},
		{name: "small body", request: longRequest("POST", "/get/x", "one", "small"), stage: stageSent},
		{name: "large body", request: longRequest("POST", "/get/x", "one", strings.Repeat("y", 400<<10)), stage: stageSent},
		{name: "pipelined request", request: longRequest("GET", "/get/x", "one", ""), pipelined: longRequest("GET", "/get/y", "two", ""), stage: stageSent},
		{name: "pipelined request, reset", request: longRequest("GET", "/get/x", "one", ""), pipelined: longRequest("GET", "/get/y", "two", ""), disconnect: closeWithReset, stage: stageSent},
		{name: "pipelined request, body", request: longRequest("POST", "/get/x", "one", strings.Repeat("y", 400<<10)), pipelined: longRequest("GET", "/get/y", "two", ""), stage: stageSent},
		{name: "response with a length has started", request: longRequest("GET", "/get/x", "one", ""),
			preamble: responseStart + "Content-Length: 100000\r\n\r\n" + strings.Repeat("z", 80<<10), stage: stageResponse},
		{name: "chunked response has started", request: longRequest("GET", "/get/x", "one", ""),
			preamble: responseStart + "Transfer-Encoding: chunked\r\n\r\n14000\r\n" + strings.Repeat("z", 80<<10) + "\r\n", stage: stageResponse},
		{name: "response has started, but is held back", request: longRequest("GET", "/get/x", "one", ""),
			preamble: responseStart + "Content-Length: 100000\r\n\r\nz", stage: stageSent},
		{name: "gateway is draining", request: longRequest("GET", "/get/x", "one", ""), beforeDisconnect: func(r *disconnectHarness) { r.handler.Drain() }, stage: stageSent},
		{name: "incomplete request body", request: longRequest("POST", "/get/x", "one", strings.Repeat("y", 400<<10))[:300<<10], incomplete: true, stage: stageSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			blocking := newBlockingUpstream(t, "u", c.preamble)
			h := newDisconnectHarness(t, blocking.fakeUpstream)
			client := dialGateway(t, h.harness)
			writeText(t, client, c.request)
			if c.incomplete {
				waitFor(t, "the request has arrived", func() bool { return len(blocking.requests()) == 1 })
			} else {
				waitFor(t, "the request is in flight", func() bool { return blocking.started.Load() == 1 })
			}
			if c.stage == stageResponse {
				if _, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil {
					t.Fatal(err)
				}
			}
			if c.beforeDisconnect != nil {
				c.beforeDisconnect(h)
			}
			writeText(t, client, c.pipelined)
			if c.disconnect == nil {
				client.Close()
			} else {
				c.disconnect(client)
			}
			if !c.incomplete {
				waitFor(t, "the request is aborted", func() bool { return blocking.aborted.Load() == 1 })
			}
			waitFor(t, "its slot is free", func() bool { return h.busySlots() == 0 })
			waitFor(t, "the disconnect is counted", func() bool { return h.handler.Counters()["gone"+stageNames[c.stage]] == 1 })
			if n := h.handler.Stats.Retries.Load() + h.handler.Stats.BrokenResponses.Load(); n != 0 {
				t.Errorf("%d retries and upstream failures counted", n)
			}
			if n := len(blocking.requests()); n != 1 {
				t.Errorf("%d requests reached the upstream", n)
			}
		})
	}
}

// The second request of a connection is aborted like a first one when the client disconnects.
func TestDisconnectAbortsSecondRequestOnConnection(t *testing.T) {
	blocking := newBlockingUpstream(t, "u", "")
	first := newFakeUpstream(t, "first", respondOK)
	h := newDisconnectHarness(t, first)
	client := dialGateway(t, h.harness)
	reader := bufio.NewReader(client)
	writeText(t, client, longRequest("GET", "/get/x", "one", ""))
	res, err := http.ReadResponse(reader, nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(err, res)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	h.setUpstreams(blocking.fakeUpstream)
	writeText(t, client, longRequest("GET", "/get/x", "two", ""))
	waitFor(t, "the request is in flight", func() bool { return blocking.started.Load() == 1 })
	client.Close()
	waitFor(t, "the request is aborted", func() bool { return blocking.aborted.Load() == 1 })
}

// A mutating request that was sent runs to completion after its client has disconnected: its response is
// read, and the connection to the upstream serves the next request.
func TestMutatingRequestCompletesAfterDisconnect(t *testing.T) {
	large := strings.Repeat("z", 300<<10)
	for _, c := range []struct{ name, body, responseBody string }{
		{"small response", "", "fine"}, {"small body", "b", "fine"}, {"large body", strings.Repeat("y", 400<<10), "fine"}, {"large response", "b", large},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			u := newFakeUpstream(t, "u", func(conn net.Conn, r *http.Request, _ int) bool {
				<-release
				_, _ = io.WriteString(conn, okResponse(r, c.responseBody))
				return true
			})
			h := newDisconnectHarness(t, u)
			client := dialGateway(t, h.harness)
			writeText(t, client, longRequest("POST", "/put/x", "one", c.body))
			waitFor(t, "the request is in flight", func() bool { return len(u.requests()) == 1 })
			client.Close()
			waitFor(t, "the disconnect is seen", h.sawDisconnect)
			close(release)
			waitFor(t, "its completion is counted", func() bool { return h.handler.Counters()["goneRanOn"] == 1 })
			waitFor(t, "its slot is free", func() bool { return h.busySlots() == 0 })
			if n := h.handler.Stats.BrokenResponses.Load(); n != 0 {
				t.Errorf("%d upstream failures counted", n)
			}
			res, _, err := h.roundTrip(t, "POST", longRequest("POST", "/put/x", "two", "b"))
			if err != nil || res.StatusCode != http.StatusOK || h.handler.Stats.Dials.Load() != 1 {
				t.Errorf("%v %v, %d dials", err, res, h.handler.Stats.Dials.Load())
			}
		})
	}
}

// A client that has closed only its sending direction cannot be told from one that has disconnected. Its
// repeatable request is aborted and it gets an error at once; a mutating one runs to completion and
// the client gets the response.
func TestHalfClosedClient(t *testing.T) {
	for path, want := range map[string]int{"/get/x": http.StatusBadGateway, "/put/x": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			blocking := newBlockingUpstream(t, "u", "")
			h := newDisconnectHarness(t, blocking.fakeUpstream)
			client := dialGateway(t, h.harness)
			defer client.Close()
			writeText(t, client, longRequest("GET", path, "one", ""))
			waitFor(t, "the request is in flight", func() bool { return blocking.started.Load() == 1 })
			_ = client.CloseWrite()
			if want == http.StatusOK {
				waitFor(t, "the disconnect is seen", h.sawDisconnect)
				close(blocking.respond)
			}
			_ = client.SetReadDeadline(time.Now().Add(eventTimeout))
			res, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil || res.StatusCode != want {
				t.Errorf("%v %v", err, res)
			}
		})
	}
}

// A client that has pipelined a second request and stays connected gets both responses. If it has
// disconnected, its second request is not sent to an upstream.
func TestPipelinedRequests(t *testing.T) {
	for _, disconnects := range []bool{false, true} {
		t.Run(fmt.Sprint(disconnects), func(t *testing.T) {
			release := make(chan struct{})
			u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
				if n == 1 {
					<-release
				}
				return respondOK(c, r, n)
			})
			h := newDisconnectHarness(t, u)
			client := dialGateway(t, h.harness)
			defer client.Close()
			writeText(t, client, longRequest("GET", "/put/x", "one", ""))
			waitFor(t, "the request is in flight", func() bool { return len(u.requests()) == 1 })
			writeText(t, client, longRequest("GET", "/put/x", "two", ""))
			if disconnects {
				client.Close()
				waitFor(t, "the disconnect is seen", h.sawDisconnect)
			}
			close(release)
			if disconnects {
				waitFor(t, "the connection is closed", func() bool { return h.listener.OpenConnections() == 0 })
				if n := len(u.requests()); n != 1 {
					t.Errorf("%d requests reached the upstream", n)
				}
				return
			}
			reader := bufio.NewReader(client)
			for range 2 {
				res, err := http.ReadResponse(reader, nil)
				if err != nil || res.StatusCode != http.StatusOK {
					t.Fatal(err, res)
				}
				_, _ = io.Copy(io.Discard, res.Body)
			}
		})
	}
}

// Disconnects of clients do not count against an upstream: it is not ejected, no failure is recorded,
// and a rollout does not score the request.
func TestDisconnectDoesNotCountAgainstUpstream(t *testing.T) {
	if got := rolloutOutcome(result{err: net.ErrClosed, disconnected: true}); got != rollout.Unscored {
		t.Errorf("rollout outcome %v, want Unscored", got)
	}
	blocking := newBlockingUpstream(t, "u", "")
	h := newDisconnectHarness(t, blocking.fakeUpstream)
	for n := range 8 {
		client := dialGateway(t, h.harness)
		writeText(t, client, longRequest("GET", "/get/x", fmt.Sprint(n), ""))
		waitFor(t, "the request is in flight", func() bool { return blocking.started.Load() == int64(n+1) })
		client.Close()
		waitFor(t, "its slot is free", func() bool { return blocking.aborted.Load() == int64(n+1) && h.busySlots() == 0 })
	}
	states := make(chan []upstream.Status, 1)
	h.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) { states <- balancer.Statuses(now) })
	for _, s := range <-states {
		if s.Failed != 0 || s.Ejected {
			t.Errorf("%+v", s)
		}
	}
}

// When many clients disconnect at once, with requests queued and in flight, no slot stays taken and no
// goroutine or connection leaks.
func TestManyDisconnectsAtOnce(t *testing.T) {
	const clients = 2000
	blocking := newBlockingUpstream(t, "u", "")
	h := newDisconnectHarness(t, blocking.fakeUpstream)
	before := runtime.NumGoroutine()
	conns := make([]*net.TCPConn, clients)
	var dials sync.WaitGroup
	for i := range conns {
		dials.Go(func() {
			conns[i] = dialGateway(t, h.harness)
			path := []string{"/get/x", "/put/x"}[i%2]
			writeText(t, conns[i], longRequest("GET", path, fmt.Sprint(i), ""))
		})
	}
	dials.Wait()
	waitFor(t, "all requests have arrived", func() bool { return h.handler.Stats.Requests.Load() == clients })
	waitFor(t, "all slots are taken", func() bool { return blocking.started.Load() >= 4 })
	for _, c := range conns {
		c.Close()
	}
	close(blocking.respond) // for the mutating ones, which run to completion
	waitFor(t, "all slots are free", func() bool { return h.busySlots() == 0 })
	waitFor(t, "all connections are closed", func() bool { return h.listener.OpenConnections() == 0 })
	waitFor(t, "the goroutines have ended", func() bool { return runtime.NumGoroutine() <= before+20 })
}

// The upstream responds or resets the connection at the same moment as the client disconnects: whichever
// comes first, each request ends and no slot stays taken.
func TestUpstreamAndClientCloseTogether(t *testing.T) {
	var client atomic.Pointer[net.TCPConn]
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		var closes sync.WaitGroup
		closes.Go(func() { client.Load().Close() })
		closes.Go(func() {
			if n%2 == 0 {
				_, _ = io.WriteString(c, okResponse(r, "fine"))
			} else {
				closeWithReset(c.(*net.TCPConn))
			}
		})
		closes.Wait()
		return n%2 == 0
	})
	h := newDisconnectHarness(t, u)
	for n := range 200 {
		c := dialGateway(t, h.harness)
		client.Store(c)
		path := []string{"/get/x", "/put/x"}[n/2%2]
		writeText(t, c, longRequest("GET", path, fmt.Sprint(n), ""))
		waitFor(t, "the connection is closed", func() bool {
			return h.handler.Stats.Requests.Load() == uint64(n+1) && h.listener.OpenConnections() == 0
		})
	}
	waitFor(t, "all slots are free", func() bool { return h.busySlots() == 0 })
}
