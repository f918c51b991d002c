// Package membership keeps the list of the system's nodes by a gossip protocol similar to SWIM. Each
// node probes a few others, chosen by rendezvous hashing; changes spread as payload of the probes and
// their replies. Table is the state machine; Service runs it over the network.
package membership

import (
	"math/bits"
	"slices"
	"sort"
	"strconv"
	"time"

	"madderwing/internal/rendezvous"
)

// State is the presumed state of a node.
type State uint8

// The states. Within one incarnation, later ones supersede earlier ones.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Plane tells whether a node is a gateway (data plane) or a control node (control plane).
type Plane uint8

const (
	Data Plane = iota
	Control
)

func (p Plane) String() string { return [...]string{"gateway", "control"}[p] }

// Node describes one process of the system.
type Node struct {
	Address     string `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Plane       Plane  `cbor:"4,keyasint,omitempty"`
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	State       State  `cbor:"6,keyasint,omitempty"`
	Draining    bool   `cbor:"7,keyasint,omitempty"`
	// ClientPort is the port for client requests, 0 if not announced. Gateways announce it only if they are
	// to be listed in a service registry.
	ClientPort uint16 `cbor:"8,keyasint,omitempty"`
}

// supersedes reports whether n is newer than other, a description of the same node.
func (n Node) supersedes(other Node) bool {
	if n.Incarnation != other.Incarnation {
		return n.Incarnation > other.Incarnation
	}
	if n.State != other.State {
		return n.State > other.State
	}
	return n.Draining && !other.Draining
}

// Message is a message of the gossip protocol: a request (Ping) or a reply. With Seq it belongs to a
// probe, with FullList to a request for the full list, with RangeDigests to a comparison of digests. A message
// without these carries only changes.
type Message struct {
	Ping     bool   `cbor:"1,keyasint,omitempty"`
	Seq      uint64 `cbor:"2,keyasint,omitempty"` // number of the probe, repeated in the reply
	Digest   uint64 `cbor:"3,keyasint,omitempty"` // digest of the sender's full list
	Nodes    []Node `cbor:"4,keyasint,omitempty"` // changes, or the full list
	FullList bool   `cbor:"5,keyasint,omitempty"`
	Joining  *Node  `cbor:"6,keyasint,omitempty"` // the sender, when it joins
	// RangeDigests are the sender's digests by range. The reply to a request carries the receiver's nodes of
	// the ranges that differ, and its digests. The requester then sends its own nodes of the ranges that
	// still differ.
	RangeDigests []uint64 `cbor:"7,keyasint,omitempty"`
}

// digestRanges is the number of address ranges whose digests are compared to repair differing lists.
const digestRanges = 64

// Envelope is a message with its recipient.
type Envelope struct {
	To    string
	Msg   Message
	Large bool // send over a connection, not as a datagram
}

const (
	probeCount     = 3 // nodes that a node probes
	gossipRepeats  = 6 // times that a node passes on a change
	maxGossipNodes = 8 // changes in one message
)

// Config configures a Table.
type Config struct {
	Self          Node
	Seeds         []string      // addresses of control nodes
	ProbeInterval time.Duration // between probes of the same node
	DeadRetention time.Duration // how long a dead node stays in the list
}

type entry struct {
	node        Node
	stateSince  time.Duration // when this version of the node was learned
	repeatsLeft int           // how many times it is still passed on
}

type probe struct {
	lastSent     uint64 // sequence numbers
	lastAnswered uint64
	missed       int // consecutive unanswered probes
}

// Table is one node's list of nodes. It does no I/O: callers pass in the time and received messages, and
// send what Take returns. It is not safe for concurrent use.
type Table struct {
	cfg          Config
	self         *entry
	entries      map[string]*entry
	probes       map[string]*probe
	probeSeq     uint64
	nextTick     time.Duration
	outbox       []Envelope
	rangeDigests [digestRanges]uint64
	digestsValid bool
	changed      bool
	joined       bool
	mismatches   map[string]int // by peer: consecutive probe replies with a digest that differs
}

// NewTable returns the list of a node that knows only itself.
func NewTable(cfg Config) *Table {
	cfg.Self.Incarnation = max(cfg.Self.Incarnation, 1)
	t := &Table{cfg: cfg, entries: map[string]*entry{}, probes: map[string]*probe{}, mismatches: map[string]int{}}
	t.self = &entry{node: cfg.Self, repeatsLeft: gossipRepeats}
	t.entries[cfg.Self.Address] = t.self
	t.changed = true
	return t
}

// Take returns the messages to send, and whether the list has changed since the last call.
func (t *Table) Take() ([]Envelope, bool) {
	messages, changed := t.outbox, t.changed
	t.outbox, t.changed = nil, false
	return messages, changed
}

// Nodes returns all known nodes, sorted by address.
func (t *Table) Nodes() []Node {
	nodes := make([]Node, 0, len(t.entries))
	for _, e := range t.entries {
		nodes = append(nodes, e.node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Address < nodes[j].Address })
	return nodes
}

// Joined reports whether this node has heard from, or learned of, another node.
func (t *Table) Joined() bool { return t.joined }

// digest returns the digest of the full list.
func (t *Table) digest() (sum uint64) {
	for i, s := range t.digestsByRange() {
		sum ^= bits.RotateLeft64(s, i)
	}
	return sum
}

// digestsByRange returns the digests of the ranges. Nodes that are dead or have left don't count, so a
// peer that never knew or has already removed such a node has an equal digest.
func (t *Table) digestsByRange() []uint64 {
	if !t.digestsValid {
		t.rangeDigests, t.digestsValid = [digestRanges]uint64{}, true
		for address, e := range t.entries {
			if n := e.node; n.State < Dead {
				digest := rendezvous.Weight(address, n.State.String()+strconv.FormatUint(n.Incarnation, 36)+strconv.FormatBool(n.Draining))
				t.rangeDigests[rangeOf(address)] ^= digest
			}
		}
	}
	return t.rangeDigests[:]
}

// rangeOf returns the range of an address.
func rangeOf(address string) int { return int(rendezvous.Weight("range", address) % digestRanges) }

// nodesInDifferingRanges lists the nodes of the ranges whose digests differ from a peer's.
func (t *Table) nodesInDifferingRanges(peerDigests []uint64) (out []Node) {
	own := t.digestsByRange()
	for _, n := range t.Nodes() {
		if i := rangeOf(n.Address); i >= len(peerDigests) || own[i] != peerDigests[i] {
			out = append(out, n)
		}
	}
	return out
}

// sendDigests sends a peer the digests by range, after which both send each other the nodes of the
// ranges that differ.
func (t *Table) sendDigests(peer string) {
	t.outbox = append(t.outbox, Envelope{To: peer, Msg: Message{Ping: true, Nodes: []Node{t.self.node}, RangeDigests: slices.Clone(t.digestsByRange())}})
}

// markChanged marks the list as changed and its digests as outdated.
func (t *Table) markChanged() { t.digestsValid, t.changed = false, true }

// takeGossip returns the changes to send with a message: those that were passed on least often first.
func (t *Table) takeGossip() (nodes []Node) {
	var pending []*entry
	for _, e := range t.entries {
		if e.repeatsLeft > 0 {
			pending = append(pending, e)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].repeatsLeft != pending[j].repeatsLeft {
			return pending[i].repeatsLeft > pending[j].repeatsLeft
		}
		return pending[i].node.Address < pending[j].node.Address
	})
	for _, e := range pending {
		if len(nodes) == maxGossipNodes {
			break
		}
		e.repeatsLeft--
		nodes = append(nodes, e.node)
	}
	return nodes
}

// Tick, once per probe interval, updates the states of nodes, removes expired ones, and sends probes. A
// node without peers asks the seeds for the full list.
func (t *Table) Tick(now time.Duration) {
	if now < t.nextTick {
		return
	}
	t.nextTick = now + t.cfg.ProbeInterval
	for address, e := range t.entries {
		switch {
		case e == t.self:
		case e.node.State == Suspect && now-e.stateSince > 2*t.cfg.ProbeInterval:
			n := e.node
			n.State = Dead
			t.merge(now, n)
		case e.node.State >= Dead && now-e.stateSince > t.cfg.DeadRetention:
			delete(t.entries, address)
			t.markChanged()
		}
	}
	targets := t.ProbeSet()
	if len(targets) == 0 || !t.joined {
		for _, seed := range t.cfg.Seeds {
			if seed != t.cfg.Self.Address {
				self := t.self.node
				t.outbox = append(t.outbox, Envelope{To: seed, Msg: Message{Joining: &self, FullList: true, Ping: true}, Large: true})
			}
		}
	}
	probes := map[string]*probe{}
	for _, address := range targets {
		p := t.probes[address]
		if p == nil {
			p = &probe{}
		} else if p.lastAnswered < p.lastSent {
			p.missed++
		} else {
			p.missed = 0
		}
		probes[address] = p
		if p.missed >= 2 {
			if e := t.entries[address]; e != nil && e.node.State == Alive {
				n := e.node
				n.State = Suspect
				t.merge(now, n)
			}
		}
		t.probeSeq++
		p.lastSent = t.probeSeq
		t.outbox = append(t.outbox, Envelope{To: address, Msg: Message{Ping: true, Seq: t.probeSeq, Digest: t.digest(), Nodes: t.takeGossip()}})
	}
	t.probes = probes
}

// ProbeSet returns the nodes that this one probes: those of highest rendezvous weight among the alive
// and the suspect. Suspects are still probed so that they can refute the suspicion.
func (t *Table) ProbeSet() []string {
	var live []string
	for address, e := range t.entries {
		if e != t.self && e.node.State <= Suspect {
			live = append(live, address)
		}
	}
	return rendezvous.Pick(t.cfg.Self.Address, live, probeCount)
}

// Handle processes a message from another node.
func (t *Table) Handle(now time.Duration, from string, message Message) {
	if message.Joining != nil {
		t.joined = true
		old, known := t.entries[from]
		if known && message.Joining.Incarnation <= old.node.Incarnation {
			// The process was restarted: its state supersedes that of its predecessor.
			n := *message.Joining
			n.Incarnation = old.node.Incarnation
			if old.node.State != Alive || n.Incarnation == old.node.Incarnation && message.Ping {
				n.Incarnation++
			}
			t.merge(now, n)
		} else {
			t.merge(now, *message.Joining)
		}
	}
	for _, n := range message.Nodes {
		t.merge(now, n)
	}
	if len(message.Nodes) > 0 || message.Seq > 0 {
		t.joined = true
	}
	if e := t.entries[from]; e == nil && message.Joining == nil {
		// The sender is unknown: send it the digests, since its reply to these describes the sender too.
		// Other messages from unknown nodes are not answered, so that two nodes that don't accept each
		// other do not exchange messages endlessly.
		if message.Ping && len(message.RangeDigests) == 0 {
			t.sendDigests(from)
		}
		return
	}
	if p := t.probes[from]; p != nil && !message.Ping && message.Seq == p.lastSent {
		p.lastAnswered = message.Seq
		if e := t.entries[from]; e != nil && e.node.State == Suspect {
			// The suspect replies, but only the suspect itself can refute the suspicion: tell it.
			t.outbox = append(t.outbox, Envelope{To: from, Msg: Message{Nodes: []Node{e.node}}})
		}
	}
	if message.FullList {
		if message.Ping {
			t.outbox = append(t.outbox, Envelope{To: from, Msg: Message{FullList: true, Nodes: t.Nodes()}, Large: true})
		}
		return
	}
	if len(message.RangeDigests) > 0 {
		reply := Message{Nodes: t.nodesInDifferingRanges(message.RangeDigests)}
		differ := len(reply.Nodes) > 0
		if message.Ping {
			reply.RangeDigests = slices.Clone(t.digestsByRange())
			differ = !slices.Equal(message.RangeDigests, reply.RangeDigests)
		}
		if differ {
			t.outbox = append(t.outbox, Envelope{To: from, Msg: reply, Large: len(reply.Nodes) > maxGossipNodes})
		}
		return
	}
	if message.Ping {
		t.outbox = append(t.outbox, Envelope{To: from, Msg: Message{Seq: message.Seq, Digest: t.digest(), Nodes: t.takeGossip()}})
	} else if message.Seq > 0 {
		if message.Digest == t.digest() {
			delete(t.mismatches, from)
		} else if t.mismatches[from]++; t.mismatches[from] >= 3 {
			delete(t.mismatches, from)
			t.sendDigests(from)
		}
	}
}

// merge adopts the description of a node if it supersedes the known one. If others describe this
// node itself wrongly, it refutes that under a higher incarnation.
func (t *Table) merge(now time.Duration, n Node) {
	if n.Address == t.cfg.Self.Address {
		self := &t.self.node
		if n.Incarnation > self.Incarnation || n.Incarnation == self.Incarnation && (n.State > self.State || n.ClientPort != self.ClientPort) {
			self.Incarnation = n.Incarnation
			if n.State > self.State || n.ClientPort != self.ClientPort {
				self.Incarnation++ // refute
			}
			t.self.repeatsLeft, t.self.stateSince = gossipRepeats, now
			t.markChanged()
		}
		return
	}
	e := t.entries[n.Address]
	if e == nil {
		if n.State >= Dead {
			return
		}
		t.entries[n.Address] = &entry{node: n, stateSince: now, repeatsLeft: gossipRepeats}
		t.joined = true
		t.markChanged()
		return
	}
	if n.supersedes(e.node) {
		e.node, e.stateSince, e.repeatsLeft = n, now, gossipRepeats
		t.markChanged()
	}
}

// AnnouncePort announces the port at which this node serves client requests.
func (t *Table) AnnouncePort(now time.Duration, port uint16) {
	self := &t.self.node
	if self.ClientPort == port {
		return
	}
	self.Incarnation++
	self.ClientPort = port
	t.self.repeatsLeft, t.self.stateSince = gossipRepeats, now
	t.markChanged()
}

// Leave tells the probed nodes that this node is draining or, if gone, that it has left.
func (t *Table) Leave(now time.Duration, gone bool) {
	self := &t.self.node
	self.Incarnation++
	self.Draining = true
	if gone {
		self.State = Left
	}
	t.self.repeatsLeft = gossipRepeats
	t.markChanged()
	for _, address := range t.ProbeSet() {
		t.outbox = append(t.outbox, Envelope{To: address, Msg: Message{Nodes: []Node{*self}}})
	}
}
