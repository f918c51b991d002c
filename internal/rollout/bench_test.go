package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures the cost of the Splitter for one request on a gateway, without and with an
// active rollout.
func BenchmarkRequest(b *testing.B) {
	for _, active := range []bool{false, true} {
		for _, routes := range []int{10, 100, 1000, 4000} {
			b.Run(fmt.Sprintf("rollout=%v/routes=%d", active, routes), func(b *testing.B) {
				now := time.Duration(0)
				splitter := NewSplitter("n", time.Hour, func() time.Duration { now += time.Millisecond; return now })
				if active {
					splitter.SetPlans(map[string]Service{"s": {Plan: &Plan{Service: "s", Prior: "v1", Candidate: "v2", Order: 1, Generation: 1, Stage: Canary, Weight: 0.05}}})
				}
				names := make([]string, routes)
				for i := range names {
					names[i] = fmt.Sprint("route", i, " idempotent")
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					sample := splitter.Begin("s", names[i%routes], time.Second, false)
					sample.Sent(false)
					sample.End(Passed)
				}
			})
		}
	}
}

// BenchmarkGather measures adding up the reports of many gateways, which each control node
// does for those that report to it, and judging the sum, which the controller does.
func BenchmarkGather(b *testing.B) {
	for _, gateways := range []int{10, 100, 400, 1600} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			reports := map[string]Report{}
			for i := range gateways {
				s := Sums{}
				for k := uint8(0); k < Buckets; k++ {
					s[k] = Pair{makeCell(50, 1, 100*time.Millisecond), makeCell(10, 1, 200*time.Millisecond)}
				}
				reports[fmt.Sprint("gateway", i)] = Report{Service: "s", Gen: 1, Sums: s}
			}
			for b.Loop() {
				g := Gather("s", 1, reports)
				_ = Overall.Judge(g.Sums, Sums{})
			}
		})
	}
}
