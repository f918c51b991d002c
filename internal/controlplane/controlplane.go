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
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/coordination"
	"madderwing/internal/delivery"
	"madderwing/internal/election"
	"madderwing/internal/logging"
	"madderwing/internal/membership"
	"madderwing/internal/placement"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
	"madderwing/internal/storage"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

// Kinds of message between control nodes.
const (
	replicationKind = "stacks"
	rotaKind        = "rota"
	orderKind       = "order"
)

// issueMax is about how many bytes of items are sent to a watcher at once. It asks
// for the rest when it has them, so what is sent twice because it took longer than a
// beat on a narrow link is never more than that.
const issueMax = 64 << 10

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
	quotas        *quotaController    // nil where clients ask no registry
	registry      *registryController // the same

	// Owned by the pump's goroutine.
	packs     delivery.Packs // of shown
	stand     upstream.Stand
	watchers  delivery.Watchers
	shelf     placement.Scheduler
	lookAgain bool
	asks      asks // evacuations and withdrawals ordered here
	loads     upstream.Loads
	holds     map[string]uint64          // gateway -> digest of the items that it has in force
	told      map[string]toldAt          // by other control nodes
	rolls     *rollout.Controller        // rollouts, as this control node sees them
	adopting  bool                       // standing versions are being kept
	waitsAt   time.Duration              // when a rollout that waits may be logged again
	versions  map[string]rollout.Service // as shown

	rosterTold string

	coordination *coordinator

	writes  *jobs
	polling atomic.Bool
	client  *http.Client
}

type toldAt struct {
	at   time.Duration
	told delivery.Told
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
	a := &Node{environment: env, configuration: newConfiguration(), writes: newJobs(), told: map[string]toldAt{},
		asks: newAsks(settings.Seconds(set.Bounds.AckS)), rolls: rollout.NewController()}
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
	a.member, err = replication.NewMember(replication.Config{Sure: keys, SurePrefix: coordination.KeyPrefix,
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
	a.watchers.Forget = 4 * beat
	a.shelf = placement.Scheduler{Strategy: &placement.RoundRobin{}, Relist: opt.Relist, Pause: 2 * beat, Create: a.bind}
	a.client = &http.Client{Timeout: settings.Seconds(set.Bounds.DrainS * 0.4),
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * beat}}

	me := membership.Node{Address: post.Self(), Name: set.Node, Zone: set.Zone, Plane: membership.Control}
	a.reg = membership.NewService(membership.Config{Self: me, Seeds: set.SeedControlNodes(), Beat: beat, Forget: 40 * beat},
		post, func(l *membership.List) {
			a.do(func(time.Duration) { a.lookAgain = true })
			if a.registry != nil {
				a.registry.setNodes(l)
			}
		})
	a.handlers()
	a.coordinate(logger("coordination"))
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
			a.coordination.close()
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
			a.coordination.end()
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
	var pollAt time.Duration
	every := settings.Seconds(a.set.Bounds.DrainS / 5)
	var watchAt, loadsAt time.Duration
	for {
		var fn func(time.Duration)
		select {
		case fn = <-a.commands:
		case <-tick.C:
			fn = func(now time.Duration) {
				a.member.Tick(now)
				a.rota.Tick(now)
				if _, mine := a.rota.Holds(now, dutyList); mine {
					if now >= pollAt {
						pollAt = now + every
						a.poll()
					}
				} else if !a.stand.Known() && now >= pollAt {
					// There is no list and, as far as this control node can tell, nobody
					// to read one: it reads one that any holder's replaces.
					pollAt = now + every
					a.poll()
				} else if now >= watchAt {
					watchAt = now + beat
					if h, _, _ := a.rota.Holder(now, dutyList); h != "" && h != a.post.Self() {
						a.post.Send(h, delivery.WatchKind, delivery.Watch{Listing: a.stand.Version})
					}
				}
				if now >= loadsAt {
					loadsAt = now + beat
					a.tell(now)
				}
				if a.quotas != nil {
					a.quotas.tick(now)
				}
				a.gate(now, beat)
				a.coordination.tick(now)
				a.contact.tell(now, a.log.control)
				a.lookAgain = a.lookAgain || a.shelf.Due(now)
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
			a.lookAgain = true
			a.issue(now)
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
				a.shelf.Reset()
				a.lookAgain = true
			case dutyList:
				if mine {
					a.poll()
				}
			}
		}
		if a.lookAgain {
			a.lookAgain = false
			if _, mine := a.rota.Holds(now, dutyShelf); mine {
				a.shelf.Reconcile(now, a.configuration.routes.List(a.configuration.shown.Records), a.shards(), func() { a.lookAgain = true })
				again = true
			}
		}
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
	if strings.HasPrefix(key, coordination.KeyPrefix) {
		a.coordination.server.Committed(key, records)
		return false // gateways need none of it
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
	taken, versions := a.configuration.merge(records), false
	for _, r := range taken {
		versions = versions || rollout.Names(r.Name)
		if strings.HasPrefix(r.Name, rollout.Prefix) {
			a.rolls.Saw(a.now(), r)
		}
		if strings.HasPrefix(r.Name, config.EvacuationPrefix) {
			a.asks.saw(a.now(), r)
		}
	}
	if versions {
		a.versions = rollout.Services(a.configuration.shown.Records)
	}
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

// tell passes on to the other control nodes what those who watch this one have told,
// and puts that together with what the others have.
func (a *Node) tell(now time.Duration) {
	mine := a.watchers.Told(now)
	a.loads, a.holds = upstream.Loads{}, map[string]uint64{}
	take := func(t delivery.Told) {
		a.loads.Add(t.Loads)
		for id, digest := range t.Holds {
			if have, ok := a.holds[id]; !ok || have != a.configuration.shown.Sums.Fold() {
				a.holds[id] = digest // a gateway watches two; the newer word counts
			}
		}
	}
	take(mine)
	for _, id := range a.member.Everyone() {
		if id == a.post.Self() {
			continue
		}
		if len(mine.Holds) > 0 {
			a.post.Toss(id, delivery.ToldKind, mine)
		}
		if t, ok := a.told[id]; ok && now-t.at < a.watchers.Forget {
			take(t.told)
		}
	}
}

// issue sends every watcher what it lacks.
func (a *Node) issue(now time.Duration) {
	a.watchers.Each(now, func(to string, has delivery.Watch) delivery.Watch {
		return a.issueTo(now, to, has, false, true)
	})
	if term, mine := a.rota.Holds(now, dutyList); mine && a.stand.Version.Term == term {
		for _, id := range a.member.Everyone() {
			if _, watching := a.watchers.Has(id); !watching && id != a.post.Self() {
				a.watchers.Note(now, id, a.issueTo(now, id, delivery.Watch{}, false, true))
			}
		}
	}
}

func (a *Node) issueTo(now time.Duration, to string, has delivery.Watch, always, guessed bool) delivery.Watch {
	fresh := a.contact.fresh(now)
	out := delivery.Issue{Fresh: fresh, Led: fresh && a.rolls.Led()}
	whole := has.Sums != nil
	if has.Sums != nil {
		if diff := antientropy.Diff(*has.Sums, a.configuration.shown.Sums); len(diff) > 0 {
			// A large difference goes a few ranges at a time; the watcher says
			// again what it has.
			sums := *has.Sums
			i := 0
			for size := 0; i < len(diff) && size < issueMax; i++ {
				size += a.packs.Range(a.configuration.shown, diff[i], has.Packs, &out)
				sums[diff[i]] = a.configuration.shown.Sums[diff[i]]
			}
			out.More = i < len(diff)
			has.Sums = &sums
			whole = sums == a.configuration.shown.Sums
		}
	}
	if l := a.stand.Since(now, has.Listing); l != nil {
		out.Listing = l
		has.Listing = l.Version
	}
	if always {
		out.Loads = a.loads
		if at, ok := a.member.Current(config.Key); ok && whole && !guessed && has.Asked > 0 {
			out.Sure = &delivery.Sure{Asked: has.Asked, Age: now - at}
		}
	}
	if always || !out.Empty() {
		a.post.Send(to, delivery.IssueKind, out)
	}
	if !out.Empty() {
		a.watchers.Sent(now, to)
	}
	return has
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
	transport.On(a.post, delivery.WatchKind, func(from string, w delivery.Watch) {
		a.offer(func(now time.Duration) {
			known := a.stand.Version
			if _, term, life := a.rota.Holder(now, dutyList); term > known.Term || term == known.Term && life > known.Life {
				known = upstream.Version{Term: term, Life: life}
			}
			if known.Foreign(w.Listing) {
				a.rota.Raise(dutyList, w.Listing.Term)
			}
			has, guessed := a.watchers.Believe(now, from, w, a.set.Beat())
			a.watchers.Note(now, from, has)
			a.watchers.Note(now, from, a.issueTo(now, from, has, true, guessed))
			a.watchers.Holds(from, w)
		})
	})
	transport.On(a.post, delivery.IssueKind, func(from string, i delivery.Issue) {
		a.offer(func(now time.Duration) {
			if i.Listing != nil && a.stand.Take(now, *i.Listing) {
				a.issue(now)
			}
		})
	})
	if a.quotas != nil {
		a.quotas.handle()
	}
	transport.On(a.post, delivery.ScoreKind, func(from string, reports []rollout.Report) {
		a.offer(func(now time.Duration) { a.rolls.Heard(now, from, reports) })
	})
	transport.On(a.post, delivery.GatherKind, func(from string, all []rollout.Gathered) {
		a.offer(func(now time.Duration) { a.rolls.Take(now, from, all) })
	})
	transport.On(a.post, delivery.ToldKind, func(from string, t delivery.Told) {
		a.offer(func(now time.Duration) { a.told[from] = toldAt{now, t} })
	})
	a.post.HandleSlow(orderKind, func(_ string, body []byte) (any, error) {
		var o order
		if err := cbor.Unmarshal(body, &o); err != nil {
			a.post.Undecoded.Add(1)
			return nil, err
		}
		return a.own(o), nil
	})
}

// poll reads the platform's list in the background.
func (a *Node) poll() {
	if a.set.CloudAPI.Address == "" || !a.polling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer a.polling.Store(false)
		begin := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), settings.Seconds(8*a.set.Bounds.DrainS))
		defer cancel()
		list, calls, err := upstream.ReadAll(ctx, a.client, a.set.CloudAPI.Address, a.set.CloudAPI.RatePerS)
		a.stats.Polls.Add(uint64(calls))
		// A list of many pages is read less often; one that is throttled, too.
		if throttled := errors.Is(err, upstream.ErrThrottled); throttled || calls > 1 {
			rest := max(time.Since(begin), settings.Seconds(a.set.Bounds.DrainS/5))
			defer time.Sleep(min(rest, settings.Seconds(a.set.Bounds.DrainS)))
		}
		if err != nil {
			a.stats.PollErrors.Add(1)
			a.log.upstream.Warn("list not read", "error", err)
			return
		}
		a.do(func(now time.Duration) {
			term, mine := a.rota.Holds(now, dutyList)
			if !mine {
				term = 0
			}
			if (mine || !a.stand.Known()) && a.stand.Update(now, term, a.life, list) {
				a.log.upstream.Info("list read", "term", a.stand.Version.Term, "seq", a.stand.Version.Seq, "upstreams", len(list))
				a.issue(now)
			}
			if mine {
				a.adopt(now)
			}
		})
	}()
}

// shards counts the working gateways of each shard.
func (a *Node) shards() []placement.Shard {
	list := a.reg.List()
	labels := list.Shards(a.opt.Shards)
	zones := map[int][]string{}
	for _, n := range list.Live(membership.Data) {
		if !n.Draining {
			zones[labels[n.Address]] = append(zones[labels[n.Address]], n.Zone)
		}
	}
	return placement.Shards(a.opt.Shards, zones)
}

// bind creates bindings at the owner of the catalogue.
func (a *Node) bind(orders []placement.Order, done func([]error)) {
	go func() {
		answer, err := a.submit(order{Key: config.Key, Bind: orders})
		var refused []bool
		if err == nil {
			err = cbor.Unmarshal(answer, &refused)
		}
		if err != nil {
			a.log.placement.Warn("routes not bound", "routes", len(orders), "error", err)
		}
		errs := make([]error, len(orders))
		for i := range orders {
			errs[i] = err
			if err == nil && i < len(refused) && refused[i] {
				errs[i] = apierror.New(apierror.Conflict, "route %s", orders[i].Binding.Route)
			}
		}
		a.do(func(time.Duration) { done(errs) })
	}()
}
