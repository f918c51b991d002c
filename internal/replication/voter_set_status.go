package replication

// This file holds the status of the voter set, for operators.

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// VoterSetStatus is the status of the voter set as one member sees it.
type VoterSetStatus struct {
	Voters           []string       `json:"seats"` // each an address and the identity of a disk
	Joint            bool           `json:"joint"` // a change is in progress
	Learners         []LearnerState `json:"learners"`
	Tolerates        int            `json:"bears"`  // how many more of the members that seem alive may be lost now
	LossesToTolerate int            `json:"wanted"` // how many losses should be tolerated
}

// LearnerState is the status of a member that is not a voter. Behind is the number of partitions
// owned by this member of which the learner lacks the newest version; -1 if this member owns none.
type LearnerState struct {
	ID     string `json:"id"`
	Behind int    `json:"behind"`
}

// VoterSetStatus returns the status of the voter set and the losses that it tolerates.
func (m *Replica) VoterSetStatus(now time.Duration) VoterSetStatus {
	m.now = now
	s := m.voterSet()
	out := VoterSetStatus{Voters: s.all(), Joint: s.joint, Learners: []LearnerState{}, LossesToTolerate: m.cfg.Faults}
	tolerance := func(voters []string) int {
		live := 0
		for _, voter := range voters {
			if m.voterAlive(voter) {
				live++
			}
		}
		return live - ackQuorum(len(voters))
	}
	out.Tolerates = tolerance(s.newVoters)
	if s.joint {
		out.Tolerates = min(out.Tolerates, tolerance(s.oldVoters))
	}
	for _, id := range m.activeLearners() {
		if slices.Contains(s.newVoters, id) {
			continue
		}
		l := LearnerState{ID: id, Behind: -1}
		for _, name := range m.names {
			if part := m.partitions[name]; part.role == roleOwner {
				l.Behind = max(l.Behind, 0)
				if part.acks[id] != part.position {
					l.Behind++
				}
			}
		}
		out.Learners = append(out.Learners, l)
	}
	return out
}

// voterAlive reports whether the disk of a voter seems to be in use. A machine that runs with
// another disk doesn't count until that disk has been made a voter.
func (m *Replica) voterAlive(voter string) bool {
	id, address := m.voterIdentity(voter), addressOf(voter)
	switch {
	case id == m.self:
		return true
	case address == m.cfg.Self || !m.cfg.Alive(address):
		return false
	}
	if last, heard := m.lastIdentity[address]; heard && last != id {
		return false
	}
	return !slices.ContainsFunc(m.activeLearners(), func(other string) bool {
		return other != id && addressOf(other) == address
	})
}

// String returns the status in one line.
func (s VoterSetStatus) String() string {
	var voters []string
	for _, id := range s.Voters {
		voters = append(voters, addressOf(id))
	}
	text := fmt.Sprintf("%d seats: %s", len(voters), strings.Join(voters, " "))
	if s.Joint {
		text += "; a change is under way"
	}
	if n := len(s.Voters); n > 0 && n-ackQuorum(n) < s.LossesToTolerate {
		text += fmt.Sprintf("; too few: %d may be lost, %d are to be borne", n-ackQuorum(n), s.LossesToTolerate)
	}
	return text
}
