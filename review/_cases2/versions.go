package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// versions: upstreams of a new version of a service run beside the old ones, and nobody has ordered a
// rollout. All upstreams of the old version crash and come back a few seconds later.
func versions(rec *record, trouble bool) (bool, error) {
	const service = "booking"
	d, u, op, err := smallDeployment(rec, func(d *deployment) {
		d.parts = ",\"health\",\"pool\",\"rollout\""
		d.bounds = map[string]string{"contactS": "5", "ackS": "6", "catchUpS": "6", "drainS": "3", "configApplyS": "3", "stretchMaxS": "10", "retrySlack": "190",
			"exposureShare": "0.1", "exposureSlack": "50", "rollbackS": "5", "warmupSlack": "8"}
	})
	if err != nil {
		return false, err
	}
	defer d.end()
	var sent, ok atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range d.machines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				sent.Add(1)
				if status, _ := get(m.ip, "shop.example", "/"+service+"/7", fmt.Sprintf("%s-%d", m.name, i), nil, time.Second); status == 200 {
					ok.Add(1)
				}
			}
		}()
	}
	time.Sleep(5 * time.Second)
	for _, z := range d.zones {
		if _, err := d.startUpstream(u, service, z, "v2", "i-"+service+"-v2-"+z); err != nil {
			return false, err
		}
	}
	rec.line("upstreams of v2 of %s run beside those of v1; nobody has ordered a rollout", service)
	time.Sleep(8 * time.Second)
	if trouble {
		for _, s := range d.servers[service] {
			s.crash(2 * time.Second)
		}
		time.Sleep(4500 * time.Millisecond)
		for _, z := range d.zones {
			if _, err := d.startUpstream(u, service, z, "v1", "i-"+service+"-again-"+z); err != nil {
				return false, err
			}
		}
		rec.line("upstreams of v1 of %s are back", service)
	}
	time.Sleep(15 * time.Second)
	close(stop)
	clients.Wait()
	status, _ := op.call(d.machines[0], "GET", "/v1/rollouts/"+service, nil)
	rec.line("state of the rollout of %s: status %d", service, status)
	u.mu.Lock()
	defer u.mu.Unlock()
	byVersion := map[string]int{}
	for _, r := range u.runs {
		byVersion[r.version]++
		if r.version == "v2" && byVersion["v2"] <= 20 {
			rec.line("at %.3f: %s (v2) ran %s", r.at.Sub(rec.began).Seconds(), r.id, r.attempt)
		}
	}
	rec.line("sent %d, answered with 200 %d, run by v1 %d, by v2 %d", sent.Load(), ok.Load(), byVersion["v1"], byVersion["v2"])
	if n := len(u.runs); n > 0 {
		rec.line("the last request of all was run by %s at %.3f", u.runs[n-1].version, u.runs[n-1].at.Sub(rec.began).Seconds())
	}
	fmt.Printf("sent %d, 200 %d, run by v1 %d, by v2 %d\n", sent.Load(), ok.Load(), byVersion["v1"], byVersion["v2"])
	if ok.Load() == 0 {
		return false, setup("no request was served")
	}
	return byVersion["v2"] > 0, nil
}

func init() { cases["versions"] = versions }
