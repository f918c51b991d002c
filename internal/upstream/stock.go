package upstream

import (
	"cmp"
	"maps"
	"math"
	"net"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"madderwing/internal/membership"
	"madderwing/internal/rendezvous"
)

// Config holds the figures that a stock works by.
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
	holds    map[*Hold]struct{} // requests under way that may be sent elsewhere
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

// Hold is a request's hold on the connection that it waits on. If the upstream
// falls silent for others, the wait is cut short, so that a request that may run
// again goes elsewhere while there is time.
type Hold struct{ conn atomic.Pointer[Conn] }

// On says which connection the request waits on.
func (h *Hold) On(c *Conn) {
	if h != nil {
		h.conn.Store(c)
	}
}

func (h *Hold) cut() {
	if c := h.conn.Load(); c != nil {
		_ = c.SetReadDeadline(time.Now())
	}
}

// Claim is a request's wish for an upstream.
type Claim struct {
	Service  string
	Version  string // a candidate; empty: the version that stands
	Priority int
	Avoid    []string // ids that have been tried
	Retry    bool     // takes from the budget
	Hold     *Hold    // nil if the request must not run again
	Bound    bool     // it may run in Regions only
	Regions  []string
	Aim      time.Duration
	Give     func(Grant)

	arrived time.Duration
	seq     uint64
}

// Grant answers a claim.
type Grant struct {
	Upstream *Upstream
	ID       string
	Address  string
	Conn     *Conn
	Hold     *Hold
	Refused  Refusal
	Abroad   bool // the upstream is in another region
	Began    time.Duration
	Cold     bool
	Busy     int // how many requests of this gateway the upstream had then, with this one
}

// Refusal says why a claim was not granted.
type Refusal int

// The refusals.
const (
	Granted  Refusal = iota
	NoneLeft         // no upstream may be sent to
	Crowded          // too many wait already, or have waited too long
	NoBudget         // the budget for further tries is spent
	Unlisted         // no list of upstreams has been taken yet
)

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
	waiting []*Claim
	slots   int     // of the upstreams that this gateway uses first
	bad     float64 // share of bad answers lately
	took    float64 // seconds that its answers take
	known   int     // answers so far
	packed  packed
	load    float64
	lent    map[string]string // upstream -> the zone that uses it as its own
}

// Stock is the table of upstreams on one gateway. One goroutine owns it.
type Stock struct {
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

// Probe is a question for an upstream's warmth.
type Probe struct {
	Upstream    *Upstream
	ID, Address string
	Path        string
}

// NewStock makes an empty stock.
func NewStock(cfg Config) *Stock {
	return &Stock{cfg: cfg, ups: map[string]*Upstream{}, services: map[string]*service{},
		evacuated: map[string]bool{}, infos: map[string]ServiceInfo{}, bound: map[string]int{},
		first: map[string]string{}}
}

func (s *Stock) region(zone string) string {
	if s.cfg.Region == nil {
		return ""
	}
	return s.cfg.Region(zone)
}

func (s *Stock) service(name string) *service { return s.poolOf(name, "") }

// poolOf is the pool of a service's candidate, or of the version that stands.
func (s *Stock) poolOf(of, candidate string) *service {
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

// SetList takes the instances that stand now.
func (s *Stock) SetList(now time.Duration, list []Instance) {
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

// drop closes the idle connections of an upstream.
func (s *Stock) drop(u *Upstream) {
	s.Closed = append(s.Closed, u.idle...)
	u.idle = nil
}

// Leave says that this gateway goes. From now on every request that has been sent on
// is waited for: to cut its wait short could end it with an error of our own while
// its upstream is at work.
func (s *Stock) Leave() { s.leaving = true }

// cut cuts a request's wait short.
func (s *Stock) cut(h *Hold) {
	if !s.leaving {
		h.cut()
	}
}

// Known says whether a list has been taken.
func (s *Stock) Known() bool { return s.known }

// SetServices takes what the operator says of the services.
func (s *Stock) SetServices(now time.Duration, infos map[string]ServiceInfo, bound map[string]int) {
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
func (s *Stock) SetEvacuated(now time.Duration, zones map[string]bool) {
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

// doubt treats an upstream whose warmth is not known as cold, until the
// platform's word on it must have arrived or the upstream itself has been asked.
func (s *Stock) doubt(now time.Duration, u *Upstream) {
	info := s.infos[u.Service]
	u.coldTill = max(u.coldTill, now+time.Duration(info.WarmupS*float64(time.Second))+s.cfg.Lag)
	s.ask(u)
}

// ask asks an upstream how long it stays cold, if that is this gateway's to do.
func (s *Stock) ask(u *Upstream) {
	path := s.infos[u.Service].HealthPath
	u.outdated = u.asking
	if (u.home || s.sends(u)) && !u.asking && s.poolFor(u) != nil && path != "" {
		u.asking = true
		s.Probes = append(s.Probes, Probe{u, u.ID, u.Address, path})
	}
}

// Probed takes the answer to a probe: how much longer the upstream stays cold.
// Without one (ok is false) it goes on counting as cold. One to a question asked before
// its warmth came into doubt again tells nothing, and it is asked anew.
func (s *Stock) Probed(now time.Duration, u *Upstream, left time.Duration, ok bool) {
	u.asking = false
	if u.outdated {
		u.outdated = false
		if !u.gone && !s.evacuated[u.Zone] {
			s.ask(u)
		}
		return
	}
	if ok && !s.evacuated[u.Zone] {
		u.coldTill = now + left
		s.serve(now, u.pool)
	}
}

// SetGateways takes the gateways that work now, and their shards.
func (s *Stock) SetGateways(now time.Duration, gateways []membership.Node, shards map[string]int) {
	same := func(a, b membership.Node) bool { return a.Address == b.Address && a.Zone == b.Zone }
	if slices.EqualFunc(gateways, s.gateways, same) && maps.Equal(shards, s.shards) {
		return
	}
	s.gateways, s.shards, s.calmAt = gateways, shards, now+s.cfg.Calm
	s.assign(now)
	s.serveAll(now)
}

// ColdSenders is how many gateways may send to an upstream while it is cold.
const ColdSenders = 2

// assign works out which upstreams this gateway uses first.
func (s *Stock) assign(now time.Duration) {
	s.plan++
	s.zones, s.nearOf = map[string][]string{}, map[[2]string][]string{}
	for _, d := range s.gateways {
		s.zones[d.Zone] = append(s.zones[d.Zone], d.Address)
	}
	for _, v := range s.services {
		v.ups, v.slots = v.ups[:0], 0
	}
	s.pools()
	for _, u := range s.ups {
		u.home = false
		if v := s.poolFor(u); v == nil {
			s.drop(u)
		} else if u.pool = v; !u.gone && !s.evacuated[u.Zone] {
			v.ups = append(v.ups, u)
		}
	}
	gateways := s.zones[s.cfg.Zone]
	if len(gateways) == 0 {
		gateways = []string{s.cfg.Self}
	}
	for _, v := range s.services {
		slices.SortFunc(v.ups, byOrder)
		s.nameHomes(v, gateways)
		s.setLimits(v, len(s.gateways))
		s.nameReach(v, len(gateways))
	}
	s.prove(now)
}

// byOrder puts upstreams into the order of weight for their service.
func byOrder(a, b *Upstream) int {
	if c := cmp.Compare(b.order, a.order); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// sends says whether this gateway is one of the few that may send to an upstream while
// it is cold. That is worked out when it is asked for: few upstreams are cold.
func (s *Stock) sends(u *Upstream) bool {
	if u.few != s.plan {
		few := rendezvous.Pick(u.ID, s.near(u.Zone, u.Service), ColdSenders)
		u.few, u.senders = s.plan, max(1, len(few))
		u.sender = slices.Contains(few, s.cfg.Self)
	}
	return u.sender
}

// near lists the gateways of which a few may send to cold upstreams of a service in a
// zone: those of the zone, or all where it has none, and of these the ones of the
// shard that has the service, if there are any.
func (s *Stock) near(zone, service string) []string {
	at := [2]string{zone, service}
	if near, ok := s.nearOf[at]; ok {
		return near
	}
	near := s.zones[zone]
	if len(near) == 0 {
		for _, d := range s.gateways {
			near = append(near, d.Address)
		}
	}
	if shard, ok := s.bound[service]; ok {
		var of []string
		for _, d := range near {
			if s.shards[d] == shard {
				of = append(of, d)
			}
		}
		if len(of) > 0 {
			near = of
		}
	}
	s.nearOf[at] = near
	return near
}

// nameHomes shares the upstreams that the zone uses as its own out among its
// gateways: each goes to the gateway of highest weight that has not yet got its even
// share.
func (s *Stock) nameHomes(v *service, gateways []string) {
	var local []*Upstream
	v.lent = s.lend(v)
	for _, u := range v.ups {
		u.zone = u.Zone
		if z, ok := v.lent[u.ID]; ok {
			u.zone = z
		}
		if u.zone == s.cfg.Zone {
			local = append(local, u)
		}
	}
	v.homes = v.homes[:0]
	most := (len(local) + len(gateways) - 1) / len(gateways)
	have := map[string]int{}
	for _, u := range local { // in the order of weight, as v.ups are
		for _, d := range rendezvous.Order(u.ID, gateways) {
			if have[d] == most {
				continue
			}
			have[d]++
			if d == s.cfg.Self {
				u.home = true
				v.homes = append(v.homes, u)
				v.slots += u.Capacity
			}
			break
		}
	}
}

// Each upstream is in reach of so many gateways of the zone that uses it, beside the one
// that uses it first, and of so many of all other zones; and each gateway reaches so many
// of its zone at least.
const (
	reachedNear = 4
	reachedFar  = 4
	reachMin    = 8
)

// nameReach names the upstreams that this gateway uses at all. With few gateways that is
// all of them. With hundreds, each with little to send elsewhere, an upstream would
// get a request from many at once and be full without any of them knowing.
func (s *Stock) nameReach(v *service, near int) {
	local := 0
	for _, u := range v.ups {
		if u.zone == s.cfg.Zone {
			local++
		}
	}
	shareNear := max(reachedNear/float64(near), reachMin/float64(max(1, local)))
	shareFar := max(reachedFar/float64(max(1, len(s.gateways)-near)), reachMin/float64(max(1, len(v.ups)-local)))
	v.reach = v.reach[:0]
	for _, u := range v.ups {
		share := shareFar
		if u.zone == s.cfg.Zone {
			share = shareNear
		}
		if u.home || float64(u.rank)/math.MaxUint64 < share {
			v.reach = append(v.reach, u)
		}
	}
}

// setLimits bounds what this gateway may have under way at each upstream. The gateway
// that uses one first may fill its slots; the others together may make it queue
// a little. Connections are shared out evenly, with room for two gateways that are
// not known here.
func (s *Stock) setLimits(v *service, gateways int) {
	conns := v.info.MaxConns
	if conns == 0 {
		conns = 64
	}
	for _, u := range v.ups {
		u.limit = max(1, u.Capacity/6)
		if u.home {
			u.limit = u.Capacity
		}
		u.limit = max(1, min(u.limit, conns/(gateways+2)))
	}
}

// lend plans among the zones of this gateway's region only.
func (s *Stock) lend(v *service) map[string]string {
	zones := map[string]bool{s.cfg.Zone: true}
	for _, d := range s.gateways {
		if s.region(d.Zone) == s.region(s.cfg.Zone) {
			zones[d.Zone] = true
		}
	}
	ups := v.ups
	if s.cfg.Region != nil {
		ups = nil
		for _, u := range v.ups {
			if u.near {
				ups = append(ups, u)
			}
		}
	}
	return lend(v.name, ups, s.loads, zones)
}

// SetLoads takes the loads of all zones.
func (s *Stock) SetLoads(now time.Duration, loads Loads) {
	s.loads = loads
	for _, v := range s.services {
		if !maps.Equal(s.lend(v), v.lent) {
			s.assign(now)
			s.serveAll(now)
			return
		}
	}
}

// Loads are this gateway's own.
func (s *Stock) Loads() map[string]float64 {
	out := map[string]float64{}
	for name, v := range s.services {
		if v.load > 0.05 {
			out[name] = math.Round(v.load*10) / 10
		}
	}
	return out
}

// average brings the services' loads up to date.
func (s *Stock) average(now time.Duration) {
	part := 1 - math.Exp(-(now-s.loadAt).Seconds()/loadSpan.Seconds())
	s.loadAt = now
	for _, v := range s.services {
		busy := len(v.waiting)
		for _, u := range v.ups {
			busy += u.Busy
		}
		v.load += (float64(busy) - v.load) * part
	}
}

// loadSpan is the time over which loads are averaged: some requests long.
const loadSpan = 1500 * time.Millisecond

// prove opens a first connection to upstreams that this gateway uses first: the
// warm pools of the services whose routes are bound to its shard, and, whatever
// the shard, to those that have newly appeared, so that no request has to find
// out whether they are there yet. While gateways come and go, who uses what first
// changes too often: it waits for a calm.
func (s *Stock) prove(now time.Duration) {
	s.unproven = now < s.calmAt || len(s.gateways) == 0
	if s.unproven {
		return
	}
	for _, v := range s.services {
		for _, u := range v.homes {
			if !u.fresh && !s.holds(u.Service) {
				continue
			}
			if !u.proven && !u.trying && u.until == 0 {
				u.trying = true
				s.Trials = append(s.Trials, u)
			}
		}
	}
}

// holds says whether this gateway is of the shard that has a service's routes, or
// no shard has them yet.
func (s *Stock) holds(service string) bool {
	shard, bound := s.bound[service]
	return !bound || s.shards[s.cfg.Self] == shard
}

// Cold says whether an upstream counts as cold.
func (u *Upstream) Cold(now time.Duration) bool { return now < u.coldTill }

// othersFrom is the start, in slots, that an upstream has over one of the zone that
// another gateway uses first.
const othersFrom = 0.84

// score is how far an upstream is from being the one to send to: its load in
// units of its slots, with a start for the upstreams that other gateways use
// first. Infinite: not at present.
func (s *Stock) score(now time.Duration, v *service, u *Upstream) float64 {
	if u.gone || now < u.until || now < u.rest || u.trying || u.Busy >= s.most(now, v, u) || u.trial && u.Busy > 0 {
		return math.Inf(1)
	}
	slots := float64(u.Capacity)
	load := (float64(u.Busy) + s.crowd(now, v, u) + 0.5) * s.slowness(now, v, u)
	switch {
	case u.home:
	case u.zone == s.cfg.Zone:
		load += slots * othersFrom
	case !u.near:
		load += slots * 1.3 // the way there is long and dear
	default:
		load += slots * 0.93
	}
	if u.Cold(now) {
		if !s.sends(u) || v.info.WarmupPerS > 0 && !u.pace.Ready(now) {
			return math.Inf(1)
		}
		load += slots * 0.75
	}
	if u.failures > 0 || !u.proven {
		load += 0.3 * slots
	}
	if len(u.idle) == 0 {
		load += 0.1 * slots // a connection would have to be opened
	}
	return load / slots
}

// pick finds the upstream to send to.
func (s *Stock) pick(now time.Duration, v *service, c *Claim) (best *Upstream, any bool) {
	// Nearly always one of the few that this gateway uses first will do, and then no
	// other can be better.
	best, score, any := s.pickFrom(now, v, c, v.homes)
	if score < othersFrom {
		return best, any
	}
	best, _, any = s.pickFrom(now, v, c, v.reach)
	if best == nil && len(v.reach) < len(v.ups) && (!any || s.reachFails(now, v)) {
		best, _, any = s.pickFrom(now, v, c, v.ups)
	}
	return best, any
}

// reachFails says whether half or more of the upstreams in reach cannot be sent to
// whatever their load, as when a zone is lost.
func (s *Stock) reachFails(now time.Duration, v *service) bool {
	out := 0
	for _, u := range v.reach {
		if u.gone || now < u.until || u.trying || u.Cold(now) && !s.sends(u) {
			out++
		}
	}
	return out*2 >= len(v.reach)
}

// pickFrom finds the best of some upstreams and its score.
func (s *Stock) pickFrom(now time.Duration, v *service, c *Claim, ups []*Upstream) (best *Upstream, bestScore float64, any bool) {
	bestScore = math.Inf(1)
next:
	for _, u := range ups {
		if u.gone || c.Bound && !slices.Contains(c.Regions, u.region) {
			continue
		}
		for _, id := range c.Avoid {
			if id == u.ID {
				continue next
			}
		}
		any = true
		sc := s.score(now, v, u)
		if sc < bestScore || sc == bestScore && best != nil && u.rank > best.rank {
			best, bestScore = u, sc
		}
	}
	return best, bestScore, any
}

// Request notes a request for a service: it earns its share of the budget.
func (s *Stock) Request(name string) {
	v := s.service(name)
	v.budget.Earn(s.cfg.RetryRatio, s.ceiling(v))
}

// ceiling is how many tokens this gateway may save up: an even share of half the
// slack for the gateways of the shard that has the service, a token for the rest.
// The other half covers gateways that are not known here.
func (s *Stock) ceiling(v *service) float64 {
	n := len(s.gateways)
	if shard, ok := s.bound[v.of]; ok {
		mine, of := false, 0
		for _, d := range s.gateways {
			if s.shards[d.Address] == shard {
				of++
				mine = mine || d.Address == s.cfg.Self
			}
		}
		rest := float64(n - of)
		if !mine || of == 0 {
			return 1
		}
		return max(1, (s.cfg.RetrySlack/2-rest)/float64(of))
	}
	return max(1, s.cfg.RetrySlack/2/float64(max(n, 1)))
}

// Claim asks for an upstream; the answer may come later.
func (s *Stock) Claim(now time.Duration, c *Claim) {
	v := s.claimed(c)
	s.seq++
	c.arrived, c.seq = now, s.seq
	if c.Retry {
		if !s.refill(now, s.service(c.Service)).Spend() { // the service's, whatever the version
			c.Give(Grant{Refused: NoBudget})
			return
		}
	}
	if !s.grant(now, v, c) {
		if len(v.waiting) >= max(4, v.slots*2) && !s.displace(v, c) {
			s.refuse(v, c, Crowded)
			return
		}
		v.waiting = append(v.waiting, c)
	}
}

// refill brings a service's budget up to date.
func (s *Stock) refill(now time.Duration, v *service) *Budget {
	v.budget.Refill(now, s.ceiling(v)/2/max(s.cfg.Window.Seconds(), 1), s.ceiling(v))
	return &v.budget
}

// displace makes room for a claim by refusing the newest of lowest priority.
func (s *Stock) displace(v *service, c *Claim) bool {
	worst := -1
	for i, w := range v.waiting {
		if w.Priority > c.Priority && (worst < 0 || w.Priority > v.waiting[worst].Priority ||
			w.Priority == v.waiting[worst].Priority && w.seq > v.waiting[worst].seq) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	w := v.waiting[worst]
	v.waiting = append(v.waiting[:worst], v.waiting[worst+1:]...)
	s.refuse(v, w, Crowded)
	return true
}

func (s *Stock) refuse(v *service, c *Claim, why Refusal) {
	if c.Retry {
		s.service(c.Service).budget.Back()
	}
	c.Give(Grant{Refused: why})
}

// grant gives a claim an upstream; false: it has to wait.
func (s *Stock) grant(now time.Duration, v *service, c *Claim) bool {
	u, any := s.pick(now, v, c)
	if u == nil {
		if !any && !s.known {
			s.refuse(v, c, Unlisted)
			return true
		}
		if !any {
			s.refuse(v, c, NoneLeft)
			return true
		}
		return false
	}
	u.Busy++
	if u.Cold(now) {
		s.sends(u)
		u.pace.Pass(now, v.info.WarmupPerS/float64(u.senders))
	}
	g := Grant{Upstream: u, ID: u.ID, Address: u.Address, Hold: c.Hold, Cold: u.Cold(now), Abroad: !u.near, Began: now, Busy: u.Busy}
	u.began(now, c)
	if c.Hold != nil {
		if u.holds == nil {
			u.holds = map[*Hold]struct{}{}
		}
		u.holds[c.Hold] = struct{}{}
	}
	for n := len(u.idle); n > 0 && g.Conn == nil; n-- {
		conn := u.idle[n-1]
		u.idle = u.idle[:n-1]
		if conn.Expires > now {
			g.Conn = conn
		} else {
			s.Closed = append(s.Closed, conn)
		}
	}
	c.Give(g)
	return true
}

// Withdraw takes back a claim that still waits.
func (s *Stock) Withdraw(c *Claim) {
	v := s.claimed(c)
	for i, w := range v.waiting {
		if w == c {
			v.waiting = append(v.waiting[:i], v.waiting[i+1:]...)
			s.refuse(v, c, Crowded)
			return
		}
	}
}

// Outcome tells how a request went at its upstream.
type Outcome int

// The outcomes.
const (
	Served  Outcome = iota // it answered
	Full                   // it turned the request away
	Failing                // it broke off or could not be reached
	Other                  // another upstream has the address
	Silent                 // it no longer so much as acknowledges what it is sent
	Poor                   // it answered with an error of its own
	Unused                 // it was not sent anything
	Reset                  // it reset the connection, as some do when they are full
)

// Release returns an upstream after a request, with the connection if that can
// be used again.
// It says whether the upstream stands out by bad answers.
func (s *Stock) Release(now time.Duration, g Grant, conn *Conn, how Outcome) (odd bool) {
	u := g.Upstream
	u.Busy--
	took := now - g.Began
	if !u.ended(g.Began) {
		took = 0 // how long a large answer was on its way says nothing of the upstream
	}
	delete(u.holds, g.Hold)
	v := u.pool
	switch how {
	case Served, Poor:
		u.proven = true
		u.Served++
		odd = s.answered(now, v, u, took, how == Poor)
		if how == Served {
			v.packed.note(now, u, g.Busy, took)
		}
		if u.bad < badUsual {
			u.failures = 0
		}
	case Full:
		u.Served++
	case Reset:
		u.Failed++
		if u.failures > 0 {
			s.eject(now, u)
			break
		}
		u.failures++
		u.rest = now + s.cfg.Eject/3
	case Failing, Silent:
		u.Failed++
		s.eject(now, u)
		if how == Silent {
			for h := range u.holds {
				s.cut(h)
			}
		}
	case Other:
		u.gone = true
		s.drop(u)
		s.assign(now)
	}
	if conn != nil {
		if u.gone || s.evacuated[u.Zone] || now < u.until || conn.Expires <= now || s.poolFor(u) == nil {
			s.Closed = append(s.Closed, conn)
		} else {
			u.idle = append(u.idle, conn)
		}
	}
	s.serve(now, v)
	return odd
}

// eject keeps requests from an upstream for a while that grows.
func (s *Stock) eject(now time.Duration, u *Upstream) {
	if now < u.until || u.trying {
		return
	}
	pause := s.cfg.Eject << min(u.failures, 6)
	u.failures++
	u.until = now + min(pause, s.cfg.EjectMax)
	s.drop(u)
}

// Tried tells how a trial connection went.
func (s *Stock) Tried(now time.Duration, u *Upstream, conn *Conn) {
	u.trying = false
	if conn == nil {
		u.until = 0
		s.eject(now, u)
		return
	}
	if u.gone || s.evacuated[u.Zone] || s.poolFor(u) == nil {
		s.Closed = append(s.Closed, conn)
		return
	}
	if u.failures > 0 && u.proven {
		s.doubt(now, u) // it was silent; it may have gone cold meanwhile
	}
	u.proven = true
	u.idle = append(u.idle, conn)
	s.serve(now, u.pool)
}

func (s *Stock) serve(now time.Duration, v *service) {
	var stuck []*Claim // what waits for the upstreams of some regions only
	defer func() { v.waiting = append(v.waiting, stuck...) }()
	for len(v.waiting) > 0 {
		best := 0
		for i, w := range v.waiting {
			b := v.waiting[best]
			if w.Priority < b.Priority || w.Priority == b.Priority && w.seq < b.seq {
				best = i
			}
		}
		c := v.waiting[best]
		v.waiting = append(v.waiting[:best], v.waiting[best+1:]...)
		if !s.grant(now, v, c) {
			if c.Bound {
				stuck = append(stuck, c)
				continue
			}
			v.waiting = append(v.waiting, c)
			return
		}
	}
}

func (s *Stock) serveAll(now time.Duration) {
	for _, v := range s.services {
		s.serve(now, v)
	}
}

// Tick lets time pass: trials of ejected upstreams, and claims that wait for
// the pace of cold ones. It says when it wants to be called again; 0: when
// something happens.
func (s *Stock) Tick(now time.Duration) {
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

// State is an upstream as status shows it.
type State struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version,omitempty"`
	Home    bool   `json:"home"`
	Cold    bool   `json:"cold"`
	Ejected bool   `json:"ejected"`
	Busy    int    `json:"busy"`
	Idle    int    `json:"idle"`
	Served  uint64 `json:"served"`
	Failed  uint64 `json:"failed"`
}

// States shows the upstreams.
func (s *Stock) States(now time.Duration) (out []State) {
	for _, u := range s.ups {
		out = append(out, State{u.ID, u.Service, u.Address, u.Zone, u.Version, u.home, u.Cold(now), now < u.until || u.trying,
			u.Busy, len(u.idle), u.Served, u.Failed})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
