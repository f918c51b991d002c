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

// Listener accepts clients' connections and hands each to a server that works by
// the limits in force when it came.
type Listener struct {
	handler     *Handler
	log         *slog.Logger
	listener    net.Listener
	most        int64
	open        atomic.Int64
	lastCame    atomic.Int64 // when the newest connection came, on the dispatcher's clock
	connections sync.Map     // *clientConn -> nothing: the connections that are open

	mu      sync.Mutex
	current *httpServer
	rooms   []*httpServer
	closing bool
	limits  config.Limits
	// closes sees clients close connections where net/http does not look.
	closes *closeWatch
}

// httpServer is a server with its limits.
type httpServer struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
	addr   net.Addr
}

func (r *httpServer) Accept() (net.Conn, error) {
	select {
	case c := <-r.conns:
		return c, nil
	case <-r.done:
	}
	// Nothing comes after done; what came before is still let in.
	select {
	case c := <-r.conns:
		return c, nil
	default:
		return nil, net.ErrClosed
	}
}

func (r *httpServer) Close() error {
	r.once.Do(func() { close(r.done) })
	return nil
}

func (r *httpServer) Addr() net.Addr { return r.addr }

// NewListener listens on address for up to most connections.
func NewListener(address string, most int, handler *Handler, logger *slog.Logger) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	d := &Listener{handler: handler, log: logger, listener: l, most: int64(most), closes: newCloseWatch(handler.dispatcher.tick)}
	d.SetLimits(handler.Table().Limits)
	return d, nil
}

// SetLimits makes new connections subject to other limits.
func (d *Listener) SetLimits(l config.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing || d.current != nil && l == d.limits {
		return
	}
	d.limits = l
	if d.current != nil {
		// It takes no more; the connections that it has go on.
		_ = d.current.Close()
	}
	r := &httpServer{conns: make(chan net.Conn, 64), done: make(chan struct{}), addr: d.listener.Addr()}
	r.server = &http.Server{
		Handler:           d.handler,
		ReadHeaderTimeout: time.Duration(l.HeaderTimeoutS * float64(time.Second)),
		IdleTimeout:       time.Duration(l.IdleTimeoutS * float64(time.Second)),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug), // of clients that misbehave
		ConnState:         d.state,
		ConnContext:       connContext,
	}
	d.current = r
	d.rooms = append(d.rooms, r)
	go func() { _ = r.server.Serve(r) }()
}

func (d *Listener) state(c net.Conn, s http.ConnState) {
	if t, ok := c.(*clientConn); ok {
		switch s {
		case http.StateIdle, http.StateNew:
			t.rest(s == http.StateIdle)
		case http.StateActive:
			t.headRead.Store(true)
		case http.StateClosed, http.StateHijacked:
			d.open.Add(-1)
			d.connections.Delete(t)
			d.closes.remove(t)
			t.cancel()
		}
	}
}

// Serve accepts connections until the listener is closed.
func (d *Listener) Serve() error {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(d.handler.dispatcher.patience / 10)
			continue
		}
		if d.open.Load() >= d.most {
			// Closed unread, so the client may go elsewhere at once.
			c.Close()
			continue
		}
		d.open.Add(1)
		d.lastCame.Store(int64(d.handler.now()))
		g := &clientConn{Conn: c, closes: d.closes, cancel: func() {}}
		d.connections.Store(g, nil)
		d.mu.Lock()
		d.current.conns <- g
		d.mu.Unlock()
	}
}

// Shutdown takes no more connections, ends those that lie idle, and waits for the
// requests under way. net/http's own Shutdown is not used: it may close a connection
// whose next request has just been read.
func (d *Listener) Shutdown(ctx context.Context) {
	d.mu.Lock()
	d.closing = true
	rooms := d.rooms
	d.mu.Unlock()
	d.listener.Close()
	began := time.Now()
	tick := time.NewTicker(d.handler.dispatcher.patience / 20)
	defer tick.Stop()
	for d.open.Load() > 0 && ctx.Err() == nil {
		d.connections.Range(func(g, _ any) bool {
			// One that has sent nothing yet is given the time that it needs to.
			g.(*clientConn).retire(time.Since(began) > 2*d.handler.dispatcher.patience)
			return true
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	for _, r := range rooms {
		_ = r.server.Close()
	}
}

// Quiet is for how long no connection has come.
func (d *Listener) Quiet() time.Duration { return d.handler.now() - time.Duration(d.lastCame.Load()) }

// Open is the number of connections.
func (d *Listener) Open() int64 { return d.open.Load() }

// clientConn is a client's connection. It answers a header that does not arrive in
// time, which net/http closes without a word.
type clientConn struct {
	net.Conn
	read     atomic.Int64 // bytes of the request that comes next or is under way
	headRead atomic.Bool
	serving  atomic.Bool // a handler is at work on a request
	watched  atomic.Bool // closes asks whether the client has closed it
	closes   *closeWatch
	cancel   context.CancelFunc // ends the context of its requests

	mu      sync.Mutex
	old     bool // it has had an answer
	resting bool // nothing of the next request has been read
	retired bool // nothing is to be read any more
}

const tooSlow = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

func (g *clientConn) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if n > 0 {
		g.mu.Lock()
		g.resting = false
		g.mu.Unlock()
		g.read.Add(int64(n))
	}
	if n == 1 && len(b) == 1 && g.serving.Load() {
		// net/http asks for a single byte only to see whether the client is still there. It has
		// come, of a further request, and net/http does not look again during this one.
		g.watchClose()
	}
	if err != nil && isTimeout(err) && !g.headRead.Load() && g.read.Load() > 0 {
		_ = g.Conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = g.Conn.Write([]byte(tooSlow))
	}
	return n, err
}

// begin notes that a handler is at work on a request.
func (g *clientConn) begin() { g.serving.Store(true) }

// end notes that it has ended.
func (g *clientConn) end() {
	g.serving.Store(false)
	if g.watched.CompareAndSwap(true, false) {
		g.closes.remove(g)
	}
}

// watchClose has the connection asked about until the request under way has ended.
func (g *clientConn) watchClose() {
	if g.watched.CompareAndSwap(false, true) {
		g.closes.add(g)
	}
}

// rest notes that the connection waits for a request: its first, or another.
func (g *clientConn) rest(old bool) {
	g.read.Store(0)
	g.headRead.Store(false)
	g.mu.Lock()
	g.old, g.resting = old, true
	g.mu.Unlock()
}

// retire ends a connection that waits for a request of which nothing has been read.
// What has been read is answered.
func (g *clientConn) retire(also bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resting && !g.retired && (g.old || also) {
		g.retired = true
		_ = g.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets no other deadline on a connection that nothing is to be read from.
func (g *clientConn) SetReadDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retired && g.resting {
		return nil
	}
	return g.Conn.SetReadDeadline(t)
}

// SetDeadline: see SetReadDeadline.
func (g *clientConn) SetDeadline(t time.Time) error {
	if err := g.SetReadDeadline(t); err != nil {
		return err
	}
	return g.Conn.SetWriteDeadline(t)
}
