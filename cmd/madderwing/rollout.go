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
	c := &cobra.Command{Use: "rollout", Short: "Bring a new version of a service in, or watch it come"}

	start := &cobra.Command{Use: "start SERVICE VERSION", Short: "Move a service to upstreams of a version", Args: cobra.ExactArgs(2)}
	within := start.Flags().Duration("within", 0, "the time that the rollout may take (needed)")
	wait := start.Flags().Bool("wait", false, "wait until it is complete or reverted; reverted exits with 1")
	startClient := clientFlags(start)
	start.RunE = func(cmd *cobra.Command, args []string) error {
		if *within <= 0 {
			return usage(fmt.Errorf("--within: a time above 0 is needed"))
		}
		cl, err := startClient()
		if err != nil {
			return err
		}
		body, err := json.Marshal(rollout.Ask{Service: args[0], Version: args[1], WithinS: within.Seconds()})
		if err != nil {
			return err
		}
		if _, err := cl.call(http.MethodPost, "/v1/rollouts", body); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s is on its way to %s\n", args[0], args[1])
		if *wait {
			return cl.outcome(cmd.OutOrStdout(), args[0], 2**within)
		}
		return nil
	}

	status := &cobra.Command{Use: "status SERVICE", Short: "Show a service's rollout: stage, weight, both arms", Args: cobra.ExactArgs(1)}
	statusJSON := status.Flags().Bool("json", false, "print JSON")
	statusClient := clientFlags(status)
	status.RunE = func(cmd *cobra.Command, args []string) error {
		cl, err := statusClient()
		if err != nil {
			return err
		}
		r, err := cl.rollout(args[0])
		if err != nil {
			return err
		}
		if *statusJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(r)
		}
		return printRollout(cmd.OutOrStdout(), r)
	}

	abort := &cobra.Command{Use: "abort SERVICE [VERSION]", Short: "Reverse a service's rollout, that to a version or the newest", Args: cobra.RangeArgs(1, 2)}
	abortClient := clientFlags(abort)
	abort.RunE = func(cmd *cobra.Command, args []string) error {
		cl, err := abortClient()
		if err != nil {
			return err
		}
		// The version is named, so that a call that is sent again after a lost answer
		// can't reverse the next rollout.
		version, err := cl.candidate(args)
		if err != nil {
			return err
		}
		path := "/v1/rollouts/" + url.PathEscape(args[0]) + "?targetVersion=" + url.QueryEscape(version)
		if _, err := cl.call(http.MethodDelete, path, nil); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), args[0]+" reverted")
		return nil
	}

	list := &cobra.Command{Use: "list", Short: "List the rollouts of all services", Args: cobra.NoArgs}
	listJSON := list.Flags().Bool("json", false, "print JSON")
	listClient := clientFlags(list)
	list.RunE = func(cmd *cobra.Command, _ []string) error {
		cl, err := listClient()
		if err != nil {
			return err
		}
		all, err := cl.rollouts()
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
	c.AddCommand(start, status, abort, list)
	return c
}

// candidate is the version that the arguments name after the service, or else that of the
// service's newest rollout.
func (c *client) candidate(args []string) (string, error) {
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

// rollouts asks for all rollouts.
func (c *client) rollouts() (all []controlplane.RolloutState, err error) {
	text, err := c.call(http.MethodGet, "/v1/admin/rollouts", nil)
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	return all, err
}

// rollout is one service's rollout as its controller shows it.
func (c *client) rollout(service string) (*controlplane.RolloutState, error) {
	text, err := c.call(http.MethodGet, "/v1/admin/rollouts/"+url.PathEscape(service), nil)
	if err != nil {
		return nil, err
	}
	r := &controlplane.RolloutState{}
	return r, json.Unmarshal(text, r)
}

// outcome waits for the end of a rollout.
func (c *client) outcome(out io.Writer, service string, limit time.Duration) error {
	last := ""
	for end := time.Now().Add(limit); ; time.Sleep(300 * time.Millisecond) {
		r, err := c.rollout(service)
		if err != nil {
			return err
		}
		if at := fmt.Sprintf("%s, %g %%", r.Stage, rollout.Percent(r.Weight)); at != last {
			fmt.Fprintf(out, "%6.1f s  %s\n", r.AgeS, at)
			last = at
		}
		switch {
		case r.Stage == rollout.Complete.String():
			return nil
		case r.Stage == rollout.Reverted.String():
			return fmt.Errorf("reverted: %s", r.Reason)
		case time.Now().After(end):
			return fmt.Errorf("not decided after %v", limit)
		}
	}
}

func printRollout(out io.Writer, r *controlplane.RolloutState) error {
	fmt.Fprintf(out, "%s: %s, stage %s, weight %g %%, %.1f s of %g s\n", r.Service, r.State, r.Stage, rollout.Percent(r.Weight), r.AgeS, r.WithinS)
	if r.Reason != "" {
		fmt.Fprintf(out, "reason: %s\n", r.Reason)
	}
	fmt.Fprintf(out, "controller %s; in force on %d nodes, %d have stopped it by themselves\n", cmp.Or(r.Controller, "-"), r.Heard, r.Braked)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "\nARM\tVERSION\tANSWERS\tFAILED\tP99 UP TO\tMEAN TIME SCORE\n")
	for i, name := range []string{"prior", "candidate"} {
		a := r.Arms[i]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.0f ms\t%.3f\n", name, cmp.Or(a.Version, "-"), a.Answers, a.Failed, a.P99AtMs, a.MeanTime)
	}
	return w.Flush()
}
