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
	maxTombstoneBytes = MaxBytes / 2
	// droppedLeast is how many bytes of them are kept however much room the items that
	// stand take.
	minTombstoneBytes = MaxBytes / 16
	// droppedKeptPart is the part of the room for them that is still filled after some were
	// forgotten. Each time, gateways take all ranges anew, so it is to be seldom.
	tombstoneKeepRatio = 0.75
	// usualPart is the part of the newer removals whose generations count as usual, and
	// sparedPart the most of all removals that are kept beyond their turn for having a higher
	// one; see usualGenerations.
	typicalQuantile, maxSparedRatio = 0.9, 1.0 / 16
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
func Horizon(records map[string]Record) uint64 { return records[horizonName].Gen }

// RaisesHorizon says whether changes tell of a horizon above that of a set of records.
func RaisesHorizon(records map[string]Record, changes []Record) bool {
	return slices.ContainsFunc(changes, func(r Record) bool { return r.Name == horizonName && r.Gen > Horizon(records) })
}

// IsForgettable says whether a record is one of those that a horizon is about: all of the
// configuration's own, and no evacuations or rollouts.
func IsForgettable(name string) bool {
	return name == horizonName || name == limitsName || strings.HasPrefix(name, bindingPrefix) || kindPrefix(name) != ""
}

// kindOf is the prefix of an item's name that operators may remove; empty: none.
func kindPrefix(name string) string {
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
func Replace(replica *antientropy.Set, ranges []int, replacement []Record) (changed bool) {
	wanted := make(map[string]uint64, len(replacement))
	for _, r := range replacement {
		wanted[r.Name] = r.Sum()
	}
	for _, r := range replica.Pick(ranges) {
		sum, ok := wanted[r.Name]
		if !IsForgettable(r.Name) || ok && sum == r.Sum() {
			delete(wanted, r.Name)
			continue
		}
		replica.Remove(r.Name)
		changed = true
	}
	for _, r := range replacement {
		if _, missing := wanted[r.Name]; missing {
			replica.Put(r)
			changed = true
		}
	}
	return changed
}

// forgotten are the generations up to which removals have been forgotten, by kind.
func purgedGenerations(records map[string]Record) map[string]uint64 {
	var data horizonData
	_ = cbor.Unmarshal(records[horizonName].Data, &data)
	return data.Generations
}

// tooLate says whether a change of an unknown name is at or below a generation up to which
// removals of its kind have been forgotten: it may be older than one of them. A removal is
// then acknowledged, as the name does not stand and nothing as old can bring it back. An
// item is refused: it may never have been seen, so an acknowledgement without effect could
// lose it.
func mayPredatePurge(purged map[string]uint64, sent Record) (older bool, err error) {
	highest := purged[kindPrefix(sent.Name)]
	if sent.Gen > highest {
		return false, nil
	}
	if sent.Dropped {
		return true, nil
	}
	return true, apierror.New(apierror.Conflict,
		"%s: unknown, and generation %d may be older than its removal: removals up to generation %d are forgotten; a new item needs a higher one",
		strings.Replace(sent.Name, "/", " ", 1), sent.Gen, highest)
}

// numberRemovals gives the removals among changes their place in the order of removals, as their
// Rev. Those of earlier releases have none and count as the oldest.
func numberTombstones(records map[string]Record, changes []Record) {
	last := uint64(0)
	for _, r := range records {
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
	liveBytes, tombstoneBytes int
	tenantRecords             int // how many records of tenants there are, dropped or not
}

func (u *usage) add(r Record) {
	if kindPrefix(r.Name) == tenantPrefix {
		u.tenantRecords++
	}
	if r.Dropped {
		u.tombstoneBytes += size(r)
	} else {
		u.liveBytes += size(r)
	}
}

// forget lists the further changes by which the oldest dropped records make room, if those
// that would result from changes take more than they may: each of them erased, and the
// horizon. What the changes themselves drop stays.
func purgeTombstones(records map[string]Record, changes []Record) []Record {
	var used usage
	changed := make(map[string]bool, len(changes))
	for _, r := range changes {
		if !changed[r.Name] { // a removal may be named twice
			used.add(r)
		}
		changed[r.Name] = true
	}
	for name, r := range records {
		if !changed[name] {
			used.add(r)
		}
	}
	room := min(maxTombstoneBytes, MaxBytes-used.liveBytes)
	if used.tombstoneBytes <= max(room, minTombstoneBytes) {
		return nil
	}
	target := max(int(float64(room)*tombstoneKeepRatio), minTombstoneBytes)
	purged := maps.Clone(purgedGenerations(records))
	if purged == nil {
		purged = map[string]uint64{}
	}
	erased := eraseOldest(tombstonesOldestFirst(records, changed), used, target, purged)
	if len(erased) == 0 {
		return nil
	}
	return append(erased, Record{Name: horizonName, Gen: Horizon(records) + 1, Data: encode(horizonData{purged})})
}

// removalsInOrder lists the dropped records that a call does not change, the oldest first.
func tombstonesOldestFirst(records map[string]Record, changed map[string]bool) (tombstones []Record) {
	for name, r := range records {
		if r.Dropped && !changed[name] {
			tombstones = append(tombstones, r)
		}
	}
	slices.SortFunc(tombstones, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.Name, b.Name))
	})
	return tombstones
}

// erase lists the changes that erase the oldest removals until dropped records take no more
// than target, and raises the generations that are forgotten by kind.
func eraseOldest(tombstones []Record, used usage, target int, purged map[string]uint64) (erased []Record) {
	typical := typicalGenerations(tombstones[len(tombstones)/2:])
	spared := int(float64(len(tombstones)) * maxSparedRatio)
	for _, r := range tombstones {
		if used.tombstoneBytes <= target {
			break
		}
		kind := kindPrefix(r.Name)
		if threshold, ok := typical[kind]; ok && r.Gen > threshold && spared > 0 {
			spared--
			continue
		}
		if kind == tenantPrefix {
			if used.tenantRecords == 1 {
				continue // that there were tenants is to stay known: requests need a key
			}
			used.tenantRecords--
		}
		if kind != "" {
			purged[kind] = max(purged[kind], r.Gen)
		}
		used.tombstoneBytes -= size(r)
		erased = append(erased, Record{Name: r.Name, Dropped: true, Erased: true})
	}
	return erased
}

// usualGenerations are, by kind, generations that few of the removals given are above. A few
// that are get kept beyond their turn: once one is forgotten, all new items of its kind
// need a generation higher still.
func typicalGenerations(tombstones []Record) map[string]uint64 {
	byKind := map[string][]uint64{}
	for _, r := range tombstones {
		kind := kindPrefix(r.Name)
		byKind[kind] = append(byKind[kind], r.Gen)
	}
	typical := make(map[string]uint64, len(byKind))
	for kind, generations := range byKind {
		slices.Sort(generations)
		typical[kind] = generations[int(float64(len(generations)-1)*typicalQuantile)]
	}
	return typical
}
