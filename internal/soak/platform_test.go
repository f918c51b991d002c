package soak

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// platform is the stand-in for the operators' platform: the list of upstreams, in pages.
type platform struct {
	mu       sync.Mutex
	list     []map[string]any
	pageSize int // 0: the whole list is one page
}

// ServeHTTP answers a call for a page of the list.
func (p *platform) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	text, _ := json.Marshal(p.page(from))
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(text)
}

// page is the page of the list that begins at an entry.
func (p *platform) page(from int) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := len(p.list)
	var next any
	if p.pageSize > 0 && from+p.pageSize < to {
		to = from + p.pageSize
		next = strconv.Itoa(to)
	}
	return map[string]any{"instances": p.list[min(from, to):to], "nextToken": next}
}

// add lists an upstream.
func (p *platform) add(id, target, address, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, map[string]any{"id": id, "target": target, "address": address, "zone": zone,
		"generation": "v1", "capacity": 6, "state": "ready", "warmupLeftS": 0})
}

// draw draws an upstream of the service that most requests go to.
func (p *platform) draw(random *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if u := anyOf(random, p.list); u["target"] == "booking" {
			return u["id"].(string)
		}
	}
}

// setState shows an upstream as ready or draining from now on.
func (p *platform) setState(id, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, u := range p.list {
		if u["id"] == id {
			u = maps.Clone(u) // an answer may be under way
			u["state"] = state
			p.list[i] = u
		}
	}
}

// condition is how a path carries what is sent on it.
type condition int

const (
	sound        condition = iota
	allLost                // nothing comes through either way, and no end of a connection
	requestsLost           // nothing comes through to the platform
	answersLost            // nothing comes back
	resetting              // connections are reset
	slowByCall             // each answer is late
	slowByByte             // each answer comes a few bytes at a time
	conditions
)

func (c condition) String() string {
	return [...]string{"sound", "all lost", "requests lost", "answers lost", "resetting", "slow by call", "slow by byte"}[c]
}

const (
	// callDelay is how late each answer is on a path that is slow by call.
	callDelay = 700 * time.Millisecond
	// trickleBytes come each tricklePause on a path that is slow by byte.
	trickleBytes = 64
	tricklePause = 100 * time.Millisecond
)

// path is a machine's way to the platform: a proxy in a condition that may change at any time.
type path struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	state condition
	open  map[net.Conn]bool
	calls int       // that have come through to the platform since the last look
	last  time.Time // when one did

	troubles troubles
}

func newPath(t *testing.T, listen, to string) *path {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		t.Fatal(err)
	}
	p := &path{listener: l, to: to, open: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	t.Cleanup(p.end)
	return p
}

func (p *path) address() string { return p.listener.Addr().String() }

func (p *path) end() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

// set brings the path into a condition.
func (p *path) set(c condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = c
	if c == resetting {
		for conn := range p.open {
			reset(conn)
		}
	}
}

// trouble keeps the path in a condition for a while.
func (p *path) trouble(ctx context.Context, c condition, span time.Duration) {
	end := p.troubles.begin(unplanned)
	p.set(c)
	pause(ctx, span)
	p.set(sound)
	end()
}

// lastCall is when a call last came through to the platform.
func (p *path) lastCall() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

func (p *path) condition() condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// takeCalls is how many calls have come through since it was asked last.
func (p *path) takeCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.calls
	p.calls = 0
	return n
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// hold keeps a connection to close it at the end, and says whether the path takes it.
func (p *path) hold(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = true
	return p.state != resetting
}

func (p *path) carry(c net.Conn) {
	if !p.hold(c) {
		reset(c)
		return
	}
	d, err := net.Dial("tcp4", p.to)
	if err != nil {
		reset(c)
		return
	}
	p.hold(d)
	go p.copy(c, d, p.answer)
	p.copy(d, c, p.request)
}

// copy passes on what is read. What the path loses is lost for that connection for good, its end too.
func (p *path) copy(to, from net.Conn, pass func(to net.Conn, part []byte) bool) {
	part := make([]byte, 32<<10)
	for {
		n, err := from.Read(part)
		if err != nil {
			_ = to.Close()
			return
		}
		if !pass(to, part[:n]) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// request passes on a part of what the machine sends, and says whether the direction is open.
func (p *path) request(to net.Conn, part []byte) bool {
	if c := p.condition(); c == allLost || c == requestsLost {
		return false
	}
	p.mu.Lock()
	p.calls++
	p.last = time.Now()
	p.mu.Unlock()
	_, err := to.Write(part)
	return err == nil
}

// answer passes on a part of what the platform sends.
func (p *path) answer(to net.Conn, part []byte) bool {
	switch p.condition() {
	case allLost, answersLost:
		return false
	case slowByCall:
		time.Sleep(callDelay)
	case slowByByte:
		return trickle(to, part)
	}
	_, err := to.Write(part)
	return err == nil
}

func trickle(to net.Conn, part []byte) bool {
	for len(part) > 0 {
		n := min(trickleBytes, len(part))
		if _, err := to.Write(part[:n]); err != nil {
			return false
		}
		part = part[n:]
		time.Sleep(tricklePause)
	}
	return true
}
