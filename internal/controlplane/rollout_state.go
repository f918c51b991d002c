package controlplane

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/rollout"
)

// ArmState is one arm of a rollout as the administration API shows it.
type ArmState struct {
	Version  string  `json:"version"`
	Answers  uint64  `json:"answers"` // counted at the current weight
	Failed   uint64  `json:"failed"`
	P99AtMs  float64 `json:"p99AtMostMs"` // 0: too few answers
	MeanTime float64 `json:"meanTimeScore"`
}

// RolloutState is a rollout as the administration API shows it.
type RolloutState struct {
	Service           string     `json:"service"`
	State             string     `json:"state"`
	Stage             string     `json:"stage"`
	Weight            float64    `json:"weight"`
	Controller        string     `json:"controller"`
	AgeS              float64    `json:"ageS"`
	WithinS           float64    `json:"withinS"`
	Reason            string     `json:"reason,omitempty"`
	ReportingGateways int        `json:"heard"`  // gateways that have reported that this weight is in effect
	StoppedGateways   int        `json:"braked"` // gateways that have stopped the candidate by themselves
	Arms              []ArmState `json:"arms"`
}

// states describes all rollouts. Only the controller of a rollout knows the figures of its arms.
func (c *rolloutController) states(now time.Duration) (out []RolloutState) {
	out = []RolloutState{}
	for service, versions := range c.versions {
		plan := versions.Plan
		if plan == nil {
			continue
		}
		gathered := c.controller.Gathered(service)
		state := RolloutState{Service: service, State: plan.State(), Stage: plan.Stage.String(), Weight: plan.Weight, AgeS: plan.Age.Seconds(),
			Controller: c.replica.Owner(now, rollout.PartitionOf(service)), WithinS: plan.Within.Seconds(), Reason: plan.Reason,
			ReportingGateways: len(gathered.OtherInFlightByGateway), StoppedGateways: gathered.StoppedGateways}
		if !plan.Final() {
			state.AgeS = c.controller.Age(now, service).Seconds()
		}
		cells := gathered.Sums.All()
		for arm, version := range []string{plan.Prior, plan.Candidate} {
			state.Arms = append(state.Arms, armState(version, cells[arm]))
		}
		out = append(out, state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// stateJSON returns the state of a service's rollout as JSON; nil if there is none.
func (c *rolloutController) stateJSON(now time.Duration, service string) []byte {
	for _, s := range c.states(now) {
		if s.Service == service {
			b, _ := json.MarshalIndent(s, "", "  ")
			return append(b, '\n')
		}
	}
	return nil
}

// stateAtController returns the state of a rollout as its controller knows it.
func (c *rolloutController) stateAtController(caller context.Context, service string) ([]byte, error) {
	if err := c.hasService(caller, service); err != nil {
		return nil, err
	}
	body, err := c.submit(caller, order{Partition: rollout.PartitionOf(service), ShowState: true})
	if err == nil && body == nil {
		err = apierror.New(apierror.NoRollout, "%s", service)
	}
	return body, err
}

func armState(version string, cell rollout.Cell) ArmState {
	state := ArmState{Version: version, Answers: cell.Ended, Failed: cell.Failed()}
	if cell.LatencyCount > 0 {
		state.MeanTime = cell.ScoreSum / float64(cell.LatencyCount)
		state.P99AtMs = float64(cell.LatencyP99()) / float64(time.Millisecond)
	}
	return state
}
