package proxy

import (
	"context"
	"io"
	"sync"
	"time"
)

// On a narrow link a few large answers make a line in which everything small waits
// behind them, for a second and more. Large answers are therefore passed on in small
// parts and at a pace a little below the link's, so that the line at the link stays
// short and what is small goes by. All large answers of a gateway share one pace.

const (
	paceFrom = 16 << 10 // answers above this are paced
	pacePart = 4 << 10  // bytes passed on at a time
)

// Pace is the rate at which large answers are passed on.
type Pace struct {
	perByte time.Duration
	mu      sync.Mutex
	free    time.Time // when what has been let go will have left
}

// NewPace makes a pace of so many bytes a second.
func NewPace(perS float64) *Pace {
	p := &Pace{}
	p.SetRate(perS)
	return p
}

// SetRate changes the pace to so many bytes a second. A nil pace has none.
func (p *Pace) SetRate(perS float64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perByte = time.Duration(float64(time.Second) / perS)
}

// take waits until n bytes more may leave, or ctx ends: then they are not to leave any more.
func (p *Pace) take(ctx context.Context, n int) error {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	wait := p.free.Sub(now)
	cost := time.Duration(n) * p.perByte
	p.free = p.free.Add(cost)
	p.mu.Unlock()
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.free = p.free.Add(-cost) // for those that come
	p.mu.Unlock()
	return ctx.Err()
}

// write passes bytes of an answer of the given size on, until ctx ends; a nil pace does so at once.
func (p *Pace) write(ctx context.Context, w io.Writer, b []byte, size int64) error {
	if p == nil || size >= 0 && size <= paceFrom {
		_, err := w.Write(b)
		return err
	}
	for len(b) > 0 {
		part := b[:min(len(b), pacePart)]
		if err := p.take(ctx, len(part)); err != nil {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
		b = b[len(part):]
	}
	return nil
}
