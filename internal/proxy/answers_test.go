package proxy

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// An upstream's word on its warmth counts only if it is a time: no other may make a cold
// one look warm.
func TestWarmupLeft(t *testing.T) {
	for told, want := range map[string]time.Duration{"": 0, "0": 0, "1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond,
		"-1": -1, "NaN": -1, "1e300": -1, "Inf": -1, "soon": -1} {
		left, ok := parseWarmupLeft(http.Header{headerWarmupLeft: {told}})
		if ok != (want >= 0) || ok && left != want {
			t.Errorf("%q: %v %v", told, left, ok)
		}
	}
}

// take reads one answer as send does: its head, what is held of the body, and the rest.
// Of the bytes it says how many belong to the answer.
func take(in []byte, method string, used bool) (r *http.Response, body []byte, took int, err error) {
	a := newResponseReader(bytes.NewReader(in))
	a.reused = used
	r, err = a.readHeadFor(method, "one")
	if err != nil {
		return nil, nil, 0, err
	}
	body, whole, err := readBodyStart(r)
	if err == nil && !whole {
		var rest []byte
		rest, err = io.ReadAll(r.Body)
		body = append(body, rest...)
	}
	left, _ := io.ReadAll(a)
	return r, body, len(in) - len(left), err
}

// FuzzAnswers: whatever an upstream sends, reading it ends and takes no more memory than
// a head may have and the bytes that came are worth; an answer of another request is
// refused; and what is taken for a whole answer is not one without its last bytes.
func FuzzAnswers(f *testing.F) {
	ok := "HTTP/1.1 200 OK\r\nAttempt-Id: one\r\nServer-Seal: s\r\n"
	for _, text := range []string{
		ok + "Content-Length: 5\r\n\r\nhello",
		ok + "Content-Length: 9\r\n\r\nhello",
		ok + "\r\nhello",
		ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5;x=y\r\nhello\r\n0\r\nX: y\r\n\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		ok + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nhello\r\n0\r\n\r\n",
		ok + "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello",
		ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		ok + "Content-Length: 9223372036854775807\r\n\r\nhello",
		"HTTP/1.0 200 OK\r\nAttempt-Id: one\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 None\r\nAttempt-Id: one\r\n\r\n",
		"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 304 Same\r\nContent-Length: 7\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 020 OK\r\n\r\n" + ok + "Content-Length: 5\r\n\r\nhello",
		"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt-Id: two\r\nContent-Length: 5\r\n\r\nhello",
		ok + "A: b\r\n c\r\n\tdef\r\nContent-Length: 5\n\nhello",
		"\x16\x03\x01\x02\x00\x01\x00",
	} {
		f.Add([]byte(text), false, false)
		f.Add([]byte(text), true, true)
	}
	f.Fuzz(func(t *testing.T, in []byte, head, used bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		r, body, took, err := take(in, method, used)
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; n > uint64(maxResponseHead+maxHeldResponse+64*len(in)) {
			t.Fatalf("%d bytes taken for %d", n, len(in))
		}
		if err != nil {
			return
		}
		if id := r.Header.Get(headerAttemptID); id != "one" && (id != "" || used || r.StatusCode < 300) {
			t.Fatalf("an answer to %q is taken", id)
		}
		if r.StatusCode < 200 || r.StatusCode > 999 {
			t.Fatalf("status %d", r.StatusCode)
		}
		if !head && r.ContentLength >= 0 && r.StatusCode != http.StatusNotModified && r.StatusCode != http.StatusNoContent && int64(len(body)) != r.ContentLength {
			t.Fatalf("%d bytes of %d", len(body), r.ContentLength)
		}
		for cut := took - 1; cut >= max(0, took-40); cut-- {
			if _, short, _, err := take(in[:cut], method, used); err == nil {
				t.Fatalf("whole without its last %d of %d bytes, with %d of its body's %d", took-cut, took, len(short), len(body))
			}
		}
	})
}
