package config

import (
	"encoding/json"
	"slices"
	"strings"
)

// This file determines the effect of a configuration request on the existing items.

// Change is a validated configuration request.
type Change struct {
	upserts  []Record
	removals []Record
}

// RevokesAPIKey reports whether changes remove an API key from a tenant that has it in records. If a tenant
// can't be parsed, it returns true.
func RevokesAPIKey(records map[string]Record, changes []Record, decoder *Decoder) bool {
	for _, change := range changes {
		old, ok := records[change.Name]
		if !ok || old.Dropped || !strings.HasPrefix(change.Name, tenantPrefix) {
			continue
		}
		before, err := decoder.Tenant(old)
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

// ChangesTenants reports whether the request sets or removes tenants.
func (c *Change) ChangesTenants() bool {
	for _, record := range append(append([]Record(nil), c.upserts...), c.removals...) {
		if strings.HasPrefix(record.Name, tenantPrefix) {
			return true
		}
	}
	return false
}

// Apply returns the records that the request changes, given the current ones, and validates the
// configuration that would result. It runs at the owner of the catalogue. An item whose generation is
// not above the current one changes nothing; if that generation is known to have had different content,
// the whole request fails with a Conflict.
func (c *Change) Apply(records map[string]Record, decoder *Decoder) ([]Record, error) {
	var changes []Record
	changeIndex := map[string]int{} // name -> index of the request's change in changes
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
			continue // also for a removal that is listed twice
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
			// A route keeps its shard when an operator changes the route.
			item := decodeItem(record)
			item.Status = decodeItem(old).Status
			record.Data, record.Rev = encode(item), old.Rev
		}
		if ok && record.Dropped && strings.HasPrefix(record.Name, routePrefix) {
			if binding, exists := records[bindingPrefix+record.Name[len(routePrefix):]]; exists && !binding.Dropped {
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
	if err := check(records, changes, decoder); err != nil {
		return nil, err
	}
	decoder.prune(records)
	return changes, nil
}

// ItemEffect is the effect that a request would have on one item.
type ItemEffect struct {
	Item              string `json:"item"`
	Effect            string `json:"effect"` // add, change, drop, or nothing
	CurrentGeneration uint64 `json:"stands"` // the current generation, 0 for none
	SentGeneration    uint64 `json:"sent"`   // the generation in the request
}

// Plan returns the effect that the request would have on each item, without changing anything.
func (c *Change) Plan(records map[string]Record, decoder *Decoder) ([]ItemEffect, error) {
	changes, err := c.Apply(records, decoder)
	if err != nil {
		return nil, err
	}
	applied := map[string]bool{}
	for _, record := range changes {
		applied[record.Name] = !record.Erased
	}
	effects := []ItemEffect{}
	for _, record := range append(append([]Record(nil), c.upserts...), c.removals...) {
		old, ok := records[record.Name]
		effect := ItemEffect{record.Name, "nothing", old.Gen, record.Gen}
		switch {
		case !applied[record.Name] || record.Dropped && (!ok || old.Dropped):
		case record.Dropped:
			effect.Effect = "drop"
		case !ok || old.Dropped:
			effect.Effect = "add"
		default:
			effect.Effect = "change"
		}
		effects = append(effects, effect)
	}
	return effects, nil
}
