package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A request whose client leaves during the dial is not sent on, also if it may run once; the
// dial is given up, and the upstream is not judged by it.
func TestLeavingDuringTheDial(t *testing.T) {
	for _, path := range []string{"/get/x", "/put/x"} {
		for _, opens := range []bool{false, true} {
			t.Run(fmt.Sprint(path, opens), func(t *testing.T) {
				u := newUpstream(t, "u", steady)
				r := newLeaveRig(t, u)
				dialling := make(chan struct{})
				r.dispatcher.connect = func(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
					close(dialling)
					<-ctx.Done()
					if opens { // at the moment at which the client leaves
						return net.Dial("tcp4", address)
					}
					return nil, ctx.Err()
				}
				client := dialRig(t, r.rig)
				send(t, client, request("GET", path, "one", ""))
				<-dialling
				client.Close()
				until(t, "it counted", func() bool { return r.handler.Counters()["goneDial"] == 1 })
				until(t, "its slot free", func() bool { return r.busySlots() == 0 })
				if n := len(u.requests()); n != 0 {
					t.Errorf("%d requests sent on", n)
				}
				r.dispatcher.connect = func(context.Context, string, time.Duration) (net.Conn, error) { return nil, io.EOF }
				if res, _, err := r.say(t, "GET", request("GET", path, "two", "")); opens && (err != nil || res.StatusCode != http.StatusOK) {
					t.Errorf("the connection was not kept: %v %v", err, res)
				}
			})
		}
	}
}

// A request that waits for an upstream gives its place up as soon as its client leaves.
func TestLeavingInTheQueue(t *testing.T) {
	w := newWorker(t, "u", "")
	r := newLeaveRig(t, w.server)
	for n := range 4 { // as many as the upstream works on at once
		c := dialRig(t, r.rig)
		defer c.Close()
		send(t, c, request("GET", "/put/x", fmt.Sprint(n), ""))
	}
	until(t, "work", func() bool { return w.began.Load() == 4 })
	for n, path := range []string{"/get/x", "/put/x"} {
		client := dialRig(t, r.rig)
		send(t, client, request("GET", path, "late", ""))
		until(t, "the request", func() bool { return r.handler.Stats.Requests.Load() == uint64(5+n) })
		client.Close()
		until(t, "it counted", func() bool { return r.handler.Counters()["goneQueue"] == uint64(n+1) })
	}
	if n := w.began.Load(); n != 4 {
		t.Errorf("%d requests sent on", n)
	}
}

// A client that leaves while its first upstream fails is not sent to a second one.
func TestLeavingBetweenTwoTries(t *testing.T) {
	var r *leaveRig
	var client *net.TCPConn
	var arrivals atomic.Int64
	fails := func(net.Conn, *http.Request, int) bool {
		arrivals.Add(1)
		client.Close()
		until(t, "the end seen", r.sawClientLeave)
		return false
	}
	r = newLeaveRig(t, newUpstream(t, "u", fails), newUpstream(t, "v", fails))
	client = dialRig(t, r.rig)
	send(t, client, request("GET", "/get/x", "one", ""))
	until(t, "it counted", func() bool { return r.handler.Counters()["gone"] == 1 })
	if n := arrivals.Load(); n != 1 {
		t.Errorf("sent on %d times", n)
	}
}

// The place of a long answer in the pace and on the link is free as soon as its client has left.
func TestLeavingDuringAPacedAnswer(t *testing.T) {
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		if strings.HasSuffix(r.URL.Path, "long") {
			_, _ = io.WriteString(c, ok(r, strings.Repeat("z", 900<<10)))
			return true
		}
		return steady(c, r, n)
	})
	r := newLeaveRig(t, u)
	r.handler.Pace = NewPace(1) // a part takes longer than any test
	r.handler.Link = NewLinkBudget(1<<30, time.Hour)
	client := dialRig(t, r.rig)
	send(t, client, request("GET", "/down/long", "one", ""))
	if _, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil {
		t.Fatal(err)
	}
	client.Close()
	until(t, "it counted", func() bool { return r.handler.Counters()["goneAnswer"] == 1 })
	until(t, "its slot free", func() bool { return r.busySlots() == 0 })
	r.handler.Link.mu.Lock()
	defer r.handler.Link.mu.Unlock()
	if held := r.handler.Link.started + r.handler.Link.expected; held != 0 {
		t.Errorf("%g bytes of the link are still held", held)
	}
}

// A client that stays and does not read holds an upstream no longer than its deadline lasts.
func TestAClientThatDoesNotRead(t *testing.T) {
	for _, path := range []string{"/down/x", "/put/x"} {
		u := newUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n", 1<<40)
			for part := make([]byte, 64<<10); err == nil; _, err = c.Write(part) {
			}
			return false
		})
		r := newLeaveRig(t, u)
		client := dialRig(t, r.rig)
		defer client.Close()
		send(t, client, strings.Replace(request("GET", path, "one", ""), "300000", "300", 1))
		until(t, "the request", func() bool { return len(u.requests()) == 1 })
		until(t, "its slot free", func() bool { return r.busySlots() == 0 })
		until(t, "its connection closed", func() bool { return r.listener.Open() == 0 })
	}
}

// A part that was not passed on takes none of the pace.
func TestThePaceOfThoseWhoLeaveIsGivenBack(t *testing.T) {
	p := NewPace(1 << 10)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		if err := p.acquire(ctx, 1<<10); err == nil {
			t.Fatal("a part was let go")
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ahead := time.Until(p.nextFree); ahead > 2*time.Second {
		t.Errorf("the pace is taken for %v", ahead)
	}
}
