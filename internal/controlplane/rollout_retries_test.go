package controlplane

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
)

// An owner may receive a rollout order again after the service's next rollout has begun: with the
// same ID if a control node forwards it again, with another ID if the operator sends it again.
func TestRepeatedRolloutOrders(t *testing.T) {
	replica, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	env := &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: 3, AckS: 5}}, replica: replica, startedAt: time.Now()}
	partition := rollout.PartitionOf("s")
	begin := func(id uint64, version string) order {
		return order{Partition: partition, ID: id, Rollout: &rollout.OrderRequest{Service: "s", Version: version, WithinS: 9}, Current: rollout.Standing{Version: "v1"}}
	}
	abort := func(id uint64, r rollout.Reversal) order {
		return order{Partition: partition, ID: id, Abort: true, Reversal: r}
	}
	const noError apierror.Kind = -1
	for name, test := range map[string]struct {
		repeated order
		want     apierror.Kind
	}{
		"the order, forwarded again":                      {begin(1, "v2"), noError},
		"the order, sent again":                           {begin(9, "v2"), noError},
		"the reversal, forwarded again":                   {abort(2, rollout.Reversal{Version: "v2"}), noError},
		"the reversal of an earlier release":              {abort(2, rollout.Reversal{}), noError},
		"the reversal, sent again with its version named": {abort(9, rollout.Reversal{Version: "v2", Named: true}), noError},
		"the reversal, sent again without a version":      {abort(9, rollout.Reversal{Version: "v3"}), apierror.PossibleDuplicate},
	} {
		orders := &orderController{environment: env, rollouts: &rolloutController{environment: env, controller: rollout.NewController()}}
		have := records{}
		execute := func(o order) error {
			sent, err := cbor.Marshal(o)
			if err != nil {
				t.Fatal(err)
			}
			var received order
			if err := cbor.Unmarshal(sent, &received); err != nil {
				t.Fatal(err)
			}
			task, err := orders.task("n", received)
			if err != nil {
				t.Fatal(err)
			}
			changes, err := task.change(0, have)
			for _, r := range changes {
				have[r.Name] = r
			}
			return err
		}
		for _, o := range []order{begin(1, "v2"), abort(2, rollout.Reversal{Version: "v2"}), begin(3, "v3")} {
			if err := execute(o); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		generation := have[partition].Gen
		got := noError
		if err := execute(test.repeated); err != nil {
			got = apierror.KindOf(err)
		}
		if got != test.want || have[partition].Gen != generation {
			t.Errorf("%s: %v, want %v; generation of the record %d before, %d after", name, got, test.want, generation, have[partition].Gen)
		}
	}
}
