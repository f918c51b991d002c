package controlplane_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"madderwing/internal/controlplane"
	"madderwing/internal/settings"
)

// A relay redirects to one of four control nodes, each on its own address, also after that one shut
// down. One of the relay's seeds is the relay itself.
func TestRelayWithFourControlNodes(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[],"nextToken":null}`)
	}))
	t.Cleanup(platform.Close)
	base := freePorts(t, 4)
	control, registry := base+2, base+3
	start := func(i int, extraSettings string, seeds ...string) (stop func()) {
		return startNode(t, platform.URL, base, i, extraSettings, seeds...)
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.%d:%d", i, control) }
	stopByAddress := map[string]func(){}
	for i := 1; i <= 4; i++ {
		stopByAddress[address(i)] = start(i, fmt.Sprintf("dataDir = %q", t.TempDir()), address(1), address(2), address(3))
	}
	start(5, "", address(5), address(4))
	caller := &system{}
	picked := func() string {
		c := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		res, err := c.Get("http://" + address(5) + "/v1/config")
		if err != nil {
			return ""
		}
		res.Body.Close()
		if where, err := res.Location(); err == nil {
			return where.Host
		}
		if after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); res.StatusCode != http.StatusServiceUnavailable || after <= 0 {
			t.Errorf("no redirection, but %s %v", res.Status, res.Header)
		}
		return "none"
	}
	pickedUntil := func(what string, condition func(string) bool) (host string) {
		for range 600 {
			if host = picked(); condition(host) {
				return host
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Fatalf("%s: picked %q", what, host)
		return ""
	}

	const change = `{"upsert":{"services":[{"name":"a","generation":%d,"maxConns":50}]}}`
	caller.callUntil(t, 200, "PATCH", address(5)+"/v1/config", fmt.Sprintf(change, 1))
	if got := caller.callUntil(t, 200, "GET", address(3)+"/v1/config", ""); !strings.Contains(got, `"a"`) {
		t.Errorf("a control node has %s", got)
	}
	// All four control nodes are voters. The relay is not, and it is not listed.
	for i := 0; ; i++ {
		members := caller.callUntil(t, 200, "GET", address(5)+"/v1/admin/members", "")
		if strings.Contains(members, "127.0.0.5") {
			t.Fatalf("the relay is listed as a member: %s", members)
		}
		if strings.Count(members, `"seat": true`) == 4 {
			break
		}
		if i > 600 {
			t.Fatalf("not all control nodes are voters: %s", members)
		}
		time.Sleep(50 * time.Millisecond)
	}
	// The relay learns of control nodes only when it asks one for a call, so it is called
	// repeatedly.
	for i := 0; ; i++ {
		metrics := caller.callUntil(t, 200, "GET", address(5)+"/metrics", "")
		if strings.Contains(metrics, "madderwing_relay_control_nodes 4\n") {
			break
		}
		if i > 600 {
			t.Fatalf("metrics: %s", metrics)
		}
		caller.callUntil(t, 200, "GET", address(5)+"/v1/admin/members", "")
		time.Sleep(50 * time.Millisecond)
	}
	caller.callUntil(t, 503, "GET", net.JoinHostPort("127.0.0.5", strconv.Itoa(registry))+"/v1/resolve?name=h.example", "")

	first := pickedUntil("a control node", func(host string) bool { return stopByAddress[host] != nil })
	stopByAddress[first]()
	pickedUntil("another control node", func(host string) bool { return stopByAddress[host] != nil && host != first })
	caller.callUntil(t, 200, "PATCH", address(5)+"/v1/config", fmt.Sprintf(change, 2))
	for host, stop := range stopByAddress {
		if host != first {
			go stop()
		}
	}
	pickedUntil("none", func(host string) bool { return host == "none" })
}

// startNode runs a control node, or a relay if the extra settings name no dataDir, on
// 127.0.0.number until stop is called.
func startNode(t *testing.T, platform string, base, number int, extraSettings string, seeds ...string) (stop func()) {
	ip := fmt.Sprintf("127.0.0.%d", number)
	set, err := settings.Parse(fmt.Appendf(nil, `
node = "n-%d"
ip = %q
zone = "north"
internalPorts = [%d, %d]
seedNodes = ["%s"]
bootstrap = true
%s
[bind]
control = "%[2]s:%[7]d"
directory = "%[2]s:%[8]d"
`+limitsAndBounds+`[cloudApi]
address = %[9]q
`, number, ip, base, base+1, strings.Join(seeds, `", "`), extraSettings, base+2, base+3, strings.TrimPrefix(platform, "http://")))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- controlplane.Run(ctx, set, controlplane.Options{Shards: 1, RelistInterval: time.Minute}, nil)
	}()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(stop)
	return stop
}

// Some or all of the seeds may be relays. The cluster is still bootstrapped exactly once, and every
// control node becomes a voter.
func TestBootstrapWithRelaysAmongTheSeeds(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[],"nextToken":null}`)
	}))
	t.Cleanup(platform.Close)
	for name, relays := range map[string]map[int]bool{
		"the lowest seed":  {1: true},
		"the highest seed": {3: true},
		"all seeds":        {1: true, 2: true, 3: true},
	} {
		t.Run(name, func(t *testing.T) {
			base := freePorts(t, 4)
			address := func(i int) string { return fmt.Sprintf("127.0.0.%d:%d", i, base+2) }
			controlNodes := 0
			for i := 1; i <= 6; i++ {
				disk := ""
				if !relays[i] {
					disk = fmt.Sprintf("dataDir = %q", t.TempDir())
					controlNodes++
				}
				startNode(t, platform.URL, base, i, disk, address(1), address(2), address(3))
			}
			caller := &system{}
			caller.callUntil(t, 200, "PATCH", address(6)+"/v1/config", `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}]}}`)
			for i := 0; strings.Count(caller.callUntil(t, 200, "GET", address(4)+"/v1/admin/members", ""), `"seat": true`) != controlNodes; i++ {
				if i > 400 {
					t.Fatal(caller.callUntil(t, 200, "GET", address(4)+"/v1/admin/members", ""))
				}
				time.Sleep(50 * time.Millisecond)
			}
			caller.callUntil(t, 200, "GET", address(5)+"/v1/config", "")
		})
	}
}
