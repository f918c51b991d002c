// Package logging configures the structured log of the process. Messages are short; values and
// the component that logs are attributes.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// ComponentKey is the key of the attribute that names the component.
const ComponentKey = "component"

// Components, the values of ComponentKey.
const (
	Control      = "control"
	Coordination = "coordination"
	Election     = "election"
	Gateway      = "gateway"
	Placement    = "placement"
	Proxy        = "proxy"
	Relay        = "relay"
	Replication  = "replication"
	Rollout      = "rollout"
	Settings     = "settings"
	Storage      = "storage"
	Transport    = "transport"
	Upstream     = "upstream"
)

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Setup sets the default logger of the process. The format is text or json; level (debug, info,
// warn or error) is the lowest level that is logged.
func Setup(w io.Writer, format, level string) error {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("log level %q: must be debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: minLevel}
	switch format {
	case FormatText:
		slog.SetDefault(slog.New(slog.NewTextHandler(w, options)))
	case FormatJSON:
		slog.SetDefault(slog.New(slog.NewJSONHandler(w, options)))
	default:
		return fmt.Errorf("log format %q: must be %s or %s", format, FormatText, FormatJSON)
	}
	return nil
}

// Logger returns the logger of a component. A later call of Setup doesn't affect it.
func Logger(component string) *slog.Logger { return slog.Default().With(ComponentKey, component) }
