package upstream

// This file holds the pools: the upstreams of one version of one service, and the connections to them.

import (
	"net"
	"sync/atomic"
	"time"
)

// ServiceInfo is what the operator says of a service.
type ServiceInfo struct {
	MaxConns   int
	HealthPath string
	WarmupS    float64
	WarmupPerS float64
}

// Conn is an open connection to an upstream that is not in use.
type Conn struct {
	net.Conn
	Reader  any // the reader that belongs to the connection
	Expires time.Duration
}

// Upstream is one life of an upstream as this gateway knows it.
type Upstream struct {
	Instance
	Busy int // requests of this gateway that it has
	// Nameless says that it refuses without naming the request: what it sends over a
	// connection that has been used before cannot be told from what is left over.
	Nameless atomic.Bool

	idle     []*Conn
	holds    map[*WaitHandle]struct{} // requests under way that may be sent elsewhere
	coldTill time.Duration
	pace     Pace
	senders  int  // how many gateways may send to it while it is cold, and whether this one
	sender   bool // is one of them: as of the plan that few names; see few
	few      uint64
	pool     *service // of its service and version; the last one it was in
	home     bool     // this gateway is the one of its zone that uses it first
	zone     string   // the zone that uses it as its own
	rank     uint64   // for this gateway
	order    uint64   // for its service
	limit    int
	region   string
	near     bool // of this gateway's region
	gone     bool
	failures int
	until    time.Duration // ejected till then
	rest     time.Duration // not sent to till then: it has reset a request and may be full
	trying   bool          // a trial connection is being opened
	proven   bool          // a connection to it has once come up
	fresh    bool          // it appeared after the first list
	asking   bool          // a probe for its warmth is under way
	outdated bool          // that was asked before its warmth came into doubt again
	judged
	Served uint64
	Failed uint64
}

// service is the pool of a service's upstreams: those of the version that stands, or
// those of a candidate, which are a pool of their own.
type service struct {
	name    string // of the pool
	of      string // of the service
	info    ServiceInfo
	ups     []*Upstream
	homes   []*Upstream // those that this gateway uses first
	reach   []*Upstream // those that it uses at all, as long as enough of them work
	budget  Budget
	waiting []*AcquireRequest
	slots   int     // of the upstreams that this gateway uses first
	bad     float64 // share of bad answers lately
	took    float64 // seconds that its answers take
	known   int     // answers so far
	packed  saturation
	load    float64
	lent    map[string]string // upstream -> the zone that uses it as its own
}

func (s *Balancer) service(name string) *service { return s.poolOf(name, "") }

// poolOf is the pool of a service's candidate, or of the version that stands.
func (s *Balancer) poolOf(of, candidate string) *service {
	name := of
	if candidate != "" {
		name += "@" + candidate
	}
	v := s.services[name]
	if v == nil {
		v = &service{name: name, of: of, info: s.infos[of]}
		s.services[name] = v
	}
	return v
}

// drop closes the idle connections of an upstream.
func (s *Balancer) drop(u *Upstream) {
	s.Closed = append(s.Closed, u.idle...)
	u.idle = nil
}

// Cold says whether an upstream counts as cold.
func (u *Upstream) Cold(now time.Duration) bool { return now < u.coldTill }
