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

// coordinationFlags are the common flags of the commands for locks, elections, counters, keys
// and watches.
type coordinationFlags struct {
	endpoints []string
	settings  string
	timeout   time.Duration
	json      bool
}

// addCoordinationFlags adds the common flags to a command. --endpoint is an alias of --control.
func addCoordinationFlags(command *cobra.Command) *coordinationFlags {
	flags := &coordinationFlags{}
	command.Flags().SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		if name == "endpoint" {
			name = "control"
		}
		return pflag.NormalizedName(name)
	})
	command.Flags().StringSliceVar(&flags.endpoints, "control", nil, "control addresses, host:port, also as --endpoint (default: the seeds in the settings)")
	command.Flags().StringVar(&flags.settings, "settings", os.Getenv(settings.PathVariable), "path of the settings file")
	command.Flags().DurationVar(&flags.timeout, "timeout", 5*time.Second, "how long to go on trying")
	command.Flags().BoolVar(&flags.json, "json", false, "print JSON")
	return flags
}

// client returns a client of the endpoints that the flags name, or else of the seed nodes in
// the settings.
func (f *coordinationFlags) client() (*coordination.Client, error) {
	endpoints := f.endpoints
	if len(endpoints) == 0 {
		loaded, err := settings.Load(f.settings)
		if err != nil {
			return nil, usageError(fmt.Errorf("no --control given, and settings: %w", err))
		}
		endpoints = loaded.SeedNodes
	}
	client, err := coordination.New(endpoints, coordination.Options{})
	if err != nil {
		return nil, usageError(err)
	}
	return client, nil
}

// call runs a request with a context that ends after --timeout, and gives its error an exit code.
func (f *coordinationFlags) call(cmd *cobra.Command, request func(context.Context, *coordination.Client) error) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(commandContext(cmd), f.timeout)
	defer cancel()
	return withExitCode(request(ctx, client))
}

// print prints a result as JSON if --json is given, else as text in the given format.
func (f *coordinationFlags) print(cmd *cobra.Command, result any, format string, args ...any) error {
	if f.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...)
	return err
}

// commandContext returns the command's context, or the background context if it has none.
func commandContext(cmd *cobra.Command) context.Context {
	if ctx := cmd.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}

// untilSignal returns a context that is cancelled on SIGINT or SIGTERM.
func untilSignal(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(commandContext(cmd), syscall.SIGINT, syscall.SIGTERM)
}

// withExitCode maps the errors of the client package to exit codes: rejected by the system, no
// clear answer from a control node, or another failure.
func withExitCode(err error) error {
	var statusErr *coordination.StatusError
	var withCode exitError
	switch {
	case err == nil, errors.As(err, &withCode):
		return err
	case errors.As(err, &statusErr),
		errors.Is(err, coordination.ErrHeld), errors.Is(err, coordination.ErrLeaseLost),
		errors.Is(err, coordination.ErrNotFound), errors.Is(err, coordination.ErrConflict),
		errors.Is(err, coordination.ErrCompacted):
		return exitError{exitRefused, err}
	case errors.Is(err, coordination.ErrUnavailable), errors.Is(err, coordination.ErrUnclear):
		return exitError{exitUnavailable, err}
	}
	return exitError{exitFailed, err}
}
