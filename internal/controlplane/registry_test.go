package controlplane

import (
	"reflect"
	"testing"
	"time"

	"madderwing/internal/membership"
	"madderwing/internal/registry"
	"madderwing/internal/settings"
)

// The registry lists the gateways that are not known to be dead and serve clients. Only those that
// are alive and not draining are open to new clients.
func TestListedGateways(t *testing.T) {
	set := &settings.Settings{Zones: map[string]string{"north": "home", "south": "away"}}
	node := func(address, zone string, plane membership.Plane, state membership.State, draining bool, front uint16) membership.Node {
		return membership.Node{Address: address, Zone: zone, Plane: plane, State: state, Draining: draining, ClientPort: front}
	}
	got := listedGateways(set, &membership.List{Nodes: []membership.Node{
		node("10.0.0.1:7001", "north", membership.Data, membership.Alive, false, 80),
		node("10.0.0.2:7001", "south", membership.Data, membership.Suspect, false, 80),
		node("10.0.0.3:7001", "south", membership.Data, membership.Alive, true, 80),
		node("10.0.0.4:7001", "south", membership.Data, membership.Dead, false, 80),
		node("10.0.0.5:7001", "south", membership.Data, membership.Alive, false, 0), // serves no clients
		node("10.0.0.6:7001", "south", membership.Control, membership.Alive, false, 80),
		node("nowhere", "south", membership.Data, membership.Alive, false, 80),
	}})
	want := []registry.Gateway{
		{Address: "10.0.0.1:80", Zone: "north", Region: "home", Available: true},
		{Address: "10.0.0.2:80", Zone: "south", Region: "away"},
		{Address: "10.0.0.3:80", Zone: "south", Region: "away"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
}

// The TTL of an answer is shorter than the time for which a draining gateway still serves, and no
// longer than ttl_max_s.
func TestAnswerTTLIsShorterThanTheGracePeriod(t *testing.T) {
	for _, test := range []struct {
		bounds settings.Bounds
		want   time.Duration
	}{
		{settings.Bounds{GraceS: 10}, 4 * time.Second},
		{settings.Bounds{GraceS: 10, TTLMaxS: 3}, 3 * time.Second},
		{settings.Bounds{GraceS: 10, TTLMaxS: 30}, 4 * time.Second},
	} {
		if got := answerTTL(test.bounds); got != test.want {
			t.Errorf("%+v: %v", test.bounds, got)
		}
	}
}
