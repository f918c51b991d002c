package proxy

import (
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/rollout"
	"madderwing/internal/upstream"
)

// A retired connection reads no further request, whatever deadline net/http sets. A connection of whose
// request a byte has been read is not retired.
func TestRetire(t *testing.T) {
	for _, c := range []struct {
		name                    string
		used, begun, includeNew bool
		retired                 bool
	}{
		{"idle after a response", true, false, false, true},
		{"request partly read", true, true, true, false},
		{"new, not included", false, false, false, false},
		{"new, included", false, false, true, true},
	} {
		serverEnd, clientEnd := net.Pipe()
		conn := &clientConn{Conn: serverEnd}
		conn.markIdle(c.used)
		if c.begun {
			go func() { _, _ = io.WriteString(clientEnd, "1") }()
			_, _ = conn.Read(make([]byte, 1))
		}
		conn.retire(c.includeNew)
		if conn.retired != c.retired {
			t.Errorf("%s: retired %v", c.name, conn.retired)
		}
		if c.retired {
			_ = conn.SetReadDeadline(time.Now().Add(time.Hour))
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Errorf("%s: still readable", c.name)
			}
		}
		serverEnd.Close()
		clientEnd.Close()
	}
}

// A starting node that has no list of upstreams or no configuration yet gives a Retry-After that lasts
// until it should have received them.
func TestRetryAfterOfStartingNode(t *testing.T) {
	h := newHarness(t)
	emptyBalancer := upstream.NewBalancer(upstream.Config{Self: "d", Zone: "z"})
	unlisted := NewDispatcher(upstream.NewBalancer(upstream.Config{Self: "d", Zone: "z"}), 5*time.Second, time.Hour)
	noUpstreams := NewDispatcher(emptyBalancer, 5*time.Second, time.Hour)
	emptyBalancer.SetList(0, nil)
	go unlisted.Run()
	go noUpstreams.Run()
	for _, c := range []struct {
		name       string
		dispatcher *Dispatcher
		table      *config.Table
		startup    bool
	}{
		{"no list of upstreams", unlisted, h.handler.Table(), true},
		{"no configuration", noUpstreams, (&config.Builder{}).Build(nil), true},
		{"empty list of upstreams", noUpstreams, h.handler.Table(), false},
	} {
		handler := NewHandler(c.dispatcher, rollout.NewSplitter("n", time.Hour, func() time.Duration { return 0 }))
		handler.SetTable(c.table)
		req := httptest.NewRequest("GET", "/get/x", nil)
		req.Host = "h.example"
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		retryAfter, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if w.Code != 503 || err != nil || (retryAfter == 10) != c.startup {
			t.Errorf("%s: status %d, Retry-After %q", c.name, w.Code, w.Header().Get("Retry-After"))
		}
	}
}
