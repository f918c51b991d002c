package controlplane

import (
	"strings"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/coordination"
	"madderwing/internal/election"
	"madderwing/internal/replication"
	"madderwing/internal/transport"
)

// runEventLoop owns the state machines: it runs one command at a time and carries out
// what they ask for.
func (n *Node) runEventLoop(stop chan struct{}) {
	ticker := time.NewTicker(n.settings.Beat() / 5)
	defer ticker.Stop()
	for {
		var fn func(time.Duration)
		select {
		case fn = <-n.queue:
		case <-ticker.C:
			fn = n.tick
		case <-stop:
			n.writes.close()
			return
		}
		now := n.now()
		fn(now)
		n.applyEffects(now)
		n.contact.update(n.member.Current)
	}
}

// tick lets time pass for the state machines and the controllers.
func (n *Node) tick(now time.Duration) {
	n.member.Tick(now)
	n.election.Tick(now)
	n.list.tick(now)
	n.delivery.tick(now)
	if n.quotas != nil {
		n.quotas.tick(now)
	}
	n.rollouts.tick(now)
	n.orders.endOverdueDoubts(now)
	n.coordination.tick(now)
	n.contact.logChange(now, n.log.control)
	n.placement.tick(now)
}

// applyEffects carries out what the state machines want done.
func (n *Node) applyEffects(now time.Duration) {
	for again := true; again; {
		n.applyReplicaEffects(now)
		again = n.applyElectionEffects(now)
		again = n.placement.reconcile(now) || again
	}
}

// applyReplicaEffects sends and writes what the replica asks for, and shows what has been committed.
func (n *Node) applyReplicaEffects(now time.Duration) {
	effects := n.member.Take()
	byPeer := map[string][]replication.Message{}
	var order []string
	for _, e := range effects.Send {
		if byPeer[e.To] == nil {
			order = append(order, e.To)
		}
		byPeer[e.To] = append(byPeer[e.To], e.Msg)
	}
	for _, to := range order {
		n.endpoint.Send(to, replicationKind, byPeer[to])
	}
	for _, w := range effects.Writes {
		n.writes.put(writeJob{w.Entries, w.ID, false})
	}
	if effects.Rewrite {
		entries, upTo := n.member.Snapshot()
		n.writes.put(writeJob{entries, upTo, true})
	}
	for _, note := range effects.Notes {
		n.log.replication.Info(note)
	}
	changed := false
	for _, key := range effects.Committed {
		changed = n.publish(key, effects.Changed[key]) || changed
	}
	if changed {
		n.placement.requestReconcile()
		n.delivery.sendUpdates(now)
		n.configurationChanged()
	}
}

// applyElectionEffects sends what the election of duties asks for, and takes up or gives up duties. It says
// whether there were any.
func (n *Node) applyElectionEffects(now time.Duration) bool {
	out, duties := n.election.Take()
	for _, e := range out {
		n.endpoint.Send(e.To, electionKind, e.Msg)
	}
	for _, on := range n.election.TakeHandOns() {
		n.log.election.Warn("duty handed on, its holder's result is too old", "duty", on.Duty, "from", on.From, "to", on.To,
			"resultAgeS", logSeconds(on.ResultAge))
	}
	for _, d := range duties {
		_, mine := n.election.Holds(now, d)
		if mine {
			n.log.election.Info("duty won", "duty", d)
		} else {
			n.log.election.Info("duty given up", "duty", d)
		}
		switch d {
		case dutyPlacement:
			n.placement.dutyChanged()
		case dutyList:
			if mine {
				n.list.dutyWon(now)
			}
		}
	}
	return len(duties) > 0
}

// publishAll takes over what the disk held, also of keys that were made as they were needed.
func (n *Node) publishAll() {
	for _, key := range n.member.Keys() {
		n.publish(key, nil)
	}
}

// publish takes over the committed records of a key into what the gateways may see: those
// that have changed, or all if changed is nil.
func (n *Node) publish(key string, records []replication.Record) bool {
	if key == replication.RosterKey {
		if r := n.member.Standing(n.now()).String(); r != n.loggedRoster {
			n.loggedRoster = r
			n.log.replication.Info("roster changed", "roster", r)
		}
		return false
	}
	if strings.HasPrefix(key, coordination.KeyPrefix) {
		n.coordination.server.Committed(key, records)
		return false // gateways need none of it
	}
	if records == nil {
		all, _, ok := n.member.Committed(key)
		if !ok {
			return false
		}
		for _, r := range all {
			records = append(records, r)
		}
	}
	if key == config.Key && config.RaisesHorizon(n.configuration.published.Records, records) {
		return n.republishConfiguration()
	}
	taken := n.configuration.merge(records)
	n.rollouts.recordsPublished(taken)
	n.evacuations.recordsPublished(n.now(), taken)
	if strings.HasPrefix(key, config.EvacuationPrefix) {
		n.evacuations.forget(n.configuration.published.Records)
	}
	return len(taken) > 0
}

// republishConfiguration shows all that is committed of the configuration, and nothing else of it. Where
// that can't be told now, the member gives all of it with its next commit.
func (n *Node) republishConfiguration() bool {
	committed, _, ok := n.member.Committed(config.Key)
	return ok && n.configuration.replace(committed)
}

// configurationChanged has the controllers take over what concerns them.
func (n *Node) configurationChanged() {
	if n.quotas != nil {
		n.quotas.setConfiguration()
	}
	if n.registry != nil {
		n.registry.setConfiguration(n.configuration.published.Records)
	}
}

// handle takes the messages of other control nodes and of gateways.
func (n *Node) handle() {
	transport.On(n.endpoint, replicationKind, func(from string, msgs []replication.Message) {
		n.tryEnqueue(func(now time.Duration) {
			for _, m := range msgs {
				n.member.Handle(now, from, m)
			}
		})
	})
	transport.On(n.endpoint, electionKind, func(from string, m election.Message) {
		n.tryEnqueue(func(now time.Duration) { n.election.Handle(now, from, m) })
	})
	n.list.handle()
	n.delivery.handle()
	if n.quotas != nil {
		n.quotas.handle()
	}
	n.rollouts.handle()
	n.orders.handle()
	n.coordination.handle()
	n.answerRelays()
}
