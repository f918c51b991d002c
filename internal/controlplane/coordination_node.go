package controlplane

// This file ties the coordinator to the control node that it runs in.

import (
	"strings"
	"time"

	"madderwing/internal/coordination"
	"madderwing/internal/logging"
)

// coordinationAdminPage shows operators the partitions and their locks.
const coordinationAdminPage = "/v1/admin/coordination"

// coordinate makes the coordinator of this node. It is called before the transport starts.
func (n *Node) coordinate() {
	clock := n.now
	n.coordination = &coordinator{
		owners: n.member, transport: n.post, run: n.do, clock: clock, clocks: coordination.NewPeerClocks(), inContact: n.contact.fresh,
		pause: time.Duration(coordinationPausePart * n.set.Bounds.ContactS * float64(time.Second)), retry: n.set.Beat(),
		server: coordination.NewServer(serverConfig(n.set, n.post.Self(), n.life, clock, logging.For(logging.Coordination)), n.member),
		closed: make(chan struct{}), ended: make(chan struct{}), stats: newCoordinationStats(),
	}
	n.coordination.listen()
	go n.coordination.watchdog()
}

// coordinationState describes coordination as this node sees it.
func (n *Node) coordinationState() CoordinationState {
	result := make(chan CoordinationState, 1)
	n.do(func(now time.Duration) {
		var keys []string
		for _, key := range n.member.Keys() {
			if strings.HasPrefix(key, coordination.KeyPrefix) {
				keys = append(keys, key)
			}
		}
		result <- n.coordination.state(now, keys)
	})
	return <-result
}
