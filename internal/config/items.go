// Package config implements the configuration that operators send: routes, services, tenants and limits,
// called items, and zone evacuations. It validates configuration requests, keeps the items with their
// generations as records, and builds the tables in which gateways look up client requests. Operators
// number the versions of each item with rising generations.
package config

import (
	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
)

// Partition is the partition of the control nodes' replicated state that holds the catalogue: the records of
// all items and route bindings, and the horizon.
const Partition = "catalogue"

// Record is the form in which items are stored and replicated.
type Record = antientropy.Record

// Phase tells whether a route has been assigned to a shard.
type Phase string

const (
	PhaseNew       Phase = "new"
	PhaseScheduled Phase = "scheduled"
)

// Status is the part of a route that only Bind writes.
type Status struct {
	Phase Phase `cbor:"1,keyasint" json:"phase"`
	Shard int   `cbor:"2,keyasint" json:"shard"` // -1 for a new route
}

// Item is the content of the record of a route, a tenant, a service or the limits. Raw is the JSON that the
// operator sent. History holds a few earlier generations, the newest first: for each the
// generation as a varint and eight bytes of digest. It is empty in records of earlier releases.
type Item struct {
	Host    string `cbor:"1,keyasint,omitempty"`
	Raw     []byte `cbor:"2,keyasint,omitempty"`
	Status  Status `cbor:"3,keyasint"`
	History []byte `cbor:"4,keyasint,omitempty"`
}

// Record names consist of a prefix and the item's name, except for the limits.
const (
	routePrefix   = "route/"
	tenantPrefix  = "tenant/"
	servicePrefix = "service/"
	bindingPrefix = "binding/"
	limitsName    = "limits"
)

// Share is the part of a split route's requests that goes to one service.
type Share struct {
	Target string  `json:"target"`
	Share  float64 `json:"share"`
}

// Route is a parsed route.
type Route struct {
	Name           string  `json:"name"`
	Host           string  `json:"-"`
	PathPrefix     string  `json:"pathPrefix"`
	RouteKind      string  `json:"routeKind"`
	DeadlineS      float64 `json:"deadlineS"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	MaxTries       int     `json:"maxTries"`
	Target         string  `json:"target"`
	Split          []Share `json:"split"`
	Public         bool    `json:"public"`
	// Residency lists the regions in which the route may be served; if empty, all.
	Residency  []string `json:"residency"`
	Generation uint64   `json:"generation"`
	Status     Status   `json:"-"`
	Rev        uint64   `json:"-"`
}

// Repeatable reports whether a request on the route may be executed more than once.
func (r *Route) Repeatable() bool { return r.RouteKind != "mutating" }

// Targets returns the services to which the route sends requests.
func (r *Route) Targets() []string {
	if r.Target != "" {
		return []string{r.Target}
	}
	var targets []string
	for _, share := range r.Split {
		targets = append(targets, share.Target)
	}
	return targets
}

// Choose returns the service for a point in [0, 1), in proportion to the shares.
func (r *Route) Choose(point float64) string {
	if r.Target != "" {
		return r.Target
	}
	shareSum := 0.0
	for _, share := range r.Split {
		shareSum += share.Share
	}
	point *= shareSum
	lastTarget := ""
	for _, share := range r.Split {
		if share.Share <= 0 {
			continue
		}
		lastTarget = share.Target
		if point < share.Share {
			break
		}
		point -= share.Share
	}
	return lastTarget
}

// Tenant is a parsed tenant.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	// Priority, if set, overrides that of the route.
	Priority   *int     `json:"priority"`
	RatePerS   float64  `json:"ratePerS"` // 0 means no limit
	Burst      float64  `json:"burst"`
	Residency  []string `json:"residency"`
	Generation uint64   `json:"generation"`
}

// Service is a parsed service.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	WarmupS    float64 `json:"warmupS"`
	WarmupPerS float64 `json:"warmupPerS"`
}

// Limits are the limits on client requests.
type Limits struct {
	MaxHeaderBytes int     `json:"maxHeaderBytes"`
	MaxBodyBytes   int64   `json:"maxBodyBytes"`
	HeaderTimeoutS float64 `json:"headerTimeoutS"`
	IdleTimeoutS   float64 `json:"idleTimeoutS"`
}

// HasService reports whether a service exists.
func HasService(records map[string]Record, name string) bool {
	record, ok := records[servicePrefix+name]
	return ok && !record.Dropped
}

// decodeItem returns the item of a record, as far as its data can be decoded.
func decodeItem(record Record) (item Item) {
	_ = cbor.Unmarshal(record.Data, &item)
	return item
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
