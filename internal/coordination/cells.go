package coordination

// This file holds key-value cells and their history.

import (
	"slices"
	"time"
)

// put writes a value to a cell. A value that the cell already has, or had according to the
// history, counts as a repeat: the answer has the revision of the earlier put, whatever revision the
// call expects and whatever was put since.
func (p *Partition) put(now time.Duration, call Call) (Answer, []Record) {
	groupName := GroupOf(call.Name)
	cell := p.cells[call.Name] // revision 0 if the cell does not exist
	if revision, repeated := p.earlierRevision(call, cell); repeated {
		return Answer{Status: OK, Revision: revision}, nil
	}
	if call.Expected != nil && *call.Expected != cell.Revision {
		return Answer{Status: Mismatch, Revision: cell.Revision}, nil
	}
	next := uint64(1)
	if existing := p.groups[groupName]; existing != nil {
		next = existing.revision + 1
	}
	record := cellRecord{Value: call.Value, Revision: next}
	cellChange := encode(cellPrefix+call.Name, record)
	newEvent := event{eventRecord{Name: call.Name, Value: call.Value}, next, now}
	eventChange := encode(eventName(groupName, next), newEvent.eventRecord)
	if p.exceedsLimits(cellChange) || p.exceedsLimits(eventChange) || p.historyBytes+recordSize(eventChange) > p.limits.HistoryBytes {
		return Answer{Status: Full}, nil
	}
	p.cells[call.Name] = record
	g := p.group(groupName)
	g.revision = next
	g.addEvent(newEvent)
	return Answer{Status: OK, Revision: next}, []Record{cellChange, eventChange}
}

// earlierRevision returns the revision of a put that was executed before.
func (p *Partition) earlierRevision(call Call, cell cellRecord) (uint64, bool) {
	if cell.Revision > 0 && cell.Value == call.Value {
		return cell.Revision, true
	}
	g := p.groups[GroupOf(call.Name)]
	if g == nil {
		return 0, false
	}
	revision, ok := g.puts[putIdentity{call.Name, call.Value}]
	return revision, ok
}

func (g *group) addEvent(e event) {
	g.events = append(g.events, e)
	g.puts[putIdentity{e.Name, e.Value}] = e.revision
}

func (g *group) sortEvents() {
	slices.SortFunc(g.events, func(a, b event) int {
		if a.revision < b.revision {
			return -1
		}
		return 1
	})
}

// SweepDue reports whether Sweep has anything to erase.
func (p *Partition) SweepDue(now time.Duration) bool {
	for _, l := range p.locks {
		if now >= l.leaseEnd {
			return true
		}
	}
	for _, g := range p.groups {
		if len(g.events) > 0 && now-g.events[0].putAt > p.limits.History {
			return true
		}
	}
	return false
}

// Sweep removes the locks whose lease has ended and the events that are older than the
// history limit. It returns the changes; none if there is nothing to remove.
func (p *Partition) Sweep(now time.Duration) []Record {
	var changes []Record
	for name, l := range p.locks {
		if now >= l.leaseEnd {
			delete(p.locks, name)
			changes = append(changes, erasure(lockPrefix+name))
		}
	}
	for name, g := range p.groups {
		changes = append(changes, p.sweepGroup(now, name, g)...)
	}
	return p.accountChanges(changes)
}

func (p *Partition) sweepGroup(now time.Duration, name string, g *group) []Record {
	expired := 0
	for expired < len(g.events) && now-g.events[expired].putAt > p.limits.History {
		expired++
	}
	if expired == 0 {
		return nil
	}
	var changes []Record
	for _, e := range g.events[:expired] {
		delete(g.puts, putIdentity{e.Name, e.Value})
		changes = append(changes, erasure(eventName(name, e.revision)))
		g.oldest = e.revision + 1
	}
	g.events = slices.Clone(g.events[expired:])
	return append(changes, encode(groupPrefix+name, groupRecord{Oldest: g.oldest}))
}

// Counts has the number of items of a partition and their size in bytes.
type Counts struct {
	Locks, Counters, Cells, Groups, Events, Bytes int
}

// Counts returns the number of items in the partition and their size.
func (p *Partition) Counts() Counts {
	c := Counts{Locks: len(p.locks), Counters: len(p.counters), Cells: len(p.cells), Groups: len(p.groups), Bytes: p.totalBytes}
	for _, g := range p.groups {
		c.Events += len(g.events)
	}
	return c
}
