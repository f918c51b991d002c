package replication

// This file holds reads and fencing: how fresh a member's copies are known to be, and since
// when it has been the confirmed owner of a partition.

import "time"

// Read calls done with nil once it is certain that no newer version of the partition than the one
// in memory has been acknowledged.
func (m *Replica) Read(now time.Duration, name string, done func(error)) {
	m.Propose(now, name, func(map[string]Record) ([]Record, error) { return nil, nil }, done)
}

// FreshAsOf returns a time on this member's clock as of which its committed copy of a partition was
// certainly the newest that any client could have been sent.
func (m *Replica) FreshAsOf(name string) (time.Duration, bool) {
	part := m.partition(name)
	if part.commit.Seq == 0 || part.commit != part.position && part.undo == nil {
		return 0, false
	}
	if part.role == roleOwner {
		return part.confirmedAt, part.confirmedAt != neverConfirmed && part.commit.Epoch == part.ownEpoch
	}
	return part.freshAsOf, part.freshAsOf > 0
}

// neverConfirmed is the value of confirmedAt while the ownership has not been confirmed yet.
const neverConfirmed time.Duration = -1

// OwnershipTerm describes a member's ownership of a partition.
type OwnershipTerm struct {
	Epoch       Epoch
	Since       time.Duration // when the member won the election
	ConfirmedAt time.Duration // when it was last certain that there was no other owner
	// Inherited says that the partition had records when the ownership began, so others may have owned it
	// before.
	Inherited        bool
	PredecessorUntil time.Duration // no earlier owner was confirmed later than this
}

// OwnershipTerm describes this member's ownership of a partition. ok is false unless the ownership was
// confirmed within the last Config.ElectionTimeout.
func (m *Replica) OwnershipTerm(now time.Duration, name string) (t OwnershipTerm, ok bool) {
	part := m.partition(name)
	return OwnershipTerm{part.ownEpoch, part.ownerSince, part.confirmedAt, part.inherited, part.predecessorUntil}, part.role == roleOwner && part.confirmedAt != neverConfirmed && now-part.confirmedAt <= m.cfg.ElectionTimeout
}

// Committed returns the records of a partition at the newest position that this member knows to be
// committed. While a later change is not committed yet, the map is a copy.
func (m *Replica) Committed(name string) (map[string]Record, Position, bool) {
	part := m.partition(name)
	switch {
	case part.commit.Seq == 0:
	case part.commit == part.position:
		return part.Records, part.commit, true
	case part.undo != nil:
		out := make(map[string]Record, len(part.Records))
		for name, r := range part.Records {
			out[name] = r
		}
		for name, old := range part.undo {
			if old != nil {
				out[name] = *old
			} else {
				delete(out, name)
			}
		}
		return out, part.commit, true
	}
	return nil, part.commit, false
}
