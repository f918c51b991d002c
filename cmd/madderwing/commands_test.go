package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A warning doesn't make settings bad.
func TestCheckWarns(t *testing.T) {
	text, err := os.ReadFile("../../examples/local/node1.toml")
	if err != nil {
		t.Fatal(err)
	}
	bare := strings.Replace(string(text), "dataDir", "noDataDir", 1)
	for name, c := range map[string]struct{ text, warning string }{
		"as they come": {string(text), ""},
		"no dataDir":   {bare, "warning: dataDir: "},
	} {
		file := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, warned bytes.Buffer
		cmd := root()
		cmd.SetArgs([]string{"check", "settings", file})
		cmd.SetOut(&out)
		cmd.SetErr(&warned)
		if err := cmd.Execute(); err != nil || out.String() != file+": good\n" {
			t.Errorf("%s: %v %q", name, err, out.String())
		}
		if got := warned.String(); (got == "") != (c.warning == "") || !strings.Contains(got, c.warning) {
			t.Errorf("%s: warned %q", name, got)
		}
	}
}
