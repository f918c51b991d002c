package controlplane

import (
	"slices"
	"testing"

	"madderwing/internal/config"
)

// merge never replaces a published record by an older one, and returns only the records that are
// newer than the published ones.
func TestConfigurationMergesOnlyNewerRecords(t *testing.T) {
	published := newConfiguration()
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
		for _, r := range published.merge(test.give) {
			got = append(got, r.Name)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("merge(%v) returned %v, want %v", test.give, got, test.want)
		}
	}
	if got := published.evacuated(); !slices.Equal(got, []string{"north", "south"}) {
		t.Errorf("evacuated: %v", got)
	}
	published.merge([]config.Record{record(north, 3, true)})
	if got := published.evacuated(); !slices.Equal(got, []string{"south"}) {
		t.Errorf("evacuated after one withdrawal: %v", got)
	}
}
