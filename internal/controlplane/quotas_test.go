package controlplane

import (
	"slices"
	"testing"
	"time"

	"madderwing/internal/replication"
	"madderwing/internal/settings"
)

// A control node whose seat has gone may still have lent shares to gateways.
func TestFormerVoterCountsUntilItsAllocationsExpire(t *testing.T) {
	const contactS = 3
	controller := &quotaController{lastSeated: map[string]time.Duration{},
		environment: &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: contactS}}, startedAt: time.Now()}}
	replica, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	controller.replica = replica
	for _, test := range []struct {
		ago  time.Duration
		want []string
	}{
		{time.Second, []string{"b"}},
		{contactS*time.Second - time.Second/2, []string{"b"}},
		{contactS*time.Second + time.Second/2, nil},
	} {
		controller.startedAt = time.Now().Add(-time.Minute)
		controller.lastSeated["b"] = time.Minute - test.ago
		if got := controller.branches(); !slices.Equal(got, test.want) {
			t.Errorf("%v after its seat went: %v, want %v", test.ago, got, test.want)
		}
	}
	if len(controller.lastSeated) > 0 {
		t.Errorf("remembered for ever: %v", controller.lastSeated)
	}
}
