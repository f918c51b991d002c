package controlplane

import (
	"maps"
	"time"

	"madderwing/internal/callage"
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
	saved        map[uint64]time.Duration // by the last save
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
	s.saved = ages
}

// tick has the ages saved if they have changed and matter.
func (s *callAgeSaver) tick(now time.Duration) {
	if now < s.nextSaveAt {
		return
	}
	s.nextSaveAt = now + time.Duration(callAgeSaveFraction*float64(s.settings.HeartbeatInterval()))
	ages := s.evacuations.orders.Ages(now)
	maps.Copy(ages, s.rollouts.CallAges(now))
	if !s.matters(ages) {
		return
	}
	select {
	case s.pending <- ages:
		s.saved = ages
	default: // the disk is slow; the next tick tries again
	}
}

// matters reports whether the last save lacks a call or an age that may still decide something.
func (s *callAgeSaver) matters(ages map[uint64]time.Duration) bool {
	for id := range ages {
		if saved, ok := s.saved[id]; !ok || saved <= s.saveUntilAge {
			return true
		}
	}
	return false
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
