package controlplane

// Creation of the coordinator in its control node.

import (
	"strings"
	"time"

	"madderwing/internal/coordination"
	"madderwing/internal/logging"
	"madderwing/internal/settings"
)

// coordinationAdminPage is the path at which operators see the partitions and their locks.
const coordinationAdminPage = "/v1/admin/coordination"

// newCoordinator creates the coordinator of a node whose replica and transport exist, and whose
// transport has not started.
func newCoordinator(env *environment) *coordinator {
	logger := logging.For(logging.Coordination)
	config := serverConfig(env.settings, env.endpoint.Self(), env.life, env.now, logger)
	config.Limits.HasRoom = env.diskRoom.fits
	return &coordinator{
		owners: env.replica, keys: env.replica.Keys, endpoint: env.endpoint, enqueue: env.enqueue, clock: env.now, inContact: env.contact.fresh, stalls: env.stalls,
		pause: settings.Seconds(coordinationPauseFraction * env.settings.Bounds.ContactS), retryAfter: env.settings.Beat(),
		server: coordination.NewServer(config, env.replica),
		clocks: coordination.NewPeerClocks(), leaving: make(chan struct{}),
		statistics: newCoordinationStats(),
	}
}

// currentState describes coordination as this node sees it.
func (c *coordinator) currentState() CoordinationState {
	result := make(chan CoordinationState, 1)
	c.enqueue(func(now time.Duration) {
		var keys []string
		for _, key := range c.keys() {
			if strings.HasPrefix(key, coordination.KeyPrefix) {
				keys = append(keys, key)
			}
		}
		result <- c.state(now, keys)
	})
	return <-result
}
