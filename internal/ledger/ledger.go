// Package ledger keeps a member's state on disk with buntdb. Every batch is
// framed so that a start can tell a whole batch from a torn one, and is synced
// before it is reported as written.
package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log"
	"os"
	"path/filepath"
	"strconv"

	"github.com/tidwall/buntdb"
)

// Entry is one key and its new value; a nil value removes the key.
type Entry struct {
	Key   string
	Value []byte
}

// ErrDamaged says that the file is damaged beyond a torn last batch.
var ErrDamaged = errors.New("ledger damaged")

const (
	fileName  = "stacks.db"
	setHead   = "*3\r\n$3\r\nset\r\n"
	frameHead = 4 + 8 + 4 + 1 // crc, batch, entries in the batch, gone
	compactAt = 8             // times the size of what stands
	compactLo = 1 << 20       // no compaction below this size
)

// Ledger is the open file.
type Ledger struct {
	dir   string
	log   *log.Logger
	db    *buntdb.DB
	sync  *os.File
	batch uint64
	size  int64
	live  int64
	bad   bool
}

// Open opens the ledger in dir and returns what it holds. A last batch that is
// torn is cut off; a file with other damage is set aside and ErrDamaged is
// returned together with an empty, usable ledger.
func Open(dir string, logger *log.Logger) (*Ledger, map[string][]byte, error) {
	l := &Ledger{dir: dir, log: logger}
	path := filepath.Join(dir, fileName)
	_ = os.Remove(path + ".new")
	text, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, nil, err
	}
	state, good, batch, damage := scan(text)
	l.batch = batch
	if damage != nil {
		logger.Printf("file set aside: %v.", damage)
		if err := os.Rename(path, path+".damaged"); err != nil {
			return nil, nil, err
		}
		state, good = map[string][]byte{}, 0
	} else if good < int64(len(text)) {
		logger.Printf("torn batch of %d bytes cut off.", int64(len(text))-good)
		if err := os.Truncate(path, good); err != nil {
			return nil, nil, err
		}
	}
	l.size = good
	if err := l.open(); err != nil {
		return nil, nil, err
	}
	for k, v := range state {
		l.live += int64(len(k) + len(v) + frameHead + 40)
	}
	return l, state, damage
}

func (l *Ledger) open() error {
	path := filepath.Join(l.dir, fileName)
	db, err := buntdb.Open(path)
	if err != nil {
		return err
	}
	// buntdb drops the error of its own sync, so the sync is done here.
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		db.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		db.Close()
		f.Close()
		return err
	}
	l.db, l.sync = db, f
	return syncDir(l.dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// What a frame's last byte of head says.
const (
	gone   = 1 << iota // the key is removed
	sealed             // the checksum covers the key too; files of earlier versions lack it
)

// frame is the value that stands on disk for one entry of a batch of n.
func frame(batch uint64, n int, e Entry) string {
	b := make([]byte, frameHead, frameHead+len(e.Value))
	binary.BigEndian.PutUint64(b[4:], batch)
	binary.BigEndian.PutUint32(b[12:], uint32(n))
	b[16] = sealed
	if e.Value == nil {
		b[16] |= gone
	}
	b = append(b, e.Value...)
	binary.BigEndian.PutUint32(b, checksum(e.Key, b))
	return string(b)
}

func checksum(key string, frame []byte) uint32 {
	sum := crc32.ChecksumIEEE(frame[4:])
	if frame[16]&sealed != 0 {
		sum = crc32.Update(sum, crc32.IEEETable, []byte(key))
	}
	return sum
}

// whole says whether a frame is as it was written for key.
func whole(key string, frame []byte) bool {
	return len(frame) >= frameHead && binary.BigEndian.Uint32(frame) == checksum(key, frame)
}

// Write writes a batch and syncs it. After an error the caller writes its
// whole state again with Rewrite.
func (l *Ledger) Write(batch []Entry) (err error) {
	if l.bad {
		return errors.New("ledger needs to be rewritten")
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("buntdb gave up: %v", r)
		}
		if err != nil {
			l.bad = true
		}
	}()
	if batch = unique(batch); len(batch) == 0 {
		return nil // all before it is synced, and a number without entries would be a gap
	}
	l.batch++
	grown := int64(0)
	err = l.db.Update(func(tx *buntdb.Tx) error {
		for _, e := range batch {
			v := frame(l.batch, len(batch), e)
			grown += int64(len(e.Key) + len(v) + 40)
			if _, _, err := tx.Set(e.Key, v, nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := l.sync.Sync(); err != nil {
		return err
	}
	l.size += grown
	return nil
}

// unique keeps the last entry of each key, in order: buntdb writes one entry of
// a key, and a batch is whole when as many are there as it says.
func unique(entries []Entry) []Entry {
	last := make(map[string]int, len(entries))
	for i, e := range entries {
		last[e.Key] = i
	}
	if len(last) == len(entries) {
		return entries
	}
	out := make([]Entry, 0, len(last))
	for i, e := range entries {
		if last[e.Key] == i {
			out = append(out, e)
		}
	}
	return out
}

// Full says whether the file has grown enough to be worth a Rewrite.
func (l *Ledger) Full() bool { return l.size > compactLo && l.size > compactAt*l.live }

// Rewrite replaces the file by one that holds just the given state. The old
// file stands until the new one and its name are safe.
func (l *Ledger) Rewrite(state []Entry) error {
	path := filepath.Join(l.dir, fileName)
	mem, err := buntdb.Open(":memory:")
	if err != nil {
		return err
	}
	defer mem.Close()
	state = unique(state)
	l.batch++
	l.live = 0
	err = mem.Update(func(tx *buntdb.Tx) error {
		for _, e := range state {
			v := frame(l.batch, len(state), e)
			l.live += int64(len(e.Key) + len(v) + 40)
			if _, _, err := tx.Set(e.Key, v, nil); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if err = mem.Save(f); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err == nil {
		err = syncDir(l.dir)
	}
	if err != nil {
		l.bad = true
		return err
	}
	_ = l.Close()
	if err := l.open(); err != nil {
		l.bad = true
		return err
	}
	l.size, l.bad = l.live, false
	return nil
}

// Close closes the file.
func (l *Ledger) Close() error {
	if l.db == nil {
		return nil
	}
	_ = l.sync.Close()
	return l.db.Close()
}

// scan reads a file of buntdb's and returns what stands after the last whole
// batch, where that batch ends and its number. Damage that is followed by more
// than the remains of one batch is an error.
func scan(text []byte) (state map[string][]byte, good int64, last uint64, damage error) {
	state = map[string][]byte{}
	type item struct {
		key   string
		value []byte
	}
	var open []item
	var batch uint64
	off := 0
	for off < len(text) {
		key, value, n := command(text[off:])
		if n == 0 || !whole(key, value) {
			// Batches are written one at a time and each is synced before the
			// next, so only the last one may be torn.
			if later(text[off:], last) {
				return state, good, last, fmt.Errorf("%w at byte %d", ErrDamaged, off)
			}
			return state, good, last, nil
		}
		b := binary.BigEndian.Uint64(value[4:])
		count := int(binary.BigEndian.Uint32(value[12:]))
		if len(open) > 0 && b != batch {
			return state, good, last, fmt.Errorf("%w: batch %d is not whole", ErrDamaged, batch)
		}
		batch = b
		var v []byte
		if value[16]&gone == 0 {
			v = append([]byte{}, value[frameHead:]...)
		}
		open = append(open, item{key, v})
		off += n
		if len(open) == count {
			for _, it := range open {
				if it.value == nil {
					delete(state, it.key)
				} else {
					state[it.key] = it.value
				}
			}
			open, good, last = open[:0], int64(off), b
		}
	}
	return state, good, last, nil
}

// later says whether a batch that was begun two or more after the last whole
// one shows up in what follows the damage.
func later(rest []byte, last uint64) bool {
	mark := []byte(setHead)
	for {
		i := bytes.Index(rest, mark)
		if i < 0 {
			return false
		}
		key, value, n := command(rest[i:])
		if n > 0 && whole(key, value) && binary.BigEndian.Uint64(value[4:]) > last+1 {
			return true
		}
		rest = rest[i+len(mark):]
	}
}

// command reads one set command; n is its length, 0 if there is none. It takes
// just what buntdb writes: buntdb refuses a whole file for less.
func command(b []byte) (key string, value []byte, n int) {
	r, ok := bytes.CutPrefix(b, []byte(setHead))
	if !ok {
		return "", nil, 0
	}
	k, r, ok := bulk(r)
	if !ok {
		return "", nil, 0
	}
	v, r, ok := bulk(r)
	if !ok {
		return "", nil, 0
	}
	return string(k), v, len(b) - len(r)
}

// bulk reads one part of a command and returns what follows it.
func bulk(b []byte) (part, rest []byte, ok bool) {
	head, rest, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok || len(head) < 2 || head[0] != '$' {
		return nil, nil, false
	}
	size, err := strconv.Atoi(string(head[1:]))
	if err != nil || size < 0 || strconv.Itoa(size) != string(head[1:]) || size > len(rest)-2 {
		return nil, nil, false
	}
	part, rest = rest[:size], rest[size:]
	rest, ok = bytes.CutPrefix(rest, []byte("\r\n"))
	return part, rest, ok
}
