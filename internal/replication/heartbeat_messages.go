package replication

// This file holds the heartbeat messages.

import (
	"hash/fnv"
	"time"
)

// PartitionStatus is an owner's status of one of its partitions. The full epoch consists of the number
// here and the sender's address and process run (Epoch.Owner, Epoch.RunID).
type PartitionStatus struct {
	Partition string `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Seq       uint64 `cbor:"3,keyasint,omitempty"`
	Commit    uint64 `cbor:"4,keyasint,omitempty"`
	Sum       uint64 `cbor:"5,keyasint,omitempty"` // digest of all records
}

// digest is the entry's contribution to the digest of the list.
func (s PartitionStatus) digest() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Partition))
	sum := h.Sum64()
	for _, v := range [...]uint64{s.Epoch, s.Seq, s.Commit, s.Sum} {
		sum = (sum^v)*0x9e3779b97f4a7c15 + 1
		sum ^= sum >> 29
	}
	return sum
}

// PartitionAge is how long ago the ownership of one partition was confirmed, where that differs from
// Heartbeat.Freshness.Age. Negative: it has not been confirmed yet.
type PartitionAge struct {
	Partition string        `cbor:"1,keyasint"`
	Age       time.Duration `cbor:"2,keyasint"`
}

// Heartbeat covers all partitions of an owner once per heartbeat interval or, if it is partial,
// those that it names.
type Heartbeat struct {
	// Round is 0 in a heartbeat that is answered only if a partition deviates or the voter set is outdated.
	Round    uint64   `cbor:"1,keyasint,omitempty"`
	VoterSet Position `cbor:"2,keyasint"`
	Partial  bool     `cbor:"3,keyasint,omitempty"`
	// Base is the list version that Partitions and Removed are relative to; 0: Partitions is the whole list.
	Base       uint64            `cbor:"4,keyasint,omitempty"`
	Version    uint64            `cbor:"5,keyasint,omitempty"`
	Digest     uint64            `cbor:"6,keyasint,omitempty"` // digest of the list at Version
	Partitions []PartitionStatus `cbor:"7,keyasint,omitempty"`
	Removed    []string          `cbor:"8,keyasint,omitempty"` // partitions that the sender no longer owns
	Freshness  *Freshness        `cbor:"9,keyasint,omitempty"`
	Ages       []PartitionAge    `cbor:"10,keyasint,omitempty"`
}

// HeartbeatAck answers a Heartbeat. It confirms the epochs of all partitions that the heartbeat
// covered, except those in Deviations, unless the owner's voter set is outdated or the member lacks
// the list.
type HeartbeatAck struct {
	RunID   uint64 `cbor:"1,keyasint"` // the owner's process run (Message.RunID)
	Round   uint64 `cbor:"2,keyasint,omitempty"`
	Partial bool   `cbor:"3,keyasint,omitempty"`
	// ListMissing says that the member doesn't have the list version that the heartbeat builds on.
	ListMissing bool          `cbor:"4,keyasint,omitempty"`
	Version     uint64        `cbor:"5,keyasint,omitempty"` // list version that the member holds
	Clock       time.Duration `cbor:"6,keyasint,omitempty"` // the member's clock
	// Deviations are the partitions in which the member's copy differs from the owner's, or for which it has
	// promised another epoch.
	Deviations []*AppendAck   `cbor:"7,keyasint,omitempty"`
	Outdated   *PartitionCopy `cbor:"8,keyasint,omitempty"` // the newer voter set, if the owner's is older
}
