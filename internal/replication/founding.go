package replication

// This file holds how a system is founded.
//
// A member whose disk is empty at the system's first start writes the seeds of that start beside
// its identity, and may found until it has a roster, also in later lives of its process. The lowest
// such seed with a disk proposes the roster, once all seeds have told it that they are there and have
// none. A seed without that note is passive: it was killed before its first write, or has lost its disk. It never
// proposes, but takes part. Nothing is said before what it rests on is durable, so a seed takes one
// founding roster at most, and one that was proposed before goes on.

import "slices"

// mayFound says that this member may propose or appoint itself in the founding of a system.
func (m *Replica) mayFound() bool {
	return !m.founded && len(m.firstSeeds) > 0 && len(m.keys[RosterKey].Records) == 0
}

// founding says that this member takes part in founding a system.
func (m *Replica) founding() bool {
	return m.mayFound() || !m.founded && len(m.foundingSeeds()) > 0 && len(m.keys[RosterKey].Records) > 0
}

// foundingSeeds are the seeds of the system's first start, as far as they are known here.
func (m *Replica) foundingSeeds() []string {
	if len(m.firstSeeds) > 0 {
		return m.firstSeeds
	}
	return m.cfg.Seeds
}

// founders names the seeds that found, this member among them; empty if another one
// proposes, or if it isn't known yet. The lowest seed with a disk that isn't passive proposes. If no seed
// has one, the lowest appoints the first member that asks it.
func (m *Replica) founders() (out []string) {
	seeds, lowest := m.foundingSeeds(), ""
	for _, seed := range seeds {
		if _, relay := m.relays[seed]; relay {
			continue
		}
		if lowest == "" && !m.passive[seed] {
			lowest = seed
		}
		out = append(out, seed)
	}
	switch {
	case lowest == m.cfg.Self:
		return out
	case len(out) == 0 && m.relays[seeds[0]] == m.cfg.Self:
		return []string{m.cfg.Self}
	}
	return nil
}

func (m *Replica) tickFounding() {
	if !m.founding() || m.now < m.foundAt {
		return
	}
	m.foundAt = m.now + m.cfg.Beat/2
	k := m.keys[RosterKey]
	m.foundIDs[m.cfg.Self] = m.self
	seeds := m.foundingSeeds()
	for _, seed := range seeds {
		if _, relay := m.relays[seed]; seed != m.cfg.Self && m.foundIDs[seed] == "" && (!relay || seed == seeds[0]) {
			m.send(seed, Message{Body: &Found{}})
		}
	}
	m.found(k)
}

// found proposes the founding roster, once all who found are known to be there.
func (m *Replica) found(k *key) {
	switch {
	case len(k.Records) == 0:
		if !m.propose(k) {
			return
		}
	case k.at.Epoch.N != 1 || k.at.Seq != 1 || k.at.Epoch.Owner != m.cfg.Self:
		return
	}
	m.settled(func() {
		m.foundAcks[m.cfg.Self] = true
		for _, to := range m.Roster() {
			if !m.foundAcks[to] {
				m.send(to, Message{Body: &Found{k.at, k.Pick(allRanges)}})
			}
		}
		m.foundDone()
	})
}

// propose makes the founding roster, if it is up to this member and all who found are there.
func (m *Replica) propose(k *key) bool {
	by := m.founders()
	if len(by) == 0 || !m.mayFound() || slices.ContainsFunc(by, func(seed string) bool { return m.foundIDs[seed] == "" }) {
		return false
	}
	k.promised = Epoch{1, m.cfg.Self, m.cfg.Life}
	var records []Record
	for _, seed := range by {
		records = append(records, seatRecord(m.foundIDs[seed], 1, seated))
	}
	entries := m.replace(k, allRanges, records)
	k.at = Position{k.promised, 1}
	m.write(append(entries, k.meta()), nil)
	return true
}

func (m *Replica) onFound(from string, f *Found) {
	k := m.keys[RosterKey]
	switch {
	case len(f.Records) == 0:
		if len(k.Records) == 0 && !m.founded {
			m.settled(func() { m.send(from, Message{Body: &Founded{Passive: !m.mayFound()}}) })
		}
		return
	case len(k.Records) == 0:
		if m.founded || !slices.ContainsFunc(f.Records, func(r Record) bool { return r.Name == m.self }) {
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
		m.foundIDs[from], m.passive[from] = id, f.Passive
	case f.At == m.keys[RosterKey].at:
		m.foundAcks[from] = true
		m.foundDone()
		return
	}
	if m.mayFound() {
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
