// Package settings holds the settings of one process: their shape, their check
// against a schema, and the durations that the rest of the program derives
// from the bounds in them.
package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// PathVariable names the environment variable that holds the settings' path.
const PathVariable = "MADDERWING_SETTINGS"

//go:embed schema.json
var schemaText []byte

// Settings is what one process is told, as far as it is used. The schema checks
// what is not used as well.
type Settings struct {
	Node          string            `toml:"node"`
	Role          string            `toml:"role"`
	Serves        []string          `toml:"serves"`
	IP            string            `toml:"ip"`
	Zone          string            `toml:"zone"`
	Region        string            `toml:"region"`
	InternalPorts []int             `toml:"internalPorts"`
	SeedNodes     []string          `toml:"seedNodes"`
	Bootstrap     bool              `toml:"bootstrap"`
	InQuorum      bool              `toml:"inQuorum"`
	DataDir       string            `toml:"dataDir"`
	Ingress       string            `toml:"ingress"`
	Rollout       string            `toml:"rollout"`
	Zones         map[string]string `toml:"zones"`
	Bind          Bind              `toml:"bind"`
	Limits        Limits            `toml:"limits"`
	FaultBudget   FaultBudget       `toml:"faultBudget"`
	Bounds        Bounds            `toml:"bounds"`
	CloudAPI      CloudAPI          `toml:"cloudApi"`
}

// Bind holds the addresses on which a process serves.
type Bind struct {
	Front     string `toml:"front"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control"`
	Directory string `toml:"directory"`
}

// Limits holds what the machine grants to a process.
type Limits struct {
	CPUFraction float64 `toml:"cpuFraction"`
	MemoryMb    float64 `toml:"memoryMb"`
	MaxFds      int     `toml:"maxFds"`
	LinkMbps    float64 `toml:"linkMbps"`
	DiskMb      float64 `toml:"diskMb"`
}

// FaultBudget says what may be lost at once with all rules kept: so many machines that
// count for the quorum, or zones, or regions.
type FaultBudget struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// Bounds are the figures that the rules are judged by, in seconds where the
// name ends in S.
type Bounds struct {
	ContactS     float64 `toml:"contactS"`
	AckS         float64 `toml:"ackS"`
	DrainS       float64 `toml:"drainS"`
	GraceS       float64 `toml:"graceS"`
	ConfigApplyS float64 `toml:"configApplyS"`
	RetryRatio   float64 `toml:"retryRatio"`
	RetryWindowS float64 `toml:"retryWindowS"`
	RetrySlack   float64 `toml:"retrySlack"`
	EvacuateS    float64 `toml:"evacuateS"`
	RecoveryS    float64 `toml:"recoveryS"`
	// CatchUpS is for how long a machine that is back still counts as lost; 0: not told.
	CatchUpS float64 `toml:"catchUpS"`
	// RetentionS is for how long watches can resume from a revision, and ReleaseS how soon
	// a lock is free after its lease. 0: not told; see Retention.
	RetentionS float64 `toml:"retentionS"`
	ReleaseS   float64 `toml:"releaseS"`

	// Only where versions are rolled out.
	ExposureShare float64 `toml:"exposureShare"`
	RollbackS     float64 `toml:"rollbackS"`

	// Only where there are tenants or a registry.
	RevocationGlobal bool    `toml:"revocationGlobal"`
	RevokeS          float64 `toml:"revokeS"`
	QuotaWindowS     float64 `toml:"quotaWindowS"`
	QuotaOvershoot   float64 `toml:"quotaOvershoot"`
	QuotaSlack       float64 `toml:"quotaSlack"`
	TTLMaxS          float64 `toml:"ttl_max_s"`
}

// CloudAPI tells where the platform's list of upstreams is.
type CloudAPI struct {
	Address  string  `toml:"address"`
	RatePerS float64 `toml:"ratePerS"`
	MaxLagS  float64 `toml:"maxLagS"`
}

// Seconds turns a figure of the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Beat is the step of everything that nodes do at intervals: a sixth of the
// time for which a calm machine must have been in touch.
func (s *Settings) Beat() time.Duration { return Seconds(s.Bounds.ContactS / 6) }

// Rollback is the time, in seconds, within which a bad version gets nothing more, and
// Exposure the share of requests that it may have had; where the settings are silent,
// ackS and a tenth.
func (s *Settings) Rollback() float64 {
	if s.Bounds.RollbackS > 0 {
		return s.Bounds.RollbackS
	}
	return s.Bounds.AckS
}

// Exposure: see Rollback.
func (s *Settings) Exposure() float64 {
	if s.Bounds.ExposureShare > 0 {
		return s.Bounds.ExposureShare
	}
	return 0.1
}

// retentionContacts is the retention, in contactS, where the settings name none.
const retentionContacts = 4

// Retention is for how long watches can resume from a revision that they were given.
func (s *Settings) Retention() time.Duration {
	if s.Bounds.RetentionS > 0 {
		return Seconds(s.Bounds.RetentionS)
	}
	return Seconds(retentionContacts * s.Bounds.ContactS)
}

// HasRegistry says that clients ask a registry where to go.
func (s *Settings) HasRegistry() bool { return s.Ingress == "registry" }

// BoundsRevocation says that a key that was taken away may be used on no machine, in touch or not,
// for longer than revokeS after that was acknowledged: gateways need leases on keys.
func (s *Settings) BoundsRevocation() bool { return s.Bounds.RevocationGlobal && s.Bounds.RevokeS > 0 }

// HasQuotas says that the rate of a tenant's requests is bounded over all machines.
func (s *Settings) HasQuotas() bool { return s.Bounds.QuotaWindowS > 0 }

// RegionOf is the region of a zone; a zone that is not listed is its own.
func (s *Settings) RegionOf(zone string) string {
	if r, ok := s.Zones[zone]; ok {
		return r
	}
	return zone
}

// KeyLease is how long a gateway may go on using keys that it cannot have confirmed,
// and HoldRevocation how long the acknowledgement of a removal waits for that:
// leases are longer than revokeS by the time that the acknowledgement is held,
// less a margin.
func (s *Settings) KeyLease() time.Duration {
	if !s.BoundsRevocation() {
		return 0
	}
	return Seconds(s.Bounds.RevokeS*0.9) + s.HoldRevocation()
}

// HoldRevocation: see KeyLease. An order is answered within ackS all the same.
func (s *Settings) HoldRevocation() time.Duration {
	if !s.BoundsRevocation() {
		return 0
	}
	return Seconds(s.Bounds.AckS * 0.4)
}

// FrontPort is the port that serves clients.
func (s *Settings) FrontPort() uint16 {
	_, port, _ := net.SplitHostPort(s.Bind.Front)
	n, _ := strconv.ParseUint(port, 10, 16)
	return uint16(n)
}

// GatewayAddress and ControlAddress are where the two kinds of process listen for
// other nodes on a machine.
func (s *Settings) GatewayAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]))
}

// ControlAddress is the address for other nodes of the control node on a machine.
func (s *Settings) ControlAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]+1))
}

// SeedControlNodes are the addresses for other nodes of the seeds, sorted.
func (s *Settings) SeedControlNodes() []string {
	var out []string
	for _, seed := range s.SeedNodes {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, s.ControlAddress(host))
		}
	}
	sort.Strings(out)
	return out
}

// seedsNamed is how many seeds the settings name, if there are as many machines that
// serve control.
const seedsNamed = 3

// Warnings are lines on settings that can be used, but not as may be meant. Of the
// fault budget they name only what no number of control nodes could bear: what is left must
// be a majority.
func (s *Settings) Warnings() (out []string) {
	if s.Bind.Control != "" && s.DataDir == "" {
		out = append(out, "dataDir: none, so a control node runs as a relay here")
		if s.Bind.Directory != "" {
			out = append(out, "bind.directory: a relay answers the registry's clients 503")
		}
	}
	regions := map[string]bool{}
	for _, r := range s.Zones {
		regions[r] = true
	}
	for _, b := range []struct {
		name       string
		lost, have int
		known      bool
	}{
		{"machines", s.FaultBudget.Machines, len(s.SeedNodes), len(s.SeedNodes) < seedsNamed},
		{"zones", s.FaultBudget.Zones, len(s.Zones), len(s.Zones) > 0},
		{"regions", s.FaultBudget.Regions, len(regions), len(regions) > 0},
	} {
		if need := 2*b.lost + 1; b.known && b.have < need {
			out = append(out, fmt.Sprintf("faultBudget.%s: to bear the loss of %d, %d are needed, and there are %d", b.name, b.lost, need, b.have))
		}
	}
	return out
}

// Check is the list of what is wrong with a document, one line each.
type Check []string

func (c Check) Error() string { return strings.Join(c, "; ") }

// Load reads and checks the settings file.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, fmt.Errorf("%s is not set and no --settings was given", PathVariable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Parse reads settings from TOML and checks them against the schema.
func Parse(text []byte) (*Settings, error) {
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		return nil, fmt.Errorf("not TOML: %w", err)
	}
	asJSON, err := json.Marshal(raw)
	if err != nil {
		return nil, err
	}
	if err := Validate(settingsSchema(), asJSON); err != nil {
		return nil, err
	}
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("not settings: %w", err)
	}
	if s.InternalPorts[1] < s.InternalPorts[0]+1 {
		return nil, Check{"internalPorts: two ports at least are needed"}
	}
	for _, a := range append([]string{s.Bind.Front, s.Bind.Readiness, s.Bind.Control, s.Bind.Directory}, s.SeedNodes...) {
		if _, port, err := net.SplitHostPort(a); a != "" {
			if n, _ := strconv.Atoi(port); err != nil || n < 1 || n > math.MaxUint16 {
				return nil, Check{fmt.Sprintf("address %q: no valid port", a)}
			}
		}
	}
	return s, nil
}

var settingsSchema = sync.OnceValue(func() *jsonschema.Schema { return MustCompile("settings.json", schemaText) })

// MustCompile compiles a schema that is part of the program.
func MustCompile(name string, text []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic(err)
	}
	return c.MustCompile(name)
}

// Validate checks a JSON text against a schema and names every place at fault.
func Validate(schema *jsonschema.Schema, text []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return Check{"not JSON: " + err.Error()}
	}
	err = schema.Validate(doc)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	var check Check
	var walk func(*jsonschema.ValidationError)
	printer := message.NewPrinter(language.English)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			at := strings.Join(e.InstanceLocation, ".")
			if at == "" {
				at = "top"
			}
			check = append(check, at+": "+e.ErrorKind.LocalizedString(printer))
		}
		for _, c := range e.Causes {
			walk(c)
		}
	}
	walk(invalid)
	return check
}
