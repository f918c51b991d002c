// Package storage keeps a member's state on disk with buntdb. Every batch is
// framed so that a start can tell a whole batch from a torn one, and is synced
// before it is reported as written.
package storage

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"slices"

	"github.com/tidwall/buntdb"
)

// Entry is one key and its new value; a nil value removes the key.
type Entry struct {
	Key   string
	Value []byte
}

// ErrDamaged says that the file is damaged beyond a torn last batch.
var ErrDamaged = errors.New("ledger damaged")

// ErrRoom says that after a batch there would be no room on the disk to rewrite
// the file. The batch was not written; Rewrite makes room.
var ErrRoom = errors.New("ledger has to be rewritten to make room")

const (
	fileName = "stacks.db"
	mostRoom = 64 << 20 // bytes, where the settings name no disk

	// The file is worth a rewrite above these: times the size of what stands,
	// and part of the disk that it and its rewrite fill. It isn't below the
	// least part of the disk.
	compactAt    = 3
	compactFill  = 7.0 / 8
	compactLeast = 1.0 / 64
	// No batch makes the file and its rewrite fill more than this part of the disk.
	writeFill = 15.0 / 16
	// So much of the disk is kept of a damaged file, around the damage.
	keptPart = 1.0 / 1024

	keptName = fileName + ".damaged"
)

// slots are the names that the file has by turns.
var slots = [2]string{fileName, "stacks.2.db"}

// Ledger is the open file.
type Ledger struct {
	dir    folder
	log    *slog.Logger
	db     *buntdb.DB
	sync   *os.File
	batch  uint64
	room   int64 // bytes of the disk
	size   int64 // bytes of the file
	live   int64 // bytes that a rewrite would have
	bad    bool  // nothing more may be appended
	slot   int   // of the file in use
	locked bool  // buntdb gave up with its lock held; it is left as it is
}

// Open opens the ledger in dir and returns what it holds, which is then durable.
// A last batch that is torn is cut off; a file with other damage is set aside and
// ErrDamaged is returned together with an empty, usable ledger. The files in dir
// stay within room, the disk's bytes (0: 64 MB), as long as what stands takes no
// more than half of that.
func Open(dir string, room int64, logger *slog.Logger) (*Ledger, map[string][]byte, error) {
	return open(osFolder(dir), room, logger)
}

func open(dir folder, room int64, logger *slog.Logger) (*Ledger, map[string][]byte, error) {
	l := &Ledger{dir: dir, room: room, log: logger}
	if room <= 0 {
		l.room = mostRoom
	}
	state, good, damage, err := l.find()
	if err != nil {
		return nil, nil, err
	}
	if err := l.shorten(); err != nil {
		return nil, nil, err
	}
	if damage != nil {
		if err := l.setAside(damage); err != nil {
			return nil, nil, err
		}
		state, good = map[string][]byte{}, 0
	}
	// What is taken is made durable before anything else goes.
	if err := l.attach(); err != nil {
		return nil, nil, err
	}
	if err := l.dir.sync(l.sync); err != nil {
		l.Close()
		return nil, nil, err
	}
	if err := l.dir.syncNames(); err != nil {
		l.Close()
		return nil, nil, err
	}
	if err := l.drop(slots[1-l.slot], fileName+".new"); err != nil {
		l.Close()
		return nil, nil, err
	}
	l.size = good
	for k, v := range state {
		l.live += commandSize(len(k), frameHead+len(v))
	}
	return l, state, damage
}

// find reads what is there, chooses the slot whose last whole batch is the
// newest and cuts off what is torn behind that. While both slots are there, no
// batch was reported that is in one of them only: see Rewrite.
func (l *Ledger) find() (state map[string][]byte, good int64, damage, err error) {
	size := int64(0)
	state = map[string][]byte{}
	for i, name := range slots {
		text, err := l.dir.read(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, 0, nil, err
		}
		s, end, last, d := scan(text)
		if d != nil {
			// One number only: a rewrite that was not finished. More: a file in use.
			if least, most := numbers(text); least < most {
				last = most
			}
		}
		if last > l.batch || l.batch == 0 && d != nil {
			l.slot, l.batch, state, good, damage, size = i, last, s, end, d, int64(len(text))
		} else if l.batch == 0 && damage == nil {
			l.slot, size = i, int64(len(text))
		}
	}
	if damage == nil && good < size {
		l.log.Warn("torn batch cut off", "bytes", size-good)
		if err := l.dir.truncate(slots[l.slot], good); err != nil {
			return nil, 0, nil, err
		}
	}
	return state, good, damage, nil
}

// setAside removes a damaged file, and before it anything that could be taken
// for an earlier state of the member. For people it keeps the damaged place.
func (l *Ledger) setAside(damage error) error {
	l.log.Error("damaged file set aside", "error", damage)
	if err := l.drop(slots[1-l.slot]); err != nil {
		return err
	}
	if err := l.dir.syncNames(); err != nil { // a start before this one may have dropped it
		return err
	}
	if err := l.keep(slots[l.slot], damage); err != nil {
		l.log.Warn("nothing of the damaged file is kept", "error", err)
	}
	if err := l.drop(slots[l.slot]); err != nil {
		return err
	}
	l.slot = 0
	return nil
}

// keep copies what lies around a damaged place.
func (l *Ledger) keep(name string, damage error) error {
	text, err := l.dir.read(name)
	if err != nil {
		return err
	}
	size, at := int(part(l.room, keptPart)), 0
	var place *damagedAt
	if errors.As(damage, &place) {
		at = max(0, place.offset-size/2)
	}
	f, err := l.dir.create(keptName)
	if err != nil {
		return err
	}
	_, err = f.Write(text[at:min(len(text), at+size)])
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// shorten cuts off what an earlier version kept, a whole damaged file.
func (l *Ledger) shorten() error {
	most := part(l.room, keptPart)
	if size, err := l.dir.size(keptName); err != nil || size <= most {
		return nil
	}
	return l.dir.truncate(keptName, most)
}

// drop removes files for good.
func (l *Ledger) drop(names ...string) error {
	some := false
	for _, name := range names {
		err := l.dir.remove(name)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		some = some || err == nil
	}
	if !some {
		return nil
	}
	return l.dir.syncNames()
}

// attach opens the file of the slot in use.
func (l *Ledger) attach() error {
	path := l.dir.path(slots[l.slot])
	db, err := buntdb.Open(path)
	if err != nil {
		return err
	}
	// buntdb drops the error of its own sync, so the sync is done here.
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Never, AutoShrinkDisabled: true}); err != nil {
		db.Close()
		return err
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		db.Close()
		return err
	}
	l.db, l.sync = db, f
	return nil
}

// Write writes a batch and syncs it. After an error the caller writes its
// whole state again with Rewrite, at once if it is ErrRoom.
func (l *Ledger) Write(batch []Entry) (err error) {
	if l.bad {
		return errors.New("ledger needs to be rewritten")
	}
	room := false // refused before anything was written
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("buntdb gave up: %v", r)
			l.locked = true
		}
		if err != nil && !room {
			l.bad = true
		}
	}()
	if batch = unique(batch); len(batch) == 0 {
		return nil // all before it is synced, and a number without entries would be a gap
	}
	grown, live := int64(0), l.live
	err = l.db.Update(func(tx *buntdb.Tx) error {
		for _, e := range batch {
			v := frame(l.batch+1, len(batch), e)
			size := commandSize(len(e.Key), len(v))
			grown += size
			if e.Value != nil {
				live += size
			}
			old, was, err := tx.Set(e.Key, v, nil)
			if err != nil {
				return err
			}
			if was && old[frameHead-1]&gone == 0 {
				live -= commandSize(len(e.Key), len(old))
			}
		}
		if l.size+grown+live > part(l.room, writeFill) {
			return ErrRoom
		}
		return nil
	})
	if errors.Is(err, ErrRoom) {
		room = true
		return err
	}
	if err != nil {
		return err
	}
	l.batch++
	if err := l.dir.sync(l.sync); err != nil {
		return err
	}
	l.size += grown
	l.live = live
	return nil
}

// part is a part of a number of bytes.
func part(bytes int64, of float64) int64 { return int64(float64(bytes) * of) }

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
func (l *Ledger) Full() bool {
	return l.size > part(l.room, compactLeast) &&
		(l.size > compactAt*l.live || l.size+l.live > part(l.room, compactFill))
}

// Rewrite writes just the given state to the other slot and goes on there. No
// name ever stands for two files: the new file and its name are durable before
// the old one is removed, and the old one is gone for good before a batch
// follows in the new one. So whatever a loss of power takes, one of them is
// left, and while both are there either holds all that was reported.
func (l *Ledger) Rewrite(state []Entry) error {
	l.bad = true
	l.batch++
	other := 1 - l.slot
	size, err := l.save(slots[other], state)
	if err == nil {
		err = l.dir.syncNames()
	}
	if err != nil {
		_ = l.dir.remove(slots[other]) // leaves room; a start would pass over it too
		return err
	}
	_ = l.Close()
	l.slot = other
	if err := l.drop(slots[1-other]); err != nil {
		return err
	}
	if err := l.attach(); err != nil {
		return err
	}
	l.size, l.live, l.bad = size, size, false
	return nil
}

// save writes a file that holds one batch, and syncs it.
func (l *Ledger) save(name string, state []Entry) (size int64, err error) {
	state = slices.DeleteFunc(slices.Clone(unique(state)), func(e Entry) bool { return e.Value == nil })
	f, err := l.dir.create(name)
	if err != nil {
		return 0, err
	}
	w := bufio.NewWriterSize(f, 1<<16)
	var line []byte
	for _, e := range state {
		line = appendCommand(line[:0], e.Key, frame(l.batch, len(state), e))
		size += int64(len(line))
		_, _ = w.Write(line) // Flush reports the error
	}
	if err = w.Flush(); err == nil {
		err = l.dir.sync(f)
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return size, err
}

// Close closes the file.
func (l *Ledger) Close() error {
	if l.db == nil {
		return nil
	}
	_ = l.sync.Close()
	var err error
	if !l.locked {
		err = l.db.Close()
	}
	l.db, l.locked = nil, false
	return err
}
