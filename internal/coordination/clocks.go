package coordination

import "time"

// This file holds how old calls are kept from being carried out. A caller that gets no
// answer goes on to another node, and what it does there may rest on the first call
// being over: a lock that it takes anew under its old token must not be given back by a
// release that was long on its way. So every call has a deadline on its owner's steady
// clock, and does not begin after that.

// ClockReading is the steady clock of a process, and which process that is.
type ClockReading struct {
	Life uint64        `cbor:"1,keyasint"`
	Time time.Duration `cbor:"2,keyasint"`
}

// PeerClocks estimates the steady clocks of other nodes. An estimate is never ahead of the
// clock itself.
type PeerClocks struct {
	peers map[string]peerClock
}

// peerClock is what is known of a peer's clock: it is ahead of the own one by at least
// ahead, which may be negative.
type peerClock struct {
	life  uint64
	minOffset time.Duration
}

// NewPeerClocks makes estimates that know no clock yet.
func NewPeerClocks() *PeerClocks { return &PeerClocks{peers: map[string]peerClock{}} }

// Heard takes note of a reading that a peer's answer brought now, by the own clock. The
// peer read its clock before, so the reading that came the fastest is the best one.
func (p *PeerClocks) Heard(peer string, reading ClockReading, now time.Duration) {
	known, ok := p.peers[peer]
	if offset := reading.Time - now; !ok || known.life != reading.Life || known.minOffset < offset {
		p.peers[peer] = peerClock{life: reading.Life, minOffset: offset}
	}
}

// At estimates what a peer's clock showed when the own one showed now.
func (p *PeerClocks) At(peer string, now time.Duration) (ClockReading, bool) {
	known, ok := p.peers[peer]
	return ClockReading{Life: known.life, Time: now + known.minOffset}, ok
}
