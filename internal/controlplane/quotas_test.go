package controlplane

import (
	"slices"
	"testing"
	"time"

	"madderwing/internal/replication"
	"madderwing/internal/settings"
)

// A control node whose seat has gone may still have lent shares to gateways.
func TestABranchWithoutASeatCountsUntilItsSharesLapse(t *testing.T) {
	const contactS = 3
	a := &quotaController{lastSeated: map[string]time.Duration{},
		environment: &environment{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: contactS}}, startedAt: time.Now()}}
	member, err := replication.NewReplica(replication.Config{Self: "a", Identity: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	a.replica = member
	for _, c := range []struct {
		ago  time.Duration
		want []string
	}{
		{time.Second, []string{"b"}},
		{contactS*time.Second - time.Second/2, []string{"b"}},
		{contactS*time.Second + time.Second/2, nil},
	} {
		a.startedAt = time.Now().Add(-time.Minute)
		a.lastSeated["b"] = time.Minute - c.ago
		if got := a.branches(); !slices.Equal(got, c.want) {
			t.Errorf("%v after its seat went: %v, want %v", c.ago, got, c.want)
		}
	}
	if len(a.lastSeated) > 0 {
		t.Errorf("remembered for ever: %v", a.lastSeated)
	}
}
