package upstream

// This file divides the upstreams among the gateways: the primary upstreams of this gateway, which it uses first,
// the subset that it uses at all, and how many requests it may have at each.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"madderwing/internal/rendezvous"
)

// ColdSenders is the number of gateways that may send requests to an upstream while it is cold.
const ColdSenders = 2

// assign recomputes the pools, and for each of them the primary upstreams, the subset and the limits.
func (b *Balancer) assign(now time.Duration) {
	b.assignmentSeq++
	b.gatewaysByZone, b.senderCandidates = map[string][]string{}, map[[2]string][]string{}
	for _, gateway := range b.gateways {
		b.gatewaysByZone[gateway.Zone] = append(b.gatewaysByZone[gateway.Zone], gateway.Address)
	}
	for _, pool := range b.pools {
		pool.upstreams, pool.primarySlots = pool.upstreams[:0], 0
	}
	b.reconcilePools()
	for _, u := range b.upstreams {
		u.primary = false
		if pool := b.poolOf(u); pool == nil {
			b.closeIdle(u)
		} else if u.pool = pool; !u.retired && !b.evacuated[u.Zone] {
			pool.upstreams = append(pool.upstreams, u)
		}
	}
	zoneGateways := b.gatewaysByZone[b.cfg.Zone]
	if len(zoneGateways) == 0 {
		zoneGateways = []string{b.cfg.Self}
	}
	for _, pool := range b.pools {
		slices.SortFunc(pool.upstreams, byServiceWeight)
		b.assignPrimaries(pool, zoneGateways)
		b.setLimits(pool, len(b.gateways))
		b.selectSubset(pool, len(zoneGateways))
	}
	b.verifyPrimaries(now)
}

// byServiceWeight sorts upstreams by descending rendezvous weight for their service, then by ID.
func byServiceWeight(a, b *Upstream) int {
	if c := cmp.Compare(b.serviceWeight, a.serviceWeight); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// isColdSender reports whether this gateway is one of the few that may send to an upstream while
// it is cold. It is computed on demand, since few upstreams are cold.
func (b *Balancer) isColdSender(u *Upstream) bool {
	if u.sendersSeq != b.assignmentSeq {
		senders := rendezvous.Pick(u.ID, b.coldSenderCandidates(u.Zone, u.Service), ColdSenders)
		u.sendersSeq, u.senderCount = b.assignmentSeq, max(1, len(senders))
		u.isSender = slices.Contains(senders, b.cfg.Self)
	}
	return u.isSender
}

// coldSenderCandidates lists the gateways from which the senders for cold upstreams of a
// service in a zone are picked: the gateways of the zone, or all if it has none; of these,
// those of the service's shard if there are any.
func (b *Balancer) coldSenderCandidates(zone, service string) []string {
	key := [2]string{zone, service}
	if candidates, ok := b.senderCandidates[key]; ok {
		return candidates
	}
	candidates := b.gatewaysByZone[zone]
	if len(candidates) == 0 {
		for _, gateway := range b.gateways {
			candidates = append(candidates, gateway.Address)
		}
	}
	if shard, ok := b.serviceShard[service]; ok {
		var inShard []string
		for _, address := range candidates {
			if b.gatewayShards[address] == shard {
				inShard = append(inShard, address)
			}
		}
		if len(inShard) > 0 {
			candidates = inShard
		}
	}
	b.senderCandidates[key] = candidates
	return candidates
}

// assignPrimaries divides the upstreams that serve this gateway's zone among the gateways of
// the zone: each upstream becomes a primary of the gateway of highest rendezvous weight that
// does not have its even share yet.
func (b *Balancer) assignPrimaries(pool *servicePool, zoneGateways []string) {
	var local []*Upstream
	pool.reassigned = b.planZones(pool)
	for _, u := range pool.upstreams {
		u.servingZone = u.Zone
		if zone, ok := pool.reassigned[u.ID]; ok {
			u.servingZone = zone
		}
		if u.servingZone == b.cfg.Zone {
			local = append(local, u)
		}
	}
	pool.primaries = pool.primaries[:0]
	maxEach := (len(local) + len(zoneGateways) - 1) / len(zoneGateways)
	assigned := map[string]int{}
	for _, u := range local { // in the order of pool.upstreams, by weight
		for _, gateway := range rendezvous.Order(u.ID, zoneGateways) {
			if assigned[gateway] == maxEach {
				continue
			}
			assigned[gateway]++
			if gateway == b.cfg.Self {
				u.primary = true
				pool.primaries = append(pool.primaries, u)
				pool.primarySlots += u.Capacity
			}
			break
		}
	}
}

// Expected sizes of the subsets. Each upstream is used by about gatewaysPerUpstreamNear gateways
// of its serving zone, besides the one whose primary it is, and by gatewaysPerUpstreamFar of
// all other zones together. Each gateway has at least about minSubset upstreams that serve
// its zone, and as many others.
const (
	gatewaysPerUpstreamNear = 4
	gatewaysPerUpstreamFar  = 4
	minSubset               = 8
)

// selectSubset selects the upstreams that this gateway uses at all. With few gateways these
// are all. With hundreds of gateways, each of which sends little beyond its primaries, an
// upstream could get requests from many at once and be full without any of them knowing.
func (b *Balancer) selectSubset(pool *servicePool, zoneGatewayCount int) {
	localUpstreams := 0
	for _, u := range pool.upstreams {
		if u.servingZone == b.cfg.Zone {
			localUpstreams++
		}
	}
	nearFraction := max(gatewaysPerUpstreamNear/float64(zoneGatewayCount), minSubset/float64(max(1, localUpstreams)))
	farFraction := max(gatewaysPerUpstreamFar/float64(max(1, len(b.gateways)-zoneGatewayCount)), minSubset/float64(max(1, len(pool.upstreams)-localUpstreams)))
	pool.subset = pool.subset[:0]
	for _, u := range pool.upstreams {
		fraction := farFraction
		if u.servingZone == b.cfg.Zone {
			fraction = nearFraction
		}
		if u.primary || float64(u.gatewayWeight)/math.MaxUint64 < fraction {
			pool.subset = append(pool.subset, u)
		}
	}
}

// setLimits limits the requests that this gateway may have in flight at each upstream. The
// gateway whose primary it is may use all of its capacity; the others together may make it
// queue a little. Connections are divided evenly, with room for two gateways that are not
// known here.
func (b *Balancer) setLimits(pool *servicePool, gatewayCount int) {
	maxConns := pool.info.MaxConns
	if maxConns == 0 {
		maxConns = 64
	}
	for _, u := range pool.upstreams {
		u.maxInFlight = max(1, u.Capacity/6)
		if u.primary {
			u.maxInFlight = u.Capacity
		}
		u.maxInFlight = max(1, min(u.maxInFlight, maxConns/(gatewayCount+2)))
	}
}

// planZones reassigns upstreams of a pool among the zones of this gateway's region only.
func (b *Balancer) planZones(pool *servicePool) map[string]string {
	zones := map[string]bool{b.cfg.Zone: true}
	for _, gateway := range b.gateways {
		if b.regionOf(gateway.Zone) == b.regionOf(b.cfg.Zone) {
			zones[gateway.Zone] = true
		}
	}
	candidates := pool.upstreams
	if b.cfg.RegionOf != nil {
		candidates = nil
		for _, u := range pool.upstreams {
			if u.sameRegion {
				candidates = append(candidates, u)
			}
		}
	}
	return reassignZones(pool.key, candidates, b.zoneLoads, zones)
}
