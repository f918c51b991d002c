package controlplane

import (
	"reflect"
	"testing"
	"time"

	"madderwing/internal/delivery"
	"madderwing/internal/election"
	"madderwing/internal/rendezvous"
	"madderwing/internal/settings"
	"madderwing/internal/upstream"
)

// The listed version of a service is the most frequent one among its upstreams.
func TestVersionsOnTheList(t *testing.T) {
	controller := &listController{}
	controller.snapshot.Update(0, 1, 1, []upstream.Instance{{ID: "1", Service: "a", Version: "v1"}, {ID: "2", Service: "a", Version: "v2"},
		{ID: "3", Service: "a", Version: "v2"}, {ID: "4", Service: "b", Version: "v1"}})
	want := map[string]listedVersions{
		"a": {"v2", map[string]int{"v1": 1, "v2": 2}},
		"b": {"v1", map[string]int{"v1": 1}},
	}
	if got := controller.serviceVersions(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
}

// newTestListController creates the list controller of the control node self among the given
// members, where holder holds the list role. The test records the contact with a majority itself.
func newTestListController(self, holder string, members ...string) (*listController, *election.Elector) {
	elector := election.New(election.Config{Self: self, Roles: []string{roleList}, Lease: time.Hour,
		Voters: func() []string { return members }, Alive: func(string) bool { return true }})
	elector.Handle(0, holder, election.Message{Role: roleList, Term: 1})
	env := &environment{settings: &settings.Settings{CloudAPI: settings.CloudAPI{RatePerS: 44}, Bounds: settings.Bounds{DrainS: 2.5, ContactS: 3}, FaultBudget: settings.FaultBudget{Machines: 1}},
		election: elector, log: newLoggers(), contact: newContact(time.Hour, nil)}
	list := newListController(env)
	list.onChange, list.onRead = func(time.Duration) {}, func(time.Duration) {}
	return list, elector
}

// A standby reads the list itself once the holder's list is older than half of drainS: the first
// standby at once, each further one a quarter of drainS later. A standby that is out of contact
// does not. Where the list is so long that its pauses take long, or the standby's own last reading
// took long, it waits for the time of three readings.
func TestStandbysReadTheListInPlaceOfItsHolder(t *testing.T) {
	const ms = time.Millisecond
	members := []string{"a", "b", "c", "d"}
	var order []string // the standbys, first to last
	for _, id := range rendezvous.Order(roleList, members) {
		if id != "a" {
			order = append(order, id)
		}
	}
	for name, test := range map[string]struct {
		self                   string
		age                    time.Duration
		ownTook                time.Duration
		calls                  int
		holderTook             time.Duration // of the holder's reading
		outOfContact, wantRead bool
	}{
		"recent enough":         {order[0], 1250 * ms, 0, 1, 2 * ms, false, false},
		"too old":               {order[0], 1300 * ms, 0, 1, 2 * ms, false, true},
		"the second":            {order[1], 1850 * ms, 0, 1, 2 * ms, false, false},
		"the second, later":     {order[1], 1900 * ms, 0, 1, 2 * ms, false, true},
		"the third":             {order[2], 2450 * ms, 0, 1, 2 * ms, false, false},
		"the third, later":      {order[2], 2550 * ms, 0, 1, 2 * ms, false, true},
		"out of contact":        {order[0], 9000 * ms, 0, 1, 2 * ms, true, false},
		"own reading was slow":  {order[0], 1850 * ms, 500 * ms, 1, 2 * ms, false, false},
		"slow, but older":       {order[0], 1950 * ms, 500 * ms, 1, 2 * ms, false, true},
		"a long list":           {order[0], 2350 * ms, 0, 20, 650 * ms, false, false}, // 14 pauses of 45 ms
		"a long list, older":    {order[0], 2400 * ms, 0, 20, 650 * ms, false, true},
		"60 pages, distant API": {order[0], 9350 * ms, 0, 60, 3000 * ms, false, false}, // 54 pauses of 45 ms, 9 ms a call
		"60 pages, older":       {order[0], 9450 * ms, 0, 60, 3000 * ms, false, true},
		"8 pages, slow by call": {order[0], 1850 * ms, 0, 8, 5600 * ms, false, false}, // 2 pauses, no more than 50 ms a call
		"8 pages, older":        {order[0], 1950 * ms, 0, 8, 5600 * ms, false, true},
		"took an hour":          {order[0], 20400 * ms, time.Hour, 1, 2 * ms, false, false},
		"took an hour, later":   {order[0], 20500 * ms, time.Hour, 1, 2 * ms, false, true},
	} {
		list, _ := newTestListController(test.self, "a", members...)
		now := 20 * time.Second
		if !test.outOfContact {
			list.contact.oldest.Store(int64(now))
		}
		list.snapshot.Update(0, 1, 1, nil)
		list.validAt, list.readingCalls, list.readingTime = now-test.age, test.calls, test.holderTook
		if test.ownTook > 0 {
			list.standby.lastReading = listReading{began: now - time.Second - test.ownTook, end: now - time.Second}
		}
		list.readAsStandby(now - ms)
		if list.nextReadAt != 0 {
			t.Errorf("%s: reads right after a freeze, before queued messages are handled", name)
		}
		list.readAsStandby(now)
		if reads := list.nextReadAt != 0; reads != test.wantRead {
			t.Errorf("%s: reads is %v", name, reads)
		}
	}
}

// The holder says as of when its list is valid relative to the watcher's question, so that a
// delayed message never makes a list look newer than it is.
func TestTimeAsOfWhichTheListIsValid(t *testing.T) {
	holder, _ := newTestListController("a", "a", "a", "b")
	other, _ := newTestListController("b", "a", "a", "b")
	holder.snapshot.Update(0, 1, 1, []upstream.Instance{{ID: "1"}})
	holder.validAt = 100 * time.Second // by its clock
	// The other node's clock shows 5 s when it asks, the holder's 101 s when the question arrives.
	holder.noteWatcherClock(101*time.Second, "b", delivery.Watch{AskedAt: 5 * time.Second})
	listed := func() *delivery.ListFreshness { return holder.freshnessFor("b") }
	other.handleUpdate(9*time.Second, delivery.Update{List: holder.snapshot.UpdateFor(0, upstream.ListVersion{}), ListFreshness: listed()})
	if other.validAt != 4*time.Second {
		t.Errorf("the list is valid as of %v, want 4s", other.validAt)
	}
	holder.validAt = 103 * time.Second
	other.handleUpdate(9*time.Second, delivery.Update{ListFreshness: listed()})
	if other.validAt != 7*time.Second {
		t.Errorf("after another reading the list is valid as of %v, want 7s", other.validAt)
	}
	holder.snapshot.Update(0, 1, 1, nil)
	holder.validAt = 104 * time.Second
	other.handleUpdate(9*time.Second, delivery.Update{ListFreshness: listed()})
	if other.validAt != 7*time.Second {
		t.Errorf("a list that did not arrive changes validAt to %v", other.validAt)
	}
}

// A control node publishes its own reading of the list only if it holds the role, and then as of
// the start of the reading.
func TestOnlyTheHoldersReadingCounts(t *testing.T) {
	list, elector := newTestListController("b", "a", "a", "b", "c")
	list.snapshot.Update(0, 1, 1, []upstream.Instance{{ID: "1"}})
	list.validAt = time.Second
	reading := listReading{instances: []upstream.Instance{{ID: "2"}}, began: 4 * time.Second, end: 5 * time.Second}
	list.accept(5*time.Second, reading)
	if all := list.snapshot.All(0); len(all) != 1 || all[0].ID != "1" {
		t.Errorf("a standby publishes its own reading: %v", all)
	}
	if p := list.progress(); p.Known != time.Second || p.Own != 4*time.Second || p.Limit != 1250*time.Millisecond {
		t.Errorf("progress %+v", p)
	}
	elector.Handle(5*time.Second, "a", election.Message{Role: roleList, Resign: true})
	for now := 5 * time.Second; now < 6*time.Hour; now += time.Minute {
		elector.Tick(now)
		elector.Take()
		elector.Handle(now, "c", election.Message{Role: roleList, Term: 2, Reply: true, Granted: true, PreVote: true})
		elector.Handle(now, "c", election.Message{Role: roleList, Term: 2, Reply: true, Granted: true})
		if _, holds := elector.Holds(now, roleList); holds {
			list.roleAcquired(now)
			break
		}
	}
	if all := list.snapshot.All(0); len(all) != 1 || all[0].ID != "2" || list.snapshot.Version.Term != 2 || list.validAt != 4*time.Second {
		t.Errorf("the new holder publishes %v as of %v with version %+v", all, list.validAt, list.snapshot.Version)
	}
}
