package soak

import (
	"fmt"
	"time"
)

// evacuationPeriod is an operator's evacuation of a zone, from its acknowledgement until its withdrawal was first sent.
type evacuationPeriod struct {
	order *evacuationOrder
	ended time.Time
}

// evacuationPeriods returns the acknowledged evacuations. Others may be in force or not, so no rule binds for them. An
// evacuation that its operator never withdrew lasts until now.
func (h *history) evacuationPeriods() (out []*evacuationPeriod) {
	for i, order := range h.orders {
		if !order.evacuate || order.acked.IsZero() {
			continue
		}
		period := &evacuationPeriod{order: order, ended: time.Now()}
		for _, later := range h.orders[i+1:] {
			if later.operator == order.operator && !later.evacuate {
				period.ended = later.sent
				break
			}
		}
		out = append(out, period)
	}
	return out
}

// findEvacuationViolations finds evacuations of zones that requests still reached more than evacuateS after the
// acknowledgement and before the withdrawal, from machines that the rule binds.
func findEvacuationViolations(h *history) (found []string) {
	for _, period := range h.evacuationPeriods() {
		var reached []arrival
		for _, a := range h.arrivalsIn(period.order.zone, period.order.acked.Add(evacuateS), period.ended) {
			if h.evacuationBinds(a, period.order.acked) {
				reached = append(reached, a)
			}
		}
		if len(reached) == 0 {
			continue
		}
		first, last := reached[0], reached[len(reached)-1]
		found = append(found, fmt.Sprintf("%d requests reached zone %s, from %.0f to %.0f ms after its evacuation by operator %d was acknowledged (the first: %s)",
			len(reached), period.order.zone, milliseconds(first.at.Sub(period.order.acked)), milliseconds(last.at.Sub(period.order.acked)), period.order.operator, first.attempt))
	}
	return found
}

// evacuationBinds reports whether the rule EVAC binds the machine that forwarded a request. Its gateway must have
// had no fault for contactS, and either the core had none in that time, or the bound that is longer by stretchMaxS
// is over and extendedBoundApplies.
func (h *history) evacuationBinds(a arrival, acked time.Time) bool {
	if !h.machines[a.machine].gateway.faultFree(a.at.Add(-contactS), a.at) {
		return false
	}
	return h.coreFaultFree(a.at) || a.at.After(acked.Add(evacuateS+stretchMaxS)) && h.extendedBoundApplies(a.machine, acked, a.at)
}
