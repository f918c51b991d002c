package controlplane

import (
	"reflect"
	"testing"

	"madderwing/internal/membership"
)

// The state of a shard names the gateways that may carry its traffic: all that are not dead.
func TestShardStatesNameTheirGateways(t *testing.T) {
	controller := &placementController{environment: &environment{options: Options{Shards: 2}}, configuration: newConfiguration()}
	list := &membership.List{Nodes: []membership.Node{
		{Address: "1", Name: "g1", Zone: "north", Plane: membership.Data},
		{Address: "2", Name: "g2", Zone: "south", Plane: membership.Data, State: membership.Suspect},
		{Address: "3", Name: "g3", Zone: "south", Plane: membership.Data, State: membership.Dead},
		{Address: "4", Name: "g4", Zone: "north", Plane: membership.Data},
		{Address: "5", Name: "c1", Zone: "north", Plane: membership.Control},
	}}
	routes, shards := controller.states(list, map[string]int{"1": 0, "2": 0, "3": 1, "4": 1})
	want := []ShardState{{0, []string{"g1", "g2"}, 2, 0}, {1, []string{"g4"}, 1, 0}}
	if len(routes) != 0 || !reflect.DeepEqual(shards, want) {
		t.Errorf("%+v, %+v", routes, shards)
	}
}
