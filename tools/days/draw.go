package main

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// trouble is an entry of a day, by field; times are in seconds from the start of traffic.
type trouble map[string]any

// day is a day of the bench, as a site file and a day file hold it.
type day struct {
	Name         string         `toml:"name"`
	Slot         string         `toml:"slot"`
	Seed         uint64         `toml:"seed"`
	LengthS      float64        `toml:"length_s"`
	Closing      map[string]any `toml:"closing,inline,omitempty"`
	One          float64        `toml:"one"`
	Zero         float64        `toml:"zero"`
	Goal         map[string]any `toml:"goal,inline"`
	FloorClasses []float64      `toml:"floor_classes,omitempty"`
	FloorZones   []float64      `toml:"floor_zones,omitempty"`
	Plan         []trouble      `toml:"plan,inline,multiline"`
	Faults       []trouble      `toml:"faults,inline,multiline"`
}

// site is what is read of a site file.
type site struct {
	Name     string
	Zones    []struct{ Name string }
	Troubles []trouble
	Day      []day
}

// entries gives what stands under plan and faults in all days.
func (s site) entries() (plan, faults []trouble) {
	for _, o := range s.Day {
		plan, faults = append(plan, o.Plan...), append(faults, o.Faults...)
	}
	return plan, faults
}

// profile says what days are about.
type profile struct {
	name    string
	focus   string  // the kinds that it favours
	words   string  // words that it favours in how
	longS   float64 // how long troubles of the focus last; 0: as the examples do
	lengthS float64
	closes  bool      // always with a closing fault
	with    []trouble // entries that each day has, with their values varied
}

var profiles = []profile{
	{name: "long-cuts", focus: "core_cut node_cut one_way bridge_cut zone_loss", longS: 20, lengthS: 60},
	{name: "storms", focus: "config_storm config_race bad_config config_change core_cut node_cut", words: "meet race", lengthS: 45},
	{name: "replacements", focus: "replace_core after_ack_wipe roll_term", words: "remove", lengthS: 45},
	{name: "closing", closes: true, lengthS: 45},
	{name: "mixed", lengthS: 45},
	{name: "leavers", lengthS: 45, with: []trouble{leavers, leavers, leavers, slowUpstreams, slowUpstreams}},
}

// leavers are clients that close their connection long before their answer; x is in ms.
var leavers = trouble{"kind": "give_up", "share": .5, "x": 200., "for_s": 14.}

// slowUpstreams make a request last long after its client has left.
var slowUpstreams = trouble{"kind": "srv_slow", "share": .8, "x": 6., "for_s": 14.}

// plannedKinds stand under plan where no day of the site shows the place of a kind.
const plannedKinds = `release scale_in scale_out roll_term config_change config_storm config_race bad_config
 big_config evacuate rollout_good rollout_bad hup seed_turnover`

// drawer draws one day.
type drawer struct {
	*rand.Rand
	site site
	spec spec
	profile
}

// drawDay draws a day; the same arguments give the same day. There must be a kind.
func drawDay(st site, sp spec, p profile, seed uint64) day {
	name := fmt.Sprintf("%s-%d", p.name, seed)
	d := drawer{rand.New(rand.NewChaCha8(sha256.Sum256([]byte(name)))), st, sp, p}
	var out day // with the figures of the site's first such day
	if i := slices.IndexFunc(st.Day, func(o day) bool { return o.Slot == "trouble" }); i >= 0 {
		out = st.Day[i]
	}
	out.Name, out.Slot, out.Seed, out.LengthS = name, "trouble", seed, p.lengthS
	out.Closing, out.Plan, out.Faults = nil, []trouble{}, []trouble{}
	add := func(t trouble) {
		if d.planned(t) {
			out.Plan = append(out.Plan, t)
		} else {
			out.Faults = append(out.Faults, t)
		}
	}
	for _, t := range p.with {
		if !slices.ContainsFunc(sp.kinds, func(k kind) bool { return k.name == t["kind"] }) {
			continue // this bench cannot play it
		}
		t = maps.Clone(t)
		d.vary(t)
		d.place(t)
		add(t)
	}
	var k kind
	for n := 4 + d.IntN(6); n > 0; n-- {
		if k.name == "" || !d.chance(.2) { // else the same kind once more
			k = d.kind()
		}
		add(d.trouble(k))
	}
	for _, list := range [][]trouble{out.Plan, out.Faults} {
		slices.SortStableFunc(list, func(a, b trouble) int { return cmp.Compare(a.number("at"), b.number("at")) })
	}
	if len(sp.closings) > 0 && (p.closes || d.chance(.6)) {
		out.Closing = d.closing()
	}
	return out
}

func (d *drawer) chance(p float64) bool { return d.Float64() < p }

func pick[T any](d *drawer, from []T) T { return from[d.IntN(len(from))] }

// near draws a value within low and high times v, and within least and most.
func (d *drawer) near(v, low, high, least, most float64) float64 {
	v *= low * math.Pow(high/low, d.Float64())
	return min(max(math.Round(v*1000)/1000, least), most)
}

func has(words, w string) bool { return slices.Contains(strings.Fields(words), w) }

// anyOf says whether the how of a trouble holds one of the words.
func (t trouble) anyOf(words ...string) bool {
	how, _ := t["how"].(string)
	return slices.ContainsFunc(words, func(w string) bool { return has(how, w) })
}

// number gives a field as a number; 0: it has none.
func (t trouble) number(field string) float64 {
	if n, is := t[field].(int64); is {
		return float64(n)
	}
	v, _ := t[field].(float64)
	return v
}

// only keeps those that fit; all, if none does.
func only[T any](from []T, fits func(T) bool) []T {
	if in := slices.DeleteFunc(slices.Clone(from), func(e T) bool { return !fits(e) }); len(in) > 0 {
		return in
	}
	return from
}

// kind draws a kind that the site has: most are of the profile's focus.
func (d *drawer) kind() kind {
	if d.chance(.65) {
		return pick(d, only(d.spec.kinds, func(k kind) bool { return has(d.focus, k.name) }))
	}
	return pick(d, d.spec.kinds)
}

// trouble draws an entry: an example of the site, with values and variants changed.
func (d *drawer) trouble(k kind) trouble {
	plan, faults := d.site.entries()
	examples := slices.DeleteFunc(slices.Concat(d.site.Troubles, plan, faults), func(e trouble) bool { return e["kind"] != k.name })
	how := d.how(k, examples)
	if slices.ContainsFunc(how, func(w string) bool { return slices.Contains(d.spec.shared["machines"], w) }) {
		examples = only(examples, func(e trouble) bool { return e["on"] != nil })
	}
	t := trouble{"kind": k.name}
	if len(examples) > 0 {
		t = maps.Clone(pick(d, examples))
	}
	if len(how) > 0 {
		if !t.anyOf(how[0]) && strings.Contains(k.text, "(x (") {
			delete(t, "x") // it means another thing with another variant, and has a default
		}
		t["how"] = strings.Join(how, " ")
	}
	d.vary(t)
	d.place(t)
	return t
}

// place draws when an entry begins, so that it has ended before the day has.
func (d *drawer) place(t trouble) {
	last := min(.85*d.lengthS, d.lengthS-1-max(t.number("for_s"), t.number("count")*t.number("gap_s")))
	t["at"] = math.Round((1+d.Float64()*max(last-1, 0))*100) / 100
}

// how draws a variant; none: the example's stays.
func (d *drawer) how(k kind, examples []trouble) (words []string) {
	add := func(chance float64, fits bool, from []string) {
		if fits && len(from) > 0 && d.chance(chance) {
			if w := pick(d, from); !slices.Contains(words, w) {
				words = append(words, w)
			}
		}
	}
	// The words for machines fit if the text speaks of machines or an example holds one.
	machines := strings.Contains(k.text, "machine") ||
		slices.ContainsFunc(examples, func(e trouble) bool { return e.anyOf(d.spec.shared["machines"]...) })
	own, after := k.words, d.spec.shared["followers"]
	if has(d.focus, k.name) && d.chance(.7) {
		favoured := func(w string) bool { return has(d.words, w) }
		own, after = only(own, favoured), only(after, favoured)
	}
	add(.6, true, own)
	add(.3, len(words) > 0, k.extra)
	add(.35, machines, d.spec.shared["machines"])
	add(.2, strings.HasPrefix(k.name, "srv_"), d.spec.shared["servers"])
	add(.4, strings.HasSuffix(k.name, "_cut"), d.spec.shared["cuts"])
	add(.4, machines, after)
	return words
}

// vary changes the values of an example within half and twice what they are.
func (d *drawer) vary(t trouble) {
	if d.longS > 0 && has(d.focus, t["kind"].(string)) {
		t["for_s"] = d.longS
	}
	for _, f := range []string{"share", "count", "x", "for_s", "gap_s"} {
		v := t.number(f)
		low, high, least, most := .5, 2., .002, math.MaxInt32+0.
		switch {
		case f == "count", f == "x" && v >= 1:
			least = 1
		case f == "share", f == "x":
			most = .95
		case f == "for_s":
			least, most = .3, .6*d.lengthS
			if v == d.longS {
				low, high = .8, 1.2
			} else if d.planned(t) {
				low = 1 // planned work needs its time
			}
		case f == "gap_s":
			least, most = .05, .6*d.lengthS/max(t.number("count"), 1)
		}
		if v == 0 {
			continue
		}
		changed := d.near(v, low, high, least, most)
		if t[f] = changed; f == "count" {
			t[f] = int64(math.Round(changed))
		} else if f == "x" && v >= 1 && v == math.Trunc(v) {
			t[f] = math.Round(changed)
		}
	}
	if zones := d.site.Zones; t["zone"] != nil && len(zones) > 0 && d.chance(.6) {
		t["zone"] = pick(d, zones).Name
	}
}

// planned says whether an entry stands under plan: where the site's days have most of
// its kind; where they have none, what a planned replacement or a planned kind is.
func (d *drawer) planned(t trouble) bool {
	plan, faults := d.site.entries()
	other := func(e trouble) bool { return e["kind"] != t["kind"] || e.anyOf("planned") != t.anyOf("planned") }
	if p, f := len(slices.DeleteFunc(plan, other)), len(slices.DeleteFunc(faults, other)); p+f > 0 {
		return p >= f
	}
	return t.anyOf("planned") || has(plannedKinds, t["kind"].(string))
}

// closing draws a closing fault: one of the site's days, or one that the text lists.
func (d *drawer) closing() map[string]any {
	c := map[string]any{"kind": pick(d, d.spec.closings)}
	seen := slices.DeleteFunc(slices.Clone(d.site.Day), func(o day) bool { return o.Closing["how"] == nil })
	if how := d.spec.closingWords; len(seen) > 0 && d.chance(.3) {
		maps.Copy(c, pick(d, seen).Closing)
	} else if len(how) > 0 && (d.closes || d.chance(.5)) {
		c["how"] = pick(d, how)
	}
	c["down_s"] = d.near(1, .5, 2, .2, 5)
	return c
}
