package proxy

// This file holds the clients of a drawn scene.

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
	if q.size > maxBufferedBody && r.IntN(2) == 0 {
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
		if id := res.Header.Get(headerAttemptID); id != q.id {
			wrong("%s got an answer to %q: %d %.60q", q.id, id, res.StatusCode, body)
		}
		for _, m := range idNamed.FindAllSubmatch(body[:min(len(body), 100)], -1) {
			if string(m[1]) != q.id {
				wrong("%s got a body of %s", q.id, m[1])
			}
		}
		switch res.StatusCode {
		case 200:
			if string(body) != bodyOf(q.id) || res.Header.Get(headerServerSeal) != "s" {
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
