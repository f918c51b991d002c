package controlplane

import (
	"sync"

	"madderwing/internal/replication"
)

// bootstrapResponder is a relay's part in the bootstrap of a cluster whose seeds name the relay: it
// answers that it can be no member. If all seeds are relays, the answer of the lowest one decides
// which member founds the cluster: the first that asks it. A relay without the bootstrap setting
// appoints nobody, since it may have appointed one before it was restarted.
type bootstrapResponder struct {
	bootstrap bool
	mu        sync.Mutex
	founder   string
}

// answer returns the reply to a member's message; nil: none.
func (f *bootstrapResponder) answer(from string, m replication.Message) *replication.Founded {
	found, ok := m.Body.(*replication.Found)
	if !ok || len(found.Records) > 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bootstrap && f.founder == "" {
		f.founder = from
	}
	return &replication.Founded{Relay: true, Appointed: f.founder}
}
