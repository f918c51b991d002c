package feed

import (
	"testing"
	"time"

	"madderwing/internal/register"
)

func TestSourcesAreTwoZonesApartAndReplacedWhenStale(t *testing.T) {
	archives := []register.Node{{Address: "n1", Zone: "n"}, {Address: "n2", Zone: "n"}, {Address: "s1", Zone: "s"}, {Address: "e1", Zone: "e"}}
	s := Sources{Self: "desk", Zone: "n", Patience: time.Second, Seeds: []string{"seed"}}
	if got := s.Choose(0, nil); len(got) != 1 || got[0] != "seed" {
		t.Fatalf("before any archive is known: %v", got)
	}
	first := s.Choose(0, archives)
	if len(first) != 2 || first[0][0] != 'n' || first[1][0] == 'n' {
		t.Fatalf("chosen %v", first)
	}
	// The one of the own zone is cut off from the owner: it answers, not fresh.
	now := time.Duration(0)
	for ; now < 1500*time.Millisecond; now += 100 * time.Millisecond {
		s.Heard(now, first[0], false)
		s.Heard(now, first[1], true)
		s.Choose(now, archives)
	}
	next := s.Choose(now, archives)
	if next[0] == first[0] || next[0][0] != 'n' {
		t.Fatalf("the stale one is still watched first: %v", next)
	}
	// Once nobody is fresh, the choice still names two.
	for ; now < 20*time.Second; now += 100 * time.Millisecond {
		if got := s.Choose(now, archives); len(got) != 2 {
			t.Fatalf("chosen %v", got)
		}
	}
}

func TestWatchersAreForgotten(t *testing.T) {
	w := Watchers{Forget: time.Second}
	w.Note(0, "a", Watch{})
	w.Note(900*time.Millisecond, "b", Watch{})
	var seen []string
	w.Each(1500*time.Millisecond, func(to string, has Watch) Watch { seen = append(seen, to); return has })
	if len(seen) != 1 || seen[0] != "b" || w.Count() != 1 {
		t.Fatalf("seen %v", seen)
	}
}
