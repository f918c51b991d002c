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

// This file checks whether a generation that is sent again has the same content as before. For this, an item
// keeps the digests of a few earlier generations.

// maxHistory is the number of generations before the current one whose digests an item keeps.
const maxHistory = 4

// digest identifies the content of an item: 64 bits of a hash over its host and the canonical form of the
// JSON that the operator sent. 0 means a removal and nothing else. Digests are stored on disk, so the
// canonical form must not change.
type digest uint64

func (item Item) digest() digest {
	hash := sha256.New()
	hash.Write([]byte(item.Host))
	hash.Write([]byte{0})
	hash.Write(canonical(item.Raw))
	return max(1, digest(binary.BigEndian.Uint64(hash.Sum(nil))))
}

// canonical returns a JSON document in a form that is equal for documents of equal meaning: with sorted
// keys, normalized numbers, and uniform escaping. Text that is not valid JSON is returned unchanged.
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

// normalizeNumbers applies normalizeNumber to all numbers of a document, in place.
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

// normalizeNumber writes a number as its significant digits, without zeros at either end, and a power of
// ten: 2, 2.0 and 0.2e1 all become 2e0. All digits are kept, however many there are.
func normalizeNumber(n json.Number) json.Number {
	text, minus := strings.CutPrefix(strings.ToLower(string(n)), "-")
	mantissa, power, _ := strings.Cut(text, "e")
	whole, fraction, _ := strings.Cut(mantissa, ".")
	digits := strings.TrimLeft(whole+fraction, "0")
	if digits == "" {
		return "0"
	}
	exponent := new(big.Int)
	exponent.SetString(power, 10) // stays 0 if there is no exponent
	significant := strings.TrimRight(digits, "0")
	exponent.Add(exponent, big.NewInt(int64(len(digits)-len(significant)-len(fraction))))
	if minus {
		significant = "-" + significant
	}
	return json.Number(significant + "e" + exponent.String())
}

// sameContent reports whether two records of the same name have the same content.
func sameContent(a, b Record) bool {
	if a.Dropped || b.Dropped {
		return a.Dropped == b.Dropped
	}
	itemA, itemB := decodeItem(a), decodeItem(b)
	return itemA.Host == itemB.Host && bytes.Equal(itemA.Raw, itemB.Raw) || itemA.digest() == itemB.digest()
}

// contentDigest returns the digest of a record's content.
func contentDigest(r Record) digest {
	if r.Dropped {
		return 0
	}
	return decodeItem(r).digest()
}

// tombstoneData is the data of a tombstone. History is encoded as in Item.
type tombstoneData struct {
	History []byte `cbor:"4,keyasint,omitempty"`
}

// digestBytes is the size of one digest in Item.History, without its generation.
const digestBytes = 8

// withHistory returns record as the successor of old, with the generation and digest of old added to its
// history.
func withHistory(old, record Record) Record {
	history := binary.AppendUvarint(nil, old.Gen)
	history = binary.BigEndian.AppendUint64(history, uint64(contentDigest(old)))
	rest := decodeItem(old).History
	for remaining := 1; remaining < maxHistory; remaining++ {
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
	item.History = history
	record.Data = encode(item)
	return record
}

// findDigest returns the digest of an earlier generation from an item's history.
func findDigest(record Record, generation uint64) (d digest, ok bool) {
	for rest := decodeItem(record).History; ; {
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

// checkResend checks an item or removal whose generation is not above the current one. It returns a
// Conflict if that generation is known to have had different content, else nil.
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
