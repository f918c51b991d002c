package registry

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// gateways returns n gateways in each zone. Those whose address starts with a prefix in unavailable are not
// available.
func gateways(n int, unavailable ...string) (out []Gateway) {
	for _, z := range []string{"a1/a", "a2/a", "b1/b", "b2/b"} {
		zone, region, _ := strings.Cut(z, "/")
		for i := range n {
			g := Gateway{Address: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Region: region, Available: true}
			for _, prefix := range unavailable {
				g.Available = g.Available && !strings.HasPrefix(g.Address, prefix)
			}
			out = append(out, g)
		}
	}
	return out
}

func TestResolve(t *testing.T) {
	cases := []struct {
		name     string
		gateways []Gateway
		query    Query
		want     string // number of addresses by zone
	}{
		{"own zone", gateways(4), Query{Zone: "a1", Region: "a"}, "a1:4"},
		{"own zone with some gateways down", gateways(4, "a1-0"), Query{Zone: "a1", Region: "a"}, "a1:3"},
		{"too few available in the own zone: its region", gateways(4, "a1-0", "a1-1", "a1-2"), Query{Zone: "a1", Region: "a"}, "a1:1 a2:4"},
		{"own region down: other regions", gateways(2, "a"), Query{Zone: "a1", Region: "a"}, "b1:2 b2:2"},
		{"unknown zone of a known region", gateways(2), Query{Zone: "x", Region: "b"}, "b1:2 b2:2"},
		{"the zone's region overrides the one in the query", gateways(2, "a1"), Query{Zone: "a1", Region: "b"}, "a2:2"},
		{"unknown zone and region", gateways(1), Query{Zone: "x", Region: "y"}, "a1:1 a2:1 b1:1 b2:1"},
		{"host served in another region only", gateways(2), Query{Zone: "a1", Region: "a", Residency: []string{"b"}}, "b1:2 b2:2"},
		{"the host's region down: any region", gateways(2, "b"), Query{Zone: "a1", Region: "a", Residency: []string{"b"}}, "a1:2 a2:2"},
		{"no gateway available: all", gateways(1, "a", "b"), Query{Zone: "a1", Region: "a"}, "a1:1 a2:1 b1:1 b2:1"},
		{"at most MaxAddresses addresses", gateways(200), Query{Zone: "a1", Region: "a"}, "a1:64"},
	}
	for _, c := range cases {
		count := map[string]int{}
		for _, address := range Resolve(c.gateways, c.query) {
			zone, _, _ := strings.Cut(address, "-")
			count[zone]++
		}
		var got []string
		for _, z := range []string{"a1", "a2", "b1", "b2"} {
			if count[z] > 0 {
				got = append(got, fmt.Sprintf("%s:%d", z, count[z]))
			}
		}
		if g := strings.Join(got, " "); g != c.want {
			t.Errorf("%s: %s, want %s", c.name, g, c.want)
		}
	}
}

func TestDirectory(t *testing.T) {
	directory := NewDirectory(2400*time.Millisecond, func(string) []string { return nil })
	get := func(url string) (int, string) {
		w := httptest.NewRecorder()
		directory.ServeHTTP(w, httptest.NewRequest("GET", url, nil))
		return w.Code, w.Body.String()
	}
	const validQuery = "/v1/resolve?name=h.example&region=a&zone=a1"
	if code, _ := get(validQuery); code != 503 {
		t.Errorf("status %d before any gateway is known", code)
	}
	directory.SetGateways(gateways(2))
	directory.SetGateways(nil) // must not replace the gateways
	contact := false
	directory.InContact = func() bool { return contact }
	if w := httptest.NewRecorder(); true {
		directory.ServeHTTP(w, httptest.NewRequest("GET", validQuery, nil))
		if w.Code != 503 || w.Header().Get("Retry-After") == "" {
			t.Errorf("out of contact: status %d, headers %v", w.Code, w.Header())
		}
	}
	contact = true
	for url, want := range map[string]int{
		validQuery: 200, "/v1/resolve?name=h.example&zone=nowhere": 200, "/v1/resolve?name=h.example&region=a": 200,
		"/v1/resolve?region=a&zone=a1": 400, "/v1/resolve?name=h.example": 400, "/v1/other": 404,
	} {
		if code, text := get(url); code != want {
			t.Errorf("%s: %d %s", url, code, text)
		}
	}
	var answer struct {
		Addresses []string
		TTLS      float64
	}
	_, text := get(validQuery)
	if json.Unmarshal([]byte(text), &answer) != nil || len(answer.Addresses) != 2 || answer.TTLS != 2.4 {
		t.Errorf("answer: %s", text)
	}
}
