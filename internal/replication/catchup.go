package replication

// This file holds how a member that has missed steps catches up: by the steps that it
// lacks, as long as the owner has them, or else by a snapshot of the ranges that
// differ, in chunks of bounded size, and the steps since.

import (
	"sort"
	"time"

	"madderwing/internal/antientropy"
)

const (
	chunkBytes = 256 << 10 // of records in one message, unless a single record is larger
	logBytes   = 4 << 20   // of steps that are kept for those who lag
	logSteps   = 1024
)

// stepLog holds the newest steps of a key, each beginning where the last one ended.
type stepLog struct {
	steps []logged
	bytes int
}

type logged struct {
	base, to Position
	changes  []Record
	bytes    int
}

// weight is about how many bytes records take in a message.
func weight(records []Record) (n int) {
	for _, r := range records {
		n += len(r.Name) + len(r.Data) + 24
	}
	return n
}

func (l *stepLog) add(base, to Position, changes []Record) {
	if n := len(l.steps); n > 0 && l.steps[n-1].to != base {
		*l = stepLog{}
	}
	s := logged{base, to, changes, weight(changes)}
	l.steps, l.bytes = append(l.steps, s), l.bytes+s.bytes
	for len(l.steps) > 1 && (l.bytes > logBytes || len(l.steps) > logSteps) {
		l.bytes -= l.steps[0].bytes
		l.steps = l.steps[1:]
	}
}

// between gives the changes from one position to another, the newest of each record,
// by name; ok is false where the log doesn't hold both.
func (l *stepLog) between(from, to Position) (changes []Record, ok bool) {
	i := sort.Search(len(l.steps), func(i int) bool { return !l.steps[i].base.Less(from) })
	if i == len(l.steps) || l.steps[i].base != from {
		return nil, false
	}
	newest := map[string]Record{}
	for ; i < len(l.steps) && !to.Less(l.steps[i].to); i++ {
		for _, r := range l.steps[i].changes {
			newest[r.Name] = r
		}
		ok = ok || l.steps[i].to == to
	}
	if !ok {
		return nil, false
	}
	for _, r := range newest {
		changes = append(changes, r)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes, true
}

// sending is a snapshot on its way to a member.
type sending struct {
	at     Position
	sums   antientropy.Sums
	ranges []int
	chunks [][]Record
	next   int
	moved  time.Duration // when a chunk was last sent or asked for
	wait   time.Duration // after which it is sent again; it doubles, for links on which a chunk takes long
}

// mended is what was last sent to a member that lags: from where, and until when it may
// be on its way. A chunk's worth may take a beat.
type mended struct {
	base  Position
	until time.Duration
}

// mend brings a member that lags towards the owner's position.
func (m *Replica) mend(k *key, to, id string, base Position, theirs antientropy.Sums) {
	if s := k.sending[id]; s != nil && !base.Less(s.at) {
		delete(k.sending, id) // it has the whole of it
	} else if s != nil {
		if m.now-s.moved > s.wait {
			s.wait *= 2
			m.sendSnapshotChunk(k, to, s)
		}
		return
	}
	if last := k.mended[id]; last.base == base && m.now < last.until {
		return
	}
	sent := func(bytes int) {
		k.mended[id] = mended{base, m.now + m.cfg.Beat*time.Duration(bytes)/chunkBytes}
	}
	if base != k.at {
		// First to what is committed, so that the member can show that.
		if k.undo != nil && k.commit.Epoch == k.mine && base.Less(k.commit) && k.commit != k.at {
			changes, ok := k.log.between(base, k.commit)
			rest, whole := k.log.between(k.commit, k.at)
			if ok && whole && weight(changes)+weight(rest) <= chunkBytes {
				c := m.copy(k, base)
				c.Seq, c.Changes = k.commit.Seq, changes
				// The digests are those of the position after; they are compared there.
				c.tells(k.sumsBefore(), m.olderVersions())
				m.send(to, Message{Body: c})
				c = m.copy(k, k.commit)
				c.Changes = rest
				m.send(to, Message{Body: c})
				sent(weight(changes) + weight(rest))
				return
			}
		}
		if changes, ok := k.log.between(base, k.at); ok && weight(changes) <= chunkBytes {
			c := m.copy(k, base)
			c.Changes = changes
			m.send(to, Message{Body: c})
			sent(weight(changes))
			return
		}
	}
	ranges := antientropy.Diff(k.Sums, theirs)
	records := k.Pick(ranges)
	if weight(records) <= chunkBytes {
		c := m.copy(k, base)
		c.Mend, c.Changes = ranges, records
		m.send(to, Message{Body: c})
		sent(weight(records))
		return
	}
	s := &sending{at: k.at, sums: k.Sums, ranges: ranges, wait: m.cfg.Beat}
	for begin, i, n := 0, 0, 0; i < len(records); i++ {
		n += weight(records[i : i+1])
		if last := i == len(records)-1; last || n+weight(records[i+1:i+2]) > chunkBytes {
			s.chunks = append(s.chunks, records[begin:i+1])
			begin, n = i+1, 0
		}
	}
	k.sending[id] = s
	m.sendSnapshotChunk(k, to, s)
}

// sumsBefore are the digests of the key as it stood when it was last committed.
func (k *key) sumsBefore() antientropy.Sums {
	sums := k.Sums
	for name, old := range k.undo {
		i := antientropy.RangeOf(name)
		if r, ok := k.Records[name]; ok {
			sums[i] ^= r.Sum()
		}
		if old != nil {
			sums[i] ^= old.Sum()
		}
	}
	return sums
}

func (m *Replica) sendSnapshotChunk(k *key, to string, s *sending) {
	s.moved = m.now
	m.send(to, Message{Body: &SnapshotChunk{Key: k.name, Epoch: k.mine, Roster: m.keys[RosterKey].at, At: s.at, Sums: s.sums,
		Index: s.next, Count: len(s.chunks), Ranges: s.ranges, Records: s.chunks[s.next]}})
}

// taking is a snapshot that a member has in part.
type taking struct {
	at      Position
	next    int
	records []Record
}

func (m *Replica) onSnapshotChunk(from string, c *SnapshotChunk) {
	k := m.key(c.Key)
	if reply := m.refuses(k, c.Epoch, c.Roster); reply != nil {
		m.send(from, Message{Body: reply})
		return
	}
	m.follow(k, c.Epoch)
	if k.taking == nil || k.taking.at != c.At {
		k.taking = &taking{at: c.At}
	}
	t := k.taking
	if c.Index == t.next {
		t.next++
		t.records = append(t.records, c.Records...)
	}
	if t.next < c.Count {
		m.send(from, Message{Body: &SnapshotAck{c.Key, c.Epoch, c.At, t.next}})
		return
	}
	k.taking = nil
	// The rest of the key must be as the owner took it to be, or the whole isn't what
	// stood at that position.
	sums := k.Sums
	for _, i := range c.Ranges {
		sums[i] = 0
	}
	for _, r := range t.records {
		sums[antientropy.RangeOf(r.Name)] ^= r.Sum()
	}
	reply := &AppendAck{Key: c.Key, Epoch: c.Epoch}
	if sums == c.Sums && !c.At.Less(k.at) {
		entries := m.replace(k, c.Ranges, t.records)
		k.at = c.At
		m.write(append(entries, k.meta()), nil)
		reply.OK = true
	}
	sums = k.Sums
	reply.Sums = &sums
	m.reply(k, from, reply)
}

func (m *Replica) onSnapshotAck(from, id string, c *SnapshotAck) {
	k := m.key(c.Key)
	s := k.sending[id]
	if k.role != owns || c.Epoch != k.mine || s == nil || s.at != c.At {
		return
	}
	k.seen[id] = m.now
	if c.Next > s.next && c.Next < len(s.chunks) {
		s.next = c.Next
		m.sendSnapshotChunk(k, from, s)
	} else if c.Next < s.next {
		delete(k.sending, id) // it has begun a new life
	}
}
