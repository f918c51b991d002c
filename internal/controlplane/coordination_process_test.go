package controlplane_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"madderwing/internal/controlplane"
)

// Every call is answered at every control node, and what one is told holds at all.
func TestCoordinationAtEveryControlNode(t *testing.T) {
	c := newControlCluster(t)
	callUntil := func(status, node int, method, path, body string) string {
		t.Helper()
		return c.callUntil(t, status, method, c.controlAddresses[node]+path, body)
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
		t.Errorf("token %d, then %d", fence, again)
	}
	callUntil(409, 2, "POST", "/v1/locks/l1", `{"owner":"b","holdS":30}`)
	lockBody := func(owner string) string { return fmt.Sprintf(`{"owner":%q,"fence":%d,"holdS":30}`, owner, fence) }
	callUntil(200, 3, "PUT", "/v1/locks/l1", lockBody("a"))
	callUntil(409, 0, "PUT", "/v1/locks/l1", lockBody("b"))
	if state := c.lockHolder(t, "l1"); state.Owner != "a" || state.Fence != fence {
		t.Errorf("the administration API shows %+v", state)
	}
	callUntil(200, 1, "DELETE", "/v1/locks/l1", lockBody("a"))
	callUntil(200, 2, "DELETE", "/v1/locks/l1", lockBody("a"))
	if next := field(callUntil(200, 3, "POST", "/v1/locks/l1", `{"owner":"b","holdS":30}`), "fence"); next <= fence {
		t.Errorf("token %d after %d", next, fence)
	}

	last := uint64(0)
	for node := range c.controlAddresses {
		value := field(callUntil(200, node, "POST", "/v1/numbers/n1", `{}`), "value")
		if value <= last {
			t.Errorf("%d after %d", value, last)
		}
		last = value
	}

	callUntil(404, 0, "GET", "/v1/cells/g1.a", "")
	if got := field(callUntil(200, 1, "GET", "/v1/watch/g1.?after=0&waitMs=2000", ""), "revision"); got != 0 {
		t.Errorf("revision %d of an empty group", got)
	}
	if got := field(callUntil(200, 0, "PUT", "/v1/cells/g1.a", `{"value":"x","enabled":0}`), "revision"); got != 1 {
		t.Errorf("revision %d", got)
	}
	if got := field(callUntil(412, 1, "PUT", "/v1/cells/g1.a", `{"value":"y","enabled":0}`), "revision"); got != 1 {
		t.Errorf("refused for revision %d", got)
	}
	watched := make(chan string, 1)
	go func() {
		_, body := c.call(t, "GET", c.controlAddresses[3]+"/v1/watch/g1.?after=1&waitMs=20000", "")
		watched <- body
	}()
	time.Sleep(100 * time.Millisecond)
	callUntil(200, 1, "PUT", "/v1/cells/g1.b", `{"value":"z"}`)
	const event = `{"events":[{"name":"g1.b","value":"z","revision":2}],"revision":2}`
	if got := <-watched; got != event {
		t.Errorf("a watch that waited: %s", got)
	}
	for node := range c.controlAddresses {
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

// lockView is a lock as the administration API shows it.
type lockView struct {
	Name, Owner string
	Fence       uint64
}

// lockHolder finds a lock at the owner of its partition.
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

// A control node that is cut off promises nothing: what may have been done is not answered 503.
func TestCoordinationAtAnIsolatedControlNode(t *testing.T) {
	c := newControlCluster(t)
	c.callUntil(t, 200, "PUT", c.controlAddresses[1]+"/v1/cells/g1.a", `{"value":"x"}`)
	c.callUntil(t, 200, "GET", c.controlAddresses[0]+"/v1/watch/g1.?after=1&waitMs=10", "")
	for i := 1; i < 4; i++ {
		controlplane.CutLink(c.peerAddresses[i], c.peerAddresses[0])
		controlplane.CutLink(c.peerAddresses[0], c.peerAddresses[i])
	}
	for _, call := range [][2]string{{"POST", "/v1/locks/l1"}, {"POST", "/v1/numbers/n1"}, {"PUT", "/v1/cells/g1.b"}} {
		begin := time.Now()
		status, _ := c.call(t, call[0], c.controlAddresses[0]+call[1], `{"owner":"a","holdS":3,"value":"y"}`)
		if status != 503 && status != 504 || time.Since(begin) > time.Second {
			t.Errorf("cut off: %s %s: %d after %v", call[0], call[1], status, time.Since(begin))
		}
	}
	if status, _ := c.call(t, "GET", c.controlAddresses[0]+"/v1/cells/g1.a", ""); status != 503 {
		t.Errorf("a read: %d", status)
	}
	c.callUntil(t, 503, "GET", c.controlAddresses[0]+"/v1/watch/g1.?after=1&waitMs=10000", "")
	controlplane.RestoreLinks()
	c.callUntil(t, 200, "GET", c.controlAddresses[0]+"/v1/cells/g1.a", "")
}
