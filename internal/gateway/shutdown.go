package gateway

import (
	"context"
	"time"

	"madderwing/internal/settings"
)

const (
	// acceptFraction is the fraction of the setting graceS for which connections are accepted at most
	// after SIGTERM. Later requests might not get their responses in time.
	acceptFraction = 0.45
	// finishFraction is the fraction of graceS until which requests that have been read get responses.
	finishFraction = 0.95
	// quietFraction is the fraction of a heartbeat interval without a new connection after which none is
	// expected.
	quietFraction = 0.25
)

// shutDown stops serving clients after SIGTERM. The platform continues to send connections until
// enough readiness probes have failed, and even longer if too few other nodes of the zone are ready.
// The gateway accepts connections while they arrive, for a part of graceS.
func (g *Gateway) shutDown() {
	g.log.Info("leaving")
	g.readiness.shuttingDown.Store(true)
	g.handler.Drain()
	g.handler.Pacer.SetRate(linkRate(g.settings) * shutdownFraction)
	g.members.Leave(false)
	began, grace := time.Now(), settings.Seconds(g.settings.Bounds.GraceS)
	quiet := time.Duration(float64(g.settings.HeartbeatInterval()) * quietFraction)
	poll := time.NewTicker(quiet / 4)
	defer poll.Stop()
	var recognizedAt time.Time
	for {
		if recognizedAt.IsZero() && g.readiness.shutdownRecognized() && !g.settings.HasRegistry() { // clients cache a registry's replies for longer
			recognizedAt = time.Now()
		}
		var idle time.Duration // how long the platform has recognized the shutdown and no connection has arrived
		if !recognizedAt.IsZero() {
			idle = min(time.Since(recognizedAt), g.listener.SinceLastAccept())
		}
		if !stillAccepts(grace, time.Since(began), idle, quiet) {
			break
		}
		<-poll.C
	}
	ctx, cancel := context.WithTimeout(context.Background(), responseTime(grace, time.Since(began)))
	defer cancel()
	g.listener.Shutdown(ctx)
}

// stillAccepts reports whether a gateway still accepts connections when the given time has elapsed since
// SIGTERM: until the platform has recognized the shutdown and no connection has arrived for the time
// quiet, but not beyond acceptFraction.
func stillAccepts(grace, elapsed, idle, quiet time.Duration) bool {
	return idle < quiet && elapsed < time.Duration(float64(grace)*acceptFraction)
}

// responseTime returns how long a gateway continues to respond to requests that it has read, if it stopped
// accepting connections when the given time had elapsed since SIGTERM: until finishFraction of graceS has
// passed, however early the platform recognized the shutdown, but for at least acceptFraction of graceS.
func responseTime(grace, elapsed time.Duration) time.Duration {
	return max(time.Duration(float64(grace)*finishFraction)-elapsed, time.Duration(float64(grace)*acceptFraction))
}
