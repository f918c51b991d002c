package controlplane

import (
	"maps"
	"slices"
	"strings"

	"madderwing/internal/antientropy"
	"madderwing/internal/config"
	"madderwing/internal/delivery"
)

// configuration is the committed configuration as this control node shows it to gateways: the
// records of all keys that hold items, evacuations or rollouts.
type configuration struct {
	published *antientropy.Set
	changes   delivery.ChangeLog // of what is shown
	reader    config.Reader
}

func newConfiguration() *configuration { return &configuration{published: antientropy.NewSet()} }

// merge takes over the committed records that are newer than what is shown, and returns them.
func (c *configuration) merge(records []config.Record) (taken []config.Record) {
	for _, r := range records {
		if old, have := c.published.Records[r.Name]; !have || r.Newer(old) {
			c.changes.Put(c.published, r)
			taken = append(taken, r)
		}
	}
	return taken
}

// replace makes the configuration's own records that are shown just those that are committed,
// without what has been forgotten, and says whether that changed anything.
func (c *configuration) replace(committed map[string]config.Record) (changed bool) {
	return config.Replace(c.published, antientropy.AllRanges(), slices.Collect(maps.Values(committed)))
}

// routes are the routes that are shown, with their placement.
func (c *configuration) routes() []*config.Route { return c.reader.List(c.published.Records) }

// hasService says whether a service is configured, as far as is known here.
func (c *configuration) hasService(name string) bool {
	return config.HasService(c.published.Records, name)
}

// evacuated names the zones that are evacuated, in order.
func (c *configuration) evacuated() []string {
	return c.zonesWhere(func(r config.Record) bool { return !r.Dropped })
}

// evacuatedInDoubt names the zones that are evacuated though all evacuations may have been withdrawn.
func (c *configuration) evacuatedInDoubt() []string { return c.zonesWhere(config.InDoubt) }

// zonesWhere names the zones whose records are so, in order.
func (c *configuration) zonesWhere(is func(config.Record) bool) []string {
	out := []string{}
	for name, r := range c.published.Records {
		if zone, ok := strings.CutPrefix(name, config.EvacuationPrefix); ok && is(r) {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}
