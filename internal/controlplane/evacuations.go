package controlplane

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/callage"
	"madderwing/internal/config"
	"madderwing/internal/replication"
	"madderwing/internal/settings"
)

// evacuate serves the operators' calls on a zone: POST evacuates it, DELETE withdraws the
// evacuation.
func (n *Node) evacuate(r *http.Request, zone string, zones map[string]bool) error {
	arrived := arrivalOf(r)
	evacuating := r.Method == http.MethodPost
	if !evacuating && r.Method != http.MethodDelete {
		return apierror.New(apierror.WrongMethod, "%s on %s", r.Method, r.URL.Path)
	}
	if !zones[zone] {
		// A refusal needs a majority's confirmation just as a success does.
		if _, err := n.orders.submit(r.Context(), order{Partition: config.Partition}); err != nil {
			return err
		}
		return apierror.New(apierror.UnknownZone, "%q", zone)
	}
	partition := config.EvacuationPrefix + zone
	basis, err := n.orderBasis(arrived, func() uint64 { return n.configuration.published.Records[partition].Gen })
	if err != nil {
		return err
	}
	if _, err := n.orders.submit(r.Context(), order{Partition: partition, Evacuate: &evacuating, Basis: basis}); err != nil {
		return err
	}
	n.log.control.Info("evacuation changed", "zone", zone, "evacuated", evacuating, "caller", r.RemoteAddr)
	return nil
}

// evacuations tracks how old the orders on zones are, and since when it is uncertain whether the
// evacuation of a zone still holds.
type evacuations struct {
	repeatWindow time.Duration   // how long an operator may send an order again
	maxDoubt     time.Duration   // after which the evacuation of a zone in doubt ends
	orders       callage.Tracker // by record name
	doubts       map[string]doubt
	unsettled    map[string]config.Record // published records with orders that may still be sent again, by name
}

// doubt is a generation of a zone's record from which it is uncertain whether an evacuation holds.
type doubt struct {
	generation uint64
	since      time.Duration
}

// doubtFraction is the fraction of recoveryS for which a zone stays evacuated in doubt. The rest is
// for finding an owner of the zone's partition.
const doubtFraction = 0.8

func newEvacuations(bounds settings.Bounds) *evacuations {
	recoveryS := cmp.Or(bounds.RecoveryS, 3*bounds.AckS)
	return &evacuations{repeatWindow: settings.Seconds(bounds.AckS) + callerTimeout, maxDoubt: settings.Seconds(doubtFraction * recoveryS),
		doubts: map[string]doubt{}, unsettled: map[string]config.Record{}}
}

// recent returns a function that reports whether an order named in a zone's record may still be sent again
// by its operator. An order that was not seen yet has only just been carried out.
func (e *evacuations) recent(now time.Duration, name string) func(id uint64) bool {
	return func(id uint64) bool { return e.orders.Age(now, name, id) <= e.repeatWindow }
}

// recordsPublished handles the zones' records among those that have just been published.
func (e *evacuations) recordsPublished(now time.Duration, records []config.Record) {
	for _, r := range records {
		if strings.HasPrefix(r.Name, config.EvacuationPrefix) {
			e.recordPublished(now, r)
		}
	}
}

// recordPublished handles a zone's published record.
func (e *evacuations) recordPublished(now time.Duration, record config.Record) {
	ids := config.EvacuationOrders(record)
	e.orders.Observe(now, record.Name, ids)
	if config.HasUnsettledOrders(record) {
		e.unsettled[record.Name] = record
	} else {
		delete(e.unsettled, record.Name)
	}
	if !config.InDoubt(record) {
		delete(e.doubts, record.Name)
		return
	}
	if e.doubts[record.Name].generation != record.Gen {
		e.doubts[record.Name] = doubt{record.Gen, now - e.newestAge(now, record.Name, ids)}
	}
}

// newestAge returns the age of the newest order of a zone's record; 0 if the record names none.
func (e *evacuations) newestAge(now time.Duration, name string, ids []uint64) time.Duration {
	if len(ids) == 0 {
		return 0
	}
	return e.orders.Age(now, name, ids[len(ids)-1])
}

// recordsToSettle returns the names of the zones' records that name orders which have become too old to be
// sent again.
func (e *evacuations) recordsToSettle(now time.Duration) (names []string) {
	for name, record := range e.unsettled {
		if config.HasOrdersToSettle(record, e.recent(now, name)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// takeOverdue returns the zones' records that have been in doubt for maxDoubt or longer, by name,
// with their generations. Each is returned again after callerTimeout for as long as it stays in doubt.
func (e *evacuations) takeOverdue(now time.Duration) map[string]uint64 {
	out := map[string]uint64{}
	for name, d := range e.doubts {
		if now-d.since >= e.maxDoubt {
			out[name] = d.generation
			e.doubts[name] = doubt{d.generation, now - e.maxDoubt + callerTimeout}
		}
	}
	return out
}

// endOverdueDoubts ends the evacuation of zones that have been in doubt for too long, where this
// control node owns their partitions. It runs on the event loop.
func (c *orderController) endOverdueDoubts(now time.Duration) {
	for name, generation := range c.evacuations.takeOverdue(now) {
		if c.replica.Owner(now, name) != c.endpoint.Address() {
			continue
		}
		c.replica.Propose(now, name, func(have map[string]replication.Record) ([]replication.Record, error) {
			return config.ResolveDoubt(have, name, generation), nil
		}, func(err error) {
			c.log.control.Warn("ending an evacuation in doubt", "record", name, "generation", generation, "error", err)
		})
	}
}

// settleOrders marks orders on zones that have become too old to be sent again.
func (c *orderController) settleOrders(now time.Duration) {
	for _, name := range c.evacuations.recordsToSettle(now) {
		c.settler.settle(now, name, func(have records) []replication.Record {
			return config.SettleOrders(have, name, c.evacuations.recent(now, name))
		})
	}
}
