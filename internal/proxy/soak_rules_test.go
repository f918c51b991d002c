package proxy

// The name in capitals before a test is the rule of the soak test (internal/soak) that it covers.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// attemptLimitTable returns the configuration of an idempotent and a mutating route for each attempt
// limit from 1 to 3.
func attemptLimitTable() string {
	var routes []string
	for maxAttempts := 1; maxAttempts <= 3; maxAttempts++ {
		for _, kind := range []string{"idempotent", "mutating"} {
			routes = append(routes, fmt.Sprintf(`{"name":"%[1]s%[2]d","pathPrefix":"/%[1]s/%[2]d/","routeKind":%[1]q,"deadlineS":20,"targetLatencyS":10,"target":"a","maxTries":%[2]d,"generation":1}`, kind, maxAttempts))
		}
	}
	return `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}],
	 "limits":{"generation":1,"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutS":5,"idleTimeoutS":60},
	 "domains":[{"authority":"h.example","hostRoutes":[` + strings.Join(routes, ",") + `]}]}}`
}

// BUDGET: a request is sent to no more upstreams than its route allows, however they fail, and to each
// at most once.
func TestAttemptsAreLimitedByRoute(t *testing.T) {
	attemptHeader := "Attempt-Id: one\r\n"
	for name, text := range map[string]string{
		"421":                         "HTTP/1.1 421 Misdirected\r\n" + attemptHeader + "Content-Length: 0\r\n\r\n",
		"refused":                     "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + attemptHeader + "Content-Length: 0\r\n\r\n",
		"refused with 429":            "HTTP/1.1 429 Busy\r\nNot-Executed: 1\r\n" + attemptHeader + "Content-Length: 0\r\n\r\n",
		"closed":                      "",
		"1xx response, then closed":   "HTTP/1.1 103 Early Hints\r\n\r\n",
		"1xx response, then refused":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + attemptHeader + "Content-Length: 0\r\n\r\n",
		"truncated response":          "HTTP/1.1 200 OK\r\n" + attemptHeader + "Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
		"no Server-Seal":              "HTTP/1.1 200 OK\r\n" + attemptHeader + "Content-Length: 1\r\n\r\nx",
		"response to another request": "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx",
		"no body length":              "HTTP/1.1 200 OK\r\n" + attemptHeader + "Server-Seal: s\r\n\r\nx",
		"not HTTP":                    "\x00\x01garbage\r\n\r\n",
		"upstream's own error":        "HTTP/1.1 500 Oops\r\n" + attemptHeader + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var upstreams []*fakeUpstream
			for i := range 5 {
				upstreams = append(upstreams, newFakeUpstream(t, fmt.Sprint("u", i), func(c net.Conn, _ *http.Request, _ int) bool {
					_, _ = io.WriteString(c, text)
					return false
				}))
			}
			h := newHarness(t, upstreams...)
			h.handler.SetTable(buildTable(t, attemptLimitTable()))
			for _, kind := range []string{"idempotent", "mutating"} {
				for maxAttempts := 1; maxAttempts <= 3; maxAttempts++ {
					before := make([]int, len(upstreams))
					for i, u := range upstreams {
						before[i] = len(u.requests())
					}
					if _, _, err := h.roundTrip(t, "GET", getRequest(fmt.Sprintf("/%s/%d/x", kind, maxAttempts))); err != nil {
						t.Fatal(err)
					}
					sent := 0
					for i, u := range upstreams {
						n := len(u.requests()) - before[i]
						if sent += n; n > 1 {
							t.Errorf("%s, limit of %d attempts: sent to one upstream %d times", kind, maxAttempts, n)
						}
					}
					if sent > maxAttempts {
						t.Errorf("%s: sent to %d upstreams where %d are allowed", kind, sent, maxAttempts)
					}
				}
			}
		})
	}
}

// BUDGET: Deadline-Left tells each upstream the remaining time at the start of its attempt, by the
// client's or the route's deadline, whichever is earlier.
func TestDeadlineLeftSentToUpstreams(t *testing.T) {
	const firstDelay = 700 * time.Millisecond
	var mu sync.Mutex
	var deadlinesLeft []time.Duration
	respond := func(c net.Conn, r *http.Request, _ int) bool {
		ms, err := strconv.Atoi(r.Header.Get(headerDeadlineLeft))
		if err != nil {
			t.Errorf("Deadline-Left: %v", err)
		}
		mu.Lock()
		defer mu.Unlock()
		if deadlinesLeft = append(deadlinesLeft, time.Duration(ms)*time.Millisecond); len(deadlinesLeft) == 1 {
			time.Sleep(firstDelay)
			return false
		}
		return respondOK(c, r, 1)
	}
	for name, c := range map[string]struct {
		header  string
		maxLeft time.Duration
	}{
		"client's deadline":         {"Deadline-Left: 4000\r\n", 4 * time.Second},
		"route's deadline":          {"Deadline-Left: 40000\r\n", 20 * time.Second},
		"no deadline of the client": {"", 20 * time.Second},
		"invalid":                   {"Deadline-Left: soon\r\n", 20 * time.Second},
		"negative":                  {"Deadline-Left: -5\r\n", 20 * time.Second},
		"fraction of a millisecond": {"Deadline-Left: 4000.5\r\n", 4001 * time.Millisecond},
	} {
		mu.Lock()
		deadlinesLeft = nil
		mu.Unlock()
		h := newHarness(t, newFakeUpstream(t, "u", respond), newFakeUpstream(t, "v", respond))
		h.handler.SetTable(buildTable(t, attemptLimitTable()))
		begin := time.Now()
		res, _, err := h.roundTrip(t, "GET", "GET /idempotent/2/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\n"+c.header+"\r\n")
		took := time.Since(begin)
		if err != nil || res.StatusCode != 200 || len(deadlinesLeft) != 2 {
			t.Fatalf("%s: %v %v, sent %d times", name, err, res, len(deadlinesLeft))
		}
		if deadlinesLeft[0] > c.maxLeft || deadlinesLeft[0] < c.maxLeft-took || deadlinesLeft[1] > c.maxLeft-firstDelay || deadlinesLeft[1] > deadlinesLeft[0]-firstDelay {
			t.Errorf("%s: upstreams got %v", name, deadlinesLeft)
		}
	}
}

// MIXED: an error response of the gateway itself carries no header or body of an upstream's response.
func TestGatewayErrorsCarryNoUpstreamHeaders(t *testing.T) {
	headers := "Attempt-Id: one\r\nServer-Seal: s\r\nX-Theirs: 1\r\n"
	for name, text := range map[string]string{
		"refusal with Server-Seal":                     "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + headers + "Content-Length: 4\r\n\r\nbusy",
		"503 without Not-Executed":                     "HTTP/1.1 503 Busy\r\n" + headers + "Content-Length: 4\r\n\r\nbusy",
		"429 without Not-Executed":                     "HTTP/1.1 429 Busy\r\n" + headers + "Content-Length: 4\r\n\r\nbusy",
		"408, which promises that it was not executed": "HTTP/1.1 408 Slow\r\n" + headers + "Content-Length: 4\r\n\r\nslow",
		"421":                      "HTTP/1.1 421 Misdirected\r\n" + headers + "Content-Length: 4\r\n\r\nelse",
		"truncated response":       "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 9\r\n\r\nhalf",
		"truncated error response": "HTTP/1.1 500 Oops\r\n" + headers + "Content-Length: 9\r\n\r\nhalf",
		"no body length":           "HTTP/1.1 200 OK\r\n" + headers + "\r\nwhole",
	} {
		u := newFakeUpstream(t, "u", func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(c, text)
			return false
		})
		h := newHarness(t, u)
		res, body, err := h.roundTrip(t, "GET", getRequest("/put/x"))
		if err != nil || res.StatusCode < 500 {
			t.Errorf("%s: %v %v", name, err, res)
			continue
		}
		if res.Header.Get(headerServerSeal) != "" || res.Header.Get("X-Theirs") != "" || !strings.HasPrefix(body, "{") {
			t.Errorf("%s: %v %q", name, res.Header, body)
		}
	}
}

// LOST: a request on a keep-alive connection that was forwarded gets a response before the connection
// closes, whatever its upstream does.
func TestKeepAliveRequestAlwaysGetsResponse(t *testing.T) {
	var n atomic.Int64
	texts := []string{"", "\x00", "HTTP/1.1 103 Early\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 500 Oops\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		i := int(n.Add(1))
		if i%2 == 0 {
			return respondOK(c, r, 1)
		}
		_, _ = io.WriteString(c, texts[i/2%len(texts)])
		if i%4 == 1 {
			closeWithReset(c.(*net.TCPConn))
		}
		return false
	})
	h := newHarness(t, u)
	var client net.Conn
	var reader *bufio.Reader
	withoutResponse := 0
	for i := range 60 {
		if client == nil {
			client = dialGateway(t, h)
			reader = bufio.NewReader(client)
		}
		path := []string{"/get/x", "/put/x"}[i%2]
		writeText(t, client, getRequest(path))
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			withoutResponse++
			client = nil
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if res.Close {
			client.Close()
			client = nil
		}
	}
	if withoutResponse > 0 || n.Load() < 30 {
		t.Errorf("%d of 60 requests got no response; %d were forwarded", withoutResponse, n.Load())
	}
}

// UNASKED: an upstream that responds before the request body is complete and reads on gets the rest of
// that body or nothing on its connection, never another request.
func TestUpstreamThatReadsOnAfterEarlyResponse(t *testing.T) {
	body := strings.Repeat("0123456789", 60<<10)
	failures := make(chan string, 10)
	responded := make(chan struct{})
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Early") == "" {
			return respondOK(c, r, 1)
		}
		_, _ = io.WriteString(c, okResponse(r, "early"))
		<-responded
		got, _ := io.ReadAll(r.Body)
		if !strings.HasPrefix(body, string(got)) {
			failures <- fmt.Sprintf("%d bytes, the last of them %.60q", len(got), got[max(0, len(got)-60):])
		}
		close(failures)
		return true
	})
	h := newHarness(t, u)
	raw := strings.Replace(postRequest("/put/x", body), "Host:", "X-Early: 1\r\nHost:", 1)
	client := dialGateway(t, h)
	defer client.Close()
	writeText(t, client, raw[:300<<10])
	res, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(err, res)
	}
	for range 4 {
		if res, _, err := h.roundTrip(t, "GET", getRequest("/put/x")); err != nil || res.StatusCode != http.StatusOK {
			t.Fatal(err, res)
		}
	}
	close(responded)
	for text := range failures {
		t.Error(text)
	}
}
