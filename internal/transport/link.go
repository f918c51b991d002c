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

func (c *Endpoint) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(c.patience / 10)
			continue
		}
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			conn.Close()
			return
		}
		c.inbound[conn] = struct{}{}
		c.mu.Unlock()
		l := &link{c: c, conn: conn, out: make(chan []byte, queueLen), done: make(chan struct{})}
		c.tune(conn)
		go l.write(conn)
		go func() {
			c.read(conn, l)
			l.stop()
			conn.Close()
			c.mu.Lock()
			delete(c.inbound, conn)
			c.mu.Unlock()
		}()
	}
}

func (c *Endpoint) tune(conn net.Conn) {
	if t, ok := conn.(*net.TCPConn); ok {
		SetUserTimeout(t, c.patience)
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: max(time.Second, c.patience), Interval: time.Second, Count: 2})
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
func (c *Endpoint) read(conn net.Conn, back *link) {
	r := bufio.NewReaderSize(conn, 8<<10)
	for {
		c.used(conn)
		f, err := readFrame(r)
		if err != nil {
			if errors.Is(err, errGarbage) {
				c.garbage(conn.RemoteAddr().String())
			}
			return
		}
		c.dispatch(f, back)
	}
}

// used lets a connection's idle time begin anew.
func (c *Endpoint) used(conn net.Conn) {
	if c.IdleTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(c.IdleTimeout))
	}
}

func (c *Endpoint) link(to string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[to]
	if l == nil {
		l = &link{c: c, out: make(chan []byte, queueLen), done: make(chan struct{})}
		if c.closed {
			l.stop()
			return l
		}
		c.links[to] = l
		go l.dial(to)
	}
	return l
}

// link is one connection and the frames that wait for it.
type link struct {
	c    *Endpoint
	conn net.Conn
	out  chan []byte
	done chan struct{}
	once sync.Once
}

func (l *link) stop() { l.once.Do(func() { close(l.done) }) }

func (l *link) offer(b []byte) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.out <- b:
		return true
	default:
		return false
	}
}

func (l *link) dial(to string) {
	c := l.c
	d := net.Dialer{Timeout: c.patience / 3}
	conn, err := d.Dial("tcp4", to)
	if err == nil {
		c.tune(conn)
		go func() {
			c.read(conn, l)
			l.stop()
		}()
		l.write(conn)
		conn.Close()
	}
	l.stop()
	c.mu.Lock()
	if c.links[to] == l {
		delete(c.links, to)
	}
	c.mu.Unlock()
}

func (l *link) write(conn net.Conn) {
	defer conn.Close()
	for {
		select {
		case b := <-l.out:
			for more := true; more && len(b) < 32<<10; {
				select {
				case next := <-l.out:
					b = append(b, next...)
				default:
					more = false
				}
			}
			_ = conn.SetWriteDeadline(time.Now().Add(2 * l.c.patience))
			if _, err := conn.Write(b); err != nil {
				l.stop()
				return
			}
			l.c.used(conn)
			l.c.BytesSent.Add(uint64(len(b)))
			l.c.FramesSent.Add(1)
		case <-l.done:
			return
		}
	}
}
