package controlplane

import (
	"sync/atomic"

	"madderwing/internal/apierror"
	"madderwing/internal/replication"
	"madderwing/internal/storage"
)

// recordOverhead is about what a record takes on disk beside its name and data.
const recordOverhead = 128

// diskRoom tells how much may be added to the control state so that the file which
// holds it can still be rewritten. The goroutine that owns the store keeps it up to
// date, others ask it.
type diskRoom struct {
	remaining atomic.Int64
}

// update takes over what the store holds.
func (d *diskRoom) update(store *storage.Store) {
	d.remaining.Store(int64(float64(store.Disk())*storage.RewritableFill) - store.Live())
}

// fits says whether so many bytes may be added; what makes the state no larger always may.
func (d *diskRoom) fits(bytes int) bool { return bytes <= 0 || int64(bytes) <= d.remaining.Load() }

// admit refuses changes that the disk has no room for.
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
	return len(r.Name) + len(r.Data) + recordOverhead
}
