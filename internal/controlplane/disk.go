package controlplane

// Opens the state on disk, and writes to it: the queue of writes and the goroutine that owns the
// store.

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

// lockDataDir locks the data directory for this process. While another process holds the lock,
// perhaps a predecessor that is about to exit, it tries again after a pause.
func lockDataDir(ctx context.Context, cfg *settings.Settings, logger *slog.Logger) (*storage.Lock, error) {
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
// again after a pause. Other errors need an operator and are returned. storage.ErrDamaged is
// returned with an empty store.
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

// writeJob is a batch of entries to make durable, or a snapshot of the complete state. A snapshot
// contains all writes that were requested up to its id, and so every job that was queued before it.
type writeJob struct {
	entries  []storage.Entry
	id       uint64
	snapshot bool
}

// store is the part of storage.Store that the writer uses.
type store interface {
	Write([]storage.Entry) error
	Rewrite([]storage.Entry) error
	ShouldRewrite() bool
}

// writer carries out jobs in order.
type writer struct {
	store            store
	lastFailed       bool // the last write failed: nothing is written before the next snapshot
	rewriteRequested bool // a snapshot was requested and has not arrived yet
}

// writeOutcome is the result of a batch of jobs.
type writeOutcome struct {
	durable uint64        // all jobs up to this id are durable; 0: no more than before
	rewrite rewriteChoice // whether a snapshot must be queued next
	err     error         // of this write; also nil if the jobs were dropped
}

type rewriteChoice int

const (
	noRewrite rewriteChoice = iota
	rewriteNow
	rewriteLater // after a pause, since the disk refuses writes
)

// write carries out jobs as one batch. After a failed write it drops all jobs until the next
// snapshot, which contains them too.
func (w *writer) write(jobs []writeJob) writeOutcome {
	var entries []storage.Entry
	snapshot := false
	for _, job := range jobs {
		if job.snapshot {
			entries, snapshot, w.rewriteRequested = nil, true, false
		}
		entries = append(entries, job.entries...)
	}
	var err error
	switch {
	case snapshot:
		err = w.store.Rewrite(entries)
	case w.lastFailed:
		return writeOutcome{}
	default:
		err = w.store.Write(entries)
	}
	w.lastFailed = err != nil
	if err != nil {
		if errors.Is(err, storage.ErrRewriteRequired) {
			return writeOutcome{0, w.requestRewrite(rewriteNow), err}
		}
		return writeOutcome{0, w.requestRewrite(rewriteLater), err}
	}
	outcome := writeOutcome{durable: jobs[len(jobs)-1].id}
	if !snapshot && w.store.ShouldRewrite() {
		outcome.rewrite = w.requestRewrite(rewriteNow)
	}
	return outcome
}

// requestRewrite requests a snapshot unless one is already awaited: that one contains all that is
// written or refused before it arrives.
func (w *writer) requestRewrite(when rewriteChoice) rewriteChoice {
	if w.rewriteRequested {
		return noRewrite
	}
	w.rewriteRequested = true
	return when
}

// runStore owns the store: it writes the queued jobs in order, all waiting ones as one batch, and
// reports when they are durable. When no job has come for half a heartbeat interval, it has the
// store record that all is synced.
func (n *Node) runStore(opened *storage.Store) {
	defer opened.Close()
	w := writer{store: opened}
	for {
		jobs, state := n.writes.take(n.settings.HeartbeatInterval() / 2)
		switch state {
		case queueClosed:
			return
		case queueIdle:
			if err := opened.MarkSynced(); err != nil {
				n.log.storage.Warn("last batch not marked as synced", "error", err)
			}
			continue
		}
		outcome := w.write(jobs)
		n.diskRoom.update(opened)
		if outcome.err != nil {
			n.log.storage.Warn("write refused", "error", outcome.err)
		}
		n.reportOutcome(outcome)
	}
}

// reportOutcome reports the result of a batch of jobs to the replica.
func (n *Node) reportOutcome(outcome writeOutcome) {
	if outcome.durable > 0 || outcome.rewrite == rewriteNow {
		n.enqueue(func(now time.Duration) {
			if outcome.durable > 0 {
				n.replica.Durable(now, outcome.durable)
			}
			if outcome.rewrite == rewriteNow {
				n.replica.WriteFailed(now) // has the replica write a snapshot
			}
		})
	}
	if outcome.rewrite == rewriteLater {
		go func() {
			time.Sleep(n.settings.HeartbeatInterval() / 2)
			n.enqueue(func(now time.Duration) { n.replica.WriteFailed(now) })
		}()
	}
}

// writeQueue is the queue of jobs for the goroutine that owns the store. It is unbounded, so that a
// disk that hangs never blocks the event loop.
type writeQueue struct {
	mu           sync.Mutex
	pending      []writeJob
	closed       bool
	changed      chan struct{} // has a token after a change
	idleReported bool          // queueIdle was returned, and no job has come since
}

// queueState is the state of the queue that take returns.
type queueState int

const (
	queueHasJobs queueState = iota
	queueIdle
	queueClosed
)

func newWriteQueue() *writeQueue { return &writeQueue{changed: make(chan struct{}, 1)} }

func (q *writeQueue) put(job writeJob) {
	q.mu.Lock()
	q.pending = append(q.pending, job)
	q.mu.Unlock()
	q.signal()
}

func (q *writeQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}

func (q *writeQueue) signal() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// take waits for jobs and returns all that are queued. When none has come for the time idleAfter it
// returns queueIdle, but not again before the next job.
func (q *writeQueue) take(idleAfter time.Duration) ([]writeJob, queueState) {
	var idle <-chan time.Time // nil, which never fires, if queueIdle was returned
	for {
		jobs, closed := q.takeAll()
		switch {
		case len(jobs) > 0:
			q.idleReported = false
			return jobs, queueHasJobs
		case closed:
			return nil, queueClosed
		}
		if idle == nil && !q.idleReported {
			idle = time.After(idleAfter)
		}
		select {
		case <-q.changed:
		case <-idle:
			q.idleReported = true
			return nil, queueIdle
		}
	}
}

func (q *writeQueue) takeAll() (jobs []writeJob, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	jobs, q.pending = q.pending, nil
	return jobs, q.closed
}
