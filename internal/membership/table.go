// Package membership knows the system's nodes. Each node watches the few others
// that rendezvous hashing names for it; what it learns spreads on the back of
// the watching. Roll is the state machine; Service drives it.
package membership

import (
	"math/bits"
	"slices"
	"sort"
	"strconv"
	"time"

	"madderwing/internal/rendezvous"
)

// State is what is believed of a node.
type State uint8

// The states, in the order in which they supersede each other within one
// incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Plane says which of the two kinds of process a node is.
type Plane uint8

// The planes.
const (
	Data Plane = iota
	Control
)

func (p Plane) String() string { return [...]string{"gateway", "control"}[p] }

// Node is one process of the system.
type Node struct {
	Address     string `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Plane       Plane  `cbor:"4,keyasint,omitempty"`
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	State       State  `cbor:"6,keyasint,omitempty"`
	Draining    bool   `cbor:"7,keyasint,omitempty"`
	// Front is the port that serves clients; told only where a registry names it.
	Front uint16 `cbor:"8,keyasint,omitempty"`
}

func (n Node) supersedes(o Node) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	if n.State != o.State {
		return n.State > o.State
	}
	return n.Draining && !o.Draining
}

// Message is what nodes say to each other about nodes.
type Message struct {
	Ping  bool   `cbor:"1,keyasint,omitempty"`
	Seq   uint64 `cbor:"2,keyasint,omitempty"`
	Sum   uint64 `cbor:"3,keyasint,omitempty"` // digest of the sender's whole list
	Nodes []Node `cbor:"4,keyasint,omitempty"` // news, or the whole list
	Whole bool   `cbor:"5,keyasint,omitempty"`
	From  *Node  `cbor:"6,keyasint,omitempty"` // the sender, when it joins
	// Sums are the sender's digests by range: to a ping the answer is the nodes of
	// the ranges that differ, to that the answer is what still does.
	Sums []uint64 `cbor:"7,keyasint,omitempty"`
}

// ranges is how many ranges the nodes are divided into for repair.
const ranges = 64

// Envelope is a message to one node. Large ones go over a connection.
type Envelope struct {
	To    string
	Msg   Message
	Large bool
}

// watchSet is how many others a node watches; a piece of news is passed on
// newsTimes times.
const (
	watchSet  = 3
	newsTimes = 6
	newsMax   = 8
)

// Config is what a roll is told.
type Config struct {
	Self   Node
	Seeds  []string // addresses of control nodes
	Beat   time.Duration
	Forget time.Duration // how long a dead node is remembered
}

type item struct {
	node  Node
	since time.Duration // when the state was learnt
	tell  int           // how often it is still passed on
}

type watch struct {
	sent    uint64
	answers uint64
	misses  int
}

// Table is one node's list of nodes.
type Table struct {
	cfg     Config
	self    *item
	items   map[string]*item
	watched map[string]*watch
	seq     uint64
	next    time.Duration
	out     []Envelope
	sums    [ranges]uint64
	sumOK   bool
	changed bool
	joined  bool
	odd     map[string]int // peers whose list differs, and for how many beats
}

// NewTable makes the list of a node that knows only itself.
func NewTable(cfg Config) *Table {
	cfg.Self.Incarnation = max(cfg.Self.Incarnation, 1)
	r := &Table{cfg: cfg, items: map[string]*item{}, watched: map[string]*watch{}, odd: map[string]int{}}
	r.self = &item{node: cfg.Self, tell: newsTimes}
	r.items[cfg.Self.Address] = r.self
	r.changed = true
	return r
}

// Take returns what is to be sent, and whether the list has changed.
func (r *Table) Take() ([]Envelope, bool) {
	out, changed := r.out, r.changed
	r.out, r.changed = nil, false
	return out, changed
}

// Nodes lists all known nodes by address.
func (r *Table) Nodes() []Node {
	out := make([]Node, 0, len(r.items))
	for _, it := range r.items {
		out = append(out, it.node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// Joined says whether any other node has been heard of.
func (r *Table) Joined() bool { return r.joined }

// digest is that of the whole list.
func (r *Table) digest() (sum uint64) {
	for i, s := range r.digests() {
		sum ^= bits.RotateLeft64(s, i)
	}
	return sum
}

// digests are those of the ranges. Nodes that are gone are left out: who has never
// heard of one, or has forgotten it, has nothing to learn.
func (r *Table) digests() []uint64 {
	if !r.sumOK {
		r.sums, r.sumOK = [ranges]uint64{}, true
		for a, it := range r.items {
			if n := it.node; n.State < Dead {
				v := rendezvous.Weight(a, n.State.String()+strconv.FormatUint(n.Incarnation, 36)+strconv.FormatBool(n.Draining))
				r.sums[rangeOf(a)] ^= v
			}
		}
	}
	return r.sums[:]
}

func rangeOf(address string) int { return int(rendezvous.Weight("range", address) % ranges) }

// differing lists the nodes of the ranges that differ from a peer's.
func (r *Table) differing(theirs []uint64) (out []Node) {
	mine := r.digests()
	for _, n := range r.Nodes() {
		if i := rangeOf(n.Address); i >= len(theirs) || mine[i] != theirs[i] {
			out = append(out, n)
		}
	}
	return out
}

// compare tells a peer the digests, so that both send each other what differs.
func (r *Table) compare(with string) {
	r.out = append(r.out, Envelope{To: with, Msg: Message{Ping: true, Nodes: []Node{r.self.node}, Sums: slices.Clone(r.digests())}})
}

func (r *Table) touch() { r.sumOK, r.changed = false, true }

func (r *Table) news() (out []Node) {
	var list []*item
	for _, it := range r.items {
		if it.tell > 0 {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].tell != list[j].tell {
			return list[i].tell > list[j].tell
		}
		return list[i].node.Address < list[j].node.Address
	})
	for _, it := range list {
		if len(out) == newsMax {
			break
		}
		it.tell--
		out = append(out, it.node)
	}
	return out
}

// Tick lets time pass.
func (r *Table) Tick(now time.Duration) {
	if now < r.next {
		return
	}
	r.next = now + r.cfg.Beat
	for a, it := range r.items {
		switch {
		case it == r.self:
		case it.node.State == Suspect && now-it.since > 2*r.cfg.Beat:
			n := it.node
			n.State = Dead
			r.learn(now, n)
		case it.node.State >= Dead && now-it.since > r.cfg.Forget:
			delete(r.items, a)
			r.touch()
		}
	}
	set := r.WatchSet()
	if len(set) == 0 || !r.joined {
		for _, s := range r.cfg.Seeds {
			if s != r.cfg.Self.Address {
				me := r.self.node
				r.out = append(r.out, Envelope{To: s, Msg: Message{From: &me, Whole: true, Ping: true}, Large: true})
			}
		}
	}
	keep := map[string]*watch{}
	for _, a := range set {
		w := r.watched[a]
		if w == nil {
			w = &watch{}
		} else if w.answers < w.sent {
			w.misses++
		} else {
			w.misses = 0
		}
		keep[a] = w
		if w.misses >= 2 {
			if it := r.items[a]; it != nil && it.node.State == Alive {
				n := it.node
				n.State = Suspect
				r.learn(now, n)
			}
		}
		r.seq++
		w.sent = r.seq
		r.out = append(r.out, Envelope{To: a, Msg: Message{Ping: true, Seq: r.seq, Sum: r.digest(), Nodes: r.news()}})
	}
	r.watched = keep
}

// WatchSet names the nodes that this one watches: those of highest weight
// among the ones that are not known to be gone, and any suspect among the
// last set, so that it may clear itself.
func (r *Table) WatchSet() []string {
	var live []string
	for a, it := range r.items {
		if it != r.self && it.node.State <= Suspect {
			live = append(live, a)
		}
	}
	return rendezvous.Pick(r.cfg.Self.Address, live, watchSet)
}

// Handle takes a message.
func (r *Table) Handle(now time.Duration, from string, m Message) {
	if m.From != nil {
		r.joined = true
		old, known := r.items[from]
		if known && m.From.Incarnation <= old.node.Incarnation {
			// A process that starts anew outlives what was known of the last.
			n := *m.From
			n.Incarnation = old.node.Incarnation
			if old.node.State != Alive || n.Incarnation == old.node.Incarnation && m.Ping {
				n.Incarnation++
			}
			r.learn(now, n)
		} else {
			r.learn(now, *m.From)
		}
	}
	for _, n := range m.Nodes {
		r.learn(now, n)
	}
	if len(m.Nodes) > 0 || m.Seq > 0 {
		r.joined = true
	}
	if it := r.items[from]; it == nil && m.From == nil {
		// A stranger: what it answers names itself. Nothing else of a stranger's is
		// answered, so two that do not take each other in do not answer for ever.
		if m.Ping && len(m.Sums) == 0 {
			r.compare(from)
		}
		return
	}
	if w := r.watched[from]; w != nil && !m.Ping && m.Seq == w.sent {
		w.answers = m.Seq
		if it := r.items[from]; it != nil && it.node.State == Suspect {
			// It answers, but only it may clear itself; tell it.
			r.out = append(r.out, Envelope{To: from, Msg: Message{Nodes: []Node{it.node}}})
		}
	}
	if m.Whole {
		if m.Ping {
			r.out = append(r.out, Envelope{To: from, Msg: Message{Whole: true, Nodes: r.Nodes()}, Large: true})
		}
		return
	}
	if len(m.Sums) > 0 {
		answer := Message{Nodes: r.differing(m.Sums)}
		differ := len(answer.Nodes) > 0
		if m.Ping {
			answer.Sums = slices.Clone(r.digests())
			differ = !slices.Equal(m.Sums, answer.Sums)
		}
		if differ {
			r.out = append(r.out, Envelope{To: from, Msg: answer, Large: len(answer.Nodes) > newsMax})
		}
		return
	}
	if m.Ping {
		r.out = append(r.out, Envelope{To: from, Msg: Message{Seq: m.Seq, Sum: r.digest(), Nodes: r.news()}})
	} else if m.Seq > 0 {
		if m.Sum == r.digest() {
			delete(r.odd, from)
		} else if r.odd[from]++; r.odd[from] >= 3 {
			delete(r.odd, from)
			r.compare(from)
		}
	}
}

// learn takes over news of a node if they supersede what is known.
func (r *Table) learn(now time.Duration, n Node) {
	if n.Address == r.cfg.Self.Address {
		me := &r.self.node
		if n.Incarnation > me.Incarnation || n.Incarnation == me.Incarnation && (n.State > me.State || n.Front != me.Front) {
			me.Incarnation = n.Incarnation
			if n.State > me.State || n.Front != me.Front {
				me.Incarnation++ // what is said of this node is not so
			}
			r.self.tell, r.self.since = newsTimes, now
			r.touch()
		}
		return
	}
	it := r.items[n.Address]
	if it == nil {
		if n.State >= Dead {
			return
		}
		r.items[n.Address] = &item{node: n, since: now, tell: newsTimes}
		r.joined = true
		r.touch()
		return
	}
	if n.supersedes(it.node) {
		it.node, it.since, it.tell = n, now, newsTimes
		r.touch()
	}
}

// Open tells that this node serves clients at a port.
func (r *Table) Open(now time.Duration, port uint16) {
	me := &r.self.node
	if me.Front == port {
		return
	}
	me.Incarnation++
	me.Front = port
	r.self.tell, r.self.since = newsTimes, now
	r.touch()
}

// Leave tells the watch set that this node goes, or that it is draining.
func (r *Table) Leave(now time.Duration, gone bool) {
	me := &r.self.node
	me.Incarnation++
	me.Draining = true
	if gone {
		me.State = Left
	}
	r.self.tell = newsTimes
	r.touch()
	for _, a := range r.WatchSet() {
		r.out = append(r.out, Envelope{To: a, Msg: Message{Nodes: []Node{*me}}})
	}
}
