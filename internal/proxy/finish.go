package proxy

// This file ends a sending: what becomes of its connection, and what its answer tells of the upstream.

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"madderwing/internal/upstream"
)

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
