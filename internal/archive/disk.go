package archive

// This file holds the queue of writes and the goroutine that owns the ledger.

import (
	"errors"
	"sync"
	"time"

	"madderwing/internal/ledger"
)

type writeJob struct {
	entries []ledger.Entry
	id      uint64
	whole   bool
}

// keep owns the ledger: it writes batches in order and reports when they are
// durable. Batches that wait are written together.
func (a *Archive) keep(book *ledger.Ledger) {
	defer book.Close()
	failed := false
	for {
		batch := a.writes.take()
		if batch == nil {
			return
		}
		var entries []ledger.Entry
		var id uint64
		whole := false
		for _, job := range batch {
			if job.whole {
				entries, whole = nil, true // it holds all that was written before
			}
			entries = append(entries, job.entries...)
			id = job.id
		}
		var err error
		switch {
		case whole:
			err = book.Rewrite(entries)
		case failed:
			err = errors.New("waiting for a rewrite")
		default:
			err = book.Write(entries)
		}
		if err != nil {
			if !failed || whole {
				a.log.ledger.Printf("write refused: %v.", err)
				failed = true
				go func() {
					time.Sleep(a.set.Beat() / 2)
					a.do(func(now time.Duration) { a.member.Failed(now) })
				}()
			}
			continue
		}
		failed = failed && !whole
		full := book.Full()
		a.do(func(now time.Duration) {
			a.member.Durable(now, id)
			if full {
				a.member.Failed(now) // compacts by writing the whole state
			}
		})
	}
}

// jobs is the queue of the ledger's goroutine. It has no bound, so that a disk
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
