package quota

import (
	"net/http"
	"strings"
)

// APIKey returns the bearer token of a request, which is the tenant's API key. It is empty if the request
// has no Authorization header, several, or one of another scheme.
func APIKey(h http.Header) string {
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
