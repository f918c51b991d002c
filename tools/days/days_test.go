package main

import (
	"bytes"
	"cmp"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const madeUp = `Some words on entries. For servers, 'how' may also hold wide (of (all) sorts) and deep (very).
For machines, 'how' may also hold chief (it led), any old one or clerk. After these may stand twice (again), soon (at once) and, for stop, slyly (late). Cuts are quiet unless 'how' holds loud or rude.
closing = { kind = dusk | night, down_s } ends it (how late: after; how early: before); that is all.
!! a line of no known shape

stop: share (.25) of the machines, x (2) at a time; how: hard (x (8) times), gently, they rest
late_one: the same, and more
stop_one: a machine stops; how: now later, + quietly (or not); how lazy: by and by
stop_two: the same, but for gap_s (.5) (how: sadly), or else (how: gladly)
link_cut: count (1) links end
plain_change: nothing more
`

func TestParseKinds(t *testing.T) {
	got := parseKinds(madeUp)
	want := map[string][]string{
		"stop": {"hard", "gently"}, "late_one": nil, "stop_one": {"now", "later", "lazy"},
		"stop_two": {"now", "later", "lazy", "sadly", "gladly"}, "link_cut": nil, "plain_change": nil,
	}
	for _, k := range got.kinds {
		if words, known := want[k.name]; !known || !slices.Equal(k.words, words) {
			t.Errorf("%s: words %q, want %q", k.name, k.words, words)
		}
	}
	shared := map[string][]string{"servers": {"wide", "deep"}, "machines": {"chief", "clerk"},
		"followers": {"twice", "soon"}, "cuts": {"loud", "rude"}}
	if len(got.kinds) != len(want) || !reflect.DeepEqual(got.shared, shared) ||
		!slices.Equal(got.closings, []string{"dusk", "night"}) || !slices.Equal(got.closingWords, []string{"late", "early"}) ||
		!slices.Equal(got.kinds[2].extra, []string{"quietly"}) {
		t.Errorf("parsed %+v", got)
	}
}

// Days repeat, hold listed kinds and words only, and keep their times and places.
func TestDrawDay(t *testing.T) {
	const file = `troubles = [ { kind = "link_cut", count = 1, for_s = 500, zone = "a", how = "loud" }, { kind = "stop", count = 40, gap_s = 9.0 } ]
zones = [ { name = "a" }, { name = "b" } ]
[[day]]
slot = "trouble"
one = 0.5
plan = [ { at = 1, kind = "stop" } ]`
	var st site
	if err := toml.Unmarshal([]byte(file), &st); err != nil {
		t.Fatal(err)
	}
	sp := parseKinds(madeUp)
	listed := strings.Fields("loud rude wide deep chief clerk twice soon hard gently now later lazy quietly sadly gladly")
	for _, p := range append(profiles, profile{name: "long", focus: "link_cut", longS: 20, lengthS: 10}) {
		for seed := range uint64(40) {
			d := drawDay(st, sp, p, seed)
			a, _ := toml.Marshal(d)
			b, _ := toml.Marshal(drawDay(st, sp, p, seed))
			var back day
			if err := toml.Unmarshal(a, &back); err != nil || !bytes.Equal(a, b) {
				t.Fatalf("%s: %v, or it doesn't repeat:\n%s%s", d.Name, err, a, b)
			}
			if all := len(d.Plan) + len(d.Faults); all < 4 || all > 9 || d.One != .5 || p.closes && d.Closing["how"] == nil {
				t.Errorf("%s: %s", d.Name, a)
			}
			earlier := func(a, b trouble) int { return cmp.Compare(a.number("at"), b.number("at")) }
			if !slices.IsSortedFunc(back.Plan, earlier) || !slices.IsSortedFunc(back.Faults, earlier) {
				t.Errorf("%s isn't in order of time: %s", d.Name, a)
			}
			for i, e := range slices.Concat(back.Plan, back.Faults) {
				planned := i < len(back.Plan)
				if planned != (e["kind"] == "stop") || !slices.ContainsFunc(sp.kinds, func(k kind) bool { return k.name == e["kind"] }) {
					t.Errorf("%s: %v, planned: %v", d.Name, e, planned)
				}
				if at := e.number("at"); at < 1 || at+e.number("for_s") > p.lengthS || at+e.number("count")*e.number("gap_s") > p.lengthS {
					t.Errorf("%s: outside the day: %v", d.Name, e)
				}
				if _, whole := e["count"].(int64); e["count"] != nil && !whole {
					t.Errorf("%s: count isn't whole: %v", d.Name, e)
				}
				how, _ := e["how"].(string)
				for _, w := range strings.Fields(how) {
					if !slices.Contains(listed, w) {
						t.Errorf("%s: %q isn't listed: %v", d.Name, w, e)
					}
				}
			}
		}
	}
}

// Removals take as many machines as the site's examples or the bench's default say, not fewer.
func TestRemovalsKeepTheirShare(t *testing.T) {
	const file = `troubles = [ { kind = "roll", share = 0.6, x = 4.0 } ]
[[day]]
slot = "trouble"
plan = [ { at = 1, kind = "roll" } ]`
	var st site
	if err := toml.Unmarshal([]byte(file), &st); err != nil {
		t.Fatal(err)
	}
	sp := parseKinds("roll: share (1) of the machines; how: remove (they leave)\n")
	removals := 0
	for seed := range uint64(40) {
		d := drawDay(st, sp, profile{name: "removals", focus: "roll", lengthS: 45}, seed)
		for _, e := range d.Plan {
			if !e.anyOf("remove") {
				continue
			}
			removals++
			// No share at all is the bench's default, all of them; a drawn one is near the example's.
			if share := e.number("share"); e["share"] != nil && (share < .3 || share > .95) {
				t.Errorf("%s: %v", d.Name, e)
			}
		}
	}
	if removals < 40 {
		t.Errorf("only %d removals were drawn", removals)
	}
}

// Days of the profile leavers have clients that leave and slow upstreams, beside other kinds.
func TestLeavers(t *testing.T) {
	sp := parseKinds("give_up: share of the clients leave within x ms\nsrv_slow: share (.15) work x (4) times as long\nstop: stops\n")
	p := profiles[slices.IndexFunc(profiles, func(p profile) bool { return p.name == "leavers" })]
	shares := map[float64]bool{}
	for seed := range uint64(20) {
		d := drawDay(site{}, sp, p, seed)
		count := map[any]int{}
		for _, e := range slices.Concat(d.Plan, d.Faults) {
			count[e["kind"]]++
			if e["kind"] == "give_up" && e["share"] != nil {
				shares[e.number("share")] = true
			}
		}
		if count["give_up"] < 3 || count["srv_slow"] < 2 {
			t.Errorf("%s: %v", d.Name, count)
		}
	}
	if len(shares) < 20 {
		t.Errorf("only %d shares of clients that leave", len(shares))
	}
}
