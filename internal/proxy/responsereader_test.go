package proxy

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// An invalid Warmup-Left header is rejected: read as zero, it would make an upstream that is still
// warming up look warm.
func TestWarmupLeft(t *testing.T) {
	for header, want := range map[string]time.Duration{"": 0, "0": 0, "1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond,
		"-1": -1, "NaN": -1, "1e300": -1, "Inf": -1, "soon": -1} {
		remaining, ok := parseWarmupLeft(http.Header{headerWarmupLeft: {header}})
		if ok != (want >= 0) || ok && remaining != want {
			t.Errorf("%q: %v %v", header, remaining, ok)
		}
	}
}

// readResponse reads one response as Handler.send does: the head, the held part of the body, and the
// rest of it. consumed is the number of input bytes that belong to the response.
func readResponse(input []byte, method string, reused bool) (response *http.Response, body []byte, consumed int, err error) {
	reader := newResponseReader(bytes.NewReader(input))
	reader.reused = reused
	response, err = reader.readHeadFor(method, "one")
	if err != nil {
		return nil, nil, 0, err
	}
	body, complete, err := readBodyStart(response)
	if err == nil && !complete {
		var rest []byte
		rest, err = io.ReadAll(response.Body)
		body = append(body, rest...)
	}
	unread, _ := io.ReadAll(reader)
	return response, body, len(input) - len(unread), err
}

// FuzzResponses checks that for any input, reading ends and allocates no more than the limit of a
// head, the limit of a held body and a multiple of the input's size; that a response to another
// request is rejected; and that a response accepted as complete is not complete without its last bytes.
func FuzzResponses(f *testing.F) {
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
	f.Fuzz(func(t *testing.T, input []byte, head, reused bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		r, body, consumed, err := readResponse(input, method, reused)
		runtime.ReadMemStats(&after)
		if n := after.TotalAlloc - before.TotalAlloc; n > uint64(maxResponseHead+maxHeldResponse+64*len(input)) {
			t.Fatalf("%d bytes allocated for an input of %d bytes", n, len(input))
		}
		if err != nil {
			return
		}
		if id := r.Header.Get(headerAttemptID); id != "one" && (id != "" || reused || r.StatusCode < 300) {
			t.Fatalf("a response to %q was accepted", id)
		}
		if r.StatusCode < 200 || r.StatusCode > 999 {
			t.Fatalf("status %d", r.StatusCode)
		}
		if !head && r.ContentLength >= 0 && r.StatusCode != http.StatusNotModified && r.StatusCode != http.StatusNoContent && int64(len(body)) != r.ContentLength {
			t.Fatalf("body has %d bytes, Content-Length is %d", len(body), r.ContentLength)
		}
		for length := consumed - 1; length >= max(0, consumed-40); length-- {
			if _, shortBody, _, err := readResponse(input[:length], method, reused); err == nil {
				t.Fatalf("accepted as complete without its last %d of %d bytes, with %d of %d body bytes", consumed-length, consumed, len(shortBody), len(body))
			}
		}
	})
}
