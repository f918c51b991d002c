package storage

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

var discardLog = slog.New(slog.DiscardHandler)

// storeFile returns the path of the only file in dir apart from the sync mark.
func storeFile(t *testing.T, dir string) string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	entries = slices.DeleteFunc(entries, func(e os.DirEntry) bool { return e.Name() == markName })
	if err != nil || len(entries) != 1 {
		t.Fatalf("%v: %v", entries, err)
	}
	return filepath.Join(dir, entries[0].Name())
}

// kill closes a store without writing the sync mark, as when the process is killed.
func kill(s *Store) {
	s.mark.close()
	_ = s.closeFile()
}

// writeBatches opens a store in dir, writes n batches and closes it.
func writeBatches(t *testing.T, dir string, count int) {
	t.Helper()
	store, _, err := Open(dir, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < count; i++ {
		value := []byte(fmt.Sprintf("value-%d", i))
		if err := store.Write([]Entry{{"a", value}, {"b", value}, {"c", value}}); err != nil {
			t.Fatal(err)
		}
	}
	store.Close()
}

// Whatever part of the last batch reaches the disk, a start finds either all of that batch
// or none of it, and everything before it.
func TestTornLastBatch(t *testing.T) {
	dir := t.TempDir()
	writeBatches(t, dir, 2)
	path := storeFile(t, dir)
	before, _ := os.ReadFile(path)
	store, _, _ := Open(dir, 0, discardLog)
	if err := store.Write([]Entry{{"a", []byte("new")}, {"b", nil}}); err != nil {
		t.Fatal(err)
	}
	kill(store)
	mark, _ := os.ReadFile(filepath.Join(dir, markName))
	after, _ := os.ReadFile(path)
	for size := len(before); size <= len(after); size++ {
		for _, hole := range []bool{false, true} {
			text := append([]byte{}, after[:size]...)
			if hole {
				for i := len(before); i < min(len(before)+20, size); i++ {
					text[i] = 0
				}
			}
			dir := scratchDir(t)
			os.WriteFile(filepath.Join(dir, filepath.Base(path)), text, 0o600)
			os.WriteFile(filepath.Join(dir, markName), mark, 0o600)
			store, state, err := Open(dir, 0, discardLog)
			if err != nil {
				t.Fatalf("truncated at %d: %v", size, err)
			}
			complete := size == len(after) && !hole
			if got := string(state["a"]) == "new" && state["b"] == nil; got != complete {
				t.Fatalf("truncated at %d, hole %v: a=%q b=%q", size, hole, state["a"], state["b"])
			}
			if string(state["c"]) != "value-1" {
				t.Fatalf("truncated at %d: lost c=%q", size, state["c"])
			}
			if err := store.Write([]Entry{{"d", []byte("x")}}); err != nil {
				t.Fatal(err)
			}
			store.Close()
			store, state, err = Open(dir, 0, discardLog)
			if err != nil || string(state["d"]) != "x" {
				t.Fatalf("truncated at %d: batch written after the start is lost: %v", size, err)
			}
			store.Close()
		}
	}
}

func TestDamageInTheMiddleOfFile(t *testing.T) {
	dir := t.TempDir()
	writeBatches(t, dir, 5)
	path := storeFile(t, dir)
	text, _ := os.ReadFile(path)
	text[len(text)/3] ^= 0xff
	os.WriteFile(path, text, 0o600)
	store, state, err := Open(dir, 0, discardLog)
	if !errors.Is(err, ErrDamaged) || len(state) != 0 {
		t.Fatalf("got %v and %d entries", err, len(state))
	}
	if err := store.Write([]Entry{{"a", []byte("again")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(dir, excerptName)); err != nil {
		t.Fatal("no excerpt of the damaged file was saved")
	}
}

func TestRewriteKeepsStateAndShrinks(t *testing.T) {
	dir := t.TempDir()
	writeBatches(t, dir, 200)
	before, _ := os.Stat(storeFile(t, dir))
	store, state, err := Open(dir, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	var entries []Entry
	for k, v := range state {
		entries = append(entries, Entry{k, v})
	}
	if err := store.Rewrite(entries); err != nil {
		t.Fatal(err)
	}
	if err := store.Write([]Entry{{"z", []byte("1")}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	after, _ := os.Stat(storeFile(t, dir))
	_, state, err = Open(dir, 0, discardLog)
	if err != nil || string(state["a"]) != "value-199" || string(state["z"]) != "1" || after.Size() > before.Size()/10 {
		t.Fatalf("err %v state %q size %d", err, state, after.Size())
	}
}

// If a batch has several entries for a key, the last one counts. An empty batch writes
// nothing. After either, a torn batch is not taken for damage.
func TestRepeatedKeysAndEmptyBatches(t *testing.T) {
	one, two := []byte("1"), []byte("2")
	for _, c := range []struct {
		name  string
		batch []Entry
		want  map[string][]byte
	}{
		{"key set twice", []Entry{{"a", one}, {"b", one}, {"a", two}}, map[string][]byte{"a": two, "b": one, "z": one}},
		{"set and removed", []Entry{{"a", one}, {"a", nil}}, map[string][]byte{"z": one}},
		{"removed and set", []Entry{{"z", nil}, {"z", two}}, map[string][]byte{"z": two}},
		{"empty batch", nil, map[string][]byte{"z": one}},
	} {
		for _, rewrite := range []bool{false, true} {
			dir := t.TempDir()
			store, _, err := Open(dir, 0, discardLog)
			if err != nil {
				t.Fatal(err)
			}
			write := store.Write
			if rewrite {
				write = func(batch []Entry) error { return store.Rewrite(append([]Entry{{"z", one}}, batch...)) }
			}
			if err := store.Write([]Entry{{"z", one}}); err != nil {
				t.Fatal(err)
			}
			if err := write(c.batch); err != nil {
				t.Fatal(err)
			}
			path := storeFile(t, dir)
			text, _ := os.ReadFile(path)
			if state, _, _, err := scan(text); err != nil || !sameState(state, c.want) {
				t.Errorf("%s, rewrite %v: %q, %v", c.name, rewrite, state, err)
			}
			if err := store.Write([]Entry{{"last", one}, {"also", one}}); err != nil {
				t.Fatal(err)
			}
			kill(store)
			text, _ = os.ReadFile(path)
			text[len(text)-80] ^= 1 // in the first entry of the last batch
			os.WriteFile(path, text, 0o600)
			store, state, err := Open(dir, 0, discardLog)
			if err != nil || !sameState(state, c.want) {
				t.Errorf("%s, rewrite %v, next batch torn: %q, %v", c.name, rewrite, state, err)
			}
			store.Close()
		}
	}
}

// removeExcerpt removes the excerpt of a damaged file, if there is one, and returns dir.
func removeExcerpt(t *testing.T, dir string) string {
	if err := os.Remove(filepath.Join(dir, excerptName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	return dir
}

// If there are two files, a start chooses the newer one and ignores an unfinished rewrite.
// If the newer one is damaged, it must not fall back to the older one.
func TestFileSelectionAtStart(t *testing.T) {
	checkFileSelection(t, fileNames, true, true)
	checkFileSelection(t, legacyFileNames, false, false)
	checkFileSelection(t, [2]string{legacyFileNames[0], fileNames[0]}, false, true) // during a migration
}

// checkFileSelection checks which of two files a start chooses. oldHeader and newHeader tell
// whether the older and the newer file have a header.
func checkFileSelection(t *testing.T, names [2]string, oldHeader, newHeader bool) {
	batch := func(number uint64, value string) string {
		text := ""
		if number == 1 && oldHeader || number == 4 && newHeader {
			text = string(appendCommand(nil, headerKey, encodeHeader(number, 2)))
		}
		for _, key := range []string{"a", "b"} {
			text += string(appendCommand(nil, key, encodeFrame(number, 2, Entry{key, []byte(value)})))
		}
		return text
	}
	damage := func(text string, at int) string { return text[:at] + "#" + text[at+1:] }
	state := func(value string) map[string][]byte {
		return map[string][]byte{"a": []byte(value), "b": []byte(value)}
	}
	none := map[string][]byte{}
	old, snapshot := batch(1, "1")+batch(2, "2"), batch(4, "4")
	const absent = "absent"
	for _, c := range []struct {
		name          string
		first, second string
		want          map[string][]byte
		damaged       bool
	}{
		{"no file", absent, absent, none, false},
		{"empty file", "", absent, none, false},
		{"first batch torn", batch(1, "1")[:50], absent, none, false},
		{"rewritten, first entry damaged", damage(snapshot, 3), absent, none, true},
		{"rewritten, last entry damaged", damage(snapshot, len(snapshot)-9), absent, none, true},
		{"rewritten, cut after its first entry", snapshot[:len(snapshot)/2], absent, none, true},
		{"rewritten, its last batch torn", snapshot + batch(5, "5")[:50], absent, state("4"), false},
		{"one file", old, absent, state("2"), false},
		{"one torn file", old[:len(old)-1], absent, state("1"), false},
		{"a file and an empty one", old, "", state("2"), false},
		{"a file and an unfinished rewrite", old, snapshot[:50], state("2"), false},
		{"a file and a damaged rewrite", old, damage(snapshot, 3), state("2"), false},
		{"a torn file and an unfinished rewrite", old[:len(old)-1], snapshot[:50], state("1"), false},
		{"a file and a rewrite", old, snapshot, state("4"), false},
		{"a torn file and a rewrite", old[:len(old)-1], snapshot, state("4"), false},
		{"a damaged file and a rewrite", damage(old, 3), snapshot, state("4"), false},
		{"a damaged file and an unfinished rewrite", damage(old, 3), snapshot[:50], none, true},
		{"a damaged file and an empty one", damage(old, 3), "", none, true},
		{"a file and a newer one in use", old, snapshot + batch(5, "5"), state("5"), false},
		{"a file and a newer one damaged", old, damage(snapshot, 3) + batch(5, "5"), none, true},
		{"a file and a newer one damaged after its first batch", old, snapshot + damage(batch(5, "5"), 3) + batch(6, "6"), none, true},
	} {
		for swap := range 2 {
			if swap == 1 && oldHeader != newHeader {
				continue // files with a header have the current names, files without have the legacy names
			}
			dir := t.TempDir()
			for i, text := range []string{c.first, c.second} {
				if text != absent {
					os.WriteFile(filepath.Join(dir, names[i^swap]), []byte(text), 0o600)
				}
			}
			store, got, err := Open(dir, 0, discardLog)
			if errors.Is(err, ErrDamaged) != c.damaged || err != nil && !c.damaged || !sameState(got, c.want) {
				t.Errorf("%s in %q, swap %d: %v, %q", c.name, names, swap, err, got)
			}
			if store == nil {
				continue
			}
			store.Close()
			if name := filepath.Base(storeFile(t, removeExcerpt(t, dir))); !slices.Contains(fileNames[:], name) {
				t.Errorf("%s in %q, swap %d: the file is %s", c.name, names, swap, name)
			}
			store, got, err = Open(dir, 0, discardLog)
			if err != nil || !sameState(got, c.want) {
				t.Errorf("%s in %q, swap %d, second start: %v, %q", c.name, names, swap, err, got)
			}
			store.Close()
		}
	}
}

// The size of saved excerpts does not grow with the size or number of damaged files.
func TestDamagedExcerptIsBounded(t *testing.T) {
	const diskSize = 4 << 20
	dir := t.TempDir()
	excerptPath := filepath.Join(dir, excerptName)
	for _, name := range []string{excerptName, legacyDamagedName} {
		os.WriteFile(filepath.Join(dir, name), make([]byte, diskSize/4), 0o600) // earlier releases kept whole files
	}
	for round := range 4 {
		store, state, err := Open(dir, diskSize, discardLog)
		if errors.Is(err, ErrDamaged) != (round > 0) || err != nil && round == 0 || len(state) != 0 {
			t.Fatalf("round %d: %v, %d entries", round, err, len(state))
		}
		for i := range 8 {
			if err := store.Write([]Entry{{fmt.Sprint(i), make([]byte, diskSize/32)}}); err != nil {
				t.Fatal(err)
			}
		}
		store.Close()
		for _, name := range []string{excerptName, legacyDamagedName} {
			if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() > diskSize/1024 {
				t.Errorf("round %d: excerpt of %d bytes: %v", round, info.Size(), err)
			}
		}
		path := filepath.Join(dir, fileNames[0])
		text, _ := os.ReadFile(path)
		copy(text[(len(text)+int(headerCommandSize))/2:], "here") // damages the beginning of an entry
		os.WriteFile(path, text, 0o600)
		entries, _ := os.ReadDir(dir)
		if len(entries) != 4 { // the file, the mark and two excerpts
			t.Errorf("round %d: %v", round, entries)
		}
	}
	if store, _, err := Open(dir, diskSize, discardLog); !errors.Is(err, ErrDamaged) {
		t.Error(err)
	} else {
		store.Close()
	}
	if text, _ := os.ReadFile(excerptPath); !bytes.Contains(text, []byte("here")) {
		t.Errorf("the excerpt of %d bytes does not contain the damage", len(text))
	}
}
