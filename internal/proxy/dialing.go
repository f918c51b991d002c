package proxy

import "time"

// A request that has not been sent to any upstream can be refused at any time, and its client may
// succeed at another gateway. Upstreams that accept no connection must therefore not delay it for long.

const (
	// minDials is the number of upstreams that are dialed however long a dial takes, since a single
	// unresponsive upstream is common.
	minDials = 2
	// maxDials is the number of upstreams that are dialed if the dials fail fast.
	maxDials = 5
	// dialTimeoutFraction is the fraction of a request's target latency that one dial may take.
	dialTimeoutFraction = 0.25
	// extraDialFraction is the fraction of the target latency after which no dials beyond minDials are made.
	extraDialFraction = 0.4
)

// dialTimeout returns how long a request with the given target latency waits for a connection. With
// less than a quarter of the peer time-out, a distant upstream would be taken for an unresponsive one.
func dialTimeout(latencyTarget, peerTimeout time.Duration) time.Duration {
	return min(peerTimeout/2, max(time.Duration(float64(latencyTarget)*dialTimeoutFraction), peerTimeout/4))
}

// mayDialAgain reports whether another upstream is dialed after so many failed dials, for a request that
// arrived the elapsed time ago.
func mayDialAgain(failedDials int, elapsed, latencyTarget time.Duration) bool {
	return failedDials < minDials || failedDials < maxDials && elapsed < time.Duration(float64(latencyTarget)*extraDialFraction)
}
