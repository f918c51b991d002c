package controlplane

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/membership"
	"madderwing/internal/rendezvous"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
)

// Times of a relay: the fractions of contactS after which another control node is asked as well,
// and that a call may take in all, and the upper limit of the latter. A caller gives up on a node
// after a second.
const (
	relayHedgeFraction   = 1.0 / 20
	relayTimeoutFraction = 1.0 / 6
	maxRelayTimeout      = time.Second / 2
)

// maxRelayNodes bounds the control nodes that a relay remembers only because they introduced
// themselves.
const maxRelayNodes = 64

// picker finds the control node that a call is redirected to. It queries nodes only while it
// handles a call itself.
type picker struct {
	self       string
	zone       string
	hedgeDelay time.Duration // after which another node is asked as well
	timeout    time.Duration // for a call in all
	cooldown   time.Duration // how long a control node that gave no good answer is asked last
	ask        func(ctx context.Context, to, partition string) (relayAnswer, error)

	mu          sync.Mutex
	seeds       []string
	nodes       map[string]membership.Node // control nodes, according to the last good answer
	owners      map[string]string
	failed      map[string]time.Time
	lastWorking string    // the node that gave the last good answer
	searchedAt  time.Time // time of the last good answer, or of the last search for a joining node
}

// newPicker creates the picker of a relay, which asks over the transport.
func newPicker(cfg *settings.Settings, endpoint *transport.Endpoint) *picker {
	return &picker{self: endpoint.Address(), zone: cfg.Zone, seeds: cfg.SeedControlAddresses(),
		hedgeDelay: min(settings.Seconds(cfg.Bounds.ContactS*relayHedgeFraction), maxRelayTimeout/4),
		timeout:    min(settings.Seconds(cfg.Bounds.ContactS*relayTimeoutFraction), maxRelayTimeout),
		cooldown:   settings.Seconds(cfg.Bounds.ContactS),
		nodes:      map[string]membership.Node{}, owners: map[string]string{}, failed: map[string]time.Time{},
		ask: func(ctx context.Context, to, partition string) (a relayAnswer, err error) {
			err = endpoint.Call(ctx, to, relayKind, relayQuestion{partition}, &a)
			return a, err
		}}
}

// pick returns a working control node, which is the owner of the partition if that is known and
// answers; empty: none answered in time, or the caller has left.
func (p *picker) pick(caller context.Context, partition string) string {
	ctx, cancel := context.WithTimeout(caller, p.timeout)
	defer cancel()
	asked := map[string]bool{p.self: true}
	first, owner := p.firstWorking(ctx, partition, asked)
	if owner == "" || asked[owner] || p.coolingDown(owner) {
		return first // no owner is known, or it was asked already or recently gave no good answer
	}
	ctx, cancel = context.WithTimeout(ctx, p.hedgeDelay)
	defer cancel()
	answer, err := p.query(ctx, owner, partition)
	switch {
	case caller.Err() != nil: // not the owner's fault
	case err != nil:
		p.noteFailure(owner)
	case answer.Working && !answer.Relay:
		return owner
	}
	return first
}

type queryResult struct {
	from   string
	answer relayAnswer
	err    error
}

// firstWorking asks one candidate after the other, and a further one where one is slow. It returns
// the first that works, and the owner that this one names. Nodes in asked are skipped, and the
// nodes that it asks are added to it.
func (p *picker) firstWorking(ctx context.Context, partition string, asked map[string]bool) (from, owner string) {
	queue := p.candidates(partition)
	answers := make(chan queryResult)
	slow := time.NewTimer(p.hedgeDelay)
	defer slow.Stop()
	outstanding, lastAsked := 0, ""
	next := func() {
		for len(queue) > 0 {
			to := queue[0]
			queue = queue[1:]
			if asked[to] {
				continue
			}
			asked[to], lastAsked = true, to
			outstanding++
			slow.Reset(p.hedgeDelay)
			go func() {
				answer, err := p.query(ctx, to, partition)
				select {
				case answers <- queryResult{to, answer, err}:
				case <-ctx.Done():
				}
			}()
			return
		}
	}
	for next(); outstanding > 0; {
		select {
		case result := <-answers:
			outstanding--
			switch {
			case result.err != nil:
			case result.answer.Relay:
				for _, n := range result.answer.Nodes {
					queue = append(queue, n.Address)
				}
			case result.answer.Working:
				return result.from, result.answer.Owner
			}
			next()
		case <-slow.C:
			p.noteFailure(lastAsked) // until it answers after all
			next()
		case <-ctx.Done():
			return "", ""
		}
	}
	return "", ""
}

// query asks one node and records the result.
func (p *picker) query(ctx context.Context, target, partition string) (relayAnswer, error) {
	answer, err := p.ask(ctx, target, partition)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil && answer.Working && !answer.Relay:
		delete(p.failed, target)
		p.nodes = map[string]membership.Node{}
		for _, n := range answer.Nodes {
			p.nodes[n.Address] = n
		}
		if answer.Owner != "" {
			p.owners[partition] = answer.Owner
		}
		p.lastWorking, p.searchedAt = target, time.Now()
		maps.DeleteFunc(p.failed, func(id string, at time.Time) bool { return time.Since(at) > p.cooldown })
	case err != nil && ctx.Err() != nil:
		// Another node was quicker, or the time is over; the caller decides whether this one
		// failed.
	default:
		p.failed[target] = time.Now()
	}
	return answer, err
}

// noteFailure records that a node gave no good answer.
func (p *picker) noteFailure(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[id] = time.Now()
}

// coolingDown reports whether a node has recently given no good answer.
func (p *picker) coolingDown(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coolingDownLocked(id)
}

func (p *picker) coolingDownLocked(id string) bool {
	at, ok := p.failed[id]
	return ok && time.Since(at) < p.cooldown
}

// candidates lists the nodes to ask, in order: the owner, the node that answered last, the other
// control nodes with those of this zone first, and the seeds. Those that recently gave no good answer
// come last, the one that did so longest ago first.
func (p *picker) candidates(partition string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{p.owners[partition], p.lastWorking}
	known := rendezvous.Order(p.self, slices.Collect(maps.Keys(p.nodes)))
	slices.SortStableFunc(known, func(a, b string) int {
		return cmp.Compare(p.zoneRank(a), p.zoneRank(b))
	})
	out = append(append(out, known...), rendezvous.Order(p.self, p.seeds)...)
	seen := map[string]bool{"": true, p.self: true}
	out = slices.DeleteFunc(out, func(id string) bool {
		again := seen[id]
		seen[id] = true
		return again
	})
	cooling := slices.DeleteFunc(slices.Clone(out), func(id string) bool { return !p.coolingDownLocked(id) })
	slices.SortStableFunc(cooling, func(a, b string) int { return p.failed[a].Compare(p.failed[b]) })
	return append(slices.DeleteFunc(out, p.coolingDownLocked), cooling...)
}

func (p *picker) zoneRank(id string) int {
	if p.nodes[id].Zone == p.zone {
		return 0
	}
	return 1
}

// setSeeds replaces the seeds.
func (p *picker) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = seeds
}

// known lists the control nodes that this relay knows of.
func (p *picker) known() []membership.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.SortedFunc(maps.Values(p.nodes), func(a, b membership.Node) int { return strings.Compare(a.Address, b.Address) })
}

// introduce answers a joining node that takes this relay for a control node: it returns the control
// nodes, after searching for them again if none has answered for a while.
func (p *picker) introduce(n membership.Node) []membership.Node {
	p.mu.Lock()
	if _, have := p.nodes[n.Address]; n.Plane == membership.Control && !have && len(p.nodes) < maxRelayNodes {
		p.nodes[n.Address] = n
	}
	recent := !p.searchedAt.IsZero() && time.Since(p.searchedAt) < p.cooldown
	if !recent {
		p.searchedAt = time.Now() // one search for all that join at once
	}
	p.mu.Unlock()
	if !recent {
		p.pick(context.Background(), config.Partition)
	}
	return slices.DeleteFunc(p.known(), func(k membership.Node) bool { return k.Address == n.Address })
}
