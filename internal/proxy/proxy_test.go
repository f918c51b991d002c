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

func TestRequestIsForwardedUnchanged(t *testing.T) {
	u := newFakeUpstream(t, "u", respondOK)
	h := newHarness(t, u)
	res, body, err := h.roundTrip(t, "GET", "GET /get//a/../%2e%2E/b%20c?x=1&&y=%zz;q HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\n"+
		"Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: yes\r\nTarget-Instance: forged\r\n\r\n")
	if err != nil || res.StatusCode != 200 || body != "fine" {
		t.Fatalf("%v %v %q", err, res, body)
	}
	forwarded := u.requests()[0]
	if !strings.HasPrefix(forwarded, "GET /get//a/../%2e%2E/b%20c?x=1&&y=%zz;q HTTP/1.1\r\n") {
		t.Errorf("request line changed: %q", forwarded)
	}
	for _, unwanted := range []string{"X-Hop", "User-Agent", "Accept-Encoding", "forged", "Te:", "Connection", "Content-Length", "Transfer-Encoding"} {
		if strings.Contains(forwarded, unwanted) {
			t.Errorf("%s was forwarded or added: %q", unwanted, forwarded)
		}
	}
	for _, want := range []string{"X-Kept: yes\r\n", "Attempt-Id: one\r\n", "Target-Instance: u\r\n", "Deadline-Left: "} {
		if !strings.Contains(forwarded, want) {
			t.Errorf("%s is missing: %q", want, forwarded)
		}
	}
	if res.Header.Get(headerServerSeal) != "s" || res.Header.Get("Content-Type") != "" || res.Header.Get("Content-Encoding") != "" {
		t.Errorf("response headers: %v", res.Header)
	}
}

func TestRequestBodyFramingIsKept(t *testing.T) {
	u := newFakeUpstream(t, "u", respondOK)
	h := newHarness(t, u)
	large := strings.Repeat("0123456789abcdef", 30<<10) // more than maxBufferedBody
	for _, c := range []struct{ name, raw, want string }{
		{"sized", postRequest("/put/x", "hello"), "Content-Length: 5\r\n\r\nhello"},
		{"chunked", "POST /put/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{"empty", postRequest("/put/x", ""), "Content-Length: 0\r\n\r\n"},
		{"large", postRequest("/put/x", large), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(large), large)},
	} {
		before := len(u.requests())
		res, _, err := h.roundTrip(t, "POST", c.raw)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("%s: %v %v", c.name, err, res)
		}
		got := u.requests()[before:]
		if len(got) != 1 || !strings.HasSuffix(got[0], c.want) {
			t.Errorf("%s: arrived as %.200q", c.name, got)
		}
	}
}

// A GET on a mutating route, sent over a reused connection that the upstream closes without a response,
// must not be retried. http.Transport would retry it.
func TestClosedReusedConnectionIsNotRetried(t *testing.T) {
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		if n == 2 {
			return false // reads the request and closes
		}
		return respondOK(c, r, n)
	})
	other := newFakeUpstream(t, "v", respondOK)
	h := newHarness(t, u)
	if res, _, err := h.roundTrip(t, "GET", getRequest("/put/1")); err != nil || res.StatusCode != 200 {
		t.Fatal(err, res)
	}
	h.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) {
		balancer.SetList(now, []upstream.Instance{
			{ID: "u", Service: "a", Address: u.listener.Addr().String(), Zone: "z", Capacity: 4},
			{ID: "v", Service: "a", Address: other.listener.Addr().String(), Zone: "far", Capacity: 4}})
	})
	res, _, err := h.roundTrip(t, "GET", getRequest("/put/2"))
	if err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v %v, want 502", err, res)
	}
	if n := len(u.requests()) + len(other.requests()); n != 2 {
		t.Fatalf("%d requests reached upstreams, 2 were made", n)
	}
	if res.Header.Get("Retry-After") != "" {
		t.Error("Retry-After on an error that does not promise that the request was not executed")
	}
}

func TestBytesAfterResponseAreDiscarded(t *testing.T) {
	stray := "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: forged\r\nContent-Length: 5\r\n\r\nwrong"
	for name, tail := range map[string]string{"complete response": stray, "junk": "xyz"} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
				_, _ = io.WriteString(c, okResponse(r, "right")+tail)
				return true
			})
			h := newHarness(t, u)
			for i := 0; i < 3; i++ {
				res, body, err := h.roundTrip(t, "GET", getRequest("/get/x"))
				if err != nil || res.StatusCode != 200 || body != "right" || res.Header.Get(headerServerSeal) != "s" {
					t.Fatalf("%d: %v %v %q", i, err, res, body)
				}
			}
		})
	}
}

func TestResponseToAnotherRequestIsRejected(t *testing.T) {
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, strings.Replace(okResponse(r, "x"), "Attempt-Id: one", "Attempt-Id: two", 1))
		return true
	})
	h := newHarness(t, u)
	if res, _, err := h.roundTrip(t, "GET", getRequest("/put/x")); err != nil || res.StatusCode != http.StatusBadGateway {
		t.Fatal(err, res)
	}
}

func TestInvalidResponsesAreReplaced(t *testing.T) {
	cases := map[string]struct{ response, path, want string }{
		"no Server-Seal":                 {"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nContent-Length: 1\r\n\r\nx", "/put/x", "502"},
		"503 without Not-Executed":       {"HTTP/1.1 503 Busy\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n", "/put/x", "502"},
		"429 without Not-Executed":       {"HTTP/1.1 429 Busy\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n", "/put/x", "502"},
		"503 with Not-Executed":          {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "/put/x", "503"},
		"not HTTP":                       {"\x00\x01garbage\r\n\r\n", "/put/x", "502"},
		"truncated":                      {"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", "/put/x", "502"},
		"no body length":                 {"HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n\r\nhalf", "/put/x", "502"},
		"upstream's own error":           {"HTTP/1.1 500 Oops\r\nAttempt-Id: one\r\nContent-Length: 2\r\n\r\nno", "/put/x", "500"},
		"success with Not-Executed":      {"HTTP/1.1 200 OK\r\nNot-Executed: 1\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx", "/put/x", "502"},
		"error with Not-Executed":        {"HTTP/1.1 500 Oops\r\nNot-Executed: 1\r\nAttempt-Id: one\r\nContent-Length: 2\r\n\r\nno", "/put/x", "500"},
		"response within an invalid one": {"HTTP/1.1 020 OK\r\nContent-Length: 99\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx", "/put/x", "502"},
		"1xx response first":             {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx", "/put/x", "200"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "u", func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, c.response)
				return false
			})
			h := newHarness(t, u)
			res, body, err := h.roundTrip(t, "POST", postRequest(c.path, "b"))
			if err != nil || fmt.Sprint(res.StatusCode) != c.want {
				t.Fatalf("%v %v, want %s", err, res, c.want)
			}
			if retryAfter := res.Header.Get("Retry-After"); (retryAfter != "") != (c.want == "503") {
				t.Errorf("Retry-After is %q", retryAfter)
			}
			if res.StatusCode > 500 {
				var errorBody map[string]string
				if json.Unmarshal([]byte(body), &errorBody) != nil || errorBody["error"] == "" {
					t.Errorf("body %q", body)
				}
			}
		})
	}
}

func TestTruncatedLargeResponseIsNotComplete(t *testing.T) {
	for name, response := range map[string]string{
		"sized":   "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 150000),
		"chunked": "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n"+response)
				return false
			})
			h := newHarness(t, u)
			if _, body, err := h.roundTrip(t, "GET", getRequest("/get/x")); err == nil {
				t.Fatalf("%d bytes looked complete", len(body))
			}
		})
	}
}

func TestUnexecutedRequestIsRetried(t *testing.T) {
	refusals := map[string]string{
		"refused":     "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected\r\nInstance-Id: z\r\nContent-Length: 0\r\n\r\n",
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			refuse := func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, refusal)
				return true
			}
			first := newFakeUpstream(t, "u", refuse)
			good := newFakeUpstream(t, "v", respondOK)
			h := newHarness(t, first, good)
			for i := 0; i < 4; i++ {
				if res, _, err := h.roundTrip(t, "POST", postRequest("/put/x", "body")); err != nil || res.StatusCode != 200 {
					t.Fatalf("%d: %v %v", i, err, res)
				}
			}
			if n := len(good.requests()); n != 4 {
				t.Fatalf("%d of 4 requests executed", n)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		unreachable := newFakeUpstream(t, "u", respondOK)
		unreachable.listener.Close()
		good := newFakeUpstream(t, "v", respondOK)
		h := newHarness(t, unreachable, good)
		for i := 0; i < 4; i++ {
			if res, _, err := h.roundTrip(t, "POST", postRequest("/put/x", "body")); err != nil || res.StatusCode != 200 {
				t.Fatalf("%v %v", err, res)
			}
		}
	})
}

// A refusal that arrives while the request body is still being sent counts: the client gets it, and the
// request is not sent again. The connection is not reused.
func TestEarlyResponseDuringBody(t *testing.T) {
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20))
		return false
	})
	h := newHarness(t, u)
	body := strings.Repeat("y", 900000)
	raw := strings.Replace(postRequest("/put/x", body), "Host:", "X-Early: 1\r\nHost:", 1)
	res, _, err := h.roundTrip(t, "POST", raw)
	if err != nil || res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Fatalf("%v %v", err, res)
	}
	if n := len(u.requests()); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

// A request that cannot be served in time gets a 503 if it was not sent to an upstream. If it was sent, it
// gets a 504, which does not promise that it was not executed.
func TestTimeoutStatusSaysWhetherSent(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	u := newFakeUpstream(t, "u", func(net.Conn, *http.Request, int) bool { <-release; return false })
	t.Run("sent, no response: 504", func(t *testing.T) {
		res, _, err := newHarness(t, u).roundTrip(t, "POST", postRequest("/short/x", "b"))
		if err != nil || res.StatusCode != http.StatusGatewayTimeout {
			t.Fatalf("%v %v", err, res)
		}
	})
	t.Run("never sent: 503", func(t *testing.T) {
		res, _, err := newHarness(t).roundTrip(t, "POST", postRequest("/put/x", "b"))
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
			t.Fatalf("%v %v", err, res)
		}
	})
	t.Run("no time left: 503", func(t *testing.T) {
		raw := strings.Replace(postRequest("/put/x", "b"), "4000", "0", 1)
		res, _, err := newHarness(t, u).roundTrip(t, "POST", raw)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%v %v", err, res)
		}
	})
	t.Run("no configuration yet: 503, not 404", func(t *testing.T) {
		h := newHarness(t, u)
		h.handler.SetTable((&config.Builder{}).Build(nil))
		res, _, err := h.roundTrip(t, "GET", getRequest("/get/x"))
		if err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%v %v", err, res)
		}
	})
}

func TestClientLimits(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "u", respondOK))
	long := strings.Repeat("h", 9000)
	for name, c := range map[string]struct {
		raw  string
		want int
	}{
		"header too large":     {"GET /get/x HTTP/1.1\r\nHost: h.example\r\nX-Long: " + long + "\r\n\r\n", 431},
		"body too large":       {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2000000\r\n\r\n", 413},
		"chunks too large":     {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nf4250\r\n" + strings.Repeat("z", 0xf4250) + "\r\n0\r\n\r\n", 413},
		"slow header":          {"GET /get/x HTTP/1.1\r\nHost: h.exa", 408},
		"no such route":        {getRequest("/nowhere/"), 404},
		"no such host":         {"GET /get/x HTTP/1.1\r\nHost: other\r\n\r\n", 404},
		"expects 100-continue": {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok", 200},
		"two lengths":          {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", 400},
		"length and chunks":    {"POST /put/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", h.listener.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, c.raw) }()
			reader := bufio.NewReader(conn)
			res, err := http.ReadResponse(reader, nil)
			if err == nil && res.StatusCode == 100 {
				res, err = http.ReadResponse(reader, nil)
			}
			if err != nil || res.StatusCode != c.want {
				t.Fatalf("%v %v, want %d", err, res, c.want)
			}
		})
	}
}

// A queued request is not sent once its client has disconnected.
func TestQueuedRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	release := make(chan struct{})
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		<-release
		return respondOK(c, r, n)
	})
	h := newHarness(t, u)
	results := make(chan error, 4)
	for range 4 { // the capacity of the upstream
		go func() {
			_, _, err := h.roundTrip(t, "POST", postRequest("/put/x", "b"))
			results <- err
		}()
	}
	for len(u.requests()) < 4 {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp4", h.listener.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, postRequest("/put/gone", "b"))
	for h.handler.Stats.Requests.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	for h.handler.Counters()["gone"] == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	for range 4 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	for _, raw := range u.requests() {
		if strings.Contains(raw, "/put/gone") {
			t.Error("the request of the disconnected client was sent")
		}
	}
}

// A gateway that shuts down waits for requests in flight and closes idle connections.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
		<-release
		return respondOK(c, r, n)
	})
	h := newHarness(t, u)
	type outcome struct {
		res *http.Response
		err error
	}
	got := make(chan outcome, 1)
	go func() {
		res, _, err := h.roundTrip(t, "POST", postRequest("/put/x", "b"))
		got <- outcome{res, err}
	}()
	for len(u.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	idle, err := net.Dial("tcp4", h.listener.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(idle, getRequest("/nowhere/"))
	reader := bufio.NewReader(idle)
	if res, err := http.ReadResponse(reader, nil); err != nil || res.StatusCode != 404 || res.Close {
		t.Fatal(res, err)
	} else {
		_, _ = io.Copy(io.Discard, res.Body)
	}
	h.handler.Drain()
	shutDown := make(chan struct{})
	go func() { h.listener.Shutdown(context.Background()); close(shutDown) }()
	if n, err := reader.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("idle connection: %d bytes, %v", n, err)
	}
	select {
	case a := <-got:
		t.Fatalf("response before the upstream had responded: %v %v", a.res, a.err)
	case <-shutDown:
		t.Fatal("shut down while a request was in flight")
	default:
	}
	close(release)
	if a := <-got; a.err != nil || a.res.StatusCode != 200 || !a.res.Close {
		t.Errorf("%v %v", a.res, a.err)
	}
	<-shutDown
}

// A gateway that retires idle connections still responds to a request that has begun to be read: whatever the
// timing, a client gets a response or its connection is closed before any of the request is read.
func TestRetireDoesNotDropPartlyReadRequest(t *testing.T) {
	for n := range 300 {
		serverEnd, clientEnd := net.Pipe()
		conn := &clientConn{Conn: serverEnd}
		conn.markIdle(true)
		read := make(chan int, 1)
		go func() {
			b := make([]byte, 4)
			n, _ := conn.Read(b)
			_ = conn.SetReadDeadline(time.Time{}) // as net/http does once it has read something
			if n > 0 {
				_, err := io.ReadFull(conn, make([]byte, 4)) // continues reading the request
				if err != nil {
					n = -1
				}
			}
			read <- n
		}()
		wrote := make(chan error, 1)
		go func() {
			_, err := io.WriteString(clientEnd, "12345678")
			wrote <- err
		}()
		for range n % 7 {
			runtime.Gosched()
		}
		conn.retire(false)
		got := <-read
		serverEnd.Close()
		if err := <-wrote; got < 0 || got > 0 && err != nil {
			t.Fatalf("round %d: a request was partly read and then dropped", n)
		}
		clientEnd.Close()
	}
}
