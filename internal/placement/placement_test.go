package placement

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"madderwing/internal/config"
)

// store stands in for the catalogue and its owner.
type store struct {
	have map[string]config.Record
	fail error
	made int
}

func newStore(t *testing.T, routes int) *store {
	s := &store{have: map[string]config.Record{}}
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
	changes, err := c.Apply(s.have, &config.Reader{})
	if err != nil {
		t.Fatal(err)
	}
	s.put(changes)
	return s
}

func (s *store) put(changes []config.Record) {
	for _, r := range changes {
		s.have[r.Name] = r
	}
}

func (s *store) create(orders []Order, done func([]error)) {
	errs := make([]error, len(orders))
	for i, o := range orders {
		errs[i] = s.fail
		if s.fail == nil {
			var changes []config.Record
			if changes, errs[i] = config.Bind(s.have, o.Binding, o.SawRev); errs[i] == nil {
				s.put(changes)
				s.made++
			}
		}
	}
	done(errs)
}

func (s *store) counts() map[int]int {
	out := map[int]int{}
	for _, r := range (&config.Reader{}).List(s.have) {
		if r.Status.Phase == config.PhaseScheduled {
			out[r.Status.Shard]++
		}
	}
	return out
}

var two = []Shard{{Label: 0, Gateways: 5, Zones: 4}, {Label: 1, Gateways: 6, Zones: 4}}

func TestRoundRobinBindsEveryRouteOnce(t *testing.T) {
	s := newStore(t, 8)
	sched := &Scheduler{Strategy: &RoundRobin{}, Relist: 30 * time.Second, Pause: time.Second, Create: s.create}
	routes := (&config.Reader{}).List(s.have)
	sched.Reconcile(0, routes, two, func() {})
	sched.Reconcile(1, routes, two, func() {}) // the same stale view once more
	if c := s.counts(); c[0] != 4 || c[1] != 4 || s.made != 8 {
		t.Fatalf("counts %v, bindings %d", c, s.made)
	}
}

func TestTwoSchedulersCannotBindOneRouteTwice(t *testing.T) {
	s := newStore(t, 6)
	stale := (&config.Reader{}).List(s.have)
	for i := 0; i < 2; i++ {
		sched := &Scheduler{Strategy: &RoundRobin{next: i}, Relist: time.Minute, Pause: time.Second, Create: s.create}
		sched.Reconcile(0, stale, two, func() {})
	}
	if s.made != 6 {
		t.Fatalf("%d bindings for 6 routes", s.made)
	}
}

type moody struct{ failures int }

func (m *moody) Schedule(*config.Route, []Shard) (Shard, error) {
	if m.failures > 0 {
		m.failures--
		return Shard{}, errors.New("not now")
	}
	return two[1], nil
}

func TestErrorsAreRetriedUntilABindingSucceeds(t *testing.T) {
	s := newStore(t, 1)
	s.fail = errors.New("no quorum")
	sched := &Scheduler{Strategy: &moody{failures: 3}, Relist: time.Hour, Pause: time.Second, Create: s.create}
	tries := 0
	for now := time.Duration(0); s.made == 0 && now < time.Minute; now += 100 * time.Millisecond {
		if now > 10*time.Second {
			s.fail = nil
		}
		before := sched.Errors
		if !sched.Due(now) {
			continue
		}
		sched.Reconcile(now, (&config.Reader{}).List(s.have), two, func() {})
		if sched.Errors > before {
			tries++
		}
	}
	if s.made != 1 {
		t.Fatal("never bound")
	}
	if tries < 8 || tries > 12 {
		t.Fatalf("%d tries in 10 s with a pause of 1 s", tries)
	}
}

func TestRebindsWhenAShardLosesItsGateways(t *testing.T) {
	s := newStore(t, 4)
	sched := &Scheduler{Strategy: &RoundRobin{}, Relist: 30 * time.Second, Pause: time.Second, Create: s.create}
	sched.Reconcile(0, (&config.Reader{}).List(s.have), two, func() {})
	none := []Shard{{Label: 0}, {Label: 1}}
	sched.Reconcile(time.Second, (&config.Reader{}).List(s.have), none, func() {})
	if c := s.counts(); c[0] != 2 || c[1] != 2 {
		t.Fatalf("moved though there is nowhere to go: %v", c)
	}
	sched.Reconcile(2*time.Second, (&config.Reader{}).List(s.have), []Shard{{Label: 0}, two[1]}, func() {})
	if c := s.counts(); c[0] != 0 || c[1] != 4 {
		t.Fatalf("after the loss of shard 0: %v", c)
	}
}

// An answer that comes after the duty was lost must neither be counted nor
// disturb what has begun since.
func TestLateAnswersAfterTheDutyChangedHands(t *testing.T) {
	s := newStore(t, 3)
	var late []func([]error)
	sched := &Scheduler{Strategy: &RoundRobin{}, Relist: time.Minute, Pause: time.Second,
		Create: func(_ []Order, done func([]error)) { late = append(late, done) }}
	routes := (&config.Reader{}).List(s.have)
	sched.Reconcile(0, routes, two, func() {})
	sched.Reset()
	late[0](make([]error, 3))
	if sched.Bound != 0 {
		t.Fatal("counted")
	}
	sched.Reconcile(time.Second, routes, two, func() {})
	late[0](make([]error, 3))
	sched.Reconcile(2*time.Second, routes, two, func() {})
	if len(late) != 2 {
		t.Fatalf("%d batches on their way at once", len(late)-1)
	}
}

func TestManyRoutesAreBoundInBatches(t *testing.T) {
	s := newStore(t, 3*Batch+10)
	batches := 0
	sched := &Scheduler{Strategy: &RoundRobin{}, Relist: time.Minute, Pause: time.Second}
	sched.Create = func(orders []Order, done func([]error)) {
		if batches++; len(orders) > Batch {
			t.Fatalf("a batch of %d", len(orders))
		}
		s.create(orders, done)
	}
	reader := &config.Reader{}
	for again := true; again; {
		again = false
		sched.Reconcile(0, reader.List(s.have), two, func() { again = true })
	}
	if s.made != 3*Batch+10 || batches != 4 {
		t.Fatalf("%d bound in %d batches", s.made, batches)
	}
}

// Routes wait for their binding only where a shard could take them.
func TestRoutesThatWait(t *testing.T) {
	unbound := &config.Route{Name: "r"}
	bound := &config.Route{Name: "s", Status: config.Status{Phase: config.PhaseScheduled, Shard: 1}}
	served, empty := []Shard{{Label: 0}, {Label: 1, Gateways: 2}}, []Shard{{Label: 0}, {Label: 1}}
	for name, c := range map[string]struct {
		routes []*config.Route
		shards []Shard
		wait   bool
	}{
		"bound":                  {[]*config.Route{bound}, served, false},
		"one is not":             {[]*config.Route{bound, unbound}, served, true},
		"no gateway":             {[]*config.Route{bound, unbound}, empty, false},
		"its shard has lost all": {[]*config.Route{bound}, []Shard{{Label: 0, Gateways: 1}, {Label: 1}}, true},
	} {
		if wait := Waiting(c.routes, c.shards); wait != c.wait {
			t.Errorf("%s: %v", name, wait)
		}
	}
}
