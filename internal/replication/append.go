package replication

// This file holds the normal operation: how an owner replicates a change, and when it is
// committed.

import (
	"sort"
	"time"
)

// clockMark is a reading of a member's clock and when it was received.
type clockMark struct {
	incarnation uint64
	clock       time.Duration
	receivedAt  time.Duration
}

// proposal is a change, or a read, that waits for the change before it to be committed.
type proposal struct {
	fn       func(map[string]Record) ([]Record, error)
	deadline time.Duration
	done     func(error)
}

// waiter is a proposal that has run and waits until its position is committed and its round
// confirmed.
type waiter struct {
	seq      uint64
	round    uint64 // 0: none to be confirmed
	deadline time.Duration
	done     func(error)
}

// newAppend returns a message that brings a member from base to the owner's position, still
// without the changes.
func (m *Replica) newAppend(k *replicatedKey, base Position) *Append {
	commit := uint64(0)
	if k.commit.Epoch == k.ownEpoch {
		commit = k.commit.Seq
	}
	msg := &Append{Key: k.name, Epoch: k.ownEpoch, Base: base, Seq: k.position.Seq, Commit: commit, Round: m.heartbeats.round, Roster: m.keys[RosterKey].position}
	msg.setDigest(k.Sums, m.olderVersions())
	return msg
}

// Propose runs fn on the key's records and replicates the changes that it returns. done is
// called with nil once these, and everything that fn saw, are committed.
func (m *Replica) Propose(now time.Duration, name string, fn func(map[string]Record) ([]Record, error), done func(error)) {
	m.now = now
	k := m.key(name)
	if k.role != roleOwner {
		if m.initialOwner(k) == m.cfg.Self {
			m.startElection(k, false) // a repeated request will find an owner
		}
		done(ErrNotOwner)
		return
	}
	k.queue = append(k.queue, proposal{fn, now + m.cfg.Patience, done})
	m.runProposals(k)
}

// runProposals runs the waiting proposals, all of them in one log entry, once the entry before
// it is committed.
func (m *Replica) runProposals(k *replicatedKey) {
	if k.role != roleOwner || k.commit != k.position || len(k.queue) == 0 {
		return
	}
	queue := k.queue
	k.queue = nil
	base := k.position
	var changes []Record
	var entries []storageEntry
	var ran []proposal
	for i, p := range queue {
		if k.name == RosterKey && len(changes) > 0 {
			// Only one change of the roster per log entry: see membership.go.
			k.queue = queue[i:]
			break
		}
		c, err := p.fn(k.Records)
		if err != nil {
			// The error is returned only once the state that it was based on is confirmed, or
			// it may be wrong.
			done := p.done
			p.done = func(lost error) {
				if lost == nil {
					lost = err
				}
				done(lost)
			}
		} else if len(c) > 0 {
			entries = append(entries, m.apply(k, c)...)
			changes = append(changes, c...)
		}
		ran = append(ran, p)
	}
	w := waiter{seq: k.position.Seq}
	if len(changes) > 0 {
		m.appendEntry(k, base, changes, entries)
		w.seq = k.position.Seq
	} else {
		// There is nothing to replicate, but this member must still be the owner for its answer
		// to count.
		w.round = m.scheduleConfirm(k)
	}
	for _, p := range ran {
		k.waiters = append(k.waiters, waiter{w.seq, w.round, p.deadline, p.done})
	}
	m.advanceCommit(k)
}

// appendEntry replicates one log entry to the others.
func (m *Replica) appendEntry(k *replicatedKey, base Position, changes []Record, entries []storageEntry) {
	k.position.Seq++
	at := k.position
	k.log.add(base, at, changes)
	m.write(append(entries, k.meta()), func() { m.noteAck(k, m.self, at) })
	msg := m.newAppend(k, base)
	msg.Changes = changes
	for _, to := range m.others() {
		m.send(to, Message{Body: msg})
	}
	if reason, ok := m.heartbeats.dueKeys[k.name]; ok && reason == dueCommit {
		delete(m.heartbeats.dueKeys, k.name) // the Append carries the commit position
	}
}

// withFreshness returns the message with the time since this member's ownership was confirmed,
// for a receiver that has set a clock mark.
func (m *Replica) withFreshness(k *replicatedKey, to string, msg *Append) *Append {
	mark, ok := m.clockMarks[to]
	if !ok || k.confirmedAt == neverConfirmed {
		return msg
	}
	withSure := *msg
	withSure.Sure = &Sure{mark.incarnation, mark.clock, m.now - mark.receivedAt, m.now - k.confirmedAt}
	return &withSure
}

// rejection returns the answer to an owner that the member accepts nothing from, because its
// epoch is older than the one promised or its roster is older than the one adopted here; nil if
// the owner is acceptable.
func (m *Replica) rejection(k *replicatedKey, e Epoch, roster Position) *AppendAck {
	older := m.olderRoster(roster)
	if !older && !e.Less(k.promised) {
		return nil
	}
	reply := &AppendAck{Key: k.name, Epoch: e}
	if e.Less(k.promised) {
		reply.Promised = k.promised
	}
	if older {
		reply.Outdated = m.rosterCopy()
	}
	return reply
}

// followOwner records a message from the owner under epoch e.
func (m *Replica) followOwner(k *replicatedKey, e Epoch) {
	if k.promised != e {
		m.stepDown(k, e)
		m.write([]storageEntry{k.meta()}, nil)
	} else if k.role == roleCandidate && k.preVote {
		m.becomeFollower(k, ErrNoQuorum) // there is an owner after all
	}
	k.lastContact, k.hadContact = m.now, true
	k.ownerContact, k.hasOwner = m.now, true
}

func (m *Replica) onAppend(from string, msg *Append) {
	k := m.key(msg.Key)
	if reply := m.rejection(k, msg.Epoch, msg.Roster); reply != nil {
		reply.Round = msg.Round
		m.send(from, Message{Body: reply})
		return
	}
	m.followOwner(k, msg.Epoch)
	to, commit := Position{msg.Epoch, msg.Seq}, Position{msg.Epoch, msg.Commit}
	// The message may show that the position held here is committed. Readers see that now, not
	// only when the stream of changes pauses.
	m.noteCommitted(k, commit)
	switch {
	case k.position == msg.Base && k.position != to:
		base := k.position
		var entries []storageEntry
		if msg.Mend != nil {
			entries = m.replace(k, msg.Mend, msg.Changes)
		} else {
			entries = m.apply(k, msg.Changes)
			k.log.add(base, to, msg.Changes)
		}
		k.position = to
		m.write(append(entries, k.meta()), nil)
	case k.position == to && msg.Mend != nil && !msg.matchesDigest(k.Sums):
		m.write(append(m.replace(k, msg.Mend, msg.Changes), k.meta()), nil)
	}
	reply := &AppendAck{Key: msg.Key, Epoch: msg.Epoch, Round: msg.Round}
	reply.OK = !k.position.Less(to) && !(k.position == to && !msg.matchesDigest(k.Sums))
	if reply.OK {
		m.noteCommitted(k, commit)
	}
	// When the owner's ownership was confirmed, it had told nobody of anything beyond Commit.
	if msg.Sure != nil && msg.Sure.Life == m.cfg.Life && msg.Commit > 0 && k.commit == commit {
		k.freshAsOf = max(k.freshAsOf, msg.Sure.Mark+msg.Sure.Held-msg.Sure.Age)
	}
	m.replyWhenDurable(k, from, reply)
}

// noteCommitted records that a position is committed if it is the position of the copy: only
// what is committed as a whole is shown to readers.
func (m *Replica) noteCommitted(k *replicatedKey, p Position) {
	if p.Seq == 0 || p != k.position || !k.commit.Less(p) {
		return
	}
	m.commit(k, p)
}

// replyWhenDurable answers an owner once everything that this member holds of the key is
// durable.
func (m *Replica) replyWhenDurable(k *replicatedKey, to string, ack *AppendAck) {
	at, sums := k.position, k.Sums
	m.whenDurable(func() {
		ack.At, ack.Promised = at, k.promised
		if k.trackFreshness {
			ack.Mark = max(m.now, 1)
			k.lastConfirmSent = m.now
		}
		if !ack.OK {
			ack.Sums = &sums
		}
		m.send(to, Message{Body: ack})
	})
}

func (m *Replica) onAppendAck(from, id string, ack *AppendAck) {
	k := m.key(ack.Key)
	if ack.Outdated != nil {
		m.adoptRoster(ack.Outdated)
	}
	if k.role != roleOwner || ack.Epoch != k.ownEpoch {
		return
	}
	if k.ownEpoch.Less(ack.Promised) {
		m.stepDown(k, ack.Promised)
		m.write([]storageEntry{k.meta()}, nil)
		return
	}
	if ack.Promised != k.ownEpoch {
		if ack.Outdated != nil && m.mayOwn() {
			m.scheduleConfirm(k) // again, under the newer roster
		}
		return
	}
	k.ackedAt[id] = m.now
	if s, ok := m.heartbeats.sent[ack.Round]; ok && k.name == RosterKey {
		// The time when the round was sent counts: a delayed answer is no evidence that the
		// member is still there.
		m.rosterAnsweredAt[id] = max(m.rosterAnsweredAt[id], s.at)
	}
	if ack.Mark > 0 {
		m.noteClockMark(from, id, ack.Mark)
	}
	k.confirmedRounds[id] = max(k.confirmedRounds[id], ack.Round)
	if ack.OK {
		m.noteAck(k, id, ack.At)
		if k.role == roleOwner && k.outgoing[id] != nil && ack.Sums != nil && ack.At.Less(k.position) {
			m.catchUp(k, from, id, ack.At, *ack.Sums) // the changes since the snapshot
		}
		return
	}
	if (ack.At != k.position || ack.Sums != nil && *ack.Sums != k.Sums) && ack.Sums != nil && !k.position.Less(ack.At) {
		m.catchUp(k, from, id, ack.At, *ack.Sums)
	}
	m.advanceCommit(k)
}

// noteAck records that a member holds a position durably.
func (m *Replica) noteAck(k *replicatedKey, id string, at Position) {
	if k.role != roleOwner || at.Epoch != k.ownEpoch {
		return
	}
	if k.acks[id].Less(at) {
		k.acks[id] = at
	}
	m.advanceCommit(k)
}

// advanceCommit commits what enough members hold and calls back the callers whose proposals are
// done.
func (m *Replica) advanceCommit(k *replicatedKey) {
	if k.role != roleOwner {
		return
	}
	// Commit the newest position that is durable here and at enough others.
	if ownAck := k.acks[m.self]; k.commit.Less(k.position) && ownAck.Epoch == k.ownEpoch {
		var seqs []uint64
		recent := func(id string) bool { return id == m.self || m.now-k.ackedAt[id] <= m.cfg.Vacant }
		for id, a := range k.acks {
			if a.Epoch == k.ownEpoch && a.Seq <= ownAck.Seq && recent(id) {
				seqs = append(seqs, a.Seq)
			}
		}
		sort.Slice(seqs, func(i, j int) bool { return seqs[i] > seqs[j] })
		for _, s := range seqs {
			p := Position{k.ownEpoch, s}
			if !k.commit.Less(p) {
				break
			}
			if m.hasQuorum(k.name != RosterKey, func(id string) bool { return !k.acks[id].Less(p) && k.acks[id].Epoch == k.ownEpoch && recent(id) }) {
				m.commit(k, p)
				m.scheduleCommitNotice(k)
				break
			}
		}
	}
	confirmed, began := m.confirmedRound(k)
	if confirmed > 0 {
		m.noteOwnershipConfirmed(k, began)
	}
	var done []waiter
	waiting := k.waiters[:0]
	for _, w := range k.waiters {
		if k.commit.Epoch == k.ownEpoch && k.commit.Seq >= w.seq && confirmed >= w.round {
			done = append(done, w)
		} else {
			waiting = append(waiting, w)
		}
	}
	k.waiters = waiting
	for _, w := range done {
		w.done(nil)
	}
	m.runProposals(k)
}

// commit records that a position is committed, on disk too, so that after a restart of all
// members at once there is something to show before an owner is elected.
func (m *Replica) commit(k *replicatedKey, p Position) {
	k.commit = p
	changed, known := m.effects.Changed[k.name]
	if k.undo == nil || p != k.position || known && changed == nil {
		changed = nil
	} else {
		changed = append([]Record{}, changed...)
		for name := range k.undo {
			if r, ok := k.Records[name]; ok {
				changed = append(changed, r)
			}
		}
	}
	if m.effects.Changed == nil {
		m.effects.Changed = map[string][]Record{}
	}
	m.effects.Changed[k.name] = changed
	if p == k.position {
		k.undo = nil
	}
	m.effects.Committed = append(m.effects.Committed, k.name)
	entries := []storageEntry{k.meta()}
	if k.name == RosterKey && !m.bootstrapped {
		m.bootstrapped = true
		entries = append(entries, m.nodeEntry())
	}
	m.write(entries, nil)
}

// expireWaiters fails the proposals whose deadline has passed.
func (m *Replica) expireWaiters(k *replicatedKey) {
	waiting := k.waiters[:0]
	var late []waiter
	for _, w := range k.waiters {
		if m.now >= w.deadline {
			late = append(late, w)
		} else {
			waiting = append(waiting, w)
		}
	}
	k.waiters = waiting
	queue := k.queue
	k.queue = nil
	for _, p := range queue {
		if m.now >= p.deadline {
			late = append(late, waiter{done: p.done})
		} else {
			k.queue = append(k.queue, p)
		}
	}
	for _, w := range late {
		w.done(ErrNoQuorum)
	}
}
