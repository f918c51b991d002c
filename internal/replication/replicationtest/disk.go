package replicationtest

import "madderwing/internal/storage"

// Disk is the durable content of a simulated disk.
type Disk map[string][]byte

// Apply applies a batch of writes; a nil value deletes the key.
func (d Disk) Apply(entries []storage.Entry) {
	for _, e := range entries {
		if e.Value == nil {
			delete(d, e.Key)
		} else {
			d[e.Key] = e.Value
		}
	}
}
