package replication

// This file holds elections and the transfer of partitions to another owner.

import (
	"maps"
	"slices"
	"time"

	"madderwing/internal/rendezvous"
)

// startElection starts an election in which this member is the candidate for a partition. It begins
// with a pre-vote unless the partition was transferred to this member, by its owner or by the
// bootstrap. The pre-vote keeps a member that the others don't need as owner, because it is cut off
// in one direction or has only just restarted, from raising the epoch.
func (m *Replica) startElection(part *partition, transferred bool) {
	if !m.mayOwn() || m.leaving || part.role == roleOwner || part.role == roleCandidate && !(part.preVote && transferred) || m.now < part.noElectionUntil && !transferred {
		return
	}
	part.role, part.roleSince, part.preVote = roleCandidate, m.now, !transferred
	part.ownEpoch = Epoch{max(part.promised.Number, part.position.Epoch.Number, part.maxSeenEpoch) + 1, m.cfg.Self, m.cfg.RunID}
	part.votes, part.voterConfirmedAt = map[string]*Vote{}, map[string]time.Duration{}
	if part.preVote {
		part.votes[m.self] = &Vote{At: part.position}
		m.requestVotes(part)
		return
	}
	m.campaign(part)
}

// campaign requests binding votes, after the pre-vote or a transfer. The new epoch is made
// durable first.
func (m *Replica) campaign(part *partition) {
	part.preVote, part.roleSince = false, m.now
	part.promised = part.ownEpoch
	epoch := part.ownEpoch
	part.votes = map[string]*Vote{}
	m.write([]storageEntry{part.meta()}, func() {
		if part.role != roleCandidate || part.ownEpoch != epoch {
			return
		}
		part.votes[m.self] = &Vote{At: part.position}
		m.requestVotes(part)
	})
}

// requestVotes sends a vote request to every voter that has not granted its vote yet. Tick
// repeats it every quarter of a heartbeat interval.
func (m *Replica) requestVotes(part *partition) {
	part.votesRequestedAt = m.now
	for _, to := range m.otherVoters() {
		if part.votes[m.lastIdentity[to]] != nil {
			continue
		}
		m.send(to, Message{Body: &VoteRequest{Partition: part.name, Epoch: part.ownEpoch, VoterSet: m.partitions[VoterSetPartition].position, At: part.position, PreVote: part.preVote}})
	}
	m.tallyVotes(part)
}

// hasLiveOwner reports whether this member owns the partition and was recently in contact with a
// quorum, or has recently heard from another owner.
func (m *Replica) hasLiveOwner(part *partition) bool {
	limit := m.cfg.ElectionTimeout * 3 / 4
	return part.role == roleOwner && m.now-part.quorumAt <= limit || part.role != roleOwner && part.hasOwner && m.now-part.ownerContact <= limit
}

func (m *Replica) onVoteRequest(from string, req *VoteRequest) {
	part := m.partition(req.Partition)
	part.maxSeenEpoch = max(part.maxSeenEpoch, req.Epoch.Number)
	outdated := m.olderVoterSet(req.VoterSet)
	behind := req.At.Less(part.position)
	granted := !req.Epoch.Less(part.promised) && !outdated && !behind
	if req.PreVote && granted && m.hasLiveOwner(part) && part.promised.Owner != from {
		granted = false
	}
	if granted && !req.PreVote && part.promised != req.Epoch {
		m.stepDown(part, req.Epoch)
		part.lastContact, part.hadContact, part.hasOwner = m.now, true, false
		m.write([]storageEntry{part.meta()}, nil)
	}
	vote := &Vote{Partition: req.Partition, Epoch: req.Epoch, Granted: granted, Promised: part.promised, At: part.position, PreVote: req.PreVote, Sums: part.Sums}
	if outdated {
		vote.Outdated = m.voterSetCopy()
	}
	if behind && (m.leaving || !m.mayOwn()) {
		vote.At = req.At // this member can't become owner, so the candidate must not withdraw in its favor
	}
	m.whenDurable(func() {
		vote.Granted = vote.Granted && (req.PreVote || part.promised == req.Epoch)
		if vote.Granted && !req.PreVote && part.trackFreshness {
			vote.SinceConfirmed = m.now - part.lastConfirmSent
		}
		m.send(from, Message{Body: vote})
	})
	if behind && !outdated && !m.hasLiveOwner(part) {
		// The candidate lacks changes that this member has, so this member starts an election
		// itself.
		m.startElection(part, false)
	}
}

func (m *Replica) onVote(from, id string, vote *Vote) {
	part := m.partition(vote.Partition)
	voterSetBefore := m.partitions[VoterSetPartition].position
	if vote.Outdated != nil {
		m.adoptVoterSet(vote.Outdated)
	}
	if part.role != roleCandidate || part.ownEpoch != vote.Epoch || part.preVote != vote.PreVote {
		return
	}
	if !vote.Granted || part.position.Less(vote.At) {
		part.maxSeenEpoch = max(part.maxSeenEpoch, vote.Promised.Number)
		switch {
		case !vote.PreVote && part.ownEpoch.Less(vote.Promised):
			m.stepDown(part, vote.Promised)
			m.write([]storageEntry{part.meta()}, nil)
		case vote.Outdated != nil:
			if voterSetBefore != m.partitions[VoterSetPartition].position {
				m.requestVotes(part) // under the newer voter set
			}
		case vote.PreVote && part.position.Less(vote.At):
			// Only a pre-vote ends here: in a binding vote a majority decides, whatever the
			// other members hold.
			m.becomeFollower(part, ErrNoQuorum)
			part.noElectionUntil = m.now + m.cfg.HeartbeatInterval
		}
		return
	}
	part.votes[id] = vote
	part.voterConfirmedAt[id] = m.now - vote.SinceConfirmed
	m.tallyVotes(part)
}

// tallyVotes makes this member the owner once a majority has granted its votes. None of these
// voters held anything newer than this member does.
func (m *Replica) tallyVotes(part *partition) {
	if !m.hasQuorum(false, func(id string) bool { return part.votes[id] != nil }) {
		return
	}
	if !m.mayOwn() {
		m.becomeFollower(part, ErrNotOwner) // this member has been removed from the voter set in the meantime
		return
	}
	if part.preVote {
		m.campaign(part)
		return
	}
	// An earlier owner's ownership was confirmed by majorities, and each majority includes at
	// least one of the present voters. So it was not confirmed later than the last confirmation
	// that any of them sent.
	part.predecessorUntil = part.lastConfirmSent
	for id := range part.votes {
		part.predecessorUntil = max(part.predecessorUntil, part.voterConfirmedAt[id])
	}
	// The ownership still has to be confirmed. A vote doesn't count as a confirmation: later
	// owners have to wait for the confirmations that a member sent (see replyWhenDurable).
	part.confirmedAt, part.ownerSince, part.inherited = neverConfirmed, m.now, len(part.Records) > 0
	part.role, part.roleSince, part.quorumAt = roleOwner, m.now, m.now
	part.acks, part.ackedAt = map[string]Position{}, map[string]time.Duration{}
	part.confirmedRounds, part.firstRound = map[string]uint64{}, m.heartbeats.round+1
	part.outgoing, part.lastCatchUp = map[string]*outgoingSnapshot{}, map[string]catchUpSent{}
	base := part.position
	part.position = Position{part.ownEpoch, base.Seq + 1}
	part.log.add(base, part.position, nil)
	at, votes := part.position, part.votes
	part.votes, part.voterConfirmedAt, part.incoming = nil, nil, nil
	m.write(append(m.apply(part, nil), part.meta()), func() { m.noteAck(part, m.self, at) })
	for _, id := range slices.Sorted(maps.Keys(votes)) {
		if vote := votes[id]; id != m.self {
			m.catchUp(part, addressOf(id), id, vote.At, vote.Sums)
		}
	}
	m.scheduleConfirm(part)
	m.advanceCommit(part)
}

// stepDown moves to a newer epoch as a follower.
func (m *Replica) stepDown(part *partition, e Epoch) {
	if part.promised.Less(e) {
		part.promised = e
	}
	m.becomeFollower(part, ErrNoQuorum)
}

// becomeFollower gives up the ownership or candidacy of a partition, and fails all waiting
// proposals with err.
func (m *Replica) becomeFollower(part *partition, err error) {
	if part.role != roleFollower {
		part.role, part.preVote = roleFollower, false
		part.votes, part.acks, part.outgoing = nil, nil, nil
		part.lastContact, part.hadContact, part.hasOwner = m.now, true, false
	}
	waiters, queue := part.waiters, part.queue
	part.waiters, part.queue = nil, nil
	for _, w := range waiters {
		w.done(err)
	}
	for _, p := range queue {
		p.done(err)
	}
}

// Successors returns the addresses of the voters in the order in which they take over a partition.
func (m *Replica) Successors(name string) []string {
	return slices.Clone(m.successors(m.partition(name)))
}

// successors is Successors without the copy; the order is computed once per voter set.
func (m *Replica) successors(part *partition) []string {
	if s := m.voterSet(); part.successorsFor != s {
		part.successorsFor, part.successorList = s, rendezvous.Order(part.name, m.Voters())
	}
	return part.successorList
}

// rankAmongLive is the number of live members, other than the present owner, that come before
// this one in the partition's order of successors.
func (m *Replica) rankAmongLive(part *partition) int {
	n := 0
	for _, address := range m.successors(part) {
		if address == m.cfg.Self {
			return n
		}
		if address != part.promised.Owner && m.cfg.Alive(address) && !m.diskReplaced(address) {
			n++
		}
	}
	return n
}

// diskReplaced reports whether the machine at a voter's address has come back with another disk.
func (m *Replica) diskReplaced(address string) bool {
	id, known := m.lastIdentity[address]
	return known && id != address && !slices.Contains(m.voterSet().all(), id) && !slices.Contains(m.voterSet().all(), address)
}

// rankAmongAll is this member's index in the partition's order of successors.
func (m *Replica) rankAmongAll(name string) int {
	for i, address := range m.successors(m.partition(name)) {
		if address == m.cfg.Self {
			return i
		}
	}
	return 0
}

func (m *Replica) onProbe(from string) {
	if !m.mayOwn() || m.leaving {
		return // a reply would make the sender wait for this member to take over partitions
	}
	ack := &ProbeAck{}
	for _, name := range m.names {
		if part := m.partitions[name]; part.role != roleFollower || m.Owner(m.now, name) != "" {
			ack.OwnedPartitions = append(ack.OwnedPartitions, name)
		}
	}
	m.send(from, Message{Body: ack})
}

func (m *Replica) onProbeAck(from string, ack *ProbeAck) {
	m.probeAcks[from] = map[string]bool{}
	for _, name := range ack.OwnedPartitions {
		m.probeAcks[from][name] = true
	}
}

// probesFoundNoOwner reports whether a majority has answered this member's probes, none of them
// knows an owner of the partition, and none of those that answered precedes this member in the
// order of successors.
func (m *Replica) probesFoundNoOwner(name string) bool {
	for _, owned := range m.probeAcks {
		if owned[name] {
			return false
		}
	}
	if !hasQuorumOf(m.Voters(), false, func(address string) bool { return address == m.cfg.Self || m.probeAcks[address] != nil }) {
		return false
	}
	for _, address := range m.Successors(name) {
		if address == m.cfg.Self {
			return true
		}
		if m.probeAcks[address] != nil {
			return false
		}
	}
	return false
}

// transfer asks a successor to take over a partition: the first live one whose copy is up to date,
// or else the first live one.
func (m *Replica) transfer(part *partition) {
	var successor string
	for _, address := range m.Successors(part.name) {
		if address == m.cfg.Self || !m.cfg.Alive(address) {
			continue
		}
		if successor == "" {
			successor = address
		}
		if at, ok := part.ackedPosition(address); ok && at == part.position {
			successor = address
			break
		}
	}
	if successor != "" {
		m.send(successor, Message{Body: &Transfer{part.name}})
	}
}

// transferBack returns a partition to the first member in its order of successors once that member
// has been alive and up to date, and the partition idle, for the period TransferBackDelay. Partitions that
// a failure has concentrated at one member are thus spread out again.
func (m *Replica) transferBack(part *partition) {
	preferred := m.successors(part)[0]
	at, _ := part.ackedPosition(preferred)
	stable := preferred != m.cfg.Self && m.cfg.TransferBackDelay > 0 && m.cfg.Alive(preferred) && part.commit == part.position && len(part.waiters)+len(part.queue) == 0 &&
		at == part.position && m.now-part.ackedAt[m.lastIdentity[preferred]] <= m.cfg.ElectionTimeout && m.now-part.roleSince > m.cfg.TransferBackDelay &&
		(part.name != VoterSetPartition || m.allVotersAnswering())
	if !stable {
		part.stableSince = m.now
		return
	}
	if m.now-part.stableSince >= m.cfg.TransferBackDelay {
		m.becomeFollower(part, ErrNotOwner)
		part.noElectionUntil = m.now + m.cfg.ElectionTimeout
		m.send(preferred, Message{Body: &Transfer{part.name}})
	}
}

// ackedPosition is the newest position that the member at an address has acknowledged.
func (part *partition) ackedPosition(address string) (at Position, ok bool) {
	for id, p := range part.acks {
		if addressOf(id) == address && (!ok || at.Less(p)) {
			at, ok = p, true
		}
	}
	return at, ok
}

// Leave transfers all partitions to other members; from then on this member takes over none. SafeToLeave
// reports when its copies are no longer needed.
func (m *Replica) Leave(now time.Duration) {
	m.now = now
	m.leaving = true
	m.survey = nil
	for _, name := range m.names {
		if part := m.partitions[name]; part.role == roleOwner {
			m.transfer(part)
			m.becomeFollower(part, ErrNotOwner)
		}
	}
	m.tickLeaving()
}
