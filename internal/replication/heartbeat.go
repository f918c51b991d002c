package replication

// This file holds the owner's half of heartbeats: what an owner sends each other member
// at each beat, and what it makes of the answers.
//
// One heartbeat stands for all keys that a process owns. It names their epochs and
// positions by a version and a digest of the whole list, and carries only the entries
// that differ from the version which that member acknowledged last. Its round number is
// one for the process, so one answer confirms the epochs of all keys in the list. An
// answer names the keys for which it doesn't hold: one of a newer epoch deposes the owner
// of that key alone.
//
// Between beats a partial heartbeat tells of the keys that it names and of no others:
// those that were committed a moment ago, and those for which a read waits to be
// confirmed. One that only tells of commits is not answered, unless the member lacks
// what was committed.

import (
	"maps"
	"slices"
	"time"
)

// protocolHeartbeat is the first protocol in which members understand heartbeats.
// Members of an older one are sent a copy without changes for each key.
const protocolHeartbeat = 1

// roundsKept is for how many times the vacancy bound the times of rounds are kept; those
// of the roster date the members' answers (see gone).
const roundsKept = 8

// peer is what an owner knows of the process at another member's address.
type peer struct {
	id      string
	life    uint64
	hears   bool   // it understands heartbeats
	version uint64 // of the list that it acknowledged last; 0: none
}

// sentRound is a round that was begun. keys are those of its partial heartbeat.
type sentRound struct {
	at   time.Duration
	keys []sentKey
}

type sentKey struct {
	*key
	at Position
}

// listing is a key's entry in the list and the version that brought it.
type listing struct {
	KeyStatus
	version uint64
}

// due says what a partial heartbeat is due for.
type due int

const (
	dueNotice  due = iota // the key was committed
	dueConfirm            // its epoch is to be confirmed
)

// heartbeats is the owner's half of heartbeats.
type heartbeats struct {
	round     uint64 // the newest that was begun
	sent      map[uint64]sentRound
	oldest    uint64            // the oldest in sent
	rounds    map[string]uint64 // by member: the newest round in which it confirmed the whole list
	confirmed uint64            // the newest round in which a quorum did
	beatAt    time.Duration     // when the last one was sent to all

	version, digest uint64
	listed          map[string]listing
	gone            map[string]uint64 // keys that have left the list, and the version that says so

	dueAll  bool
	dueTo   map[string]bool // members that need not wait for the next beat
	dueKeys map[string]due
}

func newHeartbeats() heartbeats {
	return heartbeats{sent: map[uint64]sentRound{}, oldest: 1, rounds: map[string]uint64{}, listed: map[string]listing{},
		gone: map[string]uint64{}, dueTo: map[string]bool{}, dueKeys: map[string]due{}}
}

// meet notes which process speaks at an address, and of which protocol.
func (m *Replica) meet(from, id string, msg Message) {
	p := m.peers[from]
	if p == nil || p.id != id || p.life != msg.Life {
		p = &peer{id: id, life: msg.Life}
		m.peers[from] = p
		m.beats.dueTo[from] = true
	}
	p.hears = msg.Protocol >= protocolHeartbeat
}

// noteMark notes a member's clock, to be echoed with the next heartbeat. A new process
// need not wait for the next beat.
func (m *Replica) noteMark(from, id string, at time.Duration) {
	had, ok := m.marks[id]
	m.marks[id] = mark{m.lives[id], at, m.now}
	if !ok || had.life != m.lives[id] {
		m.beats.dueTo[from] = true
	}
}

// confirm starts a round in which a quorum has to confirm the epoch, and returns it.
func (m *Replica) confirm(k *key) (round uint64) {
	m.beats.dueKeys[k.name] = dueConfirm
	return m.beats.round + 1
}

// notice tells the others soon where the key stands.
func (m *Replica) notice(k *key) {
	m.beats.dueKeys[k.name] = max(m.beats.dueKeys[k.name], dueNotice)
}

// owned lists the keys that this member owns, by name.
func (m *Replica) owned() (out []*key) {
	for _, name := range m.names {
		if k := m.keys[name]; k.role == owns {
			out = append(out, k)
		}
	}
	return out
}

// flushHeartbeats sends the heartbeats that are due. It runs when all that the driver had
// for this member is done, so that many keys share one.
func (m *Replica) flushHeartbeats() {
	b := &m.beats
	if !b.dueAll && len(b.dueTo) == 0 && len(b.dueKeys) == 0 {
		return
	}
	all, to, names := b.dueAll, b.dueTo, b.dueKeys
	b.dueAll, b.dueTo, b.dueKeys = false, map[string]bool{}, map[string]due{}
	owned := m.owned()
	if len(owned) == 0 {
		return
	}
	var keys []*key
	confirm := all || len(to) > 0
	if !all {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			if k := m.keys[name]; k.role == owns {
				keys = append(keys, k)
				confirm = confirm || names[name] == dueConfirm
			}
		}
	}
	round := uint64(0)
	if confirm {
		round = m.beginRound(keys)
	}
	if all {
		b.beatAt = m.now
	}
	if all || len(to) > 0 {
		m.relist(owned)
	}
	whole := m.wholeHeartbeats(round, owned)
	partial := m.partialHeartbeat(round, keys)
	for _, a := range m.others() {
		switch {
		case all || to[a]:
			m.sendWhole(a, owned, whole)
		case len(keys) > 0:
			m.sendPartial(a, keys, partial)
		}
	}
}

// beginRound begins a round and forgets those that are of no use any more.
func (m *Replica) beginRound(keys []*key) uint64 {
	b := &m.beats
	b.round++
	s := sentRound{at: m.now}
	for _, k := range keys {
		s.keys = append(s.keys, sentKey{k, k.at})
	}
	b.sent[b.round] = s
	for ; b.oldest < b.round && m.now-b.sent[b.oldest].at > roundsKept*m.cfg.Vacant; b.oldest++ {
		delete(b.sent, b.oldest)
	}
	return b.round
}

// status is how this member stands with a key that it owns.
func (m *Replica) status(k *key) KeyStatus {
	s := KeyStatus{Key: k.name, Epoch: k.mine.N, Seq: k.at.Seq, Sum: k.Sums.Fold()}
	if k.commit.Epoch == k.mine {
		s.Commit = k.commit.Seq
	}
	return s
}

// relist brings the list to where the keys stand now.
func (m *Replica) relist(owned []*key) {
	b := &m.beats
	next := b.version + 1
	for _, k := range owned {
		had, ok := b.listed[k.name]
		s := m.status(k)
		if ok && had.KeyStatus == s {
			continue
		}
		if ok {
			b.digest ^= had.digest()
		}
		b.digest ^= s.digest()
		b.listed[k.name], b.version = listing{s, next}, next
		delete(b.gone, k.name)
	}
	if len(b.listed) > len(owned) {
		for name, l := range b.listed {
			if m.keys[name].role != owns {
				b.digest ^= l.digest()
				b.version, b.gone[name] = next, next
				delete(b.listed, name)
			}
		}
	}
	m.forgetGone()
}

// forgetGone forgets keys of which every member knows that they have left the list.
func (m *Replica) forgetGone() {
	known := m.beats.version
	for _, p := range m.peers {
		if p.version > 0 {
			known = min(known, p.version)
		}
	}
	maps.DeleteFunc(m.beats.gone, func(_ string, version uint64) bool { return version <= known })
}

// wholeHeartbeats returns a function that gives the heartbeat for a member that holds the
// list at a base; members with the same base share it.
func (m *Replica) wholeHeartbeats(round uint64, owned []*key) func(base uint64) *Heartbeat {
	made := map[uint64]*Heartbeat{}
	return func(base uint64) *Heartbeat {
		if h := made[base]; h != nil {
			return h
		}
		b := &m.beats
		h := &Heartbeat{Round: round, Roster: m.keys[RosterKey].at, Base: base, Version: b.version, Digest: b.digest}
		for _, k := range owned {
			if l := b.listed[k.name]; l.version > base {
				h.Keys = append(h.Keys, l.KeyStatus)
			}
		}
		if base > 0 {
			for name, version := range b.gone {
				if version > base {
					h.Gone = append(h.Gone, name)
				}
			}
			slices.Sort(h.Gone)
		}
		m.tellAges(h, owned)
		made[base] = h
		return h
	}
}

func (m *Replica) partialHeartbeat(round uint64, keys []*key) *Heartbeat {
	h := &Heartbeat{Round: round, Roster: m.keys[RosterKey].at, Partial: true}
	for _, k := range keys {
		h.Keys = append(h.Keys, m.status(k))
	}
	m.tellAges(h, keys)
	return h
}

// tellAges puts into a heartbeat how long ago this member was sure of the keys: one age
// for most, and those of the keys that are not as sure.
func (m *Replica) tellAges(h *Heartbeat, keys []*key) {
	sure := unsure
	for _, k := range keys {
		if k.sure != unsure && (sure == unsure || k.sure < sure) {
			sure = k.sure
		}
	}
	if s, ok := m.beats.sent[m.beats.confirmed]; ok && !h.Partial {
		sure = max(sure, s.at)
	}
	if sure == unsure {
		return
	}
	h.Sure = &Sure{Age: m.now - sure}
	for _, k := range keys {
		switch {
		case k.sure == unsure:
			h.Ages = append(h.Ages, KeyAge{k.name, -1})
		case k.sure < sure:
			h.Ages = append(h.Ages, KeyAge{k.name, m.now - k.sure})
		}
	}
}

// echoing is a heartbeat with the mark that a member has set; without one its ages mean
// nothing to the member.
func (m *Replica) echoing(h *Heartbeat, to string) *Heartbeat {
	if h.Sure == nil {
		return h
	}
	own := *h
	if w, ok := m.marks[m.newest[to]]; ok {
		own.Sure = &Sure{w.life, w.at, m.now - w.came, h.Sure.Age}
	} else {
		own.Sure, own.Ages = nil, nil
	}
	return &own
}

// sendWhole sends a member its heartbeat, or what stands for that: to a member of an older
// version a copy for each key, and to one that hasn't been heard yet a copy of one key, which
// any version answers.
func (m *Replica) sendWhole(to string, owned []*key, whole func(base uint64) *Heartbeat) {
	p := m.peers[to]
	switch {
	case p == nil:
		m.sendAppends(to, owned[:1])
	case !p.hears:
		m.sendAppends(to, owned)
	default:
		m.send(to, Message{Body: m.echoing(whole(p.version), to)})
	}
}

func (m *Replica) sendPartial(to string, keys []*key, h *Heartbeat) {
	switch p := m.peers[to]; {
	case p == nil:
	case !p.hears:
		m.sendAppends(to, keys)
	default:
		m.send(to, Message{Body: m.echoing(h, to)})
	}
}

// sendAppends sends a member copies without changes, as older versions know them.
func (m *Replica) sendAppends(to string, keys []*key) {
	for _, k := range keys {
		m.send(to, Message{Body: m.sureAppend(k, m.newest[to], m.copy(k, k.at))})
	}
}
