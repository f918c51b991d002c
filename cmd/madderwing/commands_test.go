package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A settings file with a warning is still valid.
func TestCheckSettingsPrintsWarnings(t *testing.T) {
	text, err := os.ReadFile("../../examples/local/node1.toml")
	if err != nil {
		t.Fatal(err)
	}
	withoutDataDir := strings.Replace(string(text), "dataDir", "noDataDir", 1)
	for name, c := range map[string]struct{ text, warning string }{
		"unchanged":  {string(text), ""},
		"no dataDir": {withoutDataDir, "warning: dataDir: "},
	} {
		file := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, warnings bytes.Buffer
		cmd := rootCommand()
		cmd.SetArgs([]string{"check", "settings", file})
		cmd.SetOut(&out)
		cmd.SetErr(&warnings)
		if err := cmd.Execute(); err != nil || out.String() != file+": good\n" {
			t.Errorf("%s: %v %q", name, err, out.String())
		}
		if got := warnings.String(); (got == "") != (c.warning == "") || !strings.Contains(got, c.warning) {
			t.Errorf("%s: warned %q", name, got)
		}
	}
}

// Invalid log flags end the process before the command runs.
func TestLogFlagsCheckedFirst(t *testing.T) {
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	for flag, want := range map[string]int{
		"--log-format=json": 0, "--log-format=text": 0, "--log-level=debug": 0, "--log-level=error": 0,
		"--log-format=xml": exitUsage, "--log-level=loud": exitUsage,
	} {
		commandStarted = false
		var out bytes.Buffer
		cmd := rootCommand()
		cmd.SetArgs([]string{"version", flag})
		cmd.SetOut(&out)
		err := cmd.Execute()
		if err == nil && want != 0 || err != nil && exitCode(err) != want {
			t.Errorf("%s: %v", flag, err)
		}
		if commandStarted != (want == 0) || (out.Len() > 0) != (want == 0) {
			t.Errorf("%s: the command has run: %v, %q", flag, commandStarted, out.String())
		}
	}
}
