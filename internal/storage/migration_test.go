package storage

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// readDirectory returns the contents of all files in a directory.
func readDirectory(t *testing.T, dir string) directoryContents {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	contents := directoryContents{}
	for _, e := range entries {
		if contents[e.Name()], err = os.ReadFile(filepath.Join(dir, e.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return contents
}

func sameFiles(a, b directoryContents) bool { return sameState(a, b) }

// newerHeader returns a header of a given newer format, with a longer value.
func newerHeader(version uint16) string {
	value := make([]byte, headerValueSize+11)
	binary.BigEndian.PutUint16(value[4:], version)
	binary.BigEndian.PutUint32(value, headerChecksum(value))
	return string(appendCommand(nil, headerKey, string(value)))
}

// A file of a newer format is refused with ErrNewerFormat and all files are left
// unchanged, also if there is a file of the current or an earlier format beside it.
func TestNewerFormatIsRefused(t *testing.T) {
	dir := scratchDir(t)
	writeBatches(t, dir, 3)
	text, _ := os.ReadFile(storeFile(t, dir))
	entry := string(appendCommand(nil, "a", encodeFrame(1, 1, Entry{"a", []byte("1")})))
	later := newerHeader(formatVersion+1) + "whatever a later release puts here"
	for _, files := range []directoryContents{
		{fileNames[0]: []byte(later)},
		{fileNames[1]: []byte(later), fileNames[0]: text},
		{fileNames[0]: []byte(later), fileNames[1]: text, markName: encodeMark(9)},
		{fileNames[0]: []byte(newerHeader(1<<16 - 1)), legacyFileNames[0]: []byte(entry)},
		{fileNames[0]: []byte(later), legacyDamagedName: make([]byte, 1<<20)},
	} {
		dir := scratchDir(t)
		for name, text := range files {
			os.WriteFile(filepath.Join(dir, name), text, 0o600)
		}
		store, _, err := Open(dir, 0, discardLog)
		if store != nil || !errors.Is(err, ErrNewerFormat) || errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), "later release") {
			t.Errorf("%q: %v", files, err)
		}
		if got := readDirectory(t, dir); !sameFiles(got, files) {
			t.Errorf("%q was changed to %q", files, got)
		}
	}
	// With one bit changed, the header is damaged and must not be taken for a newer format.
	damaged := []byte(later)
	damaged[strings.Index(later, headerKey)+len(headerKey)+12] ^= 1
	if version, _, _, n := parseHeader(damaged); n != 0 {
		t.Errorf("format %d was read from a damaged header", version)
	}
}

// The batches must match the header: the first batch has the number in the header, a
// non-empty one must be complete, and the numbers after it have no gap.
func TestHeaderAndBatches(t *testing.T) {
	head := func(number uint64, entries int) string {
		return string(appendCommand(nil, headerKey, encodeHeader(number, entries)))
	}
	batch := func(number uint64) string {
		return string(appendCommand(nil, "a", encodeFrame(number, 1, Entry{"a", []byte("1")})))
	}
	for _, c := range []struct {
		name, text string
		last       uint64
		damaged    bool
	}{
		{"empty state", head(7, 0), 7, false},
		{"empty state and a batch", head(7, 0) + batch(8), 8, false},
		{"empty state and a torn batch", head(7, 0) + batch(8)[:20], 7, false},
		{"missing batch after an empty state", head(7, 0) + batch(9), 7, true},
		{"rewritten", head(7, 1) + batch(7) + batch(8), 8, false},
		{"rewritten batch missing", head(7, 1), 0, true},
		{"rewritten batch missing, a later one present", head(7, 1) + batch(8), 0, true},
		{"rewritten batch torn", head(7, 1) + batch(7)[:20], 0, true},
		{"missing batch", head(7, 1) + batch(7) + batch(9), 7, true},
		{"missing batch in a file without a header", batch(7) + batch(9), 7, true},
		{"repeated batch", head(7, 1) + batch(7) + batch(7), 7, true},
	} {
		_, _, last, err := scan([]byte(c.text))
		if last != c.last || errors.Is(err, ErrDamaged) != c.damaged {
			t.Errorf("%s: batch %d, %v", c.name, last, err)
		}
	}
}

// failOnceDirectory is a directory whose n-th create, remove or sync fails. stepsLeft
// starts at n.
type failOnceDirectory struct {
	noSyncDirectory
	stepsLeft *int
}

func (f failOnceDirectory) countStep() error {
	if *f.stepsLeft--; *f.stepsLeft == 0 {
		return syscall.ENOSPC
	}
	return nil
}

func (f failOnceDirectory) create(name string) (*os.File, error) {
	if err := f.countStep(); err != nil {
		return nil, err
	}
	return f.noSyncDirectory.create(name)
}

func (f failOnceDirectory) remove(name string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	return f.noSyncDirectory.remove(name)
}
func (f failOnceDirectory) syncFile(*os.File) error { return f.countStep() }
func (f failOnceDirectory) syncDir() error          { return f.countStep() }

// A file of an earlier release is migrated to the current name and format. If a step of
// the migration fails, the next start still finds the state.
func TestMigrationFromLegacyFile(t *testing.T) {
	text := ""
	for number, value := range []string{"1", "2", "3"} {
		for _, key := range []string{"a", "b"} {
			text += string(appendCommand(nil, key, encodeFrame(uint64(number+1), 2, Entry{key, []byte(value)})))
		}
	}
	want := map[string][]byte{"a": []byte("3"), "b": []byte("3")}
	for _, name := range legacyFileNames {
		for step := range 12 {
			dir := scratchDir(t)
			os.WriteFile(filepath.Join(dir, name), []byte(text+text[:9]), 0o600)
			left := step
			store, state, err := openDirectory(failOnceDirectory{noSyncDirectory{osDirectory(dir)}, &left}, 0, discardLog)
			if refused := step > 0 && left <= 0; refused != (err != nil) || err == nil && !sameState(state, want) {
				t.Errorf("%s, step %d: %v, %q", name, step, err, state)
			}
			if store != nil {
				store.Close()
			}
			store, state, err = Open(dir, 0, discardLog)
			if err != nil || !sameState(state, want) {
				t.Fatalf("%s, step %d, next start: %v, %q", name, step, err, state)
			}
			if err := store.Write([]Entry{{"c", nil}, {"a", []byte("4")}}); err != nil {
				t.Fatal(err)
			}
			store.Close()
			now, _ := os.ReadFile(storeFile(t, dir))
			if version, _, _, _ := parseHeader(now); version != formatVersion || !strings.HasPrefix(filepath.Base(storeFile(t, dir)), "store.") {
				t.Errorf("%s, step %d: format %d in %s", name, step, version, storeFile(t, dir))
			}
		}
	}
}
