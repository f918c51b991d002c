package settings

import (
	"strings"
	"testing"
)

const validSettings = `
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

func TestParse(t *testing.T) {
	cases := []struct {
		name, from, to string
		wantInError    string // text in the error; "": no error
	}{
		{"unchanged", "", "", ""},
		{"missing field", "contactS = 3\n", "", "contactS"},
		{"missing table", "[limits]\nmemoryMb = 284\nmaxFds = 4100\n", "", "limits"},
		{"out of range", "drainS = 2.5", "drainS = 0", "bounds.drainS"},
		{"wrong type", "maxFds = 4100", `maxFds = "many"`, "limits.maxFds"},
		{"port out of range", "[7000, 7015]", "[7000, 99999]", "internalPorts.1"},
		{"too few ports", "[7000, 7015]", "[7000, 7000]", "internalPorts"},
		{"address without a port", `"10.0.0.3:8000"`, `"10.0.0.3"`, "seedNodes.0"},
		{"address with a port out of range", `"10.0.0.3:8000"`, `"10.0.0.3:70000"`, "10.0.0.3:70000"},
		{"no seeds", `["10.0.0.3:8000", "10.0.0.1:8000"]`, "[]", "seedNodes"},
		{"not TOML", "[bind]", "[bind", "TOML"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(validSettings, c.from) {
				t.Fatal("the text to replace is not in the settings")
			}
			s, err := Parse([]byte(strings.Replace(validSettings, c.from, c.to, 1)))
			if c.wantInError == "" {
				if err != nil || s.Bounds.RetrySlack != 62 || s.SeedControlAddresses()[0] != "10.0.0.1:7001" {
					t.Fatalf("%v %+v", err, s)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.wantInError) {
				t.Fatalf("error %q does not name %q", err, c.wantInError)
			}
		})
	}
}

func TestWarnings(t *testing.T) {
	const dataDir, zones = "dataDir = \"/data/a\"\n", "[zones]\nn = \"east\"\ns = \"east\"\nw = \"west\"\n"
	cases := []struct {
		name, topLevel, tables string
		wantPrefixes           []string // prefixes of the expected warnings
	}{
		{"with dataDir", dataDir, "", nil},
		{"without dataDir", "", "", []string{"dataDir: "}},
		{"registry without dataDir", "", "[bind]\ncontrol = \"10.0.0.1:8000\"\ndirectory = \"10.0.0.1:8001\"\n", []string{"dataDir: ", "bind.directory: "}},
		{"loss of one zone of three", dataDir, zones + "[faultBudget]\nmachines = 1\nzones = 1\nregions = 0\n", nil},
		{"loss of two zones of three", dataDir, zones + "[faultBudget]\nzones = 2\n", []string{"faultBudget.zones: to bear the loss of 2, 5 are needed, and there are 3"}},
		{"loss of one region of two", dataDir, zones + "[faultBudget]\nregions = 1\n", []string{"faultBudget.regions: to bear the loss of 1, 3 are needed, and there are 2"}},
		{"zones not listed", dataDir, "[faultBudget]\nzones = 1\n", nil},
		{"loss of one machine of two", dataDir, "[faultBudget]\nmachines = 1\n", []string{"faultBudget.machines: to bear the loss of 1, 3 are needed, and there are 2"}},
		{"number of machines not known", dataDir, "[faultBudget]\nmachines = 3\n", nil},
		{"gateway only", "", "[bind]\nfront = \"10.0.0.1:8000\"\n", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := validSettings
			if strings.Contains(c.tables, "[bind]") {
				text = strings.Replace(text, "[bind]\ncontrol = \"10.0.0.1:8000\"\n", "", 1)
			}
			if len(c.wantPrefixes) == 0 || !strings.Contains(c.wantPrefixes[0], "machines") {
				text = strings.Replace(text, `"10.0.0.1:8000"]`, `"10.0.0.1:8000", "10.0.0.2:8000"]`, 1)
			}
			s, err := Parse([]byte(c.topLevel + text + c.tables))
			if err != nil {
				t.Fatal(err)
			}
			got := s.Warnings()
			ok := len(got) == len(c.wantPrefixes)
			for i := 0; ok && i < len(got); i++ {
				ok = strings.HasPrefix(got[i], c.wantPrefixes[i])
			}
			if !ok {
				t.Errorf("warnings %q, want %q", got, c.wantPrefixes)
			}
		})
	}
	for _, invalid := range []string{"[faultBudget]\nzones = -1\n", "[faultBudget]\nmachines = 1.5\n"} {
		if _, err := Parse([]byte(validSettings + invalid)); err == nil || !strings.Contains(err.Error(), "faultBudget") {
			t.Errorf("%q: %v", invalid, err)
		}
	}
	s, err := Parse([]byte(strings.Replace(validSettings, "evacuateS = 5", "evacuateS = 5\ncatchUpS = 4", 1) + "[faultBudget]\nmachines = 1\nzones = 2\nregions = 3\n"))
	if err != nil || s.Bounds.CatchUpS != 4 || s.FaultBudget != (FaultBudget{1, 2, 3}) {
		t.Errorf("%v %+v", err, s)
	}
}

// The registry, leases on API keys and quotas are enabled by separate settings, and none of them
// enables another.
func TestFeaturesFollowSettings(t *testing.T) {
	for name, c := range map[string]struct {
		settings                          Settings
		registry, boundsRevocation, quota bool
	}{
		"nothing":                              {Settings{Ingress: "vip"}, false, false, false},
		"registry":                             {Settings{Ingress: "registry"}, true, false, false},
		"bounded revocation, no registry":      {Settings{Ingress: "vip", Bounds: Bounds{RevokeS: 5, RevocationGlobal: true}}, false, true, false},
		"revocation bounded with contact only": {Settings{Ingress: "registry", Bounds: Bounds{RevokeS: 5}}, true, false, false},
		"no revokeS":                           {Settings{Ingress: "registry", Bounds: Bounds{RevocationGlobal: true}}, true, false, false},
		"quotas, no registry":                  {Settings{Ingress: "vip", Bounds: Bounds{QuotaWindowS: 5}}, false, false, true},
		"all":                                  {Settings{Ingress: "registry", Bounds: Bounds{RevokeS: 5, RevocationGlobal: true, QuotaWindowS: 5}}, true, true, true},
	} {
		s := c.settings
		if s.HasRegistry() != c.registry || s.RevocationBounded() != c.boundsRevocation || s.HasQuotas() != c.quota {
			t.Errorf("%s: registry %v, revocation %v, quotas %v", name, s.HasRegistry(), s.RevocationBounded(), s.HasQuotas())
		}
		if lease, ackDelay := s.KeyLeaseDuration(), s.RevocationAckDelay(); (lease > 0) != c.boundsRevocation || !c.boundsRevocation && ackDelay != 0 {
			t.Errorf("%s: lease %v, hold %v", name, lease, ackDelay)
		}
	}
}

func TestKeyLease(t *testing.T) {
	s := Settings{Bounds: Bounds{AckS: 8, RevokeS: 5, RevocationGlobal: true}}
	// A gateway that has not received a revocation stops accepting the key less than revokeS after
	// the acknowledgement, and the acknowledgement is sent within ackS.
	if lease, ackDelay := s.KeyLeaseDuration(), s.RevocationAckDelay(); lease >= ackDelay+Seconds(s.Bounds.RevokeS) || ackDelay >= Seconds(s.Bounds.AckS) {
		t.Errorf("lease %v, hold %v", lease, ackDelay)
	}
	s.Zones = map[string]string{"z": "r"}
	if s.RegionOf("z") != "r" || s.RegionOf("other") != "other" {
		t.Error("wrong region of a zone")
	}
}
