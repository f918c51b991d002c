// Package metrics writes counters and gauges in the Prometheus text format. Metrics have no
// labels, so their number is bounded.
package metrics

import (
	"bytes"
	"sort"
	"unicode"

	"github.com/VictoriaMetrics/metrics"
)

// WriteCounters writes counters, sorted by name. The metric name is made of the part and the counter's
// key in snake case, as in madderwing_desk_requests_total.
func WriteCounters(w *bytes.Buffer, part string, counters map[string]uint64) {
	names := make([]string, 0, len(counters))
	for name := range counters {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, n := range names {
		metrics.WriteCounterUint64(w, "madderwing_"+part+"_"+snakeCase(n)+"_total", counters[n])
	}
}

// WriteGauge writes the current value of a gauge.
func WriteGauge(w *bytes.Buffer, part, name string, value uint64) {
	metrics.WriteGaugeUint64(w, "madderwing_"+part+"_"+snakeCase(name), value)
}

func snakeCase(s string) string {
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
