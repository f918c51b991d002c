package controlplane

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/election"
	"madderwing/internal/membership"
	"madderwing/internal/placement"
	"madderwing/internal/settings"
)

// placementController binds routes to shards while this control node holds the placement role.
type placementController struct {
	*environment
	configuration *configuration
	submit        submitFunc

	scheduler        placement.Scheduler
	reconcilePending bool // routes, shards or the role have changed since the last reconcile

	recheck       bool          // routes, shards or the role have changed since the last check for waiting routes
	waiting       bool          // the last check found routes that wait for a binding
	noneWaitingAt time.Duration // when no route was last known to wait
	nextCheckAt   time.Duration // when the next check is due
}

func newPlacementController(env *environment, configuration *configuration, submit submitFunc) *placementController {
	c := &placementController{environment: env, configuration: configuration, submit: submit}
	c.scheduler = placement.Scheduler{Strategy: &placement.RoundRobin{}, RelistInterval: env.options.RelistInterval, RetryDelay: 2 * env.settings.HeartbeatInterval(), Create: c.bind}
	return c
}

// requestReconcile has the routes reconciled after the current event.
func (c *placementController) requestReconcile() { c.reconcilePending, c.recheck = true, true }

// tick requests a reconcile when the scheduler is due for one, and checks for waiting routes. It
// runs at every tick of the event loop.
func (c *placementController) tick(now time.Duration) {
	c.reconcilePending = c.reconcilePending || c.scheduler.Due(now)
	c.checkWaiting(now)
}

// checkWaiting checks, at most once per heartbeat interval, whether any route waits for its
// binding.
func (c *placementController) checkWaiting(now time.Duration) {
	if now >= c.nextCheckAt && (c.recheck || c.waiting) {
		c.nextCheckAt, c.recheck = now+c.settings.HeartbeatInterval(), false
		c.waiting = placement.AnyUnscheduled(c.configuration.routes(), c.shards())
	}
	if !c.waiting {
		c.noneWaitingAt = now
	}
}

// progress reports to the election as of when all routes had bindings here. Any control node in
// contact with a majority could bind those that wait.
func (c *placementController) progress(now time.Duration) election.Progress {
	own := c.noneWaitingAt
	if c.waiting && c.recentlyInContact(now) {
		own = now
	}
	return election.Progress{Known: c.noneWaitingAt, Own: own, Limit: settings.Seconds(c.settings.Bounds.AckS)}
}

// roleChanged resets the scheduler.
func (c *placementController) roleChanged() {
	c.scheduler.Reset()
	c.requestReconcile()
}

// reconcile runs the scheduler if that was requested and this node holds the role. It reports
// whether the scheduler ran.
func (c *placementController) reconcile(now time.Duration) bool {
	if !c.reconcilePending {
		return false
	}
	c.reconcilePending = false
	if _, mine := c.election.Holds(now, rolePlacement); !mine {
		return false
	}
	c.scheduler.Reconcile(now, c.configuration.routes(), c.shards(), c.requestReconcile)
	return true
}

// shards describes the shards by their working gateways.
func (c *placementController) shards() []placement.Shard {
	list := c.membership.List()
	labels := list.Shards(c.options.Shards)
	zones := map[int][]string{}
	for _, n := range list.Live(membership.Data) {
		if !n.Draining {
			zones[labels[n.Address]] = append(zones[labels[n.Address]], n.Zone)
		}
	}
	return placement.Shards(c.options.Shards, zones)
}

// bind asks the owner of the configuration to create bindings.
func (c *placementController) bind(orders []placement.BindRequest, done func([]error)) {
	go func() {
		answer, err := c.submit(context.Background(), order{Partition: config.Partition, Bind: orders})
		var refused []bool
		if err == nil {
			err = cbor.Unmarshal(answer, &refused)
		}
		if err != nil {
			c.log.placement.Warn("routes not bound", "routes", len(orders), "error", err)
		}
		errs := make([]error, len(orders))
		for i := range orders {
			errs[i] = err
			if err == nil && i < len(refused) && refused[i] {
				errs[i] = apierror.New(apierror.Conflict, "route %s", orders[i].Binding.Route)
			}
		}
		c.enqueue(func(time.Duration) { done(errs) })
	}()
}

// states lists the routes, and the shards with their gateways.
func (c *placementController) states(list *membership.List, labels map[string]int) ([]RouteState, []ShardState) {
	routes, shards := []RouteState{}, make([]ShardState, c.options.Shards)
	zones := make([]map[string]bool, c.options.Shards)
	for i := range shards {
		shards[i] = ShardState{Label: i, Gateways: []string{}}
		zones[i] = map[string]bool{}
	}
	for _, n := range list.Nodes {
		if n.Plane != membership.Data || n.State > membership.Suspect {
			continue
		}
		s := &shards[labels[n.Address]]
		s.Gateways = append(s.Gateways, n.Name)
		zones[s.Label][n.Zone] = true
		s.Zones = len(zones[s.Label])
	}
	for _, r := range c.configuration.routes() {
		routes = append(routes, RouteState{r.Name, r.Host, r.PathPrefix, r.Targets(), r.Generation, r.Status.Phase, r.Status.Shard})
		if r.Status.Shard >= 0 && r.Status.Shard < len(shards) {
			shards[r.Status.Shard].Routes++
		}
	}
	return routes, shards
}
