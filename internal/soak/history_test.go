package soak

import (
	"sync"
	"time"
)

// history is what the stand-ins of a run sent and received, and the faults of each machine. The judges see nothing
// else.
type history struct {
	machines []*machine

	mu              sync.Mutex
	requests        map[string]*request // by Attempt-Id
	arrivals        []arrival
	drainingPeriods []*drainingPeriod
	orders          []*evacuationOrder
	versions        []*routeVersion
	reads           []configRead
	lockHoldings    []*lockHolding
	issuedNumbers   []issuedNumber
	finalKill       finalKill
}

func newHistory(machines []*machine) *history {
	return &history{machines: machines, requests: map[string]*request{}}
}

// request is a request of a client, with the response.
type request struct {
	attempt               string
	machine               int // index of the machine whose gateway it was sent to
	method, path          string
	sent, ended           time.Time // zero ended: still in progress
	abandoned             bool      // the client closed the connection before the response
	status                int       // 0: no complete response
	seal, responseAttempt string    // the Server-Seal and Attempt-Id of the response
	body                  string
}

// idempotent reports whether the request may run more than once.
func (r *request) idempotent() bool { return r.method == "GET" }

// promisesNotRun reports whether the status promises that the request has not run and never will.
func (r *request) promisesNotRun() bool {
	return r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421
}

// arrival is a request that reached an upstream, which then runs it.
type arrival struct {
	at            time.Time
	service, zone string
	upstreamID    string
	machine       int // index of the machine whose gateway the client sent it to
	attempt       string
	method, path  string
	failed        bool // the upstream answered with a failure or closed the connection
}

// routeVersion is a version of the route that the operators change.
type routeVersion struct {
	generation  int
	service     string
	sent, acked time.Time // zero acked: not acknowledged, and may be in force or not
}

// configRead is a successful read of the configuration.
type configRead struct {
	sent       time.Time
	address    string // of the node
	generation int    // of the changed route; 0: the route does not exist
}

// lockHolding is a period in which an application considers itself the holder of a lock.
type lockHolding struct {
	lock, owner         string
	acquireSent         time.Time // when the call that acquired the lock was sent
	heldFrom, heldUntil time.Time
	fencingToken        uint64
}

// issuedNumber is a number that a control node issued to an application.
type issuedNumber struct {
	name           string
	sent, answered time.Time
	value          uint64
}

// finalKill is the kill of all processes at the end of a run, and their restart. Zero times mean that there was none.
type finalKill struct {
	killed, restarted time.Time
}

// recordSent records a request that is about to be sent.
func (h *history) recordSent(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.sent = time.Now()
	h.requests[r.attempt] = r
}

// recordEnd records the end of a request; update sets the fields of the response.
func (h *history) recordEnd(r *request, update func(*request)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	update(r)
	r.ended = time.Now()
}

// recordArrival records a request that reached an upstream.
func (h *history) recordArrival(a arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, a)
}

// responsesByStatus counts the requests by status, without abandoned ones.
func (h *history) responsesByStatus() map[int]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := map[int]int{}
	for _, r := range h.requests {
		if !r.abandoned {
			count[r.status]++
		}
	}
	return count
}

// coreMachines returns the machines whose control nodes have a disk.
func (h *history) coreMachines() (out []*machine) {
	for _, m := range h.machines {
		if m.core {
			out = append(out, m)
		}
	}
	return out
}

// coreFaultFree reports whether no control node of a core machine was killed, stopped, started, suspended or
// continued in the contactS before a time.
func (h *history) coreFaultFree(at time.Time) bool {
	for _, m := range h.coreMachines() {
		if !m.control.faultFree(at.Add(-contactS), at) {
			return false
		}
	}
	return true
}

// inContact reports whether a machine counts as in contact at a time: neither the machine nor the core had a fault
// in the contactS before.
func (h *history) inContact(machine int, at time.Time) bool {
	m := h.machines[machine]
	return m.faultFree(at.Add(-contactS), at) && h.coreFaultFree(at)
}

// extendedBoundApplies reports whether a bound that is longer by stretchMaxS, from since to at, binds a machine
// although the core has faults: more than half of the core had no fault since then, and the machine none in the
// last contactS.
func (h *history) extendedBoundApplies(machine int, since, at time.Time) bool {
	running := 0
	for _, m := range h.coreMachines() {
		if m.control.faultFree(since, at) {
			running++
		}
	}
	return h.machines[machine].faultFree(at.Add(-contactS), at) && running > len(h.coreMachines())/2
}
