package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
)

const (
	markName = "store.synced"
	// The file has two slots, a sector apart, that are written alternately, so that a
	// torn write leaves the previous mark intact.
	markSlots      = 2
	markSlotStride = 512
	markRecordSize = 4 + 8      // checksum, batch number
	markVersion    = "synced 1" // covered by the checksum
)

// syncMark records the number of a synced batch in a separate file. Without it, damage
// to the last batch of the state could not be distinguished from a torn write; every earlier
// batch is known to have been synced because another one follows it. The mark is
// written when there is nothing else to write. It may therefore be behind the last
// synced batch, but never ahead of it.
type syncMark struct {
	batch    uint64 // 0 if there is no valid mark
	nextSlot int    // slot for the next write
	exists   bool   // the directory entry needs no further sync
	file     *os.File
}

// load reads the newer of the two slots that is valid.
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

// write writes the mark to the next slot and syncs it.
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

// MarkSynced records on disk that the last batch was synced, if it was and this is not
// recorded yet. It costs one sync, so callers use it when no writes are waiting: a later
// batch would prove the same.
func (s *Store) MarkSynced() error {
	if s.needsRewrite || s.mark.batch == s.lastBatch {
		return nil
	}
	return s.mark.write(s.dir, s.lastBatch)
}
