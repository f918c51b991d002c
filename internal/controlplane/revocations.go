package controlplane

import (
	"time"

	"madderwing/internal/config"
)

// revocations holds the answer to a call that takes a key away until no gateway can rely on that
// key. It exists only where the settings bound the time for which a key that was taken away may be
// used on any machine.
type revocations struct {
	*environment
	lastRevokedAt time.Duration // when a key was last taken from a tenant here; 0: never
}

// noteRevocation notes that a key has just been taken away.
func (r *revocations) noteRevocation(now time.Duration) { r.lastRevokedAt = now }

// remainingHold says how much longer the answer to a call that names tenants is to wait:
// until the leases have lapsed under which a gateway that has not heard of it may go
// on using a key. An owner that follows another does not know when that one last
// took a key away.
func (r *revocations) remainingHold(now time.Duration) time.Duration {
	hold := r.settings.HoldRevocation()
	left := time.Duration(0)
	if t, _ := r.member.Tenure(now, config.Key); t.Heir {
		left = t.Since + hold - now
	}
	if r.lastRevokedAt > 0 {
		left = max(left, r.lastRevokedAt+hold-now)
	}
	return max(left, 0)
}
