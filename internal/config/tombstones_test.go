package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"madderwing/internal/apierror"
)

// model is an owner's copy of the configuration.
type configOwner struct {
	t      *testing.T
	have   map[string]Record
	reader *Reader
}

func newConfigOwner(t *testing.T) *configOwner { return &configOwner{t, newRecords(t), &Reader{}} }

func (o *configOwner) call(body string) error {
	o.t.Helper()
	change, err := Read([]byte(body))
	if err != nil {
		o.t.Fatal(err)
	}
	changes, err := change.Apply(o.have, o.reader)
	o.put(changes)
	return err
}

func (o *configOwner) put(changes []Record) {
	for _, r := range changes {
		if o.have[r.Name] = r; r.Erased {
			delete(o.have, r.Name)
		}
	}
}

func (o *configOwner) mustCall(body string) {
	o.t.Helper()
	if err := o.call(body); err != nil {
		o.t.Fatal(err)
	}
}

// comeAndGo sets routes from one number up to another in a call, places them, and removes them
// in a second call.
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
		changes, err := Bind(o.have, RouteBinding{name, 0}, o.have[routePrefix+name].Rev)
		if err != nil {
			o.t.Fatal(err)
		}
		o.put(changes)
	}
	o.mustApply(&remove)
}

// apply takes a call that was read already.
func (o *configOwner) mustApply(c *Change) {
	o.t.Helper()
	changes, err := c.Apply(o.have, o.reader)
	if err != nil {
		o.t.Fatal(err)
	}
	o.put(changes)
}

func (o *configOwner) liveAndTombstoneBytes() (live, tombstones int) {
	for _, r := range o.have {
		if r.Dropped {
			tombstones += size(r)
		} else {
			live += size(r)
		}
	}
	return live, tombstones
}

// Names come and go for ever: each call is taken, what is kept stays bounded, the newest
// removals are always known, and no old change brings a name back. The generations are
// those of one counter for all items, or of one that each item begins anew.
func TestTombstonesStayBounded(t *testing.T) {
	const names, aCall, recent, looks = 300_000, 5000, 25_000, 20
	for what, generation := range map[string]func(call int) int{
		"one counter":     func(call int) int { return 10 + 2*call },
		"one of each one": func(int) int { return 10 },
	} {
		m := newConfigOwner(t)
		random := rand.New(rand.NewPCG(1, 2))
		for call := range names / aCall {
			if what == "one counter" || call*aCall < 40_000 {
				m.addAndRemove(call*aCall, (call+1)*aCall, generation(call))
			}
			if standing, dropped := m.liveAndTombstoneBytes(); dropped > maxTombstoneBytes || standing > 2000 {
				t.Fatalf("%s, call %d: %d bytes stand, %d are dropped", what, call, standing, dropped)
			}
			if len(m.reader.routes) > 2*aCall+pruneThreshold {
				t.Fatalf("%s, call %d: the reader holds %d routes", what, call, len(m.reader.routes))
			}
			done := (call + 1) * aCall
			for range 5 {
				i := max(0, done-1-random.IntN(recent))
				name := fmt.Sprintf("n%d", i)
				if _, ok := m.have["route/"+name]; !ok {
					t.Fatalf("%s, call %d: %s is forgotten", what, call, name)
				}
				i = random.IntN(done)
				name = fmt.Sprintf("n%d", i)
				_ = m.call(patch("", route(name, "/back/", "a", generation(i/aCall)), ""))
				if r, ok := m.have["route/"+name]; ok && !r.Dropped {
					t.Fatalf("%s, call %d: %s is back", what, call, name)
				}
			}
			if what != "one counter" && Horizon(m.have) > 0 {
				break // from here on a new item needs a higher generation
			}
		}
		if Horizon(m.have) == 0 {
			t.Errorf("%s: nothing was forgotten", what)
		}
	}
}

// horizonAt is a horizon record with one generation for routes.
func horizonAt(generation uint64) Record {
	return Record{Name: horizonName, Gen: 1, Data: encode(horizonData{map[string]uint64{routePrefix: generation}})}
}

// A change of a name that is unknown, at or below what was forgotten of its kind.
func TestChangesAtOrBelowPurgedGeneration(t *testing.T) {
	const last = 100
	for name, c := range map[string]struct {
		body    string
		refused bool
		changes bool
	}{
		"an unknown route":              {patch("", route("n", "/n/", "a", last), ""), true, false},
		"one above":                     {patch("", route("n", "/n/", "a", last+1), ""), false, true},
		"its removal":                   {patch("", "", `{"name":"n","generation":100}`), false, false},
		"its removal, above":            {patch("", "", `{"name":"n","generation":101}`), false, true},
		"a route that stands":           {patch("", route("r", "/q/", "a", 9), ""), false, true},
		"one that stands, sent again":   {patch("", route("r", "/p/", "a", 7), ""), false, false},
		"removal of one that stands":    {patch("", "", `{"name":"r","generation":9}`), false, true},
		"another kind":                  {`{"upsert":{"services":[{"name":"n","generation":1}]}}`, false, true},
		"the limits":                    {`{"upsert":{"limits":{"maxHeaderBytes":1,"generation":1}}}`, false, true},
		"an unknown one beside another": {patch("", route("r", "/q/", "a", 9)+","+route("n", "/n/", "a", 3), ""), true, false},
	} {
		m := newConfigOwner(t)
		m.have[horizonName] = horizonAt(last)
		before := maps.Clone(m.have)
		for range 2 { // a change that is sent again gets the same answer
			err := m.call(c.body)
			if c.refused && (apierror.KindOf(err) != apierror.Conflict || !strings.Contains(err.Error(), "route n: ") || !strings.Contains(err.Error(), fmt.Sprint(last))) {
				t.Errorf("%s: got %v", name, err)
			}
			if !c.refused && err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if same := fmt.Sprint(before) == fmt.Sprint(m.have); same == c.changes {
			t.Errorf("%s: changed something: %v", name, !same)
		}
	}
}

// dropMany puts dropped routes into a copy, named by number and with that as their place.
func (o *configOwner) addTombstones(n int, generation func(i int) uint64) {
	for i := range n {
		name := fmt.Sprintf("route/n%d", i)
		o.have[name] = Record{Name: name, Gen: generation(i), Rev: uint64(i + 1), Dropped: true, Data: make([]byte, 20)}
	}
}

// What stands takes the room of dropped records down to their least share, and no further.
func TestTombstonesMakeRoomForLiveRecords(t *testing.T) {
	for _, c := range []struct {
		standing int
		refused  bool
	}{{MaxBytes / 8, false}, {MaxBytes / 8 * 5, false}, {MaxBytes - minTombstoneBytes - 1<<10, false}, {MaxBytes - minTombstoneBytes + 1<<10, true}} {
		m := newConfigOwner(t)
		m.addTombstones(100_000, func(i int) uint64 { return uint64(i) })
		m.have["service/large"] = Record{Name: "service/large", Gen: 1, Data: make([]byte, c.standing)}
		err := m.call(patch("", route("new", "/new/", "a", 1_000_000), ""))
		if c.refused != (apierror.KindOf(err) == apierror.BodyTooLarge) || !c.refused && err != nil {
			t.Errorf("%d bytes stand: %v", c.standing, err)
		}
		if c.refused {
			continue
		}
		standing, dropped := m.liveAndTombstoneBytes()
		least := max(minTombstoneBytes, int(float64(min(maxTombstoneBytes, MaxBytes-standing))*tombstoneKeepRatio))
		if dropped > least+100 || dropped < least-200 || standing+dropped > MaxBytes {
			t.Errorf("%d bytes stand: %d of dropped records are kept, not %d", standing, dropped, least)
		}
		oldest := uint64(100_000)
		for _, r := range m.have {
			if r.Dropped {
				oldest = min(oldest, r.Rev)
			}
		}
		if kept := 100_000 - int(oldest) + 1; kept != len(m.have)-5 { // service, route, large, new, horizon
			t.Errorf("%d bytes stand: the oldest kept is number %d of %d", standing, oldest, len(m.have))
		}
	}
}

// One removal far above all others does not make all new items need such a generation.
func TestTombstoneWithOutlierGenerationIsKept(t *testing.T) {
	const far = 1 << 50
	m := newConfigOwner(t)
	m.addTombstones(100_000, func(i int) uint64 {
		if i == 7 {
			return far
		}
		return uint64(i)
	})
	m.mustCall(patch("", route("new", "/new/", "a", 200_000), ""))
	if Horizon(m.have) != 1 {
		t.Fatal("nothing was forgotten")
	}
	if r := m.have["route/n7"]; r.Gen != far {
		t.Error("it is forgotten")
	}
	m.mustCall(patch("", route("newer", "/newer/", "a", 200_000), ""))

	// Where all are far above what is newer, the oldest go all the same.
	m = newConfigOwner(t)
	m.addTombstones(100_000, func(i int) uint64 { return uint64(200_000 - i) })
	m.mustCall(patch("", route("new", "/new/", "a", 300_000), ""))
	if _, dropped := m.liveAndTombstoneBytes(); dropped > maxTombstoneBytes {
		t.Errorf("%d bytes of dropped records stay", dropped)
	}
}

// Requests go on to need a key when all tenants are gone and forgotten.
func TestLastTenantTombstoneIsKept(t *testing.T) {
	m := newConfigOwner(t)
	for _, name := range []string{"tenant/x", "tenant/y"} {
		m.have[name] = Record{Name: name, Gen: 1, Dropped: true}
	}
	m.addTombstones(100_000, func(i int) uint64 { return uint64(i) })
	m.mustCall(patch("", route("new", "/new/", "a", 200_000), ""))
	_, x := m.have["tenant/x"]
	_, y := m.have["tenant/y"]
	if x || !y {
		t.Errorf("of two dropped tenants, kept: %v, %v", x, y)
	}
	if !(&Builder{}).Build(m.have).Tenants {
		t.Error("requests need no key any more")
	}
}

// Removals keep their order, whatever the names and generations.
func TestTombstonesAreNumberedInOrder(t *testing.T) {
	m := newConfigOwner(t)
	last := uint64(0)
	for i, name := range []string{"z", "b", "a", "c"} {
		m.mustCall(patch("", route(name, "/"+name+"/", "a", 50-10*i), ""))
		m.mustCall(patch("", "", fmt.Sprintf(`{"name":%q,"generation":%d}`, name, 51-10*i)))
		if r := m.have["route/"+name]; r.Rev <= last {
			t.Errorf("%s has number %d after %d", name, r.Rev, last)
		}
		last = m.have["route/"+name].Rev
	}
}
