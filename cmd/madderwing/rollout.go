package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"madderwing/internal/controlplane"
	"madderwing/internal/rollout"
)

func rolloutCommand() *cobra.Command {
	command := &cobra.Command{Use: "rollout", Short: "Bring a new version of a service in, or watch it come"}

	start := &cobra.Command{Use: "start SERVICE VERSION", Short: "Move a service to upstreams of a version", Args: cobra.ExactArgs(2)}
	within := start.Flags().Duration("within", 0, "the time that the rollout may take (needed)")
	wait := start.Flags().Bool("wait", false, "wait until it is complete or reverted; reverted exits with 1")
	clientForStart := addClientFlags(start)
	start.RunE = func(cmd *cobra.Command, args []string) error {
		if *within <= 0 {
			return usageError(fmt.Errorf("--within: a time above 0 is needed"))
		}
		client, err := clientForStart()
		if err != nil {
			return err
		}
		body, err := json.Marshal(rollout.OrderRequest{Service: args[0], Version: args[1], WithinS: within.Seconds()})
		if err != nil {
			return err
		}
		if _, err := client.call(http.MethodPost, "/v1/rollouts", body); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s is on its way to %s\n", args[0], args[1])
		if *wait {
			return client.waitForOutcome(cmd.OutOrStdout(), args[0], 2**within)
		}
		return nil
	}

	status := &cobra.Command{Use: "status SERVICE", Short: "Show a service's rollout: stage, weight, both arms", Args: cobra.ExactArgs(1)}
	statusJSON := status.Flags().Bool("json", false, "print JSON")
	clientForStatus := addClientFlags(status)
	status.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := clientForStatus()
		if err != nil {
			return err
		}
		state, err := client.getRollout(args[0])
		if err != nil {
			return err
		}
		if *statusJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(state)
		}
		return printRollout(cmd.OutOrStdout(), state)
	}

	abort := &cobra.Command{Use: "abort SERVICE [VERSION]", Short: "Reverse a service's rollout, that to a version or the newest", Args: cobra.RangeArgs(1, 2)}
	clientForAbort := addClientFlags(abort)
	abort.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := clientForAbort()
		if err != nil {
			return err
		}
		// The request names the version: when it is retried after a lost response, it can't
		// abort a rollout that was started since.
		version, err := client.candidateVersion(args)
		if err != nil {
			return err
		}
		path := "/v1/rollouts/" + url.PathEscape(args[0]) + "?targetVersion=" + url.QueryEscape(version)
		if _, err := client.call(http.MethodDelete, path, nil); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), args[0]+" reverted")
		return nil
	}

	list := &cobra.Command{Use: "list", Short: "List the rollouts of all services", Args: cobra.NoArgs}
	listJSON := list.Flags().Bool("json", false, "print JSON")
	clientForList := addClientFlags(list)
	list.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := clientForList()
		if err != nil {
			return err
		}
		all, err := client.listRollouts()
		if err != nil {
			return err
		}
		if *listJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
		}
		w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
		fmt.Fprint(w, "SERVICE\tFROM\tTO\tSTAGE\tWEIGHT\tAGE\tREASON\n")
		for _, r := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%g %%\t%.1f s\t%s\n", r.Service, cmp.Or(r.Arms[0].Version, "-"), r.Arms[1].Version, r.Stage,
				rollout.Percent(r.Weight), r.AgeS, cmp.Or(r.Reason, "-"))
		}
		return w.Flush()
	}
	command.AddCommand(start, status, abort, list)
	return command
}

// candidateVersion returns the version in the arguments (SERVICE [VERSION]), or else the target
// version of the service's newest rollout.
func (c *client) candidateVersion(args []string) (string, error) {
	if len(args) > 1 {
		return args[1], nil
	}
	text, err := c.call(http.MethodGet, "/v1/rollouts/"+url.PathEscape(args[0]), nil)
	if err != nil {
		return "", err
	}
	var newest struct{ TargetVersion string }
	return newest.TargetVersion, json.Unmarshal(text, &newest)
}

// listRollouts requests the rollouts of all services.
func (c *client) listRollouts() (all []controlplane.RolloutState, err error) {
	text, err := c.call(http.MethodGet, "/v1/admin/rollouts", nil)
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	return all, err
}

// getRollout requests the state of a service's rollout as its controller sees it.
func (c *client) getRollout(service string) (*controlplane.RolloutState, error) {
	text, err := c.call(http.MethodGet, "/v1/admin/rollouts/"+url.PathEscape(service), nil)
	if err != nil {
		return nil, err
	}
	state := &controlplane.RolloutState{}
	return state, json.Unmarshal(text, state)
}

// waitForOutcome waits until a rollout is complete, prints its progress meanwhile, and returns an
// error if it is reverted or still undecided after limit.
func (c *client) waitForOutcome(out io.Writer, service string, limit time.Duration) error {
	lastProgress := ""
	for deadline := time.Now().Add(limit); ; time.Sleep(300 * time.Millisecond) {
		state, err := c.getRollout(service)
		if err != nil {
			return err
		}
		if progress := fmt.Sprintf("%s, %g %%", state.Stage, rollout.Percent(state.Weight)); progress != lastProgress {
			fmt.Fprintf(out, "%6.1f s  %s\n", state.AgeS, progress)
			lastProgress = progress
		}
		switch {
		case state.Stage == rollout.Complete.String():
			return nil
		case state.Stage == rollout.Reverted.String():
			return fmt.Errorf("reverted: %s", state.Reason)
		case time.Now().After(deadline):
			return fmt.Errorf("not decided after %v", limit)
		}
	}
}

func printRollout(out io.Writer, state *controlplane.RolloutState) error {
	fmt.Fprintf(out, "%s: %s, stage %s, weight %g %%, %.1f s of %g s\n", state.Service, state.State, state.Stage, rollout.Percent(state.Weight), state.AgeS, state.WithinS)
	if state.Reason != "" {
		fmt.Fprintf(out, "reason: %s\n", state.Reason)
	}
	fmt.Fprintf(out, "controller %s; in force on %d nodes, %d have stopped it by themselves\n", cmp.Or(state.Controller, "-"), state.ReportingGateways, state.StoppedGateways)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "\nARM\tVERSION\tANSWERS\tFAILED\tP99 UP TO\tMEAN TIME SCORE\n")
	for i, name := range []string{"prior", "candidate"} {
		arm := state.Arms[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.0f ms\t%.3f\n", name, cmp.Or(arm.Version, "-"), arm.Answers, arm.Failed, arm.P99AtMs, arm.MeanTime)
	}
	return w.Flush()
}
