package controlplane

// Opening the state on disk, the queue of writes, and the goroutine that owns the store.

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"sync"
	"time"

	"madderwing/internal/settings"
	"madderwing/internal/storage"
)

// lockDisk locks the data directory for this process. While another process holds the lock, perhaps
// a predecessor that is about to exit, it tries again after a pause.
func lockDisk(ctx context.Context, cfg *settings.Settings, logger *slog.Logger) (*storage.Lock, error) {
	for waiting := false; ; waiting = true {
		lock, err := storage.LockDir(cfg.DataDir)
		if !errors.Is(err, storage.ErrInUse) {
			return lock, err
		}
		if !waiting {
			logger.Warn("waiting for the data directory", "error", err)
		}
		if !pauseFor(ctx, cfg.HeartbeatInterval()/2) {
			return nil, ctx.Err()
		}
	}
}

// openStore opens the state on disk. While the disk refuses the writes that opening needs, it tries
// again after a pause. Other errors need an operator and are returned. storage.ErrDamaged comes
// with an empty store.
func openStore(ctx context.Context, cfg *settings.Settings, logger *slog.Logger) (*storage.Store, map[string][]byte, error) {
	maxBytes := int64(cfg.Limits.DiskMb * (1 << 20))
	lastError := ""
	for {
		store, state, err := storage.Open(cfg.DataDir, maxBytes, logger)
		if err == nil || errors.Is(err, storage.ErrDamaged) {
			return store, state, err
		}
		if errors.Is(err, storage.ErrNewerFormat) || errors.Is(err, fs.ErrPermission) || errors.Is(err, fs.ErrNotExist) {
			return nil, nil, err
		}
		if err.Error() != lastError {
			logger.Warn("state not durable yet, trying again", "error", err)
			lastError = err.Error()
		}
		if !pauseFor(ctx, cfg.HeartbeatInterval()/2) {
			return nil, nil, ctx.Err()
		}
	}
}

// writeJob is a batch of entries to make durable, or the whole state. The whole state contains all
// that was requested up to its id, and so every job that was queued before it.
type writeJob struct {
	entries    []storage.Entry
	id         uint64
	wholeState bool
}

// store is the part of storage.Store that writes use.
type store interface {
	Write([]storage.Entry) error
	Rewrite([]storage.Entry) error
	ShouldRewrite() bool
}

// writer carries out jobs in order.
type writer struct {
	store            store
	refused          bool // the last write failed: nothing is written before the whole state
	rewriteRequested bool // the whole state was requested and has not arrived yet
}

// writeOutcome is the result of some jobs.
type writeOutcome struct {
	durable uint64        // all jobs up to this id are durable; 0: no more than before
	rewrite rewriteChoice // whether the whole state must be queued next
	err     error         // of this write; nil also where jobs were dropped
}

type rewriteChoice int

const (
	noRewrite rewriteChoice = iota
	rewriteNow
	rewriteLater // after a pause, since the disk refuses writes
)

// write carries out jobs that waited together, as one batch. After a failed write it drops all jobs
// before the whole state, which contains them too.
func (w *writer) write(jobs []writeJob) writeOutcome {
	var entries []storage.Entry
	wholeState := false
	for _, job := range jobs {
		if job.wholeState {
			entries, wholeState, w.rewriteRequested = nil, true, false
		}
		entries = append(entries, job.entries...)
	}
	var err error
	switch {
	case wholeState:
		err = w.store.Rewrite(entries)
	case w.refused:
		return writeOutcome{}
	default:
		err = w.store.Write(entries)
	}
	w.refused = err != nil
	if err != nil {
		if errors.Is(err, storage.ErrRewriteRequired) {
			return writeOutcome{0, w.requestRewrite(rewriteNow), err}
		}
		return writeOutcome{0, w.requestRewrite(rewriteLater), err}
	}
	done := writeOutcome{durable: jobs[len(jobs)-1].id}
	if !wholeState && w.store.ShouldRewrite() {
		done.rewrite = w.requestRewrite(rewriteNow)
	}
	return done
}

// requestRewrite requests the whole state unless that is already on its way: it contains what is
// written or refused before it arrives.
func (w *writer) requestRewrite(when rewriteChoice) rewriteChoice {
	if w.rewriteRequested {
		return noRewrite
	}
	w.rewriteRequested = true
	return when
}

// runStore owns the store: it writes jobs in order, waiting ones together, and reports when they
// are durable. When none has come for a while, it has the store record that all is synced.
func (n *Node) runStore(open *storage.Store) {
	defer open.Close()
	w := writer{store: open}
	for {
		jobs, state := n.writes.take(n.settings.HeartbeatInterval() / 2)
		switch state {
		case queueClosed:
			return
		case queueIdle:
			if err := open.MarkSynced(); err != nil {
				n.log.storage.Warn("last batch not marked as synced", "error", err)
			}
			continue
		}
		done := w.write(jobs)
		n.diskRoom.update(open)
		if done.err != nil {
			n.log.storage.Warn("write refused", "error", done.err)
		}
		n.reportWritten(done)
	}
}

// reportWritten reports the result of some jobs to the replica.
func (n *Node) reportWritten(done writeOutcome) {
	if done.durable > 0 || done.rewrite == rewriteNow {
		n.enqueue(func(now time.Duration) {
			if done.durable > 0 {
				n.replica.Durable(now, done.durable)
			}
			if done.rewrite == rewriteNow {
				n.replica.WriteFailed(now) // has the replica write the whole state
			}
		})
	}
	if done.rewrite == rewriteLater {
		go func() {
			time.Sleep(n.settings.HeartbeatInterval() / 2)
			n.enqueue(func(now time.Duration) { n.replica.WriteFailed(now) })
		}()
	}
}

// writeQueue is the queue of the store's goroutine. It is unbounded, so that a disk that hangs
// never blocks the event loop.
type writeQueue struct {
	mu           sync.Mutex
	pending      []writeJob
	closed       bool
	changed      chan struct{} // has a token after a change
	idleReported bool          // idleness was reported, and no job came since
}

// queueState is what take found.
type queueState int

const (
	queueHasJobs queueState = iota
	queueIdle
	queueClosed
)

func newWriteQueue() *writeQueue { return &writeQueue{changed: make(chan struct{}, 1)} }

func (j *writeQueue) put(job writeJob) {
	j.mu.Lock()
	j.pending = append(j.pending, job)
	j.mu.Unlock()
	j.signal()
}

func (j *writeQueue) close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.signal()
}

func (j *writeQueue) signal() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// take waits for jobs and returns all that are queued. When none has come for the given time it
// returns queueIdle, once after each run of jobs.
func (j *writeQueue) take(idleAfter time.Duration) ([]writeJob, queueState) {
	var idle <-chan time.Time // nil, which never fires, if idleness was reported
	for {
		list, closed := j.takeAll()
		switch {
		case len(list) > 0:
			j.idleReported = false
			return list, queueHasJobs
		case closed:
			return nil, queueClosed
		}
		if idle == nil && !j.idleReported {
			idle = time.After(idleAfter)
		}
		select {
		case <-j.changed:
		case <-idle:
			j.idleReported = true
			return nil, queueIdle
		}
	}
}

func (j *writeQueue) takeAll() (list []writeJob, closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	list, j.pending = j.pending, nil
	return list, j.closed
}
