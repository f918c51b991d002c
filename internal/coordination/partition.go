package coordination

import (
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits are the limits of a partition.
type Limits struct {
	// History is how long a put is kept for watches and to recognize its repeats.
	History time.Duration
	// Bytes limits the size of all records of the partition, HistoryBytes that of the
	// events among them.
	Bytes, HistoryBytes int
	// HasRoom reports whether the disk has room for that many more bytes; nil: it always has.
	HasRoom func(bytes int) bool
}

// Partition is the state of a partition at its owner during one ownership term: the decoded
// records, and times that are not in the records: when each lease ends and when each put was
// made, on the owner's monotonic clock.
type Partition struct {
	limits           Limits
	headWritten      bool
	lastFencingToken uint64
	locks            map[string]*lock
	counters         map[string]uint64
	cells            map[string]cellRecord
	groups           map[string]*group

	recordSizes  map[string]int // by record name
	totalBytes   int
	historyBytes int
}

// lock is a lock that is held, or one whose lease has ended without another acquisition since.
type lock struct {
	lockRecord
	leaseEnd time.Duration
}

// group is a group of cells with the history of its puts.
type group struct {
	revision uint64 // newest
	oldest   uint64 // the history below this revision is erased
	events   []event
	puts     map[putIdentity]uint64 // to revision, for the puts in the history
}

type event struct {
	eventRecord
	revision uint64
	putAt    time.Duration
}

// putIdentity identifies a put. A second put of the same value to the same cell is a repeat.
type putIdentity struct{ name, value string }

// Load decodes a partition from its records, for an owner whose term began at termStart.
// Every lease restarts at that time with its full length, and all events count as new, because
// the clocks of earlier owners are unknown.
func Load(records map[string]Record, termStart time.Duration, limits Limits) (*Partition, error) {
	p := &Partition{limits: limits, locks: map[string]*lock{}, counters: map[string]uint64{},
		cells: map[string]cellRecord{}, groups: map[string]*group{}, recordSizes: map[string]int{}}
	for name, r := range records {
		if err := p.load(r, termStart); err != nil {
			return nil, fmt.Errorf("record %q: %w", name, err)
		}
		p.account(r)
	}
	for _, g := range p.groups {
		g.sortEvents()
	}
	return p, nil
}

func (p *Partition) load(r Record, termStart time.Duration) error {
	kind, name, _ := strings.Cut(r.Name, "/")
	switch kind + "/" {
	case headName + "/":
		var head headRecord
		if err := cbor.Unmarshal(r.Data, &head); err != nil {
			return err
		}
		if head.Partitions != Partitions {
			return fmt.Errorf("created with %d partitions, but this release has %d", head.Partitions, Partitions)
		}
		p.headWritten, p.lastFencingToken = true, head.FencingToken
	case lockPrefix:
		var record lockRecord
		if err := cbor.Unmarshal(r.Data, &record); err != nil {
			return err
		}
		p.locks[name] = &lock{record, termStart + record.Lease}
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
		g.addEvent(event{record, revision, termStart})
	}
	return nil
}

func (p *Partition) group(name string) *group {
	g := p.groups[name]
	if g == nil {
		g = &group{oldest: 1, puts: map[putIdentity]uint64{}}
		p.groups[name] = g
	}
	return g
}

// Execute executes a call. The answer is valid only once the returned changes are committed
// and the owner's term has been confirmed after the execution.
func (p *Partition) Execute(now time.Duration, call Call) (Answer, []Record) {
	var answer Answer
	var changes []Record
	switch call.Operation {
	case Acquire:
		answer, changes = p.acquire(now, call)
	case Renew:
		answer, changes = p.renew(now, call)
	case Release:
		answer, changes = p.release(call)
	case Increment:
		answer, changes = p.increment(call)
	case Put:
		answer, changes = p.put(now, call)
	case Get:
		cell, ok := p.cells[call.Name]
		if !ok {
			return Answer{Status: NotFound}, nil
		}
		return Answer{Status: OK, Value: cell.Value, Revision: cell.Revision}, nil
	case Revision:
		answer = Answer{Status: OK}
		if g := p.groups[call.Name]; g != nil {
			answer.Revision = g.revision
		}
	}
	return answer, p.accountChanges(changes)
}

// accountChanges adds the head record to the partition's first changes and accounts for the size
// of all changes.
func (p *Partition) accountChanges(changes []Record) []Record {
	if len(changes) > 0 && !p.headWritten {
		p.headWritten = true
		changes = append(changes, p.encodeHead())
	}
	for _, r := range changes {
		p.account(r)
	}
	return changes
}

func (p *Partition) encodeHead() Record {
	return encode(headName, headRecord{Partitions: Partitions, FencingToken: p.lastFencingToken})
}

// account updates the sizes for a record that is added, replaced or erased.
func (p *Partition) account(r Record) {
	difference := -p.recordSizes[r.Name]
	delete(p.recordSizes, r.Name)
	if !r.Erased {
		p.recordSizes[r.Name] = recordSize(r)
		difference += recordSize(r)
	}
	p.totalBytes += difference
	if strings.HasPrefix(r.Name, eventPrefix) {
		p.historyBytes += difference
	}
}

// exceedsLimits reports whether a new record would exceed the size limit of the partition or
// the room on the disk.
func (p *Partition) exceedsLimits(r Record) bool {
	growth := recordSize(r) - p.recordSizes[r.Name]
	if p.totalBytes+growth > p.limits.Bytes {
		return true
	}
	return p.limits.HasRoom != nil && !p.limits.HasRoom(growth)
}
