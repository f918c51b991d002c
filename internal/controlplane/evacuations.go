package controlplane

import (
	"cmp"
	"maps"
	"net/http"
	"strings"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
	"madderwing/internal/replication"
	"madderwing/internal/settings"
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
	basis, err := n.basis(came, func() uint64 { return n.configuration.shown.Records[key].Gen })
	if err != nil {
		return err
	}
	if _, err := n.orders.submit(r.Context(), order{Key: key, Evacuate: &on, Basis: basis}); err != nil {
		return err
	}
	n.log.control.Info("evacuation changed", "zone", zone, "evacuated", on, "caller", r.RemoteAddr)
	return nil
}

// evacuations remembers when orders on zones were first seen carried out, and since when it
// is open whether a zone's evacuation stands.
type evacuations struct {
	repeatSpan time.Duration // for which an order may come again
	doubtSpan  time.Duration // after which a zone in doubt is taken back
	seen       map[uint64]time.Duration
	doubts     map[string]doubt // by record
}

// doubt is a generation of a zone's record that leaves it open whether an evacuation stands.
type doubt struct {
	generation uint64
	since      time.Duration
}

// doubtPart is the part of recoveryS for which a zone stays evacuated in doubt. An owner is to
// be found in the rest of it.
const doubtPart = 0.8

func newEvacuations(bounds settings.Bounds) *evacuations {
	recoveryS := cmp.Or(bounds.RecoveryS, 3*bounds.AckS)
	return &evacuations{repeatSpan: settings.Seconds(bounds.AckS) + callerPatience, doubtSpan: settings.Seconds(doubtPart * recoveryS),
		seen: map[uint64]time.Duration{}, doubts: map[string]doubt{}}
}

// recent says of an order that a record names whether its operator may still send it again. One
// that was not seen yet was carried out a moment ago.
func (e *evacuations) recent(now time.Duration) func(id uint64) bool {
	return func(id uint64) bool {
		at, ok := e.seen[id]
		return !ok || now-at <= e.repeatSpan
	}
}

// committed notes the records of zones among those that have come to be shown.
func (e *evacuations) committed(now time.Duration, records []config.Record) {
	for _, r := range records {
		if strings.HasPrefix(r.Name, config.EvacuationPrefix) {
			e.saw(now, r)
		}
	}
}

// saw notes a record of a zone.
func (e *evacuations) saw(now time.Duration, r config.Record) {
	for _, id := range config.EvacuationOrders(r) {
		if _, ok := e.seen[id]; !ok {
			e.seen[id] = now
		}
	}
	if config.InDoubt(r) {
		e.doubts[r.Name] = doubt{r.Gen, now}
	} else {
		delete(e.doubts, r.Name)
	}
}

// forget drops the orders that no record in sight names.
func (e *evacuations) forget(shown map[string]config.Record) {
	named := map[uint64]bool{}
	for name, r := range shown {
		if strings.HasPrefix(name, config.EvacuationPrefix) {
			for _, id := range config.EvacuationOrders(r) {
				named[id] = true
			}
		}
	}
	maps.DeleteFunc(e.seen, func(id uint64, _ time.Duration) bool { return !named[id] })
}

// overdue gives the zones' records that have been in doubt for long enough, with their generations:
// each once in a while, as long as it stays so.
func (e *evacuations) overdue(now time.Duration) map[string]uint64 {
	out := map[string]uint64{}
	for name, d := range e.doubts {
		if now-d.since >= e.doubtSpan {
			out[name] = d.generation
			e.doubts[name] = doubt{d.generation, now - e.doubtSpan + callerPatience}
		}
	}
	return out
}

// endDoubts takes zones back that have been in doubt for long enough, where this control node
// owns their keys. It runs on the pump's goroutine.
func (c *orderController) endDoubts(now time.Duration) {
	for name, generation := range c.evacuations.overdue(now) {
		if c.member.Owner(now, name) != c.post.Self() {
			continue
		}
		c.member.Propose(now, name, func(have map[string]replication.Record) ([]replication.Record, error) {
			return config.EndDoubt(have, name, generation), nil
		}, func(err error) {
			c.log.control.Warn("evacuation ended that may have been withdrawn", "record", name, "generation", generation, "error", err)
		})
	}
}
