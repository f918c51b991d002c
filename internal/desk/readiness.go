package desk

import "sync/atomic"

// readiness is whether the platform may send new connections here: the items
// and the list of upstreams are known, keys may be relied on, and the desk is not
// leaving.
type readiness struct {
	known, listed, leaving atomic.Bool
	confirmed              func() bool

	misses   atomic.Int32
	believed chan struct{} // closed once the platform knows that the desk leaves
}

// missesBelieved is how many misses in a row the platform believes.
const missesBelieved = 2

func newReadiness(confirmed func() bool) *readiness {
	return &readiness{confirmed: confirmed, believed: make(chan struct{})}
}

func (r *readiness) ok() bool {
	return r.known.Load() && r.listed.Load() && !r.leaving.Load() && r.confirmed()
}

// asked answers one question of the platform's, and counts those that have been
// told that the desk leaves.
func (r *readiness) asked() bool {
	if r.leaving.Load() && r.misses.Add(1) == missesBelieved {
		close(r.believed)
	}
	return r.ok()
}
