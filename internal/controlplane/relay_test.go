package controlplane

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"madderwing/internal/membership"
)

const (
	testHedgeDelay = 100 * time.Millisecond
	testTimeout    = 500 * time.Millisecond
	testCooldown     = 3 * time.Second
)

// fakeNodes is what each node would answer, and whom a picker has asked.
type fakeNodes struct {
	mu    sync.Mutex
	nodes map[string]fakeNode
	asked []string
}

type fakeNode struct {
	down   bool          // refuses at once
	silent bool          // never answers
	delay  time.Duration // of its answer
	relay  bool
	isolated bool // hears no owner
	owner  string
	knows  []string
}

func (f *fakeNodes) newPicker(seeds ...string) *picker {
	return &picker{self: "self", zone: "z", hedgeDelay: testHedgeDelay, timeout: testTimeout, cooldown: testCooldown, seeds: seeds,
		nodes: map[string]membership.Node{}, owners: map[string]string{}, failed: map[string]time.Time{},
		ask: func(ctx context.Context, to, _ string) (relayAnswer, error) {
			f.mu.Lock()
			f.asked = append(f.asked, to)
			n, ok := f.nodes[to]
			f.mu.Unlock()
			if !ok || n.down {
				return relayAnswer{}, errors.New("refused")
			}
			if n.silent {
				n.delay = time.Hour
			}
			select {
			case <-time.After(n.delay):
			case <-ctx.Done():
				return relayAnswer{}, ctx.Err()
			}
			a := relayAnswer{Relay: n.relay, Working: !n.relay && !n.isolated, Owner: n.owner}
			for _, k := range n.knows {
				a.Nodes = append(a.Nodes, membership.Node{Address: k, Plane: membership.Control})
			}
			return a, nil
		}}
}

func TestPickerChoosesAControlNode(t *testing.T) {
	for _, test := range []struct {
		name  string
		seeds []string
		nodes map[string]fakeNode
		want  string
		took  time.Duration
	}{
		{"a seed that owns the key", []string{"a"}, map[string]fakeNode{"a": {owner: "a"}}, "a", 0},
		{"a seed that knows no owner", []string{"a"}, map[string]fakeNode{"a": {}}, "a", 0},
		{"the owner is somebody else", []string{"a"}, map[string]fakeNode{"a": {owner: "b"}, "b": {owner: "b"}}, "b", 0},
		{"the owner is silent", []string{"a"}, map[string]fakeNode{"a": {owner: "b"}, "b": {silent: true}}, "a", testHedgeDelay},
		{"the owner has lost its majority", []string{"a"}, map[string]fakeNode{"a": {owner: "b"}, "b": {isolated: true}}, "a", 0},
		{"a control node that has lost its majority", []string{"a"}, map[string]fakeNode{"a": {isolated: true, owner: "a"}}, "", 0},
		{"the seed is a relay that knows a control node", []string{"r"}, map[string]fakeNode{"r": {relay: true, knows: []string{"a"}}, "a": {}}, "a", 0},
		{"relays that know each other", []string{"r"}, map[string]fakeNode{"r": {relay: true, knows: []string{"s", "self"}}, "s": {relay: true, knows: []string{"r"}}, "self": {}}, "", 0},
		{"a silent seed", []string{"a", "b"}, map[string]fakeNode{"a": {silent: true}, "b": {down: true}}, "", testTimeout},
		{"all seeds refuse", []string{"a", "b", "c"}, nil, "", 0},
		{"no seed but itself", []string{"self"}, map[string]fakeNode{"self": {}}, "", 0},
		{"a slow one and another", []string{"a", "b"}, map[string]fakeNode{"a": {delay: 3 * testHedgeDelay, owner: "a"}, "b": {delay: 3 * testHedgeDelay, owner: "b"}}, "", 3 * testHedgeDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := &fakeNodes{nodes: test.nodes}
				begin := time.Now()
				got := nodes.newPicker(test.seeds...).pick(t.Context(), "k")
				synctest.Wait()
				if test.name == "a slow one and another" {
					test.want = nodes.asked[0] // whichever was asked first answers first
				}
				if took := time.Since(begin); got != test.want || took != test.took {
					t.Errorf("picked %q after %v, want %q after %v; asked %v", got, took, test.want, test.took, nodes.asked)
				}
			})
		})
	}
}

// What one call has learnt serves the next.
// A relay asks nobody for a caller that has left, and holds that against no control node.
func TestPickerStopsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeNodes{nodes: map[string]fakeNode{"a": {owner: "b", knows: []string{"b"}}, "b": {silent: true}}}
		p := f.newPicker("a")
		caller, cancel := context.WithTimeout(t.Context(), testHedgeDelay/2)
		defer cancel()
		begin := time.Now()
		p.pick(caller, "k")
		synctest.Wait()
		if took := time.Since(begin); took != testHedgeDelay/2 || len(p.failed) != 0 {
			t.Errorf("it took %v; failed %v", took, p.failed)
		}
	})
}

func TestPickerRemembersEarlierAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeNodes{nodes: map[string]fakeNode{"a": {owner: "b", knows: []string{"a", "b", "c"}}, "b": {owner: "b", knows: []string{"a", "b", "c"}},
			"c": {owner: "b", knows: []string{"a", "b", "c"}}}}
		p := f.newPicker("a")
		step := func(what, want string, asked ...string) {
			t.Helper()
			f.asked = nil
			got := p.pick(t.Context(), "k")
			synctest.Wait() // those who were slow are done
			if got != want || !slices.Equal(f.asked, asked) {
				t.Errorf("%s: picked %q by asking %v, want %q by %v", what, got, f.asked, want, asked)
			}
		}
		step("first", "b", "a", "b")
		step("the owner is known", "b", "b")
		f.nodes["b"] = fakeNode{silent: true}
		step("the owner falls silent", "c", "b", "c")
		step("it isn't asked again at once, nor is it believed in", "c", "c")
		time.Sleep(testCooldown)
		step("after a while it is", "c", "b", "c")
		f.nodes["a"], f.nodes["c"], f.nodes["b"] = fakeNode{down: true}, fakeNode{down: true}, fakeNode{owner: "b", knows: []string{"b"}}
		step("all others are gone: also who failed lately", "b", "c", "a", "b")
		f.nodes["b"] = fakeNode{down: true}
		f.nodes["n"] = fakeNode{owner: "n", knows: []string{"n"}}
		p.setSeeds([]string{"n"})
		step("new seeds", "n", "b", "n")
		f.nodes["n"] = fakeNode{owner: "s", knows: []string{"n", "s"}}
		f.nodes["s"] = fakeNode{silent: true}
		step("an owner that the picker has never asked is silent", "n", "n", "s")
		step("nor is that one asked again at once", "n", "n")
		f.nodes["n"] = fakeNode{down: true}
		step("control nodes of old that no answer names are forgotten", "", "n", "s")
	})
}

func TestRelayAnswers(t *testing.T) {
	keys := []string{"catalogue", "evacuation/n"}
	for _, c := range []struct {
		name, key string
		owners    map[string]string
		leaving   bool
		owner     string
		working     bool
	}{
		{"an owner", "evacuation/n", map[string]string{"catalogue": "a", "evacuation/n": "b"}, false, "b", true},
		{"none at the moment", "evacuation/n", map[string]string{"catalogue": "a"}, false, "", true},
		{"a key that there is not", "evacuation/m", map[string]string{"catalogue": "a", "evacuation/m": "made by asking"}, false, "", true},
		{"no owner of anything", "catalogue", nil, false, "", false},
		{"about to leave", "catalogue", map[string]string{"catalogue": "a"}, true, "a", false},
	} {
		list := &membership.List{Nodes: []membership.Node{{Address: "a", Plane: membership.Control, Draining: c.leaving}, {Address: "b", Plane: membership.Control},
			{Address: "c", Plane: membership.Control, State: membership.Dead}, {Address: "d"}, {Address: "e", Plane: membership.Control, Draining: true}}}
		got := relayAnswerFor(c.key, "a", keys, func(key string) string { return c.owners[key] }, list)
		want := 2
		if c.leaving {
			want = 1
		}
		if got.Owner != c.owner || got.Working != c.working || len(got.Nodes) != want || got.Nodes[want-1].Address != "b" {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// A node that joins through a relay is told the control nodes, which are looked for once.
func TestRelayIntroducesControlNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeNodes{nodes: map[string]fakeNode{"a": {owner: "a", knows: []string{"a"}}}}
		p := f.newPicker("a")
		for range 3 {
			if got := p.introduce(membership.Node{Address: "d"}); len(got) != 1 || got[0].Address != "a" {
				t.Errorf("told of %v", got)
			}
		}
		if len(f.asked) != 1 {
			t.Errorf("asked %v", f.asked)
		}
		unreachable := &fakeNodes{}
		second := unreachable.newPicker("a")
		for range 3 {
			second.introduce(membership.Node{Address: "d"})
		}
		if len(unreachable.asked) != 1 {
			t.Errorf("asked %v in vain", unreachable.asked)
		}
		if got := p.introduce(membership.Node{Address: "b", Plane: membership.Control}); len(got) != 1 {
			t.Errorf("a control node is told of %v", got)
		}
		if got := p.introduce(membership.Node{Address: "d"}); len(got) != 2 {
			t.Errorf("a control node that joined isn't passed on: %v", got)
		}
	})
}

func TestRelayRedirects(t *testing.T) {
	for _, c := range []struct {
		name, method, target, pick string
		key, location              string
		status                     int
		expectContinue                    bool // to be asked for its body
	}{
		{"a change", "PATCH", "/v1/config", "10.0.0.4:7001", "catalogue", "http://10.0.0.4:8080/v1/config", 307, false},
		{"a body that waits", "PATCH", "/v1/config", "10.0.0.4:7001", "catalogue", "http://10.0.0.4:8080/v1/config", 307, true},
		{"a question", "GET", "/v1/admin/resolve?name=h.example&zone=a%20b", "10.0.0.4:7001", "catalogue", "http://10.0.0.4:8080/v1/admin/resolve?name=h.example&zone=a%20b", 307, false},
		{"an evacuation", "POST", "/v1/evacuation/north", "10.0.0.4:7001", "evacuation/north", "http://10.0.0.4:8080/v1/evacuation/north", 307, false},
		{"a rollout", "DELETE", "/v1/rollouts/a%2Fb", "10.0.0.4:7001", "rollout/a/b", "http://10.0.0.4:8080/v1/rollouts/a%2Fb", 307, false},
		{"an order of a rollout", "POST", "/v1/rollouts", "10.0.0.4:7001", "catalogue", "http://10.0.0.4:8080/v1/rollouts", 307, false},
		{"a retirement", "DELETE", "/v1/admin/members/n", "10.0.0.4:7001", "roster", "http://10.0.0.4:8080/v1/admin/members/n", 307, false},
		{"nobody", "PATCH", "/v1/config", "", "catalogue", "", 503, false},
		{"its own metrics", "GET", "/metrics", "", "", "", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			key := ""
			r := &relay{port: "8080", retryAfter: time.Second / 2, log: slog.New(slog.DiscardHandler),
				pick: func(_ context.Context, k string) string { key = k; return c.pick }, known: func() []membership.Node { return nil }}
			w := httptest.NewRecorder()
			body := strings.NewReader(strings.Repeat("x", 1<<20))
			req := httptest.NewRequest(c.method, c.target, body)
			if c.expectContinue {
				req.Header.Set("Expect", "100-continue")
			}
			r.ServeHTTP(w, req)
			if w.Code != c.status || w.Header().Get("Location") != c.location || key != c.key {
				t.Errorf("%d %q about %q", w.Code, w.Header().Get("Location"), key)
			}
			if unread := body.Len() > 0; unread != (c.expectContinue || c.status == http.StatusOK) {
				t.Errorf("%d bytes of the body are left", body.Len())
			}
			if later := w.Header().Get("Retry-After"); (later != "") != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After %q", later)
			}
			if c.status == http.StatusOK && !strings.Contains(w.Body.String(), "madderwing_relay_calls_total 0\n") {
				t.Errorf("metrics: %s", w.Body)
			}
		})
	}
}
