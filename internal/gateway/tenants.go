package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/delivery"
	"madderwing/internal/quota"
)

// draws is what requests have asked of the branches that lend tenants' quotas.
type draws struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]drawing
	at      [2]string // the control nodes that the gateway watches, the nearer first
	badTill time.Time // the first of them has been silent
}

// drawing is a draw that waits for its answer, and the control node that it was sent to.
type drawing struct {
	to  string
	got chan quota.AcquireReply
}

// newDraws makes the draws of one life, numbered from a random start: a control node answers
// at this node's address, and may answer a draw of the life before.
func newDraws() draws {
	return draws{next: rand.Uint64(), waiting: map[uint64]drawing{}}
}

// serveTenants makes the gateway hold to what must be true of tenants' keys and
// quotas on every machine, in touch or not.
func (d *Gateway) serveTenants() {
	if d.set.BoundsRevocation() {
		d.handler.LeaseKeys(&d.lease)
	}
	if d.set.HasQuotas() {
		d.draws = newDraws()
		d.handler.DrawOn(d.draw)
	}
}

// draw draws on a tenant's quota at the nearer control node, or at the other one if the
// nearer cannot tell or has lately been silent. It ends with ctx. The kind says why there is no
// token; with apierror.Internal there is one, and giveBack returns it if it is not used.
func (d *Gateway) draw(ctx context.Context, tenant string, limit time.Duration) (giveBack func(), refused apierror.Kind) {
	w := &d.draws
	w.mu.Lock()
	order := w.at
	if order[1] != "" && time.Now().Before(w.badTill) {
		order[0], order[1] = order[1], order[0]
	}
	nearer := w.at[0]
	w.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for _, to := range order {
		if to == "" {
			continue
		}
		got := make(chan quota.AcquireReply, 1)
		w.mu.Lock()
		w.next++
		seq := w.next
		w.waiting[seq] = drawing{to, got}
		w.mu.Unlock()
		d.post.Send(to, delivery.AcquireKind, quota.AcquireRequest{Seq: seq, Tenant: tenant})
		var a quota.AcquireReply
		late, left := false, false
		select {
		case a = <-got:
		case <-timer.C:
			late = true
		case <-ctx.Done():
			left = true
		}
		switch {
		case a.OK:
			return func() { d.giveBack(to, tenant, a.Life) }, apierror.Internal
		case left:
			d.abandon(to, tenant, seq, got)
			return nil, apierror.ClientGone
		case !late && !a.Away:
			return nil, apierror.OverQuota
		}
		w.mu.Lock()
		delete(w.waiting, seq)
		if to == nearer {
			w.badTill = time.Now().Add(d.set.Beat())
		}
		w.mu.Unlock()
		if late {
			break
		}
	}
	return nil, apierror.QuotaUnknown
}

// giveBack returns a token that was not used to the control node that it came from. Life is 0
// where that is of a release that takes none back.
func (d *Gateway) giveBack(to, tenant string, life uint64) {
	if life != 0 {
		d.post.Send(to, delivery.ReturnKind, quota.Return{Tenant: tenant, Life: life})
	}
}

// abandon ends the wait for a draw whose client has left. A token that came at the same moment goes
// back; one that comes later is lost.
func (d *Gateway) abandon(to, tenant string, seq uint64, got <-chan quota.AcquireReply) {
	d.draws.mu.Lock()
	delete(d.draws.waiting, seq)
	d.draws.mu.Unlock()
	select {
	case a := <-got:
		if a.OK {
			d.giveBack(to, tenant, a.Life)
		}
	default:
	}
}

// drawn takes the answer of the branch that was asked. One that comes too late is lost.
func (d *Gateway) drawn(from string, a quota.AcquireReply) {
	d.draws.mu.Lock()
	defer d.draws.mu.Unlock()
	if w, ok := d.draws.waiting[a.Seq]; ok && w.to == from {
		delete(d.draws.waiting, a.Seq)
		w.got <- a
	}
}

// newEpoch draws what a life's clock is told to others from.
func newEpoch() time.Duration { return 1 + time.Duration(rand.Int64N(1<<61)) }

// dated turns what an issue says of its age to this life's own clock. An answer to a
// question of a former life, whose clock was another, says nothing.
func (d *Gateway) dated(now time.Duration, i delivery.Issue) delivery.Issue {
	if i.Sure == nil {
		return i
	}
	own := *i.Sure
	own.Asked -= d.epoch
	i.Sure = &own
	if own.Asked > now { // far below zero it lapses by itself
		i.Sure = nil
	}
	return i
}

// confirm takes what an issue says of its own age. The lease counts from before
// the question was asked, so however long the answer was on its way, it never
// lasts longer than it should.
func (d *Gateway) confirm(now time.Duration, i delivery.Issue) {
	i = d.dated(now, i)
	if i.Sure == nil {
		return
	}
	until := i.Sure.Asked - i.Sure.Age + d.set.KeyLease()
	if int64(until) > d.lease.Load() {
		d.lease.Store(int64(until))
	}
}
