package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	coordination "madderwing/client"
)

func electionCommand() *cobra.Command {
	command := &cobra.Command{Use: "election", Short: "Run a command on the elected leader only, or see who leads"}
	command.AddCommand(electionRunCommand(), electionObserveCommand())
	return command
}

func electionRunCommand() *cobra.Command {
	command := &cobra.Command{Use: "run NAME -- COMMAND [ARG...]", Short: "Wait to be elected, then run a command for as long as this is the leader",
		Long: "Runs the command as 'lock run' does, once this candidate leads, with the fencing token in\n" +
			tokenVariable + ". 'election observe' shows who leads.",
		Args: cobra.MinimumNArgs(2)}
	flags := addCoordinationFlags(command)
	hostname, _ := os.Hostname()
	candidate := command.Flags().String("candidate", fmt.Sprintf("%s-%d", hostname, os.Getpid()), "the name that observers see")
	hold := command.Flags().Duration("hold", defaultHold, "how long a leader that dies keeps the next one waiting")
	runWhileHeld(command, flags, func(ctx context.Context, client *coordination.Client, name string) (heldLease, error) {
		leadership, err := client.Election(name, *hold).Campaign(ctx, *candidate)
		if err != nil {
			return heldLease{}, err
		}
		return heldLease{name: name, ctx: leadership.Context(), token: leadership.Token(), release: leadership.Resign}, nil
	})
	return command
}

func electionObserveCommand() *cobra.Command {
	command := &cobra.Command{Use: "observe NAME", Short: "Print who leads, and each change, until SIGINT or SIGTERM", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(command)
	_ = command.Flags().MarkHidden("timeout")
	command.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		ctx, stop := untilSignal(cmd)
		defer stop()
		for leader, err := range client.Election(args[0], defaultHold).Observe(ctx) {
			if err != nil {
				return errorUnlessSignaled(ctx, err)
			}
			if err := printLeader(cmd, flags, leader); err != nil {
				return err
			}
		}
		return nil
	}
	return command
}

func printLeader(cmd *cobra.Command, flags *coordinationFlags, leader coordination.Leader) error {
	if flags.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(leader)
	}
	state := "leads"
	if leader.Resigned {
		state = "has resigned"
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s %s, token %d\n", leader.Candidate, state, leader.Token)
	return err
}
