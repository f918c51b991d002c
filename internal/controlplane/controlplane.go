// Package controlplane is the control plane: it puts together the control state,
// the duties, placement and the reading of the platform's list, and serves the
// operator's calls.
package controlplane

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/coordination"
	"madderwing/internal/election"
	"madderwing/internal/logging"
	"madderwing/internal/membership"
	"madderwing/internal/replication"
	"madderwing/internal/settings"
	"madderwing/internal/storage"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

// Kinds of message between control nodes, as earlier releases name them.
const (
	replicationKind = "stacks"
	electionKind    = "rota"
)

// ownerTimeoutFraction is the part of contactS for which an owner may be silent.
const ownerTimeoutFraction = 0.4

// The duties, as earlier releases name them.
const (
	dutyList      = "list"
	dutyPlacement = "shelve"
)

// Options are what the command line adds to the settings.
type Options struct {
	Shards int
	Relist time.Duration
	// HandBack is the calm after which a key goes back to its first heir.
	HandBack time.Duration
}

// Node is one control-plane process. It wires its controllers, each of which has a state
// of its own, and runs the pump, whose goroutine owns them all.
type Node struct {
	*environment

	configuration  *configuration
	list           *listController
	delivery       *deliveryController
	placement      *placementController
	rollouts       *rolloutController
	evacuations    *evacuations
	orders         *orderController
	administration *administration
	coordination   *coordinator
	quotas         *quotaController    // nil where tenants have no quotas
	registry       *registryController // the same

	// Owned by the pump's goroutine.
	loggedRoster string

	writes *writeQueue
	zones  []string // that operators may name
}

// newEndpoint makes the endpoint; tests put a cut into it.
var newEndpoint = transport.New

// Run serves until ctx ends, then leaves in order. Where the settings name no dataDir
// it runs a relay.
func Run(ctx context.Context, cfg *settings.Settings, opt Options, reload <-chan *settings.Settings) error {
	if cfg.DataDir == "" {
		return runRelay(ctx, cfg, reload)
	}
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return err
	}
	lock, err := lockDisk(ctx, cfg, logging.For(logging.Storage))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer lock.Release()
	store, disk, err := openStore(ctx, cfg, logging.For(logging.Storage))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil && !errors.Is(err, storage.ErrDamaged) {
		return err
	}
	n, err := newNode(cfg, opt, disk)
	if err != nil {
		return err
	}
	n.room.update(store)
	go n.runStore(store)
	return n.run(ctx, reload)
}

// newNode makes a control node over what its disk holds. It runs nothing yet.
func newNode(cfg *settings.Settings, opt Options, disk map[string][]byte) (*Node, error) {
	endpoint, err := newEndpoint(cfg.ControlAddress(cfg.IP), settings.Seconds(cfg.Bounds.ContactS/6), logging.For(logging.Transport))
	if err != nil {
		return nil, err
	}
	zones := zoneNames(cfg)
	keys := []string{config.Key}
	for _, zone := range zones {
		keys = append(keys, config.EvacuationPrefix+zone)
	}
	env := &environment{settings: cfg, options: opt, endpoint: endpoint, startedAt: time.Now(), life: rand.Uint64() | 1,
		contact: newContact(settings.Seconds(cfg.Bounds.ContactS*contactFraction), keys),
		queue:   make(chan func(time.Duration), queueCapacity), log: newLoggers()}
	env.stalls = &stallDetector{clock: env.now}
	n := &Node{environment: env, configuration: newConfiguration(), writes: newWriteQueue(), zones: zones,
		evacuations: newEvacuations(cfg.Bounds)}
	if cfg.HasRegistry() {
		n.registry = newRegistryController(env)
	}
	if cfg.HasQuotas() {
		n.quotas = newQuotaController(env, n.configuration)
	}
	if n.member, err = newReplica(env, keys, disk); err != nil {
		return nil, err
	}
	n.election = election.New(election.Config{Self: endpoint.Self(), Life: env.life, Duties: []string{dutyList, dutyPlacement}, Lease: ownerTimeout(cfg),
		Roster: func() []string { return n.member.Roster() }, Alive: func(id string) bool { return n.membership.Hopeful(id) }, Progress: n.progress})
	n.wire()
	me := membership.Node{Address: endpoint.Self(), Name: cfg.Node, Zone: cfg.Zone, Plane: membership.Control}
	n.membership = membership.NewService(membership.Config{Self: me, Seeds: cfg.SeedControlNodes(), Beat: cfg.Beat(), Forget: 40 * cfg.Beat()},
		endpoint, n.nodesChanged)
	n.handle()
	n.enqueue(func(time.Duration) { // before anybody's word is heard
		n.publishAll()
		n.configurationChanged()
	})
	return n, nil
}

// queueCapacity is how many commands may wait for the pump.
const queueCapacity = 1024

// zoneNames names the zones of the settings, in order.
func zoneNames(cfg *settings.Settings) []string {
	if len(cfg.Zones) == 0 {
		return []string{cfg.Zone}
	}
	return slices.Sorted(maps.Keys(cfg.Zones))
}

// ownerTimeout is how long an owner, or the holder of a duty, may be silent.
func ownerTimeout(cfg *settings.Settings) time.Duration {
	return settings.Seconds(cfg.Bounds.ContactS * ownerTimeoutFraction)
}

// newReplica makes this control node's replica of the control state.
func newReplica(env *environment, keys []string, disk map[string][]byte) (*replication.Replica, error) {
	cfg := env.settings
	lookup := func(id string) (membership.Node, bool) { return env.membership.List().Get(id) }
	return replication.NewReplica(replication.Config{Sure: keys, SurePrefix: coordination.KeyPrefix,
		Self: env.endpoint.Self(), Life: env.life, Seeds: cfg.SeedControlNodes(),
		Bootstrap: cfg.Bootstrap, Empty: len(disk) == 0, Keys: keys,
		Beat: cfg.Beat(), Vacant: ownerTimeout(cfg), Patience: settings.Seconds(cfg.Bounds.AckS * 0.17), HandBack: env.options.HandBack,
		Alive:    func(id string) bool { return env.membership.Hopeful(id) },
		Identity: rand.Uint64() | 1, Faults: cfg.FaultBudget.Machines,
		Left: func(id string) bool { n, ok := lookup(id); return ok && n.State == membership.Left },
		Peers: func() (out []string) {
			for _, n := range env.membership.List().Live(membership.Control) {
				out = append(out, n.Address)
			}
			return out
		},
		Zone: func(id string) string { n, _ := lookup(id); return n.Zone }}, disk)
}

// wire makes the controllers and gives each what it needs of others.
func (n *Node) wire() {
	n.list = newListController(n.environment)
	n.orders = &orderController{environment: n.environment, configuration: n.configuration, evacuations: n.evacuations}
	if n.settings.BoundsRevocation() {
		n.orders.revocations = &revocations{environment: n.environment}
	}
	n.rollouts = newRolloutController(n.environment, n.configuration, n.list, n.orders.submit)
	n.orders.rollouts = n.rollouts
	n.delivery = newDeliveryController(n.environment, n.configuration, n.list, n.rollouts.controller.Led)
	n.placement = newPlacementController(n.environment, n.configuration, n.orders.submit)
	n.administration = &administration{environment: n.environment, configuration: n.configuration, list: n.list, delivery: n.delivery,
		placement: n.placement, rollouts: n.rollouts, quotas: n.quotas, orders: n.orders}
	n.coordination = newCoordinator(n.environment)
	n.administration.coordination = n.coordination
	n.list.onChange = n.delivery.sendUpdates
	n.list.onRead = func(now time.Duration) {
		n.delivery.confirmListAge(now)
		n.rollouts.adopt(now)
	}
	n.rollouts.loads = func() upstream.Loads { return n.delivery.loads }
}

// progress tells how far the result of a duty has come at this control node.
func (n *Node) progress(now time.Duration, duty string) election.Progress {
	if duty == dutyPlacement {
		return n.placement.progress(now)
	}
	return n.list.progress()
}

// nodesChanged takes over another list of nodes. It runs on the goroutine of membership.
func (n *Node) nodesChanged(l *membership.List) {
	n.enqueue(func(time.Duration) { n.placement.requestReconcile() })
	if n.registry != nil {
		n.registry.setNodes(l)
	}
}

// run serves until ctx ends, then leaves in order.
func (n *Node) run(ctx context.Context, reload <-chan *settings.Settings) error {
	n.endpoint.Start()
	go n.membership.Run()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { n.runEventLoop(stop); close(stopped) }()
	go n.stalls.watch(stop)

	failed := make(chan error, 2)
	control := n.server(n.settings.Bind.Control, n.control(n.zones))
	go func() { failed <- control.ListenAndServe() }()
	if n.registry != nil && n.settings.Bind.Directory != "" {
		registry := n.server(n.settings.Bind.Directory, n.registry.directory)
		go func() { failed <- registry.ListenAndServe() }()
		defer registry.Close()
	}
	n.log.control.Info("control node is up", "node", n.settings.Node, "zone", n.settings.Zone)
	for {
		select {
		case fresh := <-reload:
			n.membership.Seeds(fresh.SeedControlNodes())
		case err := <-failed:
			return err
		case <-ctx.Done():
			n.leave(control)
			close(stop)
			<-stopped
			n.membership.Stop()
			n.endpoint.Close()
			return nil
		}
	}
}

// server serves clients or operators at an address.
func (n *Node) server(address string, handler http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: handler, ConnContext: withConnection, ReadHeaderTimeout: settings.Seconds(n.settings.Bounds.ContactS),
		IdleTimeout: settings.Seconds(4 * n.settings.Bounds.ContactS), ErrorLog: slog.NewLogLogger(n.log.control.Handler(), slog.LevelWarn)}
}

// leave hands over what this control node does for others, and ends the operators' calls.
func (n *Node) leave(control *http.Server) {
	n.log.control.Info("leaving")
	began := time.Now()
	n.coordination.close()
	n.enqueue(func(now time.Duration) { n.member.Leave(now); n.election.Leave(now) })
	n.membership.Leave(false)
	// Orders under way are answered; the heirs take over meanwhile, and what
	// this member holds is held by enough others before it goes.
	time.Sleep(ownerTimeout(n.settings) / 2)
	n.awaitReplaced(began.Add(settings.Seconds(n.settings.Bounds.GraceS * 0.8)))
	n.membership.Leave(true)
	grace, cancel := context.WithDeadline(context.Background(), began.Add(settings.Seconds(n.settings.Bounds.GraceS*0.95)))
	defer cancel()
	_ = control.Shutdown(grace)
}

// awaitReplaced waits until the others can do without this member, at most until end.
func (n *Node) awaitReplaced(end time.Time) {
	for ; ; time.Sleep(n.settings.Beat() / 20) {
		may := make(chan bool, 1)
		n.enqueue(func(now time.Duration) { may <- n.member.MayGo(now) })
		if <-may {
			return
		}
		if time.Now().After(end) {
			n.log.replication.Warn("this member goes although too few others hold what it holds")
			return
		}
	}
}
