package controlplane

import (
	"context"
	"strings"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/delivery"
	"madderwing/internal/membership"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

// rolloutController takes the steps of the rollouts whose partitions this control node owns,
// forwards reports on the others, and has the versions recorded that services run without a
// rollout.
type rolloutController struct {
	*environment
	configuration *configuration
	list          *listController
	submit        submitFunc
	loads         func() upstream.Loads // of all gateways

	controller    *rollout.Controller        // rollouts, as this control node knows them
	versions      map[string]rollout.Service // as published
	adopting      bool                       // an order that records running versions is in progress
	nextWaitLogAt time.Duration              // when a waiting rollout may be logged again
}

func newRolloutController(env *environment, configuration *configuration, list *listController, submit submitFunc) *rolloutController {
	return &rolloutController{environment: env, configuration: configuration, list: list, submit: submit, controller: rollout.NewController()}
}

// registerHandlers registers the handlers for reports on rollouts from gateways and other control nodes.
func (c *rolloutController) registerHandlers() {
	transport.On(c.endpoint, delivery.ScoreKind, func(from string, reports []rollout.Report) {
		c.tryEnqueue(func(now time.Duration) { c.controller.Heard(now, from, reports) })
	})
	transport.On(c.endpoint, delivery.GatherKind, func(from string, all []rollout.Gathered) {
		c.tryEnqueue(func(now time.Duration) { c.controller.Take(now, from, all) })
	})
}

// recordsPublished handles records that have just been published.
func (c *rolloutController) recordsPublished(records []config.Record) {
	changed := false
	for _, r := range records {
		changed = changed || rollout.Names(r.Name)
		if strings.HasPrefix(r.Name, rollout.Prefix) {
			c.controller.Saw(c.now(), r)
		}
	}
	if changed {
		c.versions = rollout.Services(c.configuration.published.Records)
	}
}

// tick checks the rollouts in progress, takes the steps of those whose partition this control node
// owns, and forwards the reports on the others.
func (c *rolloutController) tick(now time.Duration) {
	heartbeat := c.settings.Beat()
	moves, forwards := c.controller.Look(now, c.versions, rollout.Surroundings{
		Self: c.endpoint.Self(), Fresh: 2 * heartbeat, Fill: c.fillView,
		Owner: func(key string) string { return c.replica.Owner(now, key) }})
	for service, v := range c.versions {
		if p := v.Active(); p != nil && p.Stage == rollout.Full && c.replica.Owner(now, rollout.Key(service)) == c.endpoint.Self() {
			c.logWaiting(now, service)
		}
	}
	for to, all := range forwards {
		c.endpoint.Send(to, delivery.GatherKind, all)
	}
	for _, m := range moves {
		c.commitMove(now, m)
	}
}

// logWaiting logs from time to time what a rollout waits for that has been at full weight for
// longer than gateways take to report.
func (c *rolloutController) logWaiting(now time.Duration, service string) {
	minWait := 2 * c.settings.Beat()
	view := c.controller.View(service)
	if view.Stage <= minWait || now < c.nextWaitLogAt {
		return
	}
	c.nextWaitLogAt = now + minWait
	c.log.rollout.Info("rollout waits at full weight", "service", service, "heard", view.Heard, "live", view.Live,
		"unheard", c.gatewaysNotHeard(c.controller.Gathered(service).Nodes), "requestsAtOtherVersion", view.Busy)
}

// commitMove has a step of a rollout committed.
func (c *rolloutController) commitMove(now time.Duration, move rollout.Move) {
	plan := move.To
	change := func(have map[string]replication.Record) ([]replication.Record, error) {
		return rollout.Advance(have, move.From.Gen, plan)
	}
	c.replica.Propose(now, rollout.Key(plan.Service), change, func(err error) {
		c.controller.Moved(move)
		if err != nil {
			c.log.rollout.Warn("rollout step not taken", "service", plan.Service, "stage", plan.Stage.String(), "error", err)
			return
		}
		c.log.rollout.Info("rollout step taken", "service", plan.Service, "prior", plan.Prior, "candidate", plan.Candidate, "stage", plan.Stage.String(),
			"percent", rollout.Percent(plan.Weight), "afterS", logSeconds(plan.Age), "reason", plan.Reason)
	})
}

// gatewaysNotHeard names some of the live gateways that have not reported on a rollout.
func (c *rolloutController) gatewaysNotHeard(reported map[string]int) (names []string) {
	for _, n := range c.membership.List().Live(membership.Data) {
		if _, ok := reported[n.Address]; !ok && len(names) < maxNamedGateways {
			names = append(names, n.Name)
		}
	}
	return names
}

// fillView adds to a controller's view what this control node knows of gateways, upstreams and
// loads.
func (c *rolloutController) fillView(view *rollout.View, plan *rollout.Plan, reported map[string]int) {
	for _, n := range c.membership.List().Live(membership.Data) {
		view.Live++
		if busy, ok := reported[n.Address]; ok {
			view.Heard++
			view.Busy += busy
		}
	}
	c.list.snapshot.Each(c.now(), func(i upstream.Instance, left time.Duration) {
		if i.Service != plan.Service || i.Draining {
			return
		}
		if i.Version != plan.Candidate {
			view.Standing += float64(i.Capacity)
			return
		}
		view.Slots += float64(i.Capacity)
		if left <= 0 {
			view.Warm += float64(i.Capacity)
		}
	})
	for _, services := range c.loads() {
		for name, load := range services {
			if of, _, _ := strings.Cut(name, "@"); of == plan.Service {
				view.Load += load
			}
		}
	}
}

// currentVersion is the version that a service runs when an order arrives: according to the record
// of its last rollout, to the owner of the configuration, or, where no version was ever recorded,
// to the platform's list.
func (c *rolloutController) currentVersion(last replication.Record, o order) string {
	service := rollout.Service{Standing: o.Current}
	if plan, ok := rollout.Read(last); ok {
		service.Plan = plan
	}
	if known := service.Serves(); known != "" {
		return known
	}
	return c.list.serviceVersions()[o.Rollout.Service].mostFrequent
}

// call is an operator's call for a service, as the owner of the rollout's partition sees it.
func (c *rolloutController) call(service string, o order) rollout.Call {
	now, ackS := c.now(), settings.Seconds(c.settings.Bounds.AckS)
	return rollout.Call{ID: o.ID, Basis: o.Basis, Recent: func(id uint64) bool { return c.controller.Recent(now, service, id, ackS) }}
}

// adopt has the versions recorded, beside the items, that services run without a rollout: the first
// version of a service, and another one where the platform lists no upstream of the recorded
// version any more and no rollout is in progress.
func (c *rolloutController) adopt(now time.Duration) {
	if c.adopting || !c.replica.Voting() {
		return
	}
	recorded := c.versions
	adoption := order{Key: config.Key, Adopt: map[string]rollout.Standing{}, SeenGenerations: map[string]uint64{}}
	for service, listed := range c.list.serviceVersions() {
		versions := recorded[service]
		if versions.Active() != nil || listed.counts[versions.Serves()] > 0 || !c.configuration.hasService(service) {
			continue
		}
		standing := rollout.Standing{Version: listed.mostFrequent}
		if versions.Plan != nil {
			standing.After = versions.Plan.Gen
		}
		adoption.Adopt[service], adoption.SeenGenerations[service] = standing, c.configuration.published.Records[rollout.StandingPrefix+service].Gen
	}
	if len(adoption.Adopt) == 0 {
		return
	}
	c.adopting = true
	go func() {
		_, err := c.submit(context.Background(), adoption)
		c.enqueue(func(time.Duration) {
			c.adopting = false
			if err != nil {
				c.log.rollout.Warn("versions of services not recorded", "error", err)
			}
		})
	}()
}
