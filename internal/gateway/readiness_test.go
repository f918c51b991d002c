package gateway

import (
	"testing"
	"time"

	"madderwing/internal/delivery"
)

func TestReadiness(t *testing.T) {
	keysConfirmed := true
	const now, contactS = 20 * time.Second, 3 * time.Second
	update := func(fresh bool, asked time.Duration) delivery.Update {
		i := delivery.Update{Fresh: fresh}
		if asked > 0 {
			i.Freshness = &delivery.Freshness{AskedAt: asked}
		}
		return i
	}
	r := newReadiness(func() bool { return keysConfirmed })
	for i, c := range []struct {
		name           string
		change         func()
		ok, recognized bool
	}{
		{"no data", func() {}, false, false},
		{"items only", func() { r.hasItems.Store(true) }, false, false},
		{"items and list, not confirmed", func() { r.hasList.Store(true) }, false, false},
		{"update from a control node without majority", func() { r.confirmItems(now, update(false, now-1), contactS) }, false, false},
		{"incomplete update", func() { r.confirmItems(now, update(true, 0), contactS) }, false, false},
		{"reply that was delayed beyond maxAge", func() { r.confirmItems(now, update(true, now-contactS-1), contactS) }, false, false},
		{"confirmed", func() { r.confirmItems(now, update(true, now-1), contactS) }, true, false},
		{"later all control nodes without majority", func() { r.confirmItems(now, update(false, now-1), contactS) }, true, false},
		{"keys unconfirmed", func() { keysConfirmed = false }, false, false},
		{"keys still unconfirmed", func() {}, false, false}, // failed probes without a shutdown
		{"keys confirmed", func() { keysConfirmed = true }, true, false},
		{"shutdown, first failed probe", func() { r.shuttingDown.Store(true) }, false, false},
		{"second failed probe", func() {}, false, true},
		{"third failed probe", func() {}, false, true},
	} {
		c.change()
		if ok := r.answerProbe(); ok != c.ok || r.shutdownRecognized() != c.recognized {
			t.Errorf("%d, %s: ready %v, shutdown recognized %v", i, c.name, ok, r.shutdownRecognized())
		}
	}
}

// Large responses on a slow link must get the rest of the grace period. If it ended earlier because the
// platform had recognized the shutdown early, they would be truncated (seen at 4.5 s of 6 s of grace).
func TestResponseTime(t *testing.T) {
	const grace = 6 * time.Second
	for elapsed, want := range map[time.Duration]time.Duration{
		0:                       5700 * time.Millisecond,
		1800 * time.Millisecond: 3900 * time.Millisecond,
		3000 * time.Millisecond: 2700 * time.Millisecond,
	} {
		if got := responseTime(grace, elapsed); got != want {
			t.Errorf("%v after SIGTERM: %v, want %v", elapsed, got, want)
		}
	}
}

// If too few other nodes of a zone are ready, the platform continues to send connections to a node that
// shuts down. These are accepted while they arrive, until there is no time left to respond to them.
func TestStillAccepts(t *testing.T) {
	const grace, quiet = 6 * time.Second, 200 * time.Millisecond
	for _, c := range []struct {
		elapsed, idle time.Duration
		want          bool
	}{
		{0, 0, true},
		{time.Second, 0, true}, // shutdown not recognized yet
		{1200 * time.Millisecond, quiet - 1, true},  // connections may still be on their way
		{1200 * time.Millisecond, quiet, false},     // no connection arrives any more
		{2600 * time.Millisecond, quiet / 2, true},  // connections still arrive
		{2700 * time.Millisecond, quiet / 2, false}, // too late to respond to them
		{2700 * time.Millisecond, 0, false},         // shutdown never recognized
	} {
		if got := stillAccepts(grace, c.elapsed, c.idle, quiet); got != c.want {
			t.Errorf("%v after SIGTERM, idle for %v: accepts %v", c.elapsed, c.idle, got)
		}
	}
}
