package config

import (
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"

	"madderwing/internal/apierror"
)

// itemKinds has requests that set and remove an item of each kind, with a placeholder for the generation
// and one for a number that makes contents differ, and the item's name in error messages.
var itemKinds = map[string]struct{ set, remove, errorName string }{
	"route":   {requestBody("", `{"name":"n","pathPrefix":"/n/","routeKind":"idempotent","deadlineS":%[2]d,"target":"a","generation":%[1]d}`, ""), `{"remove":{"routes":[{"name":"n","generation":%d}]}}`, "route n"},
	"service": {`{"upsert":{"services":[{"name":"n","maxConns":%[2]d,"generation":%[1]d}]}}`, `{"remove":{"services":[{"name":"n","generation":%d}]}}`, "service n"},
	"tenant":  {`{"upsert":{"tenants":[{"name":"n","apiKeys":["k"],"ratePerS":%[2]d,"generation":%[1]d}]}}`, `{"remove":{"tenants":[{"name":"n","generation":%d}]}}`, "tenant n"},
	"limits":  {`{"upsert":{"limits":{"maxHeaderBytes":%[2]d,"generation":%[1]d}}}`, "", "limits"},
}

// As long as a generation is in the history it identifies one content: that content is acknowledged each time
// it is sent again, and any other is refused.
func TestGenerationIdentifiesOneContent(t *testing.T) {
	const drop = 0 // as content: a removal
	type step struct {
		generation, content int
		refused             bool
	}
	cases := map[string][]step{
		"sent again":                        {{9, 1, false}, {9, 1, false}, {9, 1, false}},
		"another content":                   {{9, 1, false}, {9, 2, true}, {9, 1, false}, {9, 2, true}},
		"a removal":                         {{9, 1, false}, {9, drop, true}, {9, 1, false}},
		"set after a removal":               {{9, 1, false}, {10, drop, false}, {10, 2, true}, {10, drop, false}},
		"removed before it was set":         {{9, drop, false}, {9, 1, true}, {9, drop, false}, {10, 1, false}},
		"an accepted older generation":      {{9, 1, false}, {11, 2, false}, {9, 1, false}, {11, 2, false}},
		"an unknown older generation":       {{9, 1, false}, {11, 2, false}, {8, 3, false}, {10, 3, false}, {10, drop, false}, {11, 2, false}},
		"older generation, other content":   {{9, 1, false}, {11, 2, false}, {9, 2, true}, {9, drop, true}, {9, 1, false}},
		"older generation of a removal":     {{9, 1, false}, {11, drop, false}, {13, 2, false}, {11, 2, true}, {11, drop, false}, {9, 3, true}},
		"older generations after a removal": {{9, 1, false}, {11, 2, false}, {13, drop, false}, {9, 2, true}, {11, 1, true}, {11, drop, true}, {9, 1, false}},
		"generations beyond the history":    {{1, 1, false}, {2, 1, false}, {3, 1, false}, {4, 1, false}, {5, 1, false}, {6, 1, false}, {2, 2, true}, {1, 2, false}},
	}
	for kind, kindRequests := range itemKinds {
		for name, steps := range cases {
			records := newRecords(t)
			for i, step := range steps {
				body := fmt.Sprintf(kindRequests.set, step.generation, max(step.content, 1))
				if step.content == drop {
					if kindRequests.remove == "" {
						break // the limits can't be removed
					}
					body = fmt.Sprintf(kindRequests.remove, step.generation)
				}
				before := maps.Clone(records)
				err := apply(t, records, body)
				if !step.refused {
					if err != nil {
						t.Errorf("%s, %s, step %d: %v", kind, name, i, err)
					}
					continue
				}
				if apierror.KindOf(err) != apierror.Conflict || !strings.Contains(err.Error(), kindRequests.errorName+": ") || !strings.Contains(err.Error(), fmt.Sprintf("generation %d ", step.generation)) {
					t.Errorf("%s, %s, step %d: got %v", kind, name, i, err)
				}
				if !reflect.DeepEqual(records, before) {
					t.Errorf("%s, %s, step %d: took effect", kind, name, i)
				}
			}
		}
	}
}

// Contents are equal if host and JSON value are; formatting does not count, all else does.
func TestContentComparisonIgnoresJSONFormatting(t *testing.T) {
	const first = `{"name":"n","pathPrefix":"/n/","routeKind":"idempotent","deadlineS":2,"split":[{"target":"a","share":10},{"target":"b","share":90}],"note":{"x":[1,0.50],"y":"A<"},"generation":9}`
	onHost := func(host, item string) string {
		return fmt.Sprintf(`{"upsert":{"domains":[{"authority":%q,"hostRoutes":[%s]}]}}`, host, item)
	}
	withChange := func(old, new string) string {
		if !strings.Contains(first, old) {
			t.Fatalf("%s is not in the item", old)
		}
		return strings.Replace(first, old, new, 1)
	}
	for name, testCase := range map[string]struct {
		body string
		same bool
	}{
		"unchanged":                {onHost("h.example", first), true},
		"host case":                {onHost("H.Example", first), true},
		"order of keys":            {onHost("h.example", `{"generation":9,`+strings.TrimSuffix(withChange(`{"name"`, `"name"`), `,"generation":9}`)+`}`), true},
		"order of inner keys":      {onHost("h.example", withChange(`{"target":"a","share":10}`, `{"share":10,"target":"a"}`)), true},
		"white space":              {onHost("h.example", withChange(`"deadlineS":2`, "\n \"deadlineS\" : 2")), true},
		"2.0 for 2":                {onHost("h.example", withChange(`"deadlineS":2`, `"deadlineS":2.0`)), true},
		"0.2e1 for 2":              {onHost("h.example", withChange(`"deadlineS":2`, `"deadlineS":0.2e1`)), true},
		"1E+1 for 10":              {onHost("h.example", withChange(`"share":10`, `"share":1E+1`)), true},
		"0.5 for 0.50":             {onHost("h.example", withChange(`0.50`, `0.5`)), true},
		"escaped letters":          {onHost("h.example", withChange(`"A<"`, `"\u0041\u003c"`)), true},
		"another host":             {onHost("i.example", first), false},
		"another number":           {onHost("h.example", withChange(`"deadlineS":2`, `"deadlineS":20`)), false},
		"a distant digit":          {onHost("h.example", withChange(`0.50`, `0.500000000000000000001`)), false},
		"a sign":                   {onHost("h.example", withChange(`[1,`, `[-1,`)), false},
		"an additional key":        {onHost("h.example", withChange(`"deadlineS":2`, `"deadlineS":2,"public":true`)), false},
		"a key outside the schema": {onHost("h.example", withChange(`"x":[1`, `"z":[1`)), false},
		"a number as a string":     {onHost("h.example", withChange(`[1,`, `["1",`)), false},
		"order of a list":          {onHost("h.example", withChange(`{"target":"a","share":10},{"target":"b","share":90}`, `{"target":"b","share":90},{"target":"a","share":10}`)), false},
		"limits with a name":       {`{"upsert":{"limits":{"name":"x","maxHeaderBytes":2,"generation":1}}}`, false},
	} {
		records := newRecords(t)
		if err := apply(t, records, `{"upsert":{"services":[{"name":"b","generation":1}],"limits":{"maxHeaderBytes":1,"generation":1}}}`); err != nil {
			t.Fatal(err)
		}
		if err := apply(t, records, onHost("h.example", first)); err != nil {
			t.Fatal(err)
		}
		if err := apply(t, records, testCase.body); testCase.same && err != nil || !testCase.same && apierror.KindOf(err) != apierror.Conflict {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The status that Bind writes into a route is not part of its content, and its history stays. A record of an
// earlier release has content but no history.
func TestBindingDoesNotChangeContent(t *testing.T) {
	records := newRecords(t)
	put := func(body string, refused bool) {
		t.Helper()
		if err := apply(t, records, body); refused != (apierror.KindOf(err) == apierror.Conflict) || !refused && err != nil {
			t.Errorf("%s: %v", body, err)
		}
	}
	bind := func() {
		changes, err := Bind(records, RouteBinding{"r", 1}, records["route/r"].Rev)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
	}
	bind()
	put(requestBody("", routeJSON("r", "/p/", "a", 7), ""), false)
	put(requestBody("", routeJSON("r", "/q/", "a", 7), ""), true)
	put(requestBody("", routeJSON("r", "/q/", "a", 9), ""), false)
	bind()
	put(requestBody("", routeJSON("r", "/p/", "a", 7), ""), false)
	put(requestBody("", routeJSON("r", "/q/", "a", 7), ""), true)
	if s := (&Decoder{}).Routes(records)[0].Status; s.Shard != 1 {
		t.Errorf("the route changed its shard: %+v", s)
	}

	// As an earlier release wrote it.
	type oldItem struct {
		Host   string `cbor:"1,keyasint,omitempty"`
		Raw    []byte `cbor:"2,keyasint,omitempty"`
		Status Status `cbor:"3,keyasint"`
	}
	records["route/r"] = Record{Name: "route/r", Gen: 9, Data: encode(oldItem{"h.example", []byte(routeJSON("r", "/q/", "a", 9)), Status{PhaseNew, -1}})}
	records["route/gone"] = Record{Name: "route/gone", Gen: 9, Dropped: true}
	put(requestBody("", routeJSON("r", "/q/", "a", 9), ""), false)
	put(requestBody("", routeJSON("r", "/z/", "a", 9), ""), true)
	put(requestBody("", routeJSON("r", "/z/", "a", 7), ""), false) // not in the history
	put(requestBody("", routeJSON("gone", "/g/", "a", 9), ""), true)
	put(requestBody("", "", `{"name":"gone","generation":9}`), false)
}

// Within one request a removal may be listed twice, also with two generations; any other item that is
// listed twice makes the request invalid. One conflicting item refuses the whole request.
func TestGenerationsWithinOneRequest(t *testing.T) {
	for name, testCase := range map[string]struct {
		body  string
		kind  apierror.Kind
		valid bool
	}{
		"one removal twice":            {requestBody("", "", `{"name":"r","generation":9},{"name":"r","generation":9}`), 0, true},
		"one removal, two generations": {requestBody("", "", `{"name":"r","generation":9},{"name":"r","generation":12}`), 0, true},
		"the higher generation first":  {requestBody("", "", `{"name":"r","generation":12},{"name":"r","generation":9}`), 0, true},
		"set twice, same content":      {requestBody("", routeJSON("n", "/n/", "a", 9)+","+routeJSON("n", "/n/", "a", 9), ""), apierror.InvalidConfig, false},
		"set twice, two contents":      {requestBody("", routeJSON("n", "/n/", "a", 9)+","+routeJSON("n", "/m/", "a", 9), ""), apierror.InvalidConfig, false},
		"set and removed":              {requestBody("", routeJSON("n", "/n/", "a", 9), `{"name":"n","generation":9}`), apierror.InvalidConfig, false},
		"the first of two conflicts":   {requestBody("", routeJSON("r", "/x/", "a", 7)+","+routeJSON("n", "/n/", "a", 9), ""), apierror.Conflict, false},
		"the last of two conflicts":    {requestBody("", routeJSON("n", "/n/", "a", 9)+","+routeJSON("r", "/x/", "a", 7), ""), apierror.Conflict, false},
		"a removal conflicts":          {requestBody("", routeJSON("n", "/n/", "a", 9), `{"name":"r","generation":7}`), apierror.Conflict, false},
	} {
		records := newRecords(t)
		bound, err := Bind(records, RouteBinding{"r", 1}, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range bound {
			records[r.Name] = r
		}
		before := maps.Clone(records)
		err = apply(t, records, testCase.body)
		if testCase.valid && err != nil || !testCase.valid && apierror.KindOf(err) != testCase.kind {
			t.Errorf("%s: %v", name, err)
		}
		if !testCase.valid && !reflect.DeepEqual(records, before) {
			t.Errorf("%s: took effect", name)
		}
		if testCase.valid {
			for _, generation := range []uint64{9, 12} {
				if strings.Contains(testCase.body, fmt.Sprint(generation)) && records["route/r"].Gen < generation {
					t.Errorf("%s: the current generation is %d", name, records["route/r"].Gen)
				}
			}
			if err := apply(t, records, testCase.body); err != nil {
				t.Errorf("%s, sent again: %v", name, err)
			}
		}
	}
}

// An item that changes without end takes no more space than one that has changed a few times.
func TestGenerationHistoryIsBounded(t *testing.T) {
	records := newRecords(t)
	totalBytes := func() (bytes int) {
		for _, r := range records {
			bytes += len(r.Data) + len(r.Name) + recordBytes
		}
		return bytes
	}
	maxBytes := 0
	for generation := 100; generation < 3100; generation++ {
		body := requestBody("", routeJSON("n", fmt.Sprintf("/n%d/", generation%10), "a", generation), "")
		if generation%3 == 2 {
			body = requestBody("", "", fmt.Sprintf(`{"name":"n","generation":%d}`, generation))
		}
		if err := apply(t, records, body); err != nil {
			t.Fatal(err)
		}
		if generation < 130 {
			maxBytes = max(maxBytes, totalBytes())
		} else if totalBytes() > maxBytes+maxHistory { // each generation in the history may grow by a byte
			t.Fatalf("generation %d: %d bytes, at most %d before generation 130", generation, totalBytes(), maxBytes)
		}
	}
}

// Eight orders may be in progress at the same time: an order that is forwarded again after seven others of
// its zone is still recognized.
func TestEvacuationOrderForwardedAfterSevenOthers(t *testing.T) {
	records := map[string]Record{}
	order := func(evacuate bool, id uint64) (changed bool) {
		changes, err := ApplyEvacuationOrder(records, EvacuationOrder{Zone: "z", Evacuate: evacuate, ID: id})
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
		return len(changes) > 0
	}
	for id := uint64(1); id <= 8; id++ {
		order(id%2 == 1, id)
	}
	if order(true, 1) || !records["evacuation/z"].Dropped {
		t.Error("the first of eight orders was executed twice")
	}
}

// Of thousands of routes that are added and removed, none is created again by an old change, and each leaves only
// small tombstones.
func TestRemovedNamesLeaveSmallTombstones(t *testing.T) {
	const names, maxTombstoneData = 2000, 32 // maxTombstoneData in bytes
	records, decoder := newRecords(t), &Decoder{}
	mustApply := func(body string) {
		t.Helper()
		change, err := ParseRequest([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		changes, err := change.Apply(records, decoder)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
	}
	upsert := func(i int) string { return requestBody("", routeJSON(fmt.Sprintf("n%d", i), "/n/", "a", 100), "") }
	for i := range names {
		mustApply(upsert(i))
		changes, err := Bind(records, RouteBinding{fmt.Sprintf("n%d", i), 0}, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
		mustApply(requestBody("", "", fmt.Sprintf(`{"name":"n%d","generation":200}`, i)))
	}
	for i := 0; i < names; i += 7 {
		mustApply(upsert(i))
	}
	if routes := decoder.Routes(records); len(routes) != 1 {
		t.Errorf("%d routes exist, not 1", len(routes))
	}
	for name, r := range records {
		if r.Dropped && len(r.Data) > maxTombstoneData {
			t.Fatalf("the tombstone of %s has %d bytes of data", name, len(r.Data))
		}
	}
	if want := 2 + 2*names; len(records) != want { // a route and its binding each
		t.Errorf("%d records, not %d", len(records), want)
	}
}
