package settings

import (
	"strings"
	"testing"
)

const good = `
node = "edge-1"
ip = "10.0.0.1"
zone = "north"
internalPorts = [7000, 7015]
seedNodes = ["10.0.0.3:8000", "10.0.0.1:8000"]
unknown = "is ignored"
[bind]
control = "10.0.0.1:8000"
[limits]
memoryMb = 284
maxFds = 4100
[bounds]
contactS = 3
ackS = 5
drainS = 2.5
graceS = 6
configApplyS = 2.5
retryRatio = 0.2
retryWindowS = 10
retrySlack = 62
warmupOvershoot = 1.5
warmupSlack = 5
evacuateS = 5
`

func TestSettings(t *testing.T) {
	cases := []struct {
		name, from, to string
		named          string // what the error has to name; "" for none
	}{
		{"as they come", "", "", ""},
		{"a field is missing", "contactS = 3\n", "", "contactS"},
		{"a table is missing", "[limits]\nmemoryMb = 284\nmaxFds = 4100\n", "", "limits"},
		{"out of range", "drainS = 2.5", "drainS = 0", "bounds.drainS"},
		{"a wrong type", "maxFds = 4100", `maxFds = "many"`, "limits.maxFds"},
		{"a port that is none", "[7000, 7015]", "[7000, 99999]", "internalPorts.1"},
		{"too few ports", "[7000, 7015]", "[7000, 7000]", "internalPorts"},
		{"an address without a port", `"10.0.0.3:8000"`, `"10.0.0.3"`, "seedNodes.0"},
		{"an address with a port that is none", `"10.0.0.3:8000"`, `"10.0.0.3:70000"`, "10.0.0.3:70000"},
		{"no seeds", `["10.0.0.3:8000", "10.0.0.1:8000"]`, "[]", "seedNodes"},
		{"not TOML", "[bind]", "[bind", "TOML"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(good, c.from) {
				t.Fatal("the case changes nothing")
			}
			s, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)))
			if c.named == "" {
				if err != nil || s.Bounds.RetrySlack != 62 || s.SeedControlNodes()[0] != "10.0.0.1:7001" {
					t.Fatalf("%v %+v", err, s)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.named) {
				t.Fatalf("error %q does not name %q", err, c.named)
			}
		})
	}
}

func TestWarnings(t *testing.T) {
	const disk, zones = "dataDir = \"/data/a\"\n", "[zones]\nn = \"east\"\ns = \"east\"\nw = \"west\"\n"
	cases := []struct {
		name, top, tables string
		warned            []string // what the lines begin with
	}{
		{"a disk", disk, "", nil},
		{"no disk", "", "", []string{"dataDir: "}},
		{"nor for a registry", "", "[bind]\ncontrol = \"10.0.0.1:8000\"\ndirectory = \"10.0.0.1:8001\"\n", []string{"dataDir: ", "bind.directory: "}},
		{"one zone of three", disk, zones + "[faultBudget]\nmachines = 1\nzones = 1\nregions = 0\n", nil},
		{"two zones of three", disk, zones + "[faultBudget]\nzones = 2\n", []string{"faultBudget.zones: to bear the loss of 2, 5 are needed, and there are 3"}},
		{"one region of two", disk, zones + "[faultBudget]\nregions = 1\n", []string{"faultBudget.regions: to bear the loss of 1, 3 are needed, and there are 2"}},
		{"zones that aren't named", disk, "[faultBudget]\nzones = 1\n", nil},
		{"one machine of two", disk, "[faultBudget]\nmachines = 1\n", []string{"faultBudget.machines: to bear the loss of 1, 3 are needed, and there are 2"}},
		{"as many machines as may be", disk, "[faultBudget]\nmachines = 3\n", nil},
		{"a gateway", "", "[bind]\nfront = \"10.0.0.1:8000\"\n", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := good
			if strings.Contains(c.tables, "[bind]") {
				text = strings.Replace(text, "[bind]\ncontrol = \"10.0.0.1:8000\"\n", "", 1)
			}
			if len(c.warned) == 0 || !strings.Contains(c.warned[0], "machines") {
				text = strings.Replace(text, `"10.0.0.1:8000"]`, `"10.0.0.1:8000", "10.0.0.2:8000"]`, 1)
			}
			s, err := Parse([]byte(c.top + text + c.tables))
			if err != nil {
				t.Fatal(err)
			}
			got := s.Warnings()
			ok := len(got) == len(c.warned)
			for i := 0; ok && i < len(got); i++ {
				ok = strings.HasPrefix(got[i], c.warned[i])
			}
			if !ok {
				t.Errorf("warned of %q, want %q", got, c.warned)
			}
		})
	}
	for _, wrong := range []string{"[faultBudget]\nzones = -1\n", "[faultBudget]\nmachines = 1.5\n"} {
		if _, err := Parse([]byte(good + wrong)); err == nil || !strings.Contains(err.Error(), "faultBudget") {
			t.Errorf("%q: %v", wrong, err)
		}
	}
	s, err := Parse([]byte(strings.Replace(good, "evacuateS = 5", "evacuateS = 5\ncatchUpS = 4", 1) + "[faultBudget]\nmachines = 1\nzones = 2\nregions = 3\n"))
	if err != nil || s.Bounds.CatchUpS != 4 || s.FaultBudget != (FaultBudget{1, 2, 3}) {
		t.Errorf("%v %+v", err, s)
	}
}

// The registry, the leases on keys and the quotas are each there where the settings ask for them, and
// nowhere else: none of them follows from another.
func TestWhatADeploymentHas(t *testing.T) {
	for name, c := range map[string]struct {
		settings                        Settings
		registry, boundsRevoking, quota bool
	}{
		"nothing":             {Settings{Ingress: "vip"}, false, false, false},
		"a registry":          {Settings{Ingress: "registry"}, true, false, false},
		"keys, no registry":   {Settings{Ingress: "vip", Bounds: Bounds{RevokeS: 5, RevocationGlobal: true}}, false, true, false},
		"keys in touch only":  {Settings{Ingress: "registry", Bounds: Bounds{RevokeS: 5}}, true, false, false},
		"no time for keys":    {Settings{Ingress: "registry", Bounds: Bounds{RevocationGlobal: true}}, true, false, false},
		"quotas, no registry": {Settings{Ingress: "vip", Bounds: Bounds{QuotaWindowS: 5}}, false, false, true},
		"all":                 {Settings{Ingress: "registry", Bounds: Bounds{RevokeS: 5, RevocationGlobal: true, QuotaWindowS: 5}}, true, true, true},
	} {
		s := c.settings
		if s.HasRegistry() != c.registry || s.BoundsRevocation() != c.boundsRevoking || s.HasQuotas() != c.quota {
			t.Errorf("%s: registry %v, revocation %v, quotas %v", name, s.HasRegistry(), s.BoundsRevocation(), s.HasQuotas())
		}
		if lease, hold := s.KeyLease(), s.HoldRevocation(); (lease > 0) != c.boundsRevoking || !c.boundsRevoking && hold != 0 {
			t.Errorf("%s: lease %v, hold %v", name, lease, hold)
		}
	}
}

func TestLeasesOnKeys(t *testing.T) {
	s := Settings{Bounds: Bounds{AckS: 8, RevokeS: 5, RevocationGlobal: true}}
	// A gateway that has not heard of a removal stops before revokeS after the answer.
	if lease, hold := s.KeyLease(), s.HoldRevocation(); lease >= hold+Seconds(s.Bounds.RevokeS) || hold >= Seconds(s.Bounds.AckS) {
		t.Errorf("lease %v, hold %v", lease, hold)
	}
	s.Zones = map[string]string{"z": "r"}
	if s.RegionOf("z") != "r" || s.RegionOf("other") != "other" {
		t.Error("regions of zones")
	}
}
