// Package replicationtest is support for tests: the parts of a simulated world of replicas
// that know no replica, shared by the tests of the packages that run some. Only tests
// import it.
package replicationtest

import (
	"container/heap"
	"time"
)

// Queue holds the events of a simulated world in order of time. Those of one moment keep
// the order in which they were added. The zero Queue is empty.
type Queue struct {
	added  int
	events eventHeap
}

// Add enters an event that is due at a time.
func (q *Queue) Add(at time.Duration, run func()) {
	q.added++
	heap.Push(&q.events, event{at, q.added, run})
}

// Run runs all events that are due until a time, those that they add included, and sets
// now to the time of each before it runs, and to until at the end.
func (q *Queue) Run(now *time.Duration, until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		*now = e.at
		e.run()
	}
	*now = until
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

// eventHeap is a heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}
