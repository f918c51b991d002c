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
	command := &cobra.Command{Use: "lock", Short: "Take, renew and give back locks, or hold one while a command runs"}
	command.AddCommand(lockAcquireCommand(), lockRenewCommand(), lockReleaseCommand(), lockRunCommand())
	return command
}

// grantOutput is the JSON output for a grant.
type grantOutput struct {
	Lock  string  `json:"lock"`
	Owner string  `json:"owner"`
	Token uint64  `json:"token"`
	HoldS float64 `json:"holdS"`
}

func newGrantOutput(grant coordination.Grant) grantOutput {
	return grantOutput{Lock: grant.Name, Owner: grant.Owner, Token: grant.Token, HoldS: grant.Hold.Seconds()}
}

func lockAcquireCommand() *cobra.Command {
	command := &cobra.Command{Use: "acquire NAME", Short: "Take a lock for a time, and print the owner and the fencing token", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(command)
	owner := command.Flags().String("owner", "", "name of the holder (default: one that is made up)")
	hold := command.Flags().Duration("hold", defaultHold, "how long the lock is held unless it is renewed")
	command.RunE = func(cmd *cobra.Command, args []string) error {
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) error {
			grant, err := client.RequestGrant(ctx, args[0], *owner, *hold)
			if err != nil {
				return err
			}
			return flags.print(cmd, newGrantOutput(grant), "owner %s token %d", grant.Owner, grant.Token)
		})
	}
	return command
}

// addGrantFlags adds the flags --owner and --token. The returned function makes the grant that
// they name for a lock.
func addGrantFlags(command *cobra.Command) func(lock string) (coordination.Grant, error) {
	owner := command.Flags().String("owner", "", "name of the holder (needed)")
	token := command.Flags().Uint64("token", 0, "the fencing token that the holder was given (needed)")
	return func(lock string) (coordination.Grant, error) {
		if *owner == "" || *token == 0 {
			return coordination.Grant{}, usageError(errors.New("--owner and --token are needed, as 'lock acquire' printed them"))
		}
		return coordination.Grant{Name: lock, Owner: *owner, Token: *token}, nil
	}
}

func lockRenewCommand() *cobra.Command {
	command := &cobra.Command{Use: "renew NAME", Short: "Hold a lock for longer", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(command)
	grantFromFlags := addGrantFlags(command)
	hold := command.Flags().Duration("hold", defaultHold, "how long the lock is held from now on")
	command.RunE = func(cmd *cobra.Command, args []string) error {
		grant, err := grantFromFlags(args[0])
		if err != nil {
			return err
		}
		grant.Hold = *hold
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) error {
			grant, err := client.RenewGrant(ctx, grant)
			if err != nil {
				return err
			}
			return flags.print(cmd, newGrantOutput(grant), "renewed")
		})
	}
	return command
}

func lockReleaseCommand() *cobra.Command {
	command := &cobra.Command{Use: "release NAME", Short: "Give a lock back", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(command)
	grantFromFlags := addGrantFlags(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		grant, err := grantFromFlags(args[0])
		if err != nil {
			return err
		}
		return flags.call(cmd, func(ctx context.Context, client *coordination.Client) error {
			if err := client.ReturnGrant(ctx, grant); err != nil {
				return err
			}
			return flags.print(cmd, newGrantOutput(grant), "released")
		})
	}
	return command
}

func lockRunCommand() *cobra.Command {
	command := &cobra.Command{Use: "run NAME -- COMMAND [ARG...]", Short: "Hold a lock while a command runs; end the command if the lock is lost",
		Long: "Waits for the lock, runs the command with the fencing token in " + tokenVariable + ", renews\n" +
			"the lock meanwhile and gives it back afterwards. If the lock is lost, the command's process\n" +
			"group gets SIGTERM, and SIGKILL a while later. Ends with the command's exit code.",
		Args: cobra.MinimumNArgs(2)}
	flags := addCoordinationFlags(command)
	owner := command.Flags().String("owner", "", "name of the holder (default: one that is made up)")
	hold := command.Flags().Duration("hold", defaultHold, "how long the lock stays taken if this machine dies")
	runWhileHeld(command, flags, func(ctx context.Context, client *coordination.Client, name string) (heldLease, error) {
		lease, err := client.Acquire(ctx, name, *owner, *hold)
		if err != nil {
			return heldLease{}, err
		}
		return heldLease{name: name, ctx: lease.Context(), token: lease.Token(), release: lease.Release}, nil
	})
	return command
}

func addWaitFlag(command *cobra.Command) *time.Duration {
	return command.Flags().Duration("wait", 0, "how long to wait until it is held; 0: until it is")
}

// waitContext returns a context that ends after wait; 0: without a time limit.
func waitContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if wait <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait)
}

// leaseLostError is the result of a command that was stopped because its lease was lost.
func leaseLostError(cause error) error {
	return exitError{exitFailed, fmt.Errorf("the command was ended: %w", cause)}
}
