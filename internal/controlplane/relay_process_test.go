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

// Four control nodes and a relay, each on an address of its own. One of the relay's seeds is
// the relay itself.
func TestRelayWithFourControlNodes(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[],"nextToken":null}`)
	}))
	t.Cleanup(platform.Close)
	base := freePorts(t, 4)
	control, registry := base+2, base+3
	startNode := func(i int, more string, seeds ...string) (stop func()) {
		return startNode(t, platform.URL, base, i, more, seeds...)
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.%d:%d", i, control) }
	leave := map[string]func(){}
	for i := 1; i <= 4; i++ {
		leave[address(i)] = startNode(i, fmt.Sprintf("dataDir = %q", t.TempDir()), address(1), address(2), address(3))
	}
	startNode(5, "", address(5), address(4))
	s := &system{}
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
	s.callUntil(t, 200, "PATCH", address(5)+"/v1/config", fmt.Sprintf(change, 1))
	if got := s.callUntil(t, 200, "GET", address(3)+"/v1/config", ""); !strings.Contains(got, `"a"`) {
		t.Errorf("a control node has %s", got)
	}
	// All four have a seat; the relay has none and is in no list.
	for i := 0; ; i++ {
		members := s.callUntil(t, 200, "GET", address(5)+"/v1/admin/members", "")
		if strings.Contains(members, "127.0.0.5") {
			t.Fatalf("the relay is in the register: %s", members)
		}
		if strings.Count(members, `"seat": true`) == 4 {
			break
		}
		if i > 600 {
			t.Fatalf("seats: %s", members)
		}
		time.Sleep(50 * time.Millisecond)
	}
	// The relay learns of control nodes from the answers to its questions, so it is called again.
	for i := 0; ; i++ {
		metrics := s.callUntil(t, 200, "GET", address(5)+"/metrics", "")
		if strings.Contains(metrics, "madderwing_relay_control_nodes 4\n") {
			break
		}
		if i > 600 {
			t.Fatalf("metrics: %s", metrics)
		}
		s.callUntil(t, 200, "GET", address(5)+"/v1/admin/members", "")
		time.Sleep(50 * time.Millisecond)
	}
	s.callUntil(t, 503, "GET", net.JoinHostPort("127.0.0.5", strconv.Itoa(registry))+"/v1/resolve?name=h.example", "")

	first := pickedUntil("a control node", func(host string) bool { return leave[host] != nil })
	leave[first]()
	pickedUntil("another control node", func(host string) bool { return leave[host] != nil && host != first })
	s.callUntil(t, 200, "PATCH", address(5)+"/v1/config", fmt.Sprintf(change, 2))
	for host, stop := range leave {
		if host != first {
			go stop()
		}
	}
	pickedUntil("none", func(host string) bool { return host == "none" })
}

// startNode runs a control node or a relay on 127.0.0.i until it is told to leave.
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
	go func() { done <- controlplane.Run(ctx, set, controlplane.Options{Shards: 1, Relist: time.Minute}, nil) }()
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

// Seeds may be machines without a disk, all of them even; the system is founded once, and
// every control node gets its seat.
func TestBootstrapWithRelaysAmongTheSeeds(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[],"nextToken":null}`)
	}))
	t.Cleanup(platform.Close)
	for name, relays := range map[string]map[int]bool{
		"the lowest":  {1: true},
		"the highest": {3: true},
		"all":         {1: true, 2: true, 3: true},
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
			s := &system{}
			s.callUntil(t, 200, "PATCH", address(6)+"/v1/config", `{"upsert":{"services":[{"name":"a","generation":1,"maxConns":50}]}}`)
			for i := 0; strings.Count(s.callUntil(t, 200, "GET", address(4)+"/v1/admin/members", ""), `"seat": true`) != controlNodes; i++ {
				if i > 400 {
					t.Fatal(s.callUntil(t, 200, "GET", address(4)+"/v1/admin/members", ""))
				}
				time.Sleep(50 * time.Millisecond)
			}
			s.callUntil(t, 200, "GET", address(5)+"/v1/config", "")
		})
	}
}
