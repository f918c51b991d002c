// Package transport carries messages between the nodes of the system: as CBOR frames over persistent TCP
// connections, and as single CBOR datagrams over UDP. Delivery is best effort; callers that need a reply
// have to retry.
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
	maxFrameSize    = 48 << 20 // bytes; a longer frame is undecodable
	initialReadSize = 1 << 20  // maximum of bytes allocated for a frame before any of it has arrived
	maxDatagramSize = 1400     // bytes; a longer message goes over TCP
	sendQueueLen    = 256      // frames that may be queued on one link
)

// ErrUnreachable means that a peer did not reply, or that the call could not be queued.
var ErrUnreachable = errors.New("peer unreachable")

// Handler handles a message. Its result is sent to the peer if the message is a call.
type Handler func(from string, body []byte) (any, error)

// Endpoint sends and receives the messages of one node.
type Endpoint struct {
	self        string
	peerTimeout time.Duration
	log         *slog.Logger
	listener    net.Listener
	udp         *net.UDPConn

	// IdleTimeout is the time after which an idle connection is closed; 0 means never. It must be set
	// before Start.
	IdleTimeout time.Duration

	mu       sync.Mutex
	handlers map[string]registration
	// Intercept, if set, wraps each handler that is registered afterwards.
	Intercept func(kind string, next Handler) Handler
	links     map[string]*link
	calls     map[uint64]pendingCall
	inbound   map[net.Conn]struct{}
	closed    bool

	undecodableMu       sync.Mutex
	undecodableLoggedAt time.Time // time of the last log line
	undecodableUnlogged int       // undecodable frames since then

	nextID           atomic.Uint64
	UnmatchedReplies atomic.Uint64 // replies to no pending call
	Undecoded        atomic.Uint64 // frames and message bodies that could not be decoded
	BytesSent        atomic.Uint64
	WritesSent       atomic.Uint64 // writes to connections and datagrams; frames combined into a write count once
}

// registration is the handler for a kind of message.
type registration struct {
	handle Handler
	async  bool // run it on a goroutine of its own
}

// New returns an endpoint that listens on address for TCP and UDP. peerTimeout is the time after which a
// peer that does not respond is considered failed.
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
			// IDs start at random: replies to calls of an earlier process at this address must not match
			// calls of this one.
			e.nextID.Store(rand.Uint64() >> 1)
			return e, nil
		}
	}
	listener.Close()
	return nil, err
}

// Address returns this node's address.
func (e *Endpoint) Address() string { return e.self }

// Handle registers the handler for a kind of message. It runs on the goroutine that reads the connection
// and must not block.
func (e *Endpoint) Handle(kind string, fn Handler) { e.handle(kind, fn, false) }

func (e *Endpoint) handle(kind string, fn Handler, async bool) {
	if e.Intercept != nil {
		fn = e.Intercept(kind, fn)
	}
	e.handlers[kind] = registration{fn, async}
}

// HandleMessage registers a handler for a kind of message whose body is a T. The handler returns no result.
// Messages that cannot be decoded are counted and dropped.
func HandleMessage[T any](e *Endpoint, kind string, fn func(from string, msg T)) {
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

// HandleAsync registers a handler that may block; each message is handled on a goroutine of its own.
func (e *Endpoint) HandleAsync(kind string, fn Handler) { e.handle(kind, fn, true) }

// Start begins to receive messages. Handlers must be registered before.
func (e *Endpoint) Start() {
	go e.accept()
	go e.readDatagrams()
}

// Close stops listening and closes all connections.
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

// undecodableLogInterval is the minimum time between two log lines about undecodable frames, as a
// multiple of the peer time-out.
const undecodableLogInterval = 10

// countUndecodable counts an undecodable frame. Log lines about them are rate-limited, since a peer that
// sends nothing else must not flood the log.
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

// readDatagrams dispatches datagrams until the endpoint is closed.
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

// dispatch delivers a reply to its pending call, or runs the handler of a message. origin is the link that
// the frame came from, nil for a datagram; replies go back over it.
func (e *Endpoint) dispatch(f frame, origin *link) {
	if f.Reply {
		e.mu.Lock()
		call, ok := e.calls[f.ID]
		if ok = ok && call.link == origin; ok {
			delete(e.calls, f.ID)
		}
		e.mu.Unlock()
		if !ok {
			e.UnmatchedReplies.Add(1)
			return
		}
		call.reply <- f
		return
	}
	registered, ok := e.handlers[f.Kind]
	if !ok {
		return
	}
	run := func() {
		result, err := registered.handle(f.From, f.Body)
		if f.ID == 0 || origin == nil {
			return
		}
		reply := frame{From: e.self, Kind: f.Kind, ID: f.ID, Reply: true}
		if err != nil {
			reply.Error = err.Error()
		} else if result != nil {
			if reply.Body, err = cbor.Marshal(result); err != nil {
				reply.Error = err.Error()
			}
		}
		if b := encodeFrame(reply); b != nil {
			origin.enqueue(b)
		}
	}
	if registered.async {
		go run()
	} else {
		run()
	}
}

// Send queues a message to a peer over TCP without waiting. The message may be lost.
func (e *Endpoint) Send(to, kind string, body any) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return
	}
	if out := encodeFrame(frame{From: e.self, Kind: kind, Body: encoded}); out != nil {
		e.link(to).enqueue(out)
	}
}

// SendDatagram sends a message as a datagram, or over TCP if it does not fit into one. The message may be
// lost.
func (e *Endpoint) SendDatagram(to, kind string, body any) {
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
		e.WritesSent.Add(1)
		_, _ = e.udp.WriteToUDP(out, addr)
	}
}
