// Package logging sets up the process's structured log: short messages, with their values
// and the component that speaks as attributes.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// ComponentKey is the attribute that names the part of the program that logs.
const ComponentKey = "component"

// The components.
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

// The formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Setup makes the process's logger write lines of a format (text or json), from a level
// (debug, info, warn, error) on.
func Setup(w io.Writer, format, level string) error {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return fmt.Errorf("log level %q: must be debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: least}
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

// For returns the logger of a component. It follows the Setup that came before it.
func For(component string) *slog.Logger { return slog.Default().With(ComponentKey, component) }
