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

// pump owns the state machines: it runs one command at a time and carries out
// what they ask for.
func (n *Node) pump(stop chan struct{}) {
	ticker := time.NewTicker(n.set.Beat() / 5)
	defer ticker.Stop()
	for {
		var fn func(time.Duration)
		select {
		case fn = <-n.commands:
		case <-ticker.C:
			fn = n.tick
		case <-stop:
			n.writes.close()
			return
		}
		now := n.now()
		fn(now)
		n.settle(now)
		n.contact.look(n.member.Current)
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
	n.orders.endDoubts(now)
	n.coordination.tick(now)
	n.contact.tell(now, n.log.control)
	n.placement.tick(now)
}

// settle carries out what the state machines want done.
func (n *Node) settle(now time.Duration) {
	for again := true; again; {
		n.settleReplica(now)
		again = n.settleDuties(now)
		again = n.placement.reconcile(now) || again
	}
}

// settleReplica sends and writes what the replica asks for, and shows what has been committed.
func (n *Node) settleReplica(now time.Duration) {
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
		n.post.Send(to, replicationKind, byPeer[to])
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
		changed = n.show(key, effects.Changed[key]) || changed
	}
	if changed {
		n.placement.look()
		n.delivery.issue(now)
		n.configurationChanged()
	}
}

// settleDuties sends what the election of duties asks for, and takes up or gives up duties. It says
// whether there were any.
func (n *Node) settleDuties(now time.Duration) bool {
	out, duties := n.election.Take()
	for _, e := range out {
		n.post.Send(e.To, electionKind, e.Msg)
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
				n.list.won(now)
			}
		}
	}
	return len(duties) > 0
}

// showAll takes over what the disk held, also of keys that were made as they were needed.
func (n *Node) showAll() {
	for _, key := range n.member.Keys() {
		n.show(key, nil)
	}
}

// show takes over the committed records of a key into what the gateways may see: those
// that have changed, or all if changed is nil.
func (n *Node) show(key string, records []replication.Record) bool {
	if key == replication.RosterKey {
		if r := n.member.Standing(n.now()).String(); r != n.rosterTold {
			n.rosterTold = r
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
	if key == config.Key && config.RaisesHorizon(n.configuration.shown.Records, records) {
		return n.showWhole()
	}
	taken := n.configuration.merge(records)
	n.rollouts.saw(taken)
	n.evacuations.committed(n.now(), taken)
	if strings.HasPrefix(key, config.EvacuationPrefix) {
		n.evacuations.forget(n.configuration.shown.Records)
	}
	return len(taken) > 0
}

// showWhole shows all that is committed of the configuration, and nothing else of it. Where
// that can't be told now, the member gives all of it with its next commit.
func (n *Node) showWhole() bool {
	committed, _, ok := n.member.Committed(config.Key)
	return ok && n.configuration.replace(committed)
}

// configurationChanged has the controllers take over what concerns them.
func (n *Node) configurationChanged() {
	if n.quotas != nil {
		n.quotas.setConfiguration()
	}
	if n.registry != nil {
		n.registry.setConfiguration(n.configuration.shown.Records)
	}
}

// handle takes the messages of other control nodes and of gateways.
func (n *Node) handle() {
	transport.On(n.post, replicationKind, func(from string, msgs []replication.Message) {
		n.offer(func(now time.Duration) {
			for _, m := range msgs {
				n.member.Handle(now, from, m)
			}
		})
	})
	transport.On(n.post, electionKind, func(from string, m election.Message) {
		n.offer(func(now time.Duration) { n.election.Handle(now, from, m) })
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
