package replication

// This file holds elections: how a key gets an owner and how an owner gives it up.

import (
	"maps"
	"slices"
	"time"

	"madderwing/internal/rendezvous"
)

// takeOver tries to become the owner of a key. Unless a former owner hands it over,
// a pre-vote comes first: a member that others do not need as owner, because it is cut
// off one way or has only just come back, then raises no epoch.
func (m *Replica) takeOver(k *key, handed bool) {
	if !m.mayOwn() || m.leaving || k.role == owns || k.role == asks && !(k.preVote && handed) || m.now < k.notUntil && !handed {
		return
	}
	k.role, k.since, k.preVote = asks, m.now, !handed
	k.mine = Epoch{max(k.promised.N, k.at.Epoch.N, k.floor) + 1, m.cfg.Self, m.cfg.Life}
	k.promises, k.frees = map[string]*Vote{}, map[string]time.Duration{}
	if k.preVote {
		k.promises[m.self] = &Vote{At: k.at}
		m.canvass(k)
		return
	}
	m.campaign(k)
}

// campaign asks for promises in earnest.
func (m *Replica) campaign(k *key) {
	k.preVote, k.since = false, m.now
	k.promised = k.mine
	mine := k.mine
	k.promises = map[string]*Vote{}
	m.write([]ledgerEntry{k.meta()}, func() {
		if k.role != asks || k.mine != mine {
			return
		}
		k.promises[m.self] = &Vote{At: k.at}
		m.canvass(k)
	})
}

// canvass asks all whose promise is not there yet; see Tick for how often.
func (m *Replica) canvass(k *key) {
	k.askedAt = m.now
	for _, to := range m.seatedOthers() {
		if k.promises[m.newest[to]] != nil {
			continue
		}
		m.send(to, Message{Body: &VoteRequest{Key: k.name, Epoch: k.mine, Roster: m.keys[RosterKey].at, At: k.at, PreVote: k.preVote}})
	}
	m.promised(k)
}

// served says that a key has an owner, as far as this member can tell.
func (m *Replica) served(k *key) bool {
	near := m.cfg.Vacant * 3 / 4
	return k.role == owns && m.now-k.agreed <= near || k.role != owns && k.owned && m.now-k.copied <= near
}

func (m *Replica) onVoteRequest(from string, a *VoteRequest) {
	k := m.key(a.Key)
	k.floor = max(k.floor, a.Epoch.N)
	older := m.olderRoster(a.Roster)
	behind := a.At.Less(k.at)
	ok := !a.Epoch.Less(k.promised) && !older && !behind
	if a.PreVote && ok && m.served(k) && k.promised.Owner != from {
		ok = false
	}
	if ok && !a.PreVote && k.promised != a.Epoch {
		m.stepDown(k, a.Epoch)
		k.heard, k.heardAny, k.owned = m.now, true, false
		m.write([]ledgerEntry{k.meta()}, nil)
	}
	p := &Vote{Key: a.Key, Epoch: a.Epoch, OK: ok, Promised: k.promised, At: k.at, PreVote: a.PreVote, Sums: k.Sums}
	if older {
		p.Outdated = m.rosterHolding()
	}
	if behind && (m.leaving || !m.mayOwn()) {
		p.At = a.At // this member is no heir that the asker should make way for
	}
	m.settled(func() {
		p.OK = p.OK && (a.PreVote || k.promised == a.Epoch)
		if p.OK && !a.PreVote && k.wanted {
			p.Quiet = m.now - k.spoke
		}
		m.send(from, Message{Body: p})
	})
	if behind && !older && !m.served(k) {
		// The asker lacks what this member holds, so this one is the better heir.
		m.takeOver(k, false)
	}
}

func (m *Replica) onVote(from, id string, p *Vote) {
	k := m.key(p.Key)
	had := m.keys[RosterKey].at
	if p.Outdated != nil {
		m.adopt(p.Outdated)
	}
	if k.role != asks || k.mine != p.Epoch || k.preVote != p.PreVote {
		return
	}
	if !p.OK || k.at.Less(p.At) {
		k.floor = max(k.floor, p.Promised.N)
		switch {
		case !p.PreVote && k.mine.Less(p.Promised):
			m.stepDown(k, p.Promised)
			m.write([]ledgerEntry{k.meta()}, nil)
		case p.Outdated != nil:
			if had != m.keys[RosterKey].at {
				m.canvass(k) // under the roster that it has now
			}
		case p.PreVote && k.at.Less(p.At):
			// In earnest a majority decides, whatever the others hold.
			m.release(k, ErrNoQuorum)
			k.notUntil = m.now + m.cfg.Beat
		}
		return
	}
	k.promises[id] = p
	k.frees[id] = m.now - p.Quiet
	m.promised(k)
}

// promised makes this member the owner once a majority has promised. Each of them
// held nothing newer than this member does.
func (m *Replica) promised(k *key) {
	if !m.quorum(false, func(id string) bool { return k.promises[id] != nil }) {
		return
	}
	if !m.mayOwn() {
		m.release(k, ErrNotOwner) // its seat has gone meanwhile
		return
	}
	if k.preVote {
		m.campaign(k)
		return
	}
	// Whoever owned the key before was sure of that only while a majority said so,
	// and one member at least of any majority has promised now.
	k.free = k.spoke
	for id := range k.promises {
		k.free = max(k.free, k.frees[id])
	}
	// A promise is no confirmation, for which others would wait: see reply.
	k.sure, k.took, k.heir = unsure, m.now, len(k.Records) > 0
	k.role, k.since, k.agreed = owns, m.now, m.now
	k.acks, k.seen = map[string]Position{}, map[string]time.Duration{}
	k.rounds, k.firstRound = map[string]uint64{}, m.beats.round+1
	k.sending, k.mended = map[string]*sending{}, map[string]mended{}
	base := k.at
	k.at = Position{k.mine, base.Seq + 1}
	k.log.add(base, k.at, nil)
	at, promises := k.at, k.promises
	k.promises, k.frees, k.taking = nil, nil, nil
	m.write(append(m.apply(k, nil), k.meta()), func() { m.acked(k, m.self, at) })
	for _, id := range slices.Sorted(maps.Keys(promises)) {
		if p := promises[id]; id != m.self {
			m.mend(k, addressOf(id), id, p.At, p.Sums)
		}
	}
	m.confirm(k)
	m.advance(k)
}

// stepDown follows a newer epoch.
func (m *Replica) stepDown(k *key, e Epoch) {
	if k.promised.Less(e) {
		k.promised = e
	}
	m.release(k, ErrNoQuorum)
}

func (m *Replica) release(k *key, err error) {
	if k.role != follows {
		k.role, k.preVote = follows, false
		k.promises, k.acks, k.sending = nil, nil, nil
		k.heard, k.heardAny, k.owned = m.now, true, false
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

// Heirs orders the addresses of the roster for a key: who takes it over first.
func (m *Replica) Heirs(name string) []string { return slices.Clone(m.heirs(m.key(name))) }

// heirs is Heirs for a key, worked out once for each roster.
func (m *Replica) heirs(k *key) []string {
	if s := m.seats(); k.heirsOf != s {
		k.heirsOf, k.heirList = s, rendezvous.Order(k.name, m.Roster())
	}
	return k.heirList
}

// rank is this member's place among the live heirs that are not the owner.
func (m *Replica) rank(k *key) int {
	n := 0
	for _, id := range m.heirs(k) {
		if id == m.cfg.Self {
			return n
		}
		if id != k.promised.Owner && m.cfg.Alive(id) && !m.wiped(id) {
			n++
		}
	}
	return n
}

// wiped says that the machine at a seat's address has come back with another disk.
func (m *Replica) wiped(address string) bool {
	id, known := m.newest[address]
	return known && id != address && !slices.Contains(m.seats().all(), id) && !slices.Contains(m.seats().all(), address)
}

// place is this member's place among all heirs.
func (m *Replica) place(name string) int {
	for i, id := range m.heirs(m.key(name)) {
		if id == m.cfg.Self {
			return i
		}
	}
	return 0
}

func (m *Replica) onProbe(from string) {
	if !m.mayOwn() || m.leaving {
		return // whoever asks would wait for this member to take keys over
	}
	out := &ProbeAck{}
	for _, name := range m.names {
		if k := m.keys[name]; k.role != follows || m.Owner(m.now, name) != "" {
			out.Owned = append(out.Owned, name)
		}
	}
	m.send(from, Message{Body: out})
}

func (m *Replica) onProbeAck(from string, h *ProbeAck) {
	m.hailed[from] = map[string]bool{}
	for _, name := range h.Owned {
		m.hailed[from][name] = true
	}
}

// ownerless says that a majority has answered a hail and knows no owner, and
// that no heir before this member was among those who answered.
func (m *Replica) ownerless(name string) bool {
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

// yield names a successor for a key: an heir whose copy is up to date, if there is one.
func (m *Replica) yield(k *key) {
	var heir string
	for _, id := range m.Heirs(k.name) {
		if id == m.cfg.Self || !m.cfg.Alive(id) {
			continue
		}
		if heir == "" {
			heir = id
		}
		if at, ok := k.ackOf(id); ok && at == k.at {
			heir = id
			break
		}
	}
	if heir != "" {
		m.send(heir, Message{Body: &Transfer{k.name}})
	}
}

// handBack gives a key back to the heir that comes before this member, once
// that has been at work, with a copy that is up to date, for a long calm time.
// Keys that a failure has gathered at one member so spread out again.
func (m *Replica) handBack(k *key) {
	heir := m.heirs(k)[0]
	at, _ := k.ackOf(heir)
	calm := heir != m.cfg.Self && m.cfg.HandBack > 0 && m.cfg.Alive(heir) && k.commit == k.at && len(k.waiters)+len(k.queue) == 0 &&
		at == k.at && m.now-k.seen[m.newest[heir]] <= m.cfg.Vacant && m.now-k.since > m.cfg.HandBack &&
		(k.name != RosterKey || m.whole())
	if !calm {
		k.calmFrom = m.now
		return
	}
	if m.now-k.calmFrom >= m.cfg.HandBack {
		m.release(k, ErrNotOwner)
		k.notUntil = m.now + m.cfg.Vacant
		m.send(heir, Message{Body: &Transfer{k.name}})
	}
}

// ackOf is the newest position that the member at an address has confirmed.
func (k *key) ackOf(address string) (at Position, ok bool) {
	for id, p := range k.acks {
		if addressOf(id) == address && (!ok || at.Less(p)) {
			at, ok = p, true
		}
	}
	return at, ok
}

// Leave hands over all keys; the member takes none from then on. MayGo says when its
// copies are needed no more.
func (m *Replica) Leave(now time.Duration) {
	m.now = now
	m.leaving = true
	m.survey = nil
	for _, name := range m.names {
		if k := m.keys[name]; k.role == owns {
			m.yield(k)
			m.release(k, ErrNotOwner)
		}
	}
	m.tickLeaving()
}
