package controlplane

// This file holds how the state on disk is opened, the queue of writes and the
// goroutine that owns the store.

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

// lockDisk takes the data directory for this process. While another has it, perhaps the one before
// that is about to end, it is tried again, with a pause.
func lockDisk(ctx context.Context, cfg *settings.Settings, logger *slog.Logger) (*storage.Lock, error) {
	for waiting := false; ; waiting = true {
		lock, err := storage.LockDir(cfg.DataDir)
		if !errors.Is(err, storage.ErrInUse) {
			return lock, err
		}
		if !waiting {
			logger.Warn("waiting for the data directory", "error", err)
		}
		if !pauseFor(ctx, cfg.Beat()/2) {
			return nil, ctx.Err()
		}
	}
}

// openStore opens the state on disk. A disk that refuses what a start has to
// write is tried again, with a pause; other faults need somebody's hands and are
// returned. storage.ErrDamaged comes with a store that is empty.
func openStore(ctx context.Context, cfg *settings.Settings, logger *slog.Logger) (*storage.Store, map[string][]byte, error) {
	room := int64(cfg.Limits.DiskMb * (1 << 20))
	lastError := ""
	for {
		store, state, err := storage.Open(cfg.DataDir, room, logger)
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
		if !pauseFor(ctx, cfg.Beat()/2) {
			return nil, nil, ctx.Err()
		}
	}
}

// writeJob is a batch to be made durable, or the whole state: that holds all
// that was asked for up to its id, so also every job that was put before it.
type writeJob struct {
	entries    []storage.Entry
	id         uint64
	wholeState bool
}

// store is what writes need of a storage.Store.
type store interface {
	Write([]storage.Entry) error
	Rewrite([]storage.Entry) error
	Full() bool
}

// writer carries jobs out, in order.
type writer struct {
	store            store
	refused          bool // a job was refused: nothing is written before the whole state
	rewriteRequested bool // the whole state was asked for and is not here yet
}

// writeOutcome says what came of some jobs.
type writeOutcome struct {
	durable uint64        // all jobs up to this id are; 0: no more than before
	rewrite rewriteChoice // whether the whole state has to be put next
	err     error         // if it is news
}

type rewriteChoice int

const (
	noRewrite rewriteChoice = iota
	rewriteNow
	rewriteLater // the disk refuses
)

// write carries out jobs that waited together, as one batch. After a refusal it
// drops all jobs up to the whole state, which holds them too.
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
		if errors.Is(err, storage.ErrRoom) {
			return writeOutcome{0, w.requestRewrite(rewriteNow), err}
		}
		return writeOutcome{0, w.requestRewrite(rewriteLater), err}
	}
	done := writeOutcome{durable: jobs[len(jobs)-1].id}
	if !wholeState && w.store.Full() {
		done.rewrite = w.requestRewrite(rewriteNow)
	}
	return done
}

// requestRewrite asks for the whole state unless that is on its way: what is written or
// refused before it comes is in it.
func (w *writer) requestRewrite(when rewriteChoice) rewriteChoice {
	if w.rewriteRequested {
		return noRewrite
	}
	w.rewriteRequested = true
	return when
}

// runStore owns the store: it writes batches in order and reports when they are
// durable. Batches that wait are written together. When none has come for a while,
// the store notes that all is synced.
func (n *Node) runStore(open *storage.Store) {
	defer open.Close()
	w := writer{store: open}
	for {
		jobs, state := n.writes.take(n.settings.Beat() / 2)
		switch state {
		case queueClosed:
			return
		case queueIdle:
			if err := open.MarkSynced(); err != nil {
				n.log.storage.Warn("mark of the last synced batch refused", "error", err)
			}
			continue
		}
		done := w.write(jobs)
		n.room.update(open)
		if done.err != nil {
			n.log.storage.Warn("write refused", "error", done.err)
		}
		n.reportWritten(done)
	}
}

// reportWritten tells the replica what came of some jobs.
func (n *Node) reportWritten(done writeOutcome) {
	if done.durable > 0 || done.rewrite == rewriteNow {
		n.enqueue(func(now time.Duration) {
			if done.durable > 0 {
				n.member.Durable(now, done.durable)
			}
			if done.rewrite == rewriteNow {
				n.member.Failed(now) // writes the whole state
			}
		})
	}
	if done.rewrite == rewriteLater {
		go func() {
			time.Sleep(n.settings.Beat() / 2)
			n.enqueue(func(now time.Duration) { n.member.Failed(now) })
		}()
	}
}

// writeQueue is the queue of the store's goroutine. It has no bound, so that a disk
// that hangs never holds up those who write.
type writeQueue struct {
	mu           sync.Mutex
	pending      []writeJob
	closed       bool
	changed      chan struct{} // holds a token after a change
	idleReported bool          // idleness was reported and no job came since
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

// take waits for jobs and returns all there are. Once after jobs, when none has
// come for the given time, it says that the queue is idle.
func (j *writeQueue) take(idleAfter time.Duration) ([]writeJob, queueState) {
	var idle <-chan time.Time // never, if idleness was reported
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
