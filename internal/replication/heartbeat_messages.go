package replication

// This file holds the messages of heartbeats.

import (
	"hash/fnv"
	"time"
)

// KeyStatus is how an owner stands with one of its keys. The owner and life of the epoch
// are those of the sender.
type KeyStatus struct {
	Key    string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Seq    uint64 `cbor:"3,keyasint,omitempty"`
	Commit uint64 `cbor:"4,keyasint,omitempty"`
	Sum    uint64 `cbor:"5,keyasint,omitempty"` // the digest of all records
}

// digest is an entry's part in the digest of a list.
func (s KeyStatus) digest() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Key))
	sum := h.Sum64()
	for _, v := range [...]uint64{s.Epoch, s.Seq, s.Commit, s.Sum} {
		sum = (sum^v)*0x9e3779b97f4a7c15 + 1
		sum ^= sum >> 29
	}
	return sum
}

// KeyAge is how long ago an owner was sure of one key, where that differs from the Age of
// the heartbeat's Sure; negative: it has not been sure of it yet.
type KeyAge struct {
	Key string        `cbor:"1,keyasint"`
	Age time.Duration `cbor:"2,keyasint"`
}

// Heartbeat is an owner's word for all its keys once a beat, or a partial one for those named.
type Heartbeat struct {
	Round   uint64      `cbor:"1,keyasint,omitempty"` // 0: to be answered only if a key deviates
	Roster  Position    `cbor:"2,keyasint"`
	Partial bool        `cbor:"3,keyasint,omitempty"`
	Base    uint64      `cbor:"4,keyasint,omitempty"` // the version to which Keys and Gone are the difference; 0: they are all
	Version uint64      `cbor:"5,keyasint,omitempty"`
	Digest  uint64      `cbor:"6,keyasint,omitempty"` // of the list at Version
	Keys    []KeyStatus `cbor:"7,keyasint,omitempty"`
	Gone    []string    `cbor:"8,keyasint,omitempty"` // keys that the sender owns no more
	Sure    *Sure       `cbor:"9,keyasint,omitempty"`
	Ages    []KeyAge    `cbor:"10,keyasint,omitempty"`
}

// HeartbeatAck answers a Heartbeat. It confirms the epochs of all keys that the heartbeat
// stood for, unless the owner's roster is outdated or the member lacks the list.
type HeartbeatAck struct {
	Life     uint64        `cbor:"1,keyasint"` // of the owner's process
	Round    uint64        `cbor:"2,keyasint,omitempty"`
	Partial  bool          `cbor:"3,keyasint,omitempty"`
	Lacks    bool          `cbor:"4,keyasint,omitempty"` // the member hasn't the list that the heartbeat builds on
	Version  uint64        `cbor:"5,keyasint,omitempty"` // of the list that the member holds
	Mark     time.Duration `cbor:"6,keyasint,omitempty"` // the member's clock
	Deviate  []*AppendAck  `cbor:"7,keyasint,omitempty"` // keys that the member lags behind with, or has promised to others
	Outdated *Holding      `cbor:"8,keyasint,omitempty"` // the newer roster, if the owner's is older
}
