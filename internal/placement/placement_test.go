package placement

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"madderwing/internal/config"
)

// fakeStore stands in for the control node that owns the routes.
type fakeStore struct {
	records  map[string]config.Record
	err      error
	bindings int
}

func newFakeStore(t *testing.T, routes int) *fakeStore {
	store := &fakeStore{records: map[string]config.Record{}}
	body := `{"upsert":{"services":[{"name":"a","generation":1}],"domains":[{"authority":"h","hostRoutes":[`
	for i := 0; i < routes; i++ {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"name":"r%d","pathPrefix":"/%d/","routeKind":"mutating","deadlineS":1,"target":"a","generation":1}`, i, i)
	}
	c, err := config.ParseRequest([]byte(body + `]}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	changes, err := c.Apply(store.records, &config.Decoder{})
	if err != nil {
		t.Fatal(err)
	}
	store.put(changes)
	return store
}

func (store *fakeStore) put(changes []config.Record) {
	for _, r := range changes {
		store.records[r.Name] = r
	}
}

func (store *fakeStore) create(requests []BindRequest, done func([]error)) {
	errs := make([]error, len(requests))
	for i, request := range requests {
		errs[i] = store.err
		if store.err == nil {
			var changes []config.Record
			if changes, errs[i] = config.Bind(store.records, request.Binding, request.ExpectedRev); errs[i] == nil {
				store.put(changes)
				store.bindings++
			}
		}
	}
	done(errs)
}

func (store *fakeStore) counts() map[int]int {
	out := map[int]int{}
	for _, r := range (&config.Decoder{}).Routes(store.records) {
		if r.Status.Phase == config.PhaseScheduled {
			out[r.Status.Shard]++
		}
	}
	return out
}

var twoShards = []Shard{{Label: 0, Gateways: 5, Zones: 4}, {Label: 1, Gateways: 6, Zones: 4}}

func TestRoundRobinBindsEveryRouteOnce(t *testing.T) {
	store := newFakeStore(t, 8)
	scheduler := &Scheduler{Strategy: &RoundRobin{}, RelistInterval: 30 * time.Second, RetryDelay: time.Second, Create: store.create}
	routes := (&config.Decoder{}).Routes(store.records)
	scheduler.Reconcile(0, routes, twoShards, func() {})
	scheduler.Reconcile(1, routes, twoShards, func() {}) // again with the same routes, now stale
	if counts := store.counts(); counts[0] != 4 || counts[1] != 4 || store.bindings != 8 {
		t.Fatalf("counts %v, bindings %d", counts, store.bindings)
	}
}

func TestTwoSchedulersCannotBindOneRouteTwice(t *testing.T) {
	store := newFakeStore(t, 6)
	stale := (&config.Decoder{}).Routes(store.records)
	for i := 0; i < 2; i++ {
		scheduler := &Scheduler{Strategy: &RoundRobin{next: i}, RelistInterval: time.Minute, RetryDelay: time.Second, Create: store.create}
		scheduler.Reconcile(0, stale, twoShards, func() {})
	}
	if store.bindings != 6 {
		t.Fatalf("%d bindings for 6 routes", store.bindings)
	}
}

type failingStrategy struct{ remaining int }

func (s *failingStrategy) Schedule(*config.Route, []Shard) (Shard, error) {
	if s.remaining > 0 {
		s.remaining--
		return Shard{}, errors.New("temporary failure")
	}
	return twoShards[1], nil
}

func TestErrorsAreRetriedUntilBindingSucceeds(t *testing.T) {
	store := newFakeStore(t, 1)
	store.err = errors.New("no quorum")
	scheduler := &Scheduler{Strategy: &failingStrategy{remaining: 3}, RelistInterval: time.Hour, RetryDelay: time.Second, Create: store.create}
	tries := 0
	for now := time.Duration(0); store.bindings == 0 && now < time.Minute; now += 100 * time.Millisecond {
		if now > 10*time.Second {
			store.err = nil
		}
		before := scheduler.Errors
		if !scheduler.Due(now) {
			continue
		}
		scheduler.Reconcile(now, (&config.Decoder{}).Routes(store.records), twoShards, func() {})
		if scheduler.Errors > before {
			tries++
		}
	}
	if store.bindings != 1 {
		t.Fatal("route was never bound")
	}
	if tries < 8 || tries > 12 {
		t.Fatalf("%d tries in 10 s with a pause of 1 s, want 8 to 12", tries)
	}
}

func TestRouteIsReboundWhenShardLosesItsGateways(t *testing.T) {
	store := newFakeStore(t, 4)
	scheduler := &Scheduler{Strategy: &RoundRobin{}, RelistInterval: 30 * time.Second, RetryDelay: time.Second, Create: store.create}
	scheduler.Reconcile(0, (&config.Decoder{}).Routes(store.records), twoShards, func() {})
	none := []Shard{{Label: 0}, {Label: 1}}
	scheduler.Reconcile(time.Second, (&config.Decoder{}).Routes(store.records), none, func() {})
	if counts := store.counts(); counts[0] != 2 || counts[1] != 2 {
		t.Fatalf("routes per shard changed though no shard has gateways: %v", counts)
	}
	scheduler.Reconcile(2*time.Second, (&config.Decoder{}).Routes(store.records), []Shard{{Label: 0}, twoShards[1]}, func() {})
	if counts := store.counts(); counts[0] != 0 || counts[1] != 4 {
		t.Fatalf("routes per shard after the loss of shard 0: %v", counts)
	}
}

// The result of a batch that arrives after a reset must not be counted, and must not end the batch that
// has been sent since.
func TestResultsAfterResetAreIgnored(t *testing.T) {
	store := newFakeStore(t, 3)
	var doneFuncs []func([]error)
	scheduler := &Scheduler{Strategy: &RoundRobin{}, RelistInterval: time.Minute, RetryDelay: time.Second,
		Create: func(_ []BindRequest, done func([]error)) { doneFuncs = append(doneFuncs, done) }}
	routes := (&config.Decoder{}).Routes(store.records)
	scheduler.Reconcile(0, routes, twoShards, func() {})
	scheduler.Reset()
	doneFuncs[0](make([]error, 3))
	if scheduler.Bound != 0 {
		t.Fatal("bindings of a batch from before a reset are counted")
	}
	scheduler.Reconcile(time.Second, routes, twoShards, func() {})
	doneFuncs[0](make([]error, 3))
	scheduler.Reconcile(2*time.Second, routes, twoShards, func() {})
	if len(doneFuncs) != 2 {
		t.Fatalf("%d batches in flight at once", len(doneFuncs)-1)
	}
}

func TestManyRoutesAreBoundInBatches(t *testing.T) {
	store := newFakeStore(t, 3*MaxBatch+10)
	batches := 0
	scheduler := &Scheduler{Strategy: &RoundRobin{}, RelistInterval: time.Minute, RetryDelay: time.Second}
	scheduler.Create = func(requests []BindRequest, done func([]error)) {
		if batches++; len(requests) > MaxBatch {
			t.Fatalf("a batch of %d bindings", len(requests))
		}
		store.create(requests, done)
	}
	decoder := &config.Decoder{}
	for pending := true; pending; {
		pending = false
		scheduler.Reconcile(0, decoder.Routes(store.records), twoShards, func() { pending = true })
	}
	if store.bindings != 3*MaxBatch+10 || batches != 4 {
		t.Fatalf("%d bound in %d batches", store.bindings, batches)
	}
}

// AnyUnscheduled reports unbound routes only while a shard has a working gateway.
func TestAnyUnscheduled(t *testing.T) {
	unbound := &config.Route{Name: "r"}
	bound := &config.Route{Name: "s", Status: config.Status{Phase: config.PhaseScheduled, Shard: 1}}
	served, empty := []Shard{{Label: 0}, {Label: 1, Gateways: 2}}, []Shard{{Label: 0}, {Label: 1}}
	for name, c := range map[string]struct {
		routes []*config.Route
		shards []Shard
		want   bool
	}{
		"bound":                           {[]*config.Route{bound}, served, false},
		"one route without a binding":     {[]*config.Route{bound, unbound}, served, true},
		"no shard with gateways":          {[]*config.Route{bound, unbound}, empty, false},
		"shard has lost all its gateways": {[]*config.Route{bound}, []Shard{{Label: 0, Gateways: 1}, {Label: 1}}, true},
	} {
		if got := AnyUnscheduled(c.routes, c.shards); got != c.want {
			t.Errorf("%s: AnyUnscheduled is %v", name, got)
		}
	}
}
