// Package rendezvous chooses among candidates by highest random weight: whoever
// knows the same name and candidates chooses alike, and a candidate that comes
// or goes changes no choice but those that concern it.
package rendezvous

import (
	"cmp"
	"slices"
)

// The figures of FNV-1a, written out so that a name is hashed once for many
// candidates.
const (
	offset64 = 14695981039346656037
	prime64  = 1099511628211
)

func hash(h uint64, text string) uint64 {
	for i := 0; i < len(text); i++ {
		h = (h ^ uint64(text[i])) * prime64
	}
	return h
}

// Name is a name that candidates are weighed for.
type Name uint64

// Of makes a name ready to weigh candidates for.
func Of(name string) Name { return Name(hash(offset64, name) * prime64) }

// Weight is the weight of a candidate.
func (n Name) Weight(candidate string) uint64 {
	v := hash(uint64(n), candidate)
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// Weight is the weight of a candidate for a name.
func Weight(name, candidate string) uint64 { return Of(name).Weight(candidate) }

type weighed struct {
	weight    uint64
	candidate string
}

func heavier(a, b weighed) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.candidate, b.candidate)
}

// Order lists the candidates for a name, the heaviest first.
func Order(name string, candidates []string) []string {
	w := Of(name)
	all := make([]weighed, len(candidates))
	for i, c := range candidates {
		all[i] = weighed{w.Weight(c), c}
	}
	slices.SortFunc(all, heavier)
	return names(all)
}

// Pick lists the n heaviest candidates for a name, without sorting the others.
func Pick(name string, candidates []string, n int) []string {
	if n >= len(candidates) {
		return Order(name, candidates)
	}
	w := Of(name)
	top := make([]weighed, 0, n+1)
	for _, c := range candidates {
		x := weighed{w.Weight(c), c}
		if at, _ := slices.BinarySearchFunc(top, x, heavier); at < n {
			top = slices.Insert(top, at, x)
			top = top[:min(n, len(top))]
		}
	}
	return names(top)
}

func names(list []weighed) []string {
	out := make([]string, len(list))
	for i, x := range list {
		out[i] = x.candidate
	}
	return out
}
