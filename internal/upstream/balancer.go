package upstream

import (
	"maps"
	"slices"
	"time"

	"madderwing/internal/membership"
	"madderwing/internal/rendezvous"
)

// Config holds the figures that a balancer works by.
type Config struct {
	Self       string // this gateway's address
	Zone       string
	RetryRatio float64
	RetrySlack float64
	Window     time.Duration // retryWindowS
	Eject      time.Duration // first pause after a failure; a third of it after a first reset
	EjectMax   time.Duration
	Calm       time.Duration // how long gateways must be the same before pools are opened
	Lag        time.Duration // how old the platform's word may be when it is here
	// Region tells the region of a zone; nil: there is but one.
	Region func(zone string) string
}

// Balancer is the table of upstreams on one gateway. One goroutine owns it.
type Balancer struct {
	cfg       Config
	ups       map[string]*Upstream
	services  map[string]*service
	evacuated map[string]bool
	infos     map[string]ServiceInfo
	gateways  []membership.Node
	shards    map[string]int
	versions  map[string]Versions
	listed    map[string]map[string]int // service -> version -> upstreams
	first     map[string]string         // service -> version first seen, while nobody has said what stands
	bound     map[string]int            // service -> shard whose gateways hold its slack
	plan      uint64                    // counts the times that upstreams were shared out anew
	zones     map[string][]string       // zone -> gateways, as of that plan
	nearOf    map[[2]string][]string    // zone, service -> gateways that may send to cold ones there
	loads     Loads
	loadAt    time.Duration
	seq       uint64
	known     bool
	unproven  bool          // there may be upstreams to be proven
	calmAt    time.Duration // when gateways will have been the same for long enough
	leaving   bool

	Trials []*Upstream // connections to be opened to see whether an upstream is back
	Probes []Probe     // questions for an upstream's warmth
	Closed []*Conn     // connections to be closed
}

// NewBalancer makes an empty stock.
func NewBalancer(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, ups: map[string]*Upstream{}, services: map[string]*service{},
		evacuated: map[string]bool{}, infos: map[string]ServiceInfo{}, bound: map[string]int{},
		first: map[string]string{}}
}

func (s *Balancer) region(zone string) string {
	if s.cfg.Region == nil {
		return ""
	}
	return s.cfg.Region(zone)
}

// SetList takes the instances that stand now.
func (s *Balancer) SetList(now time.Duration, list []Instance) {
	seen := map[string]bool{}
	for _, i := range list {
		seen[i.ID] = true
		u := s.ups[i.ID]
		cold := time.Duration(i.WarmupMs) * time.Millisecond
		if u == nil {
			u = &Upstream{Instance: i, rank: rendezvous.Weight(s.cfg.Self, i.ID), order: rendezvous.Weight(i.Service, i.ID), fresh: s.known,
				region: s.region(i.Zone), near: s.region(i.Zone) == s.region(s.cfg.Zone)}
			s.ups[i.ID] = u
		} else if u.Address != i.Address {
			s.drop(u)
		}
		u.Instance = i
		if cold > 0 {
			u.coldTill = max(u.coldTill, now+cold)
		}
		u.gone = i.Draining
		if u.gone {
			s.drop(u)
		}
	}
	for id, u := range s.ups {
		if !seen[id] {
			u.gone = true
			s.drop(u)
			delete(s.ups, id)
		}
	}
	s.known = true
	s.assign(now)
	s.serveAll(now)
}

// Known says whether a list has been taken.
func (s *Balancer) Known() bool { return s.known }

// SetServices takes what the operator says of the services.
func (s *Balancer) SetServices(now time.Duration, infos map[string]ServiceInfo, bound map[string]int) {
	if maps.Equal(infos, s.infos) && maps.Equal(bound, s.bound) {
		return
	}
	s.infos, s.bound = infos, bound
	for _, v := range s.services {
		v.info = infos[v.of]
	}
	s.assign(now)
	s.serveAll(now)
}

// SetEvacuated takes the zones that nothing may be sent to. Upstreams of a zone
// that is taken back count as cold until the platform's word, with its lag, can
// be trusted again.
func (s *Balancer) SetEvacuated(now time.Duration, zones map[string]bool) {
	if maps.Equal(zones, s.evacuated) {
		return
	}
	var back []*Upstream
	for _, u := range s.ups {
		if s.evacuated[u.Zone] && !zones[u.Zone] {
			back = append(back, u)
		}
		if zones[u.Zone] {
			s.drop(u)
		}
	}
	s.evacuated = zones
	s.assign(now)
	for _, u := range back {
		s.doubt(now, u)
	}
	s.serveAll(now)
}

// SetGateways takes the gateways that work now, and their shards.
func (s *Balancer) SetGateways(now time.Duration, gateways []membership.Node, shards map[string]int) {
	same := func(a, b membership.Node) bool { return a.Address == b.Address && a.Zone == b.Zone }
	if slices.EqualFunc(gateways, s.gateways, same) && maps.Equal(shards, s.shards) {
		return
	}
	s.gateways, s.shards, s.calmAt = gateways, shards, now+s.cfg.Calm
	s.assign(now)
	s.serveAll(now)
}

// Tick lets time pass: trials of ejected upstreams, and claims that wait for
// the pace of cold ones. It says when it wants to be called again; 0: when
// something happens.
func (s *Balancer) Tick(now time.Duration) {
	s.average(now)
	if s.unproven {
		s.prove(now)
	}
	for _, v := range s.services {
		for _, u := range v.ups {
			if u.until > 0 && now >= u.until && !u.trying && !u.gone {
				u.until = 0
				u.trying = true
				s.Trials = append(s.Trials, u)
			}
			s.watch(now, v, u)
			kept := u.idle[:0]
			for _, c := range u.idle {
				if c.Expires > now {
					kept = append(kept, c)
				} else {
					s.Closed = append(s.Closed, c)
				}
			}
			u.idle = kept
		}
		s.serve(now, v)
	}
}
