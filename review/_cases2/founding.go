package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// founding: on the first start of the system all seeds are control nodes without a disk. Their control
// processes are killed soon after the start and started again.
func founding(rec *record, trouble bool) (bool, error) {
	zones := []string{"regina", "saskatoon", "winnipeg", "brandon"}
	d, err := newDeployment(rec, zones)
	if err != nil {
		return false, err
	}
	defer d.end()
	d.relaySeeds = true
	for _, z := range zones {
		d.add("edge-"+z+"-1", z, true)
	}
	for _, z := range zones {
		d.add("edge-"+z+"-2", z, false)
	}
	u := &upstreams{}
	for i, z := range zones {
		if err := d.addUpstream(u, "booking", z, i); err != nil {
			return false, err
		}
	}
	if err := d.startAll(d.machines, d.machines); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(30 * time.Millisecond)
		seeds := d.machines[4:7]
		for _, m := range seeds {
			d.signal(m, "control", syscall.SIGKILL)
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range seeds {
			if err := d.start(m, "control", false); err != nil {
				return false, err
			}
		}
	}
	type m = map[string]any
	body, _ := json.Marshal(m{"upsert": m{"services": []m{{"name": "booking", "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 7.9, "generation": 1}},
		"domains": []m{{"authority": "shop.example", "hostRoutes": []m{{"name": "r-booking", "pathPrefix": "/booking/", "routeKind": "idempotent", "deadlineS": 1, "targetLatencyS": 0.4, "priority": 2, "target": "booking", "maxTries": 2, "generation": 1}}}},
		"limits":  m{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15, "generation": 1}}, "remove": m{"routes": []m{}}})
	op := newOperator(d, d.machines)
	_, callErr := op.until(40*time.Second, "PATCH", "/v1/config", body)
	if callErr == nil {
		time.Sleep(5 * time.Second)
	}
	served, sent := 0, 0
	for range 5 {
		for _, m := range d.machines {
			sent++
			attempt := fmt.Sprintf("c-%d", sent)
			status, answer := get(m.ip, "shop.example", "/booking/7", attempt, nil, time.Second)
			rec.line("client %s at %s: %d %.60q", attempt, m.name, status, answer)
			if status == 200 {
				served++
			}
		}
	}
	rec.line("first configuration acknowledged: %v; requests sent %d, served %d", callErr == nil, sent, served)
	fmt.Printf("acknowledged %v, sent %d, served %d\n", callErr == nil, sent, served)
	return callErr != nil && served == 0, nil
}

func init() { cases["founding"] = founding }
