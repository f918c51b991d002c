package proxy

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/upstream"
)

// What is left over on a connection that has been used must not be taken for the answer to
// its next request; a refusal, least of all, for leave to send that again.
func TestWhatIsLeftOverOnAConnection(t *testing.T) {
	for _, head := range []string{"503 Busy\r\nNot-Executed: 1", "429 Busy\r\nNot-Executed: 1", "421 Misdirected", "500 Oops", "404 Not Found"} {
		for path, want := range map[string]int{"/put/x": 502, "/get/x": 200} {
			t.Run(head[:3]+path, func(t *testing.T) {
				u := newUpstream(t, "u", func(c net.Conn, r *http.Request, n int) bool {
					if n == 2 { // the rest of the first answer comes only now
						_, _ = io.WriteString(c, "HTTP/1.1 "+head+"\r\nContent-Length: 5\r\n\r\nstray")
						time.Sleep(time.Millisecond)
					}
					return steady(c, r, n)
				})
				other := newUpstream(t, "v", steady)
				r := newRig(t, u)
				if res, _, err := r.say(t, "GET", get(path)); err != nil || res.StatusCode != 200 {
					t.Fatal(err, res)
				}
				r.list(u, other)
				res, body, err := r.say(t, "GET", get(path))
				if err != nil || res.StatusCode != want || body == "stray" {
					t.Fatalf("%v %v %q", err, res, body)
				}
				if n := len(u.requests()) + len(other.requests()); n > 2 && want == 502 {
					t.Errorf("sent %d times", n-1)
				}
			})
		}
	}
}

// Of an upstream that refuses without naming the request, a first refusal on a used
// connection may be left over; from then on each request gets a connection of its own,
// until it is seen to name what it refuses.
func TestRefusalsWithoutAName(t *testing.T) {
	full := func(head string) answerFn {
		return func(c net.Conn, r *http.Request, n int) bool {
			if n == 1 || n == 7 {
				return steady(c, r, n)
			}
			if n == 6 {
				head = "Attempt-Id: one\r\n"
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"+head+"Content-Length: 0\r\n\r\n")
			return true
		}
	}
	r := newRig(t, newUpstream(t, "u", full("")))
	for i, want := range []struct {
		status int
		dials  uint64
	}{{200, 1}, {502, 1}, {503, 2}, {503, 3}, {503, 4}, {503, 5}, {200, 5}} {
		res, _, err := r.say(t, "POST", post("/put/x", "b"))
		if err != nil || res.StatusCode != want.status || r.handler.Stats.Dials.Load() != want.dials {
			t.Errorf("%d: %v %v, %d dials", i+1, err, res.StatusCode, r.handler.Stats.Dials.Load())
		}
	}
}

// A request that may have run at its first upstream is not promised not to have, because
// a second one refuses it.
func TestARefusalAfterABreakPromisesNothing(t *testing.T) {
	var tries atomic.Int64
	answer := func(c net.Conn, _ *http.Request, _ int) bool {
		if tries.Add(1) == 2 {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return false
	}
	r := newRig(t, newUpstream(t, "u", answer), newUpstream(t, "v", answer))
	res, _, err := r.say(t, "GET", get("/get/x"))
	if err != nil || res.StatusCode != http.StatusBadGateway || tries.Load() != 2 {
		t.Fatalf("%v %v after %d tries", err, res, tries.Load())
	}
}

// An answer that comes before the body has been sent reaches a client that waits for it
// with the rest of its body in hand; so does the word that the upstream broke off.
func TestAnEarlyAnswerDoesNotWaitForTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		status int
	}{
		"refused":   {"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503},
		"answered":  {"HTTP/1.1 404 None\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n", 404},
		"broke off": {"", 502},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "u", func(conn net.Conn, _ *http.Request, _ int) bool {
				if c.answer != "" {
					_, _ = io.WriteString(conn, c.answer)
					_, _ = io.Copy(io.Discard, conn) // closed with bytes unread, it would be reset
				}
				return false
			})
			r := newRig(t, u)
			raw := strings.Replace(post("/put/x", strings.Repeat("y", 500000)), "Host:", "X-Early: 1\r\nHost:", 1)
			res, _, err := r.say(t, "POST", raw[:len(raw)-1000])
			if err != nil || res.StatusCode != c.status || !res.Close {
				t.Fatalf("%v %v", err, res)
			}
		})
	}
}

// A body may still be read while its request is answered: to read it, also beyond its
// limit, must leave the answer's headers alone.
func TestReadingABodyDoesNotTouchTheAnswer(t *testing.T) {
	f := newRig(t).handler
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		read := f.limits(func(x *Exchange) error {
			_, err := io.Copy(io.Discard, x.body)
			return err
		})
		err := read(&Exchange{w: w, r: r, table: f.Table()})
		if kind := apierror.KindOf(apierror.TooLarge(err)); kind != apierror.BodyTooLarge || len(w.Header()) > 0 {
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

// endless repeats some bytes for as long as anyone reads, up to 64 MB.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	if e.read > 64<<20 {
		return 0, io.EOF
	}
	n := copy(p, e.text)
	e.read += n
	return n, nil
}

func TestAnAnswerWithoutAnEndOfItsHead(t *testing.T) {
	for name, c := range map[string]struct{ head, text string }{
		"one line":        {"HTTP/1.1 200 ", "x"},
		"many fields":     {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early\r\n\r\n"},
	} {
		e := &endless{text: c.text}
		if _, err := newAnswers(io.MultiReader(strings.NewReader(c.head), e)).next("GET", "one"); err == nil || e.read > 2*answerHead {
			t.Errorf("%s: %v after %d bytes", name, err, e.read)
		}
	}
}

// The generated test plays small scenes: a few clients, each with a row of requests,
// and three upstreams that answer, break off, repeat themselves and babble as drawn.
// What an upstream does with the n-th arrival of a request depends on the seed, the
// request's id and n alone, so a scene is the same however its parts interleave.

const (
	scenes       = 300 // in CI; CALLERS_SEEDS plays more, CALLERS_SEED begins elsewhere
	sceneClients = 2
	sceneAsks    = 6
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
	n := []int{0, 0, 3 << 10, answerHeld + 5000}[drawn(0, "body", id).IntN(4)]
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
		id := r.Header.Get(hAttempt)
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

// ask is one request of a client's.
type ask struct {
	id       string
	mutating bool
	left     int  // Deadline-Left
	size     int  // of the body
	chunked  bool // so is the body
	expect   bool // it expects 100 Continue, though it does not wait for that
	hold     int  // bytes that it sends only once it has an answer or its patience ends
	patience time.Duration
	half     bool          // the client ends its side once all is sent
	fresh    bool          // over a new connection
	leave    string        // how the client leaves without waiting for its answer; empty: it stays
	stay     time.Duration // how long after it has sent all
}

func (s *scene) ask(client, n int) ask {
	r := drawn(s.seed, "ask", client, n)
	q := ask{id: fmt.Sprintf("%d.%d.%d", s.seed, client, n), left: 4000, mutating: r.IntN(3) > 0, fresh: r.IntN(5) == 0,
		size: []int{0, 0, 10, 20 << 10, 400 << 10}[r.IntN(5)], chunked: r.IntN(2) == 0, expect: r.IntN(4) == 0, half: r.IntN(12) == 0}
	for i := range 3 {
		if a := actFor(s.seed, q.id, i+1); a.end == "silence" || a.answer == lineless {
			q.left = 40
		}
	}
	if q.size > bodyBuffered && r.IntN(2) == 0 {
		q.hold, q.patience = r.IntN(50<<10)+1, 20*time.Millisecond
		if actFor(s.seed, q.id, 1).early {
			q.patience = 10 * time.Second
		}
	}
	if r.IntN(8) == 0 {
		q.leave, q.stay = []string{"close", "reset", "half"}[r.IntN(3)], time.Duration(r.IntN(3000))*time.Microsecond
	}
	return q
}

// text is the request as it is sent.
func (q *ask) text() []byte {
	var b bytes.Buffer
	method, path := "GET", "get"
	if q.size > 0 {
		method = "POST"
	}
	if q.mutating {
		path = "put"
	}
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Left: %d\r\n", method, path, q.id, q.left)
	if q.size > 0 && q.expect {
		b.WriteString("Expect: 100-continue\r\n")
	}
	body := bytes.Repeat([]byte("y"), q.size)
	switch {
	case q.size == 0:
		b.WriteString("\r\n")
	case q.chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", q.size, body)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", q.size, body)
	}
	return b.Bytes()
}

var idNamed = regexp.MustCompile(`id=([0-9.]+)`)

// client sends its requests one after the other and checks what it gets.
func (s *scene) client(address string, client int, wrong func(format string, args ...any)) (promised []string) {
	var c net.Conn
	var br *bufio.Reader
	clean := s.clean()
	for n := range sceneAsks {
		q := s.ask(client, n)
		if c != nil && q.fresh {
			c.Close()
			c = nil
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp4", address); err != nil {
				wrong("%v", err)
				return promised
			}
			br = bufio.NewReader(c)
		}
		got := make(chan struct{})
		var late atomic.Bool
		if q.leave != "" {
			_, _ = c.Write(q.text())
			time.Sleep(q.stay)
			hangUp(c, q.leave)
			if q.leave == "half" {
				_, _ = io.Copy(io.Discard, c)
			}
			c.Close()
			c = nil
			continue
		}
		go func(c net.Conn) {
			text := q.text()
			_, _ = c.Write(text[:len(text)-q.hold])
			if q.hold > 0 {
				select {
				case <-got:
				case <-time.After(q.patience):
					late.Store(q.patience > time.Second)
				}
				_, _ = c.Write(text[len(text)-q.hold:])
			}
			if q.half {
				_ = c.(*net.TCPConn).CloseWrite()
			}
		}(c)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		res, err := http.ReadResponse(br, nil)
		for err == nil && res.StatusCode == http.StatusContinue {
			res, err = http.ReadResponse(br, nil)
		}
		close(got)
		if late.Load() {
			wrong("%s got no answer before it had sent its whole body", q.id)
		}
		var body []byte
		if err == nil {
			body, err = io.ReadAll(res.Body)
		}
		if err != nil {
			if isTimeout(err) {
				wrong("%s got no answer in 20 s", q.id)
			}
			c.Close()
			c = nil
			continue
		}
		if id := res.Header.Get(hAttempt); id != q.id {
			wrong("%s got an answer to %q: %d %.60q", q.id, id, res.StatusCode, body)
		}
		for _, m := range idNamed.FindAllSubmatch(body[:min(len(body), 100)], -1) {
			if string(m[1]) != q.id {
				wrong("%s got a body of %s", q.id, m[1])
			}
		}
		switch res.StatusCode {
		case 200:
			if string(body) != bodyOf(q.id) || res.Header.Get(hSeal) != "s" {
				wrong("%s got a 200 with %d bytes, %.60q", q.id, len(body), body)
			}
		case 429, 503, 408, 421:
			promised = append(promised, q.id)
		case 500, 502, 504:
		default:
			wrong("%s got a %d with %.60q", q.id, res.StatusCode, body)
		}
		if bytes.Contains(body, []byte("stray")) || bytes.Contains(body, []byte("wrong")) {
			wrong("%s got %d with a body that is nobody's: %.60q", q.id, res.StatusCode, body)
		}
		if res.StatusCode != 200 && !q.half && clean {
			wrong("%s got a %d though nothing went wrong", q.id, res.StatusCode)
		}
		if res.Close || q.half || q.hold > 0 {
			c.Close()
			c = nil
		}
	}
	if c != nil {
		c.Close()
	}
	return promised
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

// What clients and upstreams may do to each other, drawn: no request that may run once
// runs twice, no client gets what is another's, or a part for the whole, or a promise
// that does not hold.
func TestTheRightCallerOnce(t *testing.T) {
	first, count := 1, scenes
	if n, err := strconv.Atoi(os.Getenv("CALLERS_SEEDS")); err == nil {
		count = n
	}
	if n, err := strconv.Atoi(os.Getenv("CALLERS_SEED")); err == nil {
		first, count = n, cmp.Or(count%scenes, 1)
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			(&scene{seed: seed, came: map[string]int{}, runs: map[string]int{}}).play(t)
		})
	}
}
