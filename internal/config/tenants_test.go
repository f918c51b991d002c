package config

import (
	"fmt"
	"strings"
	"testing"
)

func tenant(name, keys string, gen int, more string) string {
	return fmt.Sprintf(`{"upsert":{"tenants":[{"name":%q,"apiKeys":[%s],"generation":%d%s}]}}`, name, keys, gen, more)
}

// take applies a call and returns what changed.
func applyRequest(t *testing.T, records map[string]Record, body string) ([]Record, error) {
	t.Helper()
	c, err := Read([]byte(body))
	if err != nil {
		return nil, err
	}
	changes, err := c.Apply(records, &Reader{})
	for _, r := range changes {
		records[r.Name] = r
	}
	return changes, err
}

func TestTenants(t *testing.T) {
	records := map[string]Record{}
	for _, c := range []struct{ name, body, refused string }{
		{"one tenant", tenant("one", `"k1","k2"`, 1, `,"ratePerS":5,"burst":5,"residency":["north"]`), ""},
		{"another", tenant("two", `"k3"`, 1, ""), ""},
		{"a key that another has", tenant("two", `"k3","k1"`, 2, ""), "they share a key"},
		{"two that share a key in one call", `{"upsert":{"tenants":[{"name":"x","apiKeys":["q"],"generation":1},{"name":"y","apiKeys":["q"],"generation":1}]}}`, "they share a key"},
		{"a rate below 0", tenant("two", `"k3"`, 2, `,"ratePerS":-1`), "tenant two"},
		{"a key moves in one call", `{"upsert":{"tenants":[{"name":"one","apiKeys":["k2"],"generation":2},{"name":"two","apiKeys":["k3","k1"],"generation":2}]}}`, ""},
	} {
		_, err := applyRequest(t, records, c.body)
		if c.refused == "" && err != nil || c.refused != "" && (err == nil || !strings.Contains(err.Error(), c.refused)) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	table := (&Builder{}).Build(records)
	if !table.Tenants || table.Readers["k1"].Name != "two" || table.Readers["k2"].Name != "one" || table.Readers["q"] != nil {
		t.Errorf("readers: %v", table.Readers)
	}
	if got := string(Render(records)); !strings.Contains(got, `"tenants":[{"name":"one"`) {
		t.Errorf("read back: %s", got)
	}
	if _, err := applyRequest(t, records, `{"remove":{"tenants":[{"name":"one","generation":3},{"name":"two","generation":3}]}}`); err != nil {
		t.Fatal(err)
	}
	if table = (&Builder{}).Build(records); !table.Tenants || len(table.Readers) > 0 {
		t.Error("without its last tenant the gateway is open to all")
	}
	if got := (&Builder{}).Build(map[string]Record{}); got.Tenants {
		t.Error("a gateway that never had tenants asks for keys")
	}
}

func TestRevokes(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		want bool
	}{
		"a key is added":   {tenant("one", `"a","b","c"`, 2, ""), false},
		"a key goes":       {tenant("one", `"a"`, 2, ""), true},
		"a key is changed": {tenant("one", `"a","c"`, 2, ""), true},
		"the tenant goes":  {`{"remove":{"tenants":[{"name":"one","generation":2}]}}`, true},
		"another comes":    {tenant("two", `"c"`, 1, ""), false},
		"an old version":   {tenant("one", `"a"`, 0, ""), false},
	} {
		records := map[string]Record{}
		if _, err := applyRequest(t, records, tenant("one", `"a","b"`, 1, "")); err != nil {
			t.Fatal(err)
		}
		before := map[string]Record{}
		for k, v := range records {
			before[k] = v
		}
		changes, err := applyRequest(t, records, c.body)
		if err != nil || Revokes(before, changes, &Reader{}) != c.want {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestRegions(t *testing.T) {
	for _, c := range []struct {
		route, tenant, want []string
		bound               bool
	}{
		{nil, nil, nil, false},
		{[]string{"n"}, nil, []string{"n"}, true},
		{nil, []string{"s"}, []string{"s"}, true},
		{[]string{"n", "s"}, []string{"s", "e"}, []string{"s"}, true},
		{[]string{"n"}, []string{"s"}, nil, true},
	} {
		if got, bound := Regions(c.route, c.tenant); fmt.Sprint(got) != fmt.Sprint(c.want) || bound != c.bound {
			t.Errorf("%v and %v: %v %v", c.route, c.tenant, got, bound)
		}
	}
}
