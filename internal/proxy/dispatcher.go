// Package proxy handles the HTTP traffic of a gateway: the server for clients, the chain of filters
// that each request passes through, and the connections to upstreams.
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

// Dispatcher owns the load balancer. The balancer is not safe for concurrent use, so every call to it
// is a command that Run executes on one goroutine.
type Dispatcher struct {
	balancer     *upstream.Balancer
	epoch        time.Time // zero of the dispatcher's clock: the balancer's times are durations since it
	commands     chan func(now time.Duration)
	peerTimeout  time.Duration // time after which a peer that does not respond is considered failed
	tickInterval time.Duration
	connect      func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	closed       chan struct{}
}

// NewDispatcher returns a dispatcher for balancer whose clock starts now.
func NewDispatcher(balancer *upstream.Balancer, peerTimeout, tickInterval time.Duration) *Dispatcher {
	return NewDispatcherAt(time.Now(), balancer, peerTimeout, tickInterval)
}

// NewDispatcherAt returns a dispatcher whose clock started at epoch.
func NewDispatcherAt(epoch time.Time, balancer *upstream.Balancer, peerTimeout, tickInterval time.Duration) *Dispatcher {
	return &Dispatcher{balancer: balancer, epoch: epoch, commands: make(chan func(time.Duration), 1024), peerTimeout: peerTimeout, tickInterval: tickInterval,
		connect: dialTCP, closed: make(chan struct{})}
}

// Close ends Run. Commands that have not been executed by then are dropped.
func (d *Dispatcher) Close() { close(d.closed) }

// Do queues a command for the balancer and does not wait for its execution. It blocks while the queue
// is full.
func (d *Dispatcher) Do(command func(now time.Duration, b *upstream.Balancer)) {
	d.commands <- func(now time.Duration) { command(now, d.balancer) }
}

// Run executes commands until the dispatcher is closed. After each it starts the trial connections and
// probes that the balancer requests, and closes the connections that it discards.
func (d *Dispatcher) Run() {
	ticker := time.NewTicker(d.tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.closed:
			return
		case command := <-d.commands:
			command(time.Since(d.epoch))
		case <-ticker.C:
			d.balancer.Tick(time.Since(d.epoch))
		}
		for _, target := range d.balancer.PendingTrials {
			go d.tryConnection(target, target.Address)
		}
		d.balancer.PendingTrials = nil
		for _, probe := range d.balancer.PendingProbes {
			go d.probe(probe)
		}
		d.balancer.PendingProbes = nil
		if len(d.balancer.ConnsToClose) > 0 {
			closed := d.balancer.ConnsToClose
			d.balancer.ConnsToClose = nil
			go func() {
				for _, c := range closed {
					c.Close()
				}
			}()
		}
	}
}

// tryConnection opens a connection to an upstream that had failed, and reports the result to the
// balancer.
func (d *Dispatcher) tryConnection(target *upstream.Upstream, address string) {
	conn, _ := d.dial(context.Background(), address, d.peerTimeout)
	d.Do(func(now time.Duration, b *upstream.Balancer) {
		if conn != nil {
			conn.Expires = now + 10*d.peerTimeout
		}
		b.TrialDone(now, target, conn)
	})
}

// probe asks an upstream for its remaining warm-up time. A response from another instance, such as one
// restarted at the same address, or no response counts as unknown.
func (d *Dispatcher) probe(probe upstream.Probe) {
	var remaining time.Duration
	ok := false
	if conn, err := d.dial(context.Background(), probe.Address, d.peerTimeout); err == nil {
		_ = conn.SetDeadline(time.Now().Add(2 * d.peerTimeout))
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", probe.Path, probe.Address); err == nil {
			if res, err := conn.Reader.(*responseReader).readHead(http.MethodGet); err == nil {
				remaining, ok = parseWarmupLeft(res.Header)
				ok = ok && res.StatusCode == http.StatusOK && res.Header.Get(headerInstanceID) == probe.ID
				res.Body.Close()
			}
		}
		conn.Close()
	}
	d.Do(func(now time.Duration, b *upstream.Balancer) { b.ProbeDone(now, probe.Upstream, remaining, ok) })
}

// parseWarmupLeft parses the remaining warm-up time in milliseconds; a missing header means zero. ok is
// false if the value is invalid.
func parseWarmupLeft(header http.Header) (remaining time.Duration, ok bool) {
	value := header.Get(headerWarmupLeft)
	if value == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0 && ms <= float64(maxWarmup/time.Millisecond)) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// maxWarmup is longer than any warm-up, and short enough that no sum with it overflows.
const maxWarmup = 24 * time.Hour

func dialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp4", address)
}

// dial opens a connection to an upstream, with time-outs that detect a peer that stops responding.
func (d *Dispatcher) dial(ctx context.Context, address string, timeout time.Duration) (*upstream.Conn, error) {
	conn, err := d.connect(ctx, address, min(timeout, d.peerTimeout))
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		transport.SetUserTimeout(tcp, d.peerTimeout)
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1})
	}
	return &upstream.Conn{Conn: conn, Reader: newResponseReader(conn)}, nil
}

// acquire requests a slot at an upstream and waits for it until the timeout or until canceled is closed.
// If none is granted, the Refusal of the returned lease is the reason.
func (d *Dispatcher) acquire(request *upstream.AcquireRequest, timeout time.Duration, canceled <-chan struct{}) upstream.SlotLease {
	reply := make(chan upstream.SlotLease, 1)
	request.OnResult = func(lease upstream.SlotLease) { reply <- lease }
	d.Do(func(now time.Duration, b *upstream.Balancer) { b.Acquire(now, request) })
	timer := time.NewTimer(max(0, timeout))
	defer timer.Stop()
	select {
	case lease := <-reply:
		return lease
	case <-timer.C:
	case <-canceled:
	}
	d.Do(func(_ time.Duration, b *upstream.Balancer) { b.Cancel(request) })
	return <-reply
}

// releaseUnused returns a lease over which nothing was sent.
func (d *Dispatcher) releaseUnused(lease upstream.SlotLease) {
	d.Do(func(now time.Duration, b *upstream.Balancer) { b.Release(now, lease, lease.Conn, upstream.NotSent) })
}

// release returns a lease, with its connection if that can be reused, and reports the outcome and load
// of the upstream. With wantOutlier it waits for the balancer to report whether the upstream has
// a much higher error rate than others.
func (d *Dispatcher) release(lease upstream.SlotLease, conn *upstream.Conn, idleTime time.Duration, outcome upstream.Outcome, load upstream.ReportedLoad, wantOutlier bool) (outlier bool) {
	var verdict chan bool
	if wantOutlier {
		verdict = make(chan bool, 1)
	}
	d.Do(func(now time.Duration, b *upstream.Balancer) {
		if conn != nil {
			conn.Expires = now + idleTime
		}
		b.ReportLoad(now, lease.Upstream, load)
		isOutlier := b.Release(now, lease, conn, outcome)
		if verdict != nil {
			verdict <- isOutlier
		}
	})
	return wantOutlier && <-verdict
}
