package controlplane_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"madderwing/internal/controlplane"
	"madderwing/internal/gateway"
	"madderwing/internal/settings"
)

// controlCluster runs four control nodes, each with its own address and zone, and a gateway on the
// address of the first.
type controlCluster struct {
	*system
	controlAddresses  []string // operators' API, by control node
	registryAddresses []string
	peerAddresses     []string // for messages between nodes
}

func newControlCluster(t *testing.T) *controlCluster {
	return newControlClusterWith(t, func() string { return "ready" })
}

// newControlClusterWith starts a cluster whose platform lists one upstream, in the state that the
// function returns.
func newControlClusterWith(t *testing.T, upstreamState func() string) *controlCluster {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[{"id":"i-1","target":"a","address":"127.0.0.1:1","zone":"z1","generation":"v1","capacity":4,"state":%q,"warmupLeftS":0}],"nextToken":null}`, upstreamState())
	}))
	t.Cleanup(platform.Close)
	base := freePorts(t, 6)
	c := &controlCluster{system: &system{gatewayDone: make(chan error, 1)}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 5)
	for i := 1; i <= 4; i++ {
		ip := fmt.Sprintf("127.0.0.%d", i)
		set, err := settings.Parse([]byte(fmt.Sprintf(`
node = "n-%d"
ip = %q
zone = "z%d"
internalPorts = [%d, %d]
seedNodes = ["127.0.0.1:%d", "127.0.0.2:%[6]d", "127.0.0.3:%[6]d"]
bootstrap = true
inQuorum = true
dataDir = %q
ingress = "registry"
[zones]
z1 = "home"
z2 = "home"
z3 = "home"
z4 = "home"
[bind]
front = "%[2]s:%[8]d"
readiness = "%[2]s:%[9]d"
control = "%[2]s:%[6]d"
directory = "%[2]s:%[10]d"
`+limitsAndBounds+`revocationGlobal = true
revokeS = 60
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 2
ttl_max_s = 5
[cloudApi]
address = %[11]q
`, i, ip, i, base, base+1, base+4, t.TempDir(), base+2, base+3, base+5, strings.TrimPrefix(platform.URL, "http://"))))
		if err != nil {
			t.Fatal(err)
		}
		c.controlAddresses, c.registryAddresses, c.peerAddresses = append(c.controlAddresses, set.Bind.Control), append(c.registryAddresses, set.Bind.Directory), append(c.peerAddresses, set.ControlAddress(ip))
		go func() {
			done <- controlplane.Run(ctx, set, controlplane.Options{Shards: 1, RelistInterval: time.Minute}, nil)
		}()
		if i == 1 {
			c.ready = set.Bind.Readiness
			go func() { done <- gateway.Run(ctx, set, gateway.Options{Shards: 1}, nil) }()
		}
	}
	t.Cleanup(func() {
		controlplane.RestoreLinks()
		cancel()
		for range 5 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return c
}

// watchers returns how many nodes watch a control node, by its own counters.
func (c *controlCluster) watchers(t *testing.T, i int) int {
	var n struct{ Watchers int }
	if err := json.Unmarshal([]byte(c.callUntil(t, 200, "GET", c.controlAddresses[i]+"/v1/admin/counters", "")), &n); err != nil {
		t.Fatal(err)
	}
	return n.Watchers
}

// gauge returns the value of a gauge of a control node; empty if there is none.
func (c *controlCluster) gauge(t *testing.T, i int, name string) string {
	for _, line := range strings.Split(c.callUntil(t, 200, "GET", c.controlAddresses[i]+"/metrics", ""), "\n") {
		if rest, ok := strings.CutPrefix(line, "madderwing_control_"+name+" "); ok {
			return rest
		}
	}
	return ""
}

func (c *controlCluster) waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for i := 0; !condition(); i++ {
		if i > 600 {
			t.Fatalf("timed out waiting for: %s", event)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A control node without a majority refuses calls that need its confirmation, still shows views,
// and serves again after the links are restored.
func TestIsolatedControlNodeConfirmsNothing(t *testing.T) {
	cluster := newControlCluster(t)
	for i := range cluster.controlAddresses {
		cluster.waitFor(t, fmt.Sprintf("control node %d is in contact", i+1), func() bool { return cluster.gauge(t, i, "in_contact") == "1" })
	}
	cluster.waitFor(t, "four voters", func() bool {
		return strings.Count(cluster.callUntil(t, 200, "GET", cluster.controlAddresses[0]+"/v1/admin/members", ""), `"seat": true`) == 4
	})
	cluster.callUntil(t, 200, "PATCH", cluster.controlAddresses[3]+"/v1/config", items)
	cluster.callUntil(t, 200, "GET", cluster.ready+"/v1/readiness", "")
	cluster.waitFor(t, "the gateway watches the control node beside it", func() bool { return cluster.watchers(t, 0) > 0 })
	const order = `{"target":"a","targetVersion":"v2","withinS":60}`
	cluster.callUntil(t, 200, "POST", cluster.controlAddresses[1]+"/v1/rollouts", order)
	cluster.callUntil(t, 200, "GET", cluster.controlAddresses[0]+"/v1/rollouts/a", "")
	cluster.callUntil(t, 200, "GET", cluster.registryAddresses[0]+"/v1/resolve?name=h.example&zone=z1", "")

	// The links to the control node are cut before those from it, so that for a moment it can send
	// but not receive.
	for i := 1; i < 4; i++ {
		controlplane.CutLink(cluster.peerAddresses[i], cluster.peerAddresses[0])
	}
	for i := 1; i < 4; i++ {
		controlplane.CutLink(cluster.peerAddresses[0], cluster.peerAddresses[i])
	}
	removed := `{"remove":{"routes":[{"name":"r","generation":2}]}}`
	cluster.callUntil(t, 200, "PATCH", cluster.controlAddresses[2]+"/v1/config", removed)
	type call struct {
		method, path, body string
		afterRestore       int // status after the links were restored
	}
	calls := []call{
		{"GET", "/v1/config", "", 200},
		{"PATCH", "/v1/config", removed, 200},
		{"PATCH", "/v1/config", items, 200}, // older than the stored generations
		{"PATCH", "/v1/config", strings.NewReplacer(`"name":"r"`, `"name":"r2"`, `"target":"a"`, `"target":"new"`).Replace(items), 400}, // invalid against the published configuration
		{"POST", "/v1/evacuation/z2", "", 200},
		{"DELETE", "/v1/evacuation/z2", "", 200},
		{"POST", "/v1/evacuation/new", "", 404},
		{"POST", "/v1/rollouts", order, 200},
		{"POST", "/v1/rollouts", strings.Replace(order, "v2", "v3", 1), 409},
		{"POST", "/v1/rollouts", strings.Replace(order, `"a"`, `"new"`, 1), 404},
		{"GET", "/v1/rollouts/a", "", 200},
		{"GET", "/v1/rollouts/new", "", 404},
		{"GET", "/v1/admin/rollouts/a", "", 200},
		{"DELETE", "/v1/rollouts/a", "", 200},
		{"DELETE", "/v1/rollouts/new", "", 404},
		{"POST", "/v1/admin/plan", items, 200},
		{"DELETE", "/v1/admin/members/new", "", 404},
	}
	for _, step := range calls {
		res, err := send(cluster.controlAddresses[0], step.method, step.path, step.body)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
			t.Errorf("isolated: %s %s %s: %d, Retry-After %q", step.method, step.path, step.body, res.StatusCode, res.Header.Get("Retry-After"))
		}
	}
	cluster.waitFor(t, "the gauge shows the lost contact", func() bool { return cluster.gauge(t, 0, "in_contact") == "0" })
	cluster.callUntil(t, 503, "GET", cluster.registryAddresses[0]+"/v1/resolve?name=h.example&zone=z1", "")
	cluster.callUntil(t, 503, "GET", cluster.controlAddresses[0]+"/v1/admin/resolve?name=h.example&zone=z1", "")
	cluster.waitFor(t, "the gateway no longer watches the isolated control node", func() bool { return cluster.watchers(t, 0) == 0 })
	if status, _ := cluster.call(t, "GET", cluster.ready+"/v1/readiness", ""); status != 200 {
		t.Errorf("readiness of the gateway while its control node is isolated: %d", status)
	}
	// Views are still served, with their age.
	res, err := send(cluster.controlAddresses[0], "GET", "/v1/admin/keys", "")
	if err != nil {
		t.Fatal(err)
	}
	if age, err := strconv.Atoi(res.Header.Get("Age")); res.StatusCode != 200 || err != nil || age < 2 {
		t.Errorf("a view while isolated: %d, Age %q", res.StatusCode, res.Header.Get("Age"))
	}
	if got := cluster.callUntil(t, 200, "GET", cluster.controlAddresses[0]+"/v1/admin/summary", ""); !strings.Contains(got, `"fresh": false`) {
		t.Errorf("summary: %s", got)
	}
	if got := cluster.gauge(t, 1, "in_contact"); got != "1" {
		t.Errorf("in_contact of another control node: %q", got)
	}

	controlplane.RestoreLinks()
	cluster.waitFor(t, "control node 1 is in contact again", func() bool { return cluster.gauge(t, 0, "in_contact") == "1" })
	for _, step := range calls {
		cluster.callUntil(t, step.afterRestore, step.method, cluster.controlAddresses[0]+step.path, step.body)
	}
	cluster.callUntil(t, 200, "GET", cluster.registryAddresses[0]+"/v1/resolve?name=h.example&zone=z1", "")
	cluster.waitFor(t, "the gateway watches the control node again", func() bool { return cluster.watchers(t, 0) > 0 })
}

// A configuration that is sent in several parts reaches a gateway, and so do later changes to it.
func TestLargeConfigurationReachesAGateway(t *testing.T) {
	cluster := newControlCluster(t)
	cluster.callUntil(t, 200, "PATCH", cluster.controlAddresses[1]+"/v1/config", items)
	var routes strings.Builder
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 3000 {
		fmt.Fprintf(&routes, `,{"name":"r-%x","pathPrefix":"/%x/","routeKind":"idempotent","deadlineS":1.5,"targetLatencyS":0.6,"priority":2,"target":"a","maxTries":2,"generation":1}`, i, rng.Uint64())
	}
	cluster.callUntil(t, 200, "PATCH", cluster.controlAddresses[2]+"/v1/config", `{"upsert":{"domains":[{"authority":"large.example","hostRoutes":[`+routes.String()[1:]+`]}]}}`)
	current := func() bool {
		got := cluster.callUntil(t, 200, "GET", cluster.controlAddresses[0]+"/v1/admin/delivery", "")
		return strings.Contains(got, `"current": true`) && !strings.Contains(got, `"current": false`)
	}
	routeCount := func() string { return cluster.gauge(t, 0, "routes") }
	cluster.waitFor(t, "all routes are known", func() bool { return routeCount() == "3001" })
	cluster.waitFor(t, "the gateway has the newest items", current)
	cluster.callUntil(t, 200, "PATCH", cluster.controlAddresses[1]+"/v1/config", `{"remove":{"routes":[{"name":"r-7","generation":2}]}}`)
	cluster.waitFor(t, "the removed route is gone", func() bool { return routeCount() == "3000" })
	cluster.waitFor(t, "the gateway has the newest items again", current)
}

func send(host, method, path, body string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		res.Body.Close()
	}
	return res, err
}
