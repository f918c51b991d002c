package controlplane

import (
	"cmp"
	"net/url"
	"slices"
	"strconv"

	"madderwing/internal/apierror"
	"madderwing/internal/upstream"
)

// Count is the number of nodes or upstreams of the same kind, zone and state.
type Count struct {
	Kind  string `json:"kind"` // gateway, control node, or the service
	Zone  string `json:"zone"`
	State string `json:"state"`
	Count int    `json:"count"`
}

// Summary is an overview whose size does not grow with the number of nodes.
type Summary struct {
	Node    string  `json:"node"`
	Contact Contact `json:"contact"`
	// Tolerates is how many more members may be lost now, LossesToTolerate how many losses should
	// be tolerated.
	Tolerates        int      `json:"bears"`
	LossesToTolerate int      `json:"wanted"`
	Nodes            []Count  `json:"nodes"`
	Upstreams        []Count  `json:"upstreams"`
	Gateways         int      `json:"desks"`
	Behind           int      `json:"behind"`   // gateways without the newest items
	BehindNames      []string `json:"behindOf"` // at most maxNamedGateways of them
}

// maxNamedGateways is the maximum number of gateways that a summary or a log line names.
const maxNamedGateways = 10

// Summary counts the nodes and upstreams of an overview by kind, zone and state.
func (o *Overview) Summary() *Summary {
	behind := o.gatewaysBehind()
	summary := &Summary{Node: o.Node, Contact: o.Contact, Tolerates: o.VoterSet.Tolerates, LossesToTolerate: o.VoterSet.LossesToTolerate, Gateways: len(o.Delivery), Behind: len(behind), BehindNames: behind[:min(len(behind), maxNamedGateways)]}
	nodes, upstreams := map[Count]int{}, map[Count]int{}
	for _, m := range o.Members {
		nodes[Count{m.Plane, m.Zone, m.Status(), 0}]++
	}
	for _, u := range o.Upstreams {
		upstreams[Count{u.Service, u.Zone, InstanceStatus(u), 0}]++
	}
	summary.Nodes, summary.Upstreams = sortedCounts(nodes), sortedCounts(upstreams)
	return summary
}

// gatewaysBehind names the gateways without the newest items.
func (o *Overview) gatewaysBehind() []string {
	out := []string{}
	for _, d := range o.Delivery {
		if !d.Current {
			out = append(out, d.Gateway)
		}
	}
	return out
}

func sortedCounts(counts map[Count]int) []Count {
	out := []Count{}
	for c, n := range counts {
		c.Count = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.State, b.State))
	})
	return out
}

// Status is a node's state, or draining if it is alive and draining.
func (m Member) Status() string {
	if m.Draining && m.State == "alive" {
		return "draining"
	}
	return m.State
}

// InstanceStatus reports whether an upstream is draining, cold (warming up) or ready.
func InstanceStatus(u upstream.Instance) string {
	switch {
	case u.Draining:
		return "draining"
	case u.WarmupMs > 0:
		return "cold"
	}
	return "ready"
}

// filter keeps the entries whose fields match the query.
func filter[T any](list []T, query url.Values, fields map[string]func(T) string) ([]T, error) {
	for name := range query {
		field, ok := fields[name]
		if !ok {
			return nil, apierror.New(apierror.BadQuery, "no filter %q here", name)
		}
		list = slices.DeleteFunc(slices.Clone(list), func(v T) bool { return !slices.Contains(query[name], field(v)) })
	}
	return list, nil
}

// view returns one page of an overview, with the filters of the query applied.
func (o *Overview) view(page string, query url.Values) (v any, err error) {
	switch page {
	case "summary":
		return o.Summary(), nil
	case "members":
		return filter(o.Members, query, map[string]func(Member) string{
			"zone":  func(m Member) string { return m.Zone },
			"plane": func(m Member) string { return m.Plane },
			"state": Member.Status})
	case "upstreams":
		return filter(o.Upstreams, query, map[string]func(upstream.Instance) string{
			"zone":   func(u upstream.Instance) string { return u.Zone },
			"target": func(u upstream.Instance) string { return u.Service },
			"state":  InstanceStatus})
	case "delivery":
		return filter(o.Delivery, query, map[string]func(Delivery) string{
			"zone":    func(d Delivery) string { return d.Zone },
			"current": func(d Delivery) string { return strconv.FormatBool(d.Current) }})
	}
	views := map[string]any{
		"overview": o, "roster": o.VoterSet, "keys": o.Partitions, "duties": o.Roles, "bindings": o.Routes, "shards": o.Shards,
		"evacuations": o.Evacuations, "rollouts": o.Rollouts, "counters": o.Counters,
	}
	if o.Quotas != nil {
		views["tenants"], views["quotas"] = o.Tenants, o.Quotas
	}
	if v, ok := views[page]; ok {
		return v, nil
	}
	return nil, apierror.New(apierror.UnknownPath, "no view %q", page)
}
