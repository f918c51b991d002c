package replication

// This file holds elections: how a key gets an owner and how an owner gives it up.

import (
	"madderwing/internal/antientropy"
	"madderwing/internal/ledger"
	"madderwing/internal/rendezvous"
	"time"
)

func (m *Member) takeOver(k *key) {
	if !m.voting || m.leaving || k.role != follows || m.now < k.notUntil {
		return
	}
	k.role, k.since = asks, m.now
	k.mine = Epoch{max(k.promised.N, k.at.Epoch.N) + 1, m.cfg.Self, m.cfg.Life}
	k.promised = k.mine
	mine := k.mine
	k.promises = map[string]*Promise{}
	m.write([]ledger.Entry{k.meta()}, func() {
		if k.role != asks || k.mine != mine {
			return
		}
		k.promises[m.cfg.Self] = &Promise{At: k.at}
		for _, id := range m.others() {
			m.send(id, Message{Ask: &Ask{k.name, mine, m.keys[RosterKey].at}})
		}
		m.promised(k)
	})
}

func (m *Member) onAsk(from string, a *Ask) {
	k := m.key(a.Key)
	ok := !a.Epoch.Less(k.promised) && !m.staleRoster(a.Roster)
	if ok && k.promised != a.Epoch {
		m.stepDown(k, a.Epoch)
		k.heard, k.heardAny = m.now, true
		m.write([]ledger.Entry{k.meta()}, nil)
	}
	m.settled(func() {
		p := &Promise{Key: a.Key, Epoch: a.Epoch, OK: ok && k.promised == a.Epoch, Promised: k.promised, At: k.at, Outdated: m.staleRoster(a.Roster)}
		if p.OK {
			p.Records = k.Pick(allRanges)
			if k.wanted {
				p.Quiet = m.now - k.spoke
			}
		}
		m.send(from, Message{Promise: p})
	})
}

// staleRoster says that a peer acts under a roster older than a committed one.
func (m *Member) staleRoster(p Position) bool { return p.Less(m.keys[RosterKey].commit) }

func (m *Member) onPromise(from string, p *Promise) {
	k := m.key(p.Key)
	if k.role != asks || k.mine != p.Epoch {
		return
	}
	if p.Outdated {
		// The roster has gone on without this member. It starts over as one
		// that has lost its memory would, but forgets nothing.
		m.release(k, ErrNoQuorum)
		m.voting, m.beganAt = false, m.now
		return
	}
	if !p.OK {
		if k.mine.Less(p.Promised) {
			m.stepDown(k, p.Promised)
			m.write([]ledger.Entry{k.meta()}, nil)
		}
		return
	}
	k.promises[from] = p
	if k.frees == nil {
		k.frees = map[string]time.Duration{}
	}
	k.frees[from] = m.now - p.Quiet
	m.promised(k)
}

// promised installs the newest copy once a majority has promised.
func (m *Member) promised(k *key) {
	if !m.quorum(k, false, func(id string) bool { return k.promises[id] != nil }) {
		return
	}
	best := &Promise{At: k.at}
	for _, p := range k.promises {
		if best.At.Less(p.At) {
			best = p
		}
	}
	var entries []ledger.Entry
	if k.at.Less(best.At) {
		entries = k.replace(allRanges, best.Records)
	}
	// Whoever owned the key before was sure of that only while a majority said so,
	// and one member at least of any majority has promised now.
	k.free = k.spoke
	for id := range k.promises {
		k.free = max(k.free, k.frees[id])
	}
	k.frees = nil
	k.sure, k.took, k.heir = k.since, m.now, len(k.Records) > 0 || len(best.Records) > 0
	k.marks = map[string]mark{}
	k.role, k.since, k.agreed = owns, m.now, m.now
	k.at = Position{k.mine, best.At.Seq + 1}
	k.acks, k.seen = map[string]Position{}, map[string]time.Duration{}
	k.rounds, k.sentAt, k.round = map[string]uint64{}, map[uint64]time.Duration{}, 0
	k.oldNeed = nil
	at := k.at
	m.write(append(entries, k.meta()), func() { m.acked(k, m.cfg.Self, at) })
	for _, id := range m.others() {
		if p := k.promises[id]; p != nil {
			m.mend(k, id, p.At, antientropy.Digest(index(p.Records)))
		}
	}
	k.promises = nil
	m.beat(k)
}

func index(records []Record) map[string]Record {
	out := map[string]Record{}
	for _, r := range records {
		out[r.Name] = r
	}
	return out
}

// stepDown follows a newer epoch.
func (m *Member) stepDown(k *key, e Epoch) {
	if k.promised.Less(e) {
		k.promised = e
	}
	m.release(k, ErrNoQuorum)
}

func (m *Member) release(k *key, err error) {
	if k.role != follows {
		k.role = follows
		k.promises, k.acks, k.oldNeed = nil, nil, nil
		k.heard, k.heardAny = m.now, true
	}
	waiters, queue := k.waiters, k.queue
	k.waiters, k.queue = nil, nil
	for _, w := range waiters {
		w.done(err)
	}
	for _, p := range queue {
		p.done(err)
	}
}

// Heirs orders the roster for a key: who takes it over first.
func (m *Member) Heirs(name string) []string { return rendezvous.Order(name, m.Roster()) }

// rank is this member's place among the live heirs that are not the owner.
func (m *Member) rank(k *key) int {
	n := 0
	for _, id := range m.Heirs(k.name) {
		if id == m.cfg.Self {
			return n
		}
		if id != k.promised.Owner && m.cfg.Alive(id) {
			n++
		}
	}
	return n
}

// place is this member's place among all heirs.
func (m *Member) place(name string) int {
	for i, id := range m.Heirs(name) {
		if id == m.cfg.Self {
			return i
		}
	}
	return 0
}

func (m *Member) onHail(from string) {
	out := &Hailed{}
	for _, name := range m.names {
		if k := m.keys[name]; k.role != follows || m.Owner(m.now, name) != "" {
			out.Owned = append(out.Owned, name)
		}
	}
	m.send(from, Message{Hailed: out})
}

// ownerless says that a majority has answered a hail and knows no owner, and
// that no heir before this member was among those who answered.
func (m *Member) ownerless(name string) bool {
	for _, owned := range m.hailed {
		if owned[name] {
			return false
		}
	}
	if !enough(m.Roster(), false, func(id string) bool { return id == m.cfg.Self || m.hailed[id] != nil }) {
		return false
	}
	for _, id := range m.Heirs(name) {
		if id == m.cfg.Self {
			return true
		}
		if m.hailed[id] != nil {
			return false
		}
	}
	return false
}

// yield names a successor for a key.
func (m *Member) yield(k *key) {
	for _, id := range m.Heirs(k.name) {
		if id != m.cfg.Self && m.cfg.Alive(id) {
			m.send(id, Message{Yield: &Yield{k.name}})
			return
		}
	}
}

// handBack gives a key back to the heir that comes before this member, once
// that has been at work, with a copy that is up to date, for a long calm time.
// Keys that a failure has gathered at one member so spread out again.
func (m *Member) handBack(k *key) {
	heir := m.Heirs(k.name)[0]
	calm := heir != m.cfg.Self && m.cfg.HandBack > 0 && m.cfg.Alive(heir) && k.commit == k.at && len(k.waiters)+len(k.queue) == 0 &&
		k.acks[heir] == k.at && m.now-k.seen[heir] <= m.cfg.Vacant && m.now-k.since > m.cfg.HandBack
	if !calm {
		k.calmFrom = m.now
		return
	}
	if m.now-k.calmFrom >= m.cfg.HandBack {
		m.release(k, ErrNotOwner)
		k.notUntil = m.now + m.cfg.Vacant
		m.send(heir, Message{Yield: &Yield{k.name}})
	}
}

// Leave hands over all keys; the member takes none from then on.
func (m *Member) Leave(now time.Duration) {
	m.now = now
	m.leaving = true
	for _, name := range m.names {
		if k := m.keys[name]; k.role == owns {
			m.release(k, ErrNotOwner)
			m.yield(k)
		}
	}
}
