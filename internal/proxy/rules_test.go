package proxy

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

// ruleTable has routes of both kinds for each number of tries from 1 to 3.
func ruleTable() string {
	var routes []string
	for tries := 1; tries <= 3; tries++ {
		for _, kind := range []string{"idempotent", "mutating"} {
			routes = append(routes, fmt.Sprintf(`{"name":"%[1]s%[2]d","pathPrefix":"/%[1]s/%[2]d/","routeKind":%[1]q,"deadlineS":20,"targetLatencyS":10,"target":"a","maxTries":%[2]d,"generation":1}`, kind, tries))
		}
	}
	return `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}],
	 "limits":{"generation":1,"maxHeaderBytes":4096,"maxBodyBytes":1000000,"headerTimeoutS":5,"idleTimeoutS":60},
	 "domains":[{"authority":"h.example","hostRoutes":[` + strings.Join(routes, ",") + `]}]}}`
}

// BUDGET: one try of a client is sent to no more upstreams than its route allows, however they fail,
// and to each at most once.
func TestNoMoreUpstreamsThanTheRouteAllows(t *testing.T) {
	named := "Attempt-Id: one\r\n"
	for name, text := range map[string]string{
		"421":                            "HTTP/1.1 421 Misdirected\r\n" + named + "Content-Length: 0\r\n\r\n",
		"refused":                        "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + named + "Content-Length: 0\r\n\r\n",
		"refused with 429":               "HTTP/1.1 429 Busy\r\nNot-Executed: 1\r\n" + named + "Content-Length: 0\r\n\r\n",
		"closed":                         "",
		"interim answer, then closed":    "HTTP/1.1 103 Early Hints\r\n\r\n",
		"interim answer, then refused":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + named + "Content-Length: 0\r\n\r\n",
		"half an answer":                 "HTTP/1.1 200 OK\r\n" + named + "Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
		"no seal":                        "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 1\r\n\r\nx",
		"an answer of another request":   "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx",
		"an answer without an end":       "HTTP/1.1 200 OK\r\n" + named + "Server-Seal: s\r\n\r\nx",
		"bytes that are no answer":       "\x00\x01garbage\r\n\r\n",
		"an error of the upstream's own": "HTTP/1.1 500 Oops\r\n" + named + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ups []*server
			for i := range 5 {
				ups = append(ups, newUpstream(t, fmt.Sprint("u", i), func(c net.Conn, _ *http.Request, _ int) bool {
					_, _ = io.WriteString(c, text)
					return false
				}))
			}
			r := newRig(t, ups...)
			r.handler.SetTable(tableOf(t, ruleTable()))
			for _, kind := range []string{"idempotent", "mutating"} {
				for tries := 1; tries <= 3; tries++ {
					before := make([]int, len(ups))
					for i, u := range ups {
						before[i] = len(u.requests())
					}
					if _, _, err := r.say(t, "GET", get(fmt.Sprintf("/%s/%d/x", kind, tries))); err != nil {
						t.Fatal(err)
					}
					sent := 0
					for i, u := range ups {
						n := len(u.requests()) - before[i]
						if sent += n; n > 1 {
							t.Errorf("%s, %d tries: sent to one upstream %d times", kind, tries, n)
						}
					}
					if sent > tries {
						t.Errorf("%s: sent to %d upstreams where %d are allowed", kind, sent, tries)
					}
				}
			}
		})
	}
}

// BUDGET: an upstream is told the time that is left, of the client's and of the route's whichever is
// less, also one that gets the request late.
func TestUpstreamsAreToldTheTimeThatIsLeft(t *testing.T) {
	const hold = 700 * time.Millisecond
	var mu sync.Mutex
	var left []time.Duration
	answer := func(c net.Conn, r *http.Request, _ int) bool {
		ms, err := strconv.Atoi(r.Header.Get(headerDeadlineLeft))
		if err != nil {
			t.Errorf("Deadline-Left: %v", err)
		}
		mu.Lock()
		defer mu.Unlock()
		if left = append(left, time.Duration(ms)*time.Millisecond); len(left) == 1 {
			time.Sleep(hold)
			return false
		}
		return steady(c, r, 1)
	}
	for name, c := range map[string]struct {
		header string
		most   time.Duration
	}{
		"the client's":        {"Deadline-Left: 4000\r\n", 4 * time.Second},
		"the route's":         {"Deadline-Left: 40000\r\n", 20 * time.Second},
		"the route's, alone":  {"", 20 * time.Second},
		"one that is no time": {"Deadline-Left: soon\r\n", 20 * time.Second},
		"one below zero":      {"Deadline-Left: -5\r\n", 20 * time.Second},
		"one with a fraction": {"Deadline-Left: 4000.5\r\n", 4001 * time.Millisecond},
	} {
		mu.Lock()
		left = nil
		mu.Unlock()
		r := newRig(t, newUpstream(t, "u", answer), newUpstream(t, "v", answer))
		r.handler.SetTable(tableOf(t, ruleTable()))
		begin := time.Now()
		res, _, err := r.say(t, "GET", "GET /idempotent/2/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\n"+c.header+"\r\n")
		took := time.Since(begin)
		if err != nil || res.StatusCode != 200 || len(left) != 2 {
			t.Fatalf("%s: %v %v, sent %d times", name, err, res, len(left))
		}
		if left[0] > c.most || left[0] < c.most-took || left[1] > c.most-hold || left[1] > left[0]-hold {
			t.Errorf("%s: told %v", name, left)
		}
	}
}

// MIXED: an answer of this gateway's own bears nothing of an upstream's.
func TestOurOwnAnswersBearNoSeal(t *testing.T) {
	named := "Attempt-Id: one\r\nServer-Seal: s\r\nX-Theirs: 1\r\n"
	for name, text := range map[string]string{
		"a refusal that bears a seal":   "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n" + named + "Content-Length: 4\r\n\r\nbusy",
		"a promise that does not hold":  "HTTP/1.1 503 Busy\r\n" + named + "Content-Length: 4\r\n\r\nbusy",
		"another":                       "HTTP/1.1 429 Busy\r\n" + named + "Content-Length: 4\r\n\r\nbusy",
		"a status that is ours to give": "HTTP/1.1 408 Slow\r\n" + named + "Content-Length: 4\r\n\r\nslow",
		"421":                           "HTTP/1.1 421 Misdirected\r\n" + named + "Content-Length: 4\r\n\r\nelse",
		"half an answer":                "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 9\r\n\r\nhalf",
		"half of a failure":             "HTTP/1.1 500 Oops\r\n" + named + "Content-Length: 9\r\n\r\nhalf",
		"no length":                     "HTTP/1.1 200 OK\r\n" + named + "\r\nwhole",
	} {
		u := newUpstream(t, "u", func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(c, text)
			return false
		})
		r := newRig(t, u)
		res, body, err := r.say(t, "GET", get("/put/x"))
		if err != nil || res.StatusCode < 500 {
			t.Errorf("%s: %v %v", name, err, res)
			continue
		}
		if res.Header.Get(headerServerSeal) != "" || res.Header.Get("X-Theirs") != "" || !strings.HasPrefix(body, "{") {
			t.Errorf("%s: %v %q", name, res.Header, body)
		}
	}
}

// LOST: a request that came on a kept connection and was passed on is answered before that
// connection closes, whatever its upstream does.
func TestAKeptConnectionIsNotClosedUnanswered(t *testing.T) {
	var n atomic.Int64
	texts := []string{"", "\x00", "HTTP/1.1 103 Early\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 500 Oops\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		i := int(n.Add(1))
		if i%2 == 0 {
			return steady(c, r, 1)
		}
		_, _ = io.WriteString(c, texts[i/2%len(texts)])
		if i%4 == 1 {
			reset(c.(*net.TCPConn))
		}
		return false
	})
	r := newRig(t, u)
	var client net.Conn
	var br *bufio.Reader
	unanswered := 0
	for i := range 60 {
		if client == nil {
			client = dialRig(t, r)
			br = bufio.NewReader(client)
		}
		path := []string{"/get/x", "/put/x"}[i%2]
		send(t, client, get(path))
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			unanswered++
			client = nil
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if res.Close {
			client.Close()
			client = nil
		}
	}
	if unanswered > 0 || n.Load() < 30 {
		t.Errorf("%d of 60 requests have no answer; %d were passed on", unanswered, n.Load())
	}
}

// UNASKED: an upstream that answers early and reads on gets the rest of that body on its connection,
// or nothing: never another request.
func TestAnUpstreamThatReadsOnAfterAnEarlyAnswer(t *testing.T) {
	body := strings.Repeat("0123456789", 60<<10)
	wrong := make(chan string, 10)
	early := make(chan struct{})
	u := newUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("X-Early") == "" {
			return steady(c, r, 1)
		}
		_, _ = io.WriteString(c, ok(r, "early"))
		<-early
		got, _ := io.ReadAll(r.Body)
		if !strings.HasPrefix(body, string(got)) {
			wrong <- fmt.Sprintf("%d bytes, the last are %.60q", len(got), got[max(0, len(got)-60):])
		}
		close(wrong)
		return true
	})
	r := newRig(t, u)
	raw := strings.Replace(post("/put/x", body), "Host:", "X-Early: 1\r\nHost:", 1)
	client := dialRig(t, r)
	defer client.Close()
	send(t, client, raw[:300<<10])
	res, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(err, res)
	}
	for range 4 {
		if res, _, err := r.say(t, "GET", get("/put/x")); err != nil || res.StatusCode != http.StatusOK {
			t.Fatal(err, res)
		}
	}
	close(early)
	for text := range wrong {
		t.Error(text)
	}
}
