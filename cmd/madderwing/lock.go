package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	coordination "madderwing/client"
)

const defaultHold = 10 * time.Second

func lockCommand() *cobra.Command {
	c := &cobra.Command{Use: "lock", Short: "Take, renew and give back locks, or hold one while a command runs"}
	c.AddCommand(lockAcquireCommand(), lockRenewCommand(), lockReleaseCommand(), lockRunCommand())
	return c
}

// grantOutput is a grant as it is printed.
type grantOutput struct {
	Lock  string  `json:"lock"`
	Owner string  `json:"owner"`
	Token uint64  `json:"token"`
	HoldS float64 `json:"holdS"`
}

func outputOf(g coordination.Grant) grantOutput {
	return grantOutput{Lock: g.Name, Owner: g.Owner, Token: g.Token, HoldS: g.Hold.Seconds()}
}

func lockAcquireCommand() *cobra.Command {
	c := &cobra.Command{Use: "acquire NAME", Short: "Take a lock for a time, and print the owner and the fencing token", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(c)
	owner := c.Flags().String("owner", "", "name of the holder (default: one that is made up)")
	hold := c.Flags().Duration("hold", defaultHold, "how long the lock is held unless it is renewed")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) error {
			grant, err := client.RequestGrant(ctx, args[0], *owner, *hold)
			if err != nil {
				return err
			}
			return flags.print(cmd, outputOf(grant), "owner %s token %d", grant.Owner, grant.Token)
		})
	}
	return c
}

// grantFlags adds the flags that name a grant.
func grantFlags(c *cobra.Command) func(lock string) (coordination.Grant, error) {
	owner := c.Flags().String("owner", "", "name of the holder (needed)")
	token := c.Flags().Uint64("token", 0, "the fencing token that the holder was given (needed)")
	return func(lock string) (coordination.Grant, error) {
		if *owner == "" || *token == 0 {
			return coordination.Grant{}, usage(errors.New("--owner and --token are needed, as 'lock acquire' printed them"))
		}
		return coordination.Grant{Name: lock, Owner: *owner, Token: *token}, nil
	}
}

func lockRenewCommand() *cobra.Command {
	c := &cobra.Command{Use: "renew NAME", Short: "Hold a lock for longer", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(c)
	named := grantFlags(c)
	hold := c.Flags().Duration("hold", defaultHold, "how long the lock is held from now on")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		grant, err := named(args[0])
		if err != nil {
			return err
		}
		grant.Hold = *hold
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) error {
			grant, err := client.RenewGrant(ctx, grant)
			if err != nil {
				return err
			}
			return flags.print(cmd, outputOf(grant), "renewed")
		})
	}
	return c
}

func lockReleaseCommand() *cobra.Command {
	c := &cobra.Command{Use: "release NAME", Short: "Give a lock back", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(c)
	named := grantFlags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		grant, err := named(args[0])
		if err != nil {
			return err
		}
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) error {
			if err := client.ReturnGrant(ctx, grant); err != nil {
				return err
			}
			return flags.print(cmd, outputOf(grant), "released")
		})
	}
	return c
}

func lockRunCommand() *cobra.Command {
	c := &cobra.Command{Use: "run NAME -- COMMAND [ARG...]", Short: "Hold a lock while a command runs; end the command if the lock is lost",
		Long: "Waits for the lock, runs the command with the fencing token in " + tokenVariable + ", renews\n" +
			"the lock meanwhile and gives it back afterwards. If the lock is lost, the command's process\n" +
			"group gets SIGTERM, and SIGKILL a while later. Ends with the command's exit code.",
		Args: cobra.MinimumNArgs(2)}
	flags := addCoordinationFlags(c)
	owner := c.Flags().String("owner", "", "name of the holder (default: one that is made up)")
	hold := c.Flags().Duration("hold", defaultHold, "how long the lock stays taken if this machine dies")
	runWhileHeld(c, flags, func(ctx context.Context, client *coordination.Client, name string) (holding, error) {
		lease, err := client.Acquire(ctx, name, *owner, *hold)
		if err != nil {
			return holding{}, err
		}
		return holding{name: name, lease: lease.Context(), token: lease.Token(), release: lease.Release}, nil
	})
	return c
}

func waitFlag(c *cobra.Command) *time.Duration {
	return c.Flags().Duration("wait", 0, "how long to wait until it is held; 0: until it is")
}

// waitContext bounds a context by --wait.
func waitContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if wait <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait)
}

// errEnded is what a command that was ended for the loss of its lock ends with.
func errEnded(cause error) error {
	return coded{exitFailed, fmt.Errorf("the command was ended: %w", cause)}
}
