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

// storeFile returns the path of the one storeFile in dir beside the mark.
func storeFile(t *testing.T, dir string) string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	entries = slices.DeleteFunc(entries, func(e os.DirEntry) bool { return e.Name() == markName })
	if err != nil || len(entries) != 1 {
		t.Fatalf("%v: %v", entries, err)
	}
	return filepath.Join(dir, entries[0].Name())
}

// kill ends a store as a kill does.
func kill(s *Store) {
	s.mark.close()
	_ = s.closeFile()
}

func writeBatches(t *testing.T, dir string, n int) {
	t.Helper()
	store, _, err := Open(dir, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < n; i++ {
		value := []byte(fmt.Sprintf("value-%d", i))
		if err := store.Write([]Entry{{"a", value}, {"b", value}, {"c", value}}); err != nil {
			t.Fatal(err)
		}
	}
	store.Close()
}

// Whatever prefix of the last batch reaches the disk, a start finds either all
// of that batch or none of it, and everything before it.
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
	for cut := len(before); cut <= len(after); cut++ {
		for _, hole := range []bool{false, true} {
			text := append([]byte{}, after[:cut]...)
			if hole {
				for i := len(before); i < min(len(before)+20, cut); i++ {
					text[i] = 0
				}
			}
			dir := scratchDir(t)
			os.WriteFile(filepath.Join(dir, filepath.Base(path)), text, 0o600)
			os.WriteFile(filepath.Join(dir, markName), mark, 0o600)
			l, state, err := Open(dir, 0, discardLog)
			if err != nil {
				t.Fatalf("cut %d: %v", cut, err)
			}
			whole := cut == len(after) && !hole
			if got := string(state["a"]) == "new" && state["b"] == nil; got != whole {
				t.Fatalf("cut %d hole %v: a=%q b=%q", cut, hole, state["a"], state["b"])
			}
			if string(state["c"]) != "value-1" {
				t.Fatalf("cut %d: lost c=%q", cut, state["c"])
			}
			if err := l.Write([]Entry{{"d", []byte("x")}}); err != nil {
				t.Fatal(err)
			}
			l.Close()
			l, state, err = Open(dir, 0, discardLog)
			if err != nil || string(state["d"]) != "x" {
				t.Fatalf("cut %d: write after the cut lost: %v", cut, err)
			}
			l.Close()
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
		t.Fatal("damaged file not kept")
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
	var all []Entry
	for k, v := range state {
		all = append(all, Entry{k, v})
	}
	if err := store.Rewrite(all); err != nil {
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

// Of a key that a batch names twice the last entry stands; a batch without
// entries leaves nothing, and a torn one after it is no damage.
func TestRepeatedKeysAndEmptyBatches(t *testing.T) {
	one, two := []byte("1"), []byte("2")
	for _, c := range []struct {
		name  string
		batch []Entry
		want  map[string][]byte
	}{
		{"twice", []Entry{{"a", one}, {"b", one}, {"a", two}}, map[string][]byte{"a": two, "b": one, "z": one}},
		{"set and removed", []Entry{{"a", one}, {"a", nil}}, map[string][]byte{"z": one}},
		{"removed and set", []Entry{{"z", nil}, {"z", two}}, map[string][]byte{"z": two}},
		{"nothing", nil, map[string][]byte{"z": one}},
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
				t.Errorf("%s, rewrite %v, torn after it: %q, %v", c.name, rewrite, state, err)
			}
			store.Close()
		}
	}
}

// removeExcerpt removes what is kept of a damaged file.
func removeExcerpt(t *testing.T, dir string) string {
	if err := os.Remove(filepath.Join(dir, excerptName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	return dir
}

// Of the two files that may be there a start takes the newer one, passes over a
// rewrite that was not finished, and goes back to no earlier one for damage.
func TestFileSelectionAtStart(t *testing.T) {
	checkFileSelection(t, fileNames, true, true)
	checkFileSelection(t, legacyFileNames, false, false)
	checkFileSelection(t, [2]string{legacyFileNames[0], fileNames[0]}, false, true) // as it is carried over
}

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
		name       string
		file, next string
		want       map[string][]byte
		damaged    bool
	}{
		{"nothing", absent, absent, none, false},
		{"empty", "", absent, none, false},
		{"first batch torn", batch(1, "1")[:50], absent, none, false},
		{"rewritten, first entry damaged", damage(snapshot, 3), absent, none, true},
		{"rewritten, last entry damaged", damage(snapshot, len(snapshot)-9), absent, none, true},
		{"rewritten, cut after its first entry", snapshot[:len(snapshot)/2], absent, none, true},
		{"rewritten, its last batch torn", snapshot + batch(5, "5")[:50], absent, state("4"), false},
		{"one", old, absent, state("2"), false},
		{"one torn", old[:len(old)-1], absent, state("1"), false},
		{"one and an empty one", old, "", state("2"), false},
		{"one and an unfinished rewrite", old, snapshot[:50], state("2"), false},
		{"one and a rewrite with a hole", old, damage(snapshot, 3), state("2"), false},
		{"one torn and an unfinished rewrite", old[:len(old)-1], snapshot[:50], state("1"), false},
		{"one and a rewrite", old, snapshot, state("4"), false},
		{"one torn and a rewrite", old[:len(old)-1], snapshot, state("4"), false},
		{"one damaged and a rewrite", damage(old, 3), snapshot, state("4"), false},
		{"one damaged and an unfinished rewrite", damage(old, 3), snapshot[:50], none, true},
		{"one damaged and an empty one", damage(old, 3), "", none, true},
		{"one and a newer one in use", old, snapshot + batch(5, "5"), state("5"), false},
		{"one and a newer one damaged", old, damage(snapshot, 3) + batch(5, "5"), none, true},
		{"one and a newer one damaged later", old, snapshot + damage(batch(5, "5"), 3) + batch(6, "6"), none, true},
	} {
		for swap := range 2 {
			if swap == 1 && oldHeader != newHeader {
				continue // the format goes with the name
			}
			dir := t.TempDir()
			for i, text := range []string{c.file, c.next} {
				if text != absent {
					os.WriteFile(filepath.Join(dir, names[i^swap]), []byte(text), 0o600)
				}
			}
			store, got, err := Open(dir, 0, discardLog)
			if errors.Is(err, ErrDamaged) != c.damaged || err != nil && !c.damaged || !sameState(got, c.want) {
				t.Errorf("%s in %q, turn %d: %v, %q", c.name, names, swap, err, got)
			}
			if store == nil {
				continue
			}
			store.Close()
			if name := filepath.Base(storeFile(t, removeExcerpt(t, dir))); !slices.Contains(fileNames[:], name) {
				t.Errorf("%s in %q, turn %d: the file is %s", c.name, names, swap, name)
			}
			store, got, err = Open(dir, 0, discardLog)
			if err != nil || !sameState(got, c.want) {
				t.Errorf("%s in %q, turn %d, once more: %v, %q", c.name, names, swap, err, got)
			}
			store.Close()
		}
	}
}

// What is kept of damaged files does not grow, however large and many they are.
func TestDamagedExcerptIsBounded(t *testing.T) {
	const diskSize = 4 << 20
	dir := t.TempDir()
	excerptPath := filepath.Join(dir, excerptName)
	for _, name := range []string{excerptName, legacyDamagedName} {
		os.WriteFile(filepath.Join(dir, name), make([]byte, diskSize/4), 0o600) // as earlier releases left it
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
				t.Errorf("round %d: %d bytes of damaged files are kept: %v", round, info.Size(), err)
			}
		}
		path := filepath.Join(dir, fileNames[0])
		text, _ := os.ReadFile(path)
		copy(text[(len(text)+int(headerCommandSize))/2:], "here") // where an entry begins
		os.WriteFile(path, text, 0o600)
		all, _ := os.ReadDir(dir)
		if len(all) != 4 { // the file, the mark, and two pieces
			t.Errorf("round %d: %v", round, all)
		}
	}
	if l, _, err := Open(dir, diskSize, discardLog); !errors.Is(err, ErrDamaged) {
		t.Error(err)
	} else {
		l.Close()
	}
	if text, _ := os.ReadFile(excerptPath); !bytes.Contains(text, []byte("here")) {
		t.Errorf("the damage is not in what is kept, %d bytes", len(text))
	}
}
