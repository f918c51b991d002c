package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	coordination "madderwing/client"
	"madderwing/internal/settings"
)

// coordinationFlags are the flags of all commands for locks, elections, counters, keys and
// watches.
type coordinationFlags struct {
	endpoints []string
	settings  string
	timeout   time.Duration
	json      bool
}

// addCoordinationFlags adds them to a command.
func addCoordinationFlags(c *cobra.Command) *coordinationFlags {
	f := &coordinationFlags{}
	c.Flags().SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		if name == "endpoint" {
			name = "control"
		}
		return pflag.NormalizedName(name)
	})
	c.Flags().StringSliceVar(&f.endpoints, "control", nil, "control addresses, host:port, also as --endpoint (default: the seeds in the settings)")
	c.Flags().StringVar(&f.settings, "settings", os.Getenv(settings.PathVariable), "path of the settings file")
	c.Flags().DurationVar(&f.timeout, "timeout", 5*time.Second, "how long to go on trying")
	c.Flags().BoolVar(&f.json, "json", false, "print JSON")
	return f
}

// client makes a client of the nodes that the flags name.
func (f *coordinationFlags) client() (*coordination.Client, error) {
	endpoints := f.endpoints
	if len(endpoints) == 0 {
		s, err := settings.Load(f.settings)
		if err != nil {
			return nil, usage(fmt.Errorf("no --control given, and settings: %w", err))
		}
		endpoints = s.SeedNodes
	}
	c, err := coordination.New(endpoints, coordination.Options{})
	if err != nil {
		return nil, usage(err)
	}
	return c, nil
}

// call runs one call within the time that the flags allow, and gives its error an exit code.
func (f *coordinationFlags) call(cmd *cobra.Command, call func(context.Context, *coordination.Client) error) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(commandContext(cmd), f.timeout)
	defer cancel()
	return withExitCode(call(ctx, c))
}

// print prints a result as JSON, or as text.
func (f *coordinationFlags) print(cmd *cobra.Command, result any, format string, args ...any) error {
	if f.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...)
	return err
}

// commandContext is the context of a command, which may have been run without one.
func commandContext(cmd *cobra.Command) context.Context {
	if ctx := cmd.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}

// untilSignal is a context that ends with SIGINT or SIGTERM.
func untilSignal(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(commandContext(cmd), syscall.SIGINT, syscall.SIGTERM)
}

// withExitCode gives the client's errors the exit codes of all commands: refused by the
// system, or no node that answered.
func withExitCode(err error) error {
	var refused *coordination.StatusError
	var given coded
	switch {
	case err == nil, errors.As(err, &given):
		return err
	case errors.As(err, &refused),
		errors.Is(err, coordination.ErrHeld), errors.Is(err, coordination.ErrLeaseLost),
		errors.Is(err, coordination.ErrNotFound), errors.Is(err, coordination.ErrConflict),
		errors.Is(err, coordination.ErrCompacted):
		return coded{exitRefused, err}
	case errors.Is(err, coordination.ErrUnavailable), errors.Is(err, coordination.ErrUnclear):
		return coded{exitAway, err}
	}
	return coded{exitFailed, err}
}
