package delivery

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
)

const (
	minPackBytes     = 2 << 10  // bytes; smaller ranges are sent uncompressed
	maxUnpackedBytes = 64 << 20 // bytes; guards against decompression bombs
)

var errInvalidPack = errors.New("damaged or oversized pack of records")

// Pack compresses records into a pack. The items that an operator configures resemble each other,
// so a pack takes a fraction of the size of its records.
func Pack(records []antientropy.Record) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		err = cbor.NewEncoder(w).Encode(records)
	}
	if err == nil {
		err = w.Close()
	}
	return out.Bytes(), err
}

// Unpack decompresses a pack. It fails if the pack is damaged or holds more than 64 MiB.
func Unpack(pack []byte) (records []antientropy.Record, err error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(pack)), maxUnpackedBytes+1))
	if err != nil || len(encoded) > maxUnpackedBytes || cbor.Unmarshal(encoded, &records) != nil {
		return nil, errInvalidPack
	}
	return records, nil
}

// PackCache caches the pack of each range of a set, for the digest that the range had when last requested.
type PackCache [antientropy.Ranges]struct {
	sum  uint64
	pack []byte // nil: sent uncompressed
}

// AddRange adds a range of a set to an update, as a pack if the watcher accepts packs and the range is
// large enough. It returns the approximate size in bytes.
func (p *PackCache) AddRange(set *antientropy.Set, rangeIndex int, acceptsPacks bool, out *Update) (size int) {
	if acceptsPacks {
		if cached := &p[rangeIndex]; cached.sum != set.Sums[rangeIndex] {
			records := set.Pick([]int{rangeIndex})
			cached.sum, cached.pack = set.Sums[rangeIndex], nil
			if approxSize(records) >= minPackBytes {
				if b, err := Pack(records); err == nil {
					cached.pack = b
				}
			}
		}
		if b := p[rangeIndex].pack; b != nil {
			out.Packs = append(out.Packs, b)
			return len(b)
		}
	}
	records := set.Pick([]int{rangeIndex})
	out.Records = append(out.Records, records...)
	return approxSize(records)
}

// approxSize estimates the encoded size of records in bytes.
func approxSize(records []antientropy.Record) (size int) {
	for _, r := range records {
		size += len(r.Name) + len(r.Data) + 16
	}
	return size
}
