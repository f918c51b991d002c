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

// This file bounds the space that removed items take. The record of a removed item stays as a tombstone
// (Record.Dropped), so that an older change can't create the item again. When tombstones take too much space,
// the oldest are erased (purged), and the horizon record holds their highest generations. See
// docs/notes/hardening-numbers.md.

const (
	// maxTombstoneBytes is the maximum size of all tombstones.
	maxTombstoneBytes = MaxBytes / 2
	// minTombstoneBytes is the size of tombstones that is kept however much room live items take.
	minTombstoneBytes = MaxBytes / 16
	// tombstoneKeepRatio is the part of the available room that tombstones still fill after a purge. A purge
	// makes gateways fetch all ranges again, so it frees enough room to be rare.
	tombstoneKeepRatio = 0.75
	// typicalQuantile is the part of the newer tombstones whose generations count as typical;
	// maxSparedRatio is the largest part of all tombstones that a purge skips because their generations
	// are above the typical ones. See typicalGenerations.
	typicalQuantile, maxSparedRatio = 0.9, 1.0 / 16
)

// horizonName is the name of the horizon record, which holds the highest generations of erased tombstones.
// It exists from the first purge on. Earlier releases replicate it without reading it.
const horizonName = "horizon"

// horizonData is the content of the horizon record: the highest generation of an erased tombstone, by kind
// of item.
type horizonData struct {
	Generations map[string]uint64 `cbor:"1,keyasint"`
}

// Horizon returns the number of purges in the history of a set of records. It only rises: of two copies of
// the configuration, the one with the higher horizon is the newer one, and an item that it lacks does not
// exist.
func Horizon(records map[string]Record) uint64 { return records[horizonName].Gen }

// ContainsHigherHorizon reports whether changes contain a higher horizon than a set of records.
func ContainsHigherHorizon(records map[string]Record, changes []Record) bool {
	return slices.ContainsFunc(changes, func(r Record) bool { return r.Name == horizonName && r.Gen > Horizon(records) })
}

// CoveredByHorizon reports whether the horizon covers a record: it covers all records of the configuration
// itself, but not those of evacuations and rollouts.
func CoveredByHorizon(name string) bool {
	return name == horizonName || name == limitsName || strings.HasPrefix(name, bindingPrefix) || kindPrefix(name) != ""
}

// kindPrefix returns the prefix of a record's name if it is of a kind that operators may remove, else "".
func kindPrefix(name string) string {
	for _, prefix := range []string{routePrefix, servicePrefix, tenantPrefix} {
		if strings.HasPrefix(name, prefix) {
			return prefix
		}
	}
	return ""
}

// ReplaceRecords replaces the configuration's records in some ranges of a replica, and reports whether that
// changed anything. Versions aren't compared, since an item whose tombstone was erased may have been
// created again with a lower version.
func ReplaceRecords(replica *antientropy.Set, ranges []int, replacement []Record) (changed bool) {
	wanted := make(map[string]uint64, len(replacement))
	for _, r := range replacement {
		wanted[r.Name] = r.Sum()
	}
	for _, r := range replica.Pick(ranges) {
		sum, ok := wanted[r.Name]
		if !CoveredByHorizon(r.Name) || ok && sum == r.Sum() {
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

// purgedGenerations returns the generations up to which tombstones were erased, by kind.
func purgedGenerations(records map[string]Record) map[string]uint64 {
	var data horizonData
	_ = cbor.Unmarshal(records[horizonName].Data, &data)
	return data.Generations
}

// mayPredatePurge reports whether a change of an unknown name is at or below the generation up to which
// tombstones of its kind were erased, and so may be older than the item's removal. Such a removal is
// acknowledged, since the item does not exist and no change that old can create it again. An
// upsert is refused with a Conflict: the item may be new, and would be lost if the upsert were acknowledged
// without effect.
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

// numberTombstones numbers the tombstones among changes consecutively, in Rev, to record the order of
// removals. Tombstones of earlier releases have no number and count as the oldest.
func numberTombstones(records map[string]Record, changes []Record) {
	lastNumber := uint64(0)
	for _, r := range records {
		if r.Dropped {
			lastNumber = max(lastNumber, r.Rev)
		}
	}
	for i := range changes {
		if changes[i].Dropped {
			lastNumber++
			changes[i].Rev = lastNumber
		}
	}
}

// approxSize returns the approximate size of a record in a message.
func approxSize(r Record) int { return len(r.Data) + len(r.Name) + recordBytes }

// usage is the space that the records resulting from a change take.
type usage struct {
	liveBytes, tombstoneBytes int
	tenantRecords             int // number of tenant records, including tombstones
}

func (u *usage) add(r Record) {
	if kindPrefix(r.Name) == tenantPrefix {
		u.tenantRecords++
	}
	if r.Dropped {
		u.tombstoneBytes += approxSize(r)
	} else {
		u.liveBytes += approxSize(r)
	}
}

// purgeTombstones returns the additional changes that erase the oldest tombstones and raise the horizon, if
// changes would leave tombstones with more than the available room. Tombstones made by changes themselves
// are kept.
func purgeTombstones(records map[string]Record, changes []Record) []Record {
	var used usage
	changed := make(map[string]bool, len(changes))
	for _, r := range changes {
		if !changed[r.Name] { // a removal may be listed twice
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

// tombstonesOldestFirst returns the tombstones that are not being changed, the oldest first.
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

// eraseOldest returns the changes that erase the oldest tombstones until all take no more than target bytes,
// and raises the erased generations in purged.
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
				continue // keep the last tenant record: it makes client requests require an API key
			}
			used.tenantRecords--
		}
		if kind != "" {
			purged[kind] = max(purged[kind], r.Gen)
		}
		used.tombstoneBytes -= approxSize(r)
		erased = append(erased, Record{Name: r.Name, Dropped: true, Erased: true})
	}
	return erased
}

// typicalGenerations returns, by kind, a generation that few of the given tombstones exceed. These few are
// kept longer, because erasing one forces all new items of its kind to a generation
// that is higher still.
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
