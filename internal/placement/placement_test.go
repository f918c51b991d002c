package placement

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"madderwing/internal/config"
)

// fakeStore stands in for the catalogue of routes and the node that owns it.
type fakeStore struct {
	records  map[string]config.Record
	err      error
	bindings int
}

func newFakeStore(t *testing.T, routes int) *fakeStore {
	s := &fakeStore{records: map[string]config.Record{}}
	body := `{"upsert":{"services":[{"name":"a","generation":1}],"domains":[{"authority":"h","hostRoutes":[`
	for i := 0; i < routes; i++ {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"name":"r%d","pathPrefix":"/%d/","routeKind":"mutating","deadlineS":1,"target":"a","generation":1}`, i, i)
	}
	c, err := config.Read([]byte(body + `]}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	changes, err := c.Apply(s.records, &config.Reader{})
	if err != nil {
		t.Fatal(err)
	}
	s.put(changes)
	return s
}

func (s *fakeStore) put(changes []config.Record) {
	for _, r := range changes {
		s.records[r.Name] = r
	}
}

func (s *fakeStore) create(orders []Order, done func([]error)) {
	errs := make([]error, len(orders))
	for i, o := range orders {
		errs[i] = s.err
		if s.err == nil {
			var changes []config.Record
			if changes, errs[i] = config.Bind(s.records, o.Binding, o.SawRev); errs[i] == nil {
				s.put(changes)
				s.bindings++
			}
		}
	}
	done(errs)
}

func (s *fakeStore) counts() map[int]int {
	out := map[int]int{}
	for _, r := range (&config.Reader{}).List(s.records) {
		if r.Status.Phase == config.PhaseScheduled {
			out[r.Status.Shard]++
		}
	}
	return out
}

var twoShards = []Shard{{Label: 0, Gateways: 5, Zones: 4}, {Label: 1, Gateways: 6, Zones: 4}}

func TestRoundRobinBindsEveryRouteOnce(t *testing.T) {
	s := newFakeStore(t, 8)
	sched := &Scheduler{Strategy: &RoundRobin{}, Relist: 30 * time.Second, Pause: time.Second, Create: s.create}
	routes := (&config.Reader{}).List(s.records)
	sched.Reconcile(0, routes, twoShards, func() {})
	sched.Reconcile(1, routes, twoShards, func() {}) // again with the same routes, now stale
	if c := s.counts(); c[0] != 4 || c[1] != 4 || s.bindings != 8 {
		t.Fatalf("counts %v, bindings %d", c, s.bindings)
	}
}

func TestTwoSchedulersCannotBindOneRouteTwice(t *testing.T) {
	s := newFakeStore(t, 6)
	stale := (&config.Reader{}).List(s.records)
	for i := 0; i < 2; i++ {
		sched := &Scheduler{Strategy: &RoundRobin{next: i}, Relist: time.Minute, Pause: time.Second, Create: s.create}
		sched.Reconcile(0, stale, twoShards, func() {})
	}
	if s.bindings != 6 {
		t.Fatalf("%d bindings for 6 routes", s.bindings)
	}
}

type failFirst struct{ remaining int }

func (m *failFirst) Schedule(*config.Route, []Shard) (Shard, error) {
	if m.remaining > 0 {
		m.remaining--
		return Shard{}, errors.New("temporary failure")
	}
	return twoShards[1], nil
}

func TestErrorsAreRetriedUntilBindingSucceeds(t *testing.T) {
	s := newFakeStore(t, 1)
	s.err = errors.New("no quorum")
	sched := &Scheduler{Strategy: &failFirst{remaining: 3}, Relist: time.Hour, Pause: time.Second, Create: s.create}
	tries := 0
	for now := time.Duration(0); s.bindings == 0 && now < time.Minute; now += 100 * time.Millisecond {
		if now > 10*time.Second {
			s.err = nil
		}
		before := sched.Errors
		if !sched.Due(now) {
			continue
		}
		sched.Reconcile(now, (&config.Reader{}).List(s.records), twoShards, func() {})
		if sched.Errors > before {
			tries++
		}
	}
	if s.bindings != 1 {
		t.Fatal("route was never bound")
	}
	if tries < 8 || tries > 12 {
		t.Fatalf("%d tries in 10 s with a pause of 1 s, want 8 to 12", tries)
	}
}

func TestRouteIsReboundWhenShardLosesItsGateways(t *testing.T) {
	s := newFakeStore(t, 4)
	sched := &Scheduler{Strategy: &RoundRobin{}, Relist: 30 * time.Second, Pause: time.Second, Create: s.create}
	sched.Reconcile(0, (&config.Reader{}).List(s.records), twoShards, func() {})
	none := []Shard{{Label: 0}, {Label: 1}}
	sched.Reconcile(time.Second, (&config.Reader{}).List(s.records), none, func() {})
	if c := s.counts(); c[0] != 2 || c[1] != 2 {
		t.Fatalf("routes per shard changed though no shard has gateways: %v", c)
	}
	sched.Reconcile(2*time.Second, (&config.Reader{}).List(s.records), []Shard{{Label: 0}, twoShards[1]}, func() {})
	if c := s.counts(); c[0] != 0 || c[1] != 4 {
		t.Fatalf("routes per shard after the loss of shard 0: %v", c)
	}
}

// An answer that arrives after a reset must not be counted, and must not end the batch
// that has been sent since.
func TestAnswersAfterResetAreIgnored(t *testing.T) {
	s := newFakeStore(t, 3)
	var late []func([]error)
	sched := &Scheduler{Strategy: &RoundRobin{}, Relist: time.Minute, Pause: time.Second,
		Create: func(_ []Order, done func([]error)) { late = append(late, done) }}
	routes := (&config.Reader{}).List(s.records)
	sched.Reconcile(0, routes, twoShards, func() {})
	sched.Reset()
	late[0](make([]error, 3))
	if sched.Bound != 0 {
		t.Fatal("bindings of an answer after a reset are counted")
	}
	sched.Reconcile(time.Second, routes, twoShards, func() {})
	late[0](make([]error, 3))
	sched.Reconcile(2*time.Second, routes, twoShards, func() {})
	if len(late) != 2 {
		t.Fatalf("%d batches in flight at once", len(late)-1)
	}
}

func TestManyRoutesAreBoundInBatches(t *testing.T) {
	s := newFakeStore(t, 3*Batch+10)
	batches := 0
	sched := &Scheduler{Strategy: &RoundRobin{}, Relist: time.Minute, Pause: time.Second}
	sched.Create = func(orders []Order, done func([]error)) {
		if batches++; len(orders) > Batch {
			t.Fatalf("a batch of %d bindings", len(orders))
		}
		s.create(orders, done)
	}
	reader := &config.Reader{}
	for pending := true; pending; {
		pending = false
		sched.Reconcile(0, reader.List(s.records), twoShards, func() { pending = true })
	}
	if s.bindings != 3*Batch+10 || batches != 4 {
		t.Fatalf("%d bound in %d batches", s.bindings, batches)
	}
}

// Waiting reports unbound routes only while a shard has a working gateway.
func TestWaitingRoutes(t *testing.T) {
	unbound := &config.Route{Name: "r"}
	bound := &config.Route{Name: "s", Status: config.Status{Phase: config.PhaseScheduled, Shard: 1}}
	served, empty := []Shard{{Label: 0}, {Label: 1, Gateways: 2}}, []Shard{{Label: 0}, {Label: 1}}
	for name, c := range map[string]struct {
		routes []*config.Route
		shards []Shard
		wait   bool
	}{
		"bound":                           {[]*config.Route{bound}, served, false},
		"one route without a binding":     {[]*config.Route{bound, unbound}, served, true},
		"no shard with gateways":          {[]*config.Route{bound, unbound}, empty, false},
		"shard has lost all its gateways": {[]*config.Route{bound}, []Shard{{Label: 0, Gateways: 1}, {Label: 1}}, true},
	} {
		if waiting := Waiting(c.routes, c.shards); waiting != c.wait {
			t.Errorf("%s: waiting is %v", name, waiting)
		}
	}
}
