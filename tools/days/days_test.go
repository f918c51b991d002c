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

const sampleKinds = `Some words on entries. For servers, 'how' may also hold wide (of (all) sorts) and deep (very).
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
	got := parseKinds(sampleKinds)
	want := map[string][]string{
		"stop": {"hard", "gently"}, "late_one": nil, "stop_one": {"now", "later", "lazy"},
		"stop_two": {"now", "later", "lazy", "sadly", "gladly"}, "link_cut": nil, "plain_change": nil,
	}
	for _, k := range got.kinds {
		if words, known := want[k.name]; !known || !slices.Equal(k.variants, words) {
			t.Errorf("%s: words %q, want %q", k.name, k.variants, words)
		}
	}
	shared := map[string][]string{"servers": {"wide", "deep"}, "machines": {"chief", "clerk"},
		"followers": {"twice", "soon"}, "cuts": {"loud", "rude"}}
	if len(got.kinds) != len(want) || !reflect.DeepEqual(got.sharedVariants, shared) ||
		!slices.Equal(got.closingKinds, []string{"dusk", "night"}) || !slices.Equal(got.closingVariants, []string{"late", "early"}) ||
		!slices.Equal(got.kinds[2].secondVariants, []string{"quietly"}) {
		t.Errorf("parsed %+v", got)
	}
}

// The same seed gives the same day. Days have only kinds and words that the bench lists, and each
// event lies within the day and in the correct one of plan and faults.
func TestGenerateDay(t *testing.T) {
	const file = `troubles = [ { kind = "link_cut", count = 1, for_s = 500, zone = "a", how = "loud" }, { kind = "stop", count = 40, gap_s = 9.0 } ]
zones = [ { name = "a" }, { name = "b" } ]
[[day]]
slot = "trouble"
one = 0.5
plan = [ { at = 1, kind = "stop" } ]`
	var parsedSite site
	if err := toml.Unmarshal([]byte(file), &parsedSite); err != nil {
		t.Fatal(err)
	}
	catalog := parseKinds(sampleKinds)
	listed := strings.Fields("loud rude wide deep chief clerk twice soon hard gently now later lazy quietly sadly gladly")
	for _, p := range append(profiles, profile{name: "long", favoredKinds: "link_cut", favoredDurationS: 20, lengthS: 10}) {
		for seed := range uint64(40) {
			generated := generateDay(parsedSite, catalog, p, seed)
			encoded, _ := toml.Marshal(generated)
			encodedAgain, _ := toml.Marshal(generateDay(parsedSite, catalog, p, seed))
			var decoded day
			if err := toml.Unmarshal(encoded, &decoded); err != nil || !bytes.Equal(encoded, encodedAgain) {
				t.Fatalf("%s: %v, or it is not reproducible:\n%s%s", generated.Name, err, encoded, encodedAgain)
			}
			if total := len(generated.Plan) + len(generated.Faults); total < 4 || total > 9 || generated.One != .5 || p.alwaysCloses && generated.Closing["how"] == nil {
				t.Errorf("%s: %s", generated.Name, encoded)
			}
			byStart := func(a, b event) int { return cmp.Compare(a.number("at"), b.number("at")) }
			if !slices.IsSortedFunc(decoded.Plan, byStart) || !slices.IsSortedFunc(decoded.Faults, byStart) {
				t.Errorf("%s: not sorted by time: %s", generated.Name, encoded)
			}
			for i, e := range slices.Concat(decoded.Plan, decoded.Faults) {
				planned := i < len(decoded.Plan)
				if planned != (e["kind"] == "stop") || !slices.ContainsFunc(catalog.kinds, func(k kind) bool { return k.name == e["kind"] }) {
					t.Errorf("%s: %v, planned: %v", generated.Name, e, planned)
				}
				if at := e.number("at"); at < 1 || at+e.number("for_s") > p.lengthS || at+e.number("count")*e.number("gap_s") > p.lengthS {
					t.Errorf("%s: outside the day: %v", generated.Name, e)
				}
				if _, isInteger := e["count"].(int64); e["count"] != nil && !isInteger {
					t.Errorf("%s: count is not an integer: %v", generated.Name, e)
				}
				how, _ := e["how"].(string)
				for _, w := range strings.Fields(how) {
					if !slices.Contains(listed, w) {
						t.Errorf("%s: %q is not a listed word: %v", generated.Name, w, e)
					}
				}
			}
		}
	}
}

// Removals affect a share of the machines near the example's, or all machines as is the bench's
// default, but not fewer.
func TestRemovalsKeepMachineShare(t *testing.T) {
	const file = `troubles = [ { kind = "roll", share = 0.6, x = 4.0 } ]
[[day]]
slot = "trouble"
plan = [ { at = 1, kind = "roll" } ]`
	var parsedSite site
	if err := toml.Unmarshal([]byte(file), &parsedSite); err != nil {
		t.Fatal(err)
	}
	catalog := parseKinds("roll: share (1) of the machines; how: remove (they leave)\n")
	removals := 0
	for seed := range uint64(40) {
		generated := generateDay(parsedSite, catalog, profile{name: "removals", favoredKinds: "roll", lengthS: 45}, seed)
		for _, e := range generated.Plan {
			if !e.hasAnyVariant("remove") {
				continue
			}
			removals++
			// Without a share the bench removes all machines; a drawn share is near the example's.
			if share := e.number("share"); e["share"] != nil && (share < .3 || share > .95) {
				t.Errorf("%s: %v", generated.Name, e)
			}
		}
	}
	if removals < 40 {
		t.Errorf("only %d removals were drawn", removals)
	}
}

// Days of the profile "leavers" have clients that leave early and slow upstreams, next to other
// kinds.
func TestLeaversProfile(t *testing.T) {
	catalog := parseKinds("give_up: share of the clients leave within x ms\nsrv_slow: share (.15) work x (4) times as long\nstop: stops\n")
	leavers := profiles[slices.IndexFunc(profiles, func(profile profile) bool { return profile.name == "leavers" })]
	shares := map[float64]bool{}
	for seed := range uint64(20) {
		generated := generateDay(site{}, catalog, leavers, seed)
		count := map[any]int{}
		for _, e := range slices.Concat(generated.Plan, generated.Faults) {
			count[e["kind"]]++
			if e["kind"] == "give_up" && e["share"] != nil {
				shares[e.number("share")] = true
			}
		}
		if count["give_up"] < 3 || count["srv_slow"] < 2 {
			t.Errorf("%s: %v", generated.Name, count)
		}
	}
	if len(shares) < 20 {
		t.Errorf("only %d different shares of clients that leave", len(shares))
	}
}
