package replication

// This file holds membership: who counts, the founding roster, and its changes.

import (
	"madderwing/internal/ledger"
	"sort"
	"time"
)

// Roster lists the members that this one knows of.
func (m *Member) Roster() []string {
	var out []string
	for name, r := range m.keys[RosterKey].Records {
		if !r.Dropped {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

func (m *Member) others() []string {
	var out []string
	for _, id := range m.Roster() {
		if id != m.cfg.Self {
			out = append(out, id)
		}
	}
	return out
}

func majority(n int) int { return n/2 + 1 }

// enough says whether the members for which has holds may promise (need a
// majority) or acknowledge (need the owner, two others, and a majority).
func enough(roster []string, durable bool, has func(string) bool) bool {
	n := 0
	for _, id := range roster {
		if has(id) {
			n++
		}
	}
	need := majority(len(roster))
	if durable {
		need = max(need, min(3, len(roster)))
	}
	return len(roster) > 0 && n >= need
}

func (m *Member) quorum(k *key, durable bool, has func(string) bool) bool {
	if !enough(m.Roster(), durable, has) {
		return false
	}
	if k.oldNeed != nil {
		var old []string
		for id := range k.oldNeed {
			old = append(old, id)
		}
		return enough(old, durable, has)
	}
	return true
}

func (m *Member) mayFound() bool {
	return len(m.cfg.Seeds) > 0 && m.cfg.Seeds[0] == m.cfg.Self && !m.founded &&
		(m.cfg.Bootstrap && m.cfg.Empty || len(m.keys[RosterKey].Records) > 0)
}

func (m *Member) found() {
	k := m.keys[RosterKey]
	if len(k.Records) == 0 {
		k.promised = Epoch{1, m.cfg.Self, m.cfg.Life}
		k.at = Position{k.promised, 1}
		for _, id := range m.cfg.Seeds {
			k.set([]Record{{Name: id, Gen: 1}})
		}
		m.voting = true
		entries := append(k.set(k.Pick(allRanges)), k.meta(), m.nodeEntry())
		m.write(entries, func() { m.foundAcks[m.cfg.Self] = true; m.foundDone() })
	} else {
		m.settled(func() { m.foundAcks[m.cfg.Self] = true; m.foundDone() })
	}
	for _, id := range m.cfg.Seeds {
		if id != m.cfg.Self && !m.foundAcks[id] {
			m.send(id, Message{Found: &Found{k.at, k.Pick(allRanges)}})
		}
	}
}

func (m *Member) onFound(from string, f *Found) {
	k := m.keys[RosterKey]
	if len(m.cfg.Seeds) == 0 || from != m.cfg.Seeds[0] {
		return
	}
	if !m.voting {
		if !m.cfg.Empty || !m.cfg.Bootstrap {
			return
		}
		k.promised, k.at, m.voting = f.At.Epoch, f.At, true
		k.heard, k.heardAny = m.now, true
		entries := append(k.replace(allRanges, f.Records), k.meta(), m.nodeEntry())
		m.write(entries, nil)
	} else if k.at.Less(f.At) {
		return
	}
	m.settled(func() { m.send(from, Message{Founded: &Founded{f.At}}) })
}

func (m *Member) onFounded(from string, f *Founded) {
	if !m.founded && m.voting {
		m.foundAcks[from] = true
		m.foundDone()
	}
}

func (m *Member) foundDone() {
	for _, id := range m.cfg.Seeds {
		if !m.foundAcks[id] {
			return
		}
	}
	if !m.founded {
		m.founded = true
		m.write([]ledger.Entry{m.nodeEntry()}, nil)
		m.takeOver(m.keys[RosterKey])
	}
}

func (m *Member) onEnroll(from string) {
	k := m.keys[RosterKey]
	if k.role != owns || !m.founded || len(k.queue) > 0 {
		return
	}
	m.Propose(m.now, RosterKey, func(have map[string]Record) ([]Record, error) {
		r, ok := have[from]
		if ok && !r.Dropped {
			return nil, nil
		}
		return []Record{{Name: from, Gen: r.Gen + 1}}, nil
	}, func(error) {})
}

// Retire takes a member that is gone for good out of the roster.
func (m *Member) Retire(now time.Duration, id string, done func(error)) {
	m.Propose(now, RosterKey, func(have map[string]Record) ([]Record, error) {
		r, ok := have[id]
		switch {
		case !ok:
			return nil, ErrUnknown
		case r.Dropped:
			return nil, nil
		case m.cfg.Alive(id) || id == m.cfg.Self:
			return nil, ErrAlive
		case len(m.Roster()) <= 3:
			return nil, ErrTooFew
		}
		return []Record{{Name: id, Gen: r.Gen + 1, Dropped: true}}, nil
	}, done)
}

func (m *Member) inRoster() bool {
	r, ok := m.keys[RosterKey].Records[m.cfg.Self]
	return ok && !r.Dropped
}
