package controlplane

import (
	"net/http"
	"strings"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
)

// evacuate serves the operators' calls on a zone: POST evacuates it, DELETE withdraws that.
func (n *Node) evacuate(r *http.Request, zone string, zones map[string]bool) error {
	came := arrivalOf(r)
	on := r.Method == http.MethodPost
	if !on && r.Method != http.MethodDelete {
		return apierror.New(apierror.WrongMethod, "%s on %s", r.Method, r.URL.Path)
	}
	if !zones[zone] {
		// A no rests on a majority's word as a yes does.
		if _, err := n.orders.submit(r.Context(), order{Key: config.Key}); err != nil {
			return err
		}
		return apierror.New(apierror.UnknownZone, "%q", zone)
	}
	key := config.EvacuationPrefix + zone
	basis, err := n.orders.basis(came, key)
	if err != nil {
		return err
	}
	if _, err := n.orders.submit(r.Context(), order{Key: key, Evacuate: &on, Basis: basis}); err != nil {
		return err
	}
	n.log.control.Info("evacuation changed", "zone", zone, "evacuated", on, "caller", r.RemoteAddr)
	return nil
}

// evacuations remembers the evacuations and withdrawals that this control node has carried out
// as owner, to tell an order that is sent again from a new one like it. Operators
// send an order again only if they got no clear answer to it, and within ackS.
type evacuations struct {
	ackS time.Duration
	last map[string]lastOrder
	seen map[uint64]time.Duration
	// Of the records that are copied here, by name: when the newest order came that
	// another control node carried out, and the newest order of all.
	heard  map[string]time.Duration
	newest map[string]uint64
}

// undo marks the withdrawals of a zone in evacuations.last.
const undo = "/undo"

type lastOrder struct {
	at    time.Duration
	clear bool // its answer cannot have come too late
}

// clearly is the part of ackS within which an answer is surely waited for.
const clearly = 0.08

func newEvacuations(ackS time.Duration) *evacuations {
	return &evacuations{ackS: ackS, last: map[string]lastOrder{}, seen: map[uint64]time.Duration{},
		heard: map[string]time.Duration{}, newest: map[string]uint64{}}
}

func (e *evacuations) key(o order) string {
	if *o.Evacuate {
		return o.Key
	}
	return o.Key + undo
}

// repeats says whether an order may be an earlier one that its operator sends again.
// Where another control node carried out the last one, all that is known of it is when
// word of it came here: an evacuation within ackS of that is taken for a repeat, a
// withdrawal for a new one.
func (e *evacuations) repeats(now time.Duration, o order) bool {
	if _, ok := e.seen[o.ID]; ok {
		return true
	}
	last, ok := e.last[e.key(o)]
	if !ok {
		at, known := e.heard[o.Key]
		return *o.Evacuate && known && now-at <= e.ackS
	}
	return !last.clear && now-last.at <= e.ackS
}

// committed notes the records of zones among those that have come to be shown.
func (e *evacuations) committed(now time.Duration, records []config.Record) {
	for _, r := range records {
		if strings.HasPrefix(r.Name, config.EvacuationPrefix) {
			e.saw(now, r)
		}
	}
}

// saw notes a record of a zone as it was copied here. One whose last order is not
// of this control node's carrying out makes what it remembers of the zone worthless.
func (e *evacuations) saw(now time.Duration, r config.Record) {
	id := config.LastOrder(r)
	if _, own := e.seen[id]; own || e.newest[r.Name] == id && id != 0 {
		return
	}
	e.heard[r.Name], e.newest[r.Name] = now, id
	delete(e.last, r.Name)
	delete(e.last, r.Name+undo)
}

// begins notes an order that this control node is about to carry out.
func (e *evacuations) begins(o order) { e.newest[o.Key] = o.ID }

// carriedOut notes an order that came at one time and was safe at another.
func (e *evacuations) carriedOut(came, now time.Duration, o order) {
	clear := o.Age+now-came < time.Duration(clearly*float64(e.ackS))
	e.last[e.key(o)] = lastOrder{now, clear}
	for id, at := range e.seen {
		if now-at > 2*e.ackS {
			delete(e.seen, id)
		}
	}
	e.seen[o.ID] = now
}
