package upstream

// This file holds the pools (the upstreams of one version of one service) and the connections to them.

import (
	"net"
	"sync/atomic"
	"time"
)

// ServiceInfo is the configuration of a service.
type ServiceInfo struct {
	MaxConns   int     // connections that each upstream accepts from all gateways together; 0: 64
	HealthPath string  // path for probes; empty: none
	WarmupS    float64 // duration of a warm-up
	WarmupPerS float64 // requests a second that a cold upstream may get from all gateways; 0: no limit
}

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader  any           // the buffered reader of the connection
	Expires time.Duration // not used for another request after this time
}

// Upstream is one instance of a server as this gateway knows it. After a restart the server is another instance.
type Upstream struct {
	Instance
	InFlight int // requests that this gateway has in flight at it
	// AnonymousRefusals is set if its refusals do not carry the request's Attempt-Id: on a reused connection
	// they cannot be told from the remains of an earlier response.
	AnonymousRefusals atomic.Bool

	idle          []*Conn
	waitHandles   map[*WaitHandle]struct{} // of the requests in flight that may be retried elsewhere
	coldUntil     time.Duration
	warmupLimiter WarmupLimiter
	senderCount   int  // gateways that may send to it while it is cold; see isColdSender
	isSender      bool // whether this gateway is one of them
	sendersSeq    uint64
	pool          *servicePool // its current pool, or the last one that it was in
	primary       bool         // it is a primary upstream of this gateway; see assignPrimaries
	servingZone   string       // the zone whose gateways use it as local; see reassignZones
	gatewayWeight uint64       // rendezvous weight for this gateway
	serviceWeight uint64       // rendezvous weight for its service
	maxInFlight   int
	region        string
	sameRegion    bool // it is in this gateway's region
	retired       bool // draining, no longer listed, or another upstream has its address
	failures      int
	ejectedUntil  time.Duration // no requests until a trial connection after this time; 0: not ejected
	pausedUntil   time.Duration // no requests until then: it has reset a connection and may be overloaded
	trialPending  bool          // a trial connection has been requested or is being opened
	verified      bool          // a connection to it has been established, or it has responded
	newlyListed   bool          // it was not in the first list
	probing       bool          // a probe of its remaining warm-up time is in flight
	probeStale    bool          // the warm-up state became unknown again after that probe was sent
	outlierStats
	Served uint64
	Failed uint64
}

// servicePool holds the upstreams of one version of a service: the stable version or the candidate.
type servicePool struct {
	key          string // the service's name, followed by "@version" for a candidate
	serviceName  string
	info         ServiceInfo
	upstreams    []*Upstream
	primaries    []*Upstream // upstreams that this gateway uses first
	subset       []*Upstream // upstreams that it uses at all, as long as enough of them are available
	budget       RetryBudget
	queue        []*AcquireRequest
	primarySlots int     // total capacity of the primaries
	errorRate    float64 // moving average
	latencyS     float64 // moving average of the latency in seconds
	responses    int     // number of responses so far
	saturation   saturation
	load         float64           // moving average of the requests in flight and queued
	reassigned   map[string]string // upstream ID -> serving zone, where that is not its own zone
}

func (b *Balancer) stablePool(serviceName string) *servicePool {
	return b.poolForVersion(serviceName, "")
}

// poolForVersion returns the pool of a service's candidate, or of its stable version if
// candidate is empty.
func (b *Balancer) poolForVersion(serviceName, candidate string) *servicePool {
	key := serviceName
	if candidate != "" {
		key += "@" + candidate
	}
	pool := b.pools[key]
	if pool == nil {
		pool = &servicePool{key: key, serviceName: serviceName, info: b.serviceInfos[serviceName]}
		b.pools[key] = pool
	}
	return pool
}

// closeIdle closes the idle connections of an upstream.
func (b *Balancer) closeIdle(u *Upstream) {
	b.ConnsToClose = append(b.ConnsToClose, u.idle...)
	u.idle = nil
}

// Cold reports whether an upstream is still warming up, or must be assumed to be.
func (u *Upstream) Cold(now time.Duration) bool { return now < u.coldUntil }
