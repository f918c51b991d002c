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

// This file parses configuration requests and checks what can be checked without the existing items.

//go:embed schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *jsonschema.Schema { return settings.MustCompileSchema("catalogue.json", schemaText) })

// request is the body of a configuration request.
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

// removal identifies an item to remove. It also serves to read the name and generation of other items.
type removal struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// itemPath matches the path of an item in a message of the schema validation.
var itemPath = regexp.MustCompile(`upsert\.(services|tenants|domains)\.(\d+)(?:\.hostRoutes\.(\d+))?`)

// nameItems replaces the paths of items in a validation message by their kinds and names.
func nameItems(body []byte, text string) string {
	var parsed request
	if json.Unmarshal(body, &parsed) != nil {
		return text
	}
	itemName := func(list []json.RawMessage, index string, kind, path string) string {
		var item removal
		if i, err := strconv.Atoi(index); err == nil && i < len(list) {
			_ = json.Unmarshal(list[i], &item)
		}
		if item.Name == "" {
			return path
		}
		return kind + " " + item.Name
	}
	return itemPath.ReplaceAllStringFunc(text, func(path string) string {
		match := itemPath.FindStringSubmatch(path)
		if match[1] == "services" {
			return itemName(parsed.Upsert.Services, match[2], "service", path)
		}
		if match[1] == "tenants" {
			return itemName(parsed.Upsert.Tenants, match[2], "tenant", path)
		}
		if i, _ := strconv.Atoi(match[2]); match[3] != "" && i < len(parsed.Upsert.Domains) {
			return itemName(parsed.Upsert.Domains[i].HostRoutes, match[3], "route", path)
		}
		return path
	})
}

// invalid returns an error of kind InvalidConfig.
func invalid(format string, args ...any) error {
	return apierror.New(apierror.InvalidConfig, format, args...)
}

// ParseRequest parses a configuration request and validates it on its own. Change.Apply checks what depends
// on the existing items.
func ParseRequest(body []byte) (*Change, error) {
	if err := settings.ValidateSchema(schema(), body); err != nil {
		return nil, invalid("%s", nameItems(body, err.Error()))
	}
	var parsed request
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, invalid("%v", err)
	}
	change := &Change{}
	seen := map[string]bool{}
	addUpsert := func(name, host string, raw json.RawMessage) error {
		var header removal
		if err := json.Unmarshal(raw, &header); err != nil {
			return invalid("%s: %v", name, err)
		}
		if name != limitsName { // there is only one limits item, whatever name it carries
			name += header.Name
		}
		if seen[name] {
			return invalid("%s: named twice", name)
		}
		seen[name] = true
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			return invalid("%s: %v", name, err)
		}
		change.upserts = append(change.upserts, Record{Name: name, Gen: header.Generation,
			Data: encode(Item{Host: host, Raw: compact.Bytes(), Status: Status{Phase: PhaseNew, Shard: -1}})})
		return nil
	}
	for _, raw := range parsed.Upsert.Services {
		if err := addUpsert(servicePrefix, "", raw); err != nil {
			return nil, err
		}
	}
	for _, raw := range parsed.Upsert.Tenants {
		if err := addUpsert(tenantPrefix, "", raw); err != nil {
			return nil, err
		}
	}
	if len(parsed.Upsert.Limits) > 0 && string(parsed.Upsert.Limits) != "null" {
		if err := addUpsert(limitsName, "", parsed.Upsert.Limits); err != nil {
			return nil, err
		}
	}
	for _, domain := range parsed.Upsert.Domains {
		for _, raw := range domain.HostRoutes {
			if err := addUpsert(routePrefix, strings.ToLower(domain.Authority), raw); err != nil {
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
	addRemovals := func(prefix string, entries []removal) error {
		for _, entry := range entries {
			name := prefix + entry.Name
			if seen[name] {
				return invalid("%s: both set and removed", name)
			}
			change.removals = append(change.removals, Record{Name: name, Gen: entry.Generation, Dropped: true})
		}
		return nil
	}
	if err := addRemovals(routePrefix, parsed.Remove.Routes); err != nil {
		return nil, err
	}
	if err := addRemovals(servicePrefix, parsed.Remove.Services); err != nil {
		return nil, err
	}
	if err := addRemovals(tenantPrefix, parsed.Remove.Tenants); err != nil {
		return nil, err
	}
	return change, nil
}
