package gateway

import (
	"context"
	"time"

	"madderwing/internal/settings"
)

const (
	// acceptShare is the part of graceS for which connections are taken at most after a
	// SIGTERM: what comes in later might not be answered in time.
	acceptShare = 0.45
	// finishShare is the part of graceS for which what has been read is answered.
	finishShare = 0.95
	// quietShare is the part of a beat without a new connection after which none is expected.
	quietShare = 0.25
)

// leave ends the service of clients after a SIGTERM. The platform goes on to send connections
// here until it has been told often enough, and also afterwards if too few other nodes of the
// zone are ready; they are taken while they come, for a part of the grace.
func (d *Gateway) leave() {
	d.log.Info("leaving")
	d.ready.leaving.Store(true)
	d.handler.Drain()
	d.handler.Pace.SetRate(linkRate(d.set) * leavingPace)
	d.reg.Leave(false)
	began, grace := time.Now(), settings.Seconds(d.set.Bounds.GraceS)
	quiet := time.Duration(float64(d.set.Beat()) * quietShare)
	poll := time.NewTicker(quiet / 4)
	defer poll.Stop()
	var believedAt time.Time
	for {
		if believedAt.IsZero() && d.ready.isBelieved() && !d.set.HasRegistry() { // a registry's answers are used for longer
			believedAt = time.Now()
		}
		var calm time.Duration // for how long the platform has believed it and nothing has come
		if !believedAt.IsZero() {
			calm = min(time.Since(believedAt), d.listener.Quiet())
		}
		if !accepts(grace, time.Since(began), calm, quiet) {
			break
		}
		<-poll.C
	}
	c, cancel := context.WithTimeout(context.Background(), answerTime(grace, time.Since(began)))
	defer cancel()
	d.listener.Shutdown(c)
}

// accepts says whether a gateway that was told to leave some time ago still takes connections:
// until the platform has believed it and none has come for a while, but not for too long.
func accepts(grace, since, calm, quiet time.Duration) bool {
	return calm < quiet && since < time.Duration(float64(grace)*acceptShare)
}

// answerTime is for how long a gateway that was told to leave some time ago goes on to
// answer what it has read, however soon it was believed.
func answerTime(grace, since time.Duration) time.Duration {
	return max(time.Duration(float64(grace)*finishShare)-since, time.Duration(float64(grace)*acceptShare))
}
