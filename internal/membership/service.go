package membership

import (
	"sort"
	"sync/atomic"
	"time"

	"madderwing/internal/transport"
)

const kind = "register"

// List is what the other parts see of the nodes.
type List struct {
	Nodes []Node
	byAdr map[string]int
}

// Get finds a node by address.
func (l *List) Get(address string) (Node, bool) {
	i, ok := l.byAdr[address]
	if !ok {
		return Node{}, false
	}
	return l.Nodes[i], true
}

// Live lists the nodes of a plane that are taken to be working.
func (l *List) Live(p Plane) (out []Node) {
	for _, n := range l.Nodes {
		if n.Plane == p && n.State <= Suspect {
			out = append(out, n)
		}
	}
	return out
}

// Shards labels the gateways: the gateways of each zone, in the order of their
// names, take the labels in turn, so that each shard has gateways in every zone.
// Dead gateways keep their place until they are forgotten, so labels stay put.
func (l *List) Shards(count int) map[string]int {
	zones := map[string][]Node{}
	for _, n := range l.Nodes {
		if n.Plane == Data && n.State != Left {
			zones[n.Zone] = append(zones[n.Zone], n)
		}
	}
	out := map[string]int{}
	for _, gateways := range zones {
		sort.Slice(gateways, func(i, j int) bool { return gateways[i].Name < gateways[j].Name })
		for i, n := range gateways {
			out[n.Address] = i % count
		}
	}
	return out
}

// Service drives a Roll over a Mesh. One goroutine owns the roll.
type Service struct {
	roll     *Table
	post     *transport.Endpoint
	commands chan func(now time.Duration)
	list     atomic.Pointer[List]
	start    time.Time
	onChange func(*List)
	done     chan struct{}
}

// NewService makes the service; onChange runs on the service's goroutine.
func NewService(cfg Config, post *transport.Endpoint, onChange func(*List)) *Service {
	s := &Service{roll: NewTable(cfg), post: post, commands: make(chan func(time.Duration), 256),
		start: time.Now(), onChange: onChange, done: make(chan struct{})}
	s.publish()
	transport.On(post, kind, func(from string, m Message) {
		select {
		case s.commands <- func(now time.Duration) { s.roll.Handle(now, from, m) }:
		default:
		}
	})
	return s
}

func (s *Service) publish() {
	l := &List{Nodes: s.roll.Nodes(), byAdr: map[string]int{}}
	for i, n := range l.Nodes {
		l.byAdr[n.Address] = i
	}
	s.list.Store(l)
	if s.onChange != nil {
		s.onChange(l)
	}
}

// Introduce answers the nodes that join through a process that is in no register
// itself: known gives the nodes that such a one is told of. It may block.
func Introduce(post *transport.Endpoint, known func(joins Node) []Node) {
	transport.On(post, kind, func(from string, m Message) {
		if m.From == nil || !m.Ping || m.From.Address != from {
			return
		}
		go func() {
			if nodes := known(*m.From); len(nodes) > 0 {
				post.Send(from, kind, Message{Whole: true, Nodes: nodes})
			}
		}()
	})
}

// List is the newest list.
func (s *Service) List() *List { return s.list.Load() }

// Hopeful says whether nothing is known against a node.
func (s *Service) Hopeful(address string) bool {
	n, ok := s.List().Get(address)
	return !ok || n.State == Alive
}

// Run drives the roll until Stop.
func (s *Service) Run() {
	beat := s.roll.cfg.Beat
	timer := time.NewTicker(beat)
	defer timer.Stop()
	step := func(fn func(time.Duration)) {
		fn(time.Since(s.start))
		out, changed := s.roll.Take()
		for _, e := range out {
			if e.Large {
				s.post.Send(e.To, kind, e.Msg)
			} else {
				s.post.Toss(e.To, kind, e.Msg)
			}
		}
		if changed {
			s.publish()
		}
	}
	step(s.roll.Tick)
	for {
		select {
		case fn := <-s.commands:
			step(fn)
		case <-timer.C:
			step(s.roll.Tick)
		case <-s.done:
			return
		}
	}
}

// Leave tells others that this node drains, or is gone.
func (s *Service) Leave(gone bool) {
	s.commands <- func(now time.Duration) { s.roll.Leave(now, gone) }
}

// Open tells others that this node serves clients at a port.
func (s *Service) Open(port uint16) {
	s.commands <- func(now time.Duration) { s.roll.Open(now, port) }
}

// Seeds gives the roll other seeds.
func (s *Service) Seeds(seeds []string) {
	s.commands <- func(time.Duration) { s.roll.cfg.Seeds = seeds }
}

// Stop ends Run.
func (s *Service) Stop() { close(s.done) }
