package config

import (
	"encoding/binary"
	"slices"
	"strings"

	"madderwing/internal/apierror"
)

// This file holds the records of evacuated zones.

// EvacuationPrefix begins the keys that hold a zone's evacuation.
const EvacuationPrefix = "evacuation/"

// keptOrders is how many of the newest orders an evacuation record names: twice as many as may
// be under way at once.
const maxKeptOrders = 16

// evacuatesBit tells the numbers of evacuations from those of withdrawals. Those of earlier
// releases all have it.
const evacuateBit = 1

// EvacuationOrderID makes the number of an order from a random one.
func EvacuationOrderID(random uint64, evacuate bool) uint64 {
	id := random&^evacuateBit | evacuateBit<<1
	if evacuate {
		id |= evacuateBit
	}
	return id
}

// EvacuationOrder is an order of an operator's on a zone.
type EvacuationOrder struct {
	Zone     string
	Evacuate bool // else it withdraws an evacuation
	// ID names the order, however often and by whom it is passed on.
	ID uint64
	// Basis is the generation of the zone's record on which the order rests; nil: not told.
	Basis *uint64
	// Recent says whether an order that was carried out may still be sent again by its operator, who
	// gets another ID then.
	Recent func(id uint64) bool
}

// repeats says whether the order may be one that an evacuation record names, sent again.
func (order EvacuationOrder) mayRepeat(e evacuation) bool {
	return slices.ContainsFunc(e.orders, func(id uint64) bool {
		return (id&evacuateBit != 0) == order.Evacuate && order.Recent != nil && order.Recent(id)
	})
}

// evacuation is the content of a zone's record. Each evacuation that is asked for stands until it is
// withdrawn. Since an order that comes again can't be told from another operator's, the number of those
// that stand is known only by its bounds.
type evacuation struct {
	minActive uint64 // stand at least
	maxActive uint64 // stand at most
	orders    []uint64
}

// Evacuation works out the change of a zone's evacuation record. The zone is evacuated as
// long as an evacuation may stand. An order that the record names has been carried out. An
// order that rests on another generation than the record's is older than one that was
// carried out, and is refused. Every other order makes a new generation.
func Evacuation(records map[string]Record, order EvacuationOrder) ([]Record, error) {
	name := EvacuationPrefix + order.Zone
	old := records[name]
	e := decodeEvacuation(old)
	if slices.Contains(e.orders, order.ID) {
		return nil, nil
	}
	if order.Basis != nil && *order.Basis != old.Gen {
		return nil, apierror.New(apierror.Outdated, "zone %s is at generation %d, the order rests on %d", order.Zone, old.Gen, *order.Basis)
	}
	e.count(order.Evacuate, order.mayRepeat(e))
	e.orders = append(e.orders, order.ID)
	e.orders = e.orders[max(0, len(e.orders)-maxKeptOrders):]
	return []Record{e.encodeRecord(name, old.Gen+1)}, nil
}

// take counts an order, which may be one that was counted before.
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

// EndDoubt works out the change that takes a zone back of which a generation leaves it open whether
// an evacuation stands. It changes nothing on another generation.
func EndDoubt(records map[string]Record, name string, generation uint64) []Record {
	old := records[name]
	if old.Gen != generation || !InDoubt(old) {
		return nil
	}
	e := decodeEvacuation(old)
	e.maxActive = 0
	return []Record{e.encodeRecord(name, old.Gen+1)}
}

// InDoubt says whether a record is that of a zone which is evacuated though all
// evacuations may have been withdrawn.
func InDoubt(r Record) bool {
	if !strings.HasPrefix(r.Name, EvacuationPrefix) || r.Dropped {
		return false
	}
	e := decodeEvacuation(r)
	return e.minActive == 0 && e.maxActive > 0
}

// EvacuationOrders are the numbers of the newest orders that an evacuation record names, the
// last one last.
func EvacuationOrders(r Record) []uint64 { return decodeEvacuation(r).orders }

// record lays the content out: the possible evacuations, the orders, and the certain evacuations, which
// earlier releases don't read.
func (e evacuation) encodeRecord(name string, generation uint64) Record {
	data := binary.AppendUvarint(nil, e.maxActive)
	for _, id := range e.orders {
		data = binary.LittleEndian.AppendUint64(data, id)
	}
	data = binary.AppendUvarint(data, e.minActive)
	return Record{Name: name, Gen: generation, Dropped: e.maxActive == 0, Data: data}
}

// readEvacuation reads an evacuation record. Where earlier releases wrote it, all evacuations
// are certain.
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
	e.minActive, e.maxActive = maxActive, maxActive
	if minActive, size := binary.Uvarint(rest); size > 0 {
		e.minActive = minActive
	}
	return e
}
