// Package gateway implements the data plane: it keeps a copy of the configuration and of the list of
// upstreams, balances requests over the upstreams and serves clients.
package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/delivery"
	"madderwing/internal/logging"
	"madderwing/internal/membership"
	"madderwing/internal/metrics"
	"madderwing/internal/proxy"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

// Options holds the command-line options of a gateway.
type Options struct {
	// Shards is the number of shards that the gateways are divided into, see membership.List.Shards.
	Shards int
	// LargeResponseFraction is the fraction of the link's rate at which large responses are sent; 0 means
	// no pacing.
	LargeResponseFraction float64
}

// DefaultLargeResponseFraction is the default of Options.LargeResponseFraction. The rest of the link's
// rate is for small responses, so that they need not wait behind large ones.
const DefaultLargeResponseFraction = 0.65

// reservedFdFraction is the fraction of file descriptors that is not for clients but for files,
// upstreams and other nodes.
const reservedFdFraction = 0.4

// Gateway is one data-plane process.
type Gateway struct {
	settings   *settings.Settings
	options    Options
	endpoint   *transport.Endpoint
	members    *membership.Service
	dispatcher *proxy.Dispatcher
	handler    *proxy.Handler
	arms       *rollout.Splitter
	listener   *proxy.Listener
	log        *slog.Logger

	// Owned by the goroutine of syncLoop, except commands, startedAt, readiness and the atomic values.
	commands       chan func(now time.Duration) // functions for syncLoop to run
	startedAt      time.Time
	configCopy     *delivery.Copy // nil until initialSync has completed
	initialSync    *delivery.InitialSync
	builder        config.Builder
	list           upstream.ListSnapshot
	sources        delivery.Sources
	shard          int
	load           map[string]float64
	pendingNodes   *membership.List // list of nodes that is not applied yet; nil: none
	nodesAppliedAt time.Duration    // when a list of nodes was last applied
	readiness      *readiness
	firstSource    atomic.Value // string: address of the first control node in sources
	reporting      atomic.Bool  // the goroutine of reportRollouts is running

	keyLeaseUntil atomic.Int64  // until when API keys may be used, if that is bounded; nanoseconds since startedAt
	clockOffset   time.Duration // added to the time since startedAt in messages, see newClockOffset
	tokenRequests tokenRequests

	// Owned by the goroutine of syncLoop.
	partial     partialApply      // records have arrived that are not applied yet
	evacuations map[string]uint64 // in force: generation by zone
}

// Run serves until ctx ends and then shuts down gracefully.
func Run(ctx context.Context, cfg *settings.Settings, options Options, reload <-chan *settings.Settings) error {
	heartbeatInterval := cfg.HeartbeatInterval()
	g := &Gateway{settings: cfg, options: options, log: logging.Logger(logging.Gateway), commands: make(chan func(time.Duration), 256), startedAt: time.Now(),
		initialSync: delivery.NewInitialSync(heartbeatInterval), shard: -1, clockOffset: newClockOffset()}
	upstreamTimeout := settings.Seconds(cfg.Bounds.ContactS / 10)
	endpoint, err := transport.New(cfg.GatewayAddress(cfg.IP), heartbeatInterval, logging.Logger(logging.Transport))
	if err != nil {
		return err
	}
	g.endpoint = endpoint
	maxListAge := settings.Seconds(cfg.CloudAPI.MaxLagS + cfg.Bounds.DrainS*0.4)
	var regionOf func(string) string
	if cfg.HasRegistry() {
		regionOf = cfg.RegionOf
	}
	balancer := upstream.NewBalancer(upstream.Config{Self: endpoint.Address(), Zone: cfg.Zone, RegionOf: regionOf,
		RetryRatio: cfg.Bounds.RetryRatio, RetrySlack: cfg.Bounds.RetrySlack, RetryWindow: settings.Seconds(cfg.Bounds.RetryWindowS),
		EjectTime: upstreamTimeout, MaxEjectTime: 8 * upstreamTimeout, MaxListAge: maxListAge, StabilizationDelay: heartbeatInterval})
	g.dispatcher = proxy.NewDispatcherAt(g.startedAt, balancer, upstreamTimeout, upstreamTimeout/6)
	g.arms = rollout.NewSplitter(endpoint.Address(), settings.Seconds(cfg.RollbackSeconds()*controllerSilenceFraction), func() time.Duration { return time.Since(g.startedAt) })
	g.handler = proxy.NewHandler(g.dispatcher, g.arms)
	g.limitLargeResponses()
	g.readiness = newReadiness(g.handler.KeysConfirmed)
	g.setUpTenants()
	g.listener, err = proxy.NewListener(cfg.Bind.Front, int(float64(cfg.Limits.MaxFds)*(1-reservedFdFraction)), g.handler, logging.Logger(logging.Proxy))
	if err != nil {
		return err
	}
	g.sources = delivery.Sources{Self: endpoint.Address(), Zone: cfg.Zone, Region: regionOf, Seeds: cfg.SeedControlAddresses(), Timeout: 3 * heartbeatInterval}
	self := membership.Node{Address: endpoint.Address(), Name: cfg.Node, Zone: cfg.Zone, Plane: membership.Data}
	g.members = membership.NewService(membership.Config{Self: self, Seeds: cfg.SeedControlAddresses(), ProbeInterval: heartbeatInterval, DeadRetention: 40 * heartbeatInterval},
		endpoint, g.nodesChanged)
	transport.HandleMessage(endpoint, delivery.UpdateKind, func(from string, update delivery.Update) {
		g.commands <- func(now time.Duration) { g.handleUpdate(now, from, update) }
	})
	if cfg.HasQuotas() {
		transport.HandleMessage(endpoint, delivery.AcquireReplyKind, g.handleAcquireReply)
	}
	endpoint.Start()
	go g.dispatcher.Run()
	go g.members.Run()
	stop := make(chan struct{})
	go g.syncLoop(heartbeatInterval, stop)

	failed := make(chan error, 2)
	statusServer := &http.Server{Addr: cfg.Bind.Readiness, Handler: g.statusHandler(), ReadHeaderTimeout: settings.Seconds(cfg.Bounds.ContactS),
		IdleTimeout: settings.Seconds(4 * cfg.Bounds.ContactS)}
	go func() { failed <- statusServer.ListenAndServe() }()
	go func() { failed <- g.listener.Serve() }()
	g.log.Info("gateway is up", "node", cfg.Node, "zone", cfg.Zone)

	for {
		select {
		case reloaded := <-reload:
			g.members.SetSeeds(reloaded.SeedControlAddresses())
			g.commands <- func(time.Duration) { g.sources.Seeds = reloaded.SeedControlAddresses() }
		case err := <-failed:
			return err
		case <-ctx.Done():
			g.shutDown()
			g.members.Leave(true)
			_ = statusServer.Close()
			time.Sleep(heartbeatInterval / 5)
			close(stop)
			g.members.Stop()
			endpoint.Close()
			return nil
		}
	}
}

// nodesChanged runs on the goroutine of the membership service. When many nodes join or leave at once,
// many small changes arrive, so they are applied at most twice per heartbeat interval.
func (g *Gateway) nodesChanged(nodes *membership.List) {
	g.commands <- func(now time.Duration) {
		scheduled := g.pendingNodes != nil
		g.pendingNodes = nodes
		if delay := g.nodesAppliedAt + g.settings.HeartbeatInterval()/2 - now; delay <= 0 {
			g.applyNodes(now)
		} else if !scheduled {
			time.AfterFunc(delay, func() { g.commands <- g.applyNodes })
		}
	}
}

// applyNodes applies the newest list of nodes.
func (g *Gateway) applyNodes(now time.Duration) {
	nodes := g.pendingNodes
	if nodes == nil {
		return
	}
	g.pendingNodes, g.nodesAppliedAt = nil, now
	shards := nodes.Shards(g.options.Shards)
	if shard, ok := shards[g.endpoint.Address()]; ok && shard != g.shard {
		g.shard = shard
		g.handler.SetShard(shard)
	}
	var gateways []membership.Node
	for _, node := range nodes.Live(membership.Data) {
		if !node.Draining || node.Address == g.endpoint.Address() {
			gateways = append(gateways, node)
		}
	}
	g.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) { balancer.SetGateways(now, gateways, shards) })
}

// secondSourceDivisor divides the heartbeat interval: how long a gateway that starts waits for the first source
// alone.
const secondSourceDivisor = 2

// syncLoop keeps the configuration and the list of upstreams up to date: it sends watch requests to
// control nodes, and applies their updates.
func (g *Gateway) syncLoop(heartbeatInterval time.Duration, stop chan struct{}) {
	// A gateway sends watch requests often until it has data, less often until it is ready, and then once
	// per heartbeat interval.
	ticker := time.NewTicker(heartbeatInterval / 10)
	defer ticker.Stop()
	catchingUp, wasReady := true, false
	sendWatches := func(now time.Duration) {
		sources := g.sources.Choose(now, g.members.List().Live(membership.Control))
		if g.settings.HasQuotas() {
			g.tokenRequests.mu.Lock()
			g.tokenRequests.controlNodes = [2]string{}
			copy(g.tokenRequests.controlNodes[:], sources)
			g.tokenRequests.mu.Unlock()
		}
		for i, address := range sources {
			if i > 0 && catchingUp && now < heartbeatInterval/secondSourceDivisor {
				continue // otherwise both would send all records
			}
			g.sendWatch(now, address)
		}
		for _, address := range g.sources.Fallbacks(now) {
			g.sendWatch(now, address)
		}
		g.dispatcher.Do(func(_ time.Duration, balancer *upstream.Balancer) {
			load := balancer.Loads()
			select {
			case g.commands <- func(time.Duration) { g.load = load }:
			default: // the next tick brings a newer load
			}
		})
	}
	sendWatches(0)
	for {
		select {
		case fn := <-g.commands:
			fn(time.Since(g.startedAt))
		case <-ticker.C:
			sendWatches(time.Since(g.startedAt))
			if catchingUp && g.readiness.hasData() {
				catchingUp = false
				ticker.Reset(heartbeatInterval / 3)
			}
			if !wasReady && g.readiness.isReady() {
				wasReady = true
				if g.settings.HasRegistry() {
					g.members.AnnouncePort(g.settings.ClientPort())
				}
				ticker.Reset(heartbeatInterval)
			}
		case <-stop:
			return
		}
	}
}

// sendWatch sends a watch request to a control node. Only the first source gets the load, and only it sends
// changes as they happen.
func (g *Gateway) sendWatch(now time.Duration, to string) {
	request := g.watchRequest(now, to)
	if to == g.sources.First() {
		request.Zone, request.Load = g.settings.Zone, g.load
	} else {
		request.Secondary = true
	}
	g.endpoint.Send(to, delivery.WatchKind, request)
}

// watchRequest tells a control node what this gateway holds, and thereby asks for what it lacks.
func (g *Gateway) watchRequest(now time.Duration, to string) delivery.Watch {
	request := delivery.Watch{ListVersion: g.list.Version, AcceptsPacks: true}
	if g.initialSync.Completed() {
		g.configCopy.FillWatch(&request)
	} else {
		g.initialSync.FillWatch(now, to, &request)
	}
	if g.settings.RevocationBounded() || !g.readiness.itemsConfirmed.Load() {
		request.AskedAt = g.clockOffset + max(now, 1)
	}
	return request
}

// handleUpdate applies an update from a control node.
func (g *Gateway) handleUpdate(now time.Duration, from string, update delivery.Update) {
	g.sources.Received(now, from, update.Fresh)
	g.firstSource.Store(g.sources.First())
	if update.RolloutsControlled {
		g.arms.ControllerSeen()
	}
	if len(update.Loads) > 0 && g.sources.First() == from {
		g.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) { balancer.SetLoads(now, update.Loads) })
	}
	if update.List != nil && g.list.Apply(now, *update.List) {
		list := g.list.All(now)
		g.log.Info("list of upstreams updated", "term", g.list.Version.Term, "seq", g.list.Version.Seq, "upstreams", len(list))
		g.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) { balancer.SetList(now, list) })
		g.readiness.hasList.Store(true)
	}
	g.applyRecords(now, from, update) // last: it may ask for more, and the request names the list
}

// reportsPerHeartbeat is the number of reports on active rollouts per heartbeat interval.
const reportsPerHeartbeat = 4

// controllerSilenceFraction is the fraction of the setting rollbackS after which a gateway that hears
// of no rollout controller stops sending requests to candidates.
const controllerSilenceFraction = 0.5

// reportRollouts periodically reports what this gateway has seen of active rollouts to the control node
// that is its first source, until no rollout is active.
func (g *Gateway) reportRollouts() {
	if !g.arms.Active() || !g.reporting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for g.arms.Active() {
			if to, _ := g.firstSource.Load().(string); to != "" {
				g.endpoint.Send(to, delivery.RolloutReportKind, g.arms.Reports())
			}
			time.Sleep(g.settings.HeartbeatInterval() / reportsPerHeartbeat)
		}
		g.reporting.Store(false)
		g.reportRollouts() // a rollout may have begun just now
	}()
}

// statusHandler serves the readiness probe, the counters and the metrics of this gateway.
func (g *Gateway) statusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/readiness":
			if !g.readiness.answerProbe() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		case "/v1/counters":
			w.Header().Set("Content-Type", "application/json")
			states := make(chan []upstream.Status, 1)
			g.dispatcher.Do(func(now time.Duration, balancer *upstream.Balancer) { states <- balancer.Statuses(now) })
			response := map[string]any{"node": g.settings.Node, "counters": g.handler.Counters(),
				"connections": g.listener.OpenConnections(), "upstreams": <-states}
			if g.settings.RevocationBounded() {
				response["keysLeaseS"] = (time.Duration(g.keyLeaseUntil.Load()) - time.Since(g.startedAt)).Seconds()
			}
			b, _ := json.MarshalIndent(response, "", "  ")
			_, _ = w.Write(append(b, '\n'))
		case "/metrics":
			var b bytes.Buffer
			metrics.WriteCounters(&b, "gateway", g.handler.Counters())
			metrics.WriteGauge(&b, "gateway", "connections", uint64(g.listener.OpenConnections()))
			_, _ = w.Write(b.Bytes())
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}
