package replication

// This file holds how a member leaves in order.

import "time"

// tickLeaving asks the others where they stand, while this member leaves.
func (m *Replica) tickLeaving() {
	if m.survey == nil {
		m.survey = &survey{at: m.keys[RosterKey].at, replies: map[string]*StateReport{}}
	}
	m.sendSurvey(m.seatedOthers())
}

// MayGo says whether a member that leaves is needed no more: it has no seat, or one
// that may be dead, and each key has another owner, and all that this member holds of
// it is held by a majority without it.
func (m *Replica) MayGo(now time.Duration) bool {
	m.now = now
	if !m.leaving || !m.inRoster() {
		return true
	}
	if s := m.seats(); s.joint || m.needless(len(s.after)) {
		return false // its seat is to go first
	}
	for _, name := range m.names {
		k := m.keys[name]
		if k.at.Seq == 0 {
			continue
		}
		if k.role != follows || k.promised.Owner == m.cfg.Self || !k.owned {
			return false
		}
		holds := func(seat string) bool {
			id := m.holder(seat)
			if id == m.self || m.survey == nil || m.survey.replies[id] == nil {
				return false
			}
			for _, s := range m.survey.replies[id].Keys {
				if s.Key == name {
					return !s.At.Less(k.at)
				}
			}
			return false
		}
		if !enough(m.seats().after, false, holds) {
			return false
		}
	}
	return true
}
