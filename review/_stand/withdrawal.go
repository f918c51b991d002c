package main

import (
	"context"
	"strings"
	"time"
)

func init() { cases["4"] = withdrawal }

const evacuateS = 5 * time.Second

// withdrawal has two operators evacuate the same zone, and one of them withdraw. The first answer to
// the withdrawal is lost on its way, so that this operator sends the same order again.
func withdrawal(ctx context.Context, f *fleet, trouble bool) bool {
	w := newWorld(f)
	f.startAll(true)
	time.Sleep(6 * time.Second)
	var addresses []string
	for _, n := range f.nodes {
		addresses = append(addresses, n.control())
	}
	proxy := newLossy(f.nodes[0].ip+":0", f.nodes[0].control())
	if !operate(ctx, addresses, "PATCH", "/v1/config", firstConfiguration, 10*time.Second) {
		unable("the first configuration is not taken")
	}
	time.Sleep(4 * time.Second)
	zone := zones[3]
	path := "/v1/evacuation/" + zone
	for _, operator := range []string{"one", "two"} {
		note("operator %s:", operator)
		if !operate(ctx, addresses, "POST", path, "", 5*time.Second) {
			unable("an evacuation is not acknowledged")
		}
		time.Sleep(2 * time.Second)
	}
	acknowledged := time.Now()
	time.Sleep(evacuateS)
	load(ctx, f.nodes, "evacuated-twice", 50, 3*time.Second)
	if w.ranIn(zone, acknowledged.Add(evacuateS)) > 0 {
		unable("the zone is not evacuated")
	}
	note("operator one:")
	proxy.set(trouble)
	if !operate(ctx, []string{proxy.address}, "DELETE", path, "", 0) {
		time.Sleep(100 * time.Millisecond)
		if !operate(ctx, addresses[1:], "DELETE", path, "", 5*time.Second) {
			unable("the withdrawal is not acknowledged")
		}
	}
	load(ctx, f.nodes, "withdrawn-once", 50, 10*time.Second)
	n := w.ranIn(zone, acknowledged.Add(evacuateS))
	note("%d requests reached the zone that operator two has evacuated and not taken back", n)
	return n > 0
}

// ranIn counts the requests that reached the upstreams of a zone later than a time.
func (w *world) ranIn(zone string, from time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, where := range w.where {
		if strings.HasPrefix(where, "i-"+zone+"-") && w.at[id].After(from) {
			n++
		}
	}
	return n
}
