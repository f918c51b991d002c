package proxy

import "time"

// A request that has not been sent to any upstream can be refused at any time, and its client may
// do better elsewhere. Upstreams that take no connection must not hold it for long.

const (
	// dialsAssured is how many upstreams are dialled in any case: one that is silent is ordinary.
	dialsAssured = 2
	// dialsMost is how many are dialled if they fail fast.
	dialsMost = 5
	// dialShare is the part of a request's aim that one dial may take.
	dialShare = 0.25
	// dialHoldShare is the part of the aim after which no more than the assured dials are made.
	dialHoldShare = 0.4
)

// dialLimit is how long a request of the given aim waits for a connection. Below a quarter of
// patience an upstream that is far away would be taken for a silent one.
func dialLimit(aim, patience time.Duration) time.Duration {
	return min(patience/2, max(time.Duration(float64(aim)*dialShare), patience/4))
}

// dialAgain says whether another upstream is dialled for a request that has been held so long.
func dialAgain(dialled int, held, aim time.Duration) bool {
	return dialled < dialsAssured || dialled < dialsMost && held < time.Duration(float64(aim)*dialHoldShare)
}
