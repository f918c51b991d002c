package coordination

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits bound a partition.
type Limits struct {
	// History is for how long a put is kept for watches and for repeats of the put.
	History time.Duration
	// Bytes bounds all records of the partition, HistoryBytes the history among them.
	Bytes, HistoryBytes int
	// HasRoom says whether the disk has room for so many bytes more, where it is set.
	HasRoom func(bytes int) bool
}

// Partition is the state of a partition at its owner: the records in decoded form, and
// what is known only there, on the owner's steady clock: when leases end and how old
// the history is. It lives for one term of ownership.
type Partition struct {
	limits   Limits
	hasHead  bool
	fence    uint64
	locks    map[string]*lock
	counters map[string]uint64
	cells    map[string]cellRecord
	groups   map[string]*group

	weights      map[string]int // by name of record
	bytes        int
	historyBytes int
}

// lock is a lock that is held, or whose lease has ended and that nobody took since.
type lock struct {
	lockRecord
	end time.Duration
}

// group is a group of cells with the history of its puts.
type group struct {
	revision uint64
	oldest   uint64 // of the events that are kept
	events   []event
	puts     map[put]uint64 // revision by put, for those in the history
}

type event struct {
	eventRecord
	revision uint64
	at       time.Duration
}

// put identifies a put: a cell gets every value once.
type put struct{ name, value string }

// Load makes the state of a partition from its records, for an owner whose term began at
// the time since. Every lease counts as whole from then and all history as new, since no
// earlier owner's clock is known.
func Load(records map[string]Record, since time.Duration, limits Limits) (*Partition, error) {
	p := &Partition{limits: limits, locks: map[string]*lock{}, counters: map[string]uint64{},
		cells: map[string]cellRecord{}, groups: map[string]*group{}, weights: map[string]int{}}
	for name, r := range records {
		if err := p.load(r, since); err != nil {
			return nil, fmt.Errorf("record %q: %w", name, err)
		}
		p.weigh(r)
	}
	for _, g := range p.groups {
		g.sort()
	}
	return p, nil
}

func (p *Partition) load(r Record, since time.Duration) error {
	kind, name, _ := strings.Cut(r.Name, "/")
	switch kind + "/" {
	case headName + "/":
		var head headRecord
		if err := cbor.Unmarshal(r.Data, &head); err != nil {
			return err
		}
		if head.Partitions != Partitions {
			return fmt.Errorf("made for %d partitions, not %d", head.Partitions, Partitions)
		}
		p.hasHead, p.fence = true, head.Fence
	case lockPrefix:
		var record lockRecord
		if err := cbor.Unmarshal(r.Data, &record); err != nil {
			return err
		}
		p.locks[name] = &lock{record, since + record.Hold}
	case counterPrefix:
		var record counterRecord
		if err := cbor.Unmarshal(r.Data, &record); err != nil {
			return err
		}
		p.counters[name] = record.Value
	case cellPrefix:
		var record cellRecord
		if err := cbor.Unmarshal(r.Data, &record); err != nil {
			return err
		}
		p.cells[name] = record
		g := p.group(GroupOf(name))
		g.revision = max(g.revision, record.Revision)
	case groupPrefix:
		var record groupRecord
		if err := cbor.Unmarshal(r.Data, &record); err != nil {
			return err
		}
		p.group(name).oldest = record.Oldest
	case eventPrefix:
		name, revision, err := parseEventName(r.Name)
		if err != nil {
			return err
		}
		var record eventRecord
		if err := cbor.Unmarshal(r.Data, &record); err != nil {
			return err
		}
		g := p.group(name)
		g.add(event{record, revision, since})
	}
	return nil
}

func (p *Partition) group(name string) *group {
	g := p.groups[name]
	if g == nil {
		g = &group{oldest: 1, puts: map[put]uint64{}}
		p.groups[name] = g
	}
	return g
}

// Execute carries out a call. The answer counts, and may be given, only once the returned
// changes are committed and the owner's term is confirmed after the execution.
func (p *Partition) Execute(now time.Duration, c Call) (Answer, []Record) {
	var answer Answer
	var changes []Record
	switch c.Operation {
	case Acquire:
		answer, changes = p.acquire(now, c)
	case Renew:
		answer, changes = p.renew(now, c)
	case Release:
		answer, changes = p.release(c)
	case Draw:
		answer, changes = p.draw(c)
	case Put:
		answer, changes = p.put(now, c)
	case Get:
		cell, ok := p.cells[c.Name]
		if !ok {
			return Answer{Status: Missing}, nil
		}
		return Answer{Status: OK, Value: cell.Value, Revision: cell.Revision}, nil
	case Revision:
		answer = Answer{Status: OK}
		if g := p.groups[c.Name]; g != nil {
			answer.Revision = g.revision
		}
	}
	return answer, p.changed(changes)
}

// changed accounts for changes and adds the partition's own record to the first ones.
func (p *Partition) changed(changes []Record) []Record {
	if len(changes) > 0 && !p.hasHead {
		p.hasHead = true
		changes = append(changes, p.head())
	}
	for _, r := range changes {
		p.weigh(r)
	}
	return changes
}

func (p *Partition) head() Record {
	return encode(headName, headRecord{Partitions: Partitions, Fence: p.fence})
}

// weigh accounts for a record that is added, replaced or erased.
func (p *Partition) weigh(r Record) {
	difference := -p.weights[r.Name]
	delete(p.weights, r.Name)
	if !r.Erased {
		p.weights[r.Name] = weight(r)
		difference += weight(r)
	}
	p.bytes += difference
	if strings.HasPrefix(r.Name, eventPrefix) {
		p.historyBytes += difference
	}
}

// full says whether a new record would exceed the bound of the partition or the disk.
func (p *Partition) full(r Record) bool {
	growth := weight(r) - p.weights[r.Name]
	if p.bytes+growth > p.limits.Bytes {
		return true
	}
	return p.limits.HasRoom != nil && !p.limits.HasRoom(growth)
}
