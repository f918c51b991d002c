package ledger

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"github.com/tidwall/buntdb"
)

// same says whether two states hold the same.
func same(a, b map[string][]byte) bool { return maps.EqualFunc(a, b, bytes.Equal) }

// loads checks that buntdb takes what scan took for good.
func loads(t *testing.T, text []byte) {
	t.Helper()
	db, err := buntdb.Open(":memory:")
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Load(bytes.NewReader(text)); err != nil {
		t.Errorf("buntdb refuses %q: %v", text, err)
	}
}

func TestScanOfForeignText(t *testing.T) {
	const set = "*3\r\n$3\r\nset\r\n"
	for _, text := range []string{
		"", "x", "\x00\x00\x00", set, set + "$", set + "$1\r\n", set + "$-1\r\n",
		set + "$9223372036854775807\r\nk\r\n$1\r\nv\r\n",
		set + "$9223372036854775800\r\nk\r\n$1\r\nv\r\n",
		set + "$99999999999999999999\r\nk\r\n$1\r\nv\r\n",
	} {
		if state, good, last, err := scan([]byte(text)); len(state) != 0 || good != 0 || last != 0 || err != nil {
			t.Errorf("%q: %v, %d, %d, %v", text, state, good, last, err)
		}
	}
}

// Just what buntdb writes is a command: a file with anything else in it could
// not be opened, so it has to be cut off as torn.
func TestCommandIsStrict(t *testing.T) {
	const good = setHead + "$2\r\nkk\r\n$1\r\nv\r\n"
	if key, value, n := command([]byte(good)); key != "kk" || string(value) != "v" || n != len(good) {
		t.Fatalf("%q, %q, %d", key, value, n)
	}
	for i := range good {
		if _, _, n := command([]byte(good[:i])); n != 0 {
			t.Errorf("cut at %d: %d", i, n)
		}
		if good[i] == 'k' || good[i] == 'v' {
			continue
		}
		if _, _, n := command([]byte(good[:i] + "\x00" + good[i+1:])); n != 0 {
			t.Errorf("zero at %d: %d", i, n)
		}
	}
	for _, size := range []string{"+2", "02", "-0", " 2", "2 ", ""} {
		if _, _, n := command([]byte(setHead + "$" + size + "\r\nkk\r\n$1\r\nv\r\n")); n != 0 {
			t.Errorf("size %q: %d", size, n)
		}
	}
}

// Whatever the text, scan does not panic, takes nothing from a batch that is not
// whole, and takes only what buntdb reads too.
func FuzzScan(f *testing.F) {
	dir := f.TempDir()
	l, _, err := Open(dir, quiet)
	if err != nil {
		f.Fatal(err)
	}
	for i := range 3 {
		if err := l.Write([]Entry{{"a", []byte{byte(i)}}, {"b", nil}}); err != nil {
			f.Fatal(err)
		}
	}
	l.Close()
	text, _ := os.ReadFile(filepath.Join(dir, fileName))
	f.Add(text)
	f.Add(text[:len(text)-9])
	f.Add(append(bytes.Clone(text), text...))
	f.Add([]byte("*3\r\n$3\r\nset\r\n$9223372036854775807\r\nk\r\n$1\r\nv\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		state, good, last, _ := scan(text)
		again, end, number, damage := scan(text[:good])
		if damage != nil || end != good || number != last || !same(again, state) {
			t.Fatalf("%q up to %d: %v, %d, %d", text, good, damage, end, number)
		}
		loads(t, text[:good])
	})
}
