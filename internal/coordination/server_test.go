package coordination

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"madderwing/internal/replication"
)

// fakeReplica is a replica that owns every partition. With holdProposals, proposals are queued
// until the test runs them.
type fakeReplica struct {
	records       map[string]Record
	epoch         replication.Epoch
	ownedSince    time.Duration
	proposalErr   error
	queued        []func()
	holdProposals bool
}

func (r *fakeReplica) Propose(_ time.Duration, _ string, fn func(map[string]Record) ([]Record, error), done func(error)) {
	run := func() {
		changes, err := fn(r.records)
		for _, c := range changes {
			if delete(r.records, c.Name); !c.Erased {
				r.records[c.Name] = c
			}
		}
		done(errors.Join(err, r.proposalErr))
	}
	if r.holdProposals {
		r.queued = append(r.queued, run)
	} else {
		run()
	}
}

func (r *fakeReplica) OwnershipTerm(time.Duration, string) (replication.OwnershipTerm, bool) {
	return replication.OwnershipTerm{Epoch: r.epoch, Since: r.ownedSince}, true
}
func (r *fakeReplica) Owner(time.Duration, string) string { return "self" }
func (r *fakeReplica) Committed(string) (map[string]Record, replication.Position, bool) {
	return r.records, replication.Position{}, true
}
func (r *fakeReplica) FreshAsOf(string) (time.Duration, bool) { return 0, true }

type testServer struct {
	*Server
	replica *fakeReplica
	now     time.Duration
}

func newTestServer() *testServer {
	s := &testServer{replica: &fakeReplica{records: map[string]Record{}, epoch: replication.Epoch{Number: 1}}}
	s.Server = NewServer(ServerConfig{Self: "self", RunID: 7, Clock: func() time.Duration { return s.now }, Limits: testLimits,
		Sweep: time.Second, Freshness: time.Second, Log: slog.New(slog.DiscardHandler)}, s.replica)
	return s
}

// execute executes a call with a deadline.
func (s *testServer) execute(call Call, deadline ClockReading) (result Result, e *Execution) {
	e = NewExecution(call, deadline, func(r Result) { result = r })
	s.Execute(s.now, e)
	return result, e
}

func TestEffectOfACall(t *testing.T) {
	inTime := ClockReading{RunID: 7, Time: time.Second}
	lost := errors.New("lost")
	write, noWrite := acquire("a", 3), renew("b", 9, 3)
	for name, c := range map[string]struct {
		call     Call
		fail     error
		deadline ClockReading
		want     Effect
	}{
		"committed":                                  {write, nil, inTime, Answered},
		"a change that may be committed":             {write, lost, inTime, MaybeExecuted},
		"a call without changes":                     {noWrite, lost, inTime, NotExecuted},
		"after the deadline":                         {write, nil, ClockReading{RunID: 7, Time: -1}, NotExecuted},
		"a deadline on the clock of another process": {write, nil, ClockReading{RunID: 6, Time: time.Second}, NotExecuted},
		"a deadline on an unknown clock":             {write, nil, ClockReading{}, NotExecuted},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer()
			s.replica.proposalErr = c.fail
			if got, _ := s.execute(c.call, c.deadline); got.Effect != c.want {
				t.Errorf("%v, want %v", got.Effect, c.want)
			}
			if c.want == NotExecuted && len(s.replica.records) > 0 {
				t.Errorf("a call that was not executed left %v", s.replica.records)
			}
		})
	}
}

// A call that is queued until after its deadline, or is abandoned in the queue, never starts.
func TestQueuedCallDoesNotStartAfterDeadline(t *testing.T) {
	for name, abandon := range map[string]bool{"too late": false, "abandoned": true} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer()
			s.replica.holdProposals = true
			_, e := s.execute(acquire("a", 3), ClockReading{RunID: 7, Time: time.Second})
			if abandon {
				if got := e.Abandon(); got != NotExecuted {
					t.Errorf("abandoned: %v", got)
				}
			} else {
				s.now = 2 * time.Second
			}
			s.replica.queued[0]()
			if len(s.replica.records) > 0 {
				t.Errorf("a call that was not executed left %v", s.replica.records)
			}
		})
	}
	s := newTestServer()
	_, e := s.execute(acquire("a", 3), ClockReading{RunID: 7, Time: time.Second})
	if got := e.Abandon(); got != MaybeExecuted {
		t.Errorf("abandoned after the start: %v", got)
	}
}

// In a new ownership term the state is loaded from the records; nothing of the previous term is kept.
func TestNewTermReloadsRecords(t *testing.T) {
	s := newTestServer()
	inTime := ClockReading{RunID: 7, Time: time.Hour}
	s.execute(acquire("a", 3), inTime)
	s.now = 2 * time.Second
	s.replica.epoch, s.replica.ownedSince = replication.Epoch{Number: 3}, s.now
	delete(s.replica.records, lockPrefix+"l") // another owner has erased it in the meantime
	if got, _ := s.execute(acquire("b", 3), inTime); got.Answer.Status != OK {
		t.Errorf("%+v", got)
	}
}

func TestWatchAnsweredOnceCopyHasAcknowledgedRevision(t *testing.T) {
	s := newTestServer()
	partition := groupPartition("g.")
	p := load(t, map[string]Record{}, 0, testLimits)
	p.execute(0, putCell("g.a", "x", nil))
	s.replica.records = p.records
	s.Committed(partition, nil)
	var results []WatchResult
	watch := func(after, least uint64) *Watch {
		results = nil
		w := &Watch{Group: "g.", After: after, MinRevision: least, Done: func(r WatchResult) { results = append(results, r) }}
		s.Watch(w)
		return w
	}
	if watch(0, 1); len(results) != 1 || results[0].Revision != 1 || len(results[0].Events) != 1 {
		t.Errorf("a put that is in the copy: %+v", results)
	}
	w := watch(0, 2)
	if len(results) > 0 {
		t.Errorf("a copy that lacks revision 2 returned %+v", results)
	}
	s.TimeOutWatch(w)
	if len(results) != 1 || !errors.Is(results[0].Err, ErrStale) {
		t.Errorf("timeout of a watch whose copy lacks revision 2: %+v", results)
	}
	w = watch(1, 1)
	_, changes := p.Execute(0, putCell("g.b", "y", nil))
	s.Committed(partition, changes)
	s.TimeOutWatch(w)
	if len(results) != 1 || results[0].Revision != 2 || results[0].Events[0] != (Event{"g.b", "y", 2}) {
		t.Errorf("a put during the watch: %+v", results)
	}
	w = watch(2, 0)
	s.TimeOutWatch(w)
	s.TimeOutWatch(w)
	if len(results) != 1 || results[0].Revision != 2 || results[0].Events != nil {
		t.Errorf("timeout without a put: %+v", results)
	}
	watch(2, 0)
	if s.EndStaleWatches(time.Minute); len(results) != 1 || !errors.Is(results[0].Err, ErrStale) || len(s.watches) > 0 {
		t.Errorf("out of contact: %+v", results)
	}
}

// A delayed release must not free a lock that its holder has since acquired again under the
// same token.
func TestLateReleaseIsNotExecuted(t *testing.T) {
	s := newTestServer()
	clocks := NewPeerClocks()
	within := func(d time.Duration) ClockReading {
		c, _ := clocks.Estimate("self", s.now+d)
		return c
	}
	if got, _ := s.execute(acquire("a", 3), within(time.Second)); got.Effect != NotExecuted {
		t.Fatalf("a call before the owner's clock is known: %+v", got)
	}
	clocks.Observe("self", s.Clock(), s.now)
	s.execute(acquire("a", 3), within(time.Second))
	sent := within(time.Second)
	s.now += 1100 * time.Millisecond
	s.execute(acquire("a", 3), within(time.Second))
	if got, _ := s.execute(release("a", 1), sent); got.Effect != NotExecuted {
		t.Errorf("the delayed release: %+v", got)
	}
	if got, _ := s.execute(acquire("b", 3), within(time.Second)); got.Answer != held {
		t.Errorf("an acquire by another caller: %+v", got)
	}
}

func TestPeerClockEstimateIsNeverAhead(t *testing.T) {
	c := NewPeerClocks()
	c.Observe("p", ClockReading{RunID: 1, Time: 100}, 40)
	c.Observe("p", ClockReading{RunID: 1, Time: 200}, 180) // in transit for longer than the first reading
	if got, _ := c.Estimate("p", 200); got != (ClockReading{RunID: 1, Time: 260}) {
		t.Errorf("%+v", got)
	}
	c.Observe("p", ClockReading{RunID: 2, Time: 5}, 200)
	if got, _ := c.Estimate("p", 210); got != (ClockReading{RunID: 2, Time: 15}) {
		t.Errorf("after a restart of the peer: %+v", got)
	}
}
