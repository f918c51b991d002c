// Package replicationtest supports tests that simulate a network of replicas. It holds the
// parts that don't depend on the replica itself, which the tests of several packages share.
// Only tests import it.
package replicationtest

import (
	"container/heap"
	"time"
)

// Queue holds the events of a simulation in order of time. Events at the same time keep the
// order in which they were added. The zero Queue is empty.
type Queue struct {
	lastOrder int
	events    eventHeap
}

// Add schedules an event.
func (q *Queue) Add(at time.Duration, run func()) {
	q.lastOrder++
	heap.Push(&q.events, event{at, q.lastOrder, run})
}

// Run runs all events that are due until the given time, including those that they add. It sets
// now to the time of each event before it runs, and to until at the end.
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

// eventHeap implements heap.Interface.
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
