package controlplane

// This file holds how a process knows that it stood still, and that a call waited meanwhile.

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// callerTimeout is the time after which a caller without an answer goes on to another node.
const callerTimeout = time.Second

// A process that stood still for longer than stallLimit refuses the calls that may have come
// meanwhile: their callers may have gone on. It takes resumeWindow to read those. A call that
// waited for less begins before its caller gives up.
const (
	stallLimit   = callerTimeout / 4
	resumeWindow = callerTimeout / 20
)

// stallDetector knows when the process last stood still.
type stallDetector struct {
	clock    func() time.Duration
	tickedAt atomic.Int64 // time of the newest tick
	wokeAt   atomic.Int64 // when a tick was last late by more than stallLimit; 0: never
}

// stalled says that the process stood still a moment ago, or stands still but for the caller.
func (d *stallDetector) stalled() bool {
	now := d.clock()
	ticked, woke := time.Duration(d.tickedAt.Load()), time.Duration(d.wokeAt.Load())
	return now-ticked > stallLimit || woke > 0 && now-woke < resumeWindow
}

// watch notes the times at which the process runs, until stop.
func (d *stallDetector) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(stallLimit / 5)
	defer ticker.Stop()
	d.noteRunning(d.clock())
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		d.noteRunning(d.clock())
	}
}

// noteRunning notes that the process runs now.
func (d *stallDetector) noteRunning(now time.Duration) {
	last := time.Duration(d.tickedAt.Swap(int64(now)))
	if last > 0 && now-last > stallLimit {
		d.wokeAt.Store(int64(now))
	}
}

// connectionKey is the key under which the context of a call holds its connection.
type connectionKey struct{}

// withConnection is the http.Server.ConnContext that arrivalOf needs.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// arrival is when a call came to this machine.
type arrival struct {
	conn net.Conn // nil: not known
	read time.Time
}

// arrivalOf is the arrival of a call that has just been read.
func arrivalOf(r *http.Request) arrival {
	conn, _ := r.Context().Value(connectionKey{}).(net.Conn)
	return arrival{conn: conn, read: time.Now()}
}

// age is for how long the call has been at this machine, waiting in the kernel included.
func (a arrival) age() time.Duration { return max(sinceReceived(a.conn), time.Since(a.read)) }

// sinceReceived is for how long the kernel has had the newest bytes of a connection. It is 0
// where the kernel doesn't tell.
func sinceReceived(conn net.Conn) (held time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			held = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return held
}
