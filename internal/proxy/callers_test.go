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
		read := f.limitBody(func(x *Exchange) error {
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
		if _, err := newResponseReader(io.MultiReader(strings.NewReader(c.head), e)).readHeadFor("GET", "one"); err == nil || e.read > 2*maxResponseHead {
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
