// Package rendezvous implements rendezvous hashing (highest random weight): all callers with
// the same name and candidates choose alike, and adding or removing a candidate changes only
// the choices that involve it.
package rendezvous

import (
	"cmp"
	"slices"
)

// The constants of FNV-1a. It is implemented here so that a name is hashed once for many
// candidates.
const (
	offset64 = 14695981039346656037
	prime64  = 1099511628211
)

// hash continues the FNV-1a hash h with a text.
func hash(h uint64, text string) uint64 {
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * prime64
	}
	return h
}

// NameHash is the hash of a name that candidates are chosen for.
type NameHash uint64

// HashName returns the hash of a name, to be weighted with many candidates.
func HashName(name string) NameHash { return NameHash(hash(offset64, name) * prime64) }

// Weight returns the weight of a candidate.
func (n NameHash) Weight(candidate string) uint64 {
	v := hash(uint64(n), candidate)
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// Weight returns the weight of a candidate for a name.
func Weight(name, candidate string) uint64 { return HashName(name).Weight(candidate) }

type weighted struct {
	weight    uint64
	candidate string
}

// compareWeights sorts by decreasing weight and, for equal weights, by name.
func compareWeights(a, b weighted) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.candidate, b.candidate)
}

// Order returns the candidates for a name by decreasing weight.
func Order(name string, candidates []string) []string {
	hashed := HashName(name)
	candidateWeights := make([]weighted, len(candidates))
	for i, c := range candidates {
		candidateWeights[i] = weighted{hashed.Weight(c), c}
	}
	slices.SortFunc(candidateWeights, compareWeights)
	return candidateNames(candidateWeights)
}

// Pick returns the n candidates with the highest weights for a name, without sorting the
// others.
func Pick(name string, candidates []string, n int) []string {
	if n >= len(candidates) {
		return Order(name, candidates)
	}
	hashed := HashName(name)
	top := make([]weighted, 0, n+1)
	for _, c := range candidates {
		next := weighted{hashed.Weight(c), c}
		if pos, _ := slices.BinarySearchFunc(top, next, compareWeights); pos < n {
			top = slices.Insert(top, pos, next)
			top = top[:min(n, len(top))]
		}
	}
	return candidateNames(top)
}

func candidateNames(list []weighted) []string {
	out := make([]string, len(list))
	for i, w := range list {
		out[i] = w.candidate
	}
	return out
}
