package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
	"madderwing/internal/apierror"
)

// This file bounds what dropped items leave behind. Their records keep an older change
// from bringing a name back; the oldest beyond a bound are erased, and the horizon record
// tells how far that has gone. See docs/notes/hardening-numbers.md.

const (
	// droppedMost is how many bytes of records of dropped items are kept at most.
	droppedMost = MaxBytes / 2
	// droppedLeast is how many bytes of them are kept however much room the items that
	// stand take.
	droppedLeast = MaxBytes / 16
	// droppedKeptPart is the part of the room for them that is still filled after some were
	// forgotten. Each time, gateways take all ranges anew, so it is to be seldom.
	droppedKeptPart = 0.75
	// usualPart is the part of the newer removals whose generations count as usual, and
	// sparedPart the most of all removals that are kept beyond their turn for having a higher
	// one; see usualGenerations.
	usualPart, sparedPart = 0.9, 1.0 / 16
)

// horizonName is the name of the record that tells how far dropped items are forgotten.
// There is none until some are; earlier releases carry it and don't read it.
const horizonName = "horizon"

// horizonData is the content of the horizon record: the highest generation of a removal
// that was forgotten, by kind of item.
type horizonData struct {
	Generations map[string]uint64 `cbor:"1,keyasint"`
}

// Horizon tells how often dropped items have been forgotten in a set of records. It
// only rises: of two copies of the configuration, the one with the higher horizon is newer
// as a whole, and a name that it does not hold does not stand.
func Horizon(have map[string]Record) uint64 { return have[horizonName].Gen }

// RaisesHorizon says whether changes tell of a horizon above that of a set of records.
func RaisesHorizon(have map[string]Record, changes []Record) bool {
	return slices.ContainsFunc(changes, func(r Record) bool { return r.Name == horizonName && r.Gen > Horizon(have) })
}

// IsForgettable says whether a record is one of those that a horizon is about: all of the
// configuration's own, and no evacuations or rollouts.
func IsForgettable(name string) bool {
	return name == horizonName || name == limitsName || strings.HasPrefix(name, bindingPrefix) || kindOf(name) != ""
}

// kindOf is the prefix of an item's name that operators may remove; empty: none.
func kindOf(name string) string {
	for _, prefix := range []string{routePrefix, servicePrefix, tenantPrefix} {
		if strings.HasPrefix(name, prefix) {
			return prefix
		}
	}
	return ""
}

// Replace makes a copy hold, of the configuration's records in some ranges, just those
// given, and says whether that changed anything. Versions aren't compared: a name that was
// forgotten may have begun anew.
func Replace(copied *antientropy.Set, ranges []int, with []Record) (changed bool) {
	given := make(map[string]uint64, len(with))
	for _, r := range with {
		given[r.Name] = r.Sum()
	}
	for _, r := range copied.Pick(ranges) {
		sum, ok := given[r.Name]
		if !IsForgettable(r.Name) || ok && sum == r.Sum() {
			delete(given, r.Name)
			continue
		}
		copied.Remove(r.Name)
		changed = true
	}
	for _, r := range with {
		if _, missing := given[r.Name]; missing {
			copied.Put(r)
			changed = true
		}
	}
	return changed
}

// forgotten are the generations up to which removals have been forgotten, by kind.
func forgotten(have map[string]Record) map[string]uint64 {
	var d horizonData
	_ = cbor.Unmarshal(have[horizonName].Data, &d)
	return d.Generations
}

// tooLate says whether a change of an unknown name is at or below a generation up to which
// removals of its kind have been forgotten: it may be older than one of them. A removal is
// then acknowledged, as the name does not stand and nothing as old can bring it back. An
// item is refused: it may never have been seen, so an acknowledgement without effect could
// lose it.
func tooLate(generations map[string]uint64, sent Record) (late bool, err error) {
	last := generations[kindOf(sent.Name)]
	if sent.Gen > last {
		return false, nil
	}
	if sent.Dropped {
		return true, nil
	}
	return true, apierror.New(apierror.Conflict,
		"%s: unknown, and generation %d may be older than its removal: removals up to generation %d are forgotten; a new item needs a higher one",
		strings.Replace(sent.Name, "/", " ", 1), sent.Gen, last)
}

// numberRemovals gives the removals among changes their place in the order of removals, as their
// Rev. Those of earlier releases have none and count as the oldest.
func numberRemovals(have map[string]Record, changes []Record) {
	last := uint64(0)
	for _, r := range have {
		if r.Dropped {
			last = max(last, r.Rev)
		}
	}
	for i := range changes {
		if changes[i].Dropped {
			last++
			changes[i].Rev = last
		}
	}
}

// size is about what a record takes in a message.
func size(r Record) int { return len(r.Data) + len(r.Name) + recordBytes }

// usage is what the records that would result from a change take, in bytes.
type usage struct {
	standing, dropped int
	tenants           int // how many records of tenants there are, dropped or not
}

func (u *usage) add(r Record) {
	if kindOf(r.Name) == tenantPrefix {
		u.tenants++
	}
	if r.Dropped {
		u.dropped += size(r)
	} else {
		u.standing += size(r)
	}
}

// forget lists the further changes by which the oldest dropped records make room, if those
// that would result from changes take more than they may: each of them erased, and the
// horizon. What the changes themselves drop stays.
func forget(have map[string]Record, changes []Record) []Record {
	var used usage
	changed := make(map[string]bool, len(changes))
	for _, r := range changes {
		if !changed[r.Name] { // a removal may be named twice
			used.add(r)
		}
		changed[r.Name] = true
	}
	for name, r := range have {
		if !changed[name] {
			used.add(r)
		}
	}
	room := min(droppedMost, MaxBytes-used.standing)
	if used.dropped <= max(room, droppedLeast) {
		return nil
	}
	target := max(int(float64(room)*droppedKeptPart), droppedLeast)
	generations := maps.Clone(forgotten(have))
	if generations == nil {
		generations = map[string]uint64{}
	}
	erased := erase(removalsInOrder(have, changed), used, target, generations)
	if len(erased) == 0 {
		return nil
	}
	return append(erased, Record{Name: horizonName, Gen: Horizon(have) + 1, Data: encode(horizonData{generations})})
}

// removalsInOrder lists the dropped records that a call does not change, the oldest first.
func removalsInOrder(have map[string]Record, changed map[string]bool) (removals []Record) {
	for name, r := range have {
		if r.Dropped && !changed[name] {
			removals = append(removals, r)
		}
	}
	slices.SortFunc(removals, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.Name, b.Name))
	})
	return removals
}

// erase lists the changes that erase the oldest removals until dropped records take no more
// than target, and raises the generations that are forgotten by kind.
func erase(removals []Record, used usage, target int, generations map[string]uint64) (erased []Record) {
	usual := usualGenerations(removals[len(removals)/2:])
	spared := int(float64(len(removals)) * sparedPart)
	for _, r := range removals {
		if used.dropped <= target {
			break
		}
		kind := kindOf(r.Name)
		if most, ok := usual[kind]; ok && r.Gen > most && spared > 0 {
			spared--
			continue
		}
		if kind == tenantPrefix {
			if used.tenants == 1 {
				continue // that there were tenants is to stay known: requests need a key
			}
			used.tenants--
		}
		if kind != "" {
			generations[kind] = max(generations[kind], r.Gen)
		}
		used.dropped -= size(r)
		erased = append(erased, Record{Name: r.Name, Dropped: true, Erased: true})
	}
	return erased
}

// usualGenerations are, by kind, generations that few of the removals given are above. A few
// that are get kept beyond their turn: once one is forgotten, all new items of its kind
// need a generation higher still.
func usualGenerations(removals []Record) map[string]uint64 {
	all := map[string][]uint64{}
	for _, r := range removals {
		kind := kindOf(r.Name)
		all[kind] = append(all[kind], r.Gen)
	}
	usual := make(map[string]uint64, len(all))
	for kind, generations := range all {
		slices.Sort(generations)
		usual[kind] = generations[int(float64(len(generations)-1)*usualPart)]
	}
	return usual
}
