package delivery

import (
	"fmt"
	"testing"
	"time"

	"madderwing/internal/antientropy"
)

const (
	fixedRecords   = 400
	changedRecords = 400
	initialBytes   = 3000 // of records in an update: several updates make up a copy
)

// initialSource is a control node that keeps fixedRecords records while others keep changing.
type initialSource struct {
	sender Sender
	set    *antientropy.Set
	gen    uint64
}

func newInitialSource() *initialSource {
	s := &initialSource{set: antientropy.NewSet()}
	s.sender.Log = &ChangeLog{}
	for n := range fixedRecords {
		s.set.Put(antientropy.Record{Name: fmt.Sprintf("route/fixed-%d", n), Gen: 1, Data: make([]byte, 40)})
	}
	s.change()
	return s
}

// change changes the other records.
func (s *initialSource) change() {
	s.gen++
	for n := range changedRecords {
		s.sender.Log.Put(s.set, antientropy.Record{Name: fmt.Sprintf("route/changed-%d", n), Gen: s.gen, Data: make([]byte, 40)})
	}
}

// reply returns the update that a control node sends to a watcher without a whole copy.
func (s *initialSource) reply(watch Watch) Update {
	var update Update
	s.sender.AddMissing(s.set, watch, initialBytes, &update)
	sums := s.set.Sums
	update.Sums = &sums
	return update
}

// request returns what a gateway asks of a control node.
func request(sync *InitialSync, now time.Duration, to string) (watch Watch) {
	sync.FillWatch(now, to, &watch)
	return watch
}

// countFixed counts the records that never change.
func countFixed(c *Copy) (count int) {
	for n := range fixedRecords {
		if _, ok := c.Records[fmt.Sprintf("route/fixed-%d", n)]; ok {
			count++
		}
	}
	return count
}

// Guards against a first copy that is never whole because the records change faster than they are sent, and
// against one that is taken for whole too soon.
func TestInitialCopyIsWholeDespiteChanges(t *testing.T) {
	source, sync := newInitialSource(), NewInitialSync(time.Second)
	for round := 1; ; round++ {
		effect, err := sync.Apply(0, "a", source.reply(request(sync, 0, "a")))
		if err != nil {
			t.Fatal(err)
		}
		if whole := effect.Whole; whole != nil {
			if countFixed(whole) != fixedRecords || round == 1 {
				t.Errorf("round %d: the copy has %d of %d records", round, countFixed(whole), fixedRecords)
			}
			return
		}
		if round == antientropy.Ranges {
			t.Fatalf("no whole copy after %d updates", round)
		}
		source.change()
	}
}

// Guards against a first copy mixed from control nodes of different age, one of which has lost its records.
func TestInitialCopyComesFromOneControlNode(t *testing.T) {
	source, sync := newInitialSource(), NewInitialSync(time.Second)
	apply := func(now time.Duration, from string, s *initialSource) *Copy {
		watch := request(sync, now, from)
		if watch.Sums == nil {
			return nil
		}
		effect, err := sync.Apply(now, from, s.reply(watch))
		if err != nil {
			t.Fatal(err)
		}
		return effect.Whole
	}
	apply(0, "a", source)
	emptied := &initialSource{set: antientropy.NewSet()}
	for range 2 * antientropy.Ranges {
		if apply(0, "a", emptied) != nil || apply(2*time.Second, "empty", emptied) != nil {
			t.Fatal("a part of the records is taken for a whole copy")
		}
	}
	for other, now := newInitialSource(), 2*time.Second; ; now += time.Millisecond {
		if whole := apply(now, "b", other); whole != nil {
			if countFixed(whole) != fixedRecords {
				t.Errorf("the copy has %d of %d records", countFixed(whole), fixedRecords)
			}
			break
		}
	}
	if !sync.Supersedes("a", source.reply(Watch{Sums: &antientropy.Sums{}, Pending: 1})) {
		t.Error("a late reply to a request based on another copy is applied")
	}
	if sync.Supersedes("b", Update{}) || sync.Supersedes("a", Update{}) {
		t.Error("an update for the whole copy is dropped")
	}
}

// Guards against asking several control nodes for the same records, against waiting for one that has stalled, and
// against records of many control nodes in memory.
func TestStalledInitialCopiesAreReplaced(t *testing.T) {
	source, sync := newInitialSource(), NewInitialSync(time.Second)
	receive := func(now time.Duration, from string) (asked bool) {
		watch := request(sync, now, from)
		if watch.Sums == nil {
			return false
		}
		if _, err := sync.Apply(now, from, source.reply(watch)); err != nil {
			t.Fatal(err)
		}
		return true
	}
	if !receive(0, "a") || receive(time.Second, "b") {
		t.Error("a second control node is asked while the first one sends its records")
	}
	if late := source.reply(Watch{Sums: &antientropy.Sums{}, Pending: 1}); sync.copies["b"] != nil || late.Empty() {
		t.Fatal("the test has no late reply")
	} else if effect, err := sync.Apply(time.Second, "b", late); err != nil || effect.Changed {
		t.Errorf("a second copy is collected while the first one arrives: %v", err)
	}
	for i, from := range []string{"b", "c"} {
		if !receive(time.Duration(2*(i+1))*time.Second, from) {
			t.Errorf("%s is not asked although the others have stalled", from)
		}
	}
	if len(sync.copies) != maxInitialCopies || sync.copies["a"] != nil {
		t.Errorf("%d copies are kept", len(sync.copies))
	}
	for now := 5 * time.Second; !sync.Completed(); now += time.Millisecond {
		if !receive(now, "c") {
			t.Fatal("a control node that sends its records is not asked for the rest")
		}
	}
}

// Control nodes of earlier versions send no digests; the copy is whole when they say how fresh it is.
func TestInitialCopyFromAnEarlierVersion(t *testing.T) {
	source, sync := newInitialSource(), NewInitialSync(time.Second)
	for {
		watch := request(sync, 0, "a")
		update := source.reply(watch)
		update.Sums = nil
		if *watch.Sums == source.set.Sums {
			update.Freshness = &Freshness{}
		}
		effect, err := sync.Apply(0, "a", update)
		if err != nil {
			t.Fatal(err)
		}
		if whole := effect.Whole; whole != nil {
			if countFixed(whole) != fixedRecords {
				t.Errorf("the copy has %d of %d records", countFixed(whole), fixedRecords)
			}
			return
		}
	}
}
