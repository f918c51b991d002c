package controlplane

import (
	"bytes"
	"encoding/json"
	"net/url"
	"sort"
	"strings"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/election"
	"madderwing/internal/membership"
	"madderwing/internal/metrics"
	"madderwing/internal/quota"
	"madderwing/internal/replication"
	"madderwing/internal/upstream"
)

// Member is a node as the administration API shows it.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Plane       string `json:"plane"`
	State       string `json:"state"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"`
	Shard       int    `json:"shard"` // -1 on control nodes
	Seat        bool   `json:"seat"`  // in the roster
}

// Key is a key of the control state as the administration API shows it.
type Key struct {
	Key     string `json:"key"`
	Owner   string `json:"owner"`
	Epoch   uint64 `json:"epoch"`
	Seq     uint64 `json:"seq"`
	Commit  uint64 `json:"commit"`
	Records int    `json:"records"`
	// HeardAgoS is how long ago the owner was heard here; at the owner, how long ago a
	// majority confirmed it.
	HeardAgoS float64 `json:"heardAgoS"`
}

// RouteState is a route and its placement.
type RouteState struct {
	Name       string       `json:"name"`
	Host       string       `json:"host"`
	PathPrefix string       `json:"pathPrefix"`
	Targets    []string     `json:"targets"`
	Generation uint64       `json:"generation"`
	Phase      config.Phase `json:"phase"`
	Shard      int          `json:"shard"`
}

// ShardState is a shard and its gateways.
type ShardState struct {
	Label    int      `json:"label"`
	Gateways []string `json:"desks"`
	Zones    int      `json:"zones"`
	Routes   int      `json:"routes"`
}

// Delivery is how far a gateway has the newest items in force.
type Delivery struct {
	Gateway string `json:"desk"`
	Zone    string `json:"zone"`
	Heard   bool   `json:"heard"`   // by a control node, lately
	Current bool   `json:"current"` // has what the control node asked knows to be newest
}

// TenantState is a tenant as the administration API shows it: without its keys.
type TenantState struct {
	Name       string   `json:"name"`
	Keys       int      `json:"keys"`
	Priority   *int     `json:"priority,omitempty"`
	RatePerS   float64  `json:"ratePerS"`
	Burst      float64  `json:"burst"`
	Residency  []string `json:"residency,omitempty"`
	Generation uint64   `json:"generation"`
}

// Quotas tells who lends tenants' quotas and, at the lender, what is lent.
type Quotas struct {
	Lender string            `json:"lender"`
	Silent []string          `json:"silent,omitempty"` // branches that the lender has not heard
	Loans  []quota.LoanState `json:"loans,omitempty"`
}

// Overview is all that the administration API shows.
type Overview struct {
	Node        string               `json:"node"`
	Voting      bool                 `json:"voting"`
	Contact     Contact              `json:"contact"`
	Roster      replication.Standing `json:"roster"`
	Members     []Member             `json:"members"`
	Keys        []Key                `json:"keys"`
	Duties      []election.State     `json:"duties"`
	Routes      []RouteState         `json:"routes"`
	Shards      []ShardState         `json:"shards"`
	Upstreams   []upstream.Instance  `json:"upstreams"`
	Listing     upstream.Version     `json:"listing"`
	Evacuations []string             `json:"evacuations"`
	Delivery    []Delivery           `json:"delivery"`
	Tenants     []TenantState        `json:"tenants,omitempty"`
	Quotas      *Quotas              `json:"quotas,omitempty"`
	Rollouts    []RolloutState       `json:"rollouts"`
	Counters    map[string]uint64    `json:"counters"`
}

func (a *Node) overview(now time.Duration) *Overview {
	o := &Overview{Node: a.set.Node, Voting: a.member.Voting(), Contact: a.contact.state(now), Roster: a.member.Standing(now), Duties: a.rota.States(now), Listing: a.stand.Version,
		Upstreams: a.stand.All(now), Evacuations: []string{}, Members: []Member{}, Delivery: []Delivery{}, Routes: []RouteState{}, Shards: []ShardState{}}
	list := a.reg.List()
	labels := list.Shards(a.opt.Shards)
	seats := map[string]bool{}
	for _, id := range a.member.Roster() {
		seats[id] = true
	}
	shards := make([]ShardState, a.opt.Shards)
	zones := make([]map[string]bool, a.opt.Shards)
	for i := range shards {
		shards[i] = ShardState{Label: i, Gateways: []string{}}
		zones[i] = map[string]bool{}
	}
	for _, n := range list.Nodes {
		m := Member{n.Name, n.Address, n.Zone, n.Plane.String(), n.State.String(), n.Draining, n.Incarnation, -1, seats[n.Address]}
		if n.Plane == membership.Data {
			m.Shard = labels[n.Address]
			if n.State <= membership.Suspect {
				digest, heard := a.holds[n.Address]
				o.Delivery = append(o.Delivery, Delivery{n.Name, n.Zone, heard, heard && digest == a.configuration.shown.Sums.Fold()})
				s := &shards[m.Shard]
				s.Gateways = append(s.Gateways, n.Name)
				zones[m.Shard][n.Zone] = true
				s.Zones = len(zones[m.Shard])
			}
		}
		o.Members = append(o.Members, m)
	}
	for id := range seats {
		if _, known := list.Get(id); !known {
			o.Members = append(o.Members, Member{Name: id, Address: id, Plane: membership.Control.String(), State: "lost", Shard: -1, Seat: true})
		}
	}
	for _, v := range a.member.Views(now) {
		heard := v.HeardAgo
		if t, _ := a.member.Tenure(now, v.Key); v.Owning {
			heard = now - t.Sure
		}
		o.Keys = append(o.Keys, Key{v.Key, v.Owner, v.Epoch, v.Seq, v.Commit, v.Records, heard.Round(time.Millisecond).Seconds()})
	}
	for _, r := range a.configuration.routes.List(a.configuration.shown.Records) {
		o.Routes = append(o.Routes, RouteState{r.Name, r.Host, r.PathPrefix, r.Targets(), r.Generation, r.Status.Phase, r.Status.Shard})
		if r.Status.Shard >= 0 && r.Status.Shard < len(shards) {
			shards[r.Status.Shard].Routes++
		}
	}
	o.Shards = append(o.Shards, shards...)
	for name, r := range a.configuration.shown.Records {
		if strings.HasPrefix(name, config.EvacuationPrefix) && !r.Dropped {
			o.Evacuations = append(o.Evacuations, name[len(config.EvacuationPrefix):])
		}
	}
	sort.Strings(o.Evacuations)
	o.Rollouts = a.rolloutStates(now)
	if a.quotas != nil {
		o.Tenants, o.Quotas = a.quotas.states()
	}
	o.Counters = map[string]uint64{
		"orders": a.stats.Orders.Load(), "ordersRefused": a.stats.Refused.Load(), "ordersNoQuorum": a.stats.NoQuorum.Load(),
		"platformCalls": a.stats.Polls.Load(), "platformErrors": a.stats.PollErrors.Load(),
		"bindings": a.shelf.Bound, "bindingErrors": a.shelf.Errors, "watchers": uint64(a.watchers.Count(now)),
		"framesSent": a.post.FramesSent.Load(), "bytesSent": a.post.BytesSent.Load(), "framesUndecoded": a.post.Undecoded.Load(),
	}
	return o
}

// retire takes a control node that is gone for good out of the roster, by name or
// address.
func (a *Node) retire(node string) error {
	address := node
	for _, n := range a.reg.List().Nodes {
		if n.Plane == membership.Control && n.Name == node {
			address = n.Address
		}
	}
	if _, err := a.submit(order{Key: replication.RosterKey, Retire: address}); err != nil {
		return err
	}
	a.log.control.Info("control node retired", "retired", node)
	return nil
}

// metrics gives the counters in the text form that monitoring systems scrape.
func (a *Node) metrics() []byte {
	ch := make(chan *Overview, 1)
	a.do(func(now time.Duration) { ch <- a.overview(now) })
	o := <-ch
	watchers := o.Counters["watchers"]
	delete(o.Counters, "watchers")
	var b bytes.Buffer
	metrics.Write(&b, "control", o.Counters)
	metrics.Gauge(&b, "control", "watchers", watchers)
	owned := uint64(0)
	for _, k := range o.Keys {
		if k.Owner == a.post.Self() {
			owned++
		}
	}
	metrics.Gauge(&b, "control", "keysOwned", owned)
	inContact := uint64(0)
	if o.Contact.Fresh {
		inContact = 1
	}
	metrics.Gauge(&b, "control", "inContact", inContact)
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
	metrics.Gauge(&b, "control", "gatewaysCurrent", uint64(len(o.Delivery)-len(o.behind())))
	a.coordinationState().writeMetrics(&b)
	return b.Bytes()
}

// admin gives one of the read-only views.
func (a *Node) admin(page string, q url.Values) ([]byte, error) {
	ch := make(chan *Overview, 1)
	a.do(func(now time.Duration) { ch <- a.overview(now) })
	v, err := (<-ch).view(page, q)
	if err != nil {
		return nil, err
	}
	b, err := json.MarshalIndent(v, "", "  ")
	return append(b, '\n'), err
}
