package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rollout orders a version and waits until its rollout is complete; false: it is not within the limit.
func rollOut(op *operator, service, version string, within, limit time.Duration) (bool, error) {
	body, _ := json.Marshal(map[string]any{"target": service, "targetVersion": version, "withinS": within.Seconds()})
	op.d.rec.line("operator: orders version %s of %s within %v", version, service, within)
	if _, err := op.until(6*time.Second, "POST", "/v1/rollouts", body); err != nil {
		return false, err
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		var state struct{ State, TargetVersion string }
		_, answer := op.call(op.targets[0], "GET", "/v1/rollouts/"+service, nil)
		if json.Unmarshal(answer, &state) == nil && state.TargetVersion == version && state.State == "complete" {
			return true, nil
		}
	}
	return false, nil
}

// again: a service is moved to a new version, back, and once more to the new version. Before the third
// order, every control process is killed at one moment.
func again(rec *record, trouble bool) (bool, error) {
	const service, within = "booking", 12 * time.Second
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
				case <-time.After(10 * time.Millisecond):
				}
				sent.Add(1)
				if status, _ := get(m.ip, "shop.example", "/"+service+"/7", fmt.Sprintf("%s-%d", m.name, i), nil, time.Second); status == 200 {
					ok.Add(1)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	running := append([]*upstream(nil), d.servers[service]...)
	start := func(version string, life int) error {
		var next []*upstream
		for _, z := range d.zones {
			s, err := d.startUpstream(u, service, z, version, fmt.Sprintf("i-%s-%s-%d-%s", service, version, life, z))
			if err != nil {
				return err
			}
			next = append(next, s)
		}
		running = append(running, next...)
		return nil
	}
	for life, version := range []string{"v2", "v1", "v2"} {
		old := append([]*upstream(nil), running...)
		running = nil
		if life == 2 && trouble {
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
		if err := start(version, life); err != nil {
			return false, err
		}
		time.Sleep(2500 * time.Millisecond)
		complete, err := rollOut(op, service, version, within, 20*time.Second)
		if err != nil {
			return false, err
		}
		if !complete && life < 2 {
			return false, setup("rollout %d was not complete", life+1)
		}
		if !complete {
			rec.line("the third order was acknowledged, and %v later its rollout has not begun or is not complete", 20*time.Second)
			break
		}
		for _, s := range old {
			s.crash(0)
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	third := 0
	for _, r := range u.runs {
		if r.version == "v2" && len(r.id) > 0 && r.id[:len("i-booking-v2-2")] == "i-booking-v2-2" {
			third++
		}
	}
	rec.line("sent %d, answered with 200 %d, run by the upstreams of the third order %d", sent.Load(), ok.Load(), third)
	fmt.Printf("sent %d, 200 %d, run by the upstreams of the third order %d\n", sent.Load(), ok.Load(), third)
	return third == 0, nil
}

func init() { cases["again"] = again }
