package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	requestPause = 60 * time.Millisecond
	// answerWait is for how long a client waits on a connection that stays open.
	answerWait = 8 * time.Second
	// leavingPart is the part of the requests whose client goes away before the answer.
	leavingPart = 0.02
	// confirmBytes is how long the body of a request is that may run once.
	confirmBytes = 2000
)

// client sends requests to one machine on a connection that it keeps until that ends.
func (w *world) client(ctx context.Context, m *machine, number int) {
	var conn net.Conn
	var in *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", m.frontAddress(), time.Second); err != nil {
				conn = nil
				pause(ctx, 2*requestPause)
				continue
			}
			in = bufio.NewReader(conn)
		}
		r := drawRequest(m.index, fmt.Sprintf("m%d-c%d-%d", m.index, number, n))
		r.left = rand.Float64() < leavingPart
		if !w.ask(conn, in, r) {
			conn.Close()
			conn = nil
		}
		pause(ctx, requestPause)
	}
}

// drawRequest draws what a client asks for.
func drawRequest(machine int, attempt string) *request {
	r := &request{attempt: attempt, machine: machine, method: http.MethodGet, path: "/lookup/" + attempt}
	switch p := rand.Float64(); {
	case p < 0.3:
		r.method, r.path = http.MethodPost, "/confirm/"+attempt
	case p < 0.5:
		r.path = changedPrefix + attempt
	}
	return r
}

// ask sends one request, and says whether the connection can be used on.
func (w *world) ask(conn net.Conn, in *bufio.Reader, r *request) (open bool) {
	body := ""
	if !r.repeatable() {
		body = strings.Repeat("b", confirmBytes)
	}
	w.begin(r)
	_ = conn.SetDeadline(time.Now().Add(answerWait))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: booking.example\r\nAttempt-Id: %s\r\nDeadline-Left: 1000\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.path, r.attempt, len(body), body)
	if err != nil || r.left {
		w.history.end(r, func(r *request) {})
		return false
	}
	res, text, err := readAnswer(in)
	w.history.end(r, func(r *request) {
		if err == nil {
			r.status, r.body = res.StatusCode, text
			r.seal, r.about = res.Header.Get("Server-Seal"), res.Header.Get("Attempt-Id")
		}
	})
	return err == nil && !res.Close
}

func readAnswer(in *bufio.Reader) (*http.Response, string, error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res, string(text), err
}

// pause waits, no longer than ctx.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
