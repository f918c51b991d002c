package replication

// This file holds how a member's state is stored on disk.

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
	"madderwing/internal/storage"
)

type storageEntry = storage.Entry

// Write is a batch of entries that the driver has to make durable, in the order of the IDs.
type Write struct {
	ID      uint64
	Entries []storage.Entry
}

// metaValue is the stored state of a partition besides its records.
type metaValue struct {
	Promised Epoch    `cbor:"1,keyasint"`
	At       Position `cbor:"2,keyasint"`
	Commit   Position `cbor:"3,keyasint"`
}

// nodeValue is the stored state of the member itself.
type nodeValue struct {
	Voting       bool   `cbor:"1,keyasint"` // read by versions without identities
	Bootstrapped bool   `cbor:"2,keyasint"`
	Identity     uint64 `cbor:"3,keyasint,omitempty"`
	// FirstSeeds are the seeds of the system's first start. They are stored until the member
	// has a voter set.
	FirstSeeds []string `cbor:"4,keyasint,omitempty"`
}

const (
	nodeEntryKey = "node"
	metaPrefix   = "meta/"
	recordPrefix = "record/"
)

type storedRecord struct {
	Partition string `cbor:"1,keyasint"`
	Record    Record `cbor:"2,keyasint"`
}

// write asks the driver to make entries durable, and calls then once they are.
func (m *Replica) write(entries []storage.Entry, then func()) {
	m.lastWrite++
	if m.firstPending == m.lastWrite {
		m.pendingSince = m.now
	}
	m.effects.Writes = append(m.effects.Writes, Write{m.lastWrite, entries})
	if then != nil {
		m.onDurable[m.lastWrite] = append(m.onDurable[m.lastWrite], then)
	}
}

// whenDurable calls then once all writes requested so far are durable.
func (m *Replica) whenDurable(then func()) {
	if m.firstPending > m.lastWrite {
		then()
		return
	}
	m.onDurable[m.lastWrite] = append(m.onDurable[m.lastWrite], then)
}

// Durable reports that all writes up to id are durable.
func (m *Replica) Durable(now time.Duration, id uint64) {
	m.now = now
	for ; m.firstPending <= id; m.firstPending++ {
		callbacks := m.onDurable[m.firstPending]
		delete(m.onDurable, m.firstPending)
		m.pendingSince = now
		for _, then := range callbacks {
			then()
		}
	}
}

// WriteFailed reports that a write failed. The whole state is written again until that succeeds;
// messages that depend on it are sent only then.
func (m *Replica) WriteFailed(now time.Duration) {
	m.now = now
	m.effects.Rewrite = true
}

// Snapshot returns the member's whole state as entries, and the ID of the last write that it
// includes.
func (m *Replica) Snapshot() (entries []storage.Entry, upTo uint64) {
	entries = append(entries, m.nodeEntry())
	for _, name := range m.names {
		part := m.partitions[name]
		entries = append(entries, part.meta())
		for _, r := range part.Pick(allRanges) {
			entries = append(entries, part.entry(r))
		}
	}
	return entries, m.lastWrite
}

var allRanges = antientropy.AllRanges()

func marshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (m *Replica) nodeEntry() storage.Entry {
	v := nodeValue{Voting: true, Bootstrapped: m.bootstrapped, Identity: m.identity}
	if m.mayBootstrap() {
		v.FirstSeeds = m.firstSeeds
	}
	return storage.Entry{Key: nodeEntryKey, Value: marshal(v)}
}

func (part *partition) meta() storage.Entry {
	return storage.Entry{Key: metaPrefix + part.name, Value: marshal(metaValue{part.promised, part.position, part.commit})}
}

func (part *partition) entry(r Record) storage.Entry {
	e := storage.Entry{Key: recordPrefix + part.name + "/" + r.Name}
	if !r.Erased {
		e.Value = marshal(storedRecord{part.name, r})
	}
	return e
}

// apply applies the changes of a log entry to the partition's records, keeps the old versions in
// undo, and returns the entries to store.
func (m *Replica) apply(part *partition, changes []Record) []storage.Entry {
	if part.undo == nil && part.commit == part.position {
		part.undo = map[string]*Record{}
	}
	var out []storage.Entry
	for _, r := range changes {
		if part.undo != nil {
			if _, noted := part.undo[r.Name]; !noted {
				if old, ok := part.Records[r.Name]; ok {
					part.undo[r.Name] = &old
				} else {
					part.undo[r.Name] = nil
				}
			}
		}
		part.Put(r)
		out = append(out, part.entry(r))
	}
	m.invalidateCaches(part)
	return out
}

// replace makes the given ranges hold exactly the given records, and returns the entries to
// store.
func (m *Replica) replace(part *partition, ranges []int, records []Record) []storage.Entry {
	part.undo, part.log = nil, entryLog{}
	var out []storage.Entry
	keep := map[string]bool{}
	for _, r := range records {
		keep[r.Name] = true
	}
	for _, r := range part.Pick(ranges) {
		if !keep[r.Name] {
			part.Remove(r.Name)
			out = append(out, storage.Entry{Key: recordPrefix + part.name + "/" + r.Name})
		}
	}
	for _, r := range records {
		part.Put(r)
		out = append(out, part.entry(r))
	}
	m.invalidateCaches(part)
	return out
}

// invalidateCaches drops what was computed from a partition's records.
func (m *Replica) invalidateCaches(part *partition) {
	if part.name == VoterSetPartition {
		m.cachedVoterSet = nil
	}
}
