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

type request struct {
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
var itemPath = regexp.MustCompile(`upsert\.(services|tenants|domains)\.(\d+)(?:\.hostRoutes\.(\d+))?`)

// named puts the names of the items at fault in the place of their numbers.
func nameItems(body []byte, text string) string {
	var parsed request
	if json.Unmarshal(body, &parsed) != nil {
		return text
	}
	pick := func(list []json.RawMessage, index string, kind, place string) string {
		var item removal
		if i, err := strconv.Atoi(index); err == nil && i < len(list) {
			_ = json.Unmarshal(list[i], &item)
		}
		if item.Name == "" {
			return place
		}
		return kind + " " + item.Name
	}
	return itemPath.ReplaceAllStringFunc(text, func(place string) string {
		match := itemPath.FindStringSubmatch(place)
		if match[1] == "services" {
			return pick(parsed.Upsert.Services, match[2], "service", place)
		}
		if match[1] == "tenants" {
			return pick(parsed.Upsert.Tenants, match[2], "tenant", place)
		}
		if i, _ := strconv.Atoi(match[2]); match[3] != "" && i < len(parsed.Upsert.Domains) {
			return pick(parsed.Upsert.Domains[i].HostRoutes, match[3], "route", place)
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
		return nil, invalid("%s", nameItems(body, err.Error()))
	}
	var parsed request
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, invalid("%v", err)
	}
	change := &Change{}
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
		change.upserts = append(change.upserts, Record{Name: name, Gen: head.Generation,
			Data: encode(Item{Host: host, Raw: compact.Bytes(), Status: Status{Phase: PhaseNew, Shard: -1}})})
		return nil
	}
	for _, raw := range parsed.Upsert.Services {
		if err := add(servicePrefix, "", raw); err != nil {
			return nil, err
		}
	}
	for _, raw := range parsed.Upsert.Tenants {
		if err := add(tenantPrefix, "", raw); err != nil {
			return nil, err
		}
	}
	if len(parsed.Upsert.Limits) > 0 && string(parsed.Upsert.Limits) != "null" {
		if err := add(limitsName, "", parsed.Upsert.Limits); err != nil {
			return nil, err
		}
	}
	for _, domain := range parsed.Upsert.Domains {
		for _, raw := range domain.HostRoutes {
			if err := add(routePrefix, strings.ToLower(domain.Authority), raw); err != nil {
				return nil, err
			}
			var route Route
			if err := json.Unmarshal(raw, &route); err != nil {
				return nil, invalid("route %s: %v", route.Name, err)
			}
			shareSum := 0.0
			for _, share := range route.Split {
				shareSum += share.Share
			}
			if route.Target == "" && shareSum <= 0 {
				return nil, invalid("route %s: split: the shares sum to 0", route.Name)
			}
		}
	}
	remove := func(prefix string, list []removal) error {
		for _, route := range list {
			name := prefix + route.Name
			if seen[name] {
				return invalid("%s: both set and removed", name)
			}
			change.removals = append(change.removals, Record{Name: name, Gen: route.Generation, Dropped: true})
		}
		return nil
	}
	if err := remove(routePrefix, parsed.Remove.Routes); err != nil {
		return nil, err
	}
	if err := remove(servicePrefix, parsed.Remove.Services); err != nil {
		return nil, err
	}
	if err := remove(tenantPrefix, parsed.Remove.Tenants); err != nil {
		return nil, err
	}
	return change, nil
}
