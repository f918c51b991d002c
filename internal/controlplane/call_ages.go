package controlplane

import (
	"maps"
	"time"

	"madderwing/internal/callage"
	"madderwing/internal/replication"
	"madderwing/internal/rollout"
)

// callAgeSaver saves the ages of the operators' executed calls on disk while they matter, so that a control
// node that is killed and starts again doesn't take old calls for new ones.
type callAgeSaver struct {
	*environment
	evacuations *evacuations
	rollouts    *rollout.Controller

	// saveUntilAge is the age after which a call needs no further save: it is too old to be sent again, and a
	// doubt about the evacuation of a zone has ended.
	saveUntilAge time.Duration
	nextSaveAt   time.Duration
	savedAt      time.Duration // when the ages of the last save were taken
	pending      chan map[uint64]time.Duration
}

// callAgeSaveFraction is the interval between two saves as a fraction of heartbeats. A kill loses up to this much
// of each call's age.
const callAgeSaveFraction = 0.5

func newCallAgeSaver(env *environment, evacuations *evacuations, rollouts *rollout.Controller) *callAgeSaver {
	return &callAgeSaver{environment: env, evacuations: evacuations, rollouts: rollouts,
		saveUntilAge: max(evacuations.repeatWindow, evacuations.maxDoubt), pending: make(chan map[uint64]time.Duration, 1)}
}

// restore sets the ages that an earlier process at this data directory saved.
func (s *callAgeSaver) restore(now time.Duration) {
	ages, err := callage.Load(s.settings.DataDir)
	if err != nil {
		s.log.control.Warn("ages of operators' calls not read; all count as new", "error", err)
	}
	s.evacuations.orders.Restore(now, ages)
	s.rollouts.RestoreCallAges(now, ages)
	s.savedAt = now
}

// tick has the ages saved until those of the last save no longer matter.
func (s *callAgeSaver) tick(now time.Duration) {
	if now < s.nextSaveAt {
		return
	}
	s.nextSaveAt = now + time.Duration(callAgeSaveFraction*float64(s.settings.HeartbeatInterval()))
	if !s.evacuations.orders.AnyWithin(s.savedAt, s.saveUntilAge) && !s.rollouts.AnyCallWithin(s.savedAt, s.saveUntilAge) {
		return
	}
	ages := s.evacuations.orders.Ages(now)
	maps.Copy(ages, s.rollouts.CallAges(now))
	select {
	case s.pending <- ages:
		s.savedAt = now
	default: // the disk is slow; the next tick tries again
	}
}

// run writes to the disk until stop is closed.
func (s *callAgeSaver) run(stop <-chan struct{}) {
	for {
		select {
		case ages := <-s.pending:
			if err := callage.Save(s.settings.DataDir, ages); err != nil {
				s.log.control.Warn("ages of operators' calls not saved", "error", err)
			}
		case <-stop:
			return
		}
	}
}

// callSettler proposes changes that mark operators' calls in a record as too old to be sent again.
type callSettler struct {
	*environment
	inProgress map[string]bool // by partition
}

func newCallSettler(env *environment) *callSettler {
	return &callSettler{environment: env, inProgress: map[string]bool{}}
}

// settle proposes a change of a partition if this control node owns it and no such change is in progress.
func (s *callSettler) settle(now time.Duration, partition string, change func(have records) []replication.Record) {
	if s.inProgress[partition] || s.replica.Owner(now, partition) != s.endpoint.Address() {
		return
	}
	s.inProgress[partition] = true
	s.replica.Propose(now, partition, func(have records) ([]replication.Record, error) {
		return change(have), nil
	}, func(err error) {
		delete(s.inProgress, partition)
		if err != nil {
			s.log.control.Warn("operators' calls not settled", "partition", partition, "error", err)
		}
	})
}
