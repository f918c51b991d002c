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

// vacantPart is the part of contactS for which an owner may be silent.
const vacantPart = 0.4

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
	rosterTold string

	writes *jobs
	zones  []string // that operators may name
}

// listen makes the endpoint; tests put a cut into it.
var listen = transport.New

// Run serves until ctx ends, then leaves in order. Where the settings name no dataDir
// it runs a relay.
func Run(ctx context.Context, set *settings.Settings, opt Options, reload <-chan *settings.Settings) error {
	if set.DataDir == "" {
		return runRelay(ctx, set, reload)
	}
	if err := os.MkdirAll(set.DataDir, 0o700); err != nil {
		return err
	}
	lock, err := lockDisk(ctx, set, logging.For(logging.Storage))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer lock.Release()
	store, disk, err := openStore(ctx, set, logging.For(logging.Storage))
	if ctx.Err() != nil {
		return nil
	}
	if err != nil && !errors.Is(err, storage.ErrDamaged) {
		return err
	}
	n, err := newNode(set, opt, disk)
	if err != nil {
		return err
	}
	n.room.update(store)
	go n.keep(store)
	return n.run(ctx, reload)
}

// newNode makes a control node over what its disk holds. It runs nothing yet.
func newNode(set *settings.Settings, opt Options, disk map[string][]byte) (*Node, error) {
	post, err := listen(set.ControlAddress(set.IP), settings.Seconds(set.Bounds.ContactS/6), logging.For(logging.Transport))
	if err != nil {
		return nil, err
	}
	zones := zonesOf(set)
	keys := []string{config.Key}
	for _, zone := range zones {
		keys = append(keys, config.EvacuationPrefix+zone)
	}
	env := &environment{set: set, opt: opt, post: post, start: time.Now(), life: rand.Uint64() | 1,
		contact:  newContact(settings.Seconds(set.Bounds.ContactS*contactPart), keys),
		commands: make(chan func(time.Duration), commandQueue), log: newLoggers()}
	env.stalls = &stallDetector{clock: env.now}
	n := &Node{environment: env, configuration: newConfiguration(), writes: newJobs(), zones: zones,
		evacuations: newEvacuations(set.Bounds)}
	if set.HasRegistry() {
		n.registry = newRegistryController(env)
	}
	if set.HasQuotas() {
		n.quotas = newQuotaController(env, n.configuration)
	}
	if n.member, err = newReplica(env, keys, disk); err != nil {
		return nil, err
	}
	n.election = election.New(election.Config{Self: post.Self(), Life: env.life, Duties: []string{dutyList, dutyPlacement}, Lease: vacant(set),
		Roster: func() []string { return n.member.Roster() }, Alive: func(id string) bool { return n.reg.Hopeful(id) }, Progress: n.progress})
	n.wire()
	me := membership.Node{Address: post.Self(), Name: set.Node, Zone: set.Zone, Plane: membership.Control}
	n.reg = membership.NewService(membership.Config{Self: me, Seeds: set.SeedControlNodes(), Beat: set.Beat(), Forget: 40 * set.Beat()},
		post, n.nodesChanged)
	n.handle()
	n.do(func(time.Duration) { // before anybody's word is heard
		n.showAll()
		n.configurationChanged()
	})
	return n, nil
}

// commandQueue is how many commands may wait for the pump.
const commandQueue = 1024

// zonesOf names the zones of the settings, in order.
func zonesOf(set *settings.Settings) []string {
	if len(set.Zones) == 0 {
		return []string{set.Zone}
	}
	return slices.Sorted(maps.Keys(set.Zones))
}

// vacant is how long an owner, or the holder of a duty, may be silent.
func vacant(set *settings.Settings) time.Duration {
	return settings.Seconds(set.Bounds.ContactS * vacantPart)
}

// newReplica makes this control node's replica of the control state.
func newReplica(env *environment, keys []string, disk map[string][]byte) (*replication.Replica, error) {
	set := env.set
	node := func(id string) (membership.Node, bool) { return env.reg.List().Get(id) }
	return replication.NewReplica(replication.Config{Sure: keys, SurePrefix: coordination.KeyPrefix,
		Self: env.post.Self(), Life: env.life, Seeds: set.SeedControlNodes(),
		Bootstrap: set.Bootstrap, Empty: len(disk) == 0, Keys: keys,
		Beat: set.Beat(), Vacant: vacant(set), Patience: settings.Seconds(set.Bounds.AckS * 0.17), HandBack: env.opt.HandBack,
		Alive:    func(id string) bool { return env.reg.Hopeful(id) },
		Identity: rand.Uint64() | 1, Faults: set.FaultBudget.Machines,
		Left: func(id string) bool { n, ok := node(id); return ok && n.State == membership.Left },
		Peers: func() (out []string) {
			for _, n := range env.reg.List().Live(membership.Control) {
				out = append(out, n.Address)
			}
			return out
		},
		Zone: func(id string) string { n, _ := node(id); return n.Zone }}, disk)
}

// wire makes the controllers and gives each what it needs of others.
func (n *Node) wire() {
	n.list = newListController(n.environment)
	n.orders = &orderController{environment: n.environment, configuration: n.configuration, evacuations: n.evacuations}
	if n.set.BoundsRevocation() {
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
	n.list.changed = n.delivery.issue
	n.list.polled = func(now time.Duration) {
		n.delivery.confirmList(now)
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
	n.do(func(time.Duration) { n.placement.look() })
	if n.registry != nil {
		n.registry.setNodes(l)
	}
}

// run serves until ctx ends, then leaves in order.
func (n *Node) run(ctx context.Context, reload <-chan *settings.Settings) error {
	n.post.Start()
	go n.reg.Run()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { n.pump(stop); close(stopped) }()
	go n.stalls.watch(stop)

	failed := make(chan error, 2)
	control := n.server(n.set.Bind.Control, n.control(n.zones))
	go func() { failed <- control.ListenAndServe() }()
	if n.registry != nil && n.set.Bind.Directory != "" {
		registry := n.server(n.set.Bind.Directory, n.registry.directory)
		go func() { failed <- registry.ListenAndServe() }()
		defer registry.Close()
	}
	n.log.control.Info("control node is up", "node", n.set.Node, "zone", n.set.Zone)
	for {
		select {
		case fresh := <-reload:
			n.reg.Seeds(fresh.SeedControlNodes())
		case err := <-failed:
			return err
		case <-ctx.Done():
			n.leave(control)
			close(stop)
			<-stopped
			n.reg.Stop()
			n.post.Close()
			return nil
		}
	}
}

// server serves clients or operators at an address.
func (n *Node) server(address string, handler http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: handler, ConnContext: withConnection, ReadHeaderTimeout: settings.Seconds(n.set.Bounds.ContactS),
		IdleTimeout: settings.Seconds(4 * n.set.Bounds.ContactS), ErrorLog: slog.NewLogLogger(n.log.control.Handler(), slog.LevelWarn)}
}

// leave hands over what this control node does for others, and ends the operators' calls.
func (n *Node) leave(control *http.Server) {
	n.log.control.Info("leaving")
	began := time.Now()
	n.coordination.close()
	n.do(func(now time.Duration) { n.member.Leave(now); n.election.Leave(now) })
	n.reg.Leave(false)
	// Orders under way are answered; the heirs take over meanwhile, and what
	// this member holds is held by enough others before it goes.
	time.Sleep(vacant(n.set) / 2)
	n.awaitMayGo(began.Add(settings.Seconds(n.set.Bounds.GraceS * 0.8)))
	n.reg.Leave(true)
	grace, cancel := context.WithDeadline(context.Background(), began.Add(settings.Seconds(n.set.Bounds.GraceS*0.95)))
	defer cancel()
	_ = control.Shutdown(grace)
}

// awaitMayGo waits until the others can do without this member, at most until end.
func (n *Node) awaitMayGo(end time.Time) {
	for ; ; time.Sleep(n.set.Beat() / 20) {
		may := make(chan bool, 1)
		n.do(func(now time.Duration) { may <- n.member.MayGo(now) })
		if <-may {
			return
		}
		if time.Now().After(end) {
			n.log.replication.Warn("this member goes although too few others hold what it holds")
			return
		}
	}
}
