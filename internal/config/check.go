package config

import (
	"strings"

	"madderwing/internal/apierror"
)

// This file validates the configuration that would result from a change.

// MaxBytes is the maximum size of the catalogue, which has to fit into one message between control nodes.
const MaxBytes = 12 << 20

// recordBytes is the approximate size of a record in a message, apart from its name and data.
const recordBytes = 64

// check validates the configuration that results from changes. Of several errors it returns the first in
// alphabetical order, so that the error does not depend on map order.
func check(records map[string]Record, changes []Record, decoder *Decoder) error {
	changed := make(map[string]Record, len(changes))
	for _, record := range changes {
		changed[record.Name] = record
	}
	exists := func(name string) bool {
		record, ok := changed[name]
		if !ok {
			record, ok = records[name]
		}
		return ok && !record.Dropped
	}
	type hostPrefix struct{ host, prefix string }
	routeAt := map[hostPrefix]string{}
	tenantWithKey := map[string]string{} // API key -> tenant
	totalBytes := 0
	var firstErr error
	report := func(format string, args ...any) {
		if err := invalid(format, args...); firstErr == nil || err.Error() < firstErr.Error() {
			firstErr = err
		}
	}
	checkRecord := func(record Record) {
		totalBytes += approxSize(record)
		if !record.Dropped && strings.HasPrefix(record.Name, tenantPrefix) {
			tenant, err := decoder.Tenant(record)
			if err != nil {
				report("%s: %v", record.Name, err)
				return
			}
			for _, apiKey := range tenant.APIKeys {
				if other, ok := tenantWithKey[apiKey]; ok && other != tenant.Name {
					report("tenants %s and %s: apiKeys: they share a key", min(other, tenant.Name), max(other, tenant.Name))
				}
				tenantWithKey[apiKey] = tenant.Name
			}
		}
		if record.Dropped || !strings.HasPrefix(record.Name, routePrefix) {
			return
		}
		route, err := decoder.Route(record)
		if err != nil {
			report("%s: %v", record.Name, err)
			return
		}
		for _, target := range route.Targets() {
			if !exists(servicePrefix + target) {
				report("route %s: target: unknown service %q", route.Name, target)
			}
		}
		key := hostPrefix{route.Host, route.PathPrefix}
		if other, ok := routeAt[key]; ok {
			report("routes %s and %s: pathPrefix: same host and prefix", min(other, route.Name), max(other, route.Name))
		}
		routeAt[key] = route.Name
	}
	for name, record := range records {
		if _, ok := changed[name]; !ok {
			checkRecord(record)
		}
	}
	for _, record := range changes {
		if !record.Erased {
			checkRecord(record)
		}
	}
	if firstErr == nil && totalBytes > MaxBytes {
		return apierror.New(apierror.BodyTooLarge, "the configuration would hold %d bytes, more than %d", totalBytes, MaxBytes)
	}
	return firstErr
}
