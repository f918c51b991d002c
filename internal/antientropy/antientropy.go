// Package antientropy compares copies of a set of records by digests over
// ranges and mends the older copy from the newer.
package antientropy

import (
	"hash/fnv"
	"sort"
)

// Ranges is the number of ranges into which the hash of a record's name
// divides every set.
const Ranges = 16

// Record is one entry of a set. Gen is the version that its author gave it,
// Rev counts what the system itself has written into it since; in a dropped record of the
// configuration it is the place in the order of removals.
type Record struct {
	Name    string `cbor:"1,keyasint"`
	Gen     uint64 `cbor:"2,keyasint,omitempty"`
	Rev     uint64 `cbor:"3,keyasint,omitempty"`
	Dropped bool   `cbor:"4,keyasint,omitempty"`
	Data    []byte `cbor:"5,keyasint,omitempty"`
	// Erased is set only in a change: the record is to vanish without a trace.
	Erased bool `cbor:"6,keyasint,omitempty"`
}

// Newer says whether r supersedes o, another version of the same record.
func (r Record) Newer(o Record) bool {
	return r.Gen > o.Gen || r.Gen == o.Gen && r.Rev > o.Rev
}

// Sums holds one digest a range.
type Sums [Ranges]uint64

// AllRanges lists all ranges.
func AllRanges() (all []int) {
	for i := range Ranges {
		all = append(all, i)
	}
	return all
}

// RangeOf is the range in which a name falls.
func RangeOf(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	v := h.Sum32()
	return int((v ^ v>>16) % Ranges)
}

// Sum is a record's own part in the digest of its range.
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

// Digest is the digest of a whole set.
func Digest(set map[string]Record) (s Sums) {
	for _, r := range set {
		s[RangeOf(r.Name)] ^= r.Sum()
	}
	return s
}

// Set is a set of records with its digest, which is kept up to date with every
// change instead of being worked out anew.
type Set struct {
	Records map[string]Record
	Sums    Sums
}

// NewSet makes an empty set.
func NewSet() *Set { return &Set{Records: map[string]Record{}} }

// Put adds or replaces a record, or takes away one that is to be erased.
func (s *Set) Put(r Record) {
	s.Remove(r.Name)
	if r.Erased {
		return
	}
	s.Records[r.Name] = r
	s.Sums[RangeOf(r.Name)] ^= r.Sum()
}

// Remove removes a record, if it is there.
func (s *Set) Remove(name string) {
	if old, ok := s.Records[name]; ok {
		s.Sums[RangeOf(name)] ^= old.Sum()
		delete(s.Records, name)
	}
}

// Merge takes over every record that is newer than what the set holds, and
// says whether there was any.
func (s *Set) Merge(from []Record) (changed bool) {
	for _, r := range from {
		if have, ok := s.Records[r.Name]; !ok || r.Newer(have) {
			s.Put(r)
			changed = true
		}
	}
	return changed
}

// Pick lists the records of some ranges, by name.
func (s *Set) Pick(ranges []int) []Record { return Pick(s.Records, ranges) }

// Fold makes one number of all digests.
func (s Sums) Fold() (v uint64) {
	for _, x := range s {
		v = (v^x)*0x9e3779b97f4a7c15 + 1
	}
	return v
}

// Diff names the ranges in which two digests differ.
func Diff(a, b Sums) (ranges []int) {
	for i := range a {
		if a[i] != b[i] {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

// Pick lists the records of some ranges, by name.
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
