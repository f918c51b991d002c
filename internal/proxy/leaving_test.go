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

// farAway is beyond what any wait in these tests takes, and below the deadline of their requests:
// what ends by then has not ended for its deadline.
const farAway = 15 * time.Second

// leaveTable has routes of each kind whose requests may take minutes.
const leaveTable = `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}],
	 "limits":{"generation":1,"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutS":5,"idleTimeoutS":60},
	 "domains":[{"authority":"h.example","hostRoutes":[
	 {"name":"g","pathPrefix":"/get/","routeKind":"idempotent","deadlineS":300,"targetLatencyS":200,"target":"a","maxTries":2,"generation":1},
	 {"name":"d","pathPrefix":"/down/","routeKind":"download","deadlineS":300,"targetLatencyS":200,"target":"a","maxTries":2,"generation":1},
	 {"name":"p","pathPrefix":"/put/","routeKind":"mutating","deadlineS":300,"targetLatencyS":200,"target":"a","maxTries":2,"generation":1}]}]}}`

// leaveRig is a rig with the routes of leaveTable, which shows the newest request on its way.
type leaveRig struct {
	*rig
	newest atomic.Pointer[Exchange]
}

func newLeaveRig(t *testing.T, ups ...*server) *leaveRig {
	t.Helper()
	r := &leaveRig{rig: newRig(t, ups...)}
	table := tableOf(t, leaveTable)
	r.handler.SetTable(table)
	r.listener.SetLimits(table.Limits)
	chain := r.handler.chain
	r.handler.chain = func(x *Exchange) error {
		r.newest.Store(x)
		return chain(x)
	}
	return r
}

// sawClientLeave says whether the handler knows that the newest request's client has left.
func (r *leaveRig) sawClientLeave() bool {
	x := r.newest.Load()
	return x != nil && x.clientDisconnected()
}

// request is the text of a request that may take minutes.
func request(method, path, id, body string) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Left: 300000\r\n%s\r\n%s", method, path, id, length, body)
}

// worker is an upstream that works on each request until its connection is closed, or until it
// is told to answer.
type worker struct {
	*server
	prelude string        // sent as soon as a request has come
	finish  chan struct{} // closed: it answers
	began   atomic.Int64
	ended   atomic.Int64 // requests whose connection was closed while it worked on them
}

func newWorker(t *testing.T, id, prelude string) *worker {
	w := &worker{prelude: prelude, finish: make(chan struct{})}
	w.server = newUpstream(t, id, w.work)
	return w
}

func (w *worker) work(c net.Conn, r *http.Request, _ int) bool {
	_, _ = io.WriteString(c, w.prelude)
	w.began.Add(1)
	closed := make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}()
	select {
	case <-closed:
		w.ended.Add(1)
		return false
	case <-w.finish:
	}
	_, _ = io.WriteString(c, ok(r, "done"))
	return false
}

// dialRig connects to a rig's listener.
func dialRig(t *testing.T, r *rig) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp4", r.listener.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// until waits for a condition.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(farAway); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen: %s", what)
		}
	}
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// busySlots is how many requests a rig's upstreams have, as its balancer counts them.
func (r *rig) busySlots() int {
	got := make(chan int)
	r.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) {
		busy := 0
		for _, u := range s.States(now) {
			busy += u.Busy
		}
		got <- busy
	})
	return <-got
}

func TestWhatBecomesOfARequestWhoseClientLeaves(t *testing.T) {
	kinds := map[string][stageCount]disconnectAction{
		"idempotent": {dropUnsent, dropUnsent, dropUnsent, dropUnsent, abortSent, abortSent},
		"download":   {dropUnsent, dropUnsent, dropUnsent, dropUnsent, abortSent, abortSent},
		"mutating":   {dropUnsent, dropUnsent, dropUnsent, dropUnsent, runToCompletion, runToCompletion},
	}
	for kind, want := range kinds {
		for at := range stageCount {
			if got := actionOnDisconnect(&config.Route{RouteKind: kind}, at); got != want[at] {
				t.Errorf("%s, stage %s: %v, not %v", kind, stageNames[at], got, want[at])
			}
		}
	}
}

// The work on a request that may be repeated ends when its client leaves, in whichever way it does,
// whatever the request is like and however far it has come.
func TestWorkEndsWithItsClient(t *testing.T) {
	begun := "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n"
	for _, c := range []struct {
		name, request string
		prelude       string // what the upstream sends at once
		more          string // what the client sends when the work has begun
		leave         func(*net.TCPConn)
		before        func(*leaveRig) // done when the work has begun
		part          bool            // the upstream never gets all of the request
		stage         stage
	}{
		{name: "end of connection", request: request("GET", "/get/x", "one", ""), stage: stageSent},
		{name: "reset", request: request("GET", "/get/x", "one", ""), leave: reset, stage: stageSent},
		{name: "download", request: request("GET", "/down/x", "one", ""), stage: stageSent},
		{name: "small body", request: request("POST", "/get/x", "one", "small"), stage: stageSent},
		{name: "large body", request: request("POST", "/get/x", "one", strings.Repeat("y", 400<<10)), stage: stageSent},
		{name: "further request", request: request("GET", "/get/x", "one", ""), more: request("GET", "/get/y", "two", ""), stage: stageSent},
		{name: "further request, reset", request: request("GET", "/get/x", "one", ""), more: request("GET", "/get/y", "two", ""), leave: reset, stage: stageSent},
		{name: "further request, body", request: request("POST", "/get/x", "one", strings.Repeat("y", 400<<10)), more: request("GET", "/get/y", "two", ""), stage: stageSent},
		{name: "answer with a length has begun", request: request("GET", "/get/x", "one", ""),
			prelude: begun + "Content-Length: 100000\r\n\r\n" + strings.Repeat("z", 80<<10), stage: stageResponse},
		{name: "chunked answer has begun", request: request("GET", "/get/x", "one", ""),
			prelude: begun + "Transfer-Encoding: chunked\r\n\r\n14000\r\n" + strings.Repeat("z", 80<<10) + "\r\n", stage: stageResponse},
		{name: "small beginning of an answer", request: request("GET", "/get/x", "one", ""),
			prelude: begun + "Content-Length: 100000\r\n\r\nz", stage: stageSent},
		{name: "gateway that leaves", request: request("GET", "/get/x", "one", ""), before: func(r *leaveRig) { r.handler.Drain() }, stage: stageSent},
		{name: "half a body", request: request("POST", "/get/x", "one", strings.Repeat("y", 400<<10))[:300<<10], part: true, stage: stageSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorker(t, "u", c.prelude)
			r := newLeaveRig(t, w.server)
			client := dialRig(t, r.rig)
			send(t, client, c.request)
			if c.part {
				until(t, "arrival", func() bool { return len(w.requests()) == 1 })
			} else {
				until(t, "work", func() bool { return w.began.Load() == 1 })
			}
			if c.stage == stageResponse {
				if _, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil {
					t.Fatal(err)
				}
			}
			if c.before != nil {
				c.before(r)
			}
			send(t, client, c.more)
			if c.leave == nil {
				client.Close()
			} else {
				c.leave(client)
			}
			if !c.part {
				until(t, "end of the work", func() bool { return w.ended.Load() == 1 })
			}
			until(t, "its slot free", func() bool { return r.busySlots() == 0 })
			until(t, "it counted", func() bool { return r.handler.Counters()["gone"+stageNames[c.stage]] == 1 })
			if n := r.handler.Stats.Repeats.Load() + r.handler.Stats.Broken.Load(); n != 0 {
				t.Errorf("%d repeats and failures of upstreams noted", n)
			}
			if n := len(w.requests()); n != 1 {
				t.Errorf("%d requests arrived", n)
			}
		})
	}
}

// A connection that has had an answer is watched like a new one.
func TestWorkOnASecondRequestEndsWithItsClient(t *testing.T) {
	w := newWorker(t, "u", "")
	first := newUpstream(t, "first", steady)
	r := newLeaveRig(t, first)
	client := dialRig(t, r.rig)
	br := bufio.NewReader(client)
	send(t, client, request("GET", "/get/x", "one", ""))
	res, err := http.ReadResponse(br, nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(err, res)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	r.list(w.server)
	send(t, client, request("GET", "/get/x", "two", ""))
	until(t, "work", func() bool { return w.began.Load() == 1 })
	client.Close()
	until(t, "end of the work", func() bool { return w.ended.Load() == 1 })
}

// What may run once and has been sent on runs to its end without its client; its answer is read,
// and its connection serves the next request.
func TestWhatMayRunOnceRunsOnWithoutItsClient(t *testing.T) {
	large := strings.Repeat("z", 300<<10)
	for _, c := range []struct{ name, body, answer string }{
		{"small answer", "", "fine"}, {"small body", "b", "fine"}, {"large body", strings.Repeat("y", 400<<10), "fine"}, {"large answer", "b", large},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			u := newUpstream(t, "u", func(conn net.Conn, r *http.Request, _ int) bool {
				<-release
				_, _ = io.WriteString(conn, ok(r, c.answer))
				return true
			})
			r := newLeaveRig(t, u)
			client := dialRig(t, r.rig)
			send(t, client, request("POST", "/put/x", "one", c.body))
			until(t, "work", func() bool { return len(u.requests()) == 1 })
			client.Close()
			until(t, "the client's leaving seen", r.sawClientLeave)
			close(release)
			until(t, "it run on", func() bool { return r.handler.Counters()["goneRanOn"] == 1 })
			until(t, "its slot free", func() bool { return r.busySlots() == 0 })
			if n := r.handler.Stats.Broken.Load(); n != 0 {
				t.Errorf("%d failures of upstreams noted", n)
			}
			res, _, err := r.say(t, "POST", request("POST", "/put/x", "two", "b"))
			if err != nil || res.StatusCode != http.StatusOK || r.handler.Stats.Dials.Load() != 1 {
				t.Errorf("%v %v, %d connections", err, res, r.handler.Stats.Dials.Load())
			}
		})
	}
}

// A client that has closed one direction cannot be told from one that has left. What may be
// repeated ends, and the client is told so at once; what may run once brings it its answer.
func TestAHalfClosedClient(t *testing.T) {
	for path, want := range map[string]int{"/get/x": http.StatusBadGateway, "/put/x": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			w := newWorker(t, "u", "")
			r := newLeaveRig(t, w.server)
			client := dialRig(t, r.rig)
			defer client.Close()
			send(t, client, request("GET", path, "one", ""))
			until(t, "work", func() bool { return w.began.Load() == 1 })
			_ = client.CloseWrite()
			if want == http.StatusOK {
				until(t, "the end seen", r.sawClientLeave)
				close(w.finish)
			}
			_ = client.SetReadDeadline(time.Now().Add(farAway))
			res, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil || res.StatusCode != want {
				t.Errorf("%v %v", err, res)
			}
		})
	}
}

// A client that has sent a further request and is still there gets both answers; one that has left
// has its further request not sent on, of whichever kind it is.
func TestAPipelinedClient(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint(leaves), func(t *testing.T) {
			release := make(chan struct{})
			u := newUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
				if n == 1 {
					<-release
				}
				return steady(c, r, n)
			})
			r := newLeaveRig(t, u)
			client := dialRig(t, r.rig)
			defer client.Close()
			send(t, client, request("GET", "/put/x", "one", ""))
			until(t, "work", func() bool { return len(u.requests()) == 1 })
			send(t, client, request("GET", "/put/x", "two", ""))
			if leaves {
				client.Close()
				until(t, "the end seen", r.sawClientLeave)
			}
			close(release)
			if leaves {
				until(t, "the connection's end", func() bool { return r.listener.Open() == 0 })
				if n := len(u.requests()); n != 1 {
					t.Errorf("%d requests sent on", n)
				}
				return
			}
			br := bufio.NewReader(client)
			for range 2 {
				res, err := http.ReadResponse(br, nil)
				if err != nil || res.StatusCode != http.StatusOK {
					t.Fatal(err, res)
				}
				_, _ = io.Copy(io.Discard, res.Body)
			}
		})
	}
}

// No upstream is judged by what clients do: none is left alone, no time is learnt and no rollout
// scored.
func TestLeavingTellsNothingOfAnUpstream(t *testing.T) {
	if got := rolloutOutcome(result{err: net.ErrClosed, disconnected: true}); got != rollout.Unscored {
		t.Errorf("scored %v", got)
	}
	w := newWorker(t, "u", "")
	r := newLeaveRig(t, w.server)
	for n := range 8 {
		client := dialRig(t, r.rig)
		send(t, client, request("GET", "/get/x", fmt.Sprint(n), ""))
		until(t, "work", func() bool { return w.began.Load() == int64(n+1) })
		client.Close()
		until(t, "its slot free", func() bool { return w.ended.Load() == int64(n+1) && r.busySlots() == 0 })
	}
	states := make(chan []upstream.State, 1)
	r.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) { states <- s.States(now) })
	for _, s := range <-states {
		if s.Failed != 0 || s.Ejected {
			t.Errorf("%+v", s)
		}
	}
}

// Many clients that leave at once, from the queue and from upstreams, leave nothing behind: no slot
// taken, no goroutine and no connection.
func TestThousandsLeaveAtOnce(t *testing.T) {
	const clients = 2000
	w := newWorker(t, "u", "")
	r := newLeaveRig(t, w.server)
	before := runtime.NumGoroutine()
	conns := make([]*net.TCPConn, clients)
	var dials sync.WaitGroup
	for i := range conns {
		dials.Go(func() {
			conns[i] = dialRig(t, r.rig)
			path := []string{"/get/x", "/put/x"}[i%2]
			send(t, conns[i], request("GET", path, fmt.Sprint(i), ""))
		})
	}
	dials.Wait()
	until(t, "all requests", func() bool { return r.handler.Stats.Requests.Load() == clients })
	until(t, "work on as many as there are slots", func() bool { return w.began.Load() >= 4 })
	for _, c := range conns {
		c.Close()
	}
	close(w.finish) // for those that may run once
	until(t, "all slots free", func() bool { return r.busySlots() == 0 })
	until(t, "all connections gone", func() bool { return r.listener.Open() == 0 })
	until(t, "all goroutines gone", func() bool { return runtime.NumGoroutine() <= before+20 })
}

// An upstream that answers, or fails, at the very moment at which the client leaves: nothing is
// lost or counted twice, whichever comes first.
func TestUpstreamAndClientEndTogether(t *testing.T) {
	var client atomic.Pointer[net.TCPConn]
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		var both sync.WaitGroup
		both.Go(func() { client.Load().Close() })
		both.Go(func() {
			if n%2 == 0 {
				_, _ = io.WriteString(c, ok(r, "fine"))
			} else {
				reset(c.(*net.TCPConn))
			}
		})
		both.Wait()
		return n%2 == 0
	})
	r := newLeaveRig(t, u)
	for n := range 200 {
		c := dialRig(t, r.rig)
		client.Store(c)
		path := []string{"/get/x", "/put/x"}[n/2%2]
		send(t, c, request("GET", path, fmt.Sprint(n), ""))
		until(t, "the connection's end", func() bool { return r.handler.Stats.Requests.Load() == uint64(n+1) && r.listener.Open() == 0 })
	}
	until(t, "all slots free", func() bool { return r.busySlots() == 0 })
}
