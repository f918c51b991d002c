package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"madderwing/internal/apierror"
)

// configOwner is the owner's copy of the configuration.
type configOwner struct {
	t       *testing.T
	records map[string]Record
	decoder *Decoder
}

func newConfigOwner(t *testing.T) *configOwner { return &configOwner{t, newRecords(t), &Decoder{}} }

// call parses and applies a request.
func (o *configOwner) call(body string) error {
	o.t.Helper()
	change, err := ParseRequest([]byte(body))
	if err != nil {
		o.t.Fatal(err)
	}
	changes, err := change.Apply(o.records, o.decoder)
	o.put(changes)
	return err
}

func (o *configOwner) put(changes []Record) {
	for _, r := range changes {
		if o.records[r.Name] = r; r.Erased {
			delete(o.records, r.Name)
		}
	}
}

func (o *configOwner) mustCall(body string) {
	o.t.Helper()
	if err := o.call(body); err != nil {
		o.t.Fatal(err)
	}
}

// addAndRemove sets the routes numbered from from to to-1 in one request, binds them, and removes them in a
// second request.
func (o *configOwner) addAndRemove(from, to, generation int) {
	o.t.Helper()
	var add, remove Change
	for i := from; i < to; i++ {
		name := fmt.Sprintf("n%d", i)
		raw := fmt.Sprintf(`{"name":%q,"pathPrefix":"/%[1]s/","routeKind":"idempotent","deadlineS":2,"target":"a","generation":%d}`, name, generation)
		add.upserts = append(add.upserts, Record{Name: routePrefix + name, Gen: uint64(generation),
			Data: encode(Item{Host: "h.example", Raw: []byte(raw), Status: Status{Phase: PhaseNew, Shard: -1}})})
		remove.removals = append(remove.removals, Record{Name: routePrefix + name, Gen: uint64(generation + 1), Dropped: true})
	}
	o.mustApply(&add)
	for i := from; i < to; i++ {
		name := fmt.Sprintf("n%d", i)
		changes, err := Bind(o.records, RouteBinding{name, 0}, o.records[routePrefix+name].Rev)
		if err != nil {
			o.t.Fatal(err)
		}
		o.put(changes)
	}
	o.mustApply(&remove)
}

// mustApply applies a parsed request.
func (o *configOwner) mustApply(c *Change) {
	o.t.Helper()
	changes, err := c.Apply(o.records, o.decoder)
	if err != nil {
		o.t.Fatal(err)
	}
	o.put(changes)
}

func (o *configOwner) liveAndTombstoneBytes() (live, tombstones int) {
	for _, r := range o.records {
		if r.Dropped {
			tombstones += approxSize(r)
		} else {
			live += approxSize(r)
		}
	}
	return live, tombstones
}

// While new items are added and removed without end, all requests succeed, the size of tombstones stays
// bounded, the newest tombstones are kept, and no old change creates an item again. The generations come
// from one counter for all items, or start at the same value for each item.
func TestTombstonesStayBounded(t *testing.T) {
	const names, perRequest, recent, looks = 300_000, 5000, 25_000, 20
	for scheme, generation := range map[string]func(request int) int{
		"one counter for all":  func(request int) int { return 10 + 2*request },
		"one counter per item": func(int) int { return 10 },
	} {
		owner := newConfigOwner(t)
		random := rand.New(rand.NewPCG(1, 2))
		for request := range names / perRequest {
			if scheme == "one counter for all" || request*perRequest < 40_000 {
				owner.addAndRemove(request*perRequest, (request+1)*perRequest, generation(request))
			}
			if live, tombstones := owner.liveAndTombstoneBytes(); tombstones > maxTombstoneBytes || live > 2000 {
				t.Fatalf("%s, request %d: %d live bytes, %d bytes of tombstones", scheme, request, live, tombstones)
			}
			if len(owner.decoder.routes) > 2*perRequest+pruneThreshold {
				t.Fatalf("%s, request %d: the decoder caches %d routes", scheme, request, len(owner.decoder.routes))
			}
			removed := (request + 1) * perRequest
			for range 5 {
				i := max(0, removed-1-random.IntN(recent))
				name := fmt.Sprintf("n%d", i)
				if _, ok := owner.records["route/"+name]; !ok {
					t.Fatalf("%s, request %d: the tombstone of %s is erased", scheme, request, name)
				}
				i = random.IntN(removed)
				name = fmt.Sprintf("n%d", i)
				_ = owner.call(requestBody("", routeJSON(name, "/back/", "a", generation(i/perRequest)), ""))
				if record, ok := owner.records["route/"+name]; ok && !record.Dropped {
					t.Fatalf("%s, request %d: %s exists again", scheme, request, name)
				}
			}
			if scheme != "one counter for all" && Horizon(owner.records) > 0 {
				break // from now on a new item needs a higher generation
			}
		}
		if Horizon(owner.records) == 0 {
			t.Errorf("%s: nothing was purged", scheme)
		}
	}
}

// horizonAt returns a horizon record with a generation for routes.
func horizonAt(generation uint64) Record {
	return Record{Name: horizonName, Gen: 1, Data: encode(horizonData{map[string]uint64{routePrefix: generation}})}
}

// Changes of unknown items, at or below the generation up to which tombstones of their kind were erased.
func TestChangesAtOrBelowPurgedGeneration(t *testing.T) {
	const highestPurged = 100
	for name, testCase := range map[string]struct {
		body    string
		refused bool
		changes bool
	}{
		"an unknown route":              {requestBody("", routeJSON("n", "/n/", "a", highestPurged), ""), true, false},
		"an unknown route, above":       {requestBody("", routeJSON("n", "/n/", "a", highestPurged+1), ""), false, true},
		"its removal":                   {requestBody("", "", `{"name":"n","generation":100}`), false, false},
		"its removal, above":            {requestBody("", "", `{"name":"n","generation":101}`), false, true},
		"an existing route":             {requestBody("", routeJSON("r", "/q/", "a", 9), ""), false, true},
		"an existing route, sent again": {requestBody("", routeJSON("r", "/p/", "a", 7), ""), false, false},
		"removal of an existing route":  {requestBody("", "", `{"name":"r","generation":9}`), false, true},
		"another kind":                  {`{"upsert":{"services":[{"name":"n","generation":1}]}}`, false, true},
		"the limits":                    {`{"upsert":{"limits":{"maxHeaderBytes":1,"generation":1}}}`, false, true},
		"unknown and existing routes":   {requestBody("", routeJSON("r", "/q/", "a", 9)+","+routeJSON("n", "/n/", "a", 3), ""), true, false},
	} {
		owner := newConfigOwner(t)
		owner.records[horizonName] = horizonAt(highestPurged)
		before := maps.Clone(owner.records)
		for range 2 { // a change that is sent again gets the same result
			err := owner.call(testCase.body)
			if testCase.refused && (apierror.KindOf(err) != apierror.Conflict || !strings.Contains(err.Error(), "route n: ") || !strings.Contains(err.Error(), fmt.Sprint(highestPurged))) {
				t.Errorf("%s: got %v", name, err)
			}
			if !testCase.refused && err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if same := fmt.Sprint(before) == fmt.Sprint(owner.records); same == testCase.changes {
			t.Errorf("%s: records changed: %v", name, !same)
		}
	}
}

// addTombstones adds n tombstones of routes, named and ordered by number.
func (o *configOwner) addTombstones(n int, generation func(i int) uint64) {
	for i := range n {
		name := fmt.Sprintf("route/n%d", i)
		o.records[name] = Record{Name: name, Gen: generation(i), Rev: uint64(i + 1), Dropped: true, Data: make([]byte, 20)}
	}
}

// Live records displace tombstones down to minTombstoneBytes and no further.
func TestTombstonesMakeRoomForLiveRecords(t *testing.T) {
	for _, testCase := range []struct {
		liveBytes int
		refused   bool
	}{{MaxBytes / 8, false}, {MaxBytes / 8 * 5, false}, {MaxBytes - minTombstoneBytes - 1<<10, false}, {MaxBytes - minTombstoneBytes + 1<<10, true}} {
		owner := newConfigOwner(t)
		owner.addTombstones(100_000, func(i int) uint64 { return uint64(i) })
		owner.records["service/large"] = Record{Name: "service/large", Gen: 1, Data: make([]byte, testCase.liveBytes)}
		err := owner.call(requestBody("", routeJSON("new", "/new/", "a", 1_000_000), ""))
		if testCase.refused != (apierror.KindOf(err) == apierror.BodyTooLarge) || !testCase.refused && err != nil {
			t.Errorf("%d live bytes: %v", testCase.liveBytes, err)
		}
		if testCase.refused {
			continue
		}
		live, tombstones := owner.liveAndTombstoneBytes()
		wantTombstones := max(minTombstoneBytes, int(float64(min(maxTombstoneBytes, MaxBytes-live))*tombstoneKeepRatio))
		if tombstones > wantTombstones+100 || tombstones < wantTombstones-200 || live+tombstones > MaxBytes {
			t.Errorf("%d live bytes: %d bytes of tombstones are kept, not %d", live, tombstones, wantTombstones)
		}
		oldest := uint64(100_000)
		for _, r := range owner.records {
			if r.Dropped {
				oldest = min(oldest, r.Rev)
			}
		}
		if keptTombstones := 100_000 - int(oldest) + 1; keptTombstones != len(owner.records)-5 { // service, route, large, new, horizon
			t.Errorf("%d live bytes: the oldest tombstone is number %d, of %d records", live, oldest, len(owner.records))
		}
	}
}

// A single tombstone with a generation far above the others is kept, since erasing it would force all new
// items to a generation above it.
func TestTombstoneWithOutlierGenerationIsKept(t *testing.T) {
	const outlier = 1 << 50
	owner := newConfigOwner(t)
	owner.addTombstones(100_000, func(i int) uint64 {
		if i == 7 {
			return outlier
		}
		return uint64(i)
	})
	owner.mustCall(requestBody("", routeJSON("new", "/new/", "a", 200_000), ""))
	if Horizon(owner.records) != 1 {
		t.Fatal("nothing was purged")
	}
	if record := owner.records["route/n7"]; record.Gen != outlier {
		t.Error("the tombstone with the high generation is erased")
	}
	owner.mustCall(requestBody("", routeJSON("newer", "/newer/", "a", 200_000), ""))

	// If all older generations are above the newer ones, the oldest tombstones are erased all the same.
	owner = newConfigOwner(t)
	owner.addTombstones(100_000, func(i int) uint64 { return uint64(200_000 - i) })
	owner.mustCall(requestBody("", routeJSON("new", "/new/", "a", 300_000), ""))
	if _, tombstones := owner.liveAndTombstoneBytes(); tombstones > maxTombstoneBytes {
		t.Errorf("%d bytes of tombstones are kept", tombstones)
	}
}

// Client requests still require an API key after all tenants are removed and tombstones purged.
func TestLastTenantTombstoneIsKept(t *testing.T) {
	owner := newConfigOwner(t)
	for _, name := range []string{"tenant/x", "tenant/y"} {
		owner.records[name] = Record{Name: name, Gen: 1, Dropped: true}
	}
	owner.addTombstones(100_000, func(i int) uint64 { return uint64(i) })
	owner.mustCall(requestBody("", routeJSON("new", "/new/", "a", 200_000), ""))
	_, x := owner.records["tenant/x"]
	_, y := owner.records["tenant/y"]
	if x || !y {
		t.Errorf("tombstones of two tenants, kept: %v, %v; want only the second", x, y)
	}
	if !(&Builder{}).Build(owner.records).RequiresAPIKey {
		t.Error("requests no longer need a key")
	}
}

// Tombstones are numbered in the order of removals, whatever the names and generations.
func TestTombstonesAreNumberedInOrder(t *testing.T) {
	owner := newConfigOwner(t)
	lastNumber := uint64(0)
	for i, name := range []string{"z", "b", "a", "c"} {
		owner.mustCall(requestBody("", routeJSON(name, "/"+name+"/", "a", 50-10*i), ""))
		owner.mustCall(requestBody("", "", fmt.Sprintf(`{"name":%q,"generation":%d}`, name, 51-10*i)))
		if record := owner.records["route/"+name]; record.Rev <= lastNumber {
			t.Errorf("%s has number %d after %d", name, record.Rev, lastNumber)
		}
		lastNumber = owner.records["route/"+name].Rev
	}
}
