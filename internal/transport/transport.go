// Package transport carries messages between the system's own nodes: CBOR frames
// over kept TCP connections, and single CBOR datagrams over UDP. Delivery is
// best effort; those who need an answer ask again.
package transport

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxFrame  = 48 << 20 // a frame above this is taken for garbage
	firstRead = 1 << 20  // of a frame, this much memory is taken before any of it has come
	maxPacket = 1400     // a datagram above this goes over TCP instead
	queueLen  = 256      // frames that may wait for one peer
)

// ErrUnreachable says that a peer gave no answer.
var ErrUnreachable = errors.New("peer unreachable")

// Handler takes a message. What it returns is sent back if the peer asked.
type Handler func(from string, body []byte) (any, error)

// Endpoint sends and receives the messages of one node.
type Endpoint struct {
	self     string
	patience time.Duration
	log      *slog.Logger
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
func New(address string, patience time.Duration, logger *slog.Logger) (*Endpoint, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	ua, err := net.ResolveUDPAddr("udp4", l.Addr().String())
	if err == nil {
		var u *net.UDPConn
		if u, err = net.ListenUDP("udp4", ua); err == nil {
			c := &Endpoint{self: l.Addr().String(), patience: patience, log: logger, listener: l, packets: u,
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
func (c *Endpoint) Self() string { return c.self }

// Handle names the handler of a kind of message. It runs on the reader's
// goroutine and may not block.
func (c *Endpoint) Handle(kind string, fn Handler) { c.handle(kind, fn, false) }

func (c *Endpoint) handle(kind string, fn Handler, async bool) {
	if c.Intercept != nil {
		fn = c.Intercept(kind, fn)
	}
	c.handlers[kind] = entry{fn, async}
}

// On names the handler of a kind of message of type T, to which there is no
// answer. What cannot be decoded is counted and dropped.
func On[T any](c *Endpoint, kind string, fn func(from string, msg T)) {
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
func (c *Endpoint) HandleSlow(kind string, fn Handler) { c.handle(kind, fn, true) }

// Start begins to take messages; handlers are named before.
func (c *Endpoint) Start() {
	go c.accept()
	go c.readPackets()
}

// Close ends all connections.
func (c *Endpoint) Close() {
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

// garbageEvery is the time, in patiences, for which one line on garbage is enough.
const garbageEvery = 10

// garbage counts a frame that cannot be read. A peer that sends nothing else must
// not fill the log.
func (c *Endpoint) garbage(from string) {
	c.Undecoded.Add(1)
	c.garbageMu.Lock()
	defer c.garbageMu.Unlock()
	if now := time.Now(); c.garbageAt.IsZero() || now.Sub(c.garbageAt) > garbageEvery*c.patience {
		c.log.Warn("undecodable frame", "from", from, "moreSinceLastLine", c.garbageMore)
		c.garbageAt, c.garbageMore = now, 0
	} else {
		c.garbageMore++
	}
}

func (c *Endpoint) readPackets() {
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

func (c *Endpoint) dispatch(f frame, back *link) {
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

// Send passes a message on without waiting. It may be lost.
func (c *Endpoint) Send(to, kind string, body any) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return
	}
	if out := encode(frame{From: c.self, Kind: kind, Body: b}); out != nil {
		c.link(to).offer(out)
	}
}

// Toss sends a message as a datagram if it fits into one.
func (c *Endpoint) Toss(to, kind string, body any) {
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
