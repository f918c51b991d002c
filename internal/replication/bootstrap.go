package replication

// This file holds how a new system is bootstrapped: how its first roster is chosen.
//
// A member that starts with an empty disk and the bootstrap setting stores the seeds of that
// start along with its identity. Until it has a roster it may take the lead in the bootstrap,
// also after restarts. The lowest such seed proposes the initial roster once all seeds with a
// disk have answered that they are there and have no roster. A seed without these stored seeds
// is passive: it was killed before its first write, or has lost its disk. It never proposes but
// takes part. Nothing is sent before the state that it rests on is durable, so a seed accepts
// at most one initial roster, and one that was proposed before a restart is continued.

import "slices"

// mayBootstrap reports whether this member may propose the initial roster or be appointed its
// only member.
func (m *Replica) mayBootstrap() bool {
	return !m.bootstrapped && len(m.firstSeeds) > 0 && len(m.keys[RosterKey].Records) == 0
}

// bootstrapping reports whether this member takes part in the bootstrap of a system.
func (m *Replica) bootstrapping() bool {
	return m.mayBootstrap() || !m.bootstrapped && len(m.bootstrapSeeds()) > 0 && len(m.keys[RosterKey].Records) > 0
}

// bootstrapSeeds returns the seeds of the system's first start if this member has stored them,
// or else the configured seeds.
func (m *Replica) bootstrapSeeds() []string {
	if len(m.firstSeeds) > 0 {
		return m.firstSeeds
	}
	return m.cfg.Seeds
}

// initialMembers returns the seeds that form the initial roster if this member is to propose
// it, and nil if another one is or if that isn't known yet. The lowest seed with a disk that
// isn't passive proposes. If no seed has a disk, the lowest seed appoints the first member that
// asks it.
func (m *Replica) initialMembers() (out []string) {
	seeds, lowest := m.bootstrapSeeds(), ""
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

func (m *Replica) tickBootstrap() {
	if !m.bootstrapping() || m.now < m.nextBootstrapAt {
		return
	}
	m.nextBootstrapAt = m.now + m.cfg.Beat/2
	k := m.keys[RosterKey]
	m.seedIDs[m.cfg.Self] = m.self
	seeds := m.bootstrapSeeds()
	for _, seed := range seeds {
		if _, relay := m.relays[seed]; seed != m.cfg.Self && m.seedIDs[seed] == "" && (!relay || seed == seeds[0]) {
			m.send(seed, Message{Body: &Found{}})
		}
	}
	m.bootstrapRoster(k)
}

// bootstrapRoster proposes the initial roster, once all its members are known to be there, and
// sends it to those that have not acknowledged it.
func (m *Replica) bootstrapRoster(k *replicatedKey) {
	switch {
	case len(k.Records) == 0:
		if !m.proposeInitialRoster(k) {
			return
		}
	case k.position.Epoch.N != 1 || k.position.Seq != 1 || k.position.Epoch.Owner != m.cfg.Self:
		return
	}
	m.whenDurable(func() {
		m.bootstrapAcks[m.cfg.Self] = true
		for _, to := range m.Roster() {
			if !m.bootstrapAcks[to] {
				m.send(to, Message{Body: &Found{k.position, k.Pick(allRanges)}})
			}
		}
		m.finishBootstrap()
	})
}

// proposeInitialRoster creates the initial roster if it is up to this member and all the
// roster's members are there. It reports whether it did.
func (m *Replica) proposeInitialRoster(k *replicatedKey) bool {
	members := m.initialMembers()
	if len(members) == 0 || !m.mayBootstrap() || slices.ContainsFunc(members, func(seed string) bool { return m.seedIDs[seed] == "" }) {
		return false
	}
	k.promised = Epoch{1, m.cfg.Self, m.cfg.Life}
	var records []Record
	for _, seed := range members {
		records = append(records, seatRecord(m.seedIDs[seed], 1, seatStable))
	}
	entries := m.replace(k, allRanges, records)
	k.position = Position{k.promised, 1}
	m.write(append(entries, k.meta()), nil)
	return true
}

func (m *Replica) onFound(from string, f *Found) {
	k := m.keys[RosterKey]
	switch {
	case len(f.Records) == 0:
		if len(k.Records) == 0 && !m.bootstrapped {
			m.whenDurable(func() { m.send(from, Message{Body: &Founded{Passive: !m.mayBootstrap()}}) })
		}
		return
	case len(k.Records) == 0:
		if m.bootstrapped || !slices.ContainsFunc(f.Records, func(r Record) bool { return r.Name == m.self }) {
			return
		}
		entries := m.replace(k, allRanges, f.Records)
		k.promised, k.position = f.At.Epoch, f.At
		k.lastContact, k.hadContact = m.now, true
		m.write(append(entries, k.meta()), nil)
	case k.position.Less(f.At):
		return
	}
	m.whenDurable(func() { m.send(from, Message{Body: &Founded{At: f.At}}) })
}

func (m *Replica) onFounded(from, id string, f *Founded) {
	switch {
	case !m.bootstrapping():
	case f.Relay:
		m.relays[from] = f.Appointed
	case f.At.Seq == 0:
		m.seedIDs[from], m.passive[from] = id, f.Passive
	case f.At == m.keys[RosterKey].position:
		m.bootstrapAcks[from] = true
		m.finishBootstrap()
		return
	}
	if m.mayBootstrap() {
		m.bootstrapRoster(m.keys[RosterKey])
	}
}

func (m *Replica) finishBootstrap() {
	if m.bootstrapped {
		return
	}
	for _, a := range m.Roster() {
		if !m.bootstrapAcks[a] {
			return
		}
	}
	m.bootstrapped = true
	m.write([]storageEntry{m.nodeEntry()}, nil)
	m.startElection(m.keys[RosterKey], true)
}
