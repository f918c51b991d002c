package main

import (
	"io"
	"log"
	"net/http"
	"strconv"
	"sync"
)

// tokenHeader is the HTTP header with the writer's fencing token.
const tokenHeader = "Fencing-Token"

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 10

// store keeps lines in memory. It rejects a write whose token is below the highest that it has
// seen: the writer has been replaced by another and may not know it yet.
type store struct {
	mu      sync.Mutex
	highest uint64
	lines   []string
}

// append adds a line and returns true, unless a higher token has been seen.
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

// ServeHTTP accepts a POST with a line as its body.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get(tokenHeader), 10, 64)
	if err != nil || r.Method != http.MethodPost {
		http.Error(w, "a POST with a "+tokenHeader+" is wanted", http.StatusBadRequest)
		return
	}
	line, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxLineBytes))
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
