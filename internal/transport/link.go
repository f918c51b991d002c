package transport

// This file holds the connections to peers and the queues before them.

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(e.peerTimeout / 10)
			continue
		}
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			conn.Close()
			return
		}
		e.inbound[conn] = struct{}{}
		e.mu.Unlock()
		l := &link{endpoint: e, conn: conn, queue: make(chan []byte, sendQueueLen), done: make(chan struct{})}
		e.configure(conn)
		go l.write(conn)
		go func() {
			e.read(conn, l)
			l.stop()
			conn.Close()
			e.mu.Lock()
			delete(e.inbound, conn)
			e.mu.Unlock()
		}()
	}
}

func (e *Endpoint) configure(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		SetUserTimeout(t, e.peerTimeout)
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: max(time.Second, e.peerTimeout), Interval: time.Second, Count: 2})
	}
}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged.
func SetUserTimeout(t *net.TCPConn, d time.Duration) {
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
	})
}

// read takes frames from a connection until it ends or sends garbage.
func (e *Endpoint) read(conn net.Conn, origin *link) {
	r := bufio.NewReaderSize(conn, 8<<10)
	for {
		e.extendIdleDeadline(conn)
		f, err := readFrame(r)
		if err != nil {
			if errors.Is(err, errUndecodable) {
				e.countUndecodable(conn.RemoteAddr().String())
			}
			return
		}
		e.dispatch(f, origin)
	}
}

// used lets a connection's idle time begin anew.
func (e *Endpoint) extendIdleDeadline(conn net.Conn) {
	if e.IdleTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(e.IdleTimeout))
	}
}

func (e *Endpoint) link(to string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[to]
	if l == nil {
		l = &link{endpoint: e, queue: make(chan []byte, sendQueueLen), done: make(chan struct{})}
		if e.closed {
			l.stop()
			return l
		}
		e.links[to] = l
		go l.dial(to)
	}
	return l
}

// link is one connection and the frames that wait for it.
type link struct {
	endpoint *Endpoint
	conn     net.Conn
	queue    chan []byte
	done     chan struct{}
	once     sync.Once
}

func (l *link) stop() { l.once.Do(func() { close(l.done) }) }

func (l *link) enqueue(data []byte) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.queue <- data:
		return true
	default:
		return false
	}
}

func (l *link) dial(to string) {
	e := l.endpoint
	dialer := net.Dialer{Timeout: e.peerTimeout / 3}
	conn, err := dialer.Dial("tcp4", to)
	if err == nil {
		e.configure(conn)
		go func() {
			e.read(conn, l)
			l.stop()
		}()
		l.write(conn)
		conn.Close()
	}
	l.stop()
	e.mu.Lock()
	if e.links[to] == l {
		delete(e.links, to)
	}
	e.mu.Unlock()
}

func (l *link) write(conn net.Conn) {
	defer conn.Close()
	for {
		select {
		case data := <-l.queue:
			for draining := true; draining && len(data) < 32<<10; {
				select {
				case next := <-l.queue:
					data = append(data, next...)
				default:
					draining = false
				}
			}
			_ = conn.SetWriteDeadline(time.Now().Add(2 * l.endpoint.peerTimeout))
			if _, err := conn.Write(data); err != nil {
				l.stop()
				return
			}
			l.endpoint.extendIdleDeadline(conn)
			l.endpoint.BytesSent.Add(uint64(len(data)))
			l.endpoint.FramesSent.Add(1)
		case <-l.done:
			return
		}
	}
}
