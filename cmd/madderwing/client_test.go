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

// A change that the control nodes refuse for its number ends at once with exit code 3 and
// says which item and number it was; other refusals and silence have codes of their own.
func TestConfigApplyTellsWhyItWasRefused(t *testing.T) {
	const first = `{"upsert":{"services":[{"name":"a","generation":5,"maxConns":1}]}}`
	have := map[string]config.Record{}
	calls := 0
	controlNode := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		body, _ := io.ReadAll(r.Body)
		change, err := config.Read(body)
		if err == nil {
			var changes []config.Record
			changes, err = change.Apply(have, &config.Reader{})
			for _, c := range changes {
				have[c.Name] = c
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
		says       string
	}{
		{"taken", first, 0, ""},
		{"sent again", first, 0, ""},
		{"the number is taken", strings.Replace(first, `"maxConns":1`, `"maxConns":2`, 1), exitRefused, "409: "},
		{"it names the item", strings.Replace(first, `"maxConns":1`, `"maxConns":2`, 1), exitRefused, "service a: generation 5 "},
		{"invalid", `{"upsert":{"services":[{"name":"a"}]}}`, exitRefused, "400: "},
	} {
		file := filepath.Join(t.TempDir(), "call.json")
		if err := os.WriteFile(file, []byte(c.body), 0o600); err != nil {
			t.Fatal(err)
		}
		calls = 0
		r := root()
		var out strings.Builder
		r.SetOut(&out)
		r.SetArgs([]string{"config", "apply", file, "--control", controlNode.Listener.Addr().String()})
		err := r.Execute()
		code, text := 0, ""
		if err != nil {
			code, text = exitCode(err), err.Error()
		}
		if code != c.code || !strings.Contains(text, c.says) || calls != 1 || (code == 0) != strings.Contains(out.String(), "taken") {
			t.Errorf("%s: code %d, %q, %d calls, printed %q", c.name, code, text, calls, out.String())
		}
	}
}
