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

// powerLossDirectory is a folder that, before each step, looks at what a loss of power may
// leave there: of a file, what its last sync covered, and each later change
// present, missing or torn; of a name that was made, changed or removed since
// the last sync of the folder, what it was, what it is, or nothing at all.
type powerLossDirectory struct {
	osDirectory
	durable       directoryContents // names and contents that no loss of power takes
	synced        directoryContents // contents that were synced
	unsyncedNames map[string]bool
	onCrash       func(at *powerLossDirectory) // what a kill or a loss of power leaves
	tearSampling  int                          // of the ways to tear a file, so many are tried
}

// afterPowerLoss is a folder after a loss of power: all that is there is safe.
func afterPowerLoss(durable directoryContents) *powerLossDirectory {
	return &powerLossDirectory{durable: durable, synced: durable, unsyncedNames: map[string]bool{}, tearSampling: 1}
}

// scratchDir is a folder in memory, where there is one: buntdb syncs as it closes.
func scratchDir(t testing.TB) string {
	dir, err := os.MkdirTemp("/dev/shm", "storage")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// copyWith returns the same folder with the given files there.
func (c *powerLossDirectory) copyWith(t *testing.T, have directoryContents) *powerLossDirectory {
	dir := scratchDir(t)
	for name, text := range have {
		if err := os.WriteFile(osDirectory(dir).path(name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return &powerLossDirectory{osDirectory(dir), maps.Clone(c.durable), maps.Clone(c.synced), maps.Clone(c.unsyncedNames), nil, c.tearSampling}
}

func (c *powerLossDirectory) contents() directoryContents {
	all := directoryContents{}
	entries, _ := os.ReadDir(string(c.osDirectory))
	for _, e := range entries {
		all[e.Name()], _ = c.read(e.Name())
		if _, known := c.synced[e.Name()]; !known {
			c.synced[e.Name()], c.unsyncedNames[e.Name()] = []byte{}, true
		}
	}
	return all
}

// tornContents returns what a file may hold between two contents; of the ways to tear it
// every one, or one in a few that the contents choose.
func tornContents(old, now []byte, sampling int) [][]byte {
	contents := [][]byte{old, now}
	var variants [][]byte
	if tail, ok := bytes.CutPrefix(now, old); ok && len(tail) > 0 {
		for _, n := range []int{1, len(tail) / 3, len(tail) / 2, len(tail) - 1} {
			hole := bytes.Clone(now)
			clear(hole[len(old) : len(old)+n])
			variants = append(variants, now[:len(old)+n], hole)
		}
	} else if len(old) == len(now) { // written in place
		variants = append(variants, append(bytes.Clone(now[:len(now)/2]), old[len(now)/2:]...))
	}
	first := int(crc32.ChecksumIEEE(now))
	for i, variant := range variants {
		if (first+i)%sampling == 0 {
			contents = append(contents, variant)
		}
	}
	return contents
}

// crash reports the folder as a kill leaves it now, with what is not yet safe, and
// each state in which a loss of power may leave it.
func (c *powerLossDirectory) crash() {
	if c.onCrash == nil {
		return
	}
	now := c.contents()
	c.onCrash(c)
	for _, have := range c.statesAfterPowerLoss(now) {
		c.onCrash(afterPowerLoss(have))
	}
}

func (c *powerLossDirectory) statesAfterPowerLoss(now directoryContents) []directoryContents {
	states := []directoryContents{{}}
	names := directoryContents{}
	maps.Copy(names, now)
	maps.Copy(names, c.durable)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var possible [][]byte // nil: no such name
		text, exists := now[name]
		old, wasDurable := c.durable[name]
		if name == excerptName { // no start reads it
			possible = append(possible, text)
			exists, wasDurable = false, false
		} else if !exists || c.unsyncedNames[name] {
			possible = append(possible, nil)
		}
		if wasDurable {
			possible = append(possible, old)
		}
		if exists {
			possible = append(possible, tornContents(c.synced[name], text, c.tearSampling)...)
		}
		var next []directoryContents
		for _, s := range states {
			for i, text := range possible {
				if slices.ContainsFunc(possible[:i], func(o []byte) bool { return bytes.Equal(o, text) && (o == nil) == (text == nil) }) {
					continue
				}
				with := maps.Clone(s)
				if text != nil {
					with[name] = text
				}
				next = append(next, with)
			}
		}
		states = next
	}
	return states
}

func (c *powerLossDirectory) create(name string) (*os.File, error) {
	c.crash()
	f, err := c.osDirectory.create(name)
	c.contents()
	return f, err
}

func (c *powerLossDirectory) truncate(name string, size int64) error {
	c.crash()
	return c.osDirectory.truncate(name, size)
}

func (c *powerLossDirectory) open(name string) (*os.File, error) {
	c.crash()
	f, err := c.osDirectory.open(name)
	c.contents()
	return f, err
}

func (c *powerLossDirectory) remove(name string) error {
	if _, err := c.size(name); err != nil {
		return err
	}
	c.crash()
	c.unsyncedNames[name] = true
	delete(c.synced, name)
	return c.osDirectory.remove(name)
}

func (c *powerLossDirectory) syncFile(f *os.File) error {
	c.crash()
	for name, text := range c.contents() {
		if c.path(name) == f.Name() {
			if c.synced[name] = text; !c.unsyncedNames[name] {
				c.durable[name] = text
			}
		}
	}
	return nil
}

func (c *powerLossDirectory) syncDir() error {
	c.crash()
	now := c.contents()
	for name := range c.unsyncedNames {
		if _, is := now[name]; is {
			c.durable[name] = c.synced[name]
		} else {
			delete(c.durable, name)
		}
	}
	clear(c.unsyncedNames)
	return nil
}

// startTearSampling is how rare the ways to tear a file are in the starts after a kill or a
// loss of power: these are thousands, and each writes a file.
const startTearSampling = 8

// powerLossRun plays a script and checks every state that a kill or a loss of power
// may leave at any moment, and again at any moment of the start that follows and
// of the first batch after it.
type powerLossRun struct {
	t       *testing.T
	damaged bool // the script begins with a damaged file
	seen    map[string]bool
	starts  int
}

// checkStart checks that a checkStart finds one of the allowed states; deep says how many
// more kills or losses of power to try.
func (p *powerLossRun) checkStart(at *powerLossDirectory, depth int, allowed ...map[string][]byte) {
	found := at.durable
	if at.osDirectory != "" {
		found = at.contents()
	}
	id := fmt.Sprint(found, allowed)
	if depth > 0 { // what is not yet safe counts too
		id = fmt.Sprint(depth, found, at.durable, at.synced, at.unsyncedNames, allowed)
	}
	if p.seen[id] || p.t.Failed() {
		return
	}
	p.seen[id] = true
	p.starts++
	p.checkDamaged(found, allowed)
	dir := at.copyWith(p.t, found)
	dir.tearSampling = startTearSampling
	if depth > 0 {
		dir.onCrash = func(at *powerLossDirectory) { p.checkStart(at, depth-1, allowed...) }
	}
	store, state, err := openDirectory(dir, 0, discardLog)
	if err != nil && !(p.damaged && errors.Is(err, ErrDamaged) && len(state) == 0) {
		p.t.Errorf("start with %q: %v", found, err)
		return
	}
	defer func() {
		dir.onCrash = nil // closing is played by the script
		store.Close()
	}()
	if !slices.ContainsFunc(allowed, func(a map[string][]byte) bool { return sameState(a, state) }) {
		p.t.Errorf("start with %q finds %q, not one of %q", found, state, allowed)
		return
	}
	if depth == 0 {
		return
	}
	// What a start has shown stands; so does a batch after it once it is written.
	next := maps.Clone(state)
	next["new"] = []byte("n")
	dir.onCrash = func(at *powerLossDirectory) { p.checkStart(at, depth-1, state) }
	dir.crash()
	dir.onCrash = func(at *powerLossDirectory) { p.checkStart(at, depth-1, state, next) }
	if err := store.Write([]Entry{{"new", []byte("n")}}); err != nil {
		p.t.Errorf("write after a start with %q: %v", found, err)
	}
	dir.onCrash = func(at *powerLossDirectory) { p.checkStart(at, depth-1, next) }
	dir.crash()
}

// checkDamaged damages the first batch of each file by turns: no start may then go back
// to an earlier state. It may find nothing.
func (p *powerLossRun) checkDamaged(found directoryContents, allowed []map[string][]byte) {
	id := fmt.Sprint("spoil", found, allowed)
	if p.seen[id] {
		return
	}
	p.seen[id] = true
	for name, text := range found {
		if len(text) == 0 {
			continue
		}
		with := maps.Clone(found)
		with[name] = append([]byte{'#'}, text[1:]...)
		store, state, err := openDirectory(afterPowerLoss(directoryContents{}).copyWith(p.t, with), 0, discardLog)
		if err != nil && !errors.Is(err, ErrDamaged) {
			p.t.Errorf("start with %q: %v", with, err)
			return
		}
		store.Close()
		if len(state) > 0 && !slices.ContainsFunc(allowed, func(a map[string][]byte) bool { return sameState(a, state) }) {
			p.t.Errorf("start with %q finds %q, not one of %q", with, state, allowed)
		}
	}
}

func (p *powerLossRun) run(initial directoryContents, state map[string][]byte, script ...[]Entry) {
	dir := afterPowerLoss(initial).copyWith(p.t, initial)
	allow := func(allowed ...map[string][]byte) {
		dir.onCrash = func(at *powerLossDirectory) { p.checkStart(at, 2, allowed...) }
	}
	allow(state)
	store, got, err := openDirectory(dir, 0, discardLog)
	if err != nil && !p.damaged || !sameState(got, state) {
		p.t.Fatalf("%v, %q", err, got)
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
			p.t.Fatal(err)
		}
		state = next
		allow(state)
		dir.crash()
	}
}

func TestPowerLossAtEveryStep(t *testing.T) {
	fileAfter := func(batches ...[]Entry) []byte {
		dir := t.TempDir()
		l, _, err := Open(dir, 0, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		for _, b := range batches {
			if err := l.Write(b); err != nil {
				t.Fatal(err)
			}
		}
		text, _ := os.ReadFile(osDirectory(dir).path(fileNames[0]))
		return text
	}
	one, two := []byte("1"), []byte("2")
	first, second, rewrite := []Entry{{"a", one}, {"b", one}}, []Entry{{"a", nil}, {"b", two}}, []Entry{{"rewrite", one}}
	good := fileAfter(first, second)
	broken := bytes.Clone(good)
	broken[20] ^= 1
	for _, c := range []struct {
		name    string
		have    directoryContents
		state   map[string][]byte
		damaged bool
		script  [][]Entry
	}{
		{"new", directoryContents{}, map[string][]byte{}, false, [][]Entry{first, second, rewrite, first, rewrite, rewrite, second}},
		{"torn", directoryContents{fileNames[0]: good[:len(good)-1]}, map[string][]byte{"a": one, "b": one}, false, [][]Entry{second, rewrite}},
		{"damaged, and an earlier file", directoryContents{fileNames[0]: fileAfter(first), fileNames[1]: broken}, map[string][]byte{}, true, [][]Entry{first}},
		{"damaged", directoryContents{fileNames[0]: broken}, map[string][]byte{}, true, [][]Entry{first, rewrite}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := &powerLossRun{t: t, damaged: c.damaged, seen: map[string]bool{}}
			p.run(c.have, c.state, c.script...)
			t.Logf("%d starts", p.starts)
		})
	}
}
