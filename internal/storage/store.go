// Package storage keeps a replica's state on disk with buntdb. Every batch is
// framed so that a start can tell a whole batch from a torn one, and is synced
// before it is reported as written. What is written when is in
// docs/notes/hardening-disk.md.
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

var (
	// ErrDamaged says that something that was synced is damaged or missing.
	ErrDamaged = errors.New("the state on disk is damaged")
	// ErrNewerFormat says that a later release wrote the file. Nothing was changed.
	ErrNewerFormat = errors.New("the file was written by a later release")
	// ErrRoom says that after a batch there would be no room on the disk to rewrite
	// the file. The batch was not written; Rewrite makes room.
	ErrRoom = errors.New("the file has to be rewritten to make room")
	// ErrTooLarge says that a rewrite would not fit on the disk beside the file.
	ErrTooLarge = errors.New("the state is too large for the disk")

	errNeedsRewrite = errors.New("the file has to be rewritten after a refusal")
)

const (
	defaultRoom = 64 << 20 // bytes, where the settings name no disk

	// The file is worth a rewrite above these: times the size of the state, and
	// part of the disk that it and its rewrite fill. It isn't below the least
	// part of the disk.
	compactAt    = 3
	compactFill  = 7.0 / 8
	compactLeast = 1.0 / 64
	// No batch makes the file and its rewrite fill more than this part of the disk.
	writeFill = 15.0 / 16
	// RewritableFill is the part of the disk up to which a state leaves room for
	// itself twice and for changes in between. Whoever adds to the state keeps to it.
	RewritableFill = 3.0 / 8
	// So much of the disk is kept of a damaged file, around the damage.
	keptPart = 1.0 / 1024

	keptName       = "store.damaged"
	legacyKeptName = "stacks.db.damaged"
)

// fileNames are the names that the file has by turns.
var fileNames = [2]string{"store.1.db", "store.2.db"}

// legacyNames are those that earlier releases gave it. What is found there is
// carried over by a rewrite.
var legacyNames = [2]string{"stacks.db", "stacks.2.db"}

// Store is a replica's state on disk, open for writing.
type Store struct {
	dir          folder
	log          *slog.Logger
	db           *buntdb.DB
	file         *os.File // the file of db, to sync it
	name         string   // of the file in use
	batch        uint64   // number of the last batch, also of one that was refused
	mark         syncMark
	room         int64 // bytes of the disk
	size         int64 // bytes of the file
	live         int64 // bytes that a rewrite would have
	needsRewrite bool  // nothing more may be appended
	locked       bool  // buntdb gave up with its lock held; it is left as it is
}

// attach opens the file in use.
func (s *Store) attach() error {
	path := s.dir.path(s.name)
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
	s.db, s.file = db, f
	return nil
}

// detach closes the file in use.
func (s *Store) detach() error {
	if s.db == nil {
		return nil
	}
	_ = s.file.Close()
	var err error
	if !s.locked {
		err = s.db.Close()
	}
	s.db, s.locked = nil, false
	return err
}

// Close closes the file.
func (s *Store) Close() error {
	if s.db != nil {
		_ = s.MarkSynced()
	}
	s.mark.close()
	return s.detach()
}

// Write writes a batch and syncs it. After an error the caller writes its
// whole state again with Rewrite, at once if it is ErrRoom.
func (s *Store) Write(batch []Entry) (err error) {
	if s.needsRewrite {
		return errNeedsRewrite
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("buntdb gave up: %v", r)
			s.locked = true
		}
		if err != nil && !errors.Is(err, ErrRoom) {
			s.needsRewrite = true
		}
	}()
	if batch = unique(batch); len(batch) == 0 {
		return nil // all before it is synced, and a number without entries would be a gap
	}
	grown, live, err := s.appendBatch(batch)
	if err != nil {
		return err
	}
	s.batch++
	if err := s.dir.sync(s.file); err != nil {
		return err
	}
	s.size += grown
	s.live = live
	return nil
}

// appendBatch appends a batch to the file, unless there is no room for it. It
// returns by how many bytes the file grew and how many a rewrite would have then.
func (s *Store) appendBatch(batch []Entry) (grown, live int64, err error) {
	live = s.live
	err = s.db.Update(func(tx *buntdb.Tx) error {
		for _, e := range batch {
			v := frame(s.batch+1, len(batch), e)
			size := commandSize(len(e.Key), len(v))
			grown += size
			if e.Value != nil {
				live += size
			}
			old, existed, err := tx.Set(e.Key, v, nil)
			if err != nil {
				return err
			}
			if existed && old[frameHead-1]&removed == 0 {
				live -= commandSize(len(e.Key), len(old))
			}
		}
		if s.size+grown+live > part(s.room, writeFill) {
			return ErrRoom
		}
		return nil
	})
	return grown, live, err
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

// Live is how many bytes a rewrite of the state would have.
func (s *Store) Live() int64 { return s.live }

// Disk is how many bytes the disk has.
func (s *Store) Disk() int64 { return s.room }

// Full says whether the file has grown enough to be worth a Rewrite.
func (s *Store) Full() bool {
	return s.size > part(s.room, compactLeast) &&
		(s.size > compactAt*s.live || s.size+s.live > part(s.room, compactFill))
}

// Rewrite writes just the given state to the other name and goes on there.
func (s *Store) Rewrite(state []Entry) error {
	// A damaged end of the file must not look torn while there are two.
	_ = s.MarkSynced()
	target := fileNames[0]
	if s.name == target {
		target = fileNames[1]
	}
	return s.replace(target, state, s.name)
}

// replace writes a new file that holds just the given state, removes the others
// and goes on in the new one. No name ever stands for two files: the new file and
// its name are durable before another one is removed, and the others are gone for
// good before a batch follows in the new one. So whatever a loss of power takes,
// one of them is left, and while there are several each holds all that was reported.
func (s *Store) replace(target string, state []Entry, others ...string) error {
	s.needsRewrite = true
	state = slices.DeleteFunc(slices.Clone(unique(state)), func(e Entry) bool { return e.Value == nil })
	size := rewrittenSize(state)
	if s.size+size > s.room {
		return fmt.Errorf("%w: %d bytes beside a file of %d, and the disk has %d", ErrTooLarge, size, s.size, s.room)
	}
	s.batch++
	err := s.save(target, state)
	if err == nil {
		err = s.dir.syncNames()
	}
	if err != nil {
		_ = s.dir.remove(target) // leaves room; a start would pass over it too
		return err
	}
	_ = s.detach()
	s.name = target
	if err := s.drop(others...); err != nil {
		return err
	}
	if err := s.attach(); err != nil {
		return err
	}
	s.size, s.live, s.needsRewrite = size, size, false
	return nil
}

// save writes a file that holds one batch, and syncs it. It is a file of its own
// also where one of that name was: of that one a sync may have failed.
func (s *Store) save(name string, state []Entry) error {
	if err := s.dir.remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := s.dir.create(name)
	if err != nil {
		return err
	}
	w := bufio.NewWriterSize(f, 1<<16)
	line := appendCommand(nil, headerKey, header(s.batch, len(state)))
	_, _ = w.Write(line) // Flush reports the error
	for _, e := range state {
		line = appendCommand(line[:0], e.Key, frame(s.batch, len(state), e))
		_, _ = w.Write(line)
	}
	if err = w.Flush(); err == nil {
		err = s.dir.sync(f)
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// rewrittenSize is how many bytes a file has that holds just a state.
func rewrittenSize(state []Entry) int64 {
	size := headerSize
	for _, e := range state {
		size += commandSize(len(e.Key), frameHead+len(e.Value))
	}
	return size
}

// drop removes files for good.
func (s *Store) drop(names ...string) error {
	any := false
	for _, name := range names {
		err := s.dir.remove(name)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		any = any || err == nil
	}
	if !any {
		return nil
	}
	return s.dir.syncNames()
}
