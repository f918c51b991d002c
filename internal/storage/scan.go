package storage

// This file holds the form of the file: the frames of batches and their reading.

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
	gone   = 1 << iota // the key is removed
	sealed             // the checksum covers the key too; files of earlier versions lack it
)

// frame is the value that stands on disk for one entry of a batch of n.
func frame(batch uint64, n int, e Entry) string {
	b := make([]byte, frameHead, frameHead+len(e.Value))
	binary.BigEndian.PutUint64(b[4:], batch)
	binary.BigEndian.PutUint32(b[12:], uint32(n))
	b[16] = sealed
	if e.Value == nil {
		b[16] |= gone
	}
	b = append(b, e.Value...)
	binary.BigEndian.PutUint32(b, checksum(e.Key, b))
	return string(b)
}

func checksum(key string, frame []byte) uint32 {
	sum := crc32.ChecksumIEEE(frame[4:])
	if frame[16]&sealed != 0 {
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

// scan reads a file of buntdb's and returns what stands after the last whole
// batch, where that batch ends and its number. Damage that is followed by more
// than the remains of one batch is an error.
func scan(text []byte) (state map[string][]byte, good int64, last uint64, damage error) {
	state = map[string][]byte{}
	type item struct {
		key   string
		value []byte
	}
	var open []item
	var batch uint64
	off := 0
	for off < len(text) {
		key, value, n := command(text[off:])
		if n == 0 || !whole(key, value) {
			// Batches are written one at a time and each is synced before the
			// next, so only the last one may be torn.
			if later(text[off:], last) {
				return state, good, last, &damagedAt{off, "no entry"}
			}
			break
		}
		b := binary.BigEndian.Uint64(value[4:])
		count := int(binary.BigEndian.Uint32(value[12:]))
		if len(open) > 0 && b != batch {
			return state, good, last, &damagedAt{off, fmt.Sprintf("batch %d is not whole", batch)}
		}
		batch = b
		var v []byte
		if value[16]&gone == 0 {
			v = append([]byte{}, value[frameHead:]...)
		}
		open = append(open, item{key, v})
		off += n
		if len(open) == count {
			for _, it := range open {
				if it.value == nil {
					delete(state, it.key)
				} else {
					state[it.key] = it.value
				}
			}
			open, good, last = open[:0], int64(off), b
		}
	}
	if len(open) > 0 && last == 0 && batch > 1 {
		// What a rewrite wrote was durable before the file was the only one.
		return state, good, last, &damagedAt{off, fmt.Sprintf("rewritten batch %d is not whole", batch)}
	}
	return state, good, last, nil
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
