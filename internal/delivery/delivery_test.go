package delivery

import (
	"strings"
	"testing"
	"time"

	"madderwing/internal/antientropy"
	"madderwing/internal/membership"
)

// TestSourcesWithoutMajorityAreReplaced simulates a gateway that watches once per interval and gets the
// replies shortly after. A partitioned control node still replies, but is fresh only for the first two
// intervals, after which it has lost contact with the majority. A silent one doesn't reply. The 60
// intervals are ten times contactS.
func TestSourcesWithoutMajorityAreReplaced(t *testing.T) {
	const interval, contactS = time.Second, 6
	controlNodes := []membership.Node{{Address: "n1", Zone: "n"}, {Address: "n2", Zone: "n"}, {Address: "s1", Zone: "s"}, {Address: "e1", Zone: "e"}}
	always := func(int) bool { return true }
	from10 := func(b int) bool { return b >= 10 }
	type fault struct {
		partitioned, silent func(index int) bool
	}
	for name, c := range map[string]struct {
		faults      map[string]fault
		lastFirst   int    // last interval in which a faulty control node may be the first source
		lastBoth    int    // last interval in which both sources may be faulty
		askedFaulty int    // how often faulty control nodes may be watched
		endZones    string // zones, one of which the first source is in at the end
	}{
		"no faults":                              {nil, 0, 0, 0, "n"},
		"own zone partitioned from the start":    {map[string]fault{"n1": {partitioned: always}, "n2": {partitioned: always}}, contactS - 2, 0, 20, "es"},
		"one node of the own zone partitioned":   {map[string]fault{"n1": {partitioned: from10}}, 10 + contactS - 4, 0, 3, "n"},
		"own zone partitioned":                   {map[string]fault{"n1": {partitioned: from10}, "n2": {partitioned: from10}}, 10 + contactS - 2, 0, 17, "es"},
		"another zone partitioned":               {map[string]fault{"e1": {partitioned: from10}}, 0, 0, 9, "n"},
		"own and second zone partitioned":        {map[string]fault{"n1": {partitioned: from10}, "n2": {partitioned: from10}, "e1": {partitioned: from10}}, 10 + contactS, 10 + contactS - 2, 60, "s"},
		"own zone silent":                        {map[string]fault{"n1": {silent: from10}, "n2": {silent: from10}}, 10 + contactS, 0, 27, "es"},
		"one node partitioned repeatedly":        {map[string]fault{"n1": {partitioned: func(b int) bool { return b >= 10 && b < 14 || b >= 18 && b < 22 }}, "n2": {partitioned: from10}}, 10 + contactS - 2, 0, 5, "n"},
		"all partitioned: two are still watched": {map[string]fault{"n1": {partitioned: from10}, "n2": {partitioned: from10}, "s1": {partitioned: from10}, "e1": {partitioned: from10}}, 60, 60, 102, "nse"},
	} {
		sources := Sources{Self: "gateway", Zone: "n", Timeout: 3 * interval, Seeds: []string{"seed"}}
		if chosen := sources.Choose(0, nil); len(chosen) != 1 || chosen[0] != "seed" {
			t.Fatalf("chose %v before any control node was known", chosen)
		}
		faultsAt := func(id string, b int) (partitioned, silent bool) {
			nodeFault := c.faults[id]
			return nodeFault.partitioned != nil && nodeFault.partitioned(b), nodeFault.silent != nil && nodeFault.silent(b)
		}
		lastContact := map[string]int{}
		lastFirst, lastBoth, askedFaulty := 0, 0, 0
		var chosen []string
		for b := 1; b <= 60; b++ {
			now := time.Duration(b) * interval
			chosen = sources.Choose(now, controlNodes)
			if len(chosen) != 2 || chosen[0][0] == chosen[1][0] {
				t.Fatalf("%s, interval %d: chose %v", name, b, chosen)
			}
			faulty := 0
			for i, id := range chosen {
				partitioned, silent := faultsAt(id, b)
				if !partitioned && !silent {
					continue
				}
				if askedFaulty, faulty = askedFaulty+1, faulty+1; i == 0 {
					lastFirst = b
				}
				if faulty == 2 {
					lastBoth = b
				}
			}
			for _, n := range controlNodes {
				if partitioned, _ := faultsAt(n.Address, b); !partitioned {
					lastContact[n.Address] = b + 1
				}
			}
			for _, id := range chosen {
				partitioned, silent := faultsAt(id, b)
				if !silent {
					fresh := !partitioned || b > contactS && b < lastContact[id]+2
					sources.Received(now+interval/20, id, fresh)
				}
			}
		}
		if lastFirst > c.lastFirst || lastBoth > c.lastBoth || askedFaulty > c.askedFaulty {
			t.Errorf("%s: first source faulty until interval %d, both until %d, faulty ones asked %d times; want at most %d, %d, %d", name, lastFirst, lastBoth, askedFaulty, c.lastFirst, c.lastBoth, c.askedFaulty)
		}
		if first := chosen[0][:1]; !strings.Contains(c.endZones, first) {
			t.Errorf("%s: chose %v at the end", name, chosen)
		}
	}
}

func TestWatchersExpire(t *testing.T) {
	watchers := Watchers{ExpireAfter: time.Second}
	watchers.SetAssumed(0, "a", Watch{})
	watchers.SetAssumed(900*time.Millisecond, "b", Watch{})
	if count := watchers.Count(1500 * time.Millisecond); count != 1 {
		t.Errorf("%d watchers before Each, want 1", count)
	}
	var seen []string
	watchers.Each(1500*time.Millisecond, func(to string, assumed Watch) Watch { seen = append(seen, to); return assumed })
	if len(seen) != 1 || seen[0] != "b" || watchers.Count(1500*time.Millisecond) != 1 {
		t.Fatalf("Each visited %v, want only b", seen)
	}
}

// An update in flight to a watcher is not sent again; one that seems lost is.
func TestUpdatesInFlightAreNotResent(t *testing.T) {
	none, all := antientropy.Sums{}, antientropy.Sums{1}
	empty := Watch{Sums: &none}
	cases := []struct {
		name     string
		sent     bool
		reported Watch
		now      time.Duration
		assumed  antientropy.Sums
		guessed  bool
	}{
		{"update in flight", true, empty, 100 * time.Millisecond, all, true},
		{"update lost", true, empty, 2 * time.Second, none, false},
		{"no update sent", false, empty, 100 * time.Millisecond, none, false},
		{"update applied", true, Watch{Sums: &all}, 100 * time.Millisecond, all, false},
		{"other records reported", true, Watch{Sums: &antientropy.Sums{2}}, 100 * time.Millisecond, antientropy.Sums{2}, false},
	}
	for _, c := range cases {
		var watchers Watchers
		watchers.ExpireAfter = time.Minute
		watchers.SetAssumed(0, "d", empty)
		watchers.SetReported("d", empty)
		if c.sent {
			watchers.Sent(0, "d")
		}
		watchers.SetAssumed(0, "d", Watch{Sums: &all}) // assumed after the update
		assumed, guessed := watchers.Assume(c.now, "d", c.reported, time.Second)
		if *assumed.Sums != c.assumed || guessed != c.guessed {
			t.Errorf("%s: assumed %v, guessed %v", c.name, *assumed.Sums, guessed)
		}
	}
}
