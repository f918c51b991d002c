package replication

// This file holds reads and fencing: what a member may say of its copies, and how
// sure it is.

import "time"

// Read calls done with nil once it is certain that no newer copy of the key
// than the one in memory has been acknowledged.
func (m *Replica) Read(now time.Duration, name string, done func(error)) {
	m.Propose(now, name, func(map[string]Record) ([]Record, error) { return nil, nil }, done)
}

// Current says at which time, on this member's clock, its committed copy of a key
// was certainly the newest that anybody could have been told of.
func (m *Replica) Current(name string) (time.Duration, bool) {
	k := m.key(name)
	if k.commit.Seq == 0 || k.commit != k.at && k.undo == nil {
		return 0, false
	}
	if k.role == owns {
		return k.sure, k.sure != unsure && k.commit.Epoch == k.mine
	}
	return k.current, k.current > 0
}

// unsure is the time at which an owner was last sure of itself, if it never was.
const unsure time.Duration = -1

// Tenure is a member's ownership of a key.
type Tenure struct {
	Epoch Epoch
	Since time.Duration
	Sure  time.Duration // then it was certain that there was no other owner
	Heir  bool          // others may have owned the key before, with something in it
	Free  time.Duration // no other was sure of itself later than this
}

// Tenure describes the ownership of a key that this member has and is sure of.
func (m *Replica) Tenure(now time.Duration, name string) (t Tenure, ok bool) {
	k := m.key(name)
	return Tenure{k.mine, k.took, k.sure, k.heir, k.free}, k.role == owns && k.sure != unsure && now-k.sure <= m.cfg.Vacant
}

// Committed gives the records of a key as they stood at the newest position that this
// member knows to be committed. While a further step is under way that is a copy.
func (m *Replica) Committed(name string) (map[string]Record, Position, bool) {
	k := m.key(name)
	switch {
	case k.commit.Seq == 0:
	case k.commit == k.at:
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
