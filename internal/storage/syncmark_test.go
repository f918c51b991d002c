package storage

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Any byte of a synced file is changed, or the file is truncated there. If the sync mark
// names the last batch, a start must report damage and return nothing, never an earlier
// state.
func TestDamageInLastSyncedBatch(t *testing.T) {
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 22))
		name, text, state := randomFile(t, rng)
		number := lastBatchOf(t, text)
		checkStart := func(what string, damaged []byte) {
			dir := scratchDir(t)
			os.WriteFile(filepath.Join(dir, name), damaged, 0o600)
			os.WriteFile(filepath.Join(dir, markName), encodeMark(number), 0o600)
			store, found, err := Open(dir, 0, discardLog)
			if err != nil && !errors.Is(err, ErrDamaged) {
				t.Fatalf("seed %d, %s: %v", seed, what, err)
			}
			defer store.Close()
			if intact := bytes.Equal(damaged, text); intact && (err != nil || !sameState(found, state)) || !intact && (err == nil || len(found) > 0) {
				t.Errorf("seed %d, %s: %v, %q", seed, what, err, found)
			}
		}
		checkStart("intact", text)
		for offset := range text {
			damagedText := bytes.Clone(text)
			damagedText[offset] ^= 1 << rng.IntN(8)
			checkStart(fmt.Sprintf("byte %d of %d", offset, len(text)), damagedText)
			checkStart(fmt.Sprintf("truncated at %d of %d", offset, len(text)), text[:offset])
		}
	}
}

// randomFile writes a few batches with rewrites in between, and returns the file and its
// state.
func randomFile(t *testing.T, rng *rand.Rand) (name string, text []byte, state map[string][]byte) {
	tracked := &trackedStore{t: t, dir: scratchDir(t), state: map[string][]byte{}}
	tracked.open(0)
	for range 1 + rng.IntN(4) {
		tracked.change(Entry{fmt.Sprint(rng.IntN(3)), make([]byte, rng.IntN(9))}, Entry{"last", []byte{byte(rng.IntN(256))}})
		if rng.IntN(3) == 0 {
			tracked.rewrite()
		}
	}
	tracked.store.Close()
	path := storeFile(t, tracked.dir)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return filepath.Base(path), text, tracked.state
}

// lastBatchOf returns the number of the last batch of a file.
func lastBatchOf(t *testing.T, text []byte) uint64 {
	_, end, lastBatch, err := scan(text)
	if err != nil || end != int64(len(text)) {
		t.Fatal(err)
	}
	return lastBatch
}

// encodeMark returns a mark file with a single mark.
func encodeMark(batch uint64) []byte {
	record := make([]byte, markRecordSize)
	for i := range 8 {
		record[4+i] = byte(batch >> (56 - 8*i))
	}
	sum := markChecksum(record)
	for i := range 4 {
		record[i] = byte(sum >> (24 - 8*i))
	}
	return record
}

// An incomplete last batch without a mark is taken for one that was not synced; the mark of
// an earlier batch does not make it damage. A torn mark leaves the previous one valid, and
// an unreadable mark file counts as no mark.
func TestSyncMark(t *testing.T) {
	dir := scratchDir(t)
	store, _, err := Open(dir, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, markName)
	var texts [][]byte
	for i := range byte(4) {
		if err := store.Write([]Entry{{"a", []byte{i}}}); err != nil {
			t.Fatal(err)
		}
		if err := store.MarkSynced(); err != nil {
			t.Fatal(err)
		}
		text, _ := os.ReadFile(path)
		texts = append(texts, text)
		for offset := range markRecordSize {
			torn := bytes.Clone(text)
			slotStart := int(i) % markSlots * markSlotStride
			torn[slotStart+offset] ^= 0x10
			m := syncMark{}
			os.WriteFile(path, torn, 0o600)
			if err := m.load(osDirectory(dir)); err != nil || m.batch != uint64(i)+1 && i > 0 || i == 0 && m.batch != 0 {
				t.Errorf("mark %d torn at %d: %d, %v", i+2, offset, m.batch, err)
			}
			os.WriteFile(path, text, 0o600)
		}
	}
	kill(store)
	if m := (syncMark{}); m.load(osDirectory(dir)) != nil || m.batch != 5 {
		t.Errorf("the mark has batch %d", m.batch)
	}
	storePath := storeFile(t, dir)
	text, _ := os.ReadFile(storePath)
	for i, mark := range append(texts, nil) {
		dir := scratchDir(t)
		os.WriteFile(filepath.Join(dir, filepath.Base(storePath)), text[:len(text)-1], 0o600)
		os.WriteFile(filepath.Join(dir, markName), mark, 0o600)
		store, state, err := Open(dir, 0, discardLog)
		if last := i == len(texts)-1; errors.Is(err, ErrDamaged) != last || (len(state) == 0) != last {
			t.Errorf("mark of batch %d with batch 5 torn: %v, %q", i+2, err, state)
		}
		store.Close()
	}
}

// unreliableDirectory is a disk whose operations can fail. After a failed sync of a file,
// later syncs of that file report success although nothing is written.
type unreliableDirectory struct {
	osDirectory
	shouldFail    func() bool
	durable       directoryContents // what a power loss leaves
	failedSyncs   map[uint64]bool   // inodes of files with a failed sync
	unsyncedNames map[string]bool   // names whose creation or removal is not durable
}

func (d *unreliableDirectory) create(name string) (*os.File, error) {
	_, absent := d.size(name)
	f, err := d.osDirectory.create(name)
	d.unsyncedNames[name] = true
	if absent != nil {
		delete(d.failedSyncs, inode(f)) // the inode number may have been used by another file before
	}
	return f, err
}

func (d *unreliableDirectory) remove(name string) error {
	if d.shouldFail() {
		return os.ErrInvalid
	}
	d.unsyncedNames[name] = true
	return d.osDirectory.remove(name)
}

func (d *unreliableDirectory) syncFile(f *os.File) error {
	id := inode(f)
	if d.shouldFail() {
		d.failedSyncs[id] = true
		return os.ErrInvalid
	}
	if d.failedSyncs[id] {
		return nil // reports success but writes nothing
	}
	name := filepath.Base(f.Name())
	d.durable[name], _ = d.read(name)
	return nil
}

func (d *unreliableDirectory) syncDir() error {
	if d.shouldFail() {
		return os.ErrInvalid
	}
	for name := range d.unsyncedNames {
		if _, err := d.size(name); err != nil {
			delete(d.durable, name)
		}
	}
	clear(d.unsyncedNames)
	return nil
}

// Syncs and removals fail at random, and a sync after a failed one reports success without
// writing. Processes are killed and power is lost at any time. A start must always find
// every acknowledged batch.
func TestNoDataLossAfterFailedSync(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		failurePercent := 0
		disk := &unreliableDirectory{shouldFail: func() bool { return rng.IntN(100) < failurePercent }, durable: directoryContents{}}
		acknowledged := map[string][]byte{} // state after the last successful write
		var uncertain []map[string][]byte   // states after the failed writes since then
		boot := func(files directoryContents) {
			dir := scratchDir(t)
			for name, text := range files {
				os.WriteFile(filepath.Join(dir, name), text, 0o600)
			}
			disk.osDirectory, disk.failedSyncs, disk.unsyncedNames = osDirectory(dir), map[uint64]bool{}, map[string]bool{}
			disk.durable = maps.Clone(files)
		}
		powerLoss := func() {
			for _, name := range slices.Sorted(maps.Keys(disk.unsyncedNames)) {
				if rng.IntN(2) == 0 {
					delete(disk.durable, name)
				}
			}
			boot(disk.durable)
		}
		boot(directoryContents{})
		var store *Store
		for step := range 120 {
			failurePercent = []int{0, 0, 30}[rng.IntN(3)]
			if store == nil {
				if rng.IntN(4) == 0 {
					powerLoss()
				}
				s, state, err := openDirectory(disk, 0, discardLog)
				if err != nil {
					if errors.Is(err, ErrDamaged) {
						t.Fatalf("seed %d, step %d: %v", seed, step, err)
					}
					continue
				}
				if !sameState(state, acknowledged) && !slices.ContainsFunc(uncertain, func(m map[string][]byte) bool { return sameState(m, state) }) {
					t.Fatalf("seed %d, step %d: got %q, want %q or one of %q", seed, step, state, acknowledged, uncertain)
				}
				store, acknowledged, uncertain = s, state, nil
				continue
			}
			switch rng.IntN(12) {
			case 0: // a kill
				kill(store)
				store = nil
			case 1: // a power loss
				kill(store)
				powerLoss()
				store = nil
			case 2:
				_ = store.MarkSynced()
			case 3:
				if store.Rewrite((candidate{state: inMemoryState(acknowledged, uncertain)}).entries()) == nil {
					acknowledged, uncertain = inMemoryState(acknowledged, uncertain), nil
				}
			default:
				next := maps.Clone(inMemoryState(acknowledged, uncertain))
				e := Entry{fmt.Sprint(rng.IntN(3)), fmt.Append(nil, step)}
				next[e.Key] = e.Value
				uncertain = append(uncertain, next)
				if store.Write([]Entry{e}) == nil {
					acknowledged, uncertain = next, nil
				}
			}
		}
		if store != nil {
			store.Close()
		}
	}
}

// inMemoryState returns the state in the replica's memory, which includes failed writes.
func inMemoryState(acknowledged map[string][]byte, uncertain []map[string][]byte) map[string][]byte {
	if len(uncertain) > 0 {
		return uncertain[len(uncertain)-1]
	}
	return acknowledged
}
