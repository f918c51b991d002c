package proxy

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"madderwing/internal/upstream"
)

// behavior is what a fake upstream does with one request that arrives.
type behavior struct {
	refusal     string // the status and headers of a refusal; the request is not executed
	prefix      string // sent before the response: 1xx responses
	response    string // sent instead of the regular response, after the request was executed
	cutAt       int    // the response is truncated before this byte; -1: it is complete
	cutBy       string // how it is truncated: reset, close, half, silence; see endConn
	early       bool   // responds before it has read the body
	suffix      string // sent directly after the response
	lateBytes   string // sent after the next request on the connection has arrived, before its response
	closeBy     string // how the connection is ended after the response: reset, close, half
	closeOnNext bool   // the connection is ended only after its next request has arrived, which is not executed
	chunked     bool
}

func (b behavior) isFaultless() bool {
	return b == behavior{cutAt: -1} || b == behavior{cutAt: -1, chunked: true}
}

func (b behavior) String() string {
	var out []string
	add := func(applies bool, format string, args ...any) {
		if applies {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(b.refusal != "", "refuses with %q", b.refusal)
	add(b.prefix != "", "sends %.40q first", b.prefix)
	add(b.early, "responds before the body is read")
	add(b.response != "", "responds with %q", b.response)
	add(b.cutAt >= 0, "truncates by %s at byte %d", b.cutBy, b.cutAt)
	add(b.suffix != "", "sends %q afterwards", b.suffix)
	add(b.lateBytes != "", "sends %q after the next request has arrived", b.lateBytes)
	add(b.closeBy != "", "ends the connection by %s, after the next request: %v", b.closeBy, b.closeOnNext)
	return strings.Join(out, ", ")
}

// newRand returns the random number generator for one decision in a scenario, which key identifies.
func newRand(seed int, key ...any) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, key...)
	return rand.New(rand.NewPCG(uint64(seed), h.Sum64()))
}

// behaviorFor returns what an upstream does with the n-th arrival of a request.
func behaviorFor(seed int, id string, n int) behavior {
	rng := newRand(seed, "act", id, n)
	pick := func(options ...string) string { return options[rng.IntN(len(options))] }
	planned := behavior{cutAt: -1, chunked: rng.IntN(3) == 0}
	attemptHeader := ""
	if rng.IntN(2) == 0 {
		attemptHeader = "Attempt-Id: " + id + "\r\n"
	}
	switch rng.IntN(11) {
	case 0, 1, 2: // without a fault
	case 3:
		planned.refusal = pick("503 Busy", "429 Busy", "421 Misdirected", "400 Bad") + "\r\nNot-Executed: 1\r\n" + attemptHeader
		planned.early = rng.IntN(2) == 0
	case 4:
		planned.cutAt, planned.cutBy = rng.IntN(okResponseLen(id, planned.chunked)), pick("reset", "close", "half", "silence")
		if rng.IntN(3) == 0 {
			planned.cutAt = 0
		}
	case 5:
		planned.suffix = strayResponse(rng, id)
	case 6:
		planned.lateBytes = strayResponse(rng, id)
	case 7:
		planned.closeBy, planned.closeOnNext = pick("reset", "close", "half"), rng.IntN(2) == 0
	case 8:
		planned.prefix = pick("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9))
	case 9:
		planned.early = true
	case 10:
		headers := "Attempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: 5\r\n"
		planned.response = pick(
			unterminatedLine,
			"HTTP/1.1 2x0 OK\r\n\r\n",
			"HTTP/1.1 020 OK\r\nContent-Length: 99\r\n\r\nHTTP/1.1 200 OK\r\n"+headers+"\r\nwrong",
			"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n"+headers+"\r\nwrong",
			"HTTP/1.1 200 OK\r\n"+strings.Replace(headers, id, "another", 1)+"\r\nwrong",
			"HTTP/1.1 200 OK\r\n"+strings.Replace(headers, "Server-Seal: s\r\n", "", 1)+"\r\nwrong",
			"HTTP/1.1 200 OK\r\nNot-Executed: 1\r\n"+headers+"\r\nwrong",
			"HTTP/1.1 500 Oops\r\nNot-Executed: 1\r\nAttempt-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(3+len(id))+"\r\n\r\nid="+id,
			"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n"+headers+"\r\nwrong!",
			"HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nServer-Seal: s\r\n\r\nwrong",
			"HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\nz\r\n\r\n",
			"HTTP/1.1 503 Busy\r\nAttempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 429 Busy\r\nAttempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 408 Slow\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 500 Oops\r\nAttempt-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(3+len(id))+"\r\n\r\nid="+id)
	}
	return planned
}

// unterminatedLine is no valid response, and a reader has to wait for more, as its first line does not end.
const unterminatedLine = "\x16\x03\x01\x02\x00\x01\x00"

// strayResponse returns bytes that belong to no request, to be sent after the response to the given one.
func strayResponse(rng *rand.Rand, id string) string {
	head := []string{"HTTP/1.1 200 OK\r\nServer-Seal: s\r\n", "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n", "HTTP/1.1 421 Misdirected\r\n",
		"HTTP/1.1 500 Oops\r\n", "HTTP/1.1 404 Not Found\r\n"}[rng.IntN(5)]
	switch rng.IntN(5) {
	case 0:
		return "xyz"
	case 1:
		return head + "Attempt-Id: " + id + "\r\nContent-Length: 5\r\n\r\nstray"
	}
	return head + "Content-Length: 5\r\n\r\nstray"
}

// expectedBody returns the body of the regular response to a request: it contains the id, which also
// determines the length.
func expectedBody(id string) string {
	n := []int{0, 0, 3 << 10, maxHeldResponse + 5000}[newRand(0, "body", id).IntN(4)]
	return "id=" + id + ";" + strings.Repeat("0123456789abcdef", n/16)
}

func okResponseFor(id string, chunked bool) string {
	body := expectedBody(id)
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\n"
	if !chunked {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	half := len(body) / 2
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, half, body[:half], len(body)-half, body[half:])
}

func okResponseLen(id string, chunked bool) int { return len(okResponseFor(id, chunked)) }

// scenario is a generated test of clients, a gateway and fake upstreams. The seed determines what clients
// and upstreams do; the other fields record what happened.
type scenario struct {
	seed       int
	mu         sync.Mutex
	arrivals   map[string]int // by Attempt-Id
	executions map[string]int
	log        []string     // behaviors with a fault, for the failure message
	openConns  atomic.Int64 // open connections to upstreams that have carried a request
}

func (s *scenario) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

// endConn ends a connection by a reset, by closing it, or half by closing its sending direction. Any other
// value of how leaves it open.
func endConn(c net.Conn, how string) {
	switch how {
	case "reset":
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	case "close":
		c.Close()
	case "half":
		_ = c.(*net.TCPConn).CloseWrite()
	}
}

// serve acts as an upstream on one connection.
func (s *scenario) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var lateBytes, closeBy string
	for n := 0; ; n++ {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if n == 0 { // a connection without a request may be a trial connection of a scenario that has ended
			s.openConns.Add(1)
			defer s.openConns.Add(-1)
		}
		if closeBy != "" {
			endConn(c, closeBy)
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(headerAttemptID)
		s.mu.Lock()
		s.arrivals[id]++
		n := s.arrivals[id]
		s.mu.Unlock()
		planned := behaviorFor(s.seed, id, n)
		if !planned.isFaultless() {
			s.logf("arrival %d of %s: %v", n, id, planned)
		}
		if lateBytes != "" {
			_, _ = io.WriteString(c, lateBytes)
			time.Sleep(2 * time.Millisecond) // so that it arrives separately from the response
		}
		lateBytes = planned.lateBytes
		if !planned.early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return // an incomplete request is not executed
			}
		}
		if planned.refusal != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 "+planned.refusal+"Content-Length: 0\r\n\r\n")
		} else {
			s.mu.Lock()
			s.executions[id]++
			s.mu.Unlock()
			text := cmp.Or(planned.response, okResponseFor(id, planned.chunked))
			if planned.cutAt >= 0 {
				text = text[:planned.cutAt]
			}
			_, _ = io.WriteString(c, planned.prefix+text+planned.suffix)
			if planned.cutAt >= 0 {
				endConn(c, planned.cutBy)
				_, _ = io.Copy(io.Discard, reader)
				return
			}
		}
		if planned.early {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if planned.closeBy != "" && !planned.closeOnNext {
			endConn(c, planned.closeBy)
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		closeBy = planned.closeBy
	}
}

// isFaultless reports whether the first arrival of each request is handled without a fault, so that
// each has to succeed.
func (s *scenario) isFaultless() bool {
	for client := range clientsPerScenario {
		for n := range requestsPerClient {
			if !behaviorFor(s.seed, s.request(client, n).id, 1).isFaultless() {
				return false
			}
		}
	}
	return true
}

func (s *scenario) run(t *testing.T) {
	var upstreams []*fakeUpstream
	for i := range 3 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		upstreams = append(upstreams, &fakeUpstream{listener: l, id: fmt.Sprint("u", i)})
	}
	h := newHarnessWith(t, upstream.Config{Self: "d", Zone: "z", RetryRatio: 1, RetrySlack: 60, RetryWindow: 10 * time.Second,
		EjectTime: time.Millisecond, MaxEjectTime: 4 * time.Millisecond}, 2*time.Millisecond, upstreams...)
	defer s.shutDown(t, h)
	var failures []string
	var mu sync.Mutex
	failf := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		failures = append(failures, fmt.Sprintf(format, args...))
	}
	var refused []string
	var clients sync.WaitGroup
	for i := range clientsPerScenario {
		clients.Go(func() {
			ids := s.runClient(h.listener.listener.Addr().String(), i, failf)
			mu.Lock()
			defer mu.Unlock()
			refused = append(refused, ids...)
		})
	}
	clients.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range refused {
		if s.executions[id] > 0 {
			failf("%s was executed, although its response promised that it was not", id)
		}
	}
	for i := range clientsPerScenario {
		for n := range requestsPerClient {
			if req := s.request(i, n); req.mutating && s.executions[req.id] > 1 {
				failf("%s must not be executed more than once, and was executed %d times", req.id, s.executions[req.id])
			}
		}
	}
	if len(failures) > 0 {
		slices.Sort(failures)
		t.Errorf("CALLERS_SEED=%d: %s\nbehavior of the upstreams:\n%s", s.seed, strings.Join(failures, "\n"), strings.Join(s.log, "\n"))
	}
}

// shutDown shuts the gateway of the scenario down, and checks that all slots are freed and all connections
// to upstreams closed.
func (s *scenario) shutDown(t *testing.T, h *harness) {
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	h.listener.Shutdown(expired)
	for limit := time.Now().Add(20 * time.Second); h.busySlots() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Errorf("CALLERS_SEED=%d: %d slots at upstreams are still taken after 20 s", s.seed, h.busySlots())
			break
		}
	}
	h.setUpstreams() // closes the idle connections
	for limit := time.Now().Add(20 * time.Second); s.openConns.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Errorf("CALLERS_SEED=%d: %d connections to upstreams are still open after 20 s", s.seed, s.openConns.Load())
			break
		}
	}
	h.dispatcher.Do(func(time.Duration, *upstream.Balancer) { runtime.Goexit() }) // ends the dispatcher's goroutine
}
