package config

import (
	"fmt"
	"strings"
	"testing"
)

func tenantRequest(name, keys string, generation int, fields string) string {
	return fmt.Sprintf(`{"upsert":{"tenants":[{"name":%q,"apiKeys":[%s],"generation":%d%s}]}}`, name, keys, generation, fields)
}

// applyRequest applies a request and returns what changed.
func applyRequest(t *testing.T, records map[string]Record, body string) ([]Record, error) {
	t.Helper()
	change, err := ParseRequest([]byte(body))
	if err != nil {
		return nil, err
	}
	changes, err := change.Apply(records, &Decoder{})
	for _, record := range changes {
		records[record.Name] = record
	}
	return changes, err
}

func TestTenants(t *testing.T) {
	records := map[string]Record{}
	for _, step := range []struct{ name, body, refused string }{
		{"one tenant", tenantRequest("one", `"k1","k2"`, 1, `,"ratePerS":5,"burst":5,"residency":["north"]`), ""},
		{"another", tenantRequest("two", `"k3"`, 1, ""), ""},
		{"a key of another tenant", tenantRequest("two", `"k3","k1"`, 2, ""), "they share a key"},
		{"two tenants that share a key in one request", `{"upsert":{"tenants":[{"name":"x","apiKeys":["q"],"generation":1},{"name":"y","apiKeys":["q"],"generation":1}]}}`, "they share a key"},
		{"a rate below 0", tenantRequest("two", `"k3"`, 2, `,"ratePerS":-1`), "tenant two"},
		{"a key moves in one request", `{"upsert":{"tenants":[{"name":"one","apiKeys":["k2"],"generation":2},{"name":"two","apiKeys":["k3","k1"],"generation":2}]}}`, ""},
	} {
		_, err := applyRequest(t, records, step.body)
		if step.refused == "" && err != nil || step.refused != "" && (err == nil || !strings.Contains(err.Error(), step.refused)) {
			t.Errorf("%s: %v", step.name, err)
		}
	}
	table := (&Builder{}).Build(records)
	if !table.RequiresAPIKey || table.TenantByKey["k1"].Name != "two" || table.TenantByKey["k2"].Name != "one" || table.TenantByKey["q"] != nil {
		t.Errorf("tenants by key: %v", table.TenantByKey)
	}
	if got := string(Render(records)); !strings.Contains(got, `"tenants":[{"name":"one"`) {
		t.Errorf("rendered: %s", got)
	}
	if _, err := applyRequest(t, records, `{"remove":{"tenants":[{"name":"one","generation":3},{"name":"two","generation":3}]}}`); err != nil {
		t.Fatal(err)
	}
	if table = (&Builder{}).Build(records); !table.RequiresAPIKey || len(table.TenantByKey) > 0 {
		t.Error("after the last tenant is removed, requests need no key")
	}
	if got := (&Builder{}).Build(map[string]Record{}); got.RequiresAPIKey {
		t.Error("requests need a key although there never were tenants")
	}
}

func TestRevokesAPIKey(t *testing.T) {
	for name, testCase := range map[string]struct {
		body string
		want bool
	}{
		"a key is added":          {tenantRequest("one", `"a","b","c"`, 2, ""), false},
		"a key is removed":        {tenantRequest("one", `"a"`, 2, ""), true},
		"a key is changed":        {tenantRequest("one", `"a","c"`, 2, ""), true},
		"the tenant is removed":   {`{"remove":{"tenants":[{"name":"one","generation":2}]}}`, true},
		"another tenant is added": {tenantRequest("two", `"c"`, 1, ""), false},
		"an old version":          {tenantRequest("one", `"a"`, 0, ""), false},
	} {
		records := map[string]Record{}
		if _, err := applyRequest(t, records, tenantRequest("one", `"a","b"`, 1, "")); err != nil {
			t.Fatal(err)
		}
		before := map[string]Record{}
		for k, v := range records {
			before[k] = v
		}
		changes, err := applyRequest(t, records, testCase.body)
		if err != nil || RevokesAPIKey(before, changes, &Decoder{}) != testCase.want {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestRegions(t *testing.T) {
	for _, testCase := range []struct {
		route, tenant, want []string
		restricted          bool
	}{
		{nil, nil, nil, false},
		{[]string{"n"}, nil, []string{"n"}, true},
		{nil, []string{"s"}, []string{"s"}, true},
		{[]string{"n", "s"}, []string{"s", "e"}, []string{"s"}, true},
		{[]string{"n"}, []string{"s"}, nil, true},
	} {
		if got, restricted := Regions(testCase.route, testCase.tenant); fmt.Sprint(got) != fmt.Sprint(testCase.want) || restricted != testCase.restricted {
			t.Errorf("%v and %v: %v %v", testCase.route, testCase.tenant, got, restricted)
		}
	}
}
