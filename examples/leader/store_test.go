package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// The store rejects a write with a token below the highest that it has seen.
func TestStoreRefusesOldTokens(t *testing.T) {
	s := &store{}
	for _, c := range []struct {
		token  string
		status int
	}{{"3", 200}, {"3", 200}, {"5", 200}, {"3", 409}, {"4", 409}, {"5", 200}, {"", 400}} {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("line"))
		r.Header.Set(tokenHeader, c.token)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code != c.status {
			t.Errorf("token %q: %d, want %d", c.token, w.Code, c.status)
		}
	}
	if len(s.lines) != 4 {
		t.Errorf("%d lines", len(s.lines))
	}
}
