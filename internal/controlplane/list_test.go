package controlplane

import (
	"reflect"
	"testing"
	"time"

	"madderwing/internal/election"
	"madderwing/internal/settings"
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

// The holder of the duty hands it on once it has failed to read the list for half of drainS, unless the platform
// throttles it; a reading begins the time anew.
func TestTheReaderOfTheListHandsItsDutyOn(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		lastRead, failedAt time.Duration
		throttled, keeps   bool
	}{
		"a first failure":            {10000 * ms, 10600 * ms, false, true},
		"for half of drainS":         {10000 * ms, 11250 * ms, false, false},
		"throttled":                  {10000 * ms, 12000 * ms, true, true},
		"read again in the meantime": {11000 * ms, 12000 * ms, false, true},
	} {
		elector := election.New(election.Config{Self: "a", Duties: []string{dutyList}, Lease: 20 * time.Second,
			Roster: func() []string { return []string{"a"} }, Alive: func(string) bool { return true }})
		elector.Tick(9 * time.Second)
		env := &environment{set: &settings.Settings{Bounds: settings.Bounds{DrainS: 2.5}}, election: elector, log: newLoggers()}
		list := &listController{environment: env, changed: func(time.Duration) {}, polled: func(time.Duration) {}}
		list.take(c.lastRead, nil)
		list.failed(c.failedAt, c.throttled)
		if _, holds := elector.Holds(c.failedAt, dutyList); holds != c.keeps {
			t.Errorf("%s: it has the duty: %v", name, holds)
		}
	}
}
