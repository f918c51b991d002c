package controlplane

// Detection that the process was frozen, and that a call waited meanwhile.

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

// A process that was frozen for longer than stallLimit refuses the calls that may have arrived
// meanwhile, since their callers may have tried another node. Reading those calls takes up to
// resumeWindow. A call that waited for less than stallLimit begins before its caller gives up.
const (
	stallLimit   = callerTimeout / 4
	resumeWindow = callerTimeout / 20
)

// stallDetector records when the process was last frozen.
type stallDetector struct {
	clock     func() time.Duration
	tickedAt  atomic.Int64 // time of the last tick
	resumedAt atomic.Int64 // when a tick last came more than stallLimit after the one before; 0: never
}

// stalled reports whether the process was frozen a moment ago, or has resumed without a tick so
// far.
func (d *stallDetector) stalled() bool {
	now := d.clock()
	ticked, resumed := time.Duration(d.tickedAt.Load()), time.Duration(d.resumedAt.Load())
	return now-ticked > stallLimit || resumed > 0 && now-resumed < resumeWindow
}

// recordTicks records the times at which the process runs, until stop is closed.
func (d *stallDetector) recordTicks(stop <-chan struct{}) {
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

// noteRunning records that the process is running now.
func (d *stallDetector) noteRunning(now time.Duration) {
	last := time.Duration(d.tickedAt.Swap(int64(now)))
	if last > 0 && now-last > stallLimit {
		d.resumedAt.Store(int64(now))
	}
}

// connectionKey is the context key for the connection of a call.
type connectionKey struct{}

// withConnection is the http.Server.ConnContext that arrivalOf needs.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// arrival is when a call reached this machine.
type arrival struct {
	conn net.Conn // nil if unknown
	read time.Time
}

// arrivalOf returns the arrival of a call that has just been read.
func arrivalOf(r *http.Request) arrival {
	conn, _ := r.Context().Value(connectionKey{}).(net.Conn)
	return arrival{conn: conn, read: time.Now()}
}

// age is how long the call has been on this machine, including the wait in the kernel.
func (a arrival) age() time.Duration { return max(sinceReceived(a.conn), time.Since(a.read)) }

// sinceReceived is how long the kernel has had the last bytes received on a connection; 0 where the
// kernel doesn't report it.
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
