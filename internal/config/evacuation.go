package config

import (
	"encoding/binary"
	"slices"
)

// This file holds the records of evacuated zones.

// EvacuationPrefix begins the keys that hold a zone's evacuation.
const EvacuationPrefix = "evacuation/"

// askOrders is how many of the newest orders an evacuation record names: as many as may
// be under way at once.
const askOrders = 8

// Evacuation works out the change of a zone's evacuation record. An evacuation
// may be asked for more than once, and each withdrawal takes back one ask. id names
// the order, however often and by whom it is passed on: one that the record names
// has been carried out. repeat says that the order may be an earlier one that its
// operator sends again; it then counts only if the zone is not yet as it asks.
func Evacuation(have map[string]Record, zone string, on bool, id uint64, repeat bool) ([]Record, error) {
	name := EvacuationPrefix + zone
	old := have[name]
	asks, orders := readAsks(old)
	if slices.Contains(orders, id) {
		return nil, nil
	}
	switch {
	case on && (asks == 0 || !repeat):
		asks++
	case !on && asks > 0 && !repeat:
		asks--
	default:
		return nil, nil
	}
	orders = append(orders, id)
	orders = orders[max(0, len(orders)-askOrders):]
	r := Record{Name: name, Gen: old.Gen + 1, Dropped: asks == 0, Data: binary.AppendUvarint(nil, asks)}
	for _, o := range orders {
		r.Data = binary.LittleEndian.AppendUint64(r.Data, o)
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
