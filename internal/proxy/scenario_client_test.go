package proxy

// This file implements the clients of a generated scenario.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync/atomic"
	"time"
)

// clientRequest is one request of a client, with the way in which the client sends it.
type clientRequest struct {
	id              string
	mutating        bool
	deadlineLeft    int  // Deadline-Left
	bodySize        int  // in bytes
	chunked         bool // the body is sent chunked
	expectContinue  bool // sends Expect: 100-continue, but does not wait for the 100 response
	withheld        int  // last bytes of the request, sent only after the response or after withholdTimeout
	withholdTimeout time.Duration
	closesWrite     bool          // the client closes its sending direction after the request
	newConn         bool          // sent over a new connection
	disconnect      string        // how the client closes the connection without waiting for the response (see endConn); empty: it waits
	disconnectDelay time.Duration // time from the end of the request to the disconnect
}

// request returns the n-th request of a client.
func (s *scenario) request(client, n int) clientRequest {
	rng := newRand(s.seed, "ask", client, n)
	req := clientRequest{id: fmt.Sprintf("%d.%d.%d", s.seed, client, n), deadlineLeft: 4000, mutating: rng.IntN(3) > 0, newConn: rng.IntN(5) == 0,
		bodySize: []int{0, 0, 10, 20 << 10, 400 << 10}[rng.IntN(5)], chunked: rng.IntN(2) == 0, expectContinue: rng.IntN(4) == 0, closesWrite: rng.IntN(12) == 0}
	for i := range 3 {
		if planned := behaviorFor(s.seed, req.id, i+1); planned.cutBy == "silence" || planned.response == unterminatedLine {
			req.deadlineLeft = 40
		}
	}
	if req.bodySize > maxBufferedBody && rng.IntN(2) == 0 {
		req.withheld, req.withholdTimeout = rng.IntN(50<<10)+1, 20*time.Millisecond
		if behaviorFor(s.seed, req.id, 1).early {
			req.withholdTimeout = 10 * time.Second
		}
	}
	if rng.IntN(8) == 0 {
		req.disconnect, req.disconnectDelay = []string{"close", "reset", "half"}[rng.IntN(3)], time.Duration(rng.IntN(3000))*time.Microsecond
	}
	return req
}

// text returns the request as it is sent.
func (req *clientRequest) text() []byte {
	var b bytes.Buffer
	method, path := "GET", "get"
	if req.bodySize > 0 {
		method = "POST"
	}
	if req.mutating {
		path = "put"
	}
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Left: %d\r\n", method, path, req.id, req.deadlineLeft)
	if req.bodySize > 0 && req.expectContinue {
		b.WriteString("Expect: 100-continue\r\n")
	}
	body := bytes.Repeat([]byte("y"), req.bodySize)
	switch {
	case req.bodySize == 0:
		b.WriteString("\r\n")
	case req.chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", req.bodySize, body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", req.bodySize, body)
	}
	return b.Bytes()
}

var idPattern = regexp.MustCompile(`id=([0-9.]+)`)

// runClient sends the requests of one client one after the other and checks the responses. refused are
// the ids of the requests whose status promises that they were not executed.
func (s *scenario) runClient(address string, client int, failf func(format string, args ...any)) (refused []string) {
	var conn net.Conn
	var reader *bufio.Reader
	faultless := s.isFaultless()
	for n := range requestsPerClient {
		req := s.request(client, n)
		if conn != nil && req.newConn {
			conn.Close()
			conn = nil
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp4", address); err != nil {
				failf("%v", err)
				return refused
			}
			reader = bufio.NewReader(conn)
		}
		responded := make(chan struct{})
		var responseLate atomic.Bool
		if req.disconnect != "" {
			_, _ = conn.Write(req.text())
			time.Sleep(req.disconnectDelay)
			endConn(conn, req.disconnect)
			if req.disconnect == "half" {
				_, _ = io.Copy(io.Discard, conn)
			}
			conn.Close()
			conn = nil
			continue
		}
		go func(c net.Conn) {
			text := req.text()
			_, _ = c.Write(text[:len(text)-req.withheld])
			if req.withheld > 0 {
				select {
				case <-responded:
				case <-time.After(req.withholdTimeout):
					responseLate.Store(req.withholdTimeout > time.Second)
				}
				_, _ = c.Write(text[len(text)-req.withheld:])
			}
			if req.closesWrite {
				_ = c.(*net.TCPConn).CloseWrite()
			}
		}(conn)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		res, err := http.ReadResponse(reader, nil)
		for err == nil && res.StatusCode == http.StatusContinue {
			res, err = http.ReadResponse(reader, nil)
		}
		close(responded)
		if responseLate.Load() {
			failf("%s got no response before it had sent its whole body", req.id)
		}
		var body []byte
		if err == nil {
			body, err = io.ReadAll(res.Body)
		}
		if err != nil {
			if isTimeout(err) {
				failf("%s got no response within 20 s", req.id)
			}
			conn.Close()
			conn = nil
			continue
		}
		if id := res.Header.Get(headerAttemptID); id != req.id {
			failf("%s got a response to %q: %d %.60q", req.id, id, res.StatusCode, body)
		}
		for _, m := range idPattern.FindAllSubmatch(body[:min(len(body), 100)], -1) {
			if string(m[1]) != req.id {
				failf("%s got the body of %s", req.id, m[1])
			}
		}
		switch res.StatusCode {
		case 200:
			if string(body) != expectedBody(req.id) || res.Header.Get(headerServerSeal) != "s" {
				failf("%s got a 200 with %d bytes, %.60q", req.id, len(body), body)
			}
		case 429, 503, 408, 421:
			refused = append(refused, req.id)
		case 500, 502, 504:
		default:
			failf("%s got an unexpected %d with %.60q", req.id, res.StatusCode, body)
		}
		if bytes.Contains(body, []byte("stray")) || bytes.Contains(body, []byte("wrong")) {
			failf("%s got %d with a body that belongs to no valid response: %.60q", req.id, res.StatusCode, body)
		}
		if res.StatusCode != 200 && !req.closesWrite && faultless {
			failf("%s got a %d in a scenario without faults", req.id, res.StatusCode)
		}
		if res.Close || req.closesWrite || req.withheld > 0 {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
	return refused
}
