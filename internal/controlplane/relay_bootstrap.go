package controlplane

import (
	"sync"

	"madderwing/internal/replication"
)

// bootstrapResponder is a relay's part in the bootstrap of a cluster whose seeds name the relay: it
// answers that it can be no member. If all seeds are relays, the answer of the lowest one decides
// which member bootstraps the cluster: the first that asks it. A relay without the bootstrap
// setting appoints nobody, since it may have appointed one before it was restarted.
type bootstrapResponder struct {
	bootstrap bool
	mu        sync.Mutex
	appointee string
}

// answer returns the reply to a member's message; nil: none.
func (b *bootstrapResponder) answer(from string, m replication.Message) *replication.BootstrapReply {
	request, ok := m.Body.(*replication.BootstrapRequest)
	if !ok || len(request.Records) > 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bootstrap && b.appointee == "" {
		b.appointee = from
	}
	return &replication.BootstrapReply{Relay: true, Appointed: b.appointee}
}
