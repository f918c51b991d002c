package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// partial: a gateway that is killed and starts again serves requests while it has only a part of the
// routes, and so sends some to the service of a shorter prefix. All routes come with the first call.
func partial(rec *record, trouble bool) (bool, error) {
	zones := []string{"regina", "saskatoon", "winnipeg", "brandon"}
	d, err := newDeployment(rec, zones)
	if err != nil {
		return false, err
	}
	defer d.end()
	for _, z := range zones {
		d.add("edge-"+z+"-1", z, true)
	}
	u := &upstreams{}
	for i, z := range zones {
		for _, s := range []string{"booking", "records"} {
			if err := d.addUpstream(u, s, z, i); err != nil {
				return false, err
			}
		}
	}
	if err := d.startAll(d.machines, d.machines); err != nil {
		return false, err
	}
	const hosts, calls = 3040, 4 // two routes each, in calls of 1,520 routes
	name := func(n int) string {
		const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
		b := make([]byte, n)
		for i := range b {
			b[i] = letters[rand.IntN(len(letters))]
		}
		return string(b)
	}
	type m = map[string]any
	var domains []m
	var hostNames, prefixes []string
	for range hosts {
		host, prefix := name(10)+".example", "/"+name(7)+"/"
		hostNames, prefixes = append(hostNames, host), append(prefixes, prefix)
		route := func(prefix, target string) m {
			return m{"name": "r-" + name(8), "pathPrefix": prefix, "routeKind": "idempotent", "deadlineS": 1, "targetLatencyS": 0.4, "priority": 2, "target": target, "maxTries": 2, "generation": 1}
		}
		domains = append(domains, m{"authority": host, "hostRoutes": []m{route(prefix, "booking"), route(prefix+"records/", "records")}})
	}
	var services []m
	for _, s := range []string{"booking", "records"} {
		services = append(services, m{"name": s, "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 7.9, "generation": 1})
	}
	op := newOperator(d, d.machines)
	for call := range calls {
		upsert := m{"domains": domains[call*hosts/calls : (call+1)*hosts/calls]}
		if call == 0 {
			upsert["services"] = services
			upsert["limits"] = m{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15, "generation": 1}
		}
		body, _ := json.Marshal(m{"upsert": upsert, "remove": m{"routes": []m{}}})
		rec.line("call %d: %d bytes, %d routes", call, len(body), 2*hosts/calls)
		if _, err := op.until(15*time.Second, "PATCH", "/v1/config", body); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(20*time.Second, d.machines); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	// Clients of each zone ask for records at the zone's gateway, for as long as the platform sends
	// connections there.
	var sent, foreign, ok atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for z, gateway := range d.machines {
		entry := d.watchReadiness(gateway)
		for c := range 2 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(4 * time.Millisecond):
					}
					if !entry.open() {
						continue
					}
					h := rand.IntN(hosts)
					attempt := fmt.Sprintf("c%d-%d-%d", z, c, i)
					sent.Add(1)
					status, answer := get(gateway.ip, hostNames[h], prefixes[h]+"records/7", attempt, nil, time.Second)
					if status == 200 {
						ok.Add(1)
					}
					if status == 200 && !strings.HasPrefix(answer, "i-records-") {
						foreign.Add(1)
						rec.line("client %s got from %s%srecords/7 at %s: 200 %s", attempt, hostNames[h], prefixes[h], gateway.name, strings.TrimSpace(answer))
					}
				}
			}()
		}
	}
	for kill := range 12 {
		time.Sleep(2500 * time.Millisecond)
		if trouble {
			gateway := d.machines[kill%len(d.machines)]
			d.signal(gateway, "gateway", syscall.SIGKILL)
			time.Sleep(300 * time.Millisecond)
			if err := d.start(gateway, "gateway", false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	wrong := 0
	for _, r := range u.runs {
		if r.service == "booking" && strings.Contains(r.path, "/records/") {
			wrong++
			rec.line("upstream %s of booking ran %s for %s%s", r.id, r.attempt, r.host, r.path)
		}
	}
	rec.line("sent %d, answered with 200 %d, answers of the wrong service %d; runs %d, at the wrong service %d", sent.Load(), ok.Load(), foreign.Load(), len(u.runs), wrong)
	fmt.Printf("sent %d, 200 %d, foreign %d, wrong runs %d\n", sent.Load(), ok.Load(), foreign.Load(), wrong)
	if ok.Load() == 0 {
		return false, setup("no request was served")
	}
	return wrong > 0, nil
}
