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
	c := &cobra.Command{Use: "election", Short: "Run a command on the elected leader only, or see who leads"}
	c.AddCommand(electionRunCommand(), electionObserveCommand())
	return c
}

func electionRunCommand() *cobra.Command {
	c := &cobra.Command{Use: "run NAME -- COMMAND [ARG...]", Short: "Wait to be elected, then run a command for as long as this is the leader",
		Long: "Runs the command as 'lock run' does, once this candidate leads, with the fencing token in\n" +
			tokenVariable + ". 'election observe' shows who leads.",
		Args: cobra.MinimumNArgs(2)}
	flags := addCoordinationFlags(c)
	hostname, _ := os.Hostname()
	candidate := c.Flags().String("candidate", fmt.Sprintf("%s-%d", hostname, os.Getpid()), "the name that observers see")
	hold := c.Flags().Duration("hold", defaultHold, "how long a leader that dies keeps the next one waiting")
	runWhileHeld(c, flags, func(ctx context.Context, client *coordination.Client, name string) (holding, error) {
		leadership, err := client.Election(name, *hold).Campaign(ctx, *candidate)
		if err != nil {
			return holding{}, err
		}
		return holding{name: name, lease: leadership.Context(), token: leadership.Token(), release: leadership.Resign}, nil
	})
	return c
}

func electionObserveCommand() *cobra.Command {
	c := &cobra.Command{Use: "observe NAME", Short: "Print who leads, and each change, until SIGINT or SIGTERM", Args: cobra.ExactArgs(1)}
	flags := addCoordinationFlags(c)
	_ = c.Flags().MarkHidden("timeout")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		ctx, stop := untilSignal(cmd)
		defer stop()
		for leader, err := range client.Election(args[0], defaultHold).Observe(ctx) {
			if err != nil {
				return afterSignal(ctx, err)
			}
			if err := printLeader(cmd, flags, leader); err != nil {
				return err
			}
		}
		return nil
	}
	return c
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
