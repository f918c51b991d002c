package quota

import (
	"net/http"
	"strings"
)

// Key is the key that a request carries; empty if it carries none, or two.
func Key(h http.Header) string {
	lines := h["Authorization"]
	if len(lines) != 1 {
		return ""
	}
	scheme, key, ok := strings.Cut(lines[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
