package controlplane

import (
	"maps"
	"slices"
	"strings"

	"madderwing/internal/antientropy"
	"madderwing/internal/config"
	"madderwing/internal/delivery"
)

// configuration is the committed configuration as this control node publishes it to gateways: the
// records of all partitions that hold items (routes, services, tenants), evacuations or rollouts.
type configuration struct {
	published *antientropy.Set
	changes   delivery.ChangeLog // to published
	decoder   config.Decoder
}

func newConfiguration() *configuration { return &configuration{published: antientropy.NewSet()} }

// merge publishes the committed records that are newer than the published ones, and returns them.
func (c *configuration) merge(records []config.Record) (newer []config.Record) {
	for _, r := range records {
		if old, have := c.published.Records[r.Name]; !have || r.Newer(old) {
			c.changes.Put(c.published, r)
			newer = append(newer, r)
		}
	}
	return newer
}

// replace makes the published records of the configuration's partition match the committed ones,
// without those that were erased, and reports whether anything changed.
func (c *configuration) replace(committed map[string]config.Record) (changed bool) {
	return config.ReplaceRecords(c.published, antientropy.AllRanges(), slices.Collect(maps.Values(committed)))
}

// routes lists the published routes with their placement.
func (c *configuration) routes() []*config.Route { return c.decoder.Routes(c.published.Records) }

// hasService reports whether a service is configured, as far as this node knows.
func (c *configuration) hasService(name string) bool {
	return config.HasService(c.published.Records, name)
}

// evacuated lists the evacuated zones, in order.
func (c *configuration) evacuated() []string {
	return c.zonesWhere(func(r config.Record) bool { return !r.Dropped })
}

// evacuatedInDoubt lists the zones that are evacuated although all their evacuations may have been
// withdrawn.
func (c *configuration) evacuatedInDoubt() []string { return c.zonesWhere(config.InDoubt) }

// zonesWhere lists the zones whose records satisfy a condition, in order.
func (c *configuration) zonesWhere(condition func(config.Record) bool) []string {
	out := []string{}
	for name, r := range c.published.Records {
		if zone, ok := strings.CutPrefix(name, config.EvacuationPrefix); ok && condition(r) {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}
