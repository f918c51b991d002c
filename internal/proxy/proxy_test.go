package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/upstream"
)

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	u := newUpstream(t, "u", steady)
	r := newRig(t, u)
	res, body, err := r.say(t, "GET", "GET /get//a/../%2e%2E/b%20c?x=1&&y=%zz;q HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\n"+
		"Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: yes\r\nTarget-Instance: forged\r\n\r\n")
	if err != nil || res.StatusCode != 200 || body != "fine" {
		t.Fatalf("%v %v %q", err, res, body)
	}
	head := u.requests()[0]
	if !strings.HasPrefix(head, "GET /get//a/../%2e%2E/b%20c?x=1&&y=%zz;q HTTP/1.1\r\n") {
		t.Errorf("request line changed: %q", head)
	}
	for _, not := range []string{"X-Hop", "User-Agent", "Accept-Encoding", "forged", "Te:", "Connection", "Content-Length", "Transfer-Encoding"} {
		if strings.Contains(head, not) {
			t.Errorf("%s was passed on or added: %q", not, head)
		}
	}
	for _, want := range []string{"X-Kept: yes\r\n", "Attempt-Id: one\r\n", "Target-Instance: u\r\n", "Deadline-Left: "} {
		if !strings.Contains(head, want) {
			t.Errorf("%s is missing: %q", want, head)
		}
	}
	if res.Header.Get(headerServerSeal) != "s" || res.Header.Get("Content-Type") != "" || res.Header.Get("Content-Encoding") != "" {
		t.Errorf("answer's headers: %v", res.Header)
	}
}

func TestBodiesKeepTheirForm(t *testing.T) {
	u := newUpstream(t, "u", steady)
	r := newRig(t, u)
	large := strings.Repeat("0123456789abcdef", 30<<10) // more than is held
	for _, c := range []struct{ name, raw, want string }{
		{"sized", post("/put/x", "hello"), "Content-Length: 5\r\n\r\nhello"},
		{"chunked", "POST /put/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"empty", post("/put/x", ""), "Content-Length: 0\r\n\r\n"},
		{"large", post("/put/x", large), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(large), large)},
	} {
		before := len(u.requests())
		res, _, err := r.say(t, "POST", c.raw)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("%s: %v %v", c.name, err, res)
		}
		got := u.requests()[before:]
		if len(got) != 1 || !strings.HasSuffix(got[0], c.want) {
			t.Errorf("%s: arrived as %.200q", c.name, got)
		}
	}
}

// A GET on a mutating route over a connection that the upstream closes without
// an answer must not run twice, as it would with http.Transport.
func TestReusedConnectionThatClosesIsNoReasonToRepeat(t *testing.T) {
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		if n == 2 {
			return false // reads the request and closes
		}
		return steady(c, r, n)
	})
	other := newUpstream(t, "v", steady)
	r := newRig(t, u)
	if res, _, err := r.say(t, "GET", get("/put/1")); err != nil || res.StatusCode != 200 {
		t.Fatal(err, res)
	}
	r.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) {
		s.SetList(now, []upstream.Instance{
			{ID: "u", Service: "a", Address: u.l.Addr().String(), Zone: "z", Capacity: 4},
			{ID: "v", Service: "a", Address: other.l.Addr().String(), Zone: "far", Capacity: 4}})
	})
	res, _, err := r.say(t, "GET", get("/put/2"))
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v %v, want 502", err, res)
	}
	if n := len(u.requests()) + len(other.requests()); n != 2 {
		t.Fatalf("%d requests arrived for 2 that were sent", n)
	}
	if res.Header.Get("Retry-After") != "" {
		t.Error("an answer that promises nothing tells when to come back")
	}
}

func TestStrayBytesBelongToNoRequest(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: forged\r\nContent-Length: 5\r\n\r\nwrong"
	for name, tail := range map[string]string{"whole answer": stray, "junk": "xyz"} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
				_, _ = io.WriteString(c, ok(r, "right")+tail)
				return true
			})
			r := newRig(t, u)
			for i := 0; i < 3; i++ {
				res, body, err := r.say(t, "GET", get("/get/x"))
				if err != nil || res.StatusCode != 200 || body != "right" || res.Header.Get(headerServerSeal) != "s" {
					t.Fatalf("%d: %v %v %q", i, err, res, body)
				}
			}
		})
	}
}

func TestAnswerOfAnotherRequestIsNotPassedOn(t *testing.T) {
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, strings.Replace(ok(r, "x"), "Attempt-Id: one", "Attempt-Id: two", 1))
		return true
	})
	r := newRig(t, u)
	if res, _, err := r.say(t, "GET", get("/put/x")); err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatal(err, res)
	}
}

func TestAnswersThatMayNotReachTheClient(t *testing.T) {
	cases := map[string]struct{ answer, path, want string }{
		"no seal":                {"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nContent-Length: 1\r\n\r\nx", "/put/x", "502"},
		"503 that may have run":  {"HTTP/1.1 503 Busy\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n", "/put/x", "502"},
		"429 that may have run":  {"HTTP/1.1 429 Busy\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n", "/put/x", "502"},
		"503 that has not run":   {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "/put/x", "503"},
		"no answer at all":       {"\x00\x01garbage\r\n\r\n", "/put/x", "502"},
		"cut short":              {"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", "/put/x", "502"},
		"without an end":         {"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n\r\nhalf", "/put/x", "502"},
		"its own failure":        {"HTTP/1.1 500 Oops\r\nAttempt-Id: one\r\nContent-Length: 2\r\n\r\nno", "/put/x", "500"},
		"success, has not run":   {"HTTP/1.1 200 OK\r\nNot-Executed: 1\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx", "/put/x", "502"},
		"failure, has not run":   {"HTTP/1.1 500 Oops\r\nNot-Executed: 1\r\nAttempt-Id: one\r\nContent-Length: 2\r\n\r\nno", "/put/x", "500"},
		"a body for an answer":   {"HTTP/1.1 020 OK\r\nContent-Length: 99\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx", "/put/x", "502"},
		"interim answers before": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx", "/put/x", "200"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "u", func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, c.answer)
				return false
			})
			r := newRig(t, u)
			res, body, err := r.say(t, "POST", post(c.path, "b"))
			if err != nil || fmt.Sprint(res.StatusCode) != c.want {
				t.Fatalf("%v %v, want %s", err, res, c.want)
			}
			if after := res.Header.Get("Retry-After"); (after != "") != (c.want == "503") {
				t.Errorf("Retry-After is %q", after)
			}
			if res.StatusCode > 500 {
				var told map[string]string
				if json.Unmarshal([]byte(body), &told) != nil || told["error"] == "" {
					t.Errorf("body %q", body)
				}
			}
		})
	}
}

func TestLargeAnswerCutShortDoesNotLookComplete(t *testing.T) {
	for name, head := range map[string]string{
		"sized":   "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 150000),
		"chunked": "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n"+head)
				return false
			})
			r := newRig(t, u)
			if _, body, err := r.say(t, "GET", get("/get/x")); err == nil {
				t.Fatalf("%d bytes looked complete", len(body))
			}
		})
	}
}

func TestWhatHasNotRunGoesToAnotherUpstream(t *testing.T) {
	refusals := map[string]string{
		"turned away":   "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"other address": "HTTP/1.1 421 Misdirected\r\nInstance-Id: z\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range refusals {
		t.Run(name, func(t *testing.T) {
			refuse := func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, answer)
				return true
			}
			first := newUpstream(t, "u", refuse)
			good := newUpstream(t, "v", steady)
			r := newRig(t, first, good)
			for i := 0; i < 4; i++ {
				if res, _, err := r.say(t, "POST", post("/put/x", "body")); err != nil || res.StatusCode != 200 {
					t.Fatalf("%d: %v %v", i, err, res)
				}
			}
			if n := len(good.requests()); n != 4 {
				t.Fatalf("%d of 4 ran", n)
			}
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		dead := newUpstream(t, "u", steady)
		dead.l.Close()
		good := newUpstream(t, "v", steady)
		r := newRig(t, dead, good)
		for i := 0; i < 4; i++ {
			if res, _, err := r.say(t, "POST", post("/put/x", "body")); err != nil || res.StatusCode != 200 {
				t.Fatalf("%v %v", err, res)
			}
		}
	})
}

// An upstream may answer before it has read the body; the answer counts, and
// the connection is not used again.
func TestEarlyAnswerWhileTheBodyIsStillSent(t *testing.T) {
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20))
		return false
	})
	r := newRig(t, u)
	body := strings.Repeat("y", 900000)
	raw := strings.Replace(post("/put/x", body), "Host:", "X-Early: 1\r\nHost:", 1)
	res, _, err := r.say(t, "POST", raw)
	if err != nil || res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Fatalf("%v %v", err, res)
	}
	if n := len(u.requests()); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

func TestGivenUpAtOnceWithTheRightPromise(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	u := newUpstream(t, "u", func(net.Conn, *http.Request, int) bool { <-hold; return false })
	t.Run("sent and silent: 504", func(t *testing.T) {
		res, _, err := newRig(t, u).say(t, "POST", post("/short/x", "b"))
		if err != nil || res.StatusCode != http.StatusGatewayTimeout {
			t.Fatalf("%v %v", err, res)
		}
	})
	t.Run("never sent: 503", func(t *testing.T) {
		res, _, err := newRig(t).say(t, "POST", post("/put/x", "b"))
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
			t.Fatalf("%v %v", err, res)
		}
	})
	t.Run("no time left: 503", func(t *testing.T) {
		raw := strings.Replace(post("/put/x", "b"), "4000", "0", 1)
		res, _, err := newRig(t, u).say(t, "POST", raw)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%v %v", err, res)
		}
	})
	t.Run("no items yet: 503, not 404", func(t *testing.T) {
		r := newRig(t, u)
		r.handler.SetTable((&config.Builder{}).Build(nil))
		res, _, err := r.say(t, "GET", get("/get/x"))
		if err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%v %v", err, res)
		}
	})
}

func TestLimitsOnClients(t *testing.T) {
	r := newRig(t, newUpstream(t, "u", steady))
	long := strings.Repeat("h", 9000)
	for name, c := range map[string]struct {
		raw  string
		want int
	}{
		"header too large":  {"GET /get/x HTTP/1.1\r\nHost: h.example\r\nX-Long: " + long + "\r\n\r\n", 431},
		"body too large":    {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2000000\r\n\r\n", 413},
		"chunks too large":  {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nf4250\r\n" + strings.Repeat("z", 0xf4250) + "\r\n0\r\n\r\n", 413},
		"slow header":       {"GET /get/x HTTP/1.1\r\nHost: h.exa", 408},
		"no such route":     {get("/nowhere/"), 404},
		"no such host":      {"GET /get/x HTTP/1.1\r\nHost: other\r\n\r\n", 404},
		"expects to go on":  {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok", 200},
		"two lengths":       {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", 400},
		"length and chunks": {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			c2, err := net.Dial("tcp4", r.listener.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c2.Close()
			go func() { _, _ = io.WriteString(c2, c.raw) }()
			br := bufio.NewReader(c2)
			res, err := http.ReadResponse(br, nil)
			if err == nil && res.StatusCode == 100 {
				res, err = http.ReadResponse(br, nil)
			}
			if err != nil || res.StatusCode != c.want {
				t.Fatalf("%v %v, want %d", err, res, c.want)
			}
		})
	}
}

// A request that waits for an upstream is not sent on once its client has gone.
func TestARequestWhoseClientHasGoneIsNotSentOn(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		<-release
		return steady(c, r, n)
	})
	r := newRig(t, u)
	answered := make(chan error, 4)
	for range 4 { // as many as the upstream works on at once
		go func() {
			_, _, err := r.say(t, "POST", post("/put/x", "b"))
			answered <- err
		}()
	}
	for len(u.requests()) < 4 {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp4", r.listener.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, post("/put/gone", "b"))
	for r.handler.Stats.Requests.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	for r.handler.Counters()["gone"] == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for range 4 {
		if err := <-answered; err != nil {
			t.Error(err)
		}
	}
	for _, raw := range u.requests() {
		if strings.Contains(raw, "/put/gone") {
			t.Error("it was sent on")
		}
	}
}

// A gateway that leaves waits for an upstream that is at work, and closes what is idle.
func TestLeavingWaitsForUpstreamsAtWork(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		<-release
		return steady(c, r, n)
	})
	r := newRig(t, u)
	type answer struct {
		res *http.Response
		err error
	}
	got := make(chan answer, 1)
	go func() {
		res, _, err := r.say(t, "POST", post("/put/x", "b"))
		got <- answer{res, err}
	}()
	for len(u.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	idle, err := net.Dial("tcp4", r.listener.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(idle, get("/nowhere/"))
	br := bufio.NewReader(idle)
	if res, err := http.ReadResponse(br, nil); err != nil || res.StatusCode != 404 || res.Close {
		t.Fatal(res, err)
	} else {
		_, _ = io.Copy(io.Discard, res.Body)
	}
	r.handler.Drain()
	down := make(chan struct{})
	go func() { r.listener.Shutdown(context.Background()); close(down) }()
	if n, err := br.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("the idle connection: %d bytes, %v", n, err)
	}
	select {
	case a := <-got:
		t.Fatalf("ended while its upstream was at work: %v %v", a.res, a.err)
	case <-down:
		t.Fatal("left while an upstream was at work")
	default:
	}
	close(release)
	if a := <-got; a.err != nil || a.res.StatusCode != 200 || !a.res.Close {
		t.Errorf("%v %v", a.res, a.err)
	}
	<-down
}

// A request that is read while its gateway closes what lies idle is answered: whatever the
// moment, a client gets an answer or finds the connection closed unread.
func TestLeavingAnswersWhatItHasRead(t *testing.T) {
	for n := range 300 {
		near, far := net.Pipe()
		g := &clientConn{Conn: near}
		g.markIdle(true)
		read := make(chan int, 1)
		go func() {
			b := make([]byte, 4)
			n, _ := g.Read(b)
			_ = g.SetReadDeadline(time.Time{}) // as the server does once it has something
			if n > 0 {
				_, err := io.ReadFull(g, make([]byte, 4)) // and goes on reading
				if err != nil {
					n = -1
				}
			}
			read <- n
		}()
		wrote := make(chan error, 1)
		go func() {
			_, err := io.WriteString(far, "12345678")
			wrote <- err
		}()
		for range n % 7 {
			runtime.Gosched()
		}
		g.retire(false)
		got := <-read
		near.Close()
		if err := <-wrote; got < 0 || got > 0 && err != nil {
			t.Fatalf("round %d: a request was begun to be read and then dropped", n)
		}
		far.Close()
	}
}
