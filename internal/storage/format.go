package storage

// This file encodes and decodes the file format. A file is a buntdb append-only file:
// a sequence of Redis "set" commands. The first command is the header; each later one
// holds one entry of a batch, whose value is wrapped in a frame. Files of earlier
// releases have the same frames but no header.

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
)

const (
	setPrefix       = "*3\r\n$3\r\nset\r\n"
	frameHeaderSize = 4 + 8 + 4 + 1 // checksum, batch number, number of entries in the batch, flags
)

// Flags in the last byte of a frame's header.
const (
	flagRemoved        = 1 << iota // the key is removed
	flagKeyChecksummed             // the checksum covers the key too; not set in files of earlier releases
)

// formatVersion is the format that is written, and the newest that can be read. A
// file without a header has format 1.
const formatVersion = 2

// These are the same in every format: the file begins with a command that sets
// headerKey, and the header value begins with a checksum (of the rest of the value
// and the key) and the version.
const (
	headerKey        = "!madderwing/storage"
	headerPrefixSize = 4 + 2                    // checksum, version
	headerValueSize  = headerPrefixSize + 8 + 4 // number of the first batch, number of entries in it
)

// headerCommandSize is the size in bytes of the command that holds the header.
var headerCommandSize = commandSize(len(headerKey), headerValueSize)

// encodeHeader returns the value of headerKey for a file whose first batch has the
// given number and number of entries, which may be 0.
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

// parseHeader reads the header at the beginning of a file. length is the size of its
// command, 0 if there is no valid header. For a newer version only version and length
// are set.
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

// encodeFrame returns the value that is stored for one entry of a batch with the given
// number of entries.
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

// frameIntact reports whether the checksum of a frame matches its content and key.
func frameIntact(key string, frame []byte) bool {
	return len(frame) >= frameHeaderSize && binary.BigEndian.Uint32(frame) == frameChecksum(key, frame)
}

// damageError is an ErrDamaged with its position in the file.
type damageError struct {
	offset int
	reason string
}

func (d *damageError) Error() string {
	return fmt.Sprintf("%v at byte %d: %s", ErrDamaged, d.offset, d.reason)
}
func (d *damageError) Unwrap() error { return ErrDamaged }

// scan reads a file and returns the state after the last complete batch, the offset
// at which that batch ends, and its number. An incomplete last batch is ignored. It is
// damage if an entry of a later batch follows, or if the incomplete batch is the first
// one and the header or its number shows that a rewrite wrote it.
func scan(text []byte) (state map[string][]byte, validEnd int64, lastBatch uint64, damage error) {
	_, firstBatch, entries, offset := parseHeader(text)
	hasHeader := offset > 0
	reader := batchReader{state: map[string][]byte{}, nextBatch: firstBatch}
	if hasHeader && entries == 0 {
		reader.endBatch(offset, firstBatch)
	}
	for offset < len(text) {
		key, value, length := parseCommand(text[offset:])
		if length == 0 || !frameIntact(key, value) {
			// Batches are written one at a time and each is synced before the
			// next, so only the last one may be torn.
			if hasLaterBatch(text[offset:], reader.lastBatch) || hasHeader && reader.lastBatch == 0 {
				return reader.state, int64(reader.end), reader.lastBatch, &damageError{offset, "invalid entry"}
			}
			break
		}
		offset += length
		if err := reader.add(key, value, offset); err != nil {
			return reader.state, int64(reader.end), reader.lastBatch, &damageError{offset - length, err.Error()}
		}
	}
	if reader.lastBatch == 0 && (hasHeader || len(reader.pending) > 0 && reader.pendingBatch > 1) {
		// The batch of a rewrite is durable before the other files are removed.
		return reader.state, int64(reader.end), reader.lastBatch, &damageError{offset, "the batch of the rewrite is incomplete"}
	}
	return reader.state, int64(reader.end), reader.lastBatch, nil
}

// batchReader assembles intact entries into batches and applies each complete batch.
type batchReader struct {
	state        map[string][]byte // after the last complete batch
	end          int               // offset at which the last complete batch ends
	lastBatch    uint64            // number of the last complete batch; 0 if there is none
	nextBatch    uint64            // expected number of the next batch; 0 if any number is allowed
	pendingBatch uint64            // number of the batch that is being read
	pending      []Entry           // entries of that batch so far
}

// add adds the entry that ends at offset end, and applies the batch if the entry
// completes it.
func (r *batchReader) add(key string, value []byte, end int) error {
	batch := binary.BigEndian.Uint64(value[4:])
	count := int(binary.BigEndian.Uint32(value[12:]))
	if len(r.pending) > 0 && batch != r.pendingBatch {
		return fmt.Errorf("batch %d is incomplete", r.pendingBatch)
	}
	if r.nextBatch != 0 && batch != r.nextBatch {
		return fmt.Errorf("found batch %d, expected batch %d", batch, r.nextBatch)
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

// endBatch records that a batch is complete and ends at offset end.
func (r *batchReader) endBatch(end int, batch uint64) {
	r.end, r.lastBatch, r.nextBatch = end, batch, batch+1
}

// hasLaterBatch reports whether rest holds an intact entry of a batch later than
// lastBatch+1. Such a batch shows that batch lastBatch+1 was synced.
func hasLaterBatch(rest []byte, lastBatch uint64) bool {
	_, highest := batchRange(rest)
	return highest > lastBatch+1
}

// batchRange returns the lowest and the highest batch number among the intact entries
// anywhere in rest; 0 if there are none.
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

// commandSize returns the size of a command for a key and a frame of the given sizes.
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

// parseCommand reads one set command. length is its size, 0 if it is not valid. Only
// the exact form that buntdb writes is accepted, because buntdb rejects the whole file
// for any deviation.
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

// parseBulkString reads one length-prefixed string of a command and returns the text
// after it.
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
