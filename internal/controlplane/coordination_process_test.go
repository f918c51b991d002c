package controlplane_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"madderwing/internal/controlplane"
)

// Every control node answers every kind of call, and each sees the effects of calls to the others.
func TestCoordinationAtEveryControlNode(t *testing.T) {
	cluster := newControlCluster(t)
	callUntil := func(status, node int, method, path, body string) string {
		t.Helper()
		return cluster.callUntil(t, status, method, cluster.controlAddresses[node]+path, body)
	}
	field := func(text, name string) uint64 {
		t.Helper()
		var answer map[string]any
		if err := json.Unmarshal([]byte(text), &answer); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		value, _ := answer[name].(float64)
		return uint64(value)
	}

	fence := field(callUntil(200, 0, "POST", "/v1/locks/l1", `{"owner":"a","holdS":30}`), "fence")
	if again := field(callUntil(200, 1, "POST", "/v1/locks/l1", `{"owner":"a","holdS":30}`), "fence"); again != fence || fence == 0 {
		t.Errorf("fencing token %d, then %d for the same owner", fence, again)
	}
	callUntil(409, 2, "POST", "/v1/locks/l1", `{"owner":"b","holdS":30}`)
	lockBody := func(owner string) string { return fmt.Sprintf(`{"owner":%q,"fence":%d,"holdS":30}`, owner, fence) }
	callUntil(200, 3, "PUT", "/v1/locks/l1", lockBody("a"))
	callUntil(409, 0, "PUT", "/v1/locks/l1", lockBody("b"))
	if state := cluster.lockHolder(t, "l1"); state.Owner != "a" || state.Fence != fence {
		t.Errorf("the administration API shows the lock as %+v", state)
	}
	callUntil(200, 1, "DELETE", "/v1/locks/l1", lockBody("a"))
	callUntil(200, 2, "DELETE", "/v1/locks/l1", lockBody("a"))
	if next := field(callUntil(200, 3, "POST", "/v1/locks/l1", `{"owner":"b","holdS":30}`), "fence"); next <= fence {
		t.Errorf("fencing token %d after %d", next, fence)
	}

	last := uint64(0)
	for node := range cluster.controlAddresses {
		value := field(callUntil(200, node, "POST", "/v1/numbers/n1", `{}`), "value")
		if value <= last {
			t.Errorf("value %d after %d", value, last)
		}
		last = value
	}

	callUntil(404, 0, "GET", "/v1/cells/g1.a", "")
	if got := field(callUntil(200, 1, "GET", "/v1/watch/g1.?after=0&waitMs=2000", ""), "revision"); got != 0 {
		t.Errorf("revision %d of an empty group", got)
	}
	if got := field(callUntil(200, 0, "PUT", "/v1/cells/g1.a", `{"value":"x","enabled":0}`), "revision"); got != 1 {
		t.Errorf("the first write gets revision %d", got)
	}
	if got := field(callUntil(412, 1, "PUT", "/v1/cells/g1.a", `{"value":"y","enabled":0}`), "revision"); got != 1 {
		t.Errorf("refused with revision %d, want 1", got)
	}
	watched := make(chan string, 1)
	go func() {
		_, body := cluster.call(t, "GET", cluster.controlAddresses[3]+"/v1/watch/g1.?after=1&waitMs=20000", "")
		watched <- body
	}()
	time.Sleep(100 * time.Millisecond)
	callUntil(200, 1, "PUT", "/v1/cells/g1.b", `{"value":"z"}`)
	const event = `{"events":[{"name":"g1.b","value":"z","revision":2}],"revision":2}`
	if got := <-watched; got != event {
		t.Errorf("a waiting watch: %s", got)
	}
	for node := range cluster.controlAddresses {
		if got := callUntil(200, node, "GET", "/v1/watch/g1.?after=1&waitMs=2000", ""); got != event {
			t.Errorf("a watch at node %d: %s", node, got)
		}
	}
	if got := callUntil(200, 2, "GET", "/v1/watch/g1.?after=2&waitMs=50", ""); got != `{"events":[],"revision":2}` {
		t.Errorf("a watch without events: %s", got)
	}
	if got := callUntil(200, 0, "GET", "/v1/cells/g1.b", ""); got != `{"value":"z","revision":2}` {
		t.Errorf("a read: %s", got)
	}
	if got := callUntil(200, 1, "GET", "/metrics", ""); !strings.Contains(got, "madderwing_coordination_calls_put412_total") {
		t.Errorf("no count of refused puts in %s", got)
	}
}

// lockView is the part of the administration API's view of a lock that these tests check.
type lockView struct {
	Name, Owner string
	Fence       uint64
}

// lockHolder returns a lock as the owner of its partition shows it.
func (c *controlCluster) lockHolder(t *testing.T, lock string) lockView {
	t.Helper()
	for i := range c.controlAddresses {
		var state struct{ Partitions []struct{ Locks []lockView } }
		if err := json.Unmarshal([]byte(c.callUntil(t, 200, "GET", c.controlAddresses[i]+"/v1/admin/coordination", "")), &state); err != nil {
			t.Fatal(err)
		}
		for _, p := range state.Partitions {
			for _, l := range p.Locks {
				if l.Name == lock {
					return l
				}
			}
		}
	}
	return lockView{}
}

// An isolated control node grants nothing and answers in time: 503 for a call that was not
// executed, 504 for one that may have been.
func TestCoordinationAtAnIsolatedControlNode(t *testing.T) {
	cluster := newControlCluster(t)
	cluster.callUntil(t, 200, "PUT", cluster.controlAddresses[1]+"/v1/cells/g1.a", `{"value":"x"}`)
	cluster.callUntil(t, 200, "GET", cluster.controlAddresses[0]+"/v1/watch/g1.?after=1&waitMs=10", "")
	for i := 1; i < 4; i++ {
		controlplane.CutLink(cluster.peerAddresses[i], cluster.peerAddresses[0])
		controlplane.CutLink(cluster.peerAddresses[0], cluster.peerAddresses[i])
	}
	for _, call := range [][2]string{{"POST", "/v1/locks/l1"}, {"POST", "/v1/numbers/n1"}, {"PUT", "/v1/cells/g1.b"}} {
		start := time.Now()
		status, _ := cluster.call(t, call[0], cluster.controlAddresses[0]+call[1], `{"owner":"a","holdS":3,"value":"y"}`)
		if status != 503 && status != 504 || time.Since(start) > time.Second {
			t.Errorf("isolated: %s %s: %d after %v", call[0], call[1], status, time.Since(start))
		}
	}
	if status, _ := cluster.call(t, "GET", cluster.controlAddresses[0]+"/v1/cells/g1.a", ""); status != 503 {
		t.Errorf("a read: %d", status)
	}
	cluster.callUntil(t, 503, "GET", cluster.controlAddresses[0]+"/v1/watch/g1.?after=1&waitMs=10000", "")
	controlplane.RestoreLinks()
	cluster.callUntil(t, 200, "GET", cluster.controlAddresses[0]+"/v1/cells/g1.a", "")
}
