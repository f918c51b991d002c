package controlplane

// This file holds the queue of writes and the goroutine that owns the file.

import (
	"errors"
	"sync"
	"time"

	"madderwing/internal/storage"
)

// writeJob is a batch to be made durable, or the whole state: that holds all
// that was asked for up to its id, so also every job that was put before it.
type writeJob struct {
	entries []storage.Entry
	id      uint64
	whole   bool
}

// book is what writes need of the storage.
type book interface {
	Write([]storage.Entry) error
	Rewrite([]storage.Entry) error
	Full() bool
}

// writer carries jobs out, in order.
type writer struct {
	book   book
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
		err = w.book.Rewrite(entries)
	case w.failed:
		return written{}
	default:
		err = w.book.Write(entries)
	}
	w.failed = err != nil
	if err != nil {
		if errors.Is(err, storage.ErrRoom) {
			return written{0, w.ask(rewriteNow), err}
		}
		return written{0, w.ask(rewriteLater), err}
	}
	done := written{durable: jobs[len(jobs)-1].id}
	if !whole && w.book.Full() {
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

// keep owns the file: it writes batches in order and reports when they are
// durable. Batches that wait are written together.
func (n *Node) keep(open *storage.Ledger) {
	defer open.Close()
	w := writer{book: open}
	for {
		jobs := n.writes.take()
		if jobs == nil {
			return
		}
		done := w.write(jobs)
		if done.err != nil {
			n.log.storage.Warn("write refused", "error", done.err)
		}
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
}

// jobs is the queue of the file's goroutine. It has no bound, so that a disk
// that hangs never holds up those who write.
type jobs struct {
	mu     sync.Mutex
	some   sync.Cond
	list   []writeJob
	closed bool
}

func newJobs() *jobs {
	j := &jobs{}
	j.some.L = &j.mu
	return j
}

func (j *jobs) put(job writeJob) {
	j.mu.Lock()
	j.list = append(j.list, job)
	j.mu.Unlock()
	j.some.Signal()
}

// take waits for jobs and returns all there are; nil when closed.
func (j *jobs) take() []writeJob {
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(j.list) == 0 && !j.closed {
		j.some.Wait()
	}
	list := j.list
	j.list = nil
	return list
}

func (j *jobs) close() {
	j.mu.Lock()
	j.closed = true
	j.mu.Unlock()
	j.some.Signal()
}
