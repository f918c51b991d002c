package proxy

// This file sends a request to an upstream and reads the beginning of its response.

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"madderwing/internal/upstream"
)

// result is the result of one attempt at an upstream.
type result struct {
	response       *http.Response
	conn           *upstream.Conn
	bodyStart      []byte // the beginning of the body; all of it if complete
	complete       bool
	err            error // why there is no valid response
	unsent         bool  // the upstream has certainly not received the request
	deadlinePassed bool
	disconnected   bool  // the attempt was ended because the client disconnected
	requestErr     error // why the request could not be sent completely, if known
	// stopClose cancels the closing of the connection on a disconnect of the client, and reports false
	// if it has been closed already. It is nil if nothing closes the connection.
	stopClose func() bool
}

// bodySize returns the length of the response's body, -1 if it is not known yet.
func (r result) bodySize() int64 {
	if r.complete {
		return int64(len(r.bodyStart))
	}
	return r.response.ContentLength
}

const (
	maxBufferedBody = 256 << 10 // request bodies up to this many bytes are kept for retries
	maxResponseHead = 256 << 10 // limit in bytes of a response's head, 1xx responses included
	maxHeldResponse = 64 << 10  // response bodies up to this many bytes are read completely before any is passed on
	maxSingleWrite  = 16 << 10  // request bodies up to this many bytes are written together with the head
)

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send sends the request to the upstream of a lease and reads the beginning of its response.
func (h *Handler) send(x *Exchange, lease upstream.SlotLease) (res result) {
	conn, failed := h.connection(x, lease)
	if failed != nil {
		return *failed
	}
	x.stage, x.sent = stageSent, true
	_ = conn.SetDeadline(x.deadline)
	lease.WaitHandle.SetConn(conn)
	res.conn, res.stopClose = conn, x.closeOnDisconnect(conn)
	defer func() { res.disconnected = res.err != nil && x.abortsOnDisconnect() && x.clientDisconnected() }()
	sent, written := h.writeRequest(x, lease.ID, &res)
	if written {
		h.readResponse(x, lease, sent, &res)
	}
	return res
}

// connection returns the connection to send a request over: the idle one of the lease if it is still
// usable, otherwise a new one. A connection that has been used before needs an Attempt-Id and an
// upstream that returns it: without one, a late response to an earlier request could be mistaken for
// the response to this one. failed is set if nothing is to be sent.
func (h *Handler) connection(x *Exchange, lease upstream.SlotLease) (conn *upstream.Conn, failed *result) {
	conn = lease.Conn
	if conn != nil && (x.attemptID == "" || lease.Upstream.AnonymousRefusals.Load() || !idleAndOpen(conn)) {
		conn.Close()
		conn = nil
	}
	if conn == nil {
		x.stage = stageDial
		var err error
		timeout := min(dialTimeout(x.latencyTarget, h.dispatcher.peerTimeout), time.Until(x.deadline))
		if conn, err = h.dispatcher.dial(x.r.Context(), lease.Address, timeout); err != nil {
			return nil, &result{err: err, unsent: true, disconnected: x.clientDisconnected()}
		}
		h.Stats.Dials.Add(1)
	}
	if x.clientDisconnected() {
		return nil, &result{conn: conn, unsent: true, disconnected: true}
	}
	if time.Until(x.deadline) < time.Millisecond {
		return nil, &result{conn: conn, err: os.ErrDeadlineExceeded, unsent: true, deadlinePassed: true}
	}
	return conn, nil
}

// writeRequest writes the request to the connection in res; a long body is written in the background.
// sent receives the result of the write once. written is false if the write failed and no response is
// to be expected; res then holds the error, and unsent if not a byte was written.
func (h *Handler) writeRequest(x *Exchange, instance string, res *result) (sent chan error, written bool) {
	conn := res.conn
	head := headBuffers.Get().(*bytes.Buffer)
	head.Reset()
	defer headBuffers.Put(head)
	x.writeHead(head, instance, time.Until(x.deadline))
	sent = make(chan error, 1)
	if x.hasBody && (x.bufferedBody == nil || len(x.bufferedBody) > maxSingleWrite) {
		x.watchClose() // net/http does not notice a disconnect until all of the body is read
		go x.streamInBackground(conn, bytes.Clone(head.Bytes()), sent)
		return sent, true
	}
	if x.hasBody {
		x.writeBufferedBody(head)
	}
	n, err := conn.Write(head.Bytes())
	if err != nil && (n == 0 || !x.hasBody) {
		res.err, res.unsent = err, n == 0
		conn.Close()
		return nil, false
	}
	sent <- err
	return sent, true
}

// streamInBackground writes the head and a long body, and reports the result on sent.
func (x *Exchange) streamInBackground(conn net.Conn, head []byte, sent chan<- error) {
	err := x.streamRequest(conn, head)
	x.bodySent.Store(err == nil)
	sent <- err
	if err != nil {
		conn.Close() // the upstream must not take a truncated body for a complete one
	}
}

// readResponse reads the head of the response and up to maxHeldResponse bytes of its body into res.
func (h *Handler) readResponse(x *Exchange, lease upstream.SlotLease, sent <-chan error, res *result) {
	conn := res.conn
	response, err := conn.Reader.(*responseReader).readHeadFor(x.r.Method, x.attemptID)
	switch {
	case err == errNoAttemptID, err == nil && response.Header.Get(headerAttemptID) != x.attemptID:
		lease.Upstream.AnonymousRefusals.Store(true)
	case err == nil && notExecuted(response):
		lease.Upstream.AnonymousRefusals.Store(false)
	}
	if err != nil {
		res.err, res.deadlinePassed = err, isTimeout(err) && time.Until(x.deadline) <= 0
		select {
		case res.requestErr = <-sent: // the cause may be that the client's body ended early
		default:
		}
		conn.Close()
		return
	}
	res.response = response
	lease.WaitHandle.SetConn(nil) // a response has begun; the balancer must not interrupt it
	// Read as much as is held back, so that a truncated response is recognized before any of it reaches
	// the client.
	res.bodyStart, res.complete, err = readBodyStart(response)
	if err != nil {
		res.err, res.deadlinePassed = err, isTimeout(err) && time.Until(x.deadline) <= 0
		conn.Close()
		return
	}
	if !res.complete {
		h.dispatcher.Do(func(now time.Duration, b *upstream.Balancer) { b.ResponseStarted(now, lease) })
	}
	select {
	case err := <-sent:
		if err != nil {
			response.Close = true
		}
	default:
		response.Close = true // the response came before the request was sent completely
	}
}
