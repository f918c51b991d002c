package controlplane

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"madderwing/internal/storage"
)

// memoryStore is a store in memory whose writes fail with err if that is set.
type memoryStore struct {
	t          *testing.T
	state      map[string]string
	err        error
	full       bool
	lastFailed bool
	log        []string
}

func (s *memoryStore) Write(entries []storage.Entry) error {
	if s.lastFailed {
		s.t.Error("a batch is written after a failed write")
	}
	return s.apply("write", entries)
}

func (s *memoryStore) Rewrite(entries []storage.Entry) error {
	old := s.state
	s.state = map[string]string{}
	err := s.apply("rewrite", entries)
	if err != nil {
		s.state = old
	}
	return err
}

func (s *memoryStore) ShouldRewrite() bool { return s.full }

func (s *memoryStore) apply(operation string, entries []storage.Entry) error {
	keys := ""
	for _, e := range entries {
		keys += " " + e.Key
	}
	s.log = append(s.log, operation+keys)
	s.lastFailed = s.err != nil
	if s.err != nil {
		return s.err
	}
	for _, e := range entries {
		if s.state[e.Key] = string(e.Value); e.Value == nil {
			delete(s.state, e.Key)
		}
	}
	return nil
}

func TestWriter(t *testing.T) {
	job := func(id uint64, keys ...string) (j writeJob) {
		for _, k := range keys {
			j.entries = append(j.entries, storage.Entry{Key: k, Value: []byte{1}})
		}
		j.id = id
		return j
	}
	snapshotJob := func(id uint64, keys ...string) writeJob {
		j := job(id, keys...)
		j.snapshot = true
		return j
	}
	errRefused := errors.New("refused")
	type step struct {
		jobs    []writeJob
		refuse  error
		full    bool
		wantLog string
		want    writeOutcome
	}
	ok := func(id uint64, wantLog string, jobs ...writeJob) step {
		return step{jobs, nil, false, wantLog, writeOutcome{durable: id}}
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"one batch", []step{ok(1, "write a", job(1, "a"))}},
		{"queued batches", []step{ok(3, "write a b a", job(1, "a"), job(2, "b"), job(3, "a"))}},
		{"a snapshot replaces what was queued before it", []step{
			ok(2, "rewrite a b", job(1, "a"), job(2, "b"), snapshotJob(2, "a", "b"))}},
		{"what was queued after a snapshot is written with it", []step{
			ok(3, "rewrite a b c", job(1, "a"), snapshotJob(2, "a", "b"), job(3, "c"))}},
		{"the newer of two snapshots", []step{ok(4, "rewrite a c d", snapshotJob(1, "a"), job(2, "b"), snapshotJob(3, "a", "c"), job(4, "d"))}},
		{"after a failure nothing is durable before a snapshot", []step{
			{[]writeJob{job(1, "a")}, errRefused, false, "write a", writeOutcome{0, rewriteLater, errRefused}},
			{[]writeJob{job(2, "b")}, nil, false, "", writeOutcome{}},
			{[]writeJob{job(3, "c")}, nil, true, "", writeOutcome{}},
			ok(3, "rewrite a b c", snapshotJob(3, "a", "b", "c")),
			ok(4, "write d", job(4, "d"))}},
		{"repeated failures", []step{
			{[]writeJob{job(1, "a")}, errRefused, false, "write a", writeOutcome{0, rewriteLater, errRefused}},
			{[]writeJob{snapshotJob(1, "a"), job(2, "b")}, errRefused, false, "rewrite a b", writeOutcome{0, rewriteLater, errRefused}},
			{[]writeJob{job(3, "c")}, nil, false, "", writeOutcome{}},
			{[]writeJob{snapshotJob(3, "a", "b", "c")}, errRefused, false, "rewrite a b c", writeOutcome{0, rewriteLater, errRefused}},
			ok(5, "rewrite a b c d e", job(4, "d"), snapshotJob(4, "a", "b", "c", "d"), job(5, "e"))}},
		{"a snapshot queued before a failed batch does not cover it", []step{
			{[]writeJob{job(1, "a")}, nil, true, "write a", writeOutcome{1, rewriteNow, nil}},
			ok(1, "rewrite a", snapshotJob(1, "a")),
			{[]writeJob{job(2, "b")}, errRefused, false, "write b", writeOutcome{0, rewriteLater, errRefused}},
			{[]writeJob{job(3, "c")}, nil, false, "", writeOutcome{}},
			ok(3, "rewrite a b c", snapshotJob(3, "a", "b", "c"))}},
		{"no room: a snapshot is requested at once", []step{
			{[]writeJob{job(1, "a")}, storage.ErrRewriteRequired, false, "write a", writeOutcome{0, rewriteNow, storage.ErrRewriteRequired}},
			ok(1, "rewrite a", snapshotJob(1, "a"))}},
		{"full: a snapshot is requested once", []step{
			{[]writeJob{job(1, "a")}, nil, true, "write a", writeOutcome{1, rewriteNow, nil}},
			{[]writeJob{job(2, "b")}, nil, true, "write b", writeOutcome{2, noRewrite, nil}},
			{[]writeJob{job(3, "c")}, errRefused, true, "write c", writeOutcome{0, noRewrite, errRefused}},
			ok(3, "rewrite a b c", snapshotJob(3, "a", "b", "c")),
			{[]writeJob{job(4, "d")}, nil, true, "write d", writeOutcome{4, rewriteNow, nil}}}},
		{"full after a rewrite: no further request before a change", []step{
			{[]writeJob{snapshotJob(1, "a")}, nil, true, "rewrite a", writeOutcome{1, noRewrite, nil}}}},
		{"a rewrite to make room fails", []step{
			{[]writeJob{job(1, "a")}, nil, true, "write a", writeOutcome{1, rewriteNow, nil}},
			{[]writeJob{snapshotJob(1, "a"), job(2, "b")}, errRefused, true, "rewrite a b", writeOutcome{0, rewriteLater, errRefused}},
			ok(2, "rewrite a b", snapshotJob(2, "a", "b"))}},
	} {
		store := &memoryStore{t: t, state: map[string]string{}}
		diskWriter := writer{store: store}
		for i, step := range test.steps {
			store.err, store.full, store.log = step.refuse, step.full, nil
			if got := diskWriter.write(step.jobs); got != step.want || strings.Join(store.log, ", ") != step.wantLog {
				t.Errorf("%s, step %d: %+v and %q, want %+v and %q", test.name, i, got, store.log, step.want, step.wantLog)
			}
		}
	}
}

// Writes fail at random and jobs are batched at random. When a job is reported as durable, the
// store holds exactly the state up to that job. Once writes no longer fail, every job is reported.
func TestWriterReportsOnlyDurableJobs(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 19))
		store := &memoryStore{t: t, state: map[string]string{}}
		diskWriter := writer{store: store}
		state := map[string]string{}
		states := []map[string]string{{}}
		var queue []writeJob
		rewritesDue, last := 0, uint64(0)
		for round := 0; round < 200 || rewritesDue > 0 || len(queue) > 0; round++ {
			if round < 200 && rng.IntN(2) == 0 {
				var entry storage.Entry
				if entry.Key = fmt.Sprint(rng.IntN(5)); rng.IntN(3) > 0 {
					entry.Value = fmt.Append(nil, round)
				}
				if state[entry.Key] = string(entry.Value); entry.Value == nil {
					delete(state, entry.Key)
				}
				states = append(states, maps.Clone(state))
				queue = append(queue, writeJob{[]storage.Entry{entry}, uint64(len(states) - 1), false})
			}
			if rewritesDue > 0 && (round >= 200 || rng.IntN(4) == 0) {
				rewritesDue--
				snapshot := writeJob{nil, uint64(len(states) - 1), true}
				for k, v := range state {
					snapshot.entries = append(snapshot.entries, storage.Entry{Key: k, Value: []byte(v)})
				}
				queue = append(queue, snapshot)
			}
			if len(queue) == 0 || round < 200 && rng.IntN(3) > 0 {
				continue
			}
			store.err = nil
			if round < 200 && rng.IntN(3) == 0 {
				store.err = []error{storage.ErrRewriteRequired, errors.New("refused")}[rng.IntN(2)]
			}
			store.full = rng.IntN(4) == 0
			outcome := diskWriter.write(queue)
			queue = nil
			if outcome.rewrite != noRewrite {
				rewritesDue++
			}
			if outcome.durable > 0 {
				if last = outcome.durable; !maps.Equal(store.state, states[last]) {
					t.Fatalf("seed %d: job %d is reported, but the store holds %v, not %v", seed, last, store.state, states[last])
				}
			}
		}
		if last != uint64(len(states)-1) {
			t.Fatalf("seed %d: %d of %d jobs reported", seed, last, len(states)-1)
		}
	}
}
