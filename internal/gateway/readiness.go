package gateway

import (
	"sync/atomic"
	"time"

	"madderwing/internal/delivery"
)

// readiness is whether the platform may send new connections here: the items
// and the list of upstreams are known, a majority has stood behind all the items once
// in this life, keys may be relied on, and the gateway is not leaving. A gateway that was
// ready stays so without any control node: it goes on with what it knows.
type readiness struct {
	known, listed, current, leaving atomic.Bool
	confirmed                       func() bool

	misses atomic.Int32 // questions answered since the gateway leaves
}

// missesBelieved is how many misses in a row the platform believes.
const missesBelieved = 2

func newReadiness(confirmed func() bool) *readiness {
	return &readiness{confirmed: confirmed}
}

// stocked says that there are items and a list to serve from.
func (r *readiness) stocked() bool { return r.known.Load() && r.listed.Load() }

func (r *readiness) ok() bool {
	return r.stocked() && r.current.Load() && !r.leaving.Load() && r.confirmed()
}

// heard takes an issue whose records have been taken over. It confirms the items if the
// control node is in contact with a majority and answers, with all that it has, a question
// that this gateway asked within the time given: an answer that waited while the gateway was
// frozen says nothing of now.
func (r *readiness) heard(now time.Duration, i delivery.Issue, within time.Duration) {
	if i.Fresh && i.Sure != nil && now-i.Sure.Asked <= within {
		r.current.Store(true)
	}
}

// asked answers one question of the platform's, and counts those that have been
// told that the gateway leaves.
func (r *readiness) asked() bool {
	if r.leaving.Load() {
		r.misses.Add(1)
	}
	return r.ok()
}

// isBelieved says whether the platform knows that the gateway leaves.
func (r *readiness) isBelieved() bool { return r.misses.Load() >= missesBelieved }
