// Package storage keeps a replica's state on disk with buntdb. Changes are written in
// numbered batches. The entries of a batch are framed so that recovery can tell a
// complete batch from a torn one, and a batch is synced before it is acknowledged.
// The order of writes and syncs is described in docs/notes/hardening-disk.md.
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
	// ErrDamaged means that synced data is damaged or missing.
	ErrDamaged = errors.New("the state on disk is damaged")
	// ErrNewerFormat means that a later release wrote the file. Nothing was changed.
	ErrNewerFormat = errors.New("the file was written by a later release")
	// ErrRewriteRequired means that the batch would leave too little disk space to rewrite the
	// file. The batch was not written; Rewrite frees space.
	ErrRewriteRequired = errors.New("the file has to be rewritten to make room")
	// ErrTooLarge means that a rewrite would not fit on the disk beside the current file.
	ErrTooLarge = errors.New("the state is too large for the disk")

	errNeedsRewrite = errors.New("the file must be rewritten after a failed write")
)

const (
	defaultDiskSize = 64 << 20 // bytes, if the settings give no disk size

	// A rewrite is worthwhile if the file is larger than rewriteLiveRatio times its live
	// size, or if the file and its rewrite together would fill more than
	// rewriteFillFraction of the disk; but never while the file is at most
	// rewriteMinFraction of the disk.
	rewriteLiveRatio    = 3
	rewriteFillFraction = 7.0 / 8
	rewriteMinFraction  = 1.0 / 64
	// maxFillFraction is the fraction of the disk that the file and its rewrite together may
	// fill after a batch.
	maxFillFraction = 15.0 / 16
	// MaxStateFraction is the largest fraction of the disk that the state may take so that the
	// disk has room for two copies of the state and for the changes between two rewrites.
	// Callers must not let the state grow beyond it.
	MaxStateFraction = 3.0 / 8
	// excerptFraction is the size of the excerpt that is kept of a damaged file, as a
	// fraction of the disk.
	excerptFraction = 1.0 / 1024

	excerptName       = "store.damaged"
	legacyDamagedName = "stacks.db.damaged"
)

// fileNames are the two names of the file; each rewrite switches to the other name.
var fileNames = [2]string{"store.1.db", "store.2.db"}

// legacyFileNames are the file names of earlier releases. A start migrates such a file
// by rewriting it under one of fileNames.
var legacyFileNames = [2]string{"stacks.db", "stacks.2.db"}

// Store is a replica's state on disk, open for writing.
type Store struct {
	dir          directory
	log          *slog.Logger
	db           *buntdb.DB
	file         *os.File // second handle on the file of db, to sync it
	fileName     string   // name of the current file
	lastBatch    uint64   // highest batch number used, also by a batch whose sync failed
	mark         syncMark
	diskSize     int64 // bytes
	fileSize     int64 // bytes of the current file
	liveSize     int64 // bytes that the file would have after a rewrite
	needsRewrite bool  // a write failed; nothing may be appended until a rewrite
	dbLocked     bool  // buntdb panicked while it held its lock, so closing db would block
}

// openFile opens the current file.
func (s *Store) openFile() error {
	path := s.dir.path(s.fileName)
	db, err := buntdb.Open(path)
	if err != nil {
		return err
	}
	// buntdb ignores the error of its own sync, so the store syncs the file itself.
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

// closeFile closes the current file.
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

// Close records that the last batch was synced, if it was, and closes the files.
func (s *Store) Close() error {
	if s.db != nil {
		_ = s.MarkSynced()
	}
	s.mark.close()
	return s.closeFile()
}

// Write appends a batch and syncs it. After an error the caller must write its complete
// state with Rewrite; after ErrRewriteRequired it can do so immediately.
func (s *Store) Write(batch []Entry) (err error) {
	if s.needsRewrite {
		return errNeedsRewrite
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("buntdb panicked: %v", r)
			s.dbLocked = true
		}
		if err != nil && !errors.Is(err, ErrRewriteRequired) {
			s.needsRewrite = true
		}
	}()
	if batch = lastEntryPerKey(batch); len(batch) == 0 {
		return nil // everything before is synced, and a batch number without entries would leave a gap
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

// appendBatch appends a batch to the file, or returns ErrRewriteRequired. It also returns by how
// many bytes the file grew and the new live size.
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
			return ErrRewriteRequired
		}
		return nil
	})
	return grown, liveSize, err
}

func fractionOf(bytes int64, fraction float64) int64 { return int64(float64(bytes) * fraction) }

// lastEntryPerKey keeps only the last entry of each key, in order. buntdb writes one
// entry per key and transaction, and the entry count in the frames must match.
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

// LiveSize returns the size in bytes that the file would have after a rewrite.
func (s *Store) LiveSize() int64 { return s.liveSize }

// DiskSize returns the size of the disk in bytes.
func (s *Store) DiskSize() int64 { return s.diskSize }

// ShouldRewrite reports whether the file has grown enough to make a Rewrite worthwhile.
func (s *Store) ShouldRewrite() bool {
	return s.fileSize > fractionOf(s.diskSize, rewriteMinFraction) &&
		(s.fileSize > rewriteLiveRatio*s.liveSize || s.fileSize+s.liveSize > fractionOf(s.diskSize, rewriteFillFraction))
}

// Rewrite writes the given state as a single batch to a new file under the other name
// and switches to that file.
func (s *Store) Rewrite(state []Entry) error {
	// While there are two files, damage at the end of the old one must not be taken for
	// a torn write.
	_ = s.MarkSynced()
	target := fileNames[0]
	if s.fileName == target {
		target = fileNames[1]
	}
	return s.replaceFile(target, state, s.fileName)
}

// replaceFile writes a new file that holds only the given state, switches to it and
// removes the others. The new file and its directory entry are durable before another
// file is removed, and the removals are durable before a batch is appended to the new
// file. No file is renamed over another one. So after a power loss at any moment at
// least one of the files is left, and while there are several, each holds every
// acknowledged batch.
func (s *Store) replaceFile(target string, state []Entry, others ...string) error {
	s.needsRewrite = true
	state = slices.DeleteFunc(slices.Clone(lastEntryPerKey(state)), func(e Entry) bool { return e.Value == nil })
	size := rewrittenSize(state)
	if s.fileSize+size > s.diskSize {
		return fmt.Errorf("%w: a rewrite needs %d bytes beside the current %d bytes, and the disk has %d bytes", ErrTooLarge, size, s.fileSize, s.diskSize)
	}
	s.lastBatch++
	err := s.writeFile(target, state)
	if err == nil {
		err = s.dir.syncDir()
	}
	if err != nil {
		_ = s.dir.remove(target) // frees the space; a start would ignore an incomplete file
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

// writeFile writes a file that holds one batch, and syncs it. An existing file of that
// name is removed first and not reused, because a sync of it may have failed.
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

// rewrittenSize returns the size of a file that holds only the given state.
func rewrittenSize(state []Entry) int64 {
	size := headerCommandSize
	for _, e := range state {
		size += commandSize(len(e.Key), frameHeaderSize+len(e.Value))
	}
	return size
}

// removeFiles removes files and makes the removal durable.
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
