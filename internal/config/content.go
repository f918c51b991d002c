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
const maxRemembered = 4

// digest tells contents apart: 64 bits of a hash over the canonical form of an item
// as the operator sent it, and its host. 0 stands for a removal and for nothing else.
// Digests are kept on disk, so the canonical form has to stay as it is.
type digest uint64

func (item Item) digest() digest {
	hash := sha256.New()
	hash.Write([]byte(item.Host))
	hash.Write([]byte{0})
	hash.Write(canonical(item.Raw))
	return max(1, digest(binary.BigEndian.Uint64(hash.Sum(nil))))
}

// canonical writes a JSON document in a form that is the same for all that say the
// same: keys sorted, numbers by value, letters unescaped the same way. What cannot
// be read stays as it is.
func canonical(raw []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var document any
	if decoder.Decode(&document) != nil {
		return raw
	}
	body, err := json.Marshal(normalizeNumbers(document))
	if err != nil {
		return raw
	}
	return body
}

// sameNumbers puts all numbers in a document, which it alters, in the form of number.
func normalizeNumbers(v any) any {
	switch v := v.(type) {
	case json.Number:
		return normalizeNumber(v)
	case []any:
		for i := range v {
			v[i] = normalizeNumbers(v[i])
		}
	case map[string]any:
		for k := range v {
			v[k] = normalizeNumbers(v[k])
		}
	}
	return v
}

// number writes a number as its digits, without zeros at either end, and a power of
// ten: 2, 2.0 and 0.2e1 are all 2e0. No digit is lost, however many there are.
func normalizeNumber(n json.Number) json.Number {
	text, minus := strings.CutPrefix(strings.ToLower(string(n)), "-")
	mantissa, power, _ := strings.Cut(text, "e")
	whole, fraction, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(whole+fraction, "0")
	if digits == "" {
		return "0"
	}
	exponent := new(big.Int)
	exponent.SetString(power, 10) // stays 0 where there is none
	significant := strings.TrimRight(digits, "0")
	exponent.Add(exponent, big.NewInt(int64(len(digits)-len(significant)-len(fraction))))
	if minus {
		significant = "-" + significant
	}
	return json.Number(significant + "e" + exponent.String())
}

// same says whether two records of one name have one content.
func sameContent(a, b Record) bool {
	if a.Dropped || b.Dropped {
		return a.Dropped == b.Dropped
	}
	itemA, itemB := decodeItem(a), decodeItem(b)
	return itemA.Host == itemB.Host && bytes.Equal(itemA.Raw, itemB.Raw) || itemA.digest() == itemB.digest()
}

// content is the digest of what a record holds.
func contentDigest(r Record) digest {
	if r.Dropped {
		return 0
	}
	return decodeItem(r).digest()
}

// grave is the data of a dropped record: the memory that it has in common with an Item.
type tombstoneData struct {
	Taken []byte `cbor:"4,keyasint,omitempty"`
}

// takenBytes are those of one digest beside its generation.
const digestBytes = 8

// succeeds puts a record in the place of another: what stood joins the memory.
func withHistory(old, record Record) Record {
	history := binary.AppendUvarint(nil, old.Gen)
	history = binary.BigEndian.AppendUint64(history, uint64(contentDigest(old)))
	rest := decodeItem(old).Taken
	for n := 1; n < maxRemembered; n++ {
		_, size := binary.Uvarint(rest)
		if size <= 0 || len(rest) < size+digestBytes {
			break
		}
		history = append(history, rest[:size+digestBytes]...)
		rest = rest[size+digestBytes:]
	}
	if record.Dropped {
		record.Data = encode(tombstoneData{history})
		return record
	}
	item := decodeItem(record)
	item.Taken = history
	record.Data = encode(item)
	return record
}

// recall looks in an item's memory for what was taken under a generation.
func findDigest(record Record, generation uint64) (d digest, ok bool) {
	for rest := decodeItem(record).Taken; ; {
		entry, size := binary.Uvarint(rest)
		if size <= 0 || len(rest) < size+digestBytes {
			return 0, false
		}
		if entry == generation {
			return digest(binary.BigEndian.Uint64(rest[size:])), true
		}
		rest = rest[size+digestBytes:]
	}
}

// confirms says whether what was sent under a generation that is not above the one
// that stands may be acknowledged: not if it is known that something else was taken
// under that number. The error is of the kind Conflict.
func checkResend(current, sent Record) error {
	matches := true
	if sent.Gen == current.Gen {
		matches = sameContent(current, sent)
	} else if accepted, known := findDigest(current, sent.Gen); known {
		matches = accepted == contentDigest(sent)
	}
	if matches {
		return nil
	}
	return apierror.New(apierror.Conflict, "%s: generation %d has been taken with another content",
		strings.Replace(sent.Name, "/", " ", 1), sent.Gen)
}
