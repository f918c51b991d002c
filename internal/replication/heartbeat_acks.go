package replication

// This file holds what an owner makes of the answers to its heartbeats.

import (
	"time"
)

func (m *Replica) onHeartbeatAck(from, id string, a *HeartbeatAck) {
	if a.Life != m.cfg.Life {
		return // it answers a former life of this member
	}
	p := m.peers[from]
	if a.Lacks {
		p.version = 0
		return
	}
	if a.Outdated != nil {
		m.adopt(a.Outdated)
		m.deviate(from, id, a)
		m.beats.dueAll = m.beats.dueAll || m.mayOwn() // under the roster that it follows
		return
	}
	if a.Mark > 0 {
		m.noteMark(from, id, a.Mark)
	}
	deviating := m.deviate(from, id, a)
	s, ok := m.beats.sent[a.Round]
	switch {
	case !ok:
	case a.Partial:
		for _, sent := range s.keys {
			if !deviating[sent.name] {
				m.confirmedBy(sent.key, id, a.Round, sent.at)
				m.advance(sent.key)
			}
		}
	default:
		p.version = max(p.version, a.Version)
		m.wholeConfirmed(id, a, deviating)
	}
}

// deviate takes the answers about single keys, and names those keys.
func (m *Replica) deviate(from, id string, a *HeartbeatAck) map[string]bool {
	keys := map[string]bool{}
	for _, d := range a.Deviate {
		keys[d.Key] = true
		c := *d
		c.Round = a.Round
		m.onAppendAck(from, id, &c)
	}
	return keys
}

// confirmedBy notes that a member has confirmed the epoch of a key in a round, and holds
// it as it stood at a position.
func (m *Replica) confirmedBy(k *key, id string, round uint64, at Position) {
	if k.role != owns || round < k.firstRound {
		return
	}
	k.seen[id] = m.now
	k.rounds[id] = max(k.rounds[id], round)
	if s, ok := m.beats.sent[round]; ok && k.name == RosterKey {
		// A word that was long on its way proves nothing of a member that is gone.
		m.proven[id] = max(m.proven[id], s.at)
	}
	if at.Epoch == k.mine && k.acks[id].Less(at) {
		k.acks[id] = at
	}
}

// wholeConfirmed takes a member's answer for the whole list. What a quorum confirms is
// worked out once for all keys; a key for which more is to be done is looked at alone.
func (m *Replica) wholeConfirmed(id string, a *HeartbeatAck, deviating map[string]bool) {
	b := &m.beats
	b.rounds[id] = max(b.rounds[id], a.Round)
	for _, r := range b.rounds {
		if _, ok := b.sent[r]; ok && r > b.confirmed && m.quorum(false, func(id string) bool { return id == m.self || b.rounds[id] >= r }) {
			b.confirmed = r
		}
	}
	sure, dated := b.sent[b.confirmed]
	mixed := m.mixedProtocols()
	for _, k := range m.owned() {
		if k.role != owns || k.firstRound > a.Round || deviating[k.name] {
			continue
		}
		at := Position{}
		if l := b.listed[k.name]; l.version <= a.Version {
			at = Position{Epoch{l.Epoch, m.cfg.Self, m.cfg.Life}, l.Seq}
		}
		m.confirmedBy(k, id, a.Round, at)
		if dated && k.firstRound <= b.confirmed {
			m.sureAt(k, sure.at)
		}
		if mixed || len(k.waiters) > 0 || k.commit != k.at {
			m.advance(k)
		}
	}
}

// mixedProtocols says that the word of some seat comes by keys, not for the whole list.
func (m *Replica) mixedProtocols() bool {
	for _, seat := range m.seats().all() {
		if p := m.peers[addressOf(seat)]; p != nil && !p.hears {
			return true
		}
	}
	return false
}

// sureAt notes that a quorum has confirmed the epoch in a round that began at a time.
func (m *Replica) sureAt(k *key, at time.Duration) {
	first := k.sure == unsure
	k.agreed, k.sure = max(k.agreed, at), max(k.sure, at)
	k.spoke = m.now
	if first {
		m.notice(k) // the others learn how old their copies are
	}
}

// confirmedRound is the newest round in which a quorum has confirmed the epoch of a key,
// and when it began. 0: none.
func (m *Replica) confirmedRound(k *key) (round uint64, began time.Duration) {
	if m.decidesAlone() {
		return m.beats.round + 1, m.now
	}
	for _, r := range k.rounds {
		s, ok := m.beats.sent[r]
		if ok && r > round && r >= k.firstRound && m.quorum(false, func(id string) bool { return id == m.self || k.rounds[id] >= r }) {
			round, began = r, s.at
		}
	}
	return round, began
}

// decidesAlone says that this member is a quorum by itself.
func (m *Replica) decidesAlone() bool {
	return m.quorum(false, func(id string) bool { return id == m.self })
}
