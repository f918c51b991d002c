package proxy

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"madderwing/internal/config"
)

// Listener accepts the connections of clients. Each is served by an HTTP server with the limits that
// applied when it was accepted.
type Listener struct {
	handler      *Handler
	log          *slog.Logger
	listener     net.Listener
	maxConns     int64
	openConns    atomic.Int64
	lastAccepted atomic.Int64 // time of the latest accepted connection on the dispatcher's clock
	conns        sync.Map     // set of *clientConn: the open connections

	mu            sync.Mutex
	currentServer *limitedServer
	servers       []*limitedServer
	shuttingDown  bool
	limits        config.Limits
	// closeWatch notices closed connections where net/http does not look for them.
	closeWatch *closeWatch
}

// limitedServer is an HTTP server with fixed limits, and the net.Listener that feeds it connections.
type limitedServer struct {
	server   *http.Server
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
	addr     net.Addr
}

func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.accepted:
		return conn, nil
	case <-s.done:
	}
	// No connection is queued after done is closed; those queued before are still accepted.
	select {
	case conn := <-s.accepted:
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

func (s *limitedServer) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

func (s *limitedServer) Addr() net.Addr { return s.addr }

// NewListener listens on address for up to maxConns connections at a time.
func NewListener(address string, maxConns int, handler *Handler, logger *slog.Logger) (*Listener, error) {
	tcp, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{handler: handler, log: logger, listener: tcp, maxConns: int64(maxConns), closeWatch: newCloseWatch(handler.dispatcher.tickInterval)}
	l.SetLimits(handler.Table().Limits)
	return l, nil
}

// SetLimits changes the limits for new connections.
func (l *Listener) SetLimits(limits config.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shuttingDown || l.currentServer != nil && limits == l.limits {
		return
	}
	l.limits = limits
	if l.currentServer != nil {
		// The previous server accepts no further connections and goes on serving those it has.
		_ = l.currentServer.Close()
	}
	server := &limitedServer{accepted: make(chan net.Conn, 64), done: make(chan struct{}), addr: l.listener.Addr()}
	server.server = &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutS * float64(time.Second)),
		IdleTimeout:       time.Duration(limits.IdleTimeoutS * float64(time.Second)),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(l.log.Handler(), slog.LevelDebug), // errors of clients
		ConnState:         l.connState,
		ConnContext:       connContext,
	}
	l.currentServer = server
	l.servers = append(l.servers, server)
	go func() { _ = server.server.Serve(server) }()
}

// connState tracks the state of a connection; see http.Server.ConnState.
func (l *Listener) connState(c net.Conn, state http.ConnState) {
	if client, ok := c.(*clientConn); ok {
		switch state {
		case http.StateIdle, http.StateNew:
			client.markIdle(state == http.StateIdle)
		case http.StateActive:
			client.headRead.Store(true)
		case http.StateClosed, http.StateHijacked:
			l.openConns.Add(-1)
			l.conns.Delete(client)
			l.closeWatch.remove(client)
			client.cancel()
		}
	}
}

// Serve accepts connections until the listener is closed.
func (l *Listener) Serve() error {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(l.handler.dispatcher.peerTimeout / 10)
			continue
		}
		if l.openConns.Load() >= l.maxConns {
			// Nothing is read from it, so the client may retry at another gateway at once.
			c.Close()
			continue
		}
		l.openConns.Add(1)
		l.lastAccepted.Store(int64(l.handler.now()))
		client := &clientConn{Conn: c, closeWatch: l.closeWatch, cancel: func() {}}
		l.conns.Store(client, nil)
		l.mu.Lock()
		l.currentServer.accepted <- client
		l.mu.Unlock()
	}
}

// Shutdown stops accepting connections, closes idle ones, and waits for active requests until ctx ends.
// http.Server.Shutdown is not used, since it may close a connection whose next request has just been
// read.
func (l *Listener) Shutdown(ctx context.Context) {
	l.mu.Lock()
	l.shuttingDown = true
	servers := l.servers
	l.mu.Unlock()
	l.listener.Close()
	started := time.Now()
	ticker := time.NewTicker(l.handler.dispatcher.peerTimeout / 20)
	defer ticker.Stop()
	for l.openConns.Load() > 0 && ctx.Err() == nil {
		l.conns.Range(func(conn, _ any) bool {
			// A new connection gets some time to send its first request.
			conn.(*clientConn).retire(time.Since(started) > 2*l.handler.dispatcher.peerTimeout)
			return true
		})
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	for _, server := range servers {
		_ = server.server.Close()
	}
}

// SinceLastAccept returns the time since a connection was last accepted.
func (l *Listener) SinceLastAccept() time.Duration {
	return l.handler.now() - time.Duration(l.lastAccepted.Load())
}

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int64 { return l.openConns.Load() }

// clientConn is a client's connection. If a request's header does not arrive in time, it sends a 408
// response; net/http would close the connection without one.
type clientConn struct {
	net.Conn
	bytesRead  atomic.Int64 // bytes of the current or next request
	headRead   atomic.Bool  // the head of the current request has been read
	serving    atomic.Bool  // a handler is running
	watched    atomic.Bool  // closeWatch polls it
	closeWatch *closeWatch
	cancel     context.CancelFunc // cancels the context of its requests

	mu      sync.Mutex
	reused  bool // it has carried a request and its response
	idle    bool // no byte of the next request has been read
	retired bool // no further request is to be read
}

const headerTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

func (c *clientConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
		c.bytesRead.Add(int64(n))
	}
	if n == 1 && len(buf) == 1 && c.serving.Load() {
		// net/http reads a single byte in the background to detect a disconnect. This one belongs to
		// a pipelined request, and net/http does not look again during the current one.
		c.watchClose()
	}
	if err != nil && isTimeout(err) && !c.headRead.Load() && c.bytesRead.Load() > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = c.Conn.Write([]byte(headerTimeoutResponse))
	}
	return n, err
}

func (c *clientConn) beginRequest() { c.serving.Store(true) }

// endRequest marks the end of the request's handler and stops polling for a close.
func (c *clientConn) endRequest() {
	c.serving.Store(false)
	if c.watched.CompareAndSwap(true, false) {
		c.closeWatch.remove(c)
	}
}

// watchClose polls the connection for a close until the current request has ended.
func (c *clientConn) watchClose() {
	if c.watched.CompareAndSwap(false, true) {
		c.closeWatch.add(c)
	}
}

// markIdle notes that the connection waits for a request; reused is false for its first.
func (c *clientConn) markIdle(reused bool) {
	c.bytesRead.Store(0)
	c.headRead.Store(false)
	c.mu.Lock()
	c.reused, c.idle = reused, true
	c.mu.Unlock()
}

// retire ends an idle connection by a read deadline in the past. A request of which a byte has been
// read still gets a response. Connections without a request so far are retired only with includeNew.
func (c *clientConn) retire(includeNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.retired && (c.reused || includeNew) {
		c.retired = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline keeps the deadline of a retired connection, which net/http would otherwise replace.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired && c.idle {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines; for the read deadline see SetReadDeadline.
func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}
