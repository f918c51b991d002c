package controlplane_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"madderwing/internal/controlplane"
)

// owner returns the index of the control node that owns the configuration.
func (c *controlCluster) owner(t *testing.T) (owner int) {
	t.Helper()
	c.waitFor(t, "the configuration has an owner", func() bool {
		var partitions []controlplane.PartitionSummary
		if err := json.Unmarshal([]byte(c.callUntil(t, 200, "GET", c.controlAddresses[1]+"/v1/admin/keys", "")), &partitions); err != nil {
			t.Fatal(err)
		}
		for _, partition := range partitions {
			for i, address := range c.peerAddresses {
				if partition.Partition == "catalogue" && partition.Owner == address {
					owner = i
					return true
				}
			}
		}
		return false
	})
	return owner
}

// isolate cuts the links between a control node and all others.
func (c *controlCluster) isolate(isolated int) {
	for i := range c.peerAddresses {
		if i != isolated {
			controlplane.CutLink(c.peerAddresses[i], c.peerAddresses[isolated])
			controlplane.CutLink(c.peerAddresses[isolated], c.peerAddresses[i])
		}
	}
}

// Guards against a scheduler that keeps its role although none of its bindings reaches the owner of
// the configuration: routes stayed unplaced for as long as the fault lasted.
func TestRoutesArePlacedWhenTheSchedulerCannotReachTheOwner(t *testing.T) {
	const ackS, contactS = 5 * time.Second, 3 * time.Second
	cluster := newControlCluster(t)
	for i := range cluster.controlAddresses {
		cluster.waitFor(t, "contact", func() bool { return cluster.gauge(t, i, "in_contact") == "1" })
	}
	cluster.callUntil(t, 200, "PATCH", cluster.controlAddresses[3]+"/v1/config", items)
	cluster.callUntil(t, 200, "GET", cluster.ready+"/v1/readiness", "")
	scheduler, owner := cluster.roleHolder(t, "shelve"), cluster.owner(t)
	for try := 0; scheduler == owner; try++ {
		if try > 5 {
			t.Fatal("the scheduler's role never moves away from the owner")
		}
		cluster.isolate(scheduler)
		time.Sleep(contactS)
		controlplane.RestoreLinks()
		time.Sleep(contactS)
		scheduler, owner = cluster.roleHolder(t, "shelve"), cluster.owner(t)
	}
	controlplane.DropMessages(cluster.peerAddresses[scheduler], "order")
	cluster.callUntil(t, 200, "PATCH", cluster.controlAddresses[owner]+"/v1/config", strings.NewReplacer(`"name":"r"`, `"name":"later"`, `"/p/"`, `"/later/"`, `"services":[{"name":"a","generation":1,"maxConns":50,"note":"kept <as> sent"}],`, "").Replace(items))
	start := time.Now()
	cluster.waitFor(t, "the new route is placed", func() bool {
		var routes []controlplane.RouteState
		if err := json.Unmarshal([]byte(cluster.callUntil(t, 200, "GET", cluster.controlAddresses[owner]+"/v1/admin/bindings", "")), &routes); err != nil {
			t.Fatal(err)
		}
		for _, r := range routes {
			if r.Name == "later" && r.Phase == "scheduled" {
				return true
			}
		}
		return false
	})
	if took := time.Since(start); took > 2*ackS {
		t.Errorf("the route is placed after %v", took)
	} else {
		t.Logf("placed after %v, scheduler %d, owner %d", took, scheduler, owner)
	}
}
