package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"madderwing/internal/apierror"
	"madderwing/internal/config"
)

// A change that reuses a generation number with other content, or that is invalid, is rejected
// after a single call with exit code 3. The error names the item and its generation.
func TestConfigApplyReportsRefusals(t *testing.T) {
	const first = `{"upsert":{"services":[{"name":"a","generation":5,"maxConns":1}]}}`
	stored := map[string]config.Record{}
	calls := 0
	controlNode := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		calls++
		body, _ := io.ReadAll(request.Body)
		change, err := config.ParseRequest(body)
		if err == nil {
			var changes []config.Record
			changes, err = change.Apply(stored, &config.Decoder{})
			for _, c := range changes {
				stored[c.Name] = c
			}
		}
		if err != nil {
			apierror.Write(w, err)
		}
	}))
	defer controlNode.Close()
	for _, c := range []struct {
		name, body string
		code       int
		wantText   string
	}{
		{"first call", first, 0, ""},
		{"same call again", first, 0, ""},
		{"same generation, other content", strings.Replace(first, `"maxConns":1`, `"maxConns":2`, 1), exitRefused, "409: "},
		{"error names the item", strings.Replace(first, `"maxConns":1`, `"maxConns":2`, 1), exitRefused, "service a: generation 5 "},
		{"invalid service", `{"upsert":{"services":[{"name":"a"}]}}`, exitRefused, "400: "},
	} {
		file := filepath.Join(t.TempDir(), "call.json")
		if err := os.WriteFile(file, []byte(c.body), 0o600); err != nil {
			t.Fatal(err)
		}
		calls = 0
		root := rootCommand()
		var out strings.Builder
		root.SetOut(&out)
		root.SetArgs([]string{"config", "apply", file, "--control", controlNode.Listener.Addr().String()})
		err := root.Execute()
		code, text := 0, ""
		if err != nil {
			code, text = exitCode(err), err.Error()
		}
		if code != c.code || !strings.Contains(text, c.wantText) || calls != 1 || (code == 0) != strings.Contains(out.String(), "taken") {
			t.Errorf("%s: code %d, %q, %d calls, printed %q", c.name, code, text, calls, out.String())
		}
	}
}
