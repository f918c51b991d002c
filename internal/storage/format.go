package storage

// This file holds the format of the file: its header, the frames of batches, and
// their reading. Files of earlier releases have the same frames and no header.

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
)

const (
	setPrefix       = "*3\r\n$3\r\nset\r\n"
	frameHeaderSize = 4 + 8 + 4 + 1 // crc, batch, entries in the batch, gone
)

// What a frame's last byte of head says.
const (
	flagRemoved        = 1 << iota // the key is removed
	flagKeyChecksummed             // the checksum covers the key too; files of earlier releases lack it
)

// formatVersion is the newest format that is read, and the one that is written. A
// file without a header has format 1.
const formatVersion = 2

// Every format keeps these: the file begins with a command that sets headerKey,
// and its value begins with a checksum of all that follows it and the key, and
// the version.
const (
	headerKey        = "!madderwing/storage"
	headerPrefixSize = 4 + 2                    // checksum, version
	headerValueSize  = headerPrefixSize + 8 + 4 // number of the first batch, its entries
)

// headerCommandSize is how many bytes of the file the header takes.
var headerCommandSize = commandSize(len(headerKey), headerValueSize)

// encodeHeader is the value of headerKey for a file whose first batch has the given
// number and n entries, which may be none.
func encodeHeader(batch uint64, entries int) string {
	value := make([]byte, headerValueSize)
	binary.BigEndian.PutUint16(value[4:], formatVersion)
	binary.BigEndian.PutUint64(value[6:], batch)
	binary.BigEndian.PutUint32(value[14:], uint32(entries))
	binary.BigEndian.PutUint32(value, headerChecksum(value))
	return string(value)
}

func headerChecksum(value []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(value[4:]), crc32.IEEETable, []byte(headerKey))
}

// parseHeader reads the header that a file begins with; n is the length of its
// command, 0 if there is none. Of a later version only that is known.
func parseHeader(text []byte) (version int, batch uint64, entries, length int) {
	key, value, length := parseCommand(text)
	if length == 0 || key != headerKey || len(value) < headerPrefixSize || binary.BigEndian.Uint32(value) != headerChecksum(value) {
		return 0, 0, 0, 0
	}
	version = int(binary.BigEndian.Uint16(value[4:]))
	if version > formatVersion {
		return version, 0, 0, length
	}
	if len(value) != headerValueSize {
		return 0, 0, 0, 0
	}
	return version, binary.BigEndian.Uint64(value[6:]), int(binary.BigEndian.Uint32(value[14:])), length
}

// encodeFrame is the value that stands on disk for one entry of a batch of n.
func encodeFrame(batch uint64, entries int, entry Entry) string {
	value := make([]byte, frameHeaderSize, frameHeaderSize+len(entry.Value))
	binary.BigEndian.PutUint64(value[4:], batch)
	binary.BigEndian.PutUint32(value[12:], uint32(entries))
	value[16] = flagKeyChecksummed
	if entry.Value == nil {
		value[16] |= flagRemoved
	}
	value = append(value, entry.Value...)
	binary.BigEndian.PutUint32(value, frameChecksum(entry.Key, value))
	return string(value)
}

func frameChecksum(key string, frame []byte) uint32 {
	sum := crc32.ChecksumIEEE(frame[4:])
	if frame[16]&flagKeyChecksummed != 0 {
		sum = crc32.Update(sum, crc32.IEEETable, []byte(key))
	}
	return sum
}

// frameIntact says whether a frame is as it was written for key.
func frameIntact(key string, frame []byte) bool {
	return len(frame) >= frameHeaderSize && binary.BigEndian.Uint32(frame) == frameChecksum(key, frame)
}

// damageError is an ErrDamaged at a place.
type damageError struct {
	offset int
	reason string
}

func (d *damageError) Error() string {
	return fmt.Sprintf("%v at byte %d: %s", ErrDamaged, d.offset, d.reason)
}
func (d *damageError) Unwrap() error { return ErrDamaged }

// scan reads a file of buntdb's and returns the state after the last whole
// batch, where that batch ends and its number. Damage that is followed by more
// than the remains of one batch is an error, and so is a first batch that is not
// whole, if the header or its number shows that it was written by a rewrite.
func scan(text []byte) (state map[string][]byte, validEnd int64, lastBatch uint64, damage error) {
	_, firstBatch, entries, offset := parseHeader(text)
	hasHeader := offset > 0
	r := batchReader{state: map[string][]byte{}, nextBatch: firstBatch}
	if hasHeader && entries == 0 {
		r.endBatch(offset, firstBatch)
	}
	for offset < len(text) {
		key, value, length := parseCommand(text[offset:])
		if length == 0 || !frameIntact(key, value) {
			// Batches are written one at a time and each is synced before the
			// next, so only the last one may be torn.
			if hasLaterBatch(text[offset:], r.lastBatch) || hasHeader && r.lastBatch == 0 {
				return r.state, int64(r.end), r.lastBatch, &damageError{offset, "no entry"}
			}
			break
		}
		offset += length
		if err := r.add(key, value, offset); err != nil {
			return r.state, int64(r.end), r.lastBatch, &damageError{offset - length, err.Error()}
		}
	}
	if r.lastBatch == 0 && (hasHeader || len(r.pending) > 0 && r.pendingBatch > 1) {
		// What a rewrite wrote was durable before the file was the only one.
		return r.state, int64(r.end), r.lastBatch, &damageError{offset, "the rewritten batch is not whole"}
	}
	return r.state, int64(r.end), r.lastBatch, nil
}

// batchReader puts whole entries together to batches.
type batchReader struct {
	state        map[string][]byte // after the last whole batch
	end          int               // where that ends
	lastBatch    uint64            // its number
	nextBatch    uint64            // number of the next batch; 0 if the file may begin with any
	pendingBatch uint64            // number of the batch that is being read
	pending      []Entry           // what was read of it
}

// add takes the entry that ends at a place of the file.
func (r *batchReader) add(key string, value []byte, end int) error {
	batch := binary.BigEndian.Uint64(value[4:])
	count := int(binary.BigEndian.Uint32(value[12:]))
	if len(r.pending) > 0 && batch != r.pendingBatch {
		return fmt.Errorf("batch %d is not whole", r.pendingBatch)
	}
	if r.nextBatch != 0 && batch != r.nextBatch {
		return fmt.Errorf("batch %d instead of %d", batch, r.nextBatch)
	}
	r.pendingBatch = batch
	e := Entry{Key: key}
	if value[16]&flagRemoved == 0 {
		e.Value = append([]byte{}, value[frameHeaderSize:]...)
	}
	r.pending = append(r.pending, e)
	if len(r.pending) < count {
		return nil
	}
	for _, e := range r.pending {
		if e.Value == nil {
			delete(r.state, e.Key)
		} else {
			r.state[e.Key] = e.Value
		}
	}
	r.pending = r.pending[:0]
	r.endBatch(end, batch)
	return nil
}

// endBatch notes that a batch ends at a place of the file.
func (r *batchReader) endBatch(end int, batch uint64) {
	r.end, r.lastBatch, r.nextBatch = end, batch, batch+1
}

// hasLaterBatch says whether a batch that was begun two or more after the last whole
// one shows up in what follows the damage.
func hasLaterBatch(rest []byte, lastBatch uint64) bool {
	_, highest := batchRange(rest)
	return highest > lastBatch+1
}

// batchRange returns the least and the greatest number of a batch of which entries
// are whole, wherever they lie; 0 if there are none.
func batchRange(rest []byte) (lowest, highest uint64) {
	prefix := []byte(setPrefix)
	for {
		i := bytes.Index(rest, prefix)
		if i < 0 {
			return lowest, highest
		}
		if key, value, length := parseCommand(rest[i:]); length > 0 && frameIntact(key, value) {
			batch := binary.BigEndian.Uint64(value[4:])
			highest = max(highest, batch)
			if lowest == 0 || batch < lowest {
				lowest = batch
			}
		}
		rest = rest[i+len(prefix):]
	}
}

// appendCommand appends a set command as buntdb writes it.
func appendCommand(buffer []byte, key, value string) []byte {
	buffer = append(buffer, setPrefix...)
	for _, part := range []string{key, value} {
		buffer = append(buffer, '$')
		buffer = strconv.AppendInt(buffer, int64(len(part)), 10)
		buffer = append(buffer, "\r\n"...)
		buffer = append(buffer, part...)
		buffer = append(buffer, "\r\n"...)
	}
	return buffer
}

// commandSize is how many bytes a command takes for a key and a frame of the given sizes.
func commandSize(key, frame int) int64 {
	size := len(setPrefix)
	for _, n := range []int{key, frame} {
		size += len("$\r\n\r\n") + n
		for ; n > 9; n /= 10 {
			size++
		}
		size++
	}
	return int64(size)
}

// parseCommand reads one set parseCommand; n is its length, 0 if there is none. It takes
// just what buntdb writes: buntdb refuses a whole file for less.
func parseCommand(text []byte) (key string, value []byte, length int) {
	rest, ok := bytes.CutPrefix(text, []byte(setPrefix))
	if !ok {
		return "", nil, 0
	}
	keyPart, rest, ok := parseBulkString(rest)
	if !ok {
		return "", nil, 0
	}
	valuePart, rest, ok := parseBulkString(rest)
	if !ok {
		return "", nil, 0
	}
	return string(keyPart), valuePart, len(text) - len(rest)
}

// parseBulkString reads one part of a command and returns what follows it.
func parseBulkString(text []byte) (part, rest []byte, ok bool) {
	head, rest, ok := bytes.Cut(text, []byte("\r\n"))
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
