package desk

import "testing"

func TestReadiness(t *testing.T) {
	believed := func(r *readiness) bool {
		select {
		case <-r.believed:
			return true
		default:
			return false
		}
	}
	confirmed := true
	r := newReadiness(func() bool { return confirmed })
	for i, c := range []struct {
		name     string
		change   func()
		ok, gone bool
	}{
		{"nothing known", func() {}, false, false},
		{"items", func() { r.known.Store(true) }, false, false},
		{"and the list", func() { r.listed.Store(true) }, true, false},
		{"keys in doubt", func() { confirmed = false }, false, false},
		{"still in doubt", func() {}, false, false}, // no sign that it leaves
		{"keys sure", func() { confirmed = true }, true, false},
		{"leaving, first miss", func() { r.leaving.Store(true) }, false, false},
		{"second miss", func() {}, false, true},
		{"third miss", func() {}, false, true},
	} {
		c.change()
		if ok := r.asked(); ok != c.ok || believed(r) != c.gone {
			t.Errorf("%d, %s: ready %v, believed gone %v", i, c.name, ok, believed(r))
		}
	}
}
