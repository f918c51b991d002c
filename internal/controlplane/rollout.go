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

// rolloutController carries out the transitions of the rollouts whose partitions this control node
// owns, forwards reports on the others, and records the versions that services run without a
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
	settler       *callSettler
}

func newRolloutController(env *environment, configuration *configuration, list *listController, submit submitFunc, settler *callSettler) *rolloutController {
	return &rolloutController{environment: env, configuration: configuration, list: list, submit: submit, controller: rollout.NewController(), settler: settler}
}

// registerHandlers registers the handlers for reports on rollouts from gateways and other control nodes.
func (c *rolloutController) registerHandlers() {
	transport.HandleMessage(c.endpoint, delivery.RolloutReportKind, func(from string, reports []rollout.Report) {
		c.tryEnqueue(func(now time.Duration) { c.controller.ReceiveReports(now, from, reports) })
	})
	transport.HandleMessage(c.endpoint, delivery.ForwardedReportsKind, func(from string, all []rollout.Gathered) {
		c.tryEnqueue(func(now time.Duration) { c.controller.ReceiveGathered(now, from, all) })
	})
}

// recordsPublished handles records that have just been published.
func (c *rolloutController) recordsPublished(records []config.Record) {
	changed := false
	for _, r := range records {
		changed = changed || rollout.HoldsVersion(r.Name)
		if strings.HasPrefix(r.Name, rollout.Prefix) {
			c.controller.RecordCommitted(c.now(), r)
		}
	}
	if changed {
		c.versions = rollout.DecodeServices(c.configuration.published.Records)
	}
}

// tick evaluates the rollouts in progress, carries out the transitions of those whose partition this
// control node owns, and forwards the reports on the others.
func (c *rolloutController) tick(now time.Duration) {
	heartbeat := c.settings.HeartbeatInterval()
	transitions, forwards := c.controller.Evaluate(now, c.versions, rollout.Environment{
		Self: c.endpoint.Address(), MaxReportAge: 2 * heartbeat, Fill: c.fillView,
		Owner: func(partition string) string { return c.replica.Owner(now, partition) }})
	for service, v := range c.versions {
		if p := v.Active(); p != nil && p.Stage == rollout.Full && c.replica.Owner(now, rollout.PartitionOf(service)) == c.endpoint.Address() {
			c.logWaiting(now, service)
		}
	}
	for to, all := range forwards {
		c.endpoint.Send(to, delivery.ForwardedReportsKind, all)
	}
	for _, transition := range transitions {
		c.commitTransition(now, transition)
	}
	c.settleCalls(now)
}

// settleCalls marks operators' calls that have become too old to be sent again.
func (c *rolloutController) settleCalls(now time.Duration) {
	for service, versions := range c.versions {
		if mayBeResent := c.mayBeResent(now, service); versions.Plan != nil && versions.Plan.HasCallsToSettle(mayBeResent) {
			c.settler.settle(now, rollout.PartitionOf(service), func(have records) []replication.Record {
				return rollout.SettleCalls(have, service, mayBeResent)
			})
		}
	}
}

// mayBeResent returns a function that reports whether the operator of an executed call may still send it again.
func (c *rolloutController) mayBeResent(now time.Duration, service string) func(id uint64) bool {
	return func(id uint64) bool {
		return c.controller.Recent(now, service, id, settings.Seconds(c.settings.Bounds.AckS))
	}
}

// logWaiting logs, at most once per two heartbeat intervals, what a rollout waits for. It does so
// only once the rollout has been at full weight for longer than gateways take to report.
func (c *rolloutController) logWaiting(now time.Duration, service string) {
	minWait := 2 * c.settings.HeartbeatInterval()
	view := c.controller.View(service)
	if view.SinceRecord <= minWait || now < c.nextWaitLogAt {
		return
	}
	c.nextWaitLogAt = now + minWait
	c.log.rollout.Info("rollout waits at full weight", "service", service, "heard", view.ReportingGateways, "live", view.LiveGateways,
		"unheard", c.gatewaysNotHeard(c.controller.Gathered(service).OtherInFlightByGateway), "requestsAtOtherVersion", view.OtherInFlight)
}

// commitTransition proposes a transition of a rollout to the replica.
func (c *rolloutController) commitTransition(now time.Duration, transition rollout.Transition) {
	plan := transition.To
	change := func(have map[string]replication.Record) ([]replication.Record, error) {
		return rollout.Advance(have, transition.From.Generation, plan)
	}
	c.replica.Propose(now, rollout.PartitionOf(plan.Service), change, func(err error) {
		c.controller.TransitionEnded(transition)
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
		view.LiveGateways++
		if busy, ok := reported[n.Address]; ok {
			view.ReportingGateways++
			view.OtherInFlight += busy
		}
	}
	c.list.snapshot.Each(c.now(), func(i upstream.Instance, left time.Duration) {
		if i.Service != plan.Service || i.Draining {
			return
		}
		if i.Version != plan.Candidate {
			view.StandingSlots += float64(i.Capacity)
			return
		}
		view.Slots += float64(i.Capacity)
		if left <= 0 {
			view.WarmSlots += float64(i.Capacity)
		}
	})
	for _, services := range c.loads() {
		for name, load := range services {
			if service, _, _ := strings.Cut(name, "@"); service == plan.Service {
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
	if plan, ok := rollout.DecodePlan(last); ok {
		service.Plan = plan
	}
	if known := service.StandingVersion(); known != "" {
		return known
	}
	return c.list.serviceVersions()[o.Rollout.Service].mostFrequent
}

// call is an operator's call for a service, as the owner of the rollout's partition sees it.
func (c *rolloutController) call(service string, o order) rollout.Call {
	return rollout.Call{ID: o.ID, BaseOrder: o.Basis, MayBeResent: c.mayBeResent(c.now(), service)}
}

// adopt records, in the configuration's partition, the versions that services run without a rollout:
// the first version of a service, and another one where the platform lists no upstream of the
// recorded version any more and no rollout is in progress.
func (c *rolloutController) adopt(now time.Duration) {
	if c.adopting || !c.replica.IsVoter() {
		return
	}
	recorded := c.versions
	adoption := order{Partition: config.Partition, Adopt: map[string]rollout.Standing{}, SeenGenerations: map[string]uint64{}}
	for service, listed := range c.list.serviceVersions() {
		versions := recorded[service]
		if versions.Active() != nil || listed.counts[versions.StandingVersion()] > 0 || !c.configuration.hasService(service) {
			continue
		}
		standing := rollout.Standing{Version: listed.mostFrequent}
		if versions.Plan != nil {
			standing.Supersedes = versions.Plan.Generation
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
