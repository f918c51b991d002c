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

// environment is what all controllers of a control node share: its settings, its ways to
// other nodes, its replica of the control state, and the queue of the pump. The pump's goroutine
// alone runs the state machines and touches what the controllers hold; all others hand
// it commands.
type environment struct {
	settings   *settings.Settings
	options    Options
	endpoint   *transport.Endpoint
	membership *membership.Service
	startedAt  time.Time
	life       uint64 // tells this life of the process from others
	contact    *contact
	stalls     *stallDetector
	queue      chan func(now time.Duration)
	log        loggers
	room       diskRoom

	// Owned by the pump's goroutine.
	member   *replication.Replica
	election *election.Elector
}

// loggers are those of the components that a control node logs for.
type loggers struct {
	control, replication, storage, election, placement, upstream, rollout *slog.Logger
}

func newLoggers() loggers {
	return loggers{control: logging.For(logging.Control), replication: logging.For(logging.Replication),
		storage: logging.For(logging.Storage), election: logging.For(logging.Election),
		placement: logging.For(logging.Placement), upstream: logging.For(logging.Upstream),
		rollout: logging.For(logging.Rollout)}
}

// enqueue hands a command to the pump.
func (e *environment) enqueue(fn func(now time.Duration)) { e.queue <- fn }

// tryEnqueue hands a command to the pump unless its queue is full.
func (e *environment) tryEnqueue(fn func(now time.Duration)) {
	select {
	case e.queue <- fn:
	default:
	}
}

// now is the time on this process's clock, which begins with its life.
func (e *environment) now() time.Duration { return time.Since(e.startedAt) }

// recentlyInContact says that this control node was in contact with a majority within contactS, or has
// not been up for longer than that.
func (e *environment) recentlyInContact(now time.Duration) bool {
	contactS := settings.Seconds(e.settings.Bounds.ContactS)
	return now < contactS || e.contact.within(now, contactS)
}
