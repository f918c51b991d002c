package replication

// This file holds the ordinary path: how an owner copies a change and when it is committed.

import (
	"madderwing/internal/antientropy"
	"madderwing/internal/ledger"
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

// mend brings a member that lags to the owner's position.
func (m *Member) mend(k *key, to string, base Position, theirs antientropy.Sums) {
	ranges := antientropy.Diff(k.Sums, theirs)
	c := m.copy(k, base)
	c.Mend, c.Changes = ranges, k.Pick(ranges)
	m.send(to, Message{Copy: c})
}

func (m *Member) copy(k *key, base Position) *Copy {
	commit := uint64(0)
	if k.commit.Epoch == k.mine {
		commit = k.commit.Seq
	}
	return &Copy{Key: k.name, Epoch: k.mine, Base: base, Seq: k.at.Seq, Commit: commit,
		Round: k.round, Roster: m.keys[RosterKey].at, Sums: k.Sums}
}

// Propose runs fn on the key's records and copies the changes that it returns.
// done is called with nil once they, and all that fn saw, are safe.
func (m *Member) Propose(now time.Duration, name string, fn func(map[string]Record) ([]Record, error), done func(error)) {
	m.now = now
	k := m.key(name)
	if k.role != owns {
		if m.founder(k) == m.cfg.Self {
			m.takeOver(k) // whoever asks again will find an owner
		}
		done(ErrNotOwner)
		return
	}
	k.queue = append(k.queue, proposal{fn, now + m.cfg.Patience, done})
	m.serve(k)
}

// serve runs the proposals that wait, all in one step, once the step before
// is committed.
func (m *Member) serve(k *key) {
	if k.role != owns || k.commit != k.at || len(k.queue) == 0 {
		return
	}
	queue := k.queue
	k.queue = nil
	base := k.at
	before := m.Roster()
	var changes []Record
	var entries []ledger.Entry
	var asking []proposal
	for i, p := range queue {
		if k.name == RosterKey && len(changes) > 0 {
			// The roster changes by one member a step, so that the majorities
			// of any roster and the next one meet.
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
			entries = append(entries, k.set(c)...)
			changes = append(changes, c...)
		}
		asking = append(asking, p)
	}
	w := waiter{seq: k.at.Seq}
	if k.name == RosterKey && len(changes) > 0 {
		k.oldNeed = map[string]bool{}
		for _, id := range before {
			k.oldNeed[id] = true
		}
	}
	if len(changes) > 0 {
		m.step(k, base, changes, entries)
		w.seq = k.at.Seq
	} else {
		// Nothing is to be copied, but what stands must still be ours to tell.
		m.ask(k)
		w.round = k.round
	}
	for _, p := range asking {
		k.waiters = append(k.waiters, waiter{w.seq, w.round, p.until, p.done})
	}
	m.advance(k)
}

// step copies one change to the others.
func (m *Member) step(k *key, base Position, changes []Record, entries []ledger.Entry) {
	k.at.Seq++
	at := k.at
	m.write(append(entries, k.meta()), func() { m.acked(k, m.cfg.Self, at) })
	c := m.copy(k, base)
	c.Changes = changes
	for _, id := range m.others() {
		m.send(id, Message{Copy: c})
	}
}

// ask starts a round in which a quorum has to confirm the epoch.
func (m *Member) ask(k *key) {
	k.round++
	k.sentAt[k.round] = m.now
	m.beat(k)
}

func (m *Member) beat(k *key) {
	k.beatAt = m.now
	if k.round == 0 || k.sentAt[k.round] != m.now {
		k.round++
		k.sentAt[k.round] = m.now
	}
	c := m.copy(k, k.at)
	for _, id := range m.others() {
		m.send(id, Message{Copy: m.sureCopy(k, id, c)})
	}
	m.advance(k)
}

// sureCopy is a copy that tells a member how sure the owner is of itself, if that
// has set a mark.
func (m *Member) sureCopy(k *key, to string, c *Copy) *Copy {
	w, ok := k.marks[to]
	if !ok {
		return c
	}
	own := *c
	own.Sure = &Sure{w.life, w.at, m.now - w.came, m.now - k.sure}
	return &own
}

func (m *Member) onCopy(from string, c *Copy) {
	k := m.key(c.Key)
	reply := &Copied{Key: c.Key, Epoch: c.Epoch, Round: c.Round}
	if c.Epoch.Less(k.promised) || m.staleRoster(c.Roster) {
		if c.Epoch.Less(k.promised) {
			reply.Promised = k.promised
		}
		m.send(from, Message{Copied: reply})
		return
	}
	if k.promised != c.Epoch {
		m.stepDown(k, c.Epoch)
		m.write([]ledger.Entry{k.meta()}, nil)
	}
	k.heard, k.heardAny = m.now, true
	to := Position{c.Epoch, c.Seq}
	switch {
	case k.at == c.Base && k.at != to:
		var entries []ledger.Entry
		if c.Mend != nil {
			entries = k.replace(c.Mend, c.Changes)
		} else {
			entries = k.set(c.Changes)
		}
		k.at = to
		m.write(append(entries, k.meta()), nil)
	case k.at == to && c.Mend != nil && k.Sums != c.Sums:
		m.write(append(k.replace(c.Mend, c.Changes), k.meta()), nil)
	}
	reply.OK = !k.at.Less(to) && !(k.at == to && k.Sums != c.Sums)
	if commit := (Position{c.Epoch, c.Commit}); reply.OK && c.Commit > 0 && k.commit.Less(commit) && k.at == to {
		// Only a copy that is committed as a whole is shown to anybody.
		if c.Commit == c.Seq {
			m.commit(k, commit)
			if k.name == RosterKey && !m.founded {
				m.founded = true
				m.write([]ledger.Entry{m.nodeEntry()}, nil)
			}
		}
	}
	if c.Sure != nil && c.Sure.Life == m.cfg.Life && k.at == to && k.commit == to {
		k.current = max(k.current, c.Sure.Mark+c.Sure.Held-c.Sure.Age)
	}
	at, sums := k.at, k.Sums
	m.settled(func() {
		reply.At, reply.Promised = at, k.promised
		if k.wanted {
			reply.Mark = max(m.now, 1)
			k.spoke = m.now
		}
		if !reply.OK {
			reply.Sums = &sums
		}
		m.send(from, Message{Copied: reply})
	})
}

func (m *Member) onCopied(from string, c *Copied) {
	k := m.key(c.Key)
	if k.role != owns || c.Epoch != k.mine {
		return
	}
	if k.mine.Less(c.Promised) {
		m.stepDown(k, c.Promised)
		m.write([]ledger.Entry{k.meta()}, nil)
		return
	}
	if c.Promised != k.mine {
		return // it follows a newer roster
	}
	k.seen[from] = m.now
	if c.Mark > 0 {
		had, ok := k.marks[from]
		k.marks[from] = mark{m.lives[from], c.Mark, m.now}
		if !ok || had.life != m.lives[from] {
			m.send(from, Message{Copy: m.sureCopy(k, from, m.copy(k, k.at))}) // it need not wait for the next beat
		}
	}
	k.rounds[from] = max(k.rounds[from], c.Round)
	if c.OK {
		m.acked(k, from, c.At)
		return
	}
	if c.At != k.at || c.Sums != nil && *c.Sums != k.Sums {
		if c.Sums != nil && c.At.Less(Position{k.mine, k.at.Seq + 1}) {
			m.mend(k, from, c.At, *c.Sums)
		}
	}
	m.advance(k)
}

func (m *Member) acked(k *key, id string, at Position) {
	if k.role != owns || at.Epoch != k.mine {
		return
	}
	if k.acks[id].Less(at) {
		k.acks[id] = at
	}
	m.advance(k)
}

// advance commits what enough members hold and answers those who wait.
func (m *Member) advance(k *key) {
	if k.role != owns {
		return
	}
	// Commit the newest position that the owner and enough others hold.
	if own := k.acks[m.cfg.Self]; k.commit.Less(k.at) && own.Epoch == k.mine {
		var seqs []uint64
		fresh := func(id string) bool { return id == m.cfg.Self || m.now-k.seen[id] <= m.cfg.Vacant }
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
			if m.quorum(k, true, func(id string) bool { return !k.acks[id].Less(p) && k.acks[id].Epoch == k.mine && fresh(id) }) {
				m.commit(k, p)
				if p == k.at {
					k.oldNeed = nil
				}
				m.beat(k)
				return
			}
		}
	}
	// The newest round that a quorum has answered.
	confirmed := uint64(0)
	for r := range k.sentAt {
		if r > confirmed && m.quorum(k, false, func(id string) bool { return id == m.cfg.Self || k.rounds[id] >= r }) {
			confirmed = r
		}
	}
	if at, ok := k.sentAt[confirmed]; ok {
		k.agreed, k.sure = max(k.agreed, at), max(k.sure, at)
		k.spoke = m.now
		for r := range k.sentAt {
			if r < confirmed {
				delete(k.sentAt, r)
			}
		}
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
func (m *Member) commit(k *key, p Position) {
	k.commit = p
	m.fx.Committed = append(m.fx.Committed, k.name)
	m.write([]ledger.Entry{k.meta()}, nil)
}

func (m *Member) expire(k *key) {
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
