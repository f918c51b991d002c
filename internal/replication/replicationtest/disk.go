package replicationtest

import "madderwing/internal/storage"

// Disk is what a simulated disk holds durably.
type Disk map[string][]byte

// Apply carries a write out.
func (d Disk) Apply(entries []storage.Entry) {
	for _, e := range entries {
		if e.Value == nil {
			delete(d, e.Key)
		} else {
			d[e.Key] = e.Value
		}
	}
}
