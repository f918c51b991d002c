package proxy

import (
	"context"
	"io"
	"sync"
	"time"
)

// On a slow link a few large responses fill the send queue, and small ones wait behind them for a second
// and more. Large responses are therefore written in small chunks at a rate slightly below that of the
// link, which keeps the queue short. All large responses of a gateway share one rate.

const (
	paceThreshold = 16 << 10 // size in bytes above which a response is paced
	paceChunk     = 4 << 10  // bytes written at a time
)

// Pacer limits the total rate at which large responses are written. A nil Pacer does not limit it.
type Pacer struct {
	timePerByte time.Duration
	mu          sync.Mutex
	nextFree    time.Time // when the bytes granted so far will have been sent
}

// NewPacer returns a limit of bytesPerSecond.
func NewPacer(bytesPerSecond float64) *Pacer {
	p := &Pacer{}
	p.SetRate(bytesPerSecond)
	return p
}

// SetRate changes the limit.
func (p *Pacer) SetRate(bytesPerSecond float64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timePerByte = time.Duration(float64(time.Second) / bytesPerSecond)
}

// acquire waits until n more bytes may be written. If ctx ends before, it returns an error and they must
// not be written.
func (p *Pacer) acquire(ctx context.Context, n int) error {
	p.mu.Lock()
	now := time.Now()
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	wait := p.nextFree.Sub(now)
	cost := time.Duration(n) * p.timePerByte
	p.nextFree = p.nextFree.Add(cost)
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
	p.nextFree = p.nextFree.Add(-cost) // the bytes are not written
	p.mu.Unlock()
	return ctx.Err()
}

// write writes a part of a response whose body has the given size (negative if unknown), until ctx ends.
func (p *Pacer) write(ctx context.Context, w io.Writer, data []byte, size int64) error {
	if p == nil || size >= 0 && size <= paceThreshold {
		_, err := w.Write(data)
		return err
	}
	for len(data) > 0 {
		chunk := data[:min(len(data), paceChunk)]
		if err := p.acquire(ctx, len(chunk)); err != nil {
			return err
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}
