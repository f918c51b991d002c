package membership

import (
	"sort"
	"sync/atomic"
	"time"

	"madderwing/internal/transport"
)

// messageKind is the kind of membership messages at the transport.
const messageKind = "register"

// List is an immutable snapshot of the known nodes.
type List struct {
	Nodes     []Node
	byAddress map[string]int
}

// Get returns the node with an address.
func (l *List) Get(address string) (Node, bool) {
	index, ok := l.byAddress[address]
	if !ok {
		return Node{}, false
	}
	return l.Nodes[index], true
}

// Live returns the nodes of a plane that are alive or suspect.
func (l *List) Live(plane Plane) (out []Node) {
	for _, n := range l.Nodes {
		if n.Plane == plane && n.State <= Suspect {
			out = append(out, n)
		}
	}
	return out
}

// Shards assigns gateways, by address, to count shards. The gateways of each zone are assigned
// round-robin in the order of their names, so that each shard has gateways in every zone. Dead gateways
// keep their place until they are removed from the list, so the others keep their shards.
func (l *List) Shards(count int) map[string]int {
	zones := map[string][]Node{}
	for _, n := range l.Nodes {
		if n.Plane == Data && n.State != Left {
			zones[n.Zone] = append(zones[n.Zone], n)
		}
	}
	labels := map[string]int{}
	for _, gateways := range zones {
		sort.Slice(gateways, func(i, j int) bool { return gateways[i].Name < gateways[j].Name })
		for i, n := range gateways {
			labels[n.Address] = i % count
		}
	}
	return labels
}

// Service runs a Table over a transport endpoint.
type Service struct {
	table     *Table // owned by the goroutine of Run
	endpoint  *transport.Endpoint
	commands  chan func(now time.Duration) // executed by Run
	list      atomic.Pointer[List]
	startedAt time.Time
	onChange  func(*List)
	done      chan struct{}
}

// NewService returns a Service. onChange is called with the initial list before NewService returns, and
// with each new list on the goroutine of Run; it may be nil.
func NewService(cfg Config, endpoint *transport.Endpoint, onChange func(*List)) *Service {
	service := &Service{table: NewTable(cfg), endpoint: endpoint, commands: make(chan func(time.Duration), 256),
		startedAt: time.Now(), onChange: onChange, done: make(chan struct{})}
	service.publish()
	transport.HandleMessage(endpoint, messageKind, func(from string, message Message) {
		select {
		case service.commands <- func(now time.Duration) { service.table.Handle(now, from, message) }:
		default: // the queue is full: drop the message, as the network may
		}
	})
	return service
}

// publish replaces the snapshot that List returns and calls onChange.
func (s *Service) publish() {
	list := &List{Nodes: s.table.Nodes(), byAddress: map[string]int{}}
	for i, n := range list.Nodes {
		list.byAddress[n.Address] = i
	}
	s.list.Store(list)
	if s.onChange != nil {
		s.onChange(list)
	}
}

// Introduce makes a process that is not a member itself answer nodes that use it as a seed. known
// returns the nodes that a joining node is told of; it may block.
func Introduce(endpoint *transport.Endpoint, known func(joining Node) []Node) {
	transport.HandleMessage(endpoint, messageKind, func(from string, message Message) {
		if message.Joining == nil || !message.Ping || message.Joining.Address != from {
			return
		}
		go func() {
			if nodes := known(*message.Joining); len(nodes) > 0 {
				endpoint.Send(from, messageKind, Message{FullList: true, Nodes: nodes})
			}
		}()
	})
}

// List returns the newest list.
func (s *Service) List() *List { return s.list.Load() }

// NotSuspected reports whether a node is alive or unknown, as opposed to suspect, dead or gone.
func (s *Service) NotSuspected(address string) bool {
	n, ok := s.List().Get(address)
	return !ok || n.State == Alive
}

// Run runs the table until Stop.
func (s *Service) Run() {
	interval := s.table.cfg.ProbeInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	step := func(fn func(time.Duration)) {
		fn(time.Since(s.startedAt))
		messages, changed := s.table.Take()
		for _, envelope := range messages {
			if envelope.Large {
				s.endpoint.Send(envelope.To, messageKind, envelope.Msg)
			} else {
				s.endpoint.SendDatagram(envelope.To, messageKind, envelope.Msg)
			}
		}
		if changed {
			s.publish()
		}
	}
	step(s.table.Tick)
	for {
		select {
		case fn := <-s.commands:
			step(fn)
		case <-ticker.C:
			step(s.table.Tick)
		case <-s.done:
			return
		}
	}
}

// Leave tells the other nodes that this node is draining or, if gone, that it has left.
func (s *Service) Leave(gone bool) {
	s.commands <- func(now time.Duration) { s.table.Leave(now, gone) }
}

// AnnouncePort announces the port at which this node serves client requests.
func (s *Service) AnnouncePort(port uint16) {
	s.commands <- func(now time.Duration) { s.table.AnnouncePort(now, port) }
}

// SetSeeds replaces the seeds.
func (s *Service) SetSeeds(seeds []string) {
	s.commands <- func(time.Duration) { s.table.cfg.Seeds = seeds }
}

// Stop ends Run.
func (s *Service) Stop() { close(s.done) }
