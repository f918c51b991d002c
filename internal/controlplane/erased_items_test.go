package controlplane

import (
	"log/slog"
	"madderwing/internal/settings"
	"maps"
	"testing"

	"madderwing/internal/antientropy"
	"madderwing/internal/config"
	"madderwing/internal/replication"
)

// Records that the owner has erased are no longer published to gateways, whether a control node
// learns of every change or only of the final state. Records of other partitions stay.
func TestErasedItemsAreNotPublished(t *testing.T) {
	const id = "10.0.0.1:1"
	kept := replication.Record{Name: config.EvacuationPrefix + "z", Gen: 3}
	changes := [][]replication.Record{
		{{Name: "route/a", Gen: 1}, {Name: "route/b", Gen: 1}, {Name: "binding/a", Gen: 4}},
		{{Name: "route/a", Gen: 2, Rev: 1, Dropped: true}, {Name: "binding/a", Gen: 5, Rev: 2, Dropped: true}},
		{{Name: "route/a", Dropped: true, Erased: true}, {Name: "binding/a", Dropped: true, Erased: true}, {Name: "horizon", Gen: 1}, {Name: "route/c", Gen: 3}},
		{{Name: "route/a", Gen: 4}, {Name: "binding/a", Gen: 1}},
	}
	for _, everyChange := range []bool{true, false} {
		replica, err := replication.NewReplica(replication.Config{Self: id, RunID: 1, Seeds: []string{id}, Bootstrap: true, Empty: true,
			Partitions: []string{config.Partition}, HeartbeatInterval: 1, ElectionTimeout: 10, ProposalTimeout: 100, Alive: func(string) bool { return true }}, nil)
		if err != nil {
			t.Fatal(err)
		}
		node := &Node{environment: &environment{replica: replica}, configuration: newConfiguration(), evacuations: newEvacuations(settings.Bounds{AckS: 1})}
		node.rollouts = newRolloutController(node.environment, node.configuration, nil, nil, nil)
		node.log.replication = slog.New(slog.NewTextHandler(t.Output(), nil))
		published := node.configuration.published
		published.Put(kept)
		applyEffects := func(publishNow bool) {
			for effects := replica.Take(); len(effects.Writes)+len(effects.Committed) > 0; effects = replica.Take() {
				for _, w := range effects.Writes {
					replica.Durable(5, w.ID)
				}
				for _, partition := range effects.Committed {
					switch {
					case everyChange:
						node.publish(partition, effects.Changed[partition])
					case publishNow:
						node.publish(partition, nil)
					}
				}
			}
		}
		replica.Tick(1)
		applyEffects(true)
		for i, change := range changes {
			done := false
			for !done { // the first proposal makes the replica the owner
				replica.Propose(5, config.Partition, func(map[string]replication.Record) ([]replication.Record, error) { return change, nil },
					func(err error) { done = err == nil })
				applyEffects(everyChange || i == len(changes)-1)
			}
			if everyChange || i == len(changes)-1 {
				want, _, _ := replica.Committed(config.Partition)
				want = maps.Clone(want)
				want[kept.Name] = kept
				if published.Sums != antientropy.Digest(want) || len(published.Records) != len(want) {
					t.Errorf("every change %v, after change %d: published %v, want %v", everyChange, i, published.Records, want)
				}
			}
		}
	}
}
