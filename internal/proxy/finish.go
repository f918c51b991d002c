package proxy

// This file ends an attempt: it returns the connection and reports the outcome to the balancer.

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

// finish returns the lease with its connection, which is closed if it cannot be reused. outlier reports
// whether the upstream has a much higher error rate than others; it is determined for
// upstream.ServerError only.
func (h *Handler) finish(lease upstream.SlotLease, res result, outcome upstream.Outcome) (outlier bool) {
	conn := res.conn
	connIntact := res.stopClose == nil || res.stopClose()
	keepConn := conn != nil && connIntact && res.err == nil && res.response != nil && !res.response.Close && res.complete
	var idleTime time.Duration
	switch {
	case keepConn:
		reader := conn.Reader.(*responseReader)
		keepConn, reader.reused = reader.Buffered() == 0, true
		idleTime = h.idleTime(res.response.Header)
	case conn != nil && res.unsent && res.disconnected: // nothing was sent over it
		keepConn, idleTime = true, 10*h.dispatcher.peerTimeout
		if conn == lease.Conn {
			idleTime = conn.Expires - h.now()
		}
	}
	if !keepConn && conn != nil {
		conn.Close()
		conn = nil
	}
	if conn != nil {
		_ = conn.SetDeadline(time.Time{})
	}
	var load upstream.ReportedLoad
	if res.response != nil {
		load = parseLoad(res.response.Header.Get(headerInstanceLoad))
	}
	return h.dispatcher.release(lease, conn, idleTime, outcome, load, outcome == upstream.ServerError)
}

// parseLoad parses Instance-Load, in which an upstream reports its own load as "running,waiting,slots".
// The slots are not used. An invalid value gives a zero result, whose Known is false.
func parseLoad(header string) (load upstream.ReportedLoad) {
	parts := strings.Split(header, ",")
	if len(parts) != 3 {
		return load
	}
	var values [3]int
	for i, p := range parts {
		value, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || value < 0 {
			return load
		}
		values[i] = value
	}
	return upstream.ReportedLoad{Known: true, Running: values[0], Waiting: values[1]}
}

// idleTime returns how long the connection of a response may stay idle: the time-out of its Keep-Alive
// header less the peer time-out, so that it is not reused when the upstream may already close it.
func (h *Handler) idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds)*time.Second - h.dispatcher.peerTimeout
			}
		}
	}
	return 10 * h.dispatcher.peerTimeout
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// peerUnresponsive reports whether an error means that the peer's machine no longer responds at all.
func peerUnresponsive(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// idleAndOpen reports whether an idle connection is still open and has received nothing, by a
// non-blocking read.
func idleAndOpen(conn *upstream.Conn) bool {
	if conn.Reader.(*responseReader).Buffered() > 0 {
		return false
	}
	syscallConn, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EINTR)
		return true
	})
	return err == nil && open
}
