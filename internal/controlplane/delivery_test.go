package controlplane

import (
	"reflect"
	"testing"

	"madderwing/internal/config"
	"madderwing/internal/delivery"
	"madderwing/internal/membership"
	"madderwing/internal/upstream"
)

// A gateway reports to several control nodes. One report that it has the newest items is enough,
// whether it is processed before or after a report of another digest.
func TestGatewayIsCurrentIfAnyReportSaysSo(t *testing.T) {
	published := newConfiguration()
	published.merge([]config.Record{{Name: "route/r", Gen: 1}})
	newest := published.published.Sums.Fold()
	for _, digests := range [][2]uint64{{newest, newest + 1}, {newest + 1, newest}} {
		controller := &deliveryController{configuration: published, loads: upstream.Loads{}, itemDigests: map[string]uint64{}}
		for _, digest := range digests {
			controller.addReport(delivery.WatcherSummary{Digests: map[string]uint64{"10.0.0.1:1": digest}})
		}
		list := &membership.List{Nodes: []membership.Node{
			{Address: "10.0.0.1:1", Name: "g1", Zone: "north", Plane: membership.Data},
			{Address: "10.0.0.2:1", Name: "g2", Zone: "south", Plane: membership.Data},
			{Address: "10.0.0.3:1", Name: "g3", Zone: "south", Plane: membership.Data, State: membership.Left},
			{Address: "10.0.0.4:1", Name: "c1", Zone: "south", Plane: membership.Control},
		}}
		want := []Delivery{{"g1", "north", true, true}, {"g2", "south", false, false}}
		if got := controller.states(list); !reflect.DeepEqual(got, want) {
			t.Errorf("%v: %+v, want %+v", digests, got, want)
		}
	}
}
