package proxy

// This file decides how a request continues when its client disconnects, and counts such requests.
// Whether the client is connected is known from the context of its request alone: net/http cancels it when
// it sees the connection close, and closeWatch does so where net/http does not look.

import (
	"context"
	"net"
	"sync/atomic"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
)

// stage is the progress of a request. The constants are in the order in which stages follow each other.
type stage int

// The stages of a request.
const (
	stageBody     stage = iota // its body is being read
	stageQuota                 // it waits for a decision on its tenant's quota
	stageQueue                 // it waits for a free slot at an upstream
	stageDial                  // a connection to its upstream is being opened
	stageSent                  // it has been sent to its upstream and has no response yet
	stageResponse              // its response is being sent to the client
	stageCount
)

// stageNames are the suffixes of the counters by stage.
var stageNames = [stageCount]string{"Body", "Quota", "Queue", "Dial", "Sent", "Answer"}

// disconnectAction is what is done with a request whose client has disconnected.
type disconnectAction int

const (
	dropUnsent      disconnectAction = iota // it is not sent to an upstream
	abortSent                               // the connection to its upstream is closed, so that the upstream stops working on it
	runToCompletion                         // the upstream completes it, and its response is read
)

// actionOnDisconnect returns the action for a request of the given route at the stage it has reached.
// One that was not sent yet is dropped. One that was sent is aborted if it is repeatable, as that does
// no harm. One that may run only once continues, since after an abort it would be unknown whether it was
// executed. See docs/design.md.
func actionOnDisconnect(route *config.Route, reached stage) disconnectAction {
	switch {
	case reached < stageSent:
		return dropUnsent
	case route.Repeatable():
		return abortSent
	}
	return runToCompletion
}

// disconnectStats counts the requests whose clients disconnected.
type disconnectStats struct {
	ended [stageCount]atomic.Uint64 // requests that ended because of it, by the stage they had reached
	// ranToCompletion counts requests of routes that may run only once, which were completed.
	ranToCompletion atomic.Uint64
}

// total returns the number of requests that ended because their clients disconnected.
func (s *disconnectStats) total() (n uint64) {
	for i := range s.ended {
		n += s.ended[i].Load()
	}
	return n
}

// addTo adds the counters to a map of counters by name.
func (s *disconnectStats) addTo(counters map[string]uint64) {
	counters["gone"] = s.total()
	counters["goneRanOn"] = s.ranToCompletion.Load()
	for i, name := range stageNames {
		counters["gone"+name] = s.ended[i].Load()
	}
}

// clientDisconnected reports whether the client has closed its connection.
func (x *Exchange) clientDisconnected() bool { return x.r.Context().Err() != nil }

// abortsOnDisconnect reports whether the request, once sent, is aborted when its client disconnects.
func (x *Exchange) abortsOnDisconnect() bool {
	return actionOnDisconnect(x.route, stageSent) == abortSent
}

// closeOnDisconnect arranges for the connection to the upstream to be closed when the client
// disconnects, if that aborts the request. stop cancels this, and reports false if the closing has
// already begun.
func (x *Exchange) closeOnDisconnect(conn net.Conn) (stop func() bool) {
	if !x.abortsOnDisconnect() {
		return func() bool { return true }
	}
	return context.AfterFunc(x.r.Context(), func() { conn.Close() })
}

// disconnectedBeforeSend returns the error for a request that was not sent because its client had
// disconnected. A client that has closed only its sending direction still receives it.
func (h *Handler) disconnectedBeforeSend(x *Exchange) error {
	return h.retryLater(x, apierror.ClientLeftBeforeSend)
}

// disconnectedAfterSend returns the error for a request that was aborted at its upstream because its
// client had disconnected.
func disconnectedAfterSend(x *Exchange) error {
	return apierror.New(apierror.ClientLeftAfterSend, "%s", x.service)
}

// countDisconnect counts a request that has ended after its client had disconnected.
func (h *Handler) countDisconnect(x *Exchange) {
	if x.route != nil && actionOnDisconnect(x.route, x.stage) == runToCompletion {
		h.Stats.disconnects.ranToCompletion.Add(1)
		return
	}
	h.Stats.disconnects.ended[x.stage].Add(1)
}

// responseContext returns the context for writing the response. The response to a request that runs to
// completion is also written to its end, as its client may have closed only its sending direction.
func (x *Exchange) responseContext() context.Context {
	if x.abortsOnDisconnect() {
		return x.r.Context()
	}
	return context.Background()
}
