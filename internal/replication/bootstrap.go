package replication

// This file holds how a new system is bootstrapped: how its first voter set is chosen.
//
// A member that starts with an empty disk and the bootstrap setting stores the seeds of that
// start along with its identity. Until it has a voter set it may propose the initial one, also
// after restarts. The lowest such seed proposes the initial voter set once all seeds with a
// disk have answered that they are there and have no voter set. A seed without these stored seeds
// is passive: it was killed before its first write, or has lost its disk. It takes part in the
// bootstrap but never proposes. Nothing is sent before the state that it depends on is durable, so a seed accepts
// at most one initial voter set, and one that was proposed before a restart is continued.

import "slices"

// mayBootstrap reports whether this member may propose the initial voter set or be appointed its
// only member.
func (m *Replica) mayBootstrap() bool {
	return !m.bootstrapped && len(m.firstSeeds) > 0 && len(m.partitions[VoterSetPartition].Records) == 0
}

// bootstrapping reports whether this member takes part in the bootstrap of a system.
func (m *Replica) bootstrapping() bool {
	return m.mayBootstrap() || !m.bootstrapped && len(m.bootstrapSeeds()) > 0 && len(m.partitions[VoterSetPartition].Records) > 0
}

// bootstrapSeeds returns the seeds of the system's first start if this member has stored them,
// or else the configured seeds.
func (m *Replica) bootstrapSeeds() []string {
	if len(m.firstSeeds) > 0 {
		return m.firstSeeds
	}
	return m.cfg.Seeds
}

// initialMembers returns the seeds that form the initial voter set if this member is to propose
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
	m.nextBootstrapAt = m.now + m.cfg.HeartbeatInterval/2
	part := m.partitions[VoterSetPartition]
	m.seedIDs[m.cfg.Self] = m.self
	seeds := m.bootstrapSeeds()
	for _, seed := range seeds {
		if _, relay := m.relays[seed]; seed != m.cfg.Self && m.seedIDs[seed] == "" && (!relay || seed == seeds[0]) {
			m.send(seed, Message{Body: &BootstrapRequest{}})
		}
	}
	m.bootstrapVoterSet(part)
}

// bootstrapVoterSet proposes the initial voter set, once all its members are known to be there, and
// sends it to those that have not acknowledged it.
func (m *Replica) bootstrapVoterSet(part *partition) {
	switch {
	case len(part.Records) == 0:
		if !m.proposeInitialVoterSet(part) {
			return
		}
	case part.position.Epoch.Number != 1 || part.position.Seq != 1 || part.position.Epoch.Owner != m.cfg.Self:
		return
	}
	m.whenDurable(func() {
		m.bootstrapAcks[m.cfg.Self] = true
		for _, to := range m.Voters() {
			if !m.bootstrapAcks[to] {
				m.send(to, Message{Body: &BootstrapRequest{part.position, part.Pick(allRanges)}})
			}
		}
		m.finishBootstrap()
	})
}

// proposeInitialVoterSet creates the initial voter set if it is up to this member and all the
// voter set's members are there. It reports whether it did.
func (m *Replica) proposeInitialVoterSet(part *partition) bool {
	members := m.initialMembers()
	if len(members) == 0 || !m.mayBootstrap() || slices.ContainsFunc(members, func(seed string) bool { return m.seedIDs[seed] == "" }) {
		return false
	}
	part.promised = Epoch{1, m.cfg.Self, m.cfg.RunID}
	var records []Record
	for _, seed := range members {
		records = append(records, voterRecord(m.seedIDs[seed], 1, voterStable))
	}
	entries := m.replace(part, allRanges, records)
	part.position = Position{part.promised, 1}
	m.write(append(entries, part.meta()), nil)
	return true
}

func (m *Replica) onBootstrapRequest(from string, request *BootstrapRequest) {
	part := m.partitions[VoterSetPartition]
	switch {
	case len(request.Records) == 0:
		if len(part.Records) == 0 && !m.bootstrapped {
			m.whenDurable(func() { m.send(from, Message{Body: &BootstrapReply{MayNotPropose: !m.mayBootstrap()}}) })
		}
		return
	case len(part.Records) == 0:
		if m.bootstrapped || !slices.ContainsFunc(request.Records, func(r Record) bool { return r.Name == m.self }) {
			return
		}
		entries := m.replace(part, allRanges, request.Records)
		part.promised, part.position = request.At.Epoch, request.At
		part.lastContact, part.hadContact = m.now, true
		m.write(append(entries, part.meta()), nil)
	case part.position.Less(request.At):
		return
	}
	m.whenDurable(func() { m.send(from, Message{Body: &BootstrapReply{At: request.At}}) })
}

func (m *Replica) onBootstrapReply(from, id string, reply *BootstrapReply) {
	switch {
	case !m.bootstrapping():
	case reply.Relay:
		m.relays[from] = reply.Appointed
	case reply.At.Seq == 0:
		m.seedIDs[from], m.passive[from] = id, reply.MayNotPropose
	case reply.At == m.partitions[VoterSetPartition].position:
		m.bootstrapAcks[from] = true
		m.finishBootstrap()
		return
	}
	if m.mayBootstrap() {
		m.bootstrapVoterSet(m.partitions[VoterSetPartition])
	}
}

func (m *Replica) finishBootstrap() {
	if m.bootstrapped {
		return
	}
	for _, address := range m.Voters() {
		if !m.bootstrapAcks[address] {
			return
		}
	}
	m.bootstrapped = true
	m.write([]storageEntry{m.nodeEntry()}, nil)
	m.startElection(m.partitions[VoterSetPartition], true)
}
