package main

import (
	"context"
	"time"
)

func init() { cases["1"] = evacuations }

// evacuations evacuates the zones one after the other and takes each back. The first answer to
// each evacuation is lost on its way, so that the operator sends the same order again. Then all
// processes are killed and started again, as on a day that closes so.
func evacuations(ctx context.Context, f *fleet, trouble bool) bool {
	newWorld(f)
	f.startAll(true)
	time.Sleep(6 * time.Second)
	var proxies []*lossy
	var addresses []string
	for _, n := range f.nodes {
		p := newLossy(n.ip+":0", n.control())
		proxies = append(proxies, p)
		addresses = append(addresses, p.address)
	}
	if !operate(ctx, addresses, "PATCH", "/v1/config", firstConfiguration, 10*time.Second) {
		unable("the first configuration is not taken")
	}
	time.Sleep(3 * time.Second)
	before := load(ctx, f.nodes, "before", 25, 15*time.Second)
	if served(before) < len(before)*9/10 {
		unable("the fleet does not serve")
	}
	for _, z := range zones {
		for _, p := range proxies {
			p.set(trouble)
		}
		// One answer is lost; once it is, the others pass.
		ok := operate(ctx, addresses[:1], "POST", "/v1/evacuation/"+z, "", 0)
		for _, p := range proxies {
			p.set(false)
		}
		if !ok {
			time.Sleep(100 * time.Millisecond)
			ok = operate(ctx, addresses[1:], "POST", "/v1/evacuation/"+z, "", 5*time.Second)
		}
		time.Sleep(2 * time.Second)
		if !ok || !operate(ctx, addresses, "DELETE", "/v1/evacuation/"+z, "", 5*time.Second) {
			unable("an order is not acknowledged")
		}
		time.Sleep(time.Second)
	}
	between := load(ctx, f.nodes, "between", 25, 4*time.Second)
	all := append(before, between...)
	if served(all) < len(all)/4 {
		unable("less than a quarter was served before the closing fault")
	}
	for _, n := range f.nodes {
		n.kill("control")
		n.kill("gateway")
	}
	time.Sleep(time.Second)
	f.startAll(false)
	time.Sleep(15 * time.Second) // recoveryS
	after := load(ctx, f.nodes, "after", 25, 8*time.Second)
	note("%d of %d requests were served that were sent later than recoveryS after the machines were back", served(after), len(after))
	return served(after) < len(after)/4
}
