package proxy

// This file hands an answer to the client.

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"madderwing/internal/upstream"
)

// passPart is how much of an answer is read from its upstream at a time.
const passPart = 16 << 10

// pass hands an answer to the client. An answer that is cut short ends the
// client's connection, so that it does not look complete.
func (f *Handler) pass(x *Exchange, g upstream.SlotLease, res result) {
	x.stage = stageAnswer
	f.copyHeader(x, res.response)
	ctx, unbind := f.boundWrites(x, res)
	defer unbind()
	x.w.WriteHeader(res.response.StatusCode)
	err := f.write(ctx, x, res, res.start)
	if !res.whole {
		err = f.passRest(ctx, x, g, res, err)
	}
	if x.clientLeft() {
		f.noteLeft(x)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f.Stats.Served.Add(1)
}

// boundWrites gives the context that the writing of an answer listens to, and ends the writing of a
// long one a tick after its deadline: else a full pace would hold it for longer than its client waits,
// and a client that does not read, slot and link for as long as it likes. unbind takes that back.
func (f *Handler) boundWrites(x *Exchange, res result) (ctx context.Context, unbind func()) {
	ctx = x.answerContext()
	if res.whole && len(res.start) <= paceFrom {
		return ctx, func() {}
	}
	control := http.NewResponseController(x.w)
	end := x.deadline.Add(f.dispatcher.tick)
	_ = control.SetWriteDeadline(end)
	ctx, cancel := context.WithDeadline(ctx, end)
	return ctx, func() {
		cancel()
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// copyHeader gives the client's answer the headers of the upstream's.
func (f *Handler) copyHeader(x *Exchange, r *http.Response) {
	h := x.w.Header()
	named := connectionNamed(r.Header)
	for name, values := range r.Header {
		if !hopByHop[name] && !named[name] && name != "Content-Length" {
			h[name] = values
		}
	}
	f.lastOne(x)
	if _, ok := r.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if r.ContentLength >= 0 && r.StatusCode != http.StatusNoContent {
		h.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
}

// write hands a part of an answer's body to the client, at the pace of large answers.
func (f *Handler) write(ctx context.Context, x *Exchange, res result, part []byte) error {
	err := f.Pace.write(ctx, x.w, part, res.response.ContentLength)
	x.reservation.Wrote(f.now(), len(part))
	return err
}

// passRest hands on what has not been read of an answer's body, after a first part whose writing
// gave err. The error returned says why the client has not got all of it.
func (f *Handler) passRest(ctx context.Context, x *Exchange, g upstream.SlotLease, res result, err error) error {
	var cut error
	buf := make([]byte, passPart)
	for err == nil && cut == nil {
		var n int
		n, cut = res.response.Body.Read(buf)
		if n > 0 {
			err = f.write(ctx, x, res, buf[:n])
		}
	}
	if err != nil && cut == nil && !x.endsWithClient() {
		_, cut = io.CopyBuffer(io.Discard, res.response.Body, buf) // it runs to its end without its client
		if cut == nil {
			cut = io.EOF
		}
	}
	res.whole = cut == io.EOF
	switch {
	case res.whole:
		f.finish(g, res, upstream.Served)
		return err
	case x.endsWithClient() && x.clientLeft():
		res.broke = http.ErrAbortHandler
		f.finish(g, res, upstream.Abandoned)
		return res.broke
	}
	f.Stats.Broken.Add(1)
	if res.broke = cut; cut == nil {
		res.broke = err
	}
	how := upstream.Served
	if cut != nil && !isTimeout(cut) {
		how = upstream.Failing
	}
	f.finish(g, res, how)
	return res.broke
}
