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

// Orders for rollouts come to an owner as control nodes pass them on, and perhaps come again
// after the service's next rollout has begun: with the number of the first time if a node
// passes them on, with another one if their operator sends them again.
func TestRepeatedRolloutOrders(t *testing.T) {
	replica, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	env := &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: 3, AckS: 5}}, replica: replica, startedAt: time.Now()}
	key := rollout.Key("s")
	begin := func(id uint64, version string) order {
		return order{Key: key, ID: id, Rollout: &rollout.Ask{Service: "s", Version: version, WithinS: 9}, Current: rollout.Standing{Version: "v1"}}
	}
	abort := func(id uint64, r rollout.Reversal) order { return order{Key: key, ID: id, Abort: true, Reversal: r} }
	const noError apierror.Kind = -1
	for name, test := range map[string]struct {
		again order
		want  apierror.Kind
	}{
		"the order, passed on":                   {begin(1, "v2"), noError},
		"the order, sent again":                  {begin(9, "v2"), noError},
		"the reversal, passed on":                {abort(2, rollout.Reversal{Version: "v2"}), noError},
		"of an earlier release":                  {abort(2, rollout.Reversal{}), noError},
		"the reversal, sent again with its name": {abort(9, rollout.Reversal{Version: "v2", Named: true}), noError},
		"the reversal, sent again without one":   {abort(9, rollout.Reversal{Version: "v3"}), apierror.MaybeRepeated},
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
		generation := have[key].Gen
		got := noError
		if err := execute(test.again); err != nil {
			got = apierror.KindOf(err)
		}
		if got != test.want || have[key].Gen != generation {
			t.Errorf("%s: %v, want %v; the record goes from generation %d to %d", name, got, test.want, generation, have[key].Gen)
		}
	}
}
