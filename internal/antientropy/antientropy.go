// Package antientropy compares copies of a set of records by digests over hash ranges, so that
// only ranges that differ have to be sent to update an older copy from a newer one.
package antientropy

import (
	"hash/fnv"
	"sort"
)

// Ranges is the number of ranges that the records of a set are divided into, by the hash of
// their names.
const Ranges = 16

// Record is one entry of a set. Gen is the version set by its author, and Rev counts what the
// system itself has written since. In a dropped record of the configuration, Rev is the place
// in the order of removals.
type Record struct {
	Name    string `cbor:"1,keyasint"`
	Gen     uint64 `cbor:"2,keyasint,omitempty"`
	Rev     uint64 `cbor:"3,keyasint,omitempty"`
	Dropped bool   `cbor:"4,keyasint,omitempty"` // a tombstone: the record was removed
	Data    []byte `cbor:"5,keyasint,omitempty"`
	// Erased is set only in a change: the record is removed without leaving a dropped record.
	Erased bool `cbor:"6,keyasint,omitempty"`
}

// Newer reports whether r supersedes o, another version of the same record.
func (r Record) Newer(o Record) bool {
	return r.Gen > o.Gen || r.Gen == o.Gen && r.Rev > o.Rev
}

// Sums holds one digest per range.
type Sums [Ranges]uint64

// AllRanges returns the numbers of all ranges.
func AllRanges() (all []int) {
	for i := range Ranges {
		all = append(all, i)
	}
	return all
}

// RangeOf returns the range that a name belongs to.
func RangeOf(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	v := h.Sum32()
	return int((v ^ v>>16) % Ranges)
}

// Sum returns the record's contribution to the digest of its range.
func (r Record) Sum() uint64 {
	h := fnv.New64a()
	var n [17]byte
	for i := 0; i < 8; i++ {
		n[i], n[8+i] = byte(r.Gen>>(8*i)), byte(r.Rev>>(8*i))
	}
	if r.Dropped {
		n[16] = 1
	}
	_, _ = h.Write([]byte(r.Name))
	_, _ = h.Write(n[:])
	_, _ = h.Write(r.Data)
	return h.Sum64()
}

// Digest computes the digests of a whole set.
func Digest(set map[string]Record) (s Sums) {
	for _, r := range set {
		s[RangeOf(r.Name)] ^= r.Sum()
	}
	return s
}

// Set is a set of records with its digests, which are updated with every change.
type Set struct {
	Records map[string]Record
	Sums    Sums
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{Records: map[string]Record{}} }

// Put adds or replaces a record, or removes it if r.Erased is set.
func (s *Set) Put(r Record) {
	s.Remove(r.Name)
	if r.Erased {
		return
	}
	s.Records[r.Name] = r
	s.Sums[RangeOf(r.Name)] ^= r.Sum()
}

// Remove removes a record if it exists.
func (s *Set) Remove(name string) {
	if old, ok := s.Records[name]; ok {
		s.Sums[RangeOf(name)] ^= old.Sum()
		delete(s.Records, name)
	}
}

// Merge adds or replaces every record that is newer than the set's version of it, and reports
// whether there was any.
func (s *Set) Merge(from []Record) (changed bool) {
	for _, r := range from {
		if have, ok := s.Records[r.Name]; !ok || r.Newer(have) {
			s.Put(r)
			changed = true
		}
	}
	return changed
}

// Pick returns the records of some ranges, sorted by name.
func (s *Set) Pick(ranges []int) []Record { return Pick(s.Records, ranges) }

// Fold combines all digests into one number.
func (s Sums) Fold() (v uint64) {
	for _, x := range s {
		v = (v^x)*0x9e3779b97f4a7c15 + 1
	}
	return v
}

// Diff returns the ranges in which two sets of digests differ.
func Diff(a, b Sums) (ranges []int) {
	for i := range a {
		if a[i] != b[i] {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// Pick returns the records of some ranges, sorted by name.
func Pick(set map[string]Record, ranges []int) (out []Record) {
	var want [Ranges]bool
	for _, i := range ranges {
		want[i] = true
	}
	for _, r := range set {
		if want[RangeOf(r.Name)] {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
