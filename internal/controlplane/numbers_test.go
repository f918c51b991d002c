package controlplane_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"madderwing/internal/controlplane"
	"madderwing/internal/settings"
)

// trio is three control nodes, each with a disk and a zone of its own.
type trio struct {
	system
	controls, controlNodes [3]string
	run                    [3]func() // starts one
	stop                   [3]func() // ends one and waits for it
}

func newTrio(t *testing.T) *trio {
	t.Helper()
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[],"nextToken":null}`)
	}))
	t.Cleanup(platform.Close)
	base := free(t, 3)
	s := &trio{}
	var seeds []string
	for i := range s.controls {
		s.controls[i] = fmt.Sprintf("127.0.0.%d:%d", i+1, base+2)
		seeds = append(seeds, fmt.Sprintf("%q", s.controls[i]))
	}
	for i := range s.controls {
		dir, first := t.TempDir(), true
		s.run[i] = func() {
			set, err := settings.Parse([]byte(fmt.Sprintf(`
node = "n-%d"
ip = "127.0.0.%[1]d"
zone = "z-%[1]d"
internalPorts = [%[2]d, %d]
seedNodes = [%s]
bootstrap = %v
inQuorum = true
dataDir = %q
ingress = "vip"
[zones]
z-1 = "home"
z-2 = "home"
z-3 = "home"
[bind]
control = %q
`+limitsAndBounds+`[cloudApi]
address = %q
`, i+1, base, base+1, strings.Join(seeds, ","), first, dir, s.controls[i], strings.TrimPrefix(platform.URL, "http://"))))
			if err != nil {
				t.Fatal(err)
			}
			first = false
			s.controlNodes[i] = set.ControlAddress(set.IP)
			ctx, leave := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- controlplane.Run(ctx, set, controlplane.Options{Shards: 1, Relist: time.Minute}, nil) }()
			s.stop[i] = sync.OnceFunc(func() {
				leave()
				if err := <-done; err != nil {
					t.Error(err)
				}
			})
		}
		s.run[i]()
		t.Cleanup(func() { s.stop[i]() })
	}
	return s
}

// clear sends a call to one node until the answer is clear, as an operator does.
func (s *trio) clear(t *testing.T, node int, body string) (int, string) {
	t.Helper()
	status, text := 0, ""
	for range 600 {
		if status, text = s.call(t, "PATCH", s.controls[node]+"/v1/config", body); status != 0 && status < 500 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return status, text
}

// owner finds the node that owns the configuration.
func (s *trio) owner(t *testing.T) int {
	t.Helper()
	for range 600 {
		var o controlplane.Overview
		if _, text := s.call(t, "GET", s.controls[0]+"/v1/admin/overview", ""); json.Unmarshal([]byte(text), &o) == nil {
			for _, k := range o.Keys {
				for i, a := range s.controlNodes {
					if k.Key == "catalogue" && k.Owner == a {
						return i
					}
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the catalogue has no owner")
	return 0
}

// Two operators send two contents under one number to two nodes at once: one is
// taken, the other refused, and so it stays at all nodes, also after the owner was
// down and came back with its disk.
func TestTwoOperatorsUnderOneNumber(t *testing.T) {
	s := newTrio(t)
	for i := range s.controls {
		if status, text := s.clear(t, i, items); status != 200 {
			t.Fatalf("the first call, at node %d: %d %s", i, status, text)
		}
	}
	pair := [2]string{
		`{"upsert":{"services":[{"name":"a","generation":5,"maxConns":10}]}}`,
		`{"upsert":{"services":[{"name":"b","generation":5}]},"remove":{"services":[{"name":"a","generation":5}],"routes":[{"name":"r","generation":5}]}}`,
	}
	want := [2]int{}
	var both sync.WaitGroup
	for i, body := range pair {
		both.Go(func() { want[i], _ = s.clear(t, i+1, body) })
	}
	both.Wait()
	if min(want[0], want[1]) != 200 || max(want[0], want[1]) != 409 {
		t.Fatalf("the two got %v", want)
	}
	again := func(when string) {
		t.Helper()
		for node := range s.controls {
			for i, body := range pair {
				status, text := s.clear(t, node, body)
				if status != want[i] || status == 409 && !strings.Contains(text, "service a: generation 5 ") {
					t.Errorf("%s, operator %d at node %d: %d %s, want %d", when, i, node, status, text, want[i])
				}
			}
			text := s.until(t, 200, "GET", s.controls[node]+"/v1/config", "")
			if taken := strings.Contains(text, `"maxConns":10`); taken != (want[0] == 200) || strings.Contains(text, `"name":"b"`) == taken {
				t.Errorf("%s, node %d holds %s", when, node, text)
			}
		}
	}
	again("at once")
	was := s.owner(t)
	s.stop[was]()
	for i, body := range pair { // whoever has taken over
		if status, text := s.clear(t, (was+1)%3, body); status != want[i] {
			t.Errorf("without the old owner, operator %d: %d %s, want %d", i, status, text, want[i])
		}
	}
	s.run[was]()
	again("after the owner came back")

	// An older number that was taken is still known, whoever owns the configuration.
	if status, text := s.clear(t, was, `{"upsert":{"services":[{"name":"a","generation":8}]}}`); status != 200 {
		t.Fatalf("a higher number: %d %s", status, text)
	}
	for i, body := range pair {
		if status, text := s.clear(t, (was+2)%3, body); status != want[i] {
			t.Errorf("below a higher number, operator %d: %d %s, want %d", i, status, text, want[i])
		}
	}
}
