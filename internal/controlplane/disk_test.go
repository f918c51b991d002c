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

// memoryStore is a store in memory that refuses what it is told to.
type memoryStore struct {
	t      *testing.T
	state  map[string]string
	refuse error
	full   bool
	bad    bool
	log    []string
}

func (s *memoryStore) Write(entries []storage.Entry) error {
	if s.bad {
		s.t.Error("a batch is written after a refusal")
	}
	return s.take("write", entries)
}

func (s *memoryStore) Rewrite(entries []storage.Entry) error {
	old := s.state
	s.state = map[string]string{}
	err := s.take("rewrite", entries)
	if err != nil {
		s.state = old
	}
	return err
}

func (s *memoryStore) Full() bool { return s.full }

func (s *memoryStore) take(what string, entries []storage.Entry) error {
	keys := ""
	for _, e := range entries {
		keys += " " + e.Key
	}
	s.log = append(s.log, what+keys)
	s.bad = s.refuse != nil
	if s.refuse != nil {
		return s.refuse
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
	whole := func(id uint64, keys ...string) writeJob {
		j := job(id, keys...)
		j.wholeState = true
		return j
	}
	io := errors.New("refused")
	type step struct {
		jobs   []writeJob
		refuse error
		full   bool
		did    string
		want   writeOutcome
	}
	ok := func(id uint64, did string, jobs ...writeJob) step {
		return step{jobs, nil, false, did, writeOutcome{durable: id}}
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"one batch", []step{ok(1, "write a", job(1, "a"))}},
		{"batches that waited", []step{ok(3, "write a b a", job(1, "a"), job(2, "b"), job(3, "a"))}},
		{"the whole state takes the place of what was put before it", []step{
			ok(2, "rewrite a b", job(1, "a"), job(2, "b"), whole(2, "a", "b"))}},
		{"what was put after it is written with it", []step{
			ok(3, "rewrite a b c", job(1, "a"), whole(2, "a", "b"), job(3, "c"))}},
		{"the newer of two", []step{ok(4, "rewrite a c d", whole(1, "a"), job(2, "b"), whole(3, "a", "c"), job(4, "d"))}},
		{"refused, and nothing durable before the whole state", []step{
			{[]writeJob{job(1, "a")}, io, false, "write a", writeOutcome{0, rewriteLater, io}},
			{[]writeJob{job(2, "b")}, nil, false, "", writeOutcome{}},
			{[]writeJob{job(3, "c")}, nil, true, "", writeOutcome{}},
			ok(3, "rewrite a b c", whole(3, "a", "b", "c")),
			ok(4, "write d", job(4, "d"))}},
		{"refused again and again", []step{
			{[]writeJob{job(1, "a")}, io, false, "write a", writeOutcome{0, rewriteLater, io}},
			{[]writeJob{whole(1, "a"), job(2, "b")}, io, false, "rewrite a b", writeOutcome{0, rewriteLater, io}},
			{[]writeJob{job(3, "c")}, nil, false, "", writeOutcome{}},
			{[]writeJob{whole(3, "a", "b", "c")}, io, false, "rewrite a b c", writeOutcome{0, rewriteLater, io}},
			ok(5, "rewrite a b c d e", job(4, "d"), whole(4, "a", "b", "c", "d"), job(5, "e"))}},
		{"a state that was put before a refused batch does not stand for it", []step{
			{[]writeJob{job(1, "a")}, nil, true, "write a", writeOutcome{1, rewriteNow, nil}},
			ok(1, "rewrite a", whole(1, "a")),
			{[]writeJob{job(2, "b")}, io, false, "write b", writeOutcome{0, rewriteLater, io}},
			{[]writeJob{job(3, "c")}, nil, false, "", writeOutcome{}},
			ok(3, "rewrite a b c", whole(3, "a", "b", "c"))}},
		{"no room: the whole state at once", []step{
			{[]writeJob{job(1, "a")}, storage.ErrRoom, false, "write a", writeOutcome{0, rewriteNow, storage.ErrRoom}},
			ok(1, "rewrite a", whole(1, "a"))}},
		{"full: asked for once", []step{
			{[]writeJob{job(1, "a")}, nil, true, "write a", writeOutcome{1, rewriteNow, nil}},
			{[]writeJob{job(2, "b")}, nil, true, "write b", writeOutcome{2, noRewrite, nil}},
			{[]writeJob{job(3, "c")}, io, true, "write c", writeOutcome{0, noRewrite, io}},
			ok(3, "rewrite a b c", whole(3, "a", "b", "c")),
			{[]writeJob{job(4, "d")}, nil, true, "write d", writeOutcome{4, rewriteNow, nil}}}},
		{"full though just rewritten: not again before a change", []step{
			{[]writeJob{whole(1, "a")}, nil, true, "rewrite a", writeOutcome{1, noRewrite, nil}}}},
		{"a rewrite that was to make room is refused", []step{
			{[]writeJob{job(1, "a")}, nil, true, "write a", writeOutcome{1, rewriteNow, nil}},
			{[]writeJob{whole(1, "a"), job(2, "b")}, io, true, "rewrite a b", writeOutcome{0, rewriteLater, io}},
			ok(2, "rewrite a b", whole(2, "a", "b"))}},
	} {
		s := &memoryStore{t: t, state: map[string]string{}}
		w := writer{store: s}
		for i, st := range c.steps {
			s.refuse, s.full, s.log = st.refuse, st.full, nil
			if got := w.write(st.jobs); got != st.want || strings.Join(s.log, ", ") != st.did {
				t.Errorf("%s, step %d: %+v and %q, not %+v and %q", c.name, i, got, s.log, st.want, st.did)
			}
		}
	}
}

// Whatever is refused and however jobs come together: when a job is reported,
// the store holds just what had been asked for up to it; and once nothing is
// refused any more, everything is reported.
func TestWriterReportsWhatIsThere(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 19))
		s := &memoryStore{t: t, state: map[string]string{}}
		w := writer{store: s}
		state := map[string]string{}
		states := []map[string]string{{}}
		var queue []writeJob
		asked, last := 0, uint64(0)
		for n := 0; n < 200 || asked > 0 || len(queue) > 0; n++ {
			if n < 200 && rng.IntN(2) == 0 {
				var e storage.Entry
				if e.Key = fmt.Sprint(rng.IntN(5)); rng.IntN(3) > 0 {
					e.Value = fmt.Append(nil, n)
				}
				if state[e.Key] = string(e.Value); e.Value == nil {
					delete(state, e.Key)
				}
				states = append(states, maps.Clone(state))
				queue = append(queue, writeJob{[]storage.Entry{e}, uint64(len(states) - 1), false})
			}
			if asked > 0 && (n >= 200 || rng.IntN(4) == 0) {
				asked--
				all := writeJob{nil, uint64(len(states) - 1), true}
				for k, v := range state {
					all.entries = append(all.entries, storage.Entry{Key: k, Value: []byte(v)})
				}
				queue = append(queue, all)
			}
			if len(queue) == 0 || n < 200 && rng.IntN(3) > 0 {
				continue
			}
			s.refuse = nil
			if n < 200 && rng.IntN(3) == 0 {
				s.refuse = []error{storage.ErrRoom, errors.New("refused")}[rng.IntN(2)]
			}
			s.full = rng.IntN(4) == 0
			done := w.write(queue)
			queue = nil
			if done.rewrite != noRewrite {
				asked++
			}
			if done.durable > 0 {
				if last = done.durable; !maps.Equal(s.state, states[last]) {
					t.Fatalf("seed %d: job %d is reported, but %v stands, not %v", seed, last, s.state, states[last])
				}
			}
		}
		if last != uint64(len(states)-1) {
			t.Fatalf("seed %d: %d of %d jobs reported", seed, last, len(states)-1)
		}
	}
}
