package controlplane_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"madderwing/internal/controlplane"
	"madderwing/internal/gateway"
	"madderwing/internal/settings"
)

// freePorts finds n consecutive free ports below the ephemeral port range.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for try := 0; try < 200; try++ {
		base := 20000 + (os.Getpid()*7+try*n)%12000
		var listeners []net.Listener
		for i := 0; i < n; i++ {
			if l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", base+i)); err == nil {
				listeners = append(listeners, l)
			}
		}
		for _, l := range listeners {
			l.Close()
		}
		if len(listeners) == n {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

// system is a deployment under test, by the addresses of its control node and its gateway.
type system struct {
	control, front, ready string
	registry              string
	stopGateway           context.CancelFunc
	gatewayDone           chan error
	reload                chan *settings.Settings // of the gateway
	settings              *settings.Settings
}

// newSystem runs a control node and a gateway in one zone, with a fake platform that lists one
// upstream.
func newSystem(t *testing.T, upstream string) *system { return newSystemOf(t, upstream, "vip") }

func newSystemOf(t *testing.T, upstream, ingress string) *system {
	t.Helper()
	return newSystemWith(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[{"id":"i-1","target":"a","address":%q,"zone":"north","generation":"v1","capacity":4,"state":"ready","warmupLeftS":0}],"nextToken":null}`, upstream)
	}), ingress)
}

// newSystemWith runs a control node and a gateway with the given handler for the platform's list.
func newSystemWith(t *testing.T, list http.Handler, ingress string) *system {
	t.Helper()
	platform := httptest.NewServer(list)
	t.Cleanup(platform.Close)
	base := freePorts(t, 6)
	front, ready, control, registry := base+2, base+3, base+4, base+5
	text := fmt.Sprintf(`
node = "n-1"
ip = "127.0.0.1"
zone = "north"
internalPorts = [%d, %d]
seedNodes = ["127.0.0.1:%d"]
bootstrap = true
inQuorum = true
dataDir = %q
ingress = %q
[zones]
north = "home"
[bind]
front = "127.0.0.1:%d"
readiness = "127.0.0.1:%d"
control = "127.0.0.1:%d"
directory = "127.0.0.1:%d"
`+limitsAndBounds+`revocationGlobal = true
revokeS = 1
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 2
ttl_max_s = 5
[cloudApi]
address = %q
`, base, base+1, control, t.TempDir(), ingress, front, ready, control, registry, strings.TrimPrefix(platform.URL, "http://"))
	set, err := settings.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s := &system{registry: set.Bind.Directory, control: set.Bind.Control, front: set.Bind.Front, ready: set.Bind.Readiness, gatewayDone: make(chan error, 1),
		reload: make(chan *settings.Settings), settings: set}
	controlCtx, stopControlNode := context.WithCancel(context.Background())
	gatewayCtx, stopGateway := context.WithCancel(context.Background())
	s.stopGateway = stopGateway
	controlNodeDone := make(chan error, 1)
	go func() {
		controlNodeDone <- controlplane.Run(controlCtx, set, controlplane.Options{Shards: 1, RelistInterval: time.Minute}, nil)
	}()
	go func() { s.gatewayDone <- gateway.Run(gatewayCtx, set, gateway.Options{Shards: 1}, s.reload) }()
	t.Cleanup(func() {
		stopGateway()
		stopControlNode()
		if err := <-controlNodeDone; err != nil {
			t.Error(err)
		}
	})
	return s
}

func (s *system) call(t *testing.T, method, url, body string, header ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(b)
}

// callUntil repeats a call until it gets the wanted status, and returns the body.
func (s *system) callUntil(t *testing.T, wantStatus int, method, url, body string, header ...string) string {
	t.Helper()
	status, text := 0, ""
	for i := 0; i < 600; i++ {
		if status, text = s.call(t, method, url, body, header...); status == wantStatus {
			return text
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s %s: %d %s, want %d", method, url, status, text, wantStatus)
	return ""
}

const items = `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50,"note":"kept <as> sent"}],
 "domains":[{"authority":"h.example","hostRoutes":[{"name":"r","pathPrefix":"/p/","routeKind":"mutating","deadlineS":20,"target":"a","maxTries":2,"generation":1}]}]},"remove":{"routes":[]}}`

// A control node, a gateway and an upstream serve a configured route, and operators' calls take
// effect on it.
func TestSystem(t *testing.T) {
	arrived, answer := make(chan struct{}, 8), make(chan struct{}, 8)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			arrived <- struct{}{}
			<-answer
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "s")
		fmt.Fprint(w, r.Header.Get("Target-Instance"))
	}))
	defer upstream.Close()
	system := newSystem(t, strings.TrimPrefix(upstream.URL, "http://"))

	if status, _ := system.call(t, "GET", system.ready+"/v1/readiness", ""); status == 200 {
		t.Error("ready without any items")
	}
	system.callUntil(t, 200, "PATCH", system.control+"/v1/config", items)
	system.callUntil(t, 200, "GET", system.ready+"/v1/readiness", "")
	if got := system.callUntil(t, 200, "POST", system.front+"/p/x", "b", "Attempt-Id", "1"); got != "i-1" {
		t.Errorf("answered by %q", got)
	}
	if got := system.callUntil(t, 200, "GET", system.control+"/v1/config", ""); !strings.Contains(got, `kept \u003cas\u003e sent`) && !strings.Contains(got, "kept <as> sent") {
		t.Errorf("the stored configuration: %s", got)
	}
	for i := 0; ; i++ { // the scheduler places the route
		if strings.Contains(system.callUntil(t, 200, "GET", system.control+"/v1/admin/bindings", ""), `"phase": "scheduled"`) {
			break
		}
		if i > 600 {
			t.Fatal("the route is never scheduled")
		}
		time.Sleep(20 * time.Millisecond)
	}

	// A plan shows what a change would do. The delivery view shows when gateways have it.
	if got := system.callUntil(t, 200, "POST", system.control+"/v1/admin/plan", strings.Replace(items, `"maxTries":2,"generation":1`, `"maxTries":3,"generation":4`, 1)); !strings.Contains(got, `"item":"route/r","effect":"change","stands":1,"sent":4`) {
		t.Errorf("plan: %s", got)
	}
	for i := 0; !strings.Contains(system.callUntil(t, 200, "GET", system.control+"/v1/admin/delivery", ""), `"current": true`); i++ {
		if i > 200 {
			t.Fatal("the items are never delivered")
		}
		time.Sleep(50 * time.Millisecond)
	}

	for page, line := range map[string]string{system.ready: "madderwing_gateway_served_total 1\n", system.control: "madderwing_control_gateways_current 1\n"} {
		if got := system.callUntil(t, 200, "GET", page+"/metrics", ""); !strings.Contains(got, line) {
			t.Errorf("%q is not in %s", line, got)
		}
	}

	for name, test := range map[string]struct {
		method, path, body string
		status             int
		wantText           string
	}{
		"not JSON":               {"PATCH", "/v1/config", `{"upsert":`, 400, "invalid configuration"},
		"an invalid item":        {"PATCH", "/v1/config", strings.Replace(items, "mutating", "odd", 1), 400, "route r.routeKind"},
		"an unsupported method":  {"PUT", "/v1/config", items, 405, "PUT on /v1/config"},
		"unknown zone":           {"POST", "/v1/evacuation/nowhere", "", 404, "no such zone"},
		"a wrong method":         {"GET", "/v1/evacuation/north", "", 405, "method not allowed"},
		"unknown page":           {"GET", "/v2/config", "", 404, "no such page"},
		"unknown view":           {"GET", "/v1/admin/secrets", "", 404, "no such page"},
		"views are read-only":    {"POST", "/v1/admin/keys", "", 405, "method not allowed"},
		"a wrong plan":           {"POST", "/v1/admin/plan", `{"upsert":{"services":[{"name":"a"}]}}`, 400, "generation"},
		"an empty plan":          {"POST", "/v1/admin/plan", "", 400, "a plan needs a body"},
		"retire an unknown node": {"DELETE", "/v1/admin/members/ghost", "", 404, "no such node"},
		"retire the last voter":  {"DELETE", "/v1/admin/members/n-1", "", 409, "not as things stand"},
		"an older generation":    {"PATCH", "/v1/config", strings.NewReplacer("/p/", "/q/", `"generation":1`, `"generation":0`).Replace(items), 200, ""},
		"a generation in use":    {"PATCH", "/v1/config", strings.Replace(items, "/p/", "/q/", 1), 409, "route r: generation 1 "},
		"the same again":         {"PATCH", "/v1/config", items, 200, ""},
		"a plan with it":         {"POST", "/v1/admin/plan", strings.Replace(items, "/p/", "/q/", 1), 409, "route r: generation 1 "},
	} {
		status, text := system.call(t, test.method, system.control+test.path, test.body)
		if status != test.status || !strings.Contains(text, test.wantText) {
			t.Errorf("%s: %d %s", name, status, text)
		}
	}

	// An evacuated zone gets no requests; after the withdrawal it serves again.
	system.callUntil(t, 200, "POST", system.control+"/v1/evacuation/north", "")
	system.callUntil(t, 503, "POST", system.front+"/p/x", "b", "Attempt-Id", "2")
	system.callUntil(t, 200, "DELETE", system.control+"/v1/evacuation/north", "")
	system.callUntil(t, 200, "POST", system.front+"/p/x", "b", "Attempt-Id", "3")

	// A request in progress and its connection survive a reload of the settings and a change of the
	// limits.
	done := make(chan string, 1)
	startSlowRequest := func(id string) {
		go func() {
			status, text := system.call(t, "POST", system.front+"/p/slow", "b", "Attempt-Id", id)
			done <- fmt.Sprint(status, text)
		}()
		<-arrived
	}
	startSlowRequest("4")
	system.reload <- system.settings
	system.callUntil(t, 200, "PATCH", system.control+"/v1/config", `{"upsert":{"limits":{"generation":2,"maxHeaderBytes":9000,"maxBodyBytes":900000,"headerTimeoutS":2,"idleTimeoutS":9}}}`)
	for i := 0; !strings.Contains(system.callUntil(t, 200, "GET", system.control+"/v1/admin/delivery", ""), `"current": true`); i++ {
		if i > 200 {
			t.Fatal("the limits are never delivered")
		}
		time.Sleep(50 * time.Millisecond)
	}
	system.reload <- system.settings
	answer <- struct{}{}
	if got := <-done; got != "200i-1" {
		t.Errorf("request in progress during a reload: %s", got)
	}

	// A gateway that shuts down finishes its requests in progress.
	startSlowRequest("5")
	system.stopGateway()
	system.callUntil(t, 503, "GET", system.ready+"/v1/readiness", "")
	answer <- struct{}{}
	if got := <-done; got != "200i-1" {
		t.Errorf("request in progress during the shutdown: %s", got)
	}
	if err := <-system.gatewayDone; err != nil {
		t.Error(err)
	}
}

// A tenant is identified by its API key, its quota holds, and a removed key is no longer accepted.
func TestTenants(t *testing.T) {
	var seen atomic.Value
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Store(r.Header.Get("Tenant") + r.Header.Get("Authorization"))
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Server-Seal", "s")
	}))
	defer upstream.Close()
	system := newSystemOf(t, strings.TrimPrefix(upstream.URL, "http://"), "registry")
	const keyed = `{"upsert":{"tenants":[{"name":"team","apiKeys":["old","new"],"ratePerS":2,"burst":2,"generation":1}],` + "%s"
	system.callUntil(t, 200, "PATCH", system.control+"/v1/config", fmt.Sprintf(keyed, items[len(`{"upsert":{`):]))
	system.callUntil(t, 200, "GET", system.ready+"/v1/readiness", "")
	const resolvePath = "/v1/resolve?name=h.example&region=home&zone=north"
	if got := system.callUntil(t, 200, "GET", system.registry+resolvePath, ""); !strings.Contains(got, system.front) {
		t.Errorf("the registry resolves: %s", got)
	}
	if got := system.callUntil(t, 200, "GET", system.control+"/v1/admin/resolve?name=h.example&zone=north", ""); !strings.Contains(got, system.front) {
		t.Errorf("the administration API resolves: %s", got)
	}
	system.callUntil(t, 200, "POST", system.front+"/p/x", "b", "Attempt-Id", "1", "Authorization", "Bearer old")
	if got := seen.Load(); got != "team" {
		t.Errorf("the upstream saw %q", got)
	}
	if status, _ := system.call(t, "POST", system.front+"/p/x", "b", "Attempt-Id", "2"); status != 401 {
		t.Errorf("without a key: %d", status)
	}
	rejected := 0
	for i := 0; i < 20; i++ {
		if status, _ := system.call(t, "POST", system.front+"/p/x", "b", "Attempt-Id", "3", "Authorization", "Bearer new"); status == 429 {
			rejected++
		}
	}
	if rejected == 0 {
		t.Error("none of 20 requests at once exceeds a quota of 2 per second")
	}
	if got := system.callUntil(t, 200, "GET", system.control+"/v1/admin/overview", ""); !strings.Contains(got, `"tenant": "team"`) || strings.Contains(got, `"old"`) {
		t.Errorf("the overview shows no tenant, or its keys: %s", got)
	}

	// The removal of an API key is confirmed only once no gateway can still accept the key, which
	// takes longer than its delivery.
	withoutOldKey := `{"upsert":{"tenants":[{"name":"team","apiKeys":["new"],"ratePerS":2,"burst":2,"generation":2}]}}`
	if status, text := system.call(t, "PATCH", system.control+"/v1/config", withoutOldKey); status != 503 || !strings.Contains(text, "everywhere yet") {
		t.Errorf("at once: %d %s", status, text)
	}
	system.callUntil(t, 401, "POST", system.front+"/p/x", "b", "Attempt-Id", "4", "Authorization", "Bearer old")
	system.callUntil(t, 200, "PATCH", system.control+"/v1/config", withoutOldKey)
}
