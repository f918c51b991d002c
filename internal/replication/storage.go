package replication

// This file holds the form in which a member stands on its disk.

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
	"madderwing/internal/storage"
)

type ledgerEntry = storage.Entry

// Write is a batch that the driver has to make durable, in order.
type Write struct {
	ID      uint64
	Entries []storage.Entry
}

type metaValue struct {
	Promised Epoch    `cbor:"1,keyasint"`
	At       Position `cbor:"2,keyasint"`
	Commit   Position `cbor:"3,keyasint"`
}

type nodeValue struct {
	Voting   bool   `cbor:"1,keyasint"` // read by versions before identities
	Founded  bool   `cbor:"2,keyasint"`
	Identity uint64 `cbor:"3,keyasint,omitempty"`
	// FirstSeeds are the seeds of the system's first start, until the member has a roster.
	FirstSeeds []string `cbor:"4,keyasint,omitempty"`
}

const (
	nodeEntry  = "node"
	metaPrefix = "meta/"
	recPrefix  = "record/"
)

type storedRecord struct {
	Key    string `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
}

// write asks for entries to be made durable and calls then when they are.
func (m *Replica) write(entries []storage.Entry, then func()) {
	m.nextWrite++
	if m.firstOpen == m.nextWrite {
		m.openSince = m.now
	}
	m.fx.Writes = append(m.fx.Writes, Write{m.nextWrite, entries})
	if then != nil {
		m.after[m.nextWrite] = append(m.after[m.nextWrite], then)
	}
}

// settled calls then once everything that was asked for so far is durable.
func (m *Replica) settled(then func()) {
	if m.firstOpen > m.nextWrite {
		then()
		return
	}
	m.after[m.nextWrite] = append(m.after[m.nextWrite], then)
}

// Durable tells that all writes up to id are on disk.
func (m *Replica) Durable(now time.Duration, id uint64) {
	m.now = now
	for ; m.firstOpen <= id; m.firstOpen++ {
		thens := m.after[m.firstOpen]
		delete(m.after, m.firstOpen)
		m.openSince = now
		for _, then := range thens {
			then()
		}
	}
}

// Failed tells that the disk refused a write; the whole state is written again
// until that succeeds, and nothing is answered before.
func (m *Replica) Failed(now time.Duration) {
	m.now = now
	m.fx.Rewrite = true
}

// Snapshot is the member's whole state as entries.
func (m *Replica) Snapshot() (entries []storage.Entry, upTo uint64) {
	entries = append(entries, m.nodeEntry())
	for _, name := range m.names {
		k := m.keys[name]
		entries = append(entries, k.meta())
		for _, r := range k.Pick(allRanges) {
			entries = append(entries, k.entry(r))
		}
	}
	return entries, m.nextWrite
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
	v := nodeValue{Voting: true, Founded: m.founded, Identity: m.identity}
	if m.mayFound() {
		v.FirstSeeds = m.firstSeeds
	}
	return storage.Entry{Key: nodeEntry, Value: marshal(v)}
}

func (k *key) meta() storage.Entry {
	return storage.Entry{Key: metaPrefix + k.name, Value: marshal(metaValue{k.promised, k.at, k.commit})}
}

func (k *key) entry(r Record) storage.Entry {
	e := storage.Entry{Key: recPrefix + k.name + "/" + r.Name}
	if !r.Erased {
		e.Value = marshal(storedRecord{k.name, r})
	}
	return e
}

// apply takes in the changes of a step from where the key stands, notes what they
// undo, and returns the entries for the disk.
func (m *Replica) apply(k *key, changes []Record) []storage.Entry {
	if k.undo == nil && k.commit == k.at {
		k.undo = map[string]*Record{}
	}
	var out []storage.Entry
	for _, r := range changes {
		if k.undo != nil {
			if _, noted := k.undo[r.Name]; !noted {
				if old, ok := k.Records[r.Name]; ok {
					k.undo[r.Name] = &old
				} else {
					k.undo[r.Name] = nil
				}
			}
		}
		k.Put(r)
		out = append(out, k.entry(r))
	}
	m.touched(k)
	return out
}

// replace makes the named ranges hold just the given records.
func (m *Replica) replace(k *key, ranges []int, records []Record) []storage.Entry {
	k.undo, k.log = nil, stepLog{}
	var out []storage.Entry
	keep := map[string]bool{}
	for _, r := range records {
		keep[r.Name] = true
	}
	for _, r := range k.Pick(ranges) {
		if !keep[r.Name] {
			k.Remove(r.Name)
			out = append(out, storage.Entry{Key: recPrefix + k.name + "/" + r.Name})
		}
	}
	for _, r := range records {
		k.Put(r)
		out = append(out, k.entry(r))
	}
	m.touched(k)
	return out
}

// touched forgets what was worked out from a key's records.
func (m *Replica) touched(k *key) {
	if k.name == RosterKey {
		m.cached = nil
	}
}
