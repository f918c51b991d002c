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
	testCooldown   = 3 * time.Second
)

// fakeNodes holds what each node answers to a picker, and records the nodes asked.
type fakeNodes struct {
	mu    sync.Mutex
	nodes map[string]fakeNode
	asked []string
}

type fakeNode struct {
	down     bool          // refuses connections at once
	silent   bool          // never answers
	delay    time.Duration // of its answer
	relay    bool
	isolated bool // knows no owner of any partition
	owner    string
	knows    []string
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
		name     string
		seeds    []string
		nodes    map[string]fakeNode
		want     string
		wantTook time.Duration
	}{
		{"a seed that owns the partition", []string{"a"}, map[string]fakeNode{"a": {owner: "a"}}, "a", 0},
		{"a seed that knows no owner", []string{"a"}, map[string]fakeNode{"a": {}}, "a", 0},
		{"another node is the owner", []string{"a"}, map[string]fakeNode{"a": {owner: "b"}, "b": {owner: "b"}}, "b", 0},
		{"the owner is silent", []string{"a"}, map[string]fakeNode{"a": {owner: "b"}, "b": {silent: true}}, "a", testHedgeDelay},
		{"the owner has lost its majority", []string{"a"}, map[string]fakeNode{"a": {owner: "b"}, "b": {isolated: true}}, "a", 0},
		{"a control node that has lost its majority", []string{"a"}, map[string]fakeNode{"a": {isolated: true, owner: "a"}}, "", 0},
		{"the seed is a relay that knows a control node", []string{"r"}, map[string]fakeNode{"r": {relay: true, knows: []string{"a"}}, "a": {}}, "a", 0},
		{"relays that know each other", []string{"r"}, map[string]fakeNode{"r": {relay: true, knows: []string{"s", "self"}}, "s": {relay: true, knows: []string{"r"}}, "self": {}}, "", 0},
		{"a silent seed", []string{"a", "b"}, map[string]fakeNode{"a": {silent: true}, "b": {down: true}}, "", testTimeout},
		{"all seeds refuse", []string{"a", "b", "c"}, nil, "", 0},
		{"no seed but itself", []string{"self"}, map[string]fakeNode{"self": {}}, "", 0},
		{"two slow seeds", []string{"a", "b"}, map[string]fakeNode{"a": {delay: 3 * testHedgeDelay, owner: "a"}, "b": {delay: 3 * testHedgeDelay, owner: "b"}}, "", 3 * testHedgeDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nodes := &fakeNodes{nodes: test.nodes}
				begin := time.Now()
				got := nodes.newPicker(test.seeds...).pick(t.Context(), "k")
				synctest.Wait()
				if test.name == "two slow seeds" {
					test.want = nodes.asked[0] // the first one asked answers first
				}
				if took := time.Since(begin); got != test.want || took != test.wantTook {
					t.Errorf("picked %q after %v, want %q after %v; asked %v", got, took, test.want, test.wantTook, nodes.asked)
				}
			})
		})
	}
}

// A picker stops asking when its caller leaves, and does not count that as a node's failure.
func TestPickerStopsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &fakeNodes{nodes: map[string]fakeNode{"a": {owner: "b", knows: []string{"b"}}, "b": {silent: true}}}
		picker := nodes.newPicker("a")
		caller, cancel := context.WithTimeout(t.Context(), testHedgeDelay/2)
		defer cancel()
		begin := time.Now()
		picker.pick(caller, "k")
		synctest.Wait()
		if took := time.Since(begin); took != testHedgeDelay/2 || len(picker.failed) != 0 {
			t.Errorf("it took %v; failed %v", took, picker.failed)
		}
	})
}

// What a picker learns in one call, it uses in the next.
func TestPickerRemembersEarlierAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &fakeNodes{nodes: map[string]fakeNode{"a": {owner: "b", knows: []string{"a", "b", "c"}}, "b": {owner: "b", knows: []string{"a", "b", "c"}},
			"c": {owner: "b", knows: []string{"a", "b", "c"}}}}
		picker := nodes.newPicker("a")
		step := func(what, want string, asked ...string) {
			t.Helper()
			nodes.asked = nil
			got := picker.pick(t.Context(), "k")
			synctest.Wait() // until slow queries have ended
			if got != want || !slices.Equal(nodes.asked, asked) {
				t.Errorf("%s: picked %q by asking %v, want %q by %v", what, got, nodes.asked, want, asked)
			}
		}
		step("first", "b", "a", "b")
		step("the owner is known", "b", "b")
		nodes.nodes["b"] = fakeNode{silent: true}
		step("the owner stops answering", "c", "b", "c")
		step("it is not asked again during its cooldown, and not picked", "c", "c")
		time.Sleep(testCooldown)
		step("after the cooldown it is asked", "c", "b", "c")
		nodes.nodes["a"], nodes.nodes["c"], nodes.nodes["b"] = fakeNode{down: true}, fakeNode{down: true}, fakeNode{owner: "b", knows: []string{"b"}}
		step("all others are down: a node in its cooldown is asked too", "b", "c", "a", "b")
		nodes.nodes["b"] = fakeNode{down: true}
		nodes.nodes["n"] = fakeNode{owner: "n", knows: []string{"n"}}
		picker.setSeeds([]string{"n"})
		step("new seeds", "n", "b", "n")
		nodes.nodes["n"] = fakeNode{owner: "s", knows: []string{"n", "s"}}
		nodes.nodes["s"] = fakeNode{silent: true}
		step("a newly named owner does not answer", "n", "n", "s")
		step("that one is not asked again during its cooldown either", "n", "n")
		nodes.nodes["n"] = fakeNode{down: true}
		step("control nodes that no recent answer names are forgotten", "", "n", "s")
	})
}

func TestRelayAnswers(t *testing.T) {
	partitions := []string{"catalogue", "evacuation/n"}
	for _, test := range []struct {
		name, partition string
		owners          map[string]string
		draining        bool
		owner           string
		working         bool
	}{
		{"an owner", "evacuation/n", map[string]string{"catalogue": "a", "evacuation/n": "b"}, false, "b", true},
		{"no owner at the moment", "evacuation/n", map[string]string{"catalogue": "a"}, false, "", true},
		{"an unknown partition", "evacuation/m", map[string]string{"catalogue": "a", "evacuation/m": "created by the query"}, false, "", true},
		{"no owner of any partition", "catalogue", nil, false, "", false},
		{"draining", "catalogue", map[string]string{"catalogue": "a"}, true, "a", false},
	} {
		list := &membership.List{Nodes: []membership.Node{{Address: "a", Plane: membership.Control, Draining: test.draining}, {Address: "b", Plane: membership.Control},
			{Address: "c", Plane: membership.Control, State: membership.Dead}, {Address: "d"}, {Address: "e", Plane: membership.Control, Draining: true}}}
		got := relayAnswerFor(test.partition, "a", partitions, func(partition string) string { return test.owners[partition] }, list)
		wantNodes := 2
		if test.draining {
			wantNodes = 1
		}
		if got.Owner != test.owner || got.Working != test.working || len(got.Nodes) != wantNodes || got.Nodes[wantNodes-1].Address != "b" {
			t.Errorf("%s: %+v", test.name, got)
		}
	}
}

// A relay gives a joining node the control nodes, for which it searches once, and adds control
// nodes that join through it.
func TestRelayIntroducesControlNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := &fakeNodes{nodes: map[string]fakeNode{"a": {owner: "a", knows: []string{"a"}}}}
		first := nodes.newPicker("a")
		for range 3 {
			if got := first.introduce(membership.Node{Address: "d"}); len(got) != 1 || got[0].Address != "a" {
				t.Errorf("introduced to %v", got)
			}
		}
		if len(nodes.asked) != 1 {
			t.Errorf("asked %v", nodes.asked)
		}
		unreachable := &fakeNodes{}
		second := unreachable.newPicker("a")
		for range 3 {
			second.introduce(membership.Node{Address: "d"})
		}
		if len(unreachable.asked) != 1 {
			t.Errorf("asked %v without success, want one query", unreachable.asked)
		}
		if got := first.introduce(membership.Node{Address: "b", Plane: membership.Control}); len(got) != 1 {
			t.Errorf("a joining control node is introduced to %v", got)
		}
		if got := first.introduce(membership.Node{Address: "d"}); len(got) != 2 {
			t.Errorf("a control node that joined is not in the introduction: %v", got)
		}
	})
}

func TestRelayRedirects(t *testing.T) {
	for _, test := range []struct {
		name, method, target, pick string
		partition, location        string
		status                     int
		expectContinue             bool // sends Expect: 100-continue
	}{
		{"a change", "PATCH", "/v1/config", "10.0.0.4:7001", "catalogue", "http://10.0.0.4:8080/v1/config", 307, false},
		{"a body held back", "PATCH", "/v1/config", "10.0.0.4:7001", "catalogue", "http://10.0.0.4:8080/v1/config", 307, true},
		{"a query", "GET", "/v1/admin/resolve?name=h.example&zone=a%20b", "10.0.0.4:7001", "catalogue", "http://10.0.0.4:8080/v1/admin/resolve?name=h.example&zone=a%20b", 307, false},
		{"an evacuation", "POST", "/v1/evacuation/north", "10.0.0.4:7001", "evacuation/north", "http://10.0.0.4:8080/v1/evacuation/north", 307, false},
		{"a rollout", "DELETE", "/v1/rollouts/a%2Fb", "10.0.0.4:7001", "rollout/a/b", "http://10.0.0.4:8080/v1/rollouts/a%2Fb", 307, false},
		{"an order of a rollout", "POST", "/v1/rollouts", "10.0.0.4:7001", "catalogue", "http://10.0.0.4:8080/v1/rollouts", 307, false},
		{"a retirement", "DELETE", "/v1/admin/members/n", "10.0.0.4:7001", "roster", "http://10.0.0.4:8080/v1/admin/members/n", 307, false},
		{"no control node", "PATCH", "/v1/config", "", "catalogue", "", 503, false},
		{"the relay's own metrics", "GET", "/metrics", "", "", "", 200, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			picked := ""
			handler := &relay{port: "8080", retryAfter: time.Second / 2, log: slog.New(slog.DiscardHandler),
				pick: func(_ context.Context, partition string) string { picked = partition; return test.pick }, known: func() []membership.Node { return nil }}
			response := httptest.NewRecorder()
			body := strings.NewReader(strings.Repeat("x", 1<<20))
			req := httptest.NewRequest(test.method, test.target, body)
			if test.expectContinue {
				req.Header.Set("Expect", "100-continue")
			}
			handler.ServeHTTP(response, req)
			if response.Code != test.status || response.Header().Get("Location") != test.location || picked != test.partition {
				t.Errorf("%d %q for partition %q", response.Code, response.Header().Get("Location"), picked)
			}
			if unread := body.Len() > 0; unread != (test.expectContinue || test.status == http.StatusOK) {
				t.Errorf("%d bytes of the body are unread", body.Len())
			}
			if retryAfter := response.Header().Get("Retry-After"); (retryAfter != "") != (test.status == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After %q", retryAfter)
			}
			if test.status == http.StatusOK && !strings.Contains(response.Body.String(), "madderwing_relay_calls_total 0\n") {
				t.Errorf("metrics: %s", response.Body)
			}
		})
	}
}
