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

// act is what an upstream does with one arrival. The zero act answers in full.
type act struct {
	refuse  string // the head of a refusal; the request does not run
	before  string // sent before the answer: interim answers, or a head that is none
	answer  string // in the place of the answer, the request having run
	cut     int    // the answer ends before this byte; -1: it does not
	end     string // how: reset, close, half, silence
	early   bool   // it answers before it has read the body
	extra   string // sent after the answer
	late    string // sent when the connection's next request has come, before anything else
	then    string // done to the connection after the answer: reset, close, half
	gulp    bool   // with then: only once the next request has come, which does not run
	chunked bool
}

func (a act) plain() bool { return a == act{cut: -1} || a == act{cut: -1, chunked: true} }

func (a act) String() string {
	var out []string
	say := func(is bool, format string, args ...any) {
		if is {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	say(a.refuse != "", "refuses with %q", a.refuse)
	say(a.before != "", "sends %.40q before", a.before)
	say(a.early, "does not wait for the body")
	say(a.answer != "", "answers %q", a.answer)
	say(a.cut >= 0, "%s at byte %d", a.end, a.cut)
	say(a.extra != "", "sends %q more", a.extra)
	say(a.late != "", "sends %q once the next request has come", a.late)
	say(a.then != "", "%s after it, once the next has come: %v", a.then, a.gulp)
	return strings.Join(out, ", ")
}

// drawn makes the random source of one thing in a scene.
func drawn(seed int, of ...any) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, of...)
	return rand.New(rand.NewPCG(uint64(seed), h.Sum64()))
}

// actFor draws what an upstream does with the n-th arrival of a request.
func actFor(seed int, id string, n int) act {
	r := drawn(seed, "act", id, n)
	pick := func(of ...string) string { return of[r.IntN(len(of))] }
	a := act{cut: -1, chunked: r.IntN(3) == 0}
	named := ""
	if r.IntN(2) == 0 {
		named = "Attempt-Id: " + id + "\r\n"
	}
	switch r.IntN(11) {
	case 0, 1, 2: // as it should be
	case 3:
		a.refuse = pick("503 Busy", "429 Busy", "421 Misdirected", "400 Bad") + "\r\nNot-Executed: 1\r\n" + named
		a.early = r.IntN(2) == 0
	case 4:
		a.cut, a.end = r.IntN(answerLen(id, a.chunked)), pick("reset", "close", "half", "silence")
		if r.IntN(3) == 0 {
			a.cut = 0
		}
	case 5:
		a.extra = strayAnswer(r, id)
	case 6:
		a.late = strayAnswer(r, id)
	case 7:
		a.then, a.gulp = pick("reset", "close", "half"), r.IntN(2) == 0
	case 8:
		a.before = pick("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9))
	case 9:
		a.early = true
	case 10:
		whole := "Attempt-Id: " + id + "\r\nServer-Seal: s\r\nContent-Length: 5\r\n"
		a.answer = pick(
			lineless,
			"HTTP/1.1 2x0 OK\r\n\r\n",
			"HTTP/1.1 020 OK\r\nContent-Length: 99\r\n\r\nHTTP/1.1 200 OK\r\n"+whole+"\r\nwrong",
			"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n"+whole+"\r\nwrong",
			"HTTP/1.1 200 OK\r\n"+strings.Replace(whole, id, "another", 1)+"\r\nwrong",
			"HTTP/1.1 200 OK\r\n"+strings.Replace(whole, "Server-Seal: s\r\n", "", 1)+"\r\nwrong",
			"HTTP/1.1 200 OK\r\nNot-Executed: 1\r\n"+whole+"\r\nwrong",
			"HTTP/1.1 500 Oops\r\nNot-Executed: 1\r\nAttempt-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(3+len(id))+"\r\n\r\nid="+id,
			"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n"+whole+"\r\nwrong!",
			"HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nServer-Seal: s\r\n\r\nwrong",
			"HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\nz\r\n\r\n",
			"HTTP/1.1 503 Busy\r\nAttempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 429 Busy\r\nAttempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 408 Slow\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 500 Oops\r\nAttempt-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(3+len(id))+"\r\n\r\nid="+id)
	}
	return a
}

// lineless is no answer, nor ever will be: no line of it ends.
const lineless = "\x16\x03\x01\x02\x00\x01\x00"

// strayAnswer is bytes that belong to no request, after one with the given id.
func strayAnswer(r *rand.Rand, id string) string {
	head := []string{"HTTP/1.1 200 OK\r\nServer-Seal: s\r\n", "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n", "HTTP/1.1 421 Misdirected\r\n",
		"HTTP/1.1 500 Oops\r\n", "HTTP/1.1 404 Not Found\r\n"}[r.IntN(5)]
	switch r.IntN(5) {
	case 0:
		return "xyz"
	case 1:
		return head + "Attempt-Id: " + id + "\r\nContent-Length: 5\r\n\r\nstray"
	}
	return head + "Content-Length: 5\r\n\r\nstray"
}

// bodyOf is the body that answers a request: it names the id, and its length follows
// from it.
func bodyOf(id string) string {
	n := []int{0, 0, 3 << 10, maxHeldResponse + 5000}[drawn(0, "body", id).IntN(4)]
	return "id=" + id + ";" + strings.Repeat("0123456789abcdef", n/16)
}

func answerTo(id string, chunked bool) string {
	body := bodyOf(id)
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\n"
	if !chunked {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	half := len(body) / 2
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, half, body[:half], len(body)-half, body[half:])
}

func answerLen(id string, chunked bool) int { return len(answerTo(id, chunked)) }

// scene is one seed's play.
type scene struct {
	seed int
	mu   sync.Mutex
	came map[string]int // arrivals by Attempt-Id
	runs map[string]int
	told []string     // what the upstreams did
	open atomic.Int64 // connections that have brought a request
}

func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, fmt.Sprintf(format, args...))
}

func hangUp(c net.Conn, how string) {
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

// serve plays an upstream on one connection.
func (s *scene) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var late, then string
	for n := 0; ; n++ {
		if _, err := br.Peek(1); err != nil {
			return
		}
		if n == 0 { // what brings nothing may be a trial of a scene that has ended
			s.open.Add(1)
			defer s.open.Add(-1)
		}
		if then != "" {
			hangUp(c, then)
			_, _ = io.Copy(io.Discard, br)
			return
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get(headerAttemptID)
		s.mu.Lock()
		s.came[id]++
		n := s.came[id]
		s.mu.Unlock()
		a := actFor(s.seed, id, n)
		if !a.plain() {
			s.note("arrival %d of %s: %v", n, id, a)
		}
		if late != "" {
			_, _ = io.WriteString(c, late)
			time.Sleep(2 * time.Millisecond) // so that it comes by itself
		}
		late = a.late
		if !a.early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return // a part of a request does not run
			}
		}
		if a.refuse != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 "+a.refuse+"Content-Length: 0\r\n\r\n")
		} else {
			s.mu.Lock()
			s.runs[id]++
			s.mu.Unlock()
			text := cmp.Or(a.answer, answerTo(id, a.chunked))
			if a.cut >= 0 {
				text = text[:a.cut]
			}
			_, _ = io.WriteString(c, a.before+text+a.extra)
			if a.cut >= 0 {
				hangUp(c, a.end)
				_, _ = io.Copy(io.Discard, br)
				return
			}
		}
		if a.early {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if a.then != "" && !a.gulp {
			hangUp(c, a.then)
			_, _ = io.Copy(io.Discard, br)
			return
		}
		then = a.then
	}
}

// clean says whether nothing in the whole scene goes wrong, so that each request has
// to succeed.
func (s *scene) clean() bool {
	for client := range sceneClients {
		for n := range sceneAsks {
			if !actFor(s.seed, s.ask(client, n).id, 1).plain() {
				return false
			}
		}
	}
	return true
}

func (s *scene) play(t *testing.T) {
	var ups []*server
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
		ups = append(ups, &server{l: l, id: fmt.Sprint("u", i)})
	}
	r := newRigOf(t, upstream.Config{Self: "d", Zone: "z", RetryRatio: 1, RetrySlack: 60, Window: 10 * time.Second,
		Eject: time.Millisecond, EjectMax: 4 * time.Millisecond}, 2*time.Millisecond, ups...)
	defer s.end(t, r)
	var wrongs []string
	var mu sync.Mutex
	wrong := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		wrongs = append(wrongs, fmt.Sprintf(format, args...))
	}
	var promised []string
	var all sync.WaitGroup
	for i := range sceneClients {
		all.Go(func() {
			p := s.client(r.listener.listener.Addr().String(), i, wrong)
			mu.Lock()
			defer mu.Unlock()
			promised = append(promised, p...)
		})
	}
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range promised {
		if s.runs[id] > 0 {
			wrong("%s was promised not to run, and ran", id)
		}
	}
	for i := range sceneClients {
		for n := range sceneAsks {
			if q := s.ask(i, n); q.mutating && s.runs[q.id] > 1 {
				wrong("%s may run once and ran %d times", q.id, s.runs[q.id])
			}
		}
	}
	if len(wrongs) > 0 {
		slices.Sort(wrongs)
		t.Errorf("CALLERS_SEED=%d: %s\nupstreams:\n%s", s.seed, strings.Join(wrongs, "\n"), strings.Join(s.told, "\n"))
	}
}

// end ends a scene's rig, which must then have closed all connections to upstreams.
func (s *scene) end(t *testing.T, r *rig) {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	r.listener.Shutdown(over)
	for until := time.Now().Add(20 * time.Second); r.busySlots() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Errorf("CALLERS_SEED=%d: %d slots of upstreams are never free again", s.seed, r.busySlots())
			break
		}
	}
	r.list() // what rests is closed
	for until := time.Now().Add(20 * time.Second); s.open.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Errorf("CALLERS_SEED=%d: %d connections to upstreams are never closed", s.seed, s.open.Load())
			break
		}
	}
	r.dispatcher.Do(func(time.Duration, *upstream.Balancer) { runtime.Goexit() }) // the dispatcher's own goroutine
}
