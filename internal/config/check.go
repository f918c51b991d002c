package config

import (
	"strings"

	"madderwing/internal/apierror"
)

// This file holds the checks on the whole that would result from a change.

// MaxBytes is how large a catalogue may grow; it has to fit into one message
// between control nodes.
const MaxBytes = 12 << 20

// recordBytes is about what a record takes in a message beside its name and
// data.
const recordBytes = 64

// check checks the whole that results from changes. Of several faults it names
// the first by name.
func check(have map[string]Record, changes []Record, reader *Reader) error {
	changed := make(map[string]Record, len(changes))
	for _, r := range changes {
		changed[r.Name] = r
	}
	stands := func(name string) bool {
		r, ok := changed[name]
		if !ok {
			r, ok = have[name]
		}
		return ok && !r.Dropped
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	holders := map[string]string{} // key -> tenant
	bytes := 0
	var first error
	fault := func(format string, args ...any) {
		if err := invalid(format, args...); first == nil || err.Error() < first.Error() {
			first = err
		}
	}
	look := func(rec Record) {
		bytes += size(rec)
		if !rec.Dropped && strings.HasPrefix(rec.Name, tenantPrefix) {
			t, err := reader.Tenant(rec)
			if err != nil {
				fault("%s: %v", rec.Name, err)
				return
			}
			for _, k := range t.APIKeys {
				if other, ok := holders[k]; ok && other != t.Name {
					fault("tenants %s and %s: apiKeys: they share a key", min(other, t.Name), max(other, t.Name))
				}
				holders[k] = t.Name
			}
		}
		if rec.Dropped || !strings.HasPrefix(rec.Name, routePrefix) {
			return
		}
		r, err := reader.Route(rec)
		if err != nil {
			fault("%s: %v", rec.Name, err)
			return
		}
		for _, t := range r.Targets() {
			if !stands(servicePrefix + t) {
				fault("route %s: target: unknown service %q", r.Name, t)
			}
		}
		at := place{r.Host, r.PathPrefix}
		if other, ok := places[at]; ok {
			fault("routes %s and %s: pathPrefix: same host and prefix", min(other, r.Name), max(other, r.Name))
		}
		places[at] = r.Name
	}
	for name, rec := range have {
		if _, ok := changed[name]; !ok {
			look(rec)
		}
	}
	for _, rec := range changes {
		if !rec.Erased {
			look(rec)
		}
	}
	if first == nil && bytes > MaxBytes {
		return apierror.New(apierror.BodyTooLarge, "the configuration would hold %d bytes, more than %d", bytes, MaxBytes)
	}
	return first
}
