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
	defaultDiskSize = 64 << 20 // bytes, where the settings name no disk

	// The file is worth a rewrite above these: times the size of the state, and
	// part of the disk that it and its rewrite fill. It isn't below the least
	// part of the disk.
	rewriteLiveRatio    = 3
	rewriteFillFraction = 7.0 / 8
	rewriteMinFraction  = 1.0 / 64
	// No batch makes the file and its rewrite fill more than this part of the disk.
	maxFillFraction = 15.0 / 16
	// RewritableFill is the part of the disk up to which a state leaves room for
	// itself twice and for changes in between. Whoever adds to the state keeps to it.
	RewritableFill = 3.0 / 8
	// So much of the disk is kept of a damaged file, around the damage.
	excerptFraction = 1.0 / 1024

	excerptName       = "store.damaged"
	legacyDamagedName = "stacks.db.damaged"
)

// fileNames are the names that the file has by turns.
var fileNames = [2]string{"store.1.db", "store.2.db"}

// legacyFileNames are those that earlier releases gave it. What is found there is
// carried over by a rewrite.
var legacyFileNames = [2]string{"stacks.db", "stacks.2.db"}

// Store is a replica's state on disk, open for writing.
type Store struct {
	dir          directory
	log          *slog.Logger
	db           *buntdb.DB
	file         *os.File // the file of db, to sync it
	fileName     string   // of the file in use
	lastBatch    uint64   // number of the last batch, also of one that was refused
	mark         syncMark
	diskSize     int64 // bytes of the disk
	fileSize     int64 // bytes of the file
	liveSize     int64 // bytes that a rewrite would have
	needsRewrite bool  // nothing more may be appended
	dbLocked     bool  // buntdb gave up with its lock held; it is left as it is
}

// openFile opens the file in use.
func (s *Store) openFile() error {
	path := s.dir.path(s.fileName)
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

// closeFile closes the file in use.
func (s *Store) closeFile() error {
	if s.db == nil {
		return nil
	}
	_ = s.file.Close()
	var err error
	if !s.dbLocked {
		err = s.db.Close()
	}
	s.db, s.dbLocked = nil, false
	return err
}

// Close closes the file.
func (s *Store) Close() error {
	if s.db != nil {
		_ = s.MarkSynced()
	}
	s.mark.close()
	return s.closeFile()
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
			s.dbLocked = true
		}
		if err != nil && !errors.Is(err, ErrRoom) {
			s.needsRewrite = true
		}
	}()
	if batch = lastEntryPerKey(batch); len(batch) == 0 {
		return nil // all before it is synced, and a number without entries would be a gap
	}
	grown, liveSize, err := s.appendBatch(batch)
	if err != nil {
		return err
	}
	s.lastBatch++
	if err := s.dir.syncFile(s.file); err != nil {
		return err
	}
	s.fileSize += grown
	s.liveSize = liveSize
	return nil
}

// appendBatch appends a batch to the file, unless there is no room for it. It
// returns by how many bytes the file grew and how many a rewrite would have then.
func (s *Store) appendBatch(batch []Entry) (grown, liveSize int64, err error) {
	liveSize = s.liveSize
	err = s.db.Update(func(tx *buntdb.Tx) error {
		for _, e := range batch {
			value := encodeFrame(s.lastBatch+1, len(batch), e)
			size := commandSize(len(e.Key), len(value))
			grown += size
			if e.Value != nil {
				liveSize += size
			}
			old, existed, err := tx.Set(e.Key, value, nil)
			if err != nil {
				return err
			}
			if existed && old[frameHeaderSize-1]&flagRemoved == 0 {
				liveSize -= commandSize(len(e.Key), len(old))
			}
		}
		if s.fileSize+grown+liveSize > fractionOf(s.diskSize, maxFillFraction) {
			return ErrRoom
		}
		return nil
	})
	return grown, liveSize, err
}

// fractionOf is a fractionOf of a number of bytes.
func fractionOf(bytes int64, fraction float64) int64 { return int64(float64(bytes) * fraction) }

// lastEntryPerKey keeps the last entry of each key, in order: buntdb writes one entry of
// a key, and a batch is whole when as many are there as it says.
func lastEntryPerKey(entries []Entry) []Entry {
	last := make(map[string]int, len(entries))
	for i, e := range entries {
		last[e.Key] = i
	}
	if len(last) == len(entries) {
		return entries
	}
	kept := make([]Entry, 0, len(last))
	for i, e := range entries {
		if last[e.Key] == i {
			kept = append(kept, e)
		}
	}
	return kept
}

// Live is how many bytes a rewrite of the state would have.
func (s *Store) Live() int64 { return s.liveSize }

// Disk is how many bytes the disk has.
func (s *Store) Disk() int64 { return s.diskSize }

// Full says whether the file has grown enough to be worth a Rewrite.
func (s *Store) Full() bool {
	return s.fileSize > fractionOf(s.diskSize, rewriteMinFraction) &&
		(s.fileSize > rewriteLiveRatio*s.liveSize || s.fileSize+s.liveSize > fractionOf(s.diskSize, rewriteFillFraction))
}

// Rewrite writes just the given state to the other name and goes on there.
func (s *Store) Rewrite(state []Entry) error {
	// A damaged end of the file must not look torn while there are two.
	_ = s.MarkSynced()
	target := fileNames[0]
	if s.fileName == target {
		target = fileNames[1]
	}
	return s.replaceFile(target, state, s.fileName)
}

// replaceFile writes a new file that holds just the given state, removes the others
// and goes on in the new one. No name ever stands for two files: the new file and
// its name are durable before another one is removed, and the others are gone for
// good before a batch follows in the new one. So whatever a loss of power takes,
// one of them is left, and while there are several each holds all that was reported.
func (s *Store) replaceFile(target string, state []Entry, others ...string) error {
	s.needsRewrite = true
	state = slices.DeleteFunc(slices.Clone(lastEntryPerKey(state)), func(e Entry) bool { return e.Value == nil })
	size := rewrittenSize(state)
	if s.fileSize+size > s.diskSize {
		return fmt.Errorf("%w: %d bytes beside a file of %d, and the disk has %d", ErrTooLarge, size, s.fileSize, s.diskSize)
	}
	s.lastBatch++
	err := s.writeFile(target, state)
	if err == nil {
		err = s.dir.syncDir()
	}
	if err != nil {
		_ = s.dir.remove(target) // leaves room; a start would pass over it too
		return err
	}
	_ = s.closeFile()
	s.fileName = target
	if err := s.removeFiles(others...); err != nil {
		return err
	}
	if err := s.openFile(); err != nil {
		return err
	}
	s.fileSize, s.liveSize, s.needsRewrite = size, size, false
	return nil
}

// writeFile writes a file that holds one batch, and syncs it. It is a file of its own
// also where one of that name was: of that one a sync may have failed.
func (s *Store) writeFile(name string, state []Entry) error {
	if err := s.dir.remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := s.dir.create(name)
	if err != nil {
		return err
	}
	writer := bufio.NewWriterSize(f, 1<<16)
	command := appendCommand(nil, headerKey, encodeHeader(s.lastBatch, len(state)))
	_, _ = writer.Write(command) // Flush reports the error
	for _, e := range state {
		command = appendCommand(command[:0], e.Key, encodeFrame(s.lastBatch, len(state), e))
		_, _ = writer.Write(command)
	}
	if err = writer.Flush(); err == nil {
		err = s.dir.syncFile(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// rewrittenSize is how many bytes a file has that holds just a state.
func rewrittenSize(state []Entry) int64 {
	size := headerCommandSize
	for _, e := range state {
		size += commandSize(len(e.Key), frameHeaderSize+len(e.Value))
	}
	return size
}

// removeFiles removes files for good.
func (s *Store) removeFiles(names ...string) error {
	removed := false
	for _, name := range names {
		err := s.dir.remove(name)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		removed = removed || err == nil
	}
	if !removed {
		return nil
	}
	return s.dir.syncDir()
}
