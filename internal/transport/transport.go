// Package transport carries messages between the system's own nodes: CBOR frames
// over kept TCP connections, and single CBOR datagrams over UDP. Delivery is
// best effort; those who need an answer ask again.
package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"
)

const (
	maxFrame  = 48 << 20 // a frame above this is taken for garbage
	firstRead = 1 << 20  // of a frame, this much memory is taken before any of it has come
	maxPacket = 1400     // a datagram above this goes over TCP instead
	queueLen  = 256      // frames that may wait for one peer
)

// ErrUnreachable says that a peer gave no answer.
var ErrUnreachable = errors.New("peer unreachable")

type frame struct {
	From  string          `cbor:"1,keyasint"`
	Kind  string          `cbor:"2,keyasint"`
	ID    uint64          `cbor:"3,keyasint,omitempty"`
	Reply bool            `cbor:"4,keyasint,omitempty"`
	Fault string          `cbor:"5,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"6,keyasint,omitempty"`
}

// question is a call that waits for its answer, which comes over the link that the
// question went out on or not at all.
type question struct {
	link   *link
	answer chan frame
}

// Handler takes a message. What it returns is sent back if the peer asked.
type Handler func(from string, body []byte) (any, error)

// Mesh is one node's post.
type Mesh struct {
	self     string
	patience time.Duration
	log      *log.Logger
	listener net.Listener
	packets  *net.UDPConn

	// IdleTimeout is the time after which a connection that carried nothing is
	// closed; 0: never. It is set before Start.
	IdleTimeout time.Duration

	mu       sync.Mutex
	handlers map[string]entry
	// Intercept, where it is set before handlers are named, is put before each of them.
	Intercept func(kind string, next Handler) Handler
	links     map[string]*link
	waiting   map[uint64]question
	inbound   map[net.Conn]struct{}
	closed    bool

	garbageMu   sync.Mutex
	garbageAt   time.Time // when garbage was last logged
	garbageMore int       // frames since

	next       atomic.Uint64
	Strays     atomic.Uint64 // answers that nobody waited for
	Undecoded  atomic.Uint64 // frames that could not be read
	BytesSent  atomic.Uint64
	FramesSent atomic.Uint64
}

type entry struct {
	fn    Handler
	async bool
}

// New listens on address. A peer that is silent for patience is given up.
func New(address string, patience time.Duration, logger *log.Logger) (*Mesh, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	ua, err := net.ResolveUDPAddr("udp4", l.Addr().String())
	if err == nil {
		var u *net.UDPConn
		if u, err = net.ListenUDP("udp4", ua); err == nil {
			c := &Mesh{self: l.Addr().String(), patience: patience, log: logger, listener: l, packets: u,
				handlers: map[string]entry{}, links: map[string]*link{},
				waiting: map[uint64]question{}, inbound: map[net.Conn]struct{}{}}
			// Answers to a former life's calls must not look like answers to this one's.
			c.next.Store(rand.Uint64() >> 1)
			return c, nil
		}
	}
	l.Close()
	return nil, err
}

// Self is this node's address.
func (c *Mesh) Self() string { return c.self }

// Handle names the handler of a kind of message. It runs on the reader's
// goroutine and may not block.
func (c *Mesh) Handle(kind string, fn Handler) { c.handle(kind, fn, false) }

func (c *Mesh) handle(kind string, fn Handler, async bool) {
	if c.Intercept != nil {
		fn = c.Intercept(kind, fn)
	}
	c.handlers[kind] = entry{fn, async}
}

// On names the handler of a kind of message of type T, to which there is no
// answer. What cannot be decoded is counted and dropped.
func On[T any](c *Mesh, kind string, fn func(from string, msg T)) {
	c.Handle(kind, func(from string, body []byte) (any, error) {
		var msg T
		if cbor.Unmarshal(body, &msg) != nil {
			c.garbage(from)
		} else {
			fn(from, msg)
		}
		return nil, nil
	})
}

// HandleSlow names a handler that may block.
func (c *Mesh) HandleSlow(kind string, fn Handler) { c.handle(kind, fn, true) }

// Start begins to take messages; handlers are named before.
func (c *Mesh) Start() {
	go c.accept()
	go c.readPackets()
}

// Close ends all connections.
func (c *Mesh) Close() {
	c.mu.Lock()
	c.closed = true
	for conn := range c.inbound {
		conn.Close()
	}
	for _, l := range c.links {
		l.stop()
	}
	c.mu.Unlock()
	c.listener.Close()
	c.packets.Close()
}

func (c *Mesh) accept() {
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

func (c *Mesh) tune(conn net.Conn) {
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
func (c *Mesh) read(conn net.Conn, back *link) {
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
func (c *Mesh) used(conn net.Conn) {
	if c.IdleTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(c.IdleTimeout))
	}
}

var errGarbage = errors.New("not a frame")

// readFrame reads one frame; errGarbage: what came is none. Any other error is the
// reader's.
func readFrame(r *bufio.Reader) (f frame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return f, errGarbage
	}
	var buf []byte
	for have := 0; have < int(n); have = len(buf) {
		// No more at a time than has come already: a length alone costs little.
		part := min(int(n)-have, max(have, firstRead))
		buf = append(make([]byte, 0, have+part), buf...)[:have+part]
		if _, err := io.ReadFull(r, buf[have:]); err != nil {
			return f, err
		}
	}
	if cbor.Unmarshal(buf, &f) != nil {
		return f, errGarbage
	}
	return f, nil
}

// garbageEvery is the time, in patiences, for which one line on garbage is enough.
const garbageEvery = 10

// garbage counts a frame that cannot be read. A peer that sends nothing else must
// not fill the log.
func (c *Mesh) garbage(from string) {
	c.Undecoded.Add(1)
	c.garbageMu.Lock()
	defer c.garbageMu.Unlock()
	if now := time.Now(); c.garbageAt.IsZero() || now.Sub(c.garbageAt) > garbageEvery*c.patience {
		c.log.Printf("undecodable frame from %s, %d more since the last such line.", from, c.garbageMore)
		c.garbageAt, c.garbageMore = now, 0
	} else {
		c.garbageMore++
	}
}

func (c *Mesh) readPackets() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := c.packets.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var f frame
		if cbor.Unmarshal(append([]byte(nil), buf[:n]...), &f) != nil {
			c.garbage(from.String())
			continue
		}
		c.dispatch(f, nil)
	}
}

func (c *Mesh) dispatch(f frame, back *link) {
	if f.Reply {
		c.mu.Lock()
		q, ok := c.waiting[f.ID]
		if ok = ok && q.link == back; ok {
			delete(c.waiting, f.ID)
		}
		c.mu.Unlock()
		if !ok {
			c.Strays.Add(1)
			return
		}
		q.answer <- f
		return
	}
	e, ok := c.handlers[f.Kind]
	if !ok {
		return
	}
	run := func() {
		out, err := e.fn(f.From, f.Body)
		if f.ID == 0 || back == nil {
			return
		}
		r := frame{From: c.self, Kind: f.Kind, ID: f.ID, Reply: true}
		if err != nil {
			r.Fault = err.Error()
		} else if out != nil {
			if r.Body, err = cbor.Marshal(out); err != nil {
				r.Fault = err.Error()
			}
		}
		if b := encode(r); b != nil {
			back.offer(b)
		}
	}
	if e.async {
		go run()
	} else {
		run()
	}
}

func encode(f frame) []byte {
	b, err := cbor.Marshal(f)
	if err != nil {
		return nil
	}
	out := make([]byte, 4+len(b))
	binary.BigEndian.PutUint32(out, uint32(len(b)))
	copy(out[4:], b)
	return out
}

// Send passes a message on without waiting. It may be lost.
func (c *Mesh) Send(to, kind string, body any) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return
	}
	if out := encode(frame{From: c.self, Kind: kind, Body: b}); out != nil {
		c.link(to).offer(out)
	}
}

// Toss sends a message as a datagram if it fits into one.
func (c *Mesh) Toss(to, kind string, body any) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return
	}
	out, err := cbor.Marshal(frame{From: c.self, Kind: kind, Body: b})
	if err != nil {
		return
	}
	if len(out) > maxPacket {
		c.Send(to, kind, body)
		return
	}
	if addr, err := net.ResolveUDPAddr("udp4", to); err == nil {
		c.BytesSent.Add(uint64(len(out)))
		c.FramesSent.Add(1)
		_, _ = c.packets.WriteToUDP(out, addr)
	}
}

// Fault is an error that the peer's handler returned.
type Fault string

func (f Fault) Error() string { return string(f) }

// Call asks a peer and waits for its answer, which takes the place of what answer points
// to. ErrUnreachable: there was none, and the peer may have acted all the same.
func (c *Mesh) Call(ctx context.Context, to, kind string, body, answer any) error {
	b, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	id := c.next.Add(1)
	ch := make(chan frame, 1)
	l := c.link(to)
	c.mu.Lock()
	c.waiting[id] = question{l, ch}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	if !l.offer(encode(frame{From: c.self, Kind: kind, ID: id, Body: b})) {
		return ErrUnreachable
	}
	f, err := await(ctx, ch, l.done)
	switch {
	case err != nil:
		return err
	case f.Fault != "":
		return Fault(f.Fault)
	case answer == nil:
		return nil
	}
	reflect.ValueOf(answer).Elem().SetZero() // fields that the answer leaves out are zero
	return cbor.Unmarshal(f.Body, answer)
}

// await waits for an answer until the link or the time for it ends.
func await(ctx context.Context, answer <-chan frame, ended <-chan struct{}) (frame, error) {
	select {
	case f := <-answer:
		return f, nil
	case <-ended:
	case <-ctx.Done():
	}
	select {
	case f := <-answer: // it came at the same moment
		return f, nil
	default:
		return frame{}, ErrUnreachable
	}
}

func (c *Mesh) link(to string) *link {
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
	c    *Mesh
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
