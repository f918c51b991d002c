// Package controlplane is the control plane: it puts together the control state,
// the duties, placement and the reading of the platform's list, and serves the
// operator's calls.
package controlplane

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/election"
	"madderwing/internal/logging"
	"madderwing/internal/membership"
	"madderwing/internal/replication"
	"madderwing/internal/settings"
	"madderwing/internal/storage"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

// Kinds of message between control nodes.
const (
	replicationKind = "stacks"
	rotaKind        = "rota"
)

// vacantPart is the part of contactS for which an owner may be silent.
const vacantPart = 0.4

// The duties.
const (
	dutyList  = "list"
	dutyShelf = "shelve"
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

	configuration *configuration
	list          *listController
	delivery      *deliveryController
	placement     *placementController
	rollouts      *rolloutController
	evacuations   *evacuations
	orders        *orderController
	// administration is what operators see.
	administration *administration
	quotas         *quotaController    // nil where clients ask no registry
	registry       *registryController // the same

	// Owned by the pump's goroutine.
	rosterTold string

	writes *jobs
}

// listen makes the mesh; tests put a cut into it.
var listen = transport.New

// Run serves until ctx ends, then leaves in order. Where the settings name no dataDir
// it runs a relay.
func Run(ctx context.Context, set *settings.Settings, opt Options, reload <-chan *settings.Settings) error {
	if set.DataDir == "" {
		return runRelay(ctx, set, reload)
	}
	env := &environment{set: set, opt: opt, start: time.Now(), commands: make(chan func(time.Duration), 1024), log: newLoggers()}
	a := &Node{environment: env, configuration: newConfiguration(), writes: newJobs(),
		evacuations: newEvacuations(settings.Seconds(set.Bounds.AckS))}
	beat := set.Beat()
	vacant := settings.Seconds(set.Bounds.ContactS * vacantPart)

	if err := os.MkdirAll(set.DataDir, 0o700); err != nil {
		return err
	}
	book, disk, err := storage.Open(set.DataDir, int64(set.Limits.DiskMb*(1<<20)), a.log.storage)
	if err != nil && !errors.Is(err, storage.ErrDamaged) {
		return err
	}
	post, err := listen(set.ControlAddress(set.IP), settings.Seconds(set.Bounds.ContactS/6), logging.For(logging.Transport))
	if err != nil {
		return err
	}
	a.post = post

	keys := []string{config.Key}
	zones := make([]string, 0, len(set.Zones))
	for z := range set.Zones {
		zones = append(zones, z)
	}
	if len(zones) == 0 {
		zones = append(zones, set.Zone)
	}
	sort.Strings(zones)
	for _, z := range zones {
		keys = append(keys, config.EvacuationPrefix+z)
	}
	a.life = rand.Uint64() | 1
	a.contact = newContact(settings.Seconds(set.Bounds.ContactS*contactPart), keys)
	if set.Global() {
		a.registry = newRegistryController(env)
		a.quotas = newQuotaController(env, a.configuration)
	}
	a.member, err = replication.NewMember(replication.Config{Sure: keys,
		Self: post.Self(), Life: a.life, Seeds: set.SeedControlNodes(),
		Bootstrap: set.Bootstrap, Empty: len(disk) == 0, Keys: keys,
		Beat: beat, Vacant: vacant, Patience: settings.Seconds(set.Bounds.AckS * 0.17), HandBack: opt.HandBack,
		Alive:    func(id string) bool { return a.reg.Hopeful(id) },
		Identity: rand.Uint64() | 1, Faults: set.FaultBudget.Machines,
		Left: func(id string) bool { n, ok := a.reg.List().Get(id); return ok && n.State == membership.Left },
		Peers: func() (out []string) {
			for _, n := range a.reg.List().Live(membership.Control) {
				out = append(out, n.Address)
			}
			return out
		},
		Zone: func(id string) string { n, _ := a.reg.List().Get(id); return n.Zone }}, disk)
	if err != nil {
		return err
	}
	a.rota = election.New(election.Config{Self: post.Self(), Life: a.life, Duties: []string{dutyList, dutyShelf}, Lease: vacant,
		Roster: func() []string { return a.member.Roster() }, Alive: func(id string) bool { return a.reg.Hopeful(id) }})
	a.list = newListController(env)
	a.orders = &orderController{environment: env, configuration: a.configuration, evacuations: a.evacuations, quotas: a.quotas}
	a.rollouts = newRolloutController(env, a.configuration, a.list, a.orders.submit)
	a.orders.rollouts = a.rollouts
	a.delivery = newDeliveryController(env, a.configuration, a.list, a.rollouts.controller.Led)
	a.placement = newPlacementController(env, a.configuration, a.orders.submit)
	a.administration = &administration{environment: env, configuration: a.configuration, list: a.list, delivery: a.delivery,
		placement: a.placement, rollouts: a.rollouts, quotas: a.quotas, orders: a.orders}
	a.list.changed, a.list.polled = a.delivery.issue, a.rollouts.adopt
	a.rollouts.loads = func() upstream.Loads { return a.delivery.loads }

	me := membership.Node{Address: post.Self(), Name: set.Node, Zone: set.Zone, Plane: membership.Control}
	a.reg = membership.NewService(membership.Config{Self: me, Seeds: set.SeedControlNodes(), Beat: beat, Forget: 40 * beat},
		post, func(l *membership.List) {
			a.do(func(time.Duration) { a.placement.look() })
			if a.registry != nil {
				a.registry.setNodes(l)
			}
		})
	a.handlers()
	a.answerRelays()
	a.do(func(time.Duration) { // before anybody's word is heard
		a.showAll()
		a.configurationChanged()
	})
	post.Start()
	go a.reg.Run()
	go a.keep(book)
	pumped := make(chan struct{})
	stop := make(chan struct{})
	go func() { a.pump(beat, stop); close(pumped) }()

	control := &http.Server{Addr: set.Bind.Control, Handler: a.control(zones), ReadHeaderTimeout: settings.Seconds(set.Bounds.ContactS),
		IdleTimeout: settings.Seconds(4 * set.Bounds.ContactS), ErrorLog: slog.NewLogLogger(a.log.control.Handler(), slog.LevelWarn)}
	failed := make(chan error, 2)
	go func() { failed <- control.ListenAndServe() }()
	if a.registry != nil && set.Bind.Directory != "" {
		registry := &http.Server{Addr: set.Bind.Directory, Handler: a.registry.directory, ReadHeaderTimeout: settings.Seconds(set.Bounds.ContactS),
			IdleTimeout: settings.Seconds(4 * set.Bounds.ContactS), ErrorLog: slog.NewLogLogger(a.log.control.Handler(), slog.LevelWarn)}
		go func() { failed <- registry.ListenAndServe() }()
		defer registry.Close()
	}
	a.log.control.Info("control node is up", "node", set.Node, "zone", set.Zone)

	for {
		select {
		case fresh := <-reload:
			a.reg.Seeds(fresh.SeedControlNodes())
		case err := <-failed:
			return err
		case <-ctx.Done():
			a.log.control.Info("leaving")
			began := time.Now()
			a.do(func(now time.Duration) { a.member.Leave(now); a.rota.Leave(now) })
			a.reg.Leave(false)
			// Orders under way are answered; the heirs take over meanwhile, and what
			// this member holds is held by enough others before it goes.
			time.Sleep(vacant / 2)
			a.awaitMayGo(began.Add(settings.Seconds(set.Bounds.GraceS * 0.8)))
			a.reg.Leave(true)
			grace, cancel := context.WithDeadline(context.Background(), began.Add(settings.Seconds(set.Bounds.GraceS*0.95)))
			_ = control.Shutdown(grace)
			cancel()
			close(stop)
			<-pumped
			a.reg.Stop()
			post.Close()
			return nil
		}
	}
}

// awaitMayGo waits until the others can do without this member, at most until end.
func (a *Node) awaitMayGo(end time.Time) {
	for ; ; time.Sleep(a.set.Beat() / 20) {
		may := make(chan bool, 1)
		a.do(func(now time.Duration) { may <- a.member.MayGo(now) })
		if <-may {
			return
		}
		if time.Now().After(end) {
			a.log.replication.Warn("this member goes although too few others hold what it holds")
			return
		}
	}
}

// pump owns the state machines: it runs one command at a time and carries out
// what they ask for.
func (a *Node) pump(beat time.Duration, stop chan struct{}) {
	tick := time.NewTicker(beat / 5)
	defer tick.Stop()
	for {
		var fn func(time.Duration)
		select {
		case fn = <-a.commands:
		case <-tick.C:
			fn = func(now time.Duration) {
				a.member.Tick(now)
				a.rota.Tick(now)
				a.list.tick(now)
				a.delivery.tick(now)
				if a.quotas != nil {
					a.quotas.tick(now)
				}
				a.rollouts.tick(now)
				a.contact.tell(now, a.log.control)
				a.placement.tick(now)
			}
		case <-stop:
			a.writes.close()
			return
		}
		now := a.now()
		fn(now)
		a.settle(now)
		a.contact.look(a.member.Current)
	}
}

// settle carries out what the state machines want done.
func (a *Node) settle(now time.Duration) {
	for again := true; again; {
		again = false
		fx := a.member.Take()
		byPeer := map[string][]replication.Message{}
		var order []string
		for _, e := range fx.Send {
			if byPeer[e.To] == nil {
				order = append(order, e.To)
			}
			byPeer[e.To] = append(byPeer[e.To], e.Msg)
		}
		for _, to := range order {
			a.post.Send(to, replicationKind, byPeer[to])
		}
		for _, w := range fx.Writes {
			a.writes.put(writeJob{w.Entries, w.ID, false})
		}
		if fx.Rewrite {
			entries, upTo := a.member.Snapshot()
			a.writes.put(writeJob{entries, upTo, true})
		}
		for _, n := range fx.Notes {
			a.log.replication.Info(n)
		}
		changed := false
		for _, key := range fx.Committed {
			changed = a.show(key, fx.Changed[key]) || changed
		}
		if changed {
			a.placement.look()
			a.delivery.issue(now)
			a.configurationChanged()
		}
		out, duties := a.rota.Take()
		for _, e := range out {
			a.post.Send(e.To, rotaKind, e.Msg)
		}
		for _, d := range duties {
			again = true
			_, mine := a.rota.Holds(now, d)
			if mine {
				a.log.election.Info("duty won", "duty", d)
			} else {
				a.log.election.Info("duty given up", "duty", d)
			}
			switch d {
			case dutyShelf:
				a.placement.dutyChanged()
			case dutyList:
				if mine {
					a.list.poll()
				}
			}
		}
		again = a.placement.reconcile(now) || again
	}
}

// showAll takes over what the disk held, also of keys that were made as they were needed.
func (a *Node) showAll() {
	for _, key := range a.member.Keys() {
		a.show(key, nil)
	}
}

// show takes over the committed records of a key into what the gateways may see: those
// that have changed, or all if changed is nil.
func (a *Node) show(key string, records []replication.Record) bool {
	if key == replication.RosterKey {
		if r := a.member.Standing(a.now()).String(); r != a.rosterTold {
			a.rosterTold = r
			a.log.replication.Info("roster changed", "roster", r)
		}
		return false
	}
	if records == nil {
		all, _, ok := a.member.Committed(key)
		if !ok {
			return false
		}
		for _, r := range all {
			records = append(records, r)
		}
	}
	taken := a.configuration.merge(records)
	a.rollouts.saw(taken)
	a.evacuations.committed(a.now(), taken)
	return len(taken) > 0
}

// configurationChanged has the controllers take over what concerns them.
func (a *Node) configurationChanged() {
	if a.registry == nil {
		return
	}
	a.quotas.setConfiguration()
	a.registry.setConfiguration(a.configuration.shown.Records)
}

func (a *Node) handlers() {
	transport.On(a.post, replicationKind, func(from string, msgs []replication.Message) {
		a.offer(func(now time.Duration) {
			for _, m := range msgs {
				a.member.Handle(now, from, m)
			}
		})
	})
	transport.On(a.post, rotaKind, func(from string, m election.Message) {
		a.offer(func(now time.Duration) { a.rota.Handle(now, from, m) })
	})
	a.list.handle()
	a.delivery.handle()
	if a.quotas != nil {
		a.quotas.handle()
	}
	a.rollouts.handle()
	a.orders.handle()
}
