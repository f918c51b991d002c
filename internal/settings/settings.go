// Package settings loads the settings file of a process, validates it against a schema, and
// derives the durations that other packages use from its bounds.
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

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "MADDERWING_SETTINGS"

//go:embed schema.json
var schemaText []byte

// Settings holds the settings that the program knows. The schema also validates some others,
// which are ignored.
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

// Bind holds the listen addresses of a process: for clients (front), readiness probes, the
// control interface, and the registry (directory).
type Bind struct {
	Front     string `toml:"front"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control"`
	Directory string `toml:"directory"`
}

// Limits holds the resource limits of a process.
type Limits struct {
	CPUFraction float64 `toml:"cpuFraction"`
	MemoryMb    float64 `toml:"memoryMb"`
	MaxFds      int     `toml:"maxFds"`
	LinkMbps    float64 `toml:"linkMbps"`
	DiskMb      float64 `toml:"diskMb"`
}

// FaultBudget says how many simultaneous failures the system must tolerate while it keeps all its
// guarantees: of machines that count for the quorum, or of zones, or of regions.
type FaultBudget struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// Bounds holds the service-level limits that the system must keep. They are in seconds where
// the name ends in S.
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
	// CatchUpS is how long a machine that has come back still counts as failed; 0: not set.
	CatchUpS float64 `toml:"catchUpS"`
	// RetentionS is how long a watch can resume from a revision (0: not set, see Retention).
	// ReleaseS is the time within which a lock is free after its lease has ended (0: not set).
	RetentionS float64 `toml:"retentionS"`
	ReleaseS   float64 `toml:"releaseS"`

	// For deployments with rollouts of service versions.
	ExposureShare float64 `toml:"exposureShare"`
	RollbackS     float64 `toml:"rollbackS"`

	// For deployments with tenants or a registry.
	RevocationGlobal bool    `toml:"revocationGlobal"`
	RevokeS          float64 `toml:"revokeS"`
	QuotaWindowS     float64 `toml:"quotaWindowS"`
	QuotaOvershoot   float64 `toml:"quotaOvershoot"`
	QuotaSlack       float64 `toml:"quotaSlack"`
	TTLMaxS          float64 `toml:"ttl_max_s"`
}

// CloudAPI holds the address of the platform API that lists the upstreams, the rate at which it
// may be called, and how old its list may be.
type CloudAPI struct {
	Address  string  `toml:"address"`
	RatePerS float64 `toml:"ratePerS"`
	MaxLagS  float64 `toml:"maxLagS"`
}

// Seconds converts a number of seconds from the settings to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// HeartbeatInterval is the base interval of the periodic work of a node, such as heartbeats. It is
// a sixth of contactS, the time for which a machine must have run and been reachable before the
// guarantees apply to it.
func (s *Settings) HeartbeatInterval() time.Duration { return Seconds(s.Bounds.ContactS / 6) }

// RollbackSeconds is the time, in seconds, within which a bad version must stop receiving requests:
// rollbackS, or ackS if that is not set.
func (s *Settings) RollbackSeconds() float64 {
	if s.Bounds.RollbackS > 0 {
		return s.Bounds.RollbackS
	}
	return s.Bounds.AckS
}

// MaxExposureShare is the share of requests that a bad version may receive before it is rolled back:
// exposureShare, or a tenth if that is not set.
func (s *Settings) MaxExposureShare() float64 {
	if s.Bounds.ExposureShare > 0 {
		return s.Bounds.ExposureShare
	}
	return 0.1
}

// defaultRetentionContacts is the default retention as a multiple of contactS.
const defaultRetentionContacts = 4

// Retention is how long a watch can resume from a revision that it has received.
func (s *Settings) Retention() time.Duration {
	if s.Bounds.RetentionS > 0 {
		return Seconds(s.Bounds.RetentionS)
	}
	return Seconds(defaultRetentionContacts * s.Bounds.ContactS)
}

// HasRegistry reports whether clients look up the address of a gateway in the registry.
func (s *Settings) HasRegistry() bool { return s.Ingress == "registry" }

// RevocationBounded reports whether a revoked API key must stop working on every machine, also on
// one without contact, within revokeS after the revocation was acknowledged. Gateways then need
// leases on keys.
func (s *Settings) RevocationBounded() bool { return s.Bounds.RevocationGlobal && s.Bounds.RevokeS > 0 }

// HasQuotas reports whether a tenant's request rate is limited across all machines.
func (s *Settings) HasQuotas() bool { return s.Bounds.QuotaWindowS > 0 }

// RegionOf returns the region of a zone. A zone that is not listed is a region of its own.
func (s *Settings) RegionOf(zone string) string {
	if region, ok := s.Zones[zone]; ok {
		return region
	}
	return zone
}

// KeyLeaseDuration is how long a gateway may keep using API keys after it last had them confirmed;
// 0: keys need no lease. It may be longer than revokeS, since the acknowledgement of a revocation
// is delayed by RevocationAckDelay: every lease still ends within revokeS of the acknowledgement,
// with a margin of a tenth of revokeS.
func (s *Settings) KeyLeaseDuration() time.Duration {
	if !s.RevocationBounded() {
		return 0
	}
	return Seconds(s.Bounds.RevokeS*0.9) + s.RevocationAckDelay()
}

// RevocationAckDelay is how long the acknowledgement of a revocation is delayed, see
// KeyLeaseDuration. It is a fraction of ackS, since requests to the control interface must be
// answered within ackS.
func (s *Settings) RevocationAckDelay() time.Duration {
	if !s.RevocationBounded() {
		return 0
	}
	return Seconds(s.Bounds.AckS * 0.4)
}

// ClientPort returns the port on which the gateway serves clients.
func (s *Settings) ClientPort() uint16 {
	_, port, _ := net.SplitHostPort(s.Bind.Front)
	number, _ := strconv.ParseUint(port, 10, 16)
	return uint16(number)
}

// GatewayAddress returns the address at which the gateway on a machine listens for other nodes.
func (s *Settings) GatewayAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]))
}

// ControlAddress returns the address at which the control node on a machine listens for other
// nodes.
func (s *Settings) ControlAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]+1))
}

// SeedControlAddresses returns the ControlAddress of each seed node, sorted.
func (s *Settings) SeedControlAddresses() []string {
	var out []string
	for _, seed := range s.SeedNodes {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, s.ControlAddress(host))
		}
	}
	sort.Strings(out)
	return out
}

// fullSeedCount is the number of seed nodes in the settings if at least that many machines run
// control nodes. If there are fewer seeds, they are all the machines that run control nodes.
const fullSeedCount = 3

// Warnings returns one line for each setting that is valid but probably not intended. Of the
// fault budget it reports only what can't be tolerated with any number of control nodes, since
// a majority must survive.
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
	for _, budget := range []struct {
		name            string
		lost, available int
		known           bool
	}{
		{"machines", s.FaultBudget.Machines, len(s.SeedNodes), len(s.SeedNodes) < fullSeedCount},
		{"zones", s.FaultBudget.Zones, len(s.Zones), len(s.Zones) > 0},
		{"regions", s.FaultBudget.Regions, len(regions), len(regions) > 0},
	} {
		if needed := 2*budget.lost + 1; budget.known && budget.available < needed {
			out = append(out, fmt.Sprintf("faultBudget.%s: to bear the loss of %d, %d are needed, and there are %d", budget.name, budget.lost, needed, budget.available))
		}
	}
	return out
}

// ValidationErrors is a list of validation errors, one line each.
type ValidationErrors []string

func (e ValidationErrors) Error() string { return strings.Join(e, "; ") }

// Load reads and validates the settings file.
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

// Parse decodes settings from TOML and validates them.
func Parse(text []byte) (*Settings, error) {
	var document map[string]any
	if err := toml.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("not TOML: %w", err)
	}
	asJSON, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	if err := ValidateSchema(settingsSchema(), asJSON); err != nil {
		return nil, err
	}
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("not settings: %w", err)
	}
	if s.InternalPorts[1] < s.InternalPorts[0]+1 {
		return nil, ValidationErrors{"internalPorts: two ports at least are needed"}
	}
	for _, address := range append([]string{s.Bind.Front, s.Bind.Readiness, s.Bind.Control, s.Bind.Directory}, s.SeedNodes...) {
		if _, port, err := net.SplitHostPort(address); address != "" {
			if number, _ := strconv.Atoi(port); err != nil || number < 1 || number > math.MaxUint16 {
				return nil, ValidationErrors{fmt.Sprintf("address %q: no valid port", address)}
			}
		}
	}
	return s, nil
}

var settingsSchema = sync.OnceValue(func() *jsonschema.Schema { return MustCompileSchema("settings.json", schemaText) })

// MustCompileSchema compiles an embedded schema, and panics if it is invalid.
func MustCompileSchema(name string, text []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, doc); err != nil {
		panic(err)
	}
	return compiler.MustCompile(name)
}

// ValidateSchema checks a JSON document against a schema. Its error is of type ValidationErrors and
// names the location of each violation.
func ValidateSchema(schema *jsonschema.Schema, text []byte) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return ValidationErrors{"not JSON: " + err.Error()}
	}
	err = schema.Validate(document)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	var violations ValidationErrors
	var collect func(*jsonschema.ValidationError)
	printer := message.NewPrinter(language.English)
	collect = func(violation *jsonschema.ValidationError) {
		if len(violation.Causes) == 0 {
			location := strings.Join(violation.InstanceLocation, ".")
			if location == "" {
				location = "top"
			}
			violations = append(violations, location+": "+violation.ErrorKind.LocalizedString(printer))
		}
		for _, cause := range violation.Causes {
			collect(cause)
		}
	}
	collect(invalid)
	return violations
}
