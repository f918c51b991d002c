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

// The route that the operators change, and the prefix of its paths.
const (
	changedRoute  = "added"
	changedPrefix = "/added/"
)

const initialConfig = `{"upsert":{
"services":[{"name":"booking","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":7.9,"generation":1},
{"name":"records","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":7.9,"generation":1}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15,"generation":1},
"domains":[{"authority":"booking.example","hostRoutes":[
{"name":"trip-lookup","pathPrefix":"/lookup/","routeKind":"idempotent","deadlineS":1,"targetLatencyS":0.4,"priority":2,"target":"booking","maxTries":2,"generation":1},
{"name":"trip-confirm","pathPrefix":"/confirm/","routeKind":"mutating","deadlineS":1,"targetLatencyS":0.4,"priority":1,"target":"booking","maxTries":2,"generation":1}]}]},
"remove":{"routes":[]}}`

// routeDeadline is the deadline of every route.
const routeDeadline = time.Second

// upstreamsPerZone is the number of upstreams in each zone, by service.
var upstreamsPerZone = map[string]int{"booking": 3, "records": 2}

// upstreamFailureStatus is the status of failed requests that upstreams answer.
const upstreamFailureStatus = http.StatusInternalServerError

// environment is the stand-ins around the test cluster: upstreams, the platform and clients.
type environment struct {
	*history
	platform      platform
	servers       []*http.Server
	upstreamsFail atomic.Bool // upstreams fail upstreamFailureShare of the requests
}

func newEnvironment(t *testing.T, cluster *testCluster) *environment {
	env := &environment{history: newHistory(cluster.machines)}
	host := 200
	for _, zone := range zones {
		for _, service := range []string{"booking", "records"} {
			for n := range upstreamsPerZone[service] {
				server := &upstream{environment: env, service: service, zone: zone, id: fmt.Sprintf("i-%s-%s-%d", zone, service, n)}
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s%d:0", cluster.addressPrefix, host))
				if err != nil {
					t.Fatal(err)
				}
				host++
				env.serve(listener, server)
				env.platform.add(server.id, service, listener.Addr().String(), zone)
			}
		}
	}
	env.serve(cluster.platformListener, &env.platform)
	return env
}

func (env *environment) serve(listener net.Listener, handler http.Handler) {
	s := &http.Server{Handler: handler}
	env.servers = append(env.servers, s)
	go func() { _ = s.Serve(listener) }()
}

func (env *environment) close() {
	for _, s := range env.servers {
		_ = s.Close()
	}
}

// upstream is the stand-in for a server of a service.
type upstream struct {
	*environment
	service, zone, id string
}

const (
	// upstreamWorkTime is how long an upstream works on a request.
	upstreamWorkTime = 5 * time.Millisecond
	// upstreamFailureShare is the share of requests that upstreams fail while upstreamsFail is set: half of them with
	// upstreamFailureStatus, half by closing the connection after the request has run.
	upstreamFailureShare = 0.02
)

func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	header, attempt := rw.Header(), r.Header.Get("Attempt-Id")
	header.Set("Instance-Id", u.id)
	switch wantedID := r.Header.Get("Target-Instance"); {
	case r.URL.Path == "/health":
		return
	case wantedID != "" && wantedID != u.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{at: time.Now(), service: u.service, zone: u.zone, upstreamID: u.id, attempt: attempt, method: r.Method, path: r.RequestURI}
	_, _ = fmt.Sscanf(attempt, "m%d-", &a.machine)
	a.failed = u.upstreamsFail.Load() && rand.Float64() < upstreamFailureShare
	u.recordArrival(a)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(upstreamWorkTime)
	if a.failed && rand.Float64() < 0.5 {
		panic(http.ErrAbortHandler)
	}
	header.Set("Attempt-Id", attempt)
	header.Set("Server-Seal", "seal."+attempt)
	if a.failed {
		rw.WriteHeader(upstreamFailureStatus)
	}
	fmt.Fprintf(rw, "%s ran %s %s\n", u.id, r.Method, r.RequestURI)
}

// arrivalsIn returns the requests that reached a zone between two times.
func (h *history) arrivalsIn(zone string, from, to time.Time) (out []arrival) {
	for _, a := range h.arrivals {
		if a.zone == zone && a.at.After(from) && a.at.Before(to) {
			out = append(out, a)
		}
	}
	return out
}
