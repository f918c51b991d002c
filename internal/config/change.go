package config

import (
	"encoding/json"
	"slices"
	"strings"
)

// This file holds what a call changes, given the items that stand.

// Change is one checked call of an operator.
type Change struct {
	upserts  []Record
	removals []Record
}

// Revokes says whether changes take a key from a tenant that has it in have.
func Revokes(records map[string]Record, changes []Record, reader *Reader) bool {
	for _, change := range changes {
		old, ok := records[change.Name]
		if !ok || old.Dropped || !strings.HasPrefix(change.Name, tenantPrefix) {
			continue
		}
		before, err := reader.Tenant(old)
		if err != nil {
			return true
		}
		var after Tenant
		if !change.Dropped && json.Unmarshal(decodeItem(change).Raw, &after) != nil {
			return true
		}
		for _, key := range before.APIKeys {
			if !slices.Contains(after.APIKeys, key) {
				return true
			}
		}
	}
	return false
}

// NamesTenants says whether a call sets or removes tenants.
func (c *Change) NamesTenants() bool {
	for _, record := range append(append([]Record(nil), c.upserts...), c.removals...) {
		if strings.HasPrefix(record.Name, tenantPrefix) {
			return true
		}
	}
	return false
}

// Apply works out which records a call changes, given those that stand, and
// checks the whole that would result. It runs at the owner of the catalogue. A
// generation that is not above the one that stands changes nothing; one that is known
// to have been taken with another content refuses the call with a Conflict.
func (c *Change) Apply(records map[string]Record, reader *Reader) ([]Record, error) {
	var changes []Record
	changeIndex := map[string]int{} // where this call's own changes are
	purged := purgedGenerations(records)
	for _, record := range append(append([]Record(nil), c.upserts...), c.removals...) {
		old, ok := records[record.Name]
		if i, repeated := changeIndex[record.Name]; repeated {
			old, ok = changes[i], true
		}
		if ok && record.Gen <= old.Gen {
			if err := checkResend(old, record); err != nil {
				return nil, err
			}
			continue // also a removal that is named twice
		}
		if !ok {
			if older, err := mayPredatePurge(purged, record); err != nil {
				return nil, err
			} else if older {
				continue
			}
		}
		if ok {
			record = withHistory(old, record)
		}
		if ok && !old.Dropped && !record.Dropped && strings.HasPrefix(record.Name, routePrefix) {
			// A route keeps its place when the operator changes it.
			item := decodeItem(record)
			item.Status = decodeItem(old).Status
			record.Data, record.Rev = encode(item), old.Rev
		}
		if ok && record.Dropped && strings.HasPrefix(record.Name, routePrefix) {
			if binding, bound := records[bindingPrefix+record.Name[len(routePrefix):]]; bound && !binding.Dropped {
				changes = append(changes, Record{Name: binding.Name, Gen: binding.Gen + 1, Dropped: true})
			}
		}
		changeIndex[record.Name] = len(changes)
		changes = append(changes, record)
	}
	if len(changes) == 0 {
		return nil, nil
	}
	numberTombstones(records, changes)
	changes = append(changes, purgeTombstones(records, changes)...)
	if err := check(records, changes, reader); err != nil {
		return nil, err
	}
	reader.prune(records)
	return changes, nil
}

// Step is what a call would do to one item.
type Step struct {
	Item   string `json:"item"`
	Effect string `json:"effect"` // add, change, drop, or nothing
	Stands uint64 `json:"stands"` // the generation that stands, 0 for none
	Sent   uint64 `json:"sent"`
}

// Plan works out what a call would do, item by item, without doing it.
func (c *Change) Plan(records map[string]Record, reader *Reader) ([]Step, error) {
	changes, err := c.Apply(records, reader)
	if err != nil {
		return nil, err
	}
	applied := map[string]bool{}
	for _, record := range changes {
		applied[record.Name] = !record.Erased
	}
	steps := []Step{}
	for _, record := range append(append([]Record(nil), c.upserts...), c.removals...) {
		old, ok := records[record.Name]
		step := Step{record.Name, "nothing", old.Gen, record.Gen}
		switch {
		case !applied[record.Name] || record.Dropped && (!ok || old.Dropped):
		case record.Dropped:
			step.Effect = "drop"
		case !ok || old.Dropped:
			step.Effect = "add"
		default:
			step.Effect = "change"
		}
		steps = append(steps, step)
	}
	return steps, nil
}
