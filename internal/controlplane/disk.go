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
func lockDisk(ctx context.Context, set *settings.Settings, logger *slog.Logger) (*storage.Lock, error) {
	for waits := false; ; waits = true {
		lock, err := storage.LockDir(set.DataDir)
		if !errors.Is(err, storage.ErrInUse) {
			return lock, err
		}
		if !waits {
			logger.Warn("waiting for the data directory", "error", err)
		}
		if !pauseFor(ctx, set.Beat()/2) {
			return nil, ctx.Err()
		}
	}
}

// openStore opens the state on disk. A disk that refuses what a start has to
// write is tried again, with a pause; other faults need somebody's hands and are
// returned. storage.ErrDamaged comes with a store that is empty.
func openStore(ctx context.Context, set *settings.Settings, logger *slog.Logger) (*storage.Store, map[string][]byte, error) {
	room := int64(set.Limits.DiskMb * (1 << 20))
	last := ""
	for {
		store, state, err := storage.Open(set.DataDir, room, logger)
		if err == nil || errors.Is(err, storage.ErrDamaged) {
			return store, state, err
		}
		if errors.Is(err, storage.ErrNewerFormat) || errors.Is(err, fs.ErrPermission) || errors.Is(err, fs.ErrNotExist) {
			return nil, nil, err
		}
		if err.Error() != last {
			logger.Warn("state not durable yet, trying again", "error", err)
			last = err.Error()
		}
		if !pauseFor(ctx, set.Beat()/2) {
			return nil, nil, ctx.Err()
		}
	}
}

// writeJob is a batch to be made durable, or the whole state: that holds all
// that was asked for up to its id, so also every job that was put before it.
type writeJob struct {
	entries []storage.Entry
	id      uint64
	whole   bool
}

// store is what writes need of a storage.Store.
type store interface {
	Write([]storage.Entry) error
	Rewrite([]storage.Entry) error
	Full() bool
}

// writer carries jobs out, in order.
type writer struct {
	store  store
	failed bool // a job was refused: nothing is written before the whole state
	asked  bool // the whole state was asked for and is not here yet
}

// written says what came of some jobs.
type written struct {
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
func (w *writer) write(jobs []writeJob) written {
	var entries []storage.Entry
	whole := false
	for _, job := range jobs {
		if job.whole {
			entries, whole, w.asked = nil, true, false
		}
		entries = append(entries, job.entries...)
	}
	var err error
	switch {
	case whole:
		err = w.store.Rewrite(entries)
	case w.failed:
		return written{}
	default:
		err = w.store.Write(entries)
	}
	w.failed = err != nil
	if err != nil {
		if errors.Is(err, storage.ErrRoom) {
			return written{0, w.ask(rewriteNow), err}
		}
		return written{0, w.ask(rewriteLater), err}
	}
	done := written{durable: jobs[len(jobs)-1].id}
	if !whole && w.store.Full() {
		done.rewrite = w.ask(rewriteNow)
	}
	return done
}

// ask asks for the whole state unless that is on its way: what is written or
// refused before it comes is in it.
func (w *writer) ask(when rewriteChoice) rewriteChoice {
	if w.asked {
		return noRewrite
	}
	w.asked = true
	return when
}

// keep owns the store: it writes batches in order and reports when they are
// durable. Batches that wait are written together. When none has come for a while,
// the store notes that all is synced.
func (n *Node) keep(open *storage.Store) {
	defer open.Close()
	w := writer{store: open}
	for {
		jobs, state := n.writes.take(n.set.Beat() / 2)
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
func (n *Node) reportWritten(done written) {
	if done.durable > 0 || done.rewrite == rewriteNow {
		n.do(func(now time.Duration) {
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
			time.Sleep(n.set.Beat() / 2)
			n.do(func(now time.Duration) { n.member.Failed(now) })
		}()
	}
}

// jobs is the queue of the store's goroutine. It has no bound, so that a disk
// that hangs never holds up those who write.
type jobs struct {
	mu      sync.Mutex
	list    []writeJob
	closed  bool
	changed chan struct{} // holds a token after a change
	resting bool          // idleness was reported and no job came since
}

// queueState is what take found.
type queueState int

const (
	queueHasJobs queueState = iota
	queueIdle
	queueClosed
)

func newJobs() *jobs { return &jobs{changed: make(chan struct{}, 1)} }

func (j *jobs) put(job writeJob) {
	j.mu.Lock()
	j.list = append(j.list, job)
	j.mu.Unlock()
	j.signal()
}

func (j *jobs) close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.signal()
}

func (j *jobs) signal() {
	select {
	case j.changed <- struct{}{}:
	default:
	}
}

// take waits for jobs and returns all there are. Once after jobs, when none has
// come for the given time, it says that the queue is idle.
func (j *jobs) take(idleAfter time.Duration) ([]writeJob, queueState) {
	var idle <-chan time.Time // never, if idleness was reported
	for {
		list, closed := j.drain()
		switch {
		case len(list) > 0:
			j.resting = false
			return list, queueHasJobs
		case closed:
			return nil, queueClosed
		}
		if idle == nil && !j.resting {
			idle = time.After(idleAfter)
		}
		select {
		case <-j.changed:
		case <-idle:
			j.resting = true
			return nil, queueIdle
		}
	}
}

func (j *jobs) drain() (list []writeJob, closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	list, j.list = j.list, nil
	return list, j.closed
}
