package gateway

import (
	"testing"
	"time"

	"madderwing/internal/delivery"
)

func TestReadiness(t *testing.T) {
	confirmed := true
	const now, contactS = 20 * time.Second, 3 * time.Second
	answer := func(fresh bool, asked time.Duration) delivery.Issue {
		i := delivery.Issue{Fresh: fresh}
		if asked > 0 {
			i.Sure = &delivery.Sure{Asked: asked}
		}
		return i
	}
	r := newReadiness(func() bool { return confirmed })
	for i, c := range []struct {
		name     string
		change   func()
		ok, gone bool
	}{
		{"nothing known", func() {}, false, false},
		{"items", func() { r.hasItems.Store(true) }, false, false},
		{"and the list", func() { r.hasList.Store(true) }, false, false},
		{"a control node that is cut off", func() { r.confirmItems(now, answer(false, now-1), contactS) }, false, false},
		{"one that has sent a part", func() { r.confirmItems(now, answer(true, 0), contactS) }, false, false},
		{"an answer from before a freeze", func() { r.confirmItems(now, answer(true, now-contactS-1), contactS) }, false, false},
		{"confirmed", func() { r.confirmItems(now, answer(true, now-1), contactS) }, true, false},
		{"all control nodes cut off later", func() { r.confirmItems(now, answer(false, now-1), contactS) }, true, false},
		{"keys in doubt", func() { confirmed = false }, false, false},
		{"still in doubt", func() {}, false, false}, // no sign that it leaves
		{"keys sure", func() { confirmed = true }, true, false},
		{"leaving, first miss", func() { r.leaving.Store(true) }, false, false},
		{"second miss", func() {}, false, true},
		{"third miss", func() {}, false, true},
	} {
		c.change()
		if ok := r.answerProbe(); ok != c.ok || r.leavingRecognized() != c.gone {
			t.Errorf("%d, %s: ready %v, believed gone %v", i, c.name, ok, r.leavingRecognized())
		}
	}
}

// Large answers on a narrow link were cut short 4.5 s after a SIGTERM, of 6 s of grace,
// where the platform had believed it early.
func TestAnswersHaveTheRestOfTheGrace(t *testing.T) {
	const grace = 6 * time.Second
	for since, want := range map[time.Duration]time.Duration{
		0:                       5700 * time.Millisecond,
		1800 * time.Millisecond: 3900 * time.Millisecond,
		3000 * time.Millisecond: 2700 * time.Millisecond,
	} {
		if got := responseTime(grace, since); got != want {
			t.Errorf("%v after the SIGTERM: %v, want %v", since, got, want)
		}
	}
}

// Where too few other nodes of a zone are ready, the platform goes on to send connections to one
// that leaves: they are taken as long as they come, until there would be no time to answer them.
func TestConnectionsAreTakenWhileTheyCome(t *testing.T) {
	const grace, quiet = 6 * time.Second, 200 * time.Millisecond
	for _, c := range []struct {
		since, calm time.Duration
		want        bool
	}{
		{0, 0, true},
		{time.Second, 0, true}, // not believed yet
		{1200 * time.Millisecond, quiet - 1, true},  // some may still be under way
		{1200 * time.Millisecond, quiet, false},     // none comes any more
		{2600 * time.Millisecond, quiet / 2, true},  // they still come
		{2700 * time.Millisecond, quiet / 2, false}, // too late for their answers
		{2700 * time.Millisecond, 0, false},         // never believed
	} {
		if got := stillAccepts(grace, c.since, c.calm, quiet); got != c.want {
			t.Errorf("%v after the SIGTERM, calm for %v: %v", c.since, c.calm, got)
		}
	}
}
