// Command standin plays the outside world for the local example: the platform's
// list of upstreams, and upstreams that answer as the protocol asks.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"time"
)

func main() {
	list := flag.String("list", "127.0.0.1:8142", "address of the platform's list")
	first := flag.Int("first", 9001, "port of the first upstream")
	count := flag.Int("count", 3, "how many upstreams, one in each zone in turn")
	service := flag.String("service", "echo", "name of the service")
	flag.Parse()
	zones := []string{"north", "south", "west"}
	type instance map[string]any
	var all []instance
	for i := 0; i < *count; i++ {
		id, address := fmt.Sprintf("i-%d", i), fmt.Sprintf("127.0.0.1:%d", *first+i)
		all = append(all, instance{"id": id, "target": *service, "address": address, "zone": zones[i%len(zones)],
			"generation": "v1", "capacity": 4, "state": "ready", "warmupLeftS": 0})
		go func() { log.Fatal(http.ListenAndServe(address, upstream(id))) }()
	}
	http.HandleFunc("/instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": all, "nextToken": nil})
	})
	log.Fatal(http.ListenAndServe(*list, nil))
}

func upstream(id string) http.Handler {
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
			fmt.Fprintf(w, "%s ran %s %s\n", id, r.Method, r.RequestURI)
		}
	})
}
