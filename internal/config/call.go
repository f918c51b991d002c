package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"madderwing/internal/apierror"
	"madderwing/internal/settings"
)

// This file holds how a call is read, and checked as far as that needs no other items.

//go:embed schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *jsonschema.Schema { return settings.MustCompile("catalogue.json", schemaText) })

type call struct {
	Upsert struct {
		Services []json.RawMessage `json:"services"`
		Tenants  []json.RawMessage `json:"tenants"`
		Limits   json.RawMessage   `json:"limits"`
		Domains  []struct {
			Authority  string            `json:"authority"`
			HostRoutes []json.RawMessage `json:"hostRoutes"`
		} `json:"domains"`
	} `json:"upsert"`
	Remove struct {
		Routes   []removal `json:"routes"`
		Services []removal `json:"services"`
		Tenants  []removal `json:"tenants"`
	} `json:"remove"`
}

type removal struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// inCall finds the places of items in a call that a check has named.
var inCall = regexp.MustCompile(`upsert\.(services|tenants|domains)\.(\d+)(?:\.hostRoutes\.(\d+))?`)

// named puts the names of the items at fault in the place of their numbers.
func named(body []byte, text string) string {
	var c call
	if json.Unmarshal(body, &c) != nil {
		return text
	}
	pick := func(list []json.RawMessage, n string, kind, place string) string {
		var item removal
		if i, err := strconv.Atoi(n); err == nil && i < len(list) {
			_ = json.Unmarshal(list[i], &item)
		}
		if item.Name == "" {
			return place
		}
		return kind + " " + item.Name
	}
	return inCall.ReplaceAllStringFunc(text, func(place string) string {
		m := inCall.FindStringSubmatch(place)
		if m[1] == "services" {
			return pick(c.Upsert.Services, m[2], "service", place)
		}
		if m[1] == "tenants" {
			return pick(c.Upsert.Tenants, m[2], "tenant", place)
		}
		if i, _ := strconv.Atoi(m[2]); m[3] != "" && i < len(c.Upsert.Domains) {
			return pick(c.Upsert.Domains[i].HostRoutes, m[3], "route", place)
		}
		return place
	})
}

func invalid(format string, args ...any) error {
	return apierror.New(apierror.InvalidConfig, format, args...)
}

// Read reads and checks a call by itself. What depends on the items that stand
// is checked by Apply.
func Read(body []byte) (*Change, error) {
	if err := settings.Validate(schema(), body); err != nil {
		return nil, invalid("%s", named(body, err.Error()))
	}
	var c call
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, invalid("%v", err)
	}
	out := &Change{}
	seen := map[string]bool{}
	add := func(name, host string, raw json.RawMessage) error {
		var head removal
		if err := json.Unmarshal(raw, &head); err != nil {
			return invalid("%s: %v", name, err)
		}
		if name != limitsName { // there is but one, however it may call itself
			name += head.Name
		}
		if seen[name] {
			return invalid("%s: named twice", name)
		}
		seen[name] = true
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			return invalid("%s: %v", name, err)
		}
		out.upserts = append(out.upserts, Record{Name: name, Gen: head.Generation,
			Data: encode(Item{Host: host, Raw: compact.Bytes(), Status: Status{Phase: PhaseNew, Shard: -1}})})
		return nil
	}
	for _, raw := range c.Upsert.Services {
		if err := add(servicePrefix, "", raw); err != nil {
			return nil, err
		}
	}
	for _, raw := range c.Upsert.Tenants {
		if err := add(tenantPrefix, "", raw); err != nil {
			return nil, err
		}
	}
	if len(c.Upsert.Limits) > 0 && string(c.Upsert.Limits) != "null" {
		if err := add(limitsName, "", c.Upsert.Limits); err != nil {
			return nil, err
		}
	}
	for _, d := range c.Upsert.Domains {
		for _, raw := range d.HostRoutes {
			if err := add(routePrefix, strings.ToLower(d.Authority), raw); err != nil {
				return nil, err
			}
			var r Route
			if err := json.Unmarshal(raw, &r); err != nil {
				return nil, invalid("route %s: %v", r.Name, err)
			}
			sum := 0.0
			for _, s := range r.Split {
				sum += s.Share
			}
			if r.Target == "" && sum <= 0 {
				return nil, invalid("route %s: split: the shares sum to 0", r.Name)
			}
		}
	}
	drop := func(prefix string, list []removal) error {
		for _, r := range list {
			name := prefix + r.Name
			if seen[name] {
				return invalid("%s: both set and removed", name)
			}
			out.removals = append(out.removals, Record{Name: name, Gen: r.Generation, Dropped: true})
		}
		return nil
	}
	if err := drop(routePrefix, c.Remove.Routes); err != nil {
		return nil, err
	}
	if err := drop(servicePrefix, c.Remove.Services); err != nil {
		return nil, err
	}
	if err := drop(tenantPrefix, c.Remove.Tenants); err != nil {
		return nil, err
	}
	return out, nil
}
