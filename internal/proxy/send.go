package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"madderwing/internal/upstream"
)

// The headers that are madderwing's concern.
const (
	hAttempt  = "Attempt-Id"
	hDeadline = "Deadline-Left"
	hTarget   = "Target-Instance"
	hSeal     = "Server-Seal"
	hNotRun   = "Not-Executed"
	hInstance = "Instance-Id"
	hWarmup   = "Warmup-Left"
	hTenant   = "Tenant"
	hLoad     = "Instance-Load"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// connectionNamed lists the headers that Connection names.
func connectionNamed(h http.Header) map[string]bool {
	var out map[string]bool
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name != "" && name != "Close" && name != "Keep-Alive" {
				if out == nil {
					out = map[string]bool{}
				}
				out[name] = true
			}
		}
	}
	return out
}

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
	bodyHeld   = 256 << 10 // request bodies up to this size are held for a second upstream
	answerHead = 256 << 10 // the head of an answer, with interim answers, may be no larger
	answerHeld = 64 << 10  // answers up to this size are read whole before they are passed on
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// send writes the request to an upstream and reads its answer.
func (f *Handler) send(x *Exchange, g upstream.SlotLease) (res result) {
	conn := g.Conn
	if conn != nil && (x.attempt == "" || g.Upstream.Nameless.Load() || !quiet(conn)) {
		conn.Close()
		conn = nil
	}
	if conn == nil {
		x.stage = stageDial
		var err error
		limit := min(dialLimit(x.aim, f.dispatcher.patience), time.Until(x.deadline))
		if conn, err = f.dispatcher.dial(x.r.Context(), g.Address, limit); err != nil {
			return result{broke: err, untried: true, left: x.clientLeft()}
		}
		f.Stats.Dials.Add(1)
	}
	if x.clientLeft() {
		return result{conn: conn, untried: true, left: true}
	}
	left := time.Until(x.deadline)
	if left < time.Millisecond {
		return result{conn: conn, broke: os.ErrDeadlineExceeded, untried: true, late: true}
	}
	x.stage, x.sent = stageSent, true
	_ = conn.SetDeadline(x.deadline)
	g.Hold.On(conn)
	res.unwatch = x.closeWhenClientLeaves(conn)
	defer func() { res.left = res.broke != nil && x.endsWithClient() && x.clientLeft() }()

	head := buffers.Get().(*bytes.Buffer)
	head.Reset()
	defer buffers.Put(head)
	x.writeHead(head, g.ID, left)
	res.conn = conn
	sent := make(chan error, 1)
	switch {
	case !x.hasBody:
		n, err := conn.Write(head.Bytes())
		if err != nil {
			res.broke, res.untried = err, n == 0
			conn.Close()
			return res
		}
		sent <- nil
	case x.held != nil && len(x.held) <= 16<<10:
		x.writeHeld(head)
		n, err := conn.Write(head.Bytes())
		if err != nil && n == 0 {
			res.broke, res.untried = err, true
			conn.Close()
			return res
		}
		sent <- err
	default:
		first := bytes.Clone(head.Bytes())
		x.watchClose() // until all of the body is read, net/http does not see the client leave
		go func() {
			err := x.stream(conn, first)
			x.read.Store(err == nil)
			sent <- err
			if err != nil {
				conn.Close() // the upstream must not take the part for the whole
			}
		}()
	}

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
		return res
	}
	res.response = r
	g.Hold.On(nil) // it answers, and that is not to be cut short
	// Read what fits, so that an answer cut short can be told from a whole one
	// before the client sees any of it.
	res.start, res.whole, err = begin(r)
	if err != nil {
		res.broke, res.late = err, isTimeout(err) && time.Until(x.deadline) <= 0
		conn.Close()
		return res
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
	return res
}

// finish gives the connection back, or closes it if it cannot serve again.
func (f *Handler) finish(g upstream.SlotLease, res result, how upstream.Outcome) (odd bool) {
	conn := res.conn
	alone := res.unwatch == nil || res.unwatch()
	keep := conn != nil && alone && res.broke == nil && res.response != nil && !res.response.Close && res.whole
	var idle time.Duration
	switch {
	case keep:
		a := conn.Reader.(*answers)
		keep, a.used = a.Buffered() == 0, true
		idle = f.idleTime(res.response.Header)
	case conn != nil && res.untried && res.left: // nothing was sent on it
		keep, idle = true, 10*f.dispatcher.patience
		if conn == g.Conn {
			idle = conn.Expires - f.now()
		}
	}
	if !keep && conn != nil {
		conn.Close()
		conn = nil
	}
	if conn != nil {
		_ = conn.SetDeadline(time.Time{})
	}
	var told upstream.Told
	if res.response != nil {
		told = toldLoad(res.response.Header.Get(hLoad))
	}
	return f.dispatcher.release(g, conn, idle, how, told, how == upstream.Poor)
}

// toldLoad reads what an upstream says of its own load: requests running, requests
// waiting and slots.
func toldLoad(line string) (t upstream.Told) {
	parts := strings.Split(line, ",")
	if len(parts) != 3 {
		return t
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return t
		}
		n[i] = v
	}
	return upstream.Told{Known: true, Running: n[0], Waiting: n[1]}
}

// idleTime is how long an answer's connection may lie idle: some less than
// its Keep-Alive says, since the upstream may close it from then on.
func (f *Handler) idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil {
				return time.Duration(n)*time.Second - f.dispatcher.patience
			}
		}
	}
	return 10 * f.dispatcher.patience
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// silent says whether an error means that the peer's machine no longer answers.
func silent(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// quiet says whether an idle connection is still open and has sent nothing.
func quiet(c *upstream.Conn) bool {
	if c.Reader.(*answers).Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	good := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		good = n < 0 && (err == syscall.EAGAIN || err == syscall.EINTR)
		return true
	})
	return err == nil && good
}

// target is the request's path and query as the client sent them.
func (x *Exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

func (x *Exchange) writeHead(b *bytes.Buffer, id string, left time.Duration) {
	r := x.r
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(x.target())
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	named := connectionNamed(r.Header)
	for name, values := range r.Header {
		if hopByHop[name] || named[name] || name == hDeadline || name == hTarget || name == "Content-Length" || name == "Expect" {
			continue
		}
		if x.table.Tenants && (name == hTenant || name == "Authorization") {
			continue // the key is ours to know, and the tenant ours to name
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	b.WriteString(hDeadline)
	b.WriteString(": ")
	b.WriteString(strconv.FormatInt(max(1, left.Milliseconds()), 10))
	b.WriteString("\r\n" + hTarget + ": ")
	b.WriteString(id)
	if x.tenant != nil {
		b.WriteString("\r\n" + hTenant + ": ")
		b.WriteString(x.tenant.Name)
	}
	switch {
	case x.chunked:
		b.WriteString("\r\nTransfer-Encoding: chunked")
	case x.hasBody || r.Header.Get("Content-Length") != "":
		b.WriteString("\r\nContent-Length: ")
		b.WriteString(strconv.FormatInt(r.ContentLength, 10))
	}
	b.WriteString("\r\n\r\n")
}

func (x *Exchange) writeHeld(w io.Writer) {
	if !x.chunked {
		_, _ = w.Write(x.held)
		return
	}
	c := httputil.NewChunkedWriter(w)
	if len(x.held) > 0 {
		_, _ = c.Write(x.held)
	}
	_ = c.Close()
	_, _ = io.WriteString(w, "\r\n")
}

// stream sends the head and a body that is too large to be sent with it.
func (x *Exchange) stream(conn net.Conn, head []byte) error {
	w := bufio.NewWriterSize(conn, 16<<10)
	_, _ = w.Write(head)
	if x.held != nil {
		x.writeHeld(w)
		return w.Flush()
	}
	body := io.MultiReader(bytes.NewReader(x.begun), x.body)
	if x.chunked {
		c := httputil.NewChunkedWriter(w)
		if _, err := io.Copy(c, body); err != nil {
			return err
		}
		_ = c.Close()
		_, _ = io.WriteString(w, "\r\n")
		return w.Flush()
	}
	if _, err := io.CopyN(w, body, x.r.ContentLength); err != nil {
		return err
	}
	return w.Flush()
}
