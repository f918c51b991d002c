package replication

// This file holds what an owner does with the answers to its heartbeats.

import (
	"time"
)

func (m *Replica) onHeartbeatAck(from, id string, ack *HeartbeatAck) {
	if ack.Life != m.cfg.Life {
		return // addressed to an earlier process of this member
	}
	p := m.peers[from]
	if ack.Lacks {
		p.listVersion = 0
		return
	}
	if ack.Outdated != nil {
		m.adoptRoster(ack.Outdated)
		m.handleDeviations(from, id, ack)
		m.heartbeats.dueAll = m.heartbeats.dueAll || m.mayOwn() // again, under the newer roster
		return
	}
	if ack.Mark > 0 {
		m.noteClockMark(from, id, ack.Mark)
	}
	deviating := m.handleDeviations(from, id, ack)
	s, ok := m.heartbeats.sent[ack.Round]
	switch {
	case !ok:
	case ack.Partial:
		for _, sent := range s.keys {
			if !deviating[sent.name] {
				m.noteConfirmedBy(sent.replicatedKey, id, ack.Round, sent.position)
				m.advanceCommit(sent.replicatedKey)
			}
		}
	default:
		p.listVersion = max(p.listVersion, ack.Version)
		m.noteListConfirmed(id, ack, deviating)
	}
}

// handleDeviations handles the answers about individual keys and returns the names of those
// keys.
func (m *Replica) handleDeviations(from, id string, ack *HeartbeatAck) map[string]bool {
	keys := map[string]bool{}
	for _, d := range ack.Deviate {
		keys[d.Key] = true
		deviation := *d
		deviation.Round = ack.Round
		m.onAppendAck(from, id, &deviation)
	}
	return keys
}

// noteConfirmedBy records that a member has confirmed a key's epoch in a round and holds the
// key at a position.
func (m *Replica) noteConfirmedBy(k *replicatedKey, id string, round uint64, at Position) {
	if k.role != roleOwner || round < k.firstRound {
		return
	}
	k.ackedAt[id] = m.now
	k.confirmedRounds[id] = max(k.confirmedRounds[id], round)
	if s, ok := m.heartbeats.sent[round]; ok && k.name == RosterKey {
		// The time when the round was sent counts: a delayed answer is no evidence that the
		// member is still there.
		m.rosterAnsweredAt[id] = max(m.rosterAnsweredAt[id], s.at)
	}
	if at.Epoch == k.ownEpoch && k.acks[id].Less(at) {
		k.acks[id] = at
	}
}

// noteListConfirmed handles a member's confirmation of the whole list. Which round a quorum has
// confirmed is computed once for all keys. Keys with waiting callers or uncommitted changes are
// also advanced one by one, as are all keys while the protocols are mixed.
func (m *Replica) noteListConfirmed(id string, ack *HeartbeatAck, deviating map[string]bool) {
	b := &m.heartbeats
	b.confirmedRounds[id] = max(b.confirmedRounds[id], ack.Round)
	for _, r := range b.confirmedRounds {
		if _, ok := b.sent[r]; ok && r > b.confirmedRound && m.hasQuorum(false, func(id string) bool { return id == m.self || b.confirmedRounds[id] >= r }) {
			b.confirmedRound = r
		}
	}
	newestRound, known := b.sent[b.confirmedRound]
	mixed := m.mixedProtocols()
	for _, k := range m.ownedKeys() {
		if k.role != roleOwner || k.firstRound > ack.Round || deviating[k.name] {
			continue
		}
		at := Position{}
		if l := b.listed[k.name]; l.version <= ack.Version {
			at = Position{Epoch{l.Epoch, m.cfg.Self, m.cfg.Life}, l.Seq}
		}
		m.noteConfirmedBy(k, id, ack.Round, at)
		if known && k.firstRound <= b.confirmedRound {
			m.noteOwnershipConfirmed(k, newestRound.at)
		}
		if mixed || len(k.waiters) > 0 || k.commit != k.position {
			m.advanceCommit(k)
		}
	}
}

// mixedProtocols reports whether some seat's member confirms keys one by one because it doesn't
// understand heartbeats.
func (m *Replica) mixedProtocols() bool {
	for _, seat := range m.seats().all() {
		if p := m.peers[addressOf(seat)]; p != nil && !p.supportsHeartbeat {
			return true
		}
	}
	return false
}

// noteOwnershipConfirmed records that a quorum has confirmed the key's epoch in a round that
// began at the given time.
func (m *Replica) noteOwnershipConfirmed(k *replicatedKey, began time.Duration) {
	first := k.confirmedAt == neverConfirmed
	k.quorumAt, k.confirmedAt = max(k.quorumAt, began), max(k.confirmedAt, began)
	k.lastConfirmSent = m.now
	if first {
		m.scheduleCommitNotice(k) // the others can now date their copies
	}
}

// confirmedRound returns the newest round in which a quorum has confirmed the key's epoch, and
// when it began; 0 if there is none.
func (m *Replica) confirmedRound(k *replicatedKey) (round uint64, began time.Duration) {
	if m.decidesAlone() {
		return m.heartbeats.round + 1, m.now
	}
	for _, r := range k.confirmedRounds {
		s, ok := m.heartbeats.sent[r]
		if ok && r > round && r >= k.firstRound && m.hasQuorum(false, func(id string) bool { return id == m.self || k.confirmedRounds[id] >= r }) {
			round, began = r, s.at
		}
	}
	return round, began
}

// decidesAlone reports whether this member is a quorum by itself.
func (m *Replica) decidesAlone() bool {
	return m.hasQuorum(false, func(id string) bool { return id == m.self })
}
