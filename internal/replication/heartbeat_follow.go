package replication

// This file holds the receiver's side of heartbeats.

import (
	"cmp"
	"slices"
	"time"
)

// ownerList is a member's copy of an owner's partition list, sorted by name.
type ownerList struct {
	runID     uint64
	version   uint64
	digest    uint64
	statuses  []PartitionStatus
	lastHeard time.Duration
}

func (l *ownerList) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.statuses, name, func(s PartitionStatus, name string) int { return cmp.Compare(s.Partition, name) })
}

func (l *ownerList) put(s PartitionStatus) {
	i, ok := l.find(s.Partition)
	if ok {
		l.digest ^= l.statuses[i].digest()
		l.statuses[i] = s
	} else {
		l.statuses = slices.Insert(l.statuses, i, s)
	}
	l.digest ^= s.digest()
}

func (l *ownerList) remove(name string) {
	if i, ok := l.find(name); ok {
		l.digest ^= l.statuses[i].digest()
		l.statuses = slices.Delete(l.statuses, i, i+1)
	}
}

// listState is the result of applying a heartbeat to a member's copy of the list.
type listState int

const (
	listApplied listState = iota
	listStale             // a newer heartbeat has arrived before
	listMissing           // the list version that the heartbeat builds on isn't there
)

// applyList brings the copy of an owner's list to the heartbeat's version.
func (m *Replica) applyList(from string, runID uint64, h *Heartbeat) (*ownerList, listState) {
	l := m.ownerLists[from]
	switch {
	case l != nil && l.runID == runID && h.Version < l.version:
		return nil, listStale
	case h.Base == 0:
		l = &ownerList{runID: runID}
		m.ownerLists[from] = l
	case l == nil || l.runID != runID || l.version < h.Base:
		return nil, listMissing
	}
	l.lastHeard, l.version = m.now, h.Version
	for _, s := range h.Partitions {
		l.put(s)
	}
	for _, name := range h.Removed {
		l.remove(name)
	}
	if l.digest != h.Digest {
		delete(m.ownerLists, from)
		return nil, listMissing
	}
	return l, listApplied
}

// expireLists drops the lists of owners that have not been heard from for 20 times
// Config.ElectionTimeout.
func (m *Replica) expireLists() {
	for from, l := range m.ownerLists {
		if m.now-l.lastHeard > 20*m.cfg.ElectionTimeout {
			delete(m.ownerLists, from)
		}
	}
}

// heardPartition is a partition covered by a heartbeat, with the epoch that the heartbeat gave.
type heardPartition struct {
	*partition
	epoch Epoch
}

func (m *Replica) onHeartbeat(from string, runID uint64, h *Heartbeat) {
	ack := &HeartbeatAck{RunID: runID, Round: h.Round, Partial: h.Partial}
	statuses := h.Partitions
	if !h.Partial {
		l, state := m.applyList(from, runID, h)
		switch state {
		case listStale:
			return
		case listMissing:
			ack.ListMissing = true
			m.send(from, Message{Body: ack})
			return
		}
		statuses, ack.Version = l.statuses, l.version
	}
	outdated := m.olderVoterSet(h.VoterSet)
	ages := map[string]time.Duration{}
	for _, a := range h.Ages {
		ages[a.Partition] = a.Age
	}
	heard := make([]heardPartition, 0, len(statuses))
	for _, s := range statuses {
		part, e := m.partition(s.Partition), Epoch{s.Epoch, from, runID}
		switch {
		case e.Less(part.promised):
			ack.Deviations = append(ack.Deviations, &AppendAck{Partition: s.Partition, Epoch: e, Promised: part.promised})
		case !outdated:
			heard = append(heard, heardPartition{part, e})
			if !m.applyPartitionStatus(part, e, s) {
				sums := part.Sums
				ack.Deviations = append(ack.Deviations, &AppendAck{Partition: s.Partition, Epoch: e, Promised: e, At: part.position, Sums: &sums})
			}
			m.updateFreshness(part, e, s, h.Freshness, ages)
		}
	}
	if outdated {
		ack.Outdated = m.voterSetCopy()
	}
	if h.Round == 0 && len(ack.Deviations) == 0 && !outdated {
		return
	}
	m.whenDurable(func() { m.replyHeartbeat(from, ack, heard) })
}

// applyPartitionStatus applies an owner's status of one partition and reports whether this member
// holds what the owner does.
func (m *Replica) applyPartitionStatus(part *partition, e Epoch, s PartitionStatus) bool {
	m.followOwner(part, e)
	to := Position{e, s.Seq}
	m.noteCommitted(part, Position{e, s.Commit})
	return !part.position.Less(to) && (part.position != to || part.Sums.Fold() == s.Sum)
}

// updateFreshness updates the time as of which the copy of a partition is known to be the newest.
// At the time when its ownership was confirmed, the owner had committed nothing beyond Commit.
func (m *Replica) updateFreshness(part *partition, e Epoch, s PartitionStatus, freshness *Freshness, ages map[string]time.Duration) {
	if freshness == nil || freshness.RunID != m.cfg.RunID || s.Commit == 0 || part.commit.Epoch != e || part.commit.Seq < s.Commit {
		return
	}
	age, differs := ages[s.Partition]
	if !differs {
		age = freshness.Age
	}
	if age >= 0 {
		part.freshAsOf = max(part.freshAsOf, freshness.Clock+freshness.HeldFor-age)
	}
}

// replyHeartbeat answers once all that this member holds is durable. Partitions for which it has
// promised another epoch in the meantime are no longer confirmed.
func (m *Replica) replyHeartbeat(from string, ack *HeartbeatAck, heard []heardPartition) {
	for _, d := range ack.Deviations {
		d.Promised = m.partition(d.Partition).promised
	}
	for _, h := range heard {
		if h.promised != h.epoch {
			ack.Deviations = append(ack.Deviations, &AppendAck{Partition: h.name, Epoch: h.epoch, Promised: h.promised})
			continue
		}
		if h.trackFreshness {
			h.lastConfirmSent = m.now
		}
	}
	ack.Clock = max(m.now, 1)
	m.send(from, Message{Body: ack})
}
