package controlplane_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"madderwing/internal/controlplane"
	"madderwing/internal/settings"
)

// threeNodeCluster runs three control nodes, each with its own disk and zone.
type threeNodeCluster struct {
	system
	controlAddresses, peerAddresses [3]string
	start                           [3]func() // starts a node
	stop                            [3]func() // stops a node and waits for it
}

func newThreeNodeCluster(t *testing.T) *threeNodeCluster {
	t.Helper()
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[],"nextToken":null}`)
	}))
	t.Cleanup(platform.Close)
	base := freePorts(t, 3)
	c := &threeNodeCluster{}
	var seeds []string
	for i := range c.controlAddresses {
		c.controlAddresses[i] = fmt.Sprintf("127.0.0.%d:%d", i+1, base+2)
		seeds = append(seeds, fmt.Sprintf("%q", c.controlAddresses[i]))
	}
	for i := range c.controlAddresses {
		dir, bootstrap := t.TempDir(), true
		c.start[i] = func() {
			set, err := settings.Parse([]byte(fmt.Sprintf(`
node = "n-%d"
ip = "127.0.0.%[1]d"
zone = "z-%[1]d"
internalPorts = [%[2]d, %d]
seedNodes = [%s]
bootstrap = %v
inQuorum = true
dataDir = %q
ingress = "vip"
[zones]
z-1 = "home"
z-2 = "home"
z-3 = "home"
[bind]
control = %q
`+limitsAndBounds+`[cloudApi]
address = %q
`, i+1, base, base+1, strings.Join(seeds, ","), bootstrap, dir, c.controlAddresses[i], strings.TrimPrefix(platform.URL, "http://"))))
			if err != nil {
				t.Fatal(err)
			}
			bootstrap = false
			c.peerAddresses[i] = set.ControlAddress(set.IP)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				done <- controlplane.Run(ctx, set, controlplane.Options{Shards: 1, RelistInterval: time.Minute}, nil)
			}()
			c.stop[i] = sync.OnceFunc(func() {
				cancel()
				if err := <-done; err != nil {
					t.Error(err)
				}
			})
		}
		c.start[i]()
		t.Cleanup(func() { c.stop[i]() })
	}
	return c
}

// patchUntilAnswered sends a change to a node until the answer says whether it was applied, as an
// operator does.
func (c *threeNodeCluster) patchUntilAnswered(t *testing.T, node int, body string) (int, string) {
	t.Helper()
	status, text := 0, ""
	for range 600 {
		if status, text = c.call(t, "PATCH", c.controlAddresses[node]+"/v1/config", body); status != 0 && status < 500 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return status, text
}

// owner returns the index of the node that owns the configuration.
func (c *threeNodeCluster) owner(t *testing.T) int {
	t.Helper()
	for range 600 {
		var overview controlplane.Overview
		if _, text := c.call(t, "GET", c.controlAddresses[0]+"/v1/admin/overview", ""); json.Unmarshal([]byte(text), &overview) == nil {
			for _, partition := range overview.Partitions {
				for i, address := range c.peerAddresses {
					if partition.Partition == "catalogue" && partition.Owner == address {
						return i
					}
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the configuration has no owner")
	return 0
}

// Two operators send different contents with the same generation to two nodes at once. One change
// is accepted and the other refused. Every node answers the same from then on, also after the owner
// was down and came back with its disk.
func TestConflictingChangesWithOneGeneration(t *testing.T) {
	cluster := newThreeNodeCluster(t)
	for i := range cluster.controlAddresses {
		if status, text := cluster.patchUntilAnswered(t, i, items); status != 200 {
			t.Fatalf("the first change, at node %d: %d %s", i, status, text)
		}
	}
	bodies := [2]string{
		`{"upsert":{"services":[{"name":"a","generation":5,"maxConns":10}]}}`,
		`{"upsert":{"services":[{"name":"b","generation":5}]},"remove":{"services":[{"name":"a","generation":5}],"routes":[{"name":"r","generation":5}]}}`,
	}
	statuses := [2]int{}
	var group sync.WaitGroup
	for i, body := range bodies {
		group.Go(func() { statuses[i], _ = cluster.patchUntilAnswered(t, i+1, body) })
	}
	group.Wait()
	if min(statuses[0], statuses[1]) != 200 || max(statuses[0], statuses[1]) != 409 {
		t.Fatalf("the two changes got %v, want 200 and 409", statuses)
	}
	checkEverywhere := func(occasion string) {
		t.Helper()
		for node := range cluster.controlAddresses {
			for i, body := range bodies {
				status, text := cluster.patchUntilAnswered(t, node, body)
				if status != statuses[i] || status == 409 && !strings.Contains(text, "service a: generation 5 ") {
					t.Errorf("%s, operator %d at node %d: %d %s, want %d", occasion, i, node, status, text, statuses[i])
				}
			}
			text := cluster.callUntil(t, 200, "GET", cluster.controlAddresses[node]+"/v1/config", "")
			if taken := strings.Contains(text, `"maxConns":10`); taken != (statuses[0] == 200) || strings.Contains(text, `"name":"b"`) == taken {
				t.Errorf("%s, node %d holds %s", occasion, node, text)
			}
		}
	}
	checkEverywhere("at once")
	oldOwner := cluster.owner(t)
	cluster.stop[oldOwner]()
	for i, body := range bodies { // answered by the new owner
		if status, text := cluster.patchUntilAnswered(t, (oldOwner+1)%3, body); status != statuses[i] {
			t.Errorf("without the old owner, operator %d: %d %s, want %d", i, status, text, statuses[i])
		}
	}
	cluster.start[oldOwner]()
	checkEverywhere("after the owner came back")

	// The accepted change of a lower generation is still known, whichever node owns the
	// configuration.
	if status, text := cluster.patchUntilAnswered(t, oldOwner, `{"upsert":{"services":[{"name":"a","generation":8}]}}`); status != 200 {
		t.Fatalf("a higher generation: %d %s", status, text)
	}
	for i, body := range bodies {
		if status, text := cluster.patchUntilAnswered(t, (oldOwner+2)%3, body); status != statuses[i] {
			t.Errorf("below a higher generation, operator %d: %d %s, want %d", i, status, text, statuses[i])
		}
	}
}
