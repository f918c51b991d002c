package controlplane_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"madderwing/internal/controlplane"
)

// owner is the control node that owns the configuration.
func (c *core) owner(t *testing.T) (owner int) {
	t.Helper()
	c.wait(t, "the configuration has an owner", func() bool {
		var keys []controlplane.Key
		if err := json.Unmarshal([]byte(c.until(t, 200, "GET", c.control[1]+"/v1/admin/keys", "")), &keys); err != nil {
			t.Fatal(err)
		}
		for _, k := range keys {
			for i, address := range c.post {
				if k.Key == "catalogue" && k.Owner == address {
					owner = i
					return true
				}
			}
		}
		return false
	})
	return owner
}

// cutOff cuts a control node off from all others.
func (c *core) cutOff(at int) {
	for i := range c.post {
		if i != at {
			controlplane.Cut(c.post[i], c.post[at])
			controlplane.Cut(c.post[at], c.post[i])
		}
	}
}

// Guards against a scheduler that keeps its duty though none of its bindings reaches the owner of the configuration:
// routes stayed unplaced for as long as that lasted.
func TestRoutesArePlacedThoughTheSchedulerCantReachTheOwner(t *testing.T) {
	const ackS, contactS = 5 * time.Second, 3 * time.Second
	c := newCore(t)
	for i := range c.control {
		c.wait(t, "contact", func() bool { return c.gauge(t, i, "in_contact") == "1" })
	}
	c.until(t, 200, "PATCH", c.control[3]+"/v1/config", items)
	c.until(t, 200, "GET", c.ready+"/v1/readiness", "")
	scheduler, owner := c.dutyHolder(t, "shelve"), c.owner(t)
	for try := 0; scheduler == owner; try++ {
		if try > 5 {
			t.Fatal("the scheduler's duty never goes on from the owner")
		}
		c.cutOff(scheduler)
		time.Sleep(contactS)
		controlplane.Join()
		time.Sleep(contactS)
		scheduler, owner = c.dutyHolder(t, "shelve"), c.owner(t)
	}
	controlplane.Mute(c.post[scheduler], "order")
	c.until(t, 200, "PATCH", c.control[owner]+"/v1/config", strings.NewReplacer(`"name":"r"`, `"name":"later"`, `"/p/"`, `"/later/"`, `"services":[{"name":"a","generation":1,"maxConns":50,"note":"kept <as> sent"}],`, "").Replace(items))
	begin := time.Now()
	c.wait(t, "the new route is placed", func() bool {
		var routes []controlplane.RouteState
		if err := json.Unmarshal([]byte(c.until(t, 200, "GET", c.control[owner]+"/v1/admin/bindings", "")), &routes); err != nil {
			t.Fatal(err)
		}
		for _, r := range routes {
			if r.Name == "later" && r.Phase == "scheduled" {
				return true
			}
		}
		return false
	})
	if took := time.Since(begin); took > 2*ackS {
		t.Errorf("the route is placed after %v", took)
	} else {
		t.Logf("after %v, the scheduler %d, the owner %d", took, scheduler, owner)
	}
}
