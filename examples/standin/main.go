// Command standin plays the outside world for the local example: the platform's
// list of upstreams, upstreams that answer as the protocol asks, and clients.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type instance map[string]any

// platform lists the upstreams that run.
type platform struct {
	mu      sync.Mutex
	service string
	zones   []string
	port    int
	all     []instance
}

// start starts upstreams of a version; fail is the share of requests that it answers
// with an error.
func (p *platform) start(version string, count int, fail float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range count {
		id, address := fmt.Sprintf("%s-%d", version, p.port), fmt.Sprintf("127.0.0.1:%d", p.port)
		p.port++
		p.all = append(p.all, instance{"id": id, "target": p.service, "address": address, "zone": p.zones[i%len(p.zones)],
			"generation": version, "capacity": 4, "state": "ready", "warmupLeftS": 0})
		go func() { log.Fatal(http.ListenAndServe(address, upstream(id, fail))) }()
	}
}

func main() {
	list := flag.String("list", "127.0.0.1:8142", "address of the platform's list")
	first := flag.Int("first", 9001, "port of the first upstream")
	count := flag.Int("count", 3, "how many upstreams of a version, one in each zone in turn")
	service := flag.String("service", "echo", "name of the service")
	load := flag.String("load", "", "play clients instead: addresses of nodes, host:port, with commas")
	rate := flag.Float64("rate", 100, "with -load: requests a second")
	span := flag.Duration("for", time.Minute, "with -load: for how long")
	flag.Parse()
	if *load != "" {
		clients(strings.Split(*load, ","), *rate, *span)
		return
	}
	p := &platform{service: *service, zones: []string{"north", "south", "west"}, port: *first}
	p.start("v1", *count, 0)
	http.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.all, "nextToken": nil})
	})
	// POST /start?version=v2&fail=0.5 starts upstreams of another version.
	http.HandleFunc("POST /start", func(w http.ResponseWriter, r *http.Request) {
		version, text := r.FormValue("version"), r.FormValue("fail")
		fail, err := strconv.ParseFloat(text, 64)
		if version == "" || text != "" && err != nil {
			http.Error(w, "version is needed; fail is a share from 0 to 1", http.StatusBadRequest)
			return
		}
		p.start(version, *count, fail)
		fmt.Fprintf(w, "%d upstreams of %s run\n", *count, version)
	})
	log.Fatal(http.ListenAndServe(*list, nil))
}

func upstream(id string, fail float64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Instance-Id", id)
		switch want := r.Header.Get("Target-Instance"); {
		case r.URL.Path == "/health":
		case want != "" && want != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
		case r.Header.Get("Attempt-Id") == "":
			h.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
		default:
			time.Sleep(5 * time.Millisecond)
			h.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			h.Set("Server-Seal", "standin")
			if rand.Float64() < fail {
				w.WriteHeader(http.StatusInternalServerError)
			}
			fmt.Fprintf(w, "%s ran %s %s\n", id, r.Method, r.RequestURI)
		}
	})
}

// clients sends requests to nodes in turn and tells how they were answered.
func clients(nodes []string, rate float64, span time.Duration) {
	var mu sync.Mutex
	got := map[string]int{}
	var all sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for n := 0; n < int(rate*span.Seconds()); n++ {
		<-tick.C
		all.Add(1)
		go func() {
			defer all.Done()
			how := ask(nodes[n%len(nodes)], n)
			mu.Lock()
			got[how]++
			mu.Unlock()
		}()
	}
	all.Wait()
	for how, n := range got {
		fmt.Printf("%6d  %s\n", n, how)
	}
}

// ask sends one request and says what answered it.
func ask(node string, n int) string {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/status/%d", node, n), nil)
	if err != nil {
		return err.Error()
	}
	req.Host = "shop.example"
	req.Header.Set("Attempt-Id", fmt.Sprintf("load-%d", n))
	req.Header.Set("Deadline-Left", "1000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer"
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	version, _, _ := strings.Cut(string(body), "-")
	return fmt.Sprintf("%d by %s", res.StatusCode, strings.TrimSpace(version))
}
