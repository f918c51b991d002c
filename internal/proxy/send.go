package proxy

// This file sends a request to an upstream and reads the beginning of its answer.

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"madderwing/internal/upstream"
)

// result is how one sending went.
type result struct {
	response *http.Response
	conn     *upstream.Conn
	start    []byte // the beginning of the body, or all of it if whole
	whole    bool
	broke    error // no answer, or a broken one
	untried  bool  // the upstream certainly has not got the request
	late     bool  // the deadline passed
	left     bool  // the client left, and the sending was ended for that
	client   error // why the request could not be sent whole, if that is known
	// unwatch ends the closing of the connection when the client leaves, and says whether the
	// connection was left alone; nil: nothing closes it.
	unwatch func() bool
}

// size is the length of an answer's body, -1 if that is not known yet.
func (r result) size() int64 {
	if r.whole {
		return int64(len(r.start))
	}
	return r.response.ContentLength
}

const (
	bodyBuffered = 256 << 10 // request bodies up to this size are held for a second upstream
	answerHead   = 256 << 10 // the head of an answer, with interim answers, may be no larger
	answerHeld   = 64 << 10  // answers up to this size are read whole before they are passed on
	sentAtOnce   = 16 << 10  // bodies up to this size are sent together with the head
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send writes the request to an upstream and reads its answer.
func (f *Handler) send(x *Exchange, g upstream.SlotLease) (res result) {
	conn, failed := f.connectionFor(x, g)
	if failed != nil {
		return *failed
	}
	x.stage, x.sent = stageSent, true
	_ = conn.SetDeadline(x.deadline)
	g.Hold.On(conn)
	res.conn, res.unwatch = conn, x.closeWhenClientLeaves(conn)
	defer func() { res.left = res.broke != nil && x.endsWithClient() && x.clientLeft() }()
	sent, ok := f.transmit(x, g.ID, &res)
	if ok {
		f.receive(x, g, sent, &res)
	}
	return res
}

// connectionFor gives the connection that a request is sent over: the idle one that came with the
// slot if it can still be used, or a new one. failed says why nothing is to be sent.
func (f *Handler) connectionFor(x *Exchange, g upstream.SlotLease) (conn *upstream.Conn, failed *result) {
	conn = g.Conn
	if conn != nil && (x.attempt == "" || g.Upstream.Nameless.Load() || !quiet(conn)) {
		conn.Close()
		conn = nil
	}
	if conn == nil {
		x.stage = stageDial
		var err error
		limit := min(dialLimit(x.aim, f.dispatcher.patience), time.Until(x.deadline))
		if conn, err = f.dispatcher.dial(x.r.Context(), g.Address, limit); err != nil {
			return nil, &result{broke: err, untried: true, left: x.clientLeft()}
		}
		f.Stats.Dials.Add(1)
	}
	if x.clientLeft() {
		return nil, &result{conn: conn, untried: true, left: true}
	}
	if time.Until(x.deadline) < time.Millisecond {
		return nil, &result{conn: conn, broke: os.ErrDeadlineExceeded, untried: true, late: true}
	}
	return conn, nil
}

// transmit sends the request over the connection of a result; a long body is sent in the background.
// sent tells once how that ended. ok is false if the connection took nothing.
func (f *Handler) transmit(x *Exchange, id string, res *result) (sent chan error, ok bool) {
	conn := res.conn
	head := buffers.Get().(*bytes.Buffer)
	head.Reset()
	defer buffers.Put(head)
	x.writeHead(head, id, time.Until(x.deadline))
	sent = make(chan error, 1)
	if x.hasBody && (x.bufferedBody == nil || len(x.bufferedBody) > sentAtOnce) {
		x.watchClose() // until all of the body is read, net/http does not see the client leave
		go x.streamInBackground(conn, bytes.Clone(head.Bytes()), sent)
		return sent, true
	}
	if x.hasBody {
		x.writeBufferedBody(head)
	}
	n, err := conn.Write(head.Bytes())
	if err != nil && (n == 0 || !x.hasBody) {
		res.broke, res.untried = err, n == 0
		conn.Close()
		return nil, false
	}
	sent <- err
	return sent, true
}

// streamInBackground sends the head and a long body, and tells how that ended.
func (x *Exchange) streamInBackground(conn net.Conn, head []byte, sent chan<- error) {
	err := x.stream(conn, head)
	x.bodySent.Store(err == nil)
	sent <- err
	if err != nil {
		conn.Close() // the upstream must not take the part for the whole
	}
}

// receive reads the head of the answer, and of its body what is held before any of it is passed on.
func (f *Handler) receive(x *Exchange, g upstream.SlotLease, sent <-chan error, res *result) {
	conn := res.conn
	r, err := conn.Reader.(*answers).next(x.r.Method, x.attempt)
	switch {
	case err == errNameless, err == nil && r.Header.Get(hAttempt) != x.attempt:
		g.Upstream.Nameless.Store(true)
	case err == nil && refused(r):
		g.Upstream.Nameless.Store(false)
	}
	if err != nil {
		res.broke, res.late = err, isTimeout(err) && time.Until(x.deadline) <= 0
		select {
		case res.client = <-sent: // it may be the client's body that broke off
		default:
		}
		conn.Close()
		return
	}
	res.response = r
	g.Hold.On(nil) // it answers, and that is not to be cut short
	// Read what fits, so that an answer cut short can be told from a whole one
	// before the client sees any of it.
	res.start, res.whole, err = begin(r)
	if err != nil {
		res.broke, res.late = err, isTimeout(err) && time.Until(x.deadline) <= 0
		conn.Close()
		return
	}
	if !res.whole {
		f.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) { s.Answering(now, g) })
	}
	select {
	case err := <-sent:
		if err != nil {
			r.Close = true
		}
	default:
		r.Close = true // the answer came before the request was all sent
	}
}
