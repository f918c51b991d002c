package coordination

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// testLimits are large enough for all tests except those of the limits.
var testLimits = Limits{History: 30 * time.Second, Bytes: 1 << 20, HistoryBytes: 1 << 19}

// testPartition is a partition with the records that result from its changes.
type testPartition struct {
	*Partition
	records map[string]Record
}

func load(t *testing.T, records map[string]Record, termStart time.Duration, limits Limits) *testPartition {
	t.Helper()
	p, err := Load(records, termStart, limits)
	if err != nil {
		t.Fatal(err)
	}
	return &testPartition{p, records}
}

func (s *testPartition) apply(changes []Record) {
	for _, r := range changes {
		if delete(s.records, r.Name); !r.Erased {
			s.records[r.Name] = r
		}
	}
}

func (s *testPartition) execute(at time.Duration, call Call) Answer {
	answer, changes := s.Execute(at, call)
	s.apply(changes)
	return answer
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func revision(n uint64) *uint64 { return &n }

// step is a call at a time in seconds, with the expected answer, or a takeover, in which a new
// owner loads the records.
type step struct {
	at       float64
	call     Call
	want     Answer
	takeover bool
}

func acquire(owner string, lease float64) Call {
	return Call{Operation: Acquire, Name: "l", Owner: owner, Lease: seconds(lease)}
}

func renew(owner string, token uint64, lease float64) Call {
	return Call{Operation: Renew, Name: "l", Owner: owner, FencingToken: token, Lease: seconds(lease)}
}

func release(owner string, token uint64) Call {
	return Call{Operation: Release, Name: "l", Owner: owner, FencingToken: token}
}

func putCell(name, value string, expected *uint64) Call {
	return Call{Operation: Put, Name: name, Value: value, Expected: expected}
}

func get(name string) Call { return Call{Operation: Get, Name: name} }

var (
	held = Answer{Status: Held}
	ok   = Answer{Status: OK}
)

func withToken(token uint64) Answer       { return Answer{Status: OK, FencingToken: token} }
func withRevision(r uint64) Answer        { return Answer{Status: OK, Revision: r} }
func mismatchAt(r uint64) Answer          { return Answer{Status: Mismatch, Revision: r} }
func found(value string, r uint64) Answer { return Answer{Status: OK, Value: value, Revision: r} }

func TestPartition(t *testing.T) {
	increment := Call{Operation: Increment, Name: "n"}
	for name, steps := range map[string][]step{
		"a lock is free once its lease has ended": {
			{at: 1, call: acquire("a", 3), want: withToken(1)},
			{at: 3.9, call: acquire("b", 3), want: held},
			{at: 4, call: acquire("b", 3), want: withToken(2)},
			{at: 4.1, call: renew("a", 1, 3), want: held},
		},
		"a holder that acquires again keeps its token and extends its lease": {
			{at: 1, call: acquire("a", 3), want: withToken(1)},
			{at: 2, call: acquire("a", 3), want: withToken(1)},
			{at: 4.9, call: acquire("b", 3), want: held},
			{at: 5, call: acquire("b", 3), want: withToken(2)},
		},
		"a shorter renewal does not shorten the lease": {
			{at: 1, call: acquire("a", 3), want: withToken(1)},
			{at: 2, call: renew("a", 1, 0.5), want: withToken(1)},
			{at: 3.9, call: acquire("b", 3), want: held},
		},
		"an ended lease can be renewed if nobody acquired the lock since": {
			{at: 1, call: acquire("a", 3), want: withToken(1)},
			{at: 9, call: renew("a", 1, 3), want: withToken(1)},
			{at: 11, call: acquire("b", 3), want: held},
		},
		"only the holder can release a lock": {
			{at: 1, call: acquire("a", 3), want: withToken(1)},
			{at: 1, call: release("b", 1), want: ok},
			{at: 1, call: release("a", 7), want: ok},
			{at: 1, call: acquire("b", 3), want: held},
			{at: 1, call: release("a", 1), want: ok},
			{at: 1, call: release("a", 1), want: ok},
			{at: 1, call: acquire("b", 3), want: withToken(2)},
		},
		"a new owner starts every lease at its full length": {
			{at: 1, call: acquire("a", 3), want: withToken(1)},
			{at: 3, takeover: true},
			{at: 5.9, call: acquire("b", 3), want: held},
			{at: 5.9, call: renew("a", 1, 3), want: withToken(1)},
			{at: 8.9, call: acquire("b", 3), want: withToken(2)},
		},
		"a new owner knows the length of a longer renewal": {
			{at: 1, call: acquire("a", 1), want: withToken(1)},
			{at: 1, call: renew("a", 1, 5), want: withToken(1)},
			{at: 2, takeover: true},
			{at: 6.9, call: acquire("b", 3), want: held},
		},
		"tokens increase across releases and takeovers": {
			{at: 1, call: acquire("a", 3), want: withToken(1)},
			{at: 1, call: release("a", 1), want: ok},
			{at: 2, takeover: true},
			{at: 3, call: acquire("a", 3), want: withToken(2)},
		},
		"counters increase across takeovers": {
			{at: 1, call: increment, want: Answer{Status: OK, Number: 1}},
			{at: 1, call: increment, want: Answer{Status: OK, Number: 2}},
			{at: 2, takeover: true},
			{at: 2, call: increment, want: Answer{Status: OK, Number: 3}},
		},
		"cells of a group share a sequence of revisions": {
			{at: 1, call: get("g.a"), want: Answer{Status: NotFound}},
			{at: 1, call: putCell("g.a", "x", nil), want: withRevision(1)},
			{at: 1, call: putCell("g.b", "y", revision(0)), want: withRevision(2)},
			{at: 1, call: putCell("h.a", "z", nil), want: withRevision(1)},
			{at: 1, call: putCell("g.a", "w", revision(2)), want: mismatchAt(1)},
			{at: 1, call: putCell("g.c", "w", revision(2)), want: mismatchAt(0)},
			{at: 1, call: putCell("g.a", "w", revision(1)), want: withRevision(3)},
			{at: 1, call: get("g.a"), want: found("w", 3)},
			{at: 1, call: Call{Operation: Revision, Name: "g."}, want: withRevision(3)},
		},
		"a repeated put gets its first revision": {
			{at: 1, call: putCell("g.a", "x", revision(0)), want: withRevision(1)},
			{at: 1, call: putCell("g.a", "x", revision(0)), want: withRevision(1)},
			{at: 2, call: putCell("g.a", "y", nil), want: withRevision(2)},
			{at: 3, call: putCell("g.a", "x", revision(0)), want: withRevision(1)},
			{at: 4, takeover: true},
			{at: 20, call: putCell("g.a", "x", revision(0)), want: withRevision(1)},
			{at: 20, call: get("g.a"), want: found("y", 2)},
		},
		"a put of the current value is a repeat, however old that value is": {
			{at: 1, call: putCell("g.a", "x", nil), want: withRevision(1)},
			{at: 99, call: putCell("g.a", "x", revision(0)), want: withRevision(1)},
			{at: 999, takeover: true},
			{at: 9999, call: putCell("g.a", "x", nil), want: withRevision(1)},
		},
		"a put of the same value to another cell is not a repeat": {
			{at: 1, call: putCell("g.a", "x", nil), want: withRevision(1)},
			{at: 1, call: putCell("g.b", "x", nil), want: withRevision(2)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := load(t, map[string]Record{}, 0, testLimits)
			for i, step := range steps {
				if step.takeover {
					s = load(t, s.records, seconds(step.at), testLimits)
					continue
				}
				if s.SweepDue(seconds(step.at)) && step.call.Operation == Put {
					s.apply(s.Sweep(seconds(step.at))) // as the owner does periodically
				}
				if got := s.execute(seconds(step.at), step.call); got != step.want {
					t.Fatalf("step %d, %+v: %+v, want %+v", i, step.call, got, step.want)
				}
			}
		})
	}
}

// Sweep erases the records of ended leases and old events, and the feed drops the latter.
func TestSweepErasesExpiredLocksAndHistory(t *testing.T) {
	s := load(t, map[string]Record{}, 0, testLimits)
	s.execute(seconds(1), acquire("a", 3))
	s.execute(seconds(1), putCell("g.a", "x", nil))
	s.execute(seconds(20), putCell("g.a", "y", nil))
	feed := NewFeed(s.records)
	if s.SweepDue(seconds(3.9)) {
		t.Fatal("a sweep is due before anything has ended")
	}
	swept := s.Sweep(seconds(40))
	s.apply(swept)
	feed.Apply(swept)
	for name := range s.records {
		if strings.HasPrefix(name, lockPrefix) || name == eventName("g.", 1) {
			t.Errorf("record %s was not erased", name)
		}
	}
	if _, _, err := feed.Since("g.", 0); err != ErrCompacted {
		t.Errorf("events after revision 0: %v, want ErrCompacted", err)
	}
	events, upTo, err := feed.Since("g.", 1)
	if err != nil || upTo != 2 || len(events) != 1 || events[0] != (Event{"g.a", "y", 2}) {
		t.Errorf("events after revision 1: %v %d %v", events, upTo, err)
	}
	if got := s.execute(seconds(41), putCell("g.a", "z", nil)); got != withRevision(3) {
		t.Errorf("the next put: %+v", got)
	}
	if s.totalBytes != sizeOfRecords(s.records) {
		t.Errorf("size %d is recorded, the records have %d bytes", s.totalBytes, sizeOfRecords(s.records))
	}
}

func sizeOfRecords(records map[string]Record) (size int) {
	for _, r := range records {
		size += recordSize(r)
	}
	return size
}

func TestPartitionLimits(t *testing.T) {
	full := Answer{Status: Full}
	s := load(t, map[string]Record{}, 0, Limits{History: time.Second, Bytes: 4000, HistoryBytes: 1000})
	last := OK
	for i := 0; last == OK && i < 100; i++ {
		last = s.execute(0, putCell("g.a", strconv.Itoa(i), nil)).Status
	}
	if last != Full {
		t.Fatal("the history has no limit")
	}
	if got := s.execute(0, putCell("g.a", "0", nil)); got != withRevision(1) {
		t.Errorf("a repeated put with a full history: %+v", got)
	}
	s.apply(s.Sweep(seconds(2)))
	if got := s.execute(seconds(2), putCell("g.a", "again", nil)); got.Status != OK {
		t.Errorf("after a sweep of the history: %+v", got)
	}
	for i := 0; i < 100; i++ {
		last = s.execute(0, Call{Operation: Acquire, Name: "l" + strconv.Itoa(i), Owner: "a", Lease: time.Second}).Status
	}
	if last != Full {
		t.Error("locks have no limit")
	}
	if got := s.execute(0, acquire("b", 1)); got != full {
		t.Errorf("an acquire beyond the limit: %+v", got)
	}
}

// While the disk has no room, calls that add a record are refused; a holder can still extend
// its lease.
func TestFullDiskRefusesNewRecords(t *testing.T) {
	room := 1 << 20
	limits := testLimits
	limits.HasRoom = func(bytes int) bool { return bytes <= room }
	s := load(t, map[string]Record{}, 0, limits)
	if got := s.execute(0, acquire("a", 1)); got.Status != OK {
		t.Fatalf("with room: %+v", got)
	}
	room = 0
	if got := s.execute(0, acquire("a", 1)); got.Status != OK {
		t.Errorf("the holder acquires again without room: %+v", got)
	}
	other := acquire("b", 1)
	other.Name = "other"
	for _, call := range []Call{other, putCell("g.a", "x", nil)} {
		if got := s.execute(0, call); got.Status != Full {
			t.Errorf("%+v without room: %+v", call, got)
		}
	}
}

func TestPartitionCountMismatchIsRefused(t *testing.T) {
	head := encode(headName, headRecord{Partitions: Partitions + 1})
	if _, err := Load(map[string]Record{headName: head}, 0, testLimits); err == nil {
		t.Error("a partition with another number of partitions was loaded")
	}
}

func TestNameChecks(t *testing.T) {
	for name, good := range map[string]bool{"l1": true, "trip 7": true, "hós.að": true, "": false, "a/b": false,
		"a\x00": false, "\xff": false, strings.Repeat("x", MaxName): true, strings.Repeat("x", MaxName+1): false} {
		if err := CheckName("name", name); (err == nil) != good {
			t.Errorf("%q: %v", name, err)
		}
	}
	for name, group := range map[string]string{"g1.2d": "g1.", "g1.a.b": "g1.", "plain": "plain", ".x": "."} {
		if got := GroupOf(name); got != group {
			t.Errorf("group of %q: %q", name, got)
		}
	}
	for group, good := range map[string]bool{"g1.": true, "g1": false, "g1.a.": false, ".": false, "": false} {
		if IsGroup(group) != good {
			t.Errorf("%q is a group: %v", group, !good)
		}
	}
}
