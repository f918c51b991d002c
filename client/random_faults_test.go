package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// callerLog checks what the callers of a random run saw. Everything is by their own count.
type callerLog struct {
	t  *testing.T
	mu sync.Mutex
	// holder is the lease that counts itself as the lock's, token the highest that was held.
	holder       *Lease
	highestToken uint64
	leases       int
	// numbers holds the numbers, acknowledged the revisions and values of puts.
	numbers      map[uint64]bool
	acknowledged map[uint64]string
	watched      map[uint64]string
}

func (h *callerLog) recordLease(lease *Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != nil && h.holder.Remaining() > 0 {
		h.t.Errorf("%s and %s hold the lock at once", h.holder.Owner(), lease.Owner())
	}
	if lease.Token() <= h.highestToken {
		h.t.Errorf("token %d after %d", lease.Token(), h.highestToken)
	}
	h.holder, h.highestToken = lease, lease.Token()
	h.leases++
}

func (h *callerLog) recordNumber(before, number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.numbers[number] || number <= before {
		h.t.Errorf("number %d was given again, or after %d", number, before)
	}
	h.numbers[number] = true
}

// TestRandomFaults lets callers work through random faults: late and lost answers, late
// calls, refusals, redirections, and owners that change with all leases given anew.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSimulated(t, func(t *testing.T, s *fakeServer) { runRandomFaults(t, s, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, s *fakeServer, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 23))
	log := &callerLog{t: t, numbers: map[uint64]bool{}, acknowledged: map[uint64]string{}, watched: map[uint64]string{}}
	s.put("g.first", putRequest{Value: "first"})
	unavailableUntil := time.Time{} // no node answers before
	s.setFault(func(_ int, r *http.Request) fault {
		if time.Now().Before(unavailableUntil) {
			return fault{status: http.StatusServiceUnavailable}
		}
		return randomFault(random, r)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var callers sync.WaitGroup
	for nth := range 4 {
		c := newTestClient(t, s)
		callers.Go(func() { lockRepeatedly(ctx, c, log, rand.New(rand.NewPCG(seed, uint64(nth)))) })
		callers.Go(func() { drawRepeatedly(ctx, c, log) })
		callers.Go(func() { putRepeatedly(ctx, c, log, nth) })
	}
	callers.Go(func() {
		for event, err := range newTestClient(t, s).Watch(ctx, "g", 1) {
			if err != nil {
				return
			}
			log.watched[event.Revision] = event.Value
		}
	})
	for ctx.Err() == nil {
		_ = sleep(ctx, 20*time.Second)
		s.mu.Lock()
		unavailableUntil = time.Now().Add(1200 * time.Millisecond)
		s.mu.Unlock()
		s.restartLeases()
	}
	callers.Wait()
	log.check(s)
}

func randomFault(random *rand.Rand, r *http.Request) fault {
	pause := time.Duration(random.IntN(4000)) * time.Millisecond
	switch random.IntN(16) {
	case 0:
		return fault{delay: pause}
	case 1:
		return fault{answerDelay: pause}
	case 2:
		return fault{reset: true}
	case 3:
		return fault{answerStatus: http.StatusBadGateway}
	case 4:
		return fault{status: http.StatusTooManyRequests}
	case 5:
		return fault{location: "http://n9:1" + r.URL.Path}
	case 6:
		return fault{refuseConnection: true}
	}
	return fault{answerDelay: pause / 50}
}

func lockRepeatedly(ctx context.Context, c *Client, log *callerLog, random *rand.Rand) {
	for {
		lease, err := c.Acquire(ctx, "l", "", testHold)
		if err != nil {
			return
		}
		log.recordLease(lease)
		select {
		case <-lease.Context().Done():
		case <-time.After(time.Duration(random.IntN(6000)) * time.Millisecond):
		}
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
		_ = lease.Release(releaseCtx)
		cancel()
	}
}

func drawRepeatedly(ctx context.Context, c *Client, log *callerLog) {
	last := uint64(0)
	for {
		number, err := c.Counter("n").Next(ctx)
		if err != nil {
			return
		}
		log.recordNumber(last, number)
		last = number
		_ = sleep(ctx, 100*time.Millisecond)
	}
}

func putRepeatedly(ctx context.Context, c *Client, log *callerLog, caller int) {
	key := "g.shared"
	for nth := 0; ctx.Err() == nil; nth++ {
		value := fmt.Sprintf("%d.%d", caller, nth)
		entry, err := c.Get(ctx, key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return
		}
		revision, err := c.PutIf(ctx, key, value, entry.Revision)
		if err == nil {
			log.mu.Lock()
			log.acknowledged[revision] = value
			log.mu.Unlock()
		}
		_ = sleep(ctx, 200*time.Millisecond)
	}
}

// check compares what was acknowledged and what was watched with what stands.
func (h *callerLog) check(s *fakeServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.leases < 10 || len(h.numbers) < 300 || len(h.acknowledged) < 100 || len(h.watched) < 100 {
		h.t.Errorf("too little was done: %d leases, %d numbers, %d puts, %d events", h.leases, len(h.numbers), len(h.acknowledged), len(h.watched))
	}
	last := uint64(0)
	for revision := range h.watched {
		last = max(last, revision)
	}
	for _, event := range s.groups["g"][1:] {
		if value, ok := h.acknowledged[event.Revision]; ok && value != event.Value {
			h.t.Errorf("put %s was acknowledged at revision %d, which is %s", value, event.Revision, event.Value)
		}
		if event.Revision <= last && h.watched[event.Revision] != event.Value {
			h.t.Errorf("the watch saw %q at revision %d, which is %s", h.watched[event.Revision], event.Revision, event.Value)
		}
	}
	if len(s.groups["g"]) < int(last) || int(last) < len(s.groups["g"])-60 {
		h.t.Errorf("the watch came to revision %d of %d", last, len(s.groups["g"]))
	}
}
