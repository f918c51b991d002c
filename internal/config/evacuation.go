package config

import (
	"encoding/binary"
	"slices"
	"strings"

	"madderwing/internal/apierror"
)

// This file handles the records of zone evacuations.

// EvacuationPrefix begins the names of the partitions of the replicated state that hold evacuation records, and
// the names of these records; the zone follows.
const EvacuationPrefix = "evacuation/"

// maxKeptOrders is the number of newest orders that an evacuation record keeps: twice as many as may be in
// progress at the same time.
const maxKeptOrders = 16

// evacuateBit is set in the IDs of evacuation orders and clear in those of withdrawals. Earlier releases
// set it in all IDs.
const evacuateBit = 1

// EvacuationOrderID returns an order ID made from a random number.
func EvacuationOrderID(random uint64, evacuate bool) uint64 {
	id := random&^evacuateBit | evacuateBit<<1
	if evacuate {
		id |= evacuateBit
	}
	return id
}

// EvacuationOrder is an operator's order to evacuate a zone or to withdraw an evacuation.
type EvacuationOrder struct {
	Zone     string
	Evacuate bool // if false, the order withdraws an evacuation
	// ID identifies the order wherever it is forwarded.
	ID uint64
	// BaseGeneration is the generation of the zone's record that the order is based on; nil if not given.
	BaseGeneration *uint64
	// Recent reports whether an executed order is recent enough that its operator may still send it again,
	// which gives it a new ID.
	Recent func(id uint64) bool
}

// mayRepeat reports whether the order may be a resend of one that the evacuation record already has.
func (order EvacuationOrder) mayRepeat(e evacuation) bool {
	return slices.ContainsFunc(e.unsettledOrders(), func(id uint64) bool {
		return (id&evacuateBit != 0) == order.Evacuate && order.Recent != nil && order.Recent(id)
	})
}

// evacuation is the content of a zone's record. Each requested evacuation is active until it is withdrawn.
// An order that is sent again can't be distinguished from an order of another operator, so only bounds on the
// number of active evacuations are known.
type evacuation struct {
	minActive uint64   // at least this many are active
	maxActive uint64   // at most this many are active
	orders    []uint64 // IDs of the newest executed orders, the newest last
	unsettled int      // so many of the newest orders may still be sent again, if they are recent
}

// unsettledOrders returns the newest orders, which may still be sent again if they are recent.
func (e evacuation) unsettledOrders() []uint64 { return e.orders[len(e.orders)-e.unsettled:] }

// settle marks the oldest orders that are no longer recent, and reports whether there are any.
func (e *evacuation) settle(recent func(id uint64) bool) (changed bool) {
	for e.unsettled > 0 && !recent(e.unsettledOrders()[0]) {
		e.unsettled--
		changed = true
	}
	return changed
}

// ApplyEvacuationOrder returns the change that an order makes to a zone's evacuation record. The zone is
// evacuated as long as an evacuation may be active. An order whose ID is in the record was already executed
// and changes nothing. An order based on another generation than the record's is older than one that was
// executed, and is refused. Every other order makes a new generation.
func ApplyEvacuationOrder(records map[string]Record, order EvacuationOrder) ([]Record, error) {
	name := EvacuationPrefix + order.Zone
	old := records[name]
	e := decodeEvacuation(old)
	if slices.Contains(e.orders, order.ID) {
		return nil, nil
	}
	if order.BaseGeneration != nil && *order.BaseGeneration != old.Gen {
		return nil, apierror.New(apierror.OutdatedOrder, "zone %s is at generation %d, the order rests on %d", order.Zone, old.Gen, *order.BaseGeneration)
	}
	e.count(order.Evacuate, order.mayRepeat(e))
	e.orders = append(e.orders, order.ID)
	e.orders = e.orders[max(0, len(e.orders)-maxKeptOrders):]
	e.unsettled = min(e.unsettled+1, len(e.orders))
	return []Record{e.encodeRecord(name, old.Gen+1)}, nil
}

// count updates the bounds for an order. With repeat, the order may already have been counted.
func (e *evacuation) count(evacuate, repeat bool) {
	switch {
	case evacuate && repeat && e.minActive > 0:
		e.maxActive++
	case evacuate:
		e.minActive++
		e.maxActive++
	case repeat:
		e.minActive -= min(e.minActive, 1)
	default:
		e.minActive -= min(e.minActive, 1)
		e.maxActive -= min(e.maxActive, 1)
	}
}

// ResolveDoubt returns the change that ends the evacuation of a zone whose record is in doubt (see InDoubt). It
// returns nil if the record is not in doubt or its generation is another.
func ResolveDoubt(records map[string]Record, name string, generation uint64) []Record {
	old := records[name]
	if old.Gen != generation || !InDoubt(old) {
		return nil
	}
	e := decodeEvacuation(old)
	e.maxActive = 0
	return []Record{e.encodeRecord(name, old.Gen+1)}
}

// HasUnsettledOrders reports whether an evacuation record names orders that are not settled, see SettleOrders.
func HasUnsettledOrders(r Record) bool { return decodeEvacuation(r).unsettled > 0 }

// HasOrdersToSettle reports whether SettleOrders would change an evacuation record.
func HasOrdersToSettle(r Record, recent func(id uint64) bool) bool {
	e := decodeEvacuation(r)
	return e.settle(recent)
}

// SettleOrders returns the change that marks the orders of an evacuation record that are too old to be
// sent again. Control nodes that start later, which can't know how old they are, know it from the
// record. The record keeps its generation, since the evacuations stay as they are.
func SettleOrders(records map[string]Record, name string, recent func(id uint64) bool) []Record {
	old := records[name]
	e := decodeEvacuation(old)
	if !e.settle(recent) {
		return nil
	}
	settled := e.encodeRecord(name, old.Gen)
	settled.Rev = old.Rev + 1
	return []Record{settled}
}

// InDoubt reports whether a record is that of a zone which is evacuated although all its evacuations may
// have been withdrawn.
func InDoubt(r Record) bool {
	if !strings.HasPrefix(r.Name, EvacuationPrefix) || r.Dropped {
		return false
	}
	e := decodeEvacuation(r)
	return e.minActive == 0 && e.maxActive > 0
}

// EvacuationOrders returns the IDs of the newest orders in an evacuation record, the newest last.
func EvacuationOrders(r Record) []uint64 { return decodeEvacuation(r).orders }

// encodeRecord encodes an evacuation record: maxActive, the order IDs, minActive and unsettled, the last two
// of which earlier releases don't read.
func (e evacuation) encodeRecord(name string, generation uint64) Record {
	data := binary.AppendUvarint(nil, e.maxActive)
	for _, id := range e.orders {
		data = binary.LittleEndian.AppendUint64(data, id)
	}
	data = binary.AppendUvarint(data, e.minActive)
	data = binary.AppendUvarint(data, uint64(e.unsettled))
	return Record{Name: name, Gen: generation, Dropped: e.maxActive == 0, Data: data}
}

// decodeEvacuation decodes an evacuation record. In records of earlier releases, which have no minActive,
// all evacuations count as active; in those without unsettled, no order is settled.
func decodeEvacuation(r Record) (e evacuation) {
	maxActive, size := binary.Uvarint(r.Data)
	if size <= 0 {
		if r.Gen > 0 && !r.Dropped {
			e.minActive, e.maxActive = 1, 1
		}
		return e
	}
	rest := r.Data[size:]
	for ; len(rest) >= 8; rest = rest[8:] {
		e.orders = append(e.orders, binary.LittleEndian.Uint64(rest))
	}
	e.minActive, e.maxActive, e.unsettled = maxActive, maxActive, len(e.orders)
	minActive, size := binary.Uvarint(rest)
	if size <= 0 {
		return e
	}
	e.minActive = minActive
	if unsettled, size := binary.Uvarint(rest[size:]); size > 0 {
		e.unsettled = min(int(unsettled), len(e.orders))
	}
	return e
}
