package main

import (
	"context"
	"time"
)

func init() { cases["2"] = founding }

// founding is the first start of a system, in the course of which one machine's processes are
// killed and started again.
func founding(ctx context.Context, f *fleet, trouble bool) bool {
	w := newWorld(f)
	_ = w
	// The machines start within 0.3 s of one another, the second seed first.
	second := f.nodes[1]
	f.start(second, "control", true)
	f.start(second, "gateway", true)
	killAt := time.Now().Add(250 * time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	for _, n := range []*node{f.nodes[3], f.nodes[2], f.nodes[0]} {
		if n == f.nodes[0] {
			if trouble {
				time.Sleep(time.Until(killAt))
				second.kill("control")
				second.kill("gateway")
			}
			time.Sleep(time.Until(killAt.Add(30 * time.Millisecond)))
		}
		f.start(n, "control", true)
		f.start(n, "gateway", true)
	}
	if trouble {
		// Started again after a short delay with the settings of that moment: the system as
		// a whole does not start for the first time any more.
		time.Sleep(time.Second)
		f.start(second, "control", false)
		f.start(second, "gateway", false)
	}
	time.Sleep(6 * time.Second)
	var addresses []string
	for _, n := range f.nodes {
		addresses = append(addresses, n.control())
	}
	taken := operate(ctx, addresses, "PATCH", "/v1/config", firstConfiguration, 40*time.Second)
	note("the first configuration was acknowledged: %v", taken)
	time.Sleep(4 * time.Second)
	n := served(load(ctx, f.nodes, "after", 20, 5*time.Second))
	note("%d requests were served", n)
	return !taken && n == 0
}
