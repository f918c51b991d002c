package controlplane

import (
	"sync/atomic"

	"madderwing/internal/apierror"
	"madderwing/internal/replication"
	"madderwing/internal/storage"
)

// recordOverheadBytes is roughly what a record takes on disk in addition to its name and data.
const recordOverheadBytes = 128

// diskRoom tracks by how many bytes the control state may grow so that the disk still has room to
// rewrite its file. The goroutine that owns the store updates it; others read it.
type diskRoom struct {
	remaining atomic.Int64 // bytes
}

// update recomputes the room from the store.
func (d *diskRoom) update(store *storage.Store) {
	d.remaining.Store(int64(float64(store.DiskSize())*storage.MaxStateFraction) - store.LiveSize())
}

// fits reports whether the state may grow by the given number of bytes. A change that doesn't
// enlarge the state always fits.
func (d *diskRoom) fits(bytes int) bool { return bytes <= 0 || int64(bytes) <= d.remaining.Load() }

// admit returns an error if the disk has no room for changes to the records of a partition.
func (d *diskRoom) admit(have records, changes []replication.Record) error {
	bytes := 0
	for _, r := range changes {
		bytes += recordSize(r)
		if old, ok := have[r.Name]; ok {
			bytes -= recordSize(old)
		}
	}
	if d.fits(bytes) {
		return nil
	}
	return apierror.New(apierror.BodyTooLarge, "the control state would grow by %d bytes, and the disk has room for %d", bytes, max(0, d.remaining.Load()))
}

func recordSize(r replication.Record) int {
	if r.Erased {
		return 0
	}
	return len(r.Name) + len(r.Data) + recordOverheadBytes
}
