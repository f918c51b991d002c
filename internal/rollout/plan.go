// Package rollout moves a service's traffic from one version of its upstreams to
// another through four stages: shadow, canary, percentage, full. The owner of the
// key of a service is the controller of its rollout (Next); every gateway splits the
// requests of the service between the two arms, scores both, and stops giving the
// candidate anything by itself when that turns bad (Arms).
//
// Nothing here does input or output; time is handed in.
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

// Record is the form in which plans are kept and copied.
type Record = antientropy.Record

// Prefix begins the keys of rollouts, one a service, and the name of the one record
// under each.
const Prefix = "rollout/"

// StandingPrefix begins the names of the records, under the key of the catalogue,
// that hold the version that a service had before anybody ordered another.
const StandingPrefix = "standing/"

// Key is the key of a service's rollout.
func Key(service string) string { return Prefix + service }

// Stage is how far a rollout has come. It only goes forward.
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

// Plan is one order to bring a version in, and how far that has come.
type Plan struct {
	Service   string        `cbor:"1,keyasint"`
	Prior     string        `cbor:"2,keyasint,omitempty"` // empty: whatever is not the candidate
	Candidate string        `cbor:"3,keyasint"`
	Within    time.Duration `cbor:"4,keyasint"`
	Order     uint64        `cbor:"5,keyasint"` // counts the orders for the service
	Stage     Stage         `cbor:"6,keyasint,omitempty"`
	Weight    float64       `cbor:"7,keyasint,omitempty"` // share of requests for the candidate
	// Age of the order when this was written. Whoever goes on adds the time since it
	// saw this, so a takeover never makes an order younger than it was.
	Age    time.Duration `cbor:"8,keyasint,omitempty"`
	Reason string        `cbor:"9,keyasint,omitempty"` // of a reversal
	// Taken names the newest calls for the service that were carried out, also those for
	// earlier rollouts.
	Taken []TakenCall `cbor:"10,keyasint,omitempty"`
	// Gen is the generation of the record; it is not part of its data.
	Gen uint64 `cbor:"-"`
}

// Final says that the order has been carried out or reversed.
func (p *Plan) Final() bool { return p.Stage >= Complete }

// Standing is the version that serves without any weight.
func (p *Plan) Standing() string {
	if p.Stage == Complete {
		return p.Candidate
	}
	return p.Prior
}

// State is the stage in the words of the operator's interface.
func (p *Plan) State() string {
	if p.Final() {
		return p.Stage.String()
	}
	return "serving"
}

// Read reads a plan from its record.
func Read(r Record) (*Plan, bool) {
	p := &Plan{}
	if r.Dropped || cbor.Unmarshal(r.Data, p) != nil {
		return nil, false
	}
	p.Gen = r.Gen
	return p, true
}

func (p *Plan) encode(gen uint64) Record {
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(err)
	}
	return Record{Name: Key(p.Service), Gen: gen, Data: b}
}

// Ask is an order as the operator gives it.
type Ask struct {
	Service string  `json:"target" cbor:"1,keyasint"`
	Version string  `json:"targetVersion" cbor:"2,keyasint"`
	WithinS float64 `json:"withinS" cbor:"3,keyasint"`
}

//go:embed schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *jsonschema.Schema { return settings.MustCompile("rollout.json", schemaText) })

// ReadAsk reads and checks an order by itself.
func ReadAsk(body []byte) (a Ask, err error) {
	if err := settings.Validate(schema(), body); err != nil {
		return a, apierror.New(apierror.BadOrder, "%v", err)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, apierror.New(apierror.BadOrder, "%v", err)
	}
	return a, nil
}

// Advance works out the record of the next stage, if the record is still the one
// that next was worked out from.
func Advance(records map[string]Record, expectedGeneration uint64, next *Plan) ([]Record, error) {
	oldRecord := records[Key(next.Service)]
	current, ok := Read(oldRecord)
	if !ok || oldRecord.Gen != expectedGeneration || current.Final() || next.Stage < current.Stage || next.Order != current.Order {
		return nil, apierror.New(apierror.Conflict, "the rollout of %s has gone on", next.Service)
	}
	return []Record{next.encode(oldRecord.Gen + 1)}, nil
}

func (p *Plan) reverse(reason string, age time.Duration) *Plan {
	next := *p
	next.Stage, next.Weight, next.Reason, next.Age = Reverted, 0, reason, max(age, p.Age)
	return &next
}

// Standing is the version of a service that no order has brought in. After is the
// generation of the plan that it overrules: 0 for the first version ever seen, more
// where the upstreams of the version that stood have all gone without an order.
type Standing struct {
	Version string `cbor:"1,keyasint"`
	After   uint64 `cbor:"2,keyasint,omitempty"`
}

// ReadStanding reads the record of a standing version.
func ReadStanding(r Record) (s Standing, ok bool) {
	return s, !r.Dropped && cbor.Unmarshal(r.Data, &s) == nil
}

// Adopt works out the records of standing versions. One that has changed since the
// caller looked stays as it is.
func Adopt(records map[string]Record, versions map[string]Standing, expectedGenerations map[string]uint64) (out []Record) {
	for service, s := range versions {
		name := StandingPrefix + service
		if records[name].Gen != expectedGenerations[service] {
			continue
		}
		b, err := cbor.Marshal(s)
		if err != nil {
			panic(err)
		}
		out = append(out, Record{Name: name, Gen: records[name].Gen + 1, Data: b})
	}
	return out
}

// Service is what is known of the versions of a service.
type Service struct {
	Plan     *Plan    // nil: no order yet
	Standing Standing // Version is empty as long as none was seen
}

// Serves is the version that serves without a weight; empty: not known.
func (s Service) Serves() string {
	if !s.Ordered() {
		return s.Standing.Version
	}
	return s.Plan.Standing()
}

// Ordered says that the version that serves is the outcome of an order.
func (s Service) Ordered() bool {
	return s.Plan != nil && !(s.Plan.Final() && s.Standing.After >= s.Plan.Gen)
}

// Active is the plan that is under way, or nil.
func (s Service) Active() *Plan {
	if s.Plan == nil || s.Plan.Final() {
		return nil
	}
	return s.Plan
}

// Names says whether a record of this name says something of versions.
func Names(record string) bool {
	return strings.HasPrefix(record, Prefix) || strings.HasPrefix(record, StandingPrefix)
}

// Services reads what records say of versions.
func Services(records map[string]Record) map[string]Service {
	services := map[string]Service{}
	for name, r := range records {
		if service, ok := strings.CutPrefix(name, Prefix); ok {
			if p, ok := Read(r); ok {
				v := services[service]
				v.Plan = p
				services[service] = v
			}
		} else if service, ok := strings.CutPrefix(name, StandingPrefix); ok {
			if s, ok := ReadStanding(r); ok {
				v := services[service]
				v.Standing = s
				services[service] = v
			}
		}
	}
	return services
}
