package soak

import (
	"context"
	"net/http"
	"slices"
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
	for _, m := range tc.machines {
		m.control.signal(syscall.SIGKILL)
	}
	for _, m := range tc.machines {
		<-m.control.exited
	}
	time.Sleep(controlDownTime)
	for _, m := range tc.machines {
		tc.start(m.control, false)
	}
}

// orderHistory gives orders to a control plane that is killed meanwhile.
type orderHistory struct {
	ctx     context.Context
	t       *testing.T
	cluster *testCluster
	ops     *operators
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

// evacuated reports whether the control plane shows the zone as evacuated.
func (h *orderHistory) evacuated() bool {
	return slices.Contains(evacuatedZones(h.t, h.cluster.machines[0]), orderedZone)
}

// Guards against orders that count as new after kills of all control nodes: a later evacuation was taken for a
// repeat, so that its withdrawal opened the zone. A repeat whose answer was lost in the kill still counts once.
func TestOrdersAreToldFromRepeatsAfterKills(t *testing.T) {
	for name, play := range map[string]func(*orderHistory){
		"two evacuations, a kill between": func(h *orderHistory) {
			h.evacuate()
			h.wait(orderGap)
			h.cluster.killControlPlane()
			h.wait(2 * time.Second)
			h.evacuate()
			h.wait(orderGap)
			h.withdraw()
			h.expectEvacuated(true)
		},
		"two evacuations, two kills between": func(h *orderHistory) {
			h.evacuate()
			h.wait(4 * time.Second)
			h.cluster.killControlPlane()
			h.wait(3 * time.Second)
			h.cluster.killControlPlane()
			h.wait(4 * time.Second)
			h.evacuate()
			h.wait(orderGap)
			h.withdraw()
			h.expectEvacuated(true)
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
			h.wait(orderGap)
			h.withdraw()
			h.expectEvacuated(true)
		},
		"an evacuation sent again, its answer lost in a kill": func(h *orderHistory) {
			h.evacuateAndLoseAnswer()
			h.evacuate()
			h.wait(orderGap)
			h.withdraw()
			h.expectEvacuated(false)
		},
		"an evacuation sent again after two kills": func(h *orderHistory) {
			h.evacuateAndLoseAnswer()
			h.cluster.killControlPlane()
			h.evacuate()
			h.wait(orderGap)
			h.withdraw()
			h.expectEvacuated(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster, ops := startControlPlane(t)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
			defer cancel()
			play(&orderHistory{ctx, t, cluster, ops})
		})
	}
}

// expectEvacuated checks that the zone is evacuated or open once no doubt is left.
func (h *orderHistory) expectEvacuated(evacuated bool) {
	h.wait(doubtLimit)
	if h.evacuated() != evacuated {
		h.t.Errorf("the zone is evacuated: %v, want %v", !evacuated, evacuated)
	}
}
