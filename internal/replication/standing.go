package replication

// This file holds what is told of the roster.

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Standing is what a member tells of the roster.
type Standing struct {
	Seats    []string       `json:"seats"` // each an address and the identity of a disk
	Joint    bool           `json:"joint"` // a change is under way
	Learners []LearnerState `json:"learners"`
	Bears    int            `json:"bears"`  // how many further members may be lost now, of those that seem alive
	Wanted   int            `json:"wanted"` // how many are to be borne
}

// LearnerState is a member without a seat. Behind is how many keys it lacks the newest
// copy of, as the keys' owners here know it; -1: not known.
type LearnerState struct {
	ID     string `json:"id"`
	Behind int    `json:"behind"`
}

// Standing describes the roster and what can be borne.
func (m *Replica) Standing(now time.Duration) Standing {
	m.now = now
	s := m.seats()
	out := Standing{Seats: s.all(), Joint: s.joint, Learners: []LearnerState{}, Wanted: m.cfg.Faults}
	bears := func(seats []string) int {
		live := 0
		for _, seat := range seats {
			if m.seatHeld(seat) {
				live++
			}
		}
		return live - need(len(seats))
	}
	out.Bears = bears(s.after)
	if s.joint {
		out.Bears = min(out.Bears, bears(s.before))
	}
	for _, id := range m.learning() {
		if slices.Contains(s.after, id) {
			continue
		}
		l := LearnerState{ID: id, Behind: -1}
		for _, name := range m.names {
			if k := m.keys[name]; k.role == owns {
				l.Behind = max(l.Behind, 0)
				if k.acks[id] != k.at {
					l.Behind++
				}
			}
		}
		out.Learners = append(out.Learners, l)
	}
	return out
}

// seatHeld says whether the disk that a seat belongs to seems to be at work. A machine that
// is there with another disk counts for nothing until that disk has a seat of its own.
func (m *Replica) seatHeld(seat string) bool {
	id, address := m.holder(seat), addressOf(seat)
	switch {
	case id == m.self:
		return true
	case address == m.cfg.Self || !m.cfg.Alive(address):
		return false
	}
	if last, heard := m.newest[address]; heard && last != id {
		return false
	}
	return !slices.ContainsFunc(m.learning(), func(other string) bool {
		return other != id && addressOf(other) == address
	})
}

// String is the roster in one line.
func (s Standing) String() string {
	var seats []string
	for _, id := range s.Seats {
		seats = append(seats, addressOf(id))
	}
	text := fmt.Sprintf("%d seats: %s", len(seats), strings.Join(seats, " "))
	if s.Joint {
		text += "; a change is under way"
	}
	if n := len(s.Seats); n > 0 && n-need(n) < s.Wanted {
		text += fmt.Sprintf("; too few: %d may be lost, %d are to be borne", n-need(n), s.Wanted)
	}
	return text
}
