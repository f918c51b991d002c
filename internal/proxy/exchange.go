package proxy

// This file holds a request on its way through the chain of filters.

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"madderwing/internal/config"
)

// Exchange is one request on its way through the chain.
type Exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	deadline time.Time
	aim      time.Duration
	table    *config.Table
	route    *config.Route
	tenant   *config.Tenant
	regions  []string
	bound    bool // to regions
	service  string
	stratum  string
	attempt  string
	body     io.Reader // what the limits let through
	hasBody  bool
	chunked  bool
	bodyCut  bool // its body was not read to the end
	// bufferedBody is the whole body, if it is small; bodyPrefix the beginning of one that is not,
	// and bodySent says that the rest of that has been read and sent on.
	bufferedBody []byte
	bodyPrefix   []byte
	bodySent     atomic.Bool
	// fallback is an error of an upstream's own, passed on if no other upstream does better.
	fallback *result
	stage    stage // how far it has come
	sent     bool  // an upstream may have got it
	// reservation is the answer's place in the budget of the link.
	reservation *Reservation
}

// HandlerFunc deals with a request; an error is answered from the table of errors.
type HandlerFunc func(x *Exchange) error

// Filter is a step before a handler.
type Filter func(next HandlerFunc) HandlerFunc

// Chain puts filters before a handler, the first one outermost.
func Chain(h HandlerFunc, filters ...Filter) HandlerFunc {
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// watchClose has the client's connection asked about while net/http does not look whether the
// client closes it.
func (x *Exchange) watchClose() {
	if c := connOf(x.r); c != nil {
		c.watchClose()
	}
}

// priority is the tenant's, where it has one, or the route's.
func (x *Exchange) priority() int {
	if x.tenant != nil && x.tenant.Priority != nil {
		return *x.tenant.Priority
	}
	return x.route.Priority
}
