package registry

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// gateways makes n gateways in each zone; names in shut are not open.
func gateways(n int, shut ...string) (out []Gateway) {
	for _, z := range []string{"a1/a", "a2/a", "b1/b", "b2/b"} {
		zone, region, _ := strings.Cut(z, "/")
		for i := range n {
			d := Gateway{Address: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Region: region, Open: true}
			for _, s := range shut {
				d.Open = d.Open && !strings.HasPrefix(d.Address, s)
			}
			out = append(out, d)
		}
	}
	return out
}

func TestResolve(t *testing.T) {
	cases := []struct {
		name     string
		gateways []Gateway
		ask      Asker
		want     string // how many of which zones
	}{
		{"its own zone", gateways(4), Asker{Zone: "a1", Region: "a"}, "a1:4"},
		{"its own zone though some are down", gateways(4, "a1-0"), Asker{Zone: "a1", Region: "a"}, "a1:3"},
		{"too few there: the region", gateways(4, "a1-0", "a1-1", "a1-2"), Asker{Zone: "a1", Region: "a"}, "a1:1 a2:4"},
		{"its region is down: the others", gateways(2, "a"), Asker{Zone: "a1", Region: "a"}, "b1:2 b2:2"},
		{"an unknown zone of a known region", gateways(2), Asker{Zone: "x", Region: "b"}, "b1:2 b2:2"},
		{"the zone's region goes before the one named", gateways(2, "a1"), Asker{Zone: "a1", Region: "b"}, "a2:2"},
		{"unknown altogether", gateways(1), Asker{Zone: "x", Region: "y"}, "a1:1 a2:1 b1:1 b2:1"},
		{"the host is at home elsewhere", gateways(2), Asker{Zone: "a1", Region: "a", Residency: []string{"b"}}, "b1:2 b2:2"},
		{"its home is down: anywhere", gateways(2, "b"), Asker{Zone: "a1", Region: "a", Residency: []string{"b"}}, "a1:2 a2:2"},
		{"none is known to be open", gateways(1, "a", "b"), Asker{Zone: "a1", Region: "a"}, "a1:1 a2:1 b1:1 b2:1"},
		{"no more than may be named", gateways(200), Asker{Zone: "a1", Region: "a"}, "a1:64"},
	}
	for _, c := range cases {
		count := map[string]int{}
		for _, a := range Resolve(c.gateways, c.ask) {
			zone, _, _ := strings.Cut(a, "-")
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
	d := NewDirectory(2400*time.Millisecond, func(string) []string { return nil })
	ask := func(url string) (int, string) {
		w := httptest.NewRecorder()
		d.ServeHTTP(w, httptest.NewRequest("GET", url, nil))
		return w.Code, w.Body.String()
	}
	const good = "/v1/resolve?name=h.example&region=a&zone=a1"
	if code, _ := ask(good); code != 503 {
		t.Errorf("before any gateway is known: %d", code)
	}
	d.SetGateways(gateways(2))
	d.SetGateways(nil) // knows less than before
	contact := false
	d.InContact = func() bool { return contact }
	if w := httptest.NewRecorder(); true {
		d.ServeHTTP(w, httptest.NewRequest("GET", good, nil))
		if w.Code != 503 || w.Header().Get("Retry-After") == "" {
			t.Errorf("out of contact: %d %v", w.Code, w.Header())
		}
	}
	contact = true
	for url, want := range map[string]int{
		good: 200, "/v1/resolve?name=h.example&zone=nowhere": 200, "/v1/resolve?name=h.example&region=a": 200,
		"/v1/resolve?region=a&zone=a1": 400, "/v1/resolve?name=h.example": 400, "/v1/other": 404,
	} {
		if code, text := ask(url); code != want {
			t.Errorf("%s: %d %s", url, code, text)
		}
	}
	var a struct {
		Addresses []string
		TTLS      float64
	}
	_, text := ask(good)
	if json.Unmarshal([]byte(text), &a) != nil || len(a.Addresses) != 2 || a.TTLS != 2.4 {
		t.Errorf("answer: %s", text)
	}
}
