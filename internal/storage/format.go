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
	setHead   = "*3\r\n$3\r\nset\r\n"
	frameHead = 4 + 8 + 4 + 1 // crc, batch, entries in the batch, gone
)

// What a frame's last byte of head says.
const (
	removed  = 1 << iota // the key is removed
	keyInSum             // the checksum covers the key too; files of earlier releases lack it
)

// formatVersion is the newest format that is read, and the one that is written. A
// file without a header has format 1.
const formatVersion = 2

// Every format keeps these: the file begins with a command that sets headerKey,
// and its value begins with a checksum of all that follows it and the key, and
// the version.
const (
	headerKey   = "!madderwing/storage"
	headerLeast = 4 + 2               // checksum, version
	headerBytes = headerLeast + 8 + 4 // number of the first batch, its entries
)

// headerSize is how many bytes of the file the header takes.
var headerSize = commandSize(len(headerKey), headerBytes)

// header is the value of headerKey for a file whose first batch has the given
// number and n entries, which may be none.
func header(batch uint64, n int) string {
	b := make([]byte, headerBytes)
	binary.BigEndian.PutUint16(b[4:], formatVersion)
	binary.BigEndian.PutUint64(b[6:], batch)
	binary.BigEndian.PutUint32(b[14:], uint32(n))
	binary.BigEndian.PutUint32(b, headerChecksum(b))
	return string(b)
}

func headerChecksum(value []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(value[4:]), crc32.IEEETable, []byte(headerKey))
}

// readHeader reads the header that a file begins with; n is the length of its
// command, 0 if there is none. Of a later version only that is known.
func readHeader(text []byte) (version int, batch uint64, entries, n int) {
	key, value, n := command(text)
	if n == 0 || key != headerKey || len(value) < headerLeast || binary.BigEndian.Uint32(value) != headerChecksum(value) {
		return 0, 0, 0, 0
	}
	version = int(binary.BigEndian.Uint16(value[4:]))
	if version > formatVersion {
		return version, 0, 0, n
	}
	if len(value) != headerBytes {
		return 0, 0, 0, 0
	}
	return version, binary.BigEndian.Uint64(value[6:]), int(binary.BigEndian.Uint32(value[14:])), n
}

// frame is the value that stands on disk for one entry of a batch of n.
func frame(batch uint64, n int, e Entry) string {
	b := make([]byte, frameHead, frameHead+len(e.Value))
	binary.BigEndian.PutUint64(b[4:], batch)
	binary.BigEndian.PutUint32(b[12:], uint32(n))
	b[16] = keyInSum
	if e.Value == nil {
		b[16] |= removed
	}
	b = append(b, e.Value...)
	binary.BigEndian.PutUint32(b, checksum(e.Key, b))
	return string(b)
}

func checksum(key string, frame []byte) uint32 {
	sum := crc32.ChecksumIEEE(frame[4:])
	if frame[16]&keyInSum != 0 {
		sum = crc32.Update(sum, crc32.IEEETable, []byte(key))
	}
	return sum
}

// whole says whether a frame is as it was written for key.
func whole(key string, frame []byte) bool {
	return len(frame) >= frameHead && binary.BigEndian.Uint32(frame) == checksum(key, frame)
}

// damagedAt is an ErrDamaged at a place.
type damagedAt struct {
	offset int
	what   string
}

func (d *damagedAt) Error() string {
	return fmt.Sprintf("%v at byte %d: %s", ErrDamaged, d.offset, d.what)
}
func (d *damagedAt) Unwrap() error { return ErrDamaged }

// scan reads a file of buntdb's and returns the state after the last whole
// batch, where that batch ends and its number. Damage that is followed by more
// than the remains of one batch is an error, and so is a first batch that is not
// whole, if the header or its number shows that it was written by a rewrite.
func scan(text []byte) (state map[string][]byte, good int64, last uint64, damage error) {
	_, first, entries, off := readHeader(text)
	hasHeader := off > 0
	r := reader{state: map[string][]byte{}, next: first}
	if hasHeader && entries == 0 {
		r.finish(off, first)
	}
	for off < len(text) {
		key, value, n := command(text[off:])
		if n == 0 || !whole(key, value) {
			// Batches are written one at a time and each is synced before the
			// next, so only the last one may be torn.
			if later(text[off:], r.last) || hasHeader && r.last == 0 {
				return r.state, int64(r.good), r.last, &damagedAt{off, "no entry"}
			}
			break
		}
		off += n
		if err := r.take(key, value, off); err != nil {
			return r.state, int64(r.good), r.last, &damagedAt{off - n, err.Error()}
		}
	}
	if r.last == 0 && (hasHeader || len(r.open) > 0 && r.batch > 1) {
		// What a rewrite wrote was durable before the file was the only one.
		return r.state, int64(r.good), r.last, &damagedAt{off, "the rewritten batch is not whole"}
	}
	return r.state, int64(r.good), r.last, nil
}

// reader puts whole entries together to batches.
type reader struct {
	state map[string][]byte // after the last whole batch
	good  int               // where that ends
	last  uint64            // its number
	next  uint64            // number of the next batch; 0 if the file may begin with any
	batch uint64            // number of the batch that is being read
	open  []Entry           // what was read of it
}

// take takes the entry that ends at a place of the file.
func (r *reader) take(key string, value []byte, end int) error {
	batch := binary.BigEndian.Uint64(value[4:])
	count := int(binary.BigEndian.Uint32(value[12:]))
	if len(r.open) > 0 && batch != r.batch {
		return fmt.Errorf("batch %d is not whole", r.batch)
	}
	if r.next != 0 && batch != r.next {
		return fmt.Errorf("batch %d instead of %d", batch, r.next)
	}
	r.batch = batch
	e := Entry{Key: key}
	if value[16]&removed == 0 {
		e.Value = append([]byte{}, value[frameHead:]...)
	}
	r.open = append(r.open, e)
	if len(r.open) < count {
		return nil
	}
	for _, e := range r.open {
		if e.Value == nil {
			delete(r.state, e.Key)
		} else {
			r.state[e.Key] = e.Value
		}
	}
	r.open = r.open[:0]
	r.finish(end, batch)
	return nil
}

// finish notes that a batch ends at a place of the file.
func (r *reader) finish(end int, batch uint64) {
	r.good, r.last, r.next = end, batch, batch+1
}

// later says whether a batch that was begun two or more after the last whole
// one shows up in what follows the damage.
func later(rest []byte, last uint64) bool {
	_, most := numbers(rest)
	return most > last+1
}

// numbers returns the least and the greatest number of a batch of which entries
// are whole, wherever they lie; 0 if there are none.
func numbers(rest []byte) (least, most uint64) {
	mark := []byte(setHead)
	for {
		i := bytes.Index(rest, mark)
		if i < 0 {
			return least, most
		}
		if key, value, n := command(rest[i:]); n > 0 && whole(key, value) {
			b := binary.BigEndian.Uint64(value[4:])
			most = max(most, b)
			if least == 0 || b < least {
				least = b
			}
		}
		rest = rest[i+len(mark):]
	}
}

// appendCommand appends a set command as buntdb writes it.
func appendCommand(b []byte, key, value string) []byte {
	b = append(b, setHead...)
	for _, part := range []string{key, value} {
		b = append(b, '$')
		b = strconv.AppendInt(b, int64(len(part)), 10)
		b = append(b, "\r\n"...)
		b = append(b, part...)
		b = append(b, "\r\n"...)
	}
	return b
}

// commandSize is how many bytes a command takes for a key and a frame of the given sizes.
func commandSize(key, frame int) int64 {
	size := len(setHead)
	for _, n := range []int{key, frame} {
		size += len("$\r\n\r\n") + n
		for ; n > 9; n /= 10 {
			size++
		}
		size++
	}
	return int64(size)
}

// command reads one set command; n is its length, 0 if there is none. It takes
// just what buntdb writes: buntdb refuses a whole file for less.
func command(b []byte) (key string, value []byte, n int) {
	r, ok := bytes.CutPrefix(b, []byte(setHead))
	if !ok {
		return "", nil, 0
	}
	k, r, ok := bulk(r)
	if !ok {
		return "", nil, 0
	}
	v, r, ok := bulk(r)
	if !ok {
		return "", nil, 0
	}
	return string(k), v, len(b) - len(r)
}

// bulk reads one part of a command and returns what follows it.
func bulk(b []byte) (part, rest []byte, ok bool) {
	head, rest, ok := bytes.Cut(b, []byte("\r\n"))
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
