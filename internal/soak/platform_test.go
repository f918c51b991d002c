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
	mu        sync.Mutex
	upstreams []map[string]any
	pageSize  int // 0: the whole list is one page
}

// ServeHTTP answers a call for a page of the list.
func (p *platform) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	start, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	text, _ := json.Marshal(p.page(start))
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(text)
}

// page is the page of the list that begins at an entry.
func (p *platform) page(start int) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := len(p.upstreams)
	var next any
	if p.pageSize > 0 && start+p.pageSize < end {
		end = start + p.pageSize
		next = strconv.Itoa(end)
	}
	return map[string]any{"instances": p.upstreams[min(start, end):end], "nextToken": next}
}

// add lists an upstream.
func (p *platform) add(id, target, address, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = append(p.upstreams, map[string]any{"id": id, "target": target, "address": address, "zone": zone,
		"generation": "v1", "capacity": 6, "state": "ready", "warmupLeftS": 0})
}

// randomUpstream draws an upstream of the service that most requests go to.
func (p *platform) randomUpstream(random *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if entry := randomElement(random, p.upstreams); entry["target"] == "booking" {
			return entry["id"].(string)
		}
	}
}

// setState shows an upstream as ready or draining from now on.
func (p *platform) setState(id, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, entry := range p.upstreams {
		if entry["id"] == id {
			entry = maps.Clone(entry) // an answer may be under way
			entry["state"] = state
			p.upstreams[i] = entry
		}
	}
}

// pathFault is how a path carries what is sent on it.
type pathFault int

const (
	noPathFault       pathFault = iota
	allLost                     // nothing comes through either way, and no end of a connection
	requestsLost                // nothing comes through to the platform
	responsesLost               // nothing comes back
	connectionsReset            // connections are reset
	responsesDelayed            // each answer is late
	responsesTrickled           // each answer comes a few bytes at a time
	pathFaultCount
)

func (c pathFault) String() string {
	return [...]string{"sound", "all lost", "requests lost", "answers lost", "resetting", "slow by call", "slow by byte"}[c]
}

const (
	// responseDelay is how late each answer is on a path that is slow by call.
	responseDelay = 700 * time.Millisecond
	// trickleBytes come each tricklePause on a path that is slow by byte.
	trickleBytes    = 64
	trickleInterval = 100 * time.Millisecond
)

// platformProxy is a machine's way to the platform: a proxy in a condition that may change at any time.
type platformProxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	fault      pathFault
	conns      map[net.Conn]bool
	newCalls   int       // that have come through to the platform since the last look
	lastCallAt time.Time // when one did

	faults faultLog
}

func newPlatformProxy(t *testing.T, listen, target string) *platformProxy {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		t.Fatal(err)
	}
	proxy := &platformProxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(conn)
		}
	}()
	t.Cleanup(proxy.close)
	return proxy
}

func (p *platformProxy) address() string { return p.listener.Addr().String() }

func (p *platformProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// setFault brings the path into a condition.
func (p *platformProxy) setFault(fault pathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault == connectionsReset {
		for conn := range p.conns {
			resetConn(conn)
		}
	}
}

// injectFault keeps the path in a condition for a while.
func (p *platformProxy) injectFault(ctx context.Context, fault pathFault, duration time.Duration) {
	endFault := p.faults.begin(unplanned)
	p.setFault(fault)
	sleep(ctx, duration)
	p.setFault(noPathFault)
	endFault()
}

// lastCall is when a call last came through to the platform.
func (p *platformProxy) lastCall() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastCallAt
}

func (p *platformProxy) currentFault() pathFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// takeNewCalls is how many calls have come through since it was asked last.
func (p *platformProxy) takeNewCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.newCalls
	p.newCalls = 0
	return n
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// track keeps a connection to close it at the end, and says whether the path takes it.
func (p *platformProxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return p.fault != connectionsReset
}

func (p *platformProxy) serve(client net.Conn) {
	if !p.track(client) {
		resetConn(client)
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	p.track(server)
	go p.forward(client, server, p.forwardResponse)
	p.forward(server, client, p.forwardRequest)
}

// forward passes on what is read. What the path loses is lost for that connection for good, its end too.
func (p *platformProxy) forward(to, from net.Conn, forward func(to net.Conn, buffer []byte) bool) {
	part := make([]byte, 32<<10)
	for {
		n, err := from.Read(part)
		if err != nil {
			_ = to.Close()
			return
		}
		if !forward(to, part[:n]) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// forwardRequest passes on a part of what the machine sends, and says whether the direction is open.
func (p *platformProxy) forwardRequest(to net.Conn, data []byte) bool {
	if fault := p.currentFault(); fault == allLost || fault == requestsLost {
		return false
	}
	p.mu.Lock()
	p.newCalls++
	p.lastCallAt = time.Now()
	p.mu.Unlock()
	_, err := to.Write(data)
	return err == nil
}

// forwardResponse passes on a part of what the platform sends.
func (p *platformProxy) forwardResponse(to net.Conn, data []byte) bool {
	switch p.currentFault() {
	case allLost, responsesLost:
		return false
	case responsesDelayed:
		time.Sleep(responseDelay)
	case responsesTrickled:
		return trickle(to, data)
	}
	_, err := to.Write(data)
	return err == nil
}

func trickle(to net.Conn, data []byte) bool {
	for len(data) > 0 {
		n := min(trickleBytes, len(data))
		if _, err := to.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
		time.Sleep(trickleInterval)
	}
	return true
}
