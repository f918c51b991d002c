package controlplane

import (
	"reflect"
	"testing"

	"madderwing/internal/upstream"
)

// The version that a service has on the list is that of most of its upstreams.
func TestVersionsOnTheList(t *testing.T) {
	c := &listController{}
	c.stand.Update(0, 1, 1, []upstream.Instance{{ID: "1", Service: "a", Version: "v1"}, {ID: "2", Service: "a", Version: "v2"},
		{ID: "3", Service: "a", Version: "v2"}, {ID: "4", Service: "b", Version: "v1"}})
	want := map[string]listedVersions{
		"a": {"v2", map[string]int{"v1": 1, "v2": 2}},
		"b": {"v1", map[string]int{"v1": 1}},
	}
	if got := c.versions(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
}
