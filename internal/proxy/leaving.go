package proxy

// This file decides what becomes of a request whose client leaves, and counts those that did.
// Whether the client is still there is known in one place, the context of its request: net/http
// ends it when it sees the connection close, closeWatch where net/http does not look.

import (
	"context"
	"net"
	"sync/atomic"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
)

// stage is how far a request has come. The order is that in which stages follow each other.
type stage int

// The stages of a request.
const (
	stageBody   stage = iota // its body is being read
	stageQuota               // it waits for its tenant's quota
	stageQueue               // it waits for an upstream
	stageDial                // it waits for a connection to its upstream
	stageSent                // it has been sent on, and has no answer yet
	stageAnswer              // its answer is on its way to the client
	stageCount
)

// stageNames are the names of the stages in counters.
var stageNames = [stageCount]string{"Body", "Quota", "Queue", "Dial", "Sent", "Answer"}

// leaveAction is what is done with a request whose client has left.
type leaveAction int

const (
	endUnsent   leaveAction = iota // it is not sent to any upstream
	endSent                        // the connection to its upstream is closed, which ends the work
	runToTheEnd                    // the upstream's work goes on, and its answer is read
)

// onClientGone is the choice for a request of a route that has come to a stage. What has not been
// sent on never is. What has been and may be repeated is ended: nobody loses by that. What may run
// once goes on, as to break it off would leave open whether it has run. See docs/design.md.
func onClientGone(route *config.Route, at stage) leaveAction {
	switch {
	case at < stageSent:
		return endUnsent
	case route.Repeatable():
		return endSent
	}
	return runToTheEnd
}

// leftStats counts the requests whose clients left, by the stage that they were in.
type leftStats struct {
	ended [stageCount]atomic.Uint64
	// ranOn counts requests that went on to their end without their client.
	ranOn atomic.Uint64
}

// total is how many requests ended because their clients left.
func (s *leftStats) total() (n uint64) {
	for i := range s.ended {
		n += s.ended[i].Load()
	}
	return n
}

// addTo adds the counters to others by name.
func (s *leftStats) addTo(counters map[string]uint64) {
	counters["gone"] = s.total()
	counters["goneRanOn"] = s.ranOn.Load()
	for i, name := range stageNames {
		counters["gone"+name] = s.ended[i].Load()
	}
}

// clientLeft says whether the request's client has closed its connection.
func (x *Exchange) clientLeft() bool { return x.r.Context().Err() != nil }

// endsWithClient says whether the request, having been sent on, ends when its client leaves.
func (x *Exchange) endsWithClient() bool { return onClientGone(x.route, stageSent) == endSent }

// closeWhenClientLeaves closes the connection to the upstream of a request that ends with its
// client. The function returned ends the watch, and says whether the connection was left alone.
func (x *Exchange) closeWhenClientLeaves(conn net.Conn) (stop func() bool) {
	if !x.endsWithClient() {
		return func() bool { return true }
	}
	return context.AfterFunc(x.r.Context(), func() { conn.Close() })
}

// leftUnsent is the error for a request that was not sent on because its client had left. A client
// that has closed one direction only still reads it.
func (f *Handler) leftUnsent(x *Exchange) error { return f.later(x, apierror.ClientGone) }

// leftSent is the error for a request that was ended at its upstream.
func leftSent(x *Exchange) error { return apierror.New(apierror.ClientLeft, "%s", x.service) }

// noteLeft counts a request that has ended after its client had left.
func (f *Handler) noteLeft(x *Exchange) {
	if x.route != nil && onClientGone(x.route, x.stage) == runToTheEnd {
		f.Stats.left.ranOn.Add(1)
		return
	}
	f.Stats.left.ended[x.stage].Add(1)
}

// answerContext is the context that the writing of the answer listens to. What runs to its end is
// also written to its end: its client may have closed one direction only.
func (x *Exchange) answerContext() context.Context {
	if x.endsWithClient() {
		return x.r.Context()
	}
	return context.Background()
}
