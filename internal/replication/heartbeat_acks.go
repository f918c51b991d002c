package replication

// This file holds what an owner does with the replies to its heartbeats.

import (
	"time"
)

func (m *Replica) onHeartbeatAck(from, id string, ack *HeartbeatAck) {
	if ack.RunID != m.cfg.RunID {
		return // addressed to an earlier process of this member
	}
	p := m.peers[from]
	if ack.ListMissing {
		p.listVersion = 0
		return
	}
	if ack.Outdated != nil {
		m.adoptVoterSet(ack.Outdated)
		m.handleDeviations(from, id, ack)
		m.heartbeats.dueAll = m.heartbeats.dueAll || m.mayOwn() // again, under the newer voter set
		return
	}
	if ack.Clock > 0 {
		m.noteClockReading(from, id, ack.Clock)
	}
	deviating := m.handleDeviations(from, id, ack)
	s, ok := m.heartbeats.sent[ack.Round]
	switch {
	case !ok:
	case ack.Partial:
		for _, sent := range s.partitions {
			if !deviating[sent.name] {
				m.noteConfirmedBy(sent.partition, id, ack.Round, sent.position)
				m.advanceCommit(sent.partition)
			}
		}
	default:
		p.listVersion = max(p.listVersion, ack.Version)
		m.noteListConfirmed(id, ack, deviating)
	}
}

// handleDeviations handles the replies about individual partitions and returns the names of those
// partitions.
func (m *Replica) handleDeviations(from, id string, ack *HeartbeatAck) map[string]bool {
	deviating := map[string]bool{}
	for _, d := range ack.Deviations {
		deviating[d.Partition] = true
		deviation := *d
		deviation.Round = ack.Round
		m.onAppendAck(from, id, &deviation)
	}
	return deviating
}

// noteConfirmedBy records that a member has confirmed a partition's epoch in a round and holds the
// partition at a position.
func (m *Replica) noteConfirmedBy(part *partition, id string, round uint64, at Position) {
	if part.role != roleOwner || round < part.firstRound {
		return
	}
	part.ackedAt[id] = m.now
	part.confirmedRounds[id] = max(part.confirmedRounds[id], round)
	if s, ok := m.heartbeats.sent[round]; ok && part.name == VoterSetPartition {
		// The time when the round was sent counts: a delayed reply is no evidence that the
		// member is still there.
		m.voterSetAnsweredAt[id] = max(m.voterSetAnsweredAt[id], s.at)
	}
	if at.Epoch == part.ownEpoch && part.acks[id].Less(at) {
		part.acks[id] = at
	}
}

// noteListConfirmed handles a member's confirmation of the whole list. Which round a quorum has
// confirmed is computed once for all partitions. Partitions with waiting callers or uncommitted
// changes are also advanced one by one, as are all partitions while the protocols are mixed.
func (m *Replica) noteListConfirmed(id string, ack *HeartbeatAck, deviating map[string]bool) {
	state := &m.heartbeats
	state.confirmedRounds[id] = max(state.confirmedRounds[id], ack.Round)
	for _, r := range state.confirmedRounds {
		if _, ok := state.sent[r]; ok && r > state.confirmedRound && m.hasQuorum(false, func(id string) bool { return id == m.self || state.confirmedRounds[id] >= r }) {
			state.confirmedRound = r
		}
	}
	newestRound, known := state.sent[state.confirmedRound]
	mixed := m.mixedProtocols()
	for _, part := range m.ownedPartitions() {
		if part.role != roleOwner || part.firstRound > ack.Round || deviating[part.name] {
			continue
		}
		at := Position{}
		if l := state.listed[part.name]; l.version <= ack.Version {
			at = Position{Epoch{l.Epoch, m.cfg.Self, m.cfg.RunID}, l.Seq}
		}
		m.noteConfirmedBy(part, id, ack.Round, at)
		if known && part.firstRound <= state.confirmedRound {
			m.noteOwnershipConfirmed(part, newestRound.at)
		}
		if mixed || len(part.waiters) > 0 || part.commit != part.position {
			m.advanceCommit(part)
		}
	}
}

// mixedProtocols reports whether some voter confirms partitions one by one because it doesn't
// understand heartbeats.
func (m *Replica) mixedProtocols() bool {
	for _, voter := range m.voterSet().all() {
		if p := m.peers[addressOf(voter)]; p != nil && !p.supportsHeartbeat {
			return true
		}
	}
	return false
}

// noteOwnershipConfirmed records that a quorum has confirmed the partition's epoch in a round that
// began at the given time.
func (m *Replica) noteOwnershipConfirmed(part *partition, began time.Duration) {
	first := part.confirmedAt == neverConfirmed
	part.quorumAt, part.confirmedAt = max(part.quorumAt, began), max(part.confirmedAt, began)
	part.lastConfirmSent = m.now
	if first {
		m.scheduleCommitNotice(part) // the others can now date their copies
	}
}

// confirmedRound returns the newest round in which a quorum has confirmed the partition's epoch,
// and when it began; 0 if there is none.
func (m *Replica) confirmedRound(part *partition) (round uint64, began time.Duration) {
	if m.decidesAlone() {
		return m.heartbeats.round + 1, m.now
	}
	for _, r := range part.confirmedRounds {
		s, ok := m.heartbeats.sent[r]
		if ok && r > round && r >= part.firstRound && m.hasQuorum(false, func(id string) bool { return id == m.self || part.confirmedRounds[id] >= r }) {
			round, began = r, s.at
		}
	}
	return round, began
}

// decidesAlone reports whether this member is a quorum by itself.
func (m *Replica) decidesAlone() bool {
	return m.hasQuorum(false, func(id string) bool { return id == m.self })
}
