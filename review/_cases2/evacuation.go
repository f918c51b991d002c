package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// smallDeployment starts four machines with a disk, one in each zone, each with a control node and a
// gateway, and two services with an upstream of each in every zone. The operator's first call has
// one route to each.
func smallDeployment(rec *record, change func(*deployment)) (*deployment, *upstreams, *operator, error) {
	zones := []string{"regina", "saskatoon", "winnipeg", "brandon"}
	d, err := newDeployment(rec, zones)
	if err != nil {
		return nil, nil, nil, err
	}
	if change != nil {
		change(d)
	}
	for _, z := range zones {
		d.add("edge-"+z+"-1", z, true)
	}
	u := &upstreams{}
	n := 0
	for _, s := range []string{"booking", "records"} {
		for _, z := range zones {
			n++
			if err := d.addUpstream(u, s, z, n); err != nil {
				d.end()
				return nil, nil, nil, err
			}
		}
	}
	op := newOperator(d, d.machines)
	start := func() error {
		if err := d.startAll(d.machines, d.machines); err != nil {
			return err
		}
		type m = map[string]any
		var services, routes []m
		for _, s := range []string{"booking", "records"} {
			services = append(services, m{"name": s, "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 7.9, "generation": 1})
			routes = append(routes, m{"name": "r-" + s, "pathPrefix": "/" + s + "/", "routeKind": "idempotent", "deadlineS": 1, "targetLatencyS": 0.4, "priority": 2, "target": s, "maxTries": 2, "generation": 1})
		}
		body, _ := json.Marshal(m{"upsert": m{"services": services, "domains": []m{{"authority": "shop.example", "hostRoutes": routes}},
			"limits": m{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15, "generation": 1}}, "remove": m{"routes": []m{}}})
		if _, err := op.until(15*time.Second, "PATCH", "/v1/config", body); err != nil {
			return err
		}
		return d.awaitReady(20*time.Second, d.machines)
	}
	if err := start(); err != nil {
		d.end()
		return nil, nil, nil, err
	}
	time.Sleep(3 * time.Second)
	return d, u, op, nil
}

// evacuated: two operators evacuate the same zone, long after one another; the second withdraws its
// evacuation. Between the two, every control process is killed at one moment.
func evacuated(rec *record, trouble bool) (bool, error) {
	const evacuateS, zone = 5 * time.Second, "winnipeg"
	d, u, first, err := smallDeployment(rec, nil)
	if err != nil {
		return false, err
	}
	defer d.end()
	second := newOperator(d, d.machines)
	zoneOf := map[string]string{} // by id of an upstream
	for _, i := range d.platform.instances {
		zoneOf[i["id"].(string)] = i["zone"].(string)
	}
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
				path := []string{"/booking/7", "/records/7"}[i%2]
				if status, _ := get(m.ip, "shop.example", path, fmt.Sprintf("%s-%d", m.name, i), nil, time.Second); status == 200 {
					ok.Add(1)
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	rec.line("first operator: evacuates %s", zone)
	if _, err := first.until(5*time.Second, "POST", "/v1/evacuation/"+zone, nil); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	time.Sleep(10 * time.Second)
	if trouble {
		for _, m := range d.machines {
			d.signal(m, "control", syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range d.machines {
			if err := d.start(m, "control", false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(2 * time.Second)
	rec.line("second operator: evacuates %s", zone)
	if _, err := second.until(5*time.Second, "POST", "/v1/evacuation/"+zone, nil); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	rec.line("second operator: withdraws its evacuation of %s", zone)
	if _, err := second.until(5*time.Second, "DELETE", "/v1/evacuation/"+zone, nil); err != nil {
		return false, err
	}
	time.Sleep(25 * time.Second)
	withdrawn := time.Now()
	rec.line("first operator: withdraws its evacuation of %s", zone)
	if _, err := first.until(5*time.Second, "DELETE", "/v1/evacuation/"+zone, nil); err != nil {
		return false, err
	}
	close(stop)
	clients.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	inZone := 0
	for _, r := range u.runs {
		if zoneOf[r.id] == zone && r.at.After(acknowledged.Add(evacuateS)) && r.at.Before(withdrawn) {
			if inZone++; inZone <= 20 {
				rec.line("at %.3f: %s in %s ran %s, %.1f s after the evacuation of the first operator was acknowledged", r.at.Sub(rec.began).Seconds(), r.id, zone, r.attempt, r.at.Sub(acknowledged).Seconds())
			}
		}
	}
	rec.line("sent %d, answered with 200 %d, run %d, of these in %s while the first operator's evacuation stood %d", sent.Load(), ok.Load(), len(u.runs), zone, inZone)
	fmt.Printf("sent %d, 200 %d, run in the evacuated zone %d\n", sent.Load(), ok.Load(), inZone)
	if ok.Load() == 0 {
		return false, setup("no request was served")
	}
	return inZone > 0, nil
}

func init() { cases["evacuated"] = evacuated }
