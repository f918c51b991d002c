package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs a command against a node and returns its output and exit code.
func runCommand(t *testing.T, node *httptest.Server, args ...string) (string, int) {
	t.Helper()
	root := rootCommand()
	var out strings.Builder
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetIn(strings.NewReader("from input"))
	split := len(args)
	for i, arg := range args {
		if arg == "--" {
			split = i
		}
	}
	flags := []string{"--endpoint", node.Listener.Addr().String()}
	root.SetArgs(append(append(append([]string{}, args[:split]...), flags...), args[split:]...))
	if err := root.Execute(); err != nil {
		return out.String() + err.Error(), exitCode(err)
	}
	return out.String(), 0
}

// Each coordination command sends the expected request, prints the answer as text or JSON, and
// maps errors to exit codes.
func TestCoordinationCommands(t *testing.T) {
	for _, c := range []struct {
		args, call         string
		status             int
		answer, wantOutput string
		code               int
	}{
		{"lock acquire a --owner me --hold 3s", `POST /v1/locks/a {"owner":"me","holdS":3}`, 200, `{"fence":41}`, "owner me token 41\n", 0},
		{"lock acquire a --owner me --json", `POST /v1/locks/a {"owner":"me","holdS":10}`, 200, `{"fence":41}`, `{"lock":"a","owner":"me","token":41,"holdS":10}` + "\n", 0},
		{"lock acquire a --owner me", "", 409, "", "held by another", exitRefused},
		{"lock acquire a --timeout 50ms", "", 503, "", "POST /v1/locks/a: ", exitUnavailable},
		{"lock renew a --owner me --token 41 --hold 3s", `PUT /v1/locks/a {"owner":"me","fence":41,"holdS":3}`, 200, "", "renewed\n", 0},
		{"lock renew a --owner me --token 41", "", 409, "", "lost", exitRefused},
		{"lock renew a --owner me", "", 200, "", "--token", exitUsage},
		{"lock release a --owner me --token 41", `DELETE /v1/locks/a {"owner":"me","fence":41}`, 200, "", "released\n", 0},
		{"counter next n", "POST /v1/numbers/n {}", 200, `{"value":7}`, "7\n", 0},
		{"counter next n --json", "POST /v1/numbers/n {}", 200, `{"value":7}`, `{"value":7}` + "\n", 0},
		{"kv get g.k", "GET /v1/cells/g.k ", 200, `{"value":"v","revision":3}`, "v\n", 0},
		{"kv get g.k --json", "GET /v1/cells/g.k ", 200, `{"value":"v","revision":3}`, `{"key":"g.k","value":"v","revision":3}` + "\n", 0},
		{"kv get g.k", "", 404, "", "not found", exitRefused},
		{"kv put g.k v", `PUT /v1/cells/g.k {"value":"v"}`, 200, `{"revision":4}`, "4\n", 0},
		{"kv put g.k -", `PUT /v1/cells/g.k {"value":"from input"}`, 200, `{"revision":4}`, "4\n", 0},
		{"kv put g.k v --revision 0", `PUT /v1/cells/g.k {"value":"v","enabled":0}`, 200, `{"revision":4}`, "4\n", 0},
		{"kv put g.k v --revision 3", "", 412, `{"revision":9}`, "g.k is at 9", exitRefused},
		{"kv put g.k v", "", 413, "too long", "413: too long", exitRefused},
		{"watch g --after 2 --count 1", "GET /v1/watch/g.?after=2&waitMs=2000 ", 200, `{"events":[{"name":"g.k","value":"v","revision":3}],"revision":3}`, "3\tg.k\tv\n", 0},
		{"watch g --after 2 --count 1 --json", "", 200, `{"events":[{"name":"g.k","value":"v","revision":3}],"revision":3}`, `{"name":"g.k","value":"v","revision":3}` + "\n", 0},
		{"watch g --after 2", "", 410, "", "no longer kept", exitRefused},
	} {
		call := ""
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := make([]byte, 200)
			n, _ := r.Body.Read(body)
			call = fmt.Sprintf("%s %s %s", r.Method, r.URL, body[:n])
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.answer)
		}))
		output, code := runCommand(t, node, strings.Fields(c.args)...)
		node.Close()
		if code != c.code || !strings.Contains(output, c.wantOutput) || code == 0 && output != c.wantOutput || c.call != "" && call != c.call {
			t.Errorf("%s: code %d, printed %q, sent %q", c.args, code, output, call)
		}
	}
}

// 'lock run' and 'election run' pass the name and the fencing token to the command and end with
// its exit code. When the lease is lost, the command and its child processes are stopped.
func TestRunUnderLease(t *testing.T) {
	survivorFile := filepath.Join(t.TempDir(), "left")
	for _, c := range []struct {
		name, command string
		election      bool
		renewal       int // HTTP status of the answer to a renewal
		wantOutput    string
		code          int
	}{
		{"exit code is passed on", `echo "$MADDERWING_LOCK $MADDERWING_TOKEN"; exit 7`, false, 200, "a 41\n", 7},
		{"success", `true`, false, 200, "", 0},
		{"killed by a signal", `kill -9 $$`, false, 200, "", exitSignalBase + 9},
		{"elected", `echo "$MADDERWING_LOCK $MADDERWING_TOKEN"`, true, 200, "a 41\n", 0},
		{"lease lost", `sleep 600; echo late > ` + survivorFile, false, 409, "the lease was lost", exitFailed},
		{"lease lost, SIGTERM ignored", `trap '' TERM; sleep 600 & wait; echo late > ` + survivorFile, false, 409, "the lease was lost", exitFailed},
	} {
		released := false
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case strings.HasPrefix(r.URL.Path, "/v1/cells/") && r.Method == http.MethodGet:
				w.WriteHeader(http.StatusNotFound)
			case strings.HasPrefix(r.URL.Path, "/v1/cells/"):
				fmt.Fprint(w, `{"revision":1}`)
			case r.Method == http.MethodPost:
				fmt.Fprint(w, `{"fence":41}`)
			case r.Method == http.MethodPut:
				w.WriteHeader(c.renewal)
			case r.Method == http.MethodDelete:
				released = true
			}
		}))
		args := []string{"lock", "run", "a", "--hold", "900ms", "--kill-after", "100ms", "--", "sh", "-c", c.command}
		if c.election {
			args[0] = "election"
		}
		output, code := runCommand(t, node, args...)
		node.Close()
		if code != c.code || !strings.Contains(output, c.wantOutput) || !released {
			t.Errorf("%s: code %d, printed %q, released %v", c.name, code, output, released)
		}
	}
	if _, err := os.Stat(survivorFile); err == nil {
		t.Error("a command kept running after its lease was lost")
	}
}
