package replication

// This file holds how a member that lags behind catches up: by the log entries that it is
// missing, as long as the owner still has them, or else by a snapshot of the ranges whose
// digests differ, sent in chunks of bounded size, and the log entries appended since.

import (
	"sort"
	"time"

	"madderwing/internal/antientropy"
)

const (
	maxChunkBytes = 256 << 10 // bytes of records in one message, unless a single record is larger
	maxLogBytes   = 4 << 20   // bytes of log entries kept for members that lag
	maxLogEntries = 1024
)

// entryLog holds the newest log entries of a partition. Each entry begins at the position where the
// one before it ended.
type entryLog struct {
	entries []logEntry
	bytes   int
}

type logEntry struct {
	base, to Position
	changes  []Record
	bytes    int
}

// recordBytes estimates the size of records in a message.
func recordBytes(records []Record) (bytes int) {
	for _, r := range records {
		bytes += len(r.Name) + len(r.Data) + 24
	}
	return bytes
}

func (l *entryLog) add(base, to Position, changes []Record) {
	if count := len(l.entries); count > 0 && l.entries[count-1].to != base {
		*l = entryLog{}
	}
	entry := logEntry{base, to, changes, recordBytes(changes)}
	l.entries, l.bytes = append(l.entries, entry), l.bytes+entry.bytes
	for len(l.entries) > 1 && (l.bytes > maxLogBytes || len(l.entries) > maxLogEntries) {
		l.bytes -= l.entries[0].bytes
		l.entries = l.entries[1:]
	}
}

// between returns the changes from one position to another, with the newest version of each
// record, sorted by name. ok is false if the log does not hold both positions.
func (l *entryLog) between(from, to Position) (changes []Record, ok bool) {
	i := sort.Search(len(l.entries), func(i int) bool { return !l.entries[i].base.Less(from) })
	if i == len(l.entries) || l.entries[i].base != from {
		return nil, false
	}
	newest := map[string]Record{}
	for ; i < len(l.entries) && !to.Less(l.entries[i].to); i++ {
		for _, r := range l.entries[i].changes {
			newest[r.Name] = r
		}
		ok = ok || l.entries[i].to == to
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

// outgoingSnapshot is a snapshot that is being sent to a member.
type outgoingSnapshot struct {
	position  Position
	sums      antientropy.Sums
	ranges    []int
	chunks    [][]Record
	nextChunk int
	sentAt    time.Duration // when a chunk was last sent
	// resendAfter is the silence after which the chunk is sent again. It doubles each time, for links on
	// which a chunk takes long.
	resendAfter time.Duration
}

// catchUpSent describes the changes last sent to a lagging member: the position that they
// started from, and until when they may still be in transit. One heartbeat interval is allowed
// for maxChunkBytes.
type catchUpSent struct {
	base  Position
	until time.Duration
}

// catchUp sends a lagging member what it is missing up to the owner's position. theirs are the
// digests of its copy.
func (m *Replica) catchUp(part *partition, to, id string, base Position, theirs antientropy.Sums) {
	if snapshot := part.outgoing[id]; snapshot != nil && !base.Less(snapshot.position) {
		delete(part.outgoing, id) // the member has received the whole snapshot
	} else if snapshot != nil {
		if m.now-snapshot.sentAt > snapshot.resendAfter {
			snapshot.resendAfter *= 2
			m.sendSnapshotChunk(part, to, snapshot)
		}
		return
	}
	if sent := part.lastCatchUp[id]; sent.base == base && m.now < sent.until {
		return
	}
	noteSent := func(bytes int) {
		part.lastCatchUp[id] = catchUpSent{base, m.now + m.cfg.HeartbeatInterval*time.Duration(bytes)/maxChunkBytes}
	}
	if base != part.position {
		// Send the committed part first, in a message of its own, so that the member can show
		// it to readers.
		if part.undo != nil && part.commit.Epoch == part.ownEpoch && base.Less(part.commit) && part.commit != part.position {
			changes, ok := part.log.between(base, part.commit)
			rest, restOK := part.log.between(part.commit, part.position)
			if ok && restOK && recordBytes(changes)+recordBytes(rest) <= maxChunkBytes {
				msg := m.newAppend(part, base)
				msg.Seq, msg.Changes = part.commit.Seq, changes
				// The digest has to be that of the committed position, which the member reaches
				// first.
				msg.setDigest(part.committedSums(), m.olderVersions())
				m.send(to, Message{Body: msg})
				msg = m.newAppend(part, part.commit)
				msg.Changes = rest
				m.send(to, Message{Body: msg})
				noteSent(recordBytes(changes) + recordBytes(rest))
				return
			}
		}
		if changes, ok := part.log.between(base, part.position); ok && recordBytes(changes) <= maxChunkBytes {
			msg := m.newAppend(part, base)
			msg.Changes = changes
			m.send(to, Message{Body: msg})
			noteSent(recordBytes(changes))
			return
		}
	}
	ranges := antientropy.Diff(part.Sums, theirs)
	records := part.Pick(ranges)
	if recordBytes(records) <= maxChunkBytes {
		msg := m.newAppend(part, base)
		msg.ReplaceRanges, msg.Changes = ranges, records
		m.send(to, Message{Body: msg})
		noteSent(recordBytes(records))
		return
	}
	snapshot := &outgoingSnapshot{position: part.position, sums: part.Sums, ranges: ranges, resendAfter: m.cfg.HeartbeatInterval}
	for begin, i, bytes := 0, 0, 0; i < len(records); i++ {
		bytes += recordBytes(records[i : i+1])
		if last := i == len(records)-1; last || bytes+recordBytes(records[i+1:i+2]) > maxChunkBytes {
			snapshot.chunks = append(snapshot.chunks, records[begin:i+1])
			begin, bytes = i+1, 0
		}
	}
	part.outgoing[id] = snapshot
	m.sendSnapshotChunk(part, to, snapshot)
}

// committedSums returns the digests of the partition's records at the last committed position.
func (part *partition) committedSums() antientropy.Sums {
	sums := part.Sums
	for name, old := range part.undo {
		i := antientropy.RangeOf(name)
		if r, ok := part.Records[name]; ok {
			sums[i] ^= r.Sum()
		}
		if old != nil {
			sums[i] ^= old.Sum()
		}
	}
	return sums
}

func (m *Replica) sendSnapshotChunk(part *partition, to string, s *outgoingSnapshot) {
	s.sentAt = m.now
	m.send(to, Message{Body: &SnapshotChunk{Partition: part.name, Epoch: part.ownEpoch, VoterSet: m.partitions[VoterSetPartition].position, At: s.position, Sums: s.sums,
		Index: s.nextChunk, Count: len(s.chunks), Ranges: s.ranges, Records: s.chunks[s.nextChunk]}})
}

// incomingSnapshot is a snapshot that this member has received in part.
type incomingSnapshot struct {
	position  Position
	nextChunk int
	records   []Record
}

func (m *Replica) onSnapshotChunk(from string, chunk *SnapshotChunk) {
	part := m.partition(chunk.Partition)
	if reply := m.rejection(part, chunk.Epoch, chunk.VoterSet); reply != nil {
		m.send(from, Message{Body: reply})
		return
	}
	m.followOwner(part, chunk.Epoch)
	if part.incoming == nil || part.incoming.position != chunk.At {
		part.incoming = &incomingSnapshot{position: chunk.At}
	}
	snapshot := part.incoming
	if chunk.Index == snapshot.nextChunk {
		snapshot.nextChunk++
		snapshot.records = append(snapshot.records, chunk.Records...)
	}
	if snapshot.nextChunk < chunk.Count {
		m.send(from, Message{Body: &SnapshotAck{chunk.Partition, chunk.Epoch, chunk.At, snapshot.nextChunk}})
		return
	}
	part.incoming = nil
	// The ranges outside the snapshot must have the digests that the owner expects; otherwise
	// the result would not be the state at the snapshot's position.
	sums := part.Sums
	for _, i := range chunk.Ranges {
		sums[i] = 0
	}
	for _, r := range snapshot.records {
		sums[antientropy.RangeOf(r.Name)] ^= r.Sum()
	}
	reply := &AppendAck{Partition: chunk.Partition, Epoch: chunk.Epoch}
	if sums == chunk.Sums && !chunk.At.Less(part.position) {
		entries := m.replace(part, chunk.Ranges, snapshot.records)
		part.position = chunk.At
		m.write(append(entries, part.meta()), nil)
		reply.OK = true
	}
	sums = part.Sums
	reply.Sums = &sums
	m.replyWhenDurable(part, from, reply)
}

func (m *Replica) onSnapshotAck(from, id string, ack *SnapshotAck) {
	part := m.partition(ack.Partition)
	s := part.outgoing[id]
	if part.role != roleOwner || ack.Epoch != part.ownEpoch || s == nil || s.position != ack.At {
		return
	}
	part.ackedAt[id] = m.now
	if ack.Next > s.nextChunk && ack.Next < len(s.chunks) {
		s.nextChunk = ack.Next
		m.sendSnapshotChunk(part, from, s)
	} else if ack.Next < s.nextChunk {
		delete(part.outgoing, id) // the member has restarted and needs the snapshot from the beginning
	}
}
