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

// administration shows operators what this control node holds, and takes control nodes out of
// the roster.
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

	calls, refused, withoutQuorum atomic.Uint64 // of operators
}

// overview is all that there is to show.
func (c *administration) overview(now time.Duration) *Overview {
	o := &Overview{Node: c.settings.Node, Voting: c.member.Voting(), Contact: c.contact.state(now), Roster: c.member.Standing(now),
		Duties: c.election.States(now), Listing: c.list.snapshot.Version, Upstreams: c.list.snapshot.All(now),
		Keys: c.keys(now), Evacuations: c.configuration.evacuated(), InDoubt: c.configuration.evacuatedInDoubt(), Rollouts: c.rollouts.states(now), Counters: c.counters(now)}
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

// members are the nodes that are known, and the seats whose holders are not.
func (c *administration) members(list *membership.List, labels map[string]int) []Member {
	out := []Member{}
	seats := map[string]bool{}
	for _, id := range c.member.Roster() {
		seats[id] = true
	}
	for _, n := range list.Nodes {
		m := Member{n.Name, n.Address, n.Zone, n.Plane.String(), n.State.String(), n.Draining, n.Incarnation, -1, seats[n.Address]}
		if n.Plane == membership.Data {
			m.Shard = labels[n.Address]
		}
		out = append(out, m)
	}
	for id := range seats {
		if _, known := list.Get(id); !known {
			out = append(out, Member{Name: id, Address: id, Plane: membership.Control.String(), State: "lost", Shard: -1, Seat: true})
		}
	}
	return out
}

// keys are the keys of the control state; nil if there are none.
func (c *administration) keys(now time.Duration) (out []Key) {
	for _, v := range c.member.Views(now) {
		heard := v.HeardAgo
		if t, _ := c.member.Tenure(now, v.Key); v.Owning {
			heard = now - t.Sure
		}
		out = append(out, Key{v.Key, v.Owner, v.Epoch, v.Seq, v.Commit, v.Records, heard.Round(time.Millisecond).Seconds()})
	}
	return out
}

// counters are those of this control node since its start.
func (c *administration) counters(now time.Duration) map[string]uint64 {
	return map[string]uint64{
		"orders": c.calls.Load(), "ordersRefused": c.refused.Load(), "ordersNoQuorum": c.withoutQuorum.Load(),
		"platformCalls": c.list.platformCalls.Load(), "platformErrors": c.list.platformErrors.Load(),
		"bindings": c.placement.scheduler.Bound, "bindingErrors": c.placement.scheduler.Errors, "watchers": uint64(c.delivery.watchers.Count(now)),
		"framesSent": c.endpoint.FramesSent.Load(), "bytesSent": c.endpoint.BytesSent.Load(), "framesUndecoded": c.endpoint.Undecoded.Load(),
	}
}

// retire takes a control node that is gone for good out of the roster, by name or
// address.
func (c *administration) retire(caller context.Context, node string) error {
	address := node
	for _, n := range c.membership.List().Nodes {
		if n.Plane == membership.Control && n.Name == node {
			address = n.Address
		}
	}
	if _, err := c.orders.submit(caller, order{Key: replication.RosterKey, Retire: address}); err != nil {
		return err
	}
	c.log.control.Info("control node retired", "retired", node)
	return nil
}

// metrics gives the counters in the text form that monitoring systems scrape.
func (c *administration) metrics() []byte {
	ch := make(chan *Overview, 1)
	c.enqueue(func(now time.Duration) { ch <- c.overview(now) })
	o := <-ch
	watchers := o.Counters["watchers"]
	delete(o.Counters, "watchers")
	var b bytes.Buffer
	metrics.Write(&b, "control", o.Counters)
	metrics.Gauge(&b, "control", "watchers", watchers)
	owned := uint64(0)
	for _, k := range o.Keys {
		if k.Owner == c.endpoint.Self() {
			owned++
		}
	}
	metrics.Gauge(&b, "control", "keysOwned", owned)
	inContact := uint64(0)
	if o.Contact.Fresh {
		inContact = 1
	}
	metrics.Gauge(&b, "control", "inContact", inContact)
	metrics.Gauge(&b, "control", "zonesEvacuated", uint64(len(o.Evacuations)))
	metrics.Gauge(&b, "control", "zonesInDoubt", uint64(len(o.InDoubt)))
	learnersBehind := uint64(0)
	for _, l := range o.Roster.Learners {
		if l.Behind > 0 {
			learnersBehind++
		}
	}
	metrics.Gauge(&b, "control", "seats", uint64(len(o.Roster.Seats)))
	metrics.Gauge(&b, "control", "learners", uint64(len(o.Roster.Learners)))
	metrics.Gauge(&b, "control", "learnersBehind", learnersBehind)
	metrics.Gauge(&b, "control", "lossesBorne", uint64(max(0, o.Roster.Bears)))
	metrics.Gauge(&b, "control", "itemsAgeMs", uint64(o.Contact.AgeS*1000))
	metrics.Gauge(&b, "control", "routes", uint64(len(o.Routes)))
	metrics.Gauge(&b, "control", "upstreams", uint64(len(o.Upstreams)))
	metrics.Gauge(&b, "control", "gateways", uint64(len(o.Delivery)))
	metrics.Gauge(&b, "control", "gatewaysCurrent", uint64(len(o.Delivery)-len(o.gatewaysBehind())))
	c.coordination.currentState().writeMetrics(&b)
	return b.Bytes()
}

// page gives one of the read-only views.
func (c *administration) page(page string, query url.Values) ([]byte, error) {
	ch := make(chan *Overview, 1)
	c.enqueue(func(now time.Duration) { ch <- c.overview(now) })
	v, err := (<-ch).view(page, query)
	if err != nil {
		return nil, err
	}
	b, err := json.MarshalIndent(v, "", "  ")
	return append(b, '\n'), err
}
