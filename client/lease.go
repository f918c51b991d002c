package client

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// A lease is renewed every hold time / renewalsPerHoldTime; after a failed renewal the next
	// one follows after 1/renewalsPerHoldTime of that interval. Each attempt waits for
	// a response for hold time / attemptsPerHoldTime, but at most responseTimeout.
	renewalsPerHoldTime = 3
	attemptsPerHoldTime = 5
)

// Lease is a held lock that is renewed in the background until it is released, lost or
// expired.
type Lease struct {
	client       *Client
	ctx          context.Context
	cancel       context.CancelCauseFunc
	renewalsDone chan struct{} // closed when renewLoop has returned

	mu     sync.Mutex
	grant  Grant
	expiry *time.Timer
}

// TryAcquire acquires a lock, or returns ErrHeld if another owner holds it. Hold is the hold
// time: how long the lock stays taken if this holder dies. Owner is usually empty: the client
// then generates a name for each lease, so that goroutines exclude each other as well.
//
// With an owner name chosen by the caller, a restarted process that still holds the lock from
// before gets it again with the same token. Two holders must never use the same name.
//
// The context limits only the call, not the lease.
func (c *Client) TryAcquire(ctx context.Context, name, owner string, hold time.Duration) (*Lease, error) {
	return c.tryAcquire(ctx, c.newGrantRequest(name, owner, hold))
}

// Acquire acquires a lock, and waits while another owner holds it. See TryAcquire.
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

// Name returns the lock's name.
func (l *Lease) Name() string { return l.grant.Name }

// Owner returns the owner name that the lock is held under.
func (l *Lease) Owner() string { return l.grant.Owner }

// Token returns the lease's fencing token, which is higher than that of every earlier holder.
// Pass it with each write to the resource that the lock protects, and let the resource refuse
// a token below the highest it has seen: the end of the lease alone can't stop a write that is
// already in progress, nor one by a process that was suspended.
func (l *Lease) Token() uint64 { return l.grant.Token }

// Context returns a context that ends with the lease. context.Cause returns why: ErrLeaseLost,
// ErrLeaseExpired or ErrReleased.
func (l *Lease) Context() context.Context { return l.ctx }

// Remaining returns the time until the lease expires unless it is renewed; 0 or less if it has
// ended. In a process that has just resumed after a suspension it is more exact than Context,
// which ends only when a timer has run.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return 0
	}
	return time.Until(l.grant.Until)
}

// Release ends the lease and releases the lock. After an error, others may have to wait for
// the lock until the hold time is over.
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

// checkExpiry runs when the expiry timer fires. It ends the lease, or resets the timer if the
// lease has been renewed meanwhile.
func (l *Lease) checkExpiry() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if remaining := time.Until(l.grant.Until); remaining > 0 {
		l.expiry.Reset(remaining)
		return
	}
	l.cancel(ErrLeaseExpired)
}

// renewLoop renews the lease until it ends.
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

// renewOnce renews the lease once, with retries until the lease expires.
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
