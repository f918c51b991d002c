package config

import (
	"encoding/binary"
	"slices"

	"madderwing/internal/apierror"
)

// This file holds the records of evacuated zones.

// EvacuationPrefix begins the keys that hold a zone's evacuation.
const EvacuationPrefix = "evacuation/"

// askOrders is how many of the newest orders an evacuation record names: as many as may
// be under way at once.
const askOrders = 8

// EvacuationOrder is an order of an operator's on a zone.
type EvacuationOrder struct {
	Zone     string
	Evacuate bool // else it withdraws an evacuation
	// ID names the order, however often and by whom it is passed on.
	ID uint64
	// Basis is the generation of the zone's record on which the order rests; nil: not told.
	Basis *uint64
	// Repeat says that the order may be an earlier one that its operator sends again.
	Repeat bool
}

// Evacuation works out the change of a zone's evacuation record. An evacuation
// may be asked for more than once, and each withdrawal takes back one ask. An order
// that the record names has been carried out; one that may be a repeat counts only if the
// zone is not yet as it asks. An order that rests on another generation than the
// record's is older than one that was carried out, and is refused.
func Evacuation(have map[string]Record, o EvacuationOrder) ([]Record, error) {
	name := EvacuationPrefix + o.Zone
	old := have[name]
	asks, orders := readAsks(old)
	if slices.Contains(orders, o.ID) {
		return nil, nil
	}
	if o.Basis != nil && *o.Basis != old.Gen {
		return nil, apierror.New(apierror.Outdated, "zone %s is at generation %d, the order rests on %d", o.Zone, old.Gen, *o.Basis)
	}
	switch {
	case o.Evacuate && (asks == 0 || !o.Repeat):
		asks++
	case !o.Evacuate && asks > 0 && !o.Repeat:
		asks--
	default:
		return nil, nil
	}
	orders = append(orders, o.ID)
	orders = orders[max(0, len(orders)-askOrders):]
	r := Record{Name: name, Gen: old.Gen + 1, Dropped: asks == 0, Data: binary.AppendUvarint(nil, asks)}
	for _, id := range orders {
		r.Data = binary.LittleEndian.AppendUint64(r.Data, id)
	}
	return []Record{r}, nil
}

// readAsks reads an evacuation record: how many asks stand, and the newest orders,
// the last one last.
func readAsks(r Record) (asks uint64, orders []uint64) {
	asks, size := binary.Uvarint(r.Data)
	if size <= 0 {
		if r.Gen > 0 && !r.Dropped {
			asks = 1
		}
		return asks, nil
	}
	for rest := r.Data[size:]; len(rest) >= 8; rest = rest[8:] {
		orders = append(orders, binary.LittleEndian.Uint64(rest))
	}
	return asks, orders
}

// LastOrder is the newest order that an evacuation record names; 0: none.
func LastOrder(r Record) uint64 {
	if _, orders := readAsks(r); len(orders) > 0 {
		return orders[len(orders)-1]
	}
	return 0
}
