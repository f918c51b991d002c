package replication

// This file holds what a member reports about its keys.

import "time"

// View is the status of a key as one member sees it.
type View struct {
	Key      string
	Owner    string
	Epoch    uint64
	Seq      uint64
	Commit   uint64
	Owning   bool // this member is the owner
	Records  int
	HeardAgo time.Duration // since the last contact with an owner or candidate
}

// Owner returns the address of the member believed to own a key; empty if none is known.
func (m *Replica) Owner(now time.Duration, name string) string {
	k := m.key(name)
	if k.role == roleOwner {
		return m.cfg.Self
	}
	if k.role == roleCandidate || !k.hadContact || now-k.lastContact > m.cfg.Vacant || k.promised.Owner == m.cfg.Self {
		return ""
	}
	return k.promised.Owner
}

// Founder returns the member to contact for a key that, as far as this member knows, has never
// had an owner; empty if it has had one or no member is available.
func (m *Replica) Founder(now time.Duration, name string) string {
	m.now = now
	return m.initialOwner(m.key(name))
}

func (m *Replica) initialOwner(k *replicatedKey) string {
	if k.hadContact || k.role != roleFollower || k.promised != (Epoch{}) {
		return ""
	}
	for _, id := range m.Heirs(k.name) {
		if id == m.cfg.Self || m.cfg.Alive(id) {
			return id
		}
	}
	return ""
}

// Keys returns the names of all keys that this member has heard of.
func (m *Replica) Keys() []string { return append([]string(nil), m.names...) }

// Voting reports whether the member has a seat.
func (m *Replica) Voting() bool { return m.hasSeat() }

// Views returns the status of all keys.
func (m *Replica) Views(now time.Duration) []View {
	var out []View
	for _, name := range m.names {
		k := m.keys[name]
		out = append(out, View{name, m.Owner(now, name), k.promised.N, k.position.Seq, k.commit.Seq, k.role == roleOwner, len(k.Records), now - k.lastContact})
	}
	return out
}
