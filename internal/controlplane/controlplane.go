// Package controlplane implements a control node: it wires the replicated control state, the
// election of singleton roles, route placement and the reading of the platform's list of upstreams,
// and serves the operators' API.
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

// Kinds of message between control nodes. The values are names on the wire and match earlier
// releases.
const (
	replicationKind = "stacks"
	electionKind    = "rota"
)

// ownerTimeoutFraction is the fraction of contactS for which the owner of a partition, or the
// holder of a singleton role, may be silent before another member takes over.
const ownerTimeoutFraction = 0.4

// Singleton roles: each is held by one elected control node at a time. The values are names on the
// wire and match earlier releases.
const (
	roleList      = "list"
	rolePlacement = "shelve"
)

// Options are the settings given on the command line.
type Options struct {
	Shards         int
	RelistInterval time.Duration
	// TransferBackDelay is how long the cluster must be stable before a partition is transferred
	// back to the first member in its order of succession; 0: never.
	TransferBackDelay time.Duration
}

// Node is one control-plane process. It wires the controllers, each with state of its own, and runs
// the event loop, which owns that state.
type Node struct {
	*environment

	configuration  *configuration
	list           *listController
	delivery       *deliveryController
	placement      *placementController
	rollouts       *rolloutController
	evacuations    *evacuations
	callAges       *callAgeSaver
	orders         *orderController
	administration *administration
	coordination   *coordinator
	quotas         *quotaController    // nil where tenants have no quotas
	registry       *registryController // nil where the settings configure no registry

	// Owned by the event loop.
	loggedVoterSet string

	writes *writeQueue
	zones  []string // zones that operators may evacuate
}

// newEndpoint creates the transport endpoint; tests replace it by one that drops messages.
var newEndpoint = transport.New

// Run runs a control node until ctx ends, then shuts it down gracefully. Without a dataDir in the
// settings it runs a relay instead.
func Run(ctx context.Context, cfg *settings.Settings, opt Options, reload <-chan *settings.Settings) error {
	if cfg.DataDir == "" {
		return runRelay(ctx, cfg, reload)
	}
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return err
	}
	lock, err := lockDataDir(ctx, cfg, logging.Logger(logging.Storage))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer lock.Release()
	store, disk, err := openStore(ctx, cfg, logging.Logger(logging.Storage))
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
	n.diskRoom.update(store)
	go n.runStore(store)
	return n.run(ctx, reload)
}

// newNode creates a control node from the state read from its disk. It starts nothing.
func newNode(cfg *settings.Settings, opt Options, disk map[string][]byte) (*Node, error) {
	endpoint, err := newEndpoint(cfg.ControlAddress(cfg.IP), settings.Seconds(cfg.Bounds.ContactS/6), logging.Logger(logging.Transport))
	if err != nil {
		return nil, err
	}
	zones := zoneNames(cfg)
	partitions := []string{config.Partition}
	for _, zone := range zones {
		partitions = append(partitions, config.EvacuationPrefix+zone)
	}
	env := &environment{settings: cfg, options: opt, endpoint: endpoint, startedAt: time.Now(), runID: rand.Uint64() | 1,
		contact: newContact(settings.Seconds(cfg.Bounds.ContactS*contactFraction), partitions),
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
	if n.replica, err = newReplica(env, partitions, disk); err != nil {
		return nil, err
	}
	n.election = election.New(election.Config{Self: endpoint.Address(), RunID: env.runID, Roles: []string{roleList, rolePlacement}, Lease: ownerTimeout(cfg),
		Voters: func() []string { return n.replica.Voters() }, Alive: func(id string) bool { return n.membership.NotSuspected(id) }, Progress: n.progress})
	n.wire()
	me := membership.Node{Address: endpoint.Address(), Name: cfg.Node, Zone: cfg.Zone, Plane: membership.Control}
	n.membership = membership.NewService(membership.Config{Self: me, Seeds: cfg.SeedControlAddresses(), ProbeInterval: cfg.HeartbeatInterval(), DeadRetention: 40 * cfg.HeartbeatInterval()},
		endpoint, n.nodesChanged)
	n.registerHandlers()
	n.callAges = newCallAgeSaver(env, n.evacuations, n.rollouts.controller)
	n.enqueue(func(now time.Duration) { // before any message is handled
		n.callAges.restore(now)
		n.publishAll()
		n.configurationChanged()
	})
	return n, nil
}

// queueCapacity is how many functions may wait for the event loop.
const queueCapacity = 1024

// zoneNames lists the zones of the settings, in order.
func zoneNames(cfg *settings.Settings) []string {
	if len(cfg.Zones) == 0 {
		return []string{cfg.Zone}
	}
	return slices.Sorted(maps.Keys(cfg.Zones))
}

// ownerTimeout is how long the owner of a partition, or the holder of a singleton role, may be
// silent before another member takes over.
func ownerTimeout(cfg *settings.Settings) time.Duration {
	return settings.Seconds(cfg.Bounds.ContactS * ownerTimeoutFraction)
}

// newReplica creates this node's replica of the control state.
func newReplica(env *environment, partitions []string, disk map[string][]byte) (*replication.Replica, error) {
	cfg := env.settings
	lookup := func(id string) (membership.Node, bool) { return env.membership.List().Get(id) }
	return replication.NewReplica(replication.Config{FreshnessPartitions: partitions, FreshnessPrefix: coordination.PartitionPrefix,
		Self: env.endpoint.Address(), RunID: env.runID, Seeds: cfg.SeedControlAddresses(),
		Bootstrap: cfg.Bootstrap, Empty: len(disk) == 0, Partitions: partitions,
		HeartbeatInterval: cfg.HeartbeatInterval(), ElectionTimeout: ownerTimeout(cfg), ProposalTimeout: settings.Seconds(cfg.Bounds.AckS * 0.17), TransferBackDelay: env.options.TransferBackDelay,
		Alive:    func(id string) bool { return env.membership.NotSuspected(id) },
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

// wire creates the controllers and connects them.
func (n *Node) wire() {
	n.list = newListController(n.environment)
	n.orders = &orderController{environment: n.environment, configuration: n.configuration, evacuations: n.evacuations, settler: newCallSettler(n.environment)}
	if n.settings.RevocationBounded() {
		n.orders.revocations = &revocations{environment: n.environment}
	}
	n.rollouts = newRolloutController(n.environment, n.configuration, n.list, n.orders.submit, n.orders.settler)
	n.orders.rollouts = n.rollouts
	n.delivery = newDeliveryController(n.environment, n.configuration, n.list, n.rollouts.controller.AllControlled)
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

// progress reports to the election how recent the result of a role is at this node.
func (n *Node) progress(now time.Duration, role string) election.Progress {
	if role == rolePlacement {
		return n.placement.progress(now)
	}
	return n.list.progress()
}

// nodesChanged handles a new list of nodes. It runs on the goroutine of the membership service.
func (n *Node) nodesChanged(nodes *membership.List) {
	n.enqueue(func(time.Duration) { n.placement.requestReconcile() })
	if n.registry != nil {
		n.registry.setNodes(nodes)
	}
}

// run serves until ctx ends, then shuts down gracefully.
func (n *Node) run(ctx context.Context, reload <-chan *settings.Settings) error {
	n.endpoint.Start()
	go n.membership.Run()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { n.runEventLoop(stop); close(stopped) }()
	go n.stalls.recordTicks(stop)
	go n.callAges.run(stop)

	failed := make(chan error, 2)
	control := n.server(n.settings.Bind.Control, n.controlHandler(n.zones))
	go func() { failed <- control.ListenAndServe() }()
	if n.registry != nil && n.settings.Bind.Directory != "" {
		registry := n.server(n.settings.Bind.Directory, n.registry.directory)
		go func() { failed <- registry.ListenAndServe() }()
		defer registry.Close()
	}
	n.log.control.Info("control node is up", "node", n.settings.Node, "zone", n.settings.Zone)
	for {
		select {
		case reloaded := <-reload:
			n.membership.SetSeeds(reloaded.SeedControlAddresses())
		case err := <-failed:
			return err
		case <-ctx.Done():
			n.shutDown(control)
			close(stop)
			<-stopped
			n.membership.Stop()
			n.endpoint.Close()
			return nil
		}
	}
}

// server returns an HTTP server for operators or clients at an address.
func (n *Node) server(address string, handler http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: handler, ConnContext: withConnection, ReadHeaderTimeout: settings.Seconds(n.settings.Bounds.ContactS),
		IdleTimeout: settings.Seconds(4 * n.settings.Bounds.ContactS), ErrorLog: slog.NewLogLogger(n.log.control.Handler(), slog.LevelWarn)}
}

// shutDown transfers this node's partitions and roles, then stops the operators' API.
func (n *Node) shutDown(control *http.Server) {
	n.log.control.Info("leaving")
	began := time.Now()
	n.coordination.close()
	n.enqueue(func(now time.Duration) { n.replica.Leave(now); n.election.Leave(now) })
	n.membership.Leave(false)
	// Orders in progress are still answered. Meanwhile other members take over, and what this
	// member stores is replicated to enough of them before it shuts down.
	time.Sleep(ownerTimeout(n.settings) / 2)
	n.awaitReplaced(began.Add(settings.Seconds(n.settings.Bounds.GraceS * 0.8)))
	n.membership.Leave(true)
	grace, cancel := context.WithDeadline(context.Background(), began.Add(settings.Seconds(n.settings.Bounds.GraceS*0.95)))
	defer cancel()
	_ = control.Shutdown(grace)
}

// awaitReplaced waits until enough other members store what this one stores, at most until end.
func (n *Node) awaitReplaced(end time.Time) {
	for ; ; time.Sleep(n.settings.HeartbeatInterval() / 20) {
		replaced := make(chan bool, 1)
		n.enqueue(func(now time.Duration) { replaced <- n.replica.SafeToLeave(now) })
		if <-replaced {
			return
		}
		if time.Now().After(end) {
			n.log.replication.Warn("this member goes although too few others hold what it holds")
			return
		}
	}
}
