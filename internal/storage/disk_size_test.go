package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
)

// noSyncDirectory is a directory that skips syncs, for tests without power loss.
type noSyncDirectory struct{ osDirectory }

func (noSyncDirectory) syncFile(*os.File) error { return nil }
func (noSyncDirectory) syncDir() error          { return nil }

// trackedStore uses a store as a replica does: it rewrites the file when it is full. It
// checks the store's counts after each change and records the size of the directory.
type trackedStore struct {
	t              testing.TB
	dir            string
	store          *Store
	state          map[string][]byte
	maxBytes       int64 // largest size of the directory so far
	rewrites       int
	refusedBatches int // batches refused with ErrRewriteRequired
}

func (s *trackedStore) directorySize() (sum int64) {
	paths, _ := filepath.Glob(filepath.Join(s.dir, "*"))
	for _, name := range paths {
		if info, err := os.Stat(name); err == nil {
			sum += info.Size()
		}
	}
	return sum
}

func (s *trackedStore) open(diskSize int64) {
	s.t.Helper()
	store, state, err := openDirectory(noSyncDirectory{osDirectory(s.dir)}, diskSize, discardLog)
	if err != nil || !sameState(state, s.state) {
		s.t.Fatalf("opened with %d entries, want %d: %v", len(state), len(s.state), err)
	}
	s.store = store
}

func (s *trackedStore) rewrite() {
	s.t.Helper()
	var entries []Entry
	for k, v := range s.state {
		entries = append(entries, Entry{k, v})
	}
	before := s.directorySize()
	if err := s.store.Rewrite(entries); err != nil {
		s.t.Fatal(err)
	}
	s.rewrites++
	s.maxBytes = max(s.maxBytes, before+s.directorySize()) // during the rewrite both files exist
}

func (s *trackedStore) change(batch ...Entry) {
	s.t.Helper()
	for _, e := range batch {
		if s.state[e.Key] = e.Value; e.Value == nil {
			delete(s.state, e.Key)
		}
	}
	err := s.store.Write(batch)
	if err != nil && !errors.Is(err, ErrRewriteRequired) {
		s.t.Fatal(err)
	}
	if err != nil {
		s.refusedBatches++
	}
	s.maxBytes = max(s.maxBytes, s.directorySize())
	if err != nil || s.store.ShouldRewrite() {
		s.rewrite()
	}
	live := headerCommandSize
	for k, v := range s.state {
		live += commandSize(len(k), frameHeaderSize+len(v))
	}
	mark, _ := osDirectory(s.dir).size(markName)
	if s.store.fileSize+mark != s.directorySize() || s.store.liveSize != live {
		s.t.Fatalf("the store counts %d bytes and %d live bytes; the directory holds %d and %d", s.store.fileSize+mark, s.store.liveSize, s.directorySize(), live)
	}
	if s.store.fileSize > max(3*live, s.store.diskSize/64) {
		s.t.Fatalf("the file has %d bytes for %d live bytes", s.store.fileSize, live)
	}
	if s.store.fileSize == s.store.liveSize && s.store.ShouldRewrite() && s.store.liveSize < s.store.diskSize*7/16 {
		s.t.Fatalf("full immediately after a rewrite of %d bytes", s.store.liveSize)
	}
}

// The configuration catalogue at its limit of 12 MB on a disk of 64 MB, both scaled to
// 1/64: thousands of changes of one record, some of ranges and of all records, while the
// live size grows and shrinks, with restarts in between. The file and its rewrite must
// fit on the disk, and after each change the file must be at most three times the live
// size (or 1/64 of the disk). Changes of one record must never be refused with ErrRewriteRequired.
func TestFileStaysWithinItsDisk(t *testing.T) {
	const diskSize = 1 << 20
	const limit = diskSize * 12 / 64
	for _, c := range []struct {
		what       string // its length is part of the random seed
		key, value int    // bytes
		sixteenths []int  // sixteenths (1/16) of all records per change, used in turn; 0: one record
		changes    int
	}{
		{"single record", 20, 200, []int{0}, 3000},
		{"single range", 20, 200, []int{1}, 600},
		{"mixed sizes", 20, 200, []int{0, 1, 0, 16}, 150},
		{"names only, twice the size that is counted", 200, 0, []int{0, 1, 4, 16}, 150},
		{"names only, single records", 200, 0, []int{0}, 900},
	} {
		t.Run(c.what, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(len(c.what))))
			n := limit / (c.key + c.value + 64)
			name := func(i int) string { return fmt.Sprintf("record/%0*d", c.key, i) }
			value := func() []byte { return []byte(fmt.Sprintf("%0*d", 100+c.key+c.value, rng.IntN(1e6))) }
			tracked := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
			tracked.open(diskSize)
			for i := range n {
				tracked.change(Entry{name(i), value()})
			}
			for i := range c.changes {
				var batch []Entry
				count := max(1, n*c.sixteenths[i%len(c.sixteenths)]/16)
				for at := rng.IntN(n); len(batch) < count; at++ {
					e := Entry{name(at % n), value()}
					if 3*i/c.changes == 1 && rng.IntN(8) > 0 {
						e.Value = nil // most changes in the second third of the run remove
					}
					batch = append(batch, e)
				}
				tracked.change(batch...)
				if i%(c.changes/6) == 9 {
					tracked.store.Close()
					tracked.open(diskSize)
				}
			}
			if tracked.maxBytes > diskSize {
				t.Errorf("%d bytes used on a disk of %d", tracked.maxBytes, diskSize)
			}
			if c.sixteenths[0] == 0 && len(c.sixteenths) == 1 && tracked.refusedBatches > 0 {
				t.Errorf("%d changes of a record were refused for lack of space", tracked.refusedBatches)
			}
			t.Logf("at most %.2f of the disk used, %d rewrites", float64(tracked.maxBytes)/diskSize, tracked.rewrites)
		})
	}
}

// A start computes the live size from the file: a file full of overwritten entries is
// reported as full, a rewritten one is not.
func TestStartRecomputesLiveSize(t *testing.T) {
	const diskSize = 1 << 20
	tracked := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
	tracked.open(diskSize)
	e := Entry{"a", make([]byte, 100)}
	tracked.state[e.Key] = e.Value
	for tracked.store.fileSize <= diskSize/64 {
		if err := tracked.store.Write([]Entry{e}); err != nil {
			t.Fatal(err)
		}
	}
	tracked.store.Close()
	if tracked.open(diskSize); !tracked.store.ShouldRewrite() {
		t.Errorf("%d bytes, %d of them live, are not reported as full", tracked.store.fileSize, tracked.store.liveSize)
	}
	tracked.rewrite()
	tracked.store.Close()
	if tracked.open(diskSize); tracked.store.ShouldRewrite() || tracked.store.fileSize != tracked.store.liveSize {
		t.Errorf("after a rewrite: %d bytes, %d of them live", tracked.store.fileSize, tracked.store.liveSize)
	}
}

// BenchmarkChanges makes 3,000 changes of a record and its commit index in a catalogue
// near its limit on a disk of 64 MB, and then measures starts.
func BenchmarkChanges(b *testing.B) {
	tracked := &trackedStore{t: b, dir: b.TempDir(), state: map[string][]byte{}}
	value := func(i int) []byte { return fmt.Appendf(nil, "%0280d", i) }
	name := func(i int) string { return fmt.Sprintf("record/catalogue/route/%08d", i) }
	const records = 12 << 20 / (14 + 200 + 64)
	var entries []Entry
	for i := range records {
		entries = append(entries, Entry{name(i), value(i)})
	}
	store, _, err := Open(tracked.dir, 0, discardLog)
	if err == nil {
		err = store.Rewrite(entries)
	}
	if err != nil {
		b.Fatal(err)
	}
	fresh := store.fileSize
	for i := range 3000 {
		if err := store.Write([]Entry{{name(i * 7 % records), value(i)}, {"meta/catalogue", value(i)[:80]}}); err != nil {
			b.Fatal(err)
		}
		if store.ShouldRewrite() {
			b.Fatalf("full after %d changes", i)
		}
	}
	store.Close()
	for b.Loop() {
		store, state, err := Open(tracked.dir, 0, discardLog)
		if err != nil || len(state) != records+1 {
			b.Fatal(err, len(state))
		}
		store.Close()
	}
	b.ReportMetric(float64(fresh)/(1<<20), "MB-rewritten")
	b.ReportMetric(float64(store.fileSize)/(1<<20), "MB-after-changes")
}

// A rewrite that does not fit on the disk beside the file is refused with ErrTooLarge
// before it is written. The file stays, and a rewrite of a smaller state succeeds.
func TestRewriteThatDoesNotFit(t *testing.T) {
	const diskSize = 1 << 20
	tracked := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
	tracked.open(diskSize)
	tracked.change(Entry{"a", make([]byte, diskSize*3/8)})
	before := tracked.directorySize()
	large := []Entry{{"a", make([]byte, diskSize*3/4)}}
	if err := tracked.store.Rewrite(large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("rewrite larger than the disk: %v", err)
	}
	if tracked.directorySize() > before+headerCommandSize+markSlotStride+markRecordSize {
		t.Errorf("the refused rewrite left %d bytes", tracked.directorySize()-before)
	}
	if err := tracked.store.Write([]Entry{{"b", nil}}); err == nil {
		t.Error("a batch was accepted after a refused rewrite")
	}
	tracked.rewrite()
	tracked.change(Entry{"b", []byte("1")})
	tracked.store.Close()
	tracked.open(diskSize)
	tracked.store.Close()
}
