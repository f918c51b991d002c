// Package replication keeps the control state: a set of keys, each a set of records
// that are validated together. Every key has one owner at a time, which copies
// a change to others before it answers and is replaced under a rising epoch.
// There is no log that the keys have in common and no leader for all of them.
//
// Replica is the state machine of one node. It does no input or output and reads
// no clock: a driver hands it messages, time and finished writes, and carries
// out what it asks for. The tests drive many of them through a simulated world.
package replication

import (
	"errors"
	"time"

	"madderwing/internal/antientropy"
)

// Record is one entry under a key.
type Record = antientropy.Record

// RosterKey is the key that names the members; its records are their addresses.
const RosterKey = "roster"

// Epoch is one ownership of a key. No two processes ever use the same one.
type Epoch struct {
	N     uint64 `cbor:"1,keyasint,omitempty"`
	Owner string `cbor:"2,keyasint,omitempty"`
	Life  uint64 `cbor:"3,keyasint,omitempty"`
}

// Less orders epochs.
func (e Epoch) Less(o Epoch) bool {
	if e.N != o.N {
		return e.N < o.N
	}
	if e.Owner != o.Owner {
		return e.Owner < o.Owner
	}
	return e.Life < o.Life
}

// Position is a point in a key's history.
type Position struct {
	Epoch Epoch  `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint,omitempty"`
}

// Less orders positions.
func (p Position) Less(o Position) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch.Less(o.Epoch)
	}
	return p.Seq < o.Seq
}

// VoteRequest requests the promise to follow no older epoch. A pre-vote asks only whether the
// promise would be given, and changes nothing.
type VoteRequest struct {
	Key     string   `cbor:"1,keyasint"`
	Epoch   Epoch    `cbor:"2,keyasint"`
	Roster  Position `cbor:"3,keyasint"`
	At      Position `cbor:"4,keyasint"` // the asker's copy
	PreVote bool     `cbor:"5,keyasint,omitempty"`
}

// Vote answers VoteRequest. It is given only to an asker whose copy is as new as the
// member's own, so whoever has a majority of them holds all that was committed.
type Vote struct {
	Key      string   `cbor:"1,keyasint"`
	Epoch    Epoch    `cbor:"2,keyasint"`
	OK       bool     `cbor:"3,keyasint,omitempty"`
	Promised Epoch    `cbor:"4,keyasint"`
	At       Position `cbor:"5,keyasint"`
	Outdated *Holding `cbor:"9,keyasint,omitempty"` // the newer roster, if the asker's is older
	// Quiet is for how long the member has confirmed no other epoch, if it must be
	// known how old copies are.
	Quiet   time.Duration    `cbor:"8,keyasint,omitempty"`
	PreVote bool             `cbor:"10,keyasint,omitempty"`
	Sums    antientropy.Sums `cbor:"11,keyasint"` // of the member's copy
}

// Append brings a member from one position to the next. Without Changes and
// Mend it is what members of protocol 0 know for a heartbeat. A mending copy replaces whole ranges.
type Append struct {
	Key     string   `cbor:"1,keyasint"`
	Epoch   Epoch    `cbor:"2,keyasint"`
	Base    Position `cbor:"3,keyasint"`
	Seq     uint64   `cbor:"4,keyasint,omitempty"`
	Commit  uint64   `cbor:"5,keyasint,omitempty"`
	Round   uint64   `cbor:"6,keyasint,omitempty"`
	Roster  Position `cbor:"7,keyasint"`
	Changes []Record `cbor:"8,keyasint,omitempty"`
	Mend    []int    `cbor:"9,keyasint,omitempty"`
	// Sum is the digest of all that the member then holds (antientropy.Sums.Fold). Members
	// of a version before it send and read the digests by range, Sums.
	Sums *antientropy.Sums `cbor:"10,keyasint,omitempty"`
	Sure *Sure             `cbor:"11,keyasint,omitempty"`
	Sum  uint64            `cbor:"12,keyasint,omitempty"`
}

// tells puts the digest of what the member then holds into a copy.
func (c *Append) tells(s antientropy.Sums, older bool) {
	c.Sum, c.Sums = s.Fold(), nil
	if older {
		c.Sums = &s
	}
}

// fits says whether digests are those that a copy tells.
func (c *Append) fits(s antientropy.Sums) bool {
	if c.Sum == 0 && c.Sums != nil {
		return *c.Sums == s
	}
	return c.Sum == s.Fold()
}

// Sure tells a member how long ago the owner knew that no other had taken its
// place. It is told in durations: the member's own mark comes back with the time
// for which the owner held it, so the member can date the word by its own clock
// however long the message was on its way.
type Sure struct {
	Life uint64        `cbor:"1,keyasint"` // of the process that set the mark
	Mark time.Duration `cbor:"2,keyasint"`
	Held time.Duration `cbor:"3,keyasint"`
	Age  time.Duration `cbor:"4,keyasint"`
}

// AppendAck answers Append. If the member lags, Sums tell what it holds.
type AppendAck struct {
	Key      string            `cbor:"1,keyasint"`
	Epoch    Epoch             `cbor:"2,keyasint"`
	OK       bool              `cbor:"3,keyasint,omitempty"`
	Promised Epoch             `cbor:"4,keyasint"`
	At       Position          `cbor:"5,keyasint"`
	Round    uint64            `cbor:"6,keyasint,omitempty"`
	Sums     *antientropy.Sums `cbor:"7,keyasint,omitempty"`
	Mark     time.Duration     `cbor:"8,keyasint,omitempty"` // the member's clock, where it wants a Sure
	Outdated *Holding          `cbor:"9,keyasint,omitempty"` // the newer roster, if the owner's is older
}

// SnapshotChunk is a part of a snapshot: the records of some ranges as they stood at a
// position. Once the member has all chunks of it, what it holds has the digests Sums.
type SnapshotChunk struct {
	Key     string           `cbor:"1,keyasint"`
	Epoch   Epoch            `cbor:"2,keyasint"`
	Roster  Position         `cbor:"3,keyasint"`
	At      Position         `cbor:"4,keyasint"`
	Sums    antientropy.Sums `cbor:"5,keyasint"`
	Index   int              `cbor:"6,keyasint,omitempty"`
	Count   int              `cbor:"7,keyasint"`
	Ranges  []int            `cbor:"8,keyasint,omitempty"` // of the whole snapshot
	Records []Record         `cbor:"9,keyasint,omitempty"`
}

// SnapshotAck asks for the next chunk of a snapshot.
type SnapshotAck struct {
	Key   string   `cbor:"1,keyasint"`
	Epoch Epoch    `cbor:"2,keyasint"`
	At    Position `cbor:"3,keyasint"`
	Next  int      `cbor:"4,keyasint,omitempty"`
}

// StateQuery asks a member where its copies stand on its disk.
type StateQuery struct {
	Round   uint64   `cbor:"1,keyasint"`
	Leaving bool     `cbor:"2,keyasint,omitempty"` // the sender is about to go
	Roster  Position `cbor:"3,keyasint"`           // that the sender has taken
}

// StateReport answers StateQuery: the roster that the member has taken, below which it
// accepts nothing any more, and where each key stood then.
type StateReport struct {
	Round  uint64   `cbor:"1,keyasint"`
	Roster Position `cbor:"2,keyasint"`
	Keys   []Stand  `cbor:"3,keyasint,omitempty"`
	// Outdated is a newer roster, committed, for a sender that leaves: nobody copies to
	// it once its seat has gone.
	Outdated *Holding `cbor:"4,keyasint,omitempty"`
}

// Stand is where a member's copy of a key stands.
type Stand struct {
	Key      string   `cbor:"1,keyasint"`
	Promised Epoch    `cbor:"2,keyasint"`
	At       Position `cbor:"3,keyasint"`
}

// Holding is a copy of a key at a position.
type Holding struct {
	At      Position `cbor:"3,keyasint"`
	Records []Record `cbor:"4,keyasint,omitempty"`
}

// Found proposes the founding roster; without Records it only asks who is there.
type Found struct {
	At      Position `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

// Founded says that the founding roster is on the sender's disk, or, at the zero
// position, that the sender is there and has none.
type Founded struct {
	At Position `cbor:"1,keyasint"`
	// Relay says that the sender has no disk and can be no member. Appointed is the
	// member that founds alone if all seeds are such; empty if it isn't known here.
	Relay     bool   `cbor:"2,keyasint,omitempty"`
	Appointed string `cbor:"3,keyasint,omitempty"`
	// Passive says that the sender may not propose: its disk tells of no first start.
	Passive bool `cbor:"4,keyasint,omitempty"`
}

// Transfer tells a member to take a key over at once.
type Transfer struct {
	Key string `cbor:"1,keyasint"`
}

// Probe asks, after a start, which keys have an owner.
type Probe struct{}

// ProbeAck names the keys that the sender knows to have one. It is no promise;
// it only spares the wait for an owner that is not there.
type ProbeAck struct {
	Owned []string `cbor:"1,keyasint,omitempty"`
}

// Join says that the sender has no seat: owners copy to it as a learner, and the
// owner of the roster gives it a seat once it holds all that is committed.
type Join struct{}

// Envelope is a message to one member.
type Envelope struct {
	To  string
	Msg Message
}

// The outcomes of a proposal or a read that did not succeed.
var (
	ErrNotOwner = errors.New("not the owner of the key")
	ErrNoQuorum = errors.New("no quorum")
	ErrUnknown  = errors.New("no such member")
	ErrTooFew   = errors.New("too few members would be left")
	ErrAlive    = errors.New("the member is at work; stop it first")
)
