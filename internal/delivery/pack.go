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
	packFrom = 2 << 10  // smaller ranges are not worth it
	packMost = 64 << 20 // bytes that a pack may unfold to
)

var errPack = errors.New("not a pack of records")

// Pack folds records up. Items of operators are alike, so a pack takes a fraction of
// what they take one by one.
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

// Unpack unfolds a pack; a damaged one, or one of more than 64 MiB, is an error.
func Unpack(pack []byte) (records []antientropy.Record, err error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(pack)), packMost+1))
	if err != nil || len(text) > packMost || cbor.Unmarshal(text, &records) != nil {
		return nil, errPack
	}
	return records, nil
}

// Packs holds the packs of a set's ranges as they were last asked for.
type Packs [antientropy.Ranges]struct {
	sum  uint64
	pack []byte // nil: not worth it
}

// Range puts one range of a set into an issue, packed if the watcher reads packs and
// it is worth it, and says about how many bytes that takes.
func (p *Packs) Range(set *antientropy.Set, i int, packs bool, out *Issue) (size int) {
	if packs {
		if r := &p[i]; r.sum != set.Sums[i] {
			records := set.Pick([]int{i})
			r.sum, r.pack = set.Sums[i], nil
			if weight(records) >= packFrom {
				if b, err := Pack(records); err == nil {
					r.pack = b
				}
			}
		}
		if b := p[i].pack; b != nil {
			out.Packs = append(out.Packs, b)
			return len(b)
		}
	}
	records := set.Pick([]int{i})
	out.Records = append(out.Records, records...)
	return weight(records)
}

func weight(records []antientropy.Record) (n int) {
	for _, r := range records {
		n += len(r.Name) + len(r.Data) + 16
	}
	return n
}
