package config

import (
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"

	"madderwing/internal/apierror"
)

// Bodies of calls on items of each kind, with a generation and something that
// differs between contents.
var itemKinds = map[string]struct{ set, drop, named string }{
	"route":   {patch("", `{"name":"n","pathPrefix":"/n/","routeKind":"idempotent","deadlineS":%[2]d,"target":"a","generation":%[1]d}`, ""), `{"remove":{"routes":[{"name":"n","generation":%d}]}}`, "route n"},
	"service": {`{"upsert":{"services":[{"name":"n","maxConns":%[2]d,"generation":%[1]d}]}}`, `{"remove":{"services":[{"name":"n","generation":%d}]}}`, "service n"},
	"tenant":  {`{"upsert":{"tenants":[{"name":"n","apiKeys":["k"],"ratePerS":%[2]d,"generation":%[1]d}]}}`, `{"remove":{"tenants":[{"name":"n","generation":%d}]}}`, "tenant n"},
	"limits":  {`{"upsert":{"limits":{"maxHeaderBytes":%[2]d,"generation":%[1]d}}}`, "", "limits"},
}

// One number has one content: whatever was taken under it is acknowledged as often
// as it comes, and nothing else is.
func TestGenerationIdentifiesOneContent(t *testing.T) {
	const drop = 0 // in the place of a content
	type step struct {
		gen, content int
		refused      bool
	}
	cases := map[string][]step{
		"sent again":                       {{9, 1, false}, {9, 1, false}, {9, 1, false}},
		"another content":                  {{9, 1, false}, {9, 2, true}, {9, 1, false}, {9, 2, true}},
		"a removal":                        {{9, 1, false}, {9, drop, true}, {9, 1, false}},
		"set after a removal":              {{9, 1, false}, {10, drop, false}, {10, 2, true}, {10, drop, false}},
		"removed before it was ever set":   {{9, drop, false}, {9, 1, true}, {9, drop, false}, {10, 1, false}},
		"an older one that was taken":      {{9, 1, false}, {11, 2, false}, {9, 1, false}, {11, 2, false}},
		"an older one that was not":        {{9, 1, false}, {11, 2, false}, {8, 3, false}, {10, 3, false}, {10, drop, false}, {11, 2, false}},
		"an older number, other content":   {{9, 1, false}, {11, 2, false}, {9, 2, true}, {9, drop, true}, {9, 1, false}},
		"an older number, removed":         {{9, 1, false}, {11, drop, false}, {13, 2, false}, {11, 2, true}, {11, drop, false}, {9, 3, true}},
		"older numbers of what is dropped": {{9, 1, false}, {11, 2, false}, {13, drop, false}, {9, 2, true}, {11, 1, true}, {11, drop, true}, {9, 1, false}},
		"numbers beyond the memory":        {{1, 1, false}, {2, 1, false}, {3, 1, false}, {4, 1, false}, {5, 1, false}, {6, 1, false}, {2, 2, true}, {1, 2, false}},
	}
	for kind, k := range itemKinds {
		for name, steps := range cases {
			records := newRecords(t)
			for i, s := range steps {
				body := fmt.Sprintf(k.set, s.gen, max(s.content, 1))
				if s.content == drop {
					if k.drop == "" {
						break // the limits can't be dropped
					}
					body = fmt.Sprintf(k.drop, s.gen)
				}
				before := maps.Clone(records)
				err := apply(t, records, body)
				if !s.refused {
					if err != nil {
						t.Errorf("%s, %s, step %d: %v", kind, name, i, err)
					}
					continue
				}
				if apierror.KindOf(err) != apierror.Conflict || !strings.Contains(err.Error(), k.named+": ") || !strings.Contains(err.Error(), fmt.Sprintf("generation %d ", s.gen)) {
					t.Errorf("%s, %s, step %d: got %v", kind, name, i, err)
				}
				if !reflect.DeepEqual(records, before) {
					t.Errorf("%s, %s, step %d: took effect", kind, name, i)
				}
			}
		}
	}
}

// What is the same content, and what is not.
func TestContentComparisonIgnoresJSONFormatting(t *testing.T) {
	const first = `{"name":"n","pathPrefix":"/n/","routeKind":"idempotent","deadlineS":2,"split":[{"target":"a","share":10},{"target":"b","share":90}],"note":{"x":[1,0.50],"y":"A<"},"generation":9}`
	at := func(host, item string) string {
		return fmt.Sprintf(`{"upsert":{"domains":[{"authority":%q,"hostRoutes":[%s]}]}}`, host, item)
	}
	swap := func(old, new string) string {
		if !strings.Contains(first, old) {
			t.Fatalf("%s is not in the item", old)
		}
		return strings.Replace(first, old, new, 1)
	}
	for name, c := range map[string]struct {
		body string
		same bool
	}{
		"as it was":            {at("h.example", first), true},
		"host case":            {at("H.Example", first), true},
		"order of keys":        {at("h.example", `{"generation":9,`+strings.TrimSuffix(swap(`{"name"`, `"name"`), `,"generation":9}`)+`}`), true},
		"order of inner keys":  {at("h.example", swap(`{"target":"a","share":10}`, `{"share":10,"target":"a"}`)), true},
		"white space":          {at("h.example", swap(`"deadlineS":2`, "\n \"deadlineS\" : 2")), true},
		"2.0 for 2":            {at("h.example", swap(`"deadlineS":2`, `"deadlineS":2.0`)), true},
		"0.2e1 for 2":          {at("h.example", swap(`"deadlineS":2`, `"deadlineS":0.2e1`)), true},
		"1E+1 for 10":          {at("h.example", swap(`"share":10`, `"share":1E+1`)), true},
		"0.5 for 0.50":         {at("h.example", swap(`0.50`, `0.5`)), true},
		"escaped letters":      {at("h.example", swap(`"A<"`, `"\u0041\u003c"`)), true},
		"another host":         {at("i.example", first), false},
		"another number":       {at("h.example", swap(`"deadlineS":2`, `"deadlineS":20`)), false},
		"a digit far back":     {at("h.example", swap(`0.50`, `0.500000000000000000001`)), false},
		"a sign":               {at("h.example", swap(`[1,`, `[-1,`)), false},
		"a key more":           {at("h.example", swap(`"deadlineS":2`, `"deadlineS":2,"public":true`)), false},
		"an unknown key":       {at("h.example", swap(`"x":[1`, `"z":[1`)), false},
		"a number as a string": {at("h.example", swap(`[1,`, `["1",`)), false},
		"order of a list":      {at("h.example", swap(`{"target":"a","share":10},{"target":"b","share":90}`, `{"target":"b","share":90},{"target":"a","share":10}`)), false},
		"limits by a name":     {`{"upsert":{"limits":{"name":"x","maxHeaderBytes":2,"generation":1}}}`, false},
	} {
		records := newRecords(t)
		if err := apply(t, records, `{"upsert":{"services":[{"name":"b","generation":1}],"limits":{"maxHeaderBytes":1,"generation":1}}}`); err != nil {
			t.Fatal(err)
		}
		if err := apply(t, records, at("h.example", first)); err != nil {
			t.Fatal(err)
		}
		if err := apply(t, records, c.body); c.same && err != nil || !c.same && apierror.KindOf(err) != apierror.Conflict {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// What the system writes into a route is no part of its content, and doesn't make it
// forget; a record of an earlier release has its content and no memory.
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
	put(patch("", route("r", "/p/", "a", 7), ""), false)
	put(patch("", route("r", "/q/", "a", 7), ""), true)
	put(patch("", route("r", "/q/", "a", 9), ""), false)
	bind()
	put(patch("", route("r", "/p/", "a", 7), ""), false)
	put(patch("", route("r", "/q/", "a", 7), ""), true)
	if s := (&Reader{}).List(records)[0].Status; s.Shard != 1 {
		t.Errorf("the route lost its place: %+v", s)
	}

	// As an earlier release wrote it.
	type oldItem struct {
		Host   string `cbor:"1,keyasint,omitempty"`
		Raw    []byte `cbor:"2,keyasint,omitempty"`
		Status Status `cbor:"3,keyasint"`
	}
	records["route/r"] = Record{Name: "route/r", Gen: 9, Data: encode(oldItem{"h.example", []byte(route("r", "/q/", "a", 9)), Status{PhaseNew, -1}})}
	records["route/gone"] = Record{Name: "route/gone", Gen: 9, Dropped: true}
	put(patch("", route("r", "/q/", "a", 9), ""), false)
	put(patch("", route("r", "/z/", "a", 9), ""), true)
	put(patch("", route("r", "/z/", "a", 7), ""), false) // not known any more
	put(patch("", route("gone", "/g/", "a", 9), ""), true)
	put(patch("", "", `{"name":"gone","generation":9}`), false)
}

// In one call: a removal may be named twice, also under two numbers; all else that is
// named twice is no valid call. One item at fault refuses the whole.
func TestGenerationsWithinOneRequest(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		kind apierror.Kind
		ok   bool
	}{
		"one removal twice":               {patch("", "", `{"name":"r","generation":9},{"name":"r","generation":9}`), 0, true},
		"one removal, two numbers":        {patch("", "", `{"name":"r","generation":9},{"name":"r","generation":12}`), 0, true},
		"the higher one first":            {patch("", "", `{"name":"r","generation":12},{"name":"r","generation":9}`), 0, true},
		"set twice, one content":          {patch("", route("n", "/n/", "a", 9)+","+route("n", "/n/", "a", 9), ""), apierror.InvalidConfig, false},
		"set twice, two contents":         {patch("", route("n", "/n/", "a", 9)+","+route("n", "/m/", "a", 9), ""), apierror.InvalidConfig, false},
		"set and removed":                 {patch("", route("n", "/n/", "a", 9), `{"name":"n","generation":9}`), apierror.InvalidConfig, false},
		"the first of two is taken":       {patch("", route("r", "/x/", "a", 7)+","+route("n", "/n/", "a", 9), ""), apierror.Conflict, false},
		"the last of two is taken":        {patch("", route("n", "/n/", "a", 9)+","+route("r", "/x/", "a", 7), ""), apierror.Conflict, false},
		"a removal of what stands beside": {patch("", route("n", "/n/", "a", 9), `{"name":"r","generation":7}`), apierror.Conflict, false},
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
		err = apply(t, records, c.body)
		if c.ok && err != nil || !c.ok && apierror.KindOf(err) != c.kind {
			t.Errorf("%s: %v", name, err)
		}
		if !c.ok && !reflect.DeepEqual(records, before) {
			t.Errorf("%s: took effect", name)
		}
		if c.ok {
			for _, gen := range []uint64{9, 12} {
				if strings.Contains(c.body, fmt.Sprint(gen)) && records["route/r"].Gen < gen {
					t.Errorf("%s: generation %d holds", name, records["route/r"].Gen)
				}
			}
			if err := apply(t, records, c.body); err != nil {
				t.Errorf("%s, sent again: %v", name, err)
			}
		}
	}
}

// A name that is changed for ever takes no more room than one that is changed a few times.
func TestGenerationHistoryIsBounded(t *testing.T) {
	records := newRecords(t)
	size := func() (n int) {
		for _, r := range records {
			n += len(r.Data) + len(r.Name) + recordBytes
		}
		return n
	}
	most := 0
	for gen := 100; gen < 3100; gen++ {
		body := patch("", route("n", fmt.Sprintf("/n%d/", gen%10), "a", gen), "")
		if gen%3 == 2 {
			body = patch("", "", fmt.Sprintf(`{"name":"n","generation":%d}`, gen))
		}
		if err := apply(t, records, body); err != nil {
			t.Fatal(err)
		}
		if gen < 130 {
			most = max(most, size())
		} else if size() > most+maxRemembered { // the numbers themselves grow by a byte
			t.Fatalf("generation %d: %d bytes, at first %d", gen, size(), most)
		}
	}
}

// Eight orders may be under way at once: one that is passed on again after seven others
// of its zone is still known.
func TestEvacuationOrderResentAfterSevenOthers(t *testing.T) {
	records := map[string]Record{}
	ask := func(on bool, id uint64) (changed bool) {
		changes, err := Evacuation(records, EvacuationOrder{Zone: "z", Evacuate: on, ID: id})
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
		return len(changes) > 0
	}
	for id := uint64(1); id <= 8; id++ {
		ask(id%2 == 1, id)
	}
	if ask(true, 1) || !records["evacuation/z"].Dropped {
		t.Error("the first of eight orders was carried out twice")
	}
}

// Thousands of names that come and go: none of them comes back by an old change, and
// each leaves a bounded trace, all of which counts against MaxBytes.
func TestRemovedNamesLeaveSmallTombstones(t *testing.T) {
	const names, trace = 2000, 32 // bytes of a dropped route's memory, at most
	records, reader := newRecords(t), &Reader{}
	take := func(body string) {
		t.Helper()
		c, err := Read([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		changes, err := c.Apply(records, reader)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
	}
	set := func(i int) string { return patch("", route(fmt.Sprintf("n%d", i), "/n/", "a", 100), "") }
	for i := range names {
		take(set(i))
		changes, err := Bind(records, RouteBinding{fmt.Sprintf("n%d", i), 0}, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range changes {
			records[r.Name] = r
		}
		take(patch("", "", fmt.Sprintf(`{"name":"n%d","generation":200}`, i)))
	}
	for i := 0; i < names; i += 7 {
		take(set(i))
	}
	if routes := reader.List(records); len(routes) != 1 {
		t.Errorf("%d routes stand, not 1", len(routes))
	}
	for name, r := range records {
		if r.Dropped && len(r.Data) > trace {
			t.Fatalf("%s leaves %d bytes", name, len(r.Data))
		}
	}
	if want := 2 + 2*names; len(records) != want { // a route and its binding each
		t.Errorf("%d records, not %d", len(records), want)
	}
}
