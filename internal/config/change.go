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
func Revokes(have map[string]Record, changes []Record, x *Reader) bool {
	for _, c := range changes {
		old, ok := have[c.Name]
		if !ok || old.Dropped || !strings.HasPrefix(c.Name, tenantPrefix) {
			continue
		}
		was, err := x.Tenant(old)
		if err != nil {
			return true
		}
		var now Tenant
		if !c.Dropped && json.Unmarshal(decodeItem(c).Raw, &now) != nil {
			return true
		}
		for _, k := range was.APIKeys {
			if !slices.Contains(now.APIKeys, k) {
				return true
			}
		}
	}
	return false
}

// NamesTenants says whether a call sets or removes tenants.
func (c *Change) NamesTenants() bool {
	for _, r := range append(append([]Record(nil), c.upserts...), c.removals...) {
		if strings.HasPrefix(r.Name, tenantPrefix) {
			return true
		}
	}
	return false
}

// Apply works out which records a call changes, given those that stand, and
// checks the whole that would result. It runs at the owner of the catalogue. A
// generation that is not above the one that stands changes nothing; one that is known
// to have been taken with another content refuses the call with a Conflict.
func (c *Change) Apply(have map[string]Record, reader *Reader) ([]Record, error) {
	var changes []Record
	at := map[string]int{} // where this call's own changes are
	generations := forgotten(have)
	for _, r := range append(append([]Record(nil), c.upserts...), c.removals...) {
		old, ok := have[r.Name]
		if i, again := at[r.Name]; again {
			old, ok = changes[i], true
		}
		if ok && r.Gen <= old.Gen {
			if err := confirms(old, r); err != nil {
				return nil, err
			}
			continue // also a removal that is named twice
		}
		if !ok {
			if late, err := tooLate(generations, r); err != nil {
				return nil, err
			} else if late {
				continue
			}
		}
		if ok {
			r = succeeds(old, r)
		}
		if ok && !old.Dropped && !r.Dropped && strings.HasPrefix(r.Name, routePrefix) {
			// A route keeps its place when the operator changes it.
			it := decodeItem(r)
			it.Status = decodeItem(old).Status
			r.Data, r.Rev = encode(it), old.Rev
		}
		if ok && r.Dropped && strings.HasPrefix(r.Name, routePrefix) {
			if b, bound := have[bindingPrefix+r.Name[len(routePrefix):]]; bound && !b.Dropped {
				changes = append(changes, Record{Name: b.Name, Gen: b.Gen + 1, Dropped: true})
			}
		}
		at[r.Name] = len(changes)
		changes = append(changes, r)
	}
	if len(changes) == 0 {
		return nil, nil
	}
	numberRemovals(have, changes)
	changes = append(changes, forget(have, changes)...)
	if err := check(have, changes, reader); err != nil {
		return nil, err
	}
	reader.prune(have)
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
func (c *Change) Plan(have map[string]Record, reader *Reader) ([]Step, error) {
	changes, err := c.Apply(have, reader)
	if err != nil {
		return nil, err
	}
	taken := map[string]bool{}
	for _, r := range changes {
		taken[r.Name] = !r.Erased
	}
	steps := []Step{}
	for _, r := range append(append([]Record(nil), c.upserts...), c.removals...) {
		old, ok := have[r.Name]
		s := Step{r.Name, "nothing", old.Gen, r.Gen}
		switch {
		case !taken[r.Name] || r.Dropped && (!ok || old.Dropped):
		case r.Dropped:
			s.Effect = "drop"
		case !ok || old.Dropped:
			s.Effect = "add"
		default:
			s.Effect = "change"
		}
		steps = append(steps, s)
	}
	return steps, nil
}
