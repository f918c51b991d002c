package controlplane

// Creates the coordinator of a control node.

import (
	"strings"
	"time"

	"madderwing/internal/coordination"
	"madderwing/internal/logging"
	"madderwing/internal/settings"
)

// coordinationAdminPath is the path at which operators see the partitions and their locks.
const coordinationAdminPath = "/v1/admin/coordination"

// newCoordinator creates the coordinator of a node whose replica and transport exist, and whose
// transport has not started.
func newCoordinator(env *environment) *coordinator {
	logger := logging.Logger(logging.Coordination)
	config := serverConfig(env.settings, env.endpoint.Address(), env.runID, env.now, logger)
	config.Limits.HasRoom = env.diskRoom.fits
	return &coordinator{
		owners: env.replica, partitions: env.replica.Partitions, endpoint: env.endpoint, enqueue: env.enqueue, clock: env.now, inContact: env.contact.fresh, stalls: env.stalls,
		pause: settings.Seconds(coordinationPauseFraction * env.settings.Bounds.ContactS), retryAfter: env.settings.HeartbeatInterval(),
		server: coordination.NewServer(config, env.replica),
		clocks: coordination.NewPeerClocks(), shutdown: make(chan struct{}),
		statistics: newCoordinationStats(),
	}
}

// currentState describes coordination as this node sees it.
func (c *coordinator) currentState() CoordinationState {
	result := make(chan CoordinationState, 1)
	c.enqueue(func(now time.Duration) {
		var partitions []string
		for _, partition := range c.partitions() {
			if strings.HasPrefix(partition, coordination.PartitionPrefix) {
				partitions = append(partitions, partition)
			}
		}
		result <- c.state(now, partitions)
	})
	return <-result
}
