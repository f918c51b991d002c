package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tidwall/buntdb"
)

func sameState(a, b map[string][]byte) bool { return maps.EqualFunc(a, b, bytes.Equal) }

// writeHistory writes three small batches, numbered 2 to 4, after batch 1, which begins
// the file. It returns the file, the offset at which each of them ends, and the state
// after each.
func writeHistory(t *testing.T) (text []byte, ends []int, states []map[string][]byte) {
	t.Helper()
	dir := t.TempDir()
	store, _, err := Open(dir, 0, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	state := map[string][]byte{}
	for i, batch := range [][]Entry{
		{{"a", []byte("1")}, {"bb", []byte("1")}},
		{{"a", []byte("2")}, {"c", []byte("")}},
		{{"a", nil}, {"bb", []byte("3")}, {"d", []byte("\r\n$1\r\n3")}},
	} {
		if err := store.Write(batch); err != nil {
			t.Fatal(err)
		}
		text, _ = os.ReadFile(filepath.Join(dir, fileNames[0]))
		for _, e := range batch {
			if state[e.Key] = e.Value; e.Value == nil {
				delete(state, e.Key)
			}
		}
		ends, states = append(ends, len(text)), append(states, maps.Clone(state))
		if got, validEnd, last, err := scan(text); err != nil || validEnd != int64(len(text)) || last != uint64(i+2) || !sameState(got, state) {
			t.Fatalf("batch %d: %v at %d, %v, %q", i+1, last, validEnd, err, got)
		}
	}
	return text, ends, states
}

// checkBuntdbLoads checks that buntdb can load text.
func checkBuntdbLoads(t *testing.T, text []byte) {
	t.Helper()
	db, err := buntdb.Open(":memory:")
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Load(bytes.NewReader(text)); err != nil {
		t.Errorf("buntdb can't load %q: %v", text, err)
	}
}

// Truncating the last batch at any byte, or flipping, zeroing or leaving a hole of zeros
// in it, must leave the state of the batch before. The same changes to the batch before
// are damage, because the last batch follows it.
func TestScanAtEveryByte(t *testing.T) {
	text, ends, states := writeHistory(t)
	for offset := ends[0]; offset < len(text); offset++ {
		batch, begin := 1, ends[0]
		if offset >= ends[1] {
			batch, begin = 2, ends[1]
		}
		checkChanged := func(what string, from, to int, f func(byte) byte) {
			changedText := bytes.Clone(text)
			for i := from; i < to; i++ {
				changedText[i] = f(changedText[i])
			}
			if bytes.Equal(changedText, text) {
				return
			}
			state, validEnd, last, err := scan(changedText)
			if batch == 1 {
				if !errors.Is(err, ErrDamaged) {
					t.Errorf("change to the batch before the last, %s at %d: %v, %q", what, offset, err, state)
				}
			} else if err != nil || validEnd != int64(ends[1]) || last != 3 || !sameState(state, states[1]) {
				t.Errorf("change to the last batch, %s at %d: %v, valid up to %d, %q", what, offset, err, validEnd, state)
			}
			checkBuntdbLoads(t, changedText[:validEnd])
		}
		for bit := range 8 {
			checkChanged(fmt.Sprintf("bit %d flipped", bit), offset, offset+1, func(b byte) byte { return b ^ 1<<bit })
		}
		checkChanged("zero", offset, offset+1, func(byte) byte { return 0 })
		checkChanged("hole up to", begin, offset+1, func(byte) byte { return 0 })
		state, validEnd, last, err := scan(text[:offset])
		if err != nil || validEnd != int64(begin) || last != uint64(batch+1) || !sameState(state, states[batch-1]) {
			t.Errorf("truncated at %d: %v, valid up to %d, %q", offset, err, validEnd, state)
		}
	}
}

// Files of earlier releases have no header, and their checksums do not cover the keys.
// They must remain readable.
func TestScanWithoutHeaderOrKeyChecksum(t *testing.T) {
	const set, one = setPrefix, "\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00\x02"
	const two = "\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x01"
	text := set + "$1\r\na\r\n$18\r\n%\x96\xa6'" + one + "\x001\r\n" +
		set + "$2\r\nbb\r\n$18\r\n%\x96\xa6'" + one + "\x001\r\n" +
		set + "$1\r\na\r\n$17\r\nGONE" + two + "\x01\r\n"
	text = strings.Replace(text, "GONE", string(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE([]byte(two+"\x01")))), 1)
	state, validEnd, last, err := scan([]byte(text))
	if err != nil || validEnd != int64(len(text)) || last != 2 || !sameState(state, map[string][]byte{"bb": []byte("1")}) {
		t.Errorf("%q up to %d, batch %d: %v", state, validEnd, last, err)
	}
}

func TestScanOfInvalidText(t *testing.T) {
	const set = "*3\r\n$3\r\nset\r\n"
	for _, text := range []string{
		"", "x", "\x00\x00\x00", set, set + "$", set + "$1\r\n", set + "$-1\r\n",
		set + "$9223372036854775807\r\nk\r\n$1\r\nv\r\n",
		set + "$9223372036854775800\r\nk\r\n$1\r\nv\r\n",
		set + "$99999999999999999999\r\nk\r\n$1\r\nv\r\n",
	} {
		if state, validEnd, last, err := scan([]byte(text)); len(state) != 0 || validEnd != 0 || last != 0 || err != nil {
			t.Errorf("%q: %v, %d, %d, %v", text, state, validEnd, last, err)
		}
	}
}

// parseCommand accepts only exactly what buntdb writes. buntdb can't open a file with
// anything else in it, so such text must be cut off as a torn write.
func TestCommandIsStrict(t *testing.T) {
	const valid = setPrefix + "$2\r\nkk\r\n$1\r\nv\r\n"
	if key, value, n := parseCommand([]byte(valid)); key != "kk" || string(value) != "v" || n != len(valid) {
		t.Fatalf("%q, %q, %d", key, value, n)
	}
	for i := range valid {
		if _, _, n := parseCommand([]byte(valid[:i])); n != 0 {
			t.Errorf("truncated at %d: %d", i, n)
		}
		if valid[i] == 'k' || valid[i] == 'v' {
			continue
		}
		if _, _, n := parseCommand([]byte(valid[:i] + "\x00" + valid[i+1:])); n != 0 {
			t.Errorf("zero at %d: %d", i, n)
		}
	}
	for _, size := range []string{"+2", "02", "-0", " 2", "2 ", ""} {
		if _, _, n := parseCommand([]byte(setPrefix + "$" + size + "\r\nkk\r\n$1\r\nv\r\n")); n != 0 {
			t.Errorf("size %q: %d", size, n)
		}
	}
}

// For any text, scan must not panic, must not apply part of an incomplete batch, and must
// accept only what buntdb can load too.
func FuzzScan(f *testing.F) {
	dir := f.TempDir()
	store, _, err := Open(dir, 0, discardLog)
	if err != nil {
		f.Fatal(err)
	}
	for i := range 3 {
		if err := store.Write([]Entry{{"a", []byte{byte(i)}}, {"b", nil}}); err != nil {
			f.Fatal(err)
		}
	}
	store.Close()
	text, _ := os.ReadFile(filepath.Join(dir, fileNames[0]))
	f.Add(text)
	f.Add(text[:len(text)-9])
	f.Add(append(bytes.Clone(text), text...))
	f.Add([]byte("*3\r\n$3\r\nset\r\n$9223372036854775807\r\nk\r\n$1\r\nv\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		state, validEnd, lastBatch, _ := scan(text)
		secondState, secondEnd, secondLastBatch, damage := scan(text[:validEnd])
		if damage != nil || secondEnd != validEnd || secondLastBatch != lastBatch || !sameState(secondState, state) {
			t.Fatalf("%q up to %d: %v, %d, %d", text, validEnd, damage, secondEnd, secondLastBatch)
		}
		checkBuntdbLoads(t, text[:validEnd])
	})
}
