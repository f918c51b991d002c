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
	maxFrameSize    = 48 << 20 // a frame above this is taken for garbage
	initialReadSize = 1 << 20  // of a frame, this much memory is taken before any of it has come
	maxDatagramSize = 1400     // a datagram above this goes over TCP instead
	sendQueueLen    = 256      // frames that may wait for one peer
)

// ErrUnreachable says that a peer gave no answer.
var ErrUnreachable = errors.New("peer unreachable")

// Handler takes a message. What it returns is sent back if the peer asked.
type Handler func(from string, body []byte) (any, error)

// Endpoint sends and receives the messages of one node.
type Endpoint struct {
	self        string
	peerTimeout time.Duration
	log         *slog.Logger
	listener    net.Listener
	udp         *net.UDPConn

	// IdleTimeout is the time after which a connection that carried nothing is
	// closed; 0: never. It is set before Start.
	IdleTimeout time.Duration

	mu       sync.Mutex
	handlers map[string]registration
	// Intercept, where it is set before handlers are named, is put before each of them.
	Intercept func(kind string, next Handler) Handler
	links     map[string]*link
	calls     map[uint64]pendingCall
	inbound   map[net.Conn]struct{}
	closed    bool

	undecodableMu       sync.Mutex
	undecodableLoggedAt time.Time // when garbage was last logged
	undecodableUnlogged int       // frames since

	nextID     atomic.Uint64
	Strays     atomic.Uint64 // answers that nobody waited for
	Undecoded  atomic.Uint64 // frames that could not be read
	BytesSent  atomic.Uint64
	FramesSent atomic.Uint64
}

type registration struct {
	handle Handler
	async  bool
}

// New listens on address. A peer that is silent for patience is given up.
func New(address string, peerTimeout time.Duration, logger *slog.Logger) (*Endpoint, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	udpAddr, err := net.ResolveUDPAddr("udp4", listener.Addr().String())
	if err == nil {
		var udp *net.UDPConn
		if udp, err = net.ListenUDP("udp4", udpAddr); err == nil {
			e := &Endpoint{self: listener.Addr().String(), peerTimeout: peerTimeout, log: logger, listener: listener, udp: udp,
				handlers: map[string]registration{}, links: map[string]*link{},
				calls: map[uint64]pendingCall{}, inbound: map[net.Conn]struct{}{}}
			// Answers to a former life's calls must not look like answers to this one's.
			e.nextID.Store(rand.Uint64() >> 1)
			return e, nil
		}
	}
	listener.Close()
	return nil, err
}

// Self is this node's address.
func (e *Endpoint) Self() string { return e.self }

// Handle names the handler of a kind of message. It runs on the reader's
// goroutine and may not block.
func (e *Endpoint) Handle(kind string, fn Handler) { e.handle(kind, fn, false) }

func (e *Endpoint) handle(kind string, fn Handler, async bool) {
	if e.Intercept != nil {
		fn = e.Intercept(kind, fn)
	}
	e.handlers[kind] = registration{fn, async}
}

// On names the handler of a kind of message of type T, to which there is no
// answer. What cannot be decoded is counted and dropped.
func On[T any](e *Endpoint, kind string, fn func(from string, msg T)) {
	e.Handle(kind, func(from string, body []byte) (any, error) {
		var msg T
		if cbor.Unmarshal(body, &msg) != nil {
			e.countUndecodable(from)
		} else {
			fn(from, msg)
		}
		return nil, nil
	})
}

// HandleSlow names a handler that may block.
func (e *Endpoint) HandleSlow(kind string, fn Handler) { e.handle(kind, fn, true) }

// Start begins to take messages; handlers are named before.
func (e *Endpoint) Start() {
	go e.accept()
	go e.readDatagrams()
}

// Close ends all connections.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	for conn := range e.inbound {
		conn.Close()
	}
	for _, l := range e.links {
		l.stop()
	}
	e.mu.Unlock()
	e.listener.Close()
	e.udp.Close()
}

// garbageEvery is the time, in patiences, for which one line on garbage is enough.
const undecodableLogInterval = 10

// garbage counts a frame that cannot be read. A peer that sends nothing else must
// not fill the log.
func (e *Endpoint) countUndecodable(from string) {
	e.Undecoded.Add(1)
	e.undecodableMu.Lock()
	defer e.undecodableMu.Unlock()
	if now := time.Now(); e.undecodableLoggedAt.IsZero() || now.Sub(e.undecodableLoggedAt) > undecodableLogInterval*e.peerTimeout {
		e.log.Warn("undecodable frame", "from", from, "moreSinceLastLine", e.undecodableUnlogged)
		e.undecodableLoggedAt, e.undecodableUnlogged = now, 0
	} else {
		e.undecodableUnlogged++
	}
}

func (e *Endpoint) readDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := e.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var f frame
		if cbor.Unmarshal(append([]byte(nil), buf[:n]...), &f) != nil {
			e.countUndecodable(from.String())
			continue
		}
		e.dispatch(f, nil)
	}
}

func (e *Endpoint) dispatch(f frame, origin *link) {
	if f.Reply {
		e.mu.Lock()
		call, ok := e.calls[f.ID]
		if ok = ok && call.link == origin; ok {
			delete(e.calls, f.ID)
		}
		e.mu.Unlock()
		if !ok {
			e.Strays.Add(1)
			return
		}
		call.reply <- f
		return
	}
	handler, ok := e.handlers[f.Kind]
	if !ok {
		return
	}
	run := func() {
		result, err := handler.handle(f.From, f.Body)
		if f.ID == 0 || origin == nil {
			return
		}
		reply := frame{From: e.self, Kind: f.Kind, ID: f.ID, Reply: true}
		if err != nil {
			reply.Fault = err.Error()
		} else if result != nil {
			if reply.Body, err = cbor.Marshal(result); err != nil {
				reply.Fault = err.Error()
			}
		}
		if b := encodeFrame(reply); b != nil {
			origin.enqueue(b)
		}
	}
	if handler.async {
		go run()
	} else {
		run()
	}
}

// Send passes a message on without waiting. It may be lost.
func (e *Endpoint) Send(to, kind string, body any) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return
	}
	if out := encodeFrame(frame{From: e.self, Kind: kind, Body: encoded}); out != nil {
		e.link(to).enqueue(out)
	}
}

// Toss sends a message as a datagram if it fits into one.
func (e *Endpoint) Toss(to, kind string, body any) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return
	}
	out, err := cbor.Marshal(frame{From: e.self, Kind: kind, Body: encoded})
	if err != nil {
		return
	}
	if len(out) > maxDatagramSize {
		e.Send(to, kind, body)
		return
	}
	if addr, err := net.ResolveUDPAddr("udp4", to); err == nil {
		e.BytesSent.Add(uint64(len(out)))
		e.FramesSent.Add(1)
		_, _ = e.udp.WriteToUDP(out, addr)
	}
}
