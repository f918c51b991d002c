package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	controlDownTime = 500 * time.Millisecond
	// orderGap is longer than an order may be sent again.
	orderGap = ackS + 5*time.Second
	// doubtLimit is longer than a zone may stay evacuated in doubt.
	doubtLimit = recoveryS
)

// killControlPlane kills all control nodes at once and starts them again.
func (tc *testCluster) killControlPlane() {
	for _, p := range tc.controlNodes() {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range tc.controlNodes() {
		<-p.exited
	}
	time.Sleep(controlDownTime)
	for _, p := range tc.controlNodes() {
		tc.start(p, false)
	}
}

// orderHistory gives orders to a control plane that is killed meanwhile.
type orderHistory struct {
	ctx     context.Context
	t       *testing.T
	cluster *testCluster
	ops     *operators

	repeatedAfter time.Duration // from the first order until its repeat was acknowledged, if there is one
}

const orderedZone = "winnipeg"

func (h *orderHistory) evacuate() {
	h.ops.sendUntilAcked(h.ctx, http.MethodPost, orderedZone, h.cluster.machines)
}
func (h *orderHistory) withdraw() {
	h.ops.sendUntilAcked(h.ctx, http.MethodDelete, orderedZone, h.cluster.machines)
}
func (h *orderHistory) wait(duration time.Duration) { sleep(h.ctx, duration) }

// evacuateAndLoseAnswer gives an order that is carried out, and kills all control nodes before its operator has the
// answer.
func (h *orderHistory) evacuateAndLoseAnswer() {
	h.ops.call(http.MethodPost, h.cluster.machines[0].controlAddress(), "/v1/evacuation/"+orderedZone, "", responseLost)
	h.cluster.killControlPlane()
}

// zoneOwner returns the machine whose control node owns the partition of the zone, as a given one knows it.
func (h *orderHistory) zoneOwner(asked *machine) *machine {
	for h.ctx.Err() == nil {
		var partitions []struct{ Key, Owner string }
		_, text := h.ops.get(asked.controlAddress(), "/v1/admin/keys")
		_ = json.Unmarshal([]byte(text), &partitions) // the node may not answer yet
		for _, p := range partitions {
			for _, m := range h.cluster.machines {
				if p.Key == "evacuation/"+orderedZone && strings.HasPrefix(p.Owner, m.ip+":") {
					return m
				}
			}
		}
		sleep(h.ctx, firstRetryDelay)
	}
	h.t.Fatal("no owner of the zone's partition is known")
	return nil
}

// withoutOwner has orders given while the control node that owns the zone's partition is down. It returns the
// machine of that control node, which runs again at the end.
func (h *orderHistory) withoutOwner(orders func()) *machine {
	owner := h.zoneOwner(h.cluster.machines[0])
	owner.control.signal(syscall.SIGKILL)
	<-owner.control.exited
	orders()
	h.cluster.start(owner.control, false)
	return owner
}

// evacuated reports whether the control plane shows the zone as evacuated.
func (h *orderHistory) evacuated() bool {
	return slices.Contains(evacuatedZones(h.t, h.cluster.machines[0]), orderedZone)
}

// orderRollout orders a version of booking until a control node acknowledges it.
func (h *orderHistory) orderRollout(version string) {
	body := fmt.Sprintf(`{"target":"booking","targetVersion":%q,"withinS":60}`, version)
	if !h.ops.callUntilAcked(h.ctx, http.MethodPost, "/v1/rollouts", body, h.cluster.machines) {
		h.t.Errorf("the order of %s was not acknowledged", version)
	}
}

// orderAndReverse orders versions of booking one after another, and reverses each.
func (h *orderHistory) orderAndReverse(versions ...string) {
	for _, version := range versions {
		h.orderRollout(version)
		if !h.ops.callUntilAcked(h.ctx, http.MethodDelete, "/v1/rollouts/booking?targetVersion="+version, "", h.cluster.machines) {
			h.t.Errorf("the reversal of %s was not acknowledged", version)
		}
	}
}

// newestRollout returns the state and the version of the newest rollout of booking.
func (h *orderHistory) newestRollout() (state, version string) {
	var view struct{ State, TargetVersion string }
	for h.ctx.Err() == nil {
		if status, text := h.ops.get(h.cluster.machines[0].controlAddress(), "/v1/rollouts/booking"); status == http.StatusOK {
			if err := json.Unmarshal([]byte(text), &view); err != nil {
				h.t.Error(err)
			}
			break
		}
		sleep(h.ctx, firstRetryDelay)
	}
	return view.State, view.TargetVersion
}

// expectNewestRollout checks the newest rollout of booking.
func (h *orderHistory) expectNewestRollout(wantState, wantVersion string) {
	if state, version := h.newestRollout(); state != wantState || version != wantVersion {
		h.t.Errorf("the newest rollout is to %s, %s", version, state)
	}
}

// withdrawLater withdraws one evacuation after orderGap, and checks whether the zone is still evacuated once no
// doubt is left.
func (h *orderHistory) withdrawLater(stillEvacuated bool) {
	h.wait(orderGap)
	h.withdraw()
	h.wait(doubtLimit)
	if h.evacuated() != stillEvacuated {
		h.t.Errorf("the zone is evacuated: %v, want %v", !stillEvacuated, stillEvacuated)
	}
}

// Guards against orders that count as new after kills of all control nodes or of the owner: a later evacuation was taken for a
// repeat, so that its withdrawal opened the zone, and a later order of a rollout was never carried out. A
// repeat whose answer was lost in the kill still counts once.
func TestOrdersAreToldFromRepeatsAfterKills(t *testing.T) {
	binary := build(t)
	for name, play := range map[string]func(*orderHistory){
		"two evacuations, a kill between": func(h *orderHistory) {
			h.evacuate()
			h.wait(orderGap)
			h.cluster.killControlPlane()
			h.wait(2 * time.Second)
			h.evacuate()
			h.withdrawLater(true)
		},
		"two evacuations, two kills between": func(h *orderHistory) {
			h.evacuate()
			h.wait(4 * time.Second)
			h.cluster.killControlPlane()
			h.wait(3 * time.Second)
			h.cluster.killControlPlane()
			h.wait(4 * time.Second)
			h.evacuate()
			h.withdrawLater(true)
		},
		"three evacuations, a kill before the last": func(h *orderHistory) {
			h.evacuate()
			h.wait(orderGap)
			h.evacuate()
			h.wait(orderGap)
			h.cluster.killControlPlane()
			h.wait(2 * time.Second)
			h.evacuate()
			h.wait(orderGap)
			h.withdraw()
			h.withdrawLater(true)
		},
		"an evacuation before its owner started": func(h *orderHistory) {
			first := h.withoutOwner(func() { h.evacuate(); h.wait(orderGap) })
			h.wait(contactS)
			if second := h.zoneOwner(first); second != first {
				h.cluster.restart(second.control, syscall.SIGKILL, controlDownTime)
			}
			h.evacuate()
			h.withdrawLater(true)
		},
		"an evacuation sent again, its answer lost in a kill": func(h *orderHistory) {
			began := time.Now()
			h.evacuateAndLoseAnswer()
			h.evacuate()
			h.repeatedAfter = time.Since(began)
			h.withdrawLater(false)
		},
		"an evacuation sent again after two kills": func(h *orderHistory) {
			began := time.Now()
			h.evacuateAndLoseAnswer()
			h.cluster.killControlPlane()
			h.evacuate()
			h.repeatedAfter = time.Since(began)
			h.withdrawLater(false)
		},
		"a version ordered again, two kills before": func(h *orderHistory) {
			h.orderAndReverse("v2", "v3")
			h.wait(4 * time.Second)
			h.cluster.killControlPlane()
			h.wait(3 * time.Second)
			h.cluster.killControlPlane()
			h.wait(2 * time.Second)
			h.orderRollout("v2")
			h.expectNewestRollout("serving", "v2")
		},
		"an order sent again after a kill": func(h *orderHistory) {
			began := time.Now()
			h.orderAndReverse("v2", "v3")
			h.cluster.killControlPlane()
			h.orderRollout("v2")
			h.repeatedAfter = time.Since(began)
			h.expectNewestRollout("reverted", "v3")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster, ops := startControlPlane(t, binary)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
			defer cancel()
			history := &orderHistory{ctx: ctx, t: t, cluster: cluster, ops: ops}
			play(history)
			if history.repeatedAfter > ackS {
				t.Logf("the repeat was acknowledged %v after the order, when an operator sends none any more", history.repeatedAfter)
			}
		})
	}
}
