package proxy

// This file hands an answer to the client.

import (
	"io"
	"net/http"
	"strconv"

	"madderwing/internal/upstream"
)

// pass hands an answer to the client. An answer that is cut short ends the
// client's connection, so that it does not look complete.
func (f *Handler) pass(x *Exchange, g upstream.SlotLease, res result) {
	r := res.response
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
	x.w.WriteHeader(r.StatusCode)
	write := func(b []byte) error {
		err := f.Pace.write(x.w, b, r.ContentLength)
		x.reservation.Wrote(f.now(), len(b))
		return err
	}
	err := write(res.start)
	if !res.whole {
		buf := make([]byte, 16<<10)
		var cut error
		for err == nil && cut == nil {
			var n int
			n, cut = r.Body.Read(buf)
			if n > 0 {
				err = write(buf[:n])
			}
		}
		res.whole = cut == io.EOF
		if !res.whole {
			res.broke = cut
			if res.broke == nil {
				res.broke = err
			}
			how := upstream.Served
			if cut != nil && !isTimeout(cut) {
				how = upstream.Failing
			}
			f.finish(g, res, how)
			f.Stats.Broken.Add(1)
			panic(http.ErrAbortHandler)
		}
		f.finish(g, res, upstream.Served)
	}
	f.Stats.Served.Add(1)
}
