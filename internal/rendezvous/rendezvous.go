// Package rendezvous chooses among candidates by highest random weight: whoever
// knows the same name and candidates chooses alike, and a candidate that comes
// or goes changes no choice but those that concern it.
package rendezvous

import (
	"hash/fnv"
	"sort"
)

// Weight is the weight of a candidate for a name.
func Weight(name, candidate string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(candidate))
	v := h.Sum64()
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// Order lists the candidates for a name, the heaviest first.
func Order(name string, candidates []string) []string {
	out := append([]string(nil), candidates...)
	sort.Slice(out, func(i, j int) bool {
		a, b := Weight(name, out[i]), Weight(name, out[j])
		return a > b || a == b && out[i] < out[j]
	})
	return out
}

// Pick lists the n heaviest candidates for a name.
func Pick(name string, candidates []string, n int) []string {
	out := Order(name, candidates)
	return out[:min(n, len(out))]
}
