package coordination

import "time"

// This file holds the clock estimates for deadlines of calls. A caller that gets no reply retries
// at another node, and its later calls rely on the first one not being executed any more: a
// delayed release must not free a lock that the caller has since acquired again under the same
// token. Every call therefore has a deadline on the monotonic clock of the partition's owner,
// which does not start the call after it.

// ClockReading is a reading of the monotonic clock of a process. RunID identifies the process; two
// runs of the same node have different run IDs.
type ClockReading struct {
	RunID uint64        `cbor:"1,keyasint"`
	Time  time.Duration `cbor:"2,keyasint"`
}

// PeerClocks estimates the monotonic clocks of other nodes. An estimate is never ahead of the
// clock itself.
type PeerClocks struct {
	peers map[string]peerClock
}

// peerClock is what is known of a peer's clock: it is ahead of the local one by at least
// minOffset, which may be negative.
type peerClock struct {
	runID     uint64
	minOffset time.Duration
}

// NewPeerClocks creates a PeerClocks without any reading.
func NewPeerClocks() *PeerClocks { return &PeerClocks{peers: map[string]peerClock{}} }

// Observe records a reading from a peer's reply that arrived at the local time now. The peer
// read its clock before that, so the reading with the shortest time in transit is the most accurate.
func (c *PeerClocks) Observe(peer string, reading ClockReading, now time.Duration) {
	known, ok := c.peers[peer]
	if offset := reading.Time - now; !ok || known.runID != reading.RunID || known.minOffset < offset {
		c.peers[peer] = peerClock{runID: reading.RunID, minOffset: offset}
	}
}

// Estimate estimates the reading of a peer's clock at the local time now; false: no reading of it
// is known.
func (c *PeerClocks) Estimate(peer string, now time.Duration) (ClockReading, bool) {
	known, ok := c.peers[peer]
	return ClockReading{RunID: known.runID, Time: now + known.minOffset}, ok
}
