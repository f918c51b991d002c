package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest measures one client's requests over a kept connection, the upstream's and the
// client's own work among them.
func BenchmarkRequest(b *testing.B) {
	for _, path := range []string{"/get/x", "/put/x"} {
		b.Run(path, func(b *testing.B) {
			t := &testing.T{}
			r := newRig(t, newUpstream(t, "u", steady))
			c, err := net.Dial("tcp4", r.listener.listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			br := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(c, get(path))
				res, err := http.ReadResponse(br, nil)
				if err != nil || res.StatusCode != http.StatusOK {
					b.Fatal(err, res)
				}
				_, _ = io.Copy(io.Discard, res.Body)
			}
		})
	}
}
