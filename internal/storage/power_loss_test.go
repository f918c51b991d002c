package storage

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"slices"
	"testing"
)

type directoryContents map[string][]byte

// powerLossDirectory is a directory that, before each operation, reports every state that
// a kill or a power loss may leave. After a power loss a file has the content of its last
// sync, and each later change may be present, missing or torn. A directory entry that was
// created or removed since the last sync of the directory may be in its old or its new
// state, or be missing.
type powerLossDirectory struct {
	osDirectory
	durable       directoryContents            // names and contents that are safe from a power loss
	synced        directoryContents            // content of each file at its last sync
	unsyncedNames map[string]bool              // names created or removed since the last sync of the directory
	onCrash       func(at *powerLossDirectory) // receives each state after a kill or a power loss; may be nil
	tearSampling  int                          // try one in this many ways to tear a file
}

// afterPowerLoss returns a directory after a power loss: everything in it is durable.
func afterPowerLoss(durable directoryContents) *powerLossDirectory {
	return &powerLossDirectory{durable: durable, synced: durable, unsyncedNames: map[string]bool{}, tearSampling: 1}
}

// scratchDir returns a temporary directory, in memory if possible: buntdb syncs when it
// closes a file, which is slow on a disk.
func scratchDir(t testing.TB) string {
	dir, err := os.MkdirTemp("/dev/shm", "storage")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// copyWith returns a copy in a new scratch directory with the given files, and without
// onCrash.
func (d *powerLossDirectory) copyWith(t *testing.T, files directoryContents) *powerLossDirectory {
	dir := scratchDir(t)
	for name, text := range files {
		if err := os.WriteFile(osDirectory(dir).path(name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return &powerLossDirectory{osDirectory(dir), maps.Clone(d.durable), maps.Clone(d.synced), maps.Clone(d.unsyncedNames), nil, d.tearSampling}
}

// listFiles returns the names and contents of all files, and records new names as unsynced.
func (d *powerLossDirectory) listFiles() directoryContents {
	files := directoryContents{}
	entries, _ := os.ReadDir(string(d.osDirectory))
	for _, e := range entries {
		files[e.Name()], _ = d.read(e.Name())
		if _, known := d.synced[e.Name()]; !known {
			d.synced[e.Name()], d.unsyncedNames[e.Name()] = []byte{}, true
		}
	}
	return files
}

// tornContents returns what a file may contain after a power loss during a change from old
// to current: old, current, and one in sampling of the torn variants, selected by the
// checksum of the content.
func tornContents(old, current []byte, sampling int) [][]byte {
	contents := [][]byte{old, current}
	var variants [][]byte
	if tail, ok := bytes.CutPrefix(current, old); ok && len(tail) > 0 {
		for _, n := range []int{1, len(tail) / 3, len(tail) / 2, len(tail) - 1} {
			hole := bytes.Clone(current)
			clear(hole[len(old) : len(old)+n])
			variants = append(variants, current[:len(old)+n], hole)
		}
	} else if len(old) == len(current) { // overwritten in place
		variants = append(variants, append(bytes.Clone(current[:len(current)/2]), old[len(current)/2:]...))
	}
	first := int(crc32.ChecksumIEEE(current))
	for i, variant := range variants {
		if (first+i)%sampling == 0 {
			contents = append(contents, variant)
		}
	}
	return contents
}

// reportCrashStates calls onCrash with the directory as a kill leaves it now, including
// what is not yet durable, and with each state that a power loss may leave.
func (d *powerLossDirectory) reportCrashStates() {
	if d.onCrash == nil {
		return
	}
	current := d.listFiles()
	d.onCrash(d)
	for _, possible := range d.statesAfterPowerLoss(current) {
		d.onCrash(afterPowerLoss(possible))
	}
}

// statesAfterPowerLoss returns every combination of files that a power loss may leave.
func (d *powerLossDirectory) statesAfterPowerLoss(current directoryContents) []directoryContents {
	states := []directoryContents{{}}
	names := directoryContents{}
	maps.Copy(names, current)
	maps.Copy(names, d.durable)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var possible [][]byte // contents of the file; nil: the file is missing
		text, exists := current[name]
		old, wasDurable := d.durable[name]
		if name == excerptName { // no start reads it
			possible = append(possible, text)
			exists, wasDurable = false, false
		} else if !exists || d.unsyncedNames[name] {
			possible = append(possible, nil)
		}
		if wasDurable {
			possible = append(possible, old)
		}
		if exists {
			possible = append(possible, tornContents(d.synced[name], text, d.tearSampling)...)
		}
		var next []directoryContents
		for _, s := range states {
			for i, text := range possible {
				if slices.ContainsFunc(possible[:i], func(o []byte) bool { return bytes.Equal(o, text) && (o == nil) == (text == nil) }) {
					continue
				}
				extended := maps.Clone(s)
				if text != nil {
					extended[name] = text
				}
				next = append(next, extended)
			}
		}
		states = next
	}
	return states
}

func (d *powerLossDirectory) create(name string) (*os.File, error) {
	d.reportCrashStates()
	f, err := d.osDirectory.create(name)
	d.listFiles()
	return f, err
}

func (d *powerLossDirectory) truncate(name string, size int64) error {
	d.reportCrashStates()
	return d.osDirectory.truncate(name, size)
}

func (d *powerLossDirectory) open(name string) (*os.File, error) {
	d.reportCrashStates()
	f, err := d.osDirectory.open(name)
	d.listFiles()
	return f, err
}

func (d *powerLossDirectory) remove(name string) error {
	if _, err := d.size(name); err != nil {
		return err
	}
	d.reportCrashStates()
	d.unsyncedNames[name] = true
	delete(d.synced, name)
	return d.osDirectory.remove(name)
}

func (d *powerLossDirectory) syncFile(f *os.File) error {
	d.reportCrashStates()
	for name, text := range d.listFiles() {
		if d.path(name) == f.Name() {
			if d.synced[name] = text; !d.unsyncedNames[name] {
				d.durable[name] = text
			}
		}
	}
	return nil
}

func (d *powerLossDirectory) syncDir() error {
	d.reportCrashStates()
	current := d.listFiles()
	for name := range d.unsyncedNames {
		if _, exists := current[name]; exists {
			d.durable[name] = d.synced[name]
		} else {
			delete(d.durable, name)
		}
	}
	clear(d.unsyncedNames)
	return nil
}

// startTearSampling is the tearSampling during a start after a kill or a power loss. There
// are thousands of such starts and each writes a file, so trying every way takes too long.
const startTearSampling = 8

// powerLossRun plays a script of batches and starts the store from every state that a kill
// or a power loss may leave at any moment of it, and from every state that another one may
// leave during such a start and the first batch after it.
type powerLossRun struct {
	t       *testing.T
	damaged bool // the script starts with a damaged file
	checked map[string]bool
	starts  int
}

// checkStart checks that a start finds one of the allowed states. depth is the number of
// further kills or power losses to try during the start and the first batch after it.
func (run *powerLossRun) checkStart(at *powerLossDirectory, depth int, allowed ...map[string][]byte) {
	found := at.durable
	if at.osDirectory != "" {
		found = at.listFiles()
	}
	id := fmt.Sprint(found, allowed)
	if depth > 0 { // a further power loss depends on what is not yet durable
		id = fmt.Sprint(depth, found, at.durable, at.synced, at.unsyncedNames, allowed)
	}
	if run.checked[id] || run.t.Failed() {
		return
	}
	run.checked[id] = true
	run.starts++
	run.checkDamaged(found, allowed)
	dir := at.copyWith(run.t, found)
	dir.tearSampling = startTearSampling
	if depth > 0 {
		dir.onCrash = func(at *powerLossDirectory) { run.checkStart(at, depth-1, allowed...) }
	}
	store, state, err := openDirectory(dir, 0, discardLog)
	if err != nil && !(run.damaged && errors.Is(err, ErrDamaged) && len(state) == 0) {
		run.t.Errorf("start with %q: %v", found, err)
		return
	}
	defer func() {
		dir.onCrash = nil // crashes are not checked while closing
		store.Close()
	}()
	if !slices.ContainsFunc(allowed, func(a map[string][]byte) bool { return sameState(a, state) }) {
		run.t.Errorf("start with %q finds %q, not one of %q", found, state, allowed)
		return
	}
	if depth == 0 {
		return
	}
	// The state that the start returned must be durable, and so must an acknowledged batch
	// after it.
	next := maps.Clone(state)
	next["new"] = []byte("n")
	dir.onCrash = func(at *powerLossDirectory) { run.checkStart(at, depth-1, state) }
	dir.reportCrashStates()
	dir.onCrash = func(at *powerLossDirectory) { run.checkStart(at, depth-1, state, next) }
	if err := store.Write([]Entry{{"new", []byte("n")}}); err != nil {
		run.t.Errorf("write after a start with %q: %v", found, err)
	}
	dir.onCrash = func(at *powerLossDirectory) { run.checkStart(at, depth-1, next) }
	dir.reportCrashStates()
}

// checkDamaged changes the first byte of one file at a time. A start must then not return
// an earlier state; it may report ErrDamaged and return nothing.
func (run *powerLossRun) checkDamaged(found directoryContents, allowed []map[string][]byte) {
	id := fmt.Sprint("spoil", found, allowed)
	if run.checked[id] {
		return
	}
	run.checked[id] = true
	for name, text := range found {
		if len(text) == 0 {
			continue
		}
		damaged := maps.Clone(found)
		damaged[name] = append([]byte{'#'}, text[1:]...)
		store, state, err := openDirectory(afterPowerLoss(directoryContents{}).copyWith(run.t, damaged), 0, discardLog)
		if err != nil && !errors.Is(err, ErrDamaged) {
			run.t.Errorf("start with %q: %v", damaged, err)
			return
		}
		store.Close()
		if len(state) > 0 && !slices.ContainsFunc(allowed, func(a map[string][]byte) bool { return sameState(a, state) }) {
			run.t.Errorf("start with %q finds %q, not one of %q", damaged, state, allowed)
		}
	}
}

// play runs the script from the initial files, which must hold state. A batch whose first
// key is "rewrite" stands for a rewrite of the state.
func (run *powerLossRun) play(initial directoryContents, state map[string][]byte, script ...[]Entry) {
	dir := afterPowerLoss(initial).copyWith(run.t, initial)
	allow := func(allowed ...map[string][]byte) {
		dir.onCrash = func(at *powerLossDirectory) { run.checkStart(at, 2, allowed...) }
	}
	allow(state)
	store, got, err := openDirectory(dir, 0, discardLog)
	if err != nil && !run.damaged || !sameState(got, state) {
		run.t.Fatalf("%v, %q", err, got)
	}
	defer store.Close()
	for _, batch := range script {
		next := maps.Clone(state)
		for _, e := range batch {
			if next[e.Key] = e.Value; e.Value == nil {
				delete(next, e.Key)
			}
		}
		allow(state, next)
		write := store.Write
		if batch[0].Key == "rewrite" {
			write = store.Rewrite
			batch = nil
			for _, k := range slices.Sorted(maps.Keys(next)) {
				batch = append(batch, Entry{k, next[k]})
			}
		}
		if err := write(batch); err != nil {
			run.t.Fatal(err)
		}
		state = next
		allow(state)
		dir.reportCrashStates()
	}
}

func TestPowerLossAtEveryStep(t *testing.T) {
	fileAfter := func(batches ...[]Entry) []byte {
		dir := t.TempDir()
		store, _, err := Open(dir, 0, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		defer store.Close()
		for _, batch := range batches {
			if err := store.Write(batch); err != nil {
				t.Fatal(err)
			}
		}
		text, _ := os.ReadFile(osDirectory(dir).path(fileNames[0]))
		return text
	}
	one, two := []byte("1"), []byte("2")
	first, second, rewrite := []Entry{{"a", one}, {"b", one}}, []Entry{{"a", nil}, {"b", two}}, []Entry{{"rewrite", one}}
	intact := fileAfter(first, second)
	damaged := bytes.Clone(intact)
	damaged[20] ^= 1
	for _, c := range []struct {
		name    string
		initial directoryContents
		state   map[string][]byte
		damaged bool
		script  [][]Entry
	}{
		{"no files", directoryContents{}, map[string][]byte{}, false, [][]Entry{first, second, rewrite, first, rewrite, rewrite, second}},
		{"torn last batch", directoryContents{fileNames[0]: intact[:len(intact)-1]}, map[string][]byte{"a": one, "b": one}, false, [][]Entry{second, rewrite}},
		{"damaged, with an earlier file", directoryContents{fileNames[0]: fileAfter(first), fileNames[1]: damaged}, map[string][]byte{}, true, [][]Entry{first}},
		{"damaged", directoryContents{fileNames[0]: damaged}, map[string][]byte{}, true, [][]Entry{first, rewrite}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run := &powerLossRun{t: t, damaged: c.damaged, checked: map[string]bool{}}
			run.play(c.initial, c.state, c.script...)
			t.Logf("%d starts", run.starts)
		})
	}
}
