package controlplane

// Detects that the process was frozen, and that calls waited unread meanwhile.

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// callerTimeout is the time after which a caller without an answer tries another node.
const callerTimeout = time.Second

// After a freeze longer than stallLimit, the process refuses calls for the time resumeWindow, in
// which it reads those that arrived during the freeze: their callers may have tried another node. A
// call that waited for less than stallLimit begins before its caller gives up.
const (
	stallLimit   = callerTimeout / 4
	resumeWindow = callerTimeout / 20
)

// stallDetector records when the process was last frozen.
type stallDetector struct {
	clock      func() time.Duration
	lastTickAt atomic.Int64 // when the last tick came
	resumedAt  atomic.Int64 // when a tick last came more than stallLimit after the one before; 0: never
}

// stalled reports whether the process was frozen within the last resumeWindow, or has not ticked
// since it was frozen.
func (d *stallDetector) stalled() bool {
	now := d.clock()
	lastTick, resumedAt := time.Duration(d.lastTickAt.Load()), time.Duration(d.resumedAt.Load())
	return now-lastTick > stallLimit || resumedAt > 0 && now-resumedAt < resumeWindow
}

// recordTicks records a tick at regular intervals until stop is closed.
func (d *stallDetector) recordTicks(stop <-chan struct{}) {
	ticker := time.NewTicker(stallLimit / 5)
	defer ticker.Stop()
	d.recordTick(d.clock())
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		d.recordTick(d.clock())
	}
}

// recordTick records that the process is running now.
func (d *stallDetector) recordTick(now time.Duration) {
	last := time.Duration(d.lastTickAt.Swap(int64(now)))
	if last > 0 && now-last > stallLimit {
		d.resumedAt.Store(int64(now))
	}
}

// connectionKey is the context key for the connection of a call.
type connectionKey struct{}

// withConnection stores the connection of a call in its context, for arrivalOf. It is an
// http.Server.ConnContext.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// arrival is when a call reached this machine.
type arrival struct {
	conn   net.Conn // nil if unknown
	readAt time.Time
}

// arrivalOf returns the arrival of a call that has just been read.
func arrivalOf(r *http.Request) arrival {
	conn, _ := r.Context().Value(connectionKey{}).(net.Conn)
	return arrival{conn: conn, readAt: time.Now()}
}

// age is how long the call has been on this machine, including the wait in the kernel.
func (a arrival) age() time.Duration { return max(sinceReceived(a.conn), time.Since(a.readAt)) }

// sinceReceived is the time since the kernel last received bytes on a connection; 0 if the kernel
// doesn't report it.
func sinceReceived(conn net.Conn) (elapsed time.Duration) {
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
			elapsed = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return elapsed
}
