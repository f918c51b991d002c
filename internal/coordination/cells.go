package coordination

// This file holds key-value cells and their history.

import (
	"slices"
	"time"
)

// put puts a value into a cell. One that was put before gets its first revision again,
// whatever it was conditioned on and whatever was put since.
func (p *Partition) put(now time.Duration, c Call) (Answer, []Record) {
	name := GroupOf(c.Name)
	cell := p.cells[c.Name] // revision 0 if there is none
	if revision, repeated := p.repeated(c, cell); repeated {
		return Answer{Status: OK, Revision: revision}, nil
	}
	if c.Expected != nil && *c.Expected != cell.Revision {
		return Answer{Status: Mismatch, Revision: cell.Revision}, nil
	}
	next := uint64(1)
	if g := p.groups[name]; g != nil {
		next = g.revision + 1
	}
	record := cellRecord{Value: c.Value, Revision: next}
	stored := encode(cellPrefix+c.Name, record)
	made := event{eventRecord{Name: c.Name, Value: c.Value}, next, now}
	history := encode(eventName(name, next), made.eventRecord)
	if p.full(stored) || p.full(history) || p.historyBytes+weight(history) > p.limits.HistoryBytes {
		return Answer{Status: Full}, nil
	}
	p.cells[c.Name] = record
	g := p.group(name)
	g.revision = next
	g.add(made)
	return Answer{Status: OK, Revision: next}, []Record{stored, history}
}

// repeated gives the revision of a put that was carried out before.
func (p *Partition) repeated(c Call, cell cellRecord) (uint64, bool) {
	if cell.Revision > 0 && cell.Value == c.Value {
		return cell.Revision, true
	}
	g := p.groups[GroupOf(c.Name)]
	if g == nil {
		return 0, false
	}
	revision, ok := g.puts[put{c.Name, c.Value}]
	return revision, ok
}

func (g *group) add(e event) {
	g.events = append(g.events, e)
	g.puts[put{e.Name, e.Value}] = e.revision
}

func (g *group) sort() {
	slices.SortFunc(g.events, func(a, b event) int {
		if a.revision < b.revision {
			return -1
		}
		return 1
	})
}

// SweepDue says whether Sweep has anything to erase.
func (p *Partition) SweepDue(now time.Duration) bool {
	for _, l := range p.locks {
		if now >= l.end {
			return true
		}
	}
	for _, g := range p.groups {
		if len(g.events) > 0 && now-g.events[0].at > p.limits.History {
			return true
		}
	}
	return false
}

// Sweep gives the changes that erase locks whose lease has ended and history that is old
// enough; none if there is nothing to erase.
func (p *Partition) Sweep(now time.Duration) []Record {
	var changes []Record
	for name, l := range p.locks {
		if now >= l.end {
			delete(p.locks, name)
			changes = append(changes, erase(lockPrefix+name))
		}
	}
	for name, g := range p.groups {
		changes = append(changes, p.sweepGroup(now, name, g)...)
	}
	return p.changed(changes)
}

func (p *Partition) sweepGroup(now time.Duration, name string, g *group) []Record {
	old := 0
	for old < len(g.events) && now-g.events[old].at > p.limits.History {
		old++
	}
	if old == 0 {
		return nil
	}
	var changes []Record
	for _, e := range g.events[:old] {
		delete(g.puts, put{e.Name, e.Value})
		changes = append(changes, erase(eventName(name, e.revision)))
		g.oldest = e.revision + 1
	}
	g.events = slices.Clone(g.events[old:])
	return append(changes, encode(groupPrefix+name, groupRecord{Oldest: g.oldest}))
}

// Counts are the sizes of a partition.
type Counts struct {
	Locks, Counters, Cells, Groups, Events, Bytes int
}

// Counts tells how much the partition holds.
func (p *Partition) Counts() Counts {
	c := Counts{Locks: len(p.locks), Counters: len(p.counters), Cells: len(p.cells), Groups: len(p.groups), Bytes: p.bytes}
	for _, g := range p.groups {
		c.Events += len(g.events)
	}
	return c
}
