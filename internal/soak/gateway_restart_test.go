package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// nestedHosts hosts have two routes each: one to booking, and one with a longer prefix to records.
	nestedHosts     = 3040
	nestedHostCalls = 4 // calls of the operator that add them
	// changedHosts hosts of the same kind are changed while gateways restart, changeHostsPerCall in each call.
	changedHosts       = 600
	changeHostsPerCall = 200

	gatewayRestarts    = 4
	gatewayDownTime    = 300 * time.Millisecond
	restartInterval    = 2 * time.Second
	controlPauseTime   = restartInterval / 2
	nestedRequestPause = 4 * time.Millisecond // of a client between two requests
)

// nestedDomain is the part of a configuration that describes a host with two routes.
func nestedDomain(host string, generation int) map[string]any {
	route := func(prefix, service string) map[string]any {
		return map[string]any{"name": "r-" + host + "-" + service, "pathPrefix": prefix, "routeKind": "idempotent", "deadlineS": 1,
			"targetLatencyS": 0.4, "priority": 2, "target": service, "maxTries": 2, "generation": generation}
	}
	return map[string]any{"authority": host + ".example", "hostRoutes": []any{route("/trips/", "booking"), route("/trips/records/", "records")}}
}

// sendNestedHosts sends the hosts name-first to name-(first+count-1), until a control node acknowledges them or
// ctx ends.
func (ops *operators) sendNestedHosts(ctx context.Context, name string, first, count, generation int) (acked bool) {
	var domains []any
	for n := range count {
		domains = append(domains, nestedDomain(fmt.Sprintf("%s-%d", name, first+n), generation))
	}
	body, _ := json.Marshal(map[string]any{"upsert": map[string]any{"domains": domains}, "remove": map[string]any{"routes": []any{}}})
	return ops.callUntilAcked(ctx, http.MethodPatch, "/v1/config", string(body), ops.cluster.machines)
}

// changeOtherHosts changes hosts that no client asks for, until ctx ends. It returns the number of calls that
// were acknowledged.
func (ops *operators) changeOtherHosts(ctx context.Context) (calls int) {
	for n := 0; ctx.Err() == nil; n++ {
		first := n * changeHostsPerCall % changedHosts
		if ops.sendNestedHosts(ctx, "changed", first, changeHostsPerCall, n+1) {
			calls++
		}
	}
	return calls
}

// nestedClients send requests for the longer prefixes to the gateways, and count the responses that came from
// the service of the shorter one.
type nestedClients struct {
	served, foreign atomic.Int64
	mu              sync.Mutex
	firstForeign    string
	lastServed      map[*machine]time.Time
}

// run sends requests to one gateway until ctx ends.
func (c *nestedClients) run(ctx context.Context, m *machine) {
	client := &http.Client{Timeout: routeDeadline, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, m.frontAddress())
		}}}
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, nestedRequestPause)
		host := fmt.Sprintf("fixed-%d.example", rand.IntN(nestedHosts))
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/trips/records/7", nil)
		req.Header.Set("Attempt-Id", fmt.Sprintf("m%d-n%d", m.index, n))
		req.Header.Set("Deadline-Left", "1000")
		res, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			c.record(m, host, res.Header.Get("Instance-Id"))
		}
	}
}

// record records a response of an upstream.
func (c *nestedClients) record(m *machine, host, upstreamID string) {
	c.served.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastServed[m] = time.Now()
	if strings.Contains(upstreamID, "-booking-") {
		c.foreign.Add(1)
		if c.firstForeign == "" {
			c.firstForeign = fmt.Sprintf("at %s a request for %s/trips/records/ was run by %s", m.name, host, upstreamID)
		}
	}
}

// awaitServed waits until a gateway serves again and returns when it did; zero if it does not within limit.
func (c *nestedClients) awaitServed(ctx context.Context, m *machine, since time.Time, limit time.Duration) time.Time {
	for time.Since(since) < limit && ctx.Err() == nil {
		c.mu.Lock()
		at := c.lastServed[m]
		c.mu.Unlock()
		if at.After(since) {
			return at
		}
		sleep(ctx, nestedRequestPause)
	}
	return time.Time{}
}

// gatewayRestartScenario is what else happens when a gateway is killed and started again.
type gatewayRestartScenario struct {
	name         string
	withControl  syscall.Signal // sent to the machine's control node too: SIGKILL, SIGSTOP for controlPauseTime, or 0
	allProcesses bool           // all processes are killed, not only the machine's
	changes      bool           // operators change other hosts all the while
}

// Guards against a gateway that has just started and serves with a part of the routes, so that requests run at
// the service of a shorter prefix, and against one that doesn't serve while the configuration keeps changing.
func TestRestartedGatewayServesNoPartOfTheRoutes(t *testing.T) {
	binary := build(t)
	slots := make(chan struct{}, defaultParallel)
	for _, scenario := range []gatewayRestartScenario{
		{name: "gateway killed"},
		{name: "gateway killed, changes", changes: true},
		{name: "machine killed, changes", withControl: syscall.SIGKILL, changes: true},
		{name: "gateway killed, control node stopped, changes", withControl: syscall.SIGSTOP, changes: true},
		{name: "all processes killed", allProcesses: true},
		{name: "all processes killed, changes", allProcesses: true, changes: true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			scenario.run(t, binary)
		})
	}
}

func (scenario gatewayRestartScenario) run(t *testing.T, binary string) {
	cluster := newTestCluster(t, binary, t.TempDir(), rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), len(zones))
	defer cluster.kill()
	env := newEnvironment(t, cluster)
	defer env.close()
	ops := startProcesses(t, cluster, env, cluster.processes())
	startCtx, cancel := context.WithTimeout(t.Context(), 2*recoveryS)
	defer cancel()
	for n := range nestedHostCalls {
		if count := nestedHosts / nestedHostCalls; !ops.sendNestedHosts(startCtx, "fixed", n*count, count, 1) {
			t.Fatal("the hosts were not acknowledged")
		}
	}
	sleep(t.Context(), contactS)

	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clients := &nestedClients{lastServed: map[*machine]time.Time{}}
	var actors sync.WaitGroup
	for _, m := range cluster.machines {
		actors.Go(func() { clients.run(ctx, m) })
	}
	var changes atomic.Int64
	if scenario.changes {
		actors.Go(func() { changes.Store(int64(ops.changeOtherHosts(ctx))) })
	}
	var slowest time.Duration
	for n := range gatewayRestarts {
		sleep(ctx, restartInterval)
		m := cluster.machines[n%len(cluster.machines)]
		startedAt := scenario.restart(cluster, m)
		servedAt := clients.awaitServed(ctx, m, startedAt, recoveryS)
		if servedAt.IsZero() {
			t.Errorf("%s served nothing within %v of its start", m.name, recoveryS)
		}
		slowest = max(slowest, servedAt.Sub(startedAt))
	}
	stop()
	actors.Wait()
	if clients.foreign.Load() > 0 {
		t.Errorf("ROUTE: %d requests ran at the service of the shorter prefix; first, %s", clients.foreign.Load(), clients.firstForeign)
	}
	t.Logf("%d responses of upstreams, %d changes acknowledged, the slowest start served after %.0f ms", clients.served.Load(), changes.Load(), milliseconds(slowest))
	if clients.served.Load() == 0 || scenario.changes && changes.Load() == 0 {
		t.Error("no request was served or no change was acknowledged")
	}
}

// restart kills a machine's gateway, and whatever else the scenario names, and starts it again. It returns when
// the gateway was started.
func (scenario gatewayRestartScenario) restart(cluster *testCluster, m *machine) time.Time {
	if scenario.allProcesses {
		cluster.killAll()
		time.Sleep(gatewayDownTime)
		for _, p := range cluster.processes() {
			cluster.start(p, false)
		}
		return time.Now()
	}
	var control sync.WaitGroup
	switch scenario.withControl {
	case syscall.SIGSTOP:
		go m.control.suspend(controlPauseTime)
	case syscall.SIGKILL:
		control.Go(func() { cluster.restart(m.control, syscall.SIGKILL, gatewayDownTime) })
	}
	cluster.restart(m.gateway, syscall.SIGKILL, gatewayDownTime)
	control.Wait()
	return time.Now()
}
