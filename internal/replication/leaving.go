package replication

// This file holds how a member leaves in an orderly way.

import "time"

// tickLeaving asks the other members for the positions of their copies while this member
// leaves.
func (m *Replica) tickLeaving() {
	if m.survey == nil {
		m.survey = &survey{voterSet: m.partitions[VoterSetPartition].position, replies: map[string]*StateReport{}}
	}
	m.sendSurvey(m.otherVoters())
}

// SafeToLeave reports whether a leaving member is no longer needed. That is so if it is not a voter. It is
// also so if it may leave as a voter that then counts as lost and, for each partition, there is
// another owner and a majority without this member holds everything that this member holds.
func (m *Replica) SafeToLeave(now time.Duration) bool {
	m.now = now
	if !m.leaving || !m.isVoter() {
		return true
	}
	if s := m.voterSet(); s.joint || m.mustBeRemovedFirst(len(s.newVoters)) {
		return false // wait until the voter set's owner has removed this member
	}
	for _, name := range m.names {
		part := m.partitions[name]
		if part.position.Seq == 0 {
			continue
		}
		if part.role != roleFollower || part.promised.Owner == m.cfg.Self || !part.hasOwner {
			return false
		}
		holds := func(voter string) bool {
			id := m.voterIdentity(voter)
			if id == m.self || m.survey == nil || m.survey.replies[id] == nil {
				return false
			}
			for _, s := range m.survey.replies[id].Positions {
				if s.Partition == name {
					return !s.At.Less(part.position)
				}
			}
			return false
		}
		if !hasQuorumOf(m.voterSet().newVoters, false, holds) {
			return false
		}
	}
	return true
}
