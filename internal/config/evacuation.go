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
const keptOrders = 16

// evacuatesBit tells the numbers of evacuations from those of withdrawals. Those of earlier
// releases all have it.
const evacuatesBit = 1

// EvacuationOrderID makes the number of an order from a random one.
func EvacuationOrderID(random uint64, evacuate bool) uint64 {
	id := random&^evacuatesBit | evacuatesBit<<1
	if evacuate {
		id |= evacuatesBit
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
func (o EvacuationOrder) repeats(e evacuation) bool {
	return slices.ContainsFunc(e.orders, func(id uint64) bool {
		return (id&evacuatesBit != 0) == o.Evacuate && o.Recent != nil && o.Recent(id)
	})
}

// evacuation is the content of a zone's record. Each evacuation that is asked for stands until it is
// withdrawn. Since an order that comes again can't be told from another operator's, the number of those
// that stand is known only by its bounds.
type evacuation struct {
	certain  uint64 // stand at least
	possible uint64 // stand at most
	orders   []uint64
}

// Evacuation works out the change of a zone's evacuation record. The zone is evacuated as
// long as an evacuation may stand. An order that the record names has been carried out. An
// order that rests on another generation than the record's is older than one that was
// carried out, and is refused. Every other order makes a new generation.
func Evacuation(have map[string]Record, o EvacuationOrder) ([]Record, error) {
	name := EvacuationPrefix + o.Zone
	old := have[name]
	e := readEvacuation(old)
	if slices.Contains(e.orders, o.ID) {
		return nil, nil
	}
	if o.Basis != nil && *o.Basis != old.Gen {
		return nil, apierror.New(apierror.Outdated, "zone %s is at generation %d, the order rests on %d", o.Zone, old.Gen, *o.Basis)
	}
	e.take(o.Evacuate, o.repeats(e))
	e.orders = append(e.orders, o.ID)
	e.orders = e.orders[max(0, len(e.orders)-keptOrders):]
	return []Record{e.record(name, old.Gen+1)}, nil
}

// take counts an order, which may be one that was counted before.
func (e *evacuation) take(evacuate, repeat bool) {
	switch {
	case evacuate && repeat && e.certain > 0:
		e.possible++
	case evacuate:
		e.certain++
		e.possible++
	case repeat:
		e.certain -= min(e.certain, 1)
	default:
		e.certain -= min(e.certain, 1)
		e.possible -= min(e.possible, 1)
	}
}

// EndDoubt works out the change that takes a zone back of which a generation leaves it open whether
// an evacuation stands. It changes nothing on another generation.
func EndDoubt(have map[string]Record, name string, generation uint64) []Record {
	old := have[name]
	if old.Gen != generation || !InDoubt(old) {
		return nil
	}
	e := readEvacuation(old)
	e.possible = 0
	return []Record{e.record(name, old.Gen+1)}
}

// InDoubt says whether a record is that of a zone which is evacuated though all
// evacuations may have been withdrawn.
func InDoubt(r Record) bool {
	if !strings.HasPrefix(r.Name, EvacuationPrefix) || r.Dropped {
		return false
	}
	e := readEvacuation(r)
	return e.certain == 0 && e.possible > 0
}

// EvacuationOrders are the numbers of the newest orders that an evacuation record names, the
// last one last.
func EvacuationOrders(r Record) []uint64 { return readEvacuation(r).orders }

// record lays the content out: the possible evacuations, the orders, and the certain evacuations, which
// earlier releases don't read.
func (e evacuation) record(name string, generation uint64) Record {
	data := binary.AppendUvarint(nil, e.possible)
	for _, id := range e.orders {
		data = binary.LittleEndian.AppendUint64(data, id)
	}
	data = binary.AppendUvarint(data, e.certain)
	return Record{Name: name, Gen: generation, Dropped: e.possible == 0, Data: data}
}

// readEvacuation reads an evacuation record. Where earlier releases wrote it, all evacuations
// are certain.
func readEvacuation(r Record) (e evacuation) {
	possible, size := binary.Uvarint(r.Data)
	if size <= 0 {
		if r.Gen > 0 && !r.Dropped {
			e.certain, e.possible = 1, 1
		}
		return e
	}
	rest := r.Data[size:]
	for ; len(rest) >= 8; rest = rest[8:] {
		e.orders = append(e.orders, binary.LittleEndian.Uint64(rest))
	}
	e.certain, e.possible = possible, possible
	if certain, size := binary.Uvarint(rest); size > 0 {
		e.certain = certain
	}
	return e
}
