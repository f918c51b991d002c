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

// A byte of what was synced is changed, anywhere, or the file ends before it: with
// the mark written a start finds nothing and says so, never an earlier state.
func TestDamageInTheLastSyncedBatch(t *testing.T) {
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 22))
		name, text, state := randomFile(t, rng)
		number := batchOf(t, text)
		start := func(what string, damaged []byte) {
			dir := scratch(t)
			os.WriteFile(filepath.Join(dir, name), damaged, 0o600)
			os.WriteFile(filepath.Join(dir, markName), markText(number), 0o600)
			l, got, err := Open(dir, 0, quiet)
			if err != nil && !errors.Is(err, ErrDamaged) {
				t.Fatalf("seed %d, %s: %v", seed, what, err)
			}
			defer l.Close()
			if whole := bytes.Equal(damaged, text); whole && (err != nil || !same(got, state)) || !whole && (err == nil || len(got) > 0) {
				t.Errorf("seed %d, %s: %v, %q", seed, what, err, got)
			}
		}
		start("whole", text)
		for at := range text {
			with := bytes.Clone(text)
			with[at] ^= 1 << rng.IntN(8)
			start(fmt.Sprintf("byte %d of %d", at, len(text)), with)
			start(fmt.Sprintf("cut at %d of %d", at, len(text)), text[:at])
		}
	}
}

// randomFile writes a few batches, some after a rewrite.
func randomFile(t *testing.T, rng *rand.Rand) (name string, text []byte, state map[string][]byte) {
	f := &filer{t: t, dir: scratch(t), state: map[string][]byte{}}
	f.open(0)
	for range 1 + rng.IntN(4) {
		f.change(Entry{fmt.Sprint(rng.IntN(3)), make([]byte, rng.IntN(9))}, Entry{"last", []byte{byte(rng.IntN(256))}})
		if rng.IntN(3) == 0 {
			f.rewrite()
		}
	}
	f.l.Close()
	path := file(t, f.dir)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return filepath.Base(path), text, f.state
}

// batchOf returns the number of the last batch of a file.
func batchOf(t *testing.T, text []byte) uint64 {
	_, end, last, err := scan(text)
	if err != nil || end != int64(len(text)) {
		t.Fatal(err)
	}
	return last
}

// markText is a mark file that has had one mark.
func markText(number uint64) []byte {
	record := make([]byte, markSize)
	for i := range 8 {
		record[4+i] = byte(number >> (56 - 8*i))
	}
	sum := markChecksum(record)
	for i := range 4 {
		record[i] = byte(sum >> (24 - 8*i))
	}
	return record
}

// A batch that was not marked and is not whole was not synced, as far as anybody
// can tell; the mark of an earlier batch does not make it damage. A mark that is
// torn leaves the one before it, and one that can't be read claims nothing.
func TestMark(t *testing.T) {
	dir := scratch(t)
	l, _, err := Open(dir, 0, quiet)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, markName)
	var texts [][]byte
	for i := range byte(4) {
		if err := l.Write([]Entry{{"a", []byte{i}}}); err != nil {
			t.Fatal(err)
		}
		if err := l.MarkSynced(); err != nil {
			t.Fatal(err)
		}
		text, _ := os.ReadFile(path)
		texts = append(texts, text)
		for cut := range markSize {
			torn := bytes.Clone(text)
			at := int(i) % markPlaces * markDistance
			torn[at+cut] ^= 0x10
			m := syncMark{}
			os.WriteFile(path, torn, 0o600)
			if err := m.load(osFolder(dir)); err != nil || m.number != uint64(i)+1 && i > 0 || i == 0 && m.number != 0 {
				t.Errorf("mark %d torn at %d: %d, %v", i+2, cut, m.number, err)
			}
			os.WriteFile(path, text, 0o600)
		}
	}
	kill(l)
	if m := (syncMark{}); m.load(osFolder(dir)) != nil || m.number != 5 {
		t.Errorf("the mark says %d", m.number)
	}
	whole := file(t, dir)
	text, _ := os.ReadFile(whole)
	for i, mark := range append(texts, nil) {
		dir := scratch(t)
		os.WriteFile(filepath.Join(dir, filepath.Base(whole)), text[:len(text)-1], 0o600)
		os.WriteFile(filepath.Join(dir, markName), mark, 0o600)
		l, state, err := Open(dir, 0, quiet)
		if last := i == len(texts)-1; errors.Is(err, ErrDamaged) != last || (len(state) == 0) != last {
			t.Errorf("mark of batch %d, and batch 5 is torn: %v, %q", i+2, err, state)
		}
		l.Close()
	}
}

// unreliable is a disk that refuses syncs while it is told to, and after one that it
// has refused claims success for the same file though nothing was written.
type unreliable struct {
	osFolder
	refuse func() bool
	disk   files           // what a loss of power leaves
	failed map[uint64]bool // inodes of which a sync has failed
	names  map[string]bool // whose change isn't durable
}

func (u *unreliable) create(name string) (*os.File, error) {
	_, absent := u.size(name)
	f, err := u.osFolder.create(name)
	u.names[name] = true
	if absent != nil {
		delete(u.failed, inode(f)) // the number may have been another file's
	}
	return f, err
}

func (u *unreliable) remove(name string) error {
	if u.refuse() {
		return os.ErrInvalid
	}
	u.names[name] = true
	return u.osFolder.remove(name)
}

func (u *unreliable) sync(f *os.File) error {
	id := inode(f)
	if u.refuse() {
		u.failed[id] = true
		return os.ErrInvalid
	}
	if u.failed[id] {
		return nil // and nothing is written any more
	}
	name := filepath.Base(f.Name())
	u.disk[name], _ = u.read(name)
	return nil
}

func (u *unreliable) syncNames() error {
	if u.refuse() {
		return os.ErrInvalid
	}
	for name := range u.names {
		if _, err := u.size(name); err != nil {
			delete(u.disk, name)
		}
	}
	clear(u.names)
	return nil
}

// Syncs are refused now and then, and claimed after; processes are killed at any
// time, and power is lost. What was reported is there, whatever was refused before.
func TestRefusedSyncIsNeverBelieved(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		chance := 0
		u := &unreliable{refuse: func() bool { return rng.IntN(100) < chance }, disk: files{}}
		reported := map[string][]byte{} // and the change after it, if one was put
		var maybe []map[string][]byte
		boot := func(have files) {
			dir := scratch(t)
			for name, text := range have {
				os.WriteFile(filepath.Join(dir, name), text, 0o600)
			}
			u.osFolder, u.failed, u.names = osFolder(dir), map[uint64]bool{}, map[string]bool{}
			u.disk = maps.Clone(have)
		}
		powerLoss := func() {
			for _, name := range slices.Sorted(maps.Keys(u.names)) {
				if rng.IntN(2) == 0 {
					delete(u.disk, name)
				}
			}
			boot(u.disk)
		}
		boot(files{})
		var l *Store
		for step := range 120 {
			chance = []int{0, 0, 30}[rng.IntN(3)]
			if l == nil {
				if rng.IntN(4) == 0 {
					powerLoss()
				}
				s, state, err := open(u, 0, quiet)
				if err != nil {
					if errors.Is(err, ErrDamaged) {
						t.Fatalf("seed %d, step %d: %v", seed, step, err)
					}
					continue
				}
				if !same(state, reported) && !slices.ContainsFunc(maybe, func(m map[string][]byte) bool { return same(m, state) }) {
					t.Fatalf("seed %d, step %d: %q, not %q or one of %q", seed, step, state, reported, maybe)
				}
				l, reported, maybe = s, state, nil
				continue
			}
			switch rng.IntN(12) {
			case 0: // a kill
				kill(l)
				l = nil
			case 1: // a loss of power
				kill(l)
				powerLoss()
				l = nil
			case 2:
				_ = l.MarkSynced()
			case 3:
				if l.Rewrite((candidate{state: latest(reported, maybe)}).entries()) == nil {
					reported, maybe = latest(reported, maybe), nil
				}
			default:
				next := maps.Clone(latest(reported, maybe))
				e := Entry{fmt.Sprint(rng.IntN(3)), fmt.Append(nil, step)}
				next[e.Key] = e.Value
				maybe = append(maybe, next)
				if l.Write([]Entry{e}) == nil {
					reported, maybe = next, nil
				}
			}
		}
		if l != nil {
			l.Close()
		}
	}
}

// latest is the state in memory: the last change that was put.
func latest(reported map[string][]byte, maybe []map[string][]byte) map[string][]byte {
	if len(maybe) > 0 {
		return maybe[len(maybe)-1]
	}
	return reported
}
