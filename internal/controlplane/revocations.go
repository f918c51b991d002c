package controlplane

import (
	"time"

	"madderwing/internal/config"
)

// revocations delays the answer to a call that revokes an API key until no gateway can accept the key
// any more. It exists only where the settings bound how long a revoked key may be used on any
// machine.
type revocations struct {
	*environment
	lastRevokedAt time.Duration // when an API key was last revoked here; 0: never
}

// noteRevocation records that an API key has just been revoked.
func (r *revocations) noteRevocation(now time.Duration) { r.lastRevokedAt = now }

// remainingDelay is how much longer the answer to a call that names tenants must wait: until the
// leases have expired that let a gateway without the change go on accepting a revoked API key. An
// owner that succeeded another does not know when that one last revoked a key, so it counts from the
// start of its own ownership term.
func (r *revocations) remainingDelay(now time.Duration) time.Duration {
	delay := r.settings.RevocationAckDelay()
	remaining := time.Duration(0)
	if term, _ := r.replica.OwnershipTerm(now, config.Partition); term.Inherited {
		remaining = term.Since + delay - now
	}
	if r.lastRevokedAt > 0 {
		remaining = max(remaining, r.lastRevokedAt+delay-now)
	}
	return max(remaining, 0)
}
