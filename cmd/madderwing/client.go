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

// client calls the control nodes' control interface, one after the other.
type client struct {
	at      []string
	timeout time.Duration
}

func clientFlags(c *cobra.Command) func() (*client, error) {
	at := c.Flags().StringSlice("control", nil, "control addresses, host:port (default: the seeds in the settings)")
	path := c.Flags().String("settings", os.Getenv(settings.PathVariable), "path of the settings file")
	timeout := c.Flags().Duration("timeout", 5*time.Second, "how long to go on trying")
	return func() (*client, error) {
		list := *at
		if len(list) == 0 {
			s, err := settings.Load(*path)
			if err != nil {
				return nil, usage(fmt.Errorf("no --control given, and settings: %w", err))
			}
			list = s.SeedNodes
		}
		return &client{list, *timeout}, nil
	}
}

func (c *client) call(method, path string, body []byte) ([]byte, error) {
	end := time.Now().Add(c.timeout)
	last := errors.New("no control node answered")
	pause := 100 * time.Millisecond
	h := &http.Client{Timeout: 2 * time.Second}
	for i := 0; time.Now().Before(end); i++ {
		req, err := http.NewRequest(method, "http://"+c.at[i%len(c.at)]+path, bytes.NewReader(body))
		if err != nil {
			return nil, usage(err)
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := h.Do(req)
		if err == nil {
			text, rerr := io.ReadAll(res.Body)
			res.Body.Close()
			switch {
			case rerr != nil:
				err = rerr
			case res.StatusCode < 300:
				return text, nil
			case res.StatusCode >= 500 || res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusRequestTimeout:
				err = fmt.Errorf("%s answered %d: %s", req.URL.Host, res.StatusCode, strings.TrimSpace(string(text)))
			default:
				return nil, coded{exitRefused, fmt.Errorf("%d: %s", res.StatusCode, strings.TrimSpace(string(text)))}
			}
		}
		last = err
		if (i+1)%len(c.at) == 0 {
			time.Sleep(pause)
			pause = min(2*pause, time.Second)
		}
	}
	return nil, coded{exitAway, last}
}

// inForce waits until every gateway that works has the newest items.
func (c *client) inForce(out io.Writer, limit time.Duration) error {
	var behind []string
	for end := time.Now().Add(limit); ; time.Sleep(200 * time.Millisecond) {
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
		if time.Now().After(end) {
			return fmt.Errorf("not in force after %v on %s", limit, strings.Join(behind, ", "))
		}
	}
}

// readFile reads a file named on the command line, or standard input.
func readFile(cmd *cobra.Command, name string) (text []byte, err error) {
	if name == "-" {
		text, err = io.ReadAll(cmd.InOrStdin())
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, usage(err)
	}
	return text, nil
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Read or change the configuration"}
	get := &cobra.Command{Use: "get", Short: "Print the newest configuration", Args: cobra.NoArgs}
	asCall := get.Flags().Bool("as-call", false, "print it as a call that 'config apply' takes, to keep or to restore from")
	getClient := clientFlags(get)
	get.RunE = func(cmd *cobra.Command, _ []string) error {
		cl, err := getClient()
		if err != nil {
			return err
		}
		text, err := cl.call(http.MethodGet, "/v1/config", nil)
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
	applyClient := clientFlags(apply)
	wait := apply.Flags().Duration("wait", 0, "wait up to this long until every working gateway has the newest items in force")
	apply.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := readFile(cmd, args[0])
		if err != nil {
			return err
		}
		cl, err := applyClient()
		if err != nil {
			return err
		}
		if _, err = cl.call(http.MethodPatch, "/v1/config", text); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), "taken")
		if *wait > 0 {
			return cl.inForce(cmd.OutOrStdout(), *wait)
		}
		return nil
	}
	plan := &cobra.Command{Use: "plan FILE", Short: "Show what a change would do, without making it (- for standard input)", Args: cobra.ExactArgs(1)}
	planClient := clientFlags(plan)
	plan.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := readFile(cmd, args[0])
		if err != nil {
			return err
		}
		cl, err := planClient()
		if err != nil {
			return err
		}
		answer, err := cl.call(http.MethodPost, "/v1/admin/plan", text)
		if err != nil {
			return err
		}
		var steps []config.Step
		if err := json.Unmarshal(answer, &steps); err != nil {
			return err
		}
		w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
		for _, s := range steps {
			fmt.Fprintf(w, "%s\t%s\t%d -> %d\n", s.Effect, s.Item, s.Stands, s.Sent)
		}
		return w.Flush()
	}
	c.AddCommand(get, apply, plan)
	return c
}

func evacuateCommand() *cobra.Command {
	c := &cobra.Command{Use: "evacuate ZONE", Short: "Send nothing more to a zone's upstreams", Args: cobra.ExactArgs(1)}
	undo := c.Flags().Bool("undo", false, "take the zone back")
	cl := clientFlags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		k, err := cl()
		if err != nil {
			return err
		}
		method, word := http.MethodPost, "evacuated"
		if *undo {
			method, word = http.MethodDelete, "taken back"
		}
		if _, err := k.call(method, "/v1/evacuation/"+args[0], nil); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), args[0]+" "+word)
		return nil
	}
	return c
}

func retireCommand() *cobra.Command {
	c := &cobra.Command{Use: "retire NODE", Short: "Take a control node that is gone for good out of the roster (name or address)", Args: cobra.ExactArgs(1)}
	cl := clientFlags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		k, err := cl()
		if err != nil {
			return err
		}
		if _, err := k.call(http.MethodDelete, "/v1/admin/members/"+args[0], nil); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), args[0]+" retired")
		return nil
	}
	return c
}

func statusCommand() *cobra.Command {
	c := &cobra.Command{Use: "status", Short: "Show nodes, keys, duties, routes, shards and upstreams", Args: cobra.NoArgs}
	asJSON := c.Flags().Bool("json", false, "print JSON")
	all := c.Flags().Bool("all", false, "list every node and upstream, also where there are many")
	cl := clientFlags(c)
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		k, err := cl()
		if err != nil {
			return err
		}
		text, err := k.call(http.MethodGet, "/v1/admin/overview", nil)
		if err != nil {
			return err
		}
		if *asJSON {
			fmt.Fprint(cmd.OutOrStdout(), string(text))
			return nil
		}
		var o controlplane.Overview
		if err := json.Unmarshal(text, &o); err != nil {
			return err
		}
		printStatus(cmd.OutOrStdout(), &o, *all)
		return nil
	}
	return c
}

func resolveCommand() *cobra.Command {
	c := &cobra.Command{Use: "resolve HOST", Short: "Show where the registry sends the clients of a zone", Args: cobra.ExactArgs(1)}
	zone := c.Flags().String("zone", "", "the clients' zone")
	region := c.Flags().String("region", "", "the clients' region")
	cl := clientFlags(c)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		k, err := cl()
		if err != nil {
			return err
		}
		q := url.Values{"name": {args[0]}, "zone": {*zone}, "region": {*region}}
		text, err := k.call(http.MethodGet, "/v1/admin/resolve?"+q.Encode(), nil)
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(text))
		return nil
	}
	return c
}

// listMost is how many nodes, or upstreams, status lists unless it is told to list all.
const listMost = 40

func printCounts(w io.Writer, kind string, counts []controlplane.Count) {
	fmt.Fprintf(w, "\n%s\tZONE\tSTATE\tCOUNT\n", kind)
	for _, c := range counts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", c.Kind, c.Zone, c.State, c.Count)
	}
}

// printRoster tells of the seats, of the learners and of what may be lost now.
func printRoster(w io.Writer, r replication.Standing) {
	change := ""
	if r.Joint {
		change = ", a change is under way"
	}
	fmt.Fprintf(w, "%d seats%s; %d more may be lost now, %d are to be borne\n", len(r.Seats), change, max(0, r.Bears), r.Wanted)
	for _, l := range r.Learners {
		behind := "not known how far behind"
		if l.Behind >= 0 {
			behind = fmt.Sprintf("behind in %d keys", l.Behind)
		}
		fmt.Fprintf(w, "learner %s, %s\n", l.ID, behind)
	}
}

// age says how old what a control node shows is.
func age(c controlplane.Contact) string {
	switch {
	case !c.Known:
		return fmt.Sprintf("OUT OF CONTACT with a majority since its start %.1f s ago", c.AgeS)
	case !c.Fresh:
		return fmt.Sprintf("OUT OF CONTACT with a majority: items %.1f s old", c.AgeS)
	}
	return fmt.Sprintf("items confirmed by a majority %.1f s ago", c.AgeS)
}

// printStatus lists everything, or sums up what there is much of. Nodes that are not
// plainly alive are listed in any case.
func printStatus(out io.Writer, o *controlplane.Overview, all bool) {
	sum := o.Summary()
	names := map[string]string{}
	for _, m := range o.Members {
		names[m.Address] = m.Name
	}
	name := func(a string) string {
		if n := names[a]; n != "" {
			return n
		}
		if a == "" {
			return "-"
		}
		return a
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "as seen by %s (voting: %v), %s\n", o.Node, o.Voting, age(o.Contact))
	printRoster(w, o.Roster)
	short := !all && len(o.Members) > listMost
	if short {
		printCounts(w, "KIND", sum.Nodes)
	}
	fmt.Fprint(w, "\nNODE\tKIND\tZONE\tSTATE\tSHARD\tADDRESS\n")
	for _, m := range o.Members {
		if short && !m.Seat && m.Standing() == "alive" {
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
	for _, k := range o.Keys {
		fmt.Fprintf(w, "%s\t%s\t%.1f s ago\t%d\t%d\t%d\t%d\n", k.Key, name(k.Owner), k.HeardAgoS, k.Epoch, k.Seq, k.Commit, k.Records)
	}
	fmt.Fprint(w, "\nDUTY\tHOLDER\tTERM\tRESULT\tLAST HANDED ON\n")
	for _, d := range o.Duties {
		handedOn := "-"
		if h := d.HandedOn; h != nil {
			handedOn = fmt.Sprintf("%.0f s ago from %s, whose result was %.1f s old", h.AgoS, name(h.From), h.ResultAgeS)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f s old\t%s\n", d.Duty, name(d.Holder), d.Term, d.ResultAgeS, handedOn)
	}
	fmt.Fprint(w, "\nROUTE\tHOST\tPREFIX\tTARGETS\tGENERATION\tPHASE\tSHARD\n")
	for _, r := range o.Routes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\n", r.Name, r.Host, r.PathPrefix, strings.Join(r.Targets, ","), r.Generation, r.Phase, r.Shard)
	}
	fmt.Fprint(w, "\nSHARD\tGATEWAYS\tZONES\tROUTES\n")
	for _, s := range o.Shards {
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\n", s.Label, len(s.Gateways), s.Zones, s.Routes)
	}
	fmt.Fprintf(w, "\nThe newest items are in force on %d of %d gateways.\n", sum.Gateways-sum.Behind, sum.Gateways)
	if sum.Behind > 0 {
		fmt.Fprintf(w, "Not yet on %s (%d in all).\n", strings.Join(sum.BehindOf, ", "), sum.Behind)
	}
	if !all && len(o.Upstreams) > listMost {
		printCounts(w, "SERVICE", sum.Upstreams)
	} else {
		fmt.Fprint(w, "\nUPSTREAM\tSERVICE\tZONE\tSLOTS\tSTATE\n")
		for _, u := range o.Upstreams {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", u.ID, u.Service, u.Zone, u.Capacity, controlplane.Standing(u))
		}
	}
	if len(o.Tenants) > 0 {
		lent := map[string]string{}
		if o.Quotas != nil {
			for _, l := range o.Quotas.Loans {
				lent[l.Tenant] = fmt.Sprintf("%g", l.Lent)
			}
			fmt.Fprintf(w, "\nQuotas are lent by %s.\n", name(o.Quotas.Lender))
		}
		fmt.Fprint(w, "\nTENANT\tKEYS\tPER SECOND\tBURST\tLENT\tREGIONS\n")
		for _, t := range o.Tenants {
			fmt.Fprintf(w, "%s\t%d\t%g\t%g\t%s\t%s\n", t.Name, t.Keys, t.RatePerS, t.Burst, cmp.Or(lent[t.Name], "-"), cmp.Or(strings.Join(t.Residency, ","), "all"))
		}
	}
	if len(o.Evacuations) > 0 {
		fmt.Fprintf(w, "\nEvacuated: %s\n", strings.Join(o.Evacuations, ", "))
	}
	if len(o.InDoubt) > 0 {
		fmt.Fprintf(w, "Perhaps withdrawn: %s\n", strings.Join(o.InDoubt, ", "))
	}
	_ = w.Flush()
}
