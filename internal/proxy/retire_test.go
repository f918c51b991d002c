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

// A connection that rests stays closed to what comes later, whatever deadline the server
// sets; one whose request has begun does not.
func TestRetire(t *testing.T) {
	for _, c := range []struct {
		name             string
		old, begun, also bool
		retired          bool
	}{
		{"rests after an answer", true, false, false, true},
		{"has begun to be read", true, true, true, false},
		{"new, and young", false, false, false, false},
		{"new, and nothing comes", false, false, true, true},
	} {
		near, far := net.Pipe()
		g := &clientConn{Conn: near}
		g.markIdle(c.old)
		if c.begun {
			go func() { _, _ = io.WriteString(far, "1") }()
			_, _ = g.Read(make([]byte, 1))
		}
		g.retire(c.also)
		if g.retired != c.retired {
			t.Errorf("%s: retired %v", c.name, g.retired)
		}
		if c.retired {
			_ = g.SetReadDeadline(time.Now().Add(time.Hour))
			if _, err := g.Read(make([]byte, 1)); err == nil {
				t.Errorf("%s: read on", c.name)
			}
		}
		near.Close()
		far.Close()
	}
}

// A node that knows no list yet, or no items, sends clients back no sooner than it will.
func TestANodeThatStartsSendsClientsBackLater(t *testing.T) {
	r := newRig(t)
	listed := upstream.NewBalancer(upstream.Config{Self: "d", Zone: "z"})
	bare := NewDispatcher(upstream.NewBalancer(upstream.Config{Self: "d", Zone: "z"}), 5*time.Second, time.Hour)
	none := NewDispatcher(listed, 5*time.Second, time.Hour)
	listed.SetList(0, nil)
	go bare.Run()
	go none.Run()
	for _, c := range []struct {
		name       string
		dispatcher *Dispatcher
		table      *config.Table
		later      bool
	}{
		{"no list", bare, r.handler.Table(), true},
		{"no items", none, (&config.Builder{}).Build(nil), true},
		{"a list without upstreams", none, r.handler.Table(), false},
	} {
		f := NewHandler(c.dispatcher, rollout.NewArms("n", time.Hour, func() time.Duration { return 0 }))
		f.SetTable(c.table)
		req := httptest.NewRequest("GET", "/get/x", nil)
		req.Host = "h.example"
		w := httptest.NewRecorder()
		f.ServeHTTP(w, req)
		after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if w.Code != 503 || err != nil || (after == 10) != c.later {
			t.Errorf("%s: %d, Retry-After %q", c.name, w.Code, w.Header().Get("Retry-After"))
		}
	}
}
