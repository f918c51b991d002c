package controlplane

import (
	"fmt"
	"net/url"
	"reflect"
	"testing"

	"madderwing/internal/upstream"
)

func TestSummaryAndFiltersOfManyNodes(t *testing.T) {
	overview := &Overview{Node: "n"}
	for i := range 300 {
		m := Member{Name: fmt.Sprintf("edge-%d", i), Zone: fmt.Sprintf("z%d", i%3), Plane: "gateway", State: "alive", Draining: i == 4}
		if i == 5 {
			m.State = "suspect"
		}
		overview.Members = append(overview.Members, m)
		overview.Delivery = append(overview.Delivery, Delivery{m.Name, m.Zone, true, i >= 30})
		overview.Upstreams = append(overview.Upstreams, upstream.Instance{ID: m.Name, Service: "a", Zone: m.Zone, Draining: i == 0})
	}
	summary := overview.Summary()
	want := []Count{{"gateway", "z0", "alive", 100}, {"gateway", "z1", "alive", 99}, {"gateway", "z1", "draining", 1},
		{"gateway", "z2", "alive", 99}, {"gateway", "z2", "suspect", 1}}
	if !reflect.DeepEqual(summary.Nodes, want) || len(summary.Upstreams) != 4 || summary.Behind != 30 || len(summary.BehindNames) != maxNamedGateways {
		t.Errorf("%+v", summary)
	}
	for _, test := range []struct {
		page, query string
		n           int // -1: refused
	}{
		{"members", "", 300}, {"members", "zone=z1", 100}, {"members", "zone=z1&state=draining", 1},
		{"members", "state=draining&state=suspect", 2}, {"members", "colour=red", -1},
		{"upstreams", "state=draining&target=a", 1}, {"delivery", "current=false&zone=z0", 10}, {"nothing", "", -1},
	} {
		q, _ := url.ParseQuery(test.query)
		v, err := overview.view(test.page, q)
		if (err != nil) != (test.n < 0) || err == nil && reflect.ValueOf(v).Len() != test.n {
			t.Errorf("%s?%s: %v", test.page, test.query, err)
		}
	}
	if len(overview.Members) != 300 || overview.Members[4].Name != "edge-4" {
		t.Error("a filter changed the overview")
	}
}
