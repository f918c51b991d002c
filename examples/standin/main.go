// Command standin simulates the environment of the local example: the platform API that lists
// the upstreams, upstreams that follow the protocol of gateways and upstreams, and clients.
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

// instance is an upstream as the platform API lists it.
type instance map[string]any

// platform starts upstreams and lists those that are running.
type platform struct {
	mu       sync.Mutex
	service  string
	zones    []string
	nextPort int
	running  []instance
}

// startUpstreams starts upstreams of a version. They answer failShare of the requests with an
// error.
func (p *platform) startUpstreams(version string, count int, failShare float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range count {
		id, address := fmt.Sprintf("%s-%d", version, p.nextPort), fmt.Sprintf("127.0.0.1:%d", p.nextPort)
		p.nextPort++
		p.running = append(p.running, instance{"id": id, "target": p.service, "address": address, "zone": p.zones[i%len(p.zones)],
			"generation": version, "capacity": 4, "state": "ready", "warmupLeftS": 0})
		go func() { log.Fatal(http.ListenAndServe(address, upstreamHandler(id, failShare))) }()
	}
}

func main() {
	listAddress := flag.String("list", "127.0.0.1:8142", "address of the platform's list")
	firstPort := flag.Int("first", 9001, "port of the first upstream")
	count := flag.Int("count", 3, "how many upstreams of a version, one in each zone in turn")
	service := flag.String("service", "echo", "name of the service")
	loadNodes := flag.String("load", "", "play clients instead: addresses of nodes, host:port, with commas")
	rate := flag.Float64("rate", 100, "with -load: requests a second")
	duration := flag.Duration("for", time.Minute, "with -load: for how long")
	flag.Parse()
	if *loadNodes != "" {
		runClients(strings.Split(*loadNodes, ","), *rate, *duration)
		return
	}
	platform := &platform{service: *service, zones: []string{"north", "south", "west"}, nextPort: *firstPort}
	platform.startUpstreams("v1", *count, 0)
	http.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": platform.running, "nextToken": nil})
	})
	// POST /start?version=v2&fail=0.5 starts upstreams of another version.
	http.HandleFunc("POST /start", func(w http.ResponseWriter, r *http.Request) {
		version, failText := r.FormValue("version"), r.FormValue("fail")
		failShare, err := strconv.ParseFloat(failText, 64)
		if version == "" || failText != "" && err != nil {
			http.Error(w, "version is needed; fail is a share from 0 to 1", http.StatusBadRequest)
			return
		}
		platform.startUpstreams(version, *count, failShare)
		fmt.Fprintf(w, "%d upstreams of %s run\n", *count, version)
	})
	log.Fatal(http.ListenAndServe(*listAddress, nil))
}

func upstreamHandler(id string, failShare float64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header := w.Header()
		header.Set("Instance-Id", id)
		switch wantedInstance := r.Header.Get("Target-Instance"); {
		case r.URL.Path == "/health":
		case wantedInstance != "" && wantedInstance != id:
			w.WriteHeader(http.StatusMisdirectedRequest)
		case r.Header.Get("Attempt-Id") == "":
			header.Set("Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
		default:
			time.Sleep(5 * time.Millisecond)
			header.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			header.Set("Server-Seal", "standin")
			if rand.Float64() < failShare {
				w.WriteHeader(http.StatusInternalServerError)
			}
			fmt.Fprintf(w, "%s ran %s %s\n", id, r.Method, r.RequestURI)
		}
	})
}

// runClients sends requests to the nodes in turn, at a rate per second, and prints how many there
// were of each outcome.
func runClients(nodes []string, rate float64, duration time.Duration) {
	var mu sync.Mutex
	outcomes := map[string]int{}
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for number := 0; number < int(rate*duration.Seconds()); number++ {
		<-ticker.C
		pending.Add(1)
		go func() {
			defer pending.Done()
			outcome := sendRequest(nodes[number%len(nodes)], number)
			mu.Lock()
			outcomes[outcome]++
			mu.Unlock()
		}()
	}
	pending.Wait()
	for outcome, count := range outcomes {
		fmt.Printf("%6d  %s\n", count, outcome)
	}
}

// sendRequest sends one request and returns its outcome: the status and the version of the
// upstream that answered.
func sendRequest(node string, number int) string {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/status/%d", node, number), nil)
	if err != nil {
		return err.Error()
	}
	request.Host = "shop.example"
	request.Header.Set("Attempt-Id", fmt.Sprintf("load-%d", number))
	request.Header.Set("Deadline-Left", "1000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	version, _, _ := strings.Cut(string(body), "-")
	return fmt.Sprintf("%d by %s", response.StatusCode, strings.TrimSpace(version))
}
