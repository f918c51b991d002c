package replication

// This file holds what a member shows of itself.

import "time"

// View is what a member shows of a key.
type View struct {
	Key      string
	Owner    string
	Epoch    uint64
	Seq      uint64
	Commit   uint64
	Owning   bool
	Records  int
	HeardAgo time.Duration
}

// Owner is the member believed to own a key; empty while there is none.
func (m *Replica) Owner(now time.Duration, name string) string {
	k := m.key(name)
	if k.role == owns {
		return m.cfg.Self
	}
	if k.role == asks || !k.heardAny || now-k.heard > m.cfg.Vacant || k.promised.Owner == m.cfg.Self {
		return ""
	}
	return k.promised.Owner
}

// Founder is the member to turn to for a key that, as far as this one knows, nobody has
// owned yet; empty: it has, or there is nobody to turn to.
func (m *Replica) Founder(now time.Duration, name string) string {
	m.now = now
	return m.founder(m.key(name))
}

func (m *Replica) founder(k *key) string {
	if k.heardAny || k.role != follows || k.promised != (Epoch{}) {
		return ""
	}
	for _, id := range m.Heirs(k.name) {
		if id == m.cfg.Self || m.cfg.Alive(id) {
			return id
		}
	}
	return ""
}

// Keys names all keys that this member has heard of.
func (m *Replica) Keys() []string { return append([]string(nil), m.names...) }

// Voting says whether the member has a seat.
func (m *Replica) Voting() bool { return m.inRoster() }

// Views shows all keys.
func (m *Replica) Views(now time.Duration) []View {
	var out []View
	for _, name := range m.names {
		k := m.keys[name]
		out = append(out, View{name, m.Owner(now, name), k.promised.N, k.at.Seq, k.commit.Seq, k.role == owns, len(k.Records), now - k.heard})
	}
	return out
}
