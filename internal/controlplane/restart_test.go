package controlplane

import (
	"log/slog"
	"madderwing/internal/settings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/config"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// A control node that starts with a disk publishes the rollouts on it at once, although their
// partitions are created on demand and are not in the settings.
func TestRestartedControlNodePublishesRollouts(t *testing.T) {
	const id = "10.0.0.1:1"
	replicaConfig := replication.Config{Self: id, RunID: 1, Seeds: []string{id}, Bootstrap: true, Empty: true, Partitions: []string{config.Partition},
		HeartbeatInterval: 1, ElectionTimeout: 10, ProposalTimeout: 100, Alive: func(string) bool { return true }}
	original, err := replication.NewReplica(replicaConfig, nil)
	if err != nil {
		t.Fatal(err)
	}
	disk := map[string][]byte{}
	applyEffects := func(replica *replication.Replica) {
		for effects := replica.Take(); len(effects.Writes) > 0; effects = replica.Take() {
			for _, w := range effects.Writes {
				for _, e := range w.Entries {
					disk[e.Key] = e.Value
				}
				replica.Durable(5, w.ID)
			}
		}
	}
	original.Tick(1)
	applyEffects(original)
	order := func(have map[string]replication.Record) ([]replication.Record, error) {
		return rollout.Begin(have, rollout.OrderRequest{Service: "s", Version: "v2", WithinS: 9}, "v1", rollout.Call{})
	}
	for done := false; !done; applyEffects(original) { // the first proposal creates the partition
		original.Propose(5, rollout.PartitionOf("s"), order, func(err error) { done = done || err == nil })
		applyEffects(original)
	}

	replicaConfig.Bootstrap, replicaConfig.Empty, replicaConfig.RunID = false, false, 2
	restarted, err := replication.NewReplica(replicaConfig, disk)
	if err != nil {
		t.Fatal(err)
	}
	node := &Node{environment: &environment{replica: restarted}, configuration: newConfiguration(), evacuations: newEvacuations(settings.Bounds{AckS: 1})}
	node.rollouts = newRolloutController(node.environment, node.configuration, nil, nil, nil)
	node.log.replication = slog.New(slog.NewTextHandler(t.Output(), nil))
	node.publishAll()
	if p := node.rollouts.versions["s"].Active(); p == nil || p.Candidate != "v2" {
		t.Errorf("published after a restart: %+v", node.rollouts.versions)
	}
}

// The prior version of a new order comes from the committed record and the configuration's owner,
// not from what this control node has published.
func TestPriorVersionOfANewOrder(t *testing.T) {
	controller := &rolloutController{list: &listController{}, versions: map[string]rollout.Service{"s": {Standing: rollout.Standing{Version: "shown"}}}}
	controller.list.snapshot.Update(0, 1, 1, []upstream.Instance{{ID: "i", Service: "s", Version: "listed"}})
	plan := func(stage rollout.Stage) replication.Record {
		data, err := cbor.Marshal(rollout.Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Stage: stage})
		if err != nil {
			t.Fatal(err)
		}
		return replication.Record{Name: rollout.PartitionOf("s"), Gen: 7, Data: data}
	}
	for name, test := range map[string]struct {
		last replication.Record
		kept rollout.Standing
		want string
	}{
		"the last order is complete":          {plan(rollout.Complete), rollout.Standing{Version: "v0"}, "v2"},
		"the last order was reverted":         {plan(rollout.Reverted), rollout.Standing{Version: "v0"}, "v1"},
		"a later version is recorded":         {plan(rollout.Complete), rollout.Standing{Version: "v3", Supersedes: 7}, "v3"},
		"no order yet":                        {replication.Record{}, rollout.Standing{Version: "v0"}, "v0"},
		"no recorded version: the listed one": {replication.Record{}, rollout.Standing{}, "listed"},
	} {
		if got := controller.currentVersion(test.last, order{Rollout: &rollout.OrderRequest{Service: "s"}, Current: test.kept}); got != test.want {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}
