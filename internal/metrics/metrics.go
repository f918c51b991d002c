// Package metrics writes counters in the text form that monitoring systems scrape.
// There is one line for each counter and no label with values without bound.
package metrics

import (
	"bytes"
	"sort"
	"unicode"

	"github.com/VictoriaMetrics/metrics"
)

// Write writes counters under names like madderwing_desk_requests_total.
func Write(w *bytes.Buffer, part string, counters map[string]uint64) {
	names := make([]string, 0, len(counters))
	for n := range counters {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		metrics.WriteCounterUint64(w, "madderwing_"+part+"_"+snake(n)+"_total", counters[n])
	}
}

// Gauge writes one value that may fall.
func Gauge(w *bytes.Buffer, part, name string, value uint64) {
	metrics.WriteGaugeUint64(w, "madderwing_"+part+"_"+snake(name), value)
}

func snake(s string) string {
	var out []rune
	for _, r := range s {
		if unicode.IsUpper(r) {
			out = append(out, '_')
			r = unicode.ToLower(r)
		}
		out = append(out, r)
	}
	return string(out)
}
