package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
)

// noSyncDirectory is a folder without syncs: what it holds is looked at, not lost.
type noSyncDirectory struct{ osDirectory }

func (noSyncDirectory) syncFile(*os.File) error { return nil }
func (noSyncDirectory) syncDir() error          { return nil }

// trackedStore keeps a state on a store as a member does, and watches the folder.
type trackedStore struct {
	t              testing.TB
	dir            string
	store          *Store
	state          map[string][]byte
	maxBytes       int64 // bytes that the folder ever held
	rewrites       int
	refusedBatches int // batches for which there was no room
}

func (f *trackedStore) directorySize() (sum int64) {
	paths, _ := filepath.Glob(filepath.Join(f.dir, "*"))
	for _, name := range paths {
		if info, err := os.Stat(name); err == nil {
			sum += info.Size()
		}
	}
	return sum
}

func (f *trackedStore) open(diskSize int64) {
	f.t.Helper()
	store, state, err := openDirectory(noSyncDirectory{osDirectory(f.dir)}, diskSize, discardLog)
	if err != nil || !sameState(state, f.state) {
		f.t.Fatalf("%d entries instead of %d: %v", len(state), len(f.state), err)
	}
	f.store = store
}

func (f *trackedStore) rewrite() {
	f.t.Helper()
	var all []Entry
	for k, v := range f.state {
		all = append(all, Entry{k, v})
	}
	before := f.directorySize()
	if err := f.store.Rewrite(all); err != nil {
		f.t.Fatal(err)
	}
	f.rewrites++
	f.maxBytes = max(f.maxBytes, before+f.directorySize()) // both files stood there
}

func (f *trackedStore) change(batch ...Entry) {
	f.t.Helper()
	for _, e := range batch {
		if f.state[e.Key] = e.Value; e.Value == nil {
			delete(f.state, e.Key)
		}
	}
	err := f.store.Write(batch)
	if err != nil && !errors.Is(err, ErrRoom) {
		f.t.Fatal(err)
	}
	if err != nil {
		f.refusedBatches++
	}
	f.maxBytes = max(f.maxBytes, f.directorySize())
	if err != nil || f.store.Full() {
		f.rewrite()
	}
	live := headerCommandSize
	for k, v := range f.state {
		live += commandSize(len(k), frameHeaderSize+len(v))
	}
	mark, _ := osDirectory(f.dir).size(markName)
	if f.store.fileSize+mark != f.directorySize() || f.store.liveSize != live {
		f.t.Fatalf("the store counts %d bytes, %d of them live; the folder holds %d, %d", f.store.fileSize+mark, f.store.liveSize, f.directorySize(), live)
	}
	if f.store.fileSize > max(3*live, f.store.diskSize/64) {
		f.t.Fatalf("%d bytes where %d stand", f.store.fileSize, live)
	}
	if f.store.fileSize == f.store.liveSize && f.store.Full() && f.store.liveSize < f.store.diskSize*7/16 {
		f.t.Fatalf("full at once after a rewrite of %d bytes", f.store.liveSize)
	}
}

// A catalogue near its limit of 12 MB on a disk of 64 MB, both a 64th: thousands of
// changes of a record, and some of a range and of all; while what stands grows and shrinks;
// with starts in between. The file and its rewrite stay within the disk, and the
// file, looked at after each change, within three times what stands (or a 64th of
// the disk); changes of a record never wait for room.
func TestFileStaysWithinItsDisk(t *testing.T) {
	const diskSize = 1 << 20
	const limit = diskSize * 12 / 64
	for _, c := range []struct {
		what       string
		key, value int   // bytes
		ranges     []int // of 16, by turns; 0: a record
		changes    int
	}{
		{"a record each", 20, 200, []int{0}, 3000},
		{"a range each", 20, 200, []int{1}, 600},
		{"all at once", 20, 200, []int{0, 1, 0, 16}, 150},
		{"names alone, twice what a catalogue counts", 200, 0, []int{0, 1, 4, 16}, 150},
		{"names alone, a record each", 200, 0, []int{0}, 900},
	} {
		t.Run(c.what, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(len(c.what))))
			n := limit / (c.key + c.value + 64)
			name := func(i int) string { return fmt.Sprintf("record/%0*d", c.key, i) }
			value := func() []byte { return []byte(fmt.Sprintf("%0*d", 100+c.key+c.value, rng.IntN(1e6))) }
			f := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
			f.open(diskSize)
			for i := range n {
				f.change(Entry{name(i), value()})
			}
			for i := range c.changes {
				var batch []Entry
				count := max(1, n*c.ranges[i%len(c.ranges)]/16)
				for at := rng.IntN(n); len(batch) < count; at++ {
					e := Entry{name(at % n), value()}
					if 3*i/c.changes == 1 && rng.IntN(8) > 0 {
						e.Value = nil // most of the second third remove
					}
					batch = append(batch, e)
				}
				f.change(batch...)
				if i%(c.changes/6) == 9 {
					f.store.Close()
					f.open(diskSize)
				}
			}
			if f.maxBytes > diskSize {
				t.Errorf("%d bytes on a disk of %d", f.maxBytes, diskSize)
			}
			if c.ranges[0] == 0 && len(c.ranges) == 1 && f.refusedBatches > 0 {
				t.Errorf("%d changes of a record had to wait for room", f.refusedBatches)
			}
			t.Logf("most %.2f of the disk, %d rewrites", float64(f.maxBytes)/diskSize, f.rewrites)
		})
	}
}

// A start with a file full of overwritten entries knows that it is worth a
// rewrite, and one with a file that was just rewritten that it is not.
func TestStartRecomputesLiveSize(t *testing.T) {
	const diskSize = 1 << 20
	f := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
	f.open(diskSize)
	e := Entry{"a", make([]byte, 100)}
	f.state[e.Key] = e.Value
	for f.store.fileSize <= diskSize/64 {
		if err := f.store.Write([]Entry{e}); err != nil {
			t.Fatal(err)
		}
	}
	f.store.Close()
	if f.open(diskSize); !f.store.Full() {
		t.Errorf("%d bytes, %d of them live, are not worth a rewrite", f.store.fileSize, f.store.liveSize)
	}
	f.rewrite()
	f.store.Close()
	if f.open(diskSize); f.store.Full() || f.store.fileSize != f.store.liveSize {
		t.Errorf("rewritten: %d bytes, %d of them live", f.store.fileSize, f.store.liveSize)
	}
}

// BenchmarkChanges is 3,000 changes of a record and its mark at a catalogue near
// its limit on a disk of 64 MB, then starts.
func BenchmarkChanges(b *testing.B) {
	f := &trackedStore{t: b, dir: b.TempDir(), state: map[string][]byte{}}
	value := func(i int) []byte { return fmt.Appendf(nil, "%0280d", i) }
	name := func(i int) string { return fmt.Sprintf("record/catalogue/route/%08d", i) }
	const records = 12 << 20 / (14 + 200 + 64)
	var all []Entry
	for i := range records {
		all = append(all, Entry{name(i), value(i)})
	}
	store, _, err := Open(f.dir, 0, discardLog)
	if err == nil {
		err = store.Rewrite(all)
	}
	if err != nil {
		b.Fatal(err)
	}
	fresh := store.fileSize
	for i := range 3000 {
		if err := store.Write([]Entry{{name(i * 7 % records), value(i)}, {"meta/catalogue", value(i)[:80]}}); err != nil {
			b.Fatal(err)
		}
		if store.Full() {
			b.Fatalf("full after %d changes", i)
		}
	}
	store.Close()
	for b.Loop() {
		l, state, err := Open(f.dir, 0, discardLog)
		if err != nil || len(state) != records+1 {
			b.Fatal(err, len(state))
		}
		l.Close()
	}
	b.ReportMetric(float64(fresh)/(1<<20), "MB-rewritten")
	b.ReportMetric(float64(store.fileSize)/(1<<20), "MB-after-changes")
}

// Where the state and its rewrite don't fit on the disk together, a rewrite is
// refused at once and says so; the file stays, and a smaller state is taken.
func TestRewriteThatDoesNotFit(t *testing.T) {
	const diskSize = 1 << 20
	f := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
	f.open(diskSize)
	f.change(Entry{"a", make([]byte, diskSize*3/8)})
	before := f.directorySize()
	large := []Entry{{"a", make([]byte, diskSize*3/4)}}
	if err := f.store.Rewrite(large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a rewrite above the disk: %v", err)
	}
	if f.directorySize() > before+headerCommandSize+markSlotStride+markRecordSize {
		t.Errorf("%d bytes are left of it", f.directorySize()-before)
	}
	if err := f.store.Write([]Entry{{"b", nil}}); err == nil {
		t.Error("a batch follows a refused rewrite")
	}
	f.rewrite()
	f.change(Entry{"b", []byte("1")})
	f.store.Close()
	f.open(diskSize)
	f.store.Close()
}
