package controlplane

import (
	"sync"

	"madderwing/internal/replication"
)

// bootstrapResponder is a relay's part in the bootstrapResponder of a system whose seeds name it: it says that
// it can be no member. If all seeds are relays, the lowest one's word on who is to found
// counts; that is the first control node that asks, and nobody once the process has been
// started again, as it no longer knows whom it named.
type bootstrapResponder struct {
	bootstrap bool
	mu        sync.Mutex
	founder   string
}

// answer is what to say to a member; nil: nothing.
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
