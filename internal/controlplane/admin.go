package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"net/url"
	"sync/atomic"
	"time"

	"madderwing/internal/membership"
	"madderwing/internal/metrics"
	"madderwing/internal/replication"
)

// administration shows operators the state of this control node, and removes control nodes from the
// voter set.
type administration struct {
	*environment
	configuration *configuration
	list          *listController
	delivery      *deliveryController
	placement     *placementController
	rollouts      *rolloutController
	quotas        *quotaController // nil where tenants have no quotas
	orders        *orderController
	coordination  *coordinator

	calls, refused, withoutQuorum atomic.Uint64 // operators' calls
}

// overview collects all that the administration API shows.
func (c *administration) overview(now time.Duration) *Overview {
	o := &Overview{Node: c.settings.Node, Voting: c.replica.IsVoter(), Contact: c.contact.state(now), VoterSet: c.replica.VoterSetStatus(now),
		Roles: c.election.States(now), Listing: c.list.snapshot.Version, Upstreams: c.list.snapshot.All(now),
		Partitions: c.partitions(now), Evacuations: c.configuration.evacuated(), EvacuationsInDoubt: c.configuration.evacuatedInDoubt(), Rollouts: c.rollouts.states(now), Counters: c.counters(now)}
	list := c.membership.List()
	labels := list.Shards(c.options.Shards)
	o.Members = c.members(list, labels)
	o.Delivery = c.delivery.states(list)
	o.Routes, o.Shards = c.placement.states(list, labels)
	if c.quotas != nil {
		o.Tenants, o.Quotas = c.quotas.states()
	}
	return o
}

// members lists the known nodes, and the voters whose nodes are unknown.
func (c *administration) members(list *membership.List, labels map[string]int) []Member {
	members := []Member{}
	voters := map[string]bool{}
	for _, id := range c.replica.Voters() {
		voters[id] = true
	}
	for _, n := range list.Nodes {
		member := Member{n.Name, n.Address, n.Zone, n.Plane.String(), n.State.String(), n.Draining, n.Incarnation, -1, voters[n.Address]}
		if n.Plane == membership.Data {
			member.Shard = labels[n.Address]
		}
		members = append(members, member)
	}
	for id := range voters {
		if _, known := list.Get(id); !known {
			members = append(members, Member{Name: id, Address: id, Plane: membership.Control.String(), State: "lost", Shard: -1, Voter: true})
		}
	}
	return members
}

// partitions describes the partitions of the control state; nil if there are none.
func (c *administration) partitions(now time.Duration) (out []PartitionSummary) {
	for _, v := range c.replica.PartitionViews(now) {
		heard := v.SinceContact
		if term, _ := c.replica.OwnershipTerm(now, v.Partition); v.Owning {
			heard = now - term.ConfirmedAt
		}
		out = append(out, PartitionSummary{v.Partition, v.Owner, v.Epoch, v.Seq, v.Commit, v.Records, heard.Round(time.Millisecond).Seconds()})
	}
	return out
}

// counters returns this control node's counters since its start.
func (c *administration) counters(now time.Duration) map[string]uint64 {
	return map[string]uint64{
		"orders": c.calls.Load(), "ordersRefused": c.refused.Load(), "ordersNoQuorum": c.withoutQuorum.Load(),
		"platformCalls": c.list.platformCalls.Load(), "platformErrors": c.list.platformErrors.Load(),
		"bindings": c.placement.scheduler.Bound, "bindingErrors": c.placement.scheduler.Errors, "watchers": uint64(c.delivery.watchers.Count(now)),
		"framesSent": c.endpoint.WritesSent.Load(), "bytesSent": c.endpoint.BytesSent.Load(), "framesUndecoded": c.endpoint.Undecoded.Load(),
	}
}

// retire removes a control node that has permanently failed from the voter set, by name or address.
func (c *administration) retire(caller context.Context, node string) error {
	address := node
	for _, n := range c.membership.List().Nodes {
		if n.Plane == membership.Control && n.Name == node {
			address = n.Address
		}
	}
	if _, err := c.orders.submit(caller, order{Partition: replication.VoterSetPartition, Retire: address}); err != nil {
		return err
	}
	c.log.control.Info("control node retired", "retired", node)
	return nil
}

// metrics returns the counters and gauges in the text form that monitoring systems scrape.
func (c *administration) metrics() []byte {
	overviews := make(chan *Overview, 1)
	c.enqueue(func(now time.Duration) { overviews <- c.overview(now) })
	overview := <-overviews
	watchers := overview.Counters["watchers"]
	delete(overview.Counters, "watchers")
	var b bytes.Buffer
	metrics.WriteCounters(&b, "control", overview.Counters)
	metrics.WriteGauge(&b, "control", "watchers", watchers)
	owned := uint64(0)
	for _, partition := range overview.Partitions {
		if partition.Owner == c.endpoint.Address() {
			owned++
		}
	}
	metrics.WriteGauge(&b, "control", "keysOwned", owned)
	inContact := uint64(0)
	if overview.Contact.Fresh {
		inContact = 1
	}
	metrics.WriteGauge(&b, "control", "inContact", inContact)
	metrics.WriteGauge(&b, "control", "zonesEvacuated", uint64(len(overview.Evacuations)))
	metrics.WriteGauge(&b, "control", "zonesInDoubt", uint64(len(overview.EvacuationsInDoubt)))
	learnersBehind := uint64(0)
	for _, learner := range overview.VoterSet.Learners {
		if learner.Behind > 0 {
			learnersBehind++
		}
	}
	metrics.WriteGauge(&b, "control", "seats", uint64(len(overview.VoterSet.Voters)))
	metrics.WriteGauge(&b, "control", "learners", uint64(len(overview.VoterSet.Learners)))
	metrics.WriteGauge(&b, "control", "learnersBehind", learnersBehind)
	metrics.WriteGauge(&b, "control", "lossesBorne", uint64(max(0, overview.VoterSet.Tolerates)))
	metrics.WriteGauge(&b, "control", "itemsAgeMs", uint64(overview.Contact.AgeS*1000))
	metrics.WriteGauge(&b, "control", "routes", uint64(len(overview.Routes)))
	metrics.WriteGauge(&b, "control", "upstreams", uint64(len(overview.Upstreams)))
	metrics.WriteGauge(&b, "control", "gateways", uint64(len(overview.Delivery)))
	metrics.WriteGauge(&b, "control", "gatewaysCurrent", uint64(len(overview.Delivery)-len(overview.gatewaysBehind())))
	c.coordination.currentState().writeMetrics(&b)
	return b.Bytes()
}

// page returns a read-only view as JSON.
func (c *administration) page(page string, query url.Values) ([]byte, error) {
	overviews := make(chan *Overview, 1)
	c.enqueue(func(now time.Duration) { overviews <- c.overview(now) })
	v, err := (<-overviews).view(page, query)
	if err != nil {
		return nil, err
	}
	b, err := json.MarshalIndent(v, "", "  ")
	return append(b, '\n'), err
}
