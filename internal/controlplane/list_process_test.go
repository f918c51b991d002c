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

// roleHolder waits until a duty has a holder, and gives that control node.
func (c *controlCluster) roleHolder(t *testing.T, role string) (holder int) {
	t.Helper()
	c.waitFor(t, role+" has a holder", func() bool {
		var duties []election.State
		if err := json.Unmarshal([]byte(c.callUntil(t, 200, "GET", c.controlAddresses[1]+"/v1/admin/duties", "")), &duties); err != nil {
			t.Fatal(err)
		}
		for _, state := range duties {
			if holder = slices.Index(c.peerAddresses, state.Holder); state.Duty == role && holder >= 0 {
				return true
			}
		}
		return false
	})
	return holder
}

// showsDraining says whether a control node showsDraining the upstream as draining.
func (c *controlCluster) showsDraining(t *testing.T, i int, draining bool) bool {
	var upstreams []struct{ Draining bool }
	if err := json.Unmarshal([]byte(c.callUntil(t, 200, "GET", c.controlAddresses[i]+"/v1/admin/upstreams", "")), &upstreams); err != nil {
		t.Fatal(err)
	}
	return len(upstreams) == 1 && upstreams[0].Draining == draining
}

// Guards against a reader of the list that reads it, and has its votes renewed, but can't tell the others: they kept
// an old list for as long as that lasted.
func TestListStaysCurrentWhenItsReaderIsUnreachable(t *testing.T) {
	const (
		drainS   = 2500 * time.Millisecond
		contactS = 3 * time.Second
	)
	var draining atomic.Bool
	c := newControlClusterWith(t, func() string {
		if draining.Load() {
			return "draining"
		}
		return "ready"
	})
	c.waitFor(t, "four members", func() bool {
		for i := range c.controlAddresses {
			if c.gauge(t, i, "in_contact") != "1" || !c.showsDraining(t, i, false) {
				return false
			}
		}
		return true
	})
	others := func(reader int) (out []int) {
		for i := range c.controlAddresses {
			if i != reader {
				out = append(out, i)
			}
		}
		return out
	}
	for name, injectFault := range map[string]func(reader int){
		"its lists don't arrive": func(reader int) { controlplane.DropMessages(c.peerAddresses[reader], delivery.IssueKind) },
		"it hears nobody": func(reader int) {
			for _, i := range others(reader) {
				controlplane.CutLink(c.peerAddresses[i], c.peerAddresses[reader])
			}
		},
		"nobody hears it": func(reader int) {
			for _, i := range others(reader) {
				controlplane.CutLink(c.peerAddresses[reader], c.peerAddresses[i])
			}
		},
	} {
		reader := c.roleHolder(t, "list")
		injectFault(reader)
		wasDraining := draining.Load()
		draining.Store(!wasDraining)
		start := time.Now()
		for _, i := range others(reader) {
			c.waitFor(t, fmt.Sprintf("%s: control node %d shows the change", name, i), func() bool { return c.showsDraining(t, i, !wasDraining) })
		}
		if took := time.Since(start); took > drainS {
			t.Errorf("%s: the others show a change after %v", name, took)
		} else {
			t.Logf("%s: after %v", name, took)
		}
		controlplane.RestoreLinks()
		c.waitFor(t, "the reader of before has the change", func() bool { return c.showsDraining(t, reader, !wasDraining) })
		time.Sleep(contactS)
	}
}
