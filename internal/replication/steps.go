package replication

// This file holds the ordinary path: how an owner copies a change and when it is committed.

import (
	"sort"
	"time"
)

// mark is a member's own clock as it came, and when.
type mark struct {
	life uint64
	at   time.Duration
	came time.Duration
}

// proposal is a change, or a question with no change, that waits for the one
// before it.
type proposal struct {
	fn    func(map[string]Record) ([]Record, error)
	until time.Duration
	done  func(error)
}

type waiter struct {
	seq   uint64
	round uint64
	until time.Duration
	done  func(error)
}

func (m *Replica) copy(k *key, base Position) *Append {
	commit := uint64(0)
	if k.commit.Epoch == k.mine {
		commit = k.commit.Seq
	}
	c := &Append{Key: k.name, Epoch: k.mine, Base: base, Seq: k.at.Seq, Commit: commit, Round: m.beats.round, Roster: m.keys[RosterKey].at}
	c.tells(k.Sums, m.olderVersions())
	return c
}

// Propose runs fn on the key's records and copies the changes that it returns.
// done is called with nil once they, and all that fn saw, are safe.
func (m *Replica) Propose(now time.Duration, name string, fn func(map[string]Record) ([]Record, error), done func(error)) {
	m.now = now
	k := m.key(name)
	if k.role != owns {
		if m.founder(k) == m.cfg.Self {
			m.takeOver(k, false) // whoever asks again will find an owner
		}
		done(ErrNotOwner)
		return
	}
	k.queue = append(k.queue, proposal{fn, now + m.cfg.Patience, done})
	m.serve(k)
}

// serve runs the proposals that wait, all in one step, once the step before
// is committed.
func (m *Replica) serve(k *key) {
	if k.role != owns || k.commit != k.at || len(k.queue) == 0 {
		return
	}
	queue := k.queue
	k.queue = nil
	base := k.at
	var changes []Record
	var entries []ledgerEntry
	var asking []proposal
	for i, p := range queue {
		if k.name == RosterKey && len(changes) > 0 {
			// One change of the roster a step: see membership.go.
			k.queue = queue[i:]
			break
		}
		c, err := p.fn(k.Records)
		if err != nil {
			// What the refusal rests on must still stand, or it may be wrong.
			refusal := p.done
			p.done = func(lost error) {
				if lost == nil {
					lost = err
				}
				refusal(lost)
			}
		} else if len(c) > 0 {
			entries = append(entries, m.apply(k, c)...)
			changes = append(changes, c...)
		}
		asking = append(asking, p)
	}
	w := waiter{seq: k.at.Seq}
	if len(changes) > 0 {
		m.step(k, base, changes, entries)
		w.seq = k.at.Seq
	} else {
		// Nothing is to be copied, but what stands must still be ours to tell.
		w.round = m.confirm(k)
	}
	for _, p := range asking {
		k.waiters = append(k.waiters, waiter{w.seq, w.round, p.until, p.done})
	}
	m.advance(k)
}

// step copies one change to the others.
func (m *Replica) step(k *key, base Position, changes []Record, entries []ledgerEntry) {
	k.at.Seq++
	at := k.at
	k.log.add(base, at, changes)
	m.write(append(entries, k.meta()), func() { m.acked(k, m.self, at) })
	c := m.copy(k, base)
	c.Changes = changes
	for _, to := range m.others() {
		m.send(to, Message{Body: c})
	}
	if why, ok := m.beats.dueKeys[k.name]; ok && why == dueNotice {
		delete(m.beats.dueKeys, k.name) // the step tells of the commit before it
	}
}

// sureAppend is a copy that tells a member how sure the owner is of itself, if that
// has set a mark.
func (m *Replica) sureAppend(k *key, to string, c *Append) *Append {
	w, ok := m.marks[to]
	if !ok || k.sure == unsure {
		return c
	}
	own := *c
	own.Sure = &Sure{w.life, w.at, m.now - w.came, m.now - k.sure}
	return &own
}

// refuses says why a member takes nothing from an owner: the epoch is older than one
// that it has promised, or the roster older than one that it has taken.
func (m *Replica) refuses(k *key, e Epoch, roster Position) *AppendAck {
	older := m.olderRoster(roster)
	if !older && !e.Less(k.promised) {
		return nil
	}
	reply := &AppendAck{Key: k.name, Epoch: e}
	if e.Less(k.promised) {
		reply.Promised = k.promised
	}
	if older {
		reply.Outdated = m.rosterHolding()
	}
	return reply
}

// follow notes an owner's word.
func (m *Replica) follow(k *key, e Epoch) {
	if k.promised != e {
		m.stepDown(k, e)
		m.write([]ledgerEntry{k.meta()}, nil)
	} else if k.role == asks && k.preVote {
		m.release(k, ErrNoQuorum) // the owner is there after all
	}
	k.heard, k.heardAny = m.now, true
	k.copied, k.owned = m.now, true
}

func (m *Replica) onAppend(from string, c *Append) {
	k := m.key(c.Key)
	if reply := m.refuses(k, c.Epoch, c.Roster); reply != nil {
		reply.Round = c.Round
		m.send(from, Message{Body: reply})
		return
	}
	m.follow(k, c.Epoch)
	to, commit := Position{c.Epoch, c.Seq}, Position{c.Epoch, c.Commit}
	// What stands here may be known to be committed with the word on the next step;
	// it is shown then, not once the stream of steps has ended.
	m.committed(k, commit)
	switch {
	case k.at == c.Base && k.at != to:
		base := k.at
		var entries []ledgerEntry
		if c.Mend != nil {
			entries = m.replace(k, c.Mend, c.Changes)
		} else {
			entries = m.apply(k, c.Changes)
			k.log.add(base, to, c.Changes)
		}
		k.at = to
		m.write(append(entries, k.meta()), nil)
	case k.at == to && c.Mend != nil && !c.fits(k.Sums):
		m.write(append(m.replace(k, c.Mend, c.Changes), k.meta()), nil)
	}
	reply := &AppendAck{Key: c.Key, Epoch: c.Epoch, Round: c.Round}
	reply.OK = !k.at.Less(to) && !(k.at == to && !c.fits(k.Sums))
	if reply.OK {
		m.committed(k, commit)
	}
	// The owner had told nobody of anything beyond Commit when it was as sure as it says.
	if c.Sure != nil && c.Sure.Life == m.cfg.Life && c.Commit > 0 && k.commit == commit {
		k.current = max(k.current, c.Sure.Mark+c.Sure.Held-c.Sure.Age)
	}
	m.reply(k, from, reply)
}

// committed takes note that a position is committed, if it is where the key stands:
// only what is committed as a whole is shown to anybody.
func (m *Replica) committed(k *key, p Position) {
	if p.Seq == 0 || p != k.at || !k.commit.Less(p) {
		return
	}
	m.commit(k, p)
}

// reply answers an owner once all that this member holds of the key is durable.
func (m *Replica) reply(k *key, to string, r *AppendAck) {
	at, sums := k.at, k.Sums
	m.settled(func() {
		r.At, r.Promised = at, k.promised
		if k.wanted {
			r.Mark = max(m.now, 1)
			k.spoke = m.now
		}
		if !r.OK {
			r.Sums = &sums
		}
		m.send(to, Message{Body: r})
	})
}

func (m *Replica) onAppendAck(from, id string, c *AppendAck) {
	k := m.key(c.Key)
	if c.Outdated != nil {
		m.adopt(c.Outdated)
	}
	if k.role != owns || c.Epoch != k.mine {
		return
	}
	if k.mine.Less(c.Promised) {
		m.stepDown(k, c.Promised)
		m.write([]ledgerEntry{k.meta()}, nil)
		return
	}
	if c.Promised != k.mine {
		if c.Outdated != nil && m.mayOwn() {
			m.confirm(k) // under the roster that it follows
		}
		return
	}
	k.seen[id] = m.now
	if s, ok := m.beats.sent[c.Round]; ok && k.name == RosterKey {
		// A word that was long on its way proves nothing of a member that is gone.
		m.proven[id] = max(m.proven[id], s.at)
	}
	if c.Mark > 0 {
		m.noteMark(from, id, c.Mark)
	}
	k.rounds[id] = max(k.rounds[id], c.Round)
	if c.OK {
		m.acked(k, id, c.At)
		if k.role == owns && k.sending[id] != nil && c.Sums != nil && c.At.Less(k.at) {
			m.mend(k, from, id, c.At, *c.Sums) // the steps since the snapshot
		}
		return
	}
	if (c.At != k.at || c.Sums != nil && *c.Sums != k.Sums) && c.Sums != nil && !k.at.Less(c.At) {
		m.mend(k, from, id, c.At, *c.Sums)
	}
	m.advance(k)
}

func (m *Replica) acked(k *key, id string, at Position) {
	if k.role != owns || at.Epoch != k.mine {
		return
	}
	if k.acks[id].Less(at) {
		k.acks[id] = at
	}
	m.advance(k)
}

// advance commits what enough members hold and answers those who wait.
func (m *Replica) advance(k *key) {
	if k.role != owns {
		return
	}
	// Commit the newest position that the owner and enough others hold.
	if own := k.acks[m.self]; k.commit.Less(k.at) && own.Epoch == k.mine {
		var seqs []uint64
		fresh := func(id string) bool { return id == m.self || m.now-k.seen[id] <= m.cfg.Vacant }
		for id, a := range k.acks {
			if a.Epoch == k.mine && a.Seq <= own.Seq && fresh(id) {
				seqs = append(seqs, a.Seq)
			}
		}
		sort.Slice(seqs, func(i, j int) bool { return seqs[i] > seqs[j] })
		for _, s := range seqs {
			p := Position{k.mine, s}
			if !k.commit.Less(p) {
				break
			}
			if m.quorum(k.name != RosterKey, func(id string) bool { return !k.acks[id].Less(p) && k.acks[id].Epoch == k.mine && fresh(id) }) {
				m.commit(k, p)
				m.notice(k)
				break
			}
		}
	}
	confirmed, began := m.confirmedRound(k)
	if confirmed > 0 {
		m.sureAt(k, began)
	}
	var done []waiter
	kept := k.waiters[:0]
	for _, w := range k.waiters {
		if k.commit.Epoch == k.mine && k.commit.Seq >= w.seq && confirmed >= w.round {
			done = append(done, w)
		} else {
			kept = append(kept, w)
		}
	}
	k.waiters = kept
	for _, w := range done {
		w.done(nil)
	}
	m.serve(k)
}

// commit notes that a position is safe, also on disk, so that a start of all
// members at once has something to show before there is an owner.
func (m *Replica) commit(k *key, p Position) {
	k.commit = p
	changed, known := m.fx.Changed[k.name]
	if k.undo == nil || p != k.at || known && changed == nil {
		changed = nil
	} else {
		changed = append([]Record{}, changed...)
		for name := range k.undo {
			if r, ok := k.Records[name]; ok {
				changed = append(changed, r)
			}
		}
	}
	if m.fx.Changed == nil {
		m.fx.Changed = map[string][]Record{}
	}
	m.fx.Changed[k.name] = changed
	if p == k.at {
		k.undo = nil
	}
	m.fx.Committed = append(m.fx.Committed, k.name)
	entries := []ledgerEntry{k.meta()}
	if k.name == RosterKey && !m.founded {
		m.founded = true
		entries = append(entries, m.nodeEntry())
	}
	m.write(entries, nil)
}

func (m *Replica) expire(k *key) {
	kept := k.waiters[:0]
	var late []waiter
	for _, w := range k.waiters {
		if m.now >= w.until {
			late = append(late, w)
		} else {
			kept = append(kept, w)
		}
	}
	k.waiters = kept
	queue := k.queue
	k.queue = nil
	for _, p := range queue {
		if m.now >= p.until {
			late = append(late, waiter{done: p.done})
		} else {
			k.queue = append(k.queue, p)
		}
	}
	for _, w := range late {
		w.done(ErrNoQuorum)
	}
}
