package controlplane_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"madderwing/internal/controlplane"
	"madderwing/internal/delivery"
	"madderwing/internal/election"
)

// roleHolder waits until a singleton role has a holder, and returns the index of that control node.
func (c *controlCluster) roleHolder(t *testing.T, role string) (holder int) {
	t.Helper()
	c.waitFor(t, role+" has a holder", func() bool {
		var states []election.State
		if err := json.Unmarshal([]byte(c.callUntil(t, 200, "GET", c.controlAddresses[1]+"/v1/admin/duties", "")), &states); err != nil {
			t.Fatal(err)
		}
		for _, state := range states {
			if holder = slices.Index(c.peerAddresses, state.Holder); state.Role == role && holder >= 0 {
				return true
			}
		}
		return false
	})
	return holder
}

// showsDraining reports whether a control node shows its upstream with the given draining state.
func (c *controlCluster) showsDraining(t *testing.T, i int, draining bool) bool {
	var upstreams []struct{ Draining bool }
	if err := json.Unmarshal([]byte(c.callUntil(t, 200, "GET", c.controlAddresses[i]+"/v1/admin/upstreams", "")), &upstreams); err != nil {
		t.Fatal(err)
	}
	return len(upstreams) == 1 && upstreams[0].Draining == draining
}

// Guards against a holder of the list role that still reads the list and keeps its votes, but whose
// lists do not reach the other nodes: they kept an old list for as long as the fault lasted.
func TestListStaysCurrentWhenItsHolderIsUnreachable(t *testing.T) {
	const (
		drainS   = 2500 * time.Millisecond
		contactS = 3 * time.Second
	)
	var draining atomic.Bool
	cluster := newControlClusterWith(t, func() string {
		if draining.Load() {
			return "draining"
		}
		return "ready"
	})
	cluster.waitFor(t, "all nodes are in contact and have the list", func() bool {
		for i := range cluster.controlAddresses {
			if cluster.gauge(t, i, "in_contact") != "1" || !cluster.showsDraining(t, i, false) {
				return false
			}
		}
		return true
	})
	others := func(holder int) (out []int) {
		for i := range cluster.controlAddresses {
			if i != holder {
				out = append(out, i)
			}
		}
		return out
	}
	for name, injectFault := range map[string]func(reader int){
		"its lists are dropped": func(reader int) { controlplane.DropMessages(cluster.peerAddresses[reader], delivery.UpdateKind) },
		"it cannot receive": func(reader int) {
			for _, i := range others(reader) {
				controlplane.CutLink(cluster.peerAddresses[i], cluster.peerAddresses[reader])
			}
		},
		"it cannot send": func(reader int) {
			for _, i := range others(reader) {
				controlplane.CutLink(cluster.peerAddresses[reader], cluster.peerAddresses[i])
			}
		},
	} {
		reader := cluster.roleHolder(t, "list")
		injectFault(reader)
		wasDraining := draining.Load()
		draining.Store(!wasDraining)
		start := time.Now()
		for _, i := range others(reader) {
			cluster.waitFor(t, fmt.Sprintf("%s: control node %d shows the change", name, i), func() bool { return cluster.showsDraining(t, i, !wasDraining) })
		}
		if took := time.Since(start); took > drainS {
			t.Errorf("%s: the other nodes show the change only after %v", name, took)
		} else {
			t.Logf("%s: shown after %v", name, took)
		}
		controlplane.RestoreLinks()
		cluster.waitFor(t, "the former holder shows the change", func() bool { return cluster.showsDraining(t, reader, !wasDraining) })
		time.Sleep(contactS)
	}
}
