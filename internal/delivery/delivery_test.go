package delivery

import (
	"strings"
	"testing"
	"time"

	"madderwing/internal/antientropy"
	"madderwing/internal/membership"
)

// TestSourcesThatHaveLostTheMajorityAreLeft plays a gateway that asks once a beat and gets
// its answers a little later. A cut control node answers, and says fresh only for the first
// two beats, as contact lapses; a silent one does not answer. Sixty beats are ten
// contactS.
func TestSourcesThatHaveLostTheMajorityAreLeft(t *testing.T) {
	const beat, contactS = time.Second, 6
	controlNodes := []membership.Node{{Address: "n1", Zone: "n"}, {Address: "n2", Zone: "n"}, {Address: "s1", Zone: "s"}, {Address: "e1", Zone: "e"}}
	always := func(int) bool { return true }
	from10 := func(b int) bool { return b >= 10 }
	type state struct {
		cut, silent func(beat int) bool
	}
	for name, c := range map[string]struct {
		are  map[string]state
		last int // beat at which one in trouble is first for the last time
		both int // and beside another in trouble
		all  int // how often one in trouble is asked at all
		end  string
	}{
		"nothing amiss":                     {nil, 0, 0, 0, "n"},
		"own zone's, from the start":        {map[string]state{"n1": {cut: always}, "n2": {cut: always}}, contactS - 2, 0, 20, "es"},
		"one of the own zone's":             {map[string]state{"n1": {cut: from10}}, 10 + contactS - 4, 0, 3, "n"},
		"the own zone's":                    {map[string]state{"n1": {cut: from10}, "n2": {cut: from10}}, 10 + contactS - 2, 0, 17, "es"},
		"another zone's":                    {map[string]state{"e1": {cut: from10}}, 0, 0, 9, "n"},
		"both that are watched":             {map[string]state{"n1": {cut: from10}, "n2": {cut: from10}, "e1": {cut: from10}}, 10 + contactS, 10 + contactS - 2, 60, "s"},
		"silent ones":                       {map[string]state{"n1": {silent: from10}, "n2": {silent: from10}}, 10 + contactS, 0, 27, "es"},
		"cut, joined, cut, joined":          {map[string]state{"n1": {cut: func(b int) bool { return b >= 10 && b < 14 || b >= 18 && b < 22 }}, "n2": {cut: from10}}, 10 + contactS - 2, 0, 5, "n"},
		"all: two are watched all the same": {map[string]state{"n1": {cut: from10}, "n2": {cut: from10}, "s1": {cut: from10}, "e1": {cut: from10}}, 60, 60, 102, "nse"},
	} {
		s := Sources{Self: "gateway", Zone: "n", Patience: 3 * beat, Seeds: []string{"seed"}}
		if got := s.Choose(0, nil); len(got) != 1 || got[0] != "seed" {
			t.Fatalf("before any control node is known: %v", got)
		}
		is := func(id string, b int) (cut, silent bool) {
			x := c.are[id]
			return x.cut != nil && x.cut(b), x.silent != nil && x.silent(b)
		}
		since := map[string]int{}
		last, both, all := 0, 0, 0
		var got []string
		for b := 1; b <= 60; b++ {
			now := time.Duration(b) * beat
			got = s.Choose(now, controlNodes)
			if len(got) != 2 || got[0][0] == got[1][0] {
				t.Fatalf("%s, beat %d: chosen %v", name, b, got)
			}
			bad := 0
			for i, id := range got {
				cut, silent := is(id, b)
				if !cut && !silent {
					continue
				}
				if all, bad = all+1, bad+1; i == 0 {
					last = b
				}
				if bad == 2 {
					both = b
				}
			}
			for _, n := range controlNodes {
				if cut, _ := is(n.Address, b); !cut {
					since[n.Address] = b + 1
				}
			}
			for _, id := range got {
				cut, silent := is(id, b)
				if !silent {
					fresh := !cut || b > contactS && b < since[id]+2
					s.Heard(now+beat/20, id, fresh)
				}
			}
		}
		if last > c.last || both > c.both || all > c.all {
			t.Errorf("%s: one that is cut off is first until beat %d, with another until %d, asked %d times; at most %d, %d, %d", name, last, both, all, c.last, c.both, c.all)
		}
		if first := got[0][:1]; !strings.Contains(c.end, first) {
			t.Errorf("%s: %v at the end", name, got)
		}
	}
}

func TestWatchersAreForgotten(t *testing.T) {
	w := Watchers{Forget: time.Second}
	w.Note(0, "a", Watch{})
	w.Note(900*time.Millisecond, "b", Watch{})
	if n := w.Count(1500 * time.Millisecond); n != 1 {
		t.Errorf("%d before anything was sent", n)
	}
	var seen []string
	w.Each(1500*time.Millisecond, func(to string, has Watch) Watch { seen = append(seen, to); return has })
	if len(seen) != 1 || seen[0] != "b" || w.Count(1500*time.Millisecond) != 1 {
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
