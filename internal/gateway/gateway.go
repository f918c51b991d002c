// Package gateway is the data plane: it puts together the feed of items and
// upstreams, the balancer of upstreams, and the handler that serves clients.
package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
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

// Options are what the command line adds to the settings.
type Options struct {
	Shards int
	// Pace is the part of the link's rate at which large answers are passed on; 0: they
	// are not paced.
	Pace float64
}

// DefaultPace is the part of the link's rate at which large answers are passed on unless told
// otherwise. The rest is left to what is short, so that it need not wait behind them.
const DefaultPace = 0.65

// keepFds are descriptors that are not for clients: files, upstreams, nodes.
const keepFds = 0.4

// Gateway is one data-plane process.
type Gateway struct {
	set        *settings.Settings
	opt        Options
	post       *transport.Endpoint
	reg        *membership.Service
	dispatcher *proxy.Dispatcher
	handler    *proxy.Handler
	arms       *rollout.Arms
	listener   *proxy.Listener
	log        *slog.Logger

	// Owned by the reader's goroutine.
	commands chan func(now time.Duration)
	start    time.Time
	items    *delivery.Copy
	builder  config.Builder
	stand    upstream.ListSnapshot
	sources  delivery.Sources
	shard    int
	load     map[string]float64
	nodes    *membership.List // not yet acted on; nil: none
	nodesAt  time.Duration    // when a list was last acted on
	ready    *readiness
	first    atomic.Value // the control node that is watched first
	scoring  atomic.Bool

	lease atomic.Int64  // until when keys may be relied on, where that is bounded
	epoch time.Duration // added to this life's clock where that is told to others
	draws draws

	// Owned by read's goroutine.
	rest   string // the control node that has more for this gateway
	behind bool   // items have come that are not in force yet

	evacuations map[string]uint64 // in force: zone -> generation
}

// Run serves until ctx ends, then leaves in order.
func Run(ctx context.Context, set *settings.Settings, opt Options, reload <-chan *settings.Settings) error {
	beat := set.Beat()
	d := &Gateway{set: set, opt: opt, log: logging.For(logging.Gateway), commands: make(chan func(time.Duration), 256), start: time.Now(),
		items: delivery.NewCopy(), shard: -1, epoch: newEpoch()}
	patience := settings.Seconds(set.Bounds.ContactS / 10)
	post, err := transport.New(set.GatewayAddress(set.IP), beat, logging.For(logging.Transport))
	if err != nil {
		return err
	}
	d.post = post
	lag := settings.Seconds(set.CloudAPI.MaxLagS + set.Bounds.DrainS*0.4)
	var region func(string) string
	if set.HasRegistry() {
		region = set.RegionOf
	}
	balancer := upstream.NewBalancer(upstream.Config{Self: post.Self(), Zone: set.Zone, Region: region,
		RetryRatio: set.Bounds.RetryRatio, RetrySlack: set.Bounds.RetrySlack, Window: settings.Seconds(set.Bounds.RetryWindowS),
		Eject: patience, EjectMax: 8 * patience, Lag: lag, Calm: beat})
	d.dispatcher = proxy.NewDispatcherAt(d.start, balancer, patience, patience/6)
	d.arms = rollout.NewArms(post.Self(), settings.Seconds(set.Rollback()*silencePart), func() time.Duration { return time.Since(d.start) })
	d.handler = proxy.NewHandler(d.dispatcher, d.arms)
	d.boundAnswers()
	d.ready = newReadiness(d.handler.Confirmed)
	d.serveTenants()
	d.listener, err = proxy.NewListener(set.Bind.Front, int(float64(set.Limits.MaxFds)*(1-keepFds)), d.handler, logging.For(logging.Proxy))
	if err != nil {
		return err
	}
	d.sources = delivery.Sources{Self: post.Self(), Zone: set.Zone, Region: region, Seeds: set.SeedControlNodes(), Patience: 3 * beat}
	me := membership.Node{Address: post.Self(), Name: set.Node, Zone: set.Zone, Plane: membership.Data}
	d.reg = membership.NewService(membership.Config{Self: me, Seeds: set.SeedControlNodes(), Beat: beat, Forget: 40 * beat},
		post, d.nodesChanged)
	transport.On(post, delivery.IssueKind, func(from string, i delivery.Issue) {
		d.commands <- func(now time.Duration) { d.take(now, from, i) }
	})
	if set.HasQuotas() {
		transport.On(post, delivery.AcquireReplyKind, d.drawn)
	}
	post.Start()
	go d.dispatcher.Run()
	go d.reg.Run()
	stop := make(chan struct{})
	go d.read(beat, stop)

	failed := make(chan error, 2)
	ready := &http.Server{Addr: set.Bind.Readiness, Handler: d.pages(), ReadHeaderTimeout: settings.Seconds(set.Bounds.ContactS),
		IdleTimeout: settings.Seconds(4 * set.Bounds.ContactS)}
	go func() { failed <- ready.ListenAndServe() }()
	go func() { failed <- d.listener.Serve() }()
	d.log.Info("gateway is up", "node", set.Node, "zone", set.Zone)

	for {
		select {
		case fresh := <-reload:
			d.reg.Seeds(fresh.SeedControlNodes())
			d.commands <- func(time.Duration) { d.sources.Seeds = fresh.SeedControlNodes() }
		case err := <-failed:
			return err
		case <-ctx.Done():
			d.leave()
			d.reg.Leave(true)
			_ = ready.Close()
			time.Sleep(beat / 5)
			close(stop)
			d.reg.Stop()
			post.Close()
			return nil
		}
	}
}

// nodesChanged runs on the register's goroutine. When many nodes come or go at
// once, their news arrive in many small parts; what follows from them is worked out
// no more than twice a beat.
func (d *Gateway) nodesChanged(l *membership.List) {
	d.commands <- func(now time.Duration) {
		waiting := d.nodes != nil
		d.nodes = l
		if rest := d.nodesAt + d.set.Beat()/2 - now; rest <= 0 {
			d.useNodes(now)
		} else if !waiting {
			time.AfterFunc(rest, func() { d.commands <- d.useNodes })
		}
	}
}

// useNodes acts on the newest list of nodes.
func (d *Gateway) useNodes(now time.Duration) {
	l := d.nodes
	if l == nil {
		return
	}
	d.nodes, d.nodesAt = nil, now
	labels := l.Shards(d.opt.Shards)
	if n, ok := labels[d.post.Self()]; ok && n != d.shard {
		d.shard = n
		d.handler.SetShard(n)
	}
	var gateways []membership.Node
	for _, n := range l.Live(membership.Data) {
		if !n.Draining || n.Address == d.post.Self() {
			gateways = append(gateways, n)
		}
	}
	d.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) { s.SetGateways(now, gateways, labels) })
}

// read owns the items: it tells the control nodes what it has and takes what they
// send.
func (d *Gateway) read(beat time.Duration, stop chan struct{}) {
	// Until it can serve, a gateway asks often; until what it serves is confirmed, less so.
	tick := time.NewTicker(beat / 10)
	defer tick.Stop()
	hurried, opened := true, false
	watch := func(now time.Duration, only string) {
		sources := d.sources.Choose(now, d.reg.List().Live(membership.Control))
		if d.set.HasQuotas() {
			d.draws.mu.Lock()
			d.draws.at = [2]string{}
			copy(d.draws.at[:], sources)
			d.draws.mu.Unlock()
		}
		for i, a := range sources {
			if i > 0 && hurried && now < beat {
				continue // one is enough to begin with; both would send all there is
			}
			if only != "" && a != only {
				continue
			}
			w := d.question(now)
			w.Second = i > 0
			if i == 0 {
				w.Zone, w.Load = d.set.Zone, d.load
			}
			d.post.Send(a, delivery.WatchKind, w)
		}
		for _, a := range d.sources.AlsoAsk(now) {
			w := d.question(now)
			w.Second = true
			d.post.Send(a, delivery.WatchKind, w)
		}
		d.dispatcher.Do(func(_ time.Duration, s *upstream.Balancer) {
			load := s.Loads()
			select {
			case d.commands <- func(time.Duration) { d.load = load }:
			default: // the next beat brings newer ones
			}
		})
	}
	watch(0, "")
	for {
		select {
		case fn := <-d.commands:
			fn(time.Since(d.start))
			if from := d.rest; from != "" {
				d.rest = ""
				watch(time.Since(d.start), from)
			}
		case <-tick.C:
			if d.behind {
				d.behind = false
				d.apply()
			}
			watch(time.Since(d.start), "")
			if hurried && d.ready.stocked() {
				hurried = false
				tick.Reset(beat / 3)
			}
			if !opened && d.ready.ok() {
				opened = true
				if d.set.HasRegistry() {
					d.reg.Open(d.set.FrontPort())
				}
				tick.Reset(beat)
			}
		case <-stop:
			return
		}
	}
}

// question tells a control node what this gateway has, and asks for what it lacks.
func (d *Gateway) question(now time.Duration) delivery.Watch {
	w := delivery.Watch{Listing: d.stand.Version, Packs: true}
	d.items.Tell(&w)
	if d.set.BoundsRevocation() || !d.ready.current.Load() {
		w.Asked = d.epoch + max(now, 1)
	}
	return w
}

func (d *Gateway) take(now time.Duration, from string, i delivery.Issue) {
	d.sources.Heard(now, from, i.Fresh)
	d.first.Store(d.sources.First())
	if i.Led {
		d.arms.Heard()
	}
	merged, err := d.items.Take(i)
	if err != nil {
		d.log.Warn("items not unpacked", "from", from, "error", err)
	}
	if merged && i.More {
		d.rest = from // a table is built once all of it has come, or with the next beat
	} else if merged || d.behind {
		d.apply()
	}
	d.behind = merged && i.More
	if d.set.BoundsRevocation() {
		d.confirm(now, i)
	}
	d.ready.heard(now, d.dated(now, i), settings.Seconds(d.set.Bounds.ContactS))
	if d.ready.current.Load() {
		d.handler.SetComplete()
	}
	if len(i.Loads) > 0 && d.sources.First() == from {
		d.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) { s.SetLoads(now, i.Loads) })
	}
	if i.Listing != nil && d.stand.Take(now, *i.Listing) {
		list := d.stand.All(now)
		d.log.Info("list taken", "term", d.stand.Version.Term, "seq", d.stand.Version.Seq, "upstreams", len(list))
		d.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) { s.SetList(now, list) })
		d.ready.listed.Store(true)
	}
}

// apply puts the items that are known now in force.
func (d *Gateway) apply() {
	t := d.builder.Build(d.items.Records)
	infos := map[string]upstream.ServiceInfo{}
	for name, s := range t.Services {
		infos[name] = upstream.ServiceInfo{MaxConns: s.MaxConns, HealthPath: s.HealthPath, WarmupS: s.WarmupS, WarmupPerS: s.WarmupPerS}
	}
	evacuated := d.evacuated(t)
	bound := t.Placements()
	versions := map[string]upstream.Versions{}
	for name, v := range t.Versions {
		w := upstream.Versions{Stands: v.Serves(), Ordered: v.Ordered()}
		if p := v.Active(); p != nil {
			w.Candidate = p.Candidate
		}
		versions[name] = w
	}
	d.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) {
		s.SetServices(now, infos, bound)
		s.SetVersions(now, versions)
		s.SetEvacuated(now, evacuated)
	})
	d.arms.Set(t.Versions)
	d.score()
	d.handler.SetTable(t)
	d.listener.SetLimits(t.Limits)
	d.ready.known.Store(t.Known)
}

// evacuated names the zones that nothing may be sent to, and logs a change of them with the
// generations that it comes from.
func (d *Gateway) evacuated(t *config.Table) map[string]bool {
	if !maps.Equal(t.Evacuated, d.evacuations) {
		d.log.Info("evacuations in force", "generationByZone", t.Evacuated)
		d.evacuations = t.Evacuated
	}
	zones := map[string]bool{}
	for zone := range t.Evacuated {
		zones[zone] = true
	}
	return zones
}

// scoresABeat is how often in a beat a gateway tells what it has seen of rollouts.
const scoresABeat = 4

// silencePart is the part of rollbackS after which a gateway that hears of no controller
// gives a candidate nothing.
const silencePart = 0.5

// score tells the control node that this gateway watches first what it has seen of the rollouts
// under way, again and again until there are none.
func (d *Gateway) score() {
	if !d.arms.Active() || !d.scoring.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for d.arms.Active() {
			if to, _ := d.first.Load().(string); to != "" {
				d.post.Send(to, delivery.ScoreKind, d.arms.Reports())
			}
			time.Sleep(d.set.Beat() / scoresABeat)
		}
		d.scoring.Store(false)
		d.score() // one may have begun just now
	}()
}

// pages serves readiness and this gateway's own counters.
func (d *Gateway) pages() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/readiness":
			if !d.ready.asked() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		case "/v1/counters":
			w.Header().Set("Content-Type", "application/json")
			ch := make(chan []upstream.State, 1)
			d.dispatcher.Do(func(now time.Duration, s *upstream.Balancer) { ch <- s.States(now) })
			shown := map[string]any{"node": d.set.Node, "counters": d.handler.Counters(),
				"connections": d.listener.Open(), "upstreams": <-ch}
			if d.set.BoundsRevocation() {
				shown["keysLeaseS"] = (time.Duration(d.lease.Load()) - time.Since(d.start)).Seconds()
			}
			b, _ := json.MarshalIndent(shown, "", "  ")
			_, _ = w.Write(append(b, '\n'))
		case "/metrics":
			var b bytes.Buffer
			metrics.Write(&b, "gateway", d.handler.Counters())
			metrics.Gauge(&b, "gateway", "connections", uint64(d.listener.Open()))
			_, _ = w.Write(b.Bytes())
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}
