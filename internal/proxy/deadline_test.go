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

// What is still unanswered at its route's deadline is answered at once, or its connection ends,
// wherever it is: an answer that came in time cannot be had any more.
func TestAnAnswerAtTheDeadline(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	said := func(text string) answerFn {
		return func(c net.Conn, r *http.Request, n int) bool {
			_, _ = io.WriteString(c, text)
			return silent(c, r, n)
		}
	}
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n"
	short := func(text string) string { return strings.Replace(text, "300000", "400", 1) }
	long := strings.Repeat("y", 400<<10)
	for _, c := range []struct {
		name, request string
		answer        answerFn
		pace          *Pace
		full          bool // the upstream has no slot free
		undialled     bool // the upstream takes no connection
		status        int  // 0: the answer is cut
	}{
		{name: "silent upstream", request: request("GET", "/get/x", "one", ""), answer: silent, status: 504},
		{name: "half an answer", request: request("GET", "/get/x", "one", ""), answer: said(head + "Content-Length: 9\r\n\r\nhalf"), status: 504},
		{name: "interim answers only", request: request("GET", "/put/x", "one", ""), answer: said("HTTP/1.1 103 Early\r\n\r\n"), status: 504},
		{name: "queue", request: request("GET", "/put/x", "one", ""), answer: silent, full: true, status: 503},
		{name: "dial", request: request("GET", "/put/x", "one", ""), answer: silent, undialled: true, status: 503},
		{name: "small body that trickles", request: request("POST", "/put/x", "one", "body")[:len(request("POST", "/put/x", "one", "body"))-2], answer: silent, status: 503},
		{name: "chunk that trickles", request: "POST /put/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nDeadline-Left: 300000\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", answer: silent, status: 503},
		{name: "large body that trickles", request: request("POST", "/put/x", "one", long)[:300<<10], answer: silent, status: 504},
		{name: "long answer that stops", request: request("GET", "/get/x", "one", ""), answer: said(head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("z", 80<<10))},
		{name: "pace that is full", request: request("GET", "/get/x", "one", ""), answer: said(head + "Content-Length: 40000\r\n\r\n" + strings.Repeat("z", 40000)), pace: NewPace(1)},
		{name: "pace that is full, chunked", request: request("GET", "/put/x", "one", ""), answer: said(head + "Transfer-Encoding: chunked\r\n\r\n9c40\r\n" + strings.Repeat("z", 40000) + "\r\n0\r\n\r\n"), pace: NewPace(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := newUpstream(t, "u", c.answer)
			r := newLeaveRig(t, u)
			r.handler.Pace = c.pace
			if c.full {
				for n := range 4 {
					holder := dialRig(t, r.rig)
					defer holder.Close()
					send(t, holder, request("GET", "/put/x", fmt.Sprint(n), ""))
				}
				until(t, "all slots taken", func() bool { return len(u.requests()) == 4 })
			}
			if c.undialled {
				r.dispatcher.connect = func(ctx context.Context, _ string, limit time.Duration) (net.Conn, error) {
					select {
					case <-time.After(limit):
					case <-ctx.Done():
					}
					return nil, os.ErrDeadlineExceeded
				}
			}
			client := dialRig(t, r.rig)
			defer client.Close()
			send(t, client, short(c.request))
			_ = client.SetReadDeadline(time.Now().Add(farAway))
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

// A table that has not been complete yet is no reason to say that there is no such route or key.
func TestATableThatIsNotComplete(t *testing.T) {
	r := newRig(t, newUpstream(t, "u", steady))
	withTenants(t, r)
	ask := func(path, key string) int {
		res, _, err := r.say(t, "GET", "GET "+path+" HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nAuthorization: Bearer "+key+"\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode
	}
	for _, c := range []struct {
		path, key       string
		before, afterIt int
	}{{"/get/x", "k2", 200, 200}, {"/nowhere/", "k2", 503, 404}, {"/get/x", "k9", 503, 401}} {
		r.handler.tableComplete.Store(false)
		if got := ask(c.path, c.key); got != c.before {
			t.Errorf("%s %s, not complete: %d", c.path, c.key, got)
		}
		r.handler.SetComplete()
		if got := ask(c.path, c.key); got != c.afterIt {
			t.Errorf("%s %s, complete: %d", c.path, c.key, got)
		}
	}
}
