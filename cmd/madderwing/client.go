package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"madderwing/internal/config"
	"madderwing/internal/controlplane"
	"madderwing/internal/replication"
	"madderwing/internal/settings"
)

// client calls the control interface of the control nodes. It tries the endpoints in turn
// until one gives a final answer or the timeout is over.
type client struct {
	endpoints []string
	timeout   time.Duration
}

// addClientFlags adds --control, --settings and --timeout. The returned function makes the client
// that they describe.
func addClientFlags(command *cobra.Command) func() (*client, error) {
	control := command.Flags().StringSlice("control", nil, "control addresses, host:port (default: the seeds in the settings)")
	path := command.Flags().String("settings", os.Getenv(settings.PathVariable), "path of the settings file")
	timeout := command.Flags().Duration("timeout", 5*time.Second, "how long to go on trying")
	return func() (*client, error) {
		endpoints := *control
		if len(endpoints) == 0 {
			loaded, err := settings.Load(*path)
			if err != nil {
				return nil, usageError(fmt.Errorf("no --control given, and settings: %w", err))
			}
			endpoints = loaded.SeedNodes
		}
		return &client{endpoints, *timeout}, nil
	}
}

// call sends a request until it gets a response that is final. Network errors and responses with
// status 408, 429 or 5xx are retried at the next endpoint, with a pause after each round.
func (c *client) call(method, path string, body []byte) ([]byte, error) {
	deadline := time.Now().Add(c.timeout)
	lastErr := errors.New("no control node answered")
	backoff := 100 * time.Millisecond
	httpClient := &http.Client{Timeout: 2 * time.Second}
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		request, err := http.NewRequest(method, "http://"+c.endpoints[attempt%len(c.endpoints)]+path, bytes.NewReader(body))
		if err != nil {
			return nil, usageError(err)
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := httpClient.Do(request)
		if err == nil {
			responseBody, readErr := io.ReadAll(response.Body)
			response.Body.Close()
			switch {
			case readErr != nil:
				err = readErr
			case response.StatusCode < 300:
				return responseBody, nil
			case response.StatusCode >= 500 || response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusRequestTimeout:
				err = fmt.Errorf("%s answered %d: %s", request.URL.Host, response.StatusCode, strings.TrimSpace(string(responseBody)))
			default:
				return nil, exitError{exitRefused, fmt.Errorf("%d: %s", response.StatusCode, strings.TrimSpace(string(responseBody)))}
			}
		}
		lastErr = err
		if (attempt+1)%len(c.endpoints) == 0 {
			time.Sleep(backoff)
			backoff = min(2*backoff, time.Second)
		}
	}
	return nil, exitError{exitUnavailable, lastErr}
}

// waitUntilApplied waits until every working gateway has the newest configuration items in force.
func (c *client) waitUntilApplied(out io.Writer, limit time.Duration) error {
	var behind []string
	for deadline := time.Now().Add(limit); ; time.Sleep(200 * time.Millisecond) {
		text, err := c.call(http.MethodGet, "/v1/admin/delivery", nil)
		if err != nil {
			return err
		}
		var gateways []controlplane.Delivery
		if err := json.Unmarshal(text, &gateways); err != nil {
			return err
		}
		behind = behind[:0]
		for _, d := range gateways {
			if !d.Current {
				behind = append(behind, d.Gateway)
			}
		}
		if len(behind) == 0 {
			fmt.Fprintf(out, "in force on %d gateways\n", len(gateways))
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not in force after %v on %s", limit, strings.Join(behind, ", "))
		}
	}
}

// readFile reads a file named on the command line; - stands for standard input.
func readFile(cmd *cobra.Command, name string) (content []byte, err error) {
	if name == "-" {
		content, err = io.ReadAll(cmd.InOrStdin())
	} else {
		content, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, usageError(err)
	}
	return content, nil
}

func configCommand() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Read or change the configuration"}
	get := &cobra.Command{Use: "get", Short: "Print the newest configuration", Args: cobra.NoArgs}
	asCall := get.Flags().Bool("as-call", false, "print it as a call that 'config apply' takes, to keep or to restore from")
	clientForGet := addClientFlags(get)
	get.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := clientForGet()
		if err != nil {
			return err
		}
		text, err := client.call(http.MethodGet, "/v1/config", nil)
		if err != nil {
			return err
		}
		if *asCall {
			text = []byte(`{"upsert":` + string(text) + `,"remove":{"routes":[]}}`)
		}
		var out bytes.Buffer
		if json.Indent(&out, text, "", "  ") != nil {
			out.Write(text)
		}
		fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSpace(out.String()))
		return nil
	}
	apply := &cobra.Command{Use: "apply FILE", Short: "Send a change of the configuration (- for standard input)", Args: cobra.ExactArgs(1)}
	clientForApply := addClientFlags(apply)
	wait := apply.Flags().Duration("wait", 0, "wait up to this long until every working gateway has the newest items in force")
	apply.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := readFile(cmd, args[0])
		if err != nil {
			return err
		}
		client, err := clientForApply()
		if err != nil {
			return err
		}
		if _, err = client.call(http.MethodPatch, "/v1/config", text); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), "taken")
		if *wait > 0 {
			return client.waitUntilApplied(cmd.OutOrStdout(), *wait)
		}
		return nil
	}
	plan := &cobra.Command{Use: "plan FILE", Short: "Show what a change would do, without making it (- for standard input)", Args: cobra.ExactArgs(1)}
	clientForPlan := addClientFlags(plan)
	plan.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := readFile(cmd, args[0])
		if err != nil {
			return err
		}
		client, err := clientForPlan()
		if err != nil {
			return err
		}
		answer, err := client.call(http.MethodPost, "/v1/admin/plan", text)
		if err != nil {
			return err
		}
		var steps []config.ItemEffect
		if err := json.Unmarshal(answer, &steps); err != nil {
			return err
		}
		w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
		for _, s := range steps {
			fmt.Fprintf(w, "%s\t%s\t%d -> %d\n", s.Effect, s.Item, s.CurrentGeneration, s.SentGeneration)
		}
		return w.Flush()
	}
	command.AddCommand(get, apply, plan)
	return command
}

func evacuateCommand() *cobra.Command {
	command := &cobra.Command{Use: "evacuate ZONE", Short: "Send nothing more to a zone's upstreams", Args: cobra.ExactArgs(1)}
	undo := command.Flags().Bool("undo", false, "take the zone back")
	newClient := addClientFlags(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := newClient()
		if err != nil {
			return err
		}
		method, outcome := http.MethodPost, "evacuated"
		if *undo {
			method, outcome = http.MethodDelete, "taken back"
		}
		if _, err := client.call(method, "/v1/evacuation/"+args[0], nil); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), args[0]+" "+outcome)
		return nil
	}
	return command
}

func retireCommand() *cobra.Command {
	command := &cobra.Command{Use: "retire NODE", Short: "Take a control node that is gone for good out of the roster (name or address)", Args: cobra.ExactArgs(1)}
	newClient := addClientFlags(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := newClient()
		if err != nil {
			return err
		}
		if _, err := client.call(http.MethodDelete, "/v1/admin/members/"+args[0], nil); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), args[0]+" retired")
		return nil
	}
	return command
}

func statusCommand() *cobra.Command {
	command := &cobra.Command{Use: "status", Short: "Show nodes, keys, duties, routes, shards and upstreams", Args: cobra.NoArgs}
	asJSON := command.Flags().Bool("json", false, "print JSON")
	all := command.Flags().Bool("all", false, "list every node and upstream, also where there are many")
	newClient := addClientFlags(command)
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := newClient()
		if err != nil {
			return err
		}
		text, err := client.call(http.MethodGet, "/v1/admin/overview", nil)
		if err != nil {
			return err
		}
		if *asJSON {
			fmt.Fprint(cmd.OutOrStdout(), string(text))
			return nil
		}
		var overview controlplane.Overview
		if err := json.Unmarshal(text, &overview); err != nil {
			return err
		}
		printStatus(cmd.OutOrStdout(), &overview, *all)
		return nil
	}
	return command
}

func resolveCommand() *cobra.Command {
	command := &cobra.Command{Use: "resolve HOST", Short: "Show where the registry sends the clients of a zone", Args: cobra.ExactArgs(1)}
	zone := command.Flags().String("zone", "", "the clients' zone")
	region := command.Flags().String("region", "", "the clients' region")
	newClient := addClientFlags(command)
	command.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := newClient()
		if err != nil {
			return err
		}
		query := url.Values{"name": {args[0]}, "zone": {*zone}, "region": {*region}}
		text, err := client.call(http.MethodGet, "/v1/admin/resolve?"+query.Encode(), nil)
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(text))
		return nil
	}
	return command
}

// maxListed is the number of nodes or upstreams above which status prints counts, unless --all
// is given.
const maxListed = 40

func printCounts(w io.Writer, kind string, counts []controlplane.Count) {
	fmt.Fprintf(w, "\n%s\tZONE\tSTATE\tCOUNT\n", kind)
	for _, c := range counts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", c.Kind, c.Zone, c.State, c.Count)
	}
}

// printVoterSetStatus prints how many voters ("seats") the replicated control state has, how many
// more of them may fail now, and how far each learner is behind.
func printVoterSetStatus(w io.Writer, voterSet replication.VoterSetStatus) {
	change := ""
	if voterSet.Joint {
		change = ", a change is under way"
	}
	fmt.Fprintf(w, "%d seats%s; %d more may be lost now, %d are to be borne\n", len(voterSet.Voters), change, max(0, voterSet.Tolerates), voterSet.LossesToTolerate)
	for _, learner := range voterSet.Learners {
		behind := "not known how far behind"
		if learner.Behind >= 0 {
			behind = fmt.Sprintf("behind in %d keys", learner.Behind)
		}
		fmt.Fprintf(w, "learner %s, %s\n", learner.ID, behind)
	}
}

// describeFreshness says how old the items are that a control node shows.
func describeFreshness(contact controlplane.Contact) string {
	switch {
	case !contact.Known:
		return fmt.Sprintf("OUT OF CONTACT with a majority since its start %.1f s ago", contact.AgeS)
	case !contact.Fresh:
		return fmt.Sprintf("OUT OF CONTACT with a majority: items %.1f s old", contact.AgeS)
	}
	return fmt.Sprintf("items confirmed by a majority %.1f s ago", contact.AgeS)
}

// printStatus prints the status of the system. Of more than maxListed nodes it prints counts, and
// lists only the voters and the nodes that are not alive. Of more than maxListed upstreams it
// prints counts alone. If all is true, it lists everything.
func printStatus(out io.Writer, overview *controlplane.Overview, all bool) {
	summary := overview.Summary()
	names := map[string]string{}
	for _, m := range overview.Members {
		names[m.Address] = m.Name
	}
	displayName := func(address string) string {
		if known := names[address]; known != "" {
			return known
		}
		if address == "" {
			return "-"
		}
		return address
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "as seen by %s (voting: %v), %s\n", overview.Node, overview.Voting, describeFreshness(overview.Contact))
	printVoterSetStatus(w, overview.VoterSet)
	abridged := !all && len(overview.Members) > maxListed
	if abridged {
		printCounts(w, "KIND", summary.Nodes)
	}
	fmt.Fprint(w, "\nNODE\tKIND\tZONE\tSTATE\tSHARD\tADDRESS\n")
	for _, m := range overview.Members {
		if abridged && !m.Voter && m.Status() == "alive" {
			continue
		}
		shard := "-"
		if m.Shard >= 0 {
			shard = fmt.Sprint(m.Shard)
		}
		state := m.State
		if m.Draining {
			state += ", draining"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Plane, m.Zone, state, shard, m.Address)
	}
	fmt.Fprint(w, "\nKEY\tOWNER\tHEARD\tEPOCH\tSEQ\tCOMMITTED\tRECORDS\n")
	for _, k := range overview.Partitions {
		fmt.Fprintf(w, "%s\t%s\t%.1f s ago\t%d\t%d\t%d\t%d\n", k.Partition, displayName(k.Owner), k.ContactAgeS, k.Epoch, k.Seq, k.Commit, k.Records)
	}
	fmt.Fprint(w, "\nDUTY\tHOLDER\tTERM\tRESULT\tLAST HANDED ON\n")
	for _, d := range overview.Roles {
		handedOn := "-"
		if handover := d.Transfer; handover != nil {
			handedOn = fmt.Sprintf("%.0f s ago from %s, whose result was %.1f s old", handover.AgoS, displayName(handover.From), handover.ResultAgeS)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f s old\t%s\n", d.Role, displayName(d.Holder), d.Term, d.ResultAgeS, handedOn)
	}
	fmt.Fprint(w, "\nROUTE\tHOST\tPREFIX\tTARGETS\tGENERATION\tPHASE\tSHARD\n")
	for _, r := range overview.Routes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\n", r.Name, r.Host, r.PathPrefix, strings.Join(r.Targets, ","), r.Generation, r.Phase, r.Shard)
	}
	fmt.Fprint(w, "\nSHARD\tGATEWAYS\tZONES\tROUTES\n")
	for _, s := range overview.Shards {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\n", s.Label, len(s.Gateways), s.Zones, s.Routes)
	}
	fmt.Fprintf(w, "\nThe newest items are in force on %d of %d gateways.\n", summary.Gateways-summary.Behind, summary.Gateways)
	if summary.Behind > 0 {
		fmt.Fprintf(w, "Not yet on %s (%d in all).\n", strings.Join(summary.BehindNames, ", "), summary.Behind)
	}
	if !all && len(overview.Upstreams) > maxListed {
		printCounts(w, "SERVICE", summary.Upstreams)
	} else {
		fmt.Fprint(w, "\nUPSTREAM\tSERVICE\tZONE\tSLOTS\tSTATE\n")
		for _, u := range overview.Upstreams {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", u.ID, u.Service, u.Zone, u.Capacity, controlplane.InstanceStatus(u))
		}
	}
	if len(overview.Tenants) > 0 {
		allocated := map[string]string{}
		if overview.Quotas != nil {
			for _, l := range overview.Quotas.Allocations {
				allocated[l.Tenant] = fmt.Sprintf("%g", l.Allocated)
			}
			fmt.Fprintf(w, "\nQuotas are lent by %s.\n", displayName(overview.Quotas.Allocator))
		}
		fmt.Fprint(w, "\nTENANT\tKEYS\tPER SECOND\tBURST\tLENT\tREGIONS\n")
		for _, t := range overview.Tenants {
			fmt.Fprintf(w, "%s\t%d\t%g\t%g\t%s\t%s\n", t.Name, t.Keys, t.RatePerS, t.Burst, cmp.Or(allocated[t.Name], "-"), cmp.Or(strings.Join(t.Residency, ","), "all"))
		}
	}
	if len(overview.Evacuations) > 0 {
		fmt.Fprintf(w, "\nEvacuated: %s\n", strings.Join(overview.Evacuations, ", "))
	}
	if len(overview.EvacuationsInDoubt) > 0 {
		fmt.Fprintf(w, "Perhaps withdrawn: %s\n", strings.Join(overview.EvacuationsInDoubt, ", "))
	}
	_ = w.Flush()
}
