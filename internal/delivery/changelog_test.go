package delivery

import (
	"fmt"
	"testing"

	"madderwing/internal/antientropy"
)

// A watcher that lacks only logged changes is sent just these; any other gets whole ranges.
func TestOnlyChangedRecordsAreSent(t *testing.T) {
	const records = 400
	route := func(n int, generation uint64) antientropy.Record {
		return antientropy.Record{Name: fmt.Sprint("route/n", n), Gen: generation, Data: make([]byte, 100)}
	}
	for name, c := range map[string]struct {
		lag      int    // number of changes that the watcher lacks, each of another record
		diverged bool   // the watcher's copy never was equal to the set
		horizon  uint64 // of the watcher; the sender's is 0
		sent     int    // expected number of records; 0: many more than were changed
	}{
		"one change":       {1, false, 0, 1},
		"ten changes":      {10, false, 0, 10},
		"too many changes": {2 * maxLoggedChanges * antientropy.Ranges, false, 0, 0},
		"diverged copy":    {1, true, 0, 0},
	} {
		set, log, copied := antientropy.NewSet(), &ChangeLog{}, NewCopy()
		for n := range records {
			log.Put(set, route(n, 1))
		}
		copied.Merge(set.Pick(antientropy.AllRanges()))
		if c.diverged {
			copied.Put(route(0, 99))
		}
		for n := range c.lag {
			log.Put(set, route(n%records, uint64(2+n/records)))
		}
		sender := Sender{Log: log}
		var watch Watch
		var update Update
		copied.FillWatch(&watch)
		sender.AddMissing(set, watch, 1<<30, &update)
		if sent := len(update.Records); c.sent > 0 && sent != c.sent || c.sent == 0 && sent <= 20 {
			t.Errorf("%s: %d records were sent", name, sent)
		}
		if _, err := copied.Apply(update); err != nil {
			t.Fatal(err)
		}
		if !c.diverged && copied.Sums != set.Sums {
			t.Errorf("%s: copy differs from the set", name)
		}
	}
}

// A change that bypasses the log invalidates what the log holds for its range.
func TestUnloggedChangesAreSent(t *testing.T) {
	set, log, copied := antientropy.NewSet(), &ChangeLog{}, NewCopy()
	log.Put(set, antientropy.Record{Name: "route/a", Gen: 1})
	var watch Watch
	copied.FillWatch(&watch)
	set.Remove("route/a")
	for n := range 200 {
		set.Put(antientropy.Record{Name: fmt.Sprint("route/", n), Gen: 1})
	}
	log.Put(set, antientropy.Record{Name: "route/b", Gen: 1})
	sender, update := Sender{Log: log}, Update{}
	sender.AddMissing(set, watch, 1<<30, &update)
	if _, err := copied.Apply(update); err != nil || copied.Sums != set.Sums {
		t.Errorf("copy holds %d of %d records, error %v", len(copied.Records), len(set.Records), err)
	}
}
