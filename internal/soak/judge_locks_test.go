package soak

import "fmt"

// findLockConflicts finds locks that two applications considered themselves the holder of at the same time,
// fencing tokens that are not above one that another holder got before the call was sent, and fencing tokens given
// to two holders.
func findLockConflicts(h *history) (found []string) {
	for i, a := range h.lockHoldings {
		for _, b := range h.lockHoldings[i+1:] {
			if a.lock != b.lock || a.owner == b.owner {
				continue
			}
			first, second := a, b
			if b.heldFrom.Before(a.heldFrom) {
				first, second = b, a
			}
			switch {
			case second.heldFrom.Before(first.heldUntil):
				found = append(found, fmt.Sprintf("%s and %s hold %s, fencing tokens %d and %d", first.owner, second.owner, a.lock, first.fencingToken, second.fencingToken))
			case first.fencingToken == second.fencingToken, first.heldFrom.Before(second.acquireSent) && second.fencingToken <= first.fencingToken:
				found = append(found, fmt.Sprintf("%s got fencing token %d of %s after %s got %d", second.owner, second.fencingToken, a.lock, first.owner, first.fencingToken))
			}
		}
	}
	return found
}

// findNumberConflicts finds numbers issued twice for a name, and numbers that are not above one issued for the
// name before the call was sent.
func findNumberConflicts(h *history) (found []string) {
	for i, a := range h.issuedNumbers {
		for j, b := range h.issuedNumbers {
			if a.name == b.name && (i < j && a.value == b.value || a.answered.Before(b.sent) && b.value <= a.value) {
				found = append(found, fmt.Sprintf("%s: %d, and then %d", a.name, a.value, b.value))
			}
		}
	}
	return found
}
