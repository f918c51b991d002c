package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"math/big"
	"strings"

	"madderwing/internal/apierror"
)

// remembered is how many generations below the one that stands an item keeps the
// digests of.
const remembered = 4

// digest tells contents apart: 64 bits of a hash over the canonical form of an item
// as the operator sent it, and its host. 0 stands for a removal and for nothing else.
// Digests are kept on disk, so the canonical form has to stay as it is.
type digest uint64

func (it Item) digest() digest {
	h := sha256.New()
	h.Write([]byte(it.Host))
	h.Write([]byte{0})
	h.Write(canonical(it.Raw))
	return max(1, digest(binary.BigEndian.Uint64(h.Sum(nil))))
}

// canonical writes a JSON document in a form that is the same for all that say the
// same: keys sorted, numbers by value, letters unescaped the same way. What cannot
// be read stays as it is.
func canonical(raw []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return raw
	}
	b, err := json.Marshal(sameNumbers(v))
	if err != nil {
		return raw
	}
	return b
}

// sameNumbers puts all numbers in a document, which it alters, in the form of number.
func sameNumbers(v any) any {
	switch v := v.(type) {
	case json.Number:
		return number(v)
	case []any:
		for i := range v {
			v[i] = sameNumbers(v[i])
		}
	case map[string]any:
		for k := range v {
			v[k] = sameNumbers(v[k])
		}
	}
	return v
}

// number writes a number as its digits, without zeros at either end, and a power of
// ten: 2, 2.0 and 0.2e1 are all 2e0. No digit is lost, however many there are.
func number(n json.Number) json.Number {
	text, minus := strings.CutPrefix(strings.ToLower(string(n)), "-")
	mantissa, power, _ := strings.Cut(text, "e")
	whole, fraction, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(whole+fraction, "0")
	if digits == "" {
		return "0"
	}
	exponent := new(big.Int)
	exponent.SetString(power, 10) // stays 0 where there is none
	short := strings.TrimRight(digits, "0")
	exponent.Add(exponent, big.NewInt(int64(len(digits)-len(short)-len(fraction))))
	if minus {
		short = "-" + short
	}
	return json.Number(short + "e" + exponent.String())
}

// same says whether two records of one name have one content.
func same(a, b Record) bool {
	if a.Dropped || b.Dropped {
		return a.Dropped == b.Dropped
	}
	x, y := decodeItem(a), decodeItem(b)
	return x.Host == y.Host && bytes.Equal(x.Raw, y.Raw) || x.digest() == y.digest()
}

// content is the digest of what a record holds.
func content(r Record) digest {
	if r.Dropped {
		return 0
	}
	return decodeItem(r).digest()
}

// grave is the data of a dropped record: the memory that it has in common with an Item.
type grave struct {
	Taken []byte `cbor:"4,keyasint,omitempty"`
}

// takenBytes are those of one digest beside its generation.
const takenBytes = 8

// succeeds puts a record in the place of another: what stood joins the memory.
func succeeds(old, r Record) Record {
	memory := binary.AppendUvarint(nil, old.Gen)
	memory = binary.BigEndian.AppendUint64(memory, uint64(content(old)))
	rest := decodeItem(old).Taken
	for n := 1; n < remembered; n++ {
		_, size := binary.Uvarint(rest)
		if size <= 0 || len(rest) < size+takenBytes {
			break
		}
		memory = append(memory, rest[:size+takenBytes]...)
		rest = rest[size+takenBytes:]
	}
	if r.Dropped {
		r.Data = encode(grave{memory})
		return r
	}
	it := decodeItem(r)
	it.Taken = memory
	r.Data = encode(it)
	return r
}

// recall looks in an item's memory for what was taken under a generation.
func recall(r Record, gen uint64) (d digest, ok bool) {
	for rest := decodeItem(r).Taken; ; {
		g, size := binary.Uvarint(rest)
		if size <= 0 || len(rest) < size+takenBytes {
			return 0, false
		}
		if g == gen {
			return digest(binary.BigEndian.Uint64(rest[size:])), true
		}
		rest = rest[size+takenBytes:]
	}
}

// confirms says whether what was sent under a generation that is not above the one
// that stands may be acknowledged: not if it is known that something else was taken
// under that number. The error is of the kind Conflict.
func confirms(stands, sent Record) error {
	ok := true
	if sent.Gen == stands.Gen {
		ok = same(stands, sent)
	} else if d, known := recall(stands, sent.Gen); known {
		ok = d == content(sent)
	}
	if ok {
		return nil
	}
	return apierror.New(apierror.Conflict, "%s: generation %d has been taken with another content",
		strings.Replace(sent.Name, "/", " ", 1), sent.Gen)
}
