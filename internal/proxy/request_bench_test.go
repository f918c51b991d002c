package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest measures successive requests over one connection. The figures include the work of the
// client and of the fake upstream.
func BenchmarkRequest(b *testing.B) {
	for _, path := range []string{"/get/x", "/put/x"} {
		b.Run(path, func(b *testing.B) {
			t := &testing.T{}
			h := newHarness(t, newFakeUpstream(t, "u", respondOK))
			c, err := net.Dial("tcp4", h.listener.listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(c, getRequest(path))
				res, err := http.ReadResponse(reader, nil)
				if err != nil || res.StatusCode != http.StatusOK {
					b.Fatal(err, res)
				}
				_, _ = io.Copy(io.Discard, res.Body)
			}
		})
	}
}
