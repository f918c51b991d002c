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
func check(records map[string]Record, changes []Record, reader *Reader) error {
	changed := make(map[string]Record, len(changes))
	for _, route := range changes {
		changed[route.Name] = route
	}
	exists := func(name string) bool {
		route, ok := changed[name]
		if !ok {
			route, ok = records[name]
		}
		return ok && !route.Dropped
	}
	type place struct{ host, prefix string }
	routeAt := map[place]string{}
	tenantWithKey := map[string]string{} // key -> tenant
	totalBytes := 0
	var firstErr error
	report := func(format string, args ...any) {
		if err := invalid(format, args...); firstErr == nil || err.Error() < firstErr.Error() {
			firstErr = err
		}
	}
	checkRecord := func(rec Record) {
		totalBytes += size(rec)
		if !rec.Dropped && strings.HasPrefix(rec.Name, tenantPrefix) {
			tenant, err := reader.Tenant(rec)
			if err != nil {
				report("%s: %v", rec.Name, err)
				return
			}
			for _, k := range tenant.APIKeys {
				if other, ok := tenantWithKey[k]; ok && other != tenant.Name {
					report("tenants %s and %s: apiKeys: they share a key", min(other, tenant.Name), max(other, tenant.Name))
				}
				tenantWithKey[k] = tenant.Name
			}
		}
		if rec.Dropped || !strings.HasPrefix(rec.Name, routePrefix) {
			return
		}
		route, err := reader.Route(rec)
		if err != nil {
			report("%s: %v", rec.Name, err)
			return
		}
		for _, tenant := range route.Targets() {
			if !exists(servicePrefix + tenant) {
				report("route %s: target: unknown service %q", route.Name, tenant)
			}
		}
		key := place{route.Host, route.PathPrefix}
		if other, ok := routeAt[key]; ok {
			report("routes %s and %s: pathPrefix: same host and prefix", min(other, route.Name), max(other, route.Name))
		}
		routeAt[key] = route.Name
	}
	for name, rec := range records {
		if _, ok := changed[name]; !ok {
			checkRecord(rec)
		}
	}
	for _, rec := range changes {
		if !rec.Erased {
			checkRecord(rec)
		}
	}
	if firstErr == nil && totalBytes > MaxBytes {
		return apierror.New(apierror.BodyTooLarge, "the configuration would hold %d bytes, more than %d", totalBytes, MaxBytes)
	}
	return firstErr
}
