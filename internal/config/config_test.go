package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"madderwing/internal/apierror"
)

const serviceJSON = `{"name":"a","generation":%d,"healthPath":"/h","maxConns":9,"warmupS":3,"warmupPerS":2,"extra":{"x":[1,2]}}`

func route(name, prefix, target string, gen int) string {
	return fmt.Sprintf(`{"name":%q,"pathPrefix":%q,"routeKind":"idempotent","deadlineS":1,"target":%q,"maxTries":2,"generation":%d}`, name, prefix, target, gen)
}

func patch(services, routes, remove string) string {
	return fmt.Sprintf(`{"upsert":{"services":[%s],"domains":[{"authority":"h.example","hostRoutes":[%s]}]},"remove":{"routes":[%s]}}`, services, routes, remove)
}

func apply(t *testing.T, records map[string]Record, body string) error {
	t.Helper()
	c, err := Read([]byte(body))
	if err != nil {
		return err
	}
	changes, err := c.Apply(records, &Reader{})
	for _, r := range changes {
		records[r.Name] = r
	}
	return err
}

func newRecords(t *testing.T) map[string]Record {
	t.Helper()
	records := map[string]Record{}
	if err := apply(t, records, patch(fmt.Sprintf(serviceJSON, 7), route("r", "/p/", "a", 7), "")); err != nil {
		t.Fatal(err)
	}
	return records
}

func TestInvalidRequestsChangeNothing(t *testing.T) {
	whole := patch("", route("n", "/n/", "a", 9), "")
	cases := map[string]string{
		"cut short":         whole[:len(whole)-7],
		"trailing":          whole + "x",
		"two documents":     whole + whole,
		"not an object":     `[1]`,
		"unknown service":   patch("", route("n", "/n/", "nowhere", 9), ""),
		"bare prefix":       patch("", route("n", "n/", "a", 9), ""),
		"same place":        patch("", route("n", "/p/", "a", 9), ""),
		"odd kind":          patch("", `{"name":"n","pathPrefix":"/n/","routeKind":"odd","deadlineS":1,"target":"a","generation":9}`, ""),
		"no weight":         patch("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":1,"split":[{"target":"a","share":0}],"generation":9}`, ""),
		"no time-out":       patch("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":0,"target":"a","generation":9}`, ""),
		"wrong type":        patch("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":"1","target":"a","generation":9}`, ""),
		"no target":         patch("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":1,"generation":9}`, ""),
		"operator's phase":  patch("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":1,"target":"a","generation":9,"phase":"scheduled"}`, ""),
		"named twice":       patch("", route("n", "/n/", "a", 9)+","+route("n", "/m/", "a", 9), ""),
		"set and removed":   patch("", route("n", "/n/", "a", 9), `{"name":"n","generation":9}`),
		"service in use":    `{"remove":{"services":[{"name":"a","generation":9}]}}`,
		"valid and invalid": patch("", route("n", "/n/", "a", 9)+","+route("m", "/m/", "nowhere", 9), ""),
	}
	naming := map[string]string{"unknown service": "route n: target", "bare prefix": "route n.pathPrefix", "odd kind": "route n.routeKind",
		"same place": "routes n and r: pathPrefix", "no weight": "route n: split", "no time-out": "route n.deadlineS", "named twice": "route/n"}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			records := newRecords(t)
			before := fmt.Sprint(records)
			err := apply(t, records, body)
			var e *apierror.Error
			if !errors.As(err, &e) || e.Kind != apierror.InvalidConfig || e.Detail == "" {
				t.Fatalf("got %v", err)
			}
			if want := naming[name]; !strings.Contains(e.Detail, want) {
				t.Fatalf("%q does not name %q", e.Detail, want)
			}
			if fmt.Sprint(records) != before {
				t.Fatal("part of an invalid call took effect")
			}
		})
	}
}

func TestHighestGenerationWins(t *testing.T) {
	steps := []struct {
		body   string
		prefix string // of route r afterwards, "" if dropped
		says   string // of a refusal
	}{
		{patch("", route("r", "/old/", "a", 6), ""), "/p/", ""},
		{patch("", route("r", "/same/", "a", 7), ""), "/p/", "route r: generation 7 "},
		{patch("", route("r", "/p/", "a", 7), ""), "/p/", ""},
		{patch("", route("r", "/new/", "a", 9), ""), "/new/", ""},
		{patch("", "", `{"name":"r","generation":8}`), "/new/", ""},
		{patch("", "", `{"name":"r","generation":12},{"name":"r","generation":12}`), "", ""},
		{patch("", route("r", "/late/", "a", 11), ""), "", ""},
		{patch("", route("r", "/back/", "a", 13), ""), "/back/", ""},
	}
	records := newRecords(t)
	for i, s := range steps {
		err := apply(t, records, s.body)
		if s.says == "" && err != nil || s.says != "" && (apierror.KindOf(err) != apierror.Conflict || !strings.Contains(err.Error(), s.says)) {
			t.Fatalf("step %d: %v", i, err)
		}
		got := ""
		if routes := (&Reader{}).List(records); len(routes) > 0 {
			got = routes[0].PathPrefix
		}
		if got != s.prefix {
			t.Fatalf("step %d: prefix %q, want %q", i, got, s.prefix)
		}
	}
}

func TestRenderReturnsItemsAsSent(t *testing.T) {
	records := newRecords(t)
	var got struct {
		Services []any
		Domains  []struct {
			Authority  string
			HostRoutes []any
		}
	}
	if err := json.Unmarshal(Render(records), &got); err != nil {
		t.Fatal(err)
	}
	var want any
	_ = json.Unmarshal([]byte(fmt.Sprintf(serviceJSON, 7)), &want)
	if len(got.Services) != 1 || !reflect.DeepEqual(got.Services[0], want) {
		t.Fatalf("got %v", got.Services)
	}
	if len(got.Domains) != 1 || got.Domains[0].Authority != "h.example" || len(got.Domains[0].HostRoutes) != 1 {
		t.Fatalf("got %+v", got.Domains)
	}
}

func TestBindingIsConditionalAndTheOnlyWriterOfStatus(t *testing.T) {
	records := newRecords(t)
	put := func(changes []Record) {
		for _, r := range changes {
			records[r.Name] = r
		}
	}
	first, err := Bind(records, RouteBinding{"r", 1}, 0)
	if err != nil {
		t.Fatal(err)
	}
	put(first)
	if _, err := Bind(records, RouteBinding{"r", 0}, 0); apierror.KindOf(err) != apierror.Conflict {
		t.Fatalf("a second binding of one revision: %v", err)
	}
	for i := range 2 { // once more, and also after the operator's next change
		if again, err := Bind(records, RouteBinding{"r", 1}, 0); err != nil || len(again) != 0 {
			t.Fatalf("the binding that stands, sent again: %v, %v", again, err)
		}
		if err := apply(t, records, patch("", route("r", "/q/", "a", 19+i), "")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Bind(records, RouteBinding{"r", 1}, 1); err != nil {
		t.Fatalf("a new binding of the next revision: %v", err)
	}
	if s := (&Reader{}).List(records)[0].Status; s != (Status{PhaseScheduled, 1}) {
		t.Fatalf("a change of the route moved it: %+v", s)
	}
	if err := apply(t, records, patch("", "", `{"name":"r","generation":21}`)); err != nil {
		t.Fatal(err)
	}
	if !records["binding/r"].Dropped {
		t.Fatal("binding outlives its route")
	}
	if _, err := Bind(records, RouteBinding{"r", 1}, 0); apierror.KindOf(err) != apierror.Conflict {
		t.Fatalf("a binding of a route that is gone, sent again: %v", err)
	}
	if err := apply(t, records, patch("", route("r", "/q/", "a", 22), "")); err != nil {
		t.Fatal(err)
	}
	if s := (&Reader{}).List(records)[0].Status; s.Phase != PhaseNew {
		t.Fatalf("a new route begins as %+v", s)
	}
}

func TestLookupTakesLongestPrefix(t *testing.T) {
	records := newRecords(t)
	if err := apply(t, records, patch("", route("long", "/p/q/", "a", 9)+","+route("s", "/s/", "a", 9), "")); err != nil {
		t.Fatal(err)
	}
	table := (&Builder{}).Build(records)
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/p/x", "r"}, {"h.example", "/p/q/x", "long"}, {"h.example:80", "/p/q", "r"},
		{"H.Example", "/s/", "s"}, {"h.example", "/p", ""}, {"other", "/p/x", ""},
	} {
		got := ""
		if r := table.Lookup(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: got %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// What was refused must leave no trace, even where the next call uses the same
// generation.
func TestRefusedItemIsNotCached(t *testing.T) {
	records := newRecords(t)
	reader := &Reader{}
	apply := func(body string) error {
		c, err := Read([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		changes, err := c.Apply(records, reader)
		for _, r := range changes {
			records[r.Name] = r
		}
		return err
	}
	if err := apply(patch("", route("n", "/p/", "a", 9), "")); err == nil {
		t.Fatal("two routes at one place")
	}
	if err := apply(patch("", route("n", "/n/", "a", 9), "")); err != nil {
		t.Fatal(err)
	}
	if routes := reader.List(records); len(routes) != 2 || routes[0].PathPrefix != "/n/" {
		t.Fatalf("%+v", routes[0])
	}
}

func TestPlanReportsEffectsWithoutApplying(t *testing.T) {
	records := newRecords(t)
	before := fmt.Sprint(records)
	body := patch(fmt.Sprintf(serviceJSON, 7), route("r", "/new/", "a", 9)+","+route("n", "/n/", "a", 1), `{"name":"gone","generation":3}`)
	c, err := Read([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	got, err := c.Plan(records, &Reader{})
	want := []Step{{"service/a", "nothing", 7, 7}, {"route/r", "change", 7, 9}, {"route/n", "add", 0, 1}, {"route/gone", "nothing", 0, 3}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v %+v", err, got)
	}
	if fmt.Sprint(records) != before {
		t.Fatal("the plan was carried out")
	}
}

// An order that may be one sent again, as the newest like it is recent, counts for what is possible only.
func TestOverlappingEvacuations(t *testing.T) {
	const evacuate, withdraw = true, false
	type step struct {
		evacuate, recent  bool
		certain, possible uint64
	}
	for name, steps := range map[string][]step{
		"asked, sent again, withdrawn":         {{evacuate, false, 1, 1}, {evacuate, true, 1, 2}, {withdraw, false, 0, 1}},
		"two asked, long after each other":     {{evacuate, false, 1, 1}, {evacuate, false, 2, 2}, {withdraw, false, 1, 1}, {withdraw, false, 0, 0}},
		"a withdrawal sent again":              {{evacuate, false, 1, 1}, {evacuate, false, 2, 2}, {withdraw, false, 1, 1}, {withdraw, true, 0, 1}},
		"evacuated, withdrawn, evacuated":      {{evacuate, false, 1, 1}, {withdraw, false, 0, 0}, {evacuate, true, 1, 1}},
		"evacuated again out of doubt":         {{evacuate, false, 1, 1}, {evacuate, true, 1, 2}, {withdraw, false, 0, 1}, {evacuate, true, 1, 2}},
		"withdrawn again after a later asking": {{evacuate, false, 1, 1}, {withdraw, false, 0, 0}, {evacuate, true, 1, 1}, {withdraw, true, 0, 1}},
		"withdrawn without being evacuated":    {{withdraw, false, 0, 0}, {withdraw, true, 0, 0}, {evacuate, true, 1, 1}},
	} {
		records := map[string]Record{}
		for i, s := range steps {
			id := EvacuationOrderID(uint64(i+1)<<2, s.evacuate)
			o := EvacuationOrder{Zone: "z", Evacuate: s.evacuate, ID: id, Recent: func(uint64) bool { return s.recent }}
			changes, err := Evacuation(records, o)
			if err != nil || len(changes) != 1 {
				t.Fatalf("%s, step %d: %v, %v", name, i, changes, err)
			}
			r := changes[0]
			records[r.Name] = r
			e := decodeEvacuation(r)
			if e.minActive != s.certain || e.maxActive != s.possible || r.Dropped != (s.possible == 0) || InDoubt(r) != (s.certain == 0 && s.possible > 0) {
				t.Errorf("%s, step %d: %+v", name, i, e)
			}
			// Another owner that is passed the same call knows it from the record.
			if again, err := Evacuation(records, o); len(again) > 0 || err != nil {
				t.Fatalf("%s, step %d was carried out twice: %+v", name, i, again)
			}
		}
	}
}

// A zone's doubt ends on the generation that it was seen on, and no other.
func TestDoubtEndsOnlyOnSeenGeneration(t *testing.T) {
	doubtful := evacuation{maxActive: 2, orders: []uint64{5, 7}}.encodeRecord("evacuation/z", 3)
	for name, c := range map[string]struct {
		record     Record
		generation uint64
		ends       bool
	}{
		"as it was seen":      {doubtful, 3, true},
		"changed since":       {doubtful, 2, false},
		"certain":             {evacuation{maxActive: 2, minActive: 1}.encodeRecord("evacuation/z", 3), 3, false},
		"taken back":          {evacuation{}.encodeRecord("evacuation/z", 3), 3, false},
		"an earlier release":  {Record{Name: "evacuation/z", Gen: 3, Data: []byte{2, 1, 2, 3, 4, 5, 6, 7, 8}}, 3, false},
		"one without content": {Record{Name: "evacuation/z", Gen: 3}, 3, false},
	} {
		changes := EndDoubt(map[string]Record{"evacuation/z": c.record}, "evacuation/z", c.generation)
		if ends := len(changes) == 1; ends != c.ends {
			t.Errorf("%s: %+v", name, changes)
		} else if ends && (!changes[0].Dropped || changes[0].Gen != 4 || !reflect.DeepEqual(EvacuationOrders(changes[0]), []uint64{5, 7})) {
			t.Errorf("%s: %+v", name, changes[0])
		}
	}
}

func TestOrderOnOutdatedGenerationIsRefused(t *testing.T) {
	records := map[string]Record{}
	basis := func(generation uint64) *uint64 { return &generation }
	for i, c := range []struct {
		order     EvacuationOrder
		refused   bool
		evacuated bool
	}{
		{EvacuationOrder{Evacuate: true, ID: 1, Basis: basis(0)}, false, true},
		{EvacuationOrder{Evacuate: true, ID: 1, Basis: basis(0)}, false, true}, // passed on again
		{EvacuationOrder{ID: 2, Basis: basis(1)}, false, false},
		{EvacuationOrder{Evacuate: true, ID: 3, Basis: basis(2)}, false, true},
		{EvacuationOrder{ID: 4, Basis: basis(1)}, true, true}, // a withdrawal of the first evacuation, late
		{EvacuationOrder{ID: 4, Basis: basis(4)}, true, true},
		{EvacuationOrder{ID: 5, Basis: basis(3)}, false, false},
		{EvacuationOrder{Evacuate: true, ID: 6, Basis: basis(3)}, true, false}, // an evacuation, late
		{EvacuationOrder{Evacuate: true, ID: 7}, false, true},                  // an earlier release tells no basis
	} {
		c.order.Zone = "z"
		changes, err := Evacuation(records, c.order)
		if refused := apierror.KindOf(err) == apierror.Outdated && err != nil; refused != c.refused {
			t.Fatalf("step %d: %v", i, err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
		if records["evacuation/z"].Dropped == c.evacuated {
			t.Fatalf("step %d: %+v", i, records)
		}
	}
}

// A split gives each of its services its share of the requests, and one without a share none.
func TestSplitsKeepTheirShares(t *testing.T) {
	r := Route{Split: []Share{{Target: "a", Share: 90}, {Target: "none", Share: 0}, {Target: "b", Share: 6}, {Target: "c", Share: 4}, {Target: "last", Share: 0}}}
	const draws = 1000
	got := map[string]int{}
	for i := range draws {
		got[r.Choose(float64(i)/draws)]++
	}
	for target, share := range map[string]int{"a": 900, "b": 60, "c": 40, "none": 0, "last": 0} {
		if off := got[target] - share; off < -1 || off > 1 {
			t.Errorf("%s gets %d of %d", target, got[target], draws)
		}
	}
	if alone := (&Route{Target: "a"}).Choose(.5); alone != "a" {
		t.Errorf("a route without a split goes to %q", alone)
	}
}
