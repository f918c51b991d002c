package feed

import (
	"testing"
	"time"

	"madderwing/internal/antientropy"
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

// What is on its way to a watcher is not sent again; what seems lost is.
func TestWhatIsOnItsWayIsNotSentAgain(t *testing.T) {
	none, all := antientropy.Sums{}, antientropy.Sums{1}
	empty := Watch{Sums: &none}
	cases := []struct {
		name    string
		sent    bool
		tells   Watch
		at      time.Duration
		has     antientropy.Sums
		guessed bool
	}{
		{"asks again before it can have it", true, empty, 100 * time.Millisecond, all, true},
		{"still has nothing after a while", true, empty, 2 * time.Second, none, false},
		{"nothing was sent", false, empty, 100 * time.Millisecond, none, false},
		{"has it now", true, Watch{Sums: &all}, 100 * time.Millisecond, all, false},
		{"has something else", true, Watch{Sums: &antientropy.Sums{2}}, 100 * time.Millisecond, antientropy.Sums{2}, false},
	}
	for _, c := range cases {
		var w Watchers
		w.Forget = time.Minute
		w.Note(0, "d", empty)
		w.Holds("d", empty)
		if c.sent {
			w.Sent(0, "d")
		}
		w.Note(0, "d", Watch{Sums: &all}) // what it is believed to have then
		has, guessed := w.Believe(c.at, "d", c.tells, time.Second)
		if *has.Sums != c.has || guessed != c.guessed {
			t.Errorf("%s: %v, guessed %v", c.name, *has.Sums, guessed)
		}
	}
}
