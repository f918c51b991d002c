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

// dutyHolder waits until a duty has a holder, and gives that control node.
func (c *core) dutyHolder(t *testing.T, duty string) (holder int) {
	t.Helper()
	c.wait(t, duty+" has a holder", func() bool {
		var duties []election.State
		if err := json.Unmarshal([]byte(c.until(t, 200, "GET", c.control[1]+"/v1/admin/duties", "")), &duties); err != nil {
			t.Fatal(err)
		}
		for _, d := range duties {
			if holder = slices.Index(c.post, d.Holder); d.Duty == duty && holder >= 0 {
				return true
			}
		}
		return false
	})
	return holder
}

// shows says whether a control node shows the upstream as draining.
func (c *core) shows(t *testing.T, i int, draining bool) bool {
	var upstreams []struct{ Draining bool }
	if err := json.Unmarshal([]byte(c.until(t, 200, "GET", c.control[i]+"/v1/admin/upstreams", "")), &upstreams); err != nil {
		t.Fatal(err)
	}
	return len(upstreams) == 1 && upstreams[0].Draining == draining
}

// Guards against a reader of the list that reads it, and has its votes renewed, but can't tell the others: they kept
// an old list for as long as that lasted.
func TestTheListGoesOnFromAReaderThatCantTellTheOthers(t *testing.T) {
	const (
		drainS   = 2500 * time.Millisecond
		contactS = 3 * time.Second
	)
	var draining atomic.Bool
	c := newCoreWith(t, func() string {
		if draining.Load() {
			return "draining"
		}
		return "ready"
	})
	c.wait(t, "four members", func() bool {
		for i := range c.control {
			if c.gauge(t, i, "in_contact") != "1" || !c.shows(t, i, false) {
				return false
			}
		}
		return true
	})
	others := func(reader int) (out []int) {
		for i := range c.control {
			if i != reader {
				out = append(out, i)
			}
		}
		return out
	}
	for name, trouble := range map[string]func(reader int){
		"its lists don't arrive": func(reader int) { controlplane.Mute(c.post[reader], delivery.IssueKind) },
		"it hears nobody": func(reader int) {
			for _, i := range others(reader) {
				controlplane.Cut(c.post[i], c.post[reader])
			}
		},
		"nobody hears it": func(reader int) {
			for _, i := range others(reader) {
				controlplane.Cut(c.post[reader], c.post[i])
			}
		},
	} {
		reader := c.dutyHolder(t, "list")
		trouble(reader)
		was := draining.Load()
		draining.Store(!was)
		begin := time.Now()
		for _, i := range others(reader) {
			c.wait(t, fmt.Sprintf("%s: control node %d shows the change", name, i), func() bool { return c.shows(t, i, !was) })
		}
		if took := time.Since(begin); took > drainS {
			t.Errorf("%s: the others show a change after %v", name, took)
		} else {
			t.Logf("%s: after %v", name, took)
		}
		controlplane.Join()
		c.wait(t, "the reader of before has the change", func() bool { return c.shows(t, reader, !was) })
		time.Sleep(contactS)
	}
}
