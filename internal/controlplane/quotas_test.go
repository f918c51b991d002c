package controlplane

import (
	"slices"
	"testing"
	"time"

	"madderwing/internal/replication"
	"madderwing/internal/settings"
)

// A former voter still counts as a holder of allocations until they have expired, after contactS:
// it may still grant requests from them.
func TestFormerVoterCountsUntilItsAllocationsExpire(t *testing.T) {
	const contactS = 3
	controller := &quotaController{lastVoterAt: map[string]time.Duration{},
		environment: &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: contactS}}, startedAt: time.Now()}}
	replica, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	controller.replica = replica
	for _, test := range []struct {
		sinceVoter time.Duration
		want       []string
	}{
		{time.Second, []string{"b"}},
		{contactS*time.Second - time.Second/2, []string{"b"}},
		{contactS*time.Second + time.Second/2, nil},
	} {
		controller.startedAt = time.Now().Add(-time.Minute)
		controller.lastVoterAt["b"] = time.Minute - test.sinceVoter
		if got := controller.allocationHolders(); !slices.Equal(got, test.want) {
			t.Errorf("%v after it was last a voter: %v, want %v", test.sinceVoter, got, test.want)
		}
	}
	if len(controller.lastVoterAt) > 0 {
		t.Errorf("not forgotten: %v", controller.lastVoterAt)
	}
}
