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

// platform is the stand-in for the operators' cloud platform. It serves the list of upstreams in pages.
type platform struct {
	mu        sync.Mutex
	upstreams []map[string]any
	pageSize  int // 0: the whole list is one page
}

// ServeHTTP serves a page of the list.
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

// page returns the page of the list that starts at an index.
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

// add adds an upstream to the list.
func (p *platform) add(id, target, address, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = append(p.upstreams, map[string]any{"id": id, "target": target, "address": address, "zone": zone,
		"generation": "v1", "capacity": 6, "state": "ready", "warmupLeftS": 0})
}

// randomUpstream draws an upstream of booking, the service that most requests go to, and returns its id.
func (p *platform) randomUpstream(random *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if entry := randomElement(random, p.upstreams); entry["target"] == "booking" {
			return entry["id"].(string)
		}
	}
}

// setState changes the state of an upstream in the list, to ready or draining.
func (p *platform) setState(id, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, entry := range p.upstreams {
		if entry["id"] == id {
			entry = maps.Clone(entry) // a response that is being written may use the old entry
			entry["state"] = state
			p.upstreams[i] = entry
		}
	}
}

// pathFault is a fault of the network path between a machine and the platform.
type pathFault int

const (
	noPathFault       pathFault = iota
	allLost                     // data and connection closes are lost in both directions
	requestsLost                // what the machine sends is lost
	responsesLost               // what the platform sends is lost
	connectionsReset            // open connections and new ones are reset
	responsesDelayed            // each part of a response is delayed by responseDelay
	responsesTrickled           // responses arrive a few bytes at a time
	pathFaultCount
)

func (fault pathFault) String() string {
	return [...]string{"no fault", "all lost", "requests lost", "responses lost", "connections reset", "responses delayed", "responses trickled"}[fault]
}

const (
	// responseDelay is the delay under the fault responsesDelayed.
	responseDelay = 700 * time.Millisecond
	// trickleBytes arrive every trickleInterval under the fault responsesTrickled.
	trickleBytes    = 64
	trickleInterval = 100 * time.Millisecond
)

// platformProxy is a machine's path to the platform: a TCP proxy whose fault may change at any time.
type platformProxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	fault      pathFault
	conns      map[net.Conn]bool
	newCalls   int       // parts of requests forwarded to the platform since takeNewCalls
	lastCallAt time.Time // when a part of a request was last forwarded

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

// setFault sets the fault of the path; noPathFault ends it.
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

// injectFault gives the path a fault for a while and records that.
func (p *platformProxy) injectFault(ctx context.Context, fault pathFault, duration time.Duration) {
	endFault := p.faults.begin(unplanned)
	p.setFault(fault)
	sleep(ctx, duration)
	p.setFault(noPathFault)
	endFault()
}

// lastCall returns when a call last reached the platform.
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

// takeNewCalls returns how many parts of requests were forwarded since it was last called.
func (p *platformProxy) takeNewCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.newCalls
	p.newCalls = 0
	return n
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// track adds a connection to those that close closes. It returns false if the path resets connections.
func (p *platformProxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return p.fault != connectionsReset
}

// serve forwards data between a client's connection and the platform.
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

// forward passes on what it reads from one connection to the other with send. Once send reports loss, everything that
// follows in this direction is lost too, with the close of the connection, even if the fault ends.
func (p *platformProxy) forward(to, from net.Conn, send func(to net.Conn, data []byte) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if !send(to, buffer[:n]) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
	}
}

// forwardRequest passes on data from the machine to the platform. It returns false if the data is lost.
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

// forwardResponse passes on data from the platform to the machine. It returns false if the data is lost.
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

// trickle writes data trickleBytes at a time.
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
