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

// callerLog records and checks what the callers of a random run saw, from their point of view.
type callerLog struct {
	t  *testing.T
	mu sync.Mutex
	// holder is the last acquired lease, highestToken its token.
	holder       *Lease
	highestToken uint64
	leases       int
	numbers      map[uint64]bool
	acknowledged map[uint64]string // values of successful puts by revision
	watched      map[uint64]string // values of watch events by revision
}

func (log *callerLog) recordLease(lease *Lease) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.holder != nil && log.holder.Remaining() > 0 {
		log.t.Errorf("%s and %s hold the lock at the same time", log.holder.Owner(), lease.Owner())
	}
	if lease.Token() <= log.highestToken {
		log.t.Errorf("token %d after %d", lease.Token(), log.highestToken)
	}
	log.holder, log.highestToken = lease, lease.Token()
	log.leases++
}

func (log *callerLog) recordNumber(before, number uint64) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.numbers[number] || number <= before {
		log.t.Errorf("number %d was returned twice, or after %d", number, before)
	}
	log.numbers[number] = true
}

// Several clients work while random faults occur: late and lost responses, delayed requests,
// error responses, redirects, and takeovers that restart all hold times. Two leases must never
// be held at once, tokens must increase, no number may be returned twice, acknowledged puts
// must be in the state, and the watch must not miss an event.
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
	unavailableUntil := time.Time{} // until then every node responds with a 503
	s.setFault(func(_ int, r *http.Request) fault {
		if time.Now().Before(unavailableUntil) {
			return fault{status: http.StatusServiceUnavailable}
		}
		return randomFault(random, r)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var callers sync.WaitGroup
	for caller := range 4 {
		c := newTestClient(t, s)
		callers.Go(func() { lockRepeatedly(ctx, c, log, rand.New(rand.NewPCG(seed, uint64(caller)))) })
		callers.Go(func() { incrementRepeatedly(ctx, c, log) })
		callers.Go(func() { putRepeatedly(ctx, c, log, caller) })
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
		return fault{responseDelay: pause}
	case 2:
		return fault{resetConnection: true}
	case 3:
		return fault{responseStatus: http.StatusBadGateway}
	case 4:
		return fault{status: http.StatusTooManyRequests}
	case 5:
		return fault{location: "http://n9:1" + r.URL.Path}
	case 6:
		return fault{refuseConnection: true}
	}
	return fault{responseDelay: pause / 50}
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

func incrementRepeatedly(ctx context.Context, c *Client, log *callerLog) {
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
	for count := 0; ctx.Err() == nil; count++ {
		value := fmt.Sprintf("%d.%d", caller, count)
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

// check compares the acknowledged puts and the watched events with the state of the server.
func (log *callerLog) check(s *fakeServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if log.leases < 10 || len(log.numbers) < 300 || len(log.acknowledged) < 100 || len(log.watched) < 100 {
		log.t.Errorf("too few operations: %d leases, %d numbers, %d puts, %d events", log.leases, len(log.numbers), len(log.acknowledged), len(log.watched))
	}
	last := uint64(0)
	for revision := range log.watched {
		last = max(last, revision)
	}
	for _, event := range s.groups["g"][1:] {
		if value, ok := log.acknowledged[event.Revision]; ok && value != event.Value {
			log.t.Errorf("put %s was acknowledged at revision %d, which has value %s", value, event.Revision, event.Value)
		}
		if event.Revision <= last && log.watched[event.Revision] != event.Value {
			log.t.Errorf("the watch returned %q at revision %d, which has value %s", log.watched[event.Revision], event.Revision, event.Value)
		}
	}
	if len(s.groups["g"]) < int(last) || int(last) < len(s.groups["g"])-60 {
		log.t.Errorf("the watch reached revision %d of %d", last, len(s.groups["g"]))
	}
}
