package proxy

// net/http reads from a client's connection during a request to see whether the client closes it,
// but not while a body is still to be read from it, nor once the beginning of a further request has
// come. The connections to which this applies are few, and are asked at intervals.

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// closeWatch asks the operating system at intervals whether clients have closed their connections.
// Its goroutine runs only while there are any to ask about.
type closeWatch struct {
	interval time.Duration

	mu      sync.Mutex
	conns   map[*clientConn]struct{}
	running bool
}

func newCloseWatch(interval time.Duration) *closeWatch {
	return &closeWatch{interval: interval, conns: map[*clientConn]struct{}{}}
}

// add begins to ask about a connection.
func (w *closeWatch) add(c *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

// remove asks about a connection no longer.
func (w *closeWatch) remove(c *clientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// run asks until there is no connection left.
func (w *closeWatch) run() {
	tick := time.NewTicker(w.interval)
	defer tick.Stop()
	for range tick.C {
		conns, any := w.list()
		if !any {
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

// list gives the connections to ask about; any is false, and the goroutine is to end, if there
// are none.
func (w *closeWatch) list() (conns []*clientConn, any bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		conns = append(conns, c)
	}
	w.running = len(conns) > 0
	return conns, w.running
}

// closedByPeer says whether the other side has closed or reset a connection, also when bytes that
// it sent before are still to be read.
func closedByPeer(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
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

// connKey is the key of a request's clientConn in its context.
type connKey struct{}

// connContext makes the context of all requests of a connection; see http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	client, ok := c.(*clientConn)
	if !ok {
		return ctx
	}
	ctx, client.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, connKey{}, client)
}

// connOf is the connection that a request came on; nil: it is not a Listener's.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}
