package circulation

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"madderwing/internal/catalogue"
)

// Door accepts clients' connections and hands each to a server that works by
// the limits in force when it came.
type Door struct {
	front    *Front
	log      *log.Logger
	listener net.Listener
	most     int64
	open     atomic.Int64

	mu      sync.Mutex
	current *room
	rooms   []*room
	closing bool
	limits  catalogue.Limits
}

// room is a server with its limits.
type room struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
	addr   net.Addr
}

func (r *room) Accept() (net.Conn, error) {
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

func (r *room) Close() error {
	r.once.Do(func() { close(r.done) })
	return nil
}

func (r *room) Addr() net.Addr { return r.addr }

// NewDoor listens on address for up to most connections.
func NewDoor(address string, most int, front *Front, logger *log.Logger) (*Door, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	d := &Door{front: front, log: logger, listener: l, most: int64(most)}
	d.SetLimits(front.Table().Limits)
	return d, nil
}

// SetLimits makes new connections subject to other limits.
func (d *Door) SetLimits(l catalogue.Limits) {
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
	r := &room{conns: make(chan net.Conn, 64), done: make(chan struct{}), addr: d.listener.Addr()}
	r.server = &http.Server{
		Handler:           d.front,
		ReadHeaderTimeout: time.Duration(l.HeaderTimeoutS * float64(time.Second)),
		IdleTimeout:       time.Duration(l.IdleTimeoutS * float64(time.Second)),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          log.New(quietWriter{}, "", 0),
		ConnState:         d.state,
	}
	d.current = r
	d.rooms = append(d.rooms, r)
	go func() { _ = r.server.Serve(r) }()
}

// quietWriter drops what net/http says of clients that misbehave.
type quietWriter struct{}

func (quietWriter) Write(b []byte) (int, error) { return len(b), nil }

func (d *Door) state(c net.Conn, s http.ConnState) {
	if t, ok := c.(*guest); ok {
		switch s {
		case http.StateIdle, http.StateNew:
			t.read.Store(0)
			t.headRead.Store(false)
		case http.StateActive:
			t.headRead.Store(true)
		case http.StateClosed, http.StateHijacked:
			d.open.Add(-1)
		}
	}
}

// Serve accepts connections until the door is closed.
func (d *Door) Serve() error {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(d.front.floor.patience / 10)
			continue
		}
		if d.open.Load() >= d.most {
			// Closed unread, so the client may go elsewhere at once.
			c.Close()
			continue
		}
		d.open.Add(1)
		d.mu.Lock()
		d.current.conns <- &guest{Conn: c}
		d.mu.Unlock()
	}
}

// Shutdown takes no more connections and waits for the requests under way.
func (d *Door) Shutdown(ctx context.Context) {
	d.mu.Lock()
	d.closing = true
	rooms := d.rooms
	d.mu.Unlock()
	d.listener.Close()
	var all sync.WaitGroup
	for _, r := range rooms {
		all.Go(func() { _ = r.server.Shutdown(ctx) })
	}
	all.Wait()
}

// Open is the number of connections.
func (d *Door) Open() int64 { return d.open.Load() }

// guest is a client's connection. It answers a header that does not arrive in
// time, which net/http closes without a word.
type guest struct {
	net.Conn
	read     atomic.Int64
	headRead atomic.Bool
}

const tooSlow = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

func (g *guest) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if n > 0 {
		g.read.Add(int64(n))
	}
	if err != nil && isTimeout(err) && !g.headRead.Load() && g.read.Load() > 0 {
		_ = g.Conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, _ = g.Conn.Write([]byte(tooSlow))
	}
	return n, err
}
