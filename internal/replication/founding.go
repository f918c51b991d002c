package replication

// This file holds how a system is founded.

import "slices"

// founding says that this member may take part in founding a system.
func (m *Replica) founding() bool {
	return !m.founded && len(m.cfg.Seeds) > 0 && (m.cfg.Bootstrap && m.cfg.Empty || len(m.keys[RosterKey].Records) > 0)
}

// founders names the seeds that found, this member among them; empty if another one
// proposes, or if it isn't known yet. The lowest seed with a disk proposes. If no seed
// has one, the lowest appoints the first member that asks it.
func (m *Replica) founders() (out []string) {
	for _, seed := range m.cfg.Seeds {
		if _, relay := m.relays[seed]; relay {
			continue
		}
		if len(out) == 0 && seed != m.cfg.Self {
			return nil
		}
		out = append(out, seed)
	}
	if len(out) == 0 && m.relays[m.cfg.Seeds[0]] == m.cfg.Self {
		return []string{m.cfg.Self}
	}
	return out
}

func (m *Replica) tickFounding() {
	if !m.founding() || m.now < m.foundAt {
		return
	}
	m.foundAt = m.now + m.cfg.Beat/2
	k := m.keys[RosterKey]
	m.foundIDs[m.cfg.Self] = m.self
	for _, seed := range m.cfg.Seeds {
		if _, relay := m.relays[seed]; seed != m.cfg.Self && m.foundIDs[seed] == "" && (!relay || seed == m.cfg.Seeds[0]) {
			m.send(seed, Message{Body: &Found{}})
		}
	}
	m.found(k)
}

// found proposes the founding roster, once all who found are known to be there.
func (m *Replica) found(k *key) {
	by := m.founders()
	if len(by) == 0 || len(k.Records) > 0 && (k.at.Epoch.N != 1 || k.at.Seq != 1 || k.at.Epoch.Owner != m.cfg.Self) {
		return
	}
	if len(k.Records) == 0 {
		for _, seed := range by {
			if m.foundIDs[seed] == "" {
				return
			}
		}
		k.promised = Epoch{1, m.cfg.Self, m.cfg.Life}
		var records []Record
		for _, seed := range by {
			records = append(records, seatRecord(m.foundIDs[seed], 1, seated))
		}
		entries := m.replace(k, allRanges, records)
		k.at = Position{k.promised, 1}
		m.write(append(entries, k.meta()), nil)
	}
	m.settled(func() { m.foundAcks[m.cfg.Self] = true; m.foundDone() })
	for _, to := range m.Roster() {
		if to != m.cfg.Self && !m.foundAcks[to] {
			m.send(to, Message{Body: &Found{k.at, k.Pick(allRanges)}})
		}
	}
}

func (m *Replica) onFound(from string, f *Found) {
	k := m.keys[RosterKey]
	switch {
	case len(f.Records) == 0:
		if m.founding() && len(k.Records) == 0 {
			m.settled(func() { m.send(from, Message{Body: &Founded{}}) })
		}
		return
	case len(k.Records) == 0:
		if !m.cfg.Empty || !m.cfg.Bootstrap || !slices.ContainsFunc(f.Records, func(r Record) bool { return r.Name == m.self }) {
			return
		}
		entries := m.replace(k, allRanges, f.Records)
		k.promised, k.at = f.At.Epoch, f.At
		k.heard, k.heardAny = m.now, true
		m.write(append(entries, k.meta()), nil)
	case k.at.Less(f.At):
		return
	}
	m.settled(func() { m.send(from, Message{Body: &Founded{At: f.At}}) })
}

func (m *Replica) onFounded(from, id string, f *Founded) {
	switch {
	case !m.founding():
	case f.Relay:
		m.relays[from] = f.Appointed
	case f.At.Seq == 0:
		m.foundIDs[from] = id
	case f.At == m.keys[RosterKey].at:
		m.foundAcks[from] = true
		m.foundDone()
		return
	}
	if m.founding() && m.cfg.Bootstrap && m.cfg.Empty && len(m.keys[RosterKey].Records) == 0 {
		m.found(m.keys[RosterKey])
	}
}

func (m *Replica) foundDone() {
	if m.founded {
		return
	}
	for _, a := range m.Roster() {
		if !m.foundAcks[a] {
			return
		}
	}
	m.founded = true
	m.write([]ledgerEntry{m.nodeEntry()}, nil)
	m.takeOver(m.keys[RosterKey], true)
}
