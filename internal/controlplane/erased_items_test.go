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

// What the owner has forgotten is no longer shown to gateways, whether a control node hears of
// each change, or only of where it all led; what is not the configuration's stays.
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
		replica, err := replication.NewReplica(replication.Config{Self: id, Life: 1, Seeds: []string{id}, Bootstrap: true, Empty: true,
			Keys: []string{config.Key}, Beat: 1, Vacant: 10, Patience: 100, Alive: func(string) bool { return true }}, nil)
		if err != nil {
			t.Fatal(err)
		}
		node := &Node{environment: &environment{replica: replica}, configuration: newConfiguration(), evacuations: newEvacuations(settings.Bounds{AckS: 1})}
		node.rollouts = newRolloutController(node.environment, node.configuration, nil, nil)
		node.log.replication = slog.New(slog.NewTextHandler(t.Output(), nil))
		published := node.configuration.published
		published.Put(kept)
		applyEffects := func(show bool) {
			for fx := replica.Take(); len(fx.Writes)+len(fx.Committed) > 0; fx = replica.Take() {
				for _, w := range fx.Writes {
					replica.Durable(5, w.ID)
				}
				for _, key := range fx.Committed {
					switch {
					case everyChange:
						node.publish(key, fx.Changed[key])
					case show:
						node.publish(key, nil)
					}
				}
			}
		}
		replica.Tick(1)
		applyEffects(true)
		for i, change := range changes {
			done := false
			for !done { // the first asking makes the owner
				replica.Propose(5, config.Key, func(map[string]replication.Record) ([]replication.Record, error) { return change, nil },
					func(err error) { done = err == nil })
				applyEffects(everyChange || i == len(changes)-1)
			}
			if everyChange || i == len(changes)-1 {
				want, _, _ := replica.Committed(config.Key)
				want = maps.Clone(want)
				want[kept.Name] = kept
				if published.Sums != antientropy.Digest(want) || len(published.Records) != len(want) {
					t.Errorf("every change %v, after %d: shown are %v, not %v", everyChange, i, published.Records, want)
				}
			}
		}
	}
}
