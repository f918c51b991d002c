package replication

// This file holds the other half of heartbeats: what a member makes of an owner's.

import (
	"cmp"
	"slices"
	"time"
)

// ownerList is the list of an owner's keys as a member holds it, by name.
type ownerList struct {
	life    uint64
	version uint64
	digest  uint64
	keys    []KeyStatus
	heard   time.Duration
}

func (l *ownerList) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.keys, name, func(s KeyStatus, name string) int { return cmp.Compare(s.Key, name) })
}

func (l *ownerList) put(s KeyStatus) {
	i, ok := l.find(s.Key)
	if ok {
		l.digest ^= l.keys[i].digest()
		l.keys[i] = s
	} else {
		l.keys = slices.Insert(l.keys, i, s)
	}
	l.digest ^= s.digest()
}

func (l *ownerList) remove(name string) {
	if i, ok := l.find(name); ok {
		l.digest ^= l.keys[i].digest()
		l.keys = slices.Delete(l.keys, i, i+1)
	}
}

// listState is what a heartbeat did to the list that a member holds.
type listState int

const (
	listTaken listState = iota
	listStale           // a newer heartbeat came before
	listLacks           // the list on which it builds isn't there
)

// takeList brings the list of an owner to a heartbeat's version.
func (m *Replica) takeList(from string, life uint64, h *Heartbeat) (*ownerList, listState) {
	l := m.lists[from]
	switch {
	case l != nil && l.life == life && h.Version < l.version:
		return nil, listStale
	case h.Base == 0:
		l = &ownerList{life: life}
		m.lists[from] = l
	case l == nil || l.life != life || l.version < h.Base:
		return nil, listLacks
	}
	l.heard, l.version = m.now, h.Version
	for _, s := range h.Keys {
		l.put(s)
	}
	for _, name := range h.Gone {
		l.remove(name)
	}
	if l.digest != h.Digest {
		delete(m.lists, from)
		return nil, listLacks
	}
	return l, listTaken
}

// forgetLists forgets the lists of owners that have not been heard for long.
func (m *Replica) forgetLists() {
	for from, l := range m.lists {
		if m.now-l.heard > 20*m.cfg.Vacant {
			delete(m.lists, from)
		}
	}
}

// heardKey is a key that a heartbeat stood for and the epoch that it told of.
type heardKey struct {
	*key
	epoch Epoch
}

func (m *Replica) onHeartbeat(from string, life uint64, h *Heartbeat) {
	ack := &HeartbeatAck{Life: life, Round: h.Round, Partial: h.Partial}
	statuses := h.Keys
	if !h.Partial {
		l, state := m.takeList(from, life, h)
		switch state {
		case listStale:
			return
		case listLacks:
			ack.Lacks = true
			m.send(from, Message{Body: ack})
			return
		}
		statuses, ack.Version = l.keys, l.version
	}
	older := m.olderRoster(h.Roster)
	ages := map[string]time.Duration{}
	for _, a := range h.Ages {
		ages[a.Key] = a.Age
	}
	heard := make([]heardKey, 0, len(statuses))
	for _, s := range statuses {
		k, e := m.key(s.Key), Epoch{s.Epoch, from, life}
		switch {
		case e.Less(k.promised):
			ack.Deviate = append(ack.Deviate, &AppendAck{Key: s.Key, Epoch: e, Promised: k.promised})
		case !older:
			heard = append(heard, heardKey{k, e})
			if !m.hear(k, e, s) {
				sums := k.Sums
				ack.Deviate = append(ack.Deviate, &AppendAck{Key: s.Key, Epoch: e, Promised: e, At: k.at, Sums: &sums})
			}
			m.dates(k, e, s, h.Sure, ages)
		}
	}
	if older {
		ack.Outdated = m.rosterHolding()
	}
	if h.Round == 0 && len(ack.Deviate) == 0 && !older {
		return
	}
	m.settled(func() { m.answerHeartbeat(from, ack, heard) })
}

// hear takes an owner's word on one key and says whether this member holds what the owner
// does.
func (m *Replica) hear(k *key, e Epoch, s KeyStatus) bool {
	m.follow(k, e)
	to := Position{e, s.Seq}
	m.committed(k, Position{e, s.Commit})
	return !k.at.Less(to) && (k.at != to || k.Sums.Fold() == s.Sum)
}

// dates takes in how old the copy of a key is. The owner had told nobody of anything beyond
// Commit when it was as sure as it says.
func (m *Replica) dates(k *key, e Epoch, s KeyStatus, sure *Sure, ages map[string]time.Duration) {
	if sure == nil || sure.Life != m.cfg.Life || s.Commit == 0 || k.commit.Epoch != e || k.commit.Seq < s.Commit {
		return
	}
	age, differs := ages[s.Key]
	if !differs {
		age = sure.Age
	}
	if age >= 0 {
		k.current = max(k.current, sure.Mark+sure.Held-age)
	}
}

// answerHeartbeat answers once all that this member holds is durable. What it has
// promised meanwhile to others it confirms no more.
func (m *Replica) answerHeartbeat(from string, ack *HeartbeatAck, heard []heardKey) {
	for _, d := range ack.Deviate {
		d.Promised = m.key(d.Key).promised
	}
	for _, h := range heard {
		if h.promised != h.epoch {
			ack.Deviate = append(ack.Deviate, &AppendAck{Key: h.name, Epoch: h.epoch, Promised: h.promised})
			continue
		}
		if h.wanted {
			h.spoke = m.now
		}
	}
	ack.Mark = max(m.now, 1)
	m.send(from, Message{Body: ack})
}
