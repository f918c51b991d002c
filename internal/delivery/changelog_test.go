package delivery

import (
	"fmt"
	"testing"

	"madderwing/internal/antientropy"
)

// A watcher that lacks only the newest changes is sent these; another one gets its ranges whole.
func TestOnlyWhatHasChangedIsSent(t *testing.T) {
	const records = 400
	route := func(n int, generation uint64) antientropy.Record {
		return antientropy.Record{Name: fmt.Sprint("route/n", n), Gen: generation, Data: make([]byte, 100)}
	}
	for name, c := range map[string]struct {
		behind  int // changes of one record after the other that the watcher lacks
		spoilt  bool
		horizon uint64 // of the watcher; the sender's is 0
		sent    int    // 0: more than were changed
	}{
		"one change":                    {1, false, 0, 1},
		"ten changes":                   {10, false, 0, 10},
		"too many changes":              {2 * maxLoggedChanges * antientropy.Ranges, false, 0, 0},
		"a copy that was never the set": {1, true, 0, 0},
	} {
		set, log, copied := antientropy.NewSet(), &ChangeLog{}, NewCopy()
		for n := range records {
			log.Put(set, route(n, 1))
		}
		copied.Merge(set.Pick(antientropy.AllRanges()))
		if c.spoilt {
			copied.Put(route(0, 99))
		}
		for n := range c.behind {
			log.Put(set, route(n%records, uint64(2+n/records)))
		}
		sender := Sender{Log: log}
		var w Watch
		var out Issue
		copied.Tell(&w)
		sender.Bring(set, w, 1<<30, &out)
		if sent := len(out.Records); c.sent > 0 && sent != c.sent || c.sent == 0 && sent <= 20 {
			t.Errorf("%s: %d records are sent", name, sent)
		}
		if _, err := copied.Take(out); err != nil {
			t.Fatal(err)
		}
		if !c.spoilt && copied.Sums != set.Sums {
			t.Errorf("%s: the copy differs", name)
		}
	}
}

// What is put into a set behind the log's back ends what the log knows of that range.
func TestAChangeThatIsNotLoggedIsNotLost(t *testing.T) {
	set, log, copied := antientropy.NewSet(), &ChangeLog{}, NewCopy()
	log.Put(set, antientropy.Record{Name: "route/a", Gen: 1})
	var w Watch
	copied.Tell(&w)
	set.Remove("route/a")
	for n := range 200 {
		set.Put(antientropy.Record{Name: fmt.Sprint("route/", n), Gen: 1})
	}
	log.Put(set, antientropy.Record{Name: "route/b", Gen: 1})
	sender, out := Sender{Log: log}, Issue{}
	sender.Bring(set, w, 1<<30, &out)
	if _, err := copied.Take(out); err != nil || copied.Sums != set.Sums {
		t.Errorf("%d of %d records, %v", len(copied.Records), len(set.Records), err)
	}
}
