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
	markSlots      = 2
	markSlotStride = 512
	markRecordSize = 4 + 8 // checksum, number of the batch
	markVersion    = "synced 1"
)

// syncMark is the number of a batch that was synced, in a file beside. Without it
// the last batch of a file could be damaged and look torn; every batch before is
// shown to have been synced by the one that follows it. The mark is written when
// nothing else is, so it may lag: it claims too little, never too much.
type syncMark struct {
	batch    uint64
	nextSlot int // where the next one goes
	exists   bool
	file     *os.File
}

// load reads the mark; there is none if it can't be read as one.
func (m *syncMark) load(dir directory) error {
	text, err := dir.read(markName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	m.exists = true
	for slot := range markSlots {
		batch, ok := parseMark(text, slot*markSlotStride)
		if ok && batch > m.batch {
			m.batch, m.nextSlot = batch, (slot+1)%markSlots
		}
	}
	return nil
}

func parseMark(text []byte, offset int) (batch uint64, ok bool) {
	if len(text) < offset+markRecordSize {
		return 0, false
	}
	record := text[offset : offset+markRecordSize]
	return binary.BigEndian.Uint64(record[4:]), binary.BigEndian.Uint32(record) == markChecksum(record)
}

func markChecksum(record []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE([]byte(markVersion)), crc32.IEEETable, record[4:markRecordSize])
}

// write writes the mark and syncs it.
func (m *syncMark) write(dir directory, batch uint64) error {
	if m.file == nil {
		f, err := dir.open(markName)
		if err != nil {
			return err
		}
		m.file = f
	}
	record := make([]byte, markRecordSize)
	binary.BigEndian.PutUint64(record[4:], batch)
	binary.BigEndian.PutUint32(record, markChecksum(record))
	if _, err := m.file.WriteAt(record, int64(m.nextSlot*markSlotStride)); err != nil {
		return err
	}
	if err := dir.syncFile(m.file); err != nil {
		return err
	}
	m.batch, m.nextSlot = batch, (m.nextSlot+1)%markSlots
	if m.exists {
		return nil
	}
	if err := dir.syncDir(); err != nil {
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
	if s.needsRewrite || s.mark.batch == s.lastBatch {
		return nil
	}
	return s.mark.write(s.dir, s.lastBatch)
}
