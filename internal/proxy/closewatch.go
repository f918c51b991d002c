package proxy

// net/http reads from a client's connection during a request to notice when the client closes it, but
// not while a request body is still to be read, nor once the first byte of a pipelined request has
// arrived. These connections are few and are polled.

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// closeWatch polls connections for a close by the client, through the operating system. Its goroutine
// runs only while there are connections to poll.
type closeWatch struct {
	interval time.Duration

	mu      sync.Mutex
	conns   map[*clientConn]struct{}
	running bool
}

func newCloseWatch(interval time.Duration) *closeWatch {
	return &closeWatch{interval: interval, conns: map[*clientConn]struct{}{}}
}

// add starts polling a connection.
func (w *closeWatch) add(c *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

// remove stops polling a connection.
func (w *closeWatch) remove(c *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// run polls the connections until none is left. The requests of a closed one are canceled.
func (w *closeWatch) run() {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for range ticker.C {
		conns, found := w.snapshot()
		if !found {
			return
		}
		for _, c := range conns {
			if closedByPeer(c.Conn) {
				c.cancel()
				w.remove(c)
			}
		}
	}
}

// snapshot returns the connections to poll. If there are none, found is false and run must return, since
// the next add starts a new goroutine.
func (w *closeWatch) snapshot() (conns []*clientConn, found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		conns = append(conns, c)
	}
	w.running = len(conns) > 0
	return conns, w.running
}

// closedByPeer reports whether the peer has closed or reset a connection, even if bytes that it sent
// earlier are still unread.
func closedByPeer(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}

// connKey is the context key of a request's clientConn.
type connKey struct{}

// connContext returns the context for all requests of a connection; see http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	client, ok := c.(*clientConn)
	if !ok {
		return ctx
	}
	ctx, client.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, connKey{}, client)
}

// connOf returns the connection of a request; nil if it did not come through a Listener.
func connOf(r *http.Request) *clientConn {
	conn, _ := r.Context().Value(connKey{}).(*clientConn)
	return conn
}
