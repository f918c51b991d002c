package proxy

// This file holds the state of one request and the chain of filters that it passes through.

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"madderwing/internal/config"
)

// Exchange is the state of one request and its response while the chain handles it.
type Exchange struct {
	w              http.ResponseWriter
	r              *http.Request
	arrived        time.Time
	deadline       time.Time
	latencyTarget  time.Duration
	table          *config.Table
	route          *config.Route
	tenant         *config.Tenant
	regions        []string
	regionBound    bool // it must not be sent to other regions than those in regions
	service        string
	stratum        string
	attemptID      string
	body           io.Reader // the request body, limited to the allowed size
	hasBody        bool
	chunked        bool
	bodyIncomplete bool // reading its body ended with an error
	// bufferedBody is the whole request body if it is at most maxBufferedBody bytes. Of a larger one,
	// bodyPrefix is the beginning, and bodySent is set once the rest has been read and sent.
	bufferedBody []byte
	bodyPrefix   []byte
	bodySent     atomic.Bool
	// fallback is an error response of an upstream, sent to the client if no other upstream gives a
	// better one.
	fallback *result
	stage    stage
	sent     bool // an upstream may have received it
	// reservation is the response's reservation in the link budget.
	reservation *Reservation
}

// HandlerFunc handles a request. If it returns an error, the client gets the response that package
// apierror defines for its kind.
type HandlerFunc func(x *Exchange) error

// Filter wraps a handler with a further step.
type Filter func(next HandlerFunc) HandlerFunc

// Chain wraps a handler with filters; the first filter runs first.
func Chain(handler HandlerFunc, filters ...Filter) HandlerFunc {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}

// watchClose polls the client's connection for a close while net/http does not look for one.
func (x *Exchange) watchClose() {
	if conn := connOf(x.r); conn != nil {
		conn.watchClose()
	}
}

// priority returns the tenant's priority if it has one, otherwise the route's.
func (x *Exchange) priority() int {
	if x.tenant != nil && x.tenant.Priority != nil {
		return *x.tenant.Priority
	}
	return x.route.Priority
}
