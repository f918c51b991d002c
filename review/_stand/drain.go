package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["3"] = drain }

// link is a machine's path to the platform: a proxy that passes bytes on, or none while it is cut.
type link struct {
	mu    sync.Mutex
	cut   bool
	calls int // questions passed on since the last look
}

func newLink(listen, to string) *link {
	l, err := net.Listen("tcp4", listen)
	must(err)
	p := &link{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c, to)
		}
	}()
	return p
}

// pass passes bytes on both ways. What comes while the link is cut is lost, in silence.
func (p *link) pass(c net.Conn, to string) {
	d, err := net.Dial("tcp4", to)
	if err != nil {
		c.Close()
		return
	}
	copyBytes := func(dst, src net.Conn, count bool) {
		defer dst.Close()
		defer src.Close()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if err != nil {
				return
			}
			p.mu.Lock()
			cut := p.cut
			if count && !cut {
				p.calls++
			}
			p.mu.Unlock()
			if cut {
				_, _ = io.Copy(io.Discard, src)
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	go copyBytes(c, d, false)
	copyBytes(d, c, true)
}

func (p *link) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// take gives how many questions have passed since it was asked last.
func (p *link) take() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.calls
	p.calls = 0
	return n
}

const (
	cutFor = 5500 * time.Millisecond // as long as the site cuts single machines off
	drainS = 2500 * time.Millisecond
	maxLag = 800 * time.Millisecond
)

// drain cuts one machine, the one that reads the platform's list, off from the platform. Meanwhile
// an upstream is to leave, and the list shows it as draining.
func drain(ctx context.Context, f *fleet, trouble bool) bool {
	w := newWorld(f)
	links := map[*node]*link{}
	at := map[*node]string{}
	for i, n := range f.nodes {
		at[n] = fmt.Sprintf("%s%d", f.prefix, 210+i)
		links[n] = newLink(at[n]+":8142", f.platform+":8142")
	}
	f.platformAt = func(n *node) string { return at[n] }
	f.startAll(true)
	time.Sleep(6 * time.Second)
	var addresses []string
	for _, n := range f.nodes {
		addresses = append(addresses, n.control())
	}
	if !operate(ctx, addresses, "PATCH", "/v1/config", firstConfiguration, 10*time.Second) {
		unable("the first configuration is not taken")
	}
	time.Sleep(5 * time.Second) // contactS and more
	for _, l := range links {
		l.take()
	}
	time.Sleep(2 * time.Second)
	var reader *node
	for n, l := range links {
		if l.take() > 0 {
			if reader != nil {
				unable("two machines read the list")
			}
			reader = n
		}
	}
	if reader == nil {
		unable("no machine reads the list")
	}
	note("the list is read by %s", reader.zone)
	// Clients of the other machines only: they are in touch all the time.
	var others []*node
	for _, n := range f.nodes {
		if n != reader {
			others = append(others, n)
		}
	}
	// The upstream that leaves is one that they use.
	load(ctx, others, "before", 60, 3*time.Second)
	leaves := w.busiest()
	if trouble {
		links[reader].set(true)
		note("%s is cut off from the platform", reader.zone)
	}
	time.AfterFunc(cutFor, func() {
		links[reader].set(false)
		note("%s reaches the platform again", reader.zone)
	})
	time.Sleep(500 * time.Millisecond)
	w.drain(leaves)
	shown := time.Now()
	note("the platform's list shows %s as draining", leaves)
	load(ctx, others, "meanwhile", 60, 9*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	late, last := 0, time.Duration(0)
	for id, where := range w.where {
		if since := w.at[id].Sub(shown); where == leaves && since > drainS+maxLag {
			late++
			last = max(last, since)
		}
	}
	note("%d requests reached %s later than drainS + maxLagS after that, the last one %v after", late, leaves, last)
	return late > 0
}

// busiest is the upstream that has run the most.
func (w *world) busiest() (most string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for _, where := range w.where {
		count[where]++
		if most == "" || count[where] > count[most] {
			most = where
		}
	}
	return most
}
