package client

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// renewalsPerHoldTime and attemptsPerHold are parts of the hold time: when a lease is renewed,
	// and how long a renewal waits for one node if that is less than answerTimeout.
	renewalsPerHoldTime = 3
	attemptsPerHoldTime = 5
)

// Lease is a lock that is held and renewed in the background until Release, or until it is
// lost.
type Lease struct {
	client       *Client
	ctx          context.Context
	cancel       context.CancelCauseFunc
	renewalsDone chan struct{} // closed when the renewals have ended

	mu     sync.Mutex
	grant  Grant
	expiry *time.Timer
}

// TryAcquire takes a lock if nobody else holds it, else it returns ErrHeld. Hold is how long
// the lock stays with this holder if it dies. An empty owner is the usual case: the client
// makes up a name of its own for each lease, so that goroutines exclude each other as well.
//
// An owner name that the caller chooses takes its lock back, with the same token, if it
// still holds it from an earlier life. Two holders must never use the same name.
//
// The context bounds only the call, not the lease.
func (c *Client) TryAcquire(ctx context.Context, name, owner string, hold time.Duration) (*Lease, error) {
	return c.tryAcquire(ctx, c.newGrantRequest(name, owner, hold))
}

// Acquire takes a lock, and waits for it while another owner holds it. See TryAcquire.
func (c *Client) Acquire(ctx context.Context, name, owner string, hold time.Duration) (*Lease, error) {
	requested := c.newGrantRequest(name, owner, hold)
	for {
		lease, err := c.tryAcquire(ctx, requested)
		if !errors.Is(err, ErrHeld) {
			return lease, err
		}
		if ended := sleep(ctx, jitter(c.acquireInterval)); ended != nil {
			return nil, errors.Join(err, ended)
		}
	}
}

func (c *Client) tryAcquire(ctx context.Context, requested grantRequest) (*Lease, error) {
	grant, err := c.requestUnexpired(ctx, requested)
	if err != nil {
		return nil, err
	}
	return c.newLease(ctx, grant), nil
}

func (c *Client) newLease(ctx context.Context, grant Grant) *Lease {
	l := &Lease{client: c, grant: grant, renewalsDone: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	l.mu.Lock()
	l.expiry = time.AfterFunc(time.Until(grant.Until), l.checkExpiry)
	l.mu.Unlock()
	go l.renewLoop()
	return l
}

// Name is the lock's name.
func (l *Lease) Name() string { return l.grant.Name }

// Owner is the name that the lock is held under.
func (l *Lease) Owner() string { return l.grant.Owner }

// Token is the lease's fencing token. Each holder's token is higher than those of all
// holders before. Pass it with each write to whatever the lock protects, and let that refuse
// a token below the highest it has seen: the lease's end alone can't stop a write that is
// already under way, nor one by a process that was frozen.
func (l *Lease) Token() uint64 { return l.grant.Token }

// Context ends when the lease does. context.Cause tells why: ErrLeaseLost, ErrLeaseExpired
// or ErrReleased.
func (l *Lease) Context() context.Context { return l.ctx }

// Remaining is how much longer the lease lasts unless it is renewed; 0 or less if it has
// ended. In a process that has just been frozen it is more exact than Context.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return 0
	}
	return time.Until(l.grant.Until)
}

// Release ends the lease and gives the lock back. With an error the lock stays taken for
// others until its hold time is over.
func (l *Lease) Release(ctx context.Context) error {
	l.cancel(ErrReleased)
	l.expiry.Stop()
	<-l.renewalsDone
	return l.client.ReturnGrant(ctx, l.currentGrant())
}

func (l *Lease) currentGrant() Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant
}

// checkExpiry ends the lease once its time has run out without a renewal.
func (l *Lease) checkExpiry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if remaining := time.Until(l.grant.Until); remaining > 0 {
		l.expiry.Reset(remaining)
		return
	}
	l.cancel(ErrLeaseExpired)
}

// renewLoop keeps the lease until it ends.
func (l *Lease) renewLoop() {
	defer close(l.renewalsDone)
	hold := l.grant.Hold
	interval := hold / renewalsPerHoldTime
	pause := interval
	for sleep(l.ctx, pause) == nil {
		started := time.Now()
		err := l.renewOnce()
		switch {
		case errors.Is(err, ErrLeaseLost), errors.Is(err, ErrLeaseExpired):
			l.cancel(err)
			return
		case err != nil:
			pause = interval / renewalsPerHoldTime
		default:
			pause = interval - time.Since(started)
		}
	}
}

// renewOnce tries one renewal until the lease's end.
func (l *Lease) renewOnce() error {
	grant := l.currentGrant()
	ctx, cancel := context.WithDeadline(l.ctx, grant.Until)
	defer cancel()
	renewed, err := l.client.renewGrant(ctx, grant, min(responseTimeout, grant.Hold/attemptsPerHoldTime))
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grant.Until = renewed.Until
	return nil
}
