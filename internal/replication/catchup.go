package replication

// This file holds how a member without its memory catches up.

import (
	"madderwing/internal/ledger"
)

// forget drops what a member said before it lost its memory.
func (m *Member) forget(id string) {
	m.dead[id] = m.lives[id]
	for _, k := range m.keys {
		delete(k.promises, id)
		delete(k.acks, id)
		delete(k.rounds, id)
		delete(k.seen, id)
		delete(k.marks, id)
	}
}

func (m *Member) onFetch(from string, f *Fetch) {
	m.settled(func() {
		out := &Fetched{Round: f.Round}
		for _, name := range m.names {
			k := m.keys[name]
			out.Keys = append(out.Keys, Holding{name, k.promised, k.at, k.Pick(allRanges)})
		}
		m.send(from, Message{Fetched: out})
	})
}

func (m *Member) onFetched(from string, f *Fetched) {
	if m.voting || f.Round != m.fetchRound {
		return
	}
	m.fetched[from] = f
	best := map[string]Holding{}
	for name, k := range m.keys { // what is on its own disk, if anything is
		best[name] = Holding{name, k.promised, k.at, k.Pick(allRanges)}
	}
	for _, f := range m.fetched {
		for _, h := range f.Keys {
			b, ok := best[h.Key]
			promised := b.Promised
			if !ok || promised.Less(h.Promised) {
				promised = h.Promised
			}
			if !ok || b.At.Less(h.At) {
				b = h
			}
			b.Promised = promised
			best[h.Key] = b
		}
	}
	var others []string
	for _, r := range best[RosterKey].Records {
		if !r.Dropped && r.Name != m.cfg.Self {
			others = append(others, r.Name)
		}
	}
	// All the others are asked, so that an owner among them no longer counts
	// what this member said in its former life. Where one stays silent, a
	// majority does once such words have grown too old to count.
	missing := 0
	for _, id := range others {
		if m.fetched[id] == nil {
			missing++
			m.send(id, Message{Fetch: &Fetch{m.fetchRound}})
		}
	}
	if len(others) == 0 || missing > 0 && (m.now-m.beganAt < 2*m.cfg.Vacant ||
		!enough(others, false, func(id string) bool { return m.fetched[id] != nil })) {
		return
	}
	var entries []ledger.Entry
	for _, h := range best {
		k := m.key(h.Key)
		k.promised, k.at = h.Promised, h.At
		k.heard, k.heardAny = m.now, true
		entries = append(append(entries, k.replace(allRanges, h.Records)...), k.meta())
	}
	m.voting, m.founded = true, true
	m.write(append(entries, m.nodeEntry()), nil)
}
