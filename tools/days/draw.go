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

// event is a fault or a planned operation of a day, by field name. Times are in seconds from the
// start of traffic. Field "how" holds words that select a variant of the kind.
type event map[string]any

// day is a scenario of the bench in the format of site files and day files.
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
	Plan         []event        `toml:"plan,inline,multiline"`
	Faults       []event        `toml:"faults,inline,multiline"`
}

// site holds the parts of a site file that are used. Field names are keys of the file.
type site struct {
	Name     string
	Zones    []struct{ Name string }
	Troubles []event
	Day      []day
}

// events returns the planned operations and the faults of all days of the site.
func (s site) events() (plan, faults []event) {
	for _, siteDay := range s.Day {
		plan, faults = append(plan, siteDay.Plan...), append(faults, siteDay.Faults...)
	}
	return plan, faults
}

// profile says which events are frequent in a day.
type profile struct {
	name             string
	favoredKinds     string  // names of kinds that are drawn more often
	favoredVariants  string  // words for "how" that are drawn more often
	favoredDurationS float64 // duration of events of favoredKinds before variation; 0: as in the examples
	lengthS          float64
	alwaysCloses     bool    // each day has a closing fault
	requiredEvents   []event // events that each day has, with varied values
}

var profiles = []profile{
	{name: "long-cuts", favoredKinds: "core_cut node_cut one_way bridge_cut zone_loss", favoredDurationS: 20, lengthS: 60},
	{name: "storms", favoredKinds: "config_storm config_race bad_config config_change core_cut node_cut", favoredVariants: "meet race", lengthS: 45},
	{name: "replacements", favoredKinds: "replace_core after_ack_wipe roll_term", favoredVariants: "remove", lengthS: 45},
	{name: "closing", alwaysCloses: true, lengthS: 45},
	{name: "mixed", lengthS: 45},
	{name: "leavers", lengthS: 45, requiredEvents: []event{clientsLeave, clientsLeave, clientsLeave, slowUpstreams, slowUpstreams}},
}

// clientsLeave makes clients close their connections long before the response; x is in ms.
var clientsLeave = event{"kind": "give_up", "share": .5, "x": 200., "for_s": 14.}

// slowUpstreams makes requests last until long after their clients have left.
var slowUpstreams = event{"kind": "srv_slow", "share": .8, "x": 6., "for_s": 14.}

// plannedKinds lists the kinds of planned operations. It is used for kinds of which no day of the
// site has an example.
const plannedKinds = `release scale_in scale_out roll_term config_change config_storm config_race bad_config
 big_config evacuate rollout_good rollout_bad hup seed_turnover`

// generator draws the events of one day.
type generator struct {
	*rand.Rand
	site    site
	catalog kindCatalog
	profile
}

// generateDay draws a day. The same arguments give the same day. The catalog must have a kind.
func generateDay(parsedSite site, catalog kindCatalog, dayProfile profile, seed uint64) day {
	name := fmt.Sprintf("%s-%d", dayProfile.name, seed)
	g := generator{rand.New(rand.NewChaCha8(sha256.Sum256([]byte(name)))), parsedSite, catalog, dayProfile}
	var generated day // all that is not drawn comes from the site's first day in this slot
	if i := slices.IndexFunc(parsedSite.Day, func(siteDay day) bool { return siteDay.Slot == "trouble" }); i >= 0 {
		generated = parsedSite.Day[i]
	}
	generated.Name, generated.Slot, generated.Seed, generated.LengthS = name, "trouble", seed, dayProfile.lengthS
	generated.Closing, generated.Plan, generated.Faults = nil, []event{}, []event{}
	add := func(added event) {
		if g.isPlanned(added) {
			generated.Plan = append(generated.Plan, added)
		} else {
			generated.Faults = append(generated.Faults, added)
		}
	}
	for _, required := range dayProfile.requiredEvents {
		if !slices.ContainsFunc(catalog.kinds, func(k kind) bool { return k.name == required["kind"] }) {
			continue // the bench doesn't support this kind
		}
		required = maps.Clone(required)
		g.varyValues(required)
		g.drawStart(required)
		add(required)
	}
	var current kind
	for remaining := 4 + g.IntN(6); remaining > 0; remaining-- {
		if current.name == "" || !g.chance(.2) { // else the previous kind again
			current = g.drawKind()
		}
		add(g.drawEvent(current))
	}
	for _, list := range [][]event{generated.Plan, generated.Faults} {
		slices.SortStableFunc(list, func(a, b event) int { return cmp.Compare(a.number("at"), b.number("at")) })
	}
	if len(catalog.closingKinds) > 0 && (dayProfile.alwaysCloses || g.chance(.6)) {
		generated.Closing = g.drawClosing()
	}
	return generated
}

func (g *generator) chance(probability float64) bool { return g.Float64() < probability }

func pick[T any](g *generator, from []T) T { return from[g.IntN(len(from))] }

// randomMultiple returns value times a random factor from lowFactor to highFactor (uniform on a
// logarithmic scale), rounded to 3 digits after the point and limited to minimum and maximum.
func (g *generator) randomMultiple(value, lowFactor, highFactor, minimum, maximum float64) float64 {
	value *= lowFactor * math.Pow(highFactor/lowFactor, g.Float64())
	return min(max(math.Round(value*1000)/1000, minimum), maximum)
}

func containsWord(words, word string) bool { return slices.Contains(strings.Fields(words), word) }

// hasAnyVariant reports whether the event's how contains one of the words.
func (e event) hasAnyVariant(words ...string) bool {
	variants, _ := e["how"].(string)
	return slices.ContainsFunc(words, func(w string) bool { return containsWord(variants, w) })
}

// number returns a field as a number; 0 if there is none.
func (e event) number(field string) float64 {
	if integer, isInteger := e[field].(int64); isInteger {
		return float64(integer)
	}
	float, _ := e[field].(float64)
	return float
}

// matchingOrAll returns the elements that match, or all if none does.
func matchingOrAll[T any](from []T, matches func(T) bool) []T {
	if matching := slices.DeleteFunc(slices.Clone(from), func(e T) bool { return !matches(e) }); len(matching) > 0 {
		return matching
	}
	return from
}

// drawKind draws one of the site's kinds, and mostly one that the profile favors.
func (g *generator) drawKind() kind {
	if g.chance(.65) {
		return pick(g, matchingOrAll(g.catalog.kinds, func(k kind) bool { return containsWord(g.favoredKinds, k.name) }))
	}
	return pick(g, g.catalog.kinds)
}

// drawEvent draws an event of a kind: an example from the site file, if there is one, with other
// values and variants.
func (g *generator) drawEvent(k kind) event {
	plan, faults := g.site.events()
	examples := slices.DeleteFunc(slices.Concat(g.site.Troubles, plan, faults), func(e event) bool { return e["kind"] != k.name })
	variants := g.drawVariants(k, examples)
	if slices.ContainsFunc(variants, func(w string) bool { return slices.Contains(g.catalog.sharedVariants["machines"], w) }) {
		examples = matchingOrAll(examples, func(e event) bool { return e["on"] != nil })
	}
	drawn := event{"kind": k.name}
	if len(examples) > 0 {
		drawn = maps.Clone(pick(g, examples))
	}
	if len(variants) > 0 {
		if !drawn.hasAnyVariant(variants[0]) && strings.Contains(k.text, "(x (") {
			delete(drawn, "x") // its meaning depends on the variant, and it has a default
		}
		drawn["how"] = strings.Join(variants, " ")
	}
	g.varyValues(drawn)
	g.drawStart(drawn)
	return drawn
}

// drawStart draws the start time of an event such that it ends before the day does.
func (g *generator) drawStart(e event) {
	latest := min(.85*g.lengthS, g.lengthS-1-max(e.number("for_s"), e.number("count")*e.number("gap_s")))
	e["at"] = math.Round((1+g.Float64()*max(latest-1, 0))*100) / 100
}

// drawVariants draws the words for "how". If it draws none, the event keeps the example's words.
func (g *generator) drawVariants(k kind, examples []event) (drawn []string) {
	add := func(chance float64, applicable bool, from []string) {
		if applicable && len(from) > 0 && g.chance(chance) {
			if w := pick(g, from); !slices.Contains(drawn, w) {
				drawn = append(drawn, w)
			}
		}
	}
	// The words for machines apply if the kind's description mentions machines or an example has
	// one of these words.
	onMachines := strings.Contains(k.text, "machine") ||
		slices.ContainsFunc(examples, func(e event) bool { return e.hasAnyVariant(g.catalog.sharedVariants["machines"]...) })
	own, followers := k.variants, g.catalog.sharedVariants["followers"]
	if containsWord(g.favoredKinds, k.name) && g.chance(.7) {
		isFavored := func(w string) bool { return containsWord(g.favoredVariants, w) }
		own, followers = matchingOrAll(own, isFavored), matchingOrAll(followers, isFavored)
	}
	add(.6, true, own)
	add(.3, len(drawn) > 0, k.secondVariants)
	add(.35, onMachines, g.catalog.sharedVariants["machines"])
	add(.2, strings.HasPrefix(k.name, "srv_"), g.catalog.sharedVariants["servers"])
	add(.4, strings.HasSuffix(k.name, "_cut"), g.catalog.sharedVariants["cuts"])
	add(.4, onMachines, followers)
	return drawn
}

// varyValues replaces the numbers of an event by random ones, in general from half to twice the
// number, and often its zone by a random one of the site's.
func (g *generator) varyValues(e event) {
	if g.favoredDurationS > 0 && containsWord(g.favoredKinds, e["kind"].(string)) {
		e["for_s"] = g.favoredDurationS
	}
	for _, field := range []string{"share", "count", "x", "for_s", "gap_s"} {
		value := e.number(field)
		lowFactor, highFactor, minimum, maximum := .5, 2., .002, math.MaxInt32+0.
		switch {
		case field == "count", field == "x" && value >= 1:
			minimum = 1
		case field == "share", field == "x":
			maximum = .95
		case field == "for_s":
			minimum, maximum = .3, .6*g.lengthS
			if value == g.favoredDurationS {
				lowFactor, highFactor = .8, 1.2
			} else if g.isPlanned(e) {
				lowFactor = 1 // planned operations need at least the time of the example
			}
		case field == "gap_s":
			minimum, maximum = .05, .6*g.lengthS/max(e.number("count"), 1)
		}
		if value == 0 {
			continue
		}
		changed := g.randomMultiple(value, lowFactor, highFactor, minimum, maximum)
		if e[field] = changed; field == "count" {
			e[field] = int64(math.Round(changed))
		} else if field == "x" && value >= 1 && value == math.Trunc(value) {
			e[field] = math.Round(changed)
		}
	}
	if zones := g.site.Zones; e["zone"] != nil && len(zones) > 0 && g.chance(.6) {
		e["zone"] = pick(g, zones).Name
	}
}

// isPlanned reports whether an event belongs in the day's plan, not in its faults. It goes where
// the site's days have most events of its kind. Where they have none, plannedKinds and events with
// the variant "planned" go into the plan.
func (g *generator) isPlanned(candidate event) bool {
	plan, faults := g.site.events()
	differs := func(e event) bool {
		return e["kind"] != candidate["kind"] || e.hasAnyVariant("planned") != candidate.hasAnyVariant("planned")
	}
	if inPlan, inFaults := len(slices.DeleteFunc(plan, differs)), len(slices.DeleteFunc(faults, differs)); inPlan+inFaults > 0 {
		return inPlan >= inFaults
	}
	return candidate.hasAnyVariant("planned") || containsWord(plannedKinds, candidate["kind"].(string))
}

// drawClosing draws the fault at the end of a day: one from the site's days, or one that the
// bench lists.
func (g *generator) drawClosing() map[string]any {
	closing := map[string]any{"kind": pick(g, g.catalog.closingKinds)}
	daysWithVariant := slices.DeleteFunc(slices.Clone(g.site.Day), func(d day) bool { return d.Closing["how"] == nil })
	if variants := g.catalog.closingVariants; len(daysWithVariant) > 0 && g.chance(.3) {
		maps.Copy(closing, pick(g, daysWithVariant).Closing)
	} else if len(variants) > 0 && (g.alwaysCloses || g.chance(.5)) {
		closing["how"] = pick(g, variants)
	}
	closing["down_s"] = g.randomMultiple(1, .5, 2, .2, 5)
	return closing
}
