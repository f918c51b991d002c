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
func TestOrdersForRolloutsThatComeAgain(t *testing.T) {
	member, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	env := &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: 3, AckS: 5}}, replica: member, startedAt: time.Now()}
	key := rollout.Key("s")
	begin := func(id uint64, version string) order {
		return order{Key: key, ID: id, Rollout: &rollout.Ask{Service: "s", Version: version, WithinS: 9}, Current: rollout.Standing{Version: "v1"}}
	}
	abort := func(id uint64, r rollout.Reversal) order { return order{Key: key, ID: id, Abort: true, Reversal: r} }
	const fine apierror.Kind = -1
	for name, c := range map[string]struct {
		again order
		want  apierror.Kind
	}{
		"the order, passed on":                   {begin(1, "v2"), fine},
		"the order, sent again":                  {begin(9, "v2"), fine},
		"the reversal, passed on":                {abort(2, rollout.Reversal{Version: "v2"}), fine},
		"of an earlier release":                  {abort(2, rollout.Reversal{}), fine},
		"the reversal, sent again with its name": {abort(9, rollout.Reversal{Version: "v2", Named: true}), fine},
		"the reversal, sent again without one":   {abort(9, rollout.Reversal{Version: "v3"}), apierror.MaybeRepeated},
	} {
		orders := &orderController{environment: env, rollouts: &rolloutController{environment: env, controller: rollout.NewController()}}
		have := records{}
		take := func(o order) error {
			sent, err := cbor.Marshal(o)
			if err != nil {
				t.Fatal(err)
			}
			var came order
			if err := cbor.Unmarshal(sent, &came); err != nil {
				t.Fatal(err)
			}
			work, err := orders.task("n", came)
			if err != nil {
				t.Fatal(err)
			}
			changes, err := work.change(0, have)
			for _, r := range changes {
				have[r.Name] = r
			}
			return err
		}
		for _, o := range []order{begin(1, "v2"), abort(2, rollout.Reversal{Version: "v2"}), begin(3, "v3")} {
			if err := take(o); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		stood := have[key].Gen
		got := fine
		if err := take(c.again); err != nil {
			got = apierror.KindOf(err)
		}
		if got != c.want || have[key].Gen != stood {
			t.Errorf("%s: %v, want %v; the record goes from generation %d to %d", name, got, c.want, stood, have[key].Gen)
		}
	}
}
