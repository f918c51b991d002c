package controlplane

import (
	"slices"
	"testing"

	"madderwing/internal/config"
)

// What is shown never goes back to an older record, and only what is newer is passed on.
func TestConfigurationMergesOnlyNewerRecords(t *testing.T) {
	c := newConfiguration()
	record := func(name string, gen uint64, dropped bool) config.Record {
		return config.Record{Name: name, Gen: gen, Dropped: dropped}
	}
	const south, north = config.EvacuationPrefix + "south", config.EvacuationPrefix + "north"
	for _, test := range []struct {
		give []config.Record
		want []string
	}{
		{[]config.Record{record(south, 1, false), record(north, 2, false)}, []string{south, north}},
		{[]config.Record{record(south, 1, false), record(north, 1, true)}, nil},
		{[]config.Record{record("route/r", 1, false), record(south, 2, true)}, []string{"route/r", south}},
		{[]config.Record{record(south, 3, false)}, []string{south}},
	} {
		var got []string
		for _, r := range c.merge(test.give) {
			got = append(got, r.Name)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("of %v taken: %v, want %v", test.give, got, test.want)
		}
	}
	if got := c.evacuated(); !slices.Equal(got, []string{"north", "south"}) {
		t.Errorf("evacuated: %v", got)
	}
	c.merge([]config.Record{record(north, 3, true)})
	if got := c.evacuated(); !slices.Equal(got, []string{"south"}) {
		t.Errorf("evacuated, after one is taken back: %v", got)
	}
}
