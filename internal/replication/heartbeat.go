package replication

// This file holds the owner's side of heartbeats: what a member that owns partitions sends to the
// others at each heartbeat interval. heartbeat_acks.go holds what it does with the replies.
//
// One heartbeat covers all partitions that a process owns. It identifies their epochs and positions
// by a version and a digest of the whole list, and carries only the entries that differ from the
// version that the receiver acknowledged last. A round number applies to the whole process, so one
// answer confirms the epochs of all partitions in the list. An answer names the partitions that are
// exceptions; a newer epoch for one of them deposes the owner of that partition alone.
//
// Between these full heartbeats a partial heartbeat covers only the partitions that it names: those
// with a new commit, and those for which a read waits until the ownership is confirmed. One
// that only announces commits is not answered unless the receiver's copy differs from the
// owner's or the owner's epoch or voter set is outdated.

import (
	"maps"
	"slices"
	"time"
)

// protocolHeartbeat is the first protocol version whose members understand heartbeats. Members
// of an older version are sent an Append without changes for each partition.
const protocolHeartbeat = 1

// roundRetention is how long the start times of rounds are kept, in multiples of Config.ElectionTimeout.
// The times of the voter set's rounds tell when a member last answered (see failed).
const roundRetention = 8

// peer is what an owner knows of the process at another member's address.
type peer struct {
	id                string
	runID             uint64
	supportsHeartbeat bool
	listVersion       uint64 // version of the list that it acknowledged last; 0: none
}

// sentRound is a round that has begun. partitions are the partitions of its partial heartbeat.
type sentRound struct {
	at         time.Duration
	partitions []sentPartition
}

// sentPartition is a partition with its position when the round began.
type sentPartition struct {
	*partition
	position Position
}

// listEntry is a partition's entry in the list, with the list version that added it.
type listEntry struct {
	PartitionStatus
	version uint64
}

// dueReason is why a partition is due for a partial heartbeat.
type dueReason int

const (
	dueCommit  dueReason = iota // a new commit is to be announced
	dueConfirm                  // its epoch has to be confirmed
)

// heartbeatState is the state of the owner's side of heartbeats.
type heartbeatState struct {
	round           uint64               // number of the newest round
	sent            map[uint64]sentRound // by number
	oldest          uint64               // lowest round number in sent
	confirmedRounds map[string]uint64    // by member: the newest round in which it confirmed the whole list
	confirmedRound  uint64               // the newest round that a quorum confirmed
	lastFullAt      time.Duration        // when a full heartbeat was last sent to all members

	version, digest uint64 // of the list of owned partitions
	listed          map[string]listEntry
	removed         map[string]uint64 // partitions removed from the list, with the list version that removed them

	dueAll        bool                 // a full heartbeat to all members is due
	dueTo         map[string]bool      // addresses to be sent a full heartbeat at once, ahead of the interval
	duePartitions map[string]dueReason // partitions for the next partial heartbeat
}

func newHeartbeatState() heartbeatState {
	return heartbeatState{sent: map[uint64]sentRound{}, oldest: 1, confirmedRounds: map[string]uint64{}, listed: map[string]listEntry{},
		removed: map[string]uint64{}, dueTo: map[string]bool{}, duePartitions: map[string]dueReason{}}
}

// notePeer records which process is at an address and whether it understands heartbeats.
func (m *Replica) notePeer(from, id string, msg Message) {
	p := m.peers[from]
	if p == nil || p.id != id || p.runID != msg.RunID {
		p = &peer{id: id, runID: msg.RunID}
		m.peers[from] = p
		m.heartbeats.dueTo[from] = true
	}
	p.supportsHeartbeat = msg.Protocol >= protocolHeartbeat
}

// noteClockReading records a member's clock reading, which the next heartbeat echoes. A new
// process is sent one at once.
func (m *Replica) noteClockReading(from, id string, clock time.Duration) {
	previous, ok := m.clockEchoes[id]
	m.clockEchoes[id] = clockEcho{m.runIDs[id], clock, m.now}
	if !ok || previous.runID != m.runIDs[id] {
		m.heartbeats.dueTo[from] = true
	}
}

// scheduleConfirm schedules a round in which a quorum has to confirm the partition's epoch, and
// returns its number.
func (m *Replica) scheduleConfirm(part *partition) (round uint64) {
	m.heartbeats.duePartitions[part.name] = dueConfirm
	return m.heartbeats.round + 1
}

// scheduleCommitNotice schedules a partial heartbeat that tells the others the partition's commit
// position.
func (m *Replica) scheduleCommitNotice(part *partition) {
	m.heartbeats.duePartitions[part.name] = max(m.heartbeats.duePartitions[part.name], dueCommit)
}

// ownedPartitions returns the partitions that this member owns, sorted by name.
func (m *Replica) ownedPartitions() (out []*partition) {
	for _, name := range m.names {
		if part := m.partitions[name]; part.role == roleOwner {
			out = append(out, part)
		}
	}
	return out
}

// flushHeartbeats sends the heartbeats that are due. It runs once the driver has passed on
// everything that it had for this member, so that many partitions share one heartbeat.
func (m *Replica) flushHeartbeats() {
	state := &m.heartbeats
	if !state.dueAll && len(state.dueTo) == 0 && len(state.duePartitions) == 0 {
		return
	}
	all, to, names := state.dueAll, state.dueTo, state.duePartitions
	state.dueAll, state.dueTo, state.duePartitions = false, map[string]bool{}, map[string]dueReason{}
	owned := m.ownedPartitions()
	if len(owned) == 0 {
		return
	}
	var partitions []*partition
	confirm := all || len(to) > 0
	if !all {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if part := m.partitions[name]; part.role == roleOwner {
				partitions = append(partitions, part)
				confirm = confirm || names[name] == dueConfirm
			}
		}
	}
	round := uint64(0)
	if confirm {
		round = m.beginRound(partitions)
	}
	if all {
		state.lastFullAt = m.now
	}
	if all || len(to) > 0 {
		m.updateList(owned)
	}
	full := m.fullHeartbeats(round, owned)
	partial := m.partialHeartbeat(round, partitions)
	for _, address := range m.others() {
		switch {
		case all || to[address]:
			m.sendFull(address, owned, full)
		case len(partitions) > 0:
			m.sendPartial(address, partitions, partial)
		}
	}
}

// beginRound begins a round and forgets rounds that are too old to be of use.
func (m *Replica) beginRound(partitions []*partition) uint64 {
	state := &m.heartbeats
	state.round++
	s := sentRound{at: m.now}
	for _, part := range partitions {
		s.partitions = append(s.partitions, sentPartition{part, part.position})
	}
	state.sent[state.round] = s
	for ; state.oldest < state.round && m.now-state.sent[state.oldest].at > roundRetention*m.cfg.ElectionTimeout; state.oldest++ {
		delete(state.sent, state.oldest)
	}
	return state.round
}

// status is the entry of an owned partition in a heartbeat.
func (m *Replica) status(part *partition) PartitionStatus {
	s := PartitionStatus{Partition: part.name, Epoch: part.ownEpoch.Number, Seq: part.position.Seq, Sum: part.Sums.Fold()}
	if part.commit.Epoch == part.ownEpoch {
		s.Commit = part.commit.Seq
	}
	return s
}

// updateList brings the list up to date with the partitions that this member owns now.
func (m *Replica) updateList(owned []*partition) {
	state := &m.heartbeats
	next := state.version + 1
	for _, part := range owned {
		previous, ok := state.listed[part.name]
		s := m.status(part)
		if ok && previous.PartitionStatus == s {
			continue
		}
		if ok {
			state.digest ^= previous.digest()
		}
		state.digest ^= s.digest()
		state.listed[part.name], state.version = listEntry{s, next}, next
		delete(state.removed, part.name)
	}
	if len(state.listed) > len(owned) {
		for name, l := range state.listed {
			if m.partitions[name].role != roleOwner {
				state.digest ^= l.digest()
				state.version, state.removed[name] = next, next
				delete(state.listed, name)
			}
		}
	}
	m.forgetRemoved()
}

// forgetRemoved forgets removed partitions once every member's list reflects the removal.
func (m *Replica) forgetRemoved() {
	known := m.heartbeats.version
	for _, p := range m.peers {
		if p.listVersion > 0 {
			known = min(known, p.listVersion)
		}
	}
	maps.DeleteFunc(m.heartbeats.removed, func(_ string, version uint64) bool { return version <= known })
}

// fullHeartbeats returns a function that builds the heartbeat for a member that holds the list
// at version base. Members with the same base share one message.
func (m *Replica) fullHeartbeats(round uint64, owned []*partition) func(base uint64) *Heartbeat {
	made := map[uint64]*Heartbeat{}
	return func(base uint64) *Heartbeat {
		if h := made[base]; h != nil {
			return h
		}
		state := &m.heartbeats
		h := &Heartbeat{Round: round, VoterSet: m.partitions[VoterSetPartition].position, Base: base, Version: state.version, Digest: state.digest}
		for _, part := range owned {
			if l := state.listed[part.name]; l.version > base {
				h.Partitions = append(h.Partitions, l.PartitionStatus)
			}
		}
		if base > 0 {
			for name, version := range state.removed {
				if version > base {
					h.Removed = append(h.Removed, name)
				}
			}
			slices.Sort(h.Removed)
		}
		m.setAges(h, owned)
		made[base] = h
		return h
	}
}

func (m *Replica) partialHeartbeat(round uint64, partitions []*partition) *Heartbeat {
	h := &Heartbeat{Round: round, VoterSet: m.partitions[VoterSetPartition].position, Partial: true}
	for _, part := range partitions {
		h.Partitions = append(h.Partitions, m.status(part))
	}
	m.setAges(h, partitions)
	return h
}

// setAges sets how long ago this member's ownership of the partitions was last confirmed: one age
// for most of them, and separate ages for partitions that were confirmed earlier or never.
func (m *Replica) setAges(h *Heartbeat, partitions []*partition) {
	confirmedAt := neverConfirmed
	for _, part := range partitions {
		if part.confirmedAt != neverConfirmed && (confirmedAt == neverConfirmed || part.confirmedAt < confirmedAt) {
			confirmedAt = part.confirmedAt
		}
	}
	if s, ok := m.heartbeats.sent[m.heartbeats.confirmedRound]; ok && !h.Partial {
		confirmedAt = max(confirmedAt, s.at)
	}
	if confirmedAt == neverConfirmed {
		return
	}
	h.Freshness = &Freshness{Age: m.now - confirmedAt}
	for _, part := range partitions {
		switch {
		case part.confirmedAt == neverConfirmed:
			h.Ages = append(h.Ages, PartitionAge{part.name, -1})
		case part.confirmedAt < confirmedAt:
			h.Ages = append(h.Ages, PartitionAge{part.name, m.now - part.confirmedAt})
		}
	}
}

// withClockEcho returns the heartbeat with the echo of its receiver's clock. Without one the
// ages mean nothing to the receiver and are left out.
func (m *Replica) withClockEcho(h *Heartbeat, to string) *Heartbeat {
	if h.Freshness == nil {
		return h
	}
	echoed := *h
	if echo, ok := m.clockEchoes[m.lastIdentity[to]]; ok {
		echoed.Freshness = &Freshness{echo.runID, echo.clock, m.now - echo.receivedAt, h.Freshness.Age}
	} else {
		echoed.Freshness, echoed.Ages = nil, nil
	}
	return &echoed
}

// sendFull sends a member its full heartbeat. A member of an older protocol version is sent an
// Append for each partition instead, and one that has not been heard from yet an Append for one
// partition, which every version answers.
func (m *Replica) sendFull(to string, owned []*partition, full func(base uint64) *Heartbeat) {
	p := m.peers[to]
	switch {
	case p == nil:
		m.sendAppends(to, owned[:1])
	case !p.supportsHeartbeat:
		m.sendAppends(to, owned)
	default:
		m.send(to, Message{Body: m.withClockEcho(full(p.listVersion), to)})
	}
}

func (m *Replica) sendPartial(to string, partitions []*partition, h *Heartbeat) {
	switch p := m.peers[to]; {
	case p == nil:
	case !p.supportsHeartbeat:
		m.sendAppends(to, partitions)
	default:
		m.send(to, Message{Body: m.withClockEcho(h, to)})
	}
}

// sendAppends sends a member an Append without changes for each partition, as older protocol
// versions expect.
func (m *Replica) sendAppends(to string, partitions []*partition) {
	for _, part := range partitions {
		m.send(to, Message{Body: m.withFreshness(part, m.lastIdentity[to], m.newAppend(part, part.position))})
	}
}
