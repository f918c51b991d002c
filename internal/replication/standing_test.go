package replication

import (
	"slices"
	"testing"
	"time"
)

// A machine that is back without its disk is no seat's: until its new disk has one, the
// others, and it itself, may lose one fewer.
func TestALostDiskCountsAsLostUntilTheNewOneHasASeat(t *testing.T) {
	w := newWorldOf(t, 5, 5, 2, 5)
	w.calm = true
	w.run(3 * time.Second)
	bears := func(id string) int { return w.nodes[id].m.Standing(w.clock(w.nodes[id])).Bears }
	for _, id := range w.ids {
		if got := bears(id); got != 2 {
			t.Fatalf("%s may lose %d of 5", id, got)
		}
	}
	lost := w.nodes[w.ids[4]]
	former := lost.m.self
	w.crash(lost.id, true)
	w.run(w.now + 50*time.Millisecond)
	w.start(lost.id)
	// The change of the roster is held up for a while.
	held := w.now + 2*time.Second
	w.drop = func(_ string, e Envelope) bool { return as[*StateReport](e.Msg) != nil && w.now < held }
	w.run(w.now + 300*time.Millisecond) // it has asked for a seat
	checked := 0
	for ; w.now < held; w.run(w.now + 20*time.Millisecond) {
		for _, id := range w.ids {
			if len(w.nodes[id].m.seats().all()) == 0 {
				continue // the new disk holds nothing yet
			}
			if checked++; bears(id) != 1 {
				t.Fatalf("at %v %s says that %d more may be lost, beside the disk of %s", w.now, id, bears(id), former)
			}
		}
	}
	w.run(held + 3*time.Second)
	seated := slices.Contains(w.nodes[w.ids[0]].m.seats().newSeats, lost.m.self)
	if !seated || checked == 0 {
		t.Fatalf("the new disk has a seat: %v, after %d checks", seated, checked)
	}
	for _, id := range w.ids {
		if got := bears(id); got != 2 {
			t.Errorf("%s may lose %d of 5 at the end", id, got)
		}
	}
}
