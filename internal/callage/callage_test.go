package callage

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against calls that count as new after a restart, and against ages that grow by a restart.
func TestAgesGoOnAfterARestart(t *testing.T) {
	const s = time.Second
	dir := t.TempDir()
	var first Tracker
	first.Observe(100*s, "zone", []uint64{1})
	first.Observe(107*s, "zone", []uint64{1, 2})
	if err := Save(dir, first.Ages(108*s)); err != nil {
		t.Fatal(err)
	}
	ages, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	var second Tracker
	second.Restore(0, ages)
	if second.AnyWithin(0, 100*s) {
		t.Error("a call counts that no record names")
	}
	second.Observe(0, "zone", []uint64{1, 2})
	if !second.AnyWithin(0, s) || second.AnyWithin(0, s-1) {
		t.Error("the newest call is not 1 s old after the restart")
	}
	second.Observe(0, "zone", []uint64{1, 2, 3})
	for id, want := range map[uint64]time.Duration{1: 10 * s, 2: 3 * s, 3: 2 * s} {
		if age := second.Age(2*s, "zone", id); age != want {
			t.Errorf("call %d is %v old, want %v", id, age, want)
		}
	}
	second.Observe(3*s, "zone", []uint64{3})
	if n := second.Count("zone"); n != 1 {
		t.Errorf("%d calls are tracked", n)
	}
}

// A missing file means that no ages are known, and a damaged one is reported.
func TestLoadWithoutAReadableFile(t *testing.T) {
	dir := t.TempDir()
	if ages, err := Load(dir); err != nil || len(ages) > 0 {
		t.Errorf("%v, %v", ages, err)
	}
	if err := os.WriteFile(filepath.Join(dir, fileName), []byte("\xff"), 0o600); err != nil {
		t.Fatal(err)
	}
	if ages, err := Load(dir); err == nil || len(ages) > 0 {
		t.Errorf("%v, %v", ages, err)
	}
}
