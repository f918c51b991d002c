package proxy

// This file provides the test harness: a gateway between a client and fake upstreams, over TCP.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// fakeUpstream records the requests that it receives and responds by its respondFunc.
type fakeUpstream struct {
	listener net.Listener
	id       string
	mu       sync.Mutex
	received []string // raw requests, with heads and bodies
}

// respondFunc writes the response to the n-th request that its upstream has received, counted from 1,
// and reports whether the connection is kept.
type respondFunc func(c net.Conn, r *http.Request, n int) bool

func okResponse(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(headerAttemptID), len(body), body)
}

func newFakeUpstream(t *testing.T, id string, respond respondFunc) *fakeUpstream {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeUpstream{listener: listener, id: id}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go fake.serve(c, respond)
		}
	}()
	return fake
}

func (u *fakeUpstream) serve(c net.Conn, respond respondFunc) {
	defer c.Close()
	var raw bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(c, &raw))
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.received = append(u.received, "")
		n := len(u.received)
		u.mu.Unlock()
		if r.Header.Get("X-Early") == "" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		u.mu.Lock()
		u.received[n-1] = raw.String()
		u.mu.Unlock()
		raw.Reset()
		if !respond(c, r, n) {
			return
		}
	}
}

func (u *fakeUpstream) requests() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.received...)
}

// harnessMaxConns is the limit on concurrent client connections.
const harnessMaxConns = 4000

// harness is a gateway whose upstreams are set by the test.
type harness struct {
	handler    *Handler
	dispatcher *Dispatcher
	listener   *Listener
}

// buildTable builds the configuration table from the body of one upsert call.
func buildTable(t *testing.T, body string) *config.Table {
	t.Helper()
	c, err := config.ParseRequest([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	changes, err := c.Apply(nil, &config.Decoder{})
	if err != nil {
		t.Fatal(err)
	}
	records := map[string]config.Record{}
	for _, r := range changes {
		records[r.Name] = r
	}
	return (&config.Builder{}).Build(records)
}

// newHarness starts a gateway with the given upstreams of one service and the routes /get/ (idempotent),
// /down/ (download), /put/ (mutating) and /short/ (mutating, with a deadline of 50 ms).
func newHarness(t *testing.T, upstreams ...*fakeUpstream) *harness {
	t.Helper()
	return newHarnessWith(t, upstream.Config{Self: "d", Zone: "z", RetryRatio: 1, RetrySlack: 60, RetryWindow: 10 * time.Second,
		EjectTime: 50 * time.Millisecond, MaxEjectTime: time.Second}, 50*time.Millisecond, upstreams...)
}

func newHarnessWith(t *testing.T, balancerConfig upstream.Config, tickInterval time.Duration, upstreams ...*fakeUpstream) *harness {
	t.Helper()
	balancer := upstream.NewBalancer(balancerConfig)
	dispatcher := NewDispatcher(balancer, 5*time.Second, tickInterval)
	handler := NewHandler(dispatcher, rollout.NewSplitter("n", time.Hour, func() time.Duration { return 0 }))
	body := `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}],
	 "limits":{"generation":1,"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutS":0.2,"idleTimeoutS":15},
	 "domains":[{"authority":"h.example","hostRoutes":[
	 {"name":"g","pathPrefix":"/get/","routeKind":"idempotent","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"d","pathPrefix":"/down/","routeKind":"download","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"p","pathPrefix":"/put/","routeKind":"mutating","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"s","pathPrefix":"/short/","routeKind":"mutating","deadlineS":0.05,"targetLatencyS":0.05,"target":"a","maxTries":2,"generation":1}]}]}}`
	handler.SetTable(buildTable(t, body))
	handler.SetTableComplete()
	go dispatcher.Run()
	dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) {
		balancer.SetServices(now, map[string]upstream.ServiceInfo{"a": {MaxConns: 50}}, nil)
	})
	h := &harness{handler: handler, dispatcher: dispatcher}
	h.setUpstreams(upstreams...)
	listener, err := NewListener("127.0.0.1:0", harnessMaxConns, handler, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = listener.Serve() }()
	t.Cleanup(func() { listener.listener.Close() })
	h.listener = listener
	return h
}

// setUpstreams replaces the balancer's list of upstreams; all of them are in the gateway's zone.
func (h *harness) setUpstreams(upstreams ...*fakeUpstream) {
	var instances []upstream.Instance
	for _, u := range upstreams {
		instances = append(instances, upstream.Instance{ID: u.id, Service: "a", Address: u.listener.Addr().String(), Zone: "z", Capacity: 4})
	}
	h.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) { balancer.SetList(now, instances) })
}

// roundTrip sends a raw request of the given method on a new connection and reads the response.
func (h *harness) roundTrip(t *testing.T, method, raw string) (*http.Response, string, error) {
	t.Helper()
	c, err := net.Dial("tcp4", h.listener.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second)) // far beyond the deadline of any request that is sent this way
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(res.Body)
	return res, string(b), err
}

func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nDeadline-Left: 4000\r\n\r\n"
}

func postRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nDeadline-Left: 4000\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func respondOK(c net.Conn, r *http.Request, _ int) bool {
	_, _ = io.WriteString(c, okResponse(r, "fine"))
	return true
}
