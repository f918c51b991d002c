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
	clock := func() time.Duration { return time.Since(a.start) }
	a.coordination = &coordinator{
		owners: a.member, transport: a.post, run: a.do, clock: clock, clocks: coordination.NewPeerClocks(), inContact: a.contact.fresh,
		pause: time.Duration(coordinationPausePart * a.set.Bounds.ContactS * float64(time.Second)), retry: a.set.Beat(),
		server: coordination.NewServer(serverConfig(a.set, a.post.Self(), a.life, clock, logger), a.member),
		closed: make(chan struct{}), ended: make(chan struct{}), stats: newCoordinationStats(),
	}
	a.coordination.listen()
	go a.coordination.watchdog()
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
