package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"madderwing/internal/config"
	"madderwing/internal/controlplane"
	"madderwing/internal/gateway"
	"madderwing/internal/logging"
	"madderwing/internal/settings"
)

// version is overridden at build time where the release is known.
var version = "dev"

// Exit codes of the commands.
const (
	exitFailed      = 1 // the command failed
	exitUsage       = 2 // invalid arguments or settings
	exitRefused     = 3 // the system rejected the request
	exitUnavailable = 4 // no clear answer from a control node
)

// exitError is an error that sets the exit code of the process.
type exitError struct {
	code  int
	cause error
}

func (e exitError) Error() string { return e.cause.Error() }
func (e exitError) Unwrap() error { return e.cause }

// commandStarted is set once the arguments and the log flags are valid. Errors before that
// are usage errors.
var commandStarted bool

func exitCode(err error) int {
	var withCode exitError
	switch {
	case errors.As(err, &withCode):
		return withCode.code
	case !commandStarted:
		return exitUsage
	}
	return exitFailed
}

func usageError(err error) error { return exitError{exitUsage, err} }

func rootCommand() *cobra.Command {
	var logFormat, logLevel string
	root := &cobra.Command{
		Use:           "madderwing",
		Short:         "An API gateway of many nodes",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := logging.Setup(os.Stderr, logFormat, logLevel); err != nil {
				return usageError(err)
			}
			commandStarted = true
			return nil
		},
	}
	root.PersistentFlags().StringVar(&logFormat, "log-format", logging.FormatText, "format of the log: text or json")
	root.PersistentFlags().StringVar(&logLevel, "log-level", "info", "least level that is logged: debug, info, warn or error")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(gatewayCommand(), controlCommand(), deprecatedAlias("desk", gatewayCommand()), deprecatedAlias("archive", controlCommand()), checkCommand(), statusCommand(), resolveCommand(), configCommand(), evacuateCommand(), rolloutCommand(), retireCommand(),
		lockCommand(), electionCommand(), counterCommand(), kvCommand(), watchCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "madderwing "+version)
		}})
	return root
}

// deprecatedAlias registers a command under its name of earlier releases. Cobra hides the alias
// and prints the new name when it is used.
func deprecatedAlias(name string, command *cobra.Command) *cobra.Command {
	command.Deprecated = fmt.Sprintf("use %q instead", command.Name())
	command.Use = name
	return command
}

// addSettingsFlag adds --settings. Its default comes from the environment.
func addSettingsFlag(command *cobra.Command) *string {
	return command.Flags().String("settings", os.Getenv(settings.PathVariable), "path of the settings file")
}

func gatewayCommand() *cobra.Command {
	command := &cobra.Command{Use: "gateway", Short: "Carry traffic: serve clients on an edge machine", Args: cobra.NoArgs}
	path := addSettingsFlag(command)
	shards := command.Flags().Int("shards", 2, "how many shards the gateways are divided into; the same on all nodes")
	pace := command.Flags().Float64("pace", gateway.DefaultLargeResponseFraction, "part of the link's rate (limits.linkMbps) at which large answers are passed on; 0: as fast as they come")
	command.RunE = func(*cobra.Command, []string) error {
		if *pace < 0 || *pace > 1 {
			return usageError(errors.New("--pace must be between 0 and 1"))
		}
		return runNode(*path, *shards, func(ctx context.Context, s *settings.Settings, reload <-chan *settings.Settings) error {
			if s.Bind.Front == "" || s.Bind.Readiness == "" {
				return usageError(settings.ValidationErrors{"bind: a gateway needs front and readiness"})
			}
			return gateway.Run(ctx, s, gateway.Options{Shards: *shards, LargeResponseFraction: *pace}, reload)
		})
	}
	return command
}

func controlCommand() *cobra.Command {
	command := &cobra.Command{Use: "control", Short: "Hold and deliver the configuration", Args: cobra.NoArgs}
	path := addSettingsFlag(command)
	shards := command.Flags().Int("shards", 2, "how many shards the gateways are divided into; the same on all nodes")
	relist := command.Flags().Duration("relist", 30*time.Second, "how often all unscheduled routes are listed again")
	handBack := command.Flags().Duration("hand-back", time.Minute, "calm after which a key goes back to its first heir; 0: never")
	command.RunE = func(*cobra.Command, []string) error {
		if *relist <= 0 || *handBack < 0 {
			return usageError(errors.New("--relist must be above 0, --hand-back not below"))
		}
		return runNode(*path, *shards, func(ctx context.Context, s *settings.Settings, reload <-chan *settings.Settings) error {
			if s.Bind.Control == "" {
				return usageError(settings.ValidationErrors{"bind: a control node needs control"})
			}
			return controlplane.Run(ctx, s, controlplane.Options{Shards: *shards, RelistInterval: *relist, TransferBackDelay: *handBack}, reload)
		})
	}
	return command
}

// runNode loads the settings and runs a gateway or a control node until SIGTERM or SIGINT.
func runNode(path string, shards int, run func(context.Context, *settings.Settings, <-chan *settings.Settings) error) error {
	if shards < 1 {
		return usageError(errors.New("--shards: must be at least 1"))
	}
	initial, err := settings.Load(path)
	if err != nil {
		return usageError(fmt.Errorf("settings: %w", err))
	}
	// The soft limit keeps the process well under its memory limit. Below the soft limit the
	// heap may grow to twice the live data, as is the garbage collector's default.
	debug.SetMemoryLimit(int64(initial.Limits.MemoryMb * 0.7 * (1 << 20)))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return run(ctx, initial, watchSettings(ctx, path, initial))
}

// watchSettings reloads the settings on SIGHUP and when the modification time or the size of
// the file has changed, and sends each valid version on the returned channel. An invalid file
// is logged, and the current settings stay in force.
func watchSettings(ctx context.Context, path string, initial *settings.Settings) <-chan *settings.Settings {
	updates := make(chan *settings.Settings, 1)
	logger := logging.Logger(logging.Settings)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	fileVersion := func() (modified time.Time, size int64) {
		if st, err := os.Stat(path); err == nil {
			return st.ModTime(), st.Size()
		}
		return
	}
	lastModified, lastSize := fileVersion()
	go func() {
		ticker := time.NewTicker(settings.Seconds(initial.Bounds.ContactS))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
			case <-ticker.C:
				if modified, size := fileVersion(); modified.Equal(lastModified) && size == lastSize {
					continue
				}
			}
			lastModified, lastSize = fileVersion()
			reloaded, err := settings.Load(path)
			if err != nil {
				logger.Warn("invalid settings file; the current settings stay in force", "error", err)
				continue
			}
			logger.Info("settings reloaded")
			select {
			case updates <- reloaded:
			case <-ctx.Done():
				return
			}
		}
	}()
	return updates
}

func checkCommand() *cobra.Command {
	command := &cobra.Command{Use: "check", Short: "Check a settings file or a configuration"}
	command.AddCommand(&cobra.Command{Use: "settings FILE", Short: "Check a settings file (TOML)", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			loaded, err := settings.Load(args[0])
			if err != nil {
				return usageError(fmt.Errorf("%s: %w", args[0], err))
			}
			for _, warning := range loaded.Warnings() {
				fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: %s\n", args[0], warning)
			}
			fmt.Fprintln(cmd.OutOrStdout(), args[0]+": good")
			return nil
		}})
	command.AddCommand(&cobra.Command{Use: "config FILE", Short: "Check a first configuration call (JSON)", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return usageError(err)
			}
			change, err := config.ParseRequest(text)
			if err == nil {
				_, err = change.Apply(map[string]config.Record{}, &config.Decoder{})
			}
			if err != nil {
				return usageError(fmt.Errorf("%s: %w", args[0], err))
			}
			fmt.Fprintln(cmd.OutOrStdout(), args[0]+": good")
			return nil
		}})
	return command
}
