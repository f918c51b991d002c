package logging

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
)

func TestSetup(t *testing.T) {
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	for _, c := range []struct {
		format, level string
		info, warn    bool // whether lines of this level are written
	}{
		{FormatText, "debug", true, true},
		{FormatText, "info", true, true},
		{FormatJSON, "warn", false, true},
		{FormatJSON, "error", false, false},
	} {
		var out strings.Builder
		if err := Setup(&out, c.format, c.level); err != nil {
			t.Fatal(err)
		}
		Logger(Storage).Info("first", "bytes", 7)
		Logger(Storage).Warn("second", "bytes", 8)
		if info, warn := strings.Contains(out.String(), "first"), strings.Contains(out.String(), "second"); info != c.info || warn != c.warn {
			t.Errorf("format %s, level %s: %q", c.format, c.level, out.String())
		}
	}
}

func TestLogLinesNameTheirComponent(t *testing.T) {
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	var out strings.Builder
	if err := Setup(&out, FormatText, "info"); err != nil {
		t.Fatal(err)
	}
	Logger(Election).Info("duty won", "duty", "list")
	if !strings.HasSuffix(out.String(), "level=INFO msg=\"duty won\" component=election duty=list\n") {
		t.Errorf("text: %q", out.String())
	}
	out.Reset()
	if err := Setup(&out, FormatJSON, "info"); err != nil {
		t.Fatal(err)
	}
	Logger(Election).Info("duty won", "duty", "list")
	var line map[string]string
	if err := json.Unmarshal([]byte(out.String()), &line); err != nil || line["msg"] != "duty won" || line[ComponentKey] != Election || line["duty"] != "list" {
		t.Errorf("json: %q, %v", out.String(), err)
	}
}

func TestSetupRejectsUnknownFormatsAndLevels(t *testing.T) {
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	for _, c := range [][2]string{{"xml", "info"}, {FormatText, "loud"}, {FormatText, ""}, {"", "info"}} {
		if err := Setup(&strings.Builder{}, c[0], c[1]); err == nil {
			t.Errorf("format %q and level %q are accepted", c[0], c[1])
		}
	}
	if slog.Default() != previous {
		t.Error("a rejected setup has changed the logger")
	}
}
