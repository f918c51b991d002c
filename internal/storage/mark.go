package storage

// This file holds the mark of the last batch that was synced.

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
)

const (
	markName = "store.synced"
	// The mark has two places, a sector apart, that are written by turns, so a
	// torn write leaves the mark before it.
	markPlaces   = 2
	markDistance = 512
	markSize     = 4 + 8 // checksum, number of the batch
	markVersion  = "synced 1"
)

// syncMark is the number of a batch that was synced, in a file beside. Without it
// the last batch of a file could be damaged and look torn; every batch before is
// shown to have been synced by the one that follows it. The mark is written when
// nothing else is, so it may lag: it claims too little, never too much.
type syncMark struct {
	number uint64
	place  int // where the next one goes
	exists bool
	file   *os.File
}

// load reads the mark; there is none if it can't be read as one.
func (m *syncMark) load(dir folder) error {
	text, err := dir.read(markName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	m.exists = true
	for place := range markPlaces {
		number, ok := readMark(text, place*markDistance)
		if ok && number > m.number {
			m.number, m.place = number, (place+1)%markPlaces
		}
	}
	return nil
}

func readMark(text []byte, at int) (number uint64, ok bool) {
	if len(text) < at+markSize {
		return 0, false
	}
	record := text[at : at+markSize]
	return binary.BigEndian.Uint64(record[4:]), binary.BigEndian.Uint32(record) == markChecksum(record)
}

func markChecksum(record []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE([]byte(markVersion)), crc32.IEEETable, record[4:markSize])
}

// set writes the mark and syncs it.
func (m *syncMark) set(dir folder, number uint64) error {
	if m.file == nil {
		f, err := dir.open(markName)
		if err != nil {
			return err
		}
		m.file = f
	}
	record := make([]byte, markSize)
	binary.BigEndian.PutUint64(record[4:], number)
	binary.BigEndian.PutUint32(record, markChecksum(record))
	if _, err := m.file.WriteAt(record, int64(m.place*markDistance)); err != nil {
		return err
	}
	if err := dir.sync(m.file); err != nil {
		return err
	}
	m.number, m.place = number, (m.place+1)%markPlaces
	if m.exists {
		return nil
	}
	if err := dir.syncNames(); err != nil {
		return err
	}
	m.exists = true
	return nil
}

func (m *syncMark) close() {
	if m.file != nil {
		_ = m.file.Close()
		m.file = nil
	}
}

// MarkSynced notes on disk that the last batch was synced, if that is so and not
// yet noted. Callers do that while nothing waits to be written: it takes a sync,
// and a batch that follows says the same of the one before it.
func (s *Store) MarkSynced() error {
	if s.needsRewrite || s.mark.number == s.batch {
		return nil
	}
	return s.mark.set(s.dir, s.batch)
}
