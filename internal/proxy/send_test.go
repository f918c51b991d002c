package proxy

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"madderwing/internal/apierror"
)

// Bytes that arrive late on a reused connection must not be taken for the response to its next
// request. In particular a stale refusal must not allow that request to be retried.
func TestStaleBytesOnReusedConnection(t *testing.T) {
	for _, head := range []string{"503 Busy\r\nNot-Executed: 1", "429 Busy\r\nNot-Executed: 1", "421 Misdirected", "500 Oops", "404 Not Found"} {
		for path, want := range map[string]int{"/put/x": 502, "/get/x": 200} {
			t.Run(head[:3]+path, func(t *testing.T) {
				u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
					if n == 2 { // bytes of an earlier response that arrive only now
						_, _ = io.WriteString(c, "HTTP/1.1 "+head+"\r\nContent-Length: 5\r\n\r\nstray")
						time.Sleep(time.Millisecond)
					}
					return respondOK(c, r, n)
				})
				other := newFakeUpstream(t, "v", respondOK)
				h := newHarness(t, u)
				if res, _, err := h.roundTrip(t, "GET", getRequest(path)); err != nil || res.StatusCode != 200 {
					t.Fatal(err, res)
				}
				h.setUpstreams(u, other)
				res, body, err := h.roundTrip(t, "GET", getRequest(path))
				if err != nil || res.StatusCode != want || body == "stray" {
					t.Fatalf("%v %v %q", err, res, body)
				}
				if n := len(u.requests()) + len(other.requests()); n > 2 && want == 502 {
					t.Errorf("the second request was sent %d times", n-1)
				}
			})
		}
	}
}

// A refusal without an Attempt-Id on a reused connection may be left over from an earlier request, so
// it is not accepted. From then on each request to that upstream gets a new connection, until a refusal
// of it carries the Attempt-Id.
func TestRefusalsWithoutAttemptID(t *testing.T) {
	refuseWith := func(head string) respondFunc {
		return func(c net.Conn, r *http.Request, n int) bool {
			if n == 1 || n == 7 {
				return respondOK(c, r, n)
			}
			if n == 6 {
				head = "Attempt-Id: one\r\n"
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"+head+"Content-Length: 0\r\n\r\n")
			return true
		}
	}
	h := newHarness(t, newFakeUpstream(t, "u", refuseWith("")))
	for i, want := range []struct {
		status int
		dials  uint64
	}{{200, 1}, {502, 1}, {503, 2}, {503, 3}, {503, 4}, {503, 5}, {200, 5}} {
		res, _, err := h.roundTrip(t, "POST", postRequest("/put/x", "b"))
		if err != nil || res.StatusCode != want.status || h.handler.Stats.Dials.Load() != want.dials {
			t.Errorf("request %d: %v %v, %d dials", i+1, err, res.StatusCode, h.handler.Stats.Dials.Load())
		}
	}
}

// If the first upstream may have executed a request, a refusal by the second one must not reach the
// client as a promise that the request was not executed.
func TestRefusalAfterFailedAttemptBecomesBadGateway(t *testing.T) {
	var attempts atomic.Int64
	respond := func(c net.Conn, _ *http.Request, _ int) bool {
		if attempts.Add(1) == 2 {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return false
	}
	h := newHarness(t, newFakeUpstream(t, "u", respond), newFakeUpstream(t, "v", respond))
	res, _, err := h.roundTrip(t, "GET", getRequest("/get/x"))
	if err != nil || res.StatusCode != http.StatusBadGateway || attempts.Load() != 2 {
		t.Fatalf("%v %v after %d attempts", err, res, attempts.Load())
	}
}

// A response that arrives before the request body was sent completely reaches a client that sends the
// rest of the body only after it. So does the error for an upstream that closes the connection.
func TestEarlyResponseDoesNotWaitForBody(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		status   int
	}{
		"refused":   {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503},
		"responded": {"HTTP/1.1 404 None\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n", 404},
		"closed":    {"", 502},
	} {
		t.Run(name, func(t *testing.T) {
			u := newFakeUpstream(t, "u", func(conn net.Conn, _ *http.Request, _ int) bool {
				if c.response != "" {
					_, _ = io.WriteString(conn, c.response)
					_, _ = io.Copy(io.Discard, conn) // closing with unread bytes would reset the connection
				}
				return false
			})
			h := newHarness(t, u)
			raw := strings.Replace(postRequest("/put/x", strings.Repeat("y", 500000)), "Host:", "X-Early: 1\r\nHost:", 1)
			res, _, err := h.roundTrip(t, "POST", raw[:len(raw)-1000])
			if err != nil || res.StatusCode != c.status || !res.Close {
				t.Fatalf("%v %v", err, res)
			}
		})
	}
}

// The request body may still be read while the response is written, so reading it, even beyond its
// limit, must not change the response headers.
func TestReadingBodyDoesNotChangeResponseHeaders(t *testing.T) {
	handler := newHarness(t).handler
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read := handler.limitBody(func(x *Exchange) error {
			_, err := io.Copy(io.Discard, x.body)
			return err
		})
		err := read(&Exchange{w: w, r: r, table: handler.Table()})
		if kind := apierror.KindOf(apierror.BodyTooLargeError(err)); kind != apierror.BodyTooLarge || len(w.Header()) > 0 {
			t.Errorf("%v, headers %v", err, w.Header())
		}
	}))
	defer s.Close()
	res, err := http.Post(s.URL, "text/plain", io.MultiReader(strings.NewReader(strings.Repeat("x", 1000001))))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}

// endlessReader repeats its pattern, up to 64 MB in total.
type endlessReader struct {
	pattern string
	read    int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.read > 64<<20 {
		return 0, io.EOF
	}
	n := copy(p, e.pattern)
	e.read += n
	return n, nil
}

func TestResponseHeadIsLimited(t *testing.T) {
	for name, c := range map[string]struct{ head, text string }{
		"one line":      {"HTTP/1.1 200 ", "x"},
		"many fields":   {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"1xx responses": {"", "HTTP/1.1 103 Early\r\n\r\n"},
	} {
		e := &endlessReader{pattern: c.text}
		if _, err := newResponseReader(io.MultiReader(strings.NewReader(c.head), e)).readHeadFor("GET", "one"); err == nil || e.read > 2*maxResponseHead {
			t.Errorf("%s: %v after %d bytes", name, err, e.read)
		}
	}
}

// The generated test runs small scenarios: a few clients, each with a sequence of requests, and three
// fake upstreams with randomly chosen faults. What an upstream does with the n-th arrival of a request
// depends only on the seed, the request's id and n, so it does not depend on how goroutines interleave.

const (
	scenarioCount      = 300 // as in CI; CALLERS_SEEDS sets another number, CALLERS_SEED the first seed and, alone, the only one
	clientsPerScenario = 2
	requestsPerClient  = 6
)

// With random faults of clients and upstreams, no mutating request is executed twice, and no client
// gets the response to another request, a truncated response that looks complete, or a false promise
// that its request was not executed.
func TestTheRightCallerOnce(t *testing.T) {
	firstSeed, count := 1, scenarioCount
	if n, err := strconv.Atoi(os.Getenv("CALLERS_SEEDS")); err == nil {
		count = n
	}
	if n, err := strconv.Atoi(os.Getenv("CALLERS_SEED")); err == nil {
		firstSeed, count = n, cmp.Or(count%scenarioCount, 1)
	}
	for seed := firstSeed; seed < firstSeed+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			(&scenario{seed: seed, arrivals: map[string]int{}, executions: map[string]int{}}).run(t)
		})
	}
}
