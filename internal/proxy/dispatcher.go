// Package proxy carries the traffic: the HTTP server, the chain of
// filters that a request passes, and the connections to upstreams.
package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

// Dispatcher owns the balancer of upstreams: all that is done to it goes through its
// queue of commands.
type Dispatcher struct {
	balancer *upstream.Balancer
	start    time.Time // what durations here count from
	commands chan func(now time.Duration)
	patience time.Duration // until a silent peer is given up
	tick     time.Duration
	connect  func(ctx context.Context, address string, limit time.Duration) (net.Conn, error)
	closed   chan struct{}
}

// NewDispatcher makes the owner of a balancer.
func NewDispatcher(balancer *upstream.Balancer, patience, tick time.Duration) *Dispatcher {
	return NewDispatcherAt(time.Now(), balancer, patience, tick)
}

// NewDispatcherAt makes one whose durations count from start.
func NewDispatcherAt(start time.Time, balancer *upstream.Balancer, patience, tick time.Duration) *Dispatcher {
	return &Dispatcher{balancer: balancer, start: start, commands: make(chan func(time.Duration), 1024), patience: patience, tick: tick,
		connect: connect, closed: make(chan struct{})}
}

// Close ends Run. What is handed to the dispatcher later is not carried out.
func (f *Dispatcher) Close() { close(f.closed) }

// Do hands a command to the dispatcher.
func (f *Dispatcher) Do(fn func(now time.Duration, s *upstream.Balancer)) {
	f.commands <- func(now time.Duration) { fn(now, f.balancer) }
}

// Run carries out commands until the dispatcher is closed.
func (f *Dispatcher) Run() {
	tick := time.NewTicker(f.tick)
	defer tick.Stop()
	for {
		select {
		case <-f.closed:
			return
		case fn := <-f.commands:
			fn(time.Since(f.start))
		case <-tick.C:
			f.balancer.Tick(time.Since(f.start))
		}
		for _, u := range f.balancer.Trials {
			go f.try(u, u.Address)
		}
		f.balancer.Trials = nil
		for _, p := range f.balancer.Probes {
			go f.probe(p)
		}
		f.balancer.Probes = nil
		if len(f.balancer.Closed) > 0 {
			closed := f.balancer.Closed
			f.balancer.Closed = nil
			go func() {
				for _, c := range closed {
					c.Close()
				}
			}()
		}
	}
}

// try opens a connection to an upstream that had failed.
func (f *Dispatcher) try(u *upstream.Upstream, address string) {
	conn, _ := f.dial(context.Background(), address, f.patience)
	f.Do(func(now time.Duration, s *upstream.Balancer) {
		if conn != nil {
			conn.Expires = now + 10*f.patience
		}
		s.Tried(now, u, conn)
	})
}

// probe asks an upstream how much longer it stays cold. An answer of another
// life, or none, says nothing.
func (f *Dispatcher) probe(p upstream.Probe) {
	var left time.Duration
	ok := false
	if conn, err := f.dial(context.Background(), p.Address, f.patience); err == nil {
		_ = conn.SetDeadline(time.Now().Add(2 * f.patience))
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", p.Path, p.Address); err == nil {
			if res, err := conn.Reader.(*answers).head(http.MethodGet); err == nil {
				left, ok = warmupLeft(res.Header)
				ok = ok && res.StatusCode == http.StatusOK && res.Header.Get(hInstance) == p.ID
				res.Body.Close()
			}
		}
		conn.Close()
	}
	f.Do(func(now time.Duration, s *upstream.Balancer) { s.Probed(now, p.Upstream, left, ok) })
}

// warmupLeft is how much longer an upstream says that it stays cold: nothing, if it does
// not say; not ok, if that is no time.
func warmupLeft(h http.Header) (left time.Duration, ok bool) {
	told := h.Get(hWarmup)
	if told == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(told, 64)
	if err != nil || !(ms >= 0 && ms <= float64(warmupMost/time.Millisecond)) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// warmupMost is beyond any warm-up; no sum with it overflows.
const warmupMost = 24 * time.Hour

// connect opens a TCP connection, unless ctx ends before it is open.
func connect(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit, KeepAlive: -1}
	return d.DialContext(ctx, "tcp4", address)
}

func (f *Dispatcher) dial(ctx context.Context, address string, limit time.Duration) (*upstream.Conn, error) {
	c, err := f.connect(ctx, address, min(limit, f.patience))
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		transport.SetUserTimeout(t, f.patience)
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1})
	}
	return &upstream.Conn{Conn: c, Reader: newAnswers(c)}, nil
}

// claim asks for an upstream and waits for it, but no longer than patience, nor
// when the client has gone.
func (f *Dispatcher) claim(c *upstream.AcquireRequest, patience time.Duration, gone <-chan struct{}) upstream.SlotLease {
	got := make(chan upstream.SlotLease, 1)
	c.Give = func(g upstream.SlotLease) { got <- g }
	f.Do(func(now time.Duration, s *upstream.Balancer) { s.Acquire(now, c) })
	timer := time.NewTimer(max(0, patience))
	defer timer.Stop()
	select {
	case g := <-got:
		return g
	case <-timer.C:
	case <-gone:
	}
	f.Do(func(_ time.Duration, s *upstream.Balancer) { s.Withdraw(c) })
	return <-got
}

// untouched returns an upstream that was not sent anything.
func (f *Dispatcher) untouched(g upstream.SlotLease) {
	f.Do(func(now time.Duration, s *upstream.Balancer) { s.Release(now, g, g.Conn, upstream.Unused) })
}

// release returns an upstream; ask waits for word on whether it stands out by bad
// answers.
func (f *Dispatcher) release(g upstream.SlotLease, conn *upstream.Conn, idle time.Duration, how upstream.Outcome, told upstream.Told, ask bool) (odd bool) {
	var said chan bool
	if ask {
		said = make(chan bool, 1)
	}
	f.Do(func(now time.Duration, s *upstream.Balancer) {
		if conn != nil {
			conn.Expires = now + idle
		}
		s.Tell(now, g.Upstream, told)
		o := s.Release(now, g, conn, how)
		if said != nil {
			said <- o
		}
	})
	return ask && <-said
}
