package main

// This file holds the stand-ins for the platform, the upstreams, clients and operators. They
// follow the operators' protocol page.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const firstConfiguration = `{"upsert":{
"services":[{"name":"booking","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":7.9,"generation":1}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15,"generation":1},
"domains":[{"authority":"booking.example","hostRoutes":[
{"name":"trip-lookup","pathPrefix":"/lookup/","routeKind":"idempotent","deadlineS":1,"targetLatencyS":0.4,"priority":2,"target":"booking","maxTries":2,"generation":1},
{"name":"trip-confirm","pathPrefix":"/confirm/","routeKind":"mutating","deadlineS":1.2,"targetLatencyS":0.5,"priority":1,"target":"booking","maxTries":2,"generation":1}]}]},
"remove":{"routes":[]}}`

// world is what surrounds the fleet.
type world struct {
	mu    sync.Mutex
	list  []map[string]any
	ran   map[string]int    // runs by attempt
	where map[string]string // the upstream that ran an attempt
	at    map[string]time.Time
}

// played is the world of this run.
var played *world

// newWorld serves the platform's list and two upstreams in each zone.
func newWorld(f *fleet) *world {
	w := &world{ran: map[string]int{}, where: map[string]string{}, at: map[string]time.Time{}}
	for i, z := range zones {
		for j := range 2 {
			id := fmt.Sprintf("i-%s-%d", z, j)
			l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:0", f.prefix, 100+10*i+j))
			must(err)
			w.list = append(w.list, map[string]any{"id": id, "target": "booking", "address": l.Addr().String(), "zone": z,
				"generation": "v1", "capacity": 6, "state": "ready", "warmupLeftS": 0})
			go func() { _ = http.Serve(l, w.upstream(id)) }()
		}
	}
	played = w
	l, err := net.Listen("tcp4", f.platform+":8142")
	must(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/instances" {
				rw.WriteHeader(http.StatusNotFound)
				return
			}
			w.mu.Lock()
			text, _ := json.Marshal(map[string]any{"instances": w.list, "nextToken": nil})
			w.mu.Unlock()
			rw.Header().Set("Content-Type", "application/json")
			_, _ = rw.Write(text)
		}))
	}()
	return w
}

func (w *world) upstream(id string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		h, attempt := rw.Header(), r.Header.Get("Attempt-Id")
		h.Set("Instance-Id", id)
		switch want := r.Header.Get("Target-Instance"); {
		case r.URL.Path == "/health":
			return
		case want != "" && want != id:
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		case attempt == "":
			h.Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		w.ran[attempt]++
		w.where[attempt] = id
		w.at[attempt] = time.Now()
		w.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(20 * time.Millisecond)
		h.Set("Attempt-Id", attempt)
		h.Set("Server-Seal", "seal."+attempt)
		fmt.Fprintf(rw, "%s ran %s %s\n", id, r.Method, r.RequestURI)
	})
}

// drain has the platform's list show an upstream as draining.
func (w *world) drain(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, u := range w.list {
		if u["id"] == id {
			u = maps.Clone(u)
			u["state"] = "draining"
			w.list[i] = u
		}
	}
}

// answered is one request and what came of it.
type answered struct {
	id     string
	to     string // the zone of the machine
	sent   time.Time
	status int // 0: no answer
}

// requests are all that were sent, for the record.
var (
	requestsMu sync.Mutex
	requests   []answered
)

// listRequests writes every request into the record: what was sent, answered and run.
func (w *world) listRequests() {
	requestsMu.Lock()
	defer requestsMu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortFunc(requests, func(a, b answered) int { return a.sent.Compare(b.sent) })
	for _, a := range requests {
		ran := "did not run"
		if n := w.ran[a.id]; n > 0 {
			ran = fmt.Sprintf("ran %d time(s), at %s at %.3f", n, w.where[a.id], w.at[a.id].Sub(began).Seconds())
		}
		line("%8.3f  request %s to %s: %d; %s", a.sent.Sub(began).Seconds(), a.id, a.to, a.status, ran)
	}
}

// ask sends one request of a client to a machine, each on a connection of its own.
func ask(ctx context.Context, n *node, id string) answered {
	a := answered{id: id, to: n.zone, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+n.front()+"/lookup/"+id, nil)
	must(err)
	req.Host = "booking.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Left", "1000")
	req.Close = true
	res, err := oneCall.Do(req)
	if err != nil {
		return a
	}
	defer res.Body.Close()
	if body, err := io.ReadAll(res.Body); err == nil && (res.StatusCode != 200 || strings.Contains(string(body), "/lookup/"+id)) {
		a.status = res.StatusCode
	}
	return a
}

var oneCall = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// load sends requests to machines in turn for a time, and returns what came of them.
func load(ctx context.Context, nodes []*node, name string, perS int, span time.Duration) (out []answered) {
	var mu sync.Mutex
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perS))
	defer tick.Stop()
	for i := 0; i < int(float64(perS)*span.Seconds()); i++ {
		<-tick.C
		all.Add(1)
		go func() {
			defer all.Done()
			a := ask(ctx, nodes[i%len(nodes)], fmt.Sprintf("%s-%d", name, i))
			mu.Lock()
			out = append(out, a)
			mu.Unlock()
		}()
	}
	all.Wait()
	requestsMu.Lock()
	requests = append(requests, out...)
	requestsMu.Unlock()
	count := map[int]int{}
	for _, a := range out {
		count[a.status]++
	}
	note("%s: %d requests sent; answers by status (0: none): %v", name, len(out), count)
	return out
}

func served(all []answered) (n int) {
	for _, a := range all {
		if a.status == 200 {
			n++
		}
	}
	return n
}

// order sends one call to control.
func order(ctx context.Context, method, url, body string) (status int, text string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	must(err)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := oneCall.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(b)
}

// operate sends an order as the protocol page says, to one address after the other with a pause
// that grows, until it is acknowledged or the time is over.
func operate(ctx context.Context, addresses []string, method, path, body string, limit time.Duration) bool {
	end, pause := time.Now().Add(limit), 100*time.Millisecond
	at := rand.IntN(len(addresses))
	for i := 0; ; i++ {
		to := addresses[(at+i)%len(addresses)]
		status, text := order(ctx, method, "http://"+to+path, body)
		note("order %s %s to %s: %d %s", method, path, to, status, strings.TrimSpace(text))
		if status == 200 {
			return true
		}
		if ctx.Err() != nil || time.Now().Add(pause).After(end) || status >= 400 && status < 500 && status != 408 && status != 429 {
			return false
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
}

// lossy is a proxy before a control address. It passes calls on and loses the answer to the next
// one if it is told to: its client finds the connection closed.
type lossy struct {
	address string
	mu      sync.Mutex
	lose    bool
}

func newLossy(listen, to string) *lossy {
	l, err := net.Listen("tcp4", listen)
	must(err)
	p := &lossy{address: l.Addr().String()}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			status, text := order(context.Background(), r.Method, "http://"+to+r.URL.RequestURI(), string(body))
			p.mu.Lock()
			lost := p.lose
			p.lose = false
			p.mu.Unlock()
			if lost {
				note("the answer %d to %s %s is lost on its way", status, r.Method, r.URL.Path)
			}
			if lost || status == 0 {
				panic(http.ErrAbortHandler)
			}
			rw.WriteHeader(status)
			_, _ = io.WriteString(rw, text)
		}))
	}()
	return p
}

// set has the answer to the next call lost, or not.
func (p *lossy) set(lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose = lose
}
