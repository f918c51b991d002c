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

// runEventLoop owns the state machines: it runs one queued function at a time, then carries out the
// effects that the state machines request.
func (n *Node) runEventLoop(stop chan struct{}) {
	ticker := time.NewTicker(n.settings.HeartbeatInterval() / 5)
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
		n.contact.update(n.replica.FreshAsOf)
	}
}

// tick advances the timers of the state machines and controllers.
func (n *Node) tick(now time.Duration) {
	n.replica.Tick(now)
	n.election.Tick(now)
	n.list.tick(now)
	n.delivery.tick(now)
	if n.quotas != nil {
		n.quotas.tick(now)
	}
	n.rollouts.tick(now)
	n.orders.endOverdueDoubts(now)
	n.orders.settleOrders(now)
	n.callAges.tick(now)
	n.coordination.tick(now)
	n.contact.logChange(now, n.log.control)
	n.placement.tick(now)
}

// applyEffects carries out what the state machines request, until they request nothing more.
func (n *Node) applyEffects(now time.Duration) {
	for again := true; again; {
		n.applyReplicaEffects(now)
		again = n.applyElectionEffects(now)
		again = n.placement.reconcile(now) || again
	}
}

// applyReplicaEffects sends messages, queues disk writes and publishes newly committed records.
func (n *Node) applyReplicaEffects(now time.Duration) {
	effects := n.replica.Take()
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
		entries, upTo := n.replica.Snapshot()
		n.writes.put(writeJob{entries, upTo, true})
	}
	for _, note := range effects.Notes {
		n.log.replication.Info(note)
	}
	changed := false
	for _, partition := range effects.Committed {
		changed = n.publish(partition, effects.Changed[partition]) || changed
	}
	if changed {
		n.placement.requestReconcile()
		n.delivery.sendUpdates(now)
		n.configurationChanged()
	}
}

// applyElectionEffects sends the election's messages, and starts or ends roles at this node. It
// reports whether any role changed.
func (n *Node) applyElectionEffects(now time.Duration) bool {
	out, roles := n.election.Take()
	for _, e := range out {
		n.endpoint.Send(e.To, electionKind, e.Msg)
	}
	for _, transfer := range n.election.DrainTransfers() {
		n.log.election.Warn("duty handed on, its holder's result is too old", "duty", transfer.Role, "from", transfer.From, "to", transfer.To,
			"resultAgeS", logSeconds(transfer.ResultAge))
	}
	for _, role := range roles {
		_, mine := n.election.Holds(now, role)
		if mine {
			n.log.election.Info("duty won", "duty", role)
		} else {
			n.log.election.Info("duty given up", "duty", role)
		}
		switch role {
		case rolePlacement:
			n.placement.roleChanged()
		case roleList:
			if mine {
				n.list.roleAcquired(now)
			}
		}
	}
	return len(roles) > 0
}

// publishAll publishes what was read from disk, including partitions that were created on demand.
func (n *Node) publishAll() {
	for _, partition := range n.replica.Partitions() {
		n.publish(partition, nil)
	}
}

// publish makes committed records of a partition visible to gateways: the given ones, which have
// changed, or all of the partition if records is nil. It reports whether the published
// configuration changed.
func (n *Node) publish(partition string, records []replication.Record) bool {
	if partition == replication.VoterSetPartition {
		if voterSet := n.replica.VoterSetStatus(n.now()).String(); voterSet != n.loggedVoterSet {
			n.loggedVoterSet = voterSet
			n.log.replication.Info("roster changed", "roster", voterSet)
		}
		return false
	}
	if strings.HasPrefix(partition, coordination.PartitionPrefix) {
		n.coordination.server.Committed(partition, records)
		return false // gateways need no coordination data
	}
	if records == nil {
		all, _, ok := n.replica.Committed(partition)
		if !ok {
			return false
		}
		for _, r := range all {
			records = append(records, r)
		}
	}
	if partition == config.Partition && config.ContainsHigherHorizon(n.configuration.published.Records, records) {
		return n.republishConfiguration()
	}
	newer := n.configuration.merge(records)
	n.rollouts.recordsPublished(newer)
	n.evacuations.recordsPublished(n.now(), newer)
	return len(newer) > 0
}

// republishConfiguration replaces the published configuration by all that is committed of it, so
// that erased records are removed. Where the committed state isn't known now, the replica reports
// all of it with its next commit.
func (n *Node) republishConfiguration() bool {
	committed, _, ok := n.replica.Committed(config.Partition)
	return ok && n.configuration.replace(committed)
}

// configurationChanged passes the published configuration to the controllers that use it.
func (n *Node) configurationChanged() {
	if n.quotas != nil {
		n.quotas.setConfiguration()
	}
	if n.registry != nil {
		n.registry.setConfiguration(n.configuration.published.Records)
	}
}

// registerHandlers registers the handlers for messages of other control nodes and of gateways.
func (n *Node) registerHandlers() {
	transport.HandleMessage(n.endpoint, replicationKind, func(from string, msgs []replication.Message) {
		n.tryEnqueue(func(now time.Duration) {
			for _, m := range msgs {
				n.replica.Handle(now, from, m)
			}
		})
	})
	transport.HandleMessage(n.endpoint, electionKind, func(from string, m election.Message) {
		n.tryEnqueue(func(now time.Duration) { n.election.Handle(now, from, m) })
	})
	n.list.registerHandlers()
	n.delivery.registerHandlers()
	if n.quotas != nil {
		n.quotas.registerHandlers()
	}
	n.rollouts.registerHandlers()
	n.orders.registerHandlers()
	n.coordination.registerHandlers()
	n.registerRelayHandler()
}
