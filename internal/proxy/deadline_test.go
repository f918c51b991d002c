package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// A request that has no complete response at its deadline ends at once, at any stage: the client gets
// an error, or its connection is closed if the response has already started.
func TestResponseAtDeadline(t *testing.T) {
	unresponsive := func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	respondWith := func(text string) respondFunc {
		return func(c net.Conn, r *http.Request, n int) bool {
			_, _ = io.WriteString(c, text)
			return unresponsive(c, r, n)
		}
	}
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n"
	withShortDeadline := func(text string) string { return strings.Replace(text, "300000", "400", 1) }
	longBody := strings.Repeat("y", 400<<10)
	for _, c := range []struct {
		name, request string
		respond       respondFunc
		pace          *Pacer
		noFreeSlot    bool // all slots of the upstream are taken
		noConnection  bool // the upstream does not accept connections
		status        int  // 0: the response is truncated
	}{
		{name: "unresponsive upstream", request: longRequest("GET", "/get/x", "one", ""), respond: unresponsive, status: 504},
		{name: "truncated response", request: longRequest("GET", "/get/x", "one", ""), respond: respondWith(head + "Content-Length: 9\r\n\r\nhalf"), status: 504},
		{name: "1xx responses only", request: longRequest("GET", "/put/x", "one", ""), respond: respondWith("HTTP/1.1 103 Early\r\n\r\n"), status: 504},
		{name: "queue", request: longRequest("GET", "/put/x", "one", ""), respond: unresponsive, noFreeSlot: true, status: 503},
		{name: "dial", request: longRequest("GET", "/put/x", "one", ""), respond: unresponsive, noConnection: true, status: 503},
		{name: "incomplete small request body", request: longRequest("POST", "/put/x", "one", "body")[:len(longRequest("POST", "/put/x", "one", "body"))-2], respond: unresponsive, status: 503},
		{name: "incomplete chunk of a request body", request: "POST /put/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nDeadline-Left: 300000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", respond: unresponsive, status: 503},
		{name: "incomplete large request body", request: longRequest("POST", "/put/x", "one", longBody)[:300<<10], respond: unresponsive, status: 504},
		{name: "large response that stops", request: longRequest("GET", "/get/x", "one", ""), respond: respondWith(head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("z", 80<<10))},
		{name: "no pace left", request: longRequest("GET", "/get/x", "one", ""), respond: respondWith(head + "Content-Length: 40000\r\n\r\n" + strings.Repeat("z", 40000)), pace: NewPacer(1)},
		{name: "no pace left, chunked", request: longRequest("GET", "/put/x", "one", ""), respond: respondWith(head + "Transfer-Encoding: chunked\r\n\r\n9c40\r\n" + strings.Repeat("z", 40000) + "\r\n0\r\n\r\n"), pace: NewPacer(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := newFakeUpstream(t, "u", c.respond)
			h := newDisconnectHarness(t, u)
			h.handler.Pacer = c.pace
			if c.noFreeSlot {
				for n := range 4 {
					holder := dialGateway(t, h.harness)
					defer holder.Close()
					writeText(t, holder, longRequest("GET", "/put/x", fmt.Sprint(n), ""))
				}
				waitFor(t, "all slots are taken", func() bool { return len(u.requests()) == 4 })
			}
			if c.noConnection {
				h.dispatcher.connect = func(ctx context.Context, _ string, limit time.Duration) (net.Conn, error) {
					select {
					case <-time.After(limit):
					case <-ctx.Done():
					}
					return nil, os.ErrDeadlineExceeded
				}
			}
			client := dialGateway(t, h.harness)
			defer client.Close()
			writeText(t, client, withShortDeadline(c.request))
			_ = client.SetReadDeadline(time.Now().Add(eventTimeout))
			res, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.ReadAll(res.Body)
			if c.status == 0 && (err == nil || isTimeout(err)) || c.status != 0 && (err != nil || res.StatusCode != c.status) {
				t.Errorf("%v %v", err, res)
			}
			if c.status == 503 && res.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
}

// While the configuration table is incomplete, a missing route or key gets a temporary error, since it may
// still arrive.
func TestIncompleteTable(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "u", respondOK))
	setTenantTable(t, h)
	status := func(path, key string) int {
		res, _, err := h.roundTrip(t, "GET", "GET "+path+" HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nAuthorization: Bearer "+key+"\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	for _, c := range []struct {
		path, key                        string
		statusIncomplete, statusComplete int
	}{{"/get/x", "k2", 200, 200}, {"/nowhere/", "k2", 503, 404}, {"/get/x", "k9", 503, 401}} {
		h.handler.tableComplete.Store(false)
		if got := status(c.path, c.key); got != c.statusIncomplete {
			t.Errorf("%s %s, table incomplete: status %d", c.path, c.key, got)
		}
		h.handler.SetTableComplete()
		if got := status(c.path, c.key); got != c.statusComplete {
			t.Errorf("%s %s, table complete: status %d", c.path, c.key, got)
		}
	}
}
