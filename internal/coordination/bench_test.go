package coordination

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkGrants measures how many locks one owner grants per second of simulated time, and
// how long a grant takes, by the duration of a disk sync and the number of callers. Messages
// take 0.9 ms one way. Each write waits for the previous one, which is slower than a disk that
// batches waiting writes.
func BenchmarkGrants(b *testing.B) {
	for _, sync := range []time.Duration{time.Millisecond, 2 * time.Millisecond} {
		for _, callers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("sync=%v/callers=%d", sync, callers), func(b *testing.B) {
				for b.Loop() {
					grants, took := measureGrants(b, sync, callers)
					b.ReportMetric(float64(grants)/benchmarkSpan.Seconds(), "grants/simulated-s")
					b.ReportMetric(took.Seconds()*1000/float64(max(grants, 1)), "simulated-ms/grant")
				}
			})
		}
	}
}

const benchmarkSpan = 3 * time.Second

// measureGrants runs callers that each acquire and release a lock of their own in a loop. All
// locks are in one partition.
func measureGrants(b *testing.B, sync time.Duration, callers int) (grants int, totalTime time.Duration) {
	s := newSimulation(b, 1, 5)
	s.latency, s.sync = 900*time.Microsecond, sync
	names := lockNamesIn(partitionName(lockPrefix+"l0"), callers)
	s.run(3 * time.Second)
	s.call(s.nodes[0], Call{Operation: Acquire, Name: names[0], Owner: "first", Lease: time.Millisecond}, func(Result) {})
	s.run(6 * time.Second)
	until := s.now + benchmarkSpan
	for i, name := range names {
		n := s.nodes[i%len(s.nodes)]
		var next func()
		next = func() {
			if s.now > until {
				return
			}
			sent := s.now
			s.call(n, Call{Operation: Acquire, Name: name, Owner: "a", Lease: time.Hour}, func(r Result) {
				if r.Effect == Answered && r.Answer.Status == OK && s.now <= until {
					grants, totalTime = grants+1, totalTime+s.now-sent
				}
				s.call(n, Call{Operation: Release, Name: name, Owner: "a", FencingToken: r.Answer.FencingToken}, func(Result) { next() })
			})
		}
		next()
	}
	s.run(until)
	return grants, totalTime
}

// lockNamesIn returns names of locks that are in a partition.
func lockNamesIn(partition string, count int) (names []string) {
	for i := 0; len(names) < count; i++ {
		if name := fmt.Sprintf("l%d", i); partitionName(lockPrefix+name) == partition {
			names = append(names, name)
		}
	}
	return names
}

// BenchmarkTakeover measures loading a partition with 1,000 leases, as a new owner does.
func BenchmarkTakeover(b *testing.B) {
	partition, err := Load(map[string]Record{}, 0, testLimits)
	if err != nil {
		b.Fatal(err)
	}
	records := map[string]Record{}
	for i := range 1000 {
		_, changes := partition.Execute(0, Call{Operation: Acquire, Name: fmt.Sprintf("l%d", i), Owner: "a", Lease: time.Minute})
		for _, r := range changes {
			records[r.Name] = r
		}
	}
	for b.Loop() {
		if _, err := Load(records, 0, testLimits); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPut measures a put into a group with open watches at one node, including the
// answers of the watches.
func BenchmarkPut(b *testing.B) {
	for _, watching := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprintf("watches=%d", watching), func(b *testing.B) {
			s := newTestServer()
			s.replica.records = map[string]Record{}
			p, err := Load(s.replica.records, 0, Limits{History: time.Hour, Bytes: 1 << 40, HistoryBytes: 1 << 40})
			if err != nil {
				b.Fatal(err)
			}
			s.Committed(groupPartition("g."), nil)
			answered, revision := 0, uint64(0)
			for b.Loop() {
				for range watching {
					s.Watch(&Watch{Group: "g.", After: revision, Done: func(WatchResult) { answered++ }})
				}
				revision++
				_, changes := p.Execute(0, putCell("g.a", fmt.Sprint(revision), nil))
				s.Committed(groupPartition("g."), changes)
			}
			if answered != watching*int(revision) {
				b.Fatalf("%d watches were answered after %d puts", answered, revision)
			}
		})
	}
}
