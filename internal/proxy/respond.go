package proxy

// This file passes the response of an upstream to the client.

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"madderwing/internal/upstream"
)

// copyBufferSize is the number of bytes read from a response's body at a time.
const copyBufferSize = 16 << 10

// respond passes a response to the client. If the client does not get all of it, the panic makes net/http
// abort the client's connection, so that the response does not look complete.
func (h *Handler) respond(x *Exchange, lease upstream.SlotLease, res result) {
	x.stage = stageResponse
	h.copyHeader(x, res.response)
	ctx, restore := h.limitWriteTime(x, res)
	defer restore()
	x.w.WriteHeader(res.response.StatusCode)
	err := h.writePart(ctx, x, res, res.bodyStart)
	if !res.complete {
		err = h.copyRest(ctx, x, lease, res, err)
	}
	if x.clientDisconnected() {
		h.countDisconnect(x)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.Stats.Served.Add(1)
}

// limitWriteTime returns the context for writing a response. The writing of a long one also ends one
// tick after the deadline of its request. Otherwise, pacing could delay it for longer than its client
// waits, and a client that does not read could hold the upstream's slot and the link indefinitely.
// restore removes the limit from the client's connection.
func (h *Handler) limitWriteTime(x *Exchange, res result) (ctx context.Context, restore func()) {
	ctx = x.responseContext()
	if res.complete && len(res.bodyStart) <= paceThreshold {
		return ctx, func() {}
	}
	control := http.NewResponseController(x.w)
	writeDeadline := x.deadline.Add(h.dispatcher.tickInterval)
	_ = control.SetWriteDeadline(writeDeadline)
	ctx, cancel := context.WithDeadline(ctx, writeDeadline)
	return ctx, func() {
		cancel()
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// copyHeader copies the upstream's headers to the client's response, without those that concern the
// connection. A missing Content-Type stays missing: net/http must not guess one.
func (h *Handler) copyHeader(x *Exchange, response *http.Response) {
	header := x.w.Header()
	perConnection := connectionHeaders(response.Header)
	for name, values := range response.Header {
		if !hopByHop[name] && !perConnection[name] && name != "Content-Length" {
			header[name] = values
		}
	}
	h.closeAfterResponse(x)
	if _, ok := response.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	if response.ContentLength >= 0 && response.StatusCode != http.StatusNoContent {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
}

// writePart writes a part of a response's body to the client, at the pace of large responses if it is
// one.
func (h *Handler) writePart(ctx context.Context, x *Exchange, res result, part []byte) error {
	err := h.Pacer.write(ctx, x.w, part, res.response.ContentLength)
	x.reservation.Wrote(h.now(), len(part))
	return err
}

// copyRest copies the rest of a response's body to the client. writeErr is the result of writing the
// first part. The error returned is the reason why the client did not receive the whole body.
func (h *Handler) copyRest(ctx context.Context, x *Exchange, lease upstream.SlotLease, res result, writeErr error) error {
	var readErr error
	buf := make([]byte, copyBufferSize)
	for writeErr == nil && readErr == nil {
		var n int
		n, readErr = res.response.Body.Read(buf)
		if n > 0 {
			writeErr = h.writePart(ctx, x, res, buf[:n])
		}
	}
	if writeErr != nil && readErr == nil && !x.abortsOnDisconnect() {
		_, readErr = io.CopyBuffer(io.Discard, res.response.Body, buf) // the request may run only once and must not be interrupted
		if readErr == nil {
			readErr = io.EOF
		}
	}
	res.complete = readErr == io.EOF
	switch {
	case res.complete:
		h.finish(lease, res, upstream.Served)
		return writeErr
	case x.abortsOnDisconnect() && x.clientDisconnected():
		res.err = http.ErrAbortHandler
		h.finish(lease, res, upstream.Cancelled)
		return res.err
	}
	h.Stats.BrokenResponses.Add(1)
	if res.err = readErr; readErr == nil {
		res.err = writeErr
	}
	outcome := upstream.Served
	if readErr != nil && !isTimeout(readErr) {
		outcome = upstream.ConnectionFailed
	}
	h.finish(lease, res, outcome)
	return res.err
}
