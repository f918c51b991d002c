package main

import (
	"bytes"
	"log/slog"
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

// The log's flags are checked before a command does anything.
func TestLogFlags(t *testing.T) {
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	for flag, want := range map[string]int{
		"--log-format=json": 0, "--log-format=text": 0, "--log-level=debug": 0, "--log-level=error": 0,
		"--log-format=xml": exitUsage, "--log-level=loud": exitUsage,
	} {
		begun = false
		var out bytes.Buffer
		cmd := root()
		cmd.SetArgs([]string{"version", flag})
		cmd.SetOut(&out)
		err := cmd.Execute()
		if err == nil && want != 0 || err != nil && exitCode(err) != want {
			t.Errorf("%s: %v", flag, err)
		}
		if begun != (want == 0) || (out.Len() > 0) != (want == 0) {
			t.Errorf("%s: the command has run: %v, %q", flag, begun, out.String())
		}
	}
}
