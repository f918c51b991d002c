package replication

// This file holds reads and fencing: how fresh a member's copies are known to be, and since
// when it has been the confirmed owner of a key.

import "time"

// Read calls done with nil once it is certain that no newer version of the key than the one in
// memory has been acknowledged.
func (m *Replica) Read(now time.Duration, name string, done func(error)) {
	m.Propose(now, name, func(map[string]Record) ([]Record, error) { return nil, nil }, done)
}

// Current returns a time on this member's clock as of which its committed copy of a key was
// certainly the newest that anybody could have been told of.
func (m *Replica) Current(name string) (time.Duration, bool) {
	k := m.key(name)
	if k.commit.Seq == 0 || k.commit != k.position && k.undo == nil {
		return 0, false
	}
	if k.role == roleOwner {
		return k.confirmedAt, k.confirmedAt != neverConfirmed && k.commit.Epoch == k.ownEpoch
	}
	return k.freshAsOf, k.freshAsOf > 0
}

// neverConfirmed is the value of confirmedAt while the ownership has not been confirmed yet.
const neverConfirmed time.Duration = -1

// Tenure describes a member's ownership of a key.
type Tenure struct {
	Epoch Epoch
	Since time.Duration // when the member won the election
	Sure  time.Duration // when it was last certain that there was no other owner
	Heir  bool          // the key had records when the ownership began, so others may have owned it before
	Free  time.Duration // no earlier owner was confirmed later than this
}

// Tenure describes this member's ownership of a key. ok is false unless the ownership was
// confirmed within the last Config.Vacant.
func (m *Replica) Tenure(now time.Duration, name string) (t Tenure, ok bool) {
	k := m.key(name)
	return Tenure{k.ownEpoch, k.ownerSince, k.confirmedAt, k.inherited, k.predecessorUntil}, k.role == roleOwner && k.confirmedAt != neverConfirmed && now-k.confirmedAt <= m.cfg.Vacant
}

// Committed returns the records of a key at the newest position that this member knows to be
// committed. While a later change is not committed yet, the map is a copy.
func (m *Replica) Committed(name string) (map[string]Record, Position, bool) {
	k := m.key(name)
	switch {
	case k.commit.Seq == 0:
	case k.commit == k.position:
		return k.Records, k.commit, true
	case k.undo != nil:
		out := make(map[string]Record, len(k.Records))
		for name, r := range k.Records {
			out[name] = r
		}
		for name, old := range k.undo {
			if old != nil {
				out[name] = *old
			} else {
				delete(out, name)
			}
		}
		return out, k.commit, true
	}
	return nil, k.commit, false
}
