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

// A request whose client disconnects during the dial is not sent, whatever the kind of its route. The
// dial is canceled and does not count as a failure of the upstream.
func TestDisconnectDuringDial(t *testing.T) {
	for _, path := range []string{"/get/x", "/put/x"} {
		for _, dialSucceeds := range []bool{false, true} {
			t.Run(fmt.Sprint(path, dialSucceeds), func(t *testing.T) {
				u := newFakeUpstream(t, "u", respondOK)
				h := newDisconnectHarness(t, u)
				dialing := make(chan struct{})
				h.dispatcher.connect = func(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
					close(dialing)
					<-ctx.Done()
					if dialSucceeds { // the dial succeeds just as the client disconnects
						return net.Dial("tcp4", address)
					}
					return nil, ctx.Err()
				}
				client := dialGateway(t, h.harness)
				writeText(t, client, longRequest("GET", path, "one", ""))
				<-dialing
				client.Close()
				waitFor(t, "the disconnect is counted", func() bool { return h.handler.Counters()["goneDial"] == 1 })
				waitFor(t, "its slot is free", func() bool { return h.busySlots() == 0 })
				if n := len(u.requests()); n != 0 {
					t.Errorf("%d requests reached the upstream", n)
				}
				h.dispatcher.connect = func(context.Context, string, time.Duration) (net.Conn, error) { return nil, io.EOF }
				if res, _, err := h.roundTrip(t, "GET", longRequest("GET", path, "two", "")); dialSucceeds && (err != nil || res.StatusCode != http.StatusOK) {
					t.Errorf("the opened connection was not kept: %v %v", err, res)
				}
			})
		}
	}
}

// A request that is queued for a slot leaves the queue as soon as its client disconnects.
func TestDisconnectInQueue(t *testing.T) {
	blocking := newBlockingUpstream(t, "u", "")
	h := newDisconnectHarness(t, blocking.fakeUpstream)
	for n := range 4 { // the capacity of the upstream
		c := dialGateway(t, h.harness)
		defer c.Close()
		writeText(t, c, longRequest("GET", "/put/x", fmt.Sprint(n), ""))
	}
	waitFor(t, "all slots are taken", func() bool { return blocking.started.Load() == 4 })
	for n, path := range []string{"/get/x", "/put/x"} {
		client := dialGateway(t, h.harness)
		writeText(t, client, longRequest("GET", path, "late", ""))
		waitFor(t, "the request has arrived", func() bool { return h.handler.Stats.Requests.Load() == uint64(5+n) })
		client.Close()
		waitFor(t, "the disconnect is counted", func() bool { return h.handler.Counters()["goneQueue"] == uint64(n+1) })
	}
	if n := blocking.started.Load(); n != 4 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

// A request whose client disconnects while the first attempt fails is not retried.
func TestDisconnectBetweenAttempts(t *testing.T) {
	var h *disconnectHarness
	var client *net.TCPConn
	var arrivals atomic.Int64
	disconnectAndFail := func(net.Conn, *http.Request, int) bool {
		arrivals.Add(1)
		client.Close()
		waitFor(t, "the disconnect is seen", h.sawDisconnect)
		return false
	}
	h = newDisconnectHarness(t, newFakeUpstream(t, "u", disconnectAndFail), newFakeUpstream(t, "v", disconnectAndFail))
	client = dialGateway(t, h.harness)
	writeText(t, client, longRequest("GET", "/get/x", "one", ""))
	waitFor(t, "the disconnect is counted", func() bool { return h.handler.Counters()["gone"] == 1 })
	if n := arrivals.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// The client disconnects during a paced response: its slot and its reservation in the link budget are freed
// at once.
func TestDisconnectDuringPacedResponse(t *testing.T) {
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		if strings.HasSuffix(r.URL.Path, "long") {
			_, _ = io.WriteString(c, okResponse(r, strings.Repeat("z", 900<<10)))
			return true
		}
		return respondOK(c, r, n)
	})
	h := newDisconnectHarness(t, u)
	h.handler.Pacer = NewPacer(1) // at 1 byte/s a chunk takes longer than any test
	h.handler.Link = NewLinkBudget(1<<30, time.Hour)
	client := dialGateway(t, h.harness)
	writeText(t, client, longRequest("GET", "/down/long", "one", ""))
	if _, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil {
		t.Fatal(err)
	}
	client.Close()
	waitFor(t, "the disconnect is counted", func() bool { return h.handler.Counters()["goneAnswer"] == 1 })
	waitFor(t, "its slot is free", func() bool { return h.busySlots() == 0 })
	h.handler.Link.mu.Lock()
	defer h.handler.Link.mu.Unlock()
	if reserved := h.handler.Link.started + h.handler.Link.expected; reserved != 0 {
		t.Errorf("%g bytes of the link budget are still reserved", reserved)
	}
}

// A client that stays connected but does not read occupies an upstream until its deadline at most.
func TestClientThatDoesNotRead(t *testing.T) {
	for _, path := range []string{"/down/x", "/put/x"} {
		u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n", 1<<40)
			for chunk := make([]byte, 64<<10); err == nil; _, err = c.Write(chunk) {
			}
			return false
		})
		h := newDisconnectHarness(t, u)
		client := dialGateway(t, h.harness)
		defer client.Close()
		writeText(t, client, strings.Replace(longRequest("GET", path, "one", ""), "300000", "300", 1))
		waitFor(t, "the request has arrived", func() bool { return len(u.requests()) == 1 })
		waitFor(t, "its slot is free", func() bool { return h.busySlots() == 0 })
		waitFor(t, "its connection is closed", func() bool { return h.listener.OpenConnections() == 0 })
	}
}

// A chunk that is not written because its client has disconnected does not count against the rate.
func TestPaceIsReturnedOnDisconnect(t *testing.T) {
	pacer := NewPacer(1 << 10)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		if err := pacer.acquire(ctx, 1<<10); err == nil {
			t.Fatal("acquire succeeded with a canceled context")
		}
	}
	pacer.mu.Lock()
	defer pacer.mu.Unlock()
	if ahead := time.Until(pacer.nextFree); ahead > 2*time.Second {
		t.Errorf("the rate is used up for the next %v", ahead)
	}
}
