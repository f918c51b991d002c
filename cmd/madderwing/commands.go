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

// version is set by the build where one is known.
var version = "dev"

// The exit codes.
const (
	exitFailed  = 1 // the work could not be done
	exitUsage   = 2 // the call or the settings are wrong
	exitRefused = 3 // the system refused the order
	exitAway    = 4 // no control node answered
)

// coded is an error with an exit code of its own.
type coded struct {
	code int
	err  error
}

func (c coded) Error() string { return c.err.Error() }
func (c coded) Unwrap() error { return c.err }

// begun says that a command's arguments were taken and its work was begun.
var begun bool

func exitCode(err error) int {
	var c coded
	switch {
	case errors.As(err, &c):
		return c.code
	case !begun:
		return exitUsage
	}
	return exitFailed
}

func usage(err error) error { return coded{exitUsage, err} }

func root() *cobra.Command {
	var logFormat, logLevel string
	r := &cobra.Command{
		Use:           "madderwing",
		Short:         "An API gateway of many nodes",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := logging.Setup(os.Stderr, logFormat, logLevel); err != nil {
				return usage(err)
			}
			begun = true
			return nil
		},
	}
	r.PersistentFlags().StringVar(&logFormat, "log-format", logging.FormatText, "format of the log: text or json")
	r.PersistentFlags().StringVar(&logLevel, "log-level", "info", "least level that is logged: debug, info, warn or error")
	r.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	r.AddCommand(gatewayCommand(), controlCommand(), formerly("desk", gatewayCommand()), formerly("archive", controlCommand()), checkCommand(), statusCommand(), resolveCommand(), configCommand(), evacuateCommand(), rolloutCommand(), retireCommand(),
		lockCommand(), electionCommand(), counterCommand(), kvCommand(), watchCommand(),
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "madderwing "+version)
		}})
	return r
}

// formerly keeps a command under the name that it had in earlier releases: it is hidden,
// and says which name to use now.
func formerly(name string, c *cobra.Command) *cobra.Command {
	c.Deprecated = fmt.Sprintf("use %q instead", c.Name())
	c.Use = name
	return c
}

// settingsFlag adds --settings.
func settingsFlag(c *cobra.Command) *string {
	return c.Flags().String("settings", os.Getenv(settings.PathVariable), "path of the settings file")
}

func gatewayCommand() *cobra.Command {
	c := &cobra.Command{Use: "gateway", Short: "Carry traffic: serve clients on an edge machine", Args: cobra.NoArgs}
	path := settingsFlag(c)
	shards := c.Flags().Int("shards", 2, "how many shards the gateways are divided into; the same on all nodes")
	pace := c.Flags().Float64("pace", gateway.DefaultPace, "part of the link's rate (limits.linkMbps) at which large answers are passed on; 0: as fast as they come")
	c.RunE = func(*cobra.Command, []string) error {
		if *pace < 0 || *pace > 1 {
			return usage(errors.New("--pace must be between 0 and 1"))
		}
		return serve(*path, *shards, func(ctx context.Context, s *settings.Settings, reload <-chan *settings.Settings) error {
			if s.Bind.Front == "" || s.Bind.Readiness == "" {
				return usage(settings.Check{"bind: a gateway needs front and readiness"})
			}
			return gateway.Run(ctx, s, gateway.Options{Shards: *shards, Pace: *pace}, reload)
		})
	}
	return c
}

func controlCommand() *cobra.Command {
	c := &cobra.Command{Use: "control", Short: "Hold and deliver the configuration", Args: cobra.NoArgs}
	path := settingsFlag(c)
	shards := c.Flags().Int("shards", 2, "how many shards the gateways are divided into; the same on all nodes")
	relist := c.Flags().Duration("relist", 30*time.Second, "how often all unscheduled routes are listed again")
	handBack := c.Flags().Duration("hand-back", time.Minute, "calm after which a key goes back to its first heir; 0: never")
	c.RunE = func(*cobra.Command, []string) error {
		if *relist <= 0 || *handBack < 0 {
			return usage(errors.New("--relist must be above 0, --hand-back not below"))
		}
		return serve(*path, *shards, func(ctx context.Context, s *settings.Settings, reload <-chan *settings.Settings) error {
			if s.Bind.Control == "" {
				return usage(settings.Check{"bind: a control node needs control"})
			}
			return controlplane.Run(ctx, s, controlplane.Options{Shards: *shards, Relist: *relist, HandBack: *handBack}, reload)
		})
	}
	return c
}

// serve loads the settings and runs a program until SIGTERM or SIGINT.
func serve(path string, shards int, run func(context.Context, *settings.Settings, <-chan *settings.Settings) error) error {
	if shards < 1 {
		return usage(errors.New("--shards: must be at least 1"))
	}
	s, err := settings.Load(path)
	if err != nil {
		return usage(fmt.Errorf("settings: %w", err))
	}
	// The collector holds the process well under its limit; below that it may
	// let the heap grow to twice what is in use.
	debug.SetMemoryLimit(int64(s.Limits.MemoryMb * 0.7 * (1 << 20)))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return run(ctx, s, follow(ctx, path, s))
}

// follow reads the settings again on SIGHUP and when the file has changed. A
// file that cannot be used is logged, and the settings in force stay.
func follow(ctx context.Context, path string, s *settings.Settings) <-chan *settings.Settings {
	out := make(chan *settings.Settings, 1)
	logger := logging.For(logging.Settings)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	stamp := func() (t time.Time, size int64) {
		if st, err := os.Stat(path); err == nil {
			return st.ModTime(), st.Size()
		}
		return
	}
	last, size := stamp()
	go func() {
		tick := time.NewTicker(settings.Seconds(s.Bounds.ContactS))
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-tick.C:
				if t, n := stamp(); t.Equal(last) && n == size {
					continue
				}
			}
			last, size = stamp()
			fresh, err := settings.Load(path)
			if err != nil {
				logger.Warn("new settings refused", "error", err)
				continue
			}
			logger.Info("settings read again")
			select {
			case out <- fresh:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

func checkCommand() *cobra.Command {
	c := &cobra.Command{Use: "check", Short: "Check a settings file or a configuration"}
	c.AddCommand(&cobra.Command{Use: "settings FILE", Short: "Check a settings file (TOML)", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return usage(fmt.Errorf("%s: %w", args[0], err))
			}
			for _, warning := range s.Warnings() {
				fmt.Fprintf(c.ErrOrStderr(), "%s: warning: %s\n", args[0], warning)
			}
			fmt.Fprintln(c.OutOrStdout(), args[0]+": good")
			return nil
		}})
	c.AddCommand(&cobra.Command{Use: "config FILE", Short: "Check a first configuration call (JSON)", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return usage(err)
			}
			change, err := config.Read(text)
			if err == nil {
				_, err = change.Apply(map[string]config.Record{}, &config.Reader{})
			}
			if err != nil {
				return usage(fmt.Errorf("%s: %w", args[0], err))
			}
			fmt.Fprintln(c.OutOrStdout(), args[0]+": good")
			return nil
		}})
	return c
}
