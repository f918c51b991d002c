package upstream

import (
	"maps"
	"slices"
	"time"

	"madderwing/internal/membership"
	"madderwing/internal/rendezvous"
)

// Config configures a Balancer.
type Config struct {
	Self               string // this gateway's address
	Zone               string
	RetryRatio         float64       // retry tokens that each request earns
	RetrySlack         float64       // retries beyond the earned ones, by all gateways to one service in a RetryWindow
	RetryWindow        time.Duration // the window of the retry budget (setting retryWindowS)
	EjectTime          time.Duration // duration of a first ejection; after a first connection reset, a pause of a third of it
	MaxEjectTime       time.Duration // maximum duration of an ejection
	StabilizationDelay time.Duration // how long the set of gateways must be unchanged before first connections are opened
	MaxListAge         time.Duration // how old the platform's list may be when it arrives here
	// RegionOf returns the region of a zone; nil: there is only one region.
	RegionOf func(zone string) string
}

// Balancer is one gateway's load balancer over all upstreams. It is not safe for concurrent
// use: one goroutine owns it.
type Balancer struct {
	cfg              Config
	upstreams        map[string]*Upstream
	pools            map[string]*servicePool
	evacuated        map[string]bool
	serviceInfos     map[string]ServiceInfo
	gateways         []membership.Node
	gatewayShards    map[string]int
	versions         map[string]ServiceVersions
	versionCounts    map[string]map[string]int // service -> version -> number of listed upstreams
	inferredStable   map[string]string         // service -> stable version where none has been set; see inferStableVersions
	serviceShard     map[string]int            // service -> shard whose gateways share its retry slack
	assignmentSeq    uint64                    // counts the calls of assign
	gatewaysByZone   map[string][]string       // zone -> gateways, as of the last assign
	senderCandidates map[[2]string][]string    // cache of coldSenderCandidates, by zone and service, since the last assign
	zoneLoads        Loads
	loadsUpdatedAt   time.Duration
	requestSeq       uint64
	hasList          bool
	verifyPending    bool          // verifyPrimaries is to be called again
	stableAt         time.Duration // when the set of gateways will have been unchanged for Config.StabilizationDelay
	shuttingDown     bool

	PendingTrials []*Upstream // upstreams to open a trial connection to; the caller reports to TrialDone
	PendingProbes []Probe     // health requests to be sent; the caller reports to ProbeDone
	ConnsToClose  []*Conn     // connections for the caller to close
}

// NewBalancer returns a balancer without upstreams.
func NewBalancer(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, upstreams: map[string]*Upstream{}, pools: map[string]*servicePool{},
		evacuated: map[string]bool{}, serviceInfos: map[string]ServiceInfo{}, serviceShard: map[string]int{},
		inferredStable: map[string]string{}}
}

func (b *Balancer) regionOf(zone string) string {
	if b.cfg.RegionOf == nil {
		return ""
	}
	return b.cfg.RegionOf(zone)
}

// SetList replaces the list of instances. Upstreams that are draining or no longer listed are retired.
func (b *Balancer) SetList(now time.Duration, instances []Instance) {
	seen := map[string]bool{}
	for _, instance := range instances {
		seen[instance.ID] = true
		u := b.upstreams[instance.ID]
		warmup := time.Duration(instance.WarmupMs) * time.Millisecond
		if u == nil {
			u = &Upstream{Instance: instance, gatewayWeight: rendezvous.Weight(b.cfg.Self, instance.ID), serviceWeight: rendezvous.Weight(instance.Service, instance.ID), newlyListed: b.hasList,
				region: b.regionOf(instance.Zone), sameRegion: b.regionOf(instance.Zone) == b.regionOf(b.cfg.Zone)}
			b.upstreams[instance.ID] = u
		} else if u.Address != instance.Address {
			b.closeIdle(u)
		}
		u.Instance = instance
		if warmup > 0 {
			u.coldUntil = max(u.coldUntil, now+warmup)
		}
		u.retired = instance.Draining
		if u.retired {
			b.closeIdle(u)
		}
	}
	for id, u := range b.upstreams {
		if !seen[id] {
			u.retired = true
			b.closeIdle(u)
			delete(b.upstreams, id)
		}
	}
	b.hasList = true
	b.assign(now)
	b.dispatchAll(now)
}

// HasList reports whether a list of instances has been set.
func (b *Balancer) HasList() bool { return b.hasList }

// SetServices sets the configuration of the services, and for services that are bound to a shard, the shard.
func (b *Balancer) SetServices(now time.Duration, serviceInfos map[string]ServiceInfo, serviceShard map[string]int) {
	if maps.Equal(serviceInfos, b.serviceInfos) && maps.Equal(serviceShard, b.serviceShard) {
		return
	}
	b.serviceInfos, b.serviceShard = serviceInfos, serviceShard
	for _, pool := range b.pools {
		pool.info = serviceInfos[pool.serviceName]
	}
	b.assign(now)
	b.dispatchAll(now)
}

// SetEvacuated sets the zones that no requests may be sent to. Upstreams of a zone that is no
// longer evacuated count as cold at first, since this gateway's list may be out of date.
func (b *Balancer) SetEvacuated(now time.Duration, zones map[string]bool) {
	if maps.Equal(zones, b.evacuated) {
		return
	}
	var restored []*Upstream
	for _, u := range b.upstreams {
		if b.evacuated[u.Zone] && !zones[u.Zone] {
			restored = append(restored, u)
		}
		if zones[u.Zone] {
			b.closeIdle(u)
		}
	}
	b.evacuated = zones
	b.assign(now)
	for _, u := range restored {
		b.assumeCold(now, u)
	}
	b.dispatchAll(now)
}

// SetGateways sets the gateways that are working now, and their shards by address.
func (b *Balancer) SetGateways(now time.Duration, gateways []membership.Node, shards map[string]int) {
	same := func(a, b membership.Node) bool { return a.Address == b.Address && a.Zone == b.Zone }
	if slices.EqualFunc(gateways, b.gateways, same) && maps.Equal(shards, b.gatewayShards) {
		return
	}
	b.gateways, b.gatewayShards, b.stableAt = gateways, shards, now+b.cfg.StabilizationDelay
	b.assign(now)
	b.dispatchAll(now)
}

// Tick does what is due by time: trials of ejected upstreams, detection of stalled requests,
// closing of expired idle connections, and queued requests that cold upstreams may get now.
func (b *Balancer) Tick(now time.Duration) {
	b.updateLoads(now)
	if b.verifyPending {
		b.verifyPrimaries(now)
	}
	for _, pool := range b.pools {
		for _, u := range pool.upstreams {
			if u.ejectedUntil > 0 && now >= u.ejectedUntil && !u.trialPending && !u.retired {
				u.ejectedUntil = 0
				u.trialPending = true
				b.PendingTrials = append(b.PendingTrials, u)
			}
			b.detectStalls(now, pool, u)
			stillOpen := u.idle[:0]
			for _, c := range u.idle {
				if c.Expires > now {
					stillOpen = append(stillOpen, c)
				} else {
					b.ConnsToClose = append(b.ConnsToClose, c)
				}
			}
			u.idle = stillOpen
		}
		b.dispatch(now, pool)
	}
}
