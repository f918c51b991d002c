package controlplane

// This file ties the coordinator to the control node that it runs in.

import (
	"log"
	"strings"
	"time"

	"madderwing/internal/coordination"
)

// coordinationAdminPage shows operators the partitions and their locks.
const coordinationAdminPage = "/v1/admin/coordination"

// coordinate makes the coordinator of this node. It is called before the transport starts.
func (a *Node) coordinate(logger *log.Logger) {
	c := newCoordinator(a.set, logger)
	c.replica, c.transport, c.run = a.member, a.post, a.do
	c.clock = func() time.Duration { return time.Since(a.start) }
	c.inContact = a.contact.fresh
	c.listen()
	a.coordination = c
}

// coordinationState describes coordination as this node sees it.
func (a *Node) coordinationState() CoordinationState {
	result := make(chan CoordinationState, 1)
	a.do(func(now time.Duration) {
		var keys []string
		for _, key := range a.member.Keys() {
			if strings.HasPrefix(key, coordination.KeyPrefix) {
				keys = append(keys, key)
			}
		}
		result <- a.coordination.state(now, keys)
	})
	return <-result
}
