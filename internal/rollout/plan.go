// Package rollout moves a service's traffic from one version of its upstreams, the prior
// version, to another, the candidate, through four stages: shadow, canary, percentage, full.
// The control node that owns the partition of a service is the controller of its rollout and
// decides on each stage (Controller, Next). Every gateway splits the requests of the service
// between the two arms, scores the responses of both, and by itself stops sending requests to
// a candidate that becomes bad (Splitter).
//
// The package does no I/O and reads no clock; callers pass the time in.
package rollout

import (
	_ "embed"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"madderwing/internal/antientropy"
	"madderwing/internal/apierror"
	"madderwing/internal/settings"
)

// Record is the form in which plans are stored and replicated.
type Record = antientropy.Record

// Prefix begins the names of the partitions of rollouts, one for each service. Each has one record, with the
// name of the partition.
const Prefix = "rollout/"

// StandingPrefix begins the names of the records of type Standing. They are in the partition
// of the catalogue.
const StandingPrefix = "standing/"

// PartitionOf returns the name of the partition of a service's rollouts.
func PartitionOf(service string) string { return Prefix + service }

// Stage is the stage of a rollout. It only advances. The numbers are stored in records.
type Stage int

// The stages.
const (
	Shadow Stage = iota
	Canary
	Percentage
	Full
	Complete
	Reverted
)

func (s Stage) String() string {
	return [...]string{"shadow", "canary", "percentage", "full", "complete", "reverted"}[s]
}

// Plan is an order to move a service to a version, and the progress of that rollout.
type Plan struct {
	Service   string        `cbor:"1,keyasint"`
	Prior     string        `cbor:"2,keyasint,omitempty"` // empty: every version but the candidate
	Candidate string        `cbor:"3,keyasint"`
	Within    time.Duration `cbor:"4,keyasint"` // time allowed for the rollout
	Order     uint64        `cbor:"5,keyasint"` // number of the order among those for the service
	Stage     Stage         `cbor:"6,keyasint,omitempty"`
	Weight    float64       `cbor:"7,keyasint,omitempty"` // share of requests for the candidate
	// Age of the order when the record was written. A new controller adds the time since it
	// first saw the record, so the age never falls when the controller changes.
	Age    time.Duration `cbor:"8,keyasint,omitempty"`
	Reason string        `cbor:"9,keyasint,omitempty"` // of a reversal
	// ExecutedCalls has the newest executed calls for the service, including those for earlier
	// rollouts, so that their repeats are recognised.
	ExecutedCalls []ExecutedCall `cbor:"10,keyasint,omitempty"`
	// Generation is the generation of the record. It is not part of the record's data.
	Generation uint64 `cbor:"-"`
}

// Final reports whether the rollout was completed or reversed.
func (p *Plan) Final() bool { return p.Stage >= Complete }

// StandingVersion returns the standing version, which gets all requests that no weight assigns to a
// candidate: the prior version, or the candidate once the rollout is complete.
func (p *Plan) StandingVersion() string {
	if p.Stage == Complete {
		return p.Candidate
	}
	return p.Prior
}

// State returns the state as the administration API shows it.
func (p *Plan) State() string {
	if p.Final() {
		return p.Stage.String()
	}
	return "serving"
}

// DecodePlan decodes a plan from its record; false: the record was dropped or is malformed.
func DecodePlan(r Record) (*Plan, bool) {
	p := &Plan{}
	if r.Dropped || cbor.Unmarshal(r.Data, p) != nil {
		return nil, false
	}
	p.Generation = r.Gen
	return p, true
}

func (p *Plan) encode(gen uint64) Record {
	data, err := cbor.Marshal(p)
	if err != nil {
		panic(err)
	}
	return Record{Name: PartitionOf(p.Service), Gen: gen, Data: data}
}

// OrderRequest is an operator's order as the administration API receives it.
type OrderRequest struct {
	Service string  `json:"target" cbor:"1,keyasint"`
	Version string  `json:"targetVersion" cbor:"2,keyasint"`
	WithinS float64 `json:"withinS" cbor:"3,keyasint"`
}

//go:embed schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *jsonschema.Schema { return settings.MustCompileSchema("rollout.json", schemaText) })

// ParseOrderRequest parses an order and validates it against the schema.
func ParseOrderRequest(body []byte) (request OrderRequest, err error) {
	if err := settings.ValidateSchema(schema(), body); err != nil {
		return request, apierror.New(apierror.BadRolloutOrder, "%v", err)
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return request, apierror.New(apierror.BadRolloutOrder, "%v", err)
	}
	return request, nil
}

// Advance returns the record of the plan next. It returns the error Conflict if the stored
// plan is final or not of the generation from which next was computed.
func Advance(records map[string]Record, expectedGeneration uint64, next *Plan) ([]Record, error) {
	oldRecord := records[PartitionOf(next.Service)]
	current, ok := DecodePlan(oldRecord)
	if !ok || oldRecord.Gen != expectedGeneration || current.Final() || next.Stage < current.Stage || next.Order != current.Order {
		return nil, apierror.New(apierror.Conflict, "the rollout of %s has gone on", next.Service)
	}
	advanced := *next
	advanced.ExecutedCalls = current.ExecutedCalls // some may have been settled since next was computed
	return []Record{advanced.encode(oldRecord.Gen + 1)}, nil
}

func (p *Plan) reverse(reason string, age time.Duration) *Plan {
	next := *p
	next.Stage, next.Weight, next.Reason, next.Age = Reverted, 0, reason, max(age, p.Age)
	return &next
}

// Standing is a version that serves without an order. Supersedes is the generation of the plan
// that it supersedes: 0 for the first version of a service, more if all upstreams of the
// version that served were replaced without an order.
type Standing struct {
	Version    string `cbor:"1,keyasint"`
	Supersedes uint64 `cbor:"2,keyasint,omitempty"`
}

// DecodeStanding decodes a Standing from its record.
func DecodeStanding(r Record) (s Standing, ok bool) {
	return s, !r.Dropped && cbor.Unmarshal(r.Data, &s) == nil
}

// StoreStanding returns the records that store versions, by service. A service whose record no longer
// has the expected generation is left out.
func StoreStanding(records map[string]Record, versions map[string]Standing, expectedGenerations map[string]uint64) (out []Record) {
	for service, standing := range versions {
		name := StandingPrefix + service
		if records[name].Gen != expectedGenerations[service] {
			continue
		}
		data, err := cbor.Marshal(standing)
		if err != nil {
			panic(err)
		}
		out = append(out, Record{Name: name, Gen: records[name].Gen + 1, Data: data})
	}
	return out
}

// Service holds the records on the versions of a service.
type Service struct {
	Plan     *Plan    // nil: no order yet
	Standing Standing // its Version is empty until a version of the service was seen
}

// StandingVersion returns the standing version of the service; empty: unknown.
func (s Service) StandingVersion() string {
	if !s.Ordered() {
		return s.Standing.Version
	}
	return s.Plan.StandingVersion()
}

// Ordered reports whether the version that serves is the result of an order.
func (s Service) Ordered() bool {
	return s.Plan != nil && !(s.Plan.Final() && s.Standing.Supersedes >= s.Plan.Generation)
}

// Active returns the plan unless it is final; otherwise nil.
func (s Service) Active() *Plan {
	if s.Plan == nil || s.Plan.Final() {
		return nil
	}
	return s.Plan
}

// HoldsVersion reports whether a record of this name holds a Plan or a Standing.
func HoldsVersion(record string) bool {
	return strings.HasPrefix(record, Prefix) || strings.HasPrefix(record, StandingPrefix)
}

// DecodeServices decodes the records on versions, by service.
func DecodeServices(records map[string]Record) map[string]Service {
	services := map[string]Service{}
	for name, record := range records {
		if service, ok := strings.CutPrefix(name, Prefix); ok {
			if plan, ok := DecodePlan(record); ok {
				v := services[service]
				v.Plan = plan
				services[service] = v
			}
		} else if service, ok := strings.CutPrefix(name, StandingPrefix); ok {
			if standing, ok := DecodeStanding(record); ok {
				v := services[service]
				v.Standing = standing
				services[service] = v
			}
		}
	}
	return services
}
