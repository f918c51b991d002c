package proxy

// This file holds a gateway between a client and upstreams on real sockets, for the tests of this package.

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

// upstream is a stand-in that reads requests as they come off the wire and
// answers as a script says.
type server struct {
	l    net.Listener
	id   string
	mu   sync.Mutex
	seen []string // raw requests, heads and bodies
}

// answerFn gets the raw head and the n-th request's number; it writes to the
// connection and says whether the connection goes on.
type answerFn func(c net.Conn, r *http.Request, n int) bool

func ok(r *http.Request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get(headerAttemptID), len(body), body)
}

func newUpstream(t *testing.T, id string, answer answerFn) *server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &server{l: l, id: id}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, answer)
		}
	}()
	return u
}

func (u *server) serve(c net.Conn, answer answerFn) {
	defer c.Close()
	var raw bytes.Buffer
	br := bufio.NewReader(io.TeeReader(c, &raw))
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.seen = append(u.seen, "")
		n := len(u.seen)
		u.mu.Unlock()
		if r.Header.Get("X-Early") == "" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		u.mu.Lock()
		u.seen[n-1] = raw.String()
		u.mu.Unlock()
		raw.Reset()
		if !answer(c, r, n) {
			return
		}
	}
}

func (u *server) requests() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.seen...)
}

// rigConnections is how many connections a rig accepts at a time.
const rigConnections = 4000

type rig struct {
	handler    *Handler
	dispatcher *Dispatcher
	listener   *Listener
}

// tableOf builds the table of one call's items.
func tableOf(t *testing.T, body string) *config.Table {
	t.Helper()
	c, err := config.Read([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	changes, err := c.Apply(nil, &config.Reader{})
	if err != nil {
		t.Fatal(err)
	}
	have := map[string]config.Record{}
	for _, r := range changes {
		have[r.Name] = r
	}
	return (&config.Builder{}).Build(have)
}

// newRig makes a handler with routes /get/ (idempotent), /down/ (download), /put/ (mutating) and the
// given upstreams of one service.
func newRig(t *testing.T, ups ...*server) *rig {
	t.Helper()
	return newRigOf(t, upstream.Config{Self: "d", Zone: "z", RetryRatio: 1, RetrySlack: 60, Window: 10 * time.Second,
		Eject: 50 * time.Millisecond, EjectMax: time.Second}, 50*time.Millisecond, ups...)
}

func newRigOf(t *testing.T, cfg upstream.Config, tick time.Duration, ups ...*server) *rig {
	t.Helper()
	balancer := upstream.NewBalancer(cfg)
	dispatcher := NewDispatcher(balancer, 5*time.Second, tick)
	handler := NewHandler(dispatcher, rollout.NewArms("n", time.Hour, func() time.Duration { return 0 }))
	body := `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}],
	 "limits":{"generation":1,"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutS":0.2,"idleTimeoutS":15},
	 "domains":[{"authority":"h.example","hostRoutes":[
	 {"name":"g","pathPrefix":"/get/","routeKind":"idempotent","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"d","pathPrefix":"/down/","routeKind":"download","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"p","pathPrefix":"/put/","routeKind":"mutating","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"s","pathPrefix":"/short/","routeKind":"mutating","deadlineS":0.05,"targetLatencyS":0.05,"target":"a","maxTries":2,"generation":1}]}]}}`
	handler.SetTable(tableOf(t, body))
	handler.SetComplete()
	go dispatcher.Run()
	dispatcher.Do(func(now time.Duration, s *upstream.Balancer) {
		s.SetServices(now, map[string]upstream.ServiceInfo{"a": {MaxConns: 50}}, nil)
	})
	r := &rig{handler: handler, dispatcher: dispatcher}
	r.list(ups...)
	listener, err := NewListener("127.0.0.1:0", rigConnections, handler, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = listener.Serve() }()
	t.Cleanup(func() { listener.listener.Close() })
	r.listener = listener
	return r
}

// list puts a list of upstreams in force, all of the gateway's zone.
func (r *rig) list(ups ...*server) {
	var list []upstream.Instance
	for _, u := range ups {
		list = append(list, upstream.Instance{ID: u.id, Service: "a", Address: u.l.Addr().String(), Zone: "z", Capacity: 4})
	}
	r.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) { s.SetList(now, list) })
}

// say sends bytes on a new connection and reads the answer to a request of the
// given method.
func (r *rig) say(t *testing.T, method, raw string) (*http.Response, string, error) {
	t.Helper()
	c, err := net.Dial("tcp4", r.listener.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second)) // far beyond any deadline here
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

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nDeadline-Left: 4000\r\n\r\n"
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nDeadline-Left: 4000\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func steady(c net.Conn, r *http.Request, _ int) bool {
	_, _ = io.WriteString(c, ok(r, "fine"))
	return true
}
