package controlplane

import (
	"time"

	"madderwing/internal/config"
)

// revocations delays the answer to a call that revokes a key until no gateway can accept that key
// any more. It exists only where the settings bound how long a revoked key may be used on any
// machine.
type revocations struct {
	*environment
	lastRevokedAt time.Duration // when a tenant's key was last revoked here; 0: never
}

// noteRevocation records that a key has just been revoked.
func (r *revocations) noteRevocation(now time.Duration) { r.lastRevokedAt = now }

// remainingHold is how much longer the answer to a call that names tenants must wait: until the
// leases have expired under which a gateway that has not heard of the change may go on accepting a
// key. An owner that succeeded another does not know when that one last revoked a key, so it counts
// from the start of its ownership.
func (r *revocations) remainingHold(now time.Duration) time.Duration {
	hold := r.settings.RevocationAckDelay()
	left := time.Duration(0)
	if t, _ := r.replica.OwnershipTerm(now, config.Partition); t.Inherited {
		left = t.Since + hold - now
	}
	if r.lastRevokedAt > 0 {
		left = max(left, r.lastRevokedAt+hold-now)
	}
	return max(left, 0)
}
