package main

import (
	"io"
	"log"
	"net/http"
	"strconv"
	"sync"
)

// tokenHeader carries the writer's fencing token.
const tokenHeader = "Fencing-Token"

// maxLine bounds what is written at once.
const maxLine = 1 << 10

// store keeps lines. It refuses a write with a token below the highest that it has seen:
// whoever sends one has been followed by another writer, and may not know it yet.
type store struct {
	mu      sync.Mutex
	highest uint64
	lines   []string
}

// append takes a line, unless its writer has been followed by another.
func (s *store) append(token uint64, line string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.highest {
		return false
	}
	s.highest = token
	s.lines = append(s.lines, line)
	return true
}

// ServeHTTP takes a line as the body of a POST.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get(tokenHeader), 10, 64)
	if err != nil || r.Method != http.MethodPost {
		http.Error(w, "a POST with a "+tokenHeader+" is wanted", http.StatusBadRequest)
		return
	}
	line, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxLine))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.append(token, string(line)) {
		log.Printf("store: %q refused: token %d is old", line, token)
		http.Error(w, "a writer with a higher token has written", http.StatusConflict)
		return
	}
	log.Printf("store: %q under token %d", line, token)
}
