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
	requestInterval = 60 * time.Millisecond
	// responseTimeout is how long a client waits for a response.
	responseTimeout = 8 * time.Second
	// abandonedShare is the share of requests whose client closes the connection before the response.
	abandonedShare = 0.02
	// confirmBodyBytes is the length of the body of non-idempotent requests.
	confirmBodyBytes = 2000
)

// runClient sends requests to the gateway of one machine. It reuses the connection for as long as that is open.
func (env *environment) runClient(ctx context.Context, m *machine, index int) {
	var conn net.Conn
	var reader *bufio.Reader
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
				sleep(ctx, 2*requestInterval)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		req := randomRequest(m.index, fmt.Sprintf("m%d-c%d-%d", m.index, index, n))
		req.abandoned = rand.Float64() < abandonedShare
		if !env.sendRequest(conn, reader, req) {
			conn.Close()
			conn = nil
		}
		sleep(ctx, requestInterval)
	}
}

// randomRequest draws the route of a request.
func randomRequest(machine int, attempt string) *request {
	req := &request{attempt: attempt, machine: machine, method: http.MethodGet, path: "/lookup/" + attempt}
	switch draw := rand.Float64(); {
	case draw < 0.3:
		req.method, req.path = http.MethodPost, "/confirm/"+attempt
	case draw < 0.5:
		req.path = changedPrefix + attempt
	}
	return req
}

// sendRequest sends a request and records the response. It reports whether the connection can be reused.
func (env *environment) sendRequest(conn net.Conn, reader *bufio.Reader, req *request) (reusable bool) {
	body := ""
	if !req.idempotent() {
		body = strings.Repeat("b", confirmBodyBytes)
	}
	env.recordSent(req)
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: booking.example\r\nAttempt-Id: %s\r\nDeadline-Left: 1000\r\nContent-Length: %d\r\n\r\n%s",
		req.method, req.path, req.attempt, len(body), body)
	if err != nil || req.abandoned {
		env.history.recordEnd(req, func(r *request) {})
		return false
	}
	res, text, err := readResponse(reader)
	env.history.recordEnd(req, func(r *request) {
		if err == nil {
			r.status, r.body = res.StatusCode, text
			r.seal, r.responseAttempt = res.Header.Get("Server-Seal"), res.Header.Get("Attempt-Id")
		}
	})
	return err == nil && !res.Close
}

func readResponse(reader *bufio.Reader) (*http.Response, string, error) {
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res, string(text), err
}

// sleep waits for duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
