// Package ledger keeps a member's state on disk with buntdb. Every batch is
// framed so that a start can tell a whole batch from a torn one, and is synced
// before it is reported as written.
package ledger

import (
	"errors"
	"fmt"
	"log"
	"os"

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
	compactAt = 8       // times the size of what stands
	compactLo = 1 << 20 // no compaction below this size
)

// Ledger is the open file.
type Ledger struct {
	dir   folder
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
	return open(osFolder(dir), logger)
}

func open(dir folder, logger *log.Logger) (*Ledger, map[string][]byte, error) {
	l := &Ledger{dir: dir, log: logger}
	_ = dir.remove(fileName + ".new")
	text, err := dir.read(fileName)
	if err != nil && !os.IsNotExist(err) {
		return nil, nil, err
	}
	state, good, batch, damage := scan(text)
	l.batch = batch
	if damage != nil {
		logger.Printf("file set aside: %v.", damage)
		if err := dir.rename(fileName, fileName+".damaged"); err != nil {
			return nil, nil, err
		}
		state, good = map[string][]byte{}, 0
	} else if good < int64(len(text)) {
		logger.Printf("torn batch of %d bytes cut off.", int64(len(text))-good)
		if err := dir.truncate(fileName, good); err != nil {
			return nil, nil, err
		}
	}
	l.size = good
	if err := l.attach(); err != nil {
		return nil, nil, err
	}
	for k, v := range state {
		l.live += int64(len(k) + len(v) + frameHead + 40)
	}
	return l, state, damage
}

func (l *Ledger) attach() error {
	path := l.dir.path(fileName)
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
	if err := l.dir.sync(f); err != nil {
		db.Close()
		f.Close()
		return err
	}
	l.db, l.sync = db, f
	return l.dir.syncNames()
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
	if err := l.dir.sync(l.sync); err != nil {
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
	f, err := l.dir.create(fileName + ".new")
	if err != nil {
		return err
	}
	if err = mem.Save(f); err == nil {
		err = l.dir.sync(f)
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = l.dir.rename(fileName+".new", fileName)
	}
	if err == nil {
		err = l.dir.syncNames()
	}
	if err != nil {
		l.bad = true
		return err
	}
	_ = l.Close()
	if err := l.attach(); err != nil {
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
