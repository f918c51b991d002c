package controlplane

import (
	"time"

	"madderwing/internal/config"
	"madderwing/internal/delivery"
	"madderwing/internal/membership"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

// maxUpdateBytes is roughly how many bytes of items are sent to a watcher at once. The watcher asks
// for the rest once it has these, so no more than this is sent twice where sending takes longer
// than a heartbeat interval on a slow link.
const maxUpdateBytes = 64 << 10

// deliveryController sends the configuration and the list of upstreams to the nodes that watch this
// one, and collects what they report about themselves.
type deliveryController struct {
	*environment
	configuration      *configuration
	list               *listController
	rolloutsControlled func() bool // reports whether all rollouts in progress have working controllers

	sender       delivery.Sender // of the configuration
	watchers     delivery.Watchers
	peerReports  map[string]peerReport // by control node
	nextReportAt time.Duration         // when the next exchange is due
	loads        upstream.Loads        // of all gateways
	itemDigests  map[string]uint64     // gateway -> digest of the items in effect there
}

// peerReport is what another control node reported of its watchers, and when it arrived.
type peerReport struct {
	receivedAt time.Duration
	report     delivery.WatcherSummary
}

func newDeliveryController(env *environment, configuration *configuration, list *listController, rolloutsControlled func() bool) *deliveryController {
	c := &deliveryController{environment: env, configuration: configuration, list: list, rolloutsControlled: rolloutsControlled, peerReports: map[string]peerReport{},
		sender: delivery.Sender{Log: &configuration.changes}}
	c.watchers.ExpireAfter = 4 * env.settings.HeartbeatInterval()
	return c
}

// registerHandlers registers the handlers for messages of watchers and of other control nodes.
func (c *deliveryController) registerHandlers() {
	transport.HandleMessage(c.endpoint, delivery.WatchKind, func(from string, w delivery.Watch) {
		c.tryEnqueue(func(now time.Duration) { c.handleWatch(now, from, w) })
	})
	transport.HandleMessage(c.endpoint, delivery.WatcherSummaryKind, func(from string, report delivery.WatcherSummary) {
		c.tryEnqueue(func(now time.Duration) { c.peerReports[from] = peerReport{now, report} })
	})
}

// handleWatch answers a watcher.
func (c *deliveryController) handleWatch(now time.Duration, from string, watch delivery.Watch) {
	// A list from a role holder that this node does not know of dates from before the control nodes
	// lost their state. Only lists of a later term replace it.
	if c.list.newestKnown(now).SupersededBy(watch.ListVersion) {
		c.election.RaiseUsedTerm(roleList, watch.ListVersion.Term)
	}
	c.list.noteWatcherClock(now, from, watch)
	has, unconfirmed := c.watchers.Assume(now, from, watch, c.settings.HeartbeatInterval())
	c.watchers.SetAssumed(now, from, has)
	c.watchers.SetAssumed(now, from, c.sendUpdate(now, from, has, true, unconfirmed))
	c.watchers.SetReported(from, watch)
}

// tick exchanges reports once per heartbeat interval. It runs at every tick of the event loop.
func (c *deliveryController) tick(now time.Duration) {
	if now >= c.nextReportAt {
		c.nextReportAt = now + c.settings.HeartbeatInterval()
		c.exchangeReports(now)
	}
}

// exchangeReports sends the other control nodes what this node's watchers reported, and combines it
// with what the others sent.
func (c *deliveryController) exchangeReports(now time.Duration) {
	mine := c.watchers.Summary(now)
	c.loads, c.itemDigests = upstream.Loads{}, map[string]uint64{}
	c.addReport(mine)
	for _, id := range c.replica.Members() {
		if id == c.endpoint.Address() {
			continue
		}
		if len(mine.Digests) > 0 {
			c.endpoint.SendDatagram(id, delivery.WatcherSummaryKind, mine)
		}
		if peer, ok := c.peerReports[id]; ok && now-peer.receivedAt < c.watchers.ExpireAfter {
			c.addReport(peer.report)
		}
	}
}

// addReport adds the report of one control node to what is known of all gateways.
func (c *deliveryController) addReport(report delivery.WatcherSummary) {
	c.loads.Add(report.Loads)
	for id, digest := range report.Digests {
		if have, ok := c.itemDigests[id]; !ok || have != c.configuration.published.Sums.Fold() {
			c.itemDigests[id] = digest // a gateway watches two control nodes; the newest digest wins
		}
	}
}

// sendUpdates sends every watcher what it lacks. The holder of the list role also sends the list to
// members that don't watch it.
func (c *deliveryController) sendUpdates(now time.Duration) {
	c.watchers.Each(now, func(to string, has delivery.Watch) delivery.Watch {
		return c.sendUpdate(now, to, has, false, true)
	})
	if term, mine := c.election.Holds(now, roleList); mine && c.list.snapshot.Version.Term == term {
		for _, id := range c.replica.Members() {
			if _, watching := c.watchers.Assumed(id); !watching && id != c.endpoint.Address() {
				c.watchers.SetAssumed(now, id, c.sendUpdate(now, id, delivery.Watch{}, false, true))
			}
		}
	}
}

// confirmListAge notifies the control nodes that have the current list as of when it is valid.
func (c *deliveryController) confirmListAge(now time.Duration) {
	for id, clock := range c.list.watcherClocks {
		if now-clock.receivedAt > c.watchers.ExpireAfter {
			delete(c.list.watcherClocks, id)
		} else if has, ok := c.watchers.Assumed(id); ok && has.ListVersion == c.list.snapshot.Version {
			c.endpoint.Send(id, delivery.UpdateKind, delivery.Update{ListFreshness: c.list.freshnessFor(id)})
		}
	}
}

// sendUpdate sends a watcher what it lacks, and a message without any update too if always is set.
// It returns what the watcher has then. unconfirmed means that has includes updates that the watcher
// has not confirmed.
func (c *deliveryController) sendUpdate(now time.Duration, to string, has delivery.Watch, always, unconfirmed bool) delivery.Watch {
	published := c.configuration.published
	fresh := c.contact.fresh(now)
	update := delivery.Update{Fresh: fresh, RolloutsControlled: fresh && c.rolloutsControlled()}
	complete := has.Sums != nil
	if has.Sums != nil {
		// A large difference is sent a few ranges at a time; the watcher then reports again what it
		// has.
		has = c.sender.AddMissing(published, has, maxUpdateBytes, &update)
		complete = *has.Sums == published.Sums
		if has.Pending != 0 {
			sums := published.Sums
			update.Sums = &sums
		}
	}
	if l := c.list.snapshot.UpdateFor(now, has.ListVersion); l != nil {
		update.List = l
		has.ListVersion = l.Version
	}
	if always || update.List != nil {
		update.ListFreshness = c.list.freshnessFor(to)
	}
	if always {
		update.Loads = c.loads
		if at, ok := c.replica.FreshAsOf(config.Partition); ok && complete && !unconfirmed && has.AskedAt > 0 {
			update.Freshness = &delivery.Freshness{AskedAt: has.AskedAt, Age: now - at}
		}
	}
	if always || !update.Empty() {
		c.endpoint.Send(to, delivery.UpdateKind, update)
	}
	if !update.Empty() {
		c.watchers.Sent(now, to)
	}
	return has
}

// states reports for each gateway whether the newest items are in effect there.
func (c *deliveryController) states(list *membership.List) []Delivery {
	out := []Delivery{}
	newest := c.configuration.published.Sums.Fold()
	for _, n := range list.Nodes {
		if n.Plane == membership.Data && n.State <= membership.Suspect {
			digest, heard := c.itemDigests[n.Address]
			out = append(out, Delivery{n.Name, n.Zone, heard, heard && digest == newest})
		}
	}
	return out
}
