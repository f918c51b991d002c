package replication

// This file holds the normal operation: how an owner replicates a change, and when it is
// committed.

import (
	"sort"
	"time"
)

// clockEcho is a reading of a member's clock, to be echoed to it, and when it was received.
type clockEcho struct {
	runID      uint64
	clock      time.Duration
	receivedAt time.Duration
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
func (m *Replica) newAppend(part *partition, base Position) *Append {
	commit := uint64(0)
	if part.commit.Epoch == part.ownEpoch {
		commit = part.commit.Seq
	}
	msg := &Append{Partition: part.name, Epoch: part.ownEpoch, Base: base, Seq: part.position.Seq, Commit: commit, Round: m.heartbeats.round, VoterSet: m.partitions[VoterSetPartition].position}
	msg.setDigest(part.Sums, m.olderVersions())
	return msg
}

// Propose runs fn on the partition's records and replicates the changes that it returns. done is
// called with nil once these, and everything that fn saw, are committed.
func (m *Replica) Propose(now time.Duration, name string, fn func(map[string]Record) ([]Record, error), done func(error)) {
	m.now = now
	part := m.partition(name)
	if part.role != roleOwner {
		if m.initialOwner(part) == m.cfg.Self {
			m.startElection(part, false) // a repeated request will find an owner
		}
		done(ErrNotOwner)
		return
	}
	part.queue = append(part.queue, proposal{fn, now + m.cfg.ProposalTimeout, done})
	m.runProposals(part)
}

// runProposals runs the waiting proposals, all of them in one log entry, once the entry before
// it is committed.
func (m *Replica) runProposals(part *partition) {
	if part.role != roleOwner || part.commit != part.position || len(part.queue) == 0 {
		return
	}
	queue := part.queue
	part.queue = nil
	base := part.position
	var changes []Record
	var entries []storageEntry
	var ran []proposal
	for i, p := range queue {
		if part.name == VoterSetPartition && len(changes) > 0 {
			// Only one change of the voter set per log entry: see membership.go.
			part.queue = queue[i:]
			break
		}
		c, err := p.fn(part.Records)
		if err != nil {
			// The error may be wrong until the state that it is based on is confirmed, so it is
			// returned only then.
			done := p.done
			p.done = func(confirmErr error) {
				if confirmErr == nil {
					confirmErr = err
				}
				done(confirmErr)
			}
		} else if len(c) > 0 {
			entries = append(entries, m.apply(part, c)...)
			changes = append(changes, c...)
		}
		ran = append(ran, p)
	}
	w := waiter{seq: part.position.Seq}
	if len(changes) > 0 {
		m.appendEntry(part, base, changes, entries)
		w.seq = part.position.Seq
	} else {
		// There is nothing to replicate, but this member must still be the owner for its reply
		// to count.
		w.round = m.scheduleConfirm(part)
	}
	for _, p := range ran {
		part.waiters = append(part.waiters, waiter{w.seq, w.round, p.deadline, p.done})
	}
	m.advanceCommit(part)
}

// appendEntry replicates one log entry to the others.
func (m *Replica) appendEntry(part *partition, base Position, changes []Record, entries []storageEntry) {
	part.position.Seq++
	at := part.position
	part.log.add(base, at, changes)
	m.write(append(entries, part.meta()), func() { m.noteAck(part, m.self, at) })
	msg := m.newAppend(part, base)
	msg.Changes = changes
	for _, to := range m.others() {
		m.send(to, Message{Body: msg})
	}
	if reason, ok := m.heartbeats.duePartitions[part.name]; ok && reason == dueCommit {
		delete(m.heartbeats.duePartitions, part.name) // the Append carries the commit position
	}
}

// withFreshness returns the message with the time since this member's ownership was confirmed,
// for a receiver whose clock reading is known.
func (m *Replica) withFreshness(part *partition, to string, msg *Append) *Append {
	echo, ok := m.clockEchoes[to]
	if !ok || part.confirmedAt == neverConfirmed {
		return msg
	}
	withAge := *msg
	withAge.Freshness = &Freshness{echo.runID, echo.clock, m.now - echo.receivedAt, m.now - part.confirmedAt}
	return &withAge
}

// rejection returns the reply to an owner that the member accepts nothing from, because its
// epoch is older than the one promised or its voter set is older than the one adopted here; nil if
// the owner is acceptable.
func (m *Replica) rejection(part *partition, e Epoch, voterSet Position) *AppendAck {
	outdated := m.olderVoterSet(voterSet)
	if !outdated && !e.Less(part.promised) {
		return nil
	}
	reply := &AppendAck{Partition: part.name, Epoch: e}
	if e.Less(part.promised) {
		reply.Promised = part.promised
	}
	if outdated {
		reply.Outdated = m.voterSetCopy()
	}
	return reply
}

// followOwner records a message from the owner under epoch e.
func (m *Replica) followOwner(part *partition, e Epoch) {
	if part.promised != e {
		m.stepDown(part, e)
		m.write([]storageEntry{part.meta()}, nil)
	} else if part.role == roleCandidate && part.preVote {
		m.becomeFollower(part, ErrNoQuorum) // there is an owner after all
	}
	part.lastContact, part.hadContact = m.now, true
	part.ownerContact, part.hasOwner = m.now, true
}

func (m *Replica) onAppend(from string, msg *Append) {
	part := m.partition(msg.Partition)
	if reply := m.rejection(part, msg.Epoch, msg.VoterSet); reply != nil {
		reply.Round = msg.Round
		m.send(from, Message{Body: reply})
		return
	}
	m.followOwner(part, msg.Epoch)
	to, commit := Position{msg.Epoch, msg.Seq}, Position{msg.Epoch, msg.Commit}
	// The message may show that the position held here is committed. It is recorded before the new
	// changes are applied, so that readers see committed changes also while more keep arriving.
	m.noteCommitted(part, commit)
	switch {
	case part.position == msg.Base && part.position != to:
		base := part.position
		var entries []storageEntry
		if msg.ReplaceRanges != nil {
			entries = m.replace(part, msg.ReplaceRanges, msg.Changes)
		} else {
			entries = m.apply(part, msg.Changes)
			part.log.add(base, to, msg.Changes)
		}
		part.position = to
		m.write(append(entries, part.meta()), nil)
	case part.position == to && msg.ReplaceRanges != nil && !msg.matchesDigest(part.Sums):
		m.write(append(m.replace(part, msg.ReplaceRanges, msg.Changes), part.meta()), nil)
	}
	reply := &AppendAck{Partition: msg.Partition, Epoch: msg.Epoch, Round: msg.Round}
	reply.OK = !part.position.Less(to) && !(part.position == to && !msg.matchesDigest(part.Sums))
	if reply.OK {
		m.noteCommitted(part, commit)
	}
	// At the time when its ownership was confirmed, the owner had committed nothing beyond Commit.
	if msg.Freshness != nil && msg.Freshness.RunID == m.cfg.RunID && msg.Commit > 0 && part.commit == commit {
		part.freshAsOf = max(part.freshAsOf, msg.Freshness.Clock+msg.Freshness.HeldFor-msg.Freshness.Age)
	}
	m.replyWhenDurable(part, from, reply)
}

// noteCommitted records that a position is committed if it is the position of the copy: only
// what is committed as a whole is shown to readers.
func (m *Replica) noteCommitted(part *partition, p Position) {
	if p.Seq == 0 || p != part.position || !part.commit.Less(p) {
		return
	}
	m.commit(part, p)
}

// replyWhenDurable answers an owner once everything that this member holds of the partition is
// durable.
func (m *Replica) replyWhenDurable(part *partition, to string, ack *AppendAck) {
	at, sums := part.position, part.Sums
	m.whenDurable(func() {
		ack.At, ack.Promised = at, part.promised
		if part.trackFreshness {
			ack.Clock = max(m.now, 1)
			part.lastConfirmSent = m.now
		}
		if !ack.OK {
			ack.Sums = &sums
		}
		m.send(to, Message{Body: ack})
	})
}

func (m *Replica) onAppendAck(from, id string, ack *AppendAck) {
	part := m.partition(ack.Partition)
	if ack.Outdated != nil {
		m.adoptVoterSet(ack.Outdated)
	}
	if part.role != roleOwner || ack.Epoch != part.ownEpoch {
		return
	}
	if part.ownEpoch.Less(ack.Promised) {
		m.stepDown(part, ack.Promised)
		m.write([]storageEntry{part.meta()}, nil)
		return
	}
	if ack.Promised != part.ownEpoch {
		if ack.Outdated != nil && m.mayOwn() {
			m.scheduleConfirm(part) // again, under the newer voter set
		}
		return
	}
	part.ackedAt[id] = m.now
	if s, ok := m.heartbeats.sent[ack.Round]; ok && part.name == VoterSetPartition {
		// The time when the round was sent counts: a delayed reply is no evidence that the
		// member is still there.
		m.voterSetAnsweredAt[id] = max(m.voterSetAnsweredAt[id], s.at)
	}
	if ack.Clock > 0 {
		m.noteClockReading(from, id, ack.Clock)
	}
	part.confirmedRounds[id] = max(part.confirmedRounds[id], ack.Round)
	if ack.OK {
		m.noteAck(part, id, ack.At)
		if part.role == roleOwner && part.outgoing[id] != nil && ack.Sums != nil && ack.At.Less(part.position) {
			m.catchUp(part, from, id, ack.At, *ack.Sums) // the changes since the snapshot
		}
		return
	}
	if (ack.At != part.position || ack.Sums != nil && *ack.Sums != part.Sums) && ack.Sums != nil && !part.position.Less(ack.At) {
		m.catchUp(part, from, id, ack.At, *ack.Sums)
	}
	m.advanceCommit(part)
}

// noteAck records that a member holds a position durably.
func (m *Replica) noteAck(part *partition, id string, at Position) {
	if part.role != roleOwner || at.Epoch != part.ownEpoch {
		return
	}
	if part.acks[id].Less(at) {
		part.acks[id] = at
	}
	m.advanceCommit(part)
}

// advanceCommit commits what enough members hold and calls back the callers whose proposals are
// done.
func (m *Replica) advanceCommit(part *partition) {
	if part.role != roleOwner {
		return
	}
	// Commit the newest position that is durable here and at enough others.
	if ownAck := part.acks[m.self]; part.commit.Less(part.position) && ownAck.Epoch == part.ownEpoch {
		var seqs []uint64
		recent := func(id string) bool { return id == m.self || m.now-part.ackedAt[id] <= m.cfg.ElectionTimeout }
		for id, a := range part.acks {
			if a.Epoch == part.ownEpoch && a.Seq <= ownAck.Seq && recent(id) {
				seqs = append(seqs, a.Seq)
			}
		}
		sort.Slice(seqs, func(i, j int) bool { return seqs[i] > seqs[j] })
		for _, s := range seqs {
			p := Position{part.ownEpoch, s}
			if !part.commit.Less(p) {
				break
			}
			if m.hasQuorum(part.name != VoterSetPartition, func(id string) bool {
				return !part.acks[id].Less(p) && part.acks[id].Epoch == part.ownEpoch && recent(id)
			}) {
				m.commit(part, p)
				m.scheduleCommitNotice(part)
				break
			}
		}
	}
	confirmed, began := m.confirmedRound(part)
	if confirmed > 0 {
		m.noteOwnershipConfirmed(part, began)
	}
	var done []waiter
	waiting := part.waiters[:0]
	for _, w := range part.waiters {
		if part.commit.Epoch == part.ownEpoch && part.commit.Seq >= w.seq && confirmed >= w.round {
			done = append(done, w)
		} else {
			waiting = append(waiting, w)
		}
	}
	part.waiters = waiting
	for _, w := range done {
		w.done(nil)
	}
	m.runProposals(part)
}

// commit records that a position is committed, on disk too, so that after a restart of all
// members at once readers can be served before an owner is elected.
func (m *Replica) commit(part *partition, p Position) {
	part.commit = p
	changed, known := m.effects.Changed[part.name]
	if part.undo == nil || p != part.position || known && changed == nil {
		changed = nil
	} else {
		changed = append([]Record{}, changed...)
		for name := range part.undo {
			if r, ok := part.Records[name]; ok {
				changed = append(changed, r)
			}
		}
	}
	if m.effects.Changed == nil {
		m.effects.Changed = map[string][]Record{}
	}
	m.effects.Changed[part.name] = changed
	if p == part.position {
		part.undo = nil
	}
	m.effects.Committed = append(m.effects.Committed, part.name)
	entries := []storageEntry{part.meta()}
	if part.name == VoterSetPartition && !m.bootstrapped {
		m.bootstrapped = true
		entries = append(entries, m.nodeEntry())
	}
	m.write(entries, nil)
}

// expireWaiters fails the proposals whose deadline has passed.
func (m *Replica) expireWaiters(part *partition) {
	waiting := part.waiters[:0]
	var late []waiter
	for _, w := range part.waiters {
		if m.now >= w.deadline {
			late = append(late, w)
		} else {
			waiting = append(waiting, w)
		}
	}
	part.waiters = waiting
	queue := part.queue
	part.queue = nil
	for _, p := range queue {
		if m.now >= p.deadline {
			late = append(late, waiter{done: p.done})
		} else {
			part.queue = append(part.queue, p)
		}
	}
	for _, w := range late {
		w.done(ErrNoQuorum)
	}
}
