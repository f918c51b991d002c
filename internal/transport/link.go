package transport

// This file holds the connections to peers and their send queues.

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// accept serves the connections that peers open, until the endpoint is closed.
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

// configure sets the time-outs that detect a peer that stops responding.
func (e *Endpoint) configure(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		SetUserTimeout(tcp, e.peerTimeout)
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: max(time.Second, e.peerTimeout), Interval: time.Second, Count: 2})
	}
}

// SetUserTimeout sets how long sent bytes may stay unacknowledged before the connection fails.
func SetUserTimeout(conn *net.TCPConn, timeout time.Duration) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
}

// read dispatches the frames of a connection until it ends or sends an undecodable one.
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

// extendIdleDeadline restarts the idle time-out of a connection.
func (e *Endpoint) extendIdleDeadline(conn net.Conn) {
	if e.IdleTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(e.IdleTimeout))
	}
}

// link returns the link to a peer, and starts to connect it if there is none.
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

// link is one connection with its queue of encoded frames. It is not reopened once it has ended.
type link struct {
	endpoint *Endpoint
	conn     net.Conn
	queue    chan []byte
	done     chan struct{} // closed when the link has ended
	once     sync.Once
}

func (l *link) stop() { l.once.Do(func() { close(l.done) }) }

// enqueue queues an encoded frame, and reports false if the link has ended or its queue is full.
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

// dial connects the link and serves it until it ends.
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

// write sends queued frames until the link ends. Frames that are waiting are combined into one write, to
// which further ones are added while it is below 32 KiB.
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
			l.endpoint.WritesSent.Add(1)
		case <-l.done:
			return
		}
	}
}
