package replication

// This file holds elections and the transfer of keys to another owner.

import (
	"maps"
	"slices"
	"time"

	"madderwing/internal/rendezvous"
)

// startElection starts an election in which this member is the candidate for a key. It begins
// with a pre-vote unless the key was transferred to this member, by its owner or by the
// bootstrap: a member that the others don't need as owner, because it is cut off in one
// direction or has only just restarted, then doesn't raise the epoch.
func (m *Replica) startElection(k *replicatedKey, transferred bool) {
	if !m.mayOwn() || m.leaving || k.role == roleOwner || k.role == roleCandidate && !(k.preVote && transferred) || m.now < k.noElectionUntil && !transferred {
		return
	}
	k.role, k.roleSince, k.preVote = roleCandidate, m.now, !transferred
	k.ownEpoch = Epoch{max(k.promised.N, k.position.Epoch.N, k.maxSeenEpoch) + 1, m.cfg.Self, m.cfg.Life}
	k.votes, k.quietSince = map[string]*Vote{}, map[string]time.Duration{}
	if k.preVote {
		k.votes[m.self] = &Vote{At: k.position}
		m.requestVotes(k)
		return
	}
	m.campaign(k)
}

// campaign requests binding votes, after the pre-vote or a transfer. The new epoch is made
// durable first.
func (m *Replica) campaign(k *replicatedKey) {
	k.preVote, k.roleSince = false, m.now
	k.promised = k.ownEpoch
	epoch := k.ownEpoch
	k.votes = map[string]*Vote{}
	m.write([]storageEntry{k.meta()}, func() {
		if k.role != roleCandidate || k.ownEpoch != epoch {
			return
		}
		k.votes[m.self] = &Vote{At: k.position}
		m.requestVotes(k)
	})
}

// requestVotes sends a vote request to every seat that has not granted its vote yet. Tick
// repeats it every quarter of a heartbeat interval.
func (m *Replica) requestVotes(k *replicatedKey) {
	k.votesRequestedAt = m.now
	for _, to := range m.seatedOthers() {
		if k.votes[m.lastIdentity[to]] != nil {
			continue
		}
		m.send(to, Message{Body: &VoteRequest{Key: k.name, Epoch: k.ownEpoch, Roster: m.keys[RosterKey].position, At: k.position, PreVote: k.preVote}})
	}
	m.tallyVotes(k)
}

// hasLiveOwner reports whether, as far as this member knows, the key has an owner in contact
// with a quorum (if it is this member) or with this member.
func (m *Replica) hasLiveOwner(k *replicatedKey) bool {
	limit := m.cfg.Vacant * 3 / 4
	return k.role == roleOwner && m.now-k.quorumAt <= limit || k.role != roleOwner && k.hasOwner && m.now-k.ownerContact <= limit
}

func (m *Replica) onVoteRequest(from string, req *VoteRequest) {
	k := m.key(req.Key)
	k.maxSeenEpoch = max(k.maxSeenEpoch, req.Epoch.N)
	older := m.olderRoster(req.Roster)
	behind := req.At.Less(k.position)
	granted := !req.Epoch.Less(k.promised) && !older && !behind
	if req.PreVote && granted && m.hasLiveOwner(k) && k.promised.Owner != from {
		granted = false
	}
	if granted && !req.PreVote && k.promised != req.Epoch {
		m.stepDown(k, req.Epoch)
		k.lastContact, k.hadContact, k.hasOwner = m.now, true, false
		m.write([]storageEntry{k.meta()}, nil)
	}
	vote := &Vote{Key: req.Key, Epoch: req.Epoch, OK: granted, Promised: k.promised, At: k.position, PreVote: req.PreVote, Sums: k.Sums}
	if older {
		vote.Outdated = m.rosterCopy()
	}
	if behind && (m.leaving || !m.mayOwn()) {
		vote.At = req.At // this member can't become owner, so the candidate must not withdraw in its favor
	}
	m.whenDurable(func() {
		vote.OK = vote.OK && (req.PreVote || k.promised == req.Epoch)
		if vote.OK && !req.PreVote && k.trackFreshness {
			vote.Quiet = m.now - k.lastConfirmSent
		}
		m.send(from, Message{Body: vote})
	})
	if behind && !older && !m.hasLiveOwner(k) {
		// The candidate lacks changes that this member has, so this member is the better
		// candidate.
		m.startElection(k, false)
	}
}

func (m *Replica) onVote(from, id string, vote *Vote) {
	k := m.key(vote.Key)
	rosterBefore := m.keys[RosterKey].position
	if vote.Outdated != nil {
		m.adoptRoster(vote.Outdated)
	}
	if k.role != roleCandidate || k.ownEpoch != vote.Epoch || k.preVote != vote.PreVote {
		return
	}
	if !vote.OK || k.position.Less(vote.At) {
		k.maxSeenEpoch = max(k.maxSeenEpoch, vote.Promised.N)
		switch {
		case !vote.PreVote && k.ownEpoch.Less(vote.Promised):
			m.stepDown(k, vote.Promised)
			m.write([]storageEntry{k.meta()}, nil)
		case vote.Outdated != nil:
			if rosterBefore != m.keys[RosterKey].position {
				m.requestVotes(k) // under the newer roster
			}
		case vote.PreVote && k.position.Less(vote.At):
			// Only a pre-vote ends here: in a binding vote a majority decides, whatever the
			// other members hold.
			m.becomeFollower(k, ErrNoQuorum)
			k.noElectionUntil = m.now + m.cfg.Beat
		}
		return
	}
	k.votes[id] = vote
	k.quietSince[id] = m.now - vote.Quiet
	m.tallyVotes(k)
}

// tallyVotes makes this member the owner once a majority has granted its votes. None of these
// voters held anything newer than this member does.
func (m *Replica) tallyVotes(k *replicatedKey) {
	if !m.hasQuorum(false, func(id string) bool { return k.votes[id] != nil }) {
		return
	}
	if !m.mayOwn() {
		m.becomeFollower(k, ErrNotOwner) // this member has lost its seat in the meantime
		return
	}
	if k.preVote {
		m.campaign(k)
		return
	}
	// An earlier owner's ownership was confirmed by majorities, and each majority includes at
	// least one of the present voters. So it was not confirmed later than the last confirmation
	// that any of them sent.
	k.predecessorUntil = k.lastConfirmSent
	for id := range k.votes {
		k.predecessorUntil = max(k.predecessorUntil, k.quietSince[id])
	}
	// The ownership still has to be confirmed. A vote doesn't count as a confirmation: later
	// owners have to wait for the confirmations that a member sent (see replyWhenDurable).
	k.confirmedAt, k.ownerSince, k.inherited = neverConfirmed, m.now, len(k.Records) > 0
	k.role, k.roleSince, k.quorumAt = roleOwner, m.now, m.now
	k.acks, k.ackedAt = map[string]Position{}, map[string]time.Duration{}
	k.confirmedRounds, k.firstRound = map[string]uint64{}, m.heartbeats.round+1
	k.outgoing, k.lastCatchUp = map[string]*outgoingSnapshot{}, map[string]catchUpSent{}
	base := k.position
	k.position = Position{k.ownEpoch, base.Seq + 1}
	k.log.add(base, k.position, nil)
	at, votes := k.position, k.votes
	k.votes, k.quietSince, k.incoming = nil, nil, nil
	m.write(append(m.apply(k, nil), k.meta()), func() { m.noteAck(k, m.self, at) })
	for _, id := range slices.Sorted(maps.Keys(votes)) {
		if vote := votes[id]; id != m.self {
			m.catchUp(k, addressOf(id), id, vote.At, vote.Sums)
		}
	}
	m.scheduleConfirm(k)
	m.advanceCommit(k)
}

// stepDown moves to a newer epoch as a follower.
func (m *Replica) stepDown(k *replicatedKey, e Epoch) {
	if k.promised.Less(e) {
		k.promised = e
	}
	m.becomeFollower(k, ErrNoQuorum)
}

// becomeFollower gives up the ownership or candidacy of a key, and fails all waiting proposals
// with err.
func (m *Replica) becomeFollower(k *replicatedKey, err error) {
	if k.role != roleFollower {
		k.role, k.preVote = roleFollower, false
		k.votes, k.acks, k.outgoing = nil, nil, nil
		k.lastContact, k.hadContact, k.hasOwner = m.now, true, false
	}
	waiters, queue := k.waiters, k.queue
	k.waiters, k.queue = nil, nil
	for _, w := range waiters {
		w.done(err)
	}
	for _, p := range queue {
		p.done(err)
	}
}

// Heirs returns the addresses of the roster in the order in which they take over a key.
func (m *Replica) Heirs(name string) []string { return slices.Clone(m.successors(m.key(name))) }

// successors is Heirs without the copy; the order is computed once per roster.
func (m *Replica) successors(k *replicatedKey) []string {
	if s := m.seats(); k.successorsFor != s {
		k.successorsFor, k.successorList = s, rendezvous.Order(k.name, m.Roster())
	}
	return k.successorList
}

// rankAmongLive is the number of live members, other than the present owner, that come before
// this one in the key's order of successors.
func (m *Replica) rankAmongLive(k *replicatedKey) int {
	n := 0
	for _, id := range m.successors(k) {
		if id == m.cfg.Self {
			return n
		}
		if id != k.promised.Owner && m.cfg.Alive(id) && !m.diskReplaced(id) {
			n++
		}
	}
	return n
}

// diskReplaced reports whether the machine at a seat's address has come back with another disk.
func (m *Replica) diskReplaced(address string) bool {
	id, known := m.lastIdentity[address]
	return known && id != address && !slices.Contains(m.seats().all(), id) && !slices.Contains(m.seats().all(), address)
}

// rankAmongAll is this member's index in the key's order of successors.
func (m *Replica) rankAmongAll(name string) int {
	for i, id := range m.successors(m.key(name)) {
		if id == m.cfg.Self {
			return i
		}
	}
	return 0
}

func (m *Replica) onProbe(from string) {
	if !m.mayOwn() || m.leaving {
		return // an answer would make the sender wait for this member to take over keys
	}
	ack := &ProbeAck{}
	for _, name := range m.names {
		if k := m.keys[name]; k.role != roleFollower || m.Owner(m.now, name) != "" {
			ack.Owned = append(ack.Owned, name)
		}
	}
	m.send(from, Message{Body: ack})
}

func (m *Replica) onProbeAck(from string, ack *ProbeAck) {
	m.probeAcks[from] = map[string]bool{}
	for _, name := range ack.Owned {
		m.probeAcks[from][name] = true
	}
}

// probesFoundNoOwner reports whether a majority has answered this member's probes, none of them
// knows an owner of the key, and none of those that answered precedes this member in the order
// of successors.
func (m *Replica) probesFoundNoOwner(name string) bool {
	for _, owned := range m.probeAcks {
		if owned[name] {
			return false
		}
	}
	if !hasQuorumOf(m.Roster(), false, func(id string) bool { return id == m.cfg.Self || m.probeAcks[id] != nil }) {
		return false
	}
	for _, id := range m.Heirs(name) {
		if id == m.cfg.Self {
			return true
		}
		if m.probeAcks[id] != nil {
			return false
		}
	}
	return false
}

// transfer asks a successor to take over a key: the first live one whose copy is up to date, or
// else the first live one.
func (m *Replica) transfer(k *replicatedKey) {
	var successor string
	for _, id := range m.Heirs(k.name) {
		if id == m.cfg.Self || !m.cfg.Alive(id) {
			continue
		}
		if successor == "" {
			successor = id
		}
		if at, ok := k.ackedPosition(id); ok && at == k.position {
			successor = id
			break
		}
	}
	if successor != "" {
		m.send(successor, Message{Body: &Transfer{k.name}})
	}
}

// handBack returns a key to the first member in its order of successors once that member has
// been alive and up to date, and the key idle, for the period HandBack. Keys that were gathered
// at one member by a failure are thus spread out again.
func (m *Replica) handBack(k *replicatedKey) {
	preferred := m.successors(k)[0]
	at, _ := k.ackedPosition(preferred)
	stable := preferred != m.cfg.Self && m.cfg.HandBack > 0 && m.cfg.Alive(preferred) && k.commit == k.position && len(k.waiters)+len(k.queue) == 0 &&
		at == k.position && m.now-k.ackedAt[m.lastIdentity[preferred]] <= m.cfg.Vacant && m.now-k.roleSince > m.cfg.HandBack &&
		(k.name != RosterKey || m.allSeatsAnswering())
	if !stable {
		k.stableSince = m.now
		return
	}
	if m.now-k.stableSince >= m.cfg.HandBack {
		m.becomeFollower(k, ErrNotOwner)
		k.noElectionUntil = m.now + m.cfg.Vacant
		m.send(preferred, Message{Body: &Transfer{k.name}})
	}
}

// ackedPosition is the newest position that the member at an address has acknowledged.
func (k *replicatedKey) ackedPosition(address string) (at Position, ok bool) {
	for id, p := range k.acks {
		if addressOf(id) == address && (!ok || at.Less(p)) {
			at, ok = p, true
		}
	}
	return at, ok
}

// Leave transfers all keys to other members; from then on this member takes over none. MayGo
// reports when its copies are no longer needed.
func (m *Replica) Leave(now time.Duration) {
	m.now = now
	m.leaving = true
	m.survey = nil
	for _, name := range m.names {
		if k := m.keys[name]; k.role == roleOwner {
			m.transfer(k)
			m.becomeFollower(k, ErrNotOwner)
		}
	}
	m.tickLeaving()
}
