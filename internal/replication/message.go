// Package replication replicates the state of the control nodes: a set of partitions, each of which
// is a set of records that are validated together. A partition corresponds to a Raft group: it has
// one owner (its leader) at a time, elected under a rising epoch, which replicates each change to
// other members before it answers. There is no log common to all partitions and no leader for all
// of them.
//
// A member is one control node's replica. Members in the voter set (voters) vote; the others
// are learners, which only receive copies. A member's RunID identifies its process run, and its
// identity includes that of its disk.
//
// Replica is the state machine of one member. It does no I/O and reads no clock: a driver
// passes it messages, the time and completed writes, and carries out the effects that it asks
// for. The tests run many replicas in a simulated network.
package replication

import (
	"errors"
	"time"

	"madderwing/internal/antientropy"
)

// Record is one entry of a partition.
type Record = antientropy.Record

// VoterSetPartition is the partition of the voter set; the names of its records are the identities of the
// voters.
const VoterSetPartition = "roster"

// Epoch identifies one ownership of a partition, as a term does in Raft. No two processes ever use
// the same one.
type Epoch struct {
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Owner  string `cbor:"2,keyasint,omitempty"`
	RunID  uint64 `cbor:"3,keyasint,omitempty"`
}

func (e Epoch) Less(o Epoch) bool {
	if e.Number != o.Number {
		return e.Number < o.Number
	}
	if e.Owner != o.Owner {
		return e.Owner < o.Owner
	}
	return e.RunID < o.RunID
}

// Position is a position in a partition's log.
type Position struct {
	Epoch Epoch  `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint,omitempty"`
}

func (p Position) Less(o Position) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch.Less(o.Epoch)
	}
	return p.Seq < o.Seq
}

// VoteRequest asks a member to vote for the sender and to promise to follow no older epoch. A
// pre-vote only asks whether the vote would be granted, and changes nothing.
type VoteRequest struct {
	Partition string   `cbor:"1,keyasint"`
	Epoch     Epoch    `cbor:"2,keyasint"`
	VoterSet  Position `cbor:"3,keyasint"`
	At        Position `cbor:"4,keyasint"` // position of the candidate's copy
	PreVote   bool     `cbor:"5,keyasint,omitempty"`
}

// Vote answers VoteRequest. It is granted only to a candidate whose copy is at least as new as
// the member's own, so a candidate with a majority of votes holds everything that was
// committed.
type Vote struct {
	Partition string         `cbor:"1,keyasint"`
	Epoch     Epoch          `cbor:"2,keyasint"`
	Granted   bool           `cbor:"3,keyasint,omitempty"`
	Promised  Epoch          `cbor:"4,keyasint"`
	At        Position       `cbor:"5,keyasint"`
	Outdated  *PartitionCopy `cbor:"9,keyasint,omitempty"` // the newer voter set, if the candidate's is older
	// SinceConfirmed is how long ago the member last confirmed another epoch. It is set for partitions whose
	// members must know how fresh their copies are.
	SinceConfirmed time.Duration    `cbor:"8,keyasint,omitempty"`
	PreVote        bool             `cbor:"10,keyasint,omitempty"`
	Sums           antientropy.Sums `cbor:"11,keyasint"` // digests of the member's copy
}

// Append brings a member from the position Base to the position Seq of Epoch. Without Changes
// and ReplaceRanges it serves members of protocol 0 as a heartbeat. With ReplaceRanges, it replaces the whole
// ranges listed there by Changes.
type Append struct {
	Partition     string   `cbor:"1,keyasint"`
	Epoch         Epoch    `cbor:"2,keyasint"`
	Base          Position `cbor:"3,keyasint"`
	Seq           uint64   `cbor:"4,keyasint,omitempty"`
	Commit        uint64   `cbor:"5,keyasint,omitempty"`
	Round         uint64   `cbor:"6,keyasint,omitempty"`
	VoterSet      Position `cbor:"7,keyasint"`
	Changes       []Record `cbor:"8,keyasint,omitempty"`
	ReplaceRanges []int    `cbor:"9,keyasint,omitempty"`
	// Sum is the digest of all records at the new position (antientropy.Sums.Fold). Members of
	// versions without it send and read the digests by range, Sums.
	Sums      *antientropy.Sums `cbor:"10,keyasint,omitempty"`
	Freshness *Freshness        `cbor:"11,keyasint,omitempty"`
	Sum       uint64            `cbor:"12,keyasint,omitempty"`
}

// setDigest sets the digest of the records at the new position; withSums adds the digests by
// range for members of older versions.
func (a *Append) setDigest(sums antientropy.Sums, withSums bool) {
	a.Sum, a.Sums = sums.Fold(), nil
	if withSums {
		a.Sums = &sums
	}
}

// matchesDigest reports whether a copy with these digests is the one that the message
// describes.
func (a *Append) matchesDigest(sums antientropy.Sums) bool {
	if a.Sum == 0 && a.Sums != nil {
		return *a.Sums == sums
	}
	return a.Sum == sums.Fold()
}

// Freshness tells a member how long ago the owner's ownership was last confirmed, and thus how old the
// member's copy may be. The owner echoes the member's own clock reading, with the time since it
// arrived, so the member can date the confirmation by its own clock, however long the message was
// in transit.
type Freshness struct {
	RunID   uint64        `cbor:"1,keyasint"` // process run that read the clock (Message.RunID)
	Clock   time.Duration `cbor:"2,keyasint"` // the reading that is echoed
	HeldFor time.Duration `cbor:"3,keyasint"` // from its arrival at the owner until this message was sent
	Age     time.Duration `cbor:"4,keyasint"` // time since the ownership was last confirmed
}

// AppendAck answers Append. If the member lags behind, Sums are the digests of what it holds.
type AppendAck struct {
	Partition string            `cbor:"1,keyasint"`
	Epoch     Epoch             `cbor:"2,keyasint"`
	OK        bool              `cbor:"3,keyasint,omitempty"`
	Promised  Epoch             `cbor:"4,keyasint"`
	At        Position          `cbor:"5,keyasint"`
	Round     uint64            `cbor:"6,keyasint,omitempty"`
	Sums      *antientropy.Sums `cbor:"7,keyasint,omitempty"`
	// Clock is the member's clock reading, set if it needs a Freshness for this partition.
	Clock    time.Duration  `cbor:"8,keyasint,omitempty"`
	Outdated *PartitionCopy `cbor:"9,keyasint,omitempty"` // the newer voter set, if the owner's is older
}

// SnapshotChunk is a part of a snapshot: the records of some ranges at a position. A member
// that has applied all chunks has the digests Sums.
type SnapshotChunk struct {
	Partition string           `cbor:"1,keyasint"`
	Epoch     Epoch            `cbor:"2,keyasint"`
	VoterSet  Position         `cbor:"3,keyasint"`
	At        Position         `cbor:"4,keyasint"`
	Sums      antientropy.Sums `cbor:"5,keyasint"`
	Index     int              `cbor:"6,keyasint,omitempty"`
	Count     int              `cbor:"7,keyasint"`
	Ranges    []int            `cbor:"8,keyasint,omitempty"` // all ranges of the snapshot
	Records   []Record         `cbor:"9,keyasint,omitempty"`
}

// SnapshotAck asks for the next chunk of a snapshot.
type SnapshotAck struct {
	Partition string   `cbor:"1,keyasint"`
	Epoch     Epoch    `cbor:"2,keyasint"`
	At        Position `cbor:"3,keyasint"`
	Next      int      `cbor:"4,keyasint,omitempty"`
}

// StateQuery asks a member for the durable positions of its copies.
type StateQuery struct {
	Round    uint64   `cbor:"1,keyasint"`
	Leaving  bool     `cbor:"2,keyasint,omitempty"` // the sender is about to leave
	VoterSet Position `cbor:"3,keyasint"`           // the sender's voter set
}

// StateReport answers StateQuery: the member's voter set, below which it no longer accepts
// anything, and the positions of its copies under it.
type StateReport struct {
	Round     uint64              `cbor:"1,keyasint"`
	VoterSet  Position            `cbor:"2,keyasint"`
	Positions []PartitionPosition `cbor:"3,keyasint,omitempty"`
	// Outdated is a newer, committed voter set for a sender that is leaving: nothing is replicated
	// to it any more once it has been removed from the voter set.
	Outdated *PartitionCopy `cbor:"4,keyasint,omitempty"`
}

// PartitionPosition is the position of a member's copy of a partition and the newest epoch that it has promised
// to follow.
type PartitionPosition struct {
	Partition string   `cbor:"1,keyasint"`
	Promised  Epoch    `cbor:"2,keyasint"`
	At        Position `cbor:"3,keyasint"`
}

// PartitionCopy is a copy of a partition at a position.
type PartitionCopy struct {
	At      Position `cbor:"3,keyasint"`
	Records []Record `cbor:"4,keyasint,omitempty"`
}

// BootstrapRequest proposes the initial voter set of a new system. Without Records it only asks whether the
// receiver is there.
type BootstrapRequest struct {
	At      Position `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

// BootstrapReply acknowledges that the sender holds the initial voter set durably. At the zero position
// it only says that the sender is there and has no voter set.
type BootstrapReply struct {
	At Position `cbor:"1,keyasint"`
	// Relay says that the sender has no disk and can't be a member. Appointed is the member
	// that it appoints as the only initial member in case all seeds are relays; empty if it
	// isn't known here.
	Relay     bool   `cbor:"2,keyasint,omitempty"`
	Appointed string `cbor:"3,keyasint,omitempty"`
	// MayNotPropose says that the sender may not propose the initial voter set because its disk holds no
	// seeds of a first start.
	MayNotPropose bool `cbor:"4,keyasint,omitempty"`
}

// Transfer asks a member to take over a partition at once.
type Transfer struct {
	Partition string `cbor:"1,keyasint"`
}

// Probe asks, after a start, which partitions have an owner.
type Probe struct{}

// ProbeAck lists the partitions that, as far as the sender knows, have an owner or an election in
// progress. It promises nothing; it only saves a restarted member the wait for owners that don't
// exist.
type ProbeAck struct {
	OwnedPartitions []string `cbor:"1,keyasint,omitempty"`
}

// Join says that the sender is not a voter. Owners replicate to it as a learner, and the owner of
// the voter set makes it a voter once it holds everything that is committed.
type Join struct{}

// Envelope is a message with its receiver's address.
type Envelope struct {
	To  string
	Msg Message
}

// Errors of a proposal or a read.
var (
	ErrNotOwner = errors.New("not the owner of the key")
	ErrNoQuorum = errors.New("no quorum")
	ErrUnknown  = errors.New("the roster has no such member")
	ErrTooFew   = errors.New("too few members would be left")
	ErrAlive    = errors.New("the member is at work; stop it first")
)
