package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// The route that the operators change, and the beginning of its paths.
const (
	changedRoute  = "added"
	changedPrefix = "/added/"
)

const firstConfiguration = `{"upsert":{
"services":[{"name":"booking","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":7.9,"generation":1},
{"name":"records","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":7.9,"generation":1}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15,"generation":1},
"domains":[{"authority":"booking.example","hostRoutes":[
{"name":"trip-lookup","pathPrefix":"/lookup/","routeKind":"idempotent","deadlineS":1,"targetLatencyS":0.4,"priority":2,"target":"booking","maxTries":2,"generation":1},
{"name":"trip-confirm","pathPrefix":"/confirm/","routeKind":"mutating","deadlineS":1,"targetLatencyS":0.4,"priority":1,"target":"booking","maxTries":2,"generation":1}]}]},
"remove":{"routes":[]}}`

// routeDeadline is that of all routes.
const routeDeadline = time.Second

// upstreamsPerZone are the upstreams that each zone has, by service.
var upstreamsPerZone = map[string]int{"booking": 3, "records": 2}

// failureStatus is what upstreams answer when they fail.
const failureStatus = http.StatusInternalServerError

// world is what surrounds the fleet: upstreams, the platform and clients.
type world struct {
	*history
	platform platform
	servers  []*http.Server
	wayward  atomic.Bool // upstreams fail at times
}

func newWorld(t *testing.T, f *fleet) *world {
	w := &world{history: newHistory(f.machines)}
	host := 200
	for _, zone := range zones {
		for _, service := range []string{"booking", "records"} {
			for j := range upstreamsPerZone[service] {
				u := &upstream{world: w, service: service, zone: zone, id: fmt.Sprintf("i-%s-%s-%d", zone, service, j)}
				l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:0", f.prefix, host))
				if err != nil {
					t.Fatal(err)
				}
				host++
				w.serve(l, u)
				w.platform.add(u.id, service, l.Addr().String(), zone)
			}
		}
	}
	w.serve(f.listener, &w.platform)
	return w
}

func (w *world) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

func (w *world) end() {
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// upstream is a stand-in for a server of a service.
type upstream struct {
	*world
	service, zone, id string
}

const (
	// workTime is for how long an upstream works on a request.
	workTime = 5 * time.Millisecond
	// waywardPart is the part of the requests at which upstreams fail while they are wayward: half of the time
	// with a status, half by a reset once they have run.
	waywardPart = 0.02
)

func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h, attempt := rw.Header(), r.Header.Get("Attempt-Id")
	h.Set("Instance-Id", u.id)
	switch want := r.Header.Get("Target-Instance"); {
	case r.URL.Path == "/health":
		return
	case want != "" && want != u.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{at: time.Now(), service: u.service, zone: u.zone, id: u.id, attempt: attempt, method: r.Method, path: r.RequestURI}
	_, _ = fmt.Sscanf(attempt, "m%d-", &a.machine)
	a.failed = u.wayward.Load() && rand.Float64() < waywardPart
	u.arrive(a)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(workTime)
	if a.failed && rand.Float64() < 0.5 {
		panic(http.ErrAbortHandler)
	}
	h.Set("Attempt-Id", attempt)
	h.Set("Server-Seal", "seal."+attempt)
	if a.failed {
		rw.WriteHeader(failureStatus)
	}
	fmt.Fprintf(rw, "%s ran %s %s\n", u.id, r.Method, r.RequestURI)
}

// arrivalsIn are the requests that reached a zone in a time.
func (h *history) arrivalsIn(zone string, from, to time.Time) (out []arrival) {
	for _, a := range h.arrivals {
		if a.zone == zone && a.at.After(from) && a.at.Before(to) {
			out = append(out, a)
		}
	}
	return out
}
