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

func routeJSON(name, prefix, target string, generation int) string {
	return fmt.Sprintf(`{"name":%q,"pathPrefix":%q,"routeKind":"idempotent","deadlineS":1,"target":%q,"maxTries":2,"generation":%d}`, name, prefix, target, generation)
}

// requestBody returns the body of a request with lists of services, routes, and routes to remove.
func requestBody(services, routes, remove string) string {
	return fmt.Sprintf(`{"upsert":{"services":[%s],"domains":[{"authority":"h.example","hostRoutes":[%s]}]},"remove":{"routes":[%s]}}`, services, routes, remove)
}

// apply applies a request to records.
func apply(t *testing.T, records map[string]Record, body string) error {
	t.Helper()
	change, err := ParseRequest([]byte(body))
	if err != nil {
		return err
	}
	changes, err := change.Apply(records, &Decoder{})
	for _, record := range changes {
		records[record.Name] = record
	}
	return err
}

// newRecords returns records with service a and a route r to it, both at generation 7.
func newRecords(t *testing.T) map[string]Record {
	t.Helper()
	records := map[string]Record{}
	if err := apply(t, records, requestBody(fmt.Sprintf(serviceJSON, 7), routeJSON("r", "/p/", "a", 7), "")); err != nil {
		t.Fatal(err)
	}
	return records
}

func TestInvalidRequestsChangeNothing(t *testing.T) {
	valid := requestBody("", routeJSON("n", "/n/", "a", 9), "")
	cases := map[string]string{
		"truncated":         valid[:len(valid)-7],
		"trailing text":     valid + "x",
		"two documents":     valid + valid,
		"not an object":     `[1]`,
		"unknown service":   requestBody("", routeJSON("n", "/n/", "nowhere", 9), ""),
		"relative prefix":   requestBody("", routeJSON("n", "n/", "a", 9), ""),
		"prefix in use":     requestBody("", routeJSON("n", "/p/", "a", 9), ""),
		"unknown kind":      requestBody("", `{"name":"n","pathPrefix":"/n/","routeKind":"odd","deadlineS":1,"target":"a","generation":9}`, ""),
		"shares sum to 0":   requestBody("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":1,"split":[{"target":"a","share":0}],"generation":9}`, ""),
		"deadline of 0":     requestBody("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":0,"target":"a","generation":9}`, ""),
		"wrong type":        requestBody("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":"1","target":"a","generation":9}`, ""),
		"no target":         requestBody("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":1,"generation":9}`, ""),
		"phase in request":  requestBody("", `{"name":"n","pathPrefix":"/n/","routeKind":"mutating","deadlineS":1,"target":"a","generation":9,"phase":"scheduled"}`, ""),
		"listed twice":      requestBody("", routeJSON("n", "/n/", "a", 9)+","+routeJSON("n", "/m/", "a", 9), ""),
		"set and removed":   requestBody("", routeJSON("n", "/n/", "a", 9), `{"name":"n","generation":9}`),
		"service in use":    `{"remove":{"services":[{"name":"a","generation":9}]}}`,
		"valid and invalid": requestBody("", routeJSON("n", "/n/", "a", 9)+","+routeJSON("m", "/m/", "nowhere", 9), ""),
	}
	wantInDetail := map[string]string{"unknown service": "route n: target", "relative prefix": "route n.pathPrefix", "unknown kind": "route n.routeKind",
		"prefix in use": "routes n and r: pathPrefix", "shares sum to 0": "route n: split", "deadline of 0": "route n.deadlineS", "listed twice": "route/n"}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			records := newRecords(t)
			before := fmt.Sprint(records)
			err := apply(t, records, body)
			var apiErr *apierror.Error
			if !errors.As(err, &apiErr) || apiErr.Kind != apierror.InvalidConfig || apiErr.Detail == "" {
				t.Fatalf("got %v", err)
			}
			if want := wantInDetail[name]; !strings.Contains(apiErr.Detail, want) {
				t.Fatalf("%q does not name %q", apiErr.Detail, want)
			}
			if fmt.Sprint(records) != before {
				t.Fatal("part of an invalid request took effect")
			}
		})
	}
}

func TestHighestGenerationWins(t *testing.T) {
	steps := []struct {
		body       string
		wantPrefix string // of route r afterwards, "" if it does not exist
		wantErr    string // of a refusal
	}{
		{requestBody("", routeJSON("r", "/old/", "a", 6), ""), "/p/", ""},
		{requestBody("", routeJSON("r", "/same/", "a", 7), ""), "/p/", "route r: generation 7 "},
		{requestBody("", routeJSON("r", "/p/", "a", 7), ""), "/p/", ""},
		{requestBody("", routeJSON("r", "/new/", "a", 9), ""), "/new/", ""},
		{requestBody("", "", `{"name":"r","generation":8}`), "/new/", ""},
		{requestBody("", "", `{"name":"r","generation":12},{"name":"r","generation":12}`), "", ""},
		{requestBody("", routeJSON("r", "/late/", "a", 11), ""), "", ""},
		{requestBody("", routeJSON("r", "/back/", "a", 13), ""), "/back/", ""},
	}
	records := newRecords(t)
	for i, step := range steps {
		err := apply(t, records, step.body)
		if step.wantErr == "" && err != nil || step.wantErr != "" && (apierror.KindOf(err) != apierror.Conflict || !strings.Contains(err.Error(), step.wantErr)) {
			t.Fatalf("step %d: %v", i, err)
		}
		got := ""
		if routes := (&Decoder{}).Routes(records); len(routes) > 0 {
			got = routes[0].PathPrefix
		}
		if got != step.wantPrefix {
			t.Fatalf("step %d: prefix %q, want %q", i, got, step.wantPrefix)
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

func TestBindIsConditionalAndOnlyWriterOfStatus(t *testing.T) {
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
	for i := range 2 { // sent again at once, and after the operator's next change
		if again, err := Bind(records, RouteBinding{"r", 1}, 0); err != nil || len(again) != 0 {
			t.Fatalf("the current binding, sent again: %v, %v", again, err)
		}
		if err := apply(t, records, requestBody("", routeJSON("r", "/q/", "a", 19+i), "")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Bind(records, RouteBinding{"r", 1}, 1); err != nil {
		t.Fatalf("a new binding of the next revision: %v", err)
	}
	if s := (&Decoder{}).Routes(records)[0].Status; s != (Status{PhaseScheduled, 1}) {
		t.Fatalf("a change of the route changed its status: %+v", s)
	}
	if err := apply(t, records, requestBody("", "", `{"name":"r","generation":21}`)); err != nil {
		t.Fatal(err)
	}
	if !records["binding/r"].Dropped {
		t.Fatal("the binding still exists after its route was removed")
	}
	if _, err := Bind(records, RouteBinding{"r", 1}, 0); apierror.KindOf(err) != apierror.Conflict {
		t.Fatalf("a binding of a removed route, sent again: %v", err)
	}
	if err := apply(t, records, requestBody("", routeJSON("r", "/q/", "a", 22), "")); err != nil {
		t.Fatal(err)
	}
	if s := (&Decoder{}).Routes(records)[0].Status; s.Phase != PhaseNew {
		t.Fatalf("a route that was created again has status %+v", s)
	}
}

func TestLookupTakesLongestPrefix(t *testing.T) {
	records := newRecords(t)
	if err := apply(t, records, requestBody("", routeJSON("long", "/p/q/", "a", 9)+","+routeJSON("s", "/s/", "a", 9), "")); err != nil {
		t.Fatal(err)
	}
	table := (&Builder{}).Build(records)
	for _, testCase := range []struct{ host, path, want string }{
		{"h.example", "/p/x", "r"}, {"h.example", "/p/q/x", "long"}, {"h.example:80", "/p/q", "r"},
		{"H.Example", "/s/", "s"}, {"h.example", "/p", ""}, {"other", "/p/x", ""},
	} {
		got := ""
		if r := table.Lookup(testCase.host, testCase.path); r != nil {
			got = r.Name
		}
		if got != testCase.want {
			t.Errorf("%s%s: got %q, want %q", testCase.host, testCase.path, got, testCase.want)
		}
	}
}

// A refused item must not stay in the Decoder's cache, since the next request may use the same generation.
func TestRefusedItemIsNotCached(t *testing.T) {
	records := newRecords(t)
	decoder := &Decoder{}
	apply := func(body string) error {
		change, err := ParseRequest([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		changes, err := change.Apply(records, decoder)
		for _, r := range changes {
			records[r.Name] = r
		}
		return err
	}
	if err := apply(requestBody("", routeJSON("n", "/p/", "a", 9), "")); err == nil {
		t.Fatal("a second route with the same host and prefix was accepted")
	}
	if err := apply(requestBody("", routeJSON("n", "/n/", "a", 9), "")); err != nil {
		t.Fatal(err)
	}
	if routes := decoder.Routes(records); len(routes) != 2 || routes[0].PathPrefix != "/n/" {
		t.Fatalf("%+v", routes[0])
	}
}

func TestPlanReportsEffectsWithoutApplying(t *testing.T) {
	records := newRecords(t)
	before := fmt.Sprint(records)
	body := requestBody(fmt.Sprintf(serviceJSON, 7), routeJSON("r", "/new/", "a", 9)+","+routeJSON("n", "/n/", "a", 1), `{"name":"gone","generation":3}`)
	change, err := ParseRequest([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	got, err := change.Plan(records, &Decoder{})
	want := []ItemEffect{{"service/a", "nothing", 7, 7}, {"route/r", "change", 7, 9}, {"route/n", "add", 0, 1}, {"route/gone", "nothing", 0, 3}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v %+v", err, got)
	}
	if fmt.Sprint(records) != before {
		t.Fatal("the plan changed records")
	}
}

// An evacuation that may be a resend, because a like order is recent, raises only maxActive; a withdrawal
// that may be one lowers only minActive.
func TestOverlappingEvacuations(t *testing.T) {
	const evacuate, withdraw = true, false
	type step struct {
		evacuate, recent     bool
		minActive, maxActive uint64
	}
	for name, steps := range map[string][]step{
		"evacuated, sent again, withdrawn":    {{evacuate, false, 1, 1}, {evacuate, true, 1, 2}, {withdraw, false, 0, 1}},
		"evacuated twice at long intervals":   {{evacuate, false, 1, 1}, {evacuate, false, 2, 2}, {withdraw, false, 1, 1}, {withdraw, false, 0, 0}},
		"a withdrawal sent again":             {{evacuate, false, 1, 1}, {evacuate, false, 2, 2}, {withdraw, false, 1, 1}, {withdraw, true, 0, 1}},
		"evacuated, withdrawn, evacuated":     {{evacuate, false, 1, 1}, {withdraw, false, 0, 0}, {evacuate, true, 1, 1}},
		"evacuated again while in doubt":      {{evacuate, false, 1, 1}, {evacuate, true, 1, 2}, {withdraw, false, 0, 1}, {evacuate, true, 1, 2}},
		"withdrawn again after a later order": {{evacuate, false, 1, 1}, {withdraw, false, 0, 0}, {evacuate, true, 1, 1}, {withdraw, true, 0, 1}},
		"withdrawn without being evacuated":   {{withdraw, false, 0, 0}, {withdraw, true, 0, 0}, {evacuate, true, 1, 1}},
	} {
		records := map[string]Record{}
		for i, step := range steps {
			id := EvacuationOrderID(uint64(i+1)<<2, step.evacuate)
			order := EvacuationOrder{Zone: "z", Evacuate: step.evacuate, ID: id, Recent: func(uint64) bool { return step.recent }}
			changes, err := ApplyEvacuationOrder(records, order)
			if err != nil || len(changes) != 1 {
				t.Fatalf("%s, step %d: %v, %v", name, i, changes, err)
			}
			record := changes[0]
			records[record.Name] = record
			got := decodeEvacuation(record)
			if got.minActive != step.minActive || got.maxActive != step.maxActive || record.Dropped != (step.maxActive == 0) || InDoubt(record) != (step.minActive == 0 && step.maxActive > 0) {
				t.Errorf("%s, step %d: %+v", name, i, got)
			}
			// Another owner that the same order is forwarded to finds its ID in the record.
			if again, err := ApplyEvacuationOrder(records, order); len(again) > 0 || err != nil {
				t.Fatalf("%s, step %d was executed twice: %+v", name, i, again)
			}
		}
	}
}

// ResolveDoubt ends the doubt about a zone only at the generation at which it was seen.
func TestDoubtEndsOnlyOnSeenGeneration(t *testing.T) {
	inDoubt := evacuation{maxActive: 2, orders: []uint64{5, 7}}.encodeRecord("evacuation/z", 3)
	for name, testCase := range map[string]struct {
		record     Record
		generation uint64
		ends       bool
	}{
		"unchanged":          {inDoubt, 3, true},
		"changed since":      {inDoubt, 2, false},
		"certain":            {evacuation{maxActive: 2, minActive: 1}.encodeRecord("evacuation/z", 3), 3, false},
		"not evacuated":      {evacuation{}.encodeRecord("evacuation/z", 3), 3, false},
		"an earlier release": {Record{Name: "evacuation/z", Gen: 3, Data: []byte{2, 1, 2, 3, 4, 5, 6, 7, 8}}, 3, false},
		"no content":         {Record{Name: "evacuation/z", Gen: 3}, 3, false},
	} {
		changes := ResolveDoubt(map[string]Record{"evacuation/z": testCase.record}, "evacuation/z", testCase.generation)
		if ends := len(changes) == 1; ends != testCase.ends {
			t.Errorf("%s: %+v", name, changes)
		} else if ends && (!changes[0].Dropped || changes[0].Gen != 4 || !reflect.DeepEqual(EvacuationOrders(changes[0]), []uint64{5, 7})) {
			t.Errorf("%s: %+v", name, changes[0])
		}
	}
}

func TestOrderOnOutdatedGenerationIsRefused(t *testing.T) {
	records := map[string]Record{}
	basis := func(generation uint64) *uint64 { return &generation }
	for i, step := range []struct {
		order     EvacuationOrder
		refused   bool
		evacuated bool
	}{
		{EvacuationOrder{Evacuate: true, ID: 1, BaseGeneration: basis(0)}, false, true},
		{EvacuationOrder{Evacuate: true, ID: 1, BaseGeneration: basis(0)}, false, true}, // forwarded again
		{EvacuationOrder{ID: 2, BaseGeneration: basis(1)}, false, false},
		{EvacuationOrder{Evacuate: true, ID: 3, BaseGeneration: basis(2)}, false, true},
		{EvacuationOrder{ID: 4, BaseGeneration: basis(1)}, true, true}, // a withdrawal of the first evacuation, late
		{EvacuationOrder{ID: 4, BaseGeneration: basis(4)}, true, true},
		{EvacuationOrder{ID: 5, BaseGeneration: basis(3)}, false, false},
		{EvacuationOrder{Evacuate: true, ID: 6, BaseGeneration: basis(3)}, true, false}, // an evacuation, late
		{EvacuationOrder{Evacuate: true, ID: 7}, false, true},                           // earlier releases send no basis
	} {
		step.order.Zone = "z"
		changes, err := ApplyEvacuationOrder(records, step.order)
		if refused := apierror.KindOf(err) == apierror.OutdatedOrder && err != nil; refused != step.refused {
			t.Fatalf("step %d: %v", i, err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
		if records["evacuation/z"].Dropped == step.evacuated {
			t.Fatalf("step %d: %+v", i, records)
		}
	}
}

// Choose gives each service of a split its share of the requests, and none to services with a share of 0.
func TestSplitsKeepTheirShares(t *testing.T) {
	route := Route{Split: []Share{{Target: "a", Share: 90}, {Target: "none", Share: 0}, {Target: "b", Share: 6}, {Target: "c", Share: 4}, {Target: "last", Share: 0}}}
	const draws = 1000
	got := map[string]int{}
	for i := range draws {
		got[route.Choose(float64(i)/draws)]++
	}
	for target, share := range map[string]int{"a": 900, "b": 60, "c": 40, "none": 0, "last": 0} {
		if difference := got[target] - share; difference < -1 || difference > 1 {
			t.Errorf("%s gets %d of %d requests", target, got[target], draws)
		}
	}
	if target := (&Route{Target: "a"}).Choose(.5); target != "a" {
		t.Errorf("a route without a split goes to %q", target)
	}
}
