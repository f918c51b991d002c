package controlplane

import (
	"log/slog"
	"time"

	"madderwing/internal/election"
	"madderwing/internal/logging"
	"madderwing/internal/membership"
	"madderwing/internal/replication"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
)

// environment is what all controllers of a control node share: the settings, the transport, the
// replica of the control state and the queue of the event loop. Only the event loop runs the state
// machines and accesses the controllers' state; other goroutines queue functions for it.
type environment struct {
	settings   *settings.Settings
	options    Options
	endpoint   *transport.Endpoint
	membership *membership.Service
	startedAt  time.Time
	runID      uint64 // random; identifies this process run
	contact    *contact
	stalls     *stallDetector
	queue      chan func(now time.Duration)
	log        loggers
	diskRoom   diskRoom

	// Owned by the event loop.
	replica  *replication.Replica
	election *election.Elector
}

// loggers holds the loggers of the components that a control node logs for.
type loggers struct {
	control, replication, storage, election, placement, upstream, rollout *slog.Logger
}

func newLoggers() loggers {
	return loggers{control: logging.Logger(logging.Control), replication: logging.Logger(logging.Replication),
		storage: logging.Logger(logging.Storage), election: logging.Logger(logging.Election),
		placement: logging.Logger(logging.Placement), upstream: logging.Logger(logging.Upstream),
		rollout: logging.Logger(logging.Rollout)}
}

// enqueue queues a function for the event loop. It blocks while the queue is full.
func (e *environment) enqueue(fn func(now time.Duration)) { e.queue <- fn }

// tryEnqueue queues a function for the event loop, or drops it if the queue is full.
func (e *environment) tryEnqueue(fn func(now time.Duration)) {
	select {
	case e.queue <- fn:
	default:
	}
}

// now is the time since this process started.
func (e *environment) now() time.Duration { return time.Since(e.startedAt) }

// recentlyInContact reports whether this node was in contact with a majority within contactS, or
// has been up for less than that.
func (e *environment) recentlyInContact(now time.Duration) bool {
	contactS := settings.Seconds(e.settings.Bounds.ContactS)
	return now < contactS || e.contact.within(now, contactS)
}
